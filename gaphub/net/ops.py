"""The operators' HTTP server: one call per connection, answered within one second.

The callbacks given to it decide all answers.  It never waits for a caller beyond the timeouts below, and callers
that send nothing never keep others out.
"""

from __future__ import annotations

import asyncio
import re
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import h11
import msgspec

from ..config import Address
from ..metrics import Counters
from ..tasks import Tasks
from .listener import BACKLOG, Acceptor, shutdown_if_idle

READ_CHUNK_BYTES = 4096
MAX_HEAD_BYTES = 8192
MAX_BODY_BYTES = 256  # a worker id is shorter
CALL_TIMEOUT_S = 0.9  # from accepting a connection until its call is read and handled
ANSWER_WRITE_TIMEOUT_S = 1.0
EVICTION_IDLE_S = 0.02  # when all connections are in use, one that has been silent for this long may be evicted
_WORKER_ID = re.compile(r"[!-~]{1,128}")

SetDisabled = Callable[[str, bool], int]


class InvalidCallError(Exception):
    """The call is invalid and is answered with ``status``."""

    def __init__(self, status: int) -> None:
        super().__init__(str(status))
        self.status = status


@dataclass(slots=True, eq=False)
class _Connection:
    """One connection and the call on it."""

    sock: socket.socket
    last_read_at: float  # when it was accepted or last sent bytes; event loop time, s
    reading: bool = True  # the call has not been received completely
    evicted: bool = False  # evicted; its task is still ending
    task: asyncio.Task[None] = field(init=False)


class OpsServer:
    """The server; ``ready``, ``stats`` and ``set_disabled`` provide the answers.

    ``set_disabled(id, disabled)`` takes a worker out of service or puts it back and returns the HTTP status.
    """

    def __init__(self, listen: Address, counters: Counters, max_connections: int, ready: Callable[[], bool],
                 stats: Callable[[], Any], set_disabled: SetDisabled) -> None:
        """``max_connections``: limit of concurrent connections; at the limit the oldest silent one is evicted."""
        self.listen = listen
        self.counters = counters
        self.max_connections = max_connections
        self.ready = ready
        self.stats = stats
        self.set_disabled = set_disabled
        self._listener: socket.socket | None = None
        self._connections: dict[int, _Connection] = {}  # by number, the oldest first
        self._last_number = 0
        self._tasks = Tasks(counters)

    async def open(self) -> None:
        """Start to listen."""
        self._listener = listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.listen)
        listener.listen(BACKLOG)
        self._tasks.start(Acceptor(listener, self, self.counters, "ops").run())

    async def close(self) -> None:
        """Close the listener and every connection."""
        await self._tasks.close()
        if self._listener is not None:
            self._listener.close()

    # -- the acceptor's owner interface --

    def free(self) -> int:
        """How many more connections may be accepted."""
        return self.max_connections - len(self._connections)

    def make_room(self, wanted: int) -> bool:
        """Evict callers that send nothing, the oldest first; whether any connection is about to close.

        Only connections that have been silent for a while and have no unread bytes are evicted: otherwise, with
        many callers at once, a call that had just been accepted would be closed before it was read.
        """
        silent_since = asyncio.get_running_loop().time() - EVICTION_IDLE_S
        closing_count = sum(connection.evicted for connection in self._connections.values())
        for connection in self._connections.values():
            if closing_count >= wanted:
                break
            if (connection.reading and not connection.evicted and connection.last_read_at <= silent_since
                    and shutdown_if_idle(connection.sock)):
                self.counters.add("ops.made_room")
                connection.evicted = True
                connection.task.cancel()
                closing_count += 1
        return closing_count > 0

    def connection_accepted(self, sock: socket.socket) -> None:
        """Handle the call of an accepted connection."""
        sock.setblocking(False)
        self._last_number += 1
        number = self._last_number
        connection = _Connection(sock, asyncio.get_running_loop().time())
        self._connections[number] = connection
        connection.task = self._tasks.start(self._serve(connection))
        connection.task.add_done_callback(lambda _: self._ended(number))

    def _ended(self, number: int) -> None:
        """Close a connection, including one whose task was cancelled before it started."""
        self._connections.pop(number).sock.close()

    async def _serve(self, connection: _Connection) -> None:
        loop, sock = asyncio.get_running_loop(), connection.sock
        try:
            http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
            try:
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    status, body = self._answer(*await self._read(http, connection))
            except InvalidCallError as error:
                status, body = error.status, b""
            except h11.RemoteProtocolError as error:
                status, body = error.error_status_hint, b""
            except TimeoutError:
                status, body = 408, b""
            connection.reading = False
            self.counters.add("ops.calls" if status < 300 else "ops.refused")
            if http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body))),
                           ("Connection", "close")]
                data = http.send(h11.Response(status_code=status, headers=headers)) or b""
                data += http.send(h11.Data(data=body)) or b""
                async with asyncio.timeout(ANSWER_WRITE_TIMEOUT_S):
                    await loop.sock_sendall(sock, data)
                    sock.shutdown(socket.SHUT_WR)
                    while await loop.sock_recv(sock, READ_CHUNK_BYTES):
                        pass  # closing with unread bytes would reset the connection and lose the answer
        except (OSError, TimeoutError):
            pass

    async def _read(self, http: h11.Connection, connection: _Connection) -> tuple[str, str, bytes]:
        """Read the call: its method, path and body."""
        loop, sock = asyncio.get_running_loop(), connection.sock
        request: h11.Request | None = None
        body = b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                if http.they_are_waiting_for_100_continue:
                    interim = http.send(h11.InformationalResponse(status_code=100, headers=[]))
                    await loop.sock_sendall(sock, interim or b"")
                http.receive_data(await loop.sock_recv(sock, READ_CHUNK_BYTES))
                connection.last_read_at = loop.time()
            elif isinstance(event, h11.Request):
                request = event
                length = dict(event.headers).get(b"content-length", b"0")
                if length.isdigit() and int(length) > MAX_BODY_BYTES:
                    raise InvalidCallError(413)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise InvalidCallError(413)
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                return request.method.decode(), request.target.partition(b"?")[0].decode(), body
            else:
                raise ConnectionResetError("connection closed before the call was complete")

    def _answer(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        allowed_method = {"/ops/readiness": "GET", "/ops/stats": "GET", "/ops/workers/down": "PUT",
                          "/ops/workers/up": "PUT"}.get(path)
        if allowed_method is None:
            raise InvalidCallError(404)
        if method != allowed_method:
            raise InvalidCallError(405)
        if path == "/ops/readiness":
            return (200 if self.ready() else 503), b""
        if path == "/ops/stats":
            return 200, msgspec.json.encode(self.stats())
        with suppress(UnicodeDecodeError):
            if _WORKER_ID.fullmatch(worker := body.decode("ascii").strip()):
                return self.set_disabled(worker, path.endswith("/down")), b""
        raise InvalidCallError(400)
