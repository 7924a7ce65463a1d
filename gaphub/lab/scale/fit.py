"""Least squares of a measure on a load: the line, its intervals, and the points or bends that speak against it.

It must never drop a point: one that fits no line is marked, and stays in the fit that is shown.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from .student import two_sided_quantile

CONFIDENCE = 0.95  # of every interval
POINTS_LEAST = 3  # two points lie on a line whatever they measure
OUTLIER_LEVEL = 0.05  # the chance that a fit whose points all belong to its line has any point marked
CURVATURE_LEVEL = 0.01  # the chance that a straight line is called bent
ROUNDING = 1e-12  # residuals below this share of the greatest value are rounding, not noise

Vector = NDArray[np.float64]


class FitError(ValueError):
    """No line can be laid through the points."""


class TooFewPointsError(FitError):
    """Fewer points than a line with an interval needs."""


class ConstantLoadError(FitError):
    """All points have the same load, so nothing is known of the slope."""


class NotFiniteError(FitError):
    """A load or a value is not a finite number."""


@dataclass(frozen=True)
class Estimate:
    """A value with its interval at ``CONFIDENCE``."""

    value: float
    low: float
    high: float


@dataclass(frozen=True)
class Line:
    """A fitted line; the tuples run in the order of the points given."""

    count: int
    mean_x: float
    mean_y: float
    spread_x: float  # the sum of squared distances of the loads from their mean
    intercept: float
    slope: Estimate
    deviation: float  # the standard deviation of the residuals
    r_squared: float | None  # None if all values are equal: there is no variance to explain
    residuals: tuple[float, ...]
    outliers: tuple[bool, ...]
    curved: bool | None  # None if fewer than three loads or four points leave it untested

    def mean_at(self, x: float) -> Estimate:
        """The mean of the measure at a load; beyond the points it holds only as far as the line does."""
        distance = x - self.mean_x
        value = self.mean_y + self.slope.value * distance
        error = self.deviation * math.sqrt(1.0 / self.count + distance * distance / self.spread_x)
        half = two_sided_quantile(CONFIDENCE, self.count - 2) * error
        return Estimate(value, value - half, value + half)


def fit_line(loads: Sequence[float], values: Sequence[float]) -> Line:
    """The least squares line of the values on the loads."""
    if len(loads) != len(values):
        raise FitError("as many loads as values are needed")
    if len(loads) < POINTS_LEAST:
        raise TooFewPointsError(f"{len(loads)} points; a line needs {POINTS_LEAST}")
    x, y = np.array(loads, dtype=np.float64), np.array(values, dtype=np.float64)
    if not (np.isfinite(x).all() and np.isfinite(y).all()):
        raise NotFiniteError("a load or a value is not a finite number")
    mean_x, mean_y = float(x.mean()), float(y.mean())
    from_mean = x - mean_x
    spread_x = float(from_mean @ from_mean)
    if x.max() == x.min() or spread_x == 0.0:
        raise ConstantLoadError("all points have the same load")
    slope = float(from_mean @ (y - mean_y)) / spread_x
    residuals = _without_rounding(y - mean_y - slope * from_mean, y)
    squares = float(residuals @ residuals)
    deviation = math.sqrt(squares / (len(x) - 2))
    half = two_sided_quantile(CONFIDENCE, len(x) - 2) * deviation / math.sqrt(spread_x)
    return Line(
        count=len(x), mean_x=mean_x, mean_y=mean_y, spread_x=spread_x,
        intercept=mean_y - slope * mean_x, slope=Estimate(slope, slope - half, slope + half), deviation=deviation,
        r_squared=_r_squared(squares, y), residuals=tuple(float(each) for each in residuals),
        outliers=_outliers(from_mean, residuals), curved=_curved(from_mean, residuals))


def _without_rounding(residuals: Vector, values: Vector) -> Vector:
    """The residuals, all zero if what is left of the values is only rounding."""
    if float(np.abs(residuals).max()) <= ROUNDING * float(np.abs(values).max()):
        return np.zeros_like(residuals)
    return residuals


def _r_squared(squares: float, values: Vector) -> float | None:
    from_mean = values - values.mean()
    spread = float(from_mean @ from_mean)
    if values.max() == values.min() or spread == 0.0:  # the squares of tiny differences vanish
        return None
    return 1.0 - squares / spread


def _outliers(from_mean: Vector, residuals: Vector) -> tuple[bool, ...]:
    """Which points lie off the line of the others: the externally studentised residual, by Bonferroni's bound.

    A fixed bound would mark good points where few points leave few degrees of freedom, so the bound follows from
    the level and the count.
    """
    count = len(residuals)
    degrees = count - 3
    squares = float(residuals @ residuals)
    if degrees < 1 or squares == 0.0:
        return (False,) * count
    bound = two_sided_quantile(1.0 - OUTLIER_LEVEL / count, degrees)
    freedom = 1.0 - 1.0 / count - from_mean**2 / float(from_mean @ from_mean)  # 1 - leverage
    return tuple(_is_outlier(float(residual), float(free), squares, degrees, bound)
                 for residual, free in zip(residuals, freedom, strict=True))


def _is_outlier(residual: float, free: float, squares: float, degrees: int, bound: float) -> bool:
    """Whether one residual, against the variance that the other points leave, exceeds the bound."""
    if free <= ROUNDING:  # the line passes through the point whatever it measures
        return False
    own = residual * residual / free
    variance = max(squares - own, 0.0) / degrees
    return own > bound * bound * max(variance, ROUNDING * squares)


def _curved(from_mean: Vector, residuals: Vector) -> bool | None:
    """Whether a quadratic term explains more of the residuals than chance would: the F test of adding it."""
    degrees = len(residuals) - 3
    if degrees < 1 or len(np.unique(from_mean)) < 3:
        return None
    squares = float(residuals @ residuals)
    if squares == 0.0:
        return False
    scaled = from_mean / float(np.abs(from_mean).max())
    square = scaled**2 - float((scaled**2).mean())
    bend = square - scaled * (float(scaled @ square) / float(scaled @ scaled))
    if float(bend @ bend) <= ROUNDING:  # all but one or two of the loads are the same
        return None
    explained = float(bend @ residuals) ** 2 / float(bend @ bend)
    left = max(squares - explained, ROUNDING * squares)
    bound = two_sided_quantile(1.0 - CURVATURE_LEVEL, degrees) ** 2  # F of 1 and n degrees is the square of t
    return explained / (left / degrees) > bound
