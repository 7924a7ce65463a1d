"""Runs a scenario: for each point it starts the processes, measures the windows and appends to the points file.

A point is measured in two starts of the same real schedulers under the same requests.  In the first, the baseline,
peer messages are off and the list does not change, so that subtracting the baseline does not remove any cost of
control traffic.  In the second all control traffic flows; where changes are swept, a further phase measures how
long they take to be in force.  However a point ends, everything that was started is ended through its handle.
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
from ..stand_ins import Workers
from .change_latency import measure_list_changes, measure_settings_changes
from .discovery import CountingAgent, Registry
from .hollow import FleetCounters, FleetPlan
from .points import ChangeLatency, FleetMethod, Load, Machine, Point, SchedulerUsage, append_point
from .processes import SOURCE_TREE, FleetProcess, ProcessError, RealScheduler, simulated_address
from .sampling import Sample, usage_between
from .scenario import (
    CHANGES_SWEEP,
    SETTINGS_SWEEP,
    PlannedPoint,
    Scenario,
    ScenarioError,
    descriptors_needed,
    exchange_method_at,
    memory_needed,
    plan_points,
)

RESPONDING_WORKERS = 16  # simulated workers that listen; every list entry has the address of one of them
MAX_SKIPPED_SHARE = 0.05  # of a window, in simulated time that the simulated fleet may skip
MAX_LOST_SHARE = 0.05  # of the simulated fleet's datagrams
POINT_OVERHEAD_TIMEOUT_S = 90.0  # a point that takes longer than this beside its windows has failed
MAX_BASELINE_WARM_UP_S = 3.0  # shorter than others, as without peer messages there are no sums to collect
MAX_MEMORY_SHARE = 0.5  # of the machine's memory
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

ProgressCallback = Callable[[PlannedPoint, Point | None], None]  # called before (None) and after each point


@dataclass
class Window:
    """One measured window: what each real scheduler used, and what the simulated fleet did meanwhile."""

    seconds: float
    schedulers: list[SchedulerUsage]
    sent: tuple[FleetCounters, FleetCounters] | None
    dropped: int  # datagrams that the real schedulers dropped because the sender's mailbox was full


def check_machine(scenario: Scenario) -> None:
    """Raise ScenarioError if the machine has too little memory or too few descriptors for the scenario."""
    memory = int(psutil.virtual_memory().total * MAX_MEMORY_SHARE)
    files = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    for planned in plan_points(scenario):
        needed = memory_needed(scenario, planned.load)
        if needed > memory:
            raise ScenarioError(f"sweeps.{planned.sweep}: needs {needed / 1e9:.1f} GB, and half of this machine's "
                                f"memory is {memory / 1e9:.1f} GB")
        if (needed := descriptors_needed(scenario, planned.load)) > files:
            raise ScenarioError(f"sweeps.{planned.sweep}: needs {needed} descriptors, and the limit is {files} "
                                "(ulimit -n)")


def machine() -> Machine:
    """Describe the machine of this run."""
    return Machine(os.cpu_count() or 1, psutil.virtual_memory().total // 2**20, platform.python_version())


def git_commit() -> tuple[str, bool]:
    """The commit of the running code, and whether tracked files differ from it; ``unknown`` outside a checkout."""
    def git(*arguments: str) -> str:
        return subprocess.run(
            ["git", *arguments], cwd=SOURCE_TREE, check=True, capture_output=True, text=True).stdout.strip()

    try:
        return git("rev-parse", "HEAD"), bool(git("status", "--porcelain", "--untracked-files=no"))
    except (OSError, subprocess.CalledProcessError):
        return "unknown", True


async def run(name: str, scenario: Scenario, out: Path | None,
              on_progress: ProgressCallback = lambda planned, point: None) -> list[Point]:
    """Measure every point of a scenario; each is appended to ``out`` as soon as it is measured.

    SIGTERM and SIGINT cancel the run, even if the shell has SIGINT ignored; all processes are ended first.
    """
    check_machine(scenario)
    commit, dirty = git_commit()
    task = asyncio.current_task()
    assert task is not None
    for stop_signal in STOP_SIGNALS:
        asyncio.get_running_loop().add_signal_handler(stop_signal, task.cancel)
    points = []
    try:
        for index, planned in enumerate(plan_points(scenario)):
            on_progress(planned, None)
            seed = scenario.seed * 1_000 + index
            point = await _measure(scenario, planned, seed, Point(
                commit=commit, dirty=dirty, seed=seed, machine=machine(), scenario=name, sweep=planned.sweep,
                repeat=planned.repeat, load=planned.load, seconds=scenario.seconds, schedulers=[], baseline=[],
                way=exchange_method_at(scenario.way, planned.load)))
            points.append(point)
            if out is not None:
                append_point(out, point)
            on_progress(planned, point)
    finally:
        for stop_signal in STOP_SIGNALS:
            asyncio.get_running_loop().remove_signal_handler(stop_signal)
    return points


async def _measure(scenario: Scenario, planned: PlannedPoint, seed: int, empty: Point) -> Point:
    """Measure one point.  A failure is recorded in the point and does not end the run."""
    try:
        planned_s = 2 * (scenario.seconds + scenario.warm_up_s) + scenario.in_force_s
        async with asyncio.timeout(POINT_OVERHEAD_TIMEOUT_S + planned_s):
            async with Deployment(scenario, planned.load, seed, peer_messages=False) as deployment:
                await deployment.warm_up()
                baseline = await deployment.measure_window(scenario.seconds)
            async with Deployment(scenario, planned.load, seed, peer_messages=True) as deployment:
                changes_per_s = 0.0 if planned.sweep == SETTINGS_SWEEP else planned.load.changes_per_s
                await deployment.warm_up()
                window = await deployment.measure_window(scenario.seconds, changes_per_s)
                schedulers = await deployment.with_ages(window.schedulers)
                in_force = await _measure_latency(deployment, planned, scenario)
    except (ProcessError, OSError, TimeoutError) as error:
        return replace(empty, failed=repr(error))
    return replace(empty, seconds=window.seconds, schedulers=schedulers, baseline=baseline.schedulers,
                   baseline_seconds=baseline.seconds, in_force_ms=in_force,
                   failed=unsound_reason(window, planned.load.schedulers))


async def _measure_latency(deployment: Deployment, planned: PlannedPoint, scenario: Scenario
                           ) -> ChangeLatency | None:
    changes_per_s = planned.load.changes_per_s
    if planned.sweep == CHANGES_SWEEP:
        await deployment.restore_list()
        return await measure_list_changes(
            deployment.real_schedulers, deployment.registry, changes_per_s, scenario.in_force_s)
    if planned.sweep == SETTINGS_SWEEP:
        return await measure_settings_changes(deployment.real_schedulers, changes_per_s, scenario.in_force_s)
    return None


def unsound_reason(window: Window, schedulers: int) -> str:
    """Why a window does not represent the planned load; empty if it does.

    ``schedulers``: the number of all schedulers, real and simulated.
    """
    if window.sent is None:
        return ""
    before, after = window.sent
    elapsed_s, covered_s = after.at_s - before.at_s, after.covered_s - before.covered_s
    faults = []
    if covered_s < (1.0 - MAX_SKIPPED_SHARE) * elapsed_s:
        faults.append(f"the fleet simulated {covered_s:.2f} s of {elapsed_s:.2f} s: "
                      f"{(after.starts - before.starts) / elapsed_s:.0f} starts a second")
    sent = (after.datagrams - before.datagrams) * len(window.schedulers)
    # The real schedulers also receive from each other; each sends the same number to every peer.
    sent_by_real = sum(m.peer_out_datagrams for m in window.schedulers)
    expected_from_real = sent_by_real * (len(window.schedulers) - 1) / (schedulers - 1)
    received = round(sum(m.peer_in_datagrams for m in window.schedulers) - expected_from_real)
    if received < (1.0 - MAX_LOST_SHARE) * sent:
        faults.append(f"{received} of the simulated schedulers' {sent} datagrams arrived")
    if window.dropped:
        faults.append(f"{window.dropped} datagrams found a full mailbox")
    return "; ".join(faults)


class Deployment:
    """The processes and simulated parts of one start; an async context manager that ends all of them."""

    def __init__(self, scenario: Scenario, load: Load, seed: int, peer_messages: bool) -> None:
        self.scenario = scenario
        self.load = load
        self.seed = seed
        self.peer_messages = peer_messages
        self.exchange_method = exchange_method_at(scenario.way, load)
        self.workers = Workers(WORK_MS, seed)
        self.registry: Registry
        self.real_schedulers: list[RealScheduler] = []
        self.fleet_process = FleetProcess()
        self.clients: list[Clients] = []
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Deployment:
        """Start all parts; if one does not start, end those already started."""
        async with self._stack:
            await self._start()
            self._stack = self._stack.pop_all()
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all parts."""
        await self._stack.aclose()

    async def _start(self) -> None:
        stack, load = self._stack, self.load
        folder = Path(tempfile.mkdtemp(prefix="gaphub-scale-"))
        stack.callback(shutil.rmtree, folder, ignore_errors=True)
        stack.callback(self.workers.close)
        await self.workers.open(RESPONDING_WORKERS)
        self.registry = Registry(load.workers, load.zones, self.workers.addresses, self.seed)
        for index in range(self.scenario.real_schedulers):
            agent = CountingAgent(self.registry)
            stack.callback(agent.close)
            await agent.open()
            self.real_schedulers.append(RealScheduler(folder, index, agent))
        simulated = self._simulated_addresses()
        peers = [scheduler.peer_listen for scheduler in self.real_schedulers] + simulated
        for scheduler in self.real_schedulers:
            scheduler.configure(load, peers, self.scenario.peer_price, self.peer_messages, self.exchange_method)
            stack.push_async_callback(scheduler.close)
            await scheduler.start()
        # Sharded: a scheduler that receives nothing for some rounds takes all peers to be dead.
        if self.exchange_method is FleetMethod.SHARDED:
            await self._start_fleet(simulated)
        for scheduler in self.real_schedulers:
            await scheduler.wait_ready(load.workers)
        # All to all: the simulated schedulers send their first snapshots at once, so the real ones must be ready.
        if self.exchange_method is FleetMethod.ALL_TO_ALL:
            await self._start_fleet(simulated)
        for scheduler in self.real_schedulers:
            self._start_client(scheduler)

    async def _start_fleet(self, listen: list[Address]) -> None:
        if self.peer_messages:
            self._stack.push_async_callback(self.fleet_process.close)
            await self.fleet_process.start(self._fleet_plan(listen))

    def _simulated_addresses(self) -> list[Address]:
        return [simulated_address(i) for i in range(self.load.schedulers - len(self.real_schedulers))]

    def _fleet_plan(self, listen: list[Address]) -> FleetPlan:
        load, simulated_share = self.load, len(listen) / self.load.schedulers
        return FleetPlan(
            listen, [scheduler.peer_listen for scheduler in self.real_schedulers], load.schedulers, load.workers,
            load.starts_per_s * simulated_share, round(load.tasks_running * simulated_share),
            self.scenario.warm_up_s / 2, self.seed, self.exchange_method)

    def _start_client(self, scheduler: RealScheduler) -> None:
        requests_per_s = min(self.load.starts_per_s / self.load.schedulers, self.scenario.requests_most_per_s)
        clients = Clients(scheduler.listen, requests_per_s, self.seed + scheduler.number)
        self._stack.push_async_callback(clients.close)
        self.clients.append(clients)
        clients.start()

    async def warm_up(self) -> None:
        """Wait until the effects of the start have passed."""
        warm_up_s = self.scenario.warm_up_s
        await asyncio.sleep(warm_up_s if self.peer_messages else min(warm_up_s, MAX_BASELINE_WARM_UP_S))

    async def measure_window(self, seconds: float, changes_per_s: float = 0.0) -> Window:
        """Measure one window, with list changes at the rate ``changes_per_s``."""
        churn = asyncio.create_task(self.registry.churn(changes_per_s))
        try:
            sent = await self._fleet_counters()
            before = await self._samples()
            await asyncio.sleep(seconds)
            after = await self._samples()
            sent_after = await self._fleet_counters()
        finally:
            churn.cancel()
            await asyncio.wait([churn])
        if not churn.cancelled():
            churn.result()  # raises the error that ended it
        pairs = list(zip(self.real_schedulers, before, after, strict=True))
        return Window(
            sum(after.at_s - before.at_s for _, before, after in pairs) / len(pairs),
            [usage_between(scheduler.name, before, after) for scheduler, before, after in pairs],
            (sent, sent_after) if sent is not None and sent_after is not None else None,
            sum(after.counter("peers.dropped") - before.counter("peers.dropped") for _, before, after in pairs))

    async def with_ages(self, schedulers: list[SchedulerUsage]) -> list[SchedulerUsage]:
        """Add the age of the sums in use.  The query costs the schedulers CPU time, so it is after the window."""
        if self.exchange_method is not FleetMethod.SHARDED:
            return schedulers
        statuses = [await scheduler.occupancy() for scheduler in self.real_schedulers]
        return [replace(scheduler, age_p50_ms=s.age_p50_ms, age_p99_ms=s.age_p99_ms)
                for scheduler, s in zip(schedulers, statuses, strict=True)]

    async def restore_list(self) -> None:
        """Add all removed workers to the list again, and wait until all real schedulers have them."""
        self.registry.relist_all()
        for scheduler in self.real_schedulers:
            await scheduler.wait_ready(self.load.workers)

    async def _samples(self) -> list[Sample]:
        return [await scheduler.read_usage() for scheduler in self.real_schedulers]

    async def _fleet_counters(self) -> FleetCounters | None:
        return await self.fleet_process.counters() if self.peer_messages else None
