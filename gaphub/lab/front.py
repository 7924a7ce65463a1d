"""Front layer: a router stand-in that speaks BGP and BFD, and forwards connections to the route's next hop.

It uses the codecs and state machines of ``gaphub.announce`` in the opposite role; ``tests/test_announce.py``
checks those codecs against other implementations.  With ``round_robin`` there are no routes: connections go to all
daemons in turn, and a dead daemon is detected only after a delay, as in the platform's present front layer.
"""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress

from ..announce.bgp import Update
from ..announce.session import Session, SessionConfig, State
from ..announce.speaker import BfdSpeaker
from ..cluster.node import steady_ms
from ..config import Address
from ..metrics import Counters
from ..tasks import Tasks

ROUTER_AS, SITE_AS = 65000, 65010
DETECTION_S = (0.92, 2.5)  # time in which the round-robin front detects a dead daemon: from, to
READ_CHUNK_BYTES = 64 * 1024


class Neighbour:
    """The router's side of one daemon's BGP session."""

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.session = Session(SessionConfig(ROUTER_AS, "10.255.0.1", SITE_AS, hold_s=9, retry_s=0.1,
                                             passive=True))
        self.session.start(steady_ms())
        self.routes: dict[str, Update] = {}
        self.announcements = 0  # BGP announcements received from it
        self.writer: asyncio.StreamWriter | None = None

    def drop_routes(self) -> None:
        """Remove all routes of this neighbour."""
        self.routes.clear()


class Front:
    """The router, and the TCP proxy that forwards client connections."""

    def __init__(self, ip: str, service: str, daemons: dict[str, Address], round_robin: bool,
                 seed: int = 1) -> None:
        self.ip = ip
        self.prefix = f"{service}/32"
        self.daemons = daemons  # address for requests of each daemon, by its IP address
        self.round_robin = round_robin
        self.neighbours = {d: Neighbour(d) for d in daemons}
        self.watchers: dict[str, BfdSpeaker] = {}
        self.detection_due: dict[str, float] = {}  # when the round-robin front will detect its death, by daemon
        self.detected_dead: set[str] = set()
        self.ok_answers: list[tuple[float, str]] = []  # time and daemon of each answer with status 200
        self.route_changes: list[tuple[float, str]] = []
        self.address: Address = ("", 0)
        self.counters = Counters()
        self.counters.line = lambda kind, text: None
        self._random = random.Random(seed)
        self._connection_count = 0
        self._tasks = Tasks(self.counters)
        self._servers: list[asyncio.Server] = []
        self._last_hop = ""

    async def open(self, bgp_port: int, bfd_ports: dict[str, tuple[Address, Address]]) -> None:
        """Listen for BGP sessions and for clients, and start the BFD sessions."""
        server = await asyncio.start_server(self._serve_client, self.ip, 0, backlog=1024)
        self.address = server.sockets[0].getsockname()[:2]
        self._servers.append(server)
        if self.round_robin:
            return
        self._servers.append(await asyncio.start_server(self._serve_bgp, self.ip, bgp_port, reuse_address=True))
        for ip, (own_address, peer_address) in bfd_ports.items():
            watcher = BfdSpeaker(own_address, peer_address, 50.0, 3, self.counters, steady_ms,
                                 lambda up, i=ip: self._bfd_changed(i, up), self._random)  # type: ignore[misc]
            self.watchers[ip] = watcher
            self._tasks.start(watcher.run())

    async def close(self) -> None:
        """Close all sockets and sessions."""
        for server in self._servers:
            server.close()
        await self._tasks.close()

    # -- routing --

    @property
    def next_hop(self) -> str:
        """The daemon that the route points to, empty if none.

        The lowest MED wins, as all routes come from one AS.
        """
        found = [(update.med if update.med is not None else 0, neighbour.ip)
                 for neighbour in self.neighbours.values()
                 if (update := neighbour.routes.get(self.prefix)) is not None]
        return min(found)[1] if found else ""

    def _note_route_change(self) -> None:
        hop = self.next_hop
        if hop != self._last_hop:
            self._last_hop = hop
            self.route_changes.append((time.monotonic(), hop))

    def _bfd_changed(self, ip: str, up: bool) -> None:
        if not up:
            neighbour = self.neighbours[ip]
            neighbour.drop_routes()
            neighbour.session.stop(steady_ms(), 10)  # RFC 9384: session closed because BFD is down
            if neighbour.writer is not None:
                neighbour.writer.transport.abort()
            self._note_route_change()

    async def _serve_bgp(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        neighbour = self.neighbours.get(writer.get_extra_info("peername")[0])
        if neighbour is None or neighbour.writer is not None:
            writer.transport.abort()
            return
        neighbour.writer = writer
        session = neighbour.session
        session.connected(steady_ms())
        try:
            while not session.drop:
                if session.out:
                    writer.write(bytes(session.out))
                    session.out.clear()
                left = max(0.001, min(0.25, (session.next_due() - steady_ms()) / 1000.0))
                try:
                    async with asyncio.timeout(left):
                        data = await reader.read(READ_CHUNK_BYTES)
                except TimeoutError:
                    session.tick(steady_ms())
                    continue
                if not data:
                    break
                session.received(steady_ms(), data)
                for update in session.received_updates:
                    for prefix in update.withdrawn:
                        neighbour.routes.pop(prefix, None)
                    for prefix in update.announced:
                        neighbour.announcements += 1
                        neighbour.routes[prefix] = update
                session.received_updates.clear()
                self._note_route_change()
            if session.out:
                writer.write(bytes(session.out))
                session.out.clear()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            neighbour.writer = None
            neighbour.drop_routes()
            if session.state not in (State.CONNECT, State.ACTIVE):
                session.failed(steady_ms())
            self._note_route_change()

    # -- forwarding --

    def note_killed(self, ip: str) -> None:
        """Start the detection delay of the round-robin front for a killed daemon."""
        self.detection_due[ip] = time.monotonic() + self._random.uniform(*DETECTION_S)

    def note_ready(self, ip: str) -> None:
        """Forward to the daemon again."""
        self.detection_due.pop(ip, None)
        self.detected_dead.discard(ip)

    def _pick(self) -> str:
        if not self.round_robin:
            return self.next_hop
        now = time.monotonic()
        self.detected_dead |= {ip for ip, at in self.detection_due.items() if now >= at}
        alive = [ip for ip in self.daemons if ip not in self.detected_dead]
        self._connection_count += 1
        return alive[self._connection_count % len(alive)] if alive else ""

    async def _serve_client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        hop = self._pick()
        daemon_writer: asyncio.StreamWriter | None = None
        try:
            if hop:
                daemon_reader, daemon_writer = await asyncio.open_connection(*self.daemons[hop])
                await self._copy_both_ways(reader, writer, daemon_reader, daemon_writer, hop)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            if daemon_writer is not None:
                daemon_writer.transport.abort()

    async def _copy_both_ways(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter,
                              daemon_reader: asyncio.StreamReader, daemon_writer: asyncio.StreamWriter,
                              hop: str) -> None:
        async def copy_requests() -> None:
            while data := await reader.read(READ_CHUNK_BYTES):
                if not self.round_robin and self.next_hop not in (hop, ""):
                    return  # packets now reach the new holder, which has no such connection and resets it
                daemon_writer.write(data)
                await daemon_writer.drain()

        async def copy_answers() -> None:
            while data := await daemon_reader.read(READ_CHUNK_BYTES):
                if data.startswith(b"HTTP/1.1 200"):
                    self.ok_answers.append((time.monotonic(), hop))
                writer.write(data)
                await writer.drain()

        tasks = [asyncio.ensure_future(copy_requests()), asyncio.ensure_future(copy_answers())]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            with suppress(OSError):
                await asyncio.gather(*tasks, return_exceptions=True)


