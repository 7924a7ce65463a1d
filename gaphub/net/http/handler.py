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
from ...interface import Effect
from ...messages import Answer, Fence, FinalStatus, Job
from ...metrics import Counters
from ...ops.request_claims import RequestClaims
from ..memory import MemoryBudget
from ..timeouts import timeout_after_poll
from . import tunables
from .drain import Drain
from .request import BadRequestError, ReceivedRequest, RequestHead, check_field_count, parse_job, read_head
from .session import ClientSession

_HTTP_STATUS = {FinalStatus.SERVED: 200, FinalStatus.REFUSED: 503, FinalStatus.FAILED: 502}


class RequestHandler:
    """Serves the client connections of one listener."""

    def __init__(self, core: Core, counters: Counters, drain: Drain, fence: Fence | None, memory: MemoryBudget,
                 claims: RequestClaims) -> None:
        """``fence``: the lease that jobs need; ``memory``: for what clients send; ``claims``: ids that ran."""
        self.core = core
        self.counters = counters
        self.drain = drain
        self.fence = fence
        self.memory = memory
        self.claims = claims
        self.open_ids: set[str] = set()
        self._owed_jobs: dict[str, Job] = {}  # by id: open ones that must be answered before SIGKILL
        self.ready = False
        self._flooding_clients = 0  # clients whose excess input is being discarded

    async def serve(self, session: ClientSession) -> None:
        """Serve a connection's requests one after another until it should be closed."""
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=tunables.MAX_HEAD_BYTES)
        try:
            await self._serve(http, session)
        finally:
            session.release_all()

    async def _serve(self, http: h11.Connection, session: ClientSession) -> None:
        while True:
            session.waiting_since = self.core.clock.now() if session.had_request else session.connected_at
            try:
                received = await self._read_request(http, session)
                if received is None:
                    return
                session.waiting_since = None
                await self._handle(received, http, session)
                del received  # nothing of it is held while the next request is awaited
                session.release_request(http)
            except (BadRequestError, h11.RemoteProtocolError) as error:
                self.counters.log("garbled.request",
                                  f"{error or type(error).__name__} (connection {session.number}, after"
                                  f" {session.requests} requests)")
                status = error.status if isinstance(error, BadRequestError) else error.error_status_hint
                if http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    await self._write_answer(http, session, status, b"", [("Connection", "close")])
                    await self._linger(session)
                return
            session.had_request = True
            session.requests += 1
            if session.has_read_ahead(http):
                await asyncio.sleep(0)  # the other connections have their turn before the next request
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
                while left > 0 and (data := await session.receive()):
                    session.discard(data)
                    left -= len(data)

    def _keep_read_ahead(self, session: ClientSession, data: bytes) -> bool:
        """Keep bytes that a client sent past its open request; False if they are dropped for lack of room."""
        if (session.flooded or len(session.ahead) + len(data) > tunables.MAX_READ_AHEAD_BYTES
                or self.memory.free < 0):
            session.discard(data)
            return False
        session.keep(data)
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

    async def _read_before(self, session: ClientSession, deadline: float | None, count: int) -> bytes:
        """Read up to ``count`` bytes by a deadline; TimeoutError past it unless bytes are ready in the kernel.

        Neither a stall of this process nor the wait in the accept queue counts against a client.
        """
        if not session.has_unread:
            self.memory.finished(session)
        elif self.memory.free < 0:
            await self._wait_for_memory(session, deadline)
        if deadline is None or session.has_unread:
            return await session.read(count)
        async with timeout_after_poll((deadline - self.core.clock.now()) / 1000.0):
            return await session.read(count)

    async def _wait_for_memory(self, session: ClientSession, deadline: float | None) -> None:
        """Wait until more may be read; BadRequestError if that is not possible by the deadline."""
        left_s = None if deadline is None else (deadline - self.core.clock.now()) / 1000.0
        with suppress(TimeoutError):
            if not self.memory.exhausted:
                async with asyncio.timeout(left_s):
                    await self.memory.wait_for_room(session)
                return
        self.counters.add("requests.no_memory")
        raise BadRequestError(503, "memory for client requests is used up")

    async def _read_request(self, http: h11.Connection, session: ClientSession) -> ReceivedRequest | None:
        """Read the next request; None if the client closes."""
        head: RequestHead | None = None
        raw_head = bytearray(http.trailing_data[0])  # and what comes after it, until the head is whole
        body = bytearray()
        count = tunables.PARSE_BYTES
        turn_at = self.core.clock.now() if raw_head else 0.0  # when this request's turn came
        arrived_at = session.arrived_at(http, turn_at)
        session.mid_request = bool(turn_at)
        try:
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    check_field_count(http.trailing_data[0].count(b"\n"))  # of a head, or of a body's trailers
                    session.discard_arrivals()
                    if http.they_are_waiting_for_100_continue:
                        session.writer.write(
                            http.send(h11.InformationalResponse(status_code=100, headers=[])) or b"")
                    # A client may be idle between requests for any time, but not within a request or before its
                    # first one.
                    deadline = self._read_deadline(session, arrived_at, turn_at)
                    try:
                        data = await self._read_before(session, deadline, count)
                    except TimeoutError:
                        if session.has_unread and not turn_at:
                            continue  # the first bytes came at this very moment and are handled first
                        raise BadRequestError(408, "request not complete within its time limit") from None
                    http.receive_data(data)
                    if head is None:
                        raw_head += data
                    if data and not turn_at:
                        turn_at = self.core.clock.now()
                        arrived_at = session.arrived_at(http, turn_at)
                        session.mid_request = True
                elif isinstance(event, h11.Request):
                    check_field_count(len(event.headers))
                    if any(name == b"content-length" for name, _ in event.headers):
                        count = tunables.READ_CHUNK_BYTES  # parsed without a look at each byte
                    head = read_head(event, re.split(rb"\r?\n\r?\n", raw_head, maxsplit=1)[0])
                    raw_head.clear()
                    del event
                elif isinstance(event, h11.Data):
                    body += event.data
                    if len(body) > tunables.MAX_BODY_BYTES:
                        raise BadRequestError(413, "body larger than 64 KiB")
                elif isinstance(event, h11.EndOfMessage) and head is not None:
                    now = self.core.clock.now()
                    return ReceivedRequest(head, bytes(body), arrived_at, session.last_byte_at(http, now),
                                           session.read_whole_at(http, now))
                else:
                    return None
        finally:
            session.mid_request = False
            self.memory.finished(session)

    async def _handle(self, request: ReceivedRequest, http: h11.Connection, session: ClientSession) -> None:
        head = request.head
        target = head.target.partition(b"?")[0]
        if head.method == b"GET" and target == b"/-/ready":
            await self._write_answer(http, session, 200 if self.ready else 503, b"")
        elif head.method == b"GET" and target == b"/-/counters":
            await self._write_answer(http, session, 200, msgspec.json.encode(self.counters.snapshot()))
        elif head.method != b"POST":
            await self._write_answer(http, session, 404 if head.method == b"GET" else 405, b"")
        else:
            await self._handle_job(request, http, session)

    async def _handle_job(self, request: ReceivedRequest, http: h11.Connection, session: ClientSession) -> None:
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        job = parse_job(request, self.core.class_table.active_rows, lambda a: _set_answer(future, a))
        if job.ident in self.open_ids:
            raise BadRequestError(409, "X-Request-ID is in use by an open request")
        session.had_job = True
        self.open_ids.add(job.ident)
        try:
            await self._check_client_stays(session)
            job.fence, job.client_left_at = self.fence, session.client_left_at
            if not (refusal := self._offer(job, request)):
                answer = await self._wait_for_answer(job, future, http, session)
            else:
                answer = refusal
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

    async def _check_client_stays(self, session: ClientSession) -> None:
        """Raise ConnectionResetError if the client has left since it sent the request.

        A close lies behind all that the client has sent, and the kernel sees it only once there is room for that.
        So what has come is read first; what is more than may be read ahead is dropped.
        """
        received = 0
        while received < tunables.MAX_LOOK_AHEAD_BYTES and not session.client_left_at():
            if not session.may_receive and received < tunables.STALLED_SENDER_BYTES:
                break
            try:
                async with asyncio.timeout(tunables.STALLED_SENDER_S):
                    data = await session.receive()
            except TimeoutError:
                break
            received += len(data)
            if data and not self._keep_read_ahead(session, data):
                session.flooded = True
        if session.client_left_at():
            self.counters.add("requests.left_before")
            raise ConnectionResetError("client left before its request was started")

    def _offer(self, job: Job, request: ReceivedRequest) -> Answer | None:
        """Offer a job to the core; the answer if it is refused."""
        if self.core.settings.classes[job.class_index].effect == Effect.UNSAFE:
            if not self.claims.claim(job.ident):
                self.counters.log("requests.repeated", f"id={job.ident} may have run already")
                raise BadRequestError(409, "X-Request-ID is of a request that may have run")
            job.on_done = partial(self._release_claim, job)
        refusal = self._refusal(job, request)
        if refusal is not None and job.on_done is not None:
            job.on_done()
        return refusal

    def _refusal(self, job: Job, request: ReceivedRequest) -> Answer | None:
        """Offer a job to the core; the answer if it is not accepted."""
        if not self.core.fence_holds(job):
            # Checked here and in the core again, so that a lease that ran out while this process was frozen is
            # noticed by the clock.
            self.counters.add("requests.fenced")
            return self.core.reject(job, job.fence.retry_after_ms if job.fence else 0.0)
        if not self._admit(job, request):
            return self.core.reject(job, tunables.DRAIN_RETRY_AFTER_MS)
        return None if self.core.offer(job) else self.core.reject(job)

    def _release_claim(self, job: Job) -> None:
        """Let an id come again if its request is certain not to have run."""
        if not job.may_have_run:
            self.claims.release(job.ident)

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
        read = asyncio.ensure_future(session.receive())
        counted_as_flooding = False
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
                if not self._keep_read_ahead(session, data) and not counted_as_flooding:
                    session.flooded = counted_as_flooding = True
                    self._flooding_clients += 1
                if session.flooded:
                    await asyncio.wait([future], timeout=tunables.FLOOD_READ_INTERVAL_S * self._flooding_clients)
                read = asyncio.ensure_future(session.receive())
        except asyncio.CancelledError:
            await self.core.post(lambda: self.core.client_gone(job))
            raise
        finally:
            self._flooding_clients -= counted_as_flooding
            await self._stop_reading_ahead(read, session)

    async def _stop_reading_ahead(self, read: asyncio.Task[bytes], session: ClientSession) -> None:
        """Stop reading ahead; bytes that were not read by now stay in the reader.

        On a busy machine bytes often come in the same turn of the event loop as the answer. They must be accounted
        for like others, or another chunk is kept with each request without a bound.
        """
        read.cancel()
        await asyncio.wait([read])  # not awaited itself: suppressing its cancellation could hide our own
        if read.cancelled() or read.exception() is not None:
            return
        data = read.result()
        if data and not self._keep_read_ahead(session, data):
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
        session.account_output()
        async with asyncio.timeout(tunables.ANSWER_WRITE_TIMEOUT_S):
            await session.writer.drain()
        session.account_output()


def _set_answer(future: asyncio.Future[Answer], answer: Answer) -> None:
    if not future.done():
        future.set_result(answer)
