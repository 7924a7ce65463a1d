"""Listening sockets: the length of an accept queue, and accepting connections within their owner's capacity.

This module must never read from a connection nor close one by itself: the owner does.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable
from contextlib import suppress
from enum import Enum, auto
from typing import Protocol

from ..metrics import Counters
from .arrival import tcp_info_field

# Size of the accept queue; the kernel may allow fewer (net.core.somaxconn).  A connection that finds the queue
# full is not refused: its SYN is dropped, and the client's kernel retransmits it after 1, 2 and 4 s.
BACKLOG = 4096
SHUTDOWN_BACKLOG = 64  # for a listener about to close: all connections in its queue must be accepted at once
DEFER_ACCEPT_S = 1  # the kernel keeps a connection that has sent nothing for this long; whole seconds only
# After deferring is switched off, all kept connections reach the queue within this time: the kernel's timers are
# coarse.
DEFER_FLUSH_MS = 1_100.0
ACCEPT_BATCH = 64  # connections accepted in one iteration of the event loop
ACCEPT_RETRY_S = 0.01  # pause after ACCEPT_FAILURES_MAX failures
ACCEPT_FAILURES_MAX = 4  # in one batch
ROOM_WANTED_MAX = 1024  # connections that one call of ``make_room`` asks for; the owner has its own limit
ROOM_RETRY_S = 0.005  # from making room to the next attempt to accept
UNACKED_OFFSET = 24  # of ``tcpi_unacked`` in ``struct tcp_info``: for a listener, the length of its accept queue


def pending_connections(listener: socket.socket) -> int:
    """How many connections wait to be accepted; 1 if some do and the kernel does not say how many."""
    return max(tcp_info_field(listener, UNACKED_OFFSET) or 0, int(has_input(listener.fileno())))


def has_input(descriptor: int) -> bool:
    """Whether the kernel has input for a descriptor: unread bytes, an end of stream, or a connection to accept.

    A closed descriptor (-1) counts as being at its end of stream.
    """
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def closed_by_peer(descriptor: int) -> bool:
    """Whether the peer has closed or reset a TCP connection, even if unread bytes precede the close.

    A closed descriptor (-1) counts as closed by the peer.
    """
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))


def set_defer_accept(listener: socket.socket, wanted: bool) -> bool:
    """Switch TCP_DEFER_ACCEPT on or off; whether it is on then.

    While it is on, the kernel keeps connections until their first bytes arrive, at most ``DEFER_ACCEPT_S``.  Kept
    connections use no descriptor and no place in the accept queue.  They are lost when the listener closes.

    Source: tcp(7).  On systems without the option, connections are accepted as soon as they are established.
    """
    try:
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, DEFER_ACCEPT_S if wanted else 0)
        return bool(listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT))
    except OSError:
        return False


def limit_segments(listener: socket.socket, size: int) -> None:
    """Have clients send segments of at most ``size`` bytes.

    On loopback a segment may be larger than what is free in a small receive buffer.  Its sender then waits for its
    persist timer, 200 ms and more, before it sends the rest, and with it the end of the stream.
    """
    with suppress(OSError):
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, size)


def shutdown_if_idle(sock: socket.socket) -> bool:
    """Shut a connection down in both directions unless it has unread input; whether it was shut down.

    A request could otherwise arrive between this check and the close: an aborted transport closes its socket
    one iteration of the event loop later, and closing a socket with unread bytes resets the connection.
    """
    if has_input(sock.fileno()):
        return False
    with suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    return True


class ConnectionOwner(Protocol):
    """The owner of the accepted connections."""

    def free(self) -> int:
        """How many more connections it may hold now."""

    def make_room(self, wanted: int) -> bool:
        """Close some connections, as ``wanted`` new ones wait; whether any is about to be closed."""

    def connection_accepted(self, sock: socket.socket) -> None:
        """Take over an accepted connection."""


class AcceptResult(Enum):
    """Why a batch of accepts ended."""

    QUEUE_EMPTY = auto()
    NO_ROOM = auto()  # connections wait, and the owner may hold no more
    ACCEPT_FAILED = auto()  # too often in this batch
    BATCH_DONE = auto()  # ``ACCEPT_BATCH`` reached


class Acceptor:
    """Accepts connections for an owner, in batches to keep the cost of each small, never past its capacity."""

    def __init__(self, listener: socket.socket, owner: ConnectionOwner, counters: Counters, name: str) -> None:
        """``name``: failures are counted as ``NAME.not_accepted``."""
        self.listener = listener
        self.owner = owner
        self.counters = counters
        self.failure_event = f"{name}.not_accepted"
        self._wanted = 1  # connections that the next call of ``make_room`` asks for

    async def run(self) -> None:
        """Accept for ever."""
        while True:
            await _until_readable(self.listener)
            await self._pause(self._accept_batch())

    async def drain_and_close(self, past_deadline: Callable[[], bool]) -> int:
        """Accept all waiting connections, as capacity allows, then close the listener.

        Returns how many connections were left in the queue, if ``past_deadline`` came true before it was empty.

        Closing a listener resets the connections in its queue, even if another process listens at the same
        address; so the last check of the queue and the close stand next to each other.
        """
        while (result := self._accept_batch()) is not AcceptResult.QUEUE_EMPTY and not past_deadline():
            await self._pause(result)
        left = 0 if result is AcceptResult.QUEUE_EMPTY else pending_connections(self.listener)
        self.listener.close()
        return left

    def _accept_batch(self) -> AcceptResult:
        """Accept waiting connections, up to ``ACCEPT_BATCH``.

        An error does not end the batch at once: it may concern one connection or one moment while others wait.
        """
        failures = 0
        for _ in range(ACCEPT_BATCH):
            if self.owner.free() <= 0:
                return AcceptResult.NO_ROOM if has_input(self.listener.fileno()) else AcceptResult.QUEUE_EMPTY
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return AcceptResult.QUEUE_EMPTY
            except OSError as error:
                self.counters.log(self.failure_event, repr(error))
                failures += 1
                if failures >= ACCEPT_FAILURES_MAX:
                    return AcceptResult.ACCEPT_FAILED
            else:
                self.owner.connection_accepted(sock)
        return AcceptResult.BATCH_DONE

    async def _pause(self, result: AcceptResult) -> None:
        """Yield to the event loop before the next batch; make room if capacity or descriptors may be lacking."""
        if result is AcceptResult.NO_ROOM:
            await self._make_room()
        elif result is AcceptResult.ACCEPT_FAILED:
            self.owner.make_room(1)
            await asyncio.sleep(ACCEPT_RETRY_S)
        else:
            self._wanted = 1 if result is AcceptResult.QUEUE_EMPTY else self._wanted
            await asyncio.sleep(0.0)

    async def _make_room(self) -> None:
        """Make room, for twice as many connections each time until the queue is empty.

        The length of the queue is not used, as not every kernel provides it.
        """
        self.owner.make_room(self._wanted)
        self._wanted = min(2 * self._wanted, ROOM_WANTED_MAX)
        await asyncio.sleep(ROOM_RETRY_S)


def _set_ready(ready: asyncio.Future[None]) -> None:
    if not ready.done():
        ready.set_result(None)


async def _until_readable(listener: socket.socket) -> None:
    """Wait until there is a connection to accept.

    Used instead of ``loop.sock_accept``, which can lose a connection if it is cancelled just after accepting it:
    the socket would be the result of a call that nothing awaits any more.
    """
    loop = asyncio.get_running_loop()
    ready: asyncio.Future[None] = loop.create_future()
    loop.add_reader(listener.fileno(), _set_ready, ready)
    try:
        await ready
    finally:
        loop.remove_reader(listener.fileno())
