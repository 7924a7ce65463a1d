"""A real process under a real limit of descriptors, while more idle clients than that come and stay.

What a descriptor can be: a client's connection (``INBOUND_SOCKET_SHARE`` of the limit), one to a worker
(``OUTBOUND_SOCKET_SHARE``), an operator's (a 32nd of it), discovery's, and about a dozen that every process has.

Once in some thirty plays the newcomer's job was refused (503) or had no answer in 5 s. The crowd comes all at
once and overflowed the accept queue of 512 (the kernel counted 2,500 to 22,500 in a play), so the newcomer's
SYN was dropped now and then and sent again 1, 2 and 4 s later; what was left of its time was too little, or
none. The cause and the figures stand in test_crowds.py, which has forty newcomers in a play, and in
docs/incidents/accept-queue.md.
"""

from __future__ import annotations

import asyncio
import itertools
import json
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from gaphub.clock import Clock
from gaphub.lab.world import Workers
from gaphub.metrics import Counters
from gaphub.net.gearman import Gearman
from gaphub.net.http import OUTBOUND_SOCKET_SHARE, Connection, Inbound, Pool, Pools
from gaphub.net.ops import Ops

from .discovery import AgentMode, Discovery
from .processes import ADMIN, Process, counters, job, running
from .scenario import SETTINGS, Cast, free_port

LIMIT = 640  # descriptors
EVERY_PROCESS = 16  # descriptors: the standard ones, the loop's, the listeners, discovery, peers
CROWD = 1_400  # connections that idle clients keep open, or try to
OPENINGS = 20_000  # of theirs, at most
BUSY_CLIENTS = 40  # more, each with one job after another
WORKERS = 300  # more than a process may have connections to at once
JOBS_AT_ONCE = 280  # as well
WORK_MS = {"poloha": 1_300.0, "vyuctovani": 20.0}
OPERATORS = 30  # connections to the operators' address on which nothing comes
CROWD_S = 1.5  # discovery is gone for so long while the crowd is there
TOLD_S = 6.05
WITHIN_S = 5.0  # a new client's job, with the crowd there; its time-out
FIRST_WORDS = [b"", b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n", b"POST /api HTTP/1.1\r\nHost: a\r\n"]

pytestmark = pytest.mark.usefixtures("own_descriptors")


@dataclass
class Crowd:
    """Idle clients: each opens a connection, says some first words or none, stays, and comes again when closed."""

    port: int
    openings: int = 0
    held: int = 0
    most_held: int = 0
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def come(self) -> None:
        self.tasks = [asyncio.create_task(self._client(FIRST_WORDS[i % len(FIRST_WORDS)])) for i in range(CROWD)]

    async def go(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _client(self, words: bytes) -> None:
        while self.openings < OPENINGS:
            self.openings += 1
            with suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                self.held += 1
                self.most_held = max(self.held, self.most_held)
                try:
                    writer.write(words)
                    while await reader.read(4096):
                        pass
                finally:
                    self.held -= 1
                    writer.transport.abort()
            await asyncio.sleep(0.3)


@dataclass
class Watch:
    """The most descriptors that a process was seen to hold."""

    process: Process
    peak: int = 0

    async def run(self) -> None:
        while True:
            self.peak = max(self.peak, self.process.open_descriptors())
            await asyncio.sleep(0.01)


async def gone(discovery: Discovery, how: str) -> None:
    """Discovery is out of reach from now on."""
    if how == "refuses":
        await discovery.refuse()
    elif how == "is silent":
        discovery.mode = AgentMode.HANG


async def back(discovery: Discovery, how: str) -> None:
    """Discovery can be reached again."""
    if how == "refuses":
        await discovery.listen()
    discovery.mode = AgentMode.NORMAL


async def fill_the_workers_part(listen: int) -> None:
    """Have so many jobs under way at once that as many connections to workers stay open as may be."""
    jobs = []
    for i in range(JOBS_AT_ONCE):
        jobs.append(asyncio.create_task(job(listen, f"fill-{i}", "poloha")))
        await asyncio.sleep(0.004)
    served = (await asyncio.gather(*jobs)).count(200)
    assert served > LIMIT * OUTBOUND_SOCKET_SHARE * 0.8, served


@pytest.mark.parametrize("how", ["refuses", "is silent", "stays"])
def test_a_crowd_of_idle_clients_under_a_real_limit_while_discovery(how: str, tmp_path: Path) -> None:
    async def play() -> None:
        old, new = Workers(WORK_MS), Workers(WORK_MS)
        await old.open(WORKERS)
        await new.open(2)
        discovery = Discovery()
        for i, (_, port) in enumerate(old.addresses):
            discovery.put(f"old-{i}", port)
        await discovery.listen()
        listen = free_port()
        one = Process(tmp_path, listen, discovery, "one", LIMIT, settings={**SETTINGS, "familyInfo": {}},
                      limits={"memory_mb": 64, "sockets": LIMIT})
        crowd, watch = Crowd(listen), Watch(one)
        served: Counter[int] = Counter()

        async def client(number: int) -> None:
            for i in itertools.count():
                served[await job(listen, f"busy-{number}-{i}")] += 1

        tasks: list[asyncio.Task[Any]] = []
        with running([one]):
            try:
                await one.ready()
                tasks = [asyncio.create_task(watch.run())]
                await fill_the_workers_part(listen)
                tasks += [asyncio.create_task(client(i)) for i in range(BUSY_CLIENTS)]
                crowd.come()
                await gone(discovery, how)
                operators = [await asyncio.open_connection("127.0.0.1", one.admin) for _ in range(OPERATORS)]
                await asyncio.sleep(CROWD_S)
                for i, (_, port) in enumerate(old.addresses):
                    discovery.put(f"old-{i}", port, "left")
                for i, (_, port) in enumerate(new.addresses):
                    discovery.put(f"new-{i}", port)
                await back(discovery, how)
                async with asyncio.timeout(TOLD_S):
                    while not new.ran:
                        await asyncio.sleep(0.02)
                async with asyncio.timeout(WITHIN_S):
                    assert await job(listen, "newcomer") == 200
                assert await one.call(ADMIN) == 200
                assert (await one.stats())["targets"] == len(new.addresses)
                for _, writer in operators:
                    writer.close()
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
                await crowd.go()
            # Else it was no crowd, or no pressure on the descriptors.
            assert crowd.most_held > LIMIT
            assert watch.peak > LIMIT * 0.75, watch.peak
            assert served[200] > 0
            assert one.process.poll() is None
            counts = json.loads((await counters(listen)).partition("\r\n\r\n")[2])
            faults = {"connections.not_accepted", "ops.not_accepted", "calls.raised", "core_failed"}
            assert not counts.keys() & faults
            assert "Too many open files" not in one.log.read_text()
            print(f"discovery {how}: {watch.peak} descriptors at most, {crowd.openings} connections of the crowd, "
                  f"{crowd.most_held} at once")
        await discovery.refuse()
        old.close()
        new.close()

    asyncio.run(play())


def test_connections_that_a_burst_closes_are_closed_before_others_are_opened() -> None:
    """All connections are idle, and as many jobs for other workers begin in the same moment."""
    most = 20

    async def play() -> list[int]:
        workers = Workers(WORK_MS)
        await workers.open(2 * most)
        clock, counts = Clock(), Counters()
        owner = Pools(clock, counts, most, 60_000.0, 5.0)
        connections: list[Connection] = []
        held: list[int] = []  # descriptors, as each connection begins

        class Noted(Pool):
            async def acquire(self, new_only: bool = False) -> Connection:
                connections.append(await super().acquire(new_only))
                return connections[-1]

        async def connect(to: Any, within_s: float, failed_locally: Any) -> Connection:
            held.append(sum(w.writer.get_extra_info("socket").fileno() >= 0 for w in connections) + 1)
            return await original(to, within_s)

        original = Connection.connect
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(Connection, "connect", connect)
            pools = [Noted(to, owner) for to in workers.addresses]
            owner._pools = dict(zip(workers.addresses, pools, strict=True))
            for pool in pools[:most]:
                connection = await pool.acquire()
                connection.idle_since = clock.now()
                pool.idle.append(connection)
                await asyncio.sleep(0.002)  # one was used last
            await asyncio.gather(*(pool.acquire() for pool in pools[most:]))
        for connection in connections:
            connection.close()
        workers.close()
        return held

    held = asyncio.run(play())
    assert len(held) == 2 * most  # each got one
    assert max(held) <= most


@pytest.mark.parametrize("fronts", ["", '[gearman]\nlisten = "127.0.0.1:PORT"\n'])
def test_the_parts_of_all_fronts_together_stay_within_the_limit(fronts: str,
                                                                 monkeypatch: pytest.MonkeyPatch) -> None:
    parts: list[int] = []

    def note(kind: type, attribute: str) -> None:
        begin = kind.__init__  # type: ignore[misc]

        def noted(self: Any, *args: Any, **more: Any) -> None:
            begin(self, *args, **more)
            parts.append(getattr(self, attribute))

        monkeypatch.setattr(kind, "__init__", noted)

    note(Inbound, "max_connections")
    note(Pools, "free_sockets")
    note(Ops, "most")
    if fronts:
        note(Gearman, "most")

    async def play() -> None:
        async with Cast(admin=f"127.0.0.1:{free_port()}", fronts=fronts, limits={"sockets": LIMIT}):
            pass

    asyncio.run(play())
    assert len(parts) == (4 if fronts else 3)
    assert sum(parts) + EVERY_PROCESS <= LIMIT, parts


def test_a_want_of_descriptors_for_workers_is_no_fault_of_theirs() -> None:
    """All connections that may be open are in use: a call and a probe of another worker find no room."""

    async def play() -> None:
        settings = {**SETTINGS, "limits": {**SETTINGS["limits"], "mostTries": 2}}
        async with Cast(limits={"sockets": 8}, settings=settings) as cast:  # three of them for workers
            await cast.play("d expect index=41\nc1 send job poloha r1")
            await cast.play("c2 send job poloha r2\nc3 send job poloha r3")
            await cast.play("count connections.outbound 3\ncount calls.sent 3")
            await cast.play("c4 send job poloha r4\nc4 expect HTTP/1.1 503\ncount calls.local_failures 1")
            await cast.play("c1 close\ncount calls.cancelled 1")
            # A worker that was ruled out would not get the next job.
            await cast.play("c5 send job vyuctovani r5\ncount connections.outbound 4\ncount calls.sent 5")
            assert "calls.connect_failed" not in cast.counters.snapshot()

    asyncio.run(play())
