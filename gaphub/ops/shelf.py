"""Owns what the processes of one scheduler leave each other in ``$TMPDIR``: who is out by hand, and who serves.

It writes a page whole or not at all and reads it when it changes.  That a process serves is said by a lock that
ends with it, however it ends.  It must never believe a page that is torn, old or another scheduler's, and never
stop the scheduler: a page that cannot be written is counted.
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
from .out import WorkerOverrides

LOOK_S = 0.05  # between two looks at the page: well within the shortest grace of a drain, 250 ms, and a hold-up
LEAVE_S = 1.0  # between two pages of what was measured
PAGE_MOST = 4 * 1024 * 1024  # bytes


class SharedFiles:
    """The page of one scheduler; ``folder``: ``$TMPDIR``, or None: nothing is left to others."""

    def __init__(self, folder: str | None, overrides: WorkerOverrides, counters: Counters,
                 changed: Callable[[list[str]], None]) -> None:
        name = re.sub(r"[^A-Za-z0-9_-]", "_", overrides.scheduler) or "gaphub"
        self._path = Path(folder) / f"gaphub-{name}.out" if folder else None
        self._own = self._path.with_suffix(f".{os.getpid()}.serving") if self._path else None
        self._lock = -1  # the descriptor of this process's lock, while it serves
        self._began_ns = 0
        self._serves = False
        self._owed = False  # whether the words have yet to be written
        self._overrides = overrides
        self._counters = counters
        self._changed = changed
        self._seen: tuple[int, int, int] | None = None

    def save_overrides(self) -> None:
        """Write the words down, and what another process wrote meanwhile with them."""
        if self._path is None:
            return
        self.poll_overrides()
        self._owed = not self._write(self._path, self._overrides.encode(), lasting=True)
        if not self._owed:
            self._seen = self._state()

    def _write(self, path: Path, data: bytes, lasting: bool = False) -> bool:
        """A page, whole or not at all; whether it was written, and synced where it is to be ``lasting``."""
        own = path.with_suffix(f".{os.getpid()}.new")
        try:
            with open(own, "wb") as file:
                file.write(data)
                if lasting:
                    file.flush()
                    os.fsync(file.fileno())
            os.replace(own, path)
        except OSError as error:
            self._counters.log("ops.not_written", str(error))
            with suppress(OSError):
                own.unlink()
            return False
        return True

    def _pay(self) -> None:
        """Do what could not be done before: a folder may fail for a while, and what was said yes to is owed."""
        if self._owed:
            self.save_overrides()
        if self._serves and self._lock < 0:
            self.start_serving()

    # -- what a process has measured --

    def read_state_snapshot(self) -> bytes:
        """The page that a process left last; empty: none."""
        if self._path is None:
            return b""
        try:
            path = self._path.with_suffix(".legacy")
            return path.read_bytes() if path.stat().st_size <= PAGE_MOST else b""
        except OSError:
            return b""

    async def write_state_snapshots(self, make: Callable[[], bytes]) -> None:
        """Leave a page every second, for ever."""
        while self._path is not None:
            await asyncio.sleep(LEAVE_S)
            self._write(self._path.with_suffix(".legacy"), make())

    def _state(self) -> tuple[int, int, int] | None:
        assert self._path is not None
        try:
            found = self._path.stat()
        except OSError:
            return None
        return found.st_ino, found.st_mtime_ns, found.st_size

    def poll_overrides(self) -> None:
        """Take in what another process wrote since the last look; write anew what it had not heard of."""
        if self._path is None or (state := self._state()) == self._seen or state is None:
            return
        self._seen = state
        try:
            data = self._path.read_bytes() if state[2] <= PAGE_MOST else b""
        except OSError:
            return
        words = self._overrides.decode(data)
        if words is None:
            self._counters.log("ops.page_not_believed", f"{len(data)} bytes")
            return
        if changed := self._overrides.merge(words):
            self._counters.add("ops.words_taken", len(changed))
            self._changed(changed)
        if self._overrides.entries() != words:
            self.save_overrides()  # written at the same moment as another's: both hold the whole again after this

    # -- who serves --

    def start_serving(self) -> None:
        """Say that this process serves from now on, until it ends."""
        if self._own is None:
            return
        self._serves = True
        self._began_ns = self._began_ns or time.monotonic_ns()
        try:
            self._lock = os.open(self._own, os.O_CREAT | os.O_RDWR, 0o600)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.ftruncate(self._lock, 0)
            os.write(self._lock, b"%d" % self._began_ns)
        except OSError as error:
            self._counters.log("ops.not_written", str(error))

    def others_serving_since_ns(self) -> list[int]:
        """When each other process of this scheduler that serves began to; ns (monotonic), 0: unknown."""
        if self._path is None:
            return []
        locks = self._path.parent.glob(f"{self._path.stem}.*.serving")
        return [_began_ns(path) for path in locks if path != self._own and _held(path)]

    @property
    def is_oldest(self) -> bool:
        """Whether this process began to serve before all others of this scheduler that do."""
        return all(began == 0 or began > self._began_ns for began in self.others_serving_since_ns())

    def close(self) -> None:
        """Say that this process serves no longer."""
        if self._owed:
            self.save_overrides()
        self._serves = False
        if self._own is not None and self._lock >= 0:
            with suppress(OSError):
                self._own.unlink()
            os.close(self._lock)
            self._lock = -1

    async def run(self) -> None:
        """Look now and then, for ever."""
        while True:
            await asyncio.sleep(LOOK_S)
            self.poll_overrides()
            self._pay()


def _held(path: Path) -> bool:
    """Whether the process that made a lock lives; what a dead one left is taken away."""
    try:
        number = os.open(path, os.O_RDWR)
    except OSError:
        return False
    try:
        fcntl.flock(number, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        return True
    else:
        with suppress(OSError):
            path.unlink()
        return False
    finally:
        os.close(number)


def _began_ns(path: Path) -> int:
    """What a process has written into its lock; 0 where that cannot be read."""
    try:
        return int(path.read_bytes()[:32])
    except (OSError, ValueError):
        return 0
