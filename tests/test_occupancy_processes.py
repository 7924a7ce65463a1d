"""Ten scheduler processes behind a lossy network: the load at the workers, and the bytes that schedulers send.

Stand-in workers record what reaches them.  The list names ``LISTED_WORKERS`` workers, enough for the sharded
exchange, of which only a few accept work.  A legacy process is one with an unreachable threshold, so that it uses
the all-to-all exchange only.
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
from gaphub.lab.stand_ins import Agent, read_head
from gaphub.net.arrival import since_last_data_ms
from gaphub.occupancy.budget import Limits
from gaphub.occupancy.messages import Kind, decode
from gaphub.occupancy.sized import LARGE_FROM_PEERS, LARGE_FROM_WORKERS
from gaphub.occupancy.sums_messages import MESSAGE_BYTES_MAX

from .fleet import ask, until_ready

SCHEDULERS = 10
LISTED_WORKERS = LARGE_FROM_WORKERS + 100
HTTP_PORT, PEER_PORT = 7000, 7946
READY_S = 20.0
MAX_AGE_S = 5.0  # within this time, all schedulers know of a start
SILENT_S = 7.5  # until a silent peer is dead to all: five rounds of a second, and the next check
NEVER_LARGE = 10**9
LAUNCHER = ("import sys; from gaphub.occupancy import sized; "
            "sized.LARGE_FROM_WORKERS = sized.SMALL_BELOW_WORKERS = {}; "
            "from gaphub.__main__ import main; sys.exit(main())")
CLASSES = ("poloha", "udalost", "vyuctovani")  # jobs of the last two must not run twice
COLD_FROM, WARM_MS, FALL_MS, FALL_MULTIPLE = 0.3, 8_000.0, 1_000.0, 3.0


# The network


class _Relay(asyncio.DatagramProtocol):
    def __init__(self, network: Network, sender: int, receiver: int) -> None:
        self.network, self.sender, self.receiver = network, sender, receiver
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)  # typed only as BaseTransport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.network.relay_datagram(self.sender, self.receiver, data)

    def error_received(self, exc: Exception) -> None:
        pass  # the target process is down


class Network:
    """Relays datagrams between schedulers, with a port for each ordered pair of them."""

    def __init__(self, hosts: Sequence[str], rng: random.Random) -> None:
        self.hosts = hosts
        self.rng = rng
        self.loss = self.duplication = self.delay_s = 0.0  # random delays reorder datagrams
        self.is_cut: Callable[[int, int], bool] = lambda a, b: False
        self.sent_kinds: Counter[str] = Counter()  # datagrams sent, by content
        self._relays: dict[tuple[int, int], _Relay] = {}

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        for at in range(len(self.hosts)):
            for of in range(len(self.hosts)):
                if at != of:
                    _, relay = await loop.create_datagram_endpoint(
                        lambda at=at, of=of: _Relay(self, at, of), local_addr=("127.0.0.1", 0))  # type: ignore[misc]
                    self._relays[at, of] = relay

    def address(self, at: int, of: int) -> str:
        """The address under which one scheduler knows another."""
        transport = self._relays[at, of].transport
        assert transport is not None
        return "{}:{}".format(*transport.get_extra_info("sockname")[:2])

    def relay_datagram(self, sender: int, receiver: int, data: bytes) -> None:
        """Forward a datagram, or drop it."""
        counts = decode(data)
        if counts is not None:
            self.sent_kinds["capacities" if counts.kind is Kind.CAPACITY else "counts"] += 1
        for _ in range(2 if self.rng.random() < self.duplication else 1):
            if not self.is_cut(sender, receiver) and self.rng.random() >= self.loss:
                drawn_delay_s = self.rng.random() * self.delay_s
                asyncio.get_running_loop().call_later(drawn_delay_s, self._deliver, sender, receiver, data)

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        transport = self._relays[receiver, sender].transport
        if transport is not None and not transport.is_closing():
            transport.sendto(data, (self.hosts[receiver], PEER_PORT))

    def close(self) -> None:
        for relay in self._relays.values():
            if relay.transport is not None:
                relay.transport.close()


# Workers and clients


@dataclass
class Worker:
    """A stand-in worker with slots and a queue, which reports its free slots."""

    slots: int
    work_s: float
    started_at: float = 0.0  # on the monotonic clock; 0: warm
    address: Address = ("", 0)
    attempts: list[tuple[float, str, str]] = field(default_factory=list)  # arrival time, class, request id
    in_flight: int = 0  # attempts received and not yet answered
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
                request_line, headers = await read_head(reader)
                await reader.readexactly(int(headers.get("content-length", "0")))
                if not request_line.startswith("POST"):
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                request_id = headers["x-request-id"]
                # From the kernel, as the test process may read late, and then several requests at once.
                unread_ms = since_last_data_ms(writer.get_extra_info("socket")) or 0.0
                self.attempts.append((time.monotonic() - unread_ms / 1e3, headers["x-priority-class"], request_id))
                self.in_flight += 1
                self.peak = max(self.peak, self.in_flight)
                try:
                    async with self._free:
                        await asyncio.sleep(self.work_s / self.warm_fraction(time.monotonic()))
                finally:
                    self.in_flight -= 1
                body = json.dumps({"id": request_id, "state": "done", "result": "r"}).encode() + b"\n"
                load = f"x0={max(0, self.slots - self.in_flight)},inflight={self.in_flight}"
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\nX-Server-Load: {load}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, KeyError, ValueError):
            pass
        finally:
            writer.close()


class Clients:
    """Clients that send at a given rate to random schedulers; each request once, with a unique id."""

    def __init__(self, addresses: Sequence[Address], rate: float, rng: random.Random, deadline_ms: float) -> None:
        self.addresses, self.rate, self.rng, self.deadline_ms = addresses, rate, rng, deadline_ms
        self.sent = 0
        self.statuses: Counter[int] = Counter()
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

    async def _send(self, request_id: str) -> None:
        to, cls = self.rng.choice(self.addresses), self.rng.choice(CLASSES)
        status = 0
        try:
            async with asyncio.timeout(self.deadline_ms / 1e3 + 1.0):
                reader, writer = await asyncio.open_connection(*to)
                try:
                    head = (f"POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: {request_id}\r\n"
                            f"X-Priority-Class: {cls}\r\n"
                            f"X-Timeout: {self.deadline_ms:.0f}m\r\nContent-Length: 8\r\n\r\n")
                    writer.write(head.encode() + b"12345678")
                    status_line, headers = await read_head(reader)
                    await reader.readexactly(int(headers["content-length"]))
                    status = int(status_line.split(" ")[1])
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, KeyError):
            pass
        self.statuses[status] += 1

    async def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(list(self._tasks))


# Schedulers


class Site:
    """The scheduler processes, workers, network and clients; ``close`` releases everything."""

    def __init__(self, seed: int, workers: int, slots: int, work_s: float, rate: float, large_from: int = 0,
                 deadline_ms: float = 9_000.0) -> None:
        """``large_from``: the worker threshold of the schedulers; 0: the default."""
        self.large_from = large_from
        self.deadline_ms = deadline_ms
        self.rng = random.Random(seed)
        net = f"127.{random.SystemRandom().randint(10, 250)}.{os.getpid() % 250 + 1}"
        self.hosts = [f"{net}.{n + 1}" for n in range(SCHEDULERS)]
        self.addresses: list[Address] = [(host, HTTP_PORT) for host in self.hosts]
        self.network = Network(self.hosts, self.rng)
        self.workers = [Worker(slots, work_s) for _ in range(workers)]
        self.agent = DiscoveryAgent(0 if large_from else LISTED_WORKERS)
        self.clients = Clients(self.addresses, rate, self.rng, deadline_ms)
        self.folder = Path(tempfile.mkdtemp(prefix="gaphub-sized-"))
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self._sending: asyncio.Task[None] | None = None

    async def open(self, legacy: Iterable[int] = ()) -> None:
        for worker in self.workers:
            await worker.open()
        self.agent.list(self.workers)
        await self.agent.open()
        await self.network.open()
        limits = {**SETTINGS["limits"], "peerMessages": True}
        grades = [{**grade, "deadline": max(grade["deadline"], self.deadline_ms)} for grade in SETTINGS["grades"]]
        for n, host in enumerate(self.hosts):
            directory = self.folder / f"n{n}"
            directory.mkdir()
            (directory / "fronts.toml").write_text("")
            (directory / "config.json").write_text(json.dumps({
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
        await self.start(range(SCHEDULERS), legacy)
        self._sending = asyncio.create_task(self.clients.run())

    async def start(self, numbers: Iterable[int], legacy: Iterable[int] = ()) -> None:
        """Start schedulers, and wait until they are ready."""
        numbers = list(numbers)
        for n in numbers:
            directory = self.folder / f"n{n}"
            self.processes[n] = self._start(directory, n in legacy)
        await until_ready(numbers, self.folder, READY_S, self.ask)

    def _start(self, directory: Path, legacy: bool) -> subprocess.Popen[bytes]:
        large_from = NEVER_LARGE if legacy else self.large_from
        return start_with(directory, large_from) if large_from else start_gaphub(directory, directory.name, [])

    def kill(self, numbers: Iterable[int]) -> None:
        for n in list(numbers):
            process = self.processes.pop(n, None)
            if process is not None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()

    async def ask(self, number: int, target: str) -> Any:
        """The answer of a scheduler to a GET; None if its status is not 200."""
        return await ask(self.addresses[number], target)

    async def counters(self) -> dict[int, Counter[str]]:
        return {n: Counter(await self.ask(n, "/-/counters") or {}) for n in self.processes}

    async def within_budget(self, for_s: float) -> None:
        """Check that each scheduler keeps to its budget for a time, with a burst of one second on top."""
        before, started_at = await self.counters(), time.monotonic()
        await asyncio.sleep(for_s)
        after = await self.counters()
        took_s, limits = time.monotonic() - started_at, Limits()
        for n in before:
            sent = after[n] - before[n]
            assert 0 < sent["occupancy.sent_bytes"] <= (took_s + 1.0) * limits.bytes_per_s + MESSAGE_BYTES_MAX * 2
            # A round takes at least a second; each peer gets as many datagrams as its share of the bytes fills.
            assert sent["occupancy.sent"] <= (took_s + 1.0) * limits.datagrams_per_s, (n, sent)

    def check_workers(self, served_part: float) -> None:
        """Check that no unsafe job ran twice, and that enough requests were served."""
        ran = Counter(request_id for w in self.workers for _, cls, request_id in w.attempts if cls != CLASSES[0])
        assert not [request_id for request_id, times in ran.items() if times > 1]
        assert self.clients.statuses[200] >= served_part * self.clients.sent, (
            self.clients.sent, self.clients.statuses)

    async def close(self) -> None:
        if self._sending is not None:
            self._sending.cancel()
            await asyncio.wait([self._sending])
        await self.clients.close()
        self.kill(list(self.processes))
        self.network.close()
        self.agent.close()
        for worker in self.workers:
            worker.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class DiscoveryAgent(Agent):
    """A discovery agent with a long list, most of whose workers are draining and accept no new jobs."""

    def __init__(self, leaving: int) -> None:
        super().__init__([])
        self.leaving = leaving
        self.entries: list[dict[str, Any]] = []

    def list(self, workers: Sequence[Worker], cold: Sequence[Worker] = ()) -> None:
        started_ms = time.time() * 1e3
        workers_and_starts = [(w, 0.0) for w in workers] + [(w, started_ms) for w in cold]
        self.entries = [{"id": f"w{i}", "addr": "{}:{}".format(*w.address), "zone": "a", "kind": "m", "cell": 0,
                         "state": "active", "weight": 1.0, "started_ms": started} for i, (w, started) in
                        enumerate(workers_and_starts)]
        self.entries += [{"id": f"l{i}", "addr": "127.0.0.1:9", "zone": "a", "kind": "m", "cell": 0,
                          "state": "leaving", "weight": 1.0, "started_ms": 0.0} for i in range(self.leaving)]
        self.version += 1

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request_line, _ = await read_head(reader)
                version = self.version
                ends = time.monotonic() + 3.0
                while f"index={version}&" in request_line and version == self.version and time.monotonic() < ends:
                    await asyncio.sleep(0.05)
                changed = f"index={self.version}&" not in request_line
                body = json.dumps({"version": self.version, "full": changed,
                                   "servers": self.entries if changed else []}).encode()
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()


def start_with(directory: Path, large_from: int) -> subprocess.Popen[bytes]:
    """Start a process with another threshold; ``NEVER_LARGE``: all to all only, as a legacy process."""
    env = {**os.environ, "LB_CONFIG": str(directory / "config.json"), "LB_NAME": directory.name,
           "LB_FRONTS": str(directory / "fronts.toml"), "PYTHONPATH": str(Path(__file__).resolve().parent.parent)}
    for variable in ("LB_LISTEN", "LB_DISCOVERY"):
        env.pop(variable, None)
    with open(directory / "log", "ab") as log:
        command = [sys.executable, "-c", LAUNCHER.format(large_from)]
        return subprocess.Popen(command, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL)


def run_scenario(site: Site, scenario: Callable[[], Any], within_s: float) -> None:
    async def run() -> None:
        try:
            async with asyncio.timeout(within_s):
                await scenario()
        finally:
            await site.close()

    asyncio.run(run())


def peak_budget_share(worker: Worker) -> float:
    """The highest load of a cold worker in a window of ``FALL_MS``, as a share of what the rule allows.

    The rule allows N + 2 * sqrt(N) + 2 attempts, where N is ``FALL_MULTIPLE`` times what the worker can do in the
    window, given how warm it is.
    """
    highest = 0.0
    times = sorted(at for at, _, _ in worker.attempts)
    for at in times:
        ends = at + FALL_MS / 1e3
        inside = sum(at <= other < ends for other in times)
        n = FALL_MULTIPLE * worker.slots / worker.work_s * FALL_MS / 1e3 * (
            worker.warm_fraction(at) + worker.warm_fraction(ends)) / 2
        highest = max(highest, inside / (n + 2.0 * n ** 0.5 + 2.0))
    return highest


def test_a_rolling_upgrade_under_load_on_a_bad_network() -> None:
    site = Site(1, workers=8, slots=4, work_s=0.25, rate=60.0)

    async def scenario() -> None:
        assert SCHEDULERS - 1 >= LARGE_FROM_PEERS
        await site.open(legacy=range(SCHEDULERS))
        site.network.loss, site.network.duplication, site.network.delay_s = 0.1, 0.05, 0.1
        await asyncio.sleep(2.0)
        assert all(not c["occupancy.sharded"] for c in (await site.counters()).values())
        for n in site.rng.sample(range(SCHEDULERS), SCHEDULERS):
            site.kill([n])
            await site.start([n])
        assert site.network.sent_kinds["counts"]
        await asyncio.sleep(SILENT_S - 4.0)
        counters = await site.counters()
        assert all(c["occupancy.sharded"] == 1 and c["occupancy.legacy"] == 0 for c in counters.values()), counters
        site.network.sent_kinds.clear()
        await site.within_budget(4.0)
        assert not site.network.sent_kinds["counts"]  # all-to-all messages carry nothing but capacities any more
        site.check_workers(0.85)

    run_scenario(site, scenario, 60.0)


def test_faults_of_schedulers_and_of_the_network() -> None:
    site = Site(2, workers=8, slots=4, work_s=0.25, rate=60.0)
    cold = Worker(4, 2.0)  # so slow that one attempt of each scheduler would be too much

    async def scenario() -> None:
        await site.open()
        site.network.loss, site.network.duplication, site.network.delay_s = 0.05, 0.05, 0.05
        await asyncio.sleep(3.0)
        site.kill([3])  # each of these two aggregates a tenth of the workers
        site.processes[4].send_signal(signal.SIGSTOP)
        await asyncio.sleep(2.0)
        site.network.is_cut = lambda a, b: a % 2 != b % 2
        await asyncio.sleep(SILENT_S)
        site.processes[4].send_signal(signal.SIGCONT)
        await cold.open()
        cold.started_at = time.monotonic()
        site.agent.list(site.workers, [cold])
        await asyncio.sleep(2.5)
        site.network.is_cut = lambda a, b: False
        healed_at = time.monotonic()
        await site.within_budget(3.0)
        after = [sum(at > healed_at for at, _, _ in w.attempts) for w in site.workers]
        assert max(after) <= 3.0 * sum(after) / len(after), after  # no worker looks empty to all that return
        site.kill(list(site.processes))
        await asyncio.sleep(0.2)
        await site.start(range(SCHEDULERS))
        await asyncio.sleep(3.0)
        counters = await site.counters()
        assert all(c["occupancy.sharded"] == 1 for c in counters.values())
        site.check_workers(0.6)
        assert cold.attempts
        print(f"cold worker: {peak_budget_share(cold):.2f} of the allowed load")
        assert peak_budget_share(cold) <= 1.0

    try:
        run_scenario(site, scenario, 60.0)
    finally:
        cold.close()


def test_workers_that_fill_up_on_a_bad_network_get_no_more_than_the_age_of_sums_allows() -> None:
    """No job is sent to a worker that has been full for ``MAX_AGE_S``, where jobs outlast the test.

    With few workers, each sum is sent every round of a second.  A report and a sum may each wait one round and be
    lost once, which makes four rounds; wakeups stretch a round by up to a tenth, and the network delays each
    message.
    """
    site = Site(3, workers=6, slots=12, work_s=0.05, rate=40.0, large_from=5, deadline_ms=60_000.0)

    async def scenario() -> None:
        await site.open()
        site.network.loss, site.network.duplication, site.network.delay_s = 0.05, 0.1, 0.15
        await asyncio.sleep(SILENT_S)  # until the sums are complete and the slots of idle workers known
        site.clients.rate = 2.0
        await asyncio.sleep(1.0)
        started_at = time.monotonic()
        for worker in site.workers:
            worker.work_s = 100.0
            worker.attempts.clear()
            worker.peak = 0
        site.clients.rate = 6.0
        slots = sum(w.slots for w in site.workers)
        while sum(len(w.attempts) for w in site.workers) < slots - 4 and time.monotonic() < started_at + 20.0:
            await asyncio.sleep(0.05)
        print("FILLED", [len(w.attempts) for w in site.workers], round(time.monotonic() - started_at, 1))
        assert sum(len(w.attempts) for w in site.workers) >= slots - 4
        for worker in site.workers:
            times = sorted(at for at, _, _ in worker.attempts)
            excess_delays_s = [at - times[worker.slots - 1] for at in times[worker.slots:]]
            print(f"{worker.peak} jobs, {max(excess_delays_s, default=0.0):.2f} s at most after it was full")
            assert all(s <= MAX_AGE_S for s in excess_delays_s), (worker.peak, excess_delays_s)
            assert worker.peak <= worker.slots + len(excess_delays_s)

    run_scenario(site, scenario, 60.0)
