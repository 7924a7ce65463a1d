"""Workers as one scheduler sees them: state, reports, health, and the set of listed workers.

Pure: no I/O, no clock, no randomness; part of the decisions, whose interface is defined in ``interface.py``.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from .cold_start import ColdAllowance
from .interface import ListedWorker, ListKind, WorkerState

IDLE_SLOTS_STEP = 0.1  # weight of each report of an idle worker in the mean slots of its kind


class Worker:
    """One worker as this scheduler sees it."""

    __slots__ = ("id", "identity", "kind", "zone", "cell", "class_mask", "state", "ready_at", "slots_out",
                 "report", "report_at", "report_changed_at", "slots_out_at_report", "memory_out",
                 "memory_out_at_report", "capacity",
                 "full_until", "full_size", "full_count", "busy_until", "last_heard_at", "ejections",
                 "ejected_until",
                 "half_open", "cold_allowance", "resets", "last_started_sent_at", "error_rate",
                 "last_error_at")

    def __init__(self, entry: ListedWorker, cold_phase: float = 0.0) -> None:
        """``cold_phase``: this scheduler's phase at the worker, see ``cold_start.phase_of``."""
        self.id, self.kind, self.class_mask = entry.worker, entry.kind, entry.class_mask
        self.identity = entry.identity or entry.worker
        self.zone, self.cell, self.state = entry.zone, entry.cell, entry.state
        self.slots_out = self.memory_out = 0.0  # slots and memory held by this scheduler's attempts
        self.capacity = 0.0  # most slots seen free on any worker of its kind
        self.restart(entry.ready_at_ms, cold_phase)

    def restart(self, ready_at: float, cold_phase: float) -> None:
        """Forget all that was known of the worker's previous process."""
        self.ready_at = ready_at  # its start: above 0 while cold, negated once warm; 0: long ago
        self.report: tuple[float, ...] = ()
        self.report_at = self.report_changed_at = -1e18
        self.slots_out_at_report = self.memory_out_at_report = 0.0
        self.full_until = self.busy_until = self.last_heard_at = -1e18
        self.last_started_sent_at = -1e18  # the latest send time of the attempts that have started
        self.full_size = 0.0  # the smallest job, in slots, that it answered with 'full'
        self.full_count = self.ejections = self.resets = 0
        self.ejected_until = -1e18
        self.error_rate = 0.0  # exponentially weighted share of its answers that are errors
        self.last_error_at: dict[int, float] = {}  # by class, -1 for any: some workers fail one class alone
        self.half_open = False  # ejected before and not proven healthy yet: one job at a time
        self.cold_allowance = ColdAllowance(cold_phase)


class Reports:
    """Which values a load report has (an index of -1: it has none), and what they say of a worker."""

    __slots__ = ("slots_index", "memory_index", "inflight_index", "queue_index", "latency_index",
                 "has_free_slots", "ttl_ms", "in_order", "max_free_slots", "idle_free_slots")

    def __init__(self, fields: Sequence[str], ttl_ms: float, in_order: bool) -> None:
        def position(name: str) -> int:
            return fields.index(name) if name in fields else -1

        self.slots_index = position("free_slots")
        self.memory_index = position("free_memory")
        self.inflight_index = position("inflight")
        self.queue_index = position("queue")
        self.latency_index = position("latency_ms")
        self.has_free_slots = self.slots_index >= 0
        self.ttl_ms = ttl_ms
        self.in_order = in_order  # whether workers serve their queues strictly in order
        self.max_free_slots: dict[int, float] = {}  # by kind of worker
        self.idle_free_slots: dict[int, float] = {}  # by kind: mean over reports of idle workers

    def record(self, now: float, worker: Worker, report: tuple[float, ...]) -> None:
        """Record a report.  One that repeats the last values was not refreshed in between."""
        if report != worker.report:
            worker.report = report
            worker.report_changed_at = now
            worker.slots_out_at_report = worker.slots_out
            worker.memory_out_at_report = worker.memory_out
            if self.slots_index >= 0:
                # Capacity is the most slots seen free on any worker of the kind.  Free slots plus jobs held
                # would be too many: behind a queue head that does not fit, jobs wait beside free slots.  A
                # single worker may never be seen empty.
                free = report[self.slots_index]
                self.max_free_slots[worker.kind] = worker.capacity = max(
                    self.max_free_slots.get(worker.kind, 0.0), free)
                if self.inflight_index >= 0 and report[self.inflight_index] < 0.5:
                    mean = self.idle_free_slots.get(worker.kind, free)
                    # A mean, as reports are noisy.
                    self.idle_free_slots[worker.kind] = mean + (free - mean) * IDLE_SLOTS_STEP
        worker.report_at = now

    def has_room(self, now: float, worker: Worker, slots: float, memory: float) -> bool | None:
        """Whether the slots and memory of a job are free; None without a fresh report."""
        if not self.has_free_slots or now - worker.report_at > self.ttl_ms:
            return None
        values = worker.report
        if values[self.slots_index] - (worker.slots_out - worker.slots_out_at_report) < slots or (
                self.in_order and self.queue_index >= 0 and values[self.queue_index] > 0.5):
            return False  # a slot beside a queue that is served in order is not free for this job
        return self.memory_index < 0 or (
            values[self.memory_index] - (worker.memory_out - worker.memory_out_at_report) >= memory)

    def wait_ms(self, now: float, worker: Worker, typical_ms: float) -> float:
        """How long a job sent now would wait there, where reports have the queue length; else 0."""
        if self.queue_index < 0 or now - worker.report_at > self.ttl_ms or not worker.report:
            return 0.0
        jobs_ahead = worker.report[self.queue_index] + max(0.0, worker.slots_out - worker.slots_out_at_report)
        if jobs_ahead <= 0:
            return 0.0
        service_ms = worker.report[self.latency_index] if self.latency_index >= 0 else typical_ms
        return (jobs_ahead + 1.0) * service_ms / max(1.0, worker.capacity)


class Fleet:
    """The listed workers, and those of them that may get new work."""

    __slots__ = ("workers", "ready", "pools", "kinds", "kind_counts")

    def __init__(self, kinds: int) -> None:
        self.kinds = kinds
        self.workers: dict[int, Worker] = {}
        self.ready: dict[int, Worker] = {}
        self.pools: dict[tuple[tuple[int, ...], int, int], list[Worker]] = {}
        self.kind_counts = [0] * kinds

    def apply(self, kind: int, entries: Sequence[ListedWorker],
              cold_phase: Callable[[int], float]) -> list[int]:
        """Apply a list event; returns the ids of workers that restarted or are gone.

        ``cold_phase`` gives this scheduler's phase at a worker by the worker's identity.
        """
        changed = []
        if kind != ListKind.CHANGES:
            named = {entry.worker for entry in entries}
            for worker_id in [i for i in self.workers if i not in named]:
                self._drop(worker_id)
                changed.append(worker_id)
        for entry in entries:
            worker = self.workers.get(entry.worker)
            if entry.state == WorkerState.GONE:
                if worker is not None:
                    self._drop(entry.worker)
                    changed.append(entry.worker)
                continue
            if worker is None:
                worker = self.workers[entry.worker] = Worker(
                    entry, cold_phase(entry.identity or entry.worker))
            elif entry.ready_at_ms != abs(worker.ready_at):
                worker.restart(entry.ready_at_ms, cold_phase(worker.identity))
                changed.append(worker.id)
            worker.state = entry.state
            worker.class_mask = entry.class_mask
            if entry.state == WorkerState.READY:
                self.ready[worker.id] = worker
            else:
                self.ready.pop(worker.id, None)  # draining: no new jobs from now on
        self.pools.clear()
        self.kind_counts = [0] * self.kinds
        for worker in self.ready.values():
            self.kind_counts[worker.kind] += 1
        return changed

    def _drop(self, worker_id: int) -> None:
        self.workers.pop(worker_id).state = WorkerState.GONE
        self.ready.pop(worker_id, None)

    def pool(self, zones: tuple[int, ...], kind: int, class_index: int) -> list[Worker]:
        """The ready workers in ``zones`` (empty: any) and of ``kind`` (-1: any) that can run a class."""
        key = (zones, kind, class_index)
        pool = self.pools.get(key)
        if pool is None:
            pool = self.pools[key] = [worker for worker in self.ready.values()
                                       if (not zones or worker.zone in zones) and kind in (-1, worker.kind)
                                       and worker.class_mask >> class_index & 1]
        return pool
