"""The recorded results of jobs with a unique, from which a resubmission is answered without running the job again.

It must never exceed its limits: result bodies are dropped first, then the results of jobs that may run twice.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from ...messages import FinalStatus
from ..memory import MemoryBudget

RESULT_OVERHEAD_BYTES = 500  # of a result besides its body and the names of its job
Key = tuple[bytes, bytes]  # function and unique


@dataclass(slots=True)
class JobResult:
    """The recorded result of a job; ``body`` None: dropped to free memory."""

    handle: bytes
    final_status: FinalStatus
    body: bytes | None
    expires_at: float
    may_repeat: bool  # by the rules under which the job was accepted; the result may be dropped early
    charged_bytes: int = 0  # memory that is accounted for it


class ResultCache:
    """The results of jobs by function and unique, oldest first."""

    def __init__(self, max_results: int, max_bytes: int, memory: MemoryBudget) -> None:
        """``memory`` is charged with the results."""
        self._memory = memory
        self.max_results = max_results
        self.max_bytes = max_bytes
        self._results: OrderedDict[Key, JobResult] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._results)

    def get(self, key: Key) -> JobResult | None:
        """The result of a job; it may have expired."""
        return self._results.get(key)

    def put(self, key: Key, result: JobResult) -> None:
        """Record a result."""
        if key in self._results:
            self._remove(key)
        self._results[key] = result
        self._bytes += len(result.body or b"")
        result.charged_bytes = len(key[0]) + len(key[1]) + len(result.body or b"") + RESULT_OVERHEAD_BYTES
        self._memory.charge(result.charged_bytes)
        self._enforce_limits()

    def expire(self, now: float) -> None:
        """Remove the results that have expired."""
        while self._results and next(iter(self._results.values())).expires_at <= now:
            self._remove(next(iter(self._results)))

    def _enforce_limits(self) -> None:
        if self._bytes > self.max_bytes or self._memory.free < 0:
            for result in self._results.values():
                self._drop_body(result)
                if self._bytes <= self.max_bytes * 0.9 and self._memory.free >= 0:
                    break
        if len(self._results) > self.max_results or self._memory.free < 0:
            for key, result in self._results.items():
                if result.may_repeat:
                    self._remove(key)
                    break

    def _drop_body(self, result: JobResult) -> None:
        if result.body:
            self._bytes -= len(result.body)
            result.charged_bytes -= len(result.body)
            self._memory.release(len(result.body))
            result.body = None

    def _remove(self, key: Key) -> None:
        result = self._results.pop(key)
        self._bytes -= len(result.body or b"")
        self._memory.release(result.charged_bytes)
