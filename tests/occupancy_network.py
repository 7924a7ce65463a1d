"""A simulated network of sharded exchanges with a virtual clock, and a measurement at the decisive size.

``python -m tests.occupancy_network MEMBERS SECONDS`` prints what one scheduler sends and takes in a second, and
how old the sums are that schedulers believe, at 11,000 workers with 2,500 starts and 2,500 ends a second.
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
SILENT_MS = 5_000.0  # the shortest silence after which a member may be dead to another


@dataclass
class Weather:
    """What the network does to datagrams."""

    loss: float = 0.0
    doubled: float = 0.0
    delay_ms: float = 2.0  # at most; what is delayed differently is reordered


class Network:
    """Members, the datagrams between them, and what is truly out."""

    def __init__(self, seed: int, members: int, workers: int, limits: Limits | None = None) -> None:
        self.rnd = random.Random(seed)
        self.now = 0.0
        self.limits = limits
        self.weather = Weather()
        self.workers = {1_000 + i: f"site/worker-{i}" for i in range(workers)}
        self.members = list(range(members))
        self.lives = dict.fromkeys(self.members, 0)
        self.exchanges: dict[int, ShardedExchange] = {}
        self.due: dict[int, float] = {}
        self.stopped: set[int] = set()
        self.cut: Callable[[int, int], bool] = lambda a, b: False
        self.history: dict[tuple[int, int], list[tuple[float, int]]] = defaultdict(lambda: [(-1e18, 0)])
        self.heard_since: dict[tuple[int, int], float] = {}  # without a gap of SILENT_MS
        self.heard_at: dict[tuple[int, int], float] = {}
        self.bytes_sent: dict[int, list[tuple[float, int]]] = defaultdict(list)
        self._flying: list[tuple[float, int, int, int, bytes]] = []
        self._waiting: dict[int, list[tuple[int, bytes]]] = defaultdict(list)  # in the sockets of stopped ones
        self._number = 0
        for member in self.members:
            self.start(member)

    def start(self, member: int) -> None:
        """A new life of a member, with nothing out."""
        self.lives[member] += 1
        exchange = ShardedExchange(self.now, member, self.members, self.lives[member], self.limits)
        self.exchanges[member] = exchange
        self.due[member] = exchange.take_wakeup() or self.now
        for number, name in self.workers.items():
            exchange.add_worker(self.now, number, name)

    def kill(self, member: int) -> None:
        """A member is gone, and all that it had out."""
        del self.exchanges[member]
        self.stopped.discard(member)
        self._waiting.pop(member, None)
        for number in self.workers:
            self.set(member, number, 0)

    def count(self, member: int, worker: int) -> int:
        """The slots that a member has out at a worker."""
        return self.history[member, worker][-1][1]

    def set(self, member: int, worker: int, count: int) -> None:
        """A member has so many slots out at a worker from now on."""
        before = self.count(member, worker)
        if count != before:
            self.history[member, worker].append((self.now, count))
            if member in self.exchanges:
                self.exchanges[member].record_change(self.now, worker, count, count > before)

    def standing(self, member: int, worker: int, since: float) -> int:
        """The slots that a member has had out at a worker ever since."""
        history = self.history[member, worker]
        first = bisect_right(history, since, key=lambda entry: entry[0]) - 1
        return min(count for _, count in history[max(0, first):])

    def busy(self, changes: int) -> None:
        """So many starts or ends, anywhere."""
        running = [m for m in self.exchanges if m not in self.stopped]
        for _ in range(changes):
            if not running:
                return
            member, worker = self.rnd.choice(running), self.rnd.choice(list(self.workers))
            count = self.count(member, worker)
            self.set(member, worker, max(0, count + self.rnd.choice((-2, -1, 1, 1, 2))))

    def run(self, ms: float, changes: int = 0) -> None:
        """Let time pass, with so many changes in each step."""
        end = self.now + ms
        while self.now < end:
            self.now += STEP_MS
            self._deliver()
            self.busy(changes)
            for member, exchange in list(self.exchanges.items()):
                if member not in self.stopped and self.due[member] <= self.now:
                    told = exchange.on_wakeup(self.now, self.due[member], self.rnd.random)
                    self.due[member] = exchange.take_wakeup() or self.now
                    for peer, data in told:
                        self.bytes_sent[member].append((self.now, len(data)))
                        self._send(member, peer, data)

    def wake_up(self, member: int) -> None:
        """A stopped member goes on, with what waits in its socket."""
        self.stopped.discard(member)
        for sender, data in self._waiting.pop(member, []):
            self._take(sender, member, data)

    def _send(self, sender: int, peer: int, data: bytes) -> None:
        for _ in range(2 if self.rnd.random() < self.weather.doubled else 1):
            if self.rnd.random() >= self.weather.loss and not self.cut(sender, peer):
                self._number += 1
                at = self.now + self.rnd.random() * self.weather.delay_ms
                heappush(self._flying, (at, self._number, sender, peer, data))

    def _deliver(self) -> None:
        while self._flying and self._flying[0][0] <= self.now:
            _, _, sender, peer, data = heappop(self._flying)
            if peer in self.stopped:
                self._waiting[peer] = [*self._waiting[peer], (sender, data)][-200:]
            elif peer in self.exchanges:
                self._take(sender, peer, data)

    def _take(self, sender: int, peer: int, data: bytes) -> None:
        exchange = self.exchanges[peer]
        late = exchange.dropped[DropReason.LATE]
        assert exchange.on_message(self.now, sender, data, {}, self.rnd.random) == Received()
        if exchange.dropped[DropReason.LATE] > late:
            return  # what is overtaken is no sign of life
        if self.now - self.heard_at.get((sender, peer), -1e18) > SILENT_MS:
            self.heard_since[sender, peer] = self.now
        self.heard_at[sender, peer] = self.now

    def heard(self, member: int, by: int, since: float) -> bool:
        """Whether a member was heard by another without a gap ever since, and before that moment."""
        return (self.heard_since.get((member, by), 1e18) < since
                and self.now - self.heard_at[member, by] <= SILENT_MS)

    def understated(self) -> list[str]:
        """The sums that lack what has stood, and was heard, for longer than their age."""
        found = []
        for member, exchange in self.exchanges.items():
            if member in self.stopped:
                continue
            for worker in self.workers:
                age = exchange.age(self.now, worker)
                if age > 1e9:
                    continue
                since = self.now - age
                stood = sum(self.standing(m, worker, since) for m in self.members
                            if m != member and self.heard(m, member, since))
                if exchange.peer_slots(worker) < stood:
                    found.append(f"{self.now}: {member} at {worker}: {exchange.peer_slots(worker)} of {stood}, "
                                 f"age {age}")
        return found

    def wrong(self) -> list[str]:
        """The sums that are not what is out."""
        return [f"{m} at {w}: {e.peer_slots(w)}" for m, e in self.exchanges.items() for w in self.workers
                if e.peer_slots(w) != sum(self.count(o, w) for o in self.members if o != m)]

    def stale(self) -> list[str]:
        """The sums that are past the age bound."""
        return [f"{m} at {w}: {e.age(self.now, w)} of {e.plan.age_bound_ms}" for m, e in self.exchanges.items()
                for w in self.workers if not e.fresh(self.now, w)]


@dataclass
class Measured:
    """What one scheduler spends in a second, and how old the sums are that are believed."""

    members: int
    bytes_out: float
    datagrams_out: float
    bytes_in: float
    datagrams_in: float
    cpu_percent: float  # of a core, of the exchange alone: without sockets
    round_ms: float
    age_bound_ms: float
    age_p50_ms: float
    age_p99_ms: float
    age_max_ms: float
    off_p50: float  # slots by which what is believed differs from what is out
    off_p99: float
    unknown: int  # sums that are past the bound

    def __str__(self) -> str:
        return "\n".join(f"{name} {value if isinstance(value, int) else round(value, 2)}"
                         for name, value in vars(self).items())


def measure_at_size(members: int, seconds: int, workers: int = 11_000, changes_per_s: int = 5_000,
                    running: int = 310_000, sampled: int = 8, loss: float = 0.0, seed: int = 1) -> Measured:
    """The decisive size in a calm: ``seconds`` after a start of all, figures from the last ten.

    The members share one assignment and one table of ids, which are the same in a calm; so the 11,000 workers
    are listed once, not once for each member.
    """
    rnd = random.Random(seed)
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
    spent = 0.0

    def change(member: int, worker: int, by: int) -> tuple[int, int, int, bool]:
        counts[member][worker] += by
        totals[worker] += by
        return member, worker, counts[member][worker], by > 0

    for _ in range(running):
        tasks.append((rnd.randrange(members), rnd.randrange(1, workers + 1)))
        member, worker, count, more = change(*tasks[-1], 1)
        exchanges[member].record_change(0.0, worker, count, more)
    step_ms, measured_ms = 100, 10_000
    flying: list[list[tuple[int, bytes]]] = [[] for _ in exchanges]
    out_bytes = out_datagrams = 0
    for now in range(step_ms, seconds * 1_000 + 1, step_ms):
        counted = now > seconds * 1_000 - measured_ms
        if now == seconds * 1_000 - measured_ms:
            spent = 0.0
        changes = []
        for _ in range(changes_per_s * step_ms // 2_000):
            tasks.append((rnd.randrange(members), rnd.randrange(1, workers + 1)))
            changes.append(change(*tasks[-1], 1))
            place = rnd.randrange(len(tasks))
            tasks[place], tasks[-1] = tasks[-1], tasks[place]
            changes.append(change(*tasks.pop(), -1))
        arriving, flying = flying, [[] for _ in exchanges]
        began = time.process_time()
        for member, worker, count, more in changes:
            exchanges[member].record_change(now, worker, count, more)
        for exchange, datagrams in zip(exchanges, arriving, strict=True):
            for sender, data in datagrams:
                exchange.on_message(now, sender, data, {}, rnd.random)
            for peer, data in exchange.on_wakeup(now, now, rnd.random):
                out_bytes += len(data) * counted
                out_datagrams += counted
                if not loss or rnd.random() >= loss:
                    flying[peer].append((exchange.me, data))
        spent += time.process_time() - began
    end = seconds * 1_000.0
    looked = exchanges[::max(1, members // sampled)]
    ages = sorted(e.age(end, w) for e in looked for w in range(1, workers + 1))
    off = sorted(abs(e.peer_slots(w) + counts[e.me][w] - totals[w]) for e in looked for w in range(1, workers + 1))
    share = members * measured_ms / 1_000.0
    return Measured(members, out_bytes / share, out_datagrams / share, out_bytes * (1 - loss) / share,
                    out_datagrams * (1 - loss) / share, 100.0 * spent / share, first.plan.round_ms,
                    first.plan.age_bound_ms, ages[len(ages) // 2], ages[len(ages) * 99 // 100], ages[-1],
                    off[len(off) // 2], off[len(off) * 99 // 100],
                    sum(a > first.plan.age_bound_ms for a in ages))


def cpu_of_one(members: int, seconds: int = 20, workers: int = 11_000, changes_per_s: int = 5_000,
               running: int = 310_000, seed: int = 1) -> float:
    """Percent of a core that one scheduler's exchange takes, alone in its process; without sockets.

    Its peers are played: each sends it one round's datagram with as many sums and reported counts as it sends.
    """
    rnd = random.Random(seed)
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
        own[rnd.choice(ids)] += 1
    for number in ids:
        exchange.record_change(0.0, number, own[number], True)
    step_ms, numbers, spent = 100, dict.fromkeys(range(1, members), 0), 0.0
    mine = sorted(shards[0])
    for now in range(step_ms, seconds * 1_000 + 1, step_ms):
        plan, datagrams = exchange.plan, []
        for peer in numbers:
            if rnd.random() * plan.round_ms >= step_ms:
                continue
            sums = {w: rnd.randrange(20, 36) for w in rnd.sample(shards[peer], min(plan.sums, len(shards[peer])))}
            told = changes_per_s / members * plan.round_ms / 1_000.0 / members
            report = {w: rnd.randrange(3) for w in rnd.sample(mine, min(len(mine), int(told + rnd.random())))}
            parts = [dict(list(sums.items())[i:i + 35]) for i in range(0, len(sums), 35)] or [{}]
            for part in parts:
                numbers[peer] += 1
                datagrams.append((peer, encode(Message(
                    1, numbers[peer], numbers[peer] - 1, False, 1, exchange._peers[peer].reports.number, 1_500.0,
                    DeadSet.of(set()), report, part))))
                report = {}
        changes = []
        for _ in range(round(changes_per_s * step_ms / 1_000.0 / members)):
            number = rnd.choice(ids)
            own[number] = max(0, own[number] + rnd.choice((-1, 1)))
            changes.append((number, own[number]))
        began = time.process_time()
        for number, count in changes:
            exchange.record_change(now, number, count, True)
        for peer, data in datagrams:
            exchange.on_message(now, peer, data, {}, rnd.random)
        exchange.on_wakeup(now, now, rnd.random)
        if now > seconds * 500:
            spent += time.process_time() - began
    return 100.0 * spent / (seconds / 2)


if __name__ == "__main__":
    print("cpu_of_one", round(cpu_of_one(int(sys.argv[1])), 2))
    print(measure_at_size(int(sys.argv[1]), int(sys.argv[2]),
                          loss=float(sys.argv[3]) if len(sys.argv) > 3 else 0.0))
