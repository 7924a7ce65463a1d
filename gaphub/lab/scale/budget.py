"""The target size of the site, a scheduler's budgets for control traffic there, and figures compared with them."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from .fit import Estimate

SECONDS_PER_DAY = 86_400
DEFAULT_SCHEDULERS = 200  # at the target; the command has an option for another count


@dataclass(frozen=True)
class Target:
    """The size of the site to which the measured figures are extrapolated."""

    workers: int = 11_000
    schedulers: int = DEFAULT_SCHEDULERS
    starts_per_s: float = 2_500.0
    tasks_running: int = 310_000
    teams: int = 730
    zones: int = 8
    regions: int = 2
    changes_per_day: int = 16_000

    @property
    def changes_per_s(self) -> float:
        """The mean rate of changes over a day."""
        return self.changes_per_day / SECONDS_PER_DAY


@dataclass(frozen=True)
class Budgets:
    """What one scheduler may spend on control traffic, and how soon a change must be in force."""

    cpu_percent: float = 1.4  # of one core
    memory_mb: float = 256.0
    traffic_kb_per_s: float = 15.0  # in each direction; 1 KB is 1,000 bytes
    in_force_s: float = 6.0


BUDGETS = Budgets()


class Verdict(enum.Enum):
    """How an estimate compares with its budget."""

    OVER = "over"
    UNDECIDED = "undecided"  # the budget lies within the confidence interval
    WITHIN = "within"


@dataclass(frozen=True)
class Comparison:
    """One figure, extrapolated to the target, and its budget."""

    sweep: str
    measure: str
    estimate: Estimate
    budget: float

    @property
    def factor(self) -> float:
        """The figure as a multiple of its budget."""
        return self.estimate.value / self.budget

    @property
    def verdict(self) -> Verdict:
        """``OVER`` or ``WITHIN`` only if this holds for the whole confidence interval."""
        if self.estimate.low > self.budget:
            return Verdict.OVER
        if self.estimate.high <= self.budget:
            return Verdict.WITHIN
        return Verdict.UNDECIDED


def rank_by_factor(comparisons: Iterable[Comparison]) -> list[Comparison]:
    """Sort by descending factor, and equal factors by sweep and measure."""
    return sorted(comparisons, key=lambda each: (-each.factor, each.sweep, each.measure))
