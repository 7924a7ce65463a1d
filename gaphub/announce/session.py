"""The state machine of one BGP session (RFC 4271, section 8): states, timers and error handling.

Pure: bytes and times (milliseconds of a monotonic clock) are passed in; ``out`` holds the bytes to write, and
``connect`` and ``drop`` say what the host must do with the connection.  No received data raises an error.  These
optional parts of section 8 are not implemented: collision detection (a session has one connection: one side
connects, the other accepts), DelayOpen, and damping of peer oscillations beyond doubling the connect retry time.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from . import bgp

OPEN_HOLD_TIME_MS = 240_000.0  # section 8.2.2: the large hold time while the OPEN is awaited
MAX_RETRY_FACTOR = 8.0  # upper bound of the factor by which failures lengthen the connect retry time


class State(Enum):
    """The session state (section 8.2.2)."""

    IDLE = "idle"
    CONNECT = "connect"
    ACTIVE = "active"
    OPEN_SENT = "open_sent"
    OPEN_CONFIRM = "open_confirm"
    ESTABLISHED = "established"


class SessionConfig(NamedTuple):
    """The parameters of one side of a session."""

    asn: int
    router_id: str
    peer_as: int
    hold_s: float = 9.0
    retry_s: float = 1.0
    passive: bool = False  # accepts connections and opens none


class Session:
    """One session; the host calls ``start`` and then reports events of the connection and time."""

    def __init__(self, config: SessionConfig) -> None:
        self.config = config
        self.state = State.IDLE
        self.out = bytearray()
        self.connect = False  # the host must connect now
        self.drop = False  # the host must write ``out`` and close the connection
        self.reader = bgp.Reader()
        self.peer: bgp.Open | None = None
        self.hold_ms = 0.0
        self.hold_at = 0.0  # when the hold timer expires; 0: stopped
        self.keepalive_at = 0.0  # when the next KEEPALIVE is due; 0: none
        self.retry_at = 0.0
        self.failures = 0
        self.times_established = 0
        self.last_error = ""
        self.received_updates: list[bgp.Update] = []

    @property
    def internal(self) -> bool:
        """Whether both sides are in one AS (LOCAL_PREF is sent only then)."""
        return self.config.asn == self.config.peer_as

    def start(self, now: float) -> None:
        """Start the session: connect, or wait for a connection if passive."""
        if self.state is State.IDLE:
            self.state = State.ACTIVE if self.config.passive else State.CONNECT
            self.connect = not self.config.passive

    def connected(self, now: float) -> None:
        """Handle an established connection."""
        self.reader = bgp.Reader()
        self.out = bytearray(bgp.encode_open(self.config.asn, int(self.config.hold_s), self.config.router_id))
        self.state = State.OPEN_SENT
        self.hold_at = now + OPEN_HOLD_TIME_MS
        self.drop = False

    def failed(self, now: float, reason: str = "connection lost") -> None:
        """Handle a failed or lost connection."""
        if self.state is State.IDLE:
            return
        self.last_error = self.last_error or reason
        self._reset(now)

    def received(self, now: float, data: bytes) -> None:
        """Handle received bytes."""
        if self.drop:
            return
        try:
            for message in self.reader.feed(data):
                self._handle_message(now, message)
                if self.drop:
                    return
        except bgp.BgpError as error:
            self._notify_and_close(now, error)

    def tick(self, now: float) -> None:
        """Run the timers that have expired."""
        if self.hold_at and now >= self.hold_at and self.state in (
                State.OPEN_SENT, State.OPEN_CONFIRM, State.ESTABLISHED):
            self._notify_and_close(now, bgp.BgpError(bgp.HOLD_EXPIRED, 0, b"", "hold timer expired"))
            return
        if self.keepalive_at and now >= self.keepalive_at:
            self.out += bgp.encode_keepalive()
            self.keepalive_at = now + self.hold_ms / 3
        if self.retry_at and now >= self.retry_at and self.state in (State.CONNECT, State.ACTIVE):
            self.retry_at = 0.0
            self.connect = not self.config.passive

    def send_update(self, update: bgp.Update) -> bool:
        """Queue an UPDATE; return False if the session is not established."""
        if self.state is not State.ESTABLISHED or self.drop:
            return False
        self.out += bgp.encode_update(update, self.reader.four_octet)
        return True

    def stop(self, now: float, subcode: int = 2) -> None:
        """End the session with NOTIFICATION Cease (RFC 4486: 2 administrative shutdown, 6 other change)."""
        if self.state in (State.OPEN_SENT, State.OPEN_CONFIRM, State.ESTABLISHED):
            self._notify_and_close(now, bgp.BgpError(bgp.CEASE, subcode, b"", "ceased"))

    def next_due(self) -> float:
        """The time at which ``tick`` must be called next."""
        return min((t for t in (self.hold_at, self.keepalive_at, self.retry_at) if t), default=1e18)

    # -- messages --

    def _handle_message(self, now: float, message: bgp.Message) -> None:
        if isinstance(message, bgp.Notification):
            self.last_error = f"notification {message.code}/{message.subcode}"
            self.drop = True
            self.out = bytearray()
            self._reset(now)
        elif self.state is State.OPEN_SENT and isinstance(message, bgp.Open):
            self._handle_open(now, message)
        elif self.state is State.OPEN_CONFIRM and isinstance(message, bgp.Keepalive):
            self.state = State.ESTABLISHED
            self.times_established += 1
            self.failures = 0
            self.last_error = ""
            self._restart_hold_timer(now)
        elif self.state is State.ESTABLISHED and not isinstance(message, bgp.Open):
            if isinstance(message, bgp.Update):
                self.received_updates.append(message)
            self._restart_hold_timer(now)
        else:
            # RFC 6608: the subcode names the state in which the message was unexpected.
            subcode = {State.OPEN_SENT: 1, State.OPEN_CONFIRM: 2, State.ESTABLISHED: 3}.get(self.state, 0)
            raise bgp.BgpError(bgp.FSM_ERROR, subcode, b"", "unexpected message")

    def _handle_open(self, now: float, message: bgp.Open) -> None:
        if message.asn != self.config.peer_as:
            raise bgp.BgpError(bgp.OPEN_ERROR, 2, b"", "unexpected peer AS")
        if message.router_id == self.config.router_id and self.internal:
            raise bgp.BgpError(bgp.OPEN_ERROR, 3, b"", "peer has the local BGP identifier")
        self.peer = message
        self.reader.four_octet = message.four_octet
        self.hold_ms = min(self.config.hold_s, message.hold_s) * 1000.0
        self.out += bgp.encode_keepalive()
        self.keepalive_at = now + self.hold_ms / 3 if self.hold_ms else 0.0
        self._restart_hold_timer(now)
        self.state = State.OPEN_CONFIRM

    def _restart_hold_timer(self, now: float) -> None:
        self.hold_at = now + self.hold_ms if self.hold_ms else 0.0

    def _notify_and_close(self, now: float, error: bgp.BgpError) -> None:
        self.last_error = f"{error} ({error.code}/{error.subcode})"
        self.out += error.encode_notification()
        self.drop = True
        self._reset(now)

    def _reset(self, now: float) -> None:
        """Return to the start (section 8); retry after the connect retry time, doubled with each failure."""
        self.state = State.ACTIVE if self.config.passive else State.CONNECT
        self.peer = None
        self.hold_at = self.keepalive_at = 0.0
        self.retry_at = now + self.config.retry_s * 1000.0 * min(MAX_RETRY_FACTOR, 2.0 ** self.failures)
        self.failures += 1
        self.received_updates = []
