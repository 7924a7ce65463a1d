"""Owns the calls to the workers that discovery names, and is the core's port for them.

A call's first bytes go out at once, its last one a moment later with the core's leave: see ``Connection.begin``.
It must never decide where a request goes, never send one a second time by itself, and never call an attempt
"never ran" once its last byte was written, unless the worker said so.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress

import h11

from ...config import Config, address
from ...core import Core
from ...interface import Effect, Status
from ...messages import Call, Destination, Outcome
from ...metrics import Counters
from ...tasks import Tasks
from . import tunables
from .answer import AnswerReader
from .connection import (
    Connection,
    ConnectionLostError,
    EarlyAnswerError,
    LocalFailureError,
    NeverWrittenError,
)
from .pool import Pool, Pools
from .probe import Prober


class StoppedError(Exception):
    """The core's rules stopped a call before its last byte was written; ``status``: what it ends in."""

    def __init__(self, status: Status) -> None:
        super().__init__(status.name)
        self.status = status


class Outbound:
    """Calls and probes; the port of the destinations that discovery names."""

    def __init__(self, config: Config, core: Core, counters: Counters) -> None:
        self.core = core
        self.counters = counters
        self.service = f"{config.listen[0]}:{config.listen[1]}".encode()
        self.stale = 0.0  # the share of kept connections that end under the next request
        self.pools = Pools(core.clock, counters, int(config.limits.sockets * tunables.OUTBOUND_PART),
                           config.conn_idle_ms * tunables.IDLE_PART, config.settings.connect_timeout_ms / 1000.0)
        self._answers = AnswerReader(core, counters, config.report_fields)
        self._prober = Prober(core, config.report_fields, self.service)
        self._tasks = Tasks(counters)
        self._calls: dict[int, asyncio.Task[None]] = {}

    def _pool(self, destination: Destination) -> Pool:
        return self.pools.to(address(destination.listed.addr, "addr"))

    async def run(self) -> None:
        """Close idle connections well before the other side does."""
        await self.pools.run()

    async def close(self) -> None:
        """Give back everything."""
        await self._tasks.close()
        self.pools.close_idle()

    def close_idle(self, destination: Destination) -> None:
        """Close idle connections."""
        self._pool(destination).close_idle()

    def forget(self, destination: Destination) -> None:
        """The destination is gone or restarted: its pool ends."""
        with suppress(ValueError):  # an address that never was one has no pool
            self.pools.forget(address(destination.listed.addr, "addr"))

    # -- probes --

    def probe(self, destination: Destination) -> None:
        """Ask a worker for its load; the answer follows."""
        self._tasks.start(self._prober.probe(destination, self._pool(destination)))

    # -- calls --

    def start(self, call: Call) -> None:
        """Begin a call."""
        self._calls[id(call)] = self._tasks.start(self._call(call, self._pool(call.destination)))

    def cancel(self, call: Call) -> Outcome | None:
        """Stop waiting for a call; its outcome if it has not begun."""
        task = self._calls.get(id(call))
        if task is None or call.over:
            return None
        task.cancel()
        if call.begun:
            return None
        # A task that is cancelled before its first step never runs its body, so nobody else would tell the
        # core of the end, and the request would stay open for ever.
        del self._calls[id(call)]
        call.over = True
        return Outcome(Status.CANCELLED)

    async def _call(self, call: Call, pool: Pool) -> None:
        call.begun = True
        connection: Connection | None = None
        outcome = Outcome(Status.CANCELLED)  # if it is called off before it could begin
        try:
            async with asyncio.timeout((call.ends - self.core.clock.now()) / 1000.0):
                outcome.status = Status.CONNECT_FAILED
                told_less_ms = tunables.TOLD_LESS_MS + tunables.HOLD_S * 1000.0
                while not call.written:
                    connection = await pool.take(self._once(call) and self.stale > tunables.STALE)
                    kept = connection.used
                    self._ask(self.core.may_go_on(call))
                    call.begun_at = self.core.clock.now()
                    try:
                        last = await self._begin(call, connection, told_less_ms)
                    except NeverWrittenError as error:
                        if kept:  # nothing left in whole: the same attempt takes another connection
                            self._saw_kept(stale=True)
                            pool.drop(connection)
                            connection = None
                            continue
                        if isinstance(error, EarlyAnswerError):
                            # Guards against one that says half a line before its turn, and no more: the request
                            # would wait for it until its deadline, though nothing of it is out.
                            async with asyncio.timeout(tunables.TAIL_S):
                                early = await self._answers.outcome(call, connection)
                            outcome.status = Status.FULL if early.status == Status.FULL else outcome.status
                            outcome.report = early.report
                        raise
                    took_ms = self.core.clock.now() - call.begun_at
                    if took_ms > told_less_ms:
                        # Guards against a worker that takes a body late, and against a process that is held up
                        # before this and again before its last byte: the slack of what is told covers one hold-up.
                        self.counters.add("calls.told_late")
                        told_less_ms += took_ms
                        pool.drop(connection)
                        connection = None
                        continue
                    self._ask(self.core.may_end(call))
                    call.written = True
                    outcome.status = Status.RESET  # a deadline that passes from here on: it may have run
                    try:
                        await connection.finish(last)
                    except NeverWrittenError:
                        call.written = False
                        outcome.status = Status.CONNECT_FAILED
                        raise
                    self.core.written(call)
                assert connection is not None
                try:
                    outcome = await self._answers.outcome(call, connection)
                except ConnectionLostError:
                    if kept:
                        self._saw_kept(stale=not connection.heard)
                    raise
                if kept:
                    self._saw_kept(stale=False)
        except TimeoutError:
            if outcome.status == Status.RESET:
                outcome = Outcome(Status.TIMEOUT)
        except StoppedError as stopped:
            outcome = Outcome(stopped.status)
        except LocalFailureError as error:  # another worker is out of reach as well, and none is to blame
            self.counters.log("calls.local_failures", str(error))
            outcome = Outcome(Status.MOOT)
        except (ConnectionLostError, NeverWrittenError):
            pass
        except asyncio.CancelledError:
            outcome = Outcome(Status.CANCELLED)
        except Exception as error:  # whatever raises: the request is owed an end, its slot and connection go back
            self.counters.log("calls.raised", repr(error))
        call.over = True  # from here on nothing may call it off: its outcome is on the way
        del self._calls[id(call)]
        keep = connection is not None and call.written and outcome.status in (Status.OK, Status.FULL, Status.ERROR)
        if connection is not None and not keep:
            pool.drop(connection)
        await self.core.post(lambda: self.core.ended(call, outcome))
        if connection is not None and keep:
            try:
                async with asyncio.timeout(tunables.TAIL_S):
                    if connection.http.their_state is h11.SEND_BODY:
                        await connection.body()
            except (ConnectionLostError, TimeoutError):
                pass
            finally:
                pool.give_back(connection, self.core.clock.now())

    def _once(self, call: Call) -> bool:
        return self.core.settings.classes[call.job.class_index].effect != Effect.SAFE

    @staticmethod
    def _ask(why: Status | None) -> None:
        """Guards against a process frozen while a job was on its way: without its last byte none runs."""
        if why is not None:
            raise StoppedError(why)

    def _saw_kept(self, stale: bool) -> None:
        """Note how a kept connection was found: whether it ended under the next request, unheard."""
        if stale:
            self.counters.add("connections.stale")
        self.stale += (stale - self.stale) * tunables.STALE_STEP

    async def _begin(self, call: Call, connection: Connection, told_less_ms: float) -> bytes:
        job = call.job
        left = max(1, int(call.ends - call.begun_at - told_less_ms))
        headers = [(b"Host", self.service), (b"X-Request-ID", job.ident.encode()), (b"X-Timeout", b"%dm" % left),
                   (b"X-Priority-Class", self.core.class_names[job.class_index].encode()),
                   (b"Content-Length", b"%d" % len(job.body)), *job.passed]
        try:
            return await connection.begin(job.method, job.target, headers, job.body)
        except h11.LocalProtocolError as error:
            raise NeverWrittenError(str(error)) from None
