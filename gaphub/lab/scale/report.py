"""Makes the tables and plots of the capacity page from raw points; the same points give the same bytes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from .budget import Target
from .plots import draw
from .points import PointsError, read_points
from .series import Sourced, sort_points
from .tables import page

TABLES = "tables.md"


@dataclass(frozen=True)
class Written:
    """What a report wrote, and the points it stands on."""

    tables: Path
    plots: tuple[Path, ...]
    points: int  # all of them
    failed: int  # those of them that are in no figure


def report(points_files: Sequence[Path], out_dir: Path, target: Target | None = None) -> Written:
    """Write the tables and plots of the points into a directory; nothing is written if a file cannot be read."""
    target = target or Target()
    points = [each for path in points_files for each in _read(path)]
    found = sort_points(points)
    out_dir.mkdir(parents=True, exist_ok=True)
    plots: dict[str, str] = {}
    for sweep in found.sweeps:
        for series in sweep.series():
            if series.measure.plotted:
                plots[series.name] = f"{series.name}.svg"
                draw(series, target, out_dir / plots[series.name])
    tables = out_dir / TABLES
    tables.write_text(page(found, target, plots), encoding="utf-8")
    return Written(tables, tuple(out_dir / name for name in plots.values()), len(points), len(found.failed))


def _read(path: Path) -> list[Sourced]:
    """The points of one file; of an absolute path, which holds on one machine only, the last name is shown."""
    shown = path.name if path.is_absolute() else path.as_posix()
    points = [Sourced(point, shown, number) for number, point in enumerate(read_points(path), 1)]
    if not points:
        raise PointsError(f"{path}: no points")
    return points
