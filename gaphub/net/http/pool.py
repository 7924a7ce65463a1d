"""Owns the connections to workers between their uses, and how many there may be together.

It must never write to one, nor read what has come on it.
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
    """Owns the connections to one destination."""

    def __init__(self, to: Address, owner: Pools) -> None:
        self.to = to
        self.owner = owner
        self.idle: list[Connection] = []
        self.failed_locally_at = -math.inf  # when this machine last failed to make a connection

    async def acquire(self, new_only: bool = False) -> Connection:
        """An idle connection, the one used last, or a new one; ConnectionLostError if there is none.

        LocalFailureError where this machine, or the part of its descriptors for workers, has no room for one.
        """
        while self.idle and not new_only:
            connection = self.idle.pop()
            # Guards against settings whose idle time is no longer than the pause between two rounds of the
            # reaper: the worker's machine has closed such a connection, or is about to.
            if connection.usable and connection.idle_since >= self.owner.clock.now() - self.owner.idle_ms:
                return connection
            self.drop(connection)
        while self.owner.free_sockets <= 0 and await self.owner.make_room():
            pass
        if self.owner.free_sockets <= 0:
            raise LocalFailureError("out of sockets")
        self.owner.free_sockets -= 1
        try:
            connection = await Connection.connect(self.to, self.owner.connect_s, self._note_local_failure)
        except BaseException:
            self.owner.free_sockets += 1
            raise
        self.owner.counters.add("connections.outbound")
        return connection

    def _note_local_failure(self) -> None:
        self.failed_locally_at = self.owner.clock.now()

    def give_back(self, connection: Connection, now: float) -> None:
        """The one place where a connection comes back: kept if it may be used again."""
        if connection.reusable and self.owner.has(self):
            connection.idle_since = now
            self.idle.append(connection)
        else:
            self.drop(connection)

    def drop(self, connection: Connection) -> None:
        """Close a connection; its descriptor is free once the loop has done what the close left to it."""
        connection.close()
        self.owner.closing += 1
        asyncio.get_running_loop().call_soon(self.owner.closed)

    def close_idle(self, before: float = 1e18) -> None:
        """Close what has been idle since before a time, and what the other side closed."""
        old = [w for w in self.idle if w.idle_since < before or not w.usable]
        self.idle = [w for w in self.idle if w not in old]
        for connection in old:
            self.drop(connection)


class Pools:
    """Owns the pools of all destinations; a connection counts as one of ``free_sockets`` until it is closed."""

    def __init__(self, clock: Clock, counters: Counters, free_sockets: int, idle_ms: float,
                 connect_s: float) -> None:
        self.clock = clock
        self.counters = counters
        self.free_sockets = free_sockets  # that may be opened now
        self.closing = 0  # that were told to close and still hold a descriptor
        self.idle_ms = idle_ms  # idle for so long, a connection is closed
        self.connect_s = connect_s
        self._pools: dict[Address, Pool] = {}

    def to(self, to: Address) -> Pool:
        """The pool of an address."""
        pool = self._pools.get(to)
        if pool is None:
            pool = self._pools[to] = Pool(to, self)
        return pool

    def has(self, pool: Pool) -> bool:
        """Whether a pool is that of its address still."""
        return self._pools.get(pool.to) is pool

    def values(self) -> Iterable[Pool]:
        """All pools."""
        return self._pools.values()

    async def run(self) -> None:
        """Close idle connections well before the other side does."""
        while True:
            await asyncio.sleep(tunables.REAP_INTERVAL_S)
            self.close_idle(self.clock.now() - self.idle_ms)

    def closed(self) -> None:
        """A connection that was told to close holds no descriptor any longer."""
        self.closing -= 1
        self.free_sockets += 1

    async def make_room(self) -> bool:
        """Close the idle connections that were used longest ago, a quarter: the sockets are needed elsewhere.

        False if there are none.  Guards against a fleet of more workers than sockets, where closing all of them
        made each second call a handshake, and against a burst that opened as many before one was really closed.
        """
        since = [] if self.closing else sorted(w.idle_since for pool in self._pools.values() for w in pool.idle)
        if since:
            before = since[len(since) // 4]
            self.close_idle(math.nextafter(before, math.inf))
        room = self.closing > 0
        await asyncio.sleep(0)
        return room

    def close_idle(self, before: float = 1e18) -> None:
        """Close what has been idle since before a time, and what the other side closed."""
        for pool in self._pools.values():
            pool.close_idle(before)

    def forget(self, to: Address) -> None:
        """The destination is gone or restarted: its pool ends."""
        pool = self._pools.pop(to, None)
        if pool is not None:
            pool.close_idle()
