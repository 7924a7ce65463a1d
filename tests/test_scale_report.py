"""Tests of the scale report: fits, the ranking against the budgets, and the page made from synthetic points."""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from xml.etree import ElementTree

import msgspec
import numpy as np
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from gaphub.lab.scale.budget import BUDGETS, Comparison, Target, Verdict, rank_by_factor
from gaphub.lab.scale.fit import ConstantLoadError, Estimate, NotFiniteError, TooFewPointsError, fit_line
from gaphub.lab.scale.measures import CONTROL_CPU, LOAD_KEYS, SETTINGS_CHANGES_KEY, SWEPT_KEYS, baseline_fault
from gaphub.lab.scale.points import (
    ChangeLatency,
    Load,
    Machine,
    Point,
    PointsError,
    SchedulerUsage,
    append_point,
    read_points,
)
from gaphub.lab.scale.report import TABLES_FILE, report
from gaphub.lab.scale.report_command import report_command
from gaphub.lab.scale.series import Series, SourcedPoint, sort_points
from gaphub.lab.scale.student_t import central_probability, two_sided_quantile
from gaphub.lab.scale.tables import format_load, format_number, markdown_table, render_page

PLOT_BYTES_MOST = 60_000
SECONDS = 20.0
LOAD = Load(workers=200, schedulers=8, starts_per_s=50.0, tasks_running=5000, changes_per_s=0.5, teams=20, zones=2)
CPU_PER_WORKER = 0.0001  # of a core
IDLE_CPU_S = 3.0  # CPU time for requests in the whole window

loads = st.lists(st.integers(0, 10_000), min_size=3, max_size=30).filter(lambda xs: len(set(xs)) > 1)
values = st.floats(-1e3, 1e3)
scales = st.sampled_from([0.001, 0.5, 3.0, 1000.0])


@st.composite
def samples(draw: st.DrawFn) -> tuple[list[float], list[float]]:
    xs = [float(x) for x in draw(loads)]
    return xs, draw(st.lists(values, min_size=len(xs), max_size=len(xs)))


# Student's t


@pytest.mark.parametrize(("probability", "degrees", "t"), [
    (0.95, 1, 12.706), (0.95, 2, 4.303), (0.95, 3, 3.182), (0.95, 4, 2.776), (0.95, 5, 2.571), (0.95, 10, 2.228),
    (0.95, 29, 2.045), (0.95, 30, 2.042), (0.95, 120, 1.980), (0.99, 1, 63.657), (0.99, 6, 3.707),
    (0.9, 7, 1.895)])
def test_quantiles_are_those_of_the_printed_tables(probability: float, degrees: int, t: float) -> None:
    assert two_sided_quantile(probability, degrees) == pytest.approx(t, abs=0.0006)


@given(st.floats(0.01, 0.9999), st.integers(1, 300))
def test_the_quantile_inverts_the_probability(probability: float, degrees: int) -> None:
    assert central_probability(two_sided_quantile(probability, degrees), degrees) == pytest.approx(probability)


def test_a_quantile_needs_a_degree_of_freedom_and_a_probability() -> None:
    with pytest.raises(ValueError, match="degree"):
        two_sided_quantile(0.95, 0)
    with pytest.raises(ValueError, match="between"):
        two_sided_quantile(1.0, 5)


# the fit


def test_an_exact_line_is_found_with_no_width() -> None:
    line = fit_line([1.0, 2.0, 3.0, 7.0], [5.0, 7.0, 9.0, 17.0])
    assert (line.slope.value, line.intercept) == pytest.approx((2.0, 3.0))
    assert (line.slope.low, line.slope.high) == pytest.approx((2.0, 2.0))
    assert line.r_squared == pytest.approx(1.0)
    far = line.mean_at(100.0)
    assert (far.low, far.value, far.high) == pytest.approx((203.0, 203.0, 203.0))
    assert line.outliers == (False,) * 4 and line.curved is False


def test_a_fit_worked_by_hand() -> None:
    """Means 2.5 and 4; sums of squares 5 of x, 14 of y, and 8 of both: slope 1.6, squared residuals 1.2."""
    line = fit_line([1.0, 2.0, 3.0, 4.0], [1.0, 4.0, 5.0, 6.0])
    error = math.sqrt(1.2 / 2 / 5)
    assert line.slope.value == pytest.approx(1.6) and line.intercept == pytest.approx(0.0)
    assert line.slope.high - 1.6 == pytest.approx(4.3027 * error, rel=1e-4)
    assert line.r_squared == pytest.approx(1 - 1.2 / 14)
    assert line.residuals == pytest.approx((-0.6, 0.8, 0.2, -0.4))
    at = line.mean_at(10.0)
    assert at.value == pytest.approx(16.0)
    assert at.high - at.value == pytest.approx(4.3027 * math.sqrt(0.6 * (1 / 4 + 7.5**2 / 5)), rel=1e-4)


@settings(derandomize=True, max_examples=8, deadline=None)
@given(st.sampled_from([4, 6, 12, 30]), st.floats(-50, 50), st.floats(-5, 5), st.sampled_from([0.01, 1.0, 40.0]),
       st.integers(0, 2**31))
def test_the_intervals_hold_the_true_line_as_often_as_they_say(
        count: int, intercept: float, slope: float, noise: float, seed: int) -> None:
    draws, far = 400, 5000.0
    random = np.random.default_rng(seed)
    xs = np.linspace(10.0, 400.0, count)
    slopes = means = 0
    for _ in range(draws):
        line = fit_line(list(xs), list(intercept + slope * xs + random.normal(0.0, noise, count)))
        at = line.mean_at(far)
        slopes += line.slope.low <= slope <= line.slope.high
        means += at.low <= intercept + slope * far <= at.high
    five_deviations = 5 * math.sqrt(0.95 * 0.05 / draws)
    assert slopes / draws == pytest.approx(0.95, abs=five_deviations)
    assert means / draws == pytest.approx(0.95, abs=five_deviations)


@given(samples(), scales, scales)
def test_the_slope_scales_with_loads_and_values(sample: tuple[list[float], list[float]], of_x: float,
                                                of_y: float) -> None:
    xs, ys = sample
    line = fit_line(xs, ys)
    scaled = fit_line([x * of_x for x in xs], [y * of_y for y in ys])
    spread = max(xs) - min(xs)
    assert scaled.slope.value * of_x / of_y == pytest.approx(line.slope.value, rel=1e-6, abs=1e-8 / spread)
    assert scaled.slope.high * of_x / of_y == pytest.approx(line.slope.high, rel=1e-6, abs=1e-6 / spread)


@given(samples(), st.randoms(use_true_random=False))
def test_the_order_of_the_points_does_not_matter(sample: tuple[list[float], list[float]], random: object) -> None:
    xs, ys = sample
    pairs = list(zip(xs, ys, strict=True))
    random.shuffle(pairs)  # type: ignore[attr-defined]
    line, shuffled = fit_line(xs, ys), fit_line([x for x, _ in pairs], [y for _, y in pairs])
    spread = max(xs) - min(xs)
    assert shuffled.slope.value == pytest.approx(line.slope.value, rel=1e-6, abs=1e-8 / spread)
    assert sorted(shuffled.residuals) == pytest.approx(sorted(line.residuals), abs=1e-6)


@given(st.floats(-1e6, 1e6), st.lists(values, min_size=3, max_size=10))
def test_a_constant_load_is_an_error(x: float, ys: list[float]) -> None:
    with pytest.raises(ConstantLoadError):
        fit_line([x] * len(ys), ys)


def test_too_few_points_or_infinite_ones_are_errors() -> None:
    with pytest.raises(TooFewPointsError):
        fit_line([1.0, 2.0], [1.0, 2.0])
    with pytest.raises(NotFiniteError):
        fit_line([1.0, 2.0, 3.0], [1.0, math.nan, 2.0])
    with pytest.raises(NotFiniteError):
        fit_line([1.0, 2.0, math.inf], [1.0, 1.0, 2.0])


def test_equal_values_have_slope_zero_and_no_variance_to_explain() -> None:
    line = fit_line([1.0, 2.0, 5.0, 9.0], [0.1] * 4)
    assert line.slope.value == pytest.approx(0.0, abs=1e-15) and line.r_squared is None
    assert not any(line.outliers) and line.curved is False


@settings(derandomize=True, max_examples=30, deadline=None)
@given(st.integers(0, 9), st.integers(0, 2**31), st.sampled_from([-1.0, 1.0]))
def test_a_point_off_the_line_is_marked_and_stays(place: int, seed: int, side: float) -> None:
    random = np.random.default_rng(seed)
    xs = np.arange(10.0)
    ys = 3.0 + 2.0 * xs + random.normal(0.0, 0.1, 10)
    ys[place] += side * 8.0
    line = fit_line(list(xs), list(ys))
    assert line.outliers[place]
    assert line.count == len(line.residuals) == 10


def test_good_points_are_seldom_marked_and_straight_lines_seldom_called_bent() -> None:
    random = np.random.default_rng(7)
    xs = np.linspace(0.0, 100.0, 8)
    lines = [fit_line(list(xs), list(xs + random.normal(0.0, 1.0, 8))) for _ in range(800)]
    assert sum(any(line.outliers) for line in lines) / 800 < 0.09
    assert sum(bool(line.curved) for line in lines) / 800 < 0.03


@pytest.mark.parametrize("bend", [lambda x: x**2, math.sqrt, lambda x: x * math.log(x)])
def test_a_bend_is_marked(bend: Callable[[float], float]) -> None:
    random = np.random.default_rng(3)
    xs = [float(x) for x in range(1, 13)]
    ys = [bend(x) * (1.0 + random.normal(0.0, 0.002)) for x in xs]
    assert fit_line(xs, ys).curved is True


def test_a_bend_is_untested_with_two_loads_or_three_points() -> None:
    assert fit_line([1.0, 1.0, 2.0, 2.0], [1.0, 2.0, 3.0, 5.0]).curved is None
    assert fit_line([1.0, 2.0, 3.0], [1.0, 2.0, 5.0]).curved is None


# the budgets


def compared(measure: str, value: float, budget: float, half: float = 0.0) -> Comparison:
    return Comparison("sweep", measure, Estimate(value, value - half, value + half), budget)


def test_the_worst_factor_ranks_first() -> None:
    found = rank_by_factor([compared("a", 10.0, 20.0), compared("b", 3.0, 1.0), compared("c", 300.0, 256.0),
                    compared("d", 6.0, 2.0)])
    assert [each.measure for each in found] == ["b", "d", "c", "a"]
    assert [each.factor for each in found] == pytest.approx([3.0, 3.0, 300 / 256, 0.5])


@given(st.lists(st.tuples(st.floats(-1e6, 1e6), st.floats(0.1, 1e3)), min_size=1))
def test_the_ranking_keeps_every_figure(figures: list[tuple[float, float]]) -> None:
    comparisons = [compared(str(number), value, budget) for number, (value, budget) in enumerate(figures)]
    found = rank_by_factor(reversed(comparisons))
    assert sorted(found, key=lambda each: int(each.measure)) == comparisons
    assert all(one.factor >= other.factor for one, other in zip(found, found[1:], strict=False))


def test_the_verdict_is_undecided_while_the_interval_holds_the_budget() -> None:
    assert compared("a", 3.0, 1.0, 1.5).verdict is Verdict.OVER
    assert compared("a", 3.0, 1.0, 2.5).verdict is Verdict.UNDECIDED
    assert compared("a", 0.5, 1.0, 0.6).verdict is Verdict.UNDECIDED
    assert compared("a", 0.5, 1.0, 0.4).verdict is Verdict.WITHIN


def test_the_target_has_every_swept_key() -> None:
    assert list(LOAD_KEYS) == list(Load.__struct_fields__)
    assert list(SWEPT_KEYS) == [*LOAD_KEYS, SETTINGS_CHANGES_KEY.key]
    target = Target(schedulers=90)
    at = {key: swept.of_target(target) for key, swept in LOAD_KEYS.items()}
    assert at == {"workers": 11_000, "schedulers": 90, "starts_per_s": 2500.0, "tasks_running": 310_000,
                  "changes_per_s": pytest.approx(16_000 / 86_400), "teams": 730, "zones": 8}


# the report


def process(name: str, cpu_s: float, in_bytes: int = 20_000, requests: int = 1000) -> SchedulerUsage:
    return SchedulerUsage(
        name=name, cpu_s=cpu_s, rss_mb=60.0, peer_in_bytes=in_bytes, peer_out_bytes=in_bytes // 2,
        peer_in_datagrams=400, peer_out_datagrams=200, list_in_bytes=10_000, list_out_bytes=1000,
        requests=requests)


def point(workers: int, repeat: int = 0, shift_s: float = 0.0) -> Point:
    """A point whose control CPU is exactly linear in the workers; its two processes lie symmetrically about it."""
    cpu_s = IDLE_CPU_S + CPU_PER_WORKER * workers * SECONDS + shift_s
    return Point(commit="abc1234", dirty=False, seed=5, machine=Machine(8, 16_000, "3.11.2"), scenario="steady",
                 sweep="workers", repeat=repeat, load=msgspec.structs.replace(LOAD, workers=workers),
                 seconds=SECONDS,
                 schedulers=[process("s0", cpu_s + 0.01, 100 * workers),
                             process("s1", cpu_s - 0.01, 100 * workers)],
                 baseline=[process("s1", IDLE_CPU_S, 0), process("s0", IDLE_CPU_S, 0)],
                 in_force_ms=ChangeLatency(count=40, p50=300.0, p99=900.0 + workers, worst=1000.0 + workers,
                                           missed=0, kind="list"))


def sweep_points() -> list[Point]:
    """Three repeats of four loads, with small shifts that differ between repeats and sum to zero."""
    return [point(workers, repeat, shift_s) for workers in (50, 100, 200, 400)
            for repeat, shift_s in enumerate((-0.002, 0.0, 0.002))]


def write(path: Path, points: list[Point]) -> Path:
    for each in points:
        append_point(path, each)
    return path


def page_of(folder: Path, points: list[Point], target: Target | None = None) -> str:
    """The page without its plots, which would take most of the test's time."""
    numbered = enumerate(read_points(write(folder / "points.jsonl", points)), 1)
    return render_page(sort_points([SourcedPoint(each, "points.jsonl", number) for number, each in numbered]),
                target or Target(), {})


def section(text: str, heading: str) -> str:
    """The text below one heading."""
    [found] = re.findall(rf"^##+ {re.escape(heading)}\n(.*?)(?=^##|\Z)", text, re.MULTILINE | re.DOTALL)
    return str(found)


def series_of(points: list[Point], key: str) -> Series:
    [sweep] = sort_points(
        [SourcedPoint(each, "points.jsonl", number) for number, each in enumerate(points, 1)]).sweeps
    [found] = [each for each in sweep.series() if each.measure.key == key]
    return found


def test_slopes_are_recovered_from_points() -> None:
    cpu = series_of(sweep_points(), "cpu")
    assert cpu.line is not None
    assert cpu.line.slope.value == pytest.approx(100 * CPU_PER_WORKER)  # % of a core
    assert cpu.line.intercept == pytest.approx(0.0, abs=1e-9)
    comparison = cpu.comparison(Target())
    assert comparison is not None and comparison.verdict is Verdict.OVER
    assert comparison.factor == pytest.approx(100 * CPU_PER_WORKER * 11_000 / BUDGETS.cpu_percent)
    traffic = series_of(sweep_points(), "in").line
    assert traffic is not None  # 100 bytes a worker and 10,000 bytes of the list, in 20 s
    assert (traffic.slope.value, traffic.intercept) == pytest.approx((0.005, 0.5))


def test_each_process_is_set_against_its_own_baseline() -> None:
    [one] = sweep_points()[:1]
    uneven = msgspec.structs.replace(one, schedulers=[process("s0", 5.0), process("s1", 9.0)],
                                     baseline=[process("s1", 8.0), process("s0", 3.0)])
    assert CONTROL_CPU.values(uneven) == pytest.approx((10.0, 5.0))
    longer = msgspec.structs.replace(uneven, baseline_seconds=2 * uneven.seconds)  # a window of twice the length
    assert CONTROL_CPU.values(longer) == pytest.approx((17.5, 25.0))


def test_the_page_shows_points_line_and_target(tmp_path: Path) -> None:
    found = section(page_of(tmp_path, sweep_points()), "steady: workers: control CPU, % of a core")
    assert "| 400 | 3 | 4 | 3.94..4.06 | – | 6,000 / 6,000 |" in found
    assert re.search(r"\| 10 \([\d.]+ to [\d.]+\) \| [-\de.]+ \| 1\.0000 \| straight \| 110 \(110 to 110\) "
                     r"\| 1\.4 \| 78\.6 \|", found)


def test_the_last_table_ranks_the_worst_first(tmp_path: Path) -> None:
    ranking = section(page_of(tmp_path, sweep_points()), "Against the budgets, worst first")
    rows = [line.split(" | ") for line in ranking.splitlines() if line.startswith("| steady")]
    measures, factors = [row[1] for row in rows], [float(row[4]) for row in rows]
    assert measures[:3] == ["control CPU, % of a core", "control traffic in (peers and list), KB/s",
                            "list in force, worst, s"]
    assert factors == sorted(factors, reverse=True) and len(factors) == 7
    assert all("27.5 times the greatest" in row[-1] for row in rows)


def test_the_target_moves_with_the_count_of_schedulers(tmp_path: Path) -> None:
    points = [msgspec.structs.replace(each, sweep="schedulers",
                                      load=msgspec.structs.replace(LOAD, schedulers=each.load.workers))
              for each in sweep_points()]
    text = page_of(tmp_path, points, Target(schedulers=1000))
    found = section(text, "steady: schedulers: control CPU, % of a core")
    assert "at 1,000 schedulers" in found
    assert re.search(r"\| 10 \([\d.]+ to [\d.]+\) \| 1\.4 \| 7\.14 \|", found)


def test_failed_points_are_listed_and_in_no_figure(tmp_path: Path) -> None:
    failed = msgspec.structs.replace(point(800, shift_s=50.0), failed="s1 did not | answer")
    silent = msgspec.structs.replace(point(900), schedulers=[])
    unknown = msgspec.structs.replace(point(700), sweep="colour")
    text = page_of(tmp_path, [*sweep_points(), failed, silent, unknown])
    listed = section(text, "Failed points")
    assert re.search(r"points\.jsonl, point 13 \| 800 workers, .* \| workers: s1 did not \\\| answer \|", listed)
    assert re.search(r"points\.jsonl, point 14 \| 900 workers, .* \| workers: no process was measured \|", listed)
    assert re.search(r"points\.jsonl, point 15 \| 700 workers, .* \| colour: 'colour' is no key", listed)
    good = tmp_path / "good"
    good.mkdir()
    without = page_of(good, sweep_points())
    assert text.replace(listed, "") == without.replace(section(without, "Failed points"), "")


def test_an_outlier_is_marked_and_kept(tmp_path: Path) -> None:
    points = sweep_points()
    points[4] = point(100, 1, shift_s=2.006)
    line = series_of(points, "cpu").line
    assert line is not None and line.count == 12
    assert [place for place, outlier in enumerate(line.outliers) if outlier] == [4]
    text = report([write(tmp_path / "points.jsonl", points)], tmp_path / "out").tables.read_text()
    found = section(text, "steady: workers: control CPU, % of a core")
    assert "](steady-workers-cpu.svg)" in found
    assert "| 100 | 3 | 4.34 | 0.94..11.1 | points.jsonl, point 5 |" in found
    assert "1 of 12 points off the line" in section(text, "Against the budgets, worst first")
    assert "off the line" in (tmp_path / "out" / "steady-workers-cpu.svg").read_text()


def test_doubtful_points_are_named(tmp_path: Path) -> None:
    points = sweep_points()
    points[0] = msgspec.structs.replace(points[0], baseline=points[0].baseline[:1])
    points[1] = msgspec.structs.replace(points[1], baseline=[process("s0", 3.0), process("s1", 3.0, requests=600)])
    times = points[2].in_force_ms
    assert times is not None
    points[2] = msgspec.structs.replace(points[2], in_force_ms=msgspec.structs.replace(times, missed=3))
    load = msgspec.structs.replace(points[3].load, teams=30)
    points[3] = msgspec.structs.replace(points[3], dirty=True, load=load)
    text = page_of(tmp_path, points)
    found = section(text, "steady: workers")
    assert "point 1 | 50 | control CPU in doubt: 1 of 2 processes have no baseline |" in found
    assert "point 2 | 50 | control CPU in doubt: 2000 requests served, 1600 in the baseline |" in found
    assert "point 3 | 50 | 3 of 40 times a change of the list was not in force" in found
    assert "20 to 30 teams (**varied**)" in found
    assert "- Commit: abc1234, abc1234 (with uncommitted changes) (**varied**)\n" in found
    assert "- Machine: 8 cores, 16,000 MB, Python 3.11.2\n" in found
    assert "| 100 | 3 | " in section(text, "steady: workers: control CPU, % of a core")
    ranking = section(text, "Against the budgets, worst first")
    assert "2 points with a doubtful baseline" in ranking
    assert ranking.count("3 times were longer than the wait and count with it") == 3


def test_requests_that_differ_by_chance_are_not_in_doubt() -> None:
    """A tenth more requests is within chance at 160 requests, and is not at 16,000."""
    [one] = sweep_points()[:1]
    few, many = [msgspec.structs.replace(one, schedulers=[process("s0", 4.0, requests=count * 11 // 10)],
                                         baseline=[process("s0", 3.0, requests=count)]) for count in (160, 16_000)]
    assert baseline_fault(few) == ""
    assert baseline_fault(many) == "17600 requests served, 16000 in the baseline"


def test_a_sweep_of_settings_shows_only_when_settings_are_in_force(tmp_path: Path) -> None:
    points = []
    for seed, per_s in enumerate((0.5, 1.0, 2.0), 1):
        times = ChangeLatency(count=30, p50=100.0, p99=200.0 + 100 * per_s, worst=900.0, missed=0, kind="settings")
        points.append(msgspec.structs.replace(
            point(200), sweep="settings_changes_per_s", seed=seed, in_force_ms=times,
            load=msgspec.structs.replace(LOAD, changes_per_s=per_s), baseline=[]))
    text = page_of(tmp_path, points)
    assert re.findall(r"^### (.*)$", text, re.MULTILINE) == [
        f"steady: settings changes/s: settings in force, {name}, s" for name in ("p50", "p99", "worst")]
    summary = section(text, "steady: settings changes/s")
    assert "- Held: 200 workers, 8 schedulers, 50 starts/s, 5,000 running tasks, 20 teams, 2 zones\n" in summary
    assert "- Seed: 1 to 3\n" in summary and "baseline" not in summary
    assert "| 0.1 (0.1 to 0.1) | 0.2 |" in section(text, "steady: settings changes/s: settings in force, p99, s")


def test_too_few_points_give_no_line_but_stand_in_the_tables(tmp_path: Path) -> None:
    text = page_of(tmp_path, sweep_points()[:3])
    found = section(text, "steady: workers: memory, MB")
    assert "| 50 | 3 | 60 | 60..60 | – |" in found
    assert "No line: all points have the same load." in found
    ranking = section(text, "Against the budgets, worst first")
    assert "| steady: workers | memory, MB | – | 256 | – | – | no line: all points have the same load |" in ranking


def test_settings_and_list_times_are_kept_apart() -> None:
    points = sweep_points()
    times = points[0].in_force_ms
    assert times is not None
    points[0] = msgspec.structs.replace(points[0], in_force_ms=msgspec.structs.replace(times, kind="settings"))
    assert len(series_of(points, "list-p99").observations) == 11
    assert [each.values for each in series_of(points, "settings-p99").observations] == [(0.95,)]


def test_the_same_points_give_the_same_bytes(tmp_path: Path) -> None:
    path = write(tmp_path / "points.jsonl", sweep_points())
    first, second = report([path], tmp_path / "one"), report([path], tmp_path / "two")
    assert [each.name for each in first.plots] == [
        f"steady-workers-{key}.svg" for key in ("cpu", "memory", "in", "out", "list-p99")]
    for one, other in zip([first.tables, *first.plots], [second.tables, *second.plots], strict=True):
        assert one.read_bytes() == other.read_bytes()


def test_plots_are_small_and_well_formed(tmp_path: Path) -> None:
    for path in report([write(tmp_path / "points.jsonl", sweep_points())], tmp_path).plots:
        assert path.stat().st_size < PLOT_BYTES_MOST
        text = "".join(ElementTree.parse(path).getroot().itertext())
        assert all(word in text for word in ("budget", "95% interval", "target", "points"))


def test_several_files_are_read_as_one(tmp_path: Path) -> None:
    points = sweep_points()
    files = [write(tmp_path / "a.jsonl", points[:6]), write(tmp_path / "b.jsonl", points[6:])]
    written = report(files, tmp_path / "out")
    assert (written.points, written.failed) == (12, 0)
    assert "- Points: a.jsonl, b.jsonl\n" in written.tables.read_text()


def test_numbers_read_plainly() -> None:
    assert [format_number(x) for x in (0.0, -0.0, 0.01234, 99.94, 110.4, 12_345.6)] == [
        "0", "0", "0.0123", "99.9", "110", "12,346"]
    assert [format_load(x) for x in (0.5, 11_000, 310_000.0, 2_500_001)] == [
        "0.5", "11,000", "310,000", "2,500,001"]
    assert markdown_table(["a"], [["x|\ny"]]) == "| a |\n| --- |\n| x\\| y |"


# the command


def test_the_command_writes_the_page(tmp_path: Path) -> None:
    path = write(tmp_path / "points.jsonl", sweep_points())
    result = CliRunner().invoke(report_command, [str(path), "--out", str(tmp_path / "out"), "--schedulers", "50"])
    assert result.exit_code == 0, result.output
    assert "12 points (0 failed)" in result.output
    assert "and 50 schedulers" in (tmp_path / "out" / TABLES_FILE).read_text()


@pytest.mark.parametrize(("text", "place"), [
    ("", ""), ("\n\n", ""), ("{\n", ":1: "), ("[]\n", ":1: "), ("GOOD\n{}\n", ":2: "),
    ("GOOD\n\nnonsense\n", ":3: ")])
def test_an_empty_or_garbled_file_is_named(tmp_path: Path, text: str, place: str) -> None:
    path = tmp_path / "points.jsonl"
    path.write_text(text.replace("GOOD", msgspec.json.encode(point(50)).decode()))
    with pytest.raises(PointsError):
        report([path], tmp_path / "out")
    result = CliRunner().invoke(report_command, [str(path), "--out", str(tmp_path / "out")])
    assert result.exit_code == 2
    assert f"{path}{place or ': no points'}" in result.output
    assert not (tmp_path / "out").exists()


def test_no_file_and_an_absent_one_are_errors(tmp_path: Path) -> None:
    assert CliRunner().invoke(report_command, []).exit_code == 2
    assert CliRunner().invoke(report_command, [str(tmp_path / "absent")]).exit_code == 2


def test_ranking_is_of_values_not_of_names() -> None:
    one = compared("z", 2.0, 1.0)
    assert rank_by_factor([replace(one, measure="a", budget=4.0), one])[0] is one
