"""Owns the state of one Gearman connection, and of the jobs that are submitted or grabbed on it.

It must never decide what becomes of a job, nor read from the connection: the front does.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field

from ...gearman.codec import pack
from ...gearman.queues import Waiting
from ...messages import Call, Job

WRITE_MOST = 4 * 1024 * 1024  # bytes that a peer may leave unread before its session ends


@dataclass(slots=True, eq=False)
class Work:
    """A submitted job: its handle, who waits for it, and how far it is."""

    handle: bytes
    function: bytes
    unique: bytes
    priority: int
    background: bool
    listeners: list[Session] = field(default_factory=list)
    job: Job | None = None
    waiting: Waiting | None = None  # before the core; None once it was offered
    reducer: bytes = b""  # the function that a worker of GRAB_JOB_ALL hands its parts to
    client: int = 0  # of a scheduled job: whose it is, and its size in the queues
    size: int = 0
    running: bool = False
    left_at: float = 0.0  # when the last that waited for it left before it was handed out: it is done with then
    progress: tuple[bytes, bytes] = (b"0", b"0")


@dataclass(slots=True, eq=False)
class Assigned:
    """A call that a worker has grabbed."""

    call: Call | None  # None: called off; the worker works on, and nobody waits
    until: float  # by the worker's own CAN_DO_TIMEOUT
    parts: bytearray = field(default_factory=bytearray)
    excepted: bool = False  # the worker said WORK_EXCEPTION, and nothing yet that ends the job


class Session:
    """One connection, of a client, a worker or both; its handler task is its owner."""

    def __init__(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.number = number
        self.reader = reader
        self.writer = writer
        self.name = f"w{number}"
        self.client_id = b"-"
        self.exceptions = False
        self.waits_for: set[Work] = set()
        self.abilities: dict[bytes, float] = {}
        self.asleep = False
        self.told: tuple[int, int] | None = None  # what the core knows: state and abilities
        self.queue: list[tuple[int, int, bytes, Call]] = []  # heap: priority, order, handle
        self.assigned: dict[bytes, Assigned] = {}
        self.excepted: OrderedDict[bytes, None] = OrderedDict()  # ended by WORK_EXCEPTION; WORK_FAIL may follow
        self.latency_ms = 0.0

    def send(self, kind: int, *arguments: bytes) -> None:
        """Write a packet; a peer that does not read loses its session instead of growing the buffer."""
        transport = self.writer.transport
        if transport.is_closing():
            return
        self.writer.write(pack(kind, *arguments))
        if transport.get_write_buffer_size() > WRITE_MOST:
            transport.abort()
