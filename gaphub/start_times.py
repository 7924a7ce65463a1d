"""When workers started, on the scheduler's own clock, from what discovery tells in Unix time.

Pure: no clock.  All machines read one wall clock, and that may have been stepped between the stamp of a start, the
start of this scheduler and now.  Of the moments that a stamp may mean the latest that has passed is taken, as a
worker held for cold that is warm costs little, and one held for warm that is cold is pushed over.
"""

from __future__ import annotations

STEP_MS = 500.0  # by less the clock is corrected all the time
STEPS_MOST = 4  # the latest steps that are remembered
FUTURE_MS = 1_000.0  # a stamp may be ahead of our clock by so much
LAG_MS = 30_000.0  # by so much discovery may be behind: who joins did not start earlier before the list before
KNOWN_MOST = 65_536  # workers; the one heard of first is forgotten


class StartTimes:
    """The starts of all workers that discovery has named."""

    def __init__(self) -> None:
        self._steps = [0.0]  # what the wall clock was ahead of ours, one after another
        self._heard_at: float | None = None
        self._known: dict[str, tuple[float, float]] = {}  # by name: the start as it was told, and on our clock

    def record_wall_clock(self, ahead_ms: float) -> None:
        """The wall clock is ahead of ours by so much now."""
        if abs(ahead_ms - self._steps[-1]) > STEP_MS:
            self._steps = [*self._steps, ahead_ms][-STEPS_MOST:]

    def record_answer(self, now: float) -> None:
        """Discovery has answered: what it names from now on was not there, or not so, before its lag."""
        self._heard_at = now

    def to_own_clock(self, name: str, told: float, now: float) -> float:
        """A worker's start; 0: long ago.  The same for as long as the same is told."""
        if told <= 0.0:
            return 0.0
        known = self._known.get(name)
        if known is None or known[0] != told:
            known = self._known[name] = told, self._estimate(told, now)
            if len(self._known) > KNOWN_MOST:
                del self._known[next(iter(self._known))]
        return known[1]

    def _estimate(self, told: float, now: float) -> float:
        """The latest moment that a stamp may mean; now, where it can mean none that is to be believed."""
        passed = [at for step in self._steps if (at := told - step) <= now + FUTURE_MS]
        if not passed or (self._heard_at is not None and max(passed) < self._heard_at - LAG_MS):
            return now
        return max(passed)
