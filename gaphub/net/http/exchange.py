"""One attempt on the wire: its connection, the bytes of its request in order, and its outcome.

All but the request's last byte are sent at once. The last byte follows a moment later with the core's permission,
see ``Connection.send_up_to_last_byte``. A request is never resent once its last byte was written, and from then on
the attempt never counts as "never ran" unless the worker said so.
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
    """The core stopped a call before its last byte was written; ``status`` is the attempt's outcome."""

    def __init__(self, status: Status) -> None:
        super().__init__(status.name)
        self.status = status


class StaleConnections:
    """How often a reused connection turns out to have been closed by the peer."""

    def __init__(self, counters: Counters) -> None:
        self.share = 0.0  # moving average
        self._counters = counters

    @property
    def frequent(self) -> bool:
        """Whether a job that is not safe to repeat should get a new connection."""
        return self.share > tunables.MAX_STALE_SHARE

    def record(self, stale: bool) -> None:
        """Record one use of a reused connection: whether it ended before any byte of the answer came."""
        if stale:
            self._counters.add("connections.stale")
        self.share += (stale - self.share) * tunables.STALE_SHARE_SMOOTHING


class Exchange:
    """One attempt: ``run`` performs it, ``close`` must be called afterwards."""

    def __init__(self, call: Call, pool: Pool, core: Core, counters: Counters, answers: AnswerReader,
                 stale: StaleConnections, host: bytes) -> None:
        """``host``: the request's Host header."""
        self.call = call
        self.pool = pool
        self.core = core
        self.outcome = Outcome(Status.CANCELLED)  # if it is cancelled before it starts
        self._counters = counters
        self._answers = answers
        self._stale = stale
        self._host = host
        self._connection: Connection | None = None
        self._reused = False  # whether the connection has carried a request before
        # Subtracted from the time left when X-Timeout is set.
        self._timeout_margin_ms = tunables.TIMEOUT_HEADER_MARGIN_MS + tunables.LAST_BYTE_DELAY_S * 1000.0

    async def run(self) -> Outcome:
        """Send the request and read its answer. Returns an outcome whatever is raised."""
        try:
            async with asyncio.timeout((self.call.deadline - self.core.clock.now()) / 1000.0):
                connection = await self._send_request()
                await self._read_answer(connection)
        except TimeoutError:
            if self.outcome.status == Status.RESET:
                self.outcome = Outcome(Status.TIMEOUT)
        except StoppedError as stopped:
            self.outcome = Outcome(stopped.status)
        except LocalFailureError as error:  # no other worker can be reached either, and none is at fault
            self._counters.log("calls.local_failures", str(error))
            self.outcome = Outcome(Status.MOOT)
        except (ConnectionLostError, NeverWrittenError):
            pass
        except asyncio.CancelledError:
            self.outcome = Outcome(Status.CANCELLED)
        except Exception as error:
            self._counters.log("calls.raised", repr(error))
        if not self._reusable:
            self._drop_connection()
        return self.outcome

    async def close(self) -> None:
        """Read the rest of the answer and return the connection to its pool."""
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
            self.pool.release(connection, self.core.clock.now())

    @property
    def _reusable(self) -> bool:
        """Whether the connection may carry another request once this answer has ended."""
        return self.call.written and self.outcome.status in (Status.OK, Status.FULL, Status.ERROR)

    @property
    def _needs_new_connection(self) -> bool:
        effect = self.core.settings.classes[self.call.job.class_index].effect
        return effect != Effect.SAFE and self._stale.frequent

    # -- sending --

    async def _send_request(self) -> Connection:
        """Send the whole request; takes another connection as long as the last byte was not sent on one."""
        self.outcome.status = Status.CONNECT_FAILED
        while True:
            connection = self._connection = await self.pool.acquire(self._needs_new_connection)
            self._reused = connection.used
            _raise_if_stopped(self.core.check_before_first_byte(self.call))
            self.call.first_byte_at = self.core.clock.now()
            last = await self._send_up_to_last_byte(connection)
            if last is None or self._is_head_outdated():
                self._drop_connection()
                continue
            await self._send_last_byte(connection, last)
            return connection

    async def _send_up_to_last_byte(self, connection: Connection) -> bytes | None:
        """Send all but the last byte and return that byte; None if a reused connection turned out to be stale."""
        job = self.call.job
        left_ms = max(1, int(self.call.deadline - self.call.first_byte_at - self._timeout_margin_ms))
        headers = [(b"Host", self._host), (b"X-Request-ID", job.ident.encode()),
                   (b"X-Timeout", b"%dm" % left_ms),
                   (b"X-Priority-Class", self.core.class_names[job.class_index].encode()),
                   (b"Content-Length", b"%d" % len(job.body)), *job.forwarded_headers]
        try:
            return await connection.send_up_to_last_byte(job.method, job.target, headers, job.body)
        except h11.LocalProtocolError as error:
            if not self._reused:
                raise NeverWrittenError(str(error)) from None
        except NeverWrittenError as error:
            if not self._reused:
                if isinstance(error, EarlyAnswerError):
                    await self._read_early_answer(connection)
                raise
        self._stale.record(stale=True)
        return None

    async def _read_early_answer(self, connection: Connection) -> None:
        """Take the status and load report of an answer that came before the whole request was sent.

        The time-out covers a worker that sends half a line early and then nothing: the request would otherwise
        wait for it until its deadline, although it was not sent.
        """
        async with asyncio.timeout(tunables.ANSWER_END_TIMEOUT_S):
            early = await self._answers.read_outcome(self.call, connection)
        if early.status == Status.FULL:
            self.outcome.status = Status.FULL
        self.outcome.report = early.report

    def _is_head_outdated(self) -> bool:
        """Whether X-Timeout now states more time than is left, so that the head must be sent anew.

        This happens if a worker reads the body late, or if this process stalled after the head was written.
        The margin covers one stall only, and there may be another one before the last byte.
        """
        elapsed_ms = self.core.clock.now() - self.call.first_byte_at
        if elapsed_ms <= self._timeout_margin_ms:
            return False
        self._counters.add("calls.told_late")
        self._timeout_margin_ms += elapsed_ms
        return True

    async def _send_last_byte(self, connection: Connection, last: bytes) -> None:
        """Send the last byte if the core still allows it.

        The process may have been frozen while the request was being sent. No request runs without its last byte.
        """
        _raise_if_stopped(self.core.check_before_last_byte(self.call))
        self.call.written = True
        self.outcome.status = Status.RESET  # if the deadline passes from here on, the request may have run
        try:
            await connection.send_last_byte(last)
        except NeverWrittenError:
            self.call.written = False
            self.outcome.status = Status.CONNECT_FAILED
            raise
        self.core.call_written(self.call)

    # -- reading --

    async def _read_answer(self, connection: Connection) -> None:
        try:
            self.outcome = await self._answers.read_outcome(self.call, connection)
        except ConnectionLostError:
            if self._reused:
                self._stale.record(stale=not connection.answer_started)
            raise
        if self._reused:
            self._stale.record(stale=False)

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self.pool.drop(self._connection)
            self._connection = None


def _raise_if_stopped(status: Status | None) -> None:
    """Raise StoppedError if the core gave a reason not to go on with a call."""
    if status is not None:
        raise StoppedError(status)
