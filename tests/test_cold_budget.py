"""What all schedulers together send to a worker that has just started stays within its budget.

In any window of ``rules.fall`` a cold worker may get N + 2 x root of N + 2 mean requests from all processes
together; N is ``rules.fallMultiple`` times what it can do in that time, as far as it is warm by
``rules.startCapacity`` and ``rules.warmAfter``, and the rest is put down to chance.  Two dozen processes, clients
that offer more than the warm workers bear, and workers that count what reaches them.
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
from .fleet import Attempt, Conversation, Discovery, Fleet, Worker, entry, play, stamped

SCHEDULERS = 24
CALM = 0.3  # what clients offer at first, of what the warm workers bear
LOAD = 4.0  # and what they offer then
WARM_UP_S = 4.0
HALF_S = 2.5
WITHIN_S = 40.0
FALL_MULTIPLE = 3.0
COLD_FROM = 0.31
WARM_MS = 8900.0
WORK_MS = {"poloha": 60.0, "udalost": 120.0, "vyuctovani": 300.0}
SHARES = {"poloha": 0.6, "udalost": 0.3, "vyuctovani": 0.1}
MEAN_MS = sum(WORK_MS[c] * SHARES[c] for c in WORK_MS)


@dataclass
class Server:
    """A worker with a queue: as many at once as it has slots, and slower while it is cold.

    ``refuses``: over its slots it turns away at once, unstarted, where others let wait.
    """

    rng: random.Random
    slots: int
    times: float  # the work of a request is so many times that of its class
    refuses: bool = False
    started_at: float = 0.0  # on the monotonic clock; 0: long ago
    starts: list[float] = field(default_factory=list)  # of all its lives that were cold
    running: int = 0
    waiting: deque[tuple[Attempt, Conversation]] = field(default_factory=deque)

    def restart(self) -> None:
        """It is cold from now on; what it has is answered still."""
        self.started_at = time.monotonic()
        self.starts.append(self.started_at)

    def warm_fraction(self, at: float) -> float:
        """The part of its capacity at a moment."""
        if not self.started_at:
            return 1.0
        return COLD_FROM + (1.0 - COLD_FROM) * min(1.0, max(0.0, (at - self.started_at) * 1e3 / WARM_MS))

    def __call__(self, attempt: Attempt, conversation: Conversation) -> None:
        if self.refuses and self.running >= self.slots:
            conversation.say("503 Service Unavailable", b"", "X-Not-Processed: 1", self.load())
            return
        self.waiting.append((attempt, conversation))
        self._next()

    @property
    def capacity(self) -> float:
        """Mean requests a ms, once it is warm."""
        return self.slots / (self.times * MEAN_MS)

    def load(self) -> str:
        """Its report."""
        free = max(0, self.slots - self.running)
        return f"X-Server-Load: x0={free},inflight={self.running},queue={len(self.waiting)}"

    def _next(self) -> None:
        while self.waiting and self.running < self.slots:
            attempt, conversation = self.waiting.popleft()
            self.running += 1
            work_s = self.times * WORK_MS[attempt.cls] * self.rng.uniform(0.7, 1.3) / 1e3
            stamped().call_later(work_s / self.warm_fraction(time.monotonic()), self._done, attempt, conversation)

    def _done(self, attempt: Attempt, conversation: Conversation) -> None:
        self.running -= 1
        body = json.dumps({"id": attempt.ident, "state": "done", "result": "r"}).encode() + b"\n"
        conversation.say("200 OK", body, self.load())
        self._next()


@dataclass
class Window:
    """What a cold worker got in one window, and its budget there, in mean requests."""

    attempts: list[Attempt]
    work: float
    budget: float  # N

    @property
    def share(self) -> float:
        """Of what is allowed, with what is put down to chance."""
        return self.work / (self.budget + 2.0 * float(self.budget ** 0.5) + 2.0)

    def __str__(self) -> str:
        return " ".join(f"{(a.first - self.attempts[0].first) * 1e3:.0f}:{a.cls}" for a in self.attempts)


def fullest_of_lives(server: Server, attempts: Sequence[Attempt], fall_ms: float) -> Window:
    """The fullest window of all the lives of a worker that was cold in each."""
    windows = []
    for start, end in zip(server.starts, [*server.starts[1:], float("inf")], strict=True):
        server.started_at = start
        windows.append(fullest(server, [a for a in attempts if start <= a.first < end], fall_ms))
    return max(windows, key=lambda window: window.share)


def fullest(server: Server, attempts: Sequence[Attempt], fall_ms: float) -> Window:
    """Of the windows that begin with an attempt at a cold worker the fullest, by its budget."""
    fall_s = fall_ms / 1e3
    worst = Window([], 0.0, 0.0)
    for n, begin in enumerate(attempts):
        inside = list(itertools.takewhile(lambda a: a.first < begin.first + fall_s, attempts[n:]))  # noqa: B023
        work = sum(WORK_MS[a.cls] / MEAN_MS for a in inside)
        can = server.capacity * fall_ms * (
            server.warm_fraction(begin.first) + server.warm_fraction(begin.first + fall_s)) / 2
        worst = max(worst, Window(inside, work, FALL_MULTIPLE * can), key=lambda window: window.share)
    return worst


class Customer(asyncio.Protocol):
    """One connection of a client, and whether its request is still out."""

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


class Crowd:
    """Clients of all schedulers that send at a rate, whatever is answered."""

    def __init__(self, addresses: Sequence[Address], rate: float, rng: random.Random) -> None:
        self.addresses = addresses
        self.rate = rate
        self.rng = rng
        self.sent = 0
        self._idle: dict[Address, list[Customer]] = {to: [] for to in addresses}

    async def run(self) -> None:
        """Send until cancelled."""
        at = time.monotonic()
        while True:
            at += self.rng.expovariate(self.rate)
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            await self._send(self.rng.choice(self.addresses))

    async def _send(self, to: Address) -> None:
        known = self._idle[to] = [c for c in self._idle[to] if c.transport is not None]
        customer = next((c for c in known if c.free), None)
        if customer is None:
            try:
                _, customer = await asyncio.get_running_loop().create_connection(Customer, *to)
            except OSError:
                return  # it is down
            known.append(customer)
        cls = self.rng.choices(list(SHARES), list(SHARES.values()))[0]
        customer.free = False
        self.sent += 1
        assert customer.transport is not None
        customer.transport.write(
            (f"POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: c{self.sent}\r\nX-Priority-Class: {cls}\r\n"
             f"X-Timeout: 5000m\r\nContent-Length: 8\r\n\r\n").encode() + b"12345678")

    def close(self) -> None:
        """End the connections."""
        for customer in itertools.chain(*self._idle.values()):
            if customer.transport is not None:
                customer.transport.abort()


@dataclass
class Case:
    """One course of events."""

    hears: Callable[[int, int], bool] | None = lambda a, b: True  # None: no messages between schedulers
    warm: int = 6
    cold: int = 1  # of these many that come back at once, as a zone does
    slots: int = 2
    times: float = 1.0
    fall_ms: float = 1000.0
    schedulers: int = SCHEDULERS
    killed: int = 0  # schedulers that are killed half way and started again
    restarts: int = 1  # of the cold workers, one after the other
    refuses: bool = False


def groups(a: int, b: int) -> bool:
    """Whether one hears the other where four groups are cut off from each other."""
    return a % 4 == b % 4


CASES = {
    "a zone comes back": Case(warm=3, cold=3, slots=1, killed=8, refuses=True),
    "a zone comes back and none hears": Case(hears=None, warm=3, cold=3, slots=1, killed=8, refuses=True),
    "a worker restarts three times under two schedulers": Case(schedulers=2, restarts=3, refuses=True),
    "a worker restarts twice and none of three hears": Case(hears=None, schedulers=3, restarts=2, killed=3,
                                                            slots=4, times=2.0),
    "groups do not hear each other": Case(hears=groups, slots=12, times=4.0, fall_ms=250.0, warm=4, refuses=True),
}


async def course(case: Case, seed: int) -> list[Window]:
    """Play one; the fullest window of each worker that came back."""
    rng = random.Random(seed)
    servers = [Server(rng, case.slots, case.times, case.refuses) for _ in range(case.warm + case.cold)]
    workers = [Worker(s) for s in servers]
    discovery = Discovery()
    fleet = Fleet(case.schedulers, discovery, {
        "limits": {"peerMessages": case.hears is not None},
        "rules": {"startCapacity": COLD_FROM, "warmAfter": WARM_MS, "fall": case.fall_ms,
                  "fallMultiple": FALL_MULTIPLE},
        "report": {"fields": ["x0", "inflight", "queue"], "via": "inline"},
        "familyInfo": {"reportX0": "free slots"},
    }, case.hears or (lambda a, b: False), seed)
    crowd: Crowd | None = None
    sending: asyncio.Future[None] | None = None
    try:
        for worker in workers:
            await worker.open()
        entries = [entry(f"w{n}", w) for n, w in enumerate(workers)]
        discovery.entries = entries[:case.warm]
        await discovery.open()
        await fleet.open()
        bear = case.warm * servers[0].capacity * 1e3
        crowd = Crowd(fleet.addresses, CALM * bear, rng)
        sending = asyncio.ensure_future(crowd.run())
        await asyncio.sleep(WARM_UP_S / 2)
        crowd.rate = LOAD * bear
        await asyncio.sleep(WARM_UP_S / 2)
        for _ in range(case.restarts):
            for server in servers[case.warm:]:
                server.restart()
            started_ms = time.time() * 1e3
            discovery.tell(entries[:case.warm] + [{**e, "started_ms": started_ms} for e in entries[case.warm:]])
            await asyncio.sleep(HALF_S / case.restarts)
        if case.killed:
            fleet.kill(range(case.killed))
            await fleet.start(range(case.killed))
        await asyncio.sleep(HALF_S)
    finally:
        if sending is not None:
            sending.cancel()
            await asyncio.wait([sending])
        if crowd is not None:
            crowd.close()
        fleet.close()
        discovery.close()
        for worker in workers:
            worker.close()
    cold = zip(servers[case.warm:], workers[case.warm:], strict=True)
    return [fullest_of_lives(s, w.attempts, case.fall_ms) for s, w in cold]


@pytest.mark.parametrize("name", CASES)
def test_a_cold_worker_is_sent_no_more_than_its_budget_by_all_together(name: str) -> None:
    async def work() -> None:
        found = await course(CASES[name], 11)
        for window in found:  # which window it was is what a failure is traced by
            print(f"{name}: {window.share:.2f} of what is allowed, N {window.budget:.1f}; {window}")
        assert all(window.share <= 1.0 for window in found), found
        assert any(window.work > 0.0 for window in found), "nobody sent anything there"

    play(work(), WITHIN_S)


def out_at_a_cold_worker(heard: int) -> int:
    """What one of the schedulers has out there at the most, if it hears so many others that have nothing out."""
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
    together = out_at_a_cold_worker(SCHEDULERS - 1)
    assert together > 1
    assert 4 * out_at_a_cold_worker(SCHEDULERS // 4 - 1) <= together
