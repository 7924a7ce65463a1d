"""The status of an exchange for operators: its method, whether it is complete, and the age of its sums.

No I/O, no clock, no randomness.  Computed on request only, as it looks at every worker.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from math import inf

from .exchange import NoExchange, OccupancyExchange
from .sized import SizedExchange


class ExchangeMethod(Enum):
    """How a scheduler exchanges its occupancy."""

    NONE = "none"
    ALL_TO_ALL = "all to all"
    SHARDED = "sharded"


@dataclass(frozen=True)
class OccupancyStatus:
    """What a scheduler knows of its peers' occupancy; the ages are percentiles over the listed workers."""

    way: ExchangeMethod
    complete: bool
    age_p50_ms: float | None = None  # None: no sums, or none for the worker at this percentile
    age_p99_ms: float | None = None


def occupancy_status(exchange: OccupancyExchange, now: float, workers: Iterable[int]) -> OccupancyStatus:
    """The status of an exchange; ``workers``: the listed ones."""
    if isinstance(exchange, NoExchange):
        return OccupancyStatus(ExchangeMethod.NONE, False)
    sharded = exchange.sharded if isinstance(exchange, SizedExchange) else None
    if sharded is None:
        return OccupancyStatus(ExchangeMethod.ALL_TO_ALL, exchange.complete(now))
    ages = sorted(sharded.age(now, worker) for worker in workers)
    return OccupancyStatus(ExchangeMethod.SHARDED, exchange.complete(now),
                           _percentile(ages, 0.5), _percentile(ages, 0.99))


def _percentile(ages: list[float], fraction: float) -> float | None:
    """The age that this fraction of the sorted ages does not exceed; None if unknown."""
    if not ages:
        return None
    age = ages[min(len(ages) - 1, int(fraction * len(ages)))]
    return age if age < inf else None
