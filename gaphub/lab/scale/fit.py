"""Least-squares fit of a measure against a load: the line, confidence intervals, outliers and curvature.

No point is ever dropped: an outlier is marked and stays in the fit.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from .student_t import two_sided_quantile

CONFIDENCE = 0.95  # level of every interval
MIN_POINTS = 3  # any two points lie on a line, which leaves no residuals
OUTLIER_LEVEL = 0.05  # probability that any point is marked in a fit without outliers
CURVATURE_LEVEL = 0.01  # probability that a straight line is taken for a curve
ROUNDING_SHARE = 1e-12  # residuals below this share of the greatest value are rounding errors, not noise

Vector = NDArray[np.float64]


class FitError(ValueError):
    """No line can be fitted to the points."""


class TooFewPointsError(FitError):
    """There are fewer points than a line with a confidence interval needs."""


class ConstantLoadError(FitError):
    """All points have the same load, so the slope is undetermined."""


class NotFiniteError(FitError):
    """A load or a value is not a finite number."""


@dataclass(frozen=True)
class Estimate:
    """A value with its confidence interval at the level ``CONFIDENCE``."""

    value: float
    low: float
    high: float


@dataclass(frozen=True)
class Line:
    """A fitted line; the tuples are in the order of the given points."""

    count: int
    mean_x: float
    mean_y: float
    sum_of_squares_x: float  # of the distances of the loads from their mean
    intercept: float
    slope: Estimate
    residual_deviation: float  # the standard deviation of the residuals
    r_squared: float | None  # None if all values are equal, as there is no variance to explain
    residuals: tuple[float, ...]
    outliers: tuple[bool, ...]
    curved: bool | None  # None (untested) with fewer than three distinct loads or four points

    def mean_at(self, x: float) -> Estimate:
        """The mean of the measure at a load; beyond the points it is an extrapolation of the line."""
        distance = x - self.mean_x
        value = self.mean_y + self.slope.value * distance
        error = self.residual_deviation * math.sqrt(1.0 / self.count + distance * distance / self.sum_of_squares_x)
        half_width = two_sided_quantile(CONFIDENCE, self.count - 2) * error
        return Estimate(value, value - half_width, value + half_width)


def fit_line(loads: Sequence[float], values: Sequence[float]) -> Line:
    """Fit a least-squares line of the values against the loads."""
    if len(loads) != len(values):
        raise FitError("loads and values differ in number")
    if len(loads) < MIN_POINTS:
        raise TooFewPointsError(f"{len(loads)} points; a line needs {MIN_POINTS}")
    x, y = np.array(loads, dtype=np.float64), np.array(values, dtype=np.float64)
    if not (np.isfinite(x).all() and np.isfinite(y).all()):
        raise NotFiniteError("a load or a value is not a finite number")
    mean_x, mean_y = float(x.mean()), float(y.mean())
    centred = x - mean_x
    sum_of_squares_x = float(centred @ centred)
    if x.max() == x.min() or sum_of_squares_x == 0.0:
        raise ConstantLoadError("all points have the same load")
    slope = float(centred @ (y - mean_y)) / sum_of_squares_x
    residuals = _zero_rounding_noise(y - mean_y - slope * centred, y)
    squares = float(residuals @ residuals)
    residual_deviation = math.sqrt(squares / (len(x) - 2))
    half_width = two_sided_quantile(CONFIDENCE, len(x) - 2) * residual_deviation / math.sqrt(sum_of_squares_x)
    return Line(
        count=len(x), mean_x=mean_x, mean_y=mean_y, sum_of_squares_x=sum_of_squares_x,
        intercept=mean_y - slope * mean_x, slope=Estimate(slope, slope - half_width, slope + half_width),
        residual_deviation=residual_deviation,
        r_squared=_r_squared(squares, y), residuals=tuple(float(each) for each in residuals),
        outliers=_outliers(centred, residuals), curved=_curved(centred, residuals))


def _zero_rounding_noise(residuals: Vector, values: Vector) -> Vector:
    """The residuals; all zero if they are only rounding errors of the values."""
    if float(np.abs(residuals).max()) <= ROUNDING_SHARE * float(np.abs(values).max()):
        return np.zeros_like(residuals)
    return residuals


def _r_squared(squares: float, values: Vector) -> float | None:
    centred = values - values.mean()
    total_squares = float(centred @ centred)
    if values.max() == values.min() or total_squares == 0.0:  # squares of tiny differences underflow
        return None
    return 1.0 - squares / total_squares


def _outliers(centred: Vector, residuals: Vector) -> tuple[bool, ...]:
    """Mark outliers by their externally studentised residuals, with the Bonferroni correction.

    The bound depends on the significance level and the number of points: a fixed one would mark good points where
    there are few degrees of freedom.
    """
    count = len(residuals)
    degrees_of_freedom = count - 3
    squares = float(residuals @ residuals)
    if degrees_of_freedom < 1 or squares == 0.0:
        return (False,) * count
    bound = two_sided_quantile(1.0 - OUTLIER_LEVEL / count, degrees_of_freedom)
    one_minus_leverages = 1.0 - 1.0 / count - centred**2 / float(centred @ centred)
    return tuple(_is_outlier(float(residual), float(one_minus_leverage), squares, degrees_of_freedom, bound)
                 for residual, one_minus_leverage in zip(residuals, one_minus_leverages, strict=True))


def _is_outlier(residual: float, one_minus_leverage: float, squares: float, degrees_of_freedom: int,
                bound: float) -> bool:
    """Whether a residual, studentised by the variance of the other points, exceeds the bound."""
    if one_minus_leverage <= ROUNDING_SHARE:  # leverage 1: the line passes through the point whatever its value
        return False
    own_squares = residual * residual / one_minus_leverage
    variance = max(squares - own_squares, 0.0) / degrees_of_freedom
    return own_squares > bound * bound * max(variance, ROUNDING_SHARE * squares)


def _curved(centred: Vector, residuals: Vector) -> bool | None:
    """Whether a quadratic term explains more of the residuals than chance would (F test); None if untested."""
    degrees_of_freedom = len(residuals) - 3
    if degrees_of_freedom < 1 or len(np.unique(centred)) < 3:
        return None
    squares = float(residuals @ residuals)
    if squares == 0.0:
        return False
    scaled = centred / float(np.abs(centred).max())
    square = scaled**2 - float((scaled**2).mean())
    quadratic = square - scaled * (float(scaled @ square) / float(scaled @ scaled))
    if float(quadratic @ quadratic) <= ROUNDING_SHARE:  # all loads but one or two are equal
        return None
    explained = float(quadratic @ residuals) ** 2 / float(quadratic @ quadratic)
    remaining = max(squares - explained, ROUNDING_SHARE * squares)
    # The F distribution with 1 and n degrees of freedom is that of the square of t.
    bound = two_sided_quantile(1.0 - CURVATURE_LEVEL, degrees_of_freedom) ** 2
    return explained / (remaining / degrees_of_freedom) > bound
