"""Connection pools: keep connections to workers between uses and bound their total number.

Pools do not read from or write to connections.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterable

from ...clock import Clock
from ...config import Address
from ...metrics import Counters
from . import tunables
from .connection import Connection, LocalFailureError


class Pool:
    """The connections to one destination."""

    def __init__(self, address: Address, owner: Pools) -> None:
        self.address = address
        self.owner = owner
        self.idle: list[Connection] = []
        self.failed_locally_at = -math.inf  # when this machine last failed to open a connection

    async def acquire(self, new_only: bool = False) -> Connection:
        """Return the most recently used idle connection, or open one; ConnectionLostError if that fails.

        Raises LocalFailureError if this machine lacks resources or the share of its descriptors for workers is
        used up.
        """
        while self.idle and not new_only:
            connection = self.idle.pop()
            # The configured idle time may be shorter than the reaper's interval. The worker's machine has closed
            # such a connection already, or is about to.
            if connection.usable and connection.idle_since >= self.owner.clock.now() - self.owner.max_idle_ms:
                return connection
            self.drop(connection)
        while self.owner.free_sockets <= 0 and await self.owner.make_room():
            pass
        if self.owner.free_sockets <= 0:
            raise LocalFailureError("no free descriptors for connections to workers")
        self.owner.free_sockets -= 1
        try:
            connection = await Connection.connect(self.address, self.owner.connect_timeout_s,
                                                  self._record_local_failure)
        except BaseException:
            self.owner.free_sockets += 1
            raise
        self.owner.counters.add("connections.outbound")
        return connection

    def _record_local_failure(self) -> None:
        self.failed_locally_at = self.owner.clock.now()

    def release(self, connection: Connection, now: float) -> None:
        """Take a connection back and keep it if it can be reused."""
        if connection.reusable and self.owner.is_current(self):
            connection.idle_since = now
            self.idle.append(connection)
        else:
            self.drop(connection)

    def drop(self, connection: Connection) -> None:
        """Close a connection; its descriptor is free only after the event loop has finished the close."""
        connection.close()
        self.owner.closing += 1
        asyncio.get_running_loop().call_soon(self.owner.on_closed)

    def close_idle(self, before: float = 1e18) -> None:
        """Close connections that have been idle since before a time or that the peer has closed."""
        old = [connection for connection in self.idle if connection.idle_since < before or not connection.usable]
        self.idle = [connection for connection in self.idle if connection not in old]
        for connection in old:
            self.drop(connection)


class Pools:
    """The pools of all destinations; a connection uses one of ``free_sockets`` until it is closed."""

    def __init__(self, clock: Clock, counters: Counters, free_sockets: int, max_idle_ms: float,
                 connect_timeout_s: float) -> None:
        self.clock = clock
        self.counters = counters
        self.free_sockets = free_sockets  # how many more may be opened now
        self.closing = 0  # connections that are being closed and still hold a descriptor
        self.max_idle_ms = max_idle_ms  # a connection that is idle for longer is closed
        self.connect_timeout_s = connect_timeout_s
        self._pools: dict[Address, Pool] = {}

    def pool_for(self, address: Address) -> Pool:
        """Return the pool of an address, creating it if needed."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = Pool(address, self)
        return pool

    def is_current(self, pool: Pool) -> bool:
        """Whether a pool is still the one of its address."""
        return self._pools.get(pool.address) is pool

    def values(self) -> Iterable[Pool]:
        """All pools."""
        return self._pools.values()

    async def run(self) -> None:
        """Close idle connections well before the peer's idle time-out."""
        while True:
            await asyncio.sleep(tunables.REAP_INTERVAL_S)
            self.close_idle(self.clock.now() - self.max_idle_ms)

    def on_closed(self) -> None:
        """Account for a connection whose descriptor has been freed."""
        self.closing -= 1
        self.free_sockets += 1

    async def make_room(self) -> bool:
        """Close the least recently used quarter of the idle connections; False if there are none to close.

        Closing all of them would cost a handshake for every second call where there are more workers than sockets.
        Nothing more is closed while earlier closes are pending: a burst would otherwise open as many new
        connections before one descriptor is really free.
        """
        idle_times = [] if self.closing else sorted(
            connection.idle_since for pool in self._pools.values() for connection in pool.idle)
        if idle_times:
            before = idle_times[len(idle_times) // 4]
            self.close_idle(math.nextafter(before, math.inf))
        any_closing = self.closing > 0
        await asyncio.sleep(0)
        return any_closing

    def close_idle(self, before: float = 1e18) -> None:
        """Close connections that have been idle since before a time or that the peer has closed."""
        for pool in self._pools.values():
            pool.close_idle(before)

    def forget(self, address: Address) -> None:
        """Discard the pool of a destination that is gone or has restarted."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close_idle()
