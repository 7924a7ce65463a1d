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

MAX_UNREAD_BYTES = 4 * 1024 * 1024  # output that a peer may leave unread before its session is closed


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
    reducer: bytes = b""  # function that aggregates partial results; sent with JOB_ASSIGN_ALL
    client: int = 0  # of a scheduled job: the number of its client's session
    size: int = 0  # of a scheduled job: of its names and workload
    running: bool = False  # a worker has started it, or it ended without having started
    abandoned_at: float = 0.0  # when its last client left, if that ended the job; 0: it did not
    progress: tuple[bytes, bytes] = (b"0", b"0")


@dataclass(slots=True, eq=False)
class Assignment:
    """A call that a worker has grabbed."""

    call: Call | None  # None: cancelled; the worker still runs it, but its result is ignored
    times_out_at: float  # by the timeout that the worker gave with CAN_DO_TIMEOUT
    partial_data: bytearray = field(default_factory=bytearray)
    got_exception: bool = False  # the worker sent WORK_EXCEPTION and has not ended the job yet


class Session:
    """One connection of a client, a worker or both; its handler task owns it."""

    def __init__(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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

    def send(self, kind: int, *arguments: bytes) -> None:
        """Write a packet; a peer that does not read is disconnected, which bounds the write buffer."""
        transport = self.writer.transport
        if transport.is_closing():
            return
        self.writer.write(pack(kind, *arguments))
        if transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            transport.abort()
