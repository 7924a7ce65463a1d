"""Owns what the members have reported to this one, and how old it is: the role of aggregator.

Pure.  It holds the last count of each member at each listed worker, and never lets go of a silent member's
counts by itself: the caller says when these are void.  A sum is as old as the oldest report that covers its
worker, over the members that live.
"""

from __future__ import annotations

from collections.abc import Iterable, Set

from .sums_messages import DeadSet, Message

NEVER = -1e18
REFUSED_MAX = 1_024  # ids of workers not listed that are remembered for one member; beyond, any may be one
_NOBODY: frozenset[int] = frozenset()


class Reported:
    """What one member has reported."""

    __slots__ = ("counts", "applied", "as_of", "dead", "replacing", "refused", "refused_more")

    def __init__(self) -> None:
        self.counts: dict[int, int] = {}  # by id; none is 0
        self.applied = 0  # the last datagram of the report's chain that was applied
        self.as_of = NEVER  # the report holds all that the member had out then
        self.dead = DeadSet.of(_NOBODY)  # as the member saw it
        self.replacing: set[int] | None = None  # counts that a whole report, now coming in, has not named yet
        self.refused: set[int] = set()  # ids it named while they were not listed
        self.refused_more = False


class Aggregator:
    """Counts by member, and their sums."""

    __slots__ = ("me", "refused", "_reported", "_refusing", "_totals", "_listed", "_live", "_by_need", "_oldest",
                 "_waiting", "_own")

    def __init__(self, me: int, members: Iterable[int]) -> None:
        self.me = me
        self.refused = 0  # entries for workers that were not listed
        self._reported = {m: Reported() for m in members if m != me}
        self._refusing: set[int] = set()  # members that named a worker that was not listed
        self._totals: dict[int, int] = {}  # of the others, by id
        self._listed: set[int] = set()
        self._live = set(self._reported)
        self._by_need: dict[frozenset[int], dict[int, float]] = {}  # see ``as_of``
        self._oldest: dict[frozenset[int], float] = {}
        self._waiting: dict[int, set[int]] = {}  # members that must report all before a worker's sum is whole
        self._own: dict[int, int] = {}

    def add_worker(self, wire_id: int) -> None:
        """Take counts of a worker; whoever named it before it was listed must report all again."""
        if wire_id in self._listed:
            return
        self._listed.add(wire_id)
        for member in self._refusing:
            said = self._reported[member]
            if said.refused_more or wire_id in said.refused:
                said.applied = 0
                self._waiting.setdefault(wire_id, set()).add(member)

    def remove_worker(self, wire_id: int) -> None:
        """Take no more counts of a worker."""
        self._listed.discard(wire_id)
        self._waiting.pop(wire_id, None)
        for member, said in self._reported.items():
            if wire_id in said.counts:
                self._set(said, wire_id, 0)
                self._refuse(member, said, wire_id)

    def set_own(self, wire_id: int, count: int) -> None:
        """Note the count of this member itself."""
        if count:
            self._own[wire_id] = count
        else:
            self._own.pop(wire_id, None)

    def applied(self, member: int) -> int:
        """The last datagram of a member that was applied: what is acknowledged to it."""
        return self._reported[member].applied

    def reborn(self, member: int) -> None:
        """A member has a new life: it starts to report anew; the old counts stand until it has told all."""
        self._reported[member].applied = 0

    def void(self, member: int) -> None:
        """A member's counts are void: it was silent for so long that nothing of it can be running."""
        said = self._reported[member]
        if not said.applied and not said.counts:
            return
        for wire_id in list(said.counts):
            self._set(said, wire_id, 0)
        said.applied = 0
        said.replacing = None
        said.as_of = NEVER
        self.live(self._live)

    def apply(self, member: int, message: Message) -> bool:
        """Apply a report, if it is new and builds on what was applied; whether it did."""
        said = self._reported[member]
        if not message.base <= said.applied < message.number:
            return False
        if message.base == 0 and said.applied == 0:  # else it goes on: what was taken was not yet acknowledged
            said.replacing = set(said.counts)
            said.refused.clear()
            said.refused_more = False
            self._refusing.discard(member)
        said.applied = message.number
        for wire_id, count in message.report.items():
            if wire_id not in self._listed:
                self.refused += 1
                if count:
                    self._refuse(member, said, wire_id)
                else:
                    said.refused.discard(wire_id)
                continue
            self._set(said, wire_id, count)
            if said.replacing is not None:
                said.replacing.discard(wire_id)
        if not message.more and said.replacing is not None:
            for wire_id in said.replacing:
                self._set(said, wire_id, 0)
            said.replacing = None
            self._whole(member, said)
        return True

    def _whole(self, member: int, said: Reported) -> None:
        """A member has told all: no sum waits for it, but of workers that it has just named in vain."""
        for wire_id in [w for w, members in self._waiting.items() if member in members]:
            if not said.refused_more and wire_id not in said.refused:
                self._waiting[wire_id].discard(member)
                if not self._waiting[wire_id]:
                    del self._waiting[wire_id]

    def cover(self, member: int, as_of: float, dead: DeadSet, all_dead: DeadSet) -> None:
        """A member's report is whole, and holds all that it had out at ``as_of``; ``all_dead`` as seen here."""
        said = self._reported[member]
        said.as_of = max(said.as_of, as_of)
        said.dead = dead
        for dead_required, times in self._by_need.items():
            if dead.includes(dead_required, all_dead):
                times[member] = max(times.get(member, NEVER), as_of)

    def live(self, live: Set[int]) -> None:
        """These members live; the sums' age does not wait for others."""
        self._live = set(live) & set(self._reported)
        self._by_need.clear()
        self._oldest.clear()

    def refresh(self) -> None:
        """Find the age of sums anew."""
        self._oldest.clear()

    def as_of(self, now: float, wire_id: int, dead_required: frozenset[int], all_dead: DeadSet) -> float:
        """When the sum at a worker was whole; ``need``: whom a member must take to be dead to report it here."""
        if wire_id in self._waiting and self._waiting[wire_id] & self._live:
            return NEVER
        oldest = self._oldest.get(dead_required)
        if oldest is None:
            oldest = self._oldest[dead_required] = self._find(now, dead_required, all_dead)
        return oldest

    def _find(self, now: float, dead_required: frozenset[int], all_dead: DeadSet) -> float:
        times = self._by_need.get(dead_required)
        if times is None:
            times = self._by_need[dead_required] = {m: said.as_of for m, said in self._reported.items()
                                           if said.dead.includes(dead_required, all_dead)}
        return min((times.get(m, NEVER) for m in self._live), default=now)

    def others(self, wire_id: int, member: int) -> int:
        """The slots that all but one member have out at a worker."""
        if member == self.me:
            return self._totals.get(wire_id, 0)
        return (self._totals.get(wire_id, 0) + self._own.get(wire_id, 0)
                - self._reported[member].counts.get(wire_id, 0))

    def total(self, wire_id: int) -> int:
        """The slots that all have out at a worker."""
        return self._totals.get(wire_id, 0) + self._own.get(wire_id, 0)

    def _set(self, said: Reported, wire_id: int, count: int) -> None:
        total = self._totals.get(wire_id, 0) + count - said.counts.get(wire_id, 0)
        if total:
            self._totals[wire_id] = total
        else:
            self._totals.pop(wire_id, None)
        if count:
            said.counts[wire_id] = count
        else:
            said.counts.pop(wire_id, None)

    def _refuse(self, member: int, said: Reported, wire_id: int) -> None:
        self._refusing.add(member)
        if len(said.refused) < REFUSED_MAX:
            said.refused.add(wire_id)
        else:
            said.refused_more = True
