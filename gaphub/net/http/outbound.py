"""Owns the calls to the workers that discovery names, and is the core's port for them.

It must never decide where a request goes, and never send one a second time by itself.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress

from ...config import Config, address
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
    """Calls and probes; the port of the destinations that discovery names."""

    def __init__(self, config: Config, core: Core, counters: Counters) -> None:
        self.core = core
        self.counters = counters
        self.service = f"{config.listen[0]}:{config.listen[1]}".encode()
        self._stale = StaleConnections(counters)
        self.pools = Pools(core.clock, counters, int(config.limits.sockets * tunables.OUTBOUND_SOCKET_SHARE),
                           config.conn_idle_ms * tunables.IDLE_TIMEOUT_SHARE,
                           config.settings.connect_timeout_ms / 1000.0)
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
        exchange = Exchange(call, pool, self.core, self.counters, self._answers, self._stale, self.service)
        outcome = await exchange.run()
        call.over = True  # from here on nothing may call it off: its outcome is on the way
        del self._calls[id(call)]
        await self.core.post(lambda: self.core.ended(call, outcome))
        await exchange.close()
