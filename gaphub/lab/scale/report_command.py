"""The command ``gaphub lab scale report``."""

from __future__ import annotations

from pathlib import Path

import click

from .budget import DEFAULT_SCHEDULERS, Target
from .points import PointsError
from .report import report

DEFAULT_OUT = Path("docs/capacity")
EXIT_UNREADABLE = 2  # the exit code that click uses for a wrong option


class UnreadablePointsError(click.ClickException):
    """A points file is empty or malformed."""

    exit_code = EXIT_UNREADABLE


@click.command("report")
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--out", default=DEFAULT_OUT, show_default=True, type=click.Path(file_okay=False, path_type=Path),
              help="The directory for the tables and plots.")
@click.option("--schedulers", default=DEFAULT_SCHEDULERS, show_default=True, type=click.IntRange(min=1),
              help="The number of schedulers at the target.")
def report_command(files: tuple[Path, ...], out: Path, schedulers: int) -> None:
    """Write tables and plots of the points in FILES, compared with a scheduler's budgets at the target."""
    try:
        written = report(files, out, Target(schedulers=schedulers))
    except PointsError as error:
        raise UnreadablePointsError(str(error)) from None
    click.echo(f"{written.points} points ({written.failed} failed): {written.tables}, {len(written.plots)} plots")
