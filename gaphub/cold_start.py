"""What one scheduler may send to a worker in slow start while it does not hear what the others send there.

Pure: no I/O, no clock, no randomness; see ``interface.py`` for the settings.  A cold worker fails when all
schedulers together send it more than a budget within a window (``rules.fall``).  Each scheduler has a fixed
part of that budget, its *rate*; all rates add up to ``ALLOWED_SHARE`` of the worker's load limit.  Light and
heavy requests have an allowance each, as light ones alone would use up a common one before it ever reached
the cost of a heavy request.  Costs are in units of the mean request.

Three things keep the sum within any window close to the sum of the rates:

- Schedulers do not start in step.  Each has a *phase* at each worker, evenly spread over the schedulers
  (stratified random offsets): the part of its first request that it need not earn.
- Unused allowance is kept for one request and no more.
- For a heavy request the phase is a share of its own cost, so that it is as rare at first as later.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import sqrt

LIGHT_COST = 1.0  # a request that costs more is heavy
ALLOWED_SHARE = 0.2  # of the load limit, for all schedulers together; for light and for heavy requests
MAX_REQUEST_SHARE = 0.5  # of the load limit: a request that costs more is not sent to a cold worker
SMALL_BUDGET = 30.0  # below this budget, the rule tolerates larger deviations
DEVIATIONS, DEVIATIONS_SMALL = 2.0, 3.0  # times the root of the budget, and as many requests on top
GOLDEN = 0x9E3779B97F4A7C15  # 2 ** 64 over the golden ratio: its multiples spread evenly over the range
RANGE = 2 ** 64


def load_limit(budget: float) -> float:
    """The cost that a cold worker can take within a window: its budget and the tolerated random deviation."""
    deviations = DEVIATIONS_SMALL if budget < SMALL_BUDGET else DEVIATIONS
    return budget + deviations * sqrt(budget) + deviations


def phase_of(scheduler: int, schedulers: int, worker: int, random: float) -> float:
    """The phase of a scheduler at a worker, in [0, 1): each has an equal interval and a random place in it.

    ``worker``: the worker's identity, alike at every scheduler, which rotates the intervals per worker.
    ``random``: uniform in [0, 1).
    """
    # In integers: an identity has 64 bits, and a float product would lose the fraction.
    start = worker * GOLDEN % RANGE / RANGE
    return ((scheduler + random) / schedulers + start) % 1.0


@dataclass(slots=True)
class ColdAllowance:
    """One scheduler's allowances at one cold worker; below 0 after a request that cost more.

    ``phase``: see ``phase_of``.  ``counted_at``: time in ms up to which earnings are counted; below 0: never.
    """

    phase: float
    light: float = 0.0
    heavy: float = 0.0
    counted_at: float = -1.0

    def earn(self, now: float, per_ms: float) -> None:
        """Add the earnings since the last call; ``per_ms``: this scheduler's rate."""
        if self.counted_at >= 0.0:
            earned = (now - self.counted_at) * per_ms
            self.light += earned
            self.heavy += earned
        self.counted_at = now

    def admits(self, cost: float) -> bool:
        """Whether a request of this cost may be sent now; drops unused allowance beyond one request."""
        if cost <= LIGHT_COST:
            self.light = min(self.light, LIGHT_COST - self.phase)
            return self.light + self.phase >= cost
        required = (1.0 - self.phase) * cost
        self.heavy = min(self.heavy, required)
        return self.heavy >= required

    def spend(self, cost: float) -> None:
        """Deduct the cost of a request that was sent."""
        if cost <= LIGHT_COST:
            self.light -= cost
        else:
            self.heavy -= cost
