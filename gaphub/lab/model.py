"""Discrete-event model of a fleet: schedulers with the real decision code, and workers with slots and queues.

It runs in one process, seeded and without I/O.  Workers are slow while cold.  ``Balancer`` runs unchanged, behind
its interface, and its state is never read.  The model counts the outcomes of the requests of each class and the
load that cold workers receive.
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

ONE_WAY_MS = 1.0  # between a scheduler and a worker
QUEUE_LIMIT = 10  # jobs queued at a worker; further ones are answered 'full'
SMALL_BUDGET = 30.0  # mean requests; random variation weighs more in a smaller budget
# Allowed above a budget: this many standard deviations of a Poisson count, plus as many requests.
DEVIATIONS, DEVIATIONS_SMALL = 2.0, 3.0


@dataclass(frozen=True)
class Load:
    """Requests of one class: the rate over the fleet, the mean work in ms at speed 1, and the slots of each."""

    per_s: float
    work_ms: float
    slots: int


@dataclass
class Tally:
    """Outcomes of one class's requests; ``with_free_worker``: arrivals at which an eligible worker was free."""

    requests: int = 0
    served: int = 0
    rejected: int = 0
    with_free_worker: int = 0


@dataclass
class SimulatedWorker:
    """One worker."""

    id: int
    kind: int
    zone: int
    slots: int
    started_at: float  # simulated time in ms; 0: long ago, so warm
    free_slots: int = 0
    speed: float = 1.0
    alive: bool = True
    queue: deque[tuple[int, float, Callable[[float], None]]] = field(default_factory=deque)
    # Jobs that arrived while it was cold: the time, and the size as a fraction of a mean job.
    cold_arrivals: list[tuple[float, float]] = field(default_factory=list)


class Fleet:
    """The simulated schedulers and workers, and their clock."""

    def __init__(self, settings: Settings, loads: list[Load], workers: list[SimulatedWorker],
                 schedulers: int, seed: int) -> None:
        """``settings.balancers`` must equal ``schedulers``; each class has one entry in ``loads``."""
        self.settings = settings
        self.loads = loads
        self.workers = {worker.id: worker for worker in workers}
        self.former_workers: list[SimulatedWorker] = []  # the earlier instances of restarted workers
        self.now = 1000.0
        self.rng = random.Random(seed)
        self.rate_factor = 1.0  # factor on the rates of all loads
        self.seed = seed
        self.tallies = [Tally() for _ in loads]
        self.mean_work = sum(x.per_s * x.work_ms * x.slots for x in loads) / sum(x.per_s for x in loads)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = 0
        for worker in workers:
            worker.free_slots = worker.slots
        self.schedulers = [SimulatedScheduler(self, i, seed * 1000 + i) for i in range(schedulers)]
        self._schedulers_started = schedulers  # including restarts; each gets a seed of its own
        for class_index, load in enumerate(loads):
            self._schedule_arrival(class_index, load)

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Run ``callback`` after ``delay_ms`` of simulated time."""
        self._serial += 1
        heappush(self._heap, (self.now + delay_ms, self._serial, callback))

    def run(self, ms: float) -> None:
        """Process all events of the next ``ms`` milliseconds."""
        end = self.now + ms
        while self._heap and self._heap[0][0] <= end:
            self.now, _, callback = heappop(self._heap)
            callback()
        self.now = end

    def _schedule_arrival(self, class_index: int, load: Load) -> None:
        def arrive() -> None:
            tally = self.tallies[class_index]
            tally.requests += 1
            tally.with_free_worker += any(
                worker.alive and self.settings.classes[class_index].kind in (-1, worker.kind)
                and worker.free_slots >= load.slots and not worker.queue for worker in self.workers.values())
            self.rng.choice(self.schedulers).submit(class_index, load)
            self._schedule_arrival(class_index, load)

        self.call_later(self.rng.expovariate(self.rate_factor * load.per_s / 1000.0), arrive)

    def warm_fraction(self, worker: SimulatedWorker) -> float:
        """The fraction of its full speed at which a worker runs now."""
        settings = self.settings
        if not worker.started_at:
            return 1.0
        return min(1.0, settings.cold_from
                   + (1 - settings.cold_from) * (self.now - worker.started_at) / settings.cold_ms)

    def notify_schedulers(self, entries: list[ListedWorker]) -> None:
        """Send changes of the worker list to all schedulers."""
        for scheduler in self.schedulers:
            scheduler.balancer.on_workers(self.now, ListKind.CHANGES, entries)

    def replace_workers(self, share: float) -> None:
        """Replace a share of the workers by cold ones with new IDs; all schedulers are notified at once."""
        removed = self.rng.sample(sorted(self.workers), round(share * len(self.workers)))
        entries = []
        for worker_id in removed:
            old = self.workers.pop(worker_id)
            new = self._successor(old, self.rng.randrange(1, 2**31))
            entries += [to_listed_worker(old, 0), to_listed_worker(new, 1)]
        self.notify_schedulers(entries)

    def _successor(self, old: SimulatedWorker, worker_id: int) -> SimulatedWorker:
        """A cold worker in place of one that ends now."""
        old.alive = False
        new = SimulatedWorker(worker_id, old.kind, old.zone, old.slots, self.now, old.slots, old.speed)
        self.workers[worker_id] = new
        return new

    def restart_workers(self, workers: list[int]) -> None:
        """Restart workers: they are cold and keep their IDs; all schedulers are notified at once."""
        entries = []
        for worker_id in workers:
            old = self.workers[worker_id]
            self.former_workers.append(old)
            entries.append(to_listed_worker(self._successor(old, worker_id), 1))
        self.notify_schedulers(entries)

    def restart_schedulers(self, numbers: list[int]) -> None:
        """Restart schedulers with nothing but the current worker list; attempts they had sent keep running."""
        for number in numbers:
            self.schedulers[number].stopped = True
            self.schedulers[number] = SimulatedScheduler(self, number, self.seed * 1000 + self._schedulers_started)
            self._schedulers_started += 1

    def peak_cold_load(self) -> float:
        """The highest load of a cold worker in any ``fall_ms``, relative to what the cold start rule allows.

        The rule's budget N is ``fall_multiple`` times what the worker can process in that time.  Allowed are
        N + 2 * sqrt(N) + 2, and N + 3 * sqrt(N) + 3 where N is below 30 mean requests.
        """
        worst = 0.0
        settings = self.settings
        for worker in [*self.workers.values(), *self.former_workers]:
            for i, (window_start, _) in enumerate(worker.cold_arrivals):
                age = (window_start - worker.started_at) / settings.cold_ms
                rate = worker.slots * worker.speed * min(
                    1.0, settings.cold_from + (1 - settings.cold_from) * age) / self.mean_work
                budget = settings.fall_multiple * rate * settings.fall_ms
                received = sum(size for at, size in worker.cold_arrivals[i:]
                               if at - window_start < settings.fall_ms)
                deviations = DEVIATIONS_SMALL if budget < SMALL_BUDGET else DEVIATIONS
                worst = max(worst, received / (budget + deviations * budget ** 0.5 + deviations))
        return worst


def to_listed_worker(worker: SimulatedWorker, state: int) -> ListedWorker:
    """A worker's entry in the worker list."""
    return ListedWorker(state, worker.kind, 0, 1.0, worker.zone, worker.id, worker.started_at)


class SimulatedScheduler:
    """A Balancer, and the port through which it acts on the model."""

    def __init__(self, fleet: Fleet, me: int, seed: int) -> None:
        self.fleet = fleet
        self.me = me
        self.pending: dict[int, tuple[int, Load]] = {}
        self.attempts_sent: dict[int, int] = defaultdict(int)
        self.last_request = 0
        self.stopped = False  # replaced by a restarted one; late events are ignored
        settings = replace(fleet.settings, me=me)
        self.balancer = Balancer(fleet.now, settings, seed, self)
        self.balancer.on_workers(
            fleet.now, ListKind.CACHED, [to_listed_worker(worker, 1) for worker in fleet.workers.values()])

    def submit(self, class_index: int, load: Load) -> None:
        """Hand a client's request to the balancer."""
        self.last_request += 1
        self.pending[self.last_request] = class_index, load
        left_ms = self.fleet.settings.classes[class_index].deadline_ms
        self.balancer.on_request(
            self.fleet.now, Request(self.last_request, class_index, left_ms, slots=float(load.slots)))

    def send(self, request: int, worker: int, timeout_ms: float) -> None:
        """Send an attempt to a worker."""
        index = self.attempts_sent[request]
        self.attempts_sent[request] += 1
        self.fleet.call_later(ONE_WAY_MS, partial(self._arrive, request, index, worker, self.fleet.now))

    def _arrive(self, request: int, index: int, worker: int, sent_at: float) -> None:
        fleet, load = self.fleet, self.pending[request][1]
        target = fleet.workers.get(worker)
        if target is None:
            return self._finish_attempt(request, index, Status.CONNECT_FAILED, sent_at)
        work = load.work_ms * fleet.rng.uniform(0.7, 1.3)
        if target.started_at and fleet.now - target.started_at < fleet.settings.cold_ms:
            target.cold_arrivals.append((fleet.now, load.work_ms * load.slots / fleet.mean_work))

        def begin(now: float) -> None:
            target.free_slots -= load.slots
            self.balancer.on_started(now, request, index)
            fleet.call_later(work / (target.speed * fleet.warm_fraction(target)), end)

        def end() -> None:
            target.free_slots += load.slots
            status = Status.OK if target.alive else Status.RESET
            fleet.call_later(ONE_WAY_MS, partial(self._finish_attempt, request, index, status, sent_at))
            while target.queue and target.queue[0][0] <= target.free_slots:
                target.queue.popleft()[2](fleet.now)

        if load.slots > target.slots or len(target.queue) >= QUEUE_LIMIT:
            return self._finish_attempt(request, index, Status.FULL, sent_at)
        if target.queue or target.free_slots < load.slots:
            target.queue.append((load.slots, work, begin))
        else:
            begin(fleet.now)
        return None

    def _finish_attempt(self, request: int, index: int, status: Status, sent_at: float) -> None:
        if request in self.pending and not self.stopped:
            if status == Status.OK:
                self.fleet.tallies[self.pending.pop(request)[0]].served += 1
            self.balancer.on_outcome(self.fleet.now, request, index, status, self.fleet.now - sent_at,
                                     status == Status.OK, ())

    def _count_rejected(self, request: int) -> None:
        if request in self.pending:
            self.fleet.tallies[self.pending.pop(request)[0]].rejected += 1

    def refuse(self, request: int, retry_after_ms: float) -> None:
        """Count the request as rejected."""
        self._count_rejected(request)

    def fail(self, request: int) -> None:
        """Count the request as rejected."""
        self._count_rejected(request)

    def cancel(self, request: int, attempt: int) -> None:
        """Ignored: the model's workers run every job to the end."""

    def set_timer(self, delay_ms: float, token: int) -> None:
        """Schedule the balancer's timer."""
        self.fleet.call_later(delay_ms, partial(self._fire_timer, token))

    def _fire_timer(self, token: int) -> None:
        if not self.stopped:
            self.balancer.on_timer(self.fleet.now, token)

    def probe(self, worker: int) -> None:
        """Probe a worker; it reports its free slots, queue length and busy slots on arrival of the probe."""
        def answer_probe() -> None:
            target = self.fleet.workers.get(worker)
            report = () if target is None else (
                float(target.free_slots), float(len(target.queue)), float(target.slots - target.free_slots))
            status = Status.OK if target is not None else Status.CONNECT_FAILED
            self.fleet.call_later(ONE_WAY_MS, lambda: self.balancer.on_probe_result(
                self.fleet.now, worker, status, 2 * ONE_WAY_MS, report))

        self.fleet.call_later(ONE_WAY_MS, answer_probe)

    def close_idle(self, worker: int) -> None:
        """Connections are not modelled."""

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Deliver the datagram to one scheduler, or to all others if ``peer`` is -1, after 3 ms."""
        for i, scheduler in enumerate(self.fleet.schedulers):
            if scheduler is not self and peer in (-1, i):
                self.fleet.call_later(3.0, partial(scheduler.receive_datagram, self.me, data))

    def receive_datagram(self, sender: int, data: bytes) -> None:
        """Pass a received datagram to the balancer."""
        if self.stopped:
            return
        self.balancer.on_peer(self.fleet.now, sender, data)

    def log(self, text: str) -> None:
        """Logs are discarded."""

    def watch(self, on: bool) -> None:
        """Ignored: changes of the worker list are pushed."""

    def fetch(self) -> None:
        """Ignored: changes of the worker list are pushed."""
