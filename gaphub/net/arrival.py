"""When bytes that this process reads had reached its machine, which may be earlier than the moment of reading.

A client's deadline counts from its sending.  While the process is busy or stopped, requests lie in the kernel's
accept queue and socket buffers, and requests sent ahead lie in its own; that time is the client's.

Sources: the kernel's ``tcp_info`` (milliseconds since a connection last received data), and where it has none the
times at which the event loop's selector returned: what a selector finds without having waited may have come at any
time since it returned before.
"""

from __future__ import annotations

import asyncio
import selectors
import socket
import struct
import time
from collections import deque

TCP_INFO_SIZE = 160  # bytes; older kernels fill in fewer
LAST_DATA_RECEIVED = 52  # where ``tcpi_last_data_recv`` stands in ``struct tcp_info``: 32 bits, ms
LAST_ACK_RECEIVED = 56  # and ``tcpi_last_ack_recv``, likewise
ROUND_TRIP = 68  # and ``tcpi_rtt``, in us
DATA_SEGMENTS = 152  # and ``tcpi_data_segs_in``
SLEPT_S = 0.001  # a selector that took longer had to wait for what it found


class TimedSelector(selectors.DefaultSelector):
    """A selector that notes when it returned, the last two times, and whether it had to wait."""

    def __init__(self) -> None:
        super().__init__()
        self.returned = self.returned_before = time.monotonic()
        self.slept = True

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events; see ``selectors.BaseSelector.select``."""
        began = time.monotonic()
        found = super().select(timeout)
        self.returned_before, self.returned = self.returned, time.monotonic()
        self.slept = self.returned - began > SLEPT_S
        return found

    def may_have_waited_s(self) -> float:
        """How long ago, at the most, what was found last may have come; s."""
        return time.monotonic() - (self.returned if self.slept else self.returned_before)


class TimedLoop(asyncio.SelectorEventLoop):
    """An event loop on a ``TimedSelector``."""

    def __init__(self) -> None:
        self.selector = TimedSelector()
        super().__init__(self.selector)


def tcp_info_field(sock: socket.socket, place: int) -> int | None:
    """A 32-bit number at a place in the kernel's ``struct tcp_info``; None where it does not tell."""
    try:
        raw = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
    except OSError:
        return None
    if len(raw) < place + 4 or not raw[0]:  # no socket's state is 0: it was not filled in
        return None
    return int(struct.unpack_from("I", raw, place)[0])


def since_last_data_ms(sock: socket.socket) -> float | None:
    """How long ago a TCP connection last received data, by the kernel; None where that does not tell."""
    return tcp_info_field(sock, LAST_DATA_RECEIVED)


def connection_age_ms(sock: socket.socket) -> float:
    """How long ago a TCP connection that is being accepted was made; ms, 0 where the kernel does not tell.

    The one round trip that the kernel has seen by then is that of the handshake.  It ends with the first segment
    that was not put off (TCP_DEFER_ACCEPT), so it holds the time for which the client had sent nothing.  Where
    several segments have come, the last one is what counts, and the time is too short.
    """
    return float(tcp_info_field(sock, LAST_ACK_RECEIVED) or 0) + (tcp_info_field(sock, ROUND_TRIP) or 0) / 1000.0


def received_segments(sock: socket.socket) -> int:
    """In how many segments a TCP connection's bytes have come so far; 0 where the kernel does not tell."""
    return tcp_info_field(sock, DATA_SEGMENTS) or 0


def data_age_ms(sock: socket.socket, loop: asyncio.AbstractEventLoop) -> float:
    """How long ago bytes that the loop has just read had come, at the most; ms, 0 where nothing tells."""
    known = since_last_data_ms(sock)
    if known is not None:
        return known
    return loop.selector.may_have_waited_s() * 1000.0 if isinstance(loop, TimedLoop) else 0.0


class ArrivalLog:
    """When the bytes of one stream arrived, by their place in it.  Pure; times in any one unit."""

    MAX_ENTRIES = 64  # entries; beyond it later bytes count as come with the last ones before them

    def __init__(self) -> None:
        self._chunks: deque[tuple[int, float]] = deque()  # where each ends, and when it came
        self._end = 0

    def record(self, count: int, at: float) -> None:
        """So many bytes more have come."""
        self._end += count
        if len(self._chunks) >= self.MAX_ENTRIES:
            at = self._chunks.pop()[1]
        self._chunks.append((self._end, at))

    def time_of(self, place: int) -> float | None:
        """When the byte at a place came; None: it has not.  What stands before it is forgotten."""
        while self._chunks and self._chunks[0][0] <= place:
            self._chunks.popleft()
        return self._chunks[0][1] if self._chunks else None
