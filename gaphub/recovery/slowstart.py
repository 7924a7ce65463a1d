"""Owns what one scheduler may have out at a cold worker while it comes back: a share that grows with answers.

Pure: no I/O, no clock, no randomness.  It never picks the worker: the policy does, among those that this rule
admits.  It never lets the schedulers of a fleet together put more on a cold worker than it bears.

A cold worker bears ``bears`` requests at once from all schedulers together; ``senders`` schedulers may send to
it.  Each one's fair part is ``bears / senders``.  A scheduler that has seen no answer from that worker in this
life starts at an eighth of its part and adds an eighth for each good answer, so that, as in TCP's slow start
(RFC 5681, section 3.1), its window doubles with each round of answers and stops at its part.  Errors halve
what it has grown.  Summed over the fleet, the windows never exceed ``bears``.

A window under one request is a turn.  Time is cut in slots of ``slot_ms``; where the part is under one
request, the schedulers take the slots in turn, ``T = ceil(senders / bears)`` a round, by their numbers, so that
a slot belongs to at most ``ceil(senders / T)`` of them, which is at most ``ceil(bears)``; one that has grown to
a window of a ``1 / r`` of its part uses every ``r``-th of its own slots.  A scheduler sends one request in a slot
of its own if it has none out.  Where attempts last at most a slot, at most the owners of two slots have one out
at once: at most ``2 * ceil(bears)``.  Where the part is a request or more, no window under one has more than one
out and none of one or more has more than its window, so the fleet has at most ``bears`` out.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

START_PART = 8  # a scheduler that knows nothing starts at 1/8 of its part, and grows by as much an answer


@dataclass
class ColdShare:
    """One scheduler's share of one cold worker.

    ``me`` is this scheduler's number, 0 to ``senders - 1``; ``bears`` above 0; ``slot_ms`` above 0, best the
    class's usual time or more.  ``grown`` counts the good answers seen, less what errors took away.
    """

    me: int
    senders: int
    bears: float
    slot_ms: float
    grown: float = 0.0

    def __post_init__(self) -> None:
        """Refuse a share that cannot be."""
        if self.senders < 1 or not 0 <= self.me < self.senders:
            raise ValueError("me: must be from 0 to senders - 1")
        if not self.bears > 0 or not self.slot_ms > 0:
            raise ValueError("bears and slot_ms: must be above 0")

    @property
    def part(self) -> float:
        """The fair part of this scheduler, in requests at once."""
        return self.bears / self.senders

    @property
    def window(self) -> float:
        """What this scheduler may have out now, in requests at once; never above its part."""
        return min(self.part, self.part * (1.0 + self.grown) / START_PART)

    def answered(self, good: bool) -> None:
        """An answer from the worker came: a good one grows the window by an eighth, an error halves the growth."""
        if good:
            self.grown = min(float(START_PART), self.grown + 1.0)
        else:
            self.grown /= 2.0

    def admits(self, out: int, now_ms: float) -> bool:
        """Whether one more request may go now, with ``out`` of this scheduler's already at the worker."""
        window = self.window
        if window >= 1.0:
            return out + 1 <= math.floor(window)
        if out > 0:
            return False
        turns = math.ceil(1.0 / self.part) if self.part < 1.0 else 1
        rounds = math.ceil(self.part / window - 1e-9)
        slot = int(now_ms // self.slot_ms)
        return slot % turns == self.me % turns and slot // turns % rounds == self.me // turns % rounds
