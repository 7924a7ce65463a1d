"""All schedulers together send a worker in slow start no more than its budget.

In any window of ``rules.fall`` a cold worker may get at most N + 2 * sqrt(N) + 2 mean requests from all schedulers
together: N is ``rules.fallMultiple`` times what it can do in the window, given how warm it is by
``rules.startCapacity`` and ``rules.warmAfter``, and the rest allows for random deviation.  The tests run two dozen
scheduler processes, clients that overload the warm workers, and workers that record what reaches them.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import pytest

from gaphub.config import Address
from gaphub.interface import ListKind
from gaphub.occupancy.messages import Kind, encode

from .fake import World
from .fake import entry as listed
from .fleet import Attempt, Discovery, Fleet, Worker, WorkerConnection, entry, play, stamped_loop

SCHEDULERS = 24
INITIAL_LOAD = 0.3  # load offered at first, as a share of the warm workers' capacity
OVERLOAD = 4.0  # load offered after that, as a share of the same
WARM_UP_S = 4.0
PHASE_S = 2.5
TIMEOUT_S = 40.0
FALL_MULTIPLE = 3.0
COLD_FROM = 0.31
WARM_MS = 8900.0
WORK_MS = {"poloha": 60.0, "udalost": 120.0, "vyuctovani": 300.0}
SHARES = {"poloha": 0.6, "udalost": 0.3, "vyuctovani": 0.1}
MEAN_MS = sum(WORK_MS[c] * SHARES[c] for c in WORK_MS)


@dataclass
class Server:
    """A worker with slots and a queue that is slower while it is cold.

    ``refuses``: when its slots are in use, it refuses requests as not started, instead of queueing them.
    """

    rng: random.Random
    slots: int
    work_factor: float  # times the work of the request's class
    refuses: bool = False
    started_at: float = 0.0  # on the monotonic clock; 0: warm
    starts: list[float] = field(default_factory=list)  # start times of all its cold starts
    running: int = 0
    waiting: deque[tuple[Attempt, WorkerConnection]] = field(default_factory=deque)

    def restart(self) -> None:
        """Become cold; requests that it already has are still answered."""
        self.started_at = time.monotonic()
        self.starts.append(self.started_at)

    def warm_fraction(self, at: float) -> float:
        """The fraction of full capacity at a given time."""
        if not self.started_at:
            return 1.0
        return COLD_FROM + (1.0 - COLD_FROM) * min(1.0, max(0.0, (at - self.started_at) * 1e3 / WARM_MS))

    def __call__(self, attempt: Attempt, connection: WorkerConnection) -> None:
        if self.refuses and self.running >= self.slots:
            connection.send_answer("503 Service Unavailable", b"", "X-Not-Processed: 1", self.load())
            return
        self.waiting.append((attempt, connection))
        self._next()

    @property
    def capacity(self) -> float:
        """Mean requests per ms when warm."""
        return self.slots / (self.work_factor * MEAN_MS)

    def load(self) -> str:
        """The load report header."""
        free = max(0, self.slots - self.running)
        return f"X-Server-Load: x0={free},inflight={self.running},queue={len(self.waiting)}"

    def _next(self) -> None:
        while self.waiting and self.running < self.slots:
            attempt, connection = self.waiting.popleft()
            self.running += 1
            work_s = self.work_factor * WORK_MS[attempt.cls] * self.rng.uniform(0.7, 1.3) / 1e3
            stamped_loop().call_later(
                work_s / self.warm_fraction(time.monotonic()), self._done, attempt, connection)

    def _done(self, attempt: Attempt, connection: WorkerConnection) -> None:
        self.running -= 1
        body = json.dumps({"id": attempt.ident, "state": "done", "result": "r"}).encode() + b"\n"
        connection.send_answer("200 OK", body, self.load())
        self._next()


@dataclass
class Window:
    """What a cold worker got in one window, and its budget for it, in mean requests."""

    attempts: list[Attempt]
    work: float
    budget: float  # N

    @property
    def share(self) -> float:
        """The load as a share of what is allowed, including random deviation."""
        return self.work / (self.budget + 2.0 * float(self.budget ** 0.5) + 2.0)

    def __str__(self) -> str:
        return " ".join(
            f"{(a.first_byte_at - self.attempts[0].first_byte_at) * 1e3:.0f}:{a.cls}" for a in self.attempts)


def fullest_window_of_restarts(server: Server, attempts: Sequence[Attempt], fall_ms: float) -> Window:
    """The fullest window over all cold starts of a worker."""
    windows = []
    for start, end in zip(server.starts, [*server.starts[1:], float("inf")], strict=True):
        server.started_at = start
        windows.append(fullest_window(server, [a for a in attempts if start <= a.first_byte_at < end], fall_ms))
    return max(windows, key=lambda window: window.share)


def fullest_window(server: Server, attempts: Sequence[Attempt], fall_ms: float) -> Window:
    """The fullest window, relative to its budget, of those that begin with an attempt at a cold worker."""
    fall_s = fall_ms / 1e3
    highest = Window([], 0.0, 0.0)
    for n, begin in enumerate(attempts):
        inside = list(itertools.takewhile(lambda a: a.first_byte_at < begin.first_byte_at + fall_s, attempts[n:]))  # noqa: B023
        work = sum(WORK_MS[a.cls] / MEAN_MS for a in inside)
        possible_work = server.capacity * fall_ms * (
            server.warm_fraction(begin.first_byte_at) + server.warm_fraction(begin.first_byte_at + fall_s)) / 2
        highest = max(highest, Window(inside, work, FALL_MULTIPLE * possible_work),
                      key=lambda window: window.share)
    return highest


class ClientConnection(asyncio.Protocol):
    """One connection of a client; ``free``: no request is open on it."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.free = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.free = data.startswith(b"HTTP/1.1 ") or self.free

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None


class Clients:
    """Clients that send to random schedulers at a given rate, whatever the answers are."""

    def __init__(self, addresses: Sequence[Address], rate: float, rng: random.Random) -> None:
        self.addresses = addresses
        self.rate = rate
        self.rng = rng
        self.sent = 0
        self._idle: dict[Address, list[ClientConnection]] = {to: [] for to in addresses}

    async def run(self) -> None:
        """Send until cancelled."""
        at = time.monotonic()
        while True:
            at += self.rng.expovariate(self.rate)
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            await self._send(self.rng.choice(self.addresses))

    async def _send(self, to: Address) -> None:
        known = self._idle[to] = [c for c in self._idle[to] if c.transport is not None]
        connection = next((c for c in known if c.free), None)
        if connection is None:
            try:
                _, connection = await asyncio.get_running_loop().create_connection(ClientConnection, *to)
            except OSError:
                return  # the scheduler is down
            known.append(connection)
        cls = self.rng.choices(list(SHARES), list(SHARES.values()))[0]
        connection.free = False
        self.sent += 1
        assert connection.transport is not None
        connection.transport.write(
            (f"POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: c{self.sent}\r\nX-Priority-Class: {cls}\r\n"
             f"X-Timeout: 5000m\r\nContent-Length: 8\r\n\r\n").encode() + b"12345678")

    def close(self) -> None:
        """Abort the connections."""
        for connection in itertools.chain(*self._idle.values()):
            if connection.transport is not None:
                connection.transport.abort()


@dataclass
class Case:
    """The parameters of a test run."""

    can_hear: Callable[[int, int], bool] | None = lambda a, b: True  # None: no messages between schedulers
    warm: int = 6
    cold: int = 1  # workers that restart together, as in a zone
    slots: int = 2
    work_factor: float = 1.0
    fall_ms: float = 1000.0
    schedulers: int = SCHEDULERS
    killed_schedulers: int = 0  # schedulers that are killed half way and restarted
    restarts: int = 1  # successive restarts of the cold workers
    refuses: bool = False


def same_group(a: int, b: int) -> bool:
    """Whether two schedulers are in the same group, where four groups are partitioned."""
    return a % 4 == b % 4


CASES = {
    "a zone comes back": Case(warm=3, cold=3, slots=1, killed_schedulers=8, refuses=True),
    "a zone comes back and none hears": Case(can_hear=None, warm=3, cold=3, slots=1, killed_schedulers=8,
                                             refuses=True),
    "a worker restarts three times under two schedulers": Case(schedulers=2, restarts=3, refuses=True),
    "a worker restarts twice and none of three hears": Case(can_hear=None, schedulers=3, restarts=2,
                                                            killed_schedulers=3, slots=4, work_factor=2.0),
    "groups do not hear each other": Case(can_hear=same_group, slots=12, work_factor=4.0, fall_ms=250.0, warm=4,
                                          refuses=True),
}


async def run_case(case: Case, seed: int) -> list[Window]:
    """Run a case; returns the fullest window of each cold worker."""
    rng = random.Random(seed)
    servers = [Server(rng, case.slots, case.work_factor, case.refuses) for _ in range(case.warm + case.cold)]
    workers = [Worker(s) for s in servers]
    discovery = Discovery()
    fleet = Fleet(case.schedulers, discovery, {
        "limits": {"peerMessages": case.can_hear is not None},
        "rules": {"startCapacity": COLD_FROM, "warmAfter": WARM_MS, "fall": case.fall_ms,
                  "fallMultiple": FALL_MULTIPLE},
        "report": {"fields": ["x0", "inflight", "queue"], "via": "inline"},
        "familyInfo": {"reportX0": "free slots"},
    }, case.can_hear or (lambda a, b: False), seed)
    clients: Clients | None = None
    sending: asyncio.Future[None] | None = None
    try:
        for worker in workers:
            await worker.open()
        entries = [entry(f"w{n}", w) for n, w in enumerate(workers)]
        discovery.entries = entries[:case.warm]
        await discovery.open()
        await fleet.open()
        capacity_per_s = case.warm * servers[0].capacity * 1e3
        clients = Clients(fleet.addresses, INITIAL_LOAD * capacity_per_s, rng)
        sending = asyncio.ensure_future(clients.run())
        await asyncio.sleep(WARM_UP_S / 2)
        clients.rate = OVERLOAD * capacity_per_s
        await asyncio.sleep(WARM_UP_S / 2)
        for _ in range(case.restarts):
            for server in servers[case.warm:]:
                server.restart()
            started_ms = time.time() * 1e3
            discovery.tell(entries[:case.warm] + [{**e, "started_ms": started_ms} for e in entries[case.warm:]])
            await asyncio.sleep(PHASE_S / case.restarts)
        if case.killed_schedulers:
            fleet.kill(range(case.killed_schedulers))
            await fleet.start(range(case.killed_schedulers))
        await asyncio.sleep(PHASE_S)
    finally:
        if sending is not None:
            sending.cancel()
            await asyncio.wait([sending])
        if clients is not None:
            clients.close()
        fleet.close()
        discovery.close()
        for worker in workers:
            worker.close()
    cold = zip(servers[case.warm:], workers[case.warm:], strict=True)
    return [fullest_window_of_restarts(s, w.attempts, case.fall_ms) for s, w in cold]


@pytest.mark.parametrize("name", CASES)
def test_a_cold_worker_is_sent_no_more_than_its_budget_by_all_together(name: str) -> None:
    async def work() -> None:
        windows = await run_case(CASES[name], 11)
        for window in windows:  # printed to help trace a failure
            print(f"{name}: {window.share:.2f} of the allowed load, N {window.budget:.1f}; {window}")
        assert all(window.share <= 1.0 for window in windows), windows
        assert any(window.work > 0.0 for window in windows), "no scheduler sent anything to a cold worker"

    play(work(), TIMEOUT_S)


def sends_to_cold_worker(heard: int) -> int:
    """What one scheduler sends to a cold worker when it hears ``heard`` others, which use no slots there."""
    world = World(1, balancers=SCHEDULERS, may_tell_peers=True, report_fields=("free_slots", "inflight"),
                  reports_in_answers=True, cold_from=COLD_FROM, cold_ms=WARM_MS)
    world.serve(world.request(), report=(12.0, 0.0))
    for sender in range(1, heard + 1):
        world.balancer.on_peer(world.now, sender, encode(Kind.SNAPSHOT, 0, []))
    world.balancer.on_workers(world.now, ListKind.FULL, [listed(1), listed(2, ready_at=world.now)])
    for _ in range(100):
        world.request()
    return sum(worker == 2 for _, worker in world.actions.sends)


def test_counts_of_a_part_of_the_schedulers_are_not_taken_for_those_of_all() -> None:
    together = sends_to_cold_worker(SCHEDULERS - 1)
    assert together > 1
    assert 4 * sends_to_cold_worker(SCHEDULERS // 4 - 1) <= together
