"""One connection to a worker or to the discovery agent: writes requests to it and reads answers from it.

h11 implements HTTP without I/O; this module moves the bytes between h11 and the socket. It never resends a
request, and never reports a request as not sent once its last byte was written.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import h11

from ...config import Address
from ..timeouts import timeout_after_poll
from . import tunables

Header = tuple[bytes, bytes]

# Transient errors of socket(2) and connect(2) that are caused by this machine and say nothing about the peer.
LOCAL_RESOURCE_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
LOCAL_ERRORS = LOCAL_RESOURCE_ERRORS | {errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN}


class ConnectionLostError(Exception):
    """The connection could not be opened, broke, or ended before a valid answer was complete."""


class LocalFailureError(ConnectionLostError):
    """No connection could be opened for lack of resources on this machine, whatever the peer."""


class NeverWrittenError(Exception):
    """The request's last byte was not written."""


class EarlyAnswerError(NeverWrittenError):
    """The peer sent data before the request's last byte was written."""


class Connection:
    """One outbound connection; only ``close`` releases it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.http = h11.Connection(h11.CLIENT)
        self.idle_since = 0.0
        self.used = False
        self.answer_started = False  # whether any byte of the current answer was received
        writer.transport.set_write_buffer_limits(high=0)

    @classmethod
    async def connect(cls, address: Address, timeout_s: float,
                      on_local_failure: Callable[[], None] = lambda: None) -> Connection:
        """Open a connection; raises ConnectionLostError if that fails or takes longer than ``timeout_s``.

        Failures of this machine (descriptors, ports, memory) are retried for up to ``LOCAL_RETRY_LIMIT_S``, so
        that they do not count against a worker or the discovery agent. After that, LocalFailureError is raised for
        those that the peer cannot have caused.

        ``on_local_failure`` is called at each failure of this machine.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + tunables.LOCAL_RETRY_LIMIT_S
        while True:
            try:
                async with timeout_after_poll(timeout_s):
                    reader, writer = await asyncio.open_connection(*address)
                    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF,
                                                               tunables.SEND_BUFFER_BYTES)
                    return cls(reader, writer)
            except TimeoutError as error:
                raise ConnectionLostError(str(error)) from None
            except OSError as error:
                if error.errno not in LOCAL_ERRORS:
                    raise ConnectionLostError(str(error)) from None
                on_local_failure()
                if loop.time() >= deadline:
                    error_type = LocalFailureError if error.errno in LOCAL_RESOURCE_ERRORS else ConnectionLostError
                    raise error_type(str(error)) from None
            await asyncio.sleep(tunables.LOCAL_RETRY_DELAY_S)

    @property
    def usable(self) -> bool:
        """Whether another request may be written."""
        return not (self.reader.at_eof() or self.writer.transport.is_closing())

    async def is_silent(self) -> bool:
        """Whether nothing was received, neither data nor an end, since the last answer."""
        self.answer_started = False
        try:
            async with asyncio.timeout(0.0):
                await self.reader.read(1)
        except TimeoutError:
            return True
        except OSError:
            pass
        return False

    async def send(self, method: str, target: str, headers: Iterable[Header], body: bytes) -> None:
        """Write a whole request; raises NeverWrittenError if its last byte was not written."""
        for piece in _pieces(*self._serialize(method, target, headers, body)):
            await self._write(piece)

    async def send_up_to_last_byte(self, method: str, target: str, headers: Iterable[Header],
                                   body: bytes) -> bytes:
        """Write a request except for its last byte, wait ``LAST_BYTE_DELAY_S``, and return that byte.

        A peer may reset a kept-alive connection when the next request arrives. Had the request been written at
        once, it might have run, and a job that must not run twice would have failed. This way the reset arrives
        before the last byte, and NeverWrittenError proves that the request did not run.
        """
        unsent = b""
        for piece in _pieces(*self._serialize(method, target, headers, body)):
            if unsent:
                await self._write(unsent)
            unsent = piece
        last = unsent[-1:]
        await self._write(unsent[:-1])
        try:
            async with asyncio.timeout(tunables.LAST_BYTE_DELAY_S):
                early = await self.reader.read(tunables.READ_CHUNK_BYTES)
        except TimeoutError:
            return last
        except OSError:
            raise NeverWrittenError from None
        if not early:
            raise NeverWrittenError
        self.http.receive_data(early)
        raise EarlyAnswerError

    async def send_last_byte(self, last: bytes) -> None:
        """Write a request's last byte."""
        await self._write(last)

    def _serialize(self, method: str, target: str, headers: Iterable[Header], body: bytes) -> tuple[bytes, bytes]:
        """Head and body of a request as they are sent; the body is not copied."""
        if self.used:
            self.http.start_next_cycle()
        self.used = True
        self.answer_started = False
        head = self.http.send(h11.Request(method=method, target=target, headers=list(headers))) or b""
        content = (self.http.send(h11.Data(data=body)) if body else None) or b""
        self.http.send(h11.EndOfMessage())
        return head, bytes(content)

    async def _write(self, data: bytes) -> None:
        """Write all bytes to the socket, leaving none in the transport's buffer."""
        if not self.usable:
            raise NeverWrittenError
        self.writer.write(data)
        try:
            if self.writer.transport.is_closing():
                raise NeverWrittenError
            while self.writer.transport.get_write_buffer_size():
                await self.writer.drain()
        except OSError:
            raise NeverWrittenError from None

    async def next_event(self) -> Any:
        """Return the next h11 event of the answer; raises ConnectionLostError if there will be none."""
        while True:
            try:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    data = await self.reader.read(tunables.READ_CHUNK_BYTES)
                    self.answer_started = self.answer_started or bool(data)
                    self.http.receive_data(data)
                    continue
            except (OSError, h11.RemoteProtocolError) as error:
                raise ConnectionLostError(str(error)) from None
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionLostError("connection closed before the answer ended")
            return event

    async def read_body(self, max_bytes: int = tunables.MAX_ANSWER_LINE_BYTES) -> bytes:
        """Read the rest of an answer's body."""
        parts = bytearray()
        while not isinstance(event := await self.next_event(), h11.EndOfMessage):
            if isinstance(event, h11.Data):
                parts += event.data
                if len(parts) > max_bytes:
                    raise ConnectionLostError("answer body too long")
        return bytes(parts)

    @property
    def reusable(self) -> bool:
        """Whether the last exchange is complete, so that another request may follow."""
        if self.http.trailing_data[0]:
            return False  # the peer sent data past the end of its answer
        return self.usable and self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    def close(self) -> None:
        """Close the connection at once; unread data is discarded."""
        self.writer.transport.abort()


def _pieces(head: bytes, content: bytes) -> Iterator[bytes]:
    """A request in pieces, so that a worker that does not read makes this process hold no copy of a large body."""
    size = tunables.SEND_BUFFER_BYTES
    if len(head) + len(content) <= size:
        yield head + content
        return
    yield head
    for start in range(0, len(content), size):
        yield content[start:start + size]
