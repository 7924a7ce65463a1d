"""Files in ``$TMPDIR`` that the processes of one scheduler share: overrides, state snapshot and serving locks.

Files are replaced atomically and read when they change.  A serving process holds an advisory lock, which the
kernel releases however the process ends.  Files that are corrupt, too old or of another scheduler are ignored.  A
file that cannot be written is counted and never stops the scheduler.
"""

from __future__ import annotations

import asyncio
import fcntl
import os
import re
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from ..metrics import Counters
from .locks import is_locked
from .worker_overrides import WorkerOverrides

POLL_INTERVAL_S = 0.05  # with a stall, still well within the shortest drain grace period of 250 ms
SNAPSHOT_INTERVAL_S = 1.0
MAX_FILE_BYTES = 4 * 1024 * 1024


class SharedFiles:
    """The shared files of one scheduler; ``folder``: ``$TMPDIR``, or None to share nothing."""

    def __init__(self, folder: str | None, overrides: WorkerOverrides, counters: Counters,
                 on_change: Callable[[list[str]], None]) -> None:
        name = re.sub(r"[^A-Za-z0-9_-]", "_", overrides.scheduler) or "gaphub"
        self._path = Path(folder) / f"gaphub-{name}.out" if folder else None
        self._lock_path = self._path.with_suffix(f".{os.getpid()}.serving") if self._path else None
        self._lock_fd = -1  # descriptor of this process's serving lock; -1: not held
        self._serving_since_ns = 0
        self._serving = False
        self._save_pending = False  # whether writing the overrides failed and has to be retried
        self._overrides = overrides
        self._counters = counters
        self._on_change = on_change
        self._last_stat: tuple[int, int, int] | None = None

    def save_overrides(self) -> None:
        """Write the overrides, merged with those that another process has written meanwhile."""
        if self._path is None:
            return
        self.poll_overrides()
        self._save_pending = not self._write(self._path, self._overrides.encode(), durable=True)
        if not self._save_pending:
            self._last_stat = self._file_stat()

    def _write(self, path: Path, data: bytes, durable: bool = False) -> bool:
        """Replace a file atomically, synced to disk if ``durable``; whether it was written."""
        temporary = path.with_suffix(f".{os.getpid()}.new")
        try:
            with open(temporary, "wb") as file:
                file.write(data)
                if durable:
                    file.flush()
                    os.fsync(file.fileno())
            os.replace(temporary, path)
        except OSError as error:
            self._counters.log("ops.not_written", str(error))
            with suppress(OSError):
                temporary.unlink()
            return False
        return True

    def _retry_writes(self) -> None:
        """Retry failed writes: the folder may fail for a while, and accepted overrides must still be saved."""
        if self._save_pending:
            self.save_overrides()
        if self._serving and self._lock_fd < 0:
            self.start_serving()

    # -- the state snapshot --

    def read_state_snapshot(self) -> bytes:
        """The content of the last snapshot; empty if there is none."""
        if self._path is None:
            return b""
        try:
            path = self._path.with_suffix(".legacy")
            return path.read_bytes() if path.stat().st_size <= MAX_FILE_BYTES else b""
        except OSError:
            return b""

    async def write_state_snapshots(self, encode: Callable[[], bytes]) -> None:
        """Write a snapshot every ``SNAPSHOT_INTERVAL_S``, for ever."""
        while self._path is not None:
            await asyncio.sleep(SNAPSHOT_INTERVAL_S)
            self._write(self._path.with_suffix(".legacy"), encode())

    def _file_stat(self) -> tuple[int, int, int] | None:
        assert self._path is not None
        try:
            stat = self._path.stat()
        except OSError:
            return None
        return stat.st_ino, stat.st_mtime_ns, stat.st_size

    def poll_overrides(self) -> None:
        """Merge overrides that another process has written; rewrite the file if it lacks any of this process's."""
        if self._path is None or (stat := self._file_stat()) == self._last_stat or stat is None:
            return
        self._last_stat = stat
        try:
            data = self._path.read_bytes() if stat[2] <= MAX_FILE_BYTES else b""
        except OSError:
            return
        stored = self._overrides.decode(data)
        if stored is None:
            self._counters.log("ops.page_not_believed",
                               f"{len(data)} bytes: too large, corrupt, in another format or of another scheduler")
            return
        if changed := self._overrides.merge(stored):
            self._counters.add("ops.words_taken", len(changed))
            self._on_change(changed)
        if self._overrides.entries() != stored:
            self.save_overrides()  # two processes may have written at once

    # -- serving locks --

    def start_serving(self) -> None:
        """Take the serving lock, which marks this process as serving until it ends."""
        if self._lock_path is None:
            return
        self._serving = True
        self._serving_since_ns = self._serving_since_ns or time.monotonic_ns()
        try:
            self._lock_fd = os.open(self._lock_path, os.O_CREAT | os.O_RDWR, 0o600)
            fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.ftruncate(self._lock_fd, 0)
            os.write(self._lock_fd, b"%d" % self._serving_since_ns)
        except OSError as error:
            self._counters.log("ops.not_written", str(error))

    def others_serving_since_ns(self) -> list[int]:
        """When each other serving process of this scheduler started to serve; monotonic ns, 0 if unknown."""
        if self._path is None:
            return []
        lock_paths = self._path.parent.glob(f"{self._path.stem}.*.serving")
        return [_read_serving_since_ns(path) for path in lock_paths
                if path != self._lock_path and is_locked(path, remove_if_not=True)]

    @property
    def is_oldest(self) -> bool:
        """Whether this process started to serve before all other serving processes of this scheduler."""
        return all(since == 0 or since > self._serving_since_ns for since in self.others_serving_since_ns())

    def close(self) -> None:
        """Release the serving lock, after a last attempt to save overrides that are not written yet."""
        if self._save_pending:
            self.save_overrides()
        self._serving = False
        if self._lock_path is not None and self._lock_fd >= 0:
            with suppress(OSError):
                self._lock_path.unlink()
            os.close(self._lock_fd)
            self._lock_fd = -1

    async def run(self) -> None:
        """Poll the overrides and retry failed writes every ``POLL_INTERVAL_S``, for ever."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self.poll_overrides()
            self._retry_writes()


def _read_serving_since_ns(path: Path) -> int:
    """The start time that a process has written into its lock file; 0 if it cannot be read."""
    try:
        return int(path.read_bytes()[:32])
    except (OSError, ValueError):
        return 0
