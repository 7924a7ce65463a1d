"""The commands ``gaphub lab scale``: their arguments, console output and exit codes.

With a scenario that cannot be run, the command names the faulty key and exits with 2.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import click
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

from .points import Point
from .scenario import PlannedPoint, Scenario, ScenarioError, plan_points, read_scenario, swept_key

console = Console(highlight=False)


class _ScaleGroup(click.Group):
    """The command group; ``report`` is imported on demand, as it needs the plotting packages."""

    def list_commands(self, context: click.Context) -> list[str]:
        return ["report", "run"]

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name != "report":
            return super().get_command(context, name)
        from .report_command import report_command

        return report_command


@click.command("scale", cls=_ScaleGroup)
def scale() -> None:
    """Measure what control traffic costs one scheduler in a large fleet, and report on it."""


@scale.command("run")
@click.argument("scenario", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--set", "overrides", multiple=True, metavar="KEY=VALUE",
              help="Override a key of the scenario, such as load.workers=2000; may be repeated.")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), default=Path("found/scale.jsonl"),
              show_default=True, help="The points file; measured points are appended to it.")
def run_command(scenario: Path, overrides: tuple[str, ...], out: Path) -> None:
    """Measure every point of SCENARIO on real scheduler processes among simulated ones."""
    try:
        parsed = read_scenario(scenario, overrides)
        points = _run(scenario.stem, parsed, out)
    except ScenarioError as error:
        click.echo(str(error), err=True)
        raise SystemExit(2) from None
    except (KeyboardInterrupt, asyncio.CancelledError):
        click.echo("stopped; every process was ended", err=True)
        raise SystemExit(130) from None
    failed = [point for point in points if point.failed]
    console.print(f"{len(points)} points, {len(failed)} of them failed, in {out}")


def _run(name: str, scenario: Scenario, out: Path) -> list[Point]:
    from .runner import run

    out.parent.mkdir(parents=True, exist_ok=True)
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn())
    with Progress(*columns, console=console) as progress:
        bar = progress.add_task(name, total=len(list(plan_points(scenario))))

        def on_progress(planned: PlannedPoint, point: Point | None) -> None:
            if point is None:
                progress.update(bar, description=_point_title(planned))
            else:
                progress.advance(bar)
                progress.console.print(f"{_point_title(planned)}: {_summary_line(point)}", soft_wrap=True)

        return asyncio.run(run(name, scenario, out, on_progress))


def _point_title(planned: PlannedPoint) -> str:
    return f"{planned.sweep} {getattr(planned.load, swept_key(planned.sweep)):g}"


def _summary_line(point: Point) -> str:
    """A summary of a point for the console: means over the real schedulers, CPU time less the baseline."""
    if not point.schedulers:
        return f"failed: {point.failed}"
    count, seconds = len(point.schedulers), point.seconds
    cpu_s = sum(m.cpu_s for m in point.schedulers)
    baseline_cpu_s = sum(m.cpu_s for m in point.baseline) * seconds / (point.baseline_seconds or seconds)
    memory = sum(m.rss_mb for m in point.schedulers)
    received = sum(m.peer_in_bytes + m.list_in_bytes for m in point.schedulers)
    sent = sum(m.peer_out_bytes + m.list_out_bytes for m in point.schedulers)
    parts = [f"{100.0 * (cpu_s - baseline_cpu_s) / count / seconds:.1f} % of a core", f"{memory / count:.0f} MB",
             f"{received / count / seconds / 1e3:.1f} KB/s in", f"{sent / count / seconds / 1e3:.1f} KB/s out"]
    ages = [m.age_p99_ms for m in point.schedulers if m.age_p99_ms is not None]
    if ages:
        parts.append(f"age of sums p99 {max(ages) / 1e3:.1f} s")
    if (latency := point.in_force_ms) is not None:
        parts.append(f"{latency.kind} in force p99 {latency.p99:.0f} ms, worst {latency.worst:.0f}, "
                     f"missed {latency.missed} of {latency.count}")
    if point.failed:
        parts.append(f"failed: {point.failed}")
    return ", ".join(parts)
