"""BFD in asynchronous mode (RFC 5880, RFC 5881 for one hop): the control packet and the session state machine.

Pure: times are passed in, in milliseconds of a monotonic clock.  A packet that fails a check of section 6.8.6 is
dropped and changes no state; ``parse`` returns None for it and never raises.  Authentication, the echo function
and demand mode are not supported: packets with the A or D bit are dropped, as 6.8.6 requires for the A bit without
a key.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import NamedTuple

PACKET_BYTES = 24
SLOW_TX_INTERVAL_MS = 1000.0  # section 6.8.3: minimum transmit interval while the session is not up
_FORMAT = struct.Struct(">BBBBIIIII")


class State(IntEnum):
    """The session state (section 4.1)."""

    ADMIN_DOWN = 0
    DOWN = 1
    INIT = 2
    UP = 3


class Diag(IntEnum):
    """The diagnostic codes that this side sends (section 4.1)."""

    NONE = 0
    EXPIRED = 1
    NEIGHBOUR_DOWN = 3
    ADMIN_DOWN = 7


class Packet(NamedTuple):
    """A control packet; intervals are in microseconds, as on the wire."""

    state: State
    my_discriminator: int
    your_discriminator: int
    multiplier: int
    desired_tx_us: int
    required_rx_us: int
    diag: int = 0
    poll: bool = False
    final: bool = False

    def encode(self) -> bytes:
        """Return the 24 bytes of the packet."""
        flags = self.state << 6 | self.poll << 5 | self.final << 4
        return _FORMAT.pack(1 << 5 | self.diag, flags, self.multiplier, PACKET_BYTES, self.my_discriminator,
                            self.your_discriminator, self.desired_tx_us, self.required_rx_us, 0)


def parse(data: bytes) -> Packet | None:
    """Return a packet that passes the checks of section 6.8.6 which need no session; otherwise None."""
    if len(data) < PACKET_BYTES:
        return None
    (first, flags, multiplier, packet_length, my_discriminator, your_discriminator, desired_tx_us, required_rx_us,
     _) = _FORMAT.unpack_from(data)
    authenticated, demand, multipoint = flags & 4, flags & 2, flags & 1
    if (first >> 5 != 1 or packet_length != PACKET_BYTES or packet_length > len(data) or not multiplier
            or not my_discriminator):
        return None
    if authenticated or demand or multipoint or (flags & 0x20 and flags & 0x10):
        return None
    state = State(flags >> 6)
    if not your_discriminator and state not in (State.DOWN, State.ADMIN_DOWN):
        return None
    return Packet(state, my_discriminator, your_discriminator, multiplier, desired_tx_us, required_rx_us,
                  first & 31, bool(flags & 0x20), bool(flags & 0x10))


class Session:
    """One session; the host passes in the jitter of each packet, 0 to 1, which section 6.8.7 requires."""

    def __init__(self, my_discriminator: int, interval_ms: float, multiplier: int, now: float) -> None:
        self.my_discriminator = my_discriminator
        self.interval_ms = interval_ms
        self.multiplier = multiplier
        self.state = State.DOWN
        self.diag = Diag.NONE
        self.your_discriminator = 0
        self.remote_state = State.DOWN
        self.remote_tx_ms = 0.0
        self.remote_rx_ms = 0.0
        self.remote_multiplier = 0
        self.expires_at = 0.0  # end of the detection time; 0: the timer is stopped
        self.send_at = now
        self.final_due = False
        self.polling = False  # the local intervals changed and the poll sequence is not finished
        self.up_count = 0
        self.down_count = 0

    @property
    def detection_time_ms(self) -> float:
        """The silence after which the session goes down (section 6.8.4)."""
        return self.remote_multiplier * max(self.interval_ms, self.remote_tx_ms)

    @property
    def _tx_ms(self) -> float:
        """The advertised transmit interval: slow until the session is up (section 6.8.3)."""
        return self.interval_ms if self.state is State.UP else max(self.interval_ms, SLOW_TX_INTERVAL_MS)

    def admin_down(self) -> None:
        """Take the session down administratively."""
        self._set_state(State.ADMIN_DOWN, Diag.ADMIN_DOWN)

    def receive(self, now: float, packet: Packet) -> bool:
        """Handle a packet that passed ``parse``; return False if it does not belong to this session."""
        if packet.your_discriminator and packet.your_discriminator != self.my_discriminator:
            return False
        if (self.your_discriminator and packet.my_discriminator != self.your_discriminator
                and self.state is State.UP and not packet.your_discriminator):
            return False  # the first packet of another system must not take an established session down
        self.your_discriminator = packet.my_discriminator
        self.remote_state = packet.state
        self.remote_tx_ms, self.remote_rx_ms = packet.desired_tx_us / 1000.0, packet.required_rx_us / 1000.0
        self.remote_multiplier = packet.multiplier
        if packet.final:
            self.polling = False
        if self.state is State.ADMIN_DOWN:
            return True
        if packet.state is State.ADMIN_DOWN:
            if self.state is not State.DOWN:
                self._set_state(State.DOWN, Diag.NEIGHBOUR_DOWN)
        elif self.state is State.DOWN:
            if packet.state is State.DOWN:
                self._set_state(State.INIT, Diag.NONE)
            elif packet.state is State.INIT:
                self._set_state(State.UP, Diag.NONE)
        elif self.state is State.INIT:
            if packet.state in (State.INIT, State.UP):
                self._set_state(State.UP, Diag.NONE)
        elif packet.state is State.DOWN:
            self._set_state(State.DOWN, Diag.NEIGHBOUR_DOWN)
        self.expires_at = now + self.detection_time_ms
        if packet.poll:
            self.final_due = True
            self.send_at = now
        return True

    def tick(self, now: float, jitter: float) -> list[bytes]:
        """Check the detection time and return the packets that are due."""
        if self.expires_at and now >= self.expires_at:
            self.expires_at = 0.0
            if self.state in (State.INIT, State.UP):
                self._set_state(State.DOWN, Diag.EXPIRED)
            self.your_discriminator = 0  # section 6.8.1: reset when the detection time has passed
        if now < self.send_at:
            return []
        packet = Packet(self.state, self.my_discriminator, self.your_discriminator, self.multiplier,
                        int(self._tx_ms * 1000), int(self.interval_ms * 1000), self.diag,
                        self.polling and not self.final_due, self.final_due)
        self.final_due = False
        # Section 6.8.7: the larger of the local transmit and the remote receive interval, reduced by 0 to 25 %, or
        # by 10 to 25 % with a multiplier of 1.
        min_reduction = 0.1 if self.multiplier == 1 else 0.0
        delay_ms = max(self._tx_ms, self.remote_rx_ms) * (1.0 - min_reduction - (0.25 - min_reduction) * jitter)
        self.send_at = now + delay_ms
        return [packet.encode()]

    def next_due(self) -> float:
        """The time at which ``tick`` must be called next."""
        return min(self.send_at, self.expires_at or 1e18)

    def _set_state(self, state: State, diag: Diag) -> None:
        if state is State.UP:
            self.up_count += 1
            self.polling = True
        elif self.state is State.UP:
            self.down_count += 1
        if state is not self.state:
            self.send_at = 0.0  # a change of state is sent at once
        self.state, self.diag = state, diag
