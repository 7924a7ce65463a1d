"""The command ``gaphub lab scale report``."""

from __future__ import annotations

from pathlib import Path

import click

from .budget import SCHEDULERS, Target
from .points import PointsError
from .report import report

OUT = Path("docs/capacity")
EXIT_UNREADABLE = 2  # as for a wrong option


class UnreadablePointsError(click.ClickException):
    """A points file is empty or garbled."""

    exit_code = EXIT_UNREADABLE


@click.command("report")
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--out", default=OUT, show_default=True, type=click.Path(file_okay=False, path_type=Path),
              help="Where the tables and plots are written.")
@click.option("--schedulers", default=SCHEDULERS, show_default=True, type=click.IntRange(min=1),
              help="How many schedulers the target has.")
def report_command(files: tuple[Path, ...], out: Path, schedulers: int) -> None:
    """Tables and plots of the points in FILES, against the budgets of a scheduler at the target."""
    try:
        written = report(files, out, Target(schedulers=schedulers))
    except PointsError as error:
        raise UnreadablePointsError(str(error)) from None
    click.echo(f"{written.points} points ({written.failed} failed): {written.tables}, {len(written.plots)} plots")
