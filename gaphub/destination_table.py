"""The table of listed destinations: their states, and the numbers that identify them to the Balancer.

Pure: no I/O, no clock.  A destination is identified by its source and name; its number is the same at every
scheduler.  The table must never send to a destination, nor decide which one is used.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

from .interface import ListedWorker, ListKind, WorkerState
from .messages import Destination, ListedDestination, worker_identity
from .ops.worker_overrides import WorkerOverrides
from .start_times import StartTimes

MAX_REMEMBERED_NAMES = 65_536  # names of destinations ever listed; the one unlisted for the longest is dropped


class DestinationTable:
    """The listed destinations, by number."""

    def __init__(self, overrides: WorkerOverrides, forget: Callable[[Destination], None]) -> None:
        """``overrides``: the operators' overrides; ``forget`` is called when one restarts, moves or is removed."""
        self.overrides = overrides
        self.by_number: dict[int, Destination] = {}
        self._forget = forget
        self._numbers: dict[tuple[str, str], int] = {}  # by (source, name)
        self._names_seen: dict[str, None] = {}  # every name ever listed, the one unlisted for the longest first
        self._starts = StartTimes()
        self._eligible: dict[int, int] = {}  # cache of ``count_eligible``, cleared when destinations change

    def get(self, number: int) -> Destination | None:
        """A listed destination by its number."""
        return self.by_number.get(number)

    def count_eligible(self, class_index: int) -> int:
        """The number of destinations that may now receive jobs of a class."""
        count = self._eligible.get(class_index)
        if count is None:
            count = self._eligible[class_index] = sum(
                d.listed.state == WorkerState.READY and bool(d.listed.class_mask >> class_index & 1)
                for d in self.by_number.values())
        return count

    def classes_changed(self) -> None:
        """The classes in force changed."""
        self._eligible.clear()

    def ever_listed(self, name: str) -> bool:
        """Whether a source lists a destination now or has done so before."""
        return name in self._names_seen

    def observe_clock(self, ahead_ms: float) -> None:
        """Record by how many ms the wall clock is now ahead of the scheduler's clock."""
        self._starts.record_wall_clock(ahead_ms)

    def source_answered(self, now: float) -> None:
        """Discovery answered, with or without changes."""
        self._starts.record_answer(now)

    def update(self, now: float, source: str, kind: int, entries: Sequence[ListedDestination]
             ) -> tuple[int, list[ListedWorker]]:
        """Apply a list from a source; FULL and CACHED lists contain all of that source's destinations.

        Returns the kind of list and the entries for the Balancer.
        """
        self._eligible.clear()
        entries = list({e.name: e for e in entries}.values())  # the last entry of a name counts
        changes = entries + self._removed(source, kind, entries)
        self._remember(entries)
        workers = [self._apply(now, source, e) for e in changes
                   if e.state != WorkerState.GONE or (source, e.name) in self._numbers]
        if kind in (ListKind.FULL, ListKind.CACHED) and any(s != source for s, _ in self._numbers):
            kind = ListKind.CHANGES  # the Balancer must not drop the other sources' destinations
        if kind != ListKind.CHANGES:
            workers = [w for w in workers if w.state != WorkerState.GONE]
        return kind, workers

    def apply_operator_changes(self, now: float, names: Iterable[str]) -> list[ListedWorker]:
        """Operators disabled or enabled destinations: those listed drain, or get their reported state back."""
        changed = set(names)
        self._eligible.clear()
        return [self._apply(now, d.source, replace(d.listed, state=d.reported_state))
                for d in list(self.by_number.values()) if d.listed.name in changed]

    def _removed(self, source: str, kind: int, entries: Sequence[ListedDestination]) -> list[ListedDestination]:
        """GONE entries for destinations of a source that are missing from its full list."""
        if kind not in (ListKind.FULL, ListKind.CACHED):
            return []
        known = {name for s, name in self._numbers if s == source}
        return [ListedDestination(name, "", WorkerState.GONE)
                for name in sorted(known - {e.name for e in entries})]

    def _remember(self, entries: Sequence[ListedDestination]) -> None:
        for entry in entries:
            self._names_seen.pop(entry.name, None)
            self._names_seen[entry.name] = None
        while len(self._names_seen) > max(MAX_REMEMBERED_NAMES, len(self.by_number)):
            del self._names_seen[next(iter(self._names_seen))]

    def _apply(self, now: float, source: str, entry: ListedDestination) -> ListedWorker:
        """Apply one entry; returns it as the Balancer gets it."""
        number = self._number(source, entry.name)
        destination = self.by_number.get(number)
        if destination is None:
            destination = Destination(number, source, entry, identity=worker_identity(source, entry.name))
            self.by_number[number] = destination
        elif entry.state == WorkerState.GONE or (entry.addr, entry.started_ms) != (
                destination.listed.addr, destination.listed.started_ms):
            self._forget(destination)
        if entry.state == WorkerState.GONE:
            destination.listed.state = WorkerState.GONE
            del self._numbers[source, entry.name], self.by_number[number]
        else:
            destination.reported_state = entry.state
            if entry.state == WorkerState.READY and self.overrides.is_disabled(entry.name):
                entry = replace(entry, state=WorkerState.DRAINING)
            destination.listed = entry
        started_at = self._starts.to_own_clock(f"{source}/{entry.name}", entry.started_ms, now)
        return ListedWorker(entry.state, entry.kind, entry.cell, entry.weight, entry.zone, number,
                            started_at, entry.class_mask, destination.identity)

    def _number(self, source: str, name: str) -> int:
        """The number of a destination, assigned now if it has none.

        It is a hash of source and name, not the position in a list: the Balancer draws workers by these numbers,
        and a key is sent to the same worker by all schedulers only if their draws agree.
        """
        number = self._numbers.get((source, name))
        if number is None:
            number = zlib.crc32(f"{source}/{name}".encode()) or 1
            while number in self.by_number:
                number += 1
            self._numbers[source, name] = number
        return number
