"""The whole interface of the decision module: settings, events and actions.

Each scheduler process creates one ``gaphub.logic.Balancer`` from a :class:`Settings`, a seed and an
:class:`Actions`, and calls the balancer's event methods, listed in :class:`Events`, in the order in which
things happen.  The balancer answers only by calling the actions.  All times are in milliseconds, as floats,
on one clock that never goes backwards.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple, Protocol


class Effect(IntEnum):
    """Whether a request may be repeated."""

    SAFE = 0  # any number of times
    KEYED = 1  # within a group of workers that drops repeats, for a limited time
    UNSAFE = 2  # never: it must not run twice


class Group(IntEnum):
    """The scope in which workers drop repeats of a keyed request: all workers, a zone or a cell."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Status(IntEnum):
    """How an attempt or a probe ended."""

    OK = 1
    ERROR = 2
    FULL = 3  # the worker refused it for want of room
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8  # not sent: forbidden by the rules on attempts, the client had left or the deadline had passed


# The statuses that prove that an attempt never ran.
NEVER_RAN = frozenset((Status.FULL, Status.CONNECT_FAILED, Status.MOOT))


class WorkerState(IntEnum):
    """The state of a worker in the worker list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """What a worker-list event holds."""

    CHANGES = 0  # only the entries that changed
    FULL = 1  # the complete list
    CACHED = 2  # the complete list as last known, possibly stale
    FAILED = 3  # no entries: a watch or a fetch failed, or the watch was dropped


class AttemptEvent(IntEnum):
    """An update on an attempt that is still open."""

    STARTED = 1
    PROGRESS = 2


class ListedWorker(NamedTuple):
    """One entry of the worker list."""

    state: int
    kind: int
    cell: int
    weight: float
    zone: int
    worker: int
    ready_at_ms: float  # when it last started; 0: long ago
    class_mask: int = -1  # the classes that it can run, one bit each; -1: any
    identity: int = 0  # alike at every scheduler, whatever the order of lists; 0: use ``worker``


@dataclass(frozen=True)
class ClassSettings:
    """One class of requests.

    A request is on time if it is served within its aim, ``aim_ms`` plus ``aim_stretch`` times its own work.  It
    then earns ``worth``, after that only ``late_worth``.
    """

    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    late_worth: float = 0.0
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    window_ms: float = 0.0
    streamed: bool = False
    aim_stretch: float = 0.0
    kind: int = -1  # the only kind of worker that runs it; -1: any
    priority: int = 0
    retired: bool = False  # by a reload: only jobs that were accepted before still have these rules


@dataclass(frozen=True)
class TenantSettings:
    """One tenant; up to ``quota_per_s``, over all schedulers, its requests are within its share."""

    quota_per_s: float = 0.0
    share: float = 0.0


@dataclass(frozen=True)
class Settings:
    """The settings of a balancer; ``me`` is its number among ``balancers``, all schedulers of the fleet."""

    classes: tuple[ClassSettings, ...]
    tenants: tuple[TenantSettings, ...] = ()
    me: int = 0
    balancers: int = 1
    zone: int = 0
    zones: int = 1
    kinds: int = 1
    tick_ms: float = 1.0
    worth_by_work: bool = False
    over_share_worth: float = 0.1
    must_ask: bool = False  # the worker list is sent only on request
    ask_within_ms: float = 10_000.0
    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 1_000.0
    fall_multiple: float = 3.0
    fall_ms: float = 2_000.0
    cold_from: float = 0.15
    cold_ms: float = 20_000.0
    max_attempts: int = 3
    max_open: int = 20_000
    max_retry_after_ms: float = 1_000.0
    may_cancel: bool = True
    may_probe: bool = False
    may_tell_peers: bool = False
    second_copies: bool = True
    retry_after: bool = True
    marks_retry: bool = False
    connect_timeout_ms: float = 250.0
    cpu_us_per_request: float = 0.0
    cpu_us_per_s: float = 0.0
    tells_start: bool = False
    progress_ms: float = 0.0
    queue_order: str = "fifo"
    report_fields: tuple[str, ...] = ()
    reports_in_answers: bool = False
    reports_in_probes: bool = False  # only there
    prices: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Reject values that make no sense in any deployment, naming the setting."""
        if not self.classes:
            raise ValueError("classes: at least one class is needed")
        for i, c in enumerate(self.classes):
            for name in ("aim_ms", "deadline_ms"):
                if not getattr(c, name) > 0:
                    raise ValueError(f"classes[{i}].{name}: must be above 0")
            for name in ("worth", "late_worth", "window_ms", "aim_stretch"):
                if not getattr(c, name) >= 0:
                    raise ValueError(f"classes[{i}].{name}: must not be negative")
            if not -1 <= c.kind < self.kinds:
                raise ValueError(f"classes[{i}].kind: {c.kind} is not one of the {self.kinds} kinds")
        for name in ("balancers", "zones", "kinds", "max_attempts", "max_open"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: must be at least 1")
        if not 0 <= self.me < self.balancers:
            raise ValueError(f"me: {self.me} is not one of {self.balancers} balancers")
        if not 0 <= self.zone < self.zones:
            raise ValueError(f"zone: {self.zone} is not one of {self.zones} zones")
        if not 0 < self.cold_from <= 1:
            raise ValueError("cold_from: must be above 0 and at most 1")
        for name in ("tick_ms", "fall_multiple", "fall_ms", "ask_within_ms"):
            if not getattr(self, name) > 0:
                raise ValueError(f"{name}: must be above 0")
        for name in ("cold_ms", "drain_grace_ms", "answer_slack_ms", "progress_ms",
                     "max_retry_after_ms", "connect_timeout_ms"):
            if not getattr(self, name) >= 0:
                raise ValueError(f"{name}: must not be negative")


class Request(NamedTuple):
    """A client's request."""

    id: int
    class_index: int
    left_ms: float  # time until the client gives up on this try
    tenant: int = 0
    key: int = 0  # names data that its worker needs and then holds; 0: none
    hint_ms: float = 0.0  # expected running time at speed 1; 0: no hint
    slots: float = 1.0
    memory: float = 0.0
    is_retry: bool = False


class Actions(Protocol):
    """What a balancer may do.  Its host carries the actions out in the order of the calls."""

    def send(self, request: int, worker: int, timeout_ms: float) -> None:
        """Start an attempt; a request's attempts are numbered from 0.

        ``timeout_ms``: 0 lets it run until the client gives up.
        """

    def refuse(self, request: int, retry_after_ms: float) -> None:
        """Give the final answer: refused; the client may safely retry."""

    def fail(self, request: int) -> None:
        """Give the final answer: failed; it may have run."""

    def cancel(self, request: int, attempt: int) -> None:
        """Stop waiting for one attempt."""

    def set_timer(self, delay_ms: float, token: int) -> None:
        """Request a call of ``on_timer(token)`` after a delay."""

    def probe(self, worker: int) -> None:
        """Send a worker a health check, which may bring a load report."""

    def close_idle(self, worker: int) -> None:
        """Close idle connections to a worker."""

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Send a datagram to one other scheduler; -1: to all."""

    def log(self, text: str) -> None:
        """Add a line to the operator's log."""

    def watch(self, on: bool) -> None:
        """Subscribe to changes of the worker list, or unsubscribe."""

    def fetch(self) -> None:
        """Request the complete worker list once."""


class Events(Protocol):
    """The events that a balancer receives.  Events about unknown or finished requests and attempts are ignored."""

    def on_workers(self, now: float, kind: int, entries: Sequence[ListedWorker]) -> None:
        """The worker list was received, in full or in part, or a call for it failed."""

    def on_request(self, now: float, request: Request) -> None:
        """A request came in; the balancer must give it exactly one final answer."""

    def on_started(self, now: float, request: int, attempt_index: int) -> None:
        """A worker began to run an attempt."""

    def on_progress(self, now: float, request: int, attempt_index: int, done: float) -> None:
        """A share of an attempt is done."""

    def on_stream(self, now: float, request: int, attempt_index: int) -> None:
        """A streamed answer began: the request counts as answered."""

    def on_outcome(self, now: float, request: int, attempt_index: int, status: int, latency_ms: float,
                   closed: bool, report: tuple[float, ...]) -> None:
        """An attempt ended.

        ``closed``: the request has its final answer; ``report``: the worker's load report, empty if none came.
        """

    def on_client_gone(self, now: float, request: int) -> None:
        """The client left: no answer is needed any more."""

    def on_timer(self, now: float, token: int) -> None:
        """A timer came due."""

    def on_probe_result(self, now: float, worker_id: int, status: int, latency_ms: float,
                        report: tuple[float, ...]) -> None:
        """A probe ended."""

    def on_peer(self, now: float, sender: int, data: bytes) -> None:
        """Another scheduler sent a datagram."""
