"""Owns a listening socket and the clients' connections: accepting, making room, and leaving after SIGTERM.

It must never read a request or write an answer: the handler does, and until it is done with a connection, that
is closed only when nothing is on its way on it.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

from ...config import Address, Config
from ...core import Core
from ...messages import Fence
from ...metrics import Counters
from ...tasks import Tasks
from ..arrival import since_connected_ms
from ..listener import BACKLOG, BACKLOG_ENDING, DEFERRED_MS, Acceptor, defer_silent, shut_if_silent
from . import reuseport, tunables
from .drain import Drain
from .handler import RequestHandler
from .room import who_may_yield
from .session import ClientSession, SessionProtocol


class Inbound:
    """The clients' side: a listening socket, and a task for each connection that was accepted there."""

    def __init__(self, config: Config, core: Core, counters: Counters, listen: Address | None = None,
                 fence: Fence | None = None, socket_share: float = 1.0) -> None:
        """``listen``, ``fence``: of a listener beside the platform's; ``socket_share``: of clients' sockets."""
        self.core = core
        self.counters = counters
        self.listen = listen or config.listen
        self.shared = config.admin is not None  # upgrades: two processes listen at once
        self.max_connections = max(1, int(config.limits.sockets * tunables.INBOUND_SOCKET_SHARE * socket_share))
        self.sessions: dict[int, ClientSession] = {}
        self.drain = Drain()
        self.handler = RequestHandler(core, counters, self.drain, fence,
                                      int(config.limits.memory_mb * 1e6
                                          * tunables.BODY_MEMORY_SHARE * socket_share))
        self._serial = 0
        self._listener: socket.socket | None = None
        self._acceptor: Acceptor | None = None  # None: it listens no longer
        self._accepting: asyncio.Task[None] | None = None
        self._defers = False  # the kernel keeps connections that have sent nothing
        self._deferred_until = 0.0  # it may keep some yet; ms
        self._made_room_at = 0.0  # when connections were last looked at for that
        self._arriving = 0  # connections that are accepted and not in ``sessions`` yet
        self._tasks = Tasks(counters)

    async def open(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        found = await loop.getaddrinfo(*self.listen, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)
        self._listener = listener = socket.socket(*found[0][:3])
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.shared:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        # Inherited by connections: bounds what one that sends without end may have in our memory.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, tunables.RECEIVE_BUFFER_BYTES)
        listener.bind(found[0][4])
        listener.listen(BACKLOG)
        # Guards against a crowd that connects and says nothing: it held the places of others, and a client whose
        # own machine came to write late was closed unread to make room.
        # Not where a process that ends has no time to take those in that the kernel keeps.
        if self.drain.lasts_ms(self._longest_deadline_ms()) >= DEFERRED_MS:
            self._defers = defer_silent(listener, True)
        if self.shared:
            reuseport.share_out(listener)  # a process that left may have had all given to its successor
        self._acceptor = Acceptor(listener, self, self.counters, "connections")
        self._accepting = self._tasks.start(self._acceptor.run())

    async def _stop_accepting(self) -> None:
        """Take in whoever the kernel has given to this process, as room comes, and listen no longer."""
        if self._acceptor is None or self._accepting is None:
            return
        while self.core.clock.now() < min(self._deferred_until, self.drain.ends_at):
            await asyncio.sleep(0.02)
            self.drain.hasten(self._longest_deadline_ms())
        self._accepting.cancel()
        await asyncio.wait([self._accepting])
        ends_at = self.drain.ends_at + tunables.DRAIN_LAST_ACCEPT_MS
        if left := await self._acceptor.finish(lambda: self.core.clock.now() > ends_at):
            self.counters.log("connections.left_waiting", f"{left} at the end")
        self._acceptor = self._listener = None

    def _stop_deferring(self) -> None:
        """Have the kernel hand over connections that have sent nothing, as a close would reset them."""
        if self._defers and self._listener is not None:
            self._defers = defer_silent(self._listener, False)
            self._deferred_until = self.core.clock.now() + DEFERRED_MS

    async def shut_down(self, others_serve: Callable[[], bool], successor: bool = False,
                    place: int = reuseport.SECOND) -> None:
        """After SIGTERM: serve on while connections come, then end each after its answer.

        Clients go on using the connections that they have.  Where no other scheduler takes requests, those
        are all that the clients have: they are kept while a request may still be answered on them.
        ``successor``: another process listens at the same address.  Then new connections are its, at once, and
        those that are here end with an answer; idle ones wait for one as long as there is time.
        ``place``: whether it began to listen after this one (``SECOND``) or before (``FIRST``).
        """
        now = self.core.clock.now
        self.drain.begin(now(), self._longest_deadline_ms())
        self._stop_deferring()
        if successor:
            self.drain.leaving = True
            if self._listener is not None:
                reuseport.give_all_to(self._listener, place)
                # Guards against handshakes that have begun with this listener and end a moment later: on a busy
                # machine the kernel finishes them aside, and a close before that resets the connection.
                await asyncio.sleep(tunables.HANDOVER_DELAY_S)
            await self._stop_accepting()
        else:
            await asyncio.sleep(tunables.DRAIN_ACCEPT_S)
        while (successor and self.sessions or not (successor or others_serve())) \
                and now() < self.drain.ends_at - tunables.DRAIN_MIN_LEFT_MS:
            await asyncio.sleep(0.02)
            self.drain.hasten(self._longest_deadline_ms())
        self.drain.leaving = True
        if self._listener is not None:
            # Guards against a crowd that fills the queue up to the end: what waits at the close is to be taken in.
            self._listener.listen(BACKLOG_ENDING)
        while True:
            while self.sessions or self._arriving or self.core.open_jobs:
                self.drain.hasten(self._longest_deadline_ms())
                if now() < self.drain.ends_at:
                    self._close_resting(now() - tunables.DRAIN_IDLE_S * 1000.0)
                else:
                    await self._stop_accepting()
                    self._hurry()
                await asyncio.sleep(0.02)
            if self._listener is None:
                return
            # Guards against a client that connects just as the last one has gone: the kernel has taken it, and
            # a process that ends would reset it with its request unread.
            await self._stop_accepting()

    def _longest_deadline_ms(self) -> float:
        """Of the classes in force: rows of others are kept for open jobs, and SIGKILL does not wait for those."""
        return max(self.core.settings.classes[row].deadline_ms for row in self.core.table.live.values())

    def _hurry(self) -> None:
        """Close what rests and end what is half read, with an error: SIGKILL may come in a moment.

        Guards against clients that come without end, as a crowd does: while there is one, the listener stayed
        open, and what came just before SIGKILL was taken and not answered.
        """
        self._close_resting(self.core.clock.now() - tunables.DRAIN_LAST_IDLE_S * 1000.0)
        for session in self.sessions.values():
            if session.halfway and session.waits is not None:
                session.reader.set_exception(TimeoutError("the scheduler ends"))

    def _close_resting(self, before: float) -> None:
        """Close what has rested since before a time.

        Guards against a request that came with its connection and waited to be accepted, as that connection counts
        as idle since it was made: what lies in the kernel is looked at.
        """
        for session in list(self.sessions.values()):
            if session.may_close(before) and shut_if_silent(session.sock):
                session.writer.transport.abort()

    async def close(self) -> None:
        """Give back the listening socket and every connection."""
        await self._tasks.close()
        if self._listener is not None:
            self._listener.close()

    # -- what the acceptor asks of its owner --

    def free(self) -> int:
        """How many more connections clients may have."""
        return self.max_connections - len(self.sessions) - self._arriving

    def make_room(self, wanted: int) -> bool:
        """Have some connections end, as so many newcomers wait; whether any is about to."""
        if self.core.clock.now() > self.drain.ends_at:
            self._hurry()
        return self._make_room(wanted)

    def take_in(self, sock: socket.socket) -> None:
        """Serve a connection that was accepted."""
        sock.setblocking(False)
        self._arriving += 1
        self._tasks.start(self._arrive(sock))

    async def _arrive(self, sock: socket.socket) -> None:
        try:
            await self._take_in(sock)
        finally:
            self._arriving -= 1

    async def _take_in(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        since = self.core.clock.now() - since_connected_ms(sock)
        try:
            reader = asyncio.StreamReader(limit=tunables.RECEIVE_BUFFER_BYTES)
            protocol = SessionProtocol(reader, self.core.clock.now)
            transport, _ = await loop.connect_accepted_socket(lambda: protocol, sock)
        except OSError:
            sock.close()
            return
        self.counters.add("connections.inbound")
        self._serial += 1
        session = ClientSession(reader, asyncio.StreamWriter(transport, protocol, reader, loop), protocol, since)
        self.sessions[self._serial] = session
        self._tasks.start(self._serve(self._serial, session))

    def _make_room(self, wanted: int = 1) -> bool:
        """Whether a connection is on its way out, if need be some that are made to go.

        Guards against judging a client by a time in which this process was held up: what it sent meanwhile lies in
        the kernel, so that is looked at before its connection is taken for an idle one.
        """
        now = self.core.clock.now()
        going = sum(session.yielded for session in self.sessions.values())
        wanted = min(wanted, self._may_yield_now(now)) - going
        for session in who_may_yield(self.sessions.values(), now):
            if wanted <= 0:
                break
            if not shut_if_silent(session.sock):
                self.counters.add("connections.not_yielded")
                continue
            self._yield(session, now)
            wanted -= 1
            going += 1
        return going > 0

    def _may_yield_now(self, now: float) -> int:
        """How many connections may make room at this look.

        It counts the time since the last look, so that a slow pace of looks makes room for no fewer in a second.
        """
        most = max(1, int(self.max_connections * tunables.MAX_EVICTION_SHARE))
        passed_s, self._made_room_at = (now - self._made_room_at) / 1000.0, now
        return max(1, min(most, int(passed_s * tunables.MAX_EVICTIONS_PER_S)))

    def _yield(self, session: ClientSession, now: float) -> None:
        """Have a connection end to make room."""
        self.counters.add("connections.yielded")
        self.counters.add("connections.yielded_" + session.place.name.lower())
        if session.writes:
            self.counters.log("connections.yielded_writing", session.describe(now))
        session.yielded = True
        session.writer.transport.abort()

    async def _serve(self, number: int, session: ClientSession) -> None:
        writer = session.writer
        try:
            await self.handler.serve(session)
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            session.waits, session.asked, session.served = self.core.clock.now(), False, False
            writer.close()
            with suppress(OSError, TimeoutError, asyncio.CancelledError):
                async with asyncio.timeout(tunables.ANSWER_WRITE_TIMEOUT_S):
                    await writer.wait_closed()
            writer.transport.abort()
            del self.sessions[number]
