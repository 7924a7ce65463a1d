"""Owns the words of ``gaphub lab scale``: what they take, what they print, and how they exit.

A scenario that cannot be run exits with 2 and names the key.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import click
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

from .points import Point
from .scenario import Planned, Scenario, ScenarioError, plan, read_scenario, swept_key

console = Console(highlight=False)


class _Scale(click.Group):
    """The group; ``report`` is loaded when it is asked for: it needs the plots' packages."""

    def list_commands(self, context: click.Context) -> list[str]:
        return ["report", "run"]

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name != "report":
            return super().get_command(context, name)
        from .report_command import report_command

        return report_command


@click.command("scale", cls=_Scale)
def scale() -> None:
    """What control traffic costs one scheduler in a large fleet: measure it, and report on it."""


@scale.command("run")
@click.argument("scenario", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--set", "overrides", multiple=True, metavar="KEY=VALUE",
              help="Another value of a key of the scenario, such as load.workers=2000; may be repeated.")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), default=Path("found/scale.jsonl"),
              show_default=True, help="The points file; points are appended.")
def run_command(scenario: Path, overrides: tuple[str, ...], out: Path) -> None:
    """Measure every point of SCENARIO on real scheduler processes among hollow ones."""
    try:
        found = read_scenario(scenario, overrides)
        points = _run(scenario.stem, found, out)
    except ScenarioError as error:
        click.echo(str(error), err=True)
        raise SystemExit(2) from None
    except (KeyboardInterrupt, asyncio.CancelledError):
        click.echo("stopped; every process was ended", err=True)
        raise SystemExit(130) from None
    failed = [p for p in points if p.failed]
    console.print(f"{len(points)} points, {len(failed)} of them failed, in {out}")


def _run(name: str, scenario: Scenario, out: Path) -> list[Point]:
    from .runner import run

    out.parent.mkdir(parents=True, exist_ok=True)
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn())
    with Progress(*columns, console=console) as progress:
        bar = progress.add_task(name, total=len(list(plan(scenario))))

        def tell(planned: Planned, point: Point | None) -> None:
            if point is None:
                progress.update(bar, description=_name(planned))
            else:
                progress.advance(bar)
                progress.console.print(f"{_name(planned)}: {_line(point)}", soft_wrap=True)

        return asyncio.run(run(name, scenario, out, tell))


def _name(planned: Planned) -> str:
    return f"{planned.sweep} {getattr(planned.load, swept_key(planned.sweep)):g}"


def _line(point: Point) -> str:
    """One point, for the console: means over the real schedulers, the baseline subtracted from the CPU time."""
    if not point.schedulers:
        return f"failed: {point.failed}"
    count, seconds = len(point.schedulers), point.seconds
    spent = sum(m.cpu_s for m in point.schedulers)
    silent = sum(m.cpu_s for m in point.baseline) * seconds / (point.baseline_seconds or seconds)
    memory = sum(m.rss_mb for m in point.schedulers)
    came = sum(m.peer_in_bytes + m.list_in_bytes for m in point.schedulers)
    went = sum(m.peer_out_bytes + m.list_out_bytes for m in point.schedulers)
    parts = [f"{100.0 * (spent - silent) / count / seconds:.1f} % of a core", f"{memory / count:.0f} MB",
             f"{came / count / seconds / 1e3:.1f} KB/s in", f"{went / count / seconds / 1e3:.1f} KB/s out"]
    ages = [m.age_p99_ms for m in point.schedulers if m.age_p99_ms is not None]
    if ages:
        parts.append(f"age of sums p99 {max(ages) / 1e3:.1f} s")
    if (seen := point.in_force_ms) is not None:
        parts.append(f"{seen.kind} in force p99 {seen.p99:.0f} ms, worst {seen.worst:.0f}, missed {seen.missed} "
                     f"of {seen.count}")
    if point.failed:
        parts.append(f"failed: {point.failed}")
    return ", ".join(parts)
