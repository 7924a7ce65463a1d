"""Owns the connection of one BGP session and the socket of one BFD session, towards one neighbour.

It carries bytes between sockets and the machines and must never decide what is announced: it says what its
announcer holds to be true, once for each time the session is established.  A neighbour that is dead, garbles or
does not read costs its own session only.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress

from ..config import Address
from ..metrics import Counters
from . import bfd
from .bgp import Update
from .session import Session, SessionConfig, State

READ = 16 * 1024
CONNECT_S = 2.0
WRITE_MOST = 64 * 1024  # bytes that a neighbour may leave unread before its session ends
CLOSE_S = 0.5  # for a last NOTIFICATION to leave
STEP_S = 0.25  # the longest sleep, so that a clock that jumped is noticed


class BgpSpeaker:
    """The actor of one session that this side connects."""

    def __init__(self, to: Address, source: str, speaker: SessionConfig, counters: Counters,
                 clock: Callable[[], float], routes: Callable[[Session], Update | None]) -> None:
        self.to = to
        self.source = source
        self.counters = counters
        self.clock = clock
        self.routes = routes  # what should be announced now; None: nothing
        self.session = Session(speaker)
        self.said: Update | None = None  # what the neighbour has been told in this session
        self._poked = asyncio.Event()
        self._writer: asyncio.StreamWriter | None = None

    def poke(self) -> None:
        """What should be announced may have changed, or the neighbour was found dead."""
        self._poked.set()
        if self.session.state is State.ESTABLISHED:
            self._say()
            self._flush()

    def cease(self, subcode: int = 6) -> None:
        """End this session now; it is made again by itself."""
        self.session.stop(self.clock(), subcode)
        self._poked.set()

    def _say(self) -> None:
        """Tell the difference between what was said and what holds."""
        want = self.routes(self.session)
        if want == self.said or self.session.state is not State.ESTABLISHED:
            return
        if want is None:
            assert self.said is not None
            if self.session.say(Update(withdrawn=self.said.announced)):
                self.counters.add("bgp.withdrawn")
                self.said = None
        elif self.session.say(want):
            self.counters.add("bgp.announced")
            self.said = want

    def _flush(self) -> None:
        if self._writer is not None and self.session.out:
            self._writer.write(bytes(self.session.out))
            self.session.out.clear()
            if self._writer.transport.get_write_buffer_size() > WRITE_MOST:
                self._writer.transport.abort()

    async def run(self) -> None:
        """Keep the session up for ever."""
        self.session.start(self.clock())
        while True:
            if not self.session.connect:
                self.session.tick(self.clock())
                await self._sleep()
                continue
            self.session.connect = False
            try:
                async with asyncio.timeout(CONNECT_S):
                    local = (self.source, 0) if self.source else None
                    reader, writer = await asyncio.open_connection(*self.to, local_addr=local)
            except (OSError, TimeoutError) as error:
                self.counters.log("bgp.not_connected", repr(error))
                self.session.failed(self.clock())
                continue
            await self._talk(reader, writer)

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        session = self.session
        session.connected(self.clock())
        self.said, self._writer = None, writer
        read = asyncio.ensure_future(reader.read(READ))
        try:
            while not session.drop:
                session.tick(self.clock())
                if session.state is State.ESTABLISHED:
                    if self.said is None and not session.received_updates:
                        self.counters.values["bgp.established"] = session.sessions
                    self._say()
                self._flush()
                if session.drop:
                    break
                self._poked.clear()
                wake = asyncio.ensure_future(self._poked.wait())
                left = max(0.0, min(STEP_S, (session.next_due() - self.clock()) / 1000.0))
                await asyncio.wait({read, wake}, timeout=left, return_when=asyncio.FIRST_COMPLETED)
                wake.cancel()
                if read.done():
                    data = read.result()
                    if not data:
                        break
                    session.received(self.clock(), data)
                    session.received_updates.clear()  # what routers announce to us is read, checked and not used
                    read = asyncio.ensure_future(reader.read(READ))
            self._flush()
            with suppress(TimeoutError):
                async with asyncio.timeout(CLOSE_S):
                    await writer.drain()
        except OSError:
            pass
        finally:
            read.cancel()
            # Not awaited itself: who is cancelled at this moment would take its own end for that of the read.
            await asyncio.wait({read})
            if not read.cancelled():
                read.exception()
            writer.close() if session.drop else writer.transport.abort()
            self._writer, self.said = None, None
            if session.state not in (State.CONNECT, State.ACTIVE):
                session.failed(self.clock())
            self.counters.log("bgp.session_ended", session.last_error)

    async def _sleep(self) -> None:
        self._poked.clear()
        left = max(0.001, min(STEP_S, (self.session.next_due() - self.clock()) / 1000.0))
        with suppress(TimeoutError):
            async with asyncio.timeout(left):
                await self._poked.wait()

    async def leave(self) -> None:
        """Say goodbye, so that the neighbour need not find out."""
        if self._writer is not None:
            self.session.stop(self.clock(), 2)
            self._flush()
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(CLOSE_S):
                    await self._writer.drain()


class BfdSpeaker(asyncio.DatagramProtocol):
    """The actor of one BFD session; ``on_change`` hears of up and down."""

    def __init__(self, listen: Address, to: Address, interval_ms: float, multiplier: int, counters: Counters,
                 clock: Callable[[], float], on_change: Callable[[bool], None], draw: random.Random) -> None:
        self.listen = listen
        self.to = to
        self.counters = counters
        self.clock = clock
        self.on_change = on_change
        self.draw = draw
        self.session = bfd.Session(draw.getrandbits(31) | 1, interval_ms, multiplier, clock())
        self._transport: asyncio.DatagramTransport | None = None
        self._woken = asyncio.Event()

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """A packet came in; from anybody but the neighbour it is dropped."""
        packet = bfd.parse(data) if (addr[0], addr[1]) == self.to else None
        if packet is None or not self._step(lambda: self.session.receive(self.clock(), packet)):
            self.counters.log("garbled.bfd", f"{len(data)} bytes from {addr[0]}:{addr[1]}")
        self._woken.set()

    def error_received(self, exc: Exception) -> None:
        """Nobody listens there (yet)."""
        self.counters.add("bfd.socket_errors")

    def _step(self, work: Callable[[], object]) -> object:
        before = self.session.state
        done = work()
        after = self.session.state
        if (before is bfd.State.UP) != (after is bfd.State.UP):
            self.counters.add("bfd.up" if after is bfd.State.UP else "bfd.down")
            self.on_change(after is bfd.State.UP)
        return done

    def _send(self) -> None:
        for packet in self.session.tick(self.clock(), self.draw.random()):
            if self._transport is not None:
                self._transport.sendto(packet, self.to)

    async def run(self) -> None:
        """Send and watch for ever."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.listen)
        try:
            while True:
                self._step(self._send)
                self._woken.clear()
                left = (self.session.next_due() - self.clock()) / 1000.0
                if left > 0:
                    with suppress(TimeoutError):
                        async with asyncio.timeout(min(left, STEP_S)):
                            await self._woken.wait()
        finally:
            self._transport.close()

    def leave(self) -> None:
        """Say that this end goes down on purpose."""
        self.session.admin_down()
        if self._transport is not None:
            for packet in self.session.tick(self.clock(), 0.0):
                self._transport.sendto(packet, self.to)


