"""The state of one Gearman connection, and of the jobs submitted or grabbed on it.

It must never decide the outcome of a job, nor read from the connection: the front end does both.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field

from ...gearman.codec import pack
from ...gearman.queues import QueuedJob
from ...messages import Call, Job
from ..listener import closed_by_peer
from ..memory import MemoryBudget

MAX_UNREAD_BYTES = 4 * 1024 * 1024  # output that a peer may leave unread before its session is closed
MIN_UNREAD_BYTES = 128 * 1024  # the same while memory is lacking
SESSION_BYTES = 48 * 1024  # objects and input buffers of one connection
ABILITY_FREE_SHARE = 0.5  # of the memory, which functions leave for jobs
ABILITY_BYTES = 300  # of one registered function besides its name


@dataclass(slots=True, eq=False)
class Submission:
    """A submitted job, the clients that wait for it, and its progress."""

    handle: bytes
    function: bytes
    unique: bytes
    priority: int
    background: bool
    waiting_clients: list[Session] = field(default_factory=list)
    job: Job | None = None
    queue_entry: QueuedJob | None = None  # None unless it is queued
    last_queue_entry: QueuedJob | None = None  # the one with which it was dequeued last
    expires_at: float = 0.0  # when it may wait no longer: its client's deadline, or the end of its life
    cancelled: bool = False  # an operator cancelled it: it may not be offered again
    reducer: bytes = b""  # function that aggregates partial results; sent with JOB_ASSIGN_ALL
    client: int = 0  # the number of the session that submitted it
    size: int = 0  # of a scheduled job: of its names and workload
    charged_bytes: int = 0  # memory that is accounted for it
    reserve_bytes: int = 0  # those of them from the part that is for clients that hold little
    running: bool = False  # a worker has started it, or it ended without having started
    abandoned_at: float = 0.0  # when its last client left, if that ended the job; 0: it did not
    progress: tuple[bytes, bytes] = (b"0", b"0")

    @property
    def key(self) -> tuple[bytes, bytes]:
        """Function and unique."""
        return self.function, self.unique

    def client_left_at(self, now: float) -> float:
        """When its clients had left, so that it must not be started; 0 if it may be.

        Asks the kernel too, as a session's task may be late to see the end of its connection.  A background job
        has no client, and one with a unique that a worker has goes on for whoever submits it again.
        """
        if self.abandoned_at or self.background or not self.waiting_clients:
            return self.abandoned_at
        if self.unique and self.job is not None and any(call.written for call in self.job.calls):
            return 0.0
        return now if all(session.has_left for session in self.waiting_clients) else 0.0


@dataclass(slots=True, eq=False)
class Assignment:
    """A call that a worker has grabbed."""

    call: Call | None  # None: cancelled; the worker still runs it, but its result is ignored
    times_out_at: float  # by the timeout that the worker gave with CAN_DO_TIMEOUT
    partial_data: bytearray = field(default_factory=bytearray)
    got_exception: bool = False  # the worker sent WORK_EXCEPTION and has not ended the job yet


class Session:
    """One connection of a client, a worker or both; its handler task owns it."""

    def __init__(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter,
                 memory: MemoryBudget) -> None:
        """``memory`` is charged with what is held for this connection, except for its jobs."""
        self._memory = memory
        self._charged_bytes = 0  # for the connection itself and its abilities
        self._output_bytes = 0  # that the peer has yet to read, as accounted for
        self.number = number
        self.reader = reader
        self.writer = writer
        self.name = f"w{number}"
        self.client_id = b"-"
        self.wants_exceptions = False
        self.awaited_jobs: set[Submission] = set()
        self.abilities: dict[bytes, float] = {}
        self.asleep = False
        self.listed_as: tuple[int, int] | None = None  # state and class mask last sent to the core
        self.queued_calls: list[tuple[int, int, bytes, Call]] = []  # heap: priority, order, handle
        self.assignments: dict[bytes, Assignment] = {}
        # Handles of jobs that WORK_EXCEPTION ended; WORK_FAIL may follow.
        self.ended_by_exception: OrderedDict[bytes, None] = OrderedDict()
        self.latency_ms = 0.0
        self.turn_began = 0.0  # when other sessions had their turn last; event loop time, s
        self.charge(SESSION_BYTES)

    @property
    def has_left(self) -> bool:
        """Whether the peer has closed the connection, even if this process has yet to read what came before."""
        transport = self.writer.transport
        return transport.is_closing() or closed_by_peer(transport.get_extra_info("socket").fileno())

    def charge(self, count: int) -> None:
        """Account for memory that is held until the session ends; a negative count releases it."""
        self._charged_bytes += count
        self._memory.charge(count)

    def account_output(self) -> None:
        """Account for output that the transport still holds."""
        output_bytes = self.writer.transport.get_write_buffer_size()
        self._memory.charge(output_bytes - self._output_bytes)
        self._output_bytes = output_bytes

    def release_all(self) -> None:
        """The session has ended."""
        self._memory.release(self._charged_bytes + self._output_bytes)
        self._charged_bytes = self._output_bytes = 0

    def add_ability(self, function: bytes, timeout_s: float) -> bool:
        """Register a function; False if there is no memory for another one."""
        if function not in self.abilities:
            kept_free = int(self._memory.capacity * ABILITY_FREE_SHARE)
            if self._memory.free < len(function) + ABILITY_BYTES + kept_free:
                return False
            self.charge(len(function) + ABILITY_BYTES)
        self.abilities[function] = timeout_s
        return True

    def remove_ability(self, function: bytes) -> None:
        """Remove a function, if it is registered."""
        if self.abilities.pop(function, None) is not None:
            self.charge(-len(function) - ABILITY_BYTES)

    def send(self, kind: int, *arguments: bytes) -> None:
        """Write a packet; a peer that does not read is disconnected, which bounds the write buffer."""
        transport = self.writer.transport
        if transport.is_closing():
            return
        self.writer.write(pack(kind, *arguments))
        self.account_output()
        if self._output_bytes > (MIN_UNREAD_BYTES if self._memory.exhausted else MAX_UNREAD_BYTES):
            transport.abort()
