"""The scheduler's clock: the machine's monotonic clock, offset to Unix time as it was at process start.

The wall clock may be stepped at any time, by an hour in either direction.  It is read once at the start, and
later only to determine by how much it has been stepped since.
"""

from __future__ import annotations

import time


class Clock:
    """A monotonic clock in milliseconds, equal to Unix time at process start."""

    def __init__(self) -> None:
        # Added to the monotonic clock.
        self.unix_offset_ms = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        """The current time in ms."""
        return self.unix_offset_ms + time.monotonic() * 1000.0

    def wall_clock_step_ms(self) -> float:
        """By how many ms the wall clock is ahead of this one: the sum of its steps since the start."""
        return time.time() * 1000.0 - self.now()
