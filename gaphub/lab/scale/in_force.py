"""Owns how long changes take to be in force at the real schedulers, seen from outside.

The operators' address of each scheduler is polled, so this is a phase of its own: what the polls cost is in no
window of CPU time.  A change of the list takes one worker out, zone by zone, and is in force where the number of
targets has fallen by as many as were taken out before and with it.  A change of the settings is a new file and
SIGHUP, and is in force where as many reloads have succeeded.  Either come no more slowly than ``LEAST_PER_S``, and
there are ``CHANGES_LEAST`` of them at the least.

Times are up to the first poll that sees the change, so they are too long by up to a poll; a pair of scheduler and
change that is not in force ``LIMIT_S`` after the last change is missed, and counts with that time.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress

from hdrh.histogram import HdrHistogram

from .discovery import Registry
from .points import InForce
from .processes import ProcessError, RealScheduler
from .scenario import SETTINGS_MOST_PER_S

POLL_S = 0.02
LIMIT_S = 8.0  # above the 6 s that are promised
CHANGES_LEAST = 4
LEAST_PER_S = 1.0  # a slower pace would make no change within the phase
_MOST_US = 60_000_000


class Watch:
    """When each change was made, and when each scheduler was first seen to have it in force."""

    def __init__(self, schedulers: int) -> None:
        self.made: list[float] = []
        self.seen: list[list[float]] = [[] for _ in range(schedulers)]

    def saw(self, scheduler: int, in_force: int, now: float) -> None:
        """A scheduler has so many of the changes in force now."""
        seen = self.seen[scheduler]
        seen += [now] * (min(in_force, len(self.made)) - len(seen))

    def complete(self, scheduler: int) -> bool:
        """Whether a scheduler has all of the changes that were made."""
        return len(self.seen[scheduler]) == len(self.made)

    def result(self, kind: str) -> InForce:
        """The quantiles; a missed pair counts with ``LIMIT_S``."""
        histogram = HdrHistogram(1, _MOST_US, 3)
        missed = 0
        for seen in self.seen:
            for made, at in zip(self.made, seen, strict=False):
                histogram.record_value(max(1, round((at - made) * 1e6)))
            missed += len(self.made) - len(seen)
        for _ in range(missed):
            histogram.record_value(round(LIMIT_S * 1e6))
        p50, p99 = (histogram.get_value_at_percentile(p) / 1000.0 for p in (50.0, 99.0))
        return InForce(histogram.get_total_count(), p50, p99, histogram.get_max_value() / 1000.0, missed, kind)


async def _poll(watch: Watch, index: int, one: RealScheduler, in_force: Callable[[dict[str, int]], int],
                made_all: asyncio.Event) -> None:
    limit = None
    while not (made_all.is_set() and watch.complete(index)):
        with suppress(ProcessError):  # it was too busy to answer: the next poll sees it later
            watch.saw(index, in_force(await one.stats()), time.monotonic())
        if made_all.is_set():
            limit = limit or time.monotonic() + LIMIT_S
            if time.monotonic() > limit:
                return
        await asyncio.sleep(POLL_S)


async def _make(watch: Watch, count: int, per_s: float, change: Callable[[int], None],
                made_all: asyncio.Event) -> None:
    began = time.monotonic()
    for serial in range(count):
        await asyncio.sleep(max(0.0, began + serial / per_s - time.monotonic()))
        watch.made.append(time.monotonic())
        change(serial)
    made_all.set()


async def _watch(schedulers: list[RealScheduler], count: int, per_s: float, change: Callable[[int], None],
                 in_force: Callable[[int, dict[str, int]], int]) -> Watch:
    watch = Watch(len(schedulers))
    made_all = asyncio.Event()
    async with asyncio.TaskGroup() as group:
        for i, one in enumerate(schedulers):
            group.create_task(_poll(watch, i, one, lambda told, i=i: in_force(i, told),  # type: ignore[misc]
                                    made_all))
        group.create_task(_make(watch, count, per_s, change, made_all))
    return watch


async def list_changes(schedulers: list[RealScheduler], registry: Registry, per_s: float, phase_s: float
                       ) -> InForce:
    """Take workers out of the list at a rate, at the most one zone; all of them must be listed before."""
    per_s = max(LEAST_PER_S, per_s)
    order = registry.by_zone()[:max(1, registry.workers // registry.zones)]
    count = min(len(order), max(CHANGES_LEAST, round(per_s * phase_s)))
    watch = await _watch(schedulers, count, per_s, lambda serial: registry.set(order[serial], False),
                         lambda _, told: registry.workers - told["targets"])
    return watch.result("list")


async def settings_changes(schedulers: list[RealScheduler], per_s: float, phase_s: float) -> InForce:
    """Change the settings of every scheduler at a rate."""
    per_s = min(SETTINGS_MOST_PER_S, max(LEAST_PER_S, per_s))
    before = [(await one.stats())["reload_success"] for one in schedulers]

    def change(serial: int) -> None:
        for one in schedulers:
            one.change_settings(serial)

    watch = await _watch(schedulers, max(CHANGES_LEAST, round(per_s * phase_s)), per_s, change,
                         lambda i, told: told["reload_success"] - before[i])
    return watch.result("settings")
