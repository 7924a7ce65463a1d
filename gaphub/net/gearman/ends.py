"""Owns the record of how jobs with a unique ended, so that one submitted again is told and not run again.

It must never grow past its bounds: results go first, then the ends of jobs that may run twice.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from ...messages import FinalStatus

Key = tuple[bytes, bytes]  # function and unique


@dataclass(slots=True)
class End:
    """The recorded end of a job with a unique; ``body`` None: the result is kept no longer."""

    handle: bytes
    ending: FinalStatus
    body: bytes | None
    expires: float


class Ends:
    """The ends of jobs by function and unique, oldest first."""

    def __init__(self, most: int, bytes_most: int, may_repeat: Callable[[bytes], bool]) -> None:
        """``may_repeat``: whether a function's jobs may run twice, so that their ends may be forgotten early."""
        self.most = most
        self.bytes_most = bytes_most
        self.may_repeat = may_repeat
        self._ends: OrderedDict[Key, End] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._ends)

    def get(self, key: Key) -> End | None:
        """A job's end; it may have expired."""
        return self._ends.get(key)

    def put(self, key: Key, end: End) -> None:
        """Record an end."""
        self._ends[key] = end
        self._bytes += len(end.body or b"")
        self._trim()

    def expire(self, now: float) -> None:
        """Forget what has expired."""
        while self._ends and next(iter(self._ends.values())).expires <= now:
            self._forget(next(iter(self._ends)))

    def _trim(self) -> None:
        if self._bytes > self.bytes_most:
            for end in self._ends.values():
                if end.body:
                    self._bytes -= len(end.body)
                    end.body = None
                    if self._bytes <= self.bytes_most * 0.9:
                        break
        if len(self._ends) > self.most:
            for key in self._ends:
                if self.may_repeat(key[0]):
                    self._forget(key)
                    break

    def _forget(self, key: Key) -> None:
        self._bytes -= len(self._ends.pop(key).body or b"")
