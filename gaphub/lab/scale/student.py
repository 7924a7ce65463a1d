"""Student's t distribution for whole degrees of freedom: what the intervals and tests of a fit need, and no more.

The distribution function is the finite trigonometric series of Abramowitz and Stegun, "Handbook of Mathematical
Functions", 26.7.3 (odd degrees of freedom) and 26.7.4 (even ones); it is exact up to rounding.
"""

from __future__ import annotations

import math

BISECTIONS = 200  # halvings of a bracket; it stops earlier, once the middle is one of its ends


def central_probability(t: float, degrees: int) -> float:
    """The probability that a variable of so many degrees of freedom lies within -t and t."""
    if degrees < 1:
        raise ValueError("Student's t needs at least one degree of freedom")
    angle = math.atan(t / math.sqrt(degrees))
    sine, cosine = math.sin(angle), math.cos(angle)
    odd = degrees % 2 == 1
    term, total = (cosine, 0.0) if odd else (1.0, 0.0)
    for exponent in range(1 if odd else 0, degrees - 1, 2):
        total += term
        term *= cosine * cosine * (exponent + 1) / (exponent + 2)
    if odd:
        return 2.0 / math.pi * (angle + sine * total)
    return sine * total


def two_sided_quantile(probability: float, degrees: int) -> float:
    """The t for which the central probability is the one given."""
    if not 0.0 < probability < 1.0:
        raise ValueError("the probability must lie between 0 and 1")
    low, high = 0.0, 1.0
    while central_probability(high, degrees) < probability:
        low, high = high, high * 2.0
    for _ in range(BISECTIONS):
        middle = (low + high) / 2.0
        if middle in (low, high):
            break
        if central_probability(middle, degrees) < probability:
            low = middle
        else:
            high = middle
    return high
