"""Groups points into sweeps, and fits a line to each measure of a sweep."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field

from .budget import Comparison, Target
from .fit import Estimate, FitError, Line, fit_line
from .measures import CONTROL_CPU, SWEPT_KEYS, Measure, SweptKey, baseline_fault, measures_of, unusable_reason
from .points import FleetMethod, Load, Point


@dataclass(frozen=True)
class SourcedPoint:
    """A point and the place from which it was read."""

    point: Point
    file: str
    number: int  # position among the points of the file, from 1

    @property
    def source(self) -> str:
        """The name of the point in the report."""
        return f"{self.file}, point {self.number}"


@dataclass(frozen=True)
class Remark:
    """A remark on one point, for the report."""

    source: str
    load: Load
    text: str


@dataclass(frozen=True)
class Observation:
    """The values of one measure at one point."""

    x: float
    values: tuple[float, ...]  # one for each real process, or one for the point
    source: str

    @property
    def mean(self) -> float:
        """The value that is fitted: the processes of a point share its noise, so they are not independent."""
        return sum(self.values) / len(self.values)


@dataclass(frozen=True)
class Series:
    """One measure along one sweep."""

    sweep: Sweep
    measure: Measure
    observations: tuple[Observation, ...]
    line: Line | None
    no_line_reason: str  # empty if there is a line

    @property
    def name(self) -> str:
        """The name of the series in file names."""
        suffix = "" if self.sweep.method is FleetMethod.ALL_TO_ALL else f"-{self.sweep.method.value}"
        name = f"{self.sweep.scenario}{suffix}-{self.sweep.swept.key}-{self.measure.key}"
        return re.sub(r"[^a-z0-9]+", "-", name.lower()).strip("-")

    def missed_changes(self) -> int:
        """For times until changes are in force: how many timed out, and are counted with the time-out."""
        times = [each.point.in_force_ms for each in self.sweep.points]
        return sum(each.missed for each in times if each is not None and each.kind == self.measure.change_kind)

    def doubtful_baselines(self) -> int:
        """For control CPU: the number of points whose baseline is missing or had a different request count."""
        if self.measure is not CONTROL_CPU:
            return 0
        return sum(bool(baseline_fault(each.point)) for each in self.sweep.points)

    def at_target(self, target: Target) -> Estimate | None:
        """The value of the line at the target's load."""
        return None if self.line is None else self.line.mean_at(self.sweep.swept.of_target(target))

    def comparison(self, target: Target) -> Comparison | None:
        """The value of the line at the target's load, compared with the budget."""
        estimate = self.at_target(target)
        if estimate is None or self.measure.budget is None:
            return None
        return Comparison(self.sweep.title, f"{self.measure.title}, {self.measure.unit}", estimate,
                          self.measure.budget)


@dataclass
class Sweep:
    """The usable points of one scenario and exchange method that vary one key of the load."""

    scenario: str
    swept: SweptKey
    method: FleetMethod = FleetMethod.ALL_TO_ALL
    points: list[SourcedPoint] = field(default_factory=list)

    @property
    def title(self) -> str:
        """The heading of the sweep."""
        suffix = "" if self.method is FleetMethod.ALL_TO_ALL else f", {self.method.value}"
        return f"{self.scenario}{suffix}: {self.swept.title}"

    def x(self, point: Point) -> float:
        """The value of the swept key at a point."""
        return self.swept.of_load(point.load)

    def max_load(self) -> float:
        """The greatest measured value of the swept key."""
        return max(self.x(each.point) for each in self.points)

    def series(self) -> list[Series]:
        """A series for each measure that the sweep can affect and at least one point carries."""
        candidates = [_make_series(self, measure) for measure in measures_of(self.swept)]
        return [each for each in candidates if each.observations]

    def remarks(self) -> list[Remark]:
        """Remarks on points with missing or doubtful control CPU, and on those with changes that timed out."""
        remarks = []
        for each in self.points:
            fault = baseline_fault(each.point)
            if fault and not self.swept.only_change_kind:
                remarks.append(Remark(each.source, each.point.load, f"control CPU in doubt: {fault}"))
            times = each.point.in_force_ms
            if times is not None and times.missed:
                remarks.append(Remark(
                    each.source, each.point.load,
                    f"{times.missed} of {times.count} times a change of the {times.kind} was not "
                    "in force in the time waited; they count with that time"))
        return remarks


@dataclass(frozen=True)
class SortedPoints:
    """All points: the usable ones by sweep, and the failed ones with the reason."""

    sweeps: tuple[Sweep, ...]
    failed: tuple[Remark, ...]


def sort_points(points: Iterable[SourcedPoint]) -> SortedPoints:
    """Group points into sweeps, ordered by scenario, exchange method and key of the load."""
    sweeps: dict[tuple[str, str, FleetMethod], Sweep] = {}
    failed = []
    for each in points:
        reason = unusable_reason(each.point)
        if reason:
            failed.append(Remark(each.source, each.point.load, f"{each.point.sweep}: {reason}"))
            continue
        key = each.point.scenario, each.point.sweep, each.point.way
        sweep = sweeps.setdefault(key, Sweep(each.point.scenario, SWEPT_KEYS[each.point.sweep], each.point.way))
        sweep.points.append(each)
    key_order = list(SWEPT_KEYS)
    ordered = sorted(sweeps.values(),
                     key=lambda sweep: (sweep.scenario, sweep.method.value, key_order.index(sweep.swept.key)))
    return SortedPoints(tuple(ordered), tuple(failed))


def _make_series(sweep: Sweep, measure: Measure) -> Series:
    observations = []
    for each in sweep.points:
        values = measure.values(each.point)
        if values:
            observations.append(Observation(sweep.x(each.point), values, each.source))
    observations.sort(key=lambda observation: observation.x)  # stable: repeats stay in the order of the files
    line, no_line_reason = None, ""
    try:
        line = fit_line([observation.x for observation in observations],
                        [observation.mean for observation in observations])
    except FitError as error:
        no_line_reason = str(error)
    return Series(sweep, measure, tuple(observations), line, no_line_reason)
