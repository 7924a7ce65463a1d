"""One request from its arrival until its last attempt has ended, and each of its attempts.

Plain state; part of the decisions, whose interface is defined in ``interface.py``.
"""

from __future__ import annotations

from .interface import ClassSettings, Request
from .profiles import JobType, KeyType
from .workers import Worker


class Attempt:
    """One attempt of a request."""

    __slots__ = ("job", "index", "worker", "sent_at", "started_at", "last_sign_at", "open",
                 "queued", "cancelled", "in_own_zone", "holds_slots", "release_at")

    def __init__(self, job: Job, index: int, worker: Worker, now: float, in_own_zone: bool) -> None:
        self.job, self.index, self.worker, self.in_own_zone = job, index, worker, in_own_zone
        self.sent_at = self.last_sign_at = now
        self.started_at = -1.0
        self.open = True
        self.queued = self.cancelled = False
        self.holds_slots = True  # whether its slots are counted at its worker
        self.release_at = 0.0  # when they are released, if it ended while its worker may still run it


class Job:
    """One request, from its arrival until its last attempt has ended."""

    __slots__ = ("id", "class_index", "cls", "job_type", "key_type", "key_cached", "arrived_at",
                 "deadline_at", "aim_at", "hint_ms", "slots", "memory", "cost", "attempts", "open_attempts",
                 "closed", "first_run_worker", "first_run_at", "over_share", "start_recorded", "probed",
                 "probes_pending", "probe_rounds", "started")

    def __init__(self, request: Request, cls: ClassSettings, job_type: JobType, key_type: KeyType | None,
                 now: float) -> None:
        self.id = request.id
        self.class_index = request.class_index
        self.cls = cls
        self.job_type = job_type
        self.key_type = key_type
        self.key_cached: bool | None = None  # whether the last attempt's worker held the key; None: no key
        self.arrived_at = now
        self.deadline_at = self.aim_at = now + request.left_ms
        self.hint_ms = request.hint_ms
        self.slots = self.cost = request.slots
        self.memory = request.memory
        self.attempts: list[Attempt] = []
        self.open_attempts = 0
        self.closed = False
        self.first_run_worker: Worker | None = None  # the first worker at which it may have run
        self.first_run_at = 0.0
        self.over_share = False
        self.start_recorded = self.started = False
        self.probed: list[Worker] = []  # workers probed for it
        self.probes_pending = self.probe_rounds = 0  # pending: -1 once the result was used
