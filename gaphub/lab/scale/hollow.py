"""Simulated schedulers: light peers that send the real schedulers what as many real peers would at a given load.

A simulated scheduler has a table of its running tasks by worker, a real ``Pacing`` that decides what to send and
when, and an address of its own.  It sends to the real schedulers only: these are measured, and messages among
simulated ones would cost the real ones nothing.  This module has the simulated schedulers of the all-to-all
exchange, ``hollow_sharded`` those of the sharded exchange, and ``hollow_process`` their sockets.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Iterator
from heapq import heappop, heappush
from typing import NamedTuple

import numpy as np
from msgspec import Struct

from ...config import Address
from ...net.destinations import SOURCE
from ...net.peers import HEARTBEAT_FULL_RATE_PEERS, HEARTBEAT_INTERVAL_S, HEARTBEAT_TYPE
from ...occupancy.messages import DELTA, SNAPSHOT, Kind
from ...occupancy.pacing import HEARTBEAT_INTERVAL_MS, Pacing
from .points import FleetMethod

MAX_STEP_MS = 50.0  # time that passed beyond this since the last step is skipped, which ``covered_s`` shows
_HEARTBEAT, _TICK, _FLUSH, _SNAPSHOT = range(4)


class FleetPlan(Struct, frozen=True):
    """The size and load of the simulated fleet, and where it sends."""

    listen: list[Address]  # one address for each simulated scheduler
    receivers: list[Address]  # the real schedulers
    schedulers: int  # real and simulated ones
    workers: int
    starts_per_s: float  # task starts at all simulated schedulers together
    tasks_running: int  # at all simulated schedulers together
    fill_s: float  # within this time each simulated scheduler sends its first snapshot (all-to-all only)
    seed: int
    way: FleetMethod = FleetMethod.ALL_TO_ALL


class FleetCounters(Struct, frozen=True):
    """What the simulated fleet has done since its start."""

    at_s: float  # on the monotonic clock
    covered_s: float  # simulated time; less than the elapsed time if the simulation fell behind
    starts: int
    ends: int
    running: int
    datagrams: int  # to each receiver
    bytes: int  # to each receiver
    unsent: int  # over all receivers; datagrams that the kernel refused


def worker_name(index: int) -> str:
    """The id of a worker in discovery's list."""
    return f"w-{index:05d}"


def worker_number(index: int) -> int:
    """The number of a worker in messages between schedulers, derived from its id as the core does."""
    return zlib.crc32(f"{SOURCE}/{worker_name(index)}".encode()) or 1


class TaskChange(NamedTuple):
    """A task that started or ended."""

    scheduler: int  # index of the simulated scheduler
    worker: int  # number of the worker
    started: bool


def heartbeat_slowdown(plan: FleetPlan) -> float:
    """The heartbeat interval at this number of schedulers, as a multiple of ``HEARTBEAT_INTERVAL_S``."""
    return max(1.0, (plan.schedulers - 1) / HEARTBEAT_FULL_RATE_PEERS)


class SimulatedScheduler:
    """The running tasks of one simulated scheduler by worker, and its messages about them."""

    __slots__ = ("counts", "pacing")

    def __init__(self, others: int) -> None:
        """``others``: the number of other schedulers."""
        self.counts: dict[int, int] = {}
        self.pacing = Pacing(others)

    def change(self, now: float, worker: int, started: bool) -> list[bytes]:
        """Record that a task started or ended; return the messages to send at once."""
        count = self.counts.get(worker, 0) + (1 if started else -1)
        if count:
            self.counts[worker] = count
        else:
            del self.counts[worker]
        return self.encode_messages(now, DELTA) if self.pacing.record_change(now, worker, started) else []

    def on_tick(self, now: float) -> list[bytes]:
        """The messages that are due at a tick, once in ``HEARTBEAT_INTERVAL_MS``."""
        due = self.pacing.next_tick(now)
        return [] if due is None else self.encode_messages(now, due)

    def flush(self, now: float) -> list[bytes]:
        """The batched ends of tasks, once the batch is due."""
        due = self.pacing.flush_at and now >= self.pacing.flush_at
        return self.encode_messages(now, DELTA) if due else []

    def encode_messages(self, now: float, kind: Kind) -> list[bytes]:
        """Messages with the changed counts (``DELTA``) or with the whole table."""
        workers = list(self.pacing.pending) if kind is DELTA else list(self.counts)
        return list(self.pacing.encode_broadcast(now, kind, [(w, self.counts.get(w, 0)) for w in workers]))


class TaskSimulation:
    """A seeded simulation of task starts and ends at the simulated schedulers; no I/O, no clock.

    Starts are a Poisson process at the planned rate, each at a uniformly drawn scheduler and worker.  With every
    start one uniformly drawn running task ends, so that the number of running tasks is constant.
    """

    def __init__(self, plan: FleetPlan, now: float) -> None:
        """``now``: in milliseconds, as in all methods."""
        self.plan = plan
        self.random = random.Random(plan.seed)
        self.worker_numbers = [worker_number(i) for i in range(plan.workers)]
        self.starts = self.ends = 0
        self.covered_ms = 0.0
        self.simulated_until = now
        self._batch_random = np.random.default_rng(plan.seed)
        # Scheduler and worker of each running task.
        self.tasks: list[tuple[int, int]] = [self._random_task() for _ in range(plan.tasks_running)]

    def _random_task(self) -> tuple[int, int]:
        return (int(self.random.random() * len(self.plan.listen)),
                self.worker_numbers[int(self.random.random() * len(self.worker_numbers))])

    def simulate_tasks(self, now: float) -> Iterator[TaskChange]:
        """Advance the simulation to ``now``; yield each start and each end."""
        step = min(now - self.simulated_until, MAX_STEP_MS)
        self.simulated_until = now
        self.covered_ms += step
        for _ in range(int(self._batch_random.poisson(self.plan.starts_per_s * step / 1000.0))):
            yield self._start()
            yield self._end()

    def _start(self) -> TaskChange:
        scheduler, worker = self._random_task()
        self.tasks.append((scheduler, worker))
        self.starts += 1
        return TaskChange(scheduler, worker, True)

    def _end(self) -> TaskChange:
        index = int(self.random.random() * len(self.tasks))
        self.tasks[index], self.tasks[-1] = self.tasks[-1], self.tasks[index]
        self.ends += 1
        return TaskChange(*self.tasks.pop(), False)


class AllToAllFleet(TaskSimulation):
    """All simulated schedulers of a fleet that uses the all-to-all exchange."""

    def __init__(self, plan: FleetPlan, now: float) -> None:
        """``now``: in milliseconds, as in all methods."""
        super().__init__(plan, now)
        self.schedulers = [SimulatedScheduler(plan.schedulers - 1) for _ in plan.listen]
        self.heartbeat_slowdown = heartbeat_slowdown(plan)
        self._timers: list[tuple[float, int, int]] = []  # due time, kind, index of the scheduler
        for scheduler, worker in self.tasks:
            counts = self.schedulers[scheduler].counts
            counts[worker] = counts.get(worker, 0) + 1
        self._schedule_first_timers(now)

    def _schedule_first_timers(self, now: float) -> None:
        for i, scheduler in enumerate(self.schedulers):
            # A random phase of the snapshot cycle, as of schedulers that have run for a long time.
            scheduler.pacing.tick = self.random.randrange(1, 1 + scheduler.pacing.snapshot_ticks)
            phase = i / len(self.schedulers)
            heappush(self._timers, (now + phase * self.plan.fill_s * 1000.0, _SNAPSHOT, i))
            heappush(self._timers, (
                now + self.random.random() * HEARTBEAT_INTERVAL_S * 1000.0 * self.heartbeat_slowdown,
                _HEARTBEAT, i))

    def advance(self, now: float) -> Iterator[tuple[int, bytes]]:
        """Advance to ``now``; yield each due datagram, to go to every receiver, with its scheduler's index."""
        for change in self.simulate_tasks(now):
            for datagram in self._apply_change(now, change):
                yield change.scheduler, datagram
        while self._timers and self._timers[0][0] <= now:
            _, timer, i = heappop(self._timers)
            for datagram in self._fire_timer(now, timer, i):
                yield i, datagram

    def _apply_change(self, now: float, change: TaskChange) -> list[bytes]:
        scheduler = self.schedulers[change.scheduler]
        flush_before = scheduler.pacing.flush_at
        messages = scheduler.change(now, change.worker, change.started)
        if not change.started and scheduler.pacing.flush_at and scheduler.pacing.flush_at != flush_before:
            heappush(self._timers, (scheduler.pacing.flush_at, _FLUSH, change.scheduler))
        return messages

    def _fire_timer(self, now: float, timer: int, i: int) -> list[bytes]:
        scheduler = self.schedulers[i]
        if timer == _FLUSH:
            return scheduler.flush(now)
        if timer == _HEARTBEAT:
            heappush(self._timers, (now + HEARTBEAT_INTERVAL_S * 1000.0 * self.heartbeat_slowdown, _HEARTBEAT, i))
            return [bytes([HEARTBEAT_TYPE, 1])]
        heappush(self._timers, (now + HEARTBEAT_INTERVAL_MS * (0.8 + 0.4 * self.random.random()), _TICK, i))
        return scheduler.on_tick(now) if timer == _TICK else scheduler.encode_messages(now, SNAPSHOT)
