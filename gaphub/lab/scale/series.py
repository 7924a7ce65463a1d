"""Points sorted into sweeps, and each measure of a sweep with its line."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field

from .budget import Comparison, Target
from .fit import Estimate, FitError, Line, fit_line
from .measures import CONTROL_CPU, SWEPT, Measure, Swept, baseline_fault, measures_of, unusable
from .points import Load, Point, Told


@dataclass(frozen=True)
class Sourced:
    """A point and where it was read."""

    point: Point
    file: str
    number: int  # among the points of the file, from 1

    @property
    def source(self) -> str:
        """The name of the point in the report."""
        return f"{self.file}, point {self.number}"


@dataclass(frozen=True)
class Remark:
    """What is to be said of one point."""

    source: str
    load: Load
    text: str


@dataclass(frozen=True)
class Observation:
    """One measure at one point."""

    x: float
    values: tuple[float, ...]  # of each real process
    source: str

    @property
    def mean(self) -> float:
        """What the fit takes: processes of one point share its noise and are not independent."""
        return sum(self.values) / len(self.values)


@dataclass(frozen=True)
class Series:
    """One measure along one sweep."""

    sweep: Sweep
    measure: Measure
    observations: tuple[Observation, ...]
    line: Line | None
    no_line: str  # why there is no line

    @property
    def name(self) -> str:
        """The name of the series in files."""
        way = "" if self.sweep.way is Told.ALL_TO_ALL else f"-{self.sweep.way.value}"
        name = f"{self.sweep.scenario}{way}-{self.sweep.swept.key}-{self.measure.key}"
        return re.sub(r"[^a-z0-9]+", "-", name.lower()).strip("-")

    def missed(self) -> int:
        """For times until changes are in force: how many were not seen to end, and count with the time waited."""
        times = [each.point.in_force_ms for each in self.sweep.points]
        return sum(each.missed for each in times if each is not None and each.kind == self.measure.in_force_kind)

    def without_baseline(self) -> int:
        """For control CPU: the points whose baseline is missing or carried other requests."""
        if self.measure is not CONTROL_CPU:
            return 0
        return sum(bool(baseline_fault(each.point)) for each in self.sweep.points)

    def at_target(self, target: Target) -> Estimate | None:
        """The line at the target's load."""
        return None if self.line is None else self.line.mean_at(self.sweep.swept.of_target(target))

    def comparison(self, target: Target) -> Comparison | None:
        """The line at the target's load against the budget."""
        estimate = self.at_target(target)
        if estimate is None or self.measure.budget is None:
            return None
        return Comparison(self.sweep.title, f"{self.measure.title}, {self.measure.unit}", estimate,
                          self.measure.budget)


@dataclass
class Sweep:
    """The usable points of one scenario and way of telling occupancy that vary one key of the load."""

    scenario: str
    swept: Swept
    way: Told = Told.ALL_TO_ALL
    points: list[Sourced] = field(default_factory=list)

    @property
    def title(self) -> str:
        """The heading of the sweep."""
        way = "" if self.way is Told.ALL_TO_ALL else f", {self.way.value}"
        return f"{self.scenario}{way}: {self.swept.title}"

    def x(self, point: Point) -> float:
        """The swept load of a point."""
        return self.swept.of_load(point.load)

    def greatest(self) -> float:
        """The greatest load that was measured."""
        return max(self.x(each.point) for each in self.points)

    def series(self) -> list[Series]:
        """Each measure that the sweep can move and any point carries."""
        found = [_series(self, measure) for measure in measures_of(self.swept)]
        return [each for each in found if each.observations]

    def remarks(self) -> list[Remark]:
        """The points whose control CPU is missing or in doubt, and those with changes that were never in force."""
        found = []
        for each in self.points:
            fault = baseline_fault(each.point)
            if fault and not self.swept.only_kind:
                found.append(Remark(each.source, each.point.load, f"control CPU in doubt: {fault}"))
            times = each.point.in_force_ms
            if times is not None and times.missed:
                found.append(Remark(each.source, each.point.load,
                                    f"{times.missed} of {times.count} times a change of the {times.kind} was not "
                                    "in force in the time waited; they count with that time"))
        return found


@dataclass(frozen=True)
class Sorted:
    """All points: the usable ones by sweep, and the rest with the reason."""

    sweeps: tuple[Sweep, ...]
    failed: tuple[Remark, ...]


def sort_points(points: Iterable[Sourced]) -> Sorted:
    """Sort the points into sweeps, by scenario and way, and then in the order of the keys of the load."""
    sweeps: dict[tuple[str, str, Told], Sweep] = {}
    failed = []
    for each in points:
        reason = unusable(each.point)
        if reason:
            failed.append(Remark(each.source, each.point.load, f"{each.point.sweep}: {reason}"))
            continue
        key = each.point.scenario, each.point.sweep, each.point.way
        sweep = sweeps.setdefault(key, Sweep(each.point.scenario, SWEPT[each.point.sweep], each.point.way))
        sweep.points.append(each)
    places = list(SWEPT)
    order = sorted(sweeps.values(),
                   key=lambda sweep: (sweep.scenario, sweep.way.value, places.index(sweep.swept.key)))
    return Sorted(tuple(order), tuple(failed))


def _series(sweep: Sweep, measure: Measure) -> Series:
    observations = []
    for each in sweep.points:
        values = measure.values(each.point)
        if values:
            observations.append(Observation(sweep.x(each.point), values, each.source))
    observations.sort(key=lambda seen: seen.x)  # stable: repeats stay in the order of the files
    line, no_line = None, ""
    try:
        line = fit_line([seen.x for seen in observations], [seen.mean for seen in observations])
    except FitError as error:
        no_line = str(error)
    return Series(sweep, measure, tuple(observations), line, no_line)
