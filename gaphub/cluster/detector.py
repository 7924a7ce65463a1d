"""The phi accrual failure detector (Hayashibara, Defago, Yared and Katayama 2004) with a floor on the deviation.

It derives how suspect a silence is from the intervals between earlier heartbeats.  Pure: times are passed in, in
milliseconds.  The result is shown in the status only; no lease depends on it.
"""

from __future__ import annotations

import math
from collections import deque

MAX_SAMPLES = 50
MAX_PHI = 99.0


class FailureDetector:
    """The intervals between the heartbeats of one peer."""

    def __init__(self, expected_interval_ms: float) -> None:
        self.expected_interval_ms = expected_interval_ms
        self.last_heartbeat_at: float | None = None
        self.intervals_ms: deque[float] = deque([expected_interval_ms], MAX_SAMPLES)

    def record_heartbeat(self, now: float) -> None:
        """Record a message of the peer."""
        if self.last_heartbeat_at is not None and now >= self.last_heartbeat_at:
            self.intervals_ms.append(min(now - self.last_heartbeat_at, 10 * self.expected_interval_ms))
        self.last_heartbeat_at = now

    def phi(self, now: float) -> float:
        """Return the suspicion level, 0 to 99; a live peer is silent for this long with probability 10**-phi."""
        if self.last_heartbeat_at is None:
            return MAX_PHI
        mean_ms = sum(self.intervals_ms) / len(self.intervals_ms)
        deviation_ms = math.sqrt(sum((interval_ms - mean_ms) ** 2 for interval_ms in self.intervals_ms)
                                 / len(self.intervals_ms))
        deviation_ms = max(deviation_ms, self.expected_interval_ms * 0.25)
        tail_probability = 0.5 * math.erfc((now - self.last_heartbeat_at - mean_ms)
                                           / (deviation_ms * math.sqrt(2.0)))
        return min(MAX_PHI, -math.log10(tail_probability)) if tail_probability > 0 else MAX_PHI
