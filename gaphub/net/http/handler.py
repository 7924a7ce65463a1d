"""Reads requests from client connections and writes their answers, one at a time per connection.

Every valid job is offered to the core, which decides whether and where it runs. Connections are not closed here:
the listener closes them once ``serve`` returns.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Iterable
from contextlib import suppress
from functools import partial
from typing import Any

import h11
import msgspec

from ...core import Core
from ...messages import Answer, Fence, FinalStatus, Job
from ...metrics import Counters
from ..timeouts import timeout_after_poll
from . import tunables
from .drain import Drain
from .request import BadRequestError, ReceivedRequest, check_head, parse_job
from .session import ClientSession

_HTTP_STATUS = {FinalStatus.SERVED: 200, FinalStatus.REFUSED: 503, FinalStatus.FAILED: 502}


class RequestHandler:
    """Serves the client connections of one listener."""

    def __init__(self, core: Core, counters: Counters, drain: Drain, fence: Fence | None,
                 free_body_bytes: int) -> None:
        """``fence``: the lease that jobs need; ``free_body_bytes``: memory for bodies that are being received."""
        self.core = core
        self.counters = counters
        self.drain = drain
        self.fence = fence
        self.free_body_bytes = free_body_bytes
        self.open_ids: set[str] = set()
        self._owed_jobs: dict[str, Job] = {}  # by id: open ones that must be answered before SIGKILL
        self.ready = False
        self._flooding_clients = 0  # clients whose excess input is being discarded

    async def serve(self, session: ClientSession) -> None:
        """Serve a connection's requests one after another until it should be closed."""
        http = h11.Connection(h11.SERVER)
        try:
            await self._serve(http, session)
        finally:
            self._set_read_ahead(session, 0)

    async def _serve(self, http: h11.Connection, session: ClientSession) -> None:
        while True:
            session.waiting_since = self.core.clock.now() if session.had_request else session.connected_at
            try:
                received = await self._read_request(http, session)
                if received is None:
                    return
                session.waiting_since = None
                await self._handle(received, http, session)
            except (BadRequestError, h11.RemoteProtocolError) as error:
                self.counters.log("garbled.request", str(error) or type(error).__name__)
                status = error.status if isinstance(error, BadRequestError) else error.error_status_hint
                if http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    await self._write_answer(http, session, status, b"", [("Connection", "close")])
                    await self._linger(session)
                return
            session.had_request = True
            if session.flooded:
                await self._linger(session)
                return
            if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                return
            http.start_next_cycle()

    @staticmethod
    async def _linger(session: ClientSession) -> None:
        """Let the answer reach a client that is still sending: closing with unread bytes would reset it."""
        left = tunables.MAX_ERROR_LINGER_BYTES
        session.waiting_since = session.waiting_since or 0.0  # may be evicted at once from here on
        with suppress(OSError, TimeoutError):
            session.writer.write_eof()
            async with asyncio.timeout(tunables.ERROR_LINGER_S):
                while left > 0 and (data := await session.read()):
                    left -= len(data)

    def _set_read_ahead(self, session: ClientSession, read_ahead: int) -> None:
        """Account for the bytes kept past a session's open request; they use memory for bodies."""
        self.free_body_bytes += session.read_ahead - read_ahead
        session.read_ahead = read_ahead

    def _keep_read_ahead(self, http: h11.Connection, session: ClientSession, data: bytes) -> bool:
        """Keep bytes that a client sent past its open request; False if there is no room."""
        read_ahead = len(http.trailing_data[0]) + len(data)
        if (session.flooded or read_ahead > tunables.MAX_READ_AHEAD_BYTES
                or read_ahead - session.read_ahead > self.free_body_bytes):
            return False
        http.receive_data(data)
        self._set_read_ahead(session, read_ahead)
        return True

    def _read_deadline(self, session: ClientSession, arrived_at: float, turn_at: float) -> float | None:
        """Deadline for the client's next bytes; None if there is none.

        ``arrived_at``: when the request's first byte reached this machine; ``turn_at``: when its turn came, 0 if
        that is still to come. The time that a later request spent in the accept queue or behind another request
        counts as the client's own, or a client that stops in it would be closed too late.
        """
        if not session.had_request:
            return self._extend_while_writing(session, session.connected_at,
                                              session.connected_at + tunables.FIRST_REQUEST_TIMEOUT_S * 1000.0)
        if not turn_at:
            return None
        deadline = max(arrived_at + tunables.REQUEST_TIMEOUT_S * 1000.0,
                       turn_at + tunables.PIPELINED_REQUEST_MIN_S * 1000.0)
        return self._extend_while_writing(session, arrived_at, deadline)

    @staticmethod
    def _extend_while_writing(session: ClientSession, started_at: float, deadline: float) -> float:
        """``deadline``, or a little later for a client whose last bytes have just come.

        A client whose machine stalled once may be about to finish its request.
        """
        grace_until = session.protocol.last_received_at + tunables.SLOW_WRITER_GRACE_S * 1000.0
        return max(deadline, min(grace_until, started_at + tunables.SLOW_WRITER_TIMEOUT_S * 1000.0))

    async def _read_before(self, session: ClientSession, deadline: float | None) -> bytes:
        """Read until a deadline; TimeoutError past it unless bytes are ready in the kernel.

        Neither a stall of this process nor the wait in the accept queue counts against a client.
        """
        if deadline is None or session.has_unread:
            return await session.read()
        async with timeout_after_poll((deadline - self.core.clock.now()) / 1000.0):
            return await session.read()

    async def _read_request(self, http: h11.Connection, session: ClientSession) -> ReceivedRequest | None:
        """Read the next request; None if the client closes."""
        request: h11.Request | None = None
        body = bytearray()
        turn_at = self.core.clock.now() if http.trailing_data[0] else 0.0  # when this request's turn came
        arrived_at = session.arrived_at(http, turn_at)
        session.mid_request = bool(turn_at)
        try:
            while True:
                raw = http.trailing_data[0] if request is None else b""
                event = http.next_event()
                if event is h11.NEED_DATA:
                    session.discard_arrivals()
                    if http.they_are_waiting_for_100_continue:
                        session.writer.write(
                            http.send(h11.InformationalResponse(status_code=100, headers=[])) or b"")
                    # A client may be idle between requests for any time, but not within a request or before its
                    # first one.
                    deadline = self._read_deadline(session, arrived_at, turn_at)
                    try:
                        data = await self._read_before(session, deadline)
                    except TimeoutError:
                        if session.has_unread and not turn_at:
                            continue  # the first bytes came at this very moment and are handled first
                        raise BadRequestError(408, "request not complete within its time limit") from None
                    http.receive_data(data)
                    if data and not turn_at:
                        turn_at = self.core.clock.now()
                        arrived_at = session.arrived_at(http, turn_at)
                        session.mid_request = True
                elif isinstance(event, h11.Request):
                    check_head(event, re.split(rb"\r?\n\r?\n", raw, maxsplit=1)[0])
                    request = event
                elif isinstance(event, h11.Data):
                    body += event.data
                    self.free_body_bytes -= len(event.data)
                    if len(body) > tunables.MAX_BODY_BYTES:
                        raise BadRequestError(413, "body larger than 64 KiB")
                    if self.free_body_bytes < 0:
                        raise BadRequestError(503, "memory for request bodies is used up")
                elif isinstance(event, h11.EndOfMessage) and request is not None:
                    self._set_read_ahead(session, len(http.trailing_data[0]))
                    now = self.core.clock.now()
                    return ReceivedRequest(request, bytes(body), arrived_at, session.last_byte_at(http, now),
                                           session.read_whole_at(http, now))
                else:
                    return None
        finally:
            session.mid_request = False
            self.free_body_bytes += len(body)

    async def _handle(self, request: ReceivedRequest, http: h11.Connection, session: ClientSession) -> None:
        event = request.head
        target = event.target.partition(b"?")[0]
        if event.method == b"GET" and target == b"/-/ready":
            await self._write_answer(http, session, 200 if self.ready else 503, b"")
        elif event.method == b"GET" and target == b"/-/counters":
            await self._write_answer(http, session, 200, msgspec.json.encode(self.counters.snapshot()))
        elif event.method != b"POST":
            await self._write_answer(http, session, 404 if event.method == b"GET" else 405, b"")
        else:
            future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
            job = parse_job(request, self.core.class_table.active_rows, lambda a: _set_answer(future, a))
            if job.ident in self.open_ids:
                raise BadRequestError(409, "X-Request-ID is in use by an open request")
            session.had_job = True
            if session.client_left_at():  # pipelined behind another request, and its client has left since
                self.counters.add("requests.left_before")
                raise ConnectionResetError("client left before its request was started")
            job.fence, job.client_left_at = self.fence, session.client_left_at
            self.open_ids.add(job.ident)
            try:
                if not self.core.fence_holds(job):
                    # Checked here and in the core again, so that a lease that ran out while this process was
                    # frozen is noticed by the clock.
                    self.counters.add("requests.fenced")
                    future.set_result(self.core.reject(job, job.fence.retry_after_ms if job.fence else 0.0))
                elif not self._admit(job, request):
                    future.set_result(self.core.reject(job, tunables.DRAIN_RETRY_AFTER_MS))
                elif not self.core.offer(job):
                    future.set_result(self.core.reject(job))
                answer = await self._wait_for_answer(job, future, http, session)
            finally:
                self.open_ids.discard(job.ident)
                self._owed_jobs.pop(job.ident, None)
            if answer is None:
                raise ConnectionResetError("client left before its answer")
            extra = []
            if answer.final_status is FinalStatus.REFUSED and answer.retry_after_ms > 0:
                extra = [("Retry-After", f"{answer.retry_after_ms / 1000.0:.3f}")]
            await self._write_answer(http, session, _HTTP_STATUS[answer.final_status], answer.body, extra,
                                     session.flooded)

    def _admit(self, job: Job, request: ReceivedRequest) -> bool:
        """Whether a job may still start; logged while this process shuts down."""
        class_settings = self.core.settings.classes[job.class_index]
        if not self.drain.began:
            return True
        now = self.core.clock.now()
        usual_ms = self.core.usual_response_ms(job.class_index)
        admitted = self.drain.admit(job, request, class_settings, usual_ms, now)
        if admitted and self.drain.must_answer(request):
            self._owed_jobs[job.ident] = job
        self.counters.log("drain.admitted" if admitted else "drain.refused",
                          self.drain.describe(job, request, now))
        return admitted

    async def shorten_open_jobs(self) -> None:
        """Have the jobs that must be answered before SIGKILL end with the drain, whose deadline has moved."""
        for job in list(self._owed_jobs.values()):
            await self.core.post(partial(self.core.shorten_deadline, job, self.drain.deadline))

    async def _wait_for_answer(self, job: Job, future: asyncio.Future[Answer], http: h11.Connection,
                               session: ClientSession) -> Answer | None:
        """Wait for the final answer; None if the client leaves first, which is reported to the core."""
        read = asyncio.ensure_future(session.read())
        try:
            while True:
                pending: set[asyncio.Future[Any]] = {read, future}
                await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                if future.done():
                    return await future
                data = b""
                with suppress(OSError):
                    data = read.result()
                if not data:
                    await self.core.post(lambda: self.core.client_gone(job))
                    return None
                # Kept for the next request. Reading goes on, as the client may still leave.
                if not self._keep_read_ahead(http, session, data) and not session.flooded:
                    session.flooded = True
                    self._flooding_clients += 1
                if session.flooded:
                    await asyncio.wait([future], timeout=tunables.FLOOD_READ_INTERVAL_S * self._flooding_clients)
                read = asyncio.ensure_future(session.read())
        except asyncio.CancelledError:
            await self.core.post(lambda: self.core.client_gone(job))
            raise
        finally:
            if session.flooded:
                self._flooding_clients -= 1
            await self._stop_reading_ahead(read, http, session)

    async def _stop_reading_ahead(self, read: asyncio.Task[bytes], http: h11.Connection,
                                  session: ClientSession) -> None:
        """Stop reading ahead; bytes that were not read by now stay in the reader.

        On a busy machine bytes often come in the same turn of the event loop as the answer. They must be accounted
        for like others, or another chunk is kept with each request without a bound.
        """
        read.cancel()
        await asyncio.wait([read])  # not awaited itself: suppressing its cancellation could hide our own
        if read.cancelled() or read.exception() is not None:
            return
        data = read.result()
        if data and not self._keep_read_ahead(http, session, data):
            session.flooded = True

    async def _write_answer(self, http: h11.Connection, session: ClientSession, status: int, body: bytes,
                            extra: Iterable[tuple[str, str]] = (), flooded: bool = False) -> None:
        headers = [("Content-Length", str(len(body))), *extra]
        if flooded or (self.drain.closing_connections and not session.has_read_ahead(http)):
            headers.append(("Connection", "close"))
        data = http.send(h11.Response(status_code=status, headers=headers)) or b""
        if body:
            data += http.send(h11.Data(data=body)) or b""
        data += http.send(h11.EndOfMessage()) or b""
        session.writer.write(data)
        async with asyncio.timeout(tunables.ANSWER_WRITE_TIMEOUT_S):
            await session.writer.drain()


def _set_answer(future: asyncio.Future[Answer], answer: Answer) -> None:
    if not future.done():
        future.set_result(answer)
