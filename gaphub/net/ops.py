"""Owns the operators' address: one HTTP call per connection, answered within its second.

It turns calls into questions to whoever wires it and must never decide anything itself, never wait for a
caller longer than its time, and never let callers that say nothing keep others out.
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

READ = 4096
HEAD_MOST = 8192  # bytes of a call's head
BODY_MOST = 256  # bytes; an id is shorter
CALL_S = 0.9  # from a connection's start to the end of its call
TAKE_S = 1.0  # for a caller to take its answer
YIELD_S = 0.02  # of a full house, a caller that has sent nothing for so long makes room
_IDENT = re.compile(r"[!-~]{1,128}")

Down = Callable[[str, bool], int]


class BadCallError(Exception):
    """A call that is answered with an error: its status."""

    def __init__(self, status: int) -> None:
        super().__init__(str(status))
        self.status = status


@dataclass(slots=True, eq=False)
class _Call:
    """One connection, from its accepting to its end."""

    sock: socket.socket
    heard_at: float  # when it was accepted, or bytes of it were read last; s, by the event loop's clock
    reads: bool = True  # the call has yet to come whole
    yielded: bool = False  # was made to go, and is about to
    task: asyncio.Task[None] = field(init=False)


class Ops:
    """The listener; ``ready``, ``stats`` and ``move`` are asked for the answers.

    ``move(id, out)`` gives the status of taking a worker out, or putting it back.
    """

    def __init__(self, listen: Address, counters: Counters, most: int, ready: Callable[[], bool],
                 stats: Callable[[], Any], move: Down) -> None:
        """``most``: connections at once; beyond it the one that has waited longest goes."""
        self.listen = listen
        self.counters = counters
        self.most = most
        self.ready = ready
        self.stats = stats
        self.move = move
        self._listener: socket.socket | None = None
        self._calls: dict[int, _Call] = {}  # by number, the oldest first
        self._serial = 0
        self._tasks = Tasks(counters)

    async def open(self) -> None:
        """Listen."""
        self._listener = listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.listen)
        listener.listen(BACKLOG)
        self._tasks.start(Acceptor(listener, self, self.counters, "ops").run())

    async def close(self) -> None:
        """Give back the listener and every connection."""
        await self._tasks.close()
        if self._listener is not None:
            self._listener.close()

    # -- what the acceptor asks of its owner --

    def free(self) -> int:
        """How many more connections callers may have."""
        return self.most - len(self._calls)

    def make_room(self, wanted: int) -> bool:
        """Have callers end that send nothing, the oldest first; whether any is about to.

        Guards against a crowd on this address: a call that was accepted among many was closed before it was read.
        """
        before = asyncio.get_running_loop().time() - YIELD_S
        going = sum(call.yielded for call in self._calls.values())
        for call in self._calls.values():
            if going >= wanted:
                break
            if call.reads and not call.yielded and call.heard_at <= before and shutdown_if_idle(call.sock):
                self.counters.add("ops.made_room")
                call.yielded = True
                call.task.cancel()
                going += 1
        return going > 0

    def connection_accepted(self, sock: socket.socket) -> None:
        """Answer the call of a connection that was accepted."""
        sock.setblocking(False)
        self._serial += 1
        number = self._serial
        call = _Call(sock, asyncio.get_running_loop().time())
        self._calls[number] = call
        call.task = self._tasks.start(self._serve(call))
        call.task.add_done_callback(lambda _: self._ended(number))

    def _ended(self, number: int) -> None:
        """Give back a connection, also one whose task was cancelled before it began."""
        self._calls.pop(number).sock.close()

    async def _serve(self, call: _Call) -> None:
        loop, sock = asyncio.get_running_loop(), call.sock
        try:
            http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_MOST)
            try:
                async with asyncio.timeout(CALL_S):
                    status, body = self._answer(*await self._read(http, call))
            except BadCallError as error:
                status, body = error.status, b""
            except h11.RemoteProtocolError as error:
                status, body = error.error_status_hint, b""
            except TimeoutError:
                status, body = 408, b""
            call.reads = False
            self.counters.add("ops.calls" if status < 300 else "ops.refused")
            if http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body))),
                           ("Connection", "close")]
                data = http.send(h11.Response(status_code=status, headers=headers)) or b""
                data += http.send(h11.Data(data=body)) or b""
                async with asyncio.timeout(TAKE_S):
                    await loop.sock_sendall(sock, data)
                    sock.shutdown(socket.SHUT_WR)
                    while await loop.sock_recv(sock, READ):
                        pass  # a close with bytes unread would take the answer back
        except (OSError, TimeoutError):
            pass

    async def _read(self, http: h11.Connection, call: _Call) -> tuple[str, str, bytes]:
        """Method, path and body of the call."""
        loop, sock = asyncio.get_running_loop(), call.sock
        request: h11.Request | None = None
        body = b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                if http.they_are_waiting_for_100_continue:
                    go_on = http.send(h11.InformationalResponse(status_code=100, headers=[]))
                    await loop.sock_sendall(sock, go_on or b"")
                http.receive_data(await loop.sock_recv(sock, READ))
                call.heard_at = loop.time()
            elif isinstance(event, h11.Request):
                request = event
                length = dict(event.headers).get(b"content-length", b"0")
                if length.isdigit() and int(length) > BODY_MOST:
                    raise BadCallError(413)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > BODY_MOST:
                    raise BadCallError(413)
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                return request.method.decode(), request.target.partition(b"?")[0].decode(), body
            else:
                raise ConnectionResetError("closed")

    def _answer(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        wanted = {"/ops/readiness": "GET", "/ops/stats": "GET", "/ops/workers/down": "PUT",
                  "/ops/workers/up": "PUT"}.get(path)
        if wanted is None:
            raise BadCallError(404)
        if method != wanted:
            raise BadCallError(405)
        if path == "/ops/readiness":
            return (200 if self.ready() else 503), b""
        if path == "/ops/stats":
            return 200, msgspec.json.encode(self.stats())
        with suppress(UnicodeDecodeError):
            if _IDENT.fullmatch(ident := body.decode("ascii").strip()):
                return self.move(ident, path.endswith("/down")), b""
        raise BadCallError(400)
