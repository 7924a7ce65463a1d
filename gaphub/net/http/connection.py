"""Owns one connection to a worker or an agent: requests are written to it and answers read from it.

HTTP itself is h11's, which does no I/O; here are the bytes between it and the socket.  It must never send a
request again, nor say that one did not run once its last byte was written.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable, Iterable
from typing import Any

import h11

from ...config import Address
from ..timeouts import timeout_after_poll
from . import tunables

Header = tuple[bytes, bytes]

# Of socket(2) and connect(2): errors that say nothing of the other side, and pass.
LOCAL_SHORTAGES = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
LOCAL_FAILURES = LOCAL_SHORTAGES | {errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN}


class ConnectionLostError(Exception):
    """The connection broke or ended where an answer was owed."""


class LocalFailureError(ConnectionLostError):
    """There is no room for a connection on this machine, whoever is on the other side."""


class NeverWrittenError(Exception):
    """The request's last byte was not written."""


class EarlyAnswerError(NeverWrittenError):
    """The other side spoke before the request's last byte was written."""


class Connection:
    """One outbound connection; ``close`` is the one place where it is given back."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.http = h11.Connection(h11.CLIENT)
        self.idle_since = 0.0
        self.used = False
        self.heard = False  # whether anything of the present answer has come
        writer.transport.set_write_buffer_limits(high=0)

    @classmethod
    async def connect(cls, to: Address, within_s: float,
                      failed_locally: Callable[[], None] = lambda: None) -> Connection:
        """A new connection; ConnectionLostError if it does not come up in time.

        Tries again while this machine itself is what fails, at most for ``LOCAL_RETRY_LIMIT_S``, and then raises
        LocalFailureError where the other side had no part in it.  Guards against holding a worker, or discovery,
        to account for a want of descriptors, ports or memory here.

        ``failed_locally`` is called at each failure of this machine.
        """
        loop = asyncio.get_running_loop()
        ends = loop.time() + tunables.LOCAL_RETRY_LIMIT_S
        while True:
            try:
                async with timeout_after_poll(within_s):
                    reader, writer = await asyncio.open_connection(*to)
                    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF,
                                                               tunables.SEND_BUFFER_BYTES)
                    return cls(reader, writer)
            except TimeoutError as error:
                raise ConnectionLostError(str(error)) from None
            except OSError as error:
                if error.errno not in LOCAL_FAILURES:
                    raise ConnectionLostError(str(error)) from None
                failed_locally()
                if loop.time() >= ends:
                    kind = LocalFailureError if error.errno in LOCAL_SHORTAGES else ConnectionLostError
                    raise kind(str(error)) from None
            await asyncio.sleep(tunables.LOCAL_RETRY_DELAY_S)

    @property
    def usable(self) -> bool:
        """Whether another request may be written."""
        return not (self.reader.at_eof() or self.writer.transport.is_closing())

    async def quiet(self) -> bool:
        """Whether nothing has come on it since its last answer."""
        self.heard = False
        try:
            async with asyncio.timeout(0.0):
                await self.reader.read(1)
        except TimeoutError:
            return True
        except OSError:
            pass
        return False

    async def send(self, method: str, target: str, headers: Iterable[Header], body: bytes) -> None:
        """Write a whole request; NeverWrittenError if its last byte did not leave."""
        await self._write(self._render(method, target, headers, body))

    async def begin(self, method: str, target: str, headers: Iterable[Header], body: bytes) -> bytes:
        """Write a request but for its last byte, which is given back for ``finish``, and wait a moment.

        Guards against connections that the other side resets when the next request comes: written in one
        go such a request may have run, and a never-twice one failed.  So the reset is here before the last
        byte, and NeverWrittenError says that it did not run.
        """
        data = self._render(method, target, headers, body)
        await self._write(data[:-1])
        try:
            async with asyncio.timeout(tunables.LAST_BYTE_DELAY_S):
                early = await self.reader.read(tunables.READ_CHUNK_BYTES)
        except TimeoutError:
            return data[-1:]
        except OSError:
            raise NeverWrittenError from None
        if not early:
            raise NeverWrittenError
        self.http.receive_data(early)
        raise EarlyAnswerError

    async def finish(self, last: bytes) -> None:
        """Write a request's last byte."""
        await self._write(last)

    def _render(self, method: str, target: str, headers: Iterable[Header], body: bytes) -> bytes:
        if self.used:
            self.http.start_next_cycle()
        self.used = True
        self.heard = False
        head = self.http.send(h11.Request(method=method, target=target, headers=list(headers))) or b""
        content = self.http.send(h11.Data(data=body)) if body else b""
        self.http.send(h11.EndOfMessage())
        return head + (content or b"")

    async def _write(self, data: bytes) -> None:
        """Hand bytes to the socket, all of them."""
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
        """The next h11 event of the answer; ConnectionLostError if there will be none."""
        while True:
            try:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    data = await self.reader.read(tunables.READ_CHUNK_BYTES)
                    self.heard = self.heard or bool(data)
                    self.http.receive_data(data)
                    continue
            except (OSError, h11.RemoteProtocolError) as error:
                raise ConnectionLostError(str(error)) from None
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionLostError("closed")
            return event

    async def read_body(self, most: int = tunables.MAX_ANSWER_LINE_BYTES) -> bytes:
        """The rest of an answer's body."""
        parts = bytearray()
        while not isinstance(event := await self.next_event(), h11.EndOfMessage):
            if isinstance(event, h11.Data):
                parts += event.data
                if len(parts) > most:
                    raise ConnectionLostError("answer too long")
        return bytes(parts)

    @property
    def reusable(self) -> bool:
        """Whether the last exchange ended so that the next may follow."""
        if self.http.trailing_data[0]:
            return False  # it said more than it was asked
        return self.usable and self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    def close(self) -> None:
        """Close; what was not read is lost."""
        self.writer.transport.abort()
