"""Time limits of a listener's drain after SIGTERM: its deadline, and which jobs may still start.

Pure: reads no clock and closes nothing.
"""

from __future__ import annotations

from ...interface import ClassSettings, Effect
from ...messages import Job
from . import tunables
from .request import ReceivedRequest

NEVER_MS = 1e18  # later than any time on the scheduler's clock


class Drain:
    """Whether a listener is draining, and its deadline."""

    def __init__(self) -> None:
        self.closing_connections = False  # each connection is closed after its next answer
        self.started_at = NEVER_MS  # when SIGTERM was received
        self.deadline = NEVER_MS  # when requests received a while after SIGTERM must be answered

    def begin(self, now: float, longest_deadline_ms: float) -> None:
        """Start draining; ``longest_deadline_ms`` is the longest deadline of any class."""
        self.started_at = now
        self.shorten(longest_deadline_ms)

    def shorten(self, longest_deadline_ms: float) -> bool:
        """Move the deadline forward if the longest class deadline is shorter now; whether it moved.

        A reload after SIGTERM may shorten the deadlines, and SIGKILL then follows sooner.
        """
        former = self.deadline
        self.deadline = min(former, self.started_at + self.duration_ms(longest_deadline_ms))
        return self.deadline < former

    @staticmethod
    def duration_ms(longest_deadline_ms: float) -> float:
        """Time from SIGTERM until every request must be answered."""
        return (min(longest_deadline_ms, tunables.DRAIN_MAX_DEADLINE_MS)
                + tunables.DRAIN_EXTRA_MS - tunables.DRAIN_SLACK_MS)

    @property
    def began(self) -> bool:
        """Whether SIGTERM was received."""
        return self.deadline < NEVER_MS

    def describe(self, job: Job, request: ReceivedRequest, now: float) -> str:
        """A job for the log: when its request came, in ms since SIGTERM, and the time that it has left."""
        return (f"id={job.ident} first_byte={request.first_byte_at - self.started_at:.0f}"
                f" last_byte={request.last_byte_at - self.started_at:.0f}"
                f" read={request.read_at - self.started_at:.0f} now={now - self.started_at:.0f}"
                f" left={job.received_at + job.left_ms - now:.0f} drain_left={self.deadline - now:.0f}")

    def must_answer(self, request: ReceivedRequest) -> bool:
        """Whether a request was whole so long after SIGTERM that it must be answered before SIGKILL."""
        return request.read_at > self.started_at + tunables.DRAIN_EXTRA_MS - tunables.DRAIN_SLACK_MS

    def admit(self, job: Job, request: ReceivedRequest, class_settings: ClassSettings, usual_ms: float,
              now: float) -> bool:
        """Whether there is time left for a job, which takes ``usual_ms`` as far as it is known.

        A job that must be answered before SIGKILL gets no more time than until the drain's deadline. If that is
        less than its client's, it is not admitted if it is not safe to repeat and the time left is shorter than
        such jobs usually take.
        """
        if not self.must_answer(request):
            return True
        client_left_ms = min(job.left_ms, class_settings.deadline_ms)
        drain_left_ms = self.deadline - job.received_at
        if client_left_ms <= drain_left_ms:
            return True
        job.left_ms = drain_left_ms
        # With the drain's time the Balancer would take the job for a client's retry that is late.
        job.balancer_budget_ms = max(0.0, client_left_ms - (now - job.received_at))
        return class_settings.effect == Effect.SAFE or self.deadline - now >= usual_ms
