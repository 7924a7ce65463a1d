"""Writes the tables and plots of the capacity page from raw points; the same points give the same bytes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from .budget import Target
from .plots import draw
from .points import PointsError, read_points
from .series import SourcedPoint, sort_points
from .tables import render_page

TABLES_FILE = "tables.md"


@dataclass(frozen=True)
class ReportResult:
    """The files that a report wrote, and the number of points that it read."""

    tables: Path
    plots: tuple[Path, ...]
    points: int  # usable and failed ones
    failed: int  # these are in no figure


def report(points_files: Sequence[Path], out_dir: Path, target: Target | None = None) -> ReportResult:
    """Write the tables and plots of the points into a directory; nothing is written if a file cannot be read."""
    target = target or Target()
    points = [each for path in points_files for each in _read_file(path)]
    sorted_points = sort_points(points)
    out_dir.mkdir(parents=True, exist_ok=True)
    plots: dict[str, str] = {}
    for sweep in sorted_points.sweeps:
        for series in sweep.series():
            if series.measure.plotted:
                plots[series.name] = f"{series.name}.svg"
                draw(series, target, out_dir / plots[series.name])
    tables = out_dir / TABLES_FILE
    tables.write_text(render_page(sorted_points, target, plots), encoding="utf-8")
    return ReportResult(
        tables, tuple(out_dir / name for name in plots.values()), len(points), len(sorted_points.failed))


def _read_file(path: Path) -> list[SourcedPoint]:
    """The points of one file; an absolute path, which is valid on one machine only, is shown by its last part."""
    shown_name = path.name if path.is_absolute() else path.as_posix()
    points = [SourcedPoint(point, shown_name, number) for number, point in enumerate(read_points(path), 1)]
    if not points:
        raise PointsError(f"{path}: no points")
    return points
