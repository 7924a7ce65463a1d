"""Manages a daemon's part in the floating service address: its cluster member, its fence and its route announcer.

It must never announce the address without holding the lease.  It must never serve on a stored flag: the fence
evaluates the lease against the clock on every check.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from .announce.announcer import BgpAnnouncer
from .cluster.node import Node
from .cluster.types import LeaseChange
from .config import Config
from .core import Core
from .metrics import Counters
from .tasks import Tasks

LINGER_REASONS = ("handed over", "unready", "preempted")  # lease ends after which a successor takes over soon


class LeaseFence:
    """The right to serve the service address: the lease, evaluated against the clock on each check."""

    def __init__(self, retry_after_ms: float, holds: Callable[[], bool]) -> None:
        self.retry_after_ms = retry_after_ms
        self.holds = holds


class ServiceAddress:
    """The cluster member, the fence and the route announcer of this daemon."""

    def __init__(self, config: Config, core: Core, counters: Counters) -> None:
        fronts = config.fronts
        self.settings = fronts.address
        self.core = core
        self.counters = counters
        self.on_lease_gained: Callable[[], None] = lambda: None  # called when this instance gains the lease
        self.on_lease_lost: Callable[[], None] = lambda: None  # called when it loses the lease
        self.node = Node(fronts.cluster, counters, self._on_lease_change)
        self.fence = LeaseFence(self.settings.return_ms, self.node.holds)
        self.announcer = BgpAnnouncer(self.settings, fronts.bgp, counters, self.node.clock, self.node.holds,
                                      config.seed) if self.settings.service else None
        self._tasks = Tasks(counters)

    async def open(self) -> None:
        """Join the cluster and connect to the routers; the lease is not taken before ``set_ready``."""
        await self.node.open()
        if self.announcer is not None:
            await self.announcer.open()

    def _on_lease_change(self, change: LeaseChange) -> None:
        self.counters.log("lease.gained" if change.gained else "lease.lost", f"term={change.term} {change.reason}")
        if change.gained:
            self.on_lease_gained()
            if self.announcer is not None:
                self.announcer.set(change.term)
            return
        self.on_lease_lost()
        self._tasks.start(self.core.post(self.core.fence_lost))
        if self.announcer is None:
            return
        if change.reason in LINGER_REASONS:
            # Keep the route until the successor's has arrived: a router without any route would drop clients'
            # packets.  Requests that arrive here meanwhile are refused at once.
            self.announcer.set(None, linger=True)
            self._tasks.start(self._withdraw_later(change.term))
        else:
            self.announcer.set(None)

    async def _withdraw_later(self, term: int) -> None:
        assert self.announcer is not None
        waited_ms = 0.0
        while waited_ms < self.settings.linger_ms and not self._has_successor(term):
            await asyncio.sleep(0.005)
            waited_ms += 5.0
        if self.announcer.lingers:
            self.announcer.set(None)

    def _has_successor(self, term: int) -> bool:
        election = self.node.election
        return election.holder not in (0, election.me) and election.term > term

    async def hand_over(self) -> None:
        """Before shutdown: give up the lease; returns when a successor is known or the time for that is over."""
        held = self.node.holds()
        self.node.set_ready(False)
        waited_ms = 0.0
        while held and waited_ms < 2 * self.settings.linger_ms and (
                self.node.holds() or (self.announcer is not None and self.announcer.lingers)):
            await asyncio.sleep(0.005)
            waited_ms += 5.0

    async def close(self) -> None:
        """End all tasks, the announcer and the cluster member."""
        await self._tasks.close()
        if self.announcer is not None:
            await self.announcer.close()
        await self.node.close()

    def status(self) -> dict[str, Any]:
        """The values that ``gaphub status`` shows."""
        return {"cluster": self.node.status(), "address": self.settings.service,
                "routers": self.announcer.status() if self.announcer is not None else []}
