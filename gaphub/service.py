"""Owns the moving service address of one daemon: its member of the cluster, its fence, and its announcer.

It joins what they decide; it must never announce without a lease, and never serve by a flag: the fence asks
the machine by the clock.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from .announce.announcer import BgpAnnouncer
from .cluster.node import Node
from .cluster.types import Move
from .config import Config
from .core import Core
from .metrics import Counters
from .tasks import Tasks

LINGERS = ("handed over", "unready", "preempted")  # ends of a lease after which the successor is at hand


class LeaseFence:
    """The right to serve the service address: the lease, asked by the clock each time."""

    def __init__(self, return_ms: float, holds: Callable[[], bool]) -> None:
        self.retry_after_ms = return_ms
        self.holds = holds


class ServiceAddress:
    """The member, the fence and the announcer of this daemon."""

    def __init__(self, config: Config, core: Core, counters: Counters) -> None:
        fronts = config.fronts
        self.settings = fronts.address
        self.core = core
        self.counters = counters
        self.on_lease_gained: Callable[[], None] = lambda: None  # hears that this instance holds from now on
        self.on_lease_lost: Callable[[], None] = lambda: None  # hears that it does no longer
        self.node = Node(fronts.cluster, counters, self._moved)
        self.fence = LeaseFence(self.settings.return_ms, self.node.holds)
        self.announcer = BgpAnnouncer(self.settings, fronts.bgp, counters, self.node.clock, self.node.holds,
                                      config.seed) if self.settings.service else None
        self._tasks = Tasks(counters)

    async def open(self) -> None:
        """Join the cluster and meet the routers; nothing is held before ``set_ready``."""
        await self.node.open()
        if self.announcer is not None:
            await self.announcer.open()

    def _moved(self, move: Move) -> None:
        self.counters.log("lease.gained" if move.gained else "lease.lost", f"term={move.term} {move.why}")
        if move.gained:
            self.on_lease_gained()
            if self.announcer is not None:
                self.announcer.set(move.term)
            return
        self.on_lease_lost()
        self._tasks.start(self.core.post(self.core.fence_lost))
        if self.announcer is None:
            return
        if move.why in LINGERS:
            # Until the successor's route is known a router without any would send clients nowhere; what
            # comes here meanwhile is refused at once.
            self.announcer.set(None, linger=True)
            self._tasks.start(self._withdraw_later(move.term))
        else:
            self.announcer.set(None)

    async def _withdraw_later(self, term: int) -> None:
        assert self.announcer is not None
        waited = 0.0
        while waited < self.settings.linger_ms and not self._succeeded(term):
            await asyncio.sleep(0.005)
            waited += 5.0
        if self.announcer.lingers:
            self.announcer.set(None)

    def _succeeded(self, term: int) -> bool:
        machine = self.node.election
        return machine.holder not in (0, machine.me) and machine.term > term

    async def hand_over(self) -> None:
        """Before the end: hand over, and stay until the successor is heard or nobody can be."""
        held = self.node.holds()
        self.node.set_ready(False)
        waited = 0.0
        while held and waited < 2 * self.settings.linger_ms and (
                self.node.holds() or (self.announcer is not None and self.announcer.lingers)):
            await asyncio.sleep(0.005)
            waited += 5.0

    async def close(self) -> None:
        """Give everything back."""
        await self._tasks.close()
        if self.announcer is not None:
            await self.announcer.close()
        await self.node.close()

    def status(self) -> dict[str, Any]:
        """What ``gaphub status`` shows."""
        return {"cluster": self.node.status(), "address": self.settings.service,
                "routers": self.announcer.status() if self.announcer is not None else []}
