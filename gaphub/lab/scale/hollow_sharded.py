"""Owns the hollow schedulers of a large fleet: what they would say to the real ones in the sharded exchange.

Each has a real ``ShardedExchange``, by whose rules and codec it reports, echoes, chooses which sums it tells and
keeps its pace among all members.  What is left out, and why the real schedulers cannot tell:

- Hollow schedulers say nothing to each other.  Each takes the others to live, as it would while all goes well;
  for what it would say as many bytes of the budget are spent as the last datagrams to a real one had.
- What hollow schedulers would have reported to an aggregator it takes from one table of what all of them have out.
  Its sums are thus newer than they say, by up to ``AGE_ROUNDS`` rounds of changes: some slots in either direction.
- The age of sums follows from when reports were built and echoed.  With one datagram a round in each direction, at
  phases of its own for each pair, that is anywhere up to two rounds; a sum states the oldest over all members,
  close to two rounds among many (computed: 1.9 among 200).  ``AGE_ROUNDS`` rounds are stated, or the age of what
  the real ones reported, if that is older.
- To the hollow schedulers the list of workers rests, and nobody dies: members, owners and ids are the same for
  all, so that one assignment serves.  While workers leave the real ones' lists, they still hear sums of these.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from heapq import heappop, heappush
from math import inf
from typing import NamedTuple

from ...messages import worker_identity
from ...net.destinations import SOURCE
from ...net.peers import HEARTBEAT_INTERVAL_S, HEARTBEAT_TYPE
from ...occupancy.aggregator import Aggregator
from ...occupancy.assignment import Assignment
from ...occupancy.exchange import ALL_PEERS, Outgoing
from ...occupancy.identity import Identities
from ...occupancy.sharded import ShardedExchange
from ...occupancy.sums_messages import VERSION, DeadSet
from .hollow import HollowPlan, TaskProcess, beat_pace, worker_name

AGE_ROUNDS = 2.0  # of the reports of hollow schedulers in the sums of another
EPOCH = 1  # of each hollow scheduler's only life
_BEAT, _WAKE = range(2)


class Said(NamedTuple):
    """A datagram of a hollow scheduler."""

    scheduler: int  # its place
    receiver: int  # the place of the real one, or ALL_PEERS
    data: bytes


class Shared:
    """What is the same for all hollow schedulers of a fleet."""

    def __init__(self, members: int, names: Mapping[int, str]) -> None:
        """``names``: of the workers, by their numbers, as the core tells them to its exchange."""
        self.assignment = Assignment(range(members))
        self.identities = Identities()
        self.out: dict[int, int] = {}  # slots that all hollow schedulers have out, by wire id
        for number, name in names.items():
            self.identities.add(number, name)
        for number in names:
            self.assignment.add(self.identities.id_of(number))

    def change(self, number: int, by: int) -> None:
        """A hollow scheduler has so many more slots out at a worker."""
        wire_id = self.identities.id_of(number)
        self.out[wire_id] = self.out.get(wire_id, 0) + by


class HollowAggregator(Aggregator):
    """Sums over what the real schedulers reported and the table of what all hollow ones have out."""

    __slots__ = ("_shared", "_lag_ms")

    def __init__(self, me: int, real: Iterable[int], shared: Shared, lag_ms: float) -> None:
        """``lag_ms``: how old the reports of other hollow schedulers are."""
        super().__init__(me, real)
        self._shared = shared
        self._lag_ms = lag_ms
        for wire_id in shared.assignment.shards[me]:
            self.add_worker(wire_id)

    def set_own(self, wire_id: int, count: int) -> None:
        """Nothing: the table holds it."""

    def total_except(self, wire_id: int, member: int) -> int:
        """The slots that all but one real scheduler have out at a worker."""
        return super().total_except(wire_id, member) + self._shared.out.get(wire_id, 0)

    def total(self, wire_id: int) -> int:
        """The slots that all have out at a worker."""
        return super().total(wire_id) + self._shared.out.get(wire_id, 0)

    def as_of(self, now: float, wire_id: int, dead_required: frozenset[int], all_dead: DeadSet) -> float:
        """When the sum at a worker was whole, as ``AGE_ROUNDS`` has it."""
        return min(super().as_of(now, wire_id, dead_required, all_dead), now - self._lag_ms)


class HollowExchange(ShardedExchange):
    """One hollow scheduler's part in the exchange: it tells the real members alone."""

    def __init__(self, now: float, me: int, members: int, real: Collection[int], shared: Shared) -> None:
        super().__init__(now, me, range(members), EPOCH)
        self._real = frozenset(real)
        self._assignment = shared.assignment
        self._identities = shared.identities
        self._aggregator = HollowAggregator(me, real, shared, AGE_ROUNDS * self.plan.round_ms)
        self.plan = self._plan(0.0, 0.0)
        self._told_bytes = 0  # to the real one told last
        self._told_reports = 0
        for member, peer in self._peers.items():
            if member not in self._real:
                peer.heard_at = inf

    def _targets(self, wire_id: int) -> list[int]:
        return [member for member in super()._targets(wire_id) if member in self._real]

    def _send_round_to(self, now: float, member: int) -> list[Outgoing]:
        if member not in self._real:
            self._bucket.spend(self._told_bytes)
            self._entries_reported += self._told_reports
            return []
        reported = self._entries_reported
        outgoing = super()._send_round_to(now, member)
        self._told_bytes = sum(len(data) for _, data in outgoing)
        self._told_reports = self._entries_reported - reported
        return outgoing

    def _on_member_dead(self, member: int) -> None:
        """Nothing: a run in which a real scheduler falls silent has failed."""


class ShardedFleet(TaskProcess):
    """All hollow schedulers of a large fleet; the real ones come first among the members."""

    def __init__(self, plan: HollowPlan, now: float) -> None:
        """``now``: ms, as in all that follows."""
        super().__init__(plan, now)
        real = range(len(plan.receivers))
        names = [str(worker_identity(SOURCE, worker_name(i))) for i in range(plan.workers)]
        self.shared = Shared(plan.schedulers, dict(zip(self.numbers, names, strict=True)))
        self.exchanges = [HollowExchange(now, len(real) + i, plan.schedulers, real, self.shared)
                          for i in range(len(plan.listen))]
        self.counts: list[dict[int, int]] = [{} for _ in plan.listen]
        self._due: list[tuple[float, int, int]] = []  # when, what, and at which scheduler
        self._pace_ms = HEARTBEAT_INTERVAL_S * 1000.0 * beat_pace(plan)
        for scheduler, worker in self.tasks:
            self._count(scheduler, worker, 1)
        for scheduler, counts in enumerate(self.counts):
            for worker, count in counts.items():
                self.exchanges[scheduler].record_change(now, worker, count, True)
        for i, exchange in enumerate(self.exchanges):
            heappush(self._due, (now + self.draw.random() * exchange.plan.round_ms, _WAKE, i))
            heappush(self._due, (now + self.draw.random() * self._pace_ms, _BEAT, i))

    def _count(self, scheduler: int, worker: int, by: int) -> int:
        """The slots out of one at a worker, after a change."""
        counts = self.counts[scheduler]
        left = counts.get(worker, 0) + by
        if left:
            counts[worker] = left
        else:
            del counts[worker]
        self.shared.change(worker, by)
        return left

    def advance(self, now: float) -> Iterator[Said]:
        """Play on until ``now``: each datagram that is due."""
        for scheduler, worker, more in self.changes(now):
            left = self._count(scheduler, worker, 1 if more else -1)
            self.exchanges[scheduler].record_change(now, worker, left, more)
        while self._due and self._due[0][0] <= now:
            due, what, i = heappop(self._due)
            if what == _BEAT:
                heappush(self._due, (now + self._pace_ms, _BEAT, i))
                yield Said(i, ALL_PEERS, bytes([HEARTBEAT_TYPE, 1]))
                continue
            for receiver, data in self._wake(now, due, i):
                yield Said(i, receiver, data)

    def _wake(self, now: float, due: float, i: int) -> Sequence[Outgoing]:
        exchange = self.exchanges[i]
        outgoing = exchange.on_wakeup(now, due, self.draw.random)
        heappush(self._due, (exchange.take_wakeup() or now, _WAKE, i))
        return outgoing

    def take(self, now: float, scheduler: int, sender: int, data: bytes) -> None:
        """A real scheduler tells a hollow one; what is not of the sharded format means nothing to it."""
        if data[:1] == bytes((VERSION,)):
            self.exchanges[scheduler].on_message(now, sender, data, {}, self.draw.random)
