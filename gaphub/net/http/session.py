"""Owns the state of one client's connection: what has come and been read on it, and whether it may go.

It must never read a request, nor close anything: its handler and its listener do.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable
from enum import IntEnum

import h11

from ..arrival import ArrivalLog, age_ms, data_segments, since_last_data_ms
from . import tunables


def closed_by_peer(descriptor: int) -> bool:
    """Whether the other side has closed or reset a TCP connection, also behind bytes that are unread."""
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))


class SessionProtocol(asyncio.StreamReaderProtocol):
    """An inbound connection's protocol, which notes when its client left though bytes before that are unread."""

    def __init__(self, reader: asyncio.StreamReader, now: Callable[[], float]) -> None:
        super().__init__(reader)
        self.now = now
        self.left_at = 0.0
        self.heard = 0  # bytes that have come
        self.pieces = 0  # in so many segments, or reads from the socket
        self.heard_at = 0.0  # when the last of them had come to this machine; 0: none have come
        self.made_at = 0.0  # when the connection was accepted
        self.read_at = 0.0  # when the last bytes were read from the socket; 0: none have come
        self.arrivals = ArrivalLog()
        self._socket: socket.socket | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is taken in."""
        self._socket = transport.get_extra_info("socket")
        self.made_at = self.now()
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Bytes have come; whoever reads them has yet to be woken."""
        self.heard += len(data)
        assert self._socket is not None
        # Guards against a client that goes on writing while it waits to be accepted: all that was read as one
        # piece, and it was taken for one that begins a request and stops.
        self.pieces += 1 if self.pieces else max(1, data_segments(self._socket))
        self.read_at = self.now()
        self.heard_at = self.read_at - age_ms(self._socket, asyncio.get_running_loop())
        self.arrivals.note(len(data), self.heard_at)
        super().data_received(data)

    def eof_received(self) -> bool | None:
        """The client has ended its sending: it has gone away."""
        self.left_at = self.left_at or self.now()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is lost, or we have closed it."""
        self.left_at = self.left_at or self.now()
        super().connection_lost(exc)


class Place(IntEnum):
    """Among those that make room for newcomers, the first to go first; index of ``tunables.EVICTION_IDLE_MS``."""

    SILENT = 0  # nothing has come
    BEGUN = 1  # a piece of a first request, or no request but a GET
    GOOD = 2  # has carried a job, or goes on writing its first request


class ClientSession:
    """One inbound connection; its handler task is its owner."""

    __slots__ = ("reader", "writer", "protocol", "since", "waits", "asked", "served", "yielded", "halfway",
                 "flooded", "taken", "ahead")

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, protocol: SessionProtocol,
                 since: float) -> None:
        """``since``: when it was connected, as far as that is known."""
        self.reader = reader
        self.writer = writer
        self.protocol = protocol
        self.since = since
        self.waits: float | None = since  # since when the client is to send something; None: we are at work
        self.asked = False  # has carried a whole good request
        self.served = False  # has carried a job
        self.yielded = False  # was made to go, and is about to
        self.halfway = False  # a request has begun to come and is not whole
        self.flooded = False  # sent so much past a request that it was dropped; an answer, and it ends
        self.taken = 0  # bytes that were read from it
        self.ahead = 0  # of them kept past the open request, as the handler has accounted for them

    async def read(self) -> bytes:
        """What has come, as soon as anything has; empty at the end."""
        data = await self.reader.read(tunables.READ_CHUNK_BYTES)
        self.taken += len(data)
        return data

    def arrived_at(self, http: h11.Connection, now: float) -> float:
        """When the first byte that ``http`` has yet to parse had come to this machine; ``now`` at the latest."""
        known = self.protocol.arrivals.of(self.taken - len(http.trailing_data[0]))
        return now if known is None else min(now, known)

    @property
    def unread(self) -> bool:
        """Whether bytes have come to this process that its handler has yet to read."""
        return self.protocol.heard > self.taken

    def has_read_ahead(self, http: h11.Connection) -> bool:
        """Whether this process has read bytes past the present request.

        Guards against requests that a client sent ahead and that went with their connection, read and unanswered,
        because the answer before them closed it.
        """
        return bool(http.trailing_data[0]) or self.unread

    def left(self) -> float:
        """Since when the client is known to have closed its side or the connection to be lost; 0: it is there.

        Guards against a burst that keeps this process at work: a close lies in the kernel behind what has yet to
        be read, and is read a turn of the event loop after the request before it.  So the kernel is asked.
        """
        if not self.protocol.left_at and closed_by_peer(self.sock.fileno()):
            self.protocol.left_at = self.protocol.now()
        return self.protocol.left_at

    def may_close(self, before: float) -> bool:
        """Whether nothing is on its way on a connection that has waited since before a time.

        Guards against an answer that is still being taken, or a request that is half here or whole and not
        looked at yet, when we leave: what this process has read is owed an answer.  What lies in the kernel is
        looked at by the caller.
        """
        return (self.waits is not None and self.waits < before and not self.halfway and not self.unread
                and not self.writer.transport.get_write_buffer_size())

    def may_yield(self, now: float) -> tuple[Place, float] | None:
        """Its place among those that make room for a newcomer and since when it is idle; None: it stays.

        Guards against crowds that hold connections and send nothing, begin a request or asked once and stay:
        without this they filled the clients' part, and jobs were refused for want of a connection.  Who goes on
        with a first request is told from those by its second piece.
        """
        if self.waits is None or self.yielded or self.unread:
            return None
        if (self.writer.transport.get_write_buffer_size()
                and now - self.waits < tunables.ANSWER_WRITE_TIMEOUT_S * 1000.0):
            return None  # its answer is still being taken
        place, protocol = self.place, self.protocol
        since = max(self.waits, protocol.heard_at)  # who still writes goes after who says nothing
        seen_at = max(since, protocol.made_at, protocol.read_at)
        if (now - seen_at < tunables.EVICTION_IDLE_MS[place]
                and now - since < tunables.EVICTION_KERNEL_IDLE_MS[place]):
            return None
        return place, since

    @property
    def place(self) -> Place:
        """What it has carried so far."""
        if self.served or self.writes:
            return Place.GOOD
        return Place.BEGUN if self.protocol.pieces else Place.SILENT

    @property
    def writes(self) -> bool:
        """Whether it goes on with a first request."""
        return self.protocol.pieces > 1 and not self.asked

    @property
    def sock(self) -> socket.socket:
        """Its socket, to be asked or ended; the transport owns it."""
        found: socket.socket = self.writer.get_extra_info("socket")
        return found

    def describe(self, now: float) -> str:
        """Its state, for the log."""
        heard = self.protocol.heard_at
        last = f"the last {now - heard:.0f} ms ago" if heard else "none yet"
        by_kernel = since_last_data_ms(self.sock)
        return (f"open for {now - self.since:.0f} ms, {self.protocol.heard} bytes in {self.protocol.pieces} parts,"
                f" {last}, by the kernel {by_kernel} ms ago")
