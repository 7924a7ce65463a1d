"""Owns a small model of a fleet: gateways with the real decisions, workers with slots, queues and cold starts.

Discrete events in one process, seeded, no I/O.  It drives ``Balancer`` through its interface, unchanged, and
counts what became of the requests of each class and what cold workers were sent.  It must never look into a
Balancer.
"""

from __future__ import annotations

import random
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from heapq import heappop, heappush

from ..interface import ListedWorker, ListKind, Request, Settings, Status
from ..logic import Balancer

TRAVEL_MS = 1.0  # one way, gateway and worker
QUEUE = 10  # jobs that wait at a worker; one more is answered 'full'
FEW = 30.0  # mean requests; of a smaller budget more is put down to chance
CHANCE, CHANCE_FEW = 2.0, 3.0  # times the root of a budget, and as many requests on top


@dataclass(frozen=True)
class Load:
    """Requests of one class: how many a second over the fleet, their mean work in ms at speed 1, their slots."""

    per_s: float
    work_ms: float
    slots: int


@dataclass
class Tally:
    """What became of one class's requests, and how often a worker that can run it had room when one came."""

    asked: int = 0
    served: int = 0
    turned_away: int = 0
    room: int = 0


@dataclass
class Machine:
    """One worker."""

    id: int
    kind: int
    zone: int
    slots: int
    started: float  # 0: long ago
    free: int = 0
    speed: float = 1.0
    alive: bool = True
    queue: deque[tuple[int, float, Callable[[float], None]]] = field(default_factory=deque)
    sent: list[tuple[float, float]] = field(default_factory=list)  # when cold: arrival and its part of a mean job


class Fleet:
    """All gateways and workers, and the clock that they share."""

    def __init__(self, settings: Settings, loads: list[Load], machines: list[Machine], gateways: int, seed: int
                 ) -> None:
        """``settings.balancers`` is set to ``gateways``; each class has one of ``loads``."""
        self.settings = settings
        self.loads = loads
        self.machines = {m.id: m for m in machines}
        self.ended: list[Machine] = []  # former lives of those that were restarted
        self.now = 1000.0
        self.rng = random.Random(seed)
        self.pace = 1.0  # times the rates of the loads
        self.seed = seed
        self.tallies = [Tally() for _ in loads]
        self.mean_work = sum(x.per_s * x.work_ms * x.slots for x in loads) / sum(x.per_s for x in loads)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = 0
        for m in machines:
            m.free = m.slots
        self.gateways = [Gateway(self, i, seed * 1000 + i) for i in range(gateways)]
        self._lives = gateways  # of gateways so far
        for c, load in enumerate(loads):
            self._next(c, load)

    def at(self, delay_ms: float, what: Callable[[], None]) -> None:
        """Do something later."""
        self._serial += 1
        heappush(self._heap, (self.now + delay_ms, self._serial, what))

    def run(self, ms: float) -> None:
        """Let time pass."""
        end = self.now + ms
        while self._heap and self._heap[0][0] <= end:
            self.now, _, what = heappop(self._heap)
            what()
        self.now = end

    def _next(self, c: int, load: Load) -> None:
        def come() -> None:
            tally = self.tallies[c]
            tally.asked += 1
            tally.room += any(m.alive and self.settings.classes[c].kind in (-1, m.kind) and m.free >= load.slots
                              and not m.queue for m in self.machines.values())
            self.rng.choice(self.gateways).ask(c, load)
            self._next(c, load)

        self.at(self.rng.expovariate(self.pace * load.per_s / 1000.0), come)

    def warmth(self, m: Machine) -> float:
        """The present part of a machine's speed."""
        s = self.settings
        if not m.started:
            return 1.0
        return min(1.0, s.cold_from + (1 - s.cold_from) * (self.now - m.started) / s.cold_ms)

    def tell(self, entries: list[ListedWorker]) -> None:
        """Discovery tells all gateways of changes."""
        for g in self.gateways:
            g.balancer.on_workers(self.now, ListKind.CHANGES, entries)

    def replace(self, part: float) -> None:
        """So many of the workers go, and as many come cold under other ids; all gateways are told at once."""
        gone = self.rng.sample(sorted(self.machines), round(part * len(self.machines)))
        entries = []
        for wid in gone:
            old = self.machines.pop(wid)
            new = self._successor(old, self.rng.randrange(1, 2**31))
            entries += [listed(old, 0), listed(new, 1)]
        self.tell(entries)

    def _successor(self, old: Machine, ident: int) -> Machine:
        """A machine like one that ends now, cold."""
        old.alive = False
        new = Machine(ident, old.kind, old.zone, old.slots, self.now, old.slots, old.speed)
        self.machines[ident] = new
        return new

    def restart_workers(self, workers: list[int]) -> None:
        """Workers end and come back cold under the same ids; all gateways are told at once."""
        entries = []
        for wid in workers:
            old = self.machines[wid]
            self.ended.append(old)
            entries.append(listed(self._successor(old, wid), 1))
        self.tell(entries)

    def restart_gateways(self, numbers: list[int]) -> None:
        """Gateways end and start again, with the list as it is and nothing else; what they had out runs on."""
        for number in numbers:
            self.gateways[number].over = True
            self.gateways[number] = Gateway(self, number, self.seed * 1000 + self._lives)
            self._lives += 1

    def worst_rush(self) -> float:
        """The most that any cold worker was sent in ``fall_ms``, as a part of what the rule lets it bear.

        With N what it can do in that time, ``fall_multiple`` times: N + 2 x root of N + 2, and below 30 mean
        requests N + 3 x root of N + 3.
        """
        worst = 0.0
        s = self.settings
        for m in [*self.machines.values(), *self.ended]:
            for i, (began, _) in enumerate(m.sent):
                age = (began - m.started) / s.cold_ms
                rate = m.slots * m.speed * min(1.0, s.cold_from + (1 - s.cold_from) * age) / self.mean_work
                n = s.fall_multiple * rate * s.fall_ms
                inside = sum(part for at, part in m.sent[i:] if at - began < s.fall_ms)
                chance = CHANCE_FEW if n < FEW else CHANCE
                worst = max(worst, inside / (n + chance * n ** 0.5 + chance))
        return worst


def listed(m: Machine, state: int) -> ListedWorker:
    """A machine as discovery names it."""
    return ListedWorker(state, m.kind, 0, 1.0, m.zone, m.id, m.started)


class Gateway:
    """One Balancer and the actions that it takes."""

    def __init__(self, fleet: Fleet, me: int, seed: int) -> None:
        self.fleet = fleet
        self.me = me
        self.asked: dict[int, tuple[int, Load]] = {}
        self.attempts: dict[int, int] = defaultdict(int)
        self.serial = 0
        self.over = False  # its process has ended
        settings = replace(fleet.settings, me=me)
        self.balancer = Balancer(fleet.now, settings, seed, self)
        self.balancer.on_workers(fleet.now, ListKind.CACHED, [listed(m, 1) for m in fleet.machines.values()])

    def ask(self, c: int, load: Load) -> None:
        """A client's request."""
        self.serial += 1
        self.asked[self.serial] = c, load
        left_ms = self.fleet.settings.classes[c].deadline_ms
        self.balancer.on_request(self.fleet.now, Request(self.serial, c, left_ms, slots=float(load.slots)))

    def send(self, request: int, worker: int, timeout_ms: float) -> None:
        """An attempt."""
        index = self.attempts[request]
        self.attempts[request] += 1
        self.fleet.at(TRAVEL_MS, partial(self._arrive, request, index, worker, self.fleet.now))

    def _arrive(self, request: int, index: int, worker: int, sent_at: float) -> None:
        fleet, load = self.fleet, self.asked[request][1]
        m = fleet.machines.get(worker)
        if m is None:
            return self._end(request, index, Status.CONNECT_FAILED, sent_at)
        work = load.work_ms * fleet.rng.uniform(0.7, 1.3)
        if m.started and fleet.now - m.started < fleet.settings.cold_ms:
            m.sent.append((fleet.now, load.work_ms * load.slots / fleet.mean_work))

        def begin(now: float) -> None:
            m.free -= load.slots
            self.balancer.on_started(now, request, index)
            fleet.at(work / (m.speed * fleet.warmth(m)), end)

        def end() -> None:
            m.free += load.slots
            status = Status.OK if m.alive else Status.RESET
            fleet.at(TRAVEL_MS, partial(self._end, request, index, status, sent_at))
            while m.queue and m.queue[0][0] <= m.free:
                m.queue.popleft()[2](fleet.now)

        if load.slots > m.slots or len(m.queue) >= QUEUE:
            return self._end(request, index, Status.FULL, sent_at)
        if m.queue or m.free < load.slots:
            m.queue.append((load.slots, work, begin))
        else:
            begin(fleet.now)
        return None

    def _end(self, request: int, index: int, status: Status, sent_at: float) -> None:
        if request in self.asked and not self.over:
            if status == Status.OK:
                self.fleet.tallies[self.asked.pop(request)[0]].served += 1
            self.balancer.on_outcome(self.fleet.now, request, index, status, self.fleet.now - sent_at,
                                     status == Status.OK, ())

    def _give_up(self, request: int) -> None:
        if request in self.asked:
            self.fleet.tallies[self.asked.pop(request)[0]].turned_away += 1

    def refuse(self, request: int, retry_after_ms: float) -> None:
        """Turned away."""
        self._give_up(request)

    def fail(self, request: int) -> None:
        """Failed."""
        self._give_up(request)

    def cancel(self, request: int, attempt: int) -> None:
        """A cancel stops nothing here."""

    def set_timer(self, delay_ms: float, token: int) -> None:
        """An alarm."""
        self.fleet.at(delay_ms, partial(self._ring, token))

    def _ring(self, token: int) -> None:
        if not self.over:
            self.balancer.on_timer(self.fleet.now, token)

    def probe(self, worker: int) -> None:
        """Answered as the worker stands when it comes: its free slots, its queue, and the slots in use."""
        def look() -> None:
            m = self.fleet.machines.get(worker)
            report = () if m is None else (float(m.free), float(len(m.queue)), float(m.slots - m.free))
            status = Status.OK if m is not None else Status.CONNECT_FAILED
            self.fleet.at(TRAVEL_MS, lambda: self.balancer.on_probe_result(
                self.fleet.now, worker, status, 2 * TRAVEL_MS, report))

        self.fleet.at(TRAVEL_MS, look)

    def close_idle(self, worker: int) -> None:
        """Connections are not modelled."""

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Datagrams arrive after a while."""
        for i, g in enumerate(self.fleet.gateways):
            if g is not self and peer in (-1, i):
                self.fleet.at(3.0, partial(g.hear, self.me, data))

    def hear(self, sender: int, data: bytes) -> None:
        """A datagram came in."""
        if self.over:
            return
        self.balancer.on_peer(self.fleet.now, sender, data)

    def log(self, text: str) -> None:
        """Logs are not kept."""

    def watch(self, on: bool) -> None:
        """The list is pushed."""

    def fetch(self) -> None:
        """The list is pushed."""
