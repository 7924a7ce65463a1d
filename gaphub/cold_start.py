"""What one scheduler may send to a worker in slow start, where it does not hear what the others send there.

Pure: no I/O, no clock, no randomness; see ``interface.py`` for the settings.  A cold worker falls when all
schedulers together send it more than a budget within a window (``rules.fall``).  Each scheduler takes a
fixed part of that budget, its *rate*; the rates of all add up to ``PART`` of what the worker bears, for
light requests and for heavy ones apart, as light ones alone would use up an allowance before a heavy one
ever found it whole.

Three things keep the sum within any one window close to the sum of the rates:

- Schedulers do not begin in step.  Each has a *phase* at each worker, evenly spread over the schedulers
  (stratified random offsets): the part of a first request that it need not earn.
- What is earned and not used is kept for one request and no more.
- For a heavy request the phase is a share of its own cost: it is as rare from the first moment on as later.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import sqrt

LIGHT = 1.0  # mean requests; what costs more is heavy
PART = 0.2  # of what a cold worker bears from all schedulers together: light requests, and heavy ones
ONE_REQUEST = 0.5  # of that; a request that costs more is not sent there at all
FEW = 30.0  # mean requests; of a smaller budget the rule puts more down to chance
CHANCE, CHANCE_FEW = 2.0, 3.0  # times the root of the budget, and as many requests on top
GOLDEN = 0x9E3779B97F4A7C15  # of 2 ** 64: multiples of it fall evenly into the range
RANGE = 2 ** 64


def bears(budget: float) -> float:
    """What a cold worker bears in a window, in mean requests: its budget, and what is put down to chance."""
    chance = CHANCE_FEW if budget < FEW else CHANCE
    return budget + chance * sqrt(budget) + chance


def phase_of(scheduler: int, schedulers: int, worker: int, random: float) -> float:
    """Where in [0, 1) a scheduler begins at a worker: each has an equal part, and a random place in it.

    ``worker``: a number that is the same at every scheduler, so that parts are dealt out anew at each worker.
    ``random``: evenly spread in [0, 1).
    """
    # In whole numbers: a worker's number has 64 bits, of which a float would keep no fraction.
    start = worker * GOLDEN % RANGE / RANGE
    return ((scheduler + random) / schedulers + start) % 1.0


@dataclass(slots=True)
class ColdAllowance:
    """One scheduler's allowances at one cold worker, in mean requests; below 0 after one that cost more.

    ``phase``: see ``phase_of``.  ``counted_at``: up to when what was earned is counted, ms; below 0: never.
    """

    phase: float
    light: float = 0.0
    heavy: float = 0.0
    counted_at: float = -1.0

    def earn(self, now: float, per_ms: float) -> None:
        """Count what was earned since the last call; ``per_ms``: this scheduler's rate."""
        if self.counted_at >= 0.0:
            earned = (now - self.counted_at) * per_ms
            self.light += earned
            self.heavy += earned
        self.counted_at = now

    def admits(self, cost: float) -> bool:
        """Whether a request of a cost may go now; forgets what was saved up beyond one request."""
        if cost <= LIGHT:
            self.light = min(self.light, LIGHT - self.phase)
            return self.light + self.phase >= cost
        owed = (1.0 - self.phase) * cost
        self.heavy = min(self.heavy, owed)
        return self.heavy >= owed

    def spend(self, cost: float) -> None:
        """A request of a cost was sent."""
        if cost <= LIGHT:
            self.light -= cost
        else:
            self.heavy -= cost
