"""The files in ``$TMPDIR`` through which the processes of one scheduler see each other's claimed request ids.

Each process maps a file of its own and those of the others.  A process holds an advisory lock on its file, which
the kernel releases however the process ends; then another one takes its claims over and removes the file.  Without
a folder, or where a file cannot be written, claims stay private to the process.
"""

from __future__ import annotations

import asyncio
import fcntl
import mmap
import os
import re
from contextlib import suppress
from pathlib import Path

from ..metrics import Counters
from .locks import is_locked
from .request_claims import (
    MAX_SLOTS,
    ClaimTable,
    private_claims,
    slots_for,
    table_bytes,
)

POLL_INTERVAL_S = 0.05
RETRY_INTERVAL_S = 1.0  # after the own file could not be written
# For the other processes to find a new file: their polls, and a stall.
SETTLE_S = 0.2


class ClaimFiles:
    """The mapped files of one scheduler; ``folder``: ``$TMPDIR``, or None to share nothing."""

    def __init__(self, folder: str | None, scheduler: str, limit_bytes: float, counters: Counters) -> None:
        """``scheduler``: its name; ``limit_bytes``: the memory limit."""
        name = re.sub(r"[^A-Za-z0-9_-]", "_", scheduler) or "gaphub"
        self._folder = Path(folder) if folder else None
        self._pattern = f"gaphub-{name}.*.claims"
        self._own_path = self._folder / f"gaphub-{name}.{os.getpid()}.claims" if self._folder else None
        self._size = table_bytes(slots_for(limit_bytes))
        self._counters = counters
        self._own_fd = -1  # descriptor of the own file, which holds its lock; -1: the claims are private
        self._folder_changed_at = 0  # when the folder was changed last, as of the last poll; ns
        self.claims = private_claims(limit_bytes)

    async def open(self) -> None:
        """Publish the own claims and map those of the others; waits until the others have found the new file."""
        self._publish()
        self.poll()
        if self.claims.others:
            await asyncio.sleep(SETTLE_S)

    async def run(self) -> None:
        """Follow the files of the other processes, for ever."""
        retry_in_s = RETRY_INTERVAL_S
        while self._folder is not None:
            await asyncio.sleep(POLL_INTERVAL_S)
            retry_in_s -= POLL_INTERVAL_S
            if self._own_fd < 0 and retry_in_s <= 0.0:
                retry_in_s = RETRY_INTERVAL_S
                self._publish()
            self.poll()

    def other_processes(self) -> list[int]:
        """Ids of the scheduler's other processes, as named by their files."""
        return [int(name.split(".")[-2]) for name in self.claims.others if name.split(".")[-2].isdecimal()]

    def poll(self) -> None:
        """Map new files, and take over the claims of processes that have ended."""
        if self._folder is None:
            return
        with suppress(OSError):
            changed_at = self._folder.stat().st_mtime_ns
            if changed_at != self._folder_changed_at:
                self._folder_changed_at = changed_at
                for path in self._folder.glob(self._pattern):
                    if path != self._own_path and path.name not in self.claims.others:
                        self._map(path)
        for name in list(self.claims.others):
            self._adopt_if_ended(self._folder / name)

    def close(self) -> None:
        """Give the own file up: it stays, for a successor to take over."""
        if self._own_fd >= 0:
            fcntl.flock(self._own_fd, fcntl.LOCK_UN)  # the mapping holds a duplicate of the descriptor
            os.close(self._own_fd)
            self._own_fd = -1

    def _publish(self) -> None:
        """Write the own claims to a file and go on in it.

        The file gets its space at once: writing to a mapped file on a full file system would kill the process.
        """
        if self._own_path is None:
            return
        temporary = self._own_path.with_suffix(".claims.new")
        descriptor = -1
        try:
            descriptor = os.open(temporary, os.O_CREAT | os.O_RDWR | os.O_TRUNC, 0o600)
            os.posix_fallocate(descriptor, 0, self._size)
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            shared = ClaimTable(memoryview(mmap.mmap(descriptor, self._size)))
            for value in self.claims.own:
                shared.add(value)
            os.replace(temporary, self._own_path)
        except OSError as error:
            self._counters.log("ops.not_written", str(error))
            if descriptor >= 0:
                os.close(descriptor)
            with suppress(OSError):
                temporary.unlink()
            return
        self._own_fd = descriptor
        self.claims.own = shared

    def _map(self, path: Path) -> None:
        try:
            descriptor = os.open(path, os.O_RDWR)
            try:
                size = os.fstat(descriptor).st_size
                if size not in {table_bytes(1 << bits) for bits in range(MAX_SLOTS.bit_length())}:
                    self._counters.log("ops.page_not_believed", f"{path.name}: {size} bytes")
                    return
                mapped = mmap.mmap(descriptor, size, prot=mmap.PROT_READ)
            finally:
                os.close(descriptor)
        except OSError as error:
            self._counters.log("ops.not_read", str(error))
            return
        self.claims.others[path.name] = ClaimTable(memoryview(mapped))
        self._counters.add("ops.claims_mapped")

    def _adopt_if_ended(self, path: Path) -> None:
        """Take over the claims in a file whose process has ended, and remove it."""
        if is_locked(path):
            return
        table = self.claims.others[path.name]
        self.claims.adopt(table)
        del self.claims.others[path.name]
        table.close()
        with suppress(OSError):
            path.unlink()
        self._counters.add("ops.claims_adopted")
