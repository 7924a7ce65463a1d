"""Owns the jobs that wait before the core: who is admitted, who comes next, and who has waited too long.

Pure: it opens nothing, reads no clock and draws nothing at random; times are handed in, in milliseconds.  It
must never hold a job that the core has been offered: what the policy gives up is answered at once, and waiting
comes before its offer, never after.

Order, within one class: by priority, but every ``AGEING``-th draw goes to the oldest job of a lower one, so that
a steady stream of high ones starves nobody.  Within a priority, clients take turns (round robin by client, first
come first served within one), so that one client's flood delays another's jobs by one job a turn, no more.

Bound, for a job of any priority that is the oldest of its class: it is drawn within ``AGEING`` draws of that
class.  For one of the same priority as all others, with k clients waiting and j of its own client's jobs before
it: within ``k * (j + 1)`` draws.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import Any

PRIORITIES = 3  # 0 high, 1 normal, 2 low
AGEING = 8  # draws; one of so many goes to the oldest
OVERHEAD = 1400  # bytes that a waiting job takes besides its workload and names; ``gaphub lab gearman`` measures


@dataclass(frozen=True)
class Bounds:
    """How many jobs, and bytes of them, may wait; 0 of anything: none."""

    jobs: int = 200_000
    jobs_function: int = 200_000
    jobs_client: int = 100_000
    total_bytes: int = 300_000_000


@dataclass(slots=True, eq=False)
class Waiting:
    """One waiting job.  ``item`` is the front's own record of it."""

    item: Any
    class_index: int
    function: bytes
    client: Hashable
    priority: int
    size: int
    since: float
    expires: float  # ms; when its client gives up, or its life is over
    number: int = 0
    gone: bool = False  # left, drawn or expired: skipped where it still stands


class _Lane:
    """The jobs of one class and priority: a queue for each client, and whose turn it is."""

    __slots__ = ("priority", "clients")

    def __init__(self, priority: int) -> None:
        self.priority = priority
        self.clients: OrderedDict[Hashable, deque[Waiting]] = OrderedDict()

    def put(self, job: Waiting) -> None:
        self.clients.setdefault(job.client, deque()).append(job)

    def is_past(self, job: Waiting) -> bool:
        """Whether a job left, or moved to another lane."""
        return job.gone or job.priority != self.priority

    def take(self) -> Waiting | None:
        """The next in turn; its client goes to the end of the row."""
        while self.clients:
            client, jobs = next(iter(self.clients.items()))
            while jobs and self.is_past(jobs[0]):
                jobs.popleft()
            if not jobs:
                del self.clients[client]
                continue
            job = jobs.popleft()
            if jobs:
                self.clients.move_to_end(client)
            else:
                del self.clients[client]
            return job
        return None


@dataclass
class _Class:
    """What waits of one class."""

    lanes: list[_Lane] = field(default_factory=lambda: [_Lane(p) for p in range(PRIORITIES)])
    counts: list[int] = field(default_factory=lambda: [0] * PRIORITIES)
    by_age: deque[Waiting] = field(default_factory=deque)
    draws: int = 0


class Queues:
    """The waiting jobs of one daemon."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.bytes = 0
        self.count = 0
        self.refused = 0
        self._serial = 0
        self._classes: dict[int, _Class] = {}
        self._functions: dict[bytes, list[int]] = {}
        self._clients: dict[Hashable, int] = {}
        self._most: dict[bytes, list[int]] = {}  # ``maxqueue``: by function, for each priority; 0: no bound
        self._expiry: list[tuple[float, int, Waiting]] = []

    # -- admission --

    def limit(self, function: bytes, most: list[int]) -> None:
        """``maxqueue``: one number for all priorities, or one for each; none: no bound of its own."""
        if not most:
            self._most.pop(function, None)
        else:
            self._most[function] = (most * PRIORITIES if len(most) == 1 else [*most, 0, 0])[:PRIORITIES]

    def why_not(self, function: bytes, client: Hashable, priority: int, size: int, drawn: int = 0) -> str:
        """The word under which a job is turned away; empty: it may wait.

        ``drawn``: jobs of that function and priority that were drawn and no worker has begun; ``maxqueue``
        counts them too.
        """
        counts = self._functions.get(function, [0] * PRIORITIES)
        most = self._most.get(function, [0] * PRIORITIES)[priority]
        if most and counts[priority] + drawn >= most:
            return "queue_full"
        if sum(counts) >= self.bounds.jobs_function:
            return "function_queue_full"
        if self._clients.get(client, 0) >= self.bounds.jobs_client:
            return "client_queue_full"
        if self.count >= self.bounds.jobs or self.bytes + size + OVERHEAD > self.bounds.total_bytes:
            return "queues_full"
        return ""

    def put(self, item: Any, class_index: int, function: bytes, client: Hashable, priority: int, size: int,
            now: float, expires: float) -> Waiting | str:
        """Let a job wait; the word that refuses it where there is no room."""
        why = self.why_not(function, client, priority, size)
        if why:
            self.refused += 1
            return why
        self._serial += 1
        job = Waiting(item, class_index, function, client, priority, size + OVERHEAD, now, expires, self._serial)
        kept = self._classes.setdefault(class_index, _Class())
        kept.lanes[priority].put(job)
        kept.counts[priority] += 1
        kept.by_age.append(job)
        heappush(self._expiry, (expires, job.number, job))
        self._functions.setdefault(function, [0] * PRIORITIES)[priority] += 1
        self._clients[client] = self._clients.get(client, 0) + 1
        self.count += 1
        self.bytes += job.size
        return job

    # -- leaving --

    def remove(self, job: Waiting) -> bool:
        """Take a job out, wherever it stands; False if it waits no more."""
        if job.gone:
            return False
        job.gone = True
        self._classes[job.class_index].counts[job.priority] -= 1
        counts = self._functions[job.function]
        counts[job.priority] -= 1
        if not any(counts):
            del self._functions[job.function]
        self._clients[job.client] -= 1
        if not self._clients[job.client]:
            del self._clients[job.client]
        self.count -= 1
        self.bytes -= job.size
        self._sweep()
        return True

    def draw(self, class_index: int) -> Waiting | None:
        """The next job of a class; None if none waits."""
        kept = self._classes.get(class_index)
        if kept is None or not any(kept.counts):
            return None
        kept.draws += 1
        while kept.by_age and kept.by_age[0].gone:
            kept.by_age.popleft()
        job: Waiting | None = None
        if kept.draws % AGEING == 0:
            job = kept.by_age[0]
        else:
            for priority in range(PRIORITIES):
                if kept.counts[priority]:
                    job = kept.lanes[priority].take()
                    break
        assert job is not None
        self.remove(job)
        return job

    def clear(self) -> Iterator[Waiting]:
        """Take out and give every job."""
        for _, _, job in list(self._expiry):
            if self.remove(job):
                yield job

    def expired(self, now: float) -> Iterator[Waiting]:
        """Take out and give each job whose time is over."""
        while self._expiry and (self._expiry[0][2].gone or self._expiry[0][0] <= now):
            job = heappop(self._expiry)[2]
            if job.expires <= now and self.remove(job):
                yield job

    def next_expiry(self) -> float:
        """When ``expired`` is next of use."""
        return self._expiry[0][0] if self._expiry else 1e18

    def move(self, job: Waiting, priority: int, expires: float) -> None:
        """A joiner of higher priority, or one that waits longer, changes a waiting job; never for the worse."""
        if job.gone:
            return
        if expires > job.expires:
            job.expires = expires
            heappush(self._expiry, (expires, job.number, job))  # the earlier entry is skipped when it comes
        if priority < job.priority:
            kept = self._classes[job.class_index]
            for counts in (kept.counts, self._functions[job.function]):
                counts[job.priority] -= 1
                counts[priority] += 1
            job.priority = priority
            kept.lanes[priority].put(job)

    def _sweep(self) -> None:
        """Forget what left, where much of it stands: memory follows the jobs that wait."""
        if len(self._expiry) > 2 * self.count + 64:
            self._expiry = [e for e in self._expiry if not e[2].gone]
            heapify(self._expiry)
        for kept in self._classes.values():
            if len(kept.by_age) > 2 * sum(kept.counts) + 64:
                kept.by_age = deque(j for j in kept.by_age if not j.gone)
                for lane in kept.lanes:
                    for client in list(lane.clients):
                        jobs = deque(j for j in lane.clients[client] if not lane.is_past(j))
                        if jobs:
                            lane.clients[client] = jobs
                        else:
                            del lane.clients[client]

    # -- what is seen --

    def waiting(self, function: bytes) -> list[int]:
        """How many wait of a function, by priority."""
        return list(self._functions.get(function, [0] * PRIORITIES))

    def functions(self) -> list[bytes]:
        """The functions of which any job waits."""
        return list(self._functions)

    def of_class(self, class_index: int) -> int:
        """How many wait of a class."""
        kept = self._classes.get(class_index)
        return sum(kept.counts) if kept is not None else 0

    def oldest_ms(self, now: float) -> float:
        """How long the oldest job has waited; 0 if none waits."""
        ages = []
        for kept in self._classes.values():
            while kept.by_age and kept.by_age[0].gone:
                kept.by_age.popleft()
            if kept.by_age:
                ages.append(now - kept.by_age[0].since)
        return max(ages, default=0.0)
