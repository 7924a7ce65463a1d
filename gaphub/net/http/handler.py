"""Owns the requests and answers on the clients' connections, one at a time on each, and what they share.

It must never decide where a job goes or whether it is served: it offers each to the core and writes what that
answers.  It closes no connection: its listener does, once ``serve`` has come back.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Iterable
from contextlib import suppress
from typing import Any

import h11
import msgspec

from ...core import Core
from ...messages import Answer, Ending, Fence, Job
from ...metrics import Counters
from ..timeouts import timeout_after_poll
from . import tunables
from .drain import Drain
from .request import BadRequestError, check_head, parse_job
from .session import ClientSession

_ANSWERS = {Ending.SERVED: 200, Ending.REFUSED: 503, Ending.FAILED: 502}


class RequestHandler:
    """Serves the clients' connections of one listener."""

    def __init__(self, core: Core, counters: Counters, drain: Drain, fence: Fence | None, bodies: int) -> None:
        """``fence``: of the lease that a job needs; ``bodies``: room for those that are still coming, in bytes."""
        self.core = core
        self.counters = counters
        self.drain = drain
        self.fence = fence
        self.bodies = bodies
        self.open_ids: set[str] = set()
        self.ready = False
        self._flooding = 0  # clients whose excess is being dropped

    async def serve(self, session: ClientSession) -> None:
        """Answer a connection's requests, one at a time, until it is to be closed."""
        http = h11.Connection(h11.SERVER)
        try:
            await self._serve(http, session)
        finally:
            self._account_for(session, 0)

    async def _serve(self, http: h11.Connection, session: ClientSession) -> None:
        while True:
            session.waits = self.core.clock.now() if session.asked else session.since
            try:
                found = await self._read(http, session)
                if found is None:
                    return
                session.waits = None
                await self._handle(*found, http, session)
            except (BadRequestError, h11.RemoteProtocolError) as error:
                self.counters.log("garbled.request", str(error) or type(error).__name__)
                status = error.status if isinstance(error, BadRequestError) else error.error_status_hint
                if http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    await self._write(http, session, status, b"", [("Connection", "close")])
                    await self._linger(session)
                return
            session.asked = True
            if session.flooded:
                await self._linger(session)
                return
            if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                return
            http.start_next_cycle()

    @staticmethod
    async def _linger(session: ClientSession) -> None:
        """Let an error reach a client that still sends: a close with bytes unread would take it back."""
        left = tunables.MAX_ERROR_LINGER_BYTES
        session.waits = session.waits or 0.0  # from here on it may make room at once
        with suppress(OSError, TimeoutError):
            session.writer.write_eof()
            async with asyncio.timeout(tunables.ERROR_LINGER_S):
                while left > 0 and (data := await session.read()):
                    left -= len(data)

    def _account_for(self, session: ClientSession, ahead: int) -> None:
        """So many bytes are kept that a client sent past its open request; they take up room for bodies."""
        self.bodies += session.ahead - ahead
        session.ahead = ahead

    def _keep_ahead(self, http: h11.Connection, session: ClientSession, data: bytes) -> bool:
        """Keep what a client sent past its open request, if there is room."""
        ahead = len(http.trailing_data[0]) + len(data)
        if session.flooded or ahead > tunables.MAX_READ_AHEAD_BYTES or ahead - session.ahead > self.bodies:
            return False
        http.receive_data(data)
        self._account_for(session, ahead)
        return True

    def _until(self, session: ClientSession, arrived_at: float, begun_at: float) -> float | None:
        """Until when the next bytes must come; None: there is no hurry.

        ``arrived_at``: when the first byte of the request had come to this machine; ``begun_at``: when its turn
        came; 0: not yet.  Guards against a client that stops in a later request, and whose bytes lay in the accept
        queue or behind another request: that time is its own.
        """
        if not session.asked:
            return self._longer_if_writing(session, session.since,
                                           session.since + tunables.FIRST_REQUEST_TIMEOUT_S * 1000.0)
        if not begun_at:
            return None
        until = max(arrived_at + tunables.REQUEST_TIMEOUT_S * 1000.0,
                    begun_at + tunables.PIPELINED_REQUEST_MIN_S * 1000.0)
        return self._longer_if_writing(session, arrived_at, until)

    @staticmethod
    def _longer_if_writing(session: ClientSession, began_at: float, until: float) -> float:
        """``until``, or a little later for a client whose last bytes have just come.

        Guards against ending a request that its client's machine, held up once, was about to finish.
        """
        writing_until = session.protocol.heard_at + tunables.SLOW_WRITER_GRACE_S * 1000.0
        return max(until, min(writing_until, began_at + tunables.SLOW_WRITER_TIMEOUT_S * 1000.0))

    async def _read_until(self, session: ClientSession, until: float | None) -> bytes:
        """What comes by a time; TimeoutError past it, if nothing lies ready in the kernel then.

        Guards against judging a client by a hold-up of this process, or by its wait in the accept queue.
        """
        if until is None or session.unread:
            return await session.read()
        async with timeout_after_poll((until - self.core.clock.now()) / 1000.0):
            return await session.read()

    async def _read(self, http: h11.Connection, session: ClientSession) -> tuple[h11.Request, bytes, float] | None:
        """The next whole request, and when its first byte had come; None when the client closes."""
        request: h11.Request | None = None
        body = bytearray()
        begun_at = self.core.clock.now() if http.trailing_data[0] else 0.0  # when it is this request's turn
        arrived_at = session.arrived_at(http, begun_at)
        session.halfway = bool(begun_at)
        try:
            while True:
                raw = http.trailing_data[0] if request is None else b""
                event = http.next_event()
                if event is h11.NEED_DATA:
                    if http.they_are_waiting_for_100_continue:
                        session.writer.write(
                            http.send(h11.InformationalResponse(status_code=100, headers=[])) or b"")
                    # Between requests a client may be silent as long as it likes, inside one and before
                    # its first it may not.
                    until = self._until(session, arrived_at, begun_at)
                    try:
                        data = await self._read_until(session, until)
                    except TimeoutError:
                        if session.unread and not begun_at:
                            continue  # the first bytes came in this very moment: they are looked at first
                        raise BadRequestError(408, "the request did not end in time") from None
                    http.receive_data(data)
                    if data and not begun_at:
                        begun_at = self.core.clock.now()
                        arrived_at = session.arrived_at(http, begun_at)
                        session.halfway = True
                elif isinstance(event, h11.Request):
                    check_head(event, re.split(rb"\r?\n\r?\n", raw, maxsplit=1)[0])
                    request = event
                elif isinstance(event, h11.Data):
                    body += event.data
                    self.bodies -= len(event.data)
                    if len(body) > tunables.MAX_BODY_BYTES:
                        raise BadRequestError(413, "body over 64 KiB")
                    if self.bodies < 0:
                        raise BadRequestError(503, "no room for bodies")
                elif isinstance(event, h11.EndOfMessage) and request is not None:
                    self._account_for(session, len(http.trailing_data[0]))
                    return request, bytes(body), arrived_at
                else:
                    return None
        finally:
            session.halfway = False
            self.bodies += len(body)

    async def _handle(self, event: h11.Request, body: bytes, received_at: float, http: h11.Connection,
                      session: ClientSession) -> None:
        target = event.target.partition(b"?")[0]
        if event.method == b"GET" and target == b"/-/ready":
            await self._write(http, session, 200 if self.ready else 503, b"")
        elif event.method == b"GET" and target == b"/-/counters":
            await self._write(http, session, 200, msgspec.json.encode(self.counters.snapshot()))
        elif event.method != b"POST":
            await self._write(http, session, 404 if event.method == b"GET" else 405, b"")
        else:
            future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
            job = parse_job(event, body, self.core.table.live, received_at, lambda a: _settle(future, a))
            if job.ident in self.open_ids:
                raise BadRequestError(409, "the id of an open request")
            session.served = True
            if session.left():  # sent ahead behind another request, and gone since
                self.counters.add("requests.left_before")
                raise ConnectionResetError("client gone")
            job.fence, job.left = self.fence, session.left
            self.open_ids.add(job.ident)
            try:
                if not self.core.may_write(job):
                    # Asked here, when it is taken, and in the core again: after a freeze the clock knows.
                    self.counters.add("requests.fenced")
                    future.set_result(self.core.turn_away(job, job.fence.return_ms if job.fence else 0.0))
                elif not self.drain.may_begin(job, self.core.settings.classes[job.class_index]):
                    future.set_result(self.core.turn_away(job, tunables.DRAIN_RETRY_AFTER_MS))
                elif not self.core.offer(job):
                    future.set_result(self.core.turn_away(job))
                answer = await self._wait(job, future, http, session)
            finally:
                self.open_ids.discard(job.ident)
            if answer is None:
                raise ConnectionResetError("client gone")
            extra = []
            if answer.ending is Ending.REFUSED and answer.retry_after_ms > 0:
                extra = [("Retry-After", f"{answer.retry_after_ms / 1000.0:.3f}")]
            await self._write(http, session, _ANSWERS[answer.ending], answer.body, extra, session.flooded)

    async def _wait(self, job: Job, future: asyncio.Future[Answer], http: h11.Connection,
                    session: ClientSession) -> Answer | None:
        """The final answer; None if the client went first, which the core is told."""
        read = asyncio.ensure_future(session.read())
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
                # Kept for the next request; the client may still leave.
                if not self._keep_ahead(http, session, data) and not session.flooded:
                    session.flooded = True
                    self._flooding += 1
                if session.flooded:
                    await asyncio.wait([future], timeout=tunables.FLOOD_READ_INTERVAL_S * self._flooding)
                read = asyncio.ensure_future(session.read())
        except asyncio.CancelledError:
            await self.core.post(lambda: self.core.gone(job))
            raise
        finally:
            if session.flooded:
                self._flooding -= 1
            await self._end_reading(read, http, session)

    async def _end_reading(self, read: asyncio.Task[bytes], http: h11.Connection, session: ClientSession) -> None:
        """Stop reading ahead: bytes that have not been read by now stay in the reader.

        Guards against bytes that come in the same turn as the answer, as they do on a busy machine: they were kept
        without asking for room, a chunk more with each request.
        """
        read.cancel()
        await asyncio.wait([read])  # not awaited itself: suppressing its cancellation could hide our own
        if read.cancelled() or read.exception() is not None:
            return
        data = read.result()
        if data and not self._keep_ahead(http, session, data):
            session.flooded = True

    async def _write(self, http: h11.Connection, session: ClientSession, status: int, body: bytes,
                     extra: Iterable[tuple[str, str]] = (), flooded: bool = False) -> None:
        headers = [("Content-Length", str(len(body))), *extra]
        if flooded or (self.drain.leaving and not session.has_read_ahead(http)):
            headers.append(("Connection", "close"))
        data = http.send(h11.Response(status_code=status, headers=headers)) or b""
        if body:
            data += http.send(h11.Data(data=body)) or b""
        data += http.send(h11.EndOfMessage()) or b""
        session.writer.write(data)
        async with asyncio.timeout(tunables.ANSWER_WRITE_TIMEOUT_S):
            await session.writer.drain()


def _settle(future: asyncio.Future[Answer], answer: Answer) -> None:
    if not future.done():
        future.set_result(answer)
