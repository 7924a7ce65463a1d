"""Owns the machine of one BGP session (RFC 4271, section 8): states, timers, what is due for each fault.

Pure: bytes and times (milliseconds of a steady clock) are handed in; ``out`` holds bytes to write, ``wants`` what
the host must do with the connection.  It must never raise for what the other side says.  The optional parts of
section 8 that are not spoken: collision detection beyond one connection a session (one side connects, the other
accepts), DelayOpen, and damping of peer oscillations beyond the doubled connect retry.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from . import bgp

OPEN_HOLD_MS = 240_000.0  # section 8.2.2: the large hold time while OPEN is awaited
RETRY_MOST = 8.0  # times the connect retry, at the most


class State(Enum):
    """Section 8.2.2."""

    IDLE = "idle"
    CONNECT = "connect"
    ACTIVE = "active"
    OPEN_SENT = "open_sent"
    OPEN_CONFIRM = "open_confirm"
    ESTABLISHED = "established"


class SessionConfig(NamedTuple):
    """What one side of a session says of itself and asks of the other."""

    asn: int
    router_id: str
    peer_as: int
    hold_s: float = 9.0
    retry_s: float = 1.0
    passive: bool = False  # accepts a connection, makes none


class Session:
    """One session; the host calls ``start``, then hands over what happens."""

    def __init__(self, config: SessionConfig) -> None:
        self.config = config
        self.state = State.IDLE
        self.out = bytearray()
        self.connect = False  # the host should connect now
        self.drop = False  # the host should write ``out`` and close
        self.reader = bgp.Reader()
        self.peer: bgp.Open | None = None
        self.hold_ms = 0.0
        self.hold_at = 0.0  # when the hold timer ends; 0: it does not run
        self.alive_at = 0.0  # when the next KEEPALIVE is due; 0: none is
        self.retry_at = 0.0
        self.failures = 0
        self.sessions = 0  # how often it was established
        self.last_error = ""
        self.received_updates: list[bgp.Update] = []

    @property
    def internal(self) -> bool:
        """Whether both sides are of one AS (LOCAL_PREF is said only then)."""
        return self.config.asn == self.config.peer_as

    def start(self, now: float) -> None:
        """Begin: connect, or wait to be connected to."""
        if self.state is State.IDLE:
            self.state = State.ACTIVE if self.config.passive else State.CONNECT
            self.connect = not self.config.passive

    def connected(self, now: float) -> None:
        """The connection is up."""
        self.reader = bgp.Reader()
        self.out = bytearray(bgp.open_(self.config.asn, int(self.config.hold_s), self.config.router_id))
        self.state = State.OPEN_SENT
        self.hold_at = now + OPEN_HOLD_MS
        self.drop = False

    def failed(self, now: float, why: str = "connection lost") -> None:
        """There is no connection (any more)."""
        if self.state is State.IDLE:
            return
        self.last_error = self.last_error or why
        self._idle(now)

    def received(self, now: float, data: bytes) -> None:
        """Bytes came in."""
        if self.drop:
            return
        try:
            for message in self.reader.feed(data):
                self._take(now, message)
                if self.drop:
                    return
        except bgp.BgpError as error:
            self._refuse(now, error)

    def tick(self, now: float) -> None:
        """Timers."""
        if self.hold_at and now >= self.hold_at and self.state in (
                State.OPEN_SENT, State.OPEN_CONFIRM, State.ESTABLISHED):
            self._refuse(now, bgp.BgpError(bgp.HOLD_EXPIRED, 0, b"", "hold timer"))
            return
        if self.alive_at and now >= self.alive_at:
            self.out += bgp.keepalive()
            self.alive_at = now + self.hold_ms / 3
        if self.retry_at and now >= self.retry_at and self.state in (State.CONNECT, State.ACTIVE):
            self.retry_at = 0.0
            self.connect = not self.config.passive

    def say(self, update: bgp.Update) -> bool:
        """Write an UPDATE; False where the session is not established."""
        if self.state is not State.ESTABLISHED or self.drop:
            return False
        self.out += bgp.update(update, self.reader.four_octet)
        return True

    def stop(self, now: float, subcode: int = 2) -> None:
        """End the session: NOTIFICATION Cease (RFC 4486: 2 administrative shutdown, 6 other change)."""
        if self.state in (State.OPEN_SENT, State.OPEN_CONFIRM, State.ESTABLISHED):
            self._refuse(now, bgp.BgpError(bgp.CEASE, subcode, b"", "ceased"))

    def next_due(self) -> float:
        """When ``tick`` is next of use."""
        return min((t for t in (self.hold_at, self.alive_at, self.retry_at) if t), default=1e18)

    # -- what a message means --

    def _take(self, now: float, message: bgp.Message) -> None:
        if isinstance(message, bgp.Notification):
            self.last_error = f"notification {message.code}/{message.subcode}"
            self.drop = True
            self.out = bytearray()
            self._idle(now)
        elif self.state is State.OPEN_SENT and isinstance(message, bgp.Open):
            self._opened(now, message)
        elif self.state is State.OPEN_CONFIRM and isinstance(message, bgp.Keepalive):
            self.state = State.ESTABLISHED
            self.sessions += 1
            self.failures = 0
            self.last_error = ""
            self._hold(now)
        elif self.state is State.ESTABLISHED and not isinstance(message, bgp.Open):
            if isinstance(message, bgp.Update):
                self.received_updates.append(message)
            self._hold(now)
        else:
            # RFC 6608: the subcode names the state in which it was not expected.
            subcode = {State.OPEN_SENT: 1, State.OPEN_CONFIRM: 2, State.ESTABLISHED: 3}.get(self.state, 0)
            raise bgp.BgpError(bgp.FSM_ERROR, subcode, b"", "out of turn")

    def _opened(self, now: float, message: bgp.Open) -> None:
        if message.asn != self.config.peer_as:
            raise bgp.BgpError(bgp.OPEN_ERROR, 2, b"", "AS")
        if message.router_id == self.config.router_id and self.internal:
            raise bgp.BgpError(bgp.OPEN_ERROR, 3, b"", "our own identifier")
        self.peer = message
        self.reader.four_octet = message.four_octet
        self.hold_ms = min(self.config.hold_s, message.hold_s) * 1000.0
        self.out += bgp.keepalive()
        self.alive_at = now + self.hold_ms / 3 if self.hold_ms else 0.0
        self._hold(now)
        self.state = State.OPEN_CONFIRM

    def _hold(self, now: float) -> None:
        self.hold_at = now + self.hold_ms if self.hold_ms else 0.0

    def _refuse(self, now: float, error: bgp.BgpError) -> None:
        self.last_error = f"{error} ({error.code}/{error.subcode})"
        self.out += error.packet()
        self.drop = True
        self._idle(now)

    def _idle(self, now: float) -> None:
        """Section 8: back to the start, and again after the connect retry time, doubled while it fails."""
        self.state = State.ACTIVE if self.config.passive else State.CONNECT
        self.peer = None
        self.hold_at = self.alive_at = 0.0
        self.retry_at = now + self.config.retry_s * 1000.0 * min(RETRY_MOST, 2.0 ** self.failures)
        self.failures += 1
        self.received_updates = []
