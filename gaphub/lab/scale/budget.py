"""The size that the site is to reach, what a scheduler may spend on control there, and figures against it."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from .fit import Estimate

DAY_S = 86_400
SCHEDULERS = 200  # at the target, unless the command names another count


@dataclass(frozen=True)
class Target:
    """The size of the site that the figures are extrapolated to."""

    workers: int = 11_000
    schedulers: int = SCHEDULERS
    starts_per_s: float = 2_500.0
    tasks_running: int = 310_000
    teams: int = 730
    zones: int = 8
    regions: int = 2
    changes_per_day: int = 16_000

    @property
    def changes_per_s(self) -> float:
        """The mean pace of changes over a day."""
        return self.changes_per_day / DAY_S


@dataclass(frozen=True)
class Budgets:
    """What one scheduler may spend on control, and how soon a change must be in force."""

    cpu_percent: float = 1.4  # of one core
    memory_mb: float = 256.0
    traffic_kb_per_s: float = 15.0  # in, and as much out; 1 KB is 1,000 bytes
    in_force_s: float = 6.0


BUDGETS = Budgets()


class Verdict(enum.Enum):
    """How an estimate stands against its budget."""

    OVER = "over"
    UNDECIDED = "undecided"  # the budget lies within the interval
    WITHIN = "within"


@dataclass(frozen=True)
class Comparison:
    """One figure at the target against its budget."""

    sweep: str
    measure: str
    estimate: Estimate
    budget: float

    @property
    def factor(self) -> float:
        """How many budgets the figure takes: over 1 it exceeds the budget."""
        return self.estimate.value / self.budget

    @property
    def verdict(self) -> Verdict:
        """Over or within only if the whole interval is."""
        if self.estimate.low > self.budget:
            return Verdict.OVER
        if self.estimate.high <= self.budget:
            return Verdict.WITHIN
        return Verdict.UNDECIDED


def ranked(comparisons: Iterable[Comparison]) -> list[Comparison]:
    """The worst factor first; equal ones by their names."""
    return sorted(comparisons, key=lambda each: (-each.factor, each.sweep, each.measure))
