"""Owns what the members have reported to this one, and how old it is: the role of aggregator.

Pure.  It holds the last count of each member at each listed worker, and never lets go of a silent member's
counts by itself: the caller says when these are void.  A sum is as old as the oldest report that covers its
worker, over the members that live.
"""

from __future__ import annotations

from collections.abc import Iterable, Set

from .sums_messages import DeadSet, Message

NEVER = -1e18
MAX_REFUSED_IDS = 1_024  # ids of workers not listed that are remembered for one member; beyond, any may be one
_NO_MEMBERS: frozenset[int] = frozenset()


class MemberReport:
    """What one member has reported."""

    __slots__ = ("counts", "applied", "as_of", "dead", "unconfirmed", "refused", "refused_overflow")

    def __init__(self) -> None:
        self.counts: dict[int, int] = {}  # by id; none is 0
        self.applied = 0  # the last datagram of the report's chain that was applied
        self.as_of = NEVER  # the report holds all that the member had out then
        self.dead = DeadSet.of(_NO_MEMBERS)  # as the member saw it
        self.unconfirmed: set[int] | None = None  # counts that a whole report, now coming in, has not named yet
        self.refused: set[int] = set()  # ids it named while they were not listed
        self.refused_overflow = False


class Aggregator:
    """Counts by member, and their sums."""

    __slots__ = ("me", "refused", "_reports", "_members_with_refused", "_totals", "_listed", "_live",
                 "_as_of_by_dead", "_oldest_as_of", "_awaiting", "_own")

    def __init__(self, me: int, members: Iterable[int]) -> None:
        self.me = me
        self.refused = 0  # entries for workers that were not listed
        self._reports = {m: MemberReport() for m in members if m != me}
        self._members_with_refused: set[int] = set()  # members that named a worker that was not listed
        self._totals: dict[int, int] = {}  # of the others, by id
        self._listed: set[int] = set()
        self._live = set(self._reports)
        self._as_of_by_dead: dict[frozenset[int], dict[int, float]] = {}  # see ``as_of``
        self._oldest_as_of: dict[frozenset[int], float] = {}
        self._awaiting: dict[int, set[int]] = {}  # members that must report all before a worker's sum is whole
        self._own: dict[int, int] = {}

    def add_worker(self, wire_id: int) -> None:
        """Take counts of a worker; whoever named it before it was listed must report all again."""
        if wire_id in self._listed:
            return
        self._listed.add(wire_id)
        for member in self._members_with_refused:
            report = self._reports[member]
            if report.refused_overflow or wire_id in report.refused:
                report.applied = 0
                self._awaiting.setdefault(wire_id, set()).add(member)

    def remove_worker(self, wire_id: int) -> None:
        """Take no more counts of a worker."""
        self._listed.discard(wire_id)
        self._awaiting.pop(wire_id, None)
        for member, report in self._reports.items():
            if wire_id in report.counts:
                self._set_count(report, wire_id, 0)
                self._refuse(member, report, wire_id)

    def set_own(self, wire_id: int, count: int) -> None:
        """Note the count of this member itself."""
        if count:
            self._own[wire_id] = count
        else:
            self._own.pop(wire_id, None)

    def applied(self, member: int) -> int:
        """The last datagram of a member that was applied: what is acknowledged to it."""
        return self._reports[member].applied

    def restart_member(self, member: int) -> None:
        """A member has a new life: it starts to report anew; the old counts stand until it has told all."""
        self._reports[member].applied = 0

    def clear_member(self, member: int) -> None:
        """A member's counts are void: it was silent for so long that nothing of it can be running."""
        report = self._reports[member]
        if not report.applied and not report.counts:
            return
        for wire_id in list(report.counts):
            self._set_count(report, wire_id, 0)
        report.applied = 0
        report.unconfirmed = None
        report.as_of = NEVER
        self.set_live(self._live)

    def apply(self, member: int, message: Message) -> bool:
        """Apply a report, if it is new and builds on what was applied; whether it did."""
        report = self._reports[member]
        if not message.base <= report.applied < message.number:
            return False
        if message.base == 0 and report.applied == 0:  # else it goes on: what was taken was not yet acknowledged
            report.unconfirmed = set(report.counts)
            report.refused.clear()
            report.refused_overflow = False
            self._members_with_refused.discard(member)
        report.applied = message.number
        for wire_id, count in message.report.items():
            if wire_id not in self._listed:
                self.refused += 1
                if count:
                    self._refuse(member, report, wire_id)
                else:
                    report.refused.discard(wire_id)
                continue
            self._set_count(report, wire_id, count)
            if report.unconfirmed is not None:
                report.unconfirmed.discard(wire_id)
        if not message.more and report.unconfirmed is not None:
            for wire_id in report.unconfirmed:
                self._set_count(report, wire_id, 0)
            report.unconfirmed = None
            self._on_full_report(member, report)
        return True

    def _on_full_report(self, member: int, report: MemberReport) -> None:
        """A member has told all: no sum waits for it, but of workers that it has just named in vain."""
        for wire_id in [w for w, members in self._awaiting.items() if member in members]:
            if not report.refused_overflow and wire_id not in report.refused:
                self._awaiting[wire_id].discard(member)
                if not self._awaiting[wire_id]:
                    del self._awaiting[wire_id]

    def record_as_of(self, member: int, as_of: float, dead: DeadSet, all_dead: DeadSet) -> None:
        """A member's report is whole, and holds all that it had out at ``as_of``; ``all_dead`` as seen here."""
        report = self._reports[member]
        report.as_of = max(report.as_of, as_of)
        report.dead = dead
        for dead_required, times in self._as_of_by_dead.items():
            if dead.includes(dead_required, all_dead):
                times[member] = max(times.get(member, NEVER), as_of)

    def set_live(self, live: Set[int]) -> None:
        """These members live; the sums' age does not wait for others."""
        self._live = set(live) & set(self._reports)
        self._as_of_by_dead.clear()
        self._oldest_as_of.clear()

    def invalidate_ages(self) -> None:
        """Find the age of sums anew."""
        self._oldest_as_of.clear()

    def as_of(self, now: float, wire_id: int, dead_required: frozenset[int], all_dead: DeadSet) -> float:
        """When the sum at a worker was whole; ``need``: whom a member must take to be dead to report it here."""
        if wire_id in self._awaiting and self._awaiting[wire_id] & self._live:
            return NEVER
        oldest = self._oldest_as_of.get(dead_required)
        if oldest is None:
            oldest = self._oldest_as_of[dead_required] = self._find_oldest(now, dead_required, all_dead)
        return oldest

    def _find_oldest(self, now: float, dead_required: frozenset[int], all_dead: DeadSet) -> float:
        times = self._as_of_by_dead.get(dead_required)
        if times is None:
            times = self._as_of_by_dead[dead_required] = {m: report.as_of for m, report in self._reports.items()
                                                          if report.dead.includes(dead_required, all_dead)}
        return min((times.get(m, NEVER) for m in self._live), default=now)

    def others(self, wire_id: int, member: int) -> int:
        """The slots that all but one member have out at a worker."""
        if member == self.me:
            return self._totals.get(wire_id, 0)
        return (self._totals.get(wire_id, 0) + self._own.get(wire_id, 0)
                - self._reports[member].counts.get(wire_id, 0))

    def total(self, wire_id: int) -> int:
        """The slots that all have out at a worker."""
        return self._totals.get(wire_id, 0) + self._own.get(wire_id, 0)

    def _set_count(self, report: MemberReport, wire_id: int, count: int) -> None:
        total = self._totals.get(wire_id, 0) + count - report.counts.get(wire_id, 0)
        if total:
            self._totals[wire_id] = total
        else:
            self._totals.pop(wire_id, None)
        if count:
            report.counts[wire_id] = count
        else:
            report.counts.pop(wire_id, None)

    def _refuse(self, member: int, report: MemberReport, wire_id: int) -> None:
        self._members_with_refused.add(member)
        if len(report.refused) < MAX_REFUSED_IDS:
            report.refused.add(wire_id)
        else:
            report.refused_overflow = True
