"""Operator overrides: workers that operators have taken out of service until they put them back.

Pure: no I/O, no clock.  Each override carries its time, and the latest one per worker wins, whichever process
recorded it, so that the processes of one scheduler converge in whatever order they merge each other's overrides.
A file that cannot be decoded completely is rejected as a whole.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from .page import add_checksum, decode_checked

# When full, the oldest override of a worker back in service is dropped; if all are out, a new one is refused.
MAX_OVERRIDES = 16_384
FORMAT = "gaphub-out-1"


class Override(msgspec.Struct, frozen=True, array_like=True):
    """The last override of a worker; ``at`` is its Unix time in ms, ``out`` whether it is out of service."""

    worker: str
    at: float
    out: bool


class _OverridesFile(msgspec.Struct, frozen=True):
    format: str
    scheduler: str
    words: list[Override]


class WorkerOverrides:
    """The overrides of one scheduler."""

    def __init__(self, scheduler: str) -> None:
        self.scheduler = scheduler
        self._entries: dict[str, Override] = {}

    def is_disabled(self, worker: str) -> bool:
        """Whether a worker is out of service."""
        override = self._entries.get(worker)
        return override is not None and override.out

    def record(self, now: float, worker: str, out: bool) -> bool:
        """Record an operator's override; False if there is no room for it."""
        previous = self._entries.get(worker)
        if previous is None and len(self._entries) >= MAX_OVERRIDES and not self._drop_oldest_in_service():
            return False
        # Later than the previous override even if the clock was set back in between.
        self._entries[worker] = Override(worker, now if previous is None else max(now, previous.at + 1.0), out)
        return True

    def _drop_oldest_in_service(self) -> bool:
        in_service = [override for override in self._entries.values() if not override.out]
        if in_service:
            del self._entries[min(in_service, key=lambda override: override.at).worker]
        return bool(in_service)

    def merge(self, entries: Iterable[Override]) -> list[str]:
        """Merge another process's overrides; the workers whose service state changed."""
        changed = []
        for override in entries:
            previous = self._entries.get(override.worker)
            if previous is not None and (previous.at, previous.out) >= (override.at, override.out):
                continue
            if previous is None and len(self._entries) >= MAX_OVERRIDES and not self._drop_oldest_in_service():
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
        """Decode encoded overrides; None if corrupt, in another format or from another scheduler."""
        file = decode_checked(data, _OverridesFile)
        if (file is None or file.format != FORMAT or file.scheduler != self.scheduler
                or len(file.words) > MAX_OVERRIDES):
            return None
        return file.words
