"""The scheduler's clock: spans by the machine's monotonic clock, told in milliseconds of Unix time at its start.

The wall clock may be stepped at any time, by an hour either way.  It is read once at the start, and after that
only to learn by how much it has been stepped since.
"""

from __future__ import annotations

import time


class Clock:
    """Milliseconds that never go back and agree with Unix time as it was at the start."""

    def __init__(self) -> None:
        # What is added to the monotonic clock.
        self.unix_offset_ms = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        """The time now."""
        return self.unix_offset_ms + time.monotonic() * 1000.0

    def wall_clock_step_ms(self) -> float:
        """By how much the wall clock is ahead of this one: what it was stepped since the start; ms."""
        return time.time() * 1000.0 - self.now()
