"""How fast background jobs are offered to the core again after it has refused some of them.

Pure: opens nothing, reads no clock and uses no randomness; times are passed in, in milliseconds.  It must never
hold a job.

The core refuses a job that would wait too long for a worker.  A foreground job is then answered, but an accepted
background job stays queued, and offering all of them again at once would cost the core as many decisions as jobs
are queued.  So each class has a window as in TCP's congestion control: a refusal shrinks it to one job and starts
a pause, which grows with each further refusal; a window that is offered without a refusal doubles; a job of the
class that ends makes room for another window at once.

A backlog of background jobs would fill the workers' queues up to the limit at which requests are refused whose
clients wait.  So background jobs of all classes stand back for ``YIELD_MS`` when such a request is refused because
the workers are busy, and then have ``TURN_MS`` in which they do not; and for ``CONTENTION_MS`` after the refusal
they are offered to idle workers only, but for one a class in ``MAX_IDLE_WAIT_MS``, so that none starves.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_PAUSE_MS = 50.0
MAX_PAUSE_MS = 1000.0
CONTENTION_MS = 10_000.0
MAX_IDLE_WAIT_MS = 1000.0
YIELD_MS = 800.0
TURN_MS = 200.0
MAX_WINDOW = 256  # jobs; a class that was offered so many without a refusal has no limit any more


@dataclass(slots=True)
class _ClassBackoff:
    """The window of one class after a refusal."""

    window: int = 1  # jobs that may be offered before the next pause
    left: int = 0  # of the window
    paused_until: float = 0.0
    pause_ms: float = MIN_PAUSE_MS  # of the next refusal
    refused: bool = False  # whether a job of the current window was refused


class BackgroundBackoff:
    """The windows of all classes."""

    def __init__(self) -> None:
        self._by_class: dict[int, _ClassBackoff] = {}
        self._last_offer_at: dict[int, float] = {}  # by class
        self._yield_until = float("-inf")
        self._next_yield_at = float("-inf")
        self._contended_until = float("-inf")

    def yield_to_foreground(self, refused_at: float) -> None:
        """The last request that a client waited for was refused at this time because the workers are busy."""
        self._contended_until = refused_at + CONTENTION_MS
        if refused_at >= self._next_yield_at:
            self._yield_until = refused_at + YIELD_MS
            self._next_yield_at = self._yield_until + TURN_MS

    def allowance(self, class_index: int, now: float, most: int, idle: int) -> int:
        """How many background jobs of a class may be offered now, at most ``most``.

        ``idle``: how many workers have no job of the class.
        """
        if now < self._yield_until:
            return 0
        if now < self._contended_until:
            waited_ms = now - self._last_offer_at.get(class_index, float("-inf"))
            most = min(most, max(idle, int(waited_ms >= MAX_IDLE_WAIT_MS)))
        backoff = self._by_class.get(class_index)
        if backoff is None:
            return most
        if now < backoff.paused_until:
            return 0
        if not backoff.left:
            self._open_window(class_index, backoff)
        return min(most, backoff.left) if class_index in self._by_class else most

    def _open_window(self, class_index: int, backoff: _ClassBackoff) -> None:
        """Start the next window after a pause."""
        if not backoff.refused:
            backoff.window *= 2
            backoff.pause_ms = MIN_PAUSE_MS
        if backoff.window > MAX_WINDOW:
            del self._by_class[class_index]
        backoff.left = backoff.window
        backoff.refused = False

    def record_offer(self, class_index: int, now: float) -> None:
        """A background job of a class was offered to the core."""
        self._last_offer_at[class_index] = now
        backoff = self._by_class.get(class_index)
        if backoff is not None:
            backoff.left -= 1
            if backoff.left <= 0:
                backoff.left = 0
                backoff.paused_until = now + MIN_PAUSE_MS

    def record_refusal(self, class_index: int, now: float, jitter: float) -> None:
        """The core refused a background job; ``jitter``: from 0 to 1, so that schedulers do not retry in step."""
        backoff = self._by_class.setdefault(class_index, _ClassBackoff())
        if backoff.refused:
            return  # one of the same window: the pause has begun
        backoff.refused = True
        backoff.window = 1
        backoff.left = 0
        backoff.paused_until = now + backoff.pause_ms * (0.5 + jitter)
        backoff.pause_ms = min(MAX_PAUSE_MS, backoff.pause_ms * 2.0)

    def record_end(self, class_index: int) -> None:
        """A job of a class ended at its worker, which has room for another one."""
        backoff = self._by_class.get(class_index)
        if backoff is not None:
            backoff.paused_until = 0.0
            backoff.pause_ms = MIN_PAUSE_MS
            backoff.left = backoff.window
            backoff.refused = False

    def next_release(self, now: float) -> float:
        """When the next pause ends; infinite if there is none."""
        ends = [self._yield_until, *(b.paused_until for b in self._by_class.values())]
        return min((end for end in ends if end > now), default=float("inf"))
