"""Types exchanged between the core, the front ends and the ports: jobs, answers, destinations, calls, outcomes.

Plain data and the protocols that ports implement.  No decisions are made here, and nothing depends on a wire
protocol.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from typing import Protocol

from .interface import NEVER_RAN, Status, WorkerState


class FinalStatus(Enum):
    """How a request was finally answered."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class Fence(Protocol):
    """A revocable right to serve, such as the lease of a service address.  It may end at any moment."""

    retry_after_ms: float  # sent to clients that are refused because the right is not held

    def holds(self) -> bool:
        """Whether the right is held now, by the clock; checked again before each side effect."""


@dataclass(frozen=True, slots=True)
class HeaderBlock:
    """Header fields in one piece: as objects, short fields would take fifty times the memory."""

    encoded: bytes = b""

    @classmethod
    def from_fields(cls, fields: Iterable[tuple[bytes, bytes]]) -> HeaderBlock:
        """Encode valid fields; a name has no colon in it, and neither part a line feed."""
        return cls(b"\n".join(name + b":" + value for name, value in fields))

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        """Decode the fields, in their order."""
        for line in self.encoded.split(b"\n") if self.encoded else ():
            name, _, value = line.partition(b":")
            yield name, value


@dataclass(slots=True)
class Answer:
    """A final answer, passed to the front end that received the request."""

    final_status: FinalStatus
    body: bytes = b""
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class Job:
    """A request as received by a front end; ``reply`` is called exactly once, with the final answer.

    Times without a unit in their name are in ms on the scheduler's clock.
    """

    ident: str
    class_index: int
    received_at: float  # when its last byte arrived
    left_ms: float  # until the client's deadline, at ``received_at``
    reply: Callable[[Answer], None]
    body: bytes = b""
    method: str = "POST"
    target: str = "/api"
    key: int = 0
    slots: float = 1.0
    memory: float = 0.0
    is_retry: bool = False
    forwarded_headers: HeaderBlock = HeaderBlock()  # passed to the worker unchanged
    on_update: Callable[[str, tuple[bytes, ...]], None] | None = None  # gets updates before the answer
    front_context: object = None  # the front end's own record of the request
    balancer_budget_ms: float = 0.0  # remaining time as passed to the Balancer; 0: the actual remaining time
    on_done: Callable[[], None] | None = None  # called once it is answered and no call is in flight
    # Called with the job, before ``reply``, if it is given up before it ran; True if the front end keeps it, to
    # offer it again as another job.  One function serves all jobs, as very many may be queued.
    take_back: Callable[[Job], bool] | None = None
    fence: Fence | None = None  # must hold when the request is accepted and sent; None: no fence
    client_left_at: Callable[[], float] | None = None  # when the client disconnected; 0: still connected
    number: int = 0  # assigned by the core; the Balancer's request id
    deadline: float = 0.0
    max_calls: int = 0  # ``max_attempts`` of the settings in force on acceptance; 0: the core accepts it first
    answered: bool = False
    give_up_reason: str = ""  # ":" and the reason, where the Balancer gave up
    final_status: str = "gone"  # for the request log: the final status and ``give_up_reason``
    answered_after_ms: float = 0.0  # since ``received_at``
    calls: list[Call] = field(default_factory=list)
    open_calls: int = 0

    @property
    def not_started(self) -> bool:
        """Whether no attempt has run, nor will once the job has its final answer."""
        return all(call.never_ran or (call.status is None and not call.written) for call in self.calls)

    @property
    def attempts_made(self) -> int:
        """The number of attempts of which a worker has, or may have, seen something."""
        return sum(call.written or call.first_byte_at > 0.0 for call in self.calls)

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt has run, or may have or may yet."""
        return not all(call.never_ran for call in self.calls)


@dataclass(slots=True)
class ListedDestination:
    """One destination as listed by its source, which is discovery or the Gearman front end."""

    name: str
    addr: str
    state: int
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    zone: int = 0
    started_ms: float = 0.0
    class_mask: int = -1  # one bit per class that it can run; -1: any class


def worker_identity(source: str, name: str) -> int:
    """A 64-bit hash of a worker's source and name: the same at every scheduler, and unique in a fleet."""
    return int.from_bytes(blake2b(f"{source}/{name}".encode(), digest_size=8).digest(), "big")


@dataclass(slots=True)
class Destination:
    """A listed worker; ``source`` names the port that calls it."""

    number: int
    source: str
    listed: ListedDestination  # with state DRAINING where an operator disabled a READY worker
    reported_state: int = WorkerState.READY  # as reported by its source
    identity: int = 0  # see ``worker_identity``


# Stands for an unknown destination in a call that the core did not allow.
NO_DESTINATION = Destination(0, "", ListedDestination("", "", WorkerState.GONE))


@dataclass(slots=True)
class Call:
    """One attempt of a job.  Times without a unit in their name are in ms on the scheduler's clock."""

    job: Job
    index: int
    destination: Destination
    sent_at: float
    deadline: float
    finished: bool = False  # set by the port when the outcome is final
    written: bool = False  # set by the port just before it writes the last byte
    timed_out: bool = False
    duration_ms: float = 0.0
    status: Status | None = None
    task_started: bool = False  # set by the port when its task first runs
    first_byte_at: float = 0.0  # just before the first byte was written, on the last connection tried; 0: never
    started_at: float = 0.0  # when the worker reported that the job runs; 0: never reported
    listed_at_send: ListedDestination | None = None  # the destination's entry when the call was sent

    @property
    def never_ran(self) -> bool:
        """Whether it is certain that this attempt did not run."""
        return self.status in NEVER_RAN or (self.status == Status.CANCELLED and not self.written)


@dataclass(slots=True)
class Outcome:
    """How a call ended; ``report`` is the worker's load report, empty if none came."""

    status: Status
    body: bytes = b""
    report: tuple[float, ...] = ()
    request_invalid: bool = False  # with ERROR: the worker rejected the request itself


class CallPort(Protocol):
    """Sends calls and probes to the destinations of one source."""

    def start(self, call: Call) -> Outcome | None:
        """Start a call; returns its outcome if it ended at once, else ``Core.call_ended`` must follow once."""

    def cancel(self, call: Call) -> Outcome | None:
        """Abandon a call and close its connection; returns the outcome as ``start`` does."""

    def probe(self, destination: Destination) -> tuple[Status, tuple[float, ...]] | None:
        """Probe a destination; its status and report if known at once, else ``Core.probe_ended`` must follow."""

    def close_idle(self, destination: Destination) -> None:
        """Close idle connections to a destination."""

    def forget(self, destination: Destination) -> None:
        """Drop the idle connections to a destination that is gone, has moved or was restarted."""


class ClassIndexUser(Protocol):
    """A front end that holds jobs, and with them class indexes, before it offers them to the core."""

    def class_indexes_in_use(self) -> set[int]:
        """The class indexes of its jobs: a reload must not give them to other classes."""

    def on_classes_changed(self) -> None:
        """A reload has changed the class table; called before the core handles anything else."""


class ListPort(Protocol):
    """Requests worker lists from discovery."""

    def watch(self, on: bool) -> None:
        """Start or stop watching for changes."""

    def fetch(self) -> None:
        """Request the full list once."""


class PeerPort(Protocol):
    """Sends datagrams to the other schedulers."""

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Send a datagram to one peer; -1: to all."""
