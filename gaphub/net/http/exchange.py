"""Owns one attempt on the wire: its connection, the bytes of its request in order, and what became of it.

All but the request's last byte go out at once, the last one a moment later with the core's leave: see
``Connection.begin``.  It must never send a request a second time once its last byte was written, and never call
an attempt "never ran" from then on, unless the worker said so.
"""

from __future__ import annotations

import asyncio

import h11

from ...core import Core
from ...interface import Effect, Status
from ...messages import Call, Outcome
from ...metrics import Counters
from . import tunables
from .answer import AnswerReader
from .connection import (
    Connection,
    ConnectionLostError,
    EarlyAnswerError,
    LocalFailureError,
    NeverWrittenError,
)
from .pool import Pool


class StoppedError(Exception):
    """The core's rules stopped a call before its last byte was written; ``status``: what it ends in."""

    def __init__(self, status: Status) -> None:
        super().__init__(status.name)
        self.status = status


class StaleConnections:
    """How often a kept connection is found to have ended under its next request."""

    def __init__(self, counters: Counters) -> None:
        self.share = 0.0
        self._counters = counters

    @property
    def frequent(self) -> bool:
        """Whether a job that must not run twice had better take a new connection."""
        return self.share > tunables.MAX_STALE_SHARE

    def saw(self, stale: bool) -> None:
        """Note how a kept connection was found: whether it ended under the next request, unheard."""
        if stale:
            self._counters.add("connections.stale")
        self.share += (stale - self.share) * tunables.STALE_SHARE_SMOOTHING


class Exchange:
    """One attempt: ``run`` it, then ``close`` it."""

    def __init__(self, call: Call, pool: Pool, core: Core, counters: Counters, answers: AnswerReader,
                 stale: StaleConnections, service: bytes) -> None:
        """``service``: the Host that the request names."""
        self.call = call
        self.pool = pool
        self.core = core
        self.outcome = Outcome(Status.CANCELLED)  # if it is called off before it could begin
        self._counters = counters
        self._answers = answers
        self._stale = stale
        self._service = service
        self._connection: Connection | None = None
        self._kept = False  # whether the connection has served a request before
        # Than what is left, when the head is worded.
        self._told_less_ms = tunables.TIMEOUT_HEADER_MARGIN_MS + tunables.LAST_BYTE_DELAY_S * 1000.0

    async def run(self) -> Outcome:
        """Write the request and read its answer.  Whatever raises: the request is owed an end."""
        try:
            async with asyncio.timeout((self.call.ends - self.core.clock.now()) / 1000.0):
                connection = await self._write()
                await self._read(connection)
        except TimeoutError:
            if self.outcome.status == Status.RESET:
                self.outcome = Outcome(Status.TIMEOUT)
        except StoppedError as stopped:
            self.outcome = Outcome(stopped.status)
        except LocalFailureError as error:  # another worker is out of reach as well, and none is to blame
            self._counters.log("calls.local_failures", str(error))
            self.outcome = Outcome(Status.MOOT)
        except (ConnectionLostError, NeverWrittenError):
            pass
        except asyncio.CancelledError:
            self.outcome = Outcome(Status.CANCELLED)
        except Exception as error:
            self._counters.log("calls.raised", repr(error))
        if not self._reusable:
            self._drop()
        return self.outcome

    async def close(self) -> None:
        """Read the answer's end, and give the connection back to its pool."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        try:
            async with asyncio.timeout(tunables.ANSWER_END_TIMEOUT_S):
                if connection.http.their_state is h11.SEND_BODY:
                    await connection.read_body()
        except (ConnectionLostError, TimeoutError):
            pass
        finally:
            self.pool.give_back(connection, self.core.clock.now())

    @property
    def _reusable(self) -> bool:
        """Whether the connection may serve a further request, once this answer has ended."""
        return self.call.written and self.outcome.status in (Status.OK, Status.FULL, Status.ERROR)

    @property
    def _needs_fresh_connection(self) -> bool:
        effect = self.core.settings.classes[self.call.job.class_index].effect
        return effect != Effect.SAFE and self._stale.frequent

    # -- writing --

    async def _write(self) -> Connection:
        """Write the whole request; the same attempt takes another connection where nothing left in whole."""
        self.outcome.status = Status.CONNECT_FAILED
        while True:
            connection = self._connection = await self.pool.acquire(self._needs_fresh_connection)
            self._kept = connection.used
            _stop_if(self.core.may_go_on(self.call))
            self.call.begun_at = self.core.clock.now()
            last = await self._begin(connection)
            if last is None or self._head_has_aged():
                self._drop()
                continue
            await self._finish(connection, last)
            return connection

    async def _begin(self, connection: Connection) -> bytes | None:
        """Write all but the last byte, which is given back; None if a kept connection had ended."""
        job = self.call.job
        left_ms = max(1, int(self.call.ends - self.call.begun_at - self._told_less_ms))
        headers = [(b"Host", self._service), (b"X-Request-ID", job.ident.encode()),
                   (b"X-Timeout", b"%dm" % left_ms),
                   (b"X-Priority-Class", self.core.class_names[job.class_index].encode()),
                   (b"Content-Length", b"%d" % len(job.body)), *job.passed]
        try:
            return await connection.begin(job.method, job.target, headers, job.body)
        except h11.LocalProtocolError as error:
            if not self._kept:
                raise NeverWrittenError(str(error)) from None
        except NeverWrittenError as error:
            if not self._kept:
                if isinstance(error, EarlyAnswerError):
                    await self._take_early_answer(connection)
                raise
        self._stale.saw(stale=True)
        return None

    async def _take_early_answer(self, connection: Connection) -> None:
        """Note what a worker said before it had the whole request.

        Guards against one that says half a line before its turn, and no more: the request would wait for it until
        its deadline, though nothing of it is out.
        """
        async with asyncio.timeout(tunables.ANSWER_END_TIMEOUT_S):
            early = await self._answers.outcome(self.call, connection)
        if early.status == Status.FULL:
            self.outcome.status = Status.FULL
        self.outcome.report = early.report

    def _head_has_aged(self) -> bool:
        """Whether the head has to be worded anew, with less time.

        Guards against a worker that takes a body late, and against a process that is held up before this and again
        before its last byte: the slack of what is told covers one hold-up.
        """
        took_ms = self.core.clock.now() - self.call.begun_at
        if took_ms <= self._told_less_ms:
            return False
        self._counters.add("calls.told_late")
        self._told_less_ms += took_ms
        return True

    async def _finish(self, connection: Connection, last: bytes) -> None:
        """Write the last byte.

        Guards against a process frozen while a job was on its way: without its last byte none runs.
        """
        _stop_if(self.core.may_end(self.call))
        self.call.written = True
        self.outcome.status = Status.RESET  # a deadline that passes from here on: it may have run
        try:
            await connection.finish(last)
        except NeverWrittenError:
            self.call.written = False
            self.outcome.status = Status.CONNECT_FAILED
            raise
        self.core.written(self.call)

    # -- reading --

    async def _read(self, connection: Connection) -> None:
        try:
            self.outcome = await self._answers.outcome(self.call, connection)
        except ConnectionLostError:
            if self._kept:
                self._stale.saw(stale=not connection.heard)
            raise
        if self._kept:
            self._stale.saw(stale=False)

    def _drop(self) -> None:
        if self._connection is not None:
            self.pool.drop(self._connection)
            self._connection = None


def _stop_if(why: Status | None) -> None:
    """Raise StoppedError where the core says why a call may not go on."""
    if why is not None:
        raise StoppedError(why)
