"""The Markdown of the report: each series as a table, the failed points, and the ranking against the budgets."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from .budget import Comparison, Target, ranked
from .fit import CONFIDENCE, Estimate, Line
from .measures import CONTROL_CPU, LOAD_KEYS, REQUESTS_APART, SETTINGS_SWEEP, Measure
from .points import Load
from .series import Observation, Remark, Series, Sorted, Sourced, Sweep

NO_VALUE = "–"
WHOLE_FROM = 100.0  # greater figures are shown without decimals
INTERVAL = f"{CONFIDENCE:.0%} interval"


def number(value: float) -> str:
    """Three significant digits, and whole numbers from a hundred on."""
    if abs(value) >= WHOLE_FROM:
        return f"{value:,.0f}"
    return f"{value + 0.0:.3g}"  # the sum turns -0 into 0


def load_number(value: float) -> str:
    """A load in full: it names points, so it is not rounded to digits that two loads may share."""
    return f"{value:,.6g}" if abs(value) < 1e6 else f"{value:,.0f}"


def estimate_text(estimate: Estimate, scale: float = 1.0) -> str:
    """A value with its interval."""
    value, low, high = (number(each * scale) for each in (estimate.value, estimate.low, estimate.high))
    return f"{value} ({low} to {high})"


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """A table in Markdown."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(_cell(cell) for cell in line) + " |" for line in lines)


def page(found: Sorted, target: Target, plots: Mapping[str, str]) -> str:
    """The whole fragment; ``plots`` names the plot of a series, if it has one."""
    series = [each for sweep in found.sweeps for each in sweep.series()]
    parts = ["<!-- Written by `gaphub lab scale report`; change the points, not this page. -->", _preface(target)]
    for sweep in found.sweeps:
        parts.append(_sweep(sweep, target))
        parts += [_series(each, target, plots.get(each.name)) for each in series if each.sweep is sweep]
    parts += [_failed(found.failed), _ranking(series, target)]
    return "\n\n".join(parts) + "\n"


def _cell(text: str) -> str:
    return " ".join(text.split()).replace("|", "\\|")


def _preface(target: Target) -> str:
    return (
        f"The target is {target.workers:,} workers, {target.starts_per_s:,.0f} starts/s, {target.tasks_running:,} "
        f"running tasks, {target.teams:,} teams, {target.zones} zones in {target.regions} regions, "
        f"{target.changes_per_day:,} changes a day ({target.changes_per_s:.3g}/s) and {target.schedulers:,} "
        "schedulers.\n\n"
        "Each sweep varies one key of the load and holds the others. Its value at the target is the line at the "
        "target's value of the swept key alone; the other keys stay as the sweep held them, so the figures of two "
        "sweeps are not the cost of both. Lines are least squares over the points, one value a point (the mean "
        f"over its real processes); intervals are {CONFIDENCE:.0%} ones, of the slope and of the mean, and count "
        "only the noise about the line. A point off the line and a bend are marked and stay in the fit. 1 KB is "
        "1,000 bytes.\n\n"
        "Control CPU is the CPU time of a process less that of the same process in the baseline, over the window. "
        "The baseline carries the same requests, with peers silent and no changes of the list; points at which "
        f"the requests of the two differ by over {REQUESTS_APART:.0%} and more than by chance are named.")


def _sweep(sweep: Sweep, target: Target) -> str:
    points = sweep.points
    lines = [
        f"## {sweep.title}", "",
        f"- {len(points)} points; {_repeats(points)}",
        f"- Measured: {_range(sweep.x(each.point) for each in points)} {sweep.swept.title}; the target, "
        f"{load_number(sweep.swept.of_target(target))}, is {_beyond(sweep, target)}",
        f"- Held: {_held(sweep)}",
        f"- Commit: {_one(_commit(each) for each in points)}",
        f"- Seed: {_range(each.point.seed for each in points)}",
        f"- Machine: {_one(_machine(each) for each in points)}",
        f"- Points: {_join(each.file for each in points)}",
    ]
    if sweep.swept.only_kind:
        lines.append(f"- Only the times until {sweep.swept.only_kind} are in force: the measured window, which "
                     "gives the other measures, has none of these changes. The target names no pace of them; "
                     "that of all its changes is taken")
    remarks = sweep.remarks()
    if remarks:
        lines += ["", table(["point", sweep.swept.title, "remark"],
                            [[each.source, load_number(sweep.swept.of_load(each.load)), each.text]
                             for each in remarks])]
    return "\n".join(lines)


def _repeats(points: Sequence[Sourced]) -> str:
    processes = {len(each.point.schedulers) for each in points}
    repeats = {each.point.repeat for each in points}
    return f"{len(repeats)} repeats; real processes a point: {_range(processes)}"


def _range(values: Iterable[float]) -> str:
    found = sorted(set(values))
    if len(found) == 1:
        return load_number(found[0])
    return f"{load_number(found[0])} to {load_number(found[-1])}"


def _beyond(sweep: Sweep, target: Target) -> str:
    greatest, at_target = sweep.greatest(), sweep.swept.of_target(target)
    if at_target <= greatest:
        return "within the measured loads"
    if greatest <= 0.0:
        return "beyond the measured loads"
    return f"{number(at_target / greatest)} times the greatest"


def _held(sweep: Sweep) -> str:
    """The other loads; one that varied is marked, for the slope then holds its effect too."""
    texts = []
    for swept in LOAD_KEYS.values():
        if swept is sweep.swept or (sweep.swept is SETTINGS_SWEEP and swept.key == "changes_per_s"):
            continue
        values = {swept.of_load(each.point.load) for each in sweep.points}
        varied = " (**varied**)" if len(values) > 1 else ""
        texts.append(f"{_range(values)} {swept.title}{varied}")
    return ", ".join(texts)


def _join(texts: Iterable[str]) -> str:
    return ", ".join(sorted(set(texts)))


def _one(texts: Iterable[str]) -> str:
    """What should be the same for all points of a sweep; it is marked if it is not."""
    found = set(texts)
    return _join(found) + (" (**varied**)" if len(found) > 1 else "")


def _commit(each: Sourced) -> str:
    return each.point.commit + (" (with uncommitted changes)" if each.point.dirty else "")


def _machine(each: Sourced) -> str:
    machine = each.point.machine
    return f"{machine.cores} cores, {machine.memory_mb:,} MB, Python {machine.python}"


def _series(series: Series, target: Target, plot: str | None) -> str:
    title = f"{series.measure.title}, {series.measure.unit}"
    lines = [f"### {series.sweep.title}: {title}", "", _points(series), "", _summary(series, target)]
    if plot is not None:
        lines += ["", f"![{series.sweep.title}: {title}]({plot})"]
    return "\n".join(lines)


def _points(series: Series) -> str:
    """The observations, those of one load in one row."""
    outliers = (False,) * len(series.observations) if series.line is None else series.line.outliers
    rows: dict[float, list[tuple[Observation, bool]]] = {}
    for observation, outlier in zip(series.observations, outliers, strict=True):
        rows.setdefault(observation.x, []).append((observation, outlier))
    head = [series.sweep.swept.title, "points", "mean", "min..max", "off the line"]
    requests = _requests(series.sweep) if series.measure is CONTROL_CPU else {}
    if requests:
        head.append("requests served / in the baseline")
    body = []
    for x, row in rows.items():
        values = [value for observation, _ in row for value in observation.values]
        means = [observation.mean for observation, _ in row]
        off = [observation.source for observation, outlier in row if outlier]
        cells = [load_number(x), str(len(row)), number(sum(means) / len(means)),
                 f"{number(min(values))}..{number(max(values))}", ", ".join(off) or NO_VALUE]
        body.append([*cells, requests[x]] if requests else cells)
    return table(head, body)


def _requests(sweep: Sweep) -> dict[float, str]:
    """The requests of each load, with control traffic and in the baseline."""
    served: dict[float, int] = {}
    silent: dict[float, int] = {}
    for each in sweep.points:
        x = sweep.x(each.point)
        served[x] = served.get(x, 0) + sum(process.requests for process in each.point.schedulers)
        silent[x] = silent.get(x, 0) + sum(process.requests for process in each.point.baseline)
    return {x: f"{count:,} / {silent[x]:,}" for x, count in served.items()}


def _summary(series: Series, target: Target) -> str:
    """The line of a series, and its value at the target."""
    line, swept, measure = series.line, series.sweep.swept, series.measure
    if line is None:
        return f"No line: {series.no_line}."
    at_target, comparison = line.mean_at(swept.of_target(target)), series.comparison(target)
    per = f"{swept.slope_per:,} {swept.title}" if swept.slope_per > 1 else swept.title
    head = [f"slope per {per} ({INTERVAL})", "intercept", "R²", "form",
            f"at {load_number(swept.of_target(target))} {swept.title} ({INTERVAL})", "budget", "factor"]
    row = [estimate_text(line.slope, swept.slope_per), number(line.intercept),
           NO_VALUE if line.r_squared is None else f"{line.r_squared:.4f}", _form(line),
           estimate_text(at_target), _budget(measure), _factor(comparison)]
    return table(head, [row])


def _form(line: Line) -> str:
    if line.curved is None:
        return "untested"
    return "**bent**" if line.curved else "straight"


def _budget(measure: Measure) -> str:
    return NO_VALUE if measure.budget is None else number(measure.budget)


def _factor(comparison: Comparison | None) -> str:
    return NO_VALUE if comparison is None else number(comparison.factor)


def _failed(failed: Sequence[Remark]) -> str:
    if not failed:
        return "## Failed points\n\nNone."
    rows = [[each.source, _whole_load(each.load), each.text] for each in failed]
    return "## Failed points\n\nThese are in no figure.\n\n" + table(["point", "load", "sweep and reason"], rows)


def _whole_load(load: Load) -> str:
    return ", ".join(f"{load_number(swept.of_load(load))} {swept.title}" for swept in LOAD_KEYS.values())


def _ranking(series: Sequence[Series], target: Target) -> str:
    """Every budgeted figure at the target, the worst first; then those that no line gives."""
    compared = {comparison: each for each in series if (comparison := each.comparison(target)) is not None}
    rows = []
    for comparison in ranked(compared):
        each = compared[comparison]
        rows.append([comparison.sweep, comparison.measure, estimate_text(comparison.estimate),
                     number(comparison.budget), number(comparison.factor), comparison.verdict.value,
                     _doubts(each, target)])
    for each in series:
        if each.measure.budget is not None and each.line is None:
            rows.append([each.sweep.title, f"{each.measure.title}, {each.measure.unit}", NO_VALUE,
                         _budget(each.measure), NO_VALUE, NO_VALUE, f"no line: {each.no_line}"])
    head = ["sweep", "measure", f"at the target ({INTERVAL})", "budget", "factor", "verdict", "doubts"]
    text = ("A factor over 1 exceeds the budget. The verdict is undecided if the budget lies within the interval. "
            "A target far beyond the measured loads rests on the line alone.")
    return f"## Against the budgets, worst first\n\n{text}\n\n" + table(head, rows)


def _doubts(series: Series, target: Target) -> str:
    line, found = series.line, []
    if line is not None and line.curved:
        found.append("bent")
    if line is not None and line.curved is None:
        found.append("form untested")
    if line is not None and any(line.outliers):
        found.append(f"{sum(line.outliers)} of {line.count} points off the line")
    if series.sweep.swept.of_target(target) > series.sweep.greatest():
        found.append(f"target {_beyond(series.sweep, target)}")
    missed, without_baseline = series.missed(), series.without_baseline()
    if missed:
        found.append(f"{missed} times were longer than the wait and count with it")
    if without_baseline:
        found.append(f"{without_baseline} points with a doubtful baseline")
    return ", ".join(found) or NO_VALUE
