"""SVG plots of a series: points, line, confidence interval and budget.  The same series gives the same bytes."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib
import numpy as np
from matplotlib.figure import Figure

from .budget import Target
from .fit import CONFIDENCE
from .series import Series

RC_SETTINGS = {"svg.hashsalt": "gaphub", "svg.fonttype": "none", "font.size": 9.0}
METADATA = {"Date": None, "Creator": None}  # left out, so that the file does not depend on the day or the library
PANEL_INCHES = (4.2, 3.4)
LEGEND_COLUMNS = 3
LINE_STEPS = 60  # points of a drawn line
FAR_TARGET_RATIO = 1.5  # a target beyond this multiple of the greatest load has a panel of its own
MARGIN = 1.03  # end of the x axis, relative to the greatest load shown
OUTLIER_COLOUR = "#c0392b"
LINE_COLOUR = "#1f4e79"


def draw(series: Series, target: Target, path: Path) -> None:
    """Write the plot of a series: over the measured loads, and up to the target if that lies far beyond them."""
    at_target = series.sweep.swept.of_target(target)
    max_load = max(each.x for each in series.observations)
    ends = [max_load, at_target] if at_target > FAR_TARGET_RATIO * max_load else [max(max_load, at_target)]
    if series.line is None:
        ends = [max_load]
    with matplotlib.rc_context(RC_SETTINGS):
        figure = Figure(figsize=(PANEL_INCHES[0] * len(ends), PANEL_INCHES[1]), layout="constrained")
        panels = figure.subplots(1, len(ends), squeeze=False)[0]
        for panel, end in zip(panels, ends, strict=True):
            _panel(panel, series, end, at_target)
        _legend(figure, panels)
        figure.suptitle(f"{series.sweep.title} - {series.measure.title}")
        figure.savefig(path, format="svg", metadata=METADATA)


def _legend(figure: Any, panels: Any) -> None:
    """Draw one legend below all panels, as the last panel may be the only one that shows the target."""
    handles: dict[str, Any] = {}
    for panel in panels:
        for handle, label in zip(*panel.get_legend_handles_labels(), strict=True):
            handles.setdefault(label, handle)
    figure.legend(list(handles.values()), list(handles), loc="outside lower center", ncols=LEGEND_COLUMNS,
                  fontsize=7)


def _panel(panel: Any, series: Series, end: float, at_target: float) -> None:
    """Draw the points, the line from load 0 to ``end``, the budget, and the target if it is in this range."""
    _points(panel, series)
    if series.line is not None:
        _line(panel, series, end)
    if series.measure.budget is not None:
        panel.axhline(series.measure.budget, color="black", linestyle="--", linewidth=1, label="budget")
    if at_target <= end:
        panel.axvline(at_target, color="grey", linestyle=":", linewidth=1, label="target")
    panel.set_xlim(0.0, end * MARGIN or 1.0)
    panel.set_ylim(bottom=min(0.0, panel.get_ylim()[0]))
    panel.set_xlabel(series.sweep.swept.title)
    panel.set_ylabel(series.measure.unit)
    panel.grid(alpha=0.3)


def _points(panel: Any, series: Series) -> None:
    """Draw each point at its mean, with the range over its processes; outliers in another colour and marker."""
    count = len(series.observations)
    outliers = (False,) * count if series.line is None else series.line.outliers
    for is_outlier, colour, marker, label in ((False, LINE_COLOUR, "o", "points"),
                                              (True, OUTLIER_COLOUR, "X", "off the line")):
        shown = [each for each, outlier in zip(series.observations, outliers, strict=True)
                 if outlier is is_outlier]
        if not shown:
            continue
        means = [each.mean for each in shown]
        below = [max(each.mean - min(each.values), 0.0) for each in shown]
        above = [max(max(each.values) - each.mean, 0.0) for each in shown]
        panel.errorbar([each.x for each in shown], means, yerr=[below, above], color=colour, fmt=marker,
                       markersize=4, elinewidth=0.8, label=label)


def _line(panel: Any, series: Series, end: float) -> None:
    """Draw the fitted line with the confidence interval of the mean."""
    assert series.line is not None
    xs = [float(x) for x in np.linspace(0.0, end, LINE_STEPS)]
    estimates = [series.line.mean_at(x) for x in xs]
    bend = " (bent)" if series.line.curved else ""
    panel.plot(xs, [each.value for each in estimates], color=LINE_COLOUR, linewidth=1, label=f"line{bend}")
    panel.fill_between(xs, [each.low for each in estimates], [each.high for each in estimates], color=LINE_COLOUR,
                       alpha=0.15, linewidth=0, label=f"{CONFIDENCE:.0%} interval")
