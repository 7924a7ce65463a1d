"""Owns the times of a listener's drain, after SIGTERM: until when all must be answered, and what may begin yet.

It is pure: it must never read a clock, nor close anything.
"""

from __future__ import annotations

from ...interface import ClassSettings, Effect
from ...messages import Job
from . import tunables


class Drain:
    """Whether a listener is leaving, and by when it must be done."""

    def __init__(self) -> None:
        self.leaving = False  # each connection ends with its next answer
        self.told_at = 1e18  # when SIGTERM came
        self.ends_at = 1e18  # when all must be answered that was asked a while after it

    def begin(self, now: float, longest_ms: float) -> None:
        """SIGTERM has come; ``longest_ms``: the longest deadline of a class."""
        self.told_at = now
        self.hasten(longest_ms)

    def hasten(self, longest_ms: float) -> None:
        """The longest deadline is this now: new settings may come after SIGTERM, and bring SIGKILL nearer."""
        self.ends_at = min(self.ends_at, self.told_at + self.lasts_ms(longest_ms))

    @staticmethod
    def lasts_ms(longest_ms: float) -> float:
        """From SIGTERM until all must be answered; ``longest_ms``: the longest deadline of a class."""
        return min(longest_ms, tunables.DRAIN_MAX_DEADLINE_MS) + tunables.DRAIN_EXTRA_MS - tunables.DRAIN_SLACK_MS

    def may_begin(self, job: Job, cls: ClassSettings) -> bool:
        """Whether there is time for a job; of one that came a while after SIGTERM, bound its time."""
        if job.received_at > self.told_at + tunables.DRAIN_EXTRA_MS - tunables.DRAIN_SLACK_MS:
            job.left_ms = min(job.left_ms, self.ends_at - job.received_at)
            return cls.effect == Effect.SAFE or job.left_ms >= tunables.DRAIN_MIN_LEFT_AIMS * cls.aim_ms
        return True
