"""Workers as one gateway sees them: state, reports, health, and the set of those that the list has named.

Pure: no I/O, no clock, no randomness; part of the decisions, whose interface stands in ``interface.py``.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from .cold_start import ColdAllowance
from .interface import ListedWorker, ListKind, WorkerState

IDLE_STEP = 0.1  # share; how fast the view of a kind's slots moves with each report of an idle worker


class Worker:
    """One worker as this gateway sees it."""

    __slots__ = ("id", "identity", "kind", "zone", "cell", "class_mask", "state", "ready_at", "slots_out",
                 "report", "report_at", "report_new_at", "out_then", "memory_out", "memory_then", "capacity",
                 "full_until", "full_slots", "full_times", "busy_until", "heard_at", "strikes",
                 "ejected_until",
                 "trial", "cold_allowance", "resets", "begun", "errors", "erred")

    def __init__(self, entry: ListedWorker, cold_phase: float = 0.0) -> None:
        """``cold_phase``: this gateway's at a cold worker, see ``cold_start.phase_of``."""
        self.id, self.kind, self.class_mask = entry.worker, entry.kind, entry.class_mask
        self.identity = entry.identity or entry.worker
        self.zone, self.cell, self.state = entry.zone, entry.cell, entry.state
        self.slots_out = self.memory_out = 0.0  # slots and memory of this gateway's attempts out there
        self.capacity = 0.0
        self.restart(entry.ready_at_ms, cold_phase)

    def restart(self, ready_at: float, cold_phase: float) -> None:
        """A new process: nothing known of the old one holds."""
        self.ready_at = ready_at
        self.report: tuple[float, ...] = ()
        self.report_at = self.report_new_at = -1e18
        self.out_then = self.memory_then = 0.0
        self.full_until = self.busy_until = self.heard_at = -1e18
        self.begun = -1e18  # when the last of the attempts that have started was sent
        self.full_slots = 0.0
        self.full_times = self.strikes = self.resets = 0
        self.ejected_until = -1e18
        self.errors = 0.0  # the share of its answers that are errors, the last ones above all
        self.erred: dict[int, float] = {}  # class, -1 for any: its last error; some fail one class alone
        self.trial = False
        self.cold_allowance = ColdAllowance(cold_phase)


class Reports:
    """Which values a load report holds, and what they say of a worker."""

    __slots__ = ("slots", "memory", "inflight", "queue", "latency", "useful", "ttl_ms",
                 "in_order", "max_free_slots", "idle_free_slots")

    def __init__(self, fields: Sequence[str], ttl_ms: float, in_order: bool) -> None:
        def place(name: str) -> int:
            return fields.index(name) if name in fields else -1

        self.slots = place("free_slots")
        self.memory = place("free_memory")
        self.inflight = place("inflight")
        self.queue = place("queue")
        self.latency = place("latency_ms")
        self.useful = self.slots >= 0
        self.ttl_ms = ttl_ms
        self.in_order = in_order
        self.max_free_slots: dict[int, float] = {}  # slots, by kind of worker
        self.idle_free_slots: dict[int, float] = {}  # the mean of reports of idle workers, by kind

    def take(self, now: float, w: Worker, report: tuple[float, ...]) -> None:
        """Note a report.  One that repeats the last values was not refreshed in between."""
        if report != w.report:
            w.report = report
            w.report_new_at = now
            w.out_then = w.slots_out
            w.memory_then = w.memory_out
            if self.slots >= 0:
                # The most slots seen free on any worker of the kind, not free ones plus jobs held: behind a
                # head that does not fit many wait beside free slots.  One alone may never be seen empty.
                free = report[self.slots]
                self.max_free_slots[w.kind] = w.capacity = max(self.max_free_slots.get(w.kind, 0.0), free)
                if self.inflight >= 0 and report[self.inflight] < 0.5:
                    mean = self.idle_free_slots.get(w.kind, free)
                    self.idle_free_slots[w.kind] = mean + (free - mean) * IDLE_STEP  # reports are noisy
        w.report_at = now

    def free(self, now: float, w: Worker, slots: float, memory: float) -> bool | None:
        """Whether the job's slots are free; None if no fresh report tells."""
        if not self.useful or now - w.report_at > self.ttl_ms:
            return None
        r = w.report
        if r[self.slots] - (w.slots_out - w.out_then) < slots or (
                self.in_order and self.queue >= 0 and r[self.queue] > 0.5):
            return False  # a slot beside a queue that is served in order is not free for this job
        return self.memory < 0 or r[self.memory] - (w.memory_out - w.memory_then) >= memory

    def wait_ms(self, now: float, w: Worker, typical: float) -> float:
        """How long a job sent now would wait there, where reports name the queue (not free slots)."""
        if self.queue < 0 or now - w.report_at > self.ttl_ms or not w.report:
            return 0.0
        waiting = w.report[self.queue] + max(0.0, w.slots_out - w.out_then)
        if waiting <= 0:
            return 0.0
        service = w.report[self.latency] if self.latency >= 0 else typical
        return (waiting + 1.0) * service / max(1.0, w.capacity)


class Fleet:
    """The workers that the list has named, and those of them that may get new work."""

    __slots__ = ("workers", "ready", "pools", "kinds", "kind_counts")

    def __init__(self, kinds: int) -> None:
        self.kinds = kinds
        self.workers: dict[int, Worker] = {}
        self.ready: dict[int, Worker] = {}
        self.pools: dict[tuple[tuple[int, ...], int, int], list[Worker]] = {}
        self.kind_counts = [0] * kinds

    def apply(self, kind: int, entries: Sequence[ListedWorker],
              cold_phase: Callable[[int], float]) -> list[int]:
        """Follow the list; the ids of workers that restarted or are gone.

        ``cold_phase``: of this gateway at a worker, by the worker's identity.
        """
        changed = []
        if kind != ListKind.CHANGES:
            named = {e.worker for e in entries}
            for wid in [i for i in self.workers if i not in named]:
                self._drop(wid)
                changed.append(wid)
        for e in entries:
            w = self.workers.get(e.worker)
            if e.state == WorkerState.GONE:
                if w is not None:
                    self._drop(e.worker)
                    changed.append(e.worker)
                continue
            if w is None:
                w = self.workers[e.worker] = Worker(e, cold_phase(e.identity or e.worker))
            elif e.ready_at_ms != abs(w.ready_at):
                w.restart(e.ready_at_ms, cold_phase(w.identity))
                changed.append(w.id)
            w.state = e.state
            w.class_mask = e.class_mask
            if e.state == WorkerState.READY:
                self.ready[w.id] = w
            else:
                self.ready.pop(w.id, None)  # draining: nothing new from this moment on
        self.pools.clear()
        self.kind_counts = [0] * self.kinds
        for w in self.ready.values():
            self.kind_counts[w.kind] += 1
        return changed

    def _drop(self, wid: int) -> None:
        self.workers.pop(wid).state = WorkerState.GONE
        self.ready.pop(wid, None)

    def pool(self, zones: tuple[int, ...], kind: int, cls: int) -> list[Worker]:
        """The ready workers of some zones (none named: any) and a kind (-1: any) that can run a class."""
        key = (zones, kind, cls)
        found = self.pools.get(key)
        if found is None:
            found = self.pools[key] = [w for w in self.ready.values()
                                       if (not zones or w.zone in zones) and kind in (-1, w.kind)
                                       and w.class_mask >> cls & 1]
        return found
