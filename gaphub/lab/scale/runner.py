"""Owns one scale run: for each point of a scenario the processes, the windows, and the line in the points file.

A point is measured in two starts of the same real schedulers under the same requests.  In the first, the
baseline, peer messages are switched off and the list rests, so that what the schedulers spend on telling others
is not subtracted with it.  In the second all control traffic flows; where changes are swept, a further phase
watches them come into force.  Everything that is started is ended by its handle, however a point ends.
"""

from __future__ import annotations

import asyncio
import os
import platform
import resource
import shutil
import signal
import subprocess
import tempfile
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path

import psutil
from msgspec.structs import replace

from ...config import Address
from ..clients import Clients
from ..site import WORK_MS
from ..world import Workers
from .discovery import CountingAgent, Registry
from .hollow import HollowPlan, Sent
from .in_force import list_changes, settings_changes
from .points import InForce, Load, Machine, Measured, Point, Told, append_point
from .processes import TREE, HollowProcess, ProcessError, RealScheduler, hollow_address
from .sampling import Sample, measured
from .scenario import (
    CHANGES_SWEEP,
    SETTINGS_SWEEP,
    Planned,
    Scenario,
    ScenarioError,
    descriptors_needed,
    memory_needed,
    plan,
    told,
)

ANSWERING = 16  # workers that answer; every list entry names one of them
BEHIND_MOST = 0.05  # share of a window that the hollow fleet may leave out
LOST_MOST = 0.05  # share of the hollow fleet's datagrams that may not arrive
POINT_MOST_S = 90.0  # beside its windows: a point that takes longer has failed
SILENT_WARM_UP_MOST_S = 3.0  # of the baseline: no sums have to gather in it
MEMORY_PART = 0.5  # of the machine
ENDING = (signal.SIGTERM, signal.SIGINT)

Tell = Callable[[Planned, Point | None], None]  # hears of each point before and after it is measured


@dataclass
class Window:
    """One measured window: each real scheduler's share, and what the hollow fleet did meanwhile."""

    seconds: float
    schedulers: list[Measured]
    sent: tuple[Sent, Sent] | None
    dropped: int  # datagrams that came in and found their peer's mailbox full


def check_machine(scenario: Scenario) -> None:
    """Refuse a scenario that this machine cannot hold; ScenarioError says what is short."""
    memory = int(psutil.virtual_memory().total * MEMORY_PART)
    files = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    for planned in plan(scenario):
        needed = memory_needed(scenario, planned.load)
        if needed > memory:
            raise ScenarioError(f"sweeps.{planned.sweep}: needs {needed / 1e9:.1f} GB, and half of this machine's "
                                f"memory is {memory / 1e9:.1f} GB")
        if (needed := descriptors_needed(scenario, planned.load)) > files:
            raise ScenarioError(f"sweeps.{planned.sweep}: needs {needed} descriptors, and the limit is {files} "
                                "(ulimit -n)")


def machine() -> Machine:
    """The machine that measures."""
    return Machine(os.cpu_count() or 1, psutil.virtual_memory().total // 2**20, platform.python_version())


def checkout() -> tuple[str, bool]:
    """The commit of the checkout that runs, and whether files differ from it; ``unknown`` outside of one."""
    def git(*words: str) -> str:
        return subprocess.run(["git", *words], cwd=TREE, check=True, capture_output=True, text=True).stdout.strip()

    try:
        return git("rev-parse", "HEAD"), bool(git("status", "--porcelain", "--untracked-files=no"))
    except (OSError, subprocess.CalledProcessError):
        return "unknown", True


async def run(name: str, scenario: Scenario, out: Path | None, tell: Tell = lambda planned, point: None
              ) -> list[Point]:
    """Measure every point of a scenario; each is appended to ``out`` at once.

    SIGTERM and SIGINT end it alike, also where the shell has SIGINT ignored: every process is ended first.
    """
    check_machine(scenario)
    commit, dirty = checkout()
    task = asyncio.current_task()
    assert task is not None
    for ending in ENDING:
        asyncio.get_running_loop().add_signal_handler(ending, task.cancel)
    points = []
    try:
        for number, planned in enumerate(plan(scenario)):
            tell(planned, None)
            seed = scenario.seed * 1_000 + number
            point = await _measure(scenario, planned, seed, Point(
                commit=commit, dirty=dirty, seed=seed, machine=machine(), scenario=name, sweep=planned.sweep,
                repeat=planned.repeat, load=planned.load, seconds=scenario.seconds, schedulers=[], baseline=[],
                way=told(scenario.way, planned.load)))
            points.append(point)
            if out is not None:
                append_point(out, point)
            tell(planned, point)
    finally:
        for ending in ENDING:
            asyncio.get_running_loop().remove_signal_handler(ending)
    return points


async def _measure(scenario: Scenario, planned: Planned, seed: int, empty: Point) -> Point:
    """One point; what goes wrong with it is said in it and ends no run."""
    try:
        planned_s = 2 * (scenario.seconds + scenario.warm_up_s) + scenario.in_force_s
        async with asyncio.timeout(POINT_MOST_S + planned_s):
            async with Stage(scenario, planned.load, seed, tells=False) as stage:
                await stage.warm_up()
                baseline = await stage.window(scenario.seconds)
            async with Stage(scenario, planned.load, seed, tells=True) as stage:
                changes = 0.0 if planned.sweep == SETTINGS_SWEEP else planned.load.changes_per_s
                await stage.warm_up()
                found = await stage.window(scenario.seconds, changes)
                schedulers = await stage.with_ages(found.schedulers)
                in_force = await _in_force(stage, planned, scenario)
    except (ProcessError, OSError, TimeoutError) as error:
        return replace(empty, failed=repr(error))
    return replace(empty, seconds=found.seconds, schedulers=schedulers, baseline=baseline.schedulers,
                   baseline_seconds=baseline.seconds, in_force_ms=in_force,
                   failed=unsound(found, planned.load.schedulers))


async def _in_force(stage: Stage, planned: Planned, scenario: Scenario) -> InForce | None:
    per_s = planned.load.changes_per_s
    if planned.sweep == CHANGES_SWEEP:
        await stage.rest()
        return await list_changes(stage.real, stage.registry, per_s, scenario.in_force_s)
    if planned.sweep == SETTINGS_SWEEP:
        return await settings_changes(stage.real, per_s, scenario.in_force_s)
    return None


def unsound(window: Window, schedulers: int) -> str:
    """Why a window does not show the load that was planned; empty if it does.

    ``schedulers``: all of them.
    """
    if window.sent is None:
        return ""
    before, after = window.sent
    went_by, covered = after.at_s - before.at_s, after.covered_s - before.covered_s
    faults = []
    if covered < (1.0 - BEHIND_MOST) * went_by:
        faults.append(f"the hollow schedulers played {covered:.2f} s of {went_by:.2f} s: "
                      f"{(after.starts - before.starts) / went_by:.0f} starts a second")
    sent = (after.datagrams - before.datagrams) * len(window.schedulers)
    # The real ones hear each other too, and tell every peer the same.
    told = sum(m.peer_out_datagrams for m in window.schedulers)
    from_real = told * (len(window.schedulers) - 1) / (schedulers - 1)
    came = round(sum(m.peer_in_datagrams for m in window.schedulers) - from_real)
    if came < (1.0 - LOST_MOST) * sent:
        faults.append(f"{came} of the hollow schedulers' {sent} datagrams arrived")
    if window.dropped:
        faults.append(f"{window.dropped} datagrams found a full mailbox")
    return "; ".join(faults)


class Stage:
    """The processes and stand-ins of one start; an async context that ends all of them."""

    def __init__(self, scenario: Scenario, load: Load, seed: int, tells: bool) -> None:
        self.scenario = scenario
        self.load = load
        self.seed = seed
        self.tells = tells
        self.way = told(scenario.way, load)
        self.workers = Workers(WORK_MS, seed)
        self.registry: Registry
        self.real: list[RealScheduler] = []
        self.hollow = HollowProcess()
        self.clients: list[Clients] = []
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Stage:
        """Start everything; what was started is ended if a later part does not start."""
        async with self._stack:
            await self._start()
            self._stack = self._stack.pop_all()
        return self

    async def __aexit__(self, *_: object) -> None:
        """End everything."""
        await self._stack.aclose()

    async def _start(self) -> None:
        stack, load = self._stack, self.load
        folder = Path(tempfile.mkdtemp(prefix="gaphub-scale-"))
        stack.callback(shutil.rmtree, folder, ignore_errors=True)
        stack.callback(self.workers.close)
        await self.workers.open(ANSWERING)
        self.registry = Registry(load.workers, load.zones, self.workers.addresses, self.seed)
        for number in range(self.scenario.real_schedulers):
            agent = CountingAgent(self.registry)
            stack.callback(agent.close)
            await agent.open()
            self.real.append(RealScheduler(folder, number, agent))
        hollow = self._hollow_addresses()
        peers = [one.peer_listen for one in self.real] + hollow
        for one in self.real:
            one.configure(load, peers, self.scenario.peer_price, self.tells, self.way)
            stack.push_async_callback(one.close)
            await one.start()
        if self.way is Told.SHARDED:  # a scheduler that hears nobody for some rounds takes all to be dead
            await self._start_hollow(hollow)
        for one in self.real:
            await one.ready(load.workers)
        if self.way is Told.ALL_TO_ALL:  # each tells its whole table once, soon
            await self._start_hollow(hollow)
        for one in self.real:
            self._send_to(one)

    async def _start_hollow(self, listen: list[Address]) -> None:
        if self.tells:
            self._stack.push_async_callback(self.hollow.close)
            await self.hollow.start(self._hollow_plan(listen))

    def _hollow_addresses(self) -> list[Address]:
        return [hollow_address(i) for i in range(self.load.schedulers - len(self.real))]

    def _hollow_plan(self, listen: list[Address]) -> HollowPlan:
        load, part = self.load, len(listen) / self.load.schedulers
        return HollowPlan(
            listen, [one.peer_listen for one in self.real], load.schedulers, load.workers,
            load.starts_per_s * part, round(load.tasks_running * part), self.scenario.warm_up_s / 2, self.seed,
            self.way)

    def _send_to(self, one: RealScheduler) -> None:
        share = min(self.load.starts_per_s / self.load.schedulers, self.scenario.requests_most_per_s)
        clients = Clients(one.listen, share, self.seed + one.number)
        self._stack.push_async_callback(clients.close)
        self.clients.append(clients)
        clients.start()

    async def warm_up(self) -> None:
        """Let pass what belongs to the start."""
        warm_up_s = self.scenario.warm_up_s
        await asyncio.sleep(warm_up_s if self.tells else min(warm_up_s, SILENT_WARM_UP_MOST_S))

    async def window(self, seconds: float, changes_per_s: float = 0.0) -> Window:
        """Measure; ``changes_per_s``: of the list, meanwhile."""
        churn = asyncio.create_task(self.registry.churn(changes_per_s))
        try:
            sent = await self._sent()
            before = await self._samples()
            await asyncio.sleep(seconds)
            after = await self._samples()
            sent_after = await self._sent()
        finally:
            churn.cancel()
            await asyncio.wait([churn])
        if not churn.cancelled():
            churn.result()  # raises what ended it
        both = list(zip(self.real, before, after, strict=True))
        return Window(
            sum(b.at_s - a.at_s for _, a, b in both) / len(both),
            [measured(one.name, a, b) for one, a, b in both],
            (sent, sent_after) if sent is not None and sent_after is not None else None,
            sum(b.count("peers.dropped") - a.count("peers.dropped") for _, a, b in both))

    async def with_ages(self, schedulers: list[Measured]) -> list[Measured]:
        """Add how old the sums are that each real scheduler believes; finding that costs it time: in no window."""
        if self.way is not Told.SHARDED:
            return schedulers
        seen = [await one.occupancy() for one in self.real]
        return [replace(one, age_p50_ms=s.age_p50_ms, age_p99_ms=s.age_p99_ms)
                for one, s in zip(schedulers, seen, strict=True)]

    async def rest(self) -> None:
        """Put every worker into the list again, and wait until all real schedulers know."""
        self.registry.restore()
        for one in self.real:
            await one.ready(self.load.workers)

    async def _samples(self) -> list[Sample]:
        return [await one.sample() for one in self.real]

    async def _sent(self) -> Sent | None:
        return await self.hollow.count() if self.tells else None
