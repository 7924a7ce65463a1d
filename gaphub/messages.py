"""What the core, its fronts and its ports hand each other: requests, answers, destinations, calls and outcomes.

Plain data and the protocols of the ports; it must never decide anything, and knows no wire.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from typing import Protocol

from .interface import NEVER_RAN, Status, WorkerState


class FinalStatus(Enum):
    """The final answer of a request."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class Fence(Protocol):
    """A right to serve that may end at any moment, such as the lease of a service address."""

    retry_after_ms: float  # when a client that is refused for want of it may come back

    def holds(self) -> bool:
        """Whether it is valid at this moment, by the clock: asked anew before each side effect."""


@dataclass(slots=True)
class Answer:
    """A final answer on its way to the front that took the request."""

    final_status: FinalStatus
    body: bytes = b""
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class Job:
    """A request as a front took it; ``reply`` is called once with the final answer."""

    ident: str
    class_index: int
    received_at: float
    left_ms: float
    reply: Callable[[Answer], None]
    body: bytes = b""
    method: str = "POST"
    target: str = "/api"
    key: int = 0
    slots: float = 1.0
    memory: float = 0.0
    is_retry: bool = False
    forwarded_headers: tuple[tuple[bytes, bytes], ...] = ()  # further headers that a worker gets as they came
    on_update: Callable[[str, tuple[bytes, ...]], None] | None = None  # what its front wants to hear meanwhile
    front_context: object = None  # the front's own record of it
    balancer_budget_ms: float = 0.0  # what the Balancer is told is left; 0: what is left
    fence: Fence | None = None  # what must hold while it is taken and sent; None: nothing
    client_left_at: Callable[[], float] | None = None  # since when its client is known to have left, 0: it has not
    number: int = 0
    deadline: float = 0.0
    max_calls: int = 0  # as the settings allowed when it was taken
    answered: bool = False
    give_up_reason: str = ""  # behind a colon, why the Balancer gave it up
    final_status: str = "gone"  # the final answer, and why
    answered_after_ms: float = 0.0  # after it was received
    calls: list[Call] = field(default_factory=list)
    open_calls: int = 0


@dataclass(slots=True)
class ListedDestination:
    """One destination as a source of the destination set names it."""

    name: str
    addr: str
    state: int
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    zone: int = 0
    started_ms: float = 0.0
    class_mask: int = -1  # the classes it can run, a bit for each; -1: any


def worker_identity(source: str, name: str) -> int:
    """A worker's number that depends on its name alone: 64 bits, so that no two of a fleet share one."""
    return int.from_bytes(blake2b(f"{source}/{name}".encode(), digest_size=8).digest(), "big")


@dataclass(slots=True)
class Destination:
    """A worker that may be called, and the port that reaches it."""

    number: int
    source: str
    listed: ListedDestination  # as it is to be used: one that is out by hand drains
    reported_state: int = WorkerState.READY  # its state as its source says
    identity: int = 0  # the same at every scheduler


NO_DESTINATION = Destination(0, "", ListedDestination("", "", WorkerState.GONE))  # of a call that was not allowed


@dataclass(slots=True)
class Call:
    """One attempt.  ``over`` is set by its port when the outcome is fixed."""

    job: Job
    index: int
    destination: Destination
    sent_at: float
    deadline: float
    finished: bool = False
    written: bool = False  # set by its port just before the last byte leaves
    timed_out: bool = False
    duration_ms: float = 0.0
    status: Status | None = None
    task_started: bool = False  # set by its port when it first works on it
    first_byte_at: float = 0.0  # when its first byte was about to leave, the last time; 0: never
    started_at: float = 0.0  # when its worker told that it runs; 0: it never did
    listed_at_send: ListedDestination | None = None  # its destination as it was listed when it was sent

    @property
    def never_ran(self) -> bool:
        """Whether it is proved that this attempt did not run."""
        return self.status in NEVER_RAN or (self.status == Status.CANCELLED and not self.written)


@dataclass(slots=True)
class Outcome:
    """How a call ended."""

    status: Status
    body: bytes = b""
    report: tuple[float, ...] = ()
    request_invalid: bool = False  # with ERROR: the worker says that the request itself is wrong


class CallPort(Protocol):
    """What reaches the destinations of one source."""

    def start(self, call: Call) -> Outcome | None:
        """Begin a call; its outcome if it ended at once, else ``Core.ended`` must follow once."""

    def cancel(self, call: Call) -> Outcome | None:
        """Stop waiting for a call and close its connection; its outcome, as with ``start``."""

    def probe(self, destination: Destination) -> tuple[Status, tuple[float, ...]] | None:
        """Check a destination; how and its report if known at once, else ``Core.probed`` must follow."""

    def close_idle(self, destination: Destination) -> None:
        """Close idle connections."""

    def forget(self, destination: Destination) -> None:
        """The destination is gone or restarted: its idle connections are of no use."""


class ListPort(Protocol):
    """What asks discovery for more than it says by itself."""

    def watch(self, on: bool) -> None:
        """Follow changes, or stop."""

    def fetch(self) -> None:
        """Ask once for the whole list."""


class PeerPort(Protocol):
    """What reaches the other schedulers."""

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Send a datagram to one peer, or all (-1)."""
