"""Queues of jobs that wait until the core can take them: admission, order and expiry.

Opens no sockets and files, reads no clock and uses no randomness; times are passed in, in milliseconds.  A job
must not stay here once it has been offered to the core.  A foreground job that the Balancer rejects is answered at
once; a background job, whose client will hear nothing more, is put back with its place and its expiry.

Each class has two lanes, one for jobs that a client waits for and one for background jobs, so that the latter can
be held back alone.  The order below is over both of them.

Order within a class: by priority, with ageing.  Every ``AGEING_INTERVAL``-th job that is dequeued is the oldest
one of the class, whatever its priority, so that a steady stream of high-priority jobs cannot starve the others.
Within a priority, clients are served round robin and each client's jobs first in, first out, so that a client
that submits many jobs delays another client's jobs by at most one job per round.

Bounds: the oldest job of a class, whatever its priority, is dequeued within ``AGEING_INTERVAL`` dequeues of that
class.  If all jobs have the same priority, k clients have jobs queued and j jobs of the same client are ahead, a
job is dequeued within ``k * (j + 1)`` dequeues.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, replace
from functools import partial
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Any

PRIORITY_COUNT = 3  # 0: high, 1: normal, 2: low
AGEING_INTERVAL = 8  # one in so many dequeued jobs is the oldest of its class
# Memory that a queued job takes besides its workload and names; measured by ``gaphub lab gearman``.
JOB_OVERHEAD_BYTES = 1400
LIMIT_OVERHEAD_BYTES = 300  # of a function's limits besides its name


@dataclass(frozen=True)
class QueueLimits:
    """Limits on the queued jobs, by number and by size; with a limit of 0, none may be queued."""

    jobs: int = 200_000
    jobs_per_function: int = 200_000
    jobs_per_client: int = 100_000
    total_bytes: int = 300_000_000


@dataclass(slots=True, eq=False)
class QueuedJob:
    """A queued job.  ``item`` is the caller's own record of it."""

    item: Any
    class_index: int
    function: bytes
    client: Hashable
    priority: int
    size: int
    queued_at: float
    expires_at: float  # when its client's deadline, or the lifetime of a background job, ends
    background: bool = False  # no client waits for it
    serial: int = 0
    removed: bool = False  # by ``remove``, dequeue or expiry; entries that still refer to it are skipped

    def __lt__(self, other: QueuedJob) -> bool:
        """Whether it was queued before another job."""
        return (self.queued_at, self.serial) < (other.queued_at, other.serial)


class _PriorityLevel:
    """The jobs of one lane and priority: a queue per client, in round-robin order."""

    __slots__ = ("priority", "background", "by_client", "turns", "_new_turn")

    def __init__(self, priority: int, background: bool, new_turn: Callable[[], int]) -> None:
        """``new_turn`` returns a larger number at each call."""
        self.priority = priority
        self.background = background
        self.by_client: OrderedDict[Hashable, deque[QueuedJob]] = OrderedDict()
        self.turns: dict[Hashable, int] = {}  # of each client; the lane with the smallest one is served first
        self._new_turn = new_turn

    def put(self, job: QueuedJob) -> None:
        if job.client not in self.by_client:
            self.by_client[job.client] = deque()
            self.turns[job.client] = self._new_turn()
        self.by_client[job.client].append(job)

    def put_first(self, job: QueuedJob) -> None:
        """Give a job that was taken its place back, before all others."""
        self.by_client.setdefault(job.client, deque()).appendleft(job)
        self.by_client.move_to_end(job.client, last=False)
        self.turns[job.client] = -self._new_turn()

    def has_left(self, job: QueuedJob) -> bool:
        """Whether a job was removed or moved to another priority or lane."""
        return job.removed or job.priority != self.priority or job.background != self.background

    def next_turn(self) -> int:
        """The turn of the client whose job ``take_next`` will return; there must be one."""
        while True:
            client, jobs = next(iter(self.by_client.items()))
            while jobs and self.has_left(jobs[0]):
                jobs.popleft()
            if jobs:
                return self.turns[client]
            self.remove_client(client)

    def take_next(self) -> QueuedJob:
        """The next job in round-robin order; there must be one.  Its client goes to the end of the order."""
        self.next_turn()
        client, jobs = next(iter(self.by_client.items()))
        job = jobs.popleft()
        if jobs:
            self.by_client.move_to_end(client)
            self.turns[client] = self._new_turn()
        else:
            self.remove_client(client)
        return job

    def remove_client(self, client: Hashable) -> None:
        """Remove a client's queue."""
        del self.by_client[client], self.turns[client]

    def compact(self) -> None:
        """Drop the entries of jobs that have left."""
        for client in list(self.by_client):
            jobs = deque(j for j in self.by_client[client] if not self.has_left(j))
            if jobs:
                self.by_client[client] = jobs
            else:
                self.remove_client(client)


class _Lane:
    """The queued jobs of one class that a client waits for, or its background jobs."""

    def __init__(self, background: bool, new_turn: Callable[[], int]) -> None:
        self.levels = [_PriorityLevel(p, background, new_turn) for p in range(PRIORITY_COUNT)]
        self.counts = [0] * PRIORITY_COUNT
        self.by_age: list[QueuedJob] = []  # heap

    def oldest(self) -> QueuedJob | None:
        """The job that was queued first; None if there is none."""
        while self.by_age and self.levels[self.by_age[0].priority].has_left(self.by_age[0]):
            heappop(self.by_age)
        return self.by_age[0] if self.by_age else None

    def put(self, job: QueuedJob, first: bool = False) -> None:
        """Add a job, at the end of its client's queue or before all others."""
        level = self.levels[job.priority]
        if first:
            level.put_first(job)
        else:
            level.put(job)
        self.counts[job.priority] += 1
        heappush(self.by_age, job)

    def raise_priority(self, job: QueuedJob, priority: int) -> None:
        """Move a job to the level of a higher priority."""
        self.counts[job.priority] -= 1
        job.priority = priority
        self.counts[job.priority] += 1
        self.levels[job.priority].put(job)

    def compact(self) -> None:
        """Drop entries of jobs that have left, once they outnumber the others."""
        if len(self.by_age) > 2 * sum(self.counts) + 64:
            self.by_age = [job for job in self.by_age if not self.levels[job.priority].has_left(job)]
            heapify(self.by_age)
            for level in self.levels:
                level.compact()


class Queues:
    """The queued jobs of one scheduler."""

    def __init__(self, limits: QueueLimits) -> None:
        self.limits = limits
        self.bytes = 0
        self.count = 0
        self.limited_bytes = 0  # memory of the limits on single functions
        self.refused = 0
        self._last_serial = 0
        self._turns = count(1)
        self._classes: dict[int, _Lane] = {}  # jobs that a client waits for
        self._background: dict[int, _Lane] = {}
        self._dequeued: Counter[int] = Counter()  # by class
        self._counts_by_function: dict[bytes, list[int]] = {}
        self._counts_by_client: dict[Hashable, int] = {}
        self._function_limits: dict[bytes, list[int]] = {}  # ``maxqueue``: by priority; 0: no limit
        self._expiry_heap: list[tuple[float, int, QueuedJob]] = []

    # -- admission --

    def set_function_limits(self, function: bytes, limits: list[int]) -> None:
        """Set ``maxqueue``: one limit for all priorities or one for each; an empty list removes the limits."""
        if self._function_limits.pop(function, None) is not None:
            self.limited_bytes -= len(function) + LIMIT_OVERHEAD_BYTES
        if limits:
            self.limited_bytes += len(function) + LIMIT_OVERHEAD_BYTES
            self._function_limits[function] = (
                limits * PRIORITY_COUNT if len(limits) == 1 else [*limits, 0, 0])[:PRIORITY_COUNT]

    def refusal_reason(self, function: bytes, client: Hashable, priority: int, size: int,
                       dispatched: int = 0) -> str:
        """The error code with which a job is refused; empty: it may be queued.

        ``dispatched``: jobs of that function and priority that were dequeued and that no worker has started;
        ``maxqueue`` counts them as well.
        """
        counts = self._counts_by_function.get(function, [0] * PRIORITY_COUNT)
        limit = self._function_limits.get(function, [0] * PRIORITY_COUNT)[priority]
        if limit and counts[priority] + dispatched >= limit:
            return "queue_full"
        if sum(counts) >= self.limits.jobs_per_function:
            return "function_queue_full"
        if self._counts_by_client.get(client, 0) >= self.limits.jobs_per_client:
            return "client_queue_full"
        if self.count >= self.limits.jobs or self.bytes + size + JOB_OVERHEAD_BYTES > self.limits.total_bytes:
            return "queues_full"
        return ""

    def put(self, item: Any, class_index: int, function: bytes, client: Hashable, priority: int, size: int,
            now: float, expires_at: float, background: bool = False) -> QueuedJob | str:
        """Queue a job; returns the error code if there is no room for it."""
        reason = self.refusal_reason(function, client, priority, size)
        if reason:
            self.refused += 1
            return reason
        self._last_serial += 1
        job = QueuedJob(item, class_index, function, client, priority, size + JOB_OVERHEAD_BYTES, now, expires_at,
                        background, self._last_serial)
        self._insert(job)
        return job

    def put_back(self, job: QueuedJob, expires_at: float) -> QueuedJob:
        """Queue a dequeued job again, before all others, as a background job that is as old as it was.

        No limit applies: it was admitted before.
        """
        self._last_serial += 1
        again = replace(job, expires_at=expires_at, background=True, serial=self._last_serial, removed=False)
        self._insert(again, first=True)
        return again

    def _insert(self, job: QueuedJob, first: bool = False) -> None:
        self._lane_of(job).put(job, first)
        heappush(self._expiry_heap, (job.expires_at, job.serial, job))
        self._counts_by_function.setdefault(job.function, [0] * PRIORITY_COUNT)[job.priority] += 1
        self._counts_by_client[job.client] = self._counts_by_client.get(job.client, 0) + 1
        self.count += 1
        self.bytes += job.size

    def _lane_of(self, job: QueuedJob) -> _Lane:
        """The lane of a job, which is made at its first use."""
        lanes = self._background if job.background else self._classes
        lane = lanes.get(job.class_index)
        if lane is None:
            lane = lanes[job.class_index] = _Lane(job.background, partial(next, self._turns))
        return lane

    # -- removal --

    def remove(self, job: QueuedJob) -> bool:
        """Remove a job; False if it is no longer queued."""
        if job.removed:
            return False
        job.removed = True
        self._lane_of(job).counts[job.priority] -= 1
        counts = self._counts_by_function[job.function]
        counts[job.priority] -= 1
        if not any(counts):
            del self._counts_by_function[job.function]
        self._counts_by_client[job.client] -= 1
        if not self._counts_by_client[job.client]:
            del self._counts_by_client[job.client]
        self.count -= 1
        self.bytes -= job.size
        self._compact()
        return True

    def dequeue(self, class_index: int, background: bool = True) -> QueuedJob | None:
        """Remove and return the next job of a class; None if there is none.

        ``background``: whether it may be a background job.
        """
        lanes = (self._classes.get(class_index), self._background.get(class_index) if background else None)
        used = [lane for lane in lanes if lane is not None and any(lane.counts)]
        if not used:
            return None
        self._dequeued[class_index] += 1
        job = _oldest_of(used) if self._dequeued[class_index] % AGEING_INTERVAL == 0 else _next_of(used)
        self.remove(job)
        return job

    def clear(self) -> Iterator[QueuedJob]:
        """Remove and yield all jobs."""
        for _, _, job in list(self._expiry_heap):
            if self.remove(job):
                yield job

    def pop_expired(self, now: float) -> Iterator[QueuedJob]:
        """Remove and yield the jobs that have expired."""
        while self._expiry_heap and (self._expiry_heap[0][2].removed or self._expiry_heap[0][0] <= now):
            job = heappop(self._expiry_heap)[2]
            if job.expires_at <= now and self.remove(job):
                yield job

    def next_expiry(self) -> float:
        """The earliest time at which ``pop_expired`` may yield a job."""
        return self._expiry_heap[0][0] if self._expiry_heap else 1e18

    def upgrade(self, job: QueuedJob, priority: int, expires_at: float, foreground: bool = False) -> None:
        """Raise a job's priority or expiry to that of a client that submitted it again; never lowers them.

        ``foreground``: that client waits for the job.
        """
        if job.removed:
            return
        if expires_at > job.expires_at:
            job.expires_at = expires_at
            heappush(self._expiry_heap, (expires_at, job.serial, job))  # the earlier entry is skipped on expiry
        if priority < job.priority:
            counts = self._counts_by_function[job.function]
            counts[job.priority] -= 1
            counts[priority] += 1
            self._lane_of(job).raise_priority(job, priority)
        if job.background and foreground:
            self._lane_of(job).counts[job.priority] -= 1
            job.background = False
            self._lane_of(job).put(job)

    def _compact(self) -> None:
        """Drop entries of removed jobs once they outnumber the queued ones, to keep memory use bounded."""
        if len(self._expiry_heap) > 2 * self.count + 64:
            self._expiry_heap = [e for e in self._expiry_heap if not e[2].removed]
            heapify(self._expiry_heap)
        for lane in self._lanes():
            lane.compact()

    # -- statistics --

    def counts_by_priority(self, function: bytes) -> list[int]:
        """The numbers of queued jobs of a function, by priority."""
        return list(self._counts_by_function.get(function, [0] * PRIORITY_COUNT))

    def functions(self) -> list[bytes]:
        """The functions that have queued jobs."""
        return list(self._counts_by_function)

    def count_of_class(self, class_index: int) -> int:
        """The number of queued jobs of a class."""
        lanes = (self._classes.get(class_index), self._background.get(class_index))
        return sum(sum(lane.counts) for lane in lanes if lane is not None)

    def oldest_ms(self, now: float) -> float:
        """How long the oldest job has been queued; 0 if there is none."""
        oldest = (lane.oldest() for lane in self._lanes())
        return max((now - job.queued_at for job in oldest if job is not None), default=0.0)

    def _lanes(self) -> Iterator[_Lane]:
        """The lanes of all classes."""
        yield from self._classes.values()
        yield from self._background.values()


def _oldest_of(lanes: list[_Lane]) -> QueuedJob:
    """The job that was queued first among lanes that all have jobs."""
    jobs = [job for lane in lanes if (job := lane.oldest()) is not None]
    return min(jobs)


def _next_of(lanes: list[_Lane]) -> QueuedJob:
    """The next job by priority and then by turn among lanes that all have jobs; it is taken out of its level."""
    priority = min(p for lane in lanes for p in range(PRIORITY_COUNT) if lane.counts[p])
    levels = [lane.levels[priority] for lane in lanes if lane.counts[priority]]
    return min(levels, key=_PriorityLevel.next_turn).take_next()
