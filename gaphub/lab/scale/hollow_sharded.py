"""Simulated schedulers of a large fleet: what they would send the real ones in the sharded exchange.

Each has a real ``ShardedExchange``, whose rules and codec decide what it reports and echoes, which sums it sends,
and how it spends its byte budget among all members.  The following is simplified, without effect on the real
schedulers:

- Simulated schedulers do not send to each other.  Each takes the others to be alive, as it would while none fails.
  In place of each round to a simulated peer it spends as many bytes of its budget as its last round to a real
  scheduler had.
- In place of the reports that an aggregator would receive from other simulated schedulers, it reads one shared
  table of their slots out.  Its sums are thus newer than their stated age, by up to ``REPORT_AGE_ROUNDS`` rounds
  of changes: some slots in either direction.
- The age of a sum depends on when reports were built and echoed.  With one datagram a round in each direction, at
  independent phases for each pair, a report's age is anywhere up to two rounds.  A sum states the oldest report
  over all members, which is close to two rounds in a large fleet (computed: 1.9 among 200).  The stated age is
  therefore ``REPORT_AGE_ROUNDS`` rounds, or the age of the real schedulers' reports, if that is higher.
- For the simulated schedulers the list of workers never changes and no member dies.  Members, owners and ids are
  the same for all, so all share one assignment.  While workers are removed from the list of the real schedulers,
  these still receive sums of the removed ones.
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
from .hollow import FleetPlan, TaskSimulation, heartbeat_slowdown, worker_name

REPORT_AGE_ROUNDS = 2.0  # stated age of simulated schedulers' reports in the sums of another simulated scheduler
EPOCH = 1  # of each simulated scheduler, which never restarts
_HEARTBEAT, _WAKE = range(2)


class FleetDatagram(NamedTuple):
    """A datagram of a simulated scheduler."""

    scheduler: int  # index of the sender
    receiver: int  # index of the real scheduler, or ALL_PEERS
    data: bytes


class SharedTable:
    """State that all simulated schedulers of a fleet share."""

    def __init__(self, members: int, names: Mapping[int, str]) -> None:
        """``names``: of the workers, by worker number, as the core passes them to its exchange."""
        self.assignment = Assignment(range(members))
        self.identities = Identities()
        self.slots_out: dict[int, int] = {}  # total over all simulated schedulers, by wire id
        for number, name in names.items():
            self.identities.add(number, name)
        for number in names:
            self.assignment.add(self.identities.id_of(number))

    def add_slots(self, number: int, delta: int) -> None:
        """Add ``delta`` to the slots that the simulated schedulers have out at a worker."""
        wire_id = self.identities.id_of(number)
        self.slots_out[wire_id] = self.slots_out.get(wire_id, 0) + delta


class SimulatedAggregator(Aggregator):
    """Sums over the real schedulers' reports and the shared table of the simulated schedulers' slots out."""

    __slots__ = ("_shared", "_report_age_ms")

    def __init__(self, me: int, real: Iterable[int], shared: SharedTable, report_age_ms: float) -> None:
        """``report_age_ms``: the stated age of the reports of other simulated schedulers."""
        super().__init__(me, real)
        self._shared = shared
        self._report_age_ms = report_age_ms
        for wire_id in shared.assignment.shards[me]:
            self.add_worker(wire_id)

    def set_own(self, wire_id: int, count: int) -> None:
        """Do nothing, as the shared table has this scheduler's own slots."""

    def total_except(self, wire_id: int, member: int) -> int:
        """The slots that all members but one real scheduler have out at a worker."""
        return super().total_except(wire_id, member) + self._shared.slots_out.get(wire_id, 0)

    def total(self, wire_id: int) -> int:
        """The slots that all members have out at a worker."""
        return super().total(wire_id) + self._shared.slots_out.get(wire_id, 0)

    def as_of(self, now: float, wire_id: int, dead_required: frozenset[int], all_dead: DeadSet) -> float:
        """The time as of which the sum at a worker is complete, at least ``REPORT_AGE_ROUNDS`` rounds ago."""
        return min(super().as_of(now, wire_id, dead_required, all_dead), now - self._report_age_ms)


class SimulatedExchange(ShardedExchange):
    """One simulated scheduler's exchange, which sends to the real members only."""

    def __init__(self, now: float, me: int, members: int, real: Collection[int], shared: SharedTable) -> None:
        super().__init__(now, me, range(members), EPOCH)
        self._real = frozenset(real)
        self._assignment = shared.assignment
        self._identities = shared.identities
        self._aggregator = SimulatedAggregator(me, real, shared, REPORT_AGE_ROUNDS * self.plan.round_ms)
        self.plan = self._plan(0.0, 0.0)
        self._last_real_bytes = 0  # in the last round to a real scheduler
        self._last_real_reports = 0
        for member, peer in self._peers.items():
            if member not in self._real:
                peer.heard_at = inf

    def _targets(self, wire_id: int) -> list[int]:
        return [member for member in super()._targets(wire_id) if member in self._real]

    def _send_round_to(self, now: float, member: int) -> list[Outgoing]:
        if member not in self._real:
            self._bucket.spend(self._last_real_bytes)
            self._entries_reported += self._last_real_reports
            return []
        reported = self._entries_reported
        outgoing = super()._send_round_to(now, member)
        self._last_real_bytes = sum(len(data) for _, data in outgoing)
        self._last_real_reports = self._entries_reported - reported
        return outgoing

    def _on_member_dead(self, member: int) -> None:
        """Do nothing: a run in which a real scheduler falls silent has failed."""


class ShardedFleet(TaskSimulation):
    """All simulated schedulers of a large fleet; the real schedulers have the lowest member numbers."""

    def __init__(self, plan: FleetPlan, now: float) -> None:
        """``now``: in milliseconds, as in all methods."""
        super().__init__(plan, now)
        real = range(len(plan.receivers))
        names = [str(worker_identity(SOURCE, worker_name(i))) for i in range(plan.workers)]
        self.shared = SharedTable(plan.schedulers, dict(zip(self.worker_numbers, names, strict=True)))
        self.exchanges = [SimulatedExchange(now, len(real) + i, plan.schedulers, real, self.shared)
                          for i in range(len(plan.listen))]
        self.counts: list[dict[int, int]] = [{} for _ in plan.listen]
        self._timers: list[tuple[float, int, int]] = []  # due time, kind, index of the scheduler
        self._heartbeat_ms = HEARTBEAT_INTERVAL_S * 1000.0 * heartbeat_slowdown(plan)
        for scheduler, worker in self.tasks:
            self._add_slots(scheduler, worker, 1)
        for scheduler, counts in enumerate(self.counts):
            for worker, count in counts.items():
                self.exchanges[scheduler].record_change(now, worker, count, True)
        for i, exchange in enumerate(self.exchanges):
            heappush(self._timers, (now + self.random.random() * exchange.plan.round_ms, _WAKE, i))
            heappush(self._timers, (now + self.random.random() * self._heartbeat_ms, _HEARTBEAT, i))

    def _add_slots(self, scheduler: int, worker: int, delta: int) -> int:
        """Change one simulated scheduler's slots out at a worker; return the new count."""
        counts = self.counts[scheduler]
        slots_out = counts.get(worker, 0) + delta
        if slots_out:
            counts[worker] = slots_out
        else:
            del counts[worker]
        self.shared.add_slots(worker, delta)
        return slots_out

    def advance(self, now: float) -> Iterator[FleetDatagram]:
        """Advance to ``now``; yield each due datagram."""
        for scheduler, worker, started in self.simulate_tasks(now):
            slots_out = self._add_slots(scheduler, worker, 1 if started else -1)
            self.exchanges[scheduler].record_change(now, worker, slots_out, started)
        while self._timers and self._timers[0][0] <= now:
            due, timer, i = heappop(self._timers)
            if timer == _HEARTBEAT:
                heappush(self._timers, (now + self._heartbeat_ms, _HEARTBEAT, i))
                yield FleetDatagram(i, ALL_PEERS, bytes([HEARTBEAT_TYPE, 1]))
                continue
            for receiver, data in self._wake(now, due, i):
                yield FleetDatagram(i, receiver, data)

    def _wake(self, now: float, due: float, i: int) -> Sequence[Outgoing]:
        exchange = self.exchanges[i]
        outgoing = exchange.on_wakeup(now, due, self.random.random)
        heappush(self._timers, (exchange.take_wakeup() or now, _WAKE, i))
        return outgoing

    def on_datagram(self, now: float, scheduler: int, sender: int, data: bytes) -> None:
        """Handle a datagram from a real scheduler; ignore what is not of the sharded format."""
        if data[:1] == bytes((VERSION,)):
            self.exchanges[scheduler].on_message(now, sender, data, {}, self.random.random)
