"""The destinations that sources name: the numbers by which the decisions know them, and their states.

Pure: no I/O, no clock.  A destination is known by its source and its name; its number is the same at every
scheduler.  It must never send to one, nor decide which is used.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

from .interface import ListedWorker, ListKind, WorkerState
from .messages import Destination, Listed, identity
from .ops.out import Outs
from .start_times import StartTimes

EVER_MOST = 65_536  # names of destinations that were once listed; the longest unlisted is forgotten


class DestinationTable:
    """Owns the destinations, by number."""

    def __init__(self, outs: Outs, forget: Callable[[Destination], None]) -> None:
        """``outs``: who is out by hand; ``forget`` is called with each that restarts, moves or goes."""
        self.outs = outs
        self.by_number: dict[int, Destination] = {}
        self._forget = forget
        self._numbers: dict[tuple[str, str], int] = {}  # by source and name
        self._ever: dict[str, None] = {}  # names that a source has given, the longest unlisted first
        self._starts = StartTimes()
        self._able: dict[int, int] = {}  # what ``able`` counted, until the destinations change

    def get(self, number: int) -> Destination | None:
        """A destination that is listed."""
        return self.by_number.get(number)

    def able(self, class_index: int) -> int:
        """How many destinations may get jobs of a class now."""
        known = self._able.get(class_index)
        if known is None:
            known = self._able[class_index] = sum(
                d.listed.state == WorkerState.READY and bool(d.listed.able >> class_index & 1)
                for d in self.by_number.values())
        return known

    def classes_changed(self) -> None:
        """Other classes are in force."""
        self._able.clear()

    def ever_listed(self, name: str) -> bool:
        """Whether a source has named a destination, now or before."""
        return name in self._ever

    def saw_clock(self, ahead_ms: float) -> None:
        """The wall clock is ahead of the monotonic one by so much now."""
        self._starts.record_wall_clock(ahead_ms)

    def heard_source(self, now: float) -> None:
        """Discovery answered, with news or without."""
        self._starts.record_answer(now)

    def take(self, now: float, source: str, kind: int, entries: Sequence[Listed]
             ) -> tuple[int, list[ListedWorker]]:
        """Follow what a source named; FULL and CACHED name all of that source's.

        The kind of list and the entries that the decisions are to follow.
        """
        self._able.clear()
        entries = list({e.name: e for e in entries}.values())  # named twice: the last word counts
        changes = entries + self._unnamed(source, kind, entries)
        self._remember(entries)
        told = [self._follow(now, source, e) for e in changes
                if e.state != WorkerState.GONE or (source, e.name) in self._numbers]
        if kind in (ListKind.FULL, ListKind.CACHED) and any(s != source for s, _ in self._numbers):
            kind = ListKind.CHANGES  # the decisions must not drop what other sources named
        if kind != ListKind.CHANGES:
            told = [t for t in told if t.state != WorkerState.GONE]
        return kind, told

    def moved_by_hand(self, now: float, names: Iterable[str]) -> list[ListedWorker]:
        """Destinations went out by hand or came back: those that are listed drain, or are as listed."""
        wanted = set(names)
        self._able.clear()
        return [self._follow(now, d.source, replace(d.listed, state=d.said))
                for d in list(self.by_number.values()) if d.listed.name in wanted]

    def _unnamed(self, source: str, kind: int, entries: Sequence[Listed]) -> list[Listed]:
        """Those of a source that its whole list does not name any more."""
        if kind not in (ListKind.FULL, ListKind.CACHED):
            return []
        known = {name for s, name in self._numbers if s == source}
        return [Listed(name, "", WorkerState.GONE) for name in sorted(known - {e.name for e in entries})]

    def _remember(self, entries: Sequence[Listed]) -> None:
        for entry in entries:
            self._ever.pop(entry.name, None)
            self._ever[entry.name] = None
        while len(self._ever) > max(EVER_MOST, len(self.by_number)):
            del self._ever[next(iter(self._ever))]

    def _follow(self, now: float, source: str, entry: Listed) -> ListedWorker:
        """Take one entry in; as the decisions are to know it."""
        number = self._number(source, entry.name)
        known = self.by_number.get(number)
        if known is None:
            known = Destination(number, source, entry, identity=identity(source, entry.name))
            self.by_number[number] = known
        elif entry.state == WorkerState.GONE or (entry.addr, entry.started_ms) != (
                known.listed.addr, known.listed.started_ms):
            self._forget(known)
        if entry.state == WorkerState.GONE:
            known.listed.state = WorkerState.GONE
            del self._numbers[source, entry.name], self.by_number[number]
        else:
            known.said = entry.state
            if entry.state == WorkerState.READY and self.outs.holds(entry.name):
                entry = replace(entry, state=WorkerState.DRAINING)
            known.listed = entry
        started_at = self._starts.to_own_clock(f"{source}/{entry.name}", entry.started_ms, now)
        return ListedWorker(entry.state, entry.kind, entry.cell, entry.weight, entry.zone, number,
                            started_at, entry.able, known.identity)

    def _number(self, source: str, name: str) -> int:
        """The number of a destination, given now if it has none.

        Guards against gateways that number workers by the order of their lists: the decisions draw by these
        numbers, and a key has one home only if every gateway draws alike.
        """
        number = self._numbers.get((source, name))
        if number is None:
            number = zlib.crc32(f"{source}/{name}".encode()) or 1
            while number in self.by_number:
                number += 1
            self._numbers[source, name] = number
        return number
