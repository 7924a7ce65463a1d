"""Ten real processes with a bad network between them: what workers see, and what the schedulers spend.

Stand-in workers count what reaches them.  The list names ``LISTED`` workers, of which a few are open to work; that
is the size from which occupancy is told by sharded sums.  An old process is one whose border is out of reach: it
tells all to all alone.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

from gaphub.config import Address
from gaphub.lab.site import SETTINGS, start_gaphub
from gaphub.lab.world import Agent, read_head
from gaphub.net.arrival import since_last_data_ms
from gaphub.occupancy.budget import Limits
from gaphub.occupancy.messages import Kind, decode
from gaphub.occupancy.sized import LARGE_FROM_PEERS, LARGE_FROM_WORKERS
from gaphub.occupancy.sums_messages import MESSAGE_BYTES_MAX

from .fleet import ask, until_ready

SCHEDULERS = 10
LISTED = LARGE_FROM_WORKERS + 100
HTTP_PORT, PEER_PORT = 7000, 7946
READY_S = 20.0
KNOWN_S = 5.0  # within it all know of a start
SILENT_S = 7.5  # a peer that was silent for so long is dead to all: five rounds of a second, and the next look
NEVER_LARGE = 10**9
BORDERS = ("import sys; from gaphub.occupancy import sized; "
           "sized.LARGE_FROM_WORKERS = sized.SMALL_BELOW_WORKERS = {}; "
           "from gaphub.__main__ import main; sys.exit(main())")
CLASSES = ("poloha", "udalost", "vyuctovani")  # the last two must not run twice
COLD_FROM, WARM_MS, FALL_MS, FALL_MULTIPLE = 0.3, 8_000.0, 1_000.0, 3.0


# The network


class _Leg(asyncio.DatagramProtocol):
    def __init__(self, network: Network, at: int, of: int) -> None:
        self.network, self.at, self.of = network, at, of
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)  # asyncio's own is not one by its type

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.network.carry(self.at, self.of, data)

    def error_received(self, exc: Exception) -> None:
        pass  # its target is down


class Network:
    """A port for each scheduler and peer of it, by which each knows the other."""

    def __init__(self, hosts: Sequence[str], rng: random.Random) -> None:
        self.hosts = hosts
        self.rng = rng
        self.loss = self.doubled = self.delay_s = 0.0  # what is delayed differently is reordered
        self.cut: Callable[[int, int], bool] = lambda a, b: False
        self.told: Counter[str] = Counter()  # datagrams that were sent, by what they hold
        self._legs: dict[tuple[int, int], _Leg] = {}

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        for at in range(len(self.hosts)):
            for of in range(len(self.hosts)):
                if at != of:
                    _, leg = await loop.create_datagram_endpoint(
                        lambda at=at, of=of: _Leg(self, at, of), local_addr=("127.0.0.1", 0))  # type: ignore[misc]
                    self._legs[at, of] = leg

    def address(self, at: int, of: int) -> str:
        """Where one scheduler reaches another, and hears it from."""
        transport = self._legs[at, of].transport
        assert transport is not None
        return "{}:{}".format(*transport.get_extra_info("sockname")[:2])

    def carry(self, sender: int, receiver: int, data: bytes) -> None:
        """Take one on its way, or not."""
        counts = decode(data)
        if counts is not None:
            self.told["capacities" if counts.kind is Kind.CAPACITY else "counts"] += 1
        for _ in range(2 if self.rng.random() < self.doubled else 1):
            if not self.cut(sender, receiver) and self.rng.random() >= self.loss:
                late_s = self.rng.random() * self.delay_s
                asyncio.get_running_loop().call_later(late_s, self._out, sender, receiver, data)

    def _out(self, sender: int, receiver: int, data: bytes) -> None:
        transport = self._legs[receiver, sender].transport
        if transport is not None and not transport.is_closing():
            transport.sendto(data, (self.hosts[receiver], PEER_PORT))

    def close(self) -> None:
        for leg in self._legs.values():
            if leg.transport is not None:
                leg.transport.close()


# Workers and clients


@dataclass
class Worker:
    """A stand-in with slots and a queue; it reports what is free."""

    slots: int
    work_s: float
    started_at: float = 0.0  # on the monotonic clock, of a cold one
    address: Address = ("", 0)
    began: list[tuple[float, str, str]] = field(default_factory=list)  # when each came, its class and its id
    here: int = 0  # attempts that came and are not yet answered
    peak: int = 0
    _free: asyncio.Semaphore | None = None
    _server: asyncio.Server | None = None

    async def open(self) -> None:
        self._free = asyncio.Semaphore(self.slots)
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.address = self._server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    def warm_fraction(self, at: float) -> float:
        if not self.started_at:
            return 1.0
        return COLD_FROM + (1.0 - COLD_FROM) * min(1.0, max(0.0, (at - self.started_at) * 1e3 / WARM_MS))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert self._free is not None
        try:
            while True:
                first, headers = await read_head(reader)
                await reader.readexactly(int(headers.get("content-length", "0")))
                if not first.startswith("POST"):
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                ident = headers["x-request-id"]
                # By the kernel: the test's process may read only later, and then several at once.
                unread_ms = since_last_data_ms(writer.get_extra_info("socket")) or 0.0
                self.began.append((time.monotonic() - unread_ms / 1e3, headers["x-priority-class"], ident))
                self.here += 1
                self.peak = max(self.peak, self.here)
                try:
                    async with self._free:
                        await asyncio.sleep(self.work_s / self.warm_fraction(time.monotonic()))
                finally:
                    self.here -= 1
                body = json.dumps({"id": ident, "state": "done", "result": "r"}).encode() + b"\n"
                load = f"x0={max(0, self.slots - self.here)},inflight={self.here}"
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\nX-Server-Load: {load}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, KeyError, ValueError):
            pass
        finally:
            writer.close()


class Crowd:
    """Clients of all schedulers that send at a rate; each request once, under an id of its own."""

    def __init__(self, addresses: Sequence[Address], rate: float, rng: random.Random, deadline_ms: float) -> None:
        self.addresses, self.rate, self.rng, self.deadline_ms = addresses, rate, rng, deadline_ms
        self.sent = 0
        self.endings: Counter[int] = Counter()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        at = time.monotonic()
        while True:
            at += self.rng.expovariate(self.rate)
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            self.sent += 1
            task = asyncio.create_task(self._send(f"c{self.sent}"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, ident: str) -> None:
        to, cls = self.rng.choice(self.addresses), self.rng.choice(CLASSES)
        ending = 0
        try:
            async with asyncio.timeout(self.deadline_ms / 1e3 + 1.0):
                reader, writer = await asyncio.open_connection(*to)
                try:
                    head = (f"POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: {ident}\r\n"
                            f"X-Priority-Class: {cls}\r\n"
                            f"X-Timeout: {self.deadline_ms:.0f}m\r\nContent-Length: 8\r\n\r\n")
                    writer.write(head.encode() + b"12345678")
                    first, headers = await read_head(reader)
                    await reader.readexactly(int(headers["content-length"]))
                    ending = int(first.split(" ")[1])
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, KeyError):
            pass
        self.endings[ending] += 1

    async def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(list(self._tasks))


# Schedulers


class Site:
    """The schedulers, and all around them; ``close`` ends and gives back everything."""

    def __init__(self, seed: int, workers: int, slots: int, work_s: float, rate: float, large_from: int = 0,
                 deadline_ms: float = 9_000.0) -> None:
        """``large_from``: the border of its schedulers in workers; 0: as they have it."""
        self.large_from = large_from
        self.deadline_ms = deadline_ms
        self.rng = random.Random(seed)
        net = f"127.{random.SystemRandom().randint(10, 250)}.{os.getpid() % 250 + 1}"
        self.hosts = [f"{net}.{n + 1}" for n in range(SCHEDULERS)]
        self.addresses: list[Address] = [(host, HTTP_PORT) for host in self.hosts]
        self.network = Network(self.hosts, self.rng)
        self.workers = [Worker(slots, work_s) for _ in range(workers)]
        self.agent = Listing(0 if large_from else LISTED)
        self.crowd = Crowd(self.addresses, rate, self.rng, deadline_ms)
        self.folder = Path(tempfile.mkdtemp(prefix="gaphub-sized-"))
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self._sending: asyncio.Task[None] | None = None

    async def open(self, old: Iterable[int] = ()) -> None:
        for worker in self.workers:
            await worker.open()
        self.agent.list(self.workers)
        await self.agent.open()
        await self.network.open()
        limits = {**SETTINGS["limits"], "peerMessages": True}
        grades = [{**grade, "deadline": max(grade["deadline"], self.deadline_ms)} for grade in SETTINGS["grades"]]
        for n, host in enumerate(self.hosts):
            home = self.folder / f"n{n}"
            home.mkdir()
            (home / "fronts.toml").write_text("")
            (home / "config.json").write_text(json.dumps({
                "name": f"n{n}", "listen": f"{host}:{HTTP_PORT}", "seed": f"{n + 1:x}",
                "peer_listen": f"{host}:{PEER_PORT}", "limits": {"sockets": 4096},
                "peers": [f"{host}:{PEER_PORT}" if m == n else self.network.address(n, m)
                          for m in range(SCHEDULERS)],
                "discovery": "{}:{}".format(*self.agent.address),
                "known": {"version": 0, "full": True, "servers": self.agent.entries},
                "settings": {**SETTINGS, "grades": grades, "limits": limits, "me": n, "balancers": SCHEDULERS,
                             "report": {"fields": ["x0", "inflight"], "via": "inline"},
                             "familyInfo": {"reportX0": "free slots"},
                             "rules": {"startCapacity": COLD_FROM, "warmAfter": WARM_MS, "fall": FALL_MS,
                                       "fallMultiple": FALL_MULTIPLE}}}))
        await self.start(range(SCHEDULERS), old)
        self._sending = asyncio.create_task(self.crowd.run())

    async def start(self, numbers: Iterable[int], old: Iterable[int] = ()) -> None:
        """Start some, and wait until they are ready."""
        numbers = list(numbers)
        for n in numbers:
            home = self.folder / f"n{n}"
            self.processes[n] = self._start(home, n in old)
        await until_ready(numbers, self.folder, READY_S, self.ask)

    def _start(self, home: Path, old: bool) -> subprocess.Popen[bytes]:
        large_from = NEVER_LARGE if old else self.large_from
        return start_with(home, large_from) if large_from else start_gaphub(home, home.name, [])

    def kill(self, numbers: Iterable[int]) -> None:
        for n in list(numbers):
            process = self.processes.pop(n, None)
            if process is not None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()

    async def ask(self, number: int, target: str) -> Any:
        """What one answers a GET; None if it does not answer 200."""
        return await ask(self.addresses[number], target)

    async def counters(self) -> dict[int, Counter[str]]:
        return {n: Counter(await self.ask(n, "/-/counters") or {}) for n in self.processes}

    async def within_budget(self, for_s: float) -> None:
        """For so long each sends no more than its budget, whatever is going on; a burst of a second on top."""
        before, began = await self.counters(), time.monotonic()
        await asyncio.sleep(for_s)
        after = await self.counters()
        took_s, limits = time.monotonic() - began, Limits()
        for n in before:
            sent = after[n] - before[n]
            assert 0 < sent["occupancy.sent_bytes"] <= (took_s + 1.0) * limits.bytes_per_s + MESSAGE_BYTES_MAX * 2
            # A round is a second at the least, and brings each peer the datagrams that its share of bytes fills.
            assert sent["occupancy.sent"] <= (took_s + 1.0) * limits.datagrams_per_s, (n, sent)

    def check_workers(self, served_part: float) -> None:
        """What is true after any fault: nothing runs twice that must not, and most is served."""
        ran = Counter(ident for w in self.workers for _, cls, ident in w.began if cls != CLASSES[0])
        assert not [ident for ident, times in ran.items() if times > 1]
        assert self.crowd.endings[200] >= served_part * self.crowd.sent, (self.crowd.sent, self.crowd.endings)

    async def close(self) -> None:
        if self._sending is not None:
            self._sending.cancel()
            await asyncio.wait([self._sending])
        await self.crowd.close()
        self.kill(list(self.processes))
        self.network.close()
        self.agent.close()
        for worker in self.workers:
            worker.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class Listing(Agent):
    """Discovery's agent, whose list is long: all but a few leave, and take nothing new."""

    def __init__(self, leaving: int) -> None:
        super().__init__([])
        self.leaving = leaving
        self.entries: list[dict[str, Any]] = []

    def list(self, workers: Sequence[Worker], cold: Sequence[Worker] = ()) -> None:
        started_ms = time.time() * 1e3
        named = [(w, 0.0) for w in workers] + [(w, started_ms) for w in cold]
        self.entries = [{"id": f"w{i}", "addr": "{}:{}".format(*w.address), "zone": "a", "kind": "m", "cell": 0,
                         "state": "active", "weight": 1.0, "started_ms": started} for i, (w, started) in
                        enumerate(named)]
        self.entries += [{"id": f"l{i}", "addr": "127.0.0.1:9", "zone": "a", "kind": "m", "cell": 0,
                          "state": "leaving", "weight": 1.0, "started_ms": 0.0} for i in range(self.leaving)]
        self.version += 1

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, _ = await read_head(reader)
                version = self.version
                ends = time.monotonic() + 3.0
                while f"index={version}&" in first and version == self.version and time.monotonic() < ends:
                    await asyncio.sleep(0.05)
                changed = f"index={self.version}&" not in first
                body = json.dumps({"version": self.version, "full": changed,
                                   "servers": self.entries if changed else []}).encode()
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()


def start_with(home: Path, large_from: int) -> subprocess.Popen[bytes]:
    """A process whose border is another; ``NEVER_LARGE``: it tells all to all alone, as an old one."""
    env = {**os.environ, "LB_CONFIG": str(home / "config.json"), "LB_NAME": home.name,
           "LB_FRONTS": str(home / "fronts.toml"), "PYTHONPATH": str(Path(__file__).resolve().parent.parent)}
    for variable in ("LB_LISTEN", "LB_DISCOVERY"):
        env.pop(variable, None)
    with open(home / "log", "ab") as log:
        command = [sys.executable, "-c", BORDERS.format(large_from)]
        return subprocess.Popen(command, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL)


def play(site: Site, course: Callable[[], Any], within_s: float) -> None:
    async def run() -> None:
        try:
            async with asyncio.timeout(within_s):
                await course()
        finally:
            await site.close()

    asyncio.run(run())


def most_of_budget(worker: Worker) -> float:
    """The fullest window of ``FALL_MS`` that begins with an attempt at a cold worker, by what the rule allows.

    N is ``MULTIPLE`` times what it can do in that time, as far as it is warm; N + 2 x root of N + 2 is allowed.
    """
    worst = 0.0
    times = sorted(at for at, _, _ in worker.began)
    for at in times:
        ends = at + FALL_MS / 1e3
        inside = sum(at <= other < ends for other in times)
        n = FALL_MULTIPLE * worker.slots / worker.work_s * FALL_MS / 1e3 * (
            worker.warm_fraction(at) + worker.warm_fraction(ends)) / 2
        worst = max(worst, inside / (n + 2.0 * n ** 0.5 + 2.0))
    return worst


def test_a_rolling_upgrade_under_load_on_a_bad_network() -> None:
    site = Site(1, workers=8, slots=4, work_s=0.25, rate=60.0)

    async def course() -> None:
        assert SCHEDULERS - 1 >= LARGE_FROM_PEERS
        await site.open(old=range(SCHEDULERS))
        site.network.loss, site.network.doubled, site.network.delay_s = 0.1, 0.05, 0.1
        await asyncio.sleep(2.0)
        assert all(not c["occupancy.sharded"] for c in (await site.counters()).values())
        for n in site.rng.sample(range(SCHEDULERS), SCHEDULERS):
            site.kill([n])
            await site.start([n])
        assert site.network.told["counts"]
        await asyncio.sleep(SILENT_S - 4.0)
        counters = await site.counters()
        assert all(c["occupancy.sharded"] == 1 and c["occupancy.legacy"] == 0 for c in counters.values()), counters
        site.network.told.clear()
        await site.within_budget(4.0)
        assert not site.network.told["counts"]  # but capacities no message tells all to all any more
        site.check_workers(0.85)

    play(site, course, 60.0)


def test_faults_of_schedulers_and_of_the_network() -> None:
    site = Site(2, workers=8, slots=4, work_s=0.25, rate=60.0)
    cold = Worker(4, 2.0)  # so little that one attempt of each scheduler would be too much

    async def course() -> None:
        await site.open()
        site.network.loss, site.network.doubled, site.network.delay_s = 0.05, 0.05, 0.05
        await asyncio.sleep(3.0)
        site.kill([3])  # one aggregates a tenth of the workers, as does the next
        site.processes[4].send_signal(signal.SIGSTOP)
        await asyncio.sleep(2.0)
        site.network.cut = lambda a, b: a % 2 != b % 2
        await asyncio.sleep(SILENT_S)
        site.processes[4].send_signal(signal.SIGCONT)
        await cold.open()
        cold.started_at = time.monotonic()
        site.agent.list(site.workers, [cold])
        await asyncio.sleep(2.5)
        site.network.cut = lambda a, b: False
        joined = time.monotonic()
        await site.within_budget(3.0)
        after = [sum(at > joined for at, _, _ in w.began) for w in site.workers]
        assert max(after) <= 3.0 * sum(after) / len(after), after  # nobody is taken for empty by all who return
        site.kill(list(site.processes))
        await asyncio.sleep(0.2)
        await site.start(range(SCHEDULERS))
        await asyncio.sleep(3.0)
        counters = await site.counters()
        assert all(c["occupancy.sharded"] == 1 for c in counters.values())
        site.check_workers(0.6)
        assert cold.began
        print(f"cold worker: {most_of_budget(cold):.2f} of what is allowed")
        assert most_of_budget(cold) <= 1.0

    try:
        play(site, course, 60.0)
    finally:
        cold.close()


def test_workers_that_fill_up_on_a_bad_network_get_no_more_than_the_age_of_sums_allows() -> None:
    """Of jobs that outlast the test, none begins at a worker that has been full for ``KNOWN_S``.

    With few workers a turn is a round of a second.  A report and a sum may each wait a round, and each be lost
    once: four rounds; wakeups stretch a round by up to a tenth, and the network delays each twice.
    """
    site = Site(3, workers=6, slots=12, work_s=0.05, rate=40.0, large_from=5, deadline_ms=60_000.0)

    async def course() -> None:
        await site.open()
        site.network.loss, site.network.doubled, site.network.delay_s = 0.05, 0.1, 0.15
        await asyncio.sleep(SILENT_S)  # sums are whole, and the slots of idle workers known
        site.crowd.rate = 2.0
        await asyncio.sleep(1.0)
        began = time.monotonic()
        for worker in site.workers:
            worker.work_s = 100.0
            worker.began.clear()
            worker.peak = 0
        site.crowd.rate = 6.0
        slots = sum(w.slots for w in site.workers)
        while sum(len(w.began) for w in site.workers) < slots - 4 and time.monotonic() < began + 20.0:
            await asyncio.sleep(0.05)
        print("FILLED", [len(w.began) for w in site.workers], round(time.monotonic() - began, 1))
        assert sum(len(w.began) for w in site.workers) >= slots - 4
        for worker in site.workers:
            times = sorted(at for at, _, _ in worker.began)
            late = [at - times[worker.slots - 1] for at in times[worker.slots:]]
            print(f"{worker.peak} jobs, {max(late, default=0.0):.2f} s after it was full at the most")
            assert all(s <= KNOWN_S for s in late), (worker.peak, late)
            assert worker.peak <= worker.slots + len(late)

    play(site, course, 60.0)
