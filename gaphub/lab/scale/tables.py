"""The Markdown of the report: a table for each series, the failed points, and the ranking against the budgets."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from .budget import Comparison, Target, rank_by_factor
from .fit import CONFIDENCE, Estimate, Line
from .measures import CONTROL_CPU, LOAD_KEYS, MAX_REQUEST_DIFFERENCE, SETTINGS_CHANGES_KEY, Measure
from .points import Load
from .series import Observation, Remark, Series, SortedPoints, SourcedPoint, Sweep

NO_VALUE = "–"
NO_DECIMALS_FROM = 100.0  # figures from this on are shown without decimals
INTERVAL = f"{CONFIDENCE:.0%} interval"


def format_number(value: float) -> str:
    """Format with three significant digits, and as a whole number from ``NO_DECIMALS_FROM`` on."""
    if abs(value) >= NO_DECIMALS_FROM:
        return f"{value:,.0f}"
    return f"{value + 0.0:.3g}"  # adding 0.0 turns -0.0 into 0.0


def format_load(value: float) -> str:
    """Format a load with more digits: it identifies points, so two loads must not be rounded to the same text."""
    return f"{value:,.6g}" if abs(value) < 1e6 else f"{value:,.0f}"


def format_estimate(estimate: Estimate, scale: float = 1.0) -> str:
    """Format a value with its confidence interval."""
    value, low, high = (format_number(each * scale) for each in (estimate.value, estimate.low, estimate.high))
    return f"{value} ({low} to {high})"


def markdown_table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Format a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(_escape_cell(cell) for cell in line) + " |" for line in lines)


def render_page(sorted_points: SortedPoints, target: Target, plots: Mapping[str, str]) -> str:
    """The whole page.  ``plots``: plot files by series name, of the series that have one."""
    series = [each for sweep in sorted_points.sweeps for each in sweep.series()]
    parts = ["<!-- Written by `gaphub lab scale report`; change the points, not this page. -->",
             _introduction(target)]
    for sweep in sorted_points.sweeps:
        parts.append(_sweep_section(sweep, target))
        parts += [_series_section(each, target, plots.get(each.name)) for each in series if each.sweep is sweep]
    parts += [_failed_section(sorted_points.failed), _ranking_section(series, target)]
    return "\n\n".join(parts) + "\n"


def _escape_cell(text: str) -> str:
    return " ".join(text.split()).replace("|", "\\|")


def _introduction(target: Target) -> str:
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
        f"the requests of the two differ by over {MAX_REQUEST_DIFFERENCE:.0%} and more than by chance are named.")


def _sweep_section(sweep: Sweep, target: Target) -> str:
    points = sweep.points
    lines = [
        f"## {sweep.title}", "",
        f"- {len(points)} points; {_repeats(points)}",
        f"- Measured: {_range(sweep.x(each.point) for each in points)} {sweep.swept.title}; the target, "
        f"{format_load(sweep.swept.of_target(target))}, is {_relative_target(sweep, target)}",
        f"- Held: {_held_loads(sweep)}",
        f"- Commit: {_uniform_value(_commit(each) for each in points)}",
        f"- Seed: {_range(each.point.seed for each in points)}",
        f"- Machine: {_uniform_value(_machine(each) for each in points)}",
        f"- Points: {_join(each.file for each in points)}",
    ]
    if sweep.swept.only_change_kind:
        lines.append(f"- Only the times until {sweep.swept.only_change_kind} are in force: the measured window, "
                     "which gives the other measures, has none of these changes. The target names no pace of "
                     "them; that of all its changes is taken")
    remarks = sweep.remarks()
    if remarks:
        lines += ["", markdown_table(["point", sweep.swept.title, "remark"],
                                     [[each.source, format_load(sweep.swept.of_load(each.load)), each.text]
                                      for each in remarks])]
    return "\n".join(lines)


def _repeats(points: Sequence[SourcedPoint]) -> str:
    processes = {len(each.point.schedulers) for each in points}
    repeats = {each.point.repeat for each in points}
    return f"{len(repeats)} repeats; real processes a point: {_range(processes)}"


def _range(values: Iterable[float]) -> str:
    distinct = sorted(set(values))
    if len(distinct) == 1:
        return format_load(distinct[0])
    return f"{format_load(distinct[0])} to {format_load(distinct[-1])}"


def _relative_target(sweep: Sweep, target: Target) -> str:
    max_load, at_target = sweep.max_load(), sweep.swept.of_target(target)
    if at_target <= max_load:
        return "within the measured loads"
    if max_load <= 0.0:
        return "beyond the measured loads"
    return f"{format_number(at_target / max_load)} times the greatest"


def _held_loads(sweep: Sweep) -> str:
    """The other loads.  One that varied is marked, because the slope then includes its effect."""
    texts = []
    for swept in LOAD_KEYS.values():
        if swept is sweep.swept or (sweep.swept is SETTINGS_CHANGES_KEY and swept.key == "changes_per_s"):
            continue
        values = {swept.of_load(each.point.load) for each in sweep.points}
        varied = " (**varied**)" if len(values) > 1 else ""
        texts.append(f"{_range(values)} {swept.title}{varied}")
    return ", ".join(texts)


def _join(texts: Iterable[str]) -> str:
    return ", ".join(sorted(set(texts)))


def _uniform_value(texts: Iterable[str]) -> str:
    """A property that should be the same for all points of a sweep; it is marked if it is not."""
    distinct = set(texts)
    return _join(distinct) + (" (**varied**)" if len(distinct) > 1 else "")


def _commit(each: SourcedPoint) -> str:
    return each.point.commit + (" (with uncommitted changes)" if each.point.dirty else "")


def _machine(each: SourcedPoint) -> str:
    machine = each.point.machine
    return f"{machine.cores} cores, {machine.memory_mb:,} MB, Python {machine.python}"


def _series_section(series: Series, target: Target, plot: str | None) -> str:
    title = f"{series.measure.title}, {series.measure.unit}"
    lines = [f"### {series.sweep.title}: {title}", "", _points_table(series), "", _summary_table(series, target)]
    if plot is not None:
        lines += ["", f"![{series.sweep.title}: {title}]({plot})"]
    return "\n".join(lines)


def _points_table(series: Series) -> str:
    """The table of the observations, with one row for each load."""
    outliers = (False,) * len(series.observations) if series.line is None else series.line.outliers
    rows: dict[float, list[tuple[Observation, bool]]] = {}
    for observation, outlier in zip(series.observations, outliers, strict=True):
        rows.setdefault(observation.x, []).append((observation, outlier))
    head = [series.sweep.swept.title, "points", "mean", "min..max", "off the line"]
    requests = _request_counts(series.sweep) if series.measure is CONTROL_CPU else {}
    if requests:
        head.append("requests served / in the baseline")
    body = []
    for x, row in rows.items():
        values = [value for observation, _ in row for value in observation.values]
        means = [observation.mean for observation, _ in row]
        off = [observation.source for observation, outlier in row if outlier]
        cells = [format_load(x), str(len(row)), format_number(sum(means) / len(means)),
                 f"{format_number(min(values))}..{format_number(max(values))}", ", ".join(off) or NO_VALUE]
        body.append([*cells, requests[x]] if requests else cells)
    return markdown_table(head, body)


def _request_counts(sweep: Sweep) -> dict[float, str]:
    """The number of requests at each load, with control traffic and in the baseline."""
    served: dict[float, int] = {}
    in_baseline: dict[float, int] = {}
    for each in sweep.points:
        x = sweep.x(each.point)
        served[x] = served.get(x, 0) + sum(process.requests for process in each.point.schedulers)
        in_baseline[x] = in_baseline.get(x, 0) + sum(process.requests for process in each.point.baseline)
    return {x: f"{count:,} / {in_baseline[x]:,}" for x, count in served.items()}


def _summary_table(series: Series, target: Target) -> str:
    """The fitted line of a series, and its value at the target."""
    line, swept, measure = series.line, series.sweep.swept, series.measure
    if line is None:
        return f"No line: {series.no_line_reason}."
    at_target, comparison = line.mean_at(swept.of_target(target)), series.comparison(target)
    per = f"{swept.slope_per:,} {swept.title}" if swept.slope_per > 1 else swept.title
    head = [f"slope per {per} ({INTERVAL})", "intercept", "R²", "form",
            f"at {format_load(swept.of_target(target))} {swept.title} ({INTERVAL})", "budget", "factor"]
    row = [format_estimate(line.slope, swept.slope_per), format_number(line.intercept),
           NO_VALUE if line.r_squared is None else f"{line.r_squared:.4f}", _form(line),
           format_estimate(at_target), _budget(measure), _factor(comparison)]
    return markdown_table(head, [row])


def _form(line: Line) -> str:
    if line.curved is None:
        return "untested"
    return "**bent**" if line.curved else "straight"


def _budget(measure: Measure) -> str:
    return NO_VALUE if measure.budget is None else format_number(measure.budget)


def _factor(comparison: Comparison | None) -> str:
    return NO_VALUE if comparison is None else format_number(comparison.factor)


def _failed_section(failed: Sequence[Remark]) -> str:
    if not failed:
        return "## Failed points\n\nNone."
    rows = [[each.source, _whole_load(each.load), each.text] for each in failed]
    return "## Failed points\n\nThese are in no figure.\n\n" + markdown_table(
        ["point", "load", "sweep and reason"], rows)


def _whole_load(load: Load) -> str:
    return ", ".join(f"{format_load(swept.of_load(load))} {swept.title}" for swept in LOAD_KEYS.values())


def _ranking_section(series: Sequence[Series], target: Target) -> str:
    """Rank all budgeted figures at the target, the worst first; those without a fitted line come last."""
    compared = {comparison: each for each in series if (comparison := each.comparison(target)) is not None}
    rows = []
    for comparison in rank_by_factor(compared):
        each = compared[comparison]
        rows.append([comparison.sweep, comparison.measure, format_estimate(comparison.estimate),
                     format_number(comparison.budget), format_number(comparison.factor), comparison.verdict.value,
                     _doubts(each, target)])
    for each in series:
        if each.measure.budget is not None and each.line is None:
            rows.append([each.sweep.title, f"{each.measure.title}, {each.measure.unit}", NO_VALUE,
                         _budget(each.measure), NO_VALUE, NO_VALUE, f"no line: {each.no_line_reason}"])
    head = ["sweep", "measure", f"at the target ({INTERVAL})", "budget", "factor", "verdict", "doubts"]
    text = ("A factor over 1 exceeds the budget. The verdict is undecided if the budget lies within the interval. "
            "A target far beyond the measured loads rests on the line alone.")
    return f"## Against the budgets, worst first\n\n{text}\n\n" + markdown_table(head, rows)


def _doubts(series: Series, target: Target) -> str:
    line, doubts = series.line, []
    if line is not None and line.curved:
        doubts.append("bent")
    if line is not None and line.curved is None:
        doubts.append("form untested")
    if line is not None and any(line.outliers):
        doubts.append(f"{sum(line.outliers)} of {line.count} points off the line")
    if series.sweep.swept.of_target(target) > series.sweep.max_load():
        doubts.append(f"target {_relative_target(series.sweep, target)}")
    missed_changes, doubtful_baselines = series.missed_changes(), series.doubtful_baselines()
    if missed_changes:
        doubts.append(f"{missed_changes} times were longer than the wait and count with it")
    if doubtful_baselines:
        doubts.append(f"{doubtful_baselines} points with a doubtful baseline")
    return ", ".join(doubts) or NO_VALUE
