"""Student's t distribution for integer degrees of freedom, as needed by confidence intervals and tests of a fit.

The distribution function is the finite trigonometric series of Abramowitz and Stegun, "Handbook of Mathematical
Functions", 26.7.3 (odd degrees of freedom) and 26.7.4 (even ones), which is exact up to rounding.
"""

from __future__ import annotations

import math

MAX_BISECTIONS = 200  # upper limit; bisection stops earlier, once the middle equals an end of the bracket


def central_probability(t: float, degrees_of_freedom: int) -> float:
    """The probability that a t-distributed variable lies between -t and t."""
    if degrees_of_freedom < 1:
        raise ValueError("Student's t needs at least one degree of freedom")
    angle = math.atan(t / math.sqrt(degrees_of_freedom))
    sine, cosine = math.sin(angle), math.cos(angle)
    odd = degrees_of_freedom % 2 == 1
    term, total = (cosine, 0.0) if odd else (1.0, 0.0)
    for exponent in range(1 if odd else 0, degrees_of_freedom - 1, 2):
        total += term
        term *= cosine * cosine * (exponent + 1) / (exponent + 2)
    if odd:
        return 2.0 / math.pi * (angle + sine * total)
    return sine * total


def two_sided_quantile(probability: float, degrees_of_freedom: int) -> float:
    """The t with the given central probability."""
    if not 0.0 < probability < 1.0:
        raise ValueError("the probability must lie between 0 and 1")
    low, high = 0.0, 1.0
    while central_probability(high, degrees_of_freedom) < probability:
        low, high = high, high * 2.0
    for _ in range(MAX_BISECTIONS):
        middle = (low + high) / 2.0
        if middle in (low, high):
            break
        if central_probability(middle, degrees_of_freedom) < probability:
            low = middle
        else:
            high = middle
    return high
