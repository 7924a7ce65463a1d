"""One request from its arrival until its last attempt has ended, and each of its attempts.

Plain state; part of the decisions, whose interface stands in ``interface.py``.
"""

from __future__ import annotations

from .interface import ClassSettings, Request
from .profiles import JobType, KeyType
from .workers import Worker


class Attempt:
    """One attempt of a request."""

    __slots__ = ("job", "index", "worker", "sent_at", "started_at", "noted_at", "open",
                 "waited", "cancelled", "local", "holds", "until")

    def __init__(self, job: Job, index: int, worker: Worker, now: float, local: bool) -> None:
        self.job, self.index, self.worker, self.local = job, index, worker, local
        self.sent_at = self.noted_at = now
        self.started_at = -1.0
        self.open = True
        self.waited = self.cancelled = False
        self.holds = True  # counted among what its worker has; until then, where it ended unheard
        self.until = 0.0


class Job:
    """One request, from its arrival until its last attempt has ended."""

    __slots__ = ("id", "index", "cls", "type", "key_type", "met", "arrived", "ends", "aim_at", "hint",
                 "slots", "memory", "cost", "attempts", "open", "over", "ran_group", "ran_since",
                 "over_share", "seen_start", "looked", "looks_out", "rounds", "started")

    def __init__(self, request: Request, cls: ClassSettings, type_: JobType, key_type: KeyType | None,
                 now: float) -> None:
        self.id = request.id
        self.index = request.class_index
        self.cls = cls
        self.type = type_
        self.key_type = key_type
        self.met: bool | None = None  # whether the worker of the last attempt had met the key
        self.arrived = now
        self.ends = self.aim_at = now + request.left_ms
        self.hint = request.hint_ms
        self.slots = self.cost = request.slots
        self.memory = request.memory
        self.attempts: list[Attempt] = []
        self.open = 0
        self.over = False
        self.ran_group: Worker | None = None  # the first worker where it may have run
        self.ran_since = 0.0
        self.over_share = False
        self.seen_start = self.started = False
        self.looked: list[Worker] = []  # the workers probed for it
        self.looks_out = self.rounds = 0
