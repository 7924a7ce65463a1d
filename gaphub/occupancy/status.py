"""Owns what an operator is shown of an exchange: by which way it tells, whether it is complete, how old sums are.

Pure.  It looks at each worker, so it is found only when it is asked for.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from math import inf

from .exchange import NoExchange, OccupancyExchange
from .sized import SizedExchange


class ExchangeMethod(Enum):
    """How a scheduler tells its occupancy."""

    NONE = "none"
    ALL_TO_ALL = "all to all"
    SHARDED = "sharded"


@dataclass(frozen=True)
class OccupancyStatus:
    """What a scheduler knows of the others' occupancy; ages are of the sums, over the listed workers."""

    way: ExchangeMethod
    complete: bool
    age_p50_ms: float | None = None  # None: no sums, or nothing is known of so many
    age_p99_ms: float | None = None


def occupancy_status(exchange: OccupancyExchange, now: float, workers: Iterable[int]) -> OccupancyStatus:
    """The state of an exchange; ``workers``: the listed ones."""
    if isinstance(exchange, NoExchange):
        return OccupancyStatus(ExchangeMethod.NONE, False)
    sharded = exchange.sharded if isinstance(exchange, SizedExchange) else None
    if sharded is None:
        return OccupancyStatus(ExchangeMethod.ALL_TO_ALL, exchange.complete(now))
    ages = sorted(sharded.age(now, worker) for worker in workers)
    return OccupancyStatus(ExchangeMethod.SHARDED, exchange.complete(now),
                           _percentile(ages, 0.5), _percentile(ages, 0.99))


def _percentile(ages: list[float], fraction: float) -> float | None:
    """The age that so many are not above."""
    if not ages:
        return None
    age = ages[min(len(ages) - 1, int(fraction * len(ages)))]
    return age if age < inf else None
