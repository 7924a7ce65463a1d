"""The start times of workers on the scheduler's own clock, from the Unix times that discovery sends.

Pure: no clock.  The wall clock, which all machines share, may have been stepped between the time stamp of a
worker's start, the start of this scheduler and now.  Of the times that a stamp may mean, the latest one that has
passed is used: to treat a warm worker as cold costs little, to treat a cold one as warm overloads it.
"""

from __future__ import annotations

MIN_STEP_MS = 500.0  # smaller corrections of the wall clock are routine
MAX_STEPS = 4  # steps that are kept, the latest ones
MAX_AHEAD_MS = 1_000.0  # a stamp may be ahead of this scheduler's clock by this much
DISCOVERY_LAG_MS = 30_000.0  # a worker new in a list started at most this long before the previous list
MAX_KNOWN = 65_536  # workers; the one first heard of is evicted


class StartTimes:
    """The start times of all workers that discovery has listed."""

    def __init__(self) -> None:
        self._offsets = [0.0]  # of the wall clock from the own clock, in ms, oldest first
        self._answered_at: float | None = None
        self._known: dict[str, tuple[float, float]] = {}  # by name: the stamp and the time

    def record_wall_clock(self, ahead_ms: float) -> None:
        """Record by how much the wall clock is ahead of the own clock now."""
        if abs(ahead_ms - self._offsets[-1]) > MIN_STEP_MS:
            self._offsets = [*self._offsets, ahead_ms][-MAX_STEPS:]

    def record_answer(self, now: float) -> None:
        """Record an answer of discovery, against which the stamps of later answers are checked."""
        self._answered_at = now

    def to_own_clock(self, name: str, stamp: float, now: float) -> float:
        """A worker's start time; 0: long ago.  It stays the same while the stamp does."""
        if stamp <= 0.0:
            return 0.0
        known = self._known.get(name)
        if known is None or known[0] != stamp:
            known = self._known[name] = stamp, self._estimate(stamp, now)
            if len(self._known) > MAX_KNOWN:
                del self._known[next(iter(self._known))]
        return known[1]

    def _estimate(self, stamp: float, now: float) -> float:
        """The latest time that a stamp may mean; ``now`` if it cannot mean a plausible one."""
        passed = [at for step in self._offsets if (at := stamp - step) <= now + MAX_AHEAD_MS]
        if not passed or (self._answered_at is not None and max(passed) < self._answered_at - DISCOVERY_LAG_MS):
            return now
        return max(passed)
