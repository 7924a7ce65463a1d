"""What is derived from a measured point: the swept load, and the measures that are set against it.

It must never invent a value: a measure that a point does not carry has none there.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from .budget import BUDGETS, Target
from .points import InForce, Load, Measured, Point

KB = 1000.0  # bytes
PERCENT = 100.0
MS_PER_S = 1000.0
REQUESTS_APART = 0.02  # of the requests: beyond it, and beyond chance, the baseline carried another load
REQUESTS_DEVIATIONS = 3.0  # of the difference of two counts of independent requests: chance stays within
SETTINGS = "settings"  # the kind of change in force


@dataclass(frozen=True)
class Swept:
    """What a sweep varies: a key of ``Load``, and for settings the pace of another kind of change."""

    key: str  # the name of the sweep
    title: str
    of_load: Callable[[Load], float]
    of_target: Callable[[Target], float]
    slope_per: int = 1  # slopes are shown for so many, so that they read as ordinary numbers
    only_kind: str = ""  # of changes in force; if set, the sweep varies nothing in the measured window


LOAD_KEYS = {swept.key: swept for swept in (
    Swept("workers", "workers", lambda load: load.workers, lambda target: target.workers, 1000),
    Swept("schedulers", "schedulers", lambda load: load.schedulers, lambda target: target.schedulers),
    Swept("starts_per_s", "starts/s", lambda load: load.starts_per_s, lambda target: target.starts_per_s, 1000),
    Swept("tasks_running", "running tasks", lambda load: load.tasks_running,
          lambda target: target.tasks_running, 1000),
    Swept("changes_per_s", "changes/s", lambda load: load.changes_per_s, lambda target: target.changes_per_s),
    Swept("teams", "teams", lambda load: load.teams, lambda target: target.teams, 100),
    Swept("zones", "zones", lambda load: load.zones, lambda target: target.zones),
)}

# The target names no pace of changes of settings; that of all changes is taken.
SETTINGS_SWEEP = Swept("settings_changes_per_s", "settings changes/s", lambda load: load.changes_per_s,
                       lambda target: target.changes_per_s, only_kind=SETTINGS)

SWEPT = {**LOAD_KEYS, SETTINGS_SWEEP.key: SETTINGS_SWEEP}


@dataclass(frozen=True)
class Measure:
    """One quantity of a point; it has a value for each real process, or one for the whole point."""

    key: str
    title: str
    unit: str
    values: Callable[[Point], tuple[float, ...]]  # empty if the point does not carry the measure
    budget: float | None = None
    plotted: bool = False
    in_force_kind: str = ""  # of the changes, for a measure of times until they are in force


def _paired(point: Point) -> list[tuple[Measured, Measured]]:
    """Each process with its own baseline; one without a baseline is left out."""
    baselines = {each.name: each for each in point.baseline}
    return [(each, baselines[each.name]) for each in point.schedulers if each.name in baselines]


def _control_cpu(point: Point) -> tuple[float, ...]:
    silent_seconds = point.baseline_seconds or point.seconds
    return tuple(PERCENT * (each.cpu_s / point.seconds - baseline.cpu_s / silent_seconds)
                 for each, baseline in _paired(point))


def _each(value: Callable[[Measured], float]) -> Callable[[Point], tuple[float, ...]]:
    return lambda point: tuple(value(each) for each in point.schedulers)


def _each_per_s(value: Callable[[Measured], float]) -> Callable[[Point], tuple[float, ...]]:
    return lambda point: tuple(value(each) / point.seconds for each in point.schedulers)


def _loop_lag(point: Point) -> tuple[float, ...]:
    return tuple(each.loop_lag_ms for each in point.schedulers if each.loop_lag_ms is not None)


def _age(value: Callable[[Measured], float | None]) -> Callable[[Point], tuple[float, ...]]:
    def values(point: Point) -> tuple[float, ...]:
        ages = [value(each) for each in point.schedulers]
        return tuple(age / MS_PER_S for age in ages if age is not None)
    return values


def _in_force(kind: str, value: Callable[[InForce], float]) -> Callable[[Point], tuple[float, ...]]:
    def values(point: Point) -> tuple[float, ...]:
        times = point.in_force_ms
        if times is None or times.kind != kind or times.count == 0:
            return ()
        return (value(times) / MS_PER_S,)
    return values


def _in_force_measure(kind: str, name: str, value: Callable[[InForce], float], plotted: bool = False) -> Measure:
    return Measure(f"{kind}-{name}", f"{kind} in force, {name}", "s", _in_force(kind, value), BUDGETS.in_force_s,
                   plotted, kind)


CONTROL_CPU = Measure("cpu", "control CPU", "% of a core", _control_cpu, BUDGETS.cpu_percent, plotted=True)

MEASURES = (
    CONTROL_CPU,
    Measure("memory", "memory", "MB", _each(lambda each: each.rss_mb), BUDGETS.memory_mb, plotted=True),
    Measure("in", "control traffic in (peers and list)", "KB/s",
            _each_per_s(lambda each: (each.peer_in_bytes + each.list_in_bytes) / KB),
            BUDGETS.traffic_kb_per_s, plotted=True),
    Measure("out", "control traffic out (peers and list)", "KB/s",
            _each_per_s(lambda each: (each.peer_out_bytes + each.list_out_bytes) / KB),
            BUDGETS.traffic_kb_per_s, plotted=True),
    Measure("peer-in", "peers in", "KB/s", _each_per_s(lambda each: each.peer_in_bytes / KB)),
    Measure("peer-out", "peers out", "KB/s", _each_per_s(lambda each: each.peer_out_bytes / KB)),
    Measure("list-in", "list in", "KB/s", _each_per_s(lambda each: each.list_in_bytes / KB)),
    Measure("list-out", "list out", "KB/s", _each_per_s(lambda each: each.list_out_bytes / KB)),
    Measure("datagrams-in", "peers in", "datagrams/s", _each_per_s(lambda each: each.peer_in_datagrams)),
    Measure("datagrams-out", "peers out", "datagrams/s", _each_per_s(lambda each: each.peer_out_datagrams)),
    Measure("loop-lag", "lag of the event loop", "ms", _loop_lag),
    Measure("age-p50", "age of sums, p50", "s", _age(lambda each: each.age_p50_ms)),
    Measure("age-p99", "age of sums, p99", "s", _age(lambda each: each.age_p99_ms), plotted=True),
    _in_force_measure("list", "p50", lambda times: times.p50),
    _in_force_measure("list", "p99", lambda times: times.p99, plotted=True),
    _in_force_measure("list", "worst", lambda times: times.worst),
    _in_force_measure(SETTINGS, "p50", lambda times: times.p50),
    _in_force_measure(SETTINGS, "p99", lambda times: times.p99, plotted=True),
    _in_force_measure(SETTINGS, "worst", lambda times: times.worst),
)


def measures_of(swept: Swept) -> tuple[Measure, ...]:
    """The measures that a sweep can move."""
    if not swept.only_kind:
        return MEASURES
    return tuple(measure for measure in MEASURES if measure.in_force_kind == swept.only_kind)


def unusable(point: Point) -> str:
    """Why no measure can be derived from a point; empty if one can."""
    if point.failed:
        return point.failed
    if point.sweep not in SWEPT:
        return f"{point.sweep!r} is no key of the load"
    if point.seconds <= 0.0:
        return f"a window of {point.seconds:g} s"
    if not point.schedulers:
        return "no process was measured"
    return ""


def baseline_fault(point: Point) -> str:
    """Why the control CPU of a usable point is missing or in doubt; empty if it is sound."""
    pairs = _paired(point)
    if len(pairs) < len(point.schedulers):
        return f"{len(point.schedulers) - len(pairs)} of {len(point.schedulers)} processes have no baseline"
    served = sum(each.requests for each, _ in pairs)
    silent = sum(baseline.requests for _, baseline in pairs)
    chance = REQUESTS_DEVIATIONS * math.sqrt(served + silent)
    if abs(served - silent) > max(REQUESTS_APART * max(served, silent), chance):
        return f"{served} requests served, {silent} in the baseline"
    return ""
