"""The recorded results of jobs with a unique, from which a resubmission is answered without running the job again.

It must never exceed its limits: result bodies are dropped first, then the results of jobs that may run twice.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from ...messages import FinalStatus

Key = tuple[bytes, bytes]  # function and unique


@dataclass(slots=True)
class JobResult:
    """The recorded result of a job; ``body`` None: dropped to free memory."""

    handle: bytes
    final_status: FinalStatus
    body: bytes | None
    expires_at: float


class ResultCache:
    """The results of jobs by function and unique, oldest first."""

    def __init__(self, max_results: int, max_bytes: int, may_repeat: Callable[[bytes], bool]) -> None:
        """``may_repeat``: whether jobs of a function may run twice, so that their results may be dropped early."""
        self.max_results = max_results
        self.max_bytes = max_bytes
        self.may_repeat = may_repeat
        self._results: OrderedDict[Key, JobResult] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._results)

    def get(self, key: Key) -> JobResult | None:
        """The result of a job; it may have expired."""
        return self._results.get(key)

    def put(self, key: Key, result: JobResult) -> None:
        """Record a result."""
        self._results[key] = result
        self._bytes += len(result.body or b"")
        self._enforce_limits()

    def expire(self, now: float) -> None:
        """Remove the results that have expired."""
        while self._results and next(iter(self._results.values())).expires_at <= now:
            self._remove(next(iter(self._results)))

    def _enforce_limits(self) -> None:
        if self._bytes > self.max_bytes:
            for result in self._results.values():
                if result.body:
                    self._bytes -= len(result.body)
                    result.body = None
                    if self._bytes <= self.max_bytes * 0.9:
                        break
        if len(self._results) > self.max_results:
            for key in self._results:
                if self.may_repeat(key[0]):
                    self._remove(key)
                    break

    def _remove(self, key: Key) -> None:
        self._bytes -= len(self._results.pop(key).body or b"")
