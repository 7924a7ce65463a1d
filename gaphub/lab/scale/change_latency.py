"""Measures how long changes take to be in force at the real schedulers, as seen from outside.

The operators' address of each scheduler is polled.  This is a phase of its own, so that no measured window
includes the CPU time of the polls.  A change of the list removes one worker, zone by zone; it is in force at a
scheduler once the number of targets has fallen by the number of workers removed so far.  A change of the settings
is a new file and SIGHUP; it is in force once as many reloads have succeeded.  Changes of both kinds are made at a
rate of at least ``MIN_CHANGES_PER_S``, and there are at least ``MIN_CHANGES`` of them.

A time ends at the first poll that sees the change, so it is too long by up to one poll interval.  A pair of
scheduler and change that is not in force ``CHANGE_TIMEOUT_S`` after the last change is counted as missed, with
that time.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress

from hdrh.histogram import HdrHistogram

from .discovery import Registry
from .points import ChangeLatency
from .processes import ProcessError, RealScheduler
from .scenario import MAX_SETTINGS_CHANGES_PER_S

POLL_INTERVAL_S = 0.02
CHANGE_TIMEOUT_S = 8.0  # above the budget of 6 s
MIN_CHANGES = 4
MIN_CHANGES_PER_S = 1.0  # at a lower rate the phase could end without a change
_HISTOGRAM_MAX_US = 60_000_000


class ChangeTracker:
    """When each change was made, and when it was first seen in force at each scheduler."""

    def __init__(self, schedulers: int) -> None:
        self.made_at: list[float] = []
        self.applied_at: list[list[float]] = [[] for _ in range(schedulers)]

    def record_applied(self, scheduler: int, count_applied: int, now: float) -> None:
        """Record that a scheduler now has this many of the changes in force."""
        applied_at = self.applied_at[scheduler]
        applied_at += [now] * (min(count_applied, len(self.made_at)) - len(applied_at))

    def is_complete(self, scheduler: int) -> bool:
        """Whether a scheduler has all changes made so far in force."""
        return len(self.applied_at[scheduler]) == len(self.made_at)

    def result(self, kind: str) -> ChangeLatency:
        """The quantiles; a missed pair counts with ``CHANGE_TIMEOUT_S``."""
        histogram = HdrHistogram(1, _HISTOGRAM_MAX_US, 3)
        missed = 0
        for applied_at in self.applied_at:
            for made_at, at in zip(self.made_at, applied_at, strict=False):
                histogram.record_value(max(1, round((at - made_at) * 1e6)))
            missed += len(self.made_at) - len(applied_at)
        for _ in range(missed):
            histogram.record_value(round(CHANGE_TIMEOUT_S * 1e6))
        p50, p99 = (histogram.get_value_at_percentile(p) / 1000.0 for p in (50.0, 99.0))
        return ChangeLatency(
            histogram.get_total_count(), p50, p99, histogram.get_max_value() / 1000.0, missed, kind)


async def _poll_scheduler(tracker: ChangeTracker, index: int, scheduler: RealScheduler,
                          count_applied: Callable[[dict[str, int]], int], all_made: asyncio.Event) -> None:
    deadline = None
    while not (all_made.is_set() and tracker.is_complete(index)):
        with suppress(ProcessError):  # too busy to answer; a later poll sees the change
            tracker.record_applied(index, count_applied(await scheduler.stats()), time.monotonic())
        if all_made.is_set():
            deadline = deadline or time.monotonic() + CHANGE_TIMEOUT_S
            if time.monotonic() > deadline:
                return
        await asyncio.sleep(POLL_INTERVAL_S)


async def _make_changes(tracker: ChangeTracker, count: int, changes_per_s: float, change: Callable[[int], None],
                        all_made: asyncio.Event) -> None:
    started_at = time.monotonic()
    for serial in range(count):
        await asyncio.sleep(max(0.0, started_at + serial / changes_per_s - time.monotonic()))
        tracker.made_at.append(time.monotonic())
        change(serial)
    all_made.set()


async def _track_changes(schedulers: list[RealScheduler], count: int, changes_per_s: float,
                         change: Callable[[int], None],
                         count_applied: Callable[[int, dict[str, int]], int]) -> ChangeTracker:
    tracker = ChangeTracker(len(schedulers))
    all_made = asyncio.Event()
    async with asyncio.TaskGroup() as group:
        for i, scheduler in enumerate(schedulers):
            group.create_task(_poll_scheduler(
                tracker, i, scheduler, lambda stats, i=i: count_applied(i, stats),  # type: ignore[misc]
                all_made))
        group.create_task(_make_changes(tracker, count, changes_per_s, change, all_made))
    return tracker


async def measure_list_changes(schedulers: list[RealScheduler], registry: Registry, changes_per_s: float,
                               phase_s: float) -> ChangeLatency:
    """Remove workers from the list at a rate, at most one zone.  All workers must be listed before."""
    changes_per_s = max(MIN_CHANGES_PER_S, changes_per_s)
    workers = registry.workers_by_zone()[:max(1, registry.workers // registry.zones)]
    count = min(len(workers), max(MIN_CHANGES, round(changes_per_s * phase_s)))
    tracker = await _track_changes(schedulers, count, changes_per_s,
                                   lambda serial: registry.set_listed(workers[serial], False),
                                   lambda _, stats: registry.workers - stats["targets"])
    return tracker.result("list")


async def measure_settings_changes(schedulers: list[RealScheduler], changes_per_s: float, phase_s: float
                                   ) -> ChangeLatency:
    """Change the settings of every scheduler at a rate."""
    changes_per_s = min(MAX_SETTINGS_CHANGES_PER_S, max(MIN_CHANGES_PER_S, changes_per_s))
    reloads_before = [(await scheduler.stats())["reload_success"] for scheduler in schedulers]

    def change(serial: int) -> None:
        for scheduler in schedulers:
            scheduler.change_settings(serial)

    tracker = await _track_changes(
        schedulers, max(MIN_CHANGES, round(changes_per_s * phase_s)), changes_per_s, change,
        lambda i, stats: stats["reload_success"] - reloads_before[i])
    return tracker.result("settings")
