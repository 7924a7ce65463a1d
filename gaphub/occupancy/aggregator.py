"""The counts that the members reported to this one as an aggregator, their sums, and the age of the sums.

No I/O, no clock, no randomness.  Holds the last count of each member at each listed worker.  It never drops the
counts of a silent member by itself: the caller decides when to clear them.  A sum is as old as the oldest of the
live members' reports that cover its worker.
"""

from __future__ import annotations

from collections.abc import Iterable, Set

from .sums_messages import DeadSet, Message

NEVER = -1e18  # earlier than any time
MAX_REFUSED_IDS = 1_024  # refused ids stored per member; beyond that, any id counts as possibly refused
_NO_MEMBERS: frozenset[int] = frozenset()


class MemberReport:
    """The reported counts of one member."""

    __slots__ = ("counts", "applied", "as_of", "dead", "unconfirmed", "refused", "refused_overflow")

    def __init__(self) -> None:
        self.counts: dict[int, int] = {}  # by id; no zeros
        self.applied = 0  # number of the last datagram that was applied; 0: a full report is required
        self.as_of = NEVER  # the counts include all slots that the member had out at that time
        self.dead = DeadSet.of(_NO_MEMBERS)  # the members that the reporter considered dead
        self.unconfirmed: set[int] | None = None  # ids that an incoming full report has not listed yet
        self.refused: set[int] = set()  # ids that it reported while they were not listed
        self.refused_overflow = False


class Aggregator:
    """The counts by member and id, and their sums."""

    __slots__ = ("me", "refused", "_reports", "_members_with_refused", "_totals", "_listed", "_live",
                 "_as_of_by_dead", "_oldest_as_of", "_awaiting", "_own")

    def __init__(self, me: int, members: Iterable[int]) -> None:
        self.me = me
        self.refused = 0  # entries dropped because their workers were not listed
        self._reports = {m: MemberReport() for m in members if m != me}
        self._members_with_refused: set[int] = set()  # those with refused ids
        self._totals: dict[int, int] = {}  # sums over the other members, by id
        self._listed: set[int] = set()
        self._live = set(self._reports)
        self._as_of_by_dead: dict[frozenset[int], dict[int, float]] = {}  # by ``dead_required``, then by member
        self._oldest_as_of: dict[frozenset[int], float] = {}
        self._awaiting: dict[int, set[int]] = {}  # by id: members whose full report is awaited
        self._own: dict[int, int] = {}

    def add_worker(self, wire_id: int) -> None:
        """Accept counts of a worker; members that reported it while it was not listed must report in full."""
        if wire_id in self._listed:
            return
        self._listed.add(wire_id)
        for member in self._members_with_refused:
            report = self._reports[member]
            if report.refused_overflow or wire_id in report.refused:
                report.applied = 0
                self._awaiting.setdefault(wire_id, set()).add(member)

    def remove_worker(self, wire_id: int) -> None:
        """Drop the counts of a worker, and refuse further ones."""
        self._listed.discard(wire_id)
        self._awaiting.pop(wire_id, None)
        for member, report in self._reports.items():
            if wire_id in report.counts:
                self._set_count(report, wire_id, 0)
                self._refuse(member, report, wire_id)

    def set_own(self, wire_id: int, count: int) -> None:
        """Set this member's own count."""
        if count:
            self._own[wire_id] = count
        else:
            self._own.pop(wire_id, None)

    def applied(self, member: int) -> int:
        """The number of the member's last datagram that was applied, which is acknowledged to it."""
        return self._reports[member].applied

    def restart_member(self, member: int) -> None:
        """A member restarted and reports anew; its old counts stay until its full report is complete."""
        self._reports[member].applied = 0

    def clear_member(self, member: int) -> None:
        """Drop the counts of a member that has been silent for so long that none of its jobs can still run."""
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
        """Apply a report if it is new and builds on what was applied; returns whether it was applied."""
        report = self._reports[member]
        if not message.base <= report.applied < message.number:
            return False
        if message.base == 0 and report.applied == 0:  # else it continues an unacknowledged report
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
        """A full report is complete: the only sums that still wait for it are those of ids refused from it."""
        for wire_id in [w for w, members in self._awaiting.items() if member in members]:
            if not report.refused_overflow and wire_id not in report.refused:
                self._awaiting[wire_id].discard(member)
                if not self._awaiting[wire_id]:
                    del self._awaiting[wire_id]

    def record_as_of(self, member: int, as_of: float, dead: DeadSet, all_dead: DeadSet) -> None:
        """Record that the counts of a member include everything that it had out at ``as_of``.

        ``dead``: the members that it considered dead; ``all_dead``: those that this member considers dead.
        """
        report = self._reports[member]
        report.as_of = max(report.as_of, as_of)
        report.dead = dead
        for dead_required, times in self._as_of_by_dead.items():
            if dead.includes(dead_required, all_dead):
                times[member] = max(times.get(member, NEVER), as_of)

    def set_live(self, live: Set[int]) -> None:
        """Set the live members; the age of sums does not depend on others."""
        self._live = set(live) & set(self._reports)
        self._as_of_by_dead.clear()
        self._oldest_as_of.clear()

    def invalidate_ages(self) -> None:
        """Make ``as_of`` compute the age of sums anew."""
        self._oldest_as_of.clear()

    def as_of(self, now: float, wire_id: int, dead_required: frozenset[int], all_dead: DeadSet) -> float:
        """The time as of which the sum at a worker is complete; NEVER if a full report is missing.

        ``dead_required``: the members that a reporter must consider dead to send its count of this worker here.
        """
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

    def total_except(self, wire_id: int, member: int) -> int:
        """The slots that all members but one have out at a worker."""
        if member == self.me:
            return self._totals.get(wire_id, 0)
        return (self._totals.get(wire_id, 0) + self._own.get(wire_id, 0)
                - self._reports[member].counts.get(wire_id, 0))

    def total(self, wire_id: int) -> int:
        """The slots that all members have out at a worker."""
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
