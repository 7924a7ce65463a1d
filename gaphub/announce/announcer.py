"""Announces the host route of the service address to the routers while this instance holds the lease.

``set`` starts and ends the announcement, and the lease is checked again before each UPDATE, so that nothing is
announced without it.  The session with one router must never delay that with another.
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
MAX_MED = 4_294_967_295


class Announcer(Protocol):
    """Announces the service address."""

    def set(self, term: int | None) -> None:
        """Announce the address as held in this term, or withdraw it if None.  Never blocks."""

    def status(self) -> list[dict[str, Any]]:
        """Return the state of each router's sessions."""

    async def open(self) -> None:
        """Start the sessions."""

    async def close(self) -> None:
        """Withdraw the route, shut the sessions down and end all tasks."""


def host_route(address_config: AddressConfig, session: Session, term: int) -> Update:
    """The host route as announced in one session.

    If two instances announce the address, the router must prefer the later holder.  In an internal session the
    term therefore raises LOCAL_PREF, in an external one it lowers MED (RFC 4271, 9.1.1 and 9.1.2.2), which routers
    compare because both routes come from one AS.
    """
    prefix = f"{address_config.service}/32"
    if session.internal:
        return Update((), (prefix,), 0, (), address_config.next_hop, None, min(MAX_MED, LOCAL_PREF + term))
    return Update((), (prefix,), 0, (session.config.asn,), address_config.next_hop, max(0, MAX_MED - term))


class BgpAnnouncer:
    """One BGP session per neighbour, each with a BFD session if configured."""

    def __init__(self, address_config: AddressConfig, bgp: BgpConfig, counters: Counters,
                 clock: Callable[[], float], holds: Callable[[], bool], seed: int) -> None:
        self.address_config = address_config
        self.counters = counters
        self.holds = holds
        self.term: int | None = None
        self._tasks = Tasks(counters)
        self.bgp_speakers: list[BgpSpeaker] = []
        self.bfd_speakers: list[BfdSpeaker | None] = []
        rng = random.Random(seed)
        for i, neighbour in enumerate(bgp.neighbours):
            speaker = BgpSpeaker(
                parse_address(neighbour.address, f"bgp.neighbours[{i}].address"), bgp.source,
                SessionConfig(bgp.local_as, bgp.router_id, neighbour.peer_as, bgp.hold_s, bgp.retry_s),
                counters, clock, self._desired_route)
            self.bgp_speakers.append(speaker)
            self.bfd_speakers.append(BfdSpeaker(
                parse_address(neighbour.bfd_listen, "bfd_listen"), parse_address(neighbour.bfd, "bfd"), bgp.bfd_ms,
                bgp.bfd_multiplier,
                counters, clock, lambda up, speaker=speaker: None if up else speaker.cease(10),  # type: ignore[misc]
                rng) if neighbour.bfd else None)

    def _desired_route(self, session: Session) -> Update | None:
        """The route to announce now; the lease is checked again on each call."""
        return host_route(self.address_config, session, self.term) if self.term is not None and (
            self.lingers or self.holds()) else None

    lingers = False  # whether the route stays announced briefly after the lease ended; only after a hand-over

    def set(self, term: int | None, linger: bool = False) -> None:
        """Announce or withdraw; with ``linger``, keep the announced route although the lease has ended."""
        self.lingers = linger
        self.term = self.term if linger else term
        for speaker in self.bgp_speakers:
            speaker.refresh()

    def status(self) -> list[dict[str, Any]]:
        """Return the state of each router's sessions."""
        return [{"router": f"{speaker.peer_address[0]}:{speaker.peer_address[1]}",
                 "bgp": speaker.session.state.value, "established": speaker.session.times_established,
                 "announced": speaker.advertised is not None,
                 "bfd": bfd_speaker.session.state.name.lower() if bfd_speaker is not None else "",
                 "error": speaker.session.last_error}
                for speaker, bfd_speaker in zip(self.bgp_speakers, self.bfd_speakers, strict=True)]

    async def open(self) -> None:
        """Start the sessions."""
        for speaker in self.bgp_speakers:
            self._tasks.start(speaker.run())
        for bfd_speaker in self.bfd_speakers:
            if bfd_speaker is not None:
                self._tasks.start(bfd_speaker.run())

    async def close(self) -> None:
        """Withdraw the route, shut the sessions down and end all tasks."""
        self.set(None)
        for bfd_speaker in self.bfd_speakers:
            if bfd_speaker is not None:
                bfd_speaker.shut_down()
        for speaker in self.bgp_speakers:
            if speaker.session.state is State.ESTABLISHED:
                await speaker.shut_down()
        await self._tasks.close()


