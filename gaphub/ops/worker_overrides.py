"""Operator overrides: workers that operators disable, taking them out of service, until they enable them again.

Pure: no I/O, no clock.  Each override carries its time, and the latest one per worker wins, whichever process
recorded it, so that the processes of one scheduler converge in whatever order they merge each other's overrides.
A file that cannot be decoded completely is rejected as a whole.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from .checksum import add_checksum, decode_checked

# When full, the oldest override of an enabled worker is dropped; if all are disabled, a new one is refused.
MAX_OVERRIDES = 16_384
FORMAT = "gaphub-out-1"


class Override(msgspec.Struct, frozen=True, array_like=True):
    """The last override of a worker; ``at`` is its Unix time in ms, ``out`` whether it is disabled."""

    worker: str
    at: float
    out: bool


class _OverridesFile(msgspec.Struct, frozen=True):
    """The content of the file; its field names are part of the stored format."""

    format: str
    scheduler: str
    words: list[Override]


class WorkerOverrides:
    """The overrides of one scheduler."""

    def __init__(self, scheduler: str) -> None:
        self.scheduler = scheduler
        self._entries: dict[str, Override] = {}

    def is_disabled(self, worker: str) -> bool:
        """Whether operators have disabled a worker."""
        override = self._entries.get(worker)
        return override is not None and override.out

    def record(self, now: float, worker: str, disabled: bool) -> bool:
        """Record an operator's override; False if there is no room for it."""
        previous = self._entries.get(worker)
        if previous is None and len(self._entries) >= MAX_OVERRIDES and not self._drop_oldest_enabled():
            return False
        # Later than the previous override even if the clock was set back in between.
        self._entries[worker] = Override(worker, now if previous is None else max(now, previous.at + 1.0),
                                         disabled)
        return True

    def _drop_oldest_enabled(self) -> bool:
        enabled = [override for override in self._entries.values() if not override.out]
        if enabled:
            del self._entries[min(enabled, key=lambda override: override.at).worker]
        return bool(enabled)

    def merge(self, entries: Iterable[Override]) -> list[str]:
        """Merge another process's overrides; the workers that were disabled or enabled by it."""
        changed = []
        for override in entries:
            previous = self._entries.get(override.worker)
            if previous is not None and (previous.at, previous.out) >= (override.at, override.out):
                continue
            if previous is None and len(self._entries) >= MAX_OVERRIDES and not self._drop_oldest_enabled():
                continue
            self._entries[override.worker] = override
            if override.out != (previous is not None and previous.out):
                changed.append(override.worker)
        return changed

    def entries(self) -> list[Override]:
        """All overrides, sorted by worker."""
        return [self._entries[worker] for worker in sorted(self._entries)]

    def encode(self) -> bytes:
        """All overrides as JSON, preceded by a line with the checksum."""
        return add_checksum(msgspec.json.encode(_OverridesFile(FORMAT, self.scheduler, self.entries())))

    def decode(self, data: bytes) -> list[Override] | None:
        """Decode the result of ``encode``; None if corrupt, in another format or from another scheduler."""
        file = decode_checked(data, _OverridesFile)
        if (file is None or file.format != FORMAT or file.scheduler != self.scheduler
                or len(file.words) > MAX_OVERRIDES):
            return None
        return file.words
