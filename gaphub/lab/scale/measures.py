"""What is derived from a measured point: the value of the swept key, and the measures plotted against it.

No value is ever made up: where a point does not carry a measure, the measure has no value.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from .budget import BUDGETS, Target
from .points import ChangeLatency, Load, Point, SchedulerUsage

KB = 1000.0  # bytes
PERCENT = 100.0
MS_PER_S = 1000.0
MAX_REQUEST_DIFFERENCE = 0.02  # relative; beyond it, and beyond chance, the baseline had a different load
REQUEST_CHANCE_DEVIATIONS = 3.0  # standard deviations of the difference of two Poisson counts, as bound on chance
SETTINGS = "settings"  # kind of change, in ChangeLatency.kind


@dataclass(frozen=True)
class SweptKey:
    """What a sweep varies: a key of ``Load``, or the rate of settings changes."""

    key: str  # the name of the sweep
    title: str
    of_load: Callable[[Load], float]
    of_target: Callable[[Target], float]
    slope_per: int = 1  # slopes are shown per this many, to avoid very small numbers
    only_change_kind: str = ""  # if set, the sweep moves only the times until changes of this kind are in force


LOAD_KEYS = {swept.key: swept for swept in (
    SweptKey("workers", "workers", lambda load: load.workers, lambda target: target.workers, 1000),
    SweptKey("schedulers", "schedulers", lambda load: load.schedulers, lambda target: target.schedulers),
    SweptKey("starts_per_s", "starts/s", lambda load: load.starts_per_s, lambda target: target.starts_per_s, 1000),
    SweptKey("tasks_running", "running tasks", lambda load: load.tasks_running,
          lambda target: target.tasks_running, 1000),
    SweptKey("changes_per_s", "changes/s", lambda load: load.changes_per_s, lambda target: target.changes_per_s),
    SweptKey("teams", "teams", lambda load: load.teams, lambda target: target.teams, 100),
    SweptKey("zones", "zones", lambda load: load.zones, lambda target: target.zones),
)}

# The target has no rate of settings changes of its own; the rate of all changes is used.
SETTINGS_CHANGES_KEY = SweptKey("settings_changes_per_s", "settings changes/s", lambda load: load.changes_per_s,
                                lambda target: target.changes_per_s, only_change_kind=SETTINGS)

SWEPT_KEYS = {**LOAD_KEYS, SETTINGS_CHANGES_KEY.key: SETTINGS_CHANGES_KEY}


@dataclass(frozen=True)
class Measure:
    """One quantity of a point, with a value for each real process or one for the whole point."""

    key: str
    title: str
    unit: str
    values: Callable[[Point], tuple[float, ...]]  # empty if the point does not carry the measure
    budget: float | None = None
    plotted: bool = False
    change_kind: str = ""  # of a measure of the time until changes are in force


def _with_baselines(point: Point) -> list[tuple[SchedulerUsage, SchedulerUsage]]:
    """Each process with its own baseline; processes without one are left out."""
    baselines = {each.name: each for each in point.baseline}
    return [(each, baselines[each.name]) for each in point.schedulers if each.name in baselines]


def _control_cpu(point: Point) -> tuple[float, ...]:
    baseline_seconds = point.baseline_seconds or point.seconds
    return tuple(PERCENT * (each.cpu_s / point.seconds - baseline.cpu_s / baseline_seconds)
                 for each, baseline in _with_baselines(point))


def _per_process(value: Callable[[SchedulerUsage], float]) -> Callable[[Point], tuple[float, ...]]:
    return lambda point: tuple(value(each) for each in point.schedulers)


def _rate_per_process(value: Callable[[SchedulerUsage], float]) -> Callable[[Point], tuple[float, ...]]:
    return lambda point: tuple(value(each) / point.seconds for each in point.schedulers)


def _loop_lag(point: Point) -> tuple[float, ...]:
    return tuple(each.loop_lag_ms for each in point.schedulers if each.loop_lag_ms is not None)


def _age(value: Callable[[SchedulerUsage], float | None]) -> Callable[[Point], tuple[float, ...]]:
    def values(point: Point) -> tuple[float, ...]:
        ages = [value(each) for each in point.schedulers]
        return tuple(age / MS_PER_S for age in ages if age is not None)
    return values


def _in_force(kind: str, value: Callable[[ChangeLatency], float]) -> Callable[[Point], tuple[float, ...]]:
    def values(point: Point) -> tuple[float, ...]:
        times = point.in_force_ms
        if times is None or times.kind != kind or times.count == 0:
            return ()
        return (value(times) / MS_PER_S,)
    return values


def _in_force_measure(kind: str, name: str, value: Callable[[ChangeLatency], float], plotted: bool = False
                      ) -> Measure:
    return Measure(f"{kind}-{name}", f"{kind} in force, {name}", "s", _in_force(kind, value), BUDGETS.in_force_s,
                   plotted, kind)


CONTROL_CPU = Measure("cpu", "control CPU", "% of a core", _control_cpu, BUDGETS.cpu_percent, plotted=True)

MEASURES = (
    CONTROL_CPU,
    Measure("memory", "memory", "MB", _per_process(lambda each: each.rss_mb), BUDGETS.memory_mb, plotted=True),
    Measure("in", "control traffic in (peers and list)", "KB/s",
            _rate_per_process(lambda each: (each.peer_in_bytes + each.list_in_bytes) / KB),
            BUDGETS.traffic_kb_per_s, plotted=True),
    Measure("out", "control traffic out (peers and list)", "KB/s",
            _rate_per_process(lambda each: (each.peer_out_bytes + each.list_out_bytes) / KB),
            BUDGETS.traffic_kb_per_s, plotted=True),
    Measure("peer-in", "peers in", "KB/s", _rate_per_process(lambda each: each.peer_in_bytes / KB)),
    Measure("peer-out", "peers out", "KB/s", _rate_per_process(lambda each: each.peer_out_bytes / KB)),
    Measure("list-in", "list in", "KB/s", _rate_per_process(lambda each: each.list_in_bytes / KB)),
    Measure("list-out", "list out", "KB/s", _rate_per_process(lambda each: each.list_out_bytes / KB)),
    Measure("datagrams-in", "peers in", "datagrams/s", _rate_per_process(lambda each: each.peer_in_datagrams)),
    Measure("datagrams-out", "peers out", "datagrams/s", _rate_per_process(lambda each: each.peer_out_datagrams)),
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


def measures_of(swept: SweptKey) -> tuple[Measure, ...]:
    """The measures that a sweep can affect."""
    if not swept.only_change_kind:
        return MEASURES
    return tuple(measure for measure in MEASURES if measure.change_kind == swept.only_change_kind)


def unusable_reason(point: Point) -> str:
    """Why no measure can be derived from a point; empty if it is usable."""
    if point.failed:
        return point.failed
    if point.sweep not in SWEPT_KEYS:
        return f"{point.sweep!r} is no key of the load"
    if point.seconds <= 0.0:
        return f"a window of {point.seconds:g} s"
    if not point.schedulers:
        return "no process was measured"
    return ""


def baseline_fault(point: Point) -> str:
    """Why the control CPU time of a usable point is missing or doubtful; empty if it is sound."""
    pairs = _with_baselines(point)
    if len(pairs) < len(point.schedulers):
        return f"{len(point.schedulers) - len(pairs)} of {len(point.schedulers)} processes have no baseline"
    served = sum(each.requests for each, _ in pairs)
    in_baseline = sum(baseline.requests for _, baseline in pairs)
    chance_limit = REQUEST_CHANCE_DEVIATIONS * math.sqrt(served + in_baseline)
    if abs(served - in_baseline) > max(MAX_REQUEST_DIFFERENCE * max(served, in_baseline), chance_limit):
        return f"{served} requests served, {in_baseline} in the baseline"
    return ""
