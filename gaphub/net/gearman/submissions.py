"""The jobs that the Gearman front has accepted and not answered yet, and the memory that they take.

It must never decide the outcome of a job.
"""

from __future__ import annotations

from ...gearman.queues import JOB_OVERHEAD_BYTES
from ..memory import MemoryBudget
from .results import Key
from .session import Submission

RESERVED_SHARE = 0.25  # of the memory, for clients that hold little
SMALL_CLIENT_SHARE = 0.25  # of the reserved part, up to which a client holds little


class SubmissionTable:
    """The accepted jobs, by handle and, where they have one, by function and unique."""

    def __init__(self, memory: MemoryBudget) -> None:
        """``memory`` is charged with each job until it is removed."""
        self.by_handle: dict[bytes, Submission] = {}
        self.by_unique: dict[Key, Submission] = {}
        self._keys_of_unique: dict[bytes, set[Key]] = {}
        self._bytes_by_client: dict[int, int] = {}  # by the number of its session
        self._memory = memory
        self._reserve_used = 0  # bytes of the part that is for clients that hold little

    def __len__(self) -> int:
        return len(self.by_handle)

    def has_room(self, client: int, size: int) -> bool:
        """Whether there is memory for a job; ``size``: of its names and workload.

        A part of the memory is for clients that hold little, whatever else is held, so that one that submits
        without end does not keep the others out.
        """
        wanted = size + JOB_OVERHEAD_BYTES
        if self._memory.free >= wanted + self._reserve:
            return True
        holds_little = self._bytes_by_client.get(client, 0) + wanted <= self._reserve * SMALL_CLIENT_SHARE
        return holds_little and self._reserve_used + wanted <= self._reserve

    @property
    def _reserve(self) -> int:
        return int(self._memory.capacity * RESERVED_SHARE)

    def add(self, submission: Submission, client: int, size: int) -> None:
        """Add a job; ``client``: the number of its client's session; ``size``: of its names and workload."""
        submission.charged_bytes = size + JOB_OVERHEAD_BYTES
        if self._memory.free < submission.charged_bytes + self._reserve:
            submission.reserve_bytes = submission.charged_bytes
            self._reserve_used += submission.reserve_bytes
        submission.client = client
        self._bytes_by_client[client] = self._bytes_by_client.get(client, 0) + submission.charged_bytes
        self._memory.charge(submission.charged_bytes)
        self.by_handle[submission.handle] = submission
        if submission.unique:
            self.by_unique[submission.key] = submission
            self._keys_of_unique.setdefault(submission.unique, set()).add(submission.key)

    def remove(self, submission: Submission) -> None:
        """Remove a job; nothing happens if it was removed before."""
        if self.by_handle.pop(submission.handle, None) is None:
            return
        self._memory.release(submission.charged_bytes)
        self._reserve_used -= submission.reserve_bytes
        self._bytes_by_client[submission.client] -= submission.charged_bytes
        if not self._bytes_by_client[submission.client]:
            del self._bytes_by_client[submission.client]
        if self.by_unique.get(submission.key) is submission:
            del self.by_unique[submission.key]
            keys = self._keys_of_unique[submission.unique]
            keys.discard(submission.key)
            if not keys:
                del self._keys_of_unique[submission.unique]

    def with_unique(self, unique: bytes) -> Submission | None:
        """Some job with a unique, whatever its function."""
        keys = self._keys_of_unique.get(unique)
        return self.by_unique[next(iter(keys))] if keys else None

