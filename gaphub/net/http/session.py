"""State of one client connection: what was received and read on it, and whether it may be closed.

Does not read requests and closes nothing; its handler and its listener do.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from enum import IntEnum

import h11

from ..arrival import ArrivalLog, data_age_ms, received_segments, since_last_data_ms
from ..listener import closed_by_peer, has_input
from ..memory import BUFFER_FACTOR, CONNECTION_BYTES, MemoryBudget
from . import tunables

_receive_buffer = memoryview(bytearray(tunables.CLIENT_READ_BYTES))  # of all connections: emptied after each read


class SessionProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Protocol of an inbound connection; records arrivals, and when the client left even if bytes are unread.

    A ``BufferedProtocol``, so that a read from the socket is never larger than the receive buffer.
    """

    def __init__(self, reader: asyncio.StreamReader, now: Callable[[], float], memory: MemoryBudget) -> None:
        """``memory`` is charged with what is read from the socket."""
        super().__init__(reader)
        self.now = now
        self._memory = memory
        self.client_left_at = 0.0
        self.bytes_received = 0
        self.segments_received = 0  # segments up to the first read, then reads from the socket
        self.last_received_at = 0.0  # when the last bytes reached this machine; 0: none have
        self.accepted_at = 0.0
        self.last_read_at = 0.0  # when the last bytes were read from the socket; 0: none were
        self.arrivals = ArrivalLog()
        self._socket: socket.socket | None = None
        self._transport: asyncio.Transport | None = None
        self._paused_for_memory = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See ``asyncio.BaseProtocol``."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._socket = transport.get_extra_info("socket")
        self.accepted_at = self.now()
        super().connection_made(transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """See ``asyncio.BufferedProtocol``; short while memory is lacking, so that little is added to it."""
        return _receive_buffer if self._memory.free > 0 else _receive_buffer[:tunables.SHORT_READ_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """See ``asyncio.BufferedProtocol``."""
        self.data_received(bytes(_receive_buffer[:nbytes]))
        if self._memory.free < 0 and self._transport is not None:
            self._transport.pause_reading()
            self._paused_for_memory = True

    def resume_reading(self) -> None:
        """Go on reading if that was paused for lack of memory: what was read has been taken."""
        if self._paused_for_memory and self._transport is not None:
            self._paused_for_memory = False
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Record bytes that were read from the socket; the reading task is yet to be woken."""
        self.bytes_received += len(data)
        self._memory.charge(BUFFER_FACTOR * len(data))
        assert self._socket is not None
        # All that a client writes while it waits to be accepted is read at once. Counting that as one segment
        # would make a client that is still writing look like one that begins a request and stops.
        self.segments_received += 1 if self.segments_received else max(1, received_segments(self._socket))
        self.last_read_at = self.now()
        self.last_received_at = self.last_read_at - data_age_ms(self._socket, asyncio.get_running_loop())
        self.arrivals.record(len(data), self.last_received_at, self.last_read_at)
        super().data_received(data)

    def eof_received(self) -> bool | None:
        """Treat a half-close by the client as its leaving."""
        self.client_left_at = self.client_left_at or self.now()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection was lost, or closed by this side."""
        self.client_left_at = self.client_left_at or self.now()
        super().connection_lost(exc)


class EvictionClass(IntEnum):
    """Classes of connections in the order of eviction; the index of ``tunables.EVICTION_IDLE_MS``.

    The names of the members are part of counter names: ``connections.yielded_silent`` and so on.
    """

    SILENT = 0  # nothing was received
    BEGUN = 1  # part of a first request, or only requests that are not jobs
    GOOD = 2  # has carried a job, or its first request is still being written


class ClientSession:
    """One inbound connection, owned by its handler task."""

    __slots__ = ("reader", "writer", "protocol", "connected_at", "waiting_since", "had_request", "had_job",
                 "evicted", "mid_request", "flooded", "number", "requests", "bytes_read", "ahead", "_memory",
                 "_bytes_released", "_output_bytes")

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, protocol: SessionProtocol,
                 connected_at: float, memory: MemoryBudget, number: int = 0) -> None:
        """``connected_at``: when the connection was made, as far as the kernel tells.

        ``memory`` is charged with all that is held for this connection; ``number`` identifies it in the log.
        """
        self.reader = reader
        self.writer = writer
        self.protocol = protocol
        self.connected_at = connected_at
        # Since when the next bytes are expected from the client; None while a request is being handled.
        self.waiting_since: float | None = connected_at
        self.had_request = False  # has carried a complete valid request
        self.had_job = False  # has carried a job
        self.evicted = False  # is being closed to make room
        self.mid_request = False  # part of a request was received
        # Sent so much past its open request that input was discarded. It is closed after the answer.
        self.flooded = False
        self.number = number
        self.requests = 0  # complete valid requests so far
        self.bytes_read = 0  # by ``read``
        self.ahead = bytearray()  # received past the open request, for ``read`` to return first
        self._memory = memory
        self._bytes_released = 0  # received bytes that are no longer held
        self._output_bytes = 0  # answers that the client has yet to take, as accounted for
        memory.charge(CONNECTION_BYTES)

    async def read(self, count: int) -> bytes:
        """Return up to ``count`` received bytes as soon as there are any; empty at the end of the stream.

        Other connections have their turn first, so that a client that sends at full speed does not delay them.
        """
        if self.has_unread:
            await asyncio.sleep(0)
        if self.ahead:
            data = bytes(self.ahead[:count])
            del self.ahead[:len(data)]
        else:
            self.protocol.resume_reading()
            data = await self.reader.read(count)
        self.bytes_read += len(data)
        return data

    async def receive(self) -> bytes:
        """Return received bytes that ``read`` is to return later or never: see ``keep`` and ``discard``."""
        self.protocol.resume_reading()
        return await self.reader.read(tunables.READ_CHUNK_BYTES)

    def keep(self, data: bytes) -> None:
        """Keep bytes from ``receive`` for ``read``."""
        self.ahead += data

    def discard(self, data: bytes) -> None:
        """Drop bytes from ``receive``."""
        self.bytes_read += len(data)
        self._release(len(data))

    # -- memory --

    def _release(self, count: int) -> None:
        self._bytes_released += count
        self._memory.release(BUFFER_FACTOR * count)

    def release_request(self, http: h11.Connection) -> None:
        """Nothing of the requests that ``http`` has parsed is held any longer."""
        self._release(self.bytes_read - len(http.trailing_data[0]) - self._bytes_released)

    def account_output(self) -> None:
        """Account for answers that the transport still holds."""
        output_bytes = self.writer.transport.get_write_buffer_size()
        self._memory.charge(output_bytes - self._output_bytes)
        self._output_bytes = output_bytes

    def release_all(self) -> None:
        """The connection has ended, and nothing is held for it any longer."""
        self.ahead.clear()
        self._release(self.protocol.bytes_received - self._bytes_released)
        self._memory.release(self._output_bytes + CONNECTION_BYTES)
        self._output_bytes = 0
        self._memory.finished(self)

    # -- arrival --

    def arrived_at(self, http: h11.Connection, now: float) -> float:
        """When the first byte that ``http`` has not parsed yet reached this machine; at most ``now``."""
        known = self.protocol.arrivals.arrival_of(self.bytes_read - len(http.trailing_data[0]))
        return now if known is None else min(now, known)

    def last_byte_at(self, http: h11.Connection, now: float) -> float:
        """When the last byte of the request that ``http`` has just parsed arrived here, at the earliest."""
        known = self.protocol.arrivals.arrival_of(self.bytes_read - len(http.trailing_data[0]) - 1)
        return now if known is None else min(now, known)

    def read_whole_at(self, http: h11.Connection, now: float) -> float:
        """When the last byte of the request that ``http`` has just parsed was read from the socket."""
        known = self.protocol.arrivals.read_time_of(self.bytes_read - len(http.trailing_data[0]) - 1)
        return now if known is None else min(now, known)

    def discard_arrivals(self) -> None:
        """Forget when the bytes came that were read so far; no request ends among them.

        A request in very many pieces would otherwise fill the log, and its last byte would seem too old.
        """
        self.protocol.arrivals.discard_before(self.bytes_read)

    @property
    def may_receive(self) -> bool:
        """Whether ``receive`` returns bytes or the end of the stream without waiting for the client."""
        return self.protocol.bytes_received > self.bytes_read + len(self.ahead) or has_input(self.sock.fileno())

    @property
    def has_unread(self) -> bool:
        """Whether this process has received bytes that the handler has not read yet."""
        return self.protocol.bytes_received > self.bytes_read

    def has_read_ahead(self, http: h11.Connection) -> bool:
        """Whether this process has read bytes past the current request.

        If the current answer closed the connection, pipelined requests that were already read would be lost
        without an answer.
        """
        return self.has_unread or bool(http.trailing_data[0])

    def client_left_at(self) -> float:
        """When the client was found to have closed its side or the connection to be lost; 0 if neither.

        Asks the kernel too: a close lies behind unread bytes there, and is read one turn of the event loop after
        the request before it. A burst that keeps this process busy would make that late.
        """
        if not self.protocol.client_left_at and closed_by_peer(self.sock.fileno()):
            self.protocol.client_left_at = self.protocol.now()
        return self.protocol.client_left_at

    def may_close(self, before: float) -> bool:
        """Whether the connection has been idle since before a time, with nothing in transit in this process.

        When this process shuts down, every request that it has read must be answered. So a connection stays
        open while an answer is being written, or a request was received in part, or as a whole but not parsed yet.
        The caller checks for bytes that are still in the kernel.
        """
        return (self.waiting_since is not None and self.waiting_since < before
                and not self.mid_request and not self.has_unread
                and not self.writer.transport.get_write_buffer_size())

    def eviction_rank(self, now: float) -> tuple[EvictionClass, float] | None:
        """Class and time of last activity, which order evictions; None if it may not be evicted now.

        Without evictions, clients that connect and send nothing, begin a request, or stay after one request would
        use up the clients' share of descriptors, and jobs would be refused for lack of a connection. A client that
        is still writing its first request differs from those by a second segment.
        """
        if self.waiting_since is None or self.evicted or self.has_unread:
            return None
        if (self.writer.transport.get_write_buffer_size()
                and now - self.waiting_since < tunables.ANSWER_WRITE_TIMEOUT_S * 1000.0):
            return None  # the client is still reading its answer
        eviction_class, protocol = self.eviction_class, self.protocol
        idle_since = max(self.waiting_since, protocol.last_received_at)  # one that is still writing goes later
        seen_at = max(idle_since, protocol.accepted_at, protocol.last_read_at)
        if (now - seen_at < tunables.EVICTION_IDLE_MS[eviction_class]
                and now - idle_since < tunables.EVICTION_KERNEL_IDLE_MS[eviction_class]):
            return None
        return eviction_class, idle_since

    @property
    def eviction_class(self) -> EvictionClass:
        """Class by what the connection has carried so far."""
        if self.had_job or self.is_writing_first_request:
            return EvictionClass.GOOD
        return EvictionClass.BEGUN if self.protocol.segments_received else EvictionClass.SILENT

    @property
    def is_writing_first_request(self) -> bool:
        """Whether the client's first request has come in several segments and is not complete."""
        return self.protocol.segments_received > 1 and not self.had_request

    @property
    def sock(self) -> socket.socket:
        """The socket, for queries and shutdown(2); the transport owns it."""
        sock: socket.socket = self.writer.get_extra_info("socket")
        return sock

    def describe(self, now: float) -> str:
        """State of the connection for the log."""
        received_at = self.protocol.last_received_at
        last = f"the last {now - received_at:.0f} ms ago" if received_at else "none yet"
        by_kernel = since_last_data_ms(self.sock)
        return (f"connection {self.number}, open for {now - self.connected_at:.0f} ms,"
                f" {self.protocol.bytes_received} bytes received"
                f" in {self.protocol.segments_received} segments, {last}; last data by the kernel's count"
                f" {by_kernel} ms ago")
