"""Guarantees about discovery, with real processes: schedulers act on a change 6 s after discovery had it and could
be reached, whatever failed before, and restarted processes are ready within 10 s.

The scenarios of the first guarantee take equally long, so they run concurrently, once for all tests.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from pathlib import Path
from typing import Any

import pytest

from gaphub.lab.stand_ins import Workers
from gaphub.net import destinations

from .discovery import AgentMode, Discovery, Worker
from .processes import Process, counters, job, running
from .scenario import SETTINGS, free_port

DELIVERED_S = 6.0  # after discovery had a change and could be reached, the change counts as delivered
SOCKET_MARGIN_S = 0.05  # added to every time limit, for the sockets
OBSERVED_S = 1.5  # how long after that the workers' jobs are observed
JOB_EVERY_S = 0.12
CLIENTS = 3  # of each scheduler; enough concurrent jobs that more than one worker is used
SUBSCRIBE = {**SETTINGS, "registryMode": "subscribe",
             "rules": {**SETTINGS["rules"], "askEvery": 10_000.0}}

# --- a change counts as delivered 6 s after discovery had it and could be reached ----------------------

# One scheduler of each kind in every scenario: automatic or subscribe mode, with or without an operators' address.
SCHEDULER_KINDS: dict[str, dict[str, Any]] = {
    "pushed": {"admin": ""}, "pushedops": {}, "asked": {"admin": "", "settings": SUBSCRIBE},
    "askedops": {"settings": SUBSCRIBE},
}


class Setup:
    """Schedulers, their discovery agent, and workers: one stays, one begins to drain, one joins."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.discovery = Discovery(version=50)
        self.other_agents: list[Discovery] = []
        self.staying, self.draining, self.joining = Worker(), Worker(), Worker()
        self.schedulers: dict[str, Process] = {}

    def change(self, discovery: Discovery | None = None) -> None:
        """Make the change that the schedulers must learn of."""
        discovery = discovery or self.discovery
        discovery.put("s-drains", self.draining.port, "leaving")
        discovery.put("s-joins", self.joining.port)


async def refused(setup: Setup) -> None:
    """Discovery refuses connections for longer than the maximum back-off."""
    await setup.discovery.refuse()
    await asyncio.sleep(0.5)
    setup.change()
    await asyncio.sleep(3.0)
    await setup.discovery.listen()


async def given_up(setup: Setup) -> None:
    """Calls hang, and go on hanging after discovery answers new ones again."""
    setup.discovery.mode = AgentMode.HANG
    await asyncio.sleep(0.5)
    setup.change()
    await asyncio.sleep(3.0)
    setup.discovery.mode = AgentMode.NORMAL


async def spoilt(setup: Setup) -> None:
    """Answers are cut off by a reset, malformed, or errors; some calls hang; some connections are refused."""
    for turn in range(20):
        setup.discovery.mode = (AgentMode.RESET, AgentMode.MALFORMED, AgentMode.ERROR, AgentMode.HANG)[turn % 4]
        if turn == 6:
            setup.change()
        if turn % 6 == 5:
            await setup.discovery.refuse()
        await asyncio.sleep(0.17)
        if turn % 6 == 5:
            await setup.discovery.listen()
    setup.discovery.mode = AgentMode.NORMAL


async def silent_watches(setup: Setup) -> None:
    """All open watches fall silent, while discovery can be reached."""
    async with asyncio.timeout(5.0):
        while setup.discovery.open_watches < len(setup.schedulers):
            await asyncio.sleep(0.01)
    setup.discovery.silence_watches()
    setup.change()


async def moved(setup: Setup) -> None:
    """SIGHUP names another agent, whose versions start anew and whose first answers are malformed."""
    new_agent = Discovery()
    new_agent.put("s-stays", setup.staying.port)
    setup.change(new_agent)
    new_agent.mode = AgentMode.MALFORMED
    await new_agent.listen()
    setup.other_agents.append(new_agent)
    for scheduler in setup.schedulers.values():
        scheduler.reload(discovery="{}:{}".format(*new_agent.address))
    await asyncio.sleep(1.0)
    new_agent.mode = AgentMode.NORMAL


@dataclass
class Observation:
    """What was observed in one scenario, by scheduler."""

    draining_before: Counter[str] = field(default_factory=Counter)  # jobs at the draining worker before the change
    late: Counter[str] = field(default_factory=Counter)  # jobs that began there after delivery
    joined: Counter[str] = field(default_factory=Counter)  # jobs at the new worker after delivery
    served: Counter[str] = field(default_factory=Counter)  # jobs answered 200 after delivery
    faults: Counter[str] = field(default_factory=Counter)  # calls that failed or had malformed answers
    alive: dict[str, bool] = field(default_factory=dict)


SCENARIOS: dict[str, Callable[[Setup], Awaitable[None]]] = {
    f.__name__: f for f in (refused, given_up, spoilt, silent_watches, moved)}


async def observe(folder: Path, scenario: Callable[[Setup], Awaitable[None]]) -> Observation:
    """Run one scenario and record which jobs the workers receive after the change counts as delivered."""
    folder.mkdir()
    setup, seen = Setup(folder), Observation()
    for worker in (setup.staying, setup.draining, setup.joining):
        await worker.listen()
    setup.discovery.put("s-stays", setup.staying.port)
    setup.discovery.put("s-drains", setup.draining.port)
    await setup.discovery.listen()
    served: list[tuple[float, str]] = []

    async def client(name: str, listen: int, number: int) -> None:
        for i in itertools.count():
            if await job(listen, f"{name}-{number}-{i}") == 200:
                served.append((time.monotonic(), name))
            await asyncio.sleep(JOB_EVERY_S)

    setup.schedulers = {name: Process(folder, free_port(), setup.discovery, name, name=name, **more)
                        for name, more in SCHEDULER_KINDS.items()}
    clients: list[asyncio.Task[None]] = []
    with running(list(setup.schedulers.values())):
        assert max(await asyncio.gather(*(s.seconds_to_ready() for s in setup.schedulers.values()))) < float("inf")
        clients = [asyncio.create_task(client(name, scheduler.listen, number))
                   for name, scheduler in setup.schedulers.items() for number in range(CLIENTS)]
        async with asyncio.timeout(15.0):
            while setup.draining.senders(0.0).keys() != setup.schedulers.keys():
                await asyncio.sleep(0.02)
        seen.draining_before = setup.draining.senders(0.0)
        await scenario(setup)
        delivered_at = time.monotonic() + DELIVERED_S + SOCKET_MARGIN_S
        await asyncio.sleep(DELIVERED_S + SOCKET_MARGIN_S + OBSERVED_S)
        seen.late, seen.joined = setup.draining.senders(delivered_at), setup.joining.senders(delivered_at)
        seen.served = Counter(name for at, name in served if at >= delivered_at)
        for name, scheduler in setup.schedulers.items():
            seen.alive[name] = scheduler.process.poll() is None
            counted = json.loads((await counters(scheduler.listen)).partition("\r\n\r\n")[2])
            seen.faults[name] = sum(counted.get(k, 0) for k in ("lists.failed", "garbled.list"))
        for task in clients:
            task.cancel()
        await asyncio.wait(clients)
    for discovery in (setup.discovery, *setup.other_agents):
        await discovery.refuse()
    for worker in (setup.staying, setup.draining, setup.joining):
        worker.close()
    return seen


@pytest.fixture(scope="module")
def observations(tmp_path_factory: pytest.TempPathFactory) -> dict[str, Observation]:
    """All scenarios, run concurrently."""
    folder = tmp_path_factory.mktemp("told")

    async def play() -> dict[str, Observation]:
        seen = await asyncio.gather(*(observe(folder / name, s) for name, s in SCENARIOS.items()))
        return dict(zip(SCENARIOS, seen, strict=True))

    return asyncio.run(play())


@pytest.mark.parametrize("name", SCENARIOS)
def test_a_change_counts_as_told_6_s_after_discovery_had_it_and_could_be_reached(
        name: str, observations: dict[str, Observation]) -> None:
    seen = observations[name]
    assert seen.draining_before.keys() == SCHEDULER_KINDS.keys()
    assert seen.faults.keys() == SCHEDULER_KINDS.keys() and min(seen.faults.values()) > 0, seen.faults
    assert seen.alive == dict.fromkeys(SCHEDULER_KINDS, True)
    assert seen.served.keys() == SCHEDULER_KINDS.keys()
    assert not seen.late
    assert seen.joined.keys() == SCHEDULER_KINDS.keys()


def test_the_longest_wait_after_a_failure_and_a_call_that_hangs_then_leave_time_for_one_that_is_answered() -> None:
    """Guards against back-offs longer than the outages in the scenarios, which would pass them."""
    hangs_s = max(destinations.CALL_TIMEOUT_S, destinations.WATCH_WAIT_MS / 1000.0 + destinations.WATCH_MARGIN_S)
    assert destinations.RETRY_MAX_S + destinations.UNREQUESTED_AFTER_S + hangs_s < DELIVERED_S - 1.0


# --- nine in ten restarted processes are ready within 10 s ----------------------------------------------

SCHEDULERS = 12
LISTED = 2_000  # entries, all with the addresses of two workers
READY_WITHIN_S = 10.0
READY_FRACTION = 0.9


class Restart(Enum):
    """How all schedulers are restarted at once, and how discovery behaves then."""

    TERM = auto()
    KILL_LONG = auto()  # the list is long
    KILL_SILENT = auto()  # discovery does not answer; the configuration file has the list, which is long


async def restart(how: Restart, folder: Path) -> tuple[list[float], list[int], int]:
    """Restart all schedulers at once under load.

    Returns how long each took to become ready, the status of the first job at each, and how many jobs were served
    before the restart.
    """
    workers = Workers({"vyuctovani": 10.0})
    await workers.open(2)
    discovery = Discovery()
    ports = [port for _, port in workers.addresses]
    for i in range(2 if how is Restart.TERM else LISTED):
        discovery.put(f"s-{i}", ports[i % 2])
    await discovery.listen()
    silent = how is Restart.KILL_SILENT
    known = {"version": discovery.version, "full": True, "servers": [e for _, e in discovery.entries.values()]}
    settings = {**SETTINGS, "familyInfo": {}, "balancers": SCHEDULERS}
    served: list[int] = []

    async def client(scheduler: Process) -> None:
        for i in itertools.count():
            served.append(await job(scheduler.listen, f"{scheduler.listen}-{i}"))
            await asyncio.sleep(JOB_EVERY_S)

    schedulers = [Process(folder, free_port(), discovery, f"n{i}", name=f"n{i}", settings=settings,
                          known=known if silent else {}) for i in range(SCHEDULERS)]
    with running(schedulers):
        await asyncio.gather(*(s.seconds_to_ready() for s in schedulers))
        clients = [asyncio.create_task(client(scheduler)) for scheduler in schedulers]
        try:
            await asyncio.sleep(1.0)
            served_before = served.count(200)
            if silent:
                discovery.mode = AgentMode.HANG
            for scheduler in schedulers:
                scheduler.process.send_signal(signal.SIGTERM if how is Restart.TERM else signal.SIGKILL)
            await asyncio.gather(*(asyncio.to_thread(scheduler.process.wait, 10.0) for scheduler in schedulers))
            for scheduler in schedulers:
                scheduler.start()
            took_s = await asyncio.gather(*(s.seconds_to_ready() for s in schedulers))
            first_statuses = await asyncio.gather(*(job(s.listen, f"{s.listen}-first") for s in schedulers))
        finally:
            for task in clients:
                task.cancel()
            await asyncio.wait(clients)
    await discovery.refuse()
    workers.close()
    return took_s, first_statuses, served_before


@pytest.mark.parametrize("how", Restart)
def test_nine_in_ten_restarted_processes_are_ready_within_10_s(how: Restart, tmp_path: Path) -> None:
    took_s, first_statuses, served_before = asyncio.run(restart(how, tmp_path))
    assert served_before > SCHEDULERS  # the schedulers were under load
    assert len(took_s) == SCHEDULERS
    assert sum(t <= READY_WITHIN_S for t in took_s) >= READY_FRACTION * SCHEDULERS, took_s
    assert first_statuses.count(200) >= READY_FRACTION * SCHEDULERS, first_statuses
