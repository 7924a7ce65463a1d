"""Owns the clients' side: listening, their connections, and the requests and answers on these.

It must never decide where a job goes or whether it is served.
"""

from __future__ import annotations

import asyncio
import re
import socket
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Any

import h11
import msgspec

from ...config import Address, Config
from ...core import Answer, Core, Ending, Fence, Job, Tasks
from ...metrics import Counters
from . import tunables
from .drain import Drain
from .request import BadRequestError, check_head, parse_job
from .session import Ears, Visitor

_ANSWERS = {Ending.SERVED: 200, Ending.REFUSED: 503, Ending.FAILED: 502}


class Inbound:
    """The clients' side: one handler for each connection, one request at a time on each."""

    def __init__(self, config: Config, core: Core, counters: Counters, listen: Address | None = None,
                 fence: Fence | None = None, part: float = 1.0) -> None:
        """``listen``, ``fence``: of a listener beside the platform's; ``part``: of the clients' sockets."""
        self.core = core
        self.counters = counters
        self.listen = listen or config.listen
        self.shared = config.admin is not None  # upgrades: two processes listen at once
        self.fence = fence
        self.room = max(1, int(config.limits.sockets * tunables.INBOUND_PART * part))
        self.bodies = int(config.limits.memory_mb * 1e6 * tunables.BODIES_PART * part)  # bytes, together
        self.visitors: dict[int, Visitor] = {}
        self.open_ids: set[str] = set()
        self.drain = Drain()
        self.ready = False
        self._serial = 0
        self._flooding = 0  # clients whose excess is being dropped
        self._listener: socket.socket | None = None
        self._accepting: asyncio.Task[None] | None = None
        self._arriving: asyncio.Task[None] | None = None  # the last connection's taking in
        self._tasks = Tasks(counters)

    async def open(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        found = await loop.getaddrinfo(*self.listen, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)
        self._listener = listener = socket.socket(*found[0][:3])
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.shared:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        # Inherited by connections: bounds what one that sends without end may have in our memory.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, tunables.RECEIVE)
        listener.bind(found[0][4])
        listener.listen(tunables.BACKLOG)
        self._accepting = self._tasks.start(self._accept(listener))

    async def _stop_accepting(self) -> None:
        """Take in whoever the kernel has given to this process, and listen no longer.

        What waits at a listener that is closed is reset, though another process listens at the same address;
        so the last look and the close stand next to each other.
        """
        if self._listener is None or self._accepting is None:
            return
        self._accepting.cancel()
        await asyncio.wait([self._accepting, *([self._arriving] if self._arriving else [])])
        left = []
        with suppress(OSError):
            while True:
                left.append(self._listener.accept()[0])
        self._listener.close()
        self._listener = None
        for sock in left:
            sock.setblocking(False)
            await self._take_in(sock)

    async def leave(self, others_serve: Callable[[], bool], successor: bool = False) -> None:
        """After SIGTERM: serve on while connections come, then end each after its answer.

        Clients go on using the connections that they have.  Where no other scheduler takes requests, those
        are all that the clients have: they are kept while a request may still be answered on them.
        ``successor``: another process listens at the same address.  Then new connections are its, at once, and
        those that are here end with an answer; idle ones wait for one as long as there is time.
        """
        now = self.core.clock.now
        # Of the classes in force: rows of others are kept for open jobs, and SIGKILL does not wait for those.
        longest = max(self.core.settings.classes[row].deadline_ms for row in self.core.table.live.values())
        self.drain.begin(now(), longest)
        if successor:
            self.drain.leaving = True
            await self._stop_accepting()
        else:
            await asyncio.sleep(tunables.LINGER_S)
        while (successor and self.visitors or not (successor or others_serve())) \
                and now() < self.drain.ends_at - tunables.LEAVE_LEAST_MS:
            await asyncio.sleep(0.02)
        self.drain.leaving = True
        while True:
            while self.visitors or self.core.open_jobs:
                self._close_resting(self.core.clock.now() - tunables.IDLE_LEAVING_S * 1000.0)
                await asyncio.sleep(0.02)
            if self._listener is None:
                return
            # Guards against a client that connects just as the last one has gone: the kernel has taken it, and
            # a process that ends would reset it with its request unread.
            await self._stop_accepting()

    def _close_resting(self, before: float) -> None:
        """Close what has rested since before a time."""
        for visitor in list(self.visitors.values()):
            if visitor.may_close(before):
                visitor.writer.transport.abort()

    async def close(self) -> None:
        """Give back the listening socket and every connection."""
        await self._tasks.close()
        if self._listener is not None:
            self._listener.close()

    async def _accept(self, listener: socket.socket) -> None:
        """Accept one connection at a time, so that a burst of them never passes the clients' part."""
        loop = asyncio.get_running_loop()
        while True:
            while len(self.visitors) >= self.room:
                await asyncio.sleep(0.0 if self._make_room() else 0.01)
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                await _readable(loop, listener)
                continue
            except OSError as error:
                self.counters.log("connections.not_accepted", repr(error))
                await asyncio.sleep(0.05)
                continue
            sock.setblocking(False)
            # A task of its own, waited for: an accepted connection is taken in even if accepting ends meanwhile.
            self._arriving = self._tasks.start(self._take_in(sock))
            await asyncio.wait([self._arriving])

    async def _take_in(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            reader = asyncio.StreamReader(limit=tunables.RECEIVE)
            protocol = Ears(reader, self.core.clock.now)
            transport, _ = await loop.connect_accepted_socket(lambda: protocol, sock)
        except OSError:
            sock.close()
            return
        self.counters.add("connections.inbound")
        self._serial += 1
        visitor = Visitor(reader, asyncio.StreamWriter(transport, protocol, reader, loop), protocol,
                          self.core.clock.now())
        self.visitors[self._serial] = visitor
        self._tasks.start(self._serve(self._serial, visitor))

    def _make_room(self) -> bool:
        """Whether a connection is on its way out, if need be one that is made to go."""
        if any(v.yielded for v in self.visitors.values()):
            return True
        now = self.core.clock.now()
        found = [(place, n) for n, v in self.visitors.items() if (place := v.may_yield(now)) is not None]
        if not found:
            return False
        self.counters.add("connections.yielded")
        visitor = self.visitors[min(found)[1]]
        visitor.yielded = True
        visitor.writer.transport.abort()
        return True

    async def _serve(self, number: int, visitor: Visitor) -> None:
        writer = visitor.writer
        try:
            await self._exchange(visitor)
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            visitor.waits, visitor.asked, visitor.served = self.core.clock.now(), False, False
            writer.close()
            with suppress(OSError, TimeoutError, asyncio.CancelledError):
                async with asyncio.timeout(tunables.TAKE_S):
                    await writer.wait_closed()
            writer.transport.abort()
            del self.visitors[number]

    async def _exchange(self, visitor: Visitor) -> None:
        http = h11.Connection(h11.SERVER)
        while True:
            visitor.waits = self.core.clock.now()
            try:
                found = await self._read(http, visitor)
                if found is None:
                    return
                visitor.waits = None
                await self._handle(*found, http, visitor)
            except (BadRequestError, h11.RemoteProtocolError) as error:
                self.counters.log("garbled.request", str(error) or type(error).__name__)
                status = error.status if isinstance(error, BadRequestError) else error.error_status_hint
                if http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    await self._write(http, visitor.writer, status, b"", [("Connection", "close")])
                    await self._linger(visitor)
                return
            visitor.asked = True
            if visitor.flooded:
                await self._linger(visitor)
                return
            if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                return
            http.start_next_cycle()

    @staticmethod
    async def _linger(visitor: Visitor) -> None:
        """Let an error reach a client that still sends: a close with bytes unread would take it back."""
        left = tunables.LINGER_MOST
        visitor.waits = visitor.waits or 0.0  # from here on it may make room at once
        with suppress(OSError, TimeoutError):
            visitor.writer.write_eof()
            async with asyncio.timeout(tunables.LINGER_ERROR_S):
                while left > 0 and (data := await visitor.read()):
                    left -= len(data)

    def _until(self, visitor: Visitor, received_at: float) -> float | None:
        """Until when the next bytes must come; None: there is no hurry."""
        if not visitor.asked:
            return visitor.since + tunables.FRESH_S * 1000.0
        return received_at + tunables.REQUEST_S * 1000.0 if received_at else None

    async def _read(self, http: h11.Connection, visitor: Visitor) -> tuple[h11.Request, bytes, float] | None:
        """The next whole request; None when the client closes."""
        request: h11.Request | None = None
        body = bytearray()
        received_at = self.core.clock.now() if http.trailing_data[0] else 0.0
        visitor.halfway = bool(received_at)
        try:
            while True:
                raw = http.trailing_data[0] if request is None else b""
                event = http.next_event()
                if event is h11.NEED_DATA:
                    if http.they_are_waiting_for_100_continue:
                        visitor.writer.write(
                            http.send(h11.InformationalResponse(status_code=100, headers=[])) or b"")
                    # Between requests a client may be silent as long as it likes, inside one and before
                    # its first it may not.
                    until = self._until(visitor, received_at)
                    left_s = None if until is None else (until - self.core.clock.now()) / 1000.0
                    try:
                        async with asyncio.timeout(left_s):
                            data = await visitor.read()
                    except TimeoutError:
                        if visitor.unread and not received_at:
                            continue  # the first bytes came in this very moment: they are looked at first
                        raise BadRequestError(408, "the request did not end in time") from None
                    if data:
                        received_at = received_at or self.core.clock.now()
                        visitor.halfway = True
                    http.receive_data(data)
                elif isinstance(event, h11.Request):
                    check_head(event, re.split(rb"\r?\n\r?\n", raw, maxsplit=1)[0])
                    request = event
                elif isinstance(event, h11.Data):
                    body += event.data
                    self.bodies -= len(event.data)
                    if len(body) > tunables.BODY_MOST:
                        raise BadRequestError(413, "body over 64 KiB")
                    if self.bodies < 0:
                        raise BadRequestError(503, "no room for bodies")
                elif isinstance(event, h11.EndOfMessage) and request is not None:
                    return request, bytes(body), received_at
                else:
                    return None
        finally:
            visitor.halfway = False
            self.bodies += len(body)

    async def _handle(self, event: h11.Request, body: bytes, received_at: float, http: h11.Connection,
                      visitor: Visitor) -> None:
        target = event.target.partition(b"?")[0]
        writer = visitor.writer
        if event.method == b"GET" and target == b"/-/ready":
            await self._write(http, writer, 200 if self.ready else 503, b"")
        elif event.method == b"GET" and target == b"/-/counters":
            await self._write(http, writer, 200, msgspec.json.encode(self.counters.snapshot()))
        elif event.method != b"POST":
            await self._write(http, writer, 404 if event.method == b"GET" else 405, b"")
        else:
            future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
            job = parse_job(event, body, self.core.table.live, received_at, lambda a: _settle(future, a))
            if job.ident in self.open_ids:
                raise BadRequestError(409, "the id of an open request")
            visitor.served = True
            if visitor.left():  # sent ahead behind another request, and gone since
                self.counters.add("requests.left_before")
                raise ConnectionResetError("client gone")
            job.fence, job.left = self.fence, visitor.left
            self.open_ids.add(job.ident)
            try:
                if not self.core.may_write(job):
                    # Asked here, when it is taken, and in the core again: after a freeze the clock knows.
                    self.counters.add("requests.fenced")
                    future.set_result(self.core.turn_away(job, job.fence.return_ms if job.fence else 0.0))
                elif not self.drain.may_begin(job, self.core.settings.classes[job.class_index]):
                    future.set_result(self.core.turn_away(job, tunables.LEAVE_RETURN_MS))
                elif not self.core.offer(job):
                    future.set_result(self.core.turn_away(job))
                answer = await self._wait(job, future, http, visitor)
            finally:
                self.open_ids.discard(job.ident)
            if answer is None:
                raise ConnectionResetError("client gone")
            extra = []
            if answer.ending is Ending.REFUSED and answer.retry_after_ms > 0:
                extra = [("Retry-After", f"{answer.retry_after_ms / 1000.0:.3f}")]
            await self._write(http, writer, _ANSWERS[answer.ending], answer.body, extra, visitor.flooded)

    async def _wait(self, job: Job, future: asyncio.Future[Answer], http: h11.Connection,
                    visitor: Visitor) -> Answer | None:
        """The final answer; None if the client went first, which the core is told."""
        read = asyncio.ensure_future(visitor.read())
        early = 0
        try:
            while True:
                waited: set[asyncio.Future[Any]] = {read, future}
                await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
                if future.done():
                    return await future
                data = b""
                with suppress(OSError):
                    data = read.result()
                if not data:
                    await self.core.post(lambda: self.core.gone(job))
                    return None
                early += len(data)
                if early <= tunables.BODY_MOST:
                    http.receive_data(data)  # of the next request; the client may still leave
                elif not visitor.flooded:
                    visitor.flooded = True
                    self._flooding += 1
                if visitor.flooded:
                    await asyncio.wait([future], timeout=tunables.DROP_S * self._flooding)
                read = asyncio.ensure_future(visitor.read())
        except asyncio.CancelledError:
            await self.core.post(lambda: self.core.gone(job))
            raise
        finally:
            if visitor.flooded:
                self._flooding -= 1
            read.cancel()  # bytes that have not been read by now stay in the reader
            with suppress(OSError, asyncio.CancelledError):
                if (data := await read) and not visitor.flooded:
                    http.receive_data(data)

    async def _write(self, http: h11.Connection, writer: asyncio.StreamWriter, status: int, body: bytes,
                     extra: Iterable[tuple[str, str]] = (), flooded: bool = False) -> None:
        headers = [("Content-Length", str(len(body))), *extra]
        if self.drain.leaving or flooded:
            headers.append(("Connection", "close"))
        data = http.send(h11.Response(status_code=status, headers=headers)) or b""
        if body:
            data += http.send(h11.Data(data=body)) or b""
        data += http.send(h11.EndOfMessage()) or b""
        writer.write(data)
        async with asyncio.timeout(tunables.TAKE_S):
            await writer.drain()


def _be_told(there: asyncio.Future[None]) -> None:
    if not there.done():
        there.set_result(None)


async def _readable(loop: asyncio.AbstractEventLoop, listener: socket.socket) -> None:
    """Wait until there is somebody to accept.

    Guards against a connection that is lost because accepting is called off just as it was accepted: with
    ``loop.sock_accept`` its socket would be the result of a call that nobody reads any more.
    """
    there: asyncio.Future[None] = loop.create_future()
    loop.add_reader(listener.fileno(), _be_told, there)
    try:
        await there
    finally:
        loop.remove_reader(listener.fileno())


def _settle(future: asyncio.Future[Answer], answer: Answer) -> None:
    if not future.done():
        future.set_result(answer)
