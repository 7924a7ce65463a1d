"""A simulated network of sharded exchanges on a virtual clock, and a measurement at the intended size.

``python -m tests.occupancy_network MEMBERS SECONDS`` prints what one scheduler sends and receives per second, and
the age of the sums that schedulers use, at 11,000 workers with 2,500 starts and 2,500 ends per second.
"""

from __future__ import annotations

import random
import sys
import time
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush

from gaphub.occupancy.budget import Limits
from gaphub.occupancy.identity import primary_id
from gaphub.occupancy.sharded import DropReason, Received, ShardedExchange
from gaphub.occupancy.sums_messages import DeadSet, Message, encode

STEP_MS = 50.0
SILENT_MS = 5_000.0  # shortest silence after which a member may be considered dead


@dataclass
class NetworkConditions:
    """The faults that the network causes."""

    loss: float = 0.0
    duplication: float = 0.0
    delay_ms: float = 2.0  # at most; random delays reorder datagrams


class Network:
    """Members, the datagrams between them, and the true counts."""

    def __init__(self, seed: int, members: int, workers: int, limits: Limits | None = None) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.limits = limits
        self.conditions = NetworkConditions()
        self.workers = {1_000 + i: f"site/worker-{i}" for i in range(workers)}
        self.members = list(range(members))
        self.epochs = dict.fromkeys(self.members, 0)
        self.exchanges: dict[int, ShardedExchange] = {}
        self.wakeup_at: dict[int, float] = {}
        self.suspended: set[int] = set()
        self.is_cut: Callable[[int, int], bool] = lambda a, b: False
        self.history: dict[tuple[int, int], list[tuple[float, int]]] = defaultdict(lambda: [(-1e18, 0)])
        self.heard_since: dict[tuple[int, int], float] = {}  # without a gap of SILENT_MS
        self.heard_at: dict[tuple[int, int], float] = {}
        self.bytes_sent: dict[int, list[tuple[float, int]]] = defaultdict(list)
        self._in_flight: list[tuple[float, int, int, int, bytes]] = []
        self._socket_buffers: dict[int, list[tuple[int, bytes]]] = defaultdict(list)  # of suspended members
        self._sequence = 0
        for member in self.members:
            self.start(member)

    def start(self, member: int) -> None:
        """Start a member with a new epoch and no slots in use."""
        self.epochs[member] += 1
        exchange = ShardedExchange(self.now, member, self.members, self.epochs[member], self.limits)
        self.exchanges[member] = exchange
        self.wakeup_at[member] = exchange.take_wakeup() or self.now
        for number, name in self.workers.items():
            exchange.add_worker(self.now, number, name)

    def kill(self, member: int) -> None:
        """End a member and release all its slots."""
        del self.exchanges[member]
        self.suspended.discard(member)
        self._socket_buffers.pop(member, None)
        for number in self.workers:
            self.set_count(member, number, 0)

    def count(self, member: int, worker: int) -> int:
        """The slots that a member uses at a worker."""
        return self.history[member, worker][-1][1]

    def set_count(self, member: int, worker: int, count: int) -> None:
        """Set the slots that a member uses at a worker."""
        before = self.count(member, worker)
        if count != before:
            self.history[member, worker].append((self.now, count))
            if member in self.exchanges:
                self.exchanges[member].record_change(self.now, worker, count, count > before)

    def min_count_since(self, member: int, worker: int, since: float) -> int:
        """The fewest slots that a member has used at a worker since a time."""
        history = self.history[member, worker]
        first = bisect_right(history, since, key=lambda entry: entry[0]) - 1
        return min(count for _, count in history[max(0, first):])

    def make_changes(self, changes: int) -> None:
        """Make random changes of counts at random members and workers."""
        running = [m for m in self.exchanges if m not in self.suspended]
        for _ in range(changes):
            if not running:
                return
            member, worker = self.rng.choice(running), self.rng.choice(list(self.workers))
            count = self.count(member, worker)
            self.set_count(member, worker, max(0, count + self.rng.choice((-2, -1, 1, 1, 2))))

    def run(self, ms: float, changes: int = 0) -> None:
        """Advance the clock, with this many changes in each step."""
        end = self.now + ms
        while self.now < end:
            self.now += STEP_MS
            self._deliver()
            self.make_changes(changes)
            for member, exchange in list(self.exchanges.items()):
                if member not in self.suspended and self.wakeup_at[member] <= self.now:
                    outgoing = exchange.on_wakeup(self.now, self.wakeup_at[member], self.rng.random)
                    self.wakeup_at[member] = exchange.take_wakeup() or self.now
                    for peer, data in outgoing:
                        self.bytes_sent[member].append((self.now, len(data)))
                        self._send(member, peer, data)

    def resume(self, member: int) -> None:
        """Resume a suspended member, with the datagrams buffered in its socket."""
        self.suspended.discard(member)
        for sender, data in self._socket_buffers.pop(member, []):
            self._receive(sender, member, data)

    def _send(self, sender: int, peer: int, data: bytes) -> None:
        for _ in range(2 if self.rng.random() < self.conditions.duplication else 1):
            if self.rng.random() >= self.conditions.loss and not self.is_cut(sender, peer):
                self._sequence += 1
                at = self.now + self.rng.random() * self.conditions.delay_ms
                heappush(self._in_flight, (at, self._sequence, sender, peer, data))

    def _deliver(self) -> None:
        while self._in_flight and self._in_flight[0][0] <= self.now:
            _, _, sender, peer, data = heappop(self._in_flight)
            if peer in self.suspended:
                self._socket_buffers[peer] = [*self._socket_buffers[peer], (sender, data)][-200:]
            elif peer in self.exchanges:
                self._receive(sender, peer, data)

    def _receive(self, sender: int, peer: int, data: bytes) -> None:
        exchange = self.exchanges[peer]
        dropped_late = exchange.dropped[DropReason.LATE]
        assert exchange.on_message(self.now, sender, data, {}, self.rng.random) == Received()
        if exchange.dropped[DropReason.LATE] > dropped_late:
            return  # a reordered datagram is no sign of life
        if self.now - self.heard_at.get((sender, peer), -1e18) > SILENT_MS:
            self.heard_since[sender, peer] = self.now
        self.heard_at[sender, peer] = self.now

    def was_heard(self, member: int, listener: int, since: float) -> bool:
        """Whether a member has been heard by another without a gap since before a given time."""
        return (self.heard_since.get((member, listener), 1e18) < since
                and self.now - self.heard_at[member, listener] <= SILENT_MS)

    def understated(self) -> list[str]:
        """The sums below the counts that have stood for longer than their age at members heard throughout."""
        found = []
        for member, exchange in self.exchanges.items():
            if member in self.suspended:
                continue
            for worker in self.workers:
                age = exchange.age(self.now, worker)
                if age > 1e9:
                    continue
                since = self.now - age
                expected = sum(self.min_count_since(m, worker, since) for m in self.members
                               if m != member and self.was_heard(m, member, since))
                if exchange.peer_slots(worker) < expected:
                    found.append(f"{self.now}: {member} at {worker}: {exchange.peer_slots(worker)} of {expected}, "
                                 f"age {age}")
        return found

    def wrong_sums(self) -> list[str]:
        """The sums that differ from the true counts."""
        return [f"{m} at {w}: {e.peer_slots(w)}" for m, e in self.exchanges.items() for w in self.workers
                if e.peer_slots(w) != sum(self.count(o, w) for o in self.members if o != m)]

    def stale_sums(self) -> list[str]:
        """The sums that exceed the age bound."""
        return [f"{m} at {w}: {e.age(self.now, w)} of {e.plan.age_bound_ms}" for m, e in self.exchanges.items()
                for w in self.workers if not e.fresh(self.now, w)]


@dataclass
class Measured:
    """What one scheduler spends per second, and the age and error of the sums."""

    members: int
    bytes_out: float
    datagrams_out: float
    bytes_in: float
    datagrams_in: float
    cpu_percent: float  # of a core, for the exchange without sockets
    round_ms: float
    age_bound_ms: float
    age_p50_ms: float
    age_p99_ms: float
    age_max_ms: float
    off_p50: float  # difference between the sums and the true counts, in slots
    off_p99: float
    unknown: int  # sums that exceed the age bound

    def __str__(self) -> str:
        return "\n".join(f"{name} {value if isinstance(value, int) else round(value, 2)}"
                         for name, value in vars(self).items())


def measure_at_size(members: int, seconds: int, workers: int = 11_000, changes_per_s: int = 5_000,
                    running: int = 310_000, sampled: int = 8, loss: float = 0.0, seed: int = 1) -> Measured:
    """Measure a run of ``seconds`` in which no member fails after all have started; figures are of the last ten.

    The members share one assignment and one table of ids, which are equal while no member fails, so that the
    workers are listed only once instead of once per member.
    """
    rng = random.Random(seed)
    exchanges = [ShardedExchange(0.0, m, range(members), 1) for m in range(members)]
    first = exchanges[0]
    for number in range(1, workers + 1):
        first.add_worker(0.0, number, f"site/worker-{number}")
    for other in exchanges[1:]:
        other._assignment, other._identities = first._assignment, first._identities
        other._aggregator._listed = first._aggregator._listed
    counts = [[0] * (workers + 1) for _ in exchanges]
    totals = [0] * (workers + 1)
    tasks: list[tuple[int, int]] = []
    cpu_s = 0.0

    def change(member: int, worker: int, delta: int) -> tuple[int, int, int, bool]:
        counts[member][worker] += delta
        totals[worker] += delta
        return member, worker, counts[member][worker], delta > 0

    for _ in range(running):
        tasks.append((rng.randrange(members), rng.randrange(1, workers + 1)))
        member, worker, count, more = change(*tasks[-1], 1)
        exchanges[member].record_change(0.0, worker, count, more)
    step_ms, measured_ms = 100, 10_000
    in_flight: list[list[tuple[int, bytes]]] = [[] for _ in exchanges]
    out_bytes = out_datagrams = 0
    for now in range(step_ms, seconds * 1_000 + 1, step_ms):
        is_measured = now > seconds * 1_000 - measured_ms
        if now == seconds * 1_000 - measured_ms:
            cpu_s = 0.0
        changes = []
        for _ in range(changes_per_s * step_ms // 2_000):
            tasks.append((rng.randrange(members), rng.randrange(1, workers + 1)))
            changes.append(change(*tasks[-1], 1))
            index = rng.randrange(len(tasks))
            tasks[index], tasks[-1] = tasks[-1], tasks[index]
            changes.append(change(*tasks.pop(), -1))
        arriving, in_flight = in_flight, [[] for _ in exchanges]
        started_at = time.process_time()
        for member, worker, count, more in changes:
            exchanges[member].record_change(now, worker, count, more)
        for exchange, datagrams in zip(exchanges, arriving, strict=True):
            for sender, data in datagrams:
                exchange.on_message(now, sender, data, {}, rng.random)
            for peer, data in exchange.on_wakeup(now, now, rng.random):
                out_bytes += len(data) * is_measured
                out_datagrams += is_measured
                if not loss or rng.random() >= loss:
                    in_flight[peer].append((exchange.me, data))
        cpu_s += time.process_time() - started_at
    end = seconds * 1_000.0
    sampled_exchanges = exchanges[::max(1, members // sampled)]
    ages = sorted(e.age(end, w) for e in sampled_exchanges for w in range(1, workers + 1))
    errors = sorted(abs(e.peer_slots(w) + counts[e.me][w] - totals[w])
                    for e in sampled_exchanges for w in range(1, workers + 1))
    member_seconds = members * measured_ms / 1_000.0
    return Measured(members, out_bytes / member_seconds, out_datagrams / member_seconds,
                    out_bytes * (1 - loss) / member_seconds, out_datagrams * (1 - loss) / member_seconds,
                    100.0 * cpu_s / member_seconds, first.plan.round_ms,
                    first.plan.age_bound_ms, ages[len(ages) // 2], ages[len(ages) * 99 // 100], ages[-1],
                    errors[len(errors) // 2], errors[len(errors) * 99 // 100],
                    sum(a > first.plan.age_bound_ms for a in ages))


def cpu_of_one(members: int, seconds: int = 20, workers: int = 11_000, changes_per_s: int = 5_000,
               running: int = 310_000, seed: int = 1) -> float:
    """Percent of a core that one scheduler's exchange takes, without sockets, alone in its process.

    Its peers are simulated: each sends it one datagram per round, with as many sums and reported counts as it
    sends itself.
    """
    rng = random.Random(seed)
    exchange = ShardedExchange(0.0, 0, range(members), 1)
    ids = list(range(1, workers + 1))
    for number in ids:
        exchange.add_worker(0.0, number, f"site/worker-{number}")
    shards: dict[int, list[int]] = {m: [] for m in range(members)}
    for number in ids:
        wire_id = primary_id(f"site/worker-{number}")
        shards[exchange._assignment.add(wire_id)].append(wire_id)
    own = dict.fromkeys(ids, 0)
    for _ in range(running // members):
        own[rng.choice(ids)] += 1
    for number in ids:
        exchange.record_change(0.0, number, own[number], True)
    step_ms, numbers, cpu_s = 100, dict.fromkeys(range(1, members), 0), 0.0
    own_shard = sorted(shards[0])
    for now in range(step_ms, seconds * 1_000 + 1, step_ms):
        plan, datagrams = exchange.plan, []
        for peer in numbers:
            if rng.random() * plan.round_ms >= step_ms:
                continue
            sums = {w: rng.randrange(20, 36) for w in rng.sample(shards[peer], min(plan.sums, len(shards[peer])))}
            changed_counts = changes_per_s / members * plan.round_ms / 1_000.0 / members
            report = {w: rng.randrange(3) for w in
                      rng.sample(own_shard, min(len(own_shard), int(changed_counts + rng.random())))}
            parts = [dict(list(sums.items())[i:i + 35]) for i in range(0, len(sums), 35)] or [{}]
            for part in parts:
                numbers[peer] += 1
                datagrams.append((peer, encode(Message(
                    1, numbers[peer], numbers[peer] - 1, False, 1, exchange._peers[peer].reports.number, 1_500.0,
                    DeadSet.of(set()), report, part))))
                report = {}
        changes = []
        for _ in range(round(changes_per_s * step_ms / 1_000.0 / members)):
            number = rng.choice(ids)
            own[number] = max(0, own[number] + rng.choice((-1, 1)))
            changes.append((number, own[number]))
        started_at = time.process_time()
        for number, count in changes:
            exchange.record_change(now, number, count, True)
        for peer, data in datagrams:
            exchange.on_message(now, peer, data, {}, rng.random)
        exchange.on_wakeup(now, now, rng.random)
        if now > seconds * 500:
            cpu_s += time.process_time() - started_at
    return 100.0 * cpu_s / (seconds / 2)


if __name__ == "__main__":
    print("cpu_of_one", round(cpu_of_one(int(sys.argv[1])), 2))
    print(measure_at_size(int(sys.argv[1]), int(sys.argv[2]),
                          loss=float(sys.argv[3]) if len(sys.argv) > 3 else 0.0))
