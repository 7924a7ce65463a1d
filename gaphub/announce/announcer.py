"""Owns what the routers are told: one host route while this instance holds the service address, nothing else.

It is told by ``set`` and asks the fence again before each word; it must never announce without the lease, and
never let one router's state hold up another's.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

from ..config import AddressConfig, BgpConfig, parse_address
from ..metrics import Counters
from ..tasks import Tasks
from .bgp import Update
from .session import Session, SessionConfig, State
from .speaker import BfdSpeaker, BgpSpeaker

LOCAL_PREF = 100
MED_MOST = 4_294_967_295


class Announcer(Protocol):
    """What makes the service address known."""

    def set(self, term: int | None) -> None:
        """Announce it as held in this term; None: withdraw it.  Never blocks."""

    def status(self) -> list[dict[str, Any]]:
        """A line for each router."""

    async def open(self) -> None:
        """Begin."""

    async def close(self) -> None:
        """Withdraw, say goodbye and give everything back."""


def route(front: AddressConfig, session: Session, term: int) -> Update:
    """The host route as one session is told it.

    Of two holders the router must believe the later: within an AS the term raises LOCAL_PREF, towards another
    AS it lowers MED (RFC 4271, 9.1.1 and 9.1.2.2), which is compared as both routes come from one AS.
    """
    prefix = f"{front.service}/32"
    if session.internal:
        return Update((), (prefix,), 0, (), front.next_hop, None, min(MED_MOST, LOCAL_PREF + term))
    return Update((), (prefix,), 0, (session.config.asn,), front.next_hop, max(0, MED_MOST - term))


class BgpAnnouncer:
    """A BGP session, and BFD where set, for each neighbour."""

    def __init__(self, front: AddressConfig, bgp: BgpConfig, counters: Counters, clock: Callable[[], float],
                 holds: Callable[[], bool], seed: int) -> None:
        self.front = front
        self.counters = counters
        self.holds = holds
        self.term: int | None = None
        self._tasks = Tasks(counters)
        self.speakers: list[BgpSpeaker] = []
        self.watchers: list[BfdSpeaker | None] = []
        draw = random.Random(seed)
        for i, n in enumerate(bgp.neighbours):
            speaker = BgpSpeaker(
                parse_address(n.address, f"bgp.neighbours[{i}].address"), bgp.source,
                SessionConfig(bgp.local_as, bgp.router_id, n.peer_as, bgp.hold_s, bgp.retry_s), counters, clock,
                self._route)
            self.speakers.append(speaker)
            self.watchers.append(BfdSpeaker(
                parse_address(n.bfd_listen, "bfd_listen"), parse_address(n.bfd, "bfd"), bgp.bfd_ms,
                bgp.bfd_multiplier,
                counters, clock, lambda up, s=speaker: None if up else s.cease(10),  # type: ignore[misc]
                draw) if n.bfd else None)

    def _route(self, session: Session) -> Update | None:
        """What is to be announced at this moment; the lease is asked again."""
        return route(self.front, session, self.term) if self.term is not None and (
            self.lingers or self.holds()) else None

    lingers = False  # whether a route may outlive the lease for a moment: after a hand-over only

    def set(self, term: int | None, linger: bool = False) -> None:
        """Announce, or withdraw; ``linger``: keep what is announced for now, though the lease has ended."""
        self.lingers = linger
        self.term = self.term if linger else term
        for speaker in self.speakers:
            speaker.poke()

    def status(self) -> list[dict[str, Any]]:
        """A line for each router."""
        return [{"router": f"{s.to[0]}:{s.to[1]}", "bgp": s.session.state.value,
                 "established": s.session.sessions, "announced": s.said is not None,
                 "bfd": w.session.state.name.lower() if w is not None else "", "error": s.session.last_error}
                for s, w in zip(self.speakers, self.watchers, strict=True)]

    async def open(self) -> None:
        """Begin."""
        for speaker in self.speakers:
            self._tasks.start(speaker.run())
        for watcher in self.watchers:
            if watcher is not None:
                self._tasks.start(watcher.run())

    async def close(self) -> None:
        """Withdraw, say goodbye and give everything back."""
        self.set(None)
        for watcher in self.watchers:
            if watcher is not None:
                watcher.leave()
        for speaker in self.speakers:
            if speaker.session.state is State.ESTABLISHED:
                await speaker.leave()
        await self._tasks.close()


