"""A listening socket and its client connections: accepting, evicting for new ones, and shutdown after SIGTERM.

Requests are read and answered by the handler. While it works on a connection, the connection is closed only when
nothing is in transit on it.
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
from ...ops.request_claims import RequestClaims
from ...tasks import Tasks
from ..arrival import connection_age_ms
from ..listener import (
    BACKLOG,
    DEFER_FLUSH_MS,
    SHUTDOWN_BACKLOG,
    Acceptor,
    limit_segments,
    set_defer_accept,
    shutdown_if_idle,
)
from ..memory import CONNECTION_BYTES, MemoryBudget
from . import reuseport, tunables
from .drain import Drain
from .eviction import eviction_order
from .handler import RequestHandler
from .session import ClientSession, SessionProtocol


class Inbound:
    """A listening socket, and a task for each connection accepted on it."""

    def __init__(self, config: Config, core: Core, counters: Counters, memory: MemoryBudget, claims: RequestClaims,
                 listen: Address | None = None, fence: Fence | None = None, socket_share: float = 1.0) -> None:
        """``memory``: for all that its clients send; ``claims``: request ids that must not run again.

        ``listen``, ``fence``: of a listener besides the platform's; ``socket_share``: its share of the
        descriptors for clients.
        """
        self.core = core
        self.counters = counters
        self.listen = listen or config.listen
        self.reuse_port = config.admin is not None  # during upgrades two processes listen at once
        self.memory = memory
        self.max_connections = max(1, min(
            int(config.limits.sockets * tunables.INBOUND_SOCKET_SHARE * socket_share),
            int(memory.capacity * tunables.CONNECTION_MEMORY_SHARE) // CONNECTION_BYTES))
        self.sessions: dict[int, ClientSession] = {}
        self.drain = Drain()
        self.handler = RequestHandler(core, counters, self.drain, fence, memory, claims)
        self._last_session_id = 0
        self._listener: socket.socket | None = None
        self._acceptor: Acceptor | None = None  # None once it has stopped listening
        self._accept_task: asyncio.Task[None] | None = None
        self._defers_accept = False  # the kernel holds back connections that have sent nothing
        self._deferred_until = 0.0  # until when it may still hold some back; ms
        self._last_eviction_at = 0.0  # when connections were last considered for eviction
        self._starting_sessions = 0  # accepted connections that are not in ``sessions`` yet
        self._tasks = Tasks(counters)

    async def open(self) -> None:
        """Start to listen and accept."""
        loop = asyncio.get_running_loop()
        addresses = await loop.getaddrinfo(*self.listen, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)
        self._listener = listener = socket.socket(*addresses[0][:3])
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.reuse_port:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        # Inherited by accepted connections: they bound the kernel's memory for clients that send without end, and
        # for those that do not read their answers.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, tunables.RECEIVE_BUFFER_BYTES)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, tunables.ANSWER_BUFFER_BYTES)
        limit_segments(listener, tunables.MAX_SEGMENT_BYTES)
        listener.bind(addresses[0][4])
        listener.listen(BACKLOG)
        # Without deferring, many clients that connect and send nothing would take up the connections, and a client
        # whose own machine is late to write would be evicted with its request unread. Not used if this process,
        # when it shuts down, would have no time to accept those that the kernel holds back.
        if self.drain.duration_ms(self._longest_deadline_ms()) >= DEFER_FLUSH_MS:
            self._defers_accept = set_defer_accept(listener, True)
        if self.reuse_port:
            reuseport.restore_default(listener)  # an earlier process may have directed all to its successor
        self._acceptor = Acceptor(listener, self, self.counters, "connections")
        self._accept_task = self._tasks.start(self._acceptor.run())

    async def _stop_accepting(self) -> None:
        """Accept all connections that the kernel has queued for this process, as room permits, and close."""
        if self._acceptor is None or self._accept_task is None:
            return
        while self.core.clock.now() < min(self._deferred_until, self.drain.deadline):
            await asyncio.sleep(0.02)
            await self._follow_deadlines()
        self._accept_task.cancel()
        await asyncio.wait([self._accept_task])
        deadline = self.drain.deadline + tunables.DRAIN_LAST_ACCEPT_MS
        if not_accepted := await self._acceptor.drain_and_close(lambda: self.core.clock.now() > deadline):
            self.counters.log("connections.left_waiting", f"{not_accepted} connections not accepted at shutdown")
        self._acceptor = self._listener = None

    def _stop_deferring(self) -> None:
        """Have the kernel hand over held-back connections, which closing the listener would reset."""
        if self._defers_accept and self._listener is not None:
            self._defers_accept = set_defer_accept(self._listener, False)
            self._deferred_until = self.core.clock.now() + DEFER_FLUSH_MS

    async def shut_down(self, others_serve: Callable[[], bool], successor: bool = False,
                        listener_index: int = reuseport.SECOND) -> None:
        """After SIGTERM: keep serving while new connections come, then close each connection after its answer.

        Clients go on using their open connections. If ``others_serve`` says that no other scheduler takes
        requests, those connections are all that the clients have, and are kept open as long as a request on them
        can still be answered.

        ``successor``: another process listens at the same address. New connections are directed to it at once.
        Connections to this process are closed with an answer; idle ones are kept for one as long as there is time.
        ``listener_index``: whether the successor began to listen after this process (``SECOND``) or before it
        (``FIRST``).
        """
        now = self.core.clock.now
        self.drain.begin(now(), self._longest_deadline_ms())
        self._stop_deferring()
        if successor:
            self.drain.closing_connections = True
            if self._listener is not None:
                reuseport.direct_all_to(self._listener, listener_index)
                # On a busy machine the kernel completes handshakes with this listener a little later. Closing the
                # listener before that would reset those connections.
                await asyncio.sleep(tunables.HANDOVER_DELAY_S)
            await self._stop_accepting()
        else:
            await asyncio.sleep(tunables.DRAIN_ACCEPT_S)
        while (successor and self.sessions or not (successor or others_serve())) \
                and now() < self.drain.deadline - tunables.DRAIN_MIN_LEFT_MS:
            await asyncio.sleep(0.02)
            await self._follow_deadlines()
        self.drain.closing_connections = True
        if self._listener is not None:
            # Connections that are queued when the listener closes must all be accepted. A short queue keeps many
            # clients from filling it up to the end.
            self._listener.listen(SHUTDOWN_BACKLOG)
        while True:
            while self.sessions or self._starting_sessions or self.core.open_jobs:
                await self._follow_deadlines()
                if now() < self.drain.deadline:
                    self._close_idle(now() - tunables.DRAIN_IDLE_S * 1000.0)
                else:
                    await self._stop_accepting()
                    self._close_unfinished()
                await asyncio.sleep(0.02)
            if self._listener is None:
                return
            # A client may connect just as the last connection ends. The kernel has accepted it, and the end of
            # this process would reset it with its request unread.
            await self._stop_accepting()

    async def _follow_deadlines(self) -> None:
        """Follow a reload that shortens the deadlines: SIGKILL comes sooner, also for jobs that are open."""
        if self.drain.shorten(self._longest_deadline_ms()):
            await self.handler.shorten_open_jobs()

    def _longest_deadline_ms(self) -> float:
        """Longest deadline of the classes in force; open jobs may belong to others, but SIGKILL ignores those."""
        return max(self.core.settings.classes[row].deadline_ms
                   for row in self.core.class_table.active_rows.values())

    def _close_unfinished(self) -> None:
        """Close idle connections and end partly received requests with an error, as SIGKILL may be imminent.

        Otherwise a steady stream of clients would keep the listener open, and requests that come just before
        SIGKILL would be accepted and not answered.
        """
        self._close_idle(self.core.clock.now() - tunables.DRAIN_LAST_IDLE_S * 1000.0)
        for session in self.sessions.values():
            if session.mid_request and session.waiting_since is not None:
                session.reader.set_exception(TimeoutError("scheduler is shutting down"))

    def _close_idle(self, before: float) -> None:
        """Close connections that have been idle since before a time.

        A connection counts as idle from when it was made. It may have waited to be accepted with its request
        already in the kernel, so the kernel is checked for unread bytes.
        """
        for session in list(self.sessions.values()):
            if session.may_close(before) and shutdown_if_idle(session.sock):
                session.writer.transport.abort()

    async def close(self) -> None:
        """Close the listening socket and all connections."""
        await self._tasks.close()
        if self._listener is not None:
            self._listener.close()

    # -- the acceptor's ConnectionOwner protocol --

    def free(self) -> int:
        """How many more connections may be accepted."""
        return self.max_connections - len(self.sessions) - self._starting_sessions

    def make_room(self, wanted: int) -> bool:
        """Evict connections for so many waiting clients; whether any connection is about to end."""
        if self.core.clock.now() > self.drain.deadline:
            self._close_unfinished()
        return self._evict(wanted)

    def connection_accepted(self, sock: socket.socket) -> None:
        """Serve an accepted connection."""
        sock.setblocking(False)
        self._starting_sessions += 1
        self._tasks.start(self._start_session(sock))

    async def _start_session(self, sock: socket.socket) -> None:
        try:
            await self._open_session(sock)
        finally:
            self._starting_sessions -= 1

    async def _open_session(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        connected_at = self.core.clock.now() - connection_age_ms(sock)
        try:
            reader = asyncio.StreamReader(limit=tunables.READER_LIMIT_BYTES)
            protocol = SessionProtocol(reader, self.core.clock.now, self.memory)
            transport, _ = await loop.connect_accepted_socket(lambda: protocol, sock)
        except OSError:
            sock.close()
            return
        self.counters.add("connections.inbound")
        transport.set_write_buffer_limits(high=tunables.OUTPUT_LIMIT_BYTES)
        self._last_session_id += 1
        session = ClientSession(reader, asyncio.StreamWriter(transport, protocol, reader, loop), protocol,
                                connected_at, self.memory, self._last_session_id)
        self.sessions[self._last_session_id] = session
        self._tasks.start(self._serve(self._last_session_id, session))

    def _evict(self, wanted: int = 1) -> bool:
        """Evict up to ``wanted`` connections, less those that are being evicted; whether any is about to end.

        What a client sent while this process was stalled lies in the kernel, so the kernel is checked before a
        connection counts as idle.
        """
        now = self.core.clock.now()
        evicting = sum(session.evicted for session in self.sessions.values())
        wanted = min(wanted, self._eviction_budget(now)) - evicting
        for session in eviction_order(self.sessions.values(), now):
            if wanted <= 0:
                break
            if not shutdown_if_idle(session.sock):
                self.counters.add("connections.not_yielded")
                continue
            self._evict_session(session, now)
            wanted -= 1
            evicting += 1
        return evicting > 0

    def _eviction_budget(self, now: float) -> int:
        """How many connections may be evicted in this pass.

        Proportional to the time since the last pass, so that fewer passes per second do not mean fewer evictions.
        """
        max_evictions = max(1, int(self.max_connections * tunables.MAX_EVICTION_SHARE))
        elapsed_s, self._last_eviction_at = (now - self._last_eviction_at) / 1000.0, now
        return max(1, min(max_evictions, int(elapsed_s * tunables.MAX_EVICTIONS_PER_S)))

    def _evict_session(self, session: ClientSession, now: float) -> None:
        self.counters.add("connections.yielded")
        self.counters.add("connections.yielded_" + session.eviction_class.name.lower())
        if session.is_writing_first_request:
            self.counters.log("connections.yielded_writing", session.describe(now))
        session.evicted = True
        session.writer.transport.abort()

    async def _serve(self, session_id: int, session: ClientSession) -> None:
        writer = session.writer
        try:
            await self.handler.serve(session)
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            session.waiting_since, session.had_request, session.had_job = self.core.clock.now(), False, False
            writer.close()
            with suppress(OSError, TimeoutError, asyncio.CancelledError):
                async with asyncio.timeout(tunables.ANSWER_WRITE_TIMEOUT_S):
                    await writer.wait_closed()
            writer.transport.abort()
            del self.sessions[session_id]
