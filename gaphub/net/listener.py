"""Listening sockets: how many connections wait at one, and accepting them within the room that their owner has.

It must never read from a connection, nor close one by itself: the owner does.
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

# Connections that may wait to be accepted; the kernel may allow fewer (net.core.somaxconn).  One that finds the
# queue full is not refused: its SYN is dropped, and its client tries again after 1, 2 and 4 s.
BACKLOG = 4096
SHUTDOWN_BACKLOG = 64  # for a listener that is about to close: what waits then has to be accepted at once
DEFER_S = 1  # for which the kernel keeps a connection that has sent nothing; it counts in whole seconds
DEFER_FLUSH_MS = 1_100.0  # after deferring was ended all that were kept have come: the kernel's timers are coarse
ACCEPT_MOST = 64  # connections accepted in one turn of the event loop
ACCEPT_AGAIN_S = 0.01  # after accepting has failed
ACCEPT_FAILURES = 4  # in a row, before that pause
WANTED_MOST = 1024  # connections that are to make room at one look; their owner has a bound of its own
ROOM_AGAIN_S = 0.005  # from making room to the next look
QUEUE_LENGTH = 24  # where ``tcpi_unacked`` stands in ``struct tcp_info``: of a listener, connections that wait


def waiting(listener: socket.socket) -> int:
    """How many connections wait to be accepted; 1 where some do and the kernel does not tell how many."""
    return max(tcp_info_field(listener, QUEUE_LENGTH) or 0, int(readable(listener.fileno())))


def readable(descriptor: int) -> bool:
    """Whether something lies ready in the kernel: bytes, an end, or a connection to accept.

    A descriptor that is closed (-1) has come to its end.
    """
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def set_defer_accept(listener: socket.socket, wanted: bool) -> bool:
    """Have the kernel keep connections until their first bytes come, ``DEFER_S`` at the most; whether it does.

    Kept connections take no descriptor and no place in the queue.  They are lost when the listener closes.

    Source: tcp(7), TCP_DEFER_ACCEPT; where it is not to be had, connections are accepted as soon as they are made.
    """
    try:
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, DEFER_S if wanted else 0)
        return bool(listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT))
    except OSError:
        return False


def shutdown_if_idle(sock: socket.socket) -> bool:
    """End a connection in both directions unless bytes of it lie unread in the kernel; whether it was ended.

    Guards against a request that comes after the look and before the close: a transport that is aborted closes its
    socket a turn of the event loop later, and a close over unread bytes resets the connection.
    """
    if readable(sock.fileno()):
        return False
    with suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    return True


class Owner(Protocol):
    """Who has the connections that are accepted."""

    def free(self) -> int:
        """How many more it may have now."""

    def make_room(self, wanted: int) -> bool:
        """Have some end, as so many wait; whether any is about to."""

    def connection_accepted(self, sock: socket.socket) -> None:
        """Have this one."""


class Found(Enum):
    """What a look at the queue ended with."""

    NOBODY = auto()  # nobody waits any more
    NO_ROOM = auto()
    FAILURES = auto()
    ENOUGH = auto()  # for this turn of the event loop


class Acceptor:
    """Accepts for an owner, in bursts, so that what a connection costs stays small, and never past its room."""

    def __init__(self, listener: socket.socket, owner: Owner, counters: Counters, name: str) -> None:
        """``name``: what failures are counted under, ``NAME.not_accepted``."""
        self.listener = listener
        self.owner = owner
        self.counters = counters
        self.failed = f"{name}.not_accepted"
        self._wanted = 1  # connections that are to make room at the next look that finds none

    async def run(self) -> None:
        """Accept for ever."""
        while True:
            await _until_readable(self.listener)
            await self._pause(self._accept_some())

    async def drain_and_close(self, late: Callable[[], bool]) -> int:
        """Accept all who wait, as room comes, and close; how many were left, as it was ``late`` before the end.

        What waits at a listener that is closed is reset, though another process listens at the same address; so
        the last look and the close stand next to each other.
        """
        while (found := self._accept_some()) is not Found.NOBODY and not late():
            await self._pause(found)
        left = 0 if found is Found.NOBODY else waiting(self.listener)
        self.listener.close()
        return left

    def _accept_some(self) -> Found:
        """Accept who waits, up to a number.

        Guards against errors of one connection or one moment, after which others wait still.
        """
        failures = 0
        for _ in range(ACCEPT_MOST):
            if self.owner.free() <= 0:
                return Found.NO_ROOM if readable(self.listener.fileno()) else Found.NOBODY
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return Found.NOBODY
            except OSError as error:
                self.counters.log(self.failed, repr(error))
                failures += 1
                if failures >= ACCEPT_FAILURES:
                    return Found.FAILURES
            else:
                self.owner.connection_accepted(sock)
        return Found.ENOUGH

    async def _pause(self, found: Found) -> None:
        """Let others work before the next look; make room where that may be what is wanting."""
        if found is Found.NO_ROOM:
            await self._make_room()
        elif found is Found.FAILURES:
            self.owner.make_room(1)
            await asyncio.sleep(ACCEPT_AGAIN_S)
        else:
            self._wanted = 1 if found is Found.NOBODY else self._wanted
            await asyncio.sleep(0.0)

    async def _make_room(self) -> None:
        """Have twice as many make room as at the last look, where somebody waits still.

        The length of the queue is not asked: not every kernel tells it.
        """
        self.owner.make_room(self._wanted)
        self._wanted = min(2 * self._wanted, WANTED_MOST)
        await asyncio.sleep(ROOM_AGAIN_S)


def _be_told(there: asyncio.Future[None]) -> None:
    if not there.done():
        there.set_result(None)


async def _until_readable(listener: socket.socket) -> None:
    """Wait until there is somebody to accept.

    Guards against a connection that is lost because accepting is called off just as it was accepted: with
    ``loop.sock_accept`` its socket would be the result of a call that nobody reads any more.
    """
    loop = asyncio.get_running_loop()
    there: asyncio.Future[None] = loop.create_future()
    loop.add_reader(listener.fileno(), _be_told, there)
    try:
        await there
    finally:
        loop.remove_reader(listener.fileno())
