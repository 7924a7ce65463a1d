"""Owns the hollow schedulers: what many schedulers would say to the real ones at a given load.

A hollow scheduler has a table of what runs where, a real ``Pacing`` that decides when to say what of it, and an
address of its own.  It sends to the real schedulers only: those are measured, and what hollow ones would say to
each other costs the real ones nothing.  Here are those that tell all to all; ``hollow_sharded`` has those of a
large fleet, ``hollow_process`` their sockets.
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
from .points import Told

STEP_MOST_MS = 50.0  # ms; what a later look would have had to do is left out, and shows in ``covered_s``
_BEAT, _TURN, _FLUSH, _WHOLE = range(4)


class HollowPlan(Struct, frozen=True):
    """What the fleet is and where it sends."""

    listen: list[Address]  # one for each hollow scheduler
    receivers: list[Address]  # the real schedulers
    schedulers: int  # all of them
    workers: int
    starts_per_s: float  # of the hollow ones together
    tasks_running: int  # at the hollow ones together
    fill_s: float  # within which every one tells its whole table, all to all
    seed: int
    way: Told = Told.ALL_TO_ALL


class Sent(Struct, frozen=True):
    """What the fleet has done since its start."""

    at_s: float  # on the monotonic clock
    covered_s: float  # time whose starts and ends were played; less than what went by, if it fell behind
    starts: int
    ends: int
    running: int
    datagrams: int  # to each receiver
    bytes: int  # to each receiver
    unsent: int  # over all receivers; the kernel took them not


def worker_name(index: int) -> str:
    """The id of a worker on discovery's list."""
    return f"w-{index:05d}"


def worker_number(index: int) -> int:
    """The number by which schedulers tell of a worker, as the core makes it from the id."""
    return zlib.crc32(f"{SOURCE}/{worker_name(index)}".encode()) or 1


class Change(NamedTuple):
    """A task that started (``more``) or ended."""

    scheduler: int  # the place of the hollow one
    worker: int  # its number
    more: bool


def beat_pace(plan: HollowPlan) -> float:
    """How many times ``HEARTBEAT_INTERVAL_S`` pass between two beats."""
    return max(1.0, (plan.schedulers - 1) / HEARTBEAT_FULL_RATE_PEERS)


class HollowScheduler:
    """What one scheduler has out, and what it says of it."""

    __slots__ = ("counts", "pacing")

    def __init__(self, others: int) -> None:
        """``others``: how many other schedulers there are."""
        self.counts: dict[int, int] = {}
        self.pacing = Pacing(others)

    def change(self, now: float, worker: int, more: bool) -> list[bytes]:
        """A task started (``more``) or ended; what is to be said at once."""
        left = self.counts.get(worker, 0) + (1 if more else -1)
        if left:
            self.counts[worker] = left
        else:
            del self.counts[worker]
        return self.say(now, DELTA) if self.pacing.record_change(now, worker, more) else []

    def turn(self, now: float) -> list[bytes]:
        """What is due once in ``HEARTBEAT_MS``."""
        due = self.pacing.next_tick(now)
        return [] if due is None else self.say(now, due)

    def flush(self, now: float) -> list[bytes]:
        """The ends that have waited long enough for company."""
        due = self.pacing.flush_at and now >= self.pacing.flush_at
        return self.say(now, DELTA) if due else []

    def say(self, now: float, kind: Kind) -> list[bytes]:
        """Messages with what has changed, or with the whole table."""
        workers = list(self.pacing.pending) if kind is DELTA else list(self.counts)
        return list(self.pacing.encode_broadcast(now, kind, [(w, self.counts.get(w, 0)) for w in workers]))


class TaskProcess:
    """The seeded process by which tasks start and end at the hollow schedulers; no I/O, no clock.

    Starts come at the planned rate, each at a scheduler and a worker drawn evenly.  For every start one running
    task, drawn evenly from all, ends, so that the number running stays.
    """

    def __init__(self, plan: HollowPlan, now: float) -> None:
        """``now``: ms, as in all that follows."""
        self.plan = plan
        self.draw = random.Random(plan.seed)
        self.numbers = [worker_number(i) for i in range(plan.workers)]
        self.starts = self.ends = 0
        self.covered_ms = 0.0
        self.at = now
        self._batches = np.random.default_rng(plan.seed)
        # Running: scheduler and worker.
        self.tasks: list[tuple[int, int]] = [self._place() for _ in range(plan.tasks_running)]

    def _place(self) -> tuple[int, int]:
        return (int(self.draw.random() * len(self.plan.listen)),
                self.numbers[int(self.draw.random() * len(self.numbers))])

    def changes(self, now: float) -> Iterator[Change]:
        """Play on until ``now``: each start and each end."""
        step = min(now - self.at, STEP_MOST_MS)
        self.at = now
        self.covered_ms += step
        for _ in range(int(self._batches.poisson(self.plan.starts_per_s * step / 1000.0))):
            yield self._start()
            yield self._end()

    def _start(self) -> Change:
        scheduler, worker = self._place()
        self.tasks.append((scheduler, worker))
        self.starts += 1
        return Change(scheduler, worker, True)

    def _end(self) -> Change:
        at = int(self.draw.random() * len(self.tasks))
        self.tasks[at], self.tasks[-1] = self.tasks[-1], self.tasks[at]
        self.ends += 1
        return Change(*self.tasks.pop(), False)


class HollowFleet(TaskProcess):
    """All hollow schedulers of a fleet that tells all to all."""

    def __init__(self, plan: HollowPlan, now: float) -> None:
        """``now``: ms, as in all that follows."""
        super().__init__(plan, now)
        self.schedulers = [HollowScheduler(plan.schedulers - 1) for _ in plan.listen]
        self.pace = beat_pace(plan)
        self._due: list[tuple[float, int, int]] = []  # when, what, and at which scheduler
        for scheduler, worker in self.tasks:
            counts = self.schedulers[scheduler].counts
            counts[worker] = counts.get(worker, 0) + 1
        self._schedule(now)

    def _schedule(self, now: float) -> None:
        for i, one in enumerate(self.schedulers):
            one.pacing.tick = self.draw.randrange(1, 1 + one.pacing.snapshot_ticks)  # as if it ran for long
            part = i / len(self.schedulers)
            heappush(self._due, (now + part * self.plan.fill_s * 1000.0, _WHOLE, i))
            heappush(self._due, (now + self.draw.random() * HEARTBEAT_INTERVAL_S * 1000.0 * self.pace, _BEAT, i))

    def advance(self, now: float) -> Iterator[tuple[int, bytes]]:
        """Play on until ``now``: each datagram that goes to every receiver, and which scheduler says it."""
        for change in self.changes(now):
            for data in self._change(now, change):
                yield change.scheduler, data
        while self._due and self._due[0][0] <= now:
            _, what, i = heappop(self._due)
            for data in self._ring(now, what, i):
                yield i, data

    def _change(self, now: float, change: Change) -> list[bytes]:
        one = self.schedulers[change.scheduler]
        waited = one.pacing.flush_at
        said = one.change(now, change.worker, change.more)
        if not change.more and one.pacing.flush_at and one.pacing.flush_at != waited:
            heappush(self._due, (one.pacing.flush_at, _FLUSH, change.scheduler))
        return said

    def _ring(self, now: float, what: int, i: int) -> list[bytes]:
        one = self.schedulers[i]
        if what == _FLUSH:
            return one.flush(now)
        if what == _BEAT:
            heappush(self._due, (now + HEARTBEAT_INTERVAL_S * 1000.0 * self.pace, _BEAT, i))
            return [bytes([HEARTBEAT_TYPE, 1])]
        heappush(self._due, (now + HEARTBEAT_INTERVAL_MS * (0.8 + 0.4 * self.draw.random()), _TURN, i))
        return one.turn(now) if what == _TURN else one.say(now, SNAPSHOT)
