"""Owns the front layer: a router stand-in that speaks BGP and BFD and deals connections to where the route says.

It uses the codecs and machines of ``gaphub.announce`` in the other role; ``tests/test_announce.py`` holds
those codecs against ones of somebody else.  Without routes (``plain``) it is the front layer of
today: it deals to all daemons in turn and notices a dead one only after a while.
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
NOTICE_S = (0.92, 2.5)  # the plain front notices a dead daemon within
READ = 64 * 1024


class Neighbour:
    """The router's side of one daemon's BGP session."""

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.session = Session(SessionConfig(ROUTER_AS, "10.255.0.1", SITE_AS, hold_s=9, retry_s=0.1,
                                             passive=True))
        self.session.start(steady_ms())
        self.routes: dict[str, Update] = {}
        self.announced = 0  # how often a route was announced
        self.writer: asyncio.StreamWriter | None = None

    def lose(self) -> None:
        """All that this neighbour said is void."""
        self.routes.clear()


class Front:
    """The router and its dealing of connections."""

    def __init__(self, ip: str, service: str, daemons: dict[str, Address], plain: bool, seed: int = 1) -> None:
        self.ip = ip
        self.prefix = f"{service}/32"
        self.daemons = daemons  # where each daemon takes requests, by its address
        self.plain = plain
        self.neighbours = {d: Neighbour(d) for d in daemons}
        self.watchers: dict[str, BfdSpeaker] = {}
        self.deaths: dict[str, float] = {}  # when the plain front will notice, by daemon
        self.dead: set[str] = set()
        self.served: list[tuple[float, str]] = []  # when an answer of 200 began to come back, and from whom
        self.moves: list[tuple[float, str]] = []
        self.address: Address = ("", 0)
        self.counters = Counters()
        self.counters.line = lambda kind, text: None
        self._draw = random.Random(seed)
        self._turn = 0
        self._tasks = Tasks(self.counters)
        self._servers: list[asyncio.Server] = []
        self._last = ""

    async def open(self, bgp_port: int, bfd_ports: dict[str, tuple[Address, Address]]) -> None:
        """Listen for routers' sessions and for clients."""
        server = await asyncio.start_server(self._client, self.ip, 0, backlog=1024)
        self.address = server.sockets[0].getsockname()[:2]
        self._servers.append(server)
        if self.plain:
            return
        self._servers.append(await asyncio.start_server(self._speak, self.ip, bgp_port, reuse_address=True))
        for ip, (mine, theirs) in bfd_ports.items():
            watcher = BfdSpeaker(mine, theirs, 50.0, 3, self.counters, steady_ms,
                                 lambda up, i=ip: self._bfd(i, up), self._draw)  # type: ignore[misc]
            self.watchers[ip] = watcher
            self._tasks.start(watcher.run())

    async def close(self) -> None:
        """Give everything back."""
        for server in self._servers:
            server.close()
        await self._tasks.close()

    # -- routing --

    @property
    def next_hop(self) -> str:
        """Where the route goes now; empty: nowhere.  The lowest MED wins: all routes come from one AS."""
        found = [(u.med if u.med is not None else 0, n.ip) for n in self.neighbours.values()
                 if (u := n.routes.get(self.prefix)) is not None]
        return min(found)[1] if found else ""

    def _changed(self) -> None:
        hop = self.next_hop
        if hop != self._last:
            self._last = hop
            self.moves.append((time.monotonic(), hop))

    def _bfd(self, ip: str, up: bool) -> None:
        if not up:
            neighbour = self.neighbours[ip]
            neighbour.lose()
            neighbour.session.stop(steady_ms(), 10)  # RFC 9384: BFD down
            if neighbour.writer is not None:
                neighbour.writer.transport.abort()
            self._changed()

    async def _speak(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
                        data = await reader.read(READ)
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
                        neighbour.announced += 1
                        neighbour.routes[prefix] = update
                session.received_updates.clear()
                self._changed()
            if session.out:
                writer.write(bytes(session.out))
                session.out.clear()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            neighbour.writer = None
            neighbour.lose()
            if session.state not in (State.CONNECT, State.ACTIVE):
                session.failed(steady_ms())
            self._changed()

    # -- dealing --

    def killed(self, ip: str) -> None:
        """A daemon was killed: the plain front will notice in its time."""
        self.deaths[ip] = time.monotonic() + self._draw.uniform(*NOTICE_S)

    def back(self, ip: str) -> None:
        """A daemon is ready again."""
        self.deaths.pop(ip, None)
        self.dead.discard(ip)

    def _pick(self) -> str:
        if not self.plain:
            return self.next_hop
        now = time.monotonic()
        self.dead |= {ip for ip, at in self.deaths.items() if now >= at}
        alive = [ip for ip in self.daemons if ip not in self.dead]
        self._turn += 1
        return alive[self._turn % len(alive)] if alive else ""

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        hop = self._pick()
        there: asyncio.StreamWriter | None = None
        try:
            if hop:
                back, there = await asyncio.open_connection(*self.daemons[hop])
                await self._pump(reader, writer, back, there, hop)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            if there is not None:
                there.transport.abort()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter,
                    back: asyncio.StreamReader, there: asyncio.StreamWriter, hop: str) -> None:
        async def forth() -> None:
            while data := await reader.read(READ):
                if not self.plain and self.next_hop not in (hop, ""):
                    return  # packets go to the new holder, which knows no such connection and resets it
                there.write(data)
                await there.drain()

        async def home() -> None:
            while data := await back.read(READ):
                if data.startswith(b"HTTP/1.1 200"):
                    self.served.append((time.monotonic(), hop))
                writer.write(data)
                await writer.drain()

        tasks = [asyncio.ensure_future(forth()), asyncio.ensure_future(home())]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            with suppress(OSError):
                await asyncio.gather(*tasks, return_exceptions=True)


