"""Estimates when received bytes reached this host, which may be before this process read them.

A client's deadline counts from the time it sent the last byte of its request.  While the process is busy or
stopped, connections wait in the kernel's accept queue, bytes in its socket buffers, and pipelined requests in the
process's own buffers; that time counts against the client's deadline.

There are two sources: the kernel's ``tcp_info`` (milliseconds since a connection last received data) and, where
the kernel does not provide it, the times at which the event loop's selector returned.  An event that the selector
found without blocking may have happened at any time since its previous return.
"""

from __future__ import annotations

import asyncio
import selectors
import socket
import struct
import time
from collections import deque
from typing import NamedTuple

TCP_INFO_SIZE = 160  # bytes; older kernels fill in fewer
# Offsets in ``struct tcp_info``, each of a 32-bit field.
LAST_DATA_OFFSET = 52  # ``tcpi_last_data_recv``, ms
LAST_ACK_OFFSET = 56  # ``tcpi_last_ack_recv``, ms
RTT_OFFSET = 68  # ``tcpi_rtt``, us
DATA_SEGMENTS_OFFSET = 152  # ``tcpi_data_segs_in``
BLOCKED_MIN_S = 0.001  # a select() that took longer had to wait for its events


class TimedSelector(selectors.DefaultSelector):
    """A selector that records the times of its last two returns, and whether the last call blocked."""

    def __init__(self) -> None:
        super().__init__()
        self.returned_at = self.previous_returned_at = time.monotonic()
        self.blocked = True

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events; see ``selectors.BaseSelector.select``."""
        began = time.monotonic()
        events = super().select(timeout)
        self.previous_returned_at, self.returned_at = self.returned_at, time.monotonic()
        self.blocked = self.returned_at - began > BLOCKED_MIN_S
        return events

    def max_event_age_s(self) -> float:
        """Upper bound of the time since the last returned events happened; s."""
        return time.monotonic() - (self.returned_at if self.blocked else self.previous_returned_at)


class TimedLoop(asyncio.SelectorEventLoop):
    """An event loop on a ``TimedSelector``."""

    def __init__(self) -> None:
        self.selector = TimedSelector()
        super().__init__(self.selector)


def tcp_info_field(sock: socket.socket, offset: int) -> int | None:
    """The 32-bit field at an offset in the kernel's ``struct tcp_info``; None if it was not filled in."""
    try:
        raw = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
    except OSError:
        return None
    if len(raw) < offset + 4 or not raw[0]:  # the first byte is the state, never 0 in a struct that was filled in
        return None
    return int(struct.unpack_from("I", raw, offset)[0])


def since_last_data_ms(sock: socket.socket) -> float | None:
    """Time since a TCP connection last received data, by the kernel; None if it does not say."""
    return tcp_info_field(sock, LAST_DATA_OFFSET)


def connection_age_ms(sock: socket.socket) -> float:
    """Time since a TCP connection that is being accepted was established; 0 if the kernel does not provide it.

    It is the time since the last ACK plus the round-trip time.  The only round trip that the kernel has measured
    by then is that of the handshake.  It ends with the first segment that was not put off by TCP_DEFER_ACCEPT, so
    it includes the time during which the client had sent nothing.  If several segments have arrived, the last ACK
    came with the last of them, and the result is too small.
    """
    return float(tcp_info_field(sock, LAST_ACK_OFFSET) or 0) + (tcp_info_field(sock, RTT_OFFSET) or 0) / 1000.0


def received_segments(sock: socket.socket) -> int:
    """How many segments with data a TCP connection has received; 0 if the kernel does not provide it."""
    return tcp_info_field(sock, DATA_SEGMENTS_OFFSET) or 0


def data_age_ms(sock: socket.socket, loop: asyncio.AbstractEventLoop) -> float:
    """Upper bound of the time since the bytes that the loop has just read arrived; ms, 0 if there is no source."""
    by_kernel_ms = since_last_data_ms(sock)
    if by_kernel_ms is not None:
        return by_kernel_ms
    return loop.selector.max_event_age_s() * 1000.0 if isinstance(loop, TimedLoop) else 0.0


class _Chunk(NamedTuple):
    """Consecutive bytes of a stream."""

    end: int  # offset of the byte after them
    arrived_at: float  # of the first of them, at the earliest
    read_at: float  # when the last of them was read


class ArrivalLog:
    """When the bytes of one stream arrived and were read, by stream offset.  Pure; times are in any one unit."""

    MAX_ENTRIES = 64  # when full, new bytes are merged into the last entry, which keeps its arrival time

    def __init__(self) -> None:
        self._chunks: deque[_Chunk] = deque()
        self._end = 0

    def record(self, count: int, arrived_at: float, read_at: float) -> None:
        """Record ``count`` more bytes: when they arrived, as estimated, and when they were read."""
        self._end += count
        if len(self._chunks) >= self.MAX_ENTRIES:
            arrived_at = self._chunks.pop().arrived_at
        self._chunks.append(_Chunk(self._end, arrived_at, read_at))

    def arrival_of(self, offset: int) -> float | None:
        """When the byte at an offset arrived, at the earliest; None if it has not.  Discards entries before it."""
        chunk = self._chunk_at(offset)
        return None if chunk is None else chunk.arrived_at

    def read_time_of(self, offset: int) -> float | None:
        """When the byte at an offset was read, at the latest; None if it was not.  Discards entries before it."""
        chunk = self._chunk_at(offset)
        return None if chunk is None else chunk.read_at

    def discard_before(self, offset: int) -> None:
        """Discard what is known of the bytes before an offset."""
        self._chunk_at(offset)

    def _chunk_at(self, offset: int) -> _Chunk | None:
        while self._chunks and self._chunks[0].end <= offset:
            self._chunks.popleft()
        return self._chunks[0] if self._chunks else None
