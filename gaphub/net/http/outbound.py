"""Calls and probes to the workers that discovery lists; implements the core's call port for them.

Does not choose a request's destination, and never repeats a request by itself.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress

from ...config import Config, parse_address
from ...core import Core
from ...interface import Status
from ...messages import Call, Destination, Outcome
from ...metrics import Counters
from ...tasks import Tasks
from . import tunables
from .answer import AnswerReader
from .exchange import Exchange, StaleConnections
from .pool import Pool, Pools
from .probe import Prober


class Outbound:
    """The call port of the destinations that discovery lists."""

    def __init__(self, config: Config, core: Core, counters: Counters) -> None:
        self.core = core
        self.counters = counters
        self.host = f"{config.listen[0]}:{config.listen[1]}".encode()
        self._stale = StaleConnections(counters)
        self.pools = Pools(core.clock, counters, int(config.limits.sockets * tunables.OUTBOUND_SOCKET_SHARE),
                           config.conn_idle_ms * tunables.IDLE_TIMEOUT_SHARE,
                           config.settings.connect_timeout_ms / 1000.0)
        self._answers = AnswerReader(core, counters, config.report_fields)
        self._prober = Prober(core, config.report_fields, self.host)
        self._tasks = Tasks(counters)
        self._calls: dict[int, asyncio.Task[None]] = {}

    def _pool_for(self, destination: Destination) -> Pool:
        return self.pools.pool_for(parse_address(destination.listed.addr, "addr"))

    async def run(self) -> None:
        """Close idle connections well before the peer's idle time-out."""
        await self.pools.run()

    async def close(self) -> None:
        """Cancel all calls and probes and close the idle connections."""
        await self._tasks.close()
        self.pools.close_idle()

    def close_idle(self, destination: Destination) -> None:
        """Close the idle connections to a destination."""
        self._pool_for(destination).close_idle()

    def forget(self, destination: Destination) -> None:
        """Discard the pool of a destination that is gone or has restarted."""
        with suppress(ValueError):  # there is no pool for an invalid address
            self.pools.forget(parse_address(destination.listed.addr, "addr"))

    # -- probes --

    def probe(self, destination: Destination) -> None:
        """Ask a worker for its load; ``Core.probe_ended`` follows."""
        self._tasks.start(self._prober.probe(destination, self._pool_for(destination)))

    # -- calls --

    def start(self, call: Call) -> None:
        """Start a call; ``Core.call_ended`` follows."""
        self._calls[id(call)] = self._tasks.start(self._run_call(call, self._pool_for(call.destination)))

    def cancel(self, call: Call) -> Outcome | None:
        """Cancel a call; returns its outcome if its task has not begun, else ``Core.call_ended`` follows."""
        task = self._calls.get(id(call))
        if task is None or call.finished:
            return None
        task.cancel()
        if call.task_started:
            return None
        # A task that is cancelled before its first step never runs its body. Nothing else would report the end to
        # the core, and the request would stay open forever.
        del self._calls[id(call)]
        call.finished = True
        return Outcome(Status.CANCELLED)

    async def _run_call(self, call: Call, pool: Pool) -> None:
        call.task_started = True
        exchange = Exchange(call, pool, self.core, self.counters, self._answers, self._stale, self.host)
        outcome = await exchange.run()
        call.finished = True  # it must not be cancelled any more: its outcome is about to be reported
        del self._calls[id(call)]
        await self.core.post(lambda: self.core.call_ended(call, outcome))
        await exchange.close()
