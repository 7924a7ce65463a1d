"""Slow start: the requests that one scheduler may have open at a cold worker, a share that grows with answers.

Pure: no I/O, no clock, no randomness.  The rule admits workers and never picks one, and it keeps the schedulers
of a fleet together within what a cold worker can take.

A cold worker takes ``load_limit`` requests at once from all schedulers together, of which there are ``senders``.
Each has a fair share of ``load_limit / senders``.  A scheduler that has seen no answer of the worker since it
started has a window of an eighth of its share and adds an eighth for each good answer, so that, as in TCP's slow
start (RFC 5681, section 3.1), the window doubles with each round of answers and stops at the share.  Errors halve
the growth.  Summed over the fleet, the windows never exceed ``load_limit``.

A window below one request is used in turns.  Time is divided into slots of ``slot_ms``.  Where the share is below
one request, the schedulers take the slots in turn by their numbers, ``T = ceil(senders / load_limit)`` slots a
round, so that a slot belongs to at most ``ceil(senders / T)`` of them, which is at most ``ceil(load_limit)``.
A scheduler whose window is ``1 / r`` of its share uses every ``r``-th of its own slots.  It sends one request in
a slot of its own if it has none open.  Where attempts last at most a slot, only the owners of two slots have one
open at once: at most ``2 * ceil(load_limit)``.  Where the share is a request or more, a window below one has at
most one request open and any other at most its size, so the fleet has at most ``load_limit`` open.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

GROWTH_STEPS = 8  # the window starts at 1/8 of the share, and grows by as much with each good answer


@dataclass
class ColdShare:
    """One scheduler's share of one cold worker.

    ``me`` is this scheduler's number, 0 to ``senders - 1``; ``load_limit`` is above 0; ``slot_ms`` is above 0 and
    best no less than the usual response time.  ``growth`` counts good answers, less what errors took away.
    """

    me: int
    senders: int
    load_limit: float
    slot_ms: float
    growth: float = 0.0

    def __post_init__(self) -> None:
        """Reject values that are out of range."""
        if self.senders < 1 or not 0 <= self.me < self.senders:
            raise ValueError("me: must be from 0 to senders - 1")
        if not self.load_limit > 0 or not self.slot_ms > 0:
            raise ValueError("load_limit and slot_ms: must be above 0")

    @property
    def share(self) -> float:
        """The fair share of this scheduler, in requests at once."""
        return self.load_limit / self.senders

    @property
    def window(self) -> float:
        """The requests that this scheduler may have open now; never more than its share."""
        return min(self.share, self.share * (1.0 + self.growth) / GROWTH_STEPS)

    def record_answer(self, good: bool) -> None:
        """Record an answer of the worker: a good one adds an eighth, an error halves the growth."""
        if good:
            self.growth = min(float(GROWTH_STEPS), self.growth + 1.0)
        else:
            self.growth /= 2.0

    def admits(self, out: int, now_ms: float) -> bool:
        """Whether one more request may be sent now, with ``out`` already open at the worker."""
        window = self.window
        if window >= 1.0:
            return out + 1 <= math.floor(window)
        if out > 0:
            return False
        turns = math.ceil(1.0 / self.share) if self.share < 1.0 else 1
        rounds = math.ceil(self.share / window - 1e-9)
        slot = int(now_ms // self.slot_ms)
        return slot % turns == self.me % turns and slot // turns % rounds == self.me // turns % rounds
