"""The TCP connection of a BGP session and the UDP socket of a BFD session with one neighbour.

The speakers carry bytes between the sockets and the state machines.  They do not decide what is announced: the
announcer's route is sent once each time the session is established, and when it changes.  A neighbour that is
dead, sends garbage or does not read affects its own session only.
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

READ_CHUNK_BYTES = 16 * 1024
CONNECT_TIMEOUT_S = 2.0
MAX_UNSENT_BYTES = 64 * 1024  # buffered for a neighbour that does not read; beyond this its session ends
CLOSE_TIMEOUT_S = 0.5  # time to send the last NOTIFICATION
MAX_WAIT_S = 0.25  # longest wait between two ticks, so that a jump of the clock is noticed


class BgpSpeaker:
    """Runs one BGP session, for which this side opens the connection."""

    def __init__(self, peer_address: Address, source: str, config: SessionConfig, counters: Counters,
                 clock: Callable[[], float], desired_route: Callable[[Session], Update | None]) -> None:
        self.peer_address = peer_address
        self.source = source
        self.counters = counters
        self.clock = clock
        self.desired_route = desired_route  # returns the route to announce now; None: no route
        self.session = Session(config)
        self.advertised: Update | None = None  # the route announced in the current session
        self._wake_event = asyncio.Event()
        self._writer: asyncio.StreamWriter | None = None

    def refresh(self) -> None:
        """Announce or withdraw at once if the desired route has changed."""
        self._wake_event.set()
        if self.session.state is State.ESTABLISHED:
            self._advertise()
            self._flush()

    def cease(self, subcode: int = 6) -> None:
        """End the session now; ``run`` establishes it again."""
        self.session.stop(self.clock(), subcode)
        self._wake_event.set()

    def _advertise(self) -> None:
        """Send the difference between the advertised and the desired route."""
        desired = self.desired_route(self.session)
        if desired == self.advertised or self.session.state is not State.ESTABLISHED:
            return
        if desired is None:
            assert self.advertised is not None
            if self.session.send_update(Update(withdrawn=self.advertised.announced)):
                self.counters.add("bgp.withdrawn")
                self.advertised = None
        elif self.session.send_update(desired):
            self.counters.add("bgp.announced")
            self.advertised = desired

    def _flush(self) -> None:
        if self._writer is not None and self.session.out:
            self._writer.write(bytes(self.session.out))
            self.session.out.clear()
            if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
                self._writer.transport.abort()

    async def run(self) -> None:
        """Keep the session established until cancelled."""
        self.session.start(self.clock())
        while True:
            if not self.session.connect:
                self.session.tick(self.clock())
                await self._wait()
                continue
            self.session.connect = False
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    local = (self.source, 0) if self.source else None
                    reader, writer = await asyncio.open_connection(*self.peer_address, local_addr=local)
            except (OSError, TimeoutError) as error:
                self.counters.log("bgp.not_connected", repr(error))
                self.session.failed(self.clock())
                continue
            await self._run_session(reader, writer)

    async def _run_session(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        session = self.session
        session.connected(self.clock())
        self.advertised, self._writer = None, writer
        read_task = asyncio.ensure_future(reader.read(READ_CHUNK_BYTES))
        try:
            while not session.drop:
                session.tick(self.clock())
                if session.state is State.ESTABLISHED:
                    if self.advertised is None and not session.received_updates:
                        self.counters.values["bgp.established"] = session.times_established
                    self._advertise()
                self._flush()
                if session.drop:
                    break
                self._wake_event.clear()
                wake_task = asyncio.ensure_future(self._wake_event.wait())
                left = max(0.0, min(MAX_WAIT_S, (session.next_due() - self.clock()) / 1000.0))
                await asyncio.wait({read_task, wake_task}, timeout=left, return_when=asyncio.FIRST_COMPLETED)
                wake_task.cancel()
                if read_task.done():
                    data = read_task.result()
                    if not data:
                        break
                    session.received(self.clock(), data)
                    session.received_updates.clear()  # the neighbour's routes are validated but not used
                    read_task = asyncio.ensure_future(reader.read(READ_CHUNK_BYTES))
            self._flush()
            with suppress(TimeoutError):
                async with asyncio.timeout(CLOSE_TIMEOUT_S):
                    await writer.drain()
        except OSError:
            pass
        finally:
            read_task.cancel()
            # Awaiting the task itself would raise its CancelledError here, which could not be told apart from
            # a cancellation of this task.
            await asyncio.wait({read_task})
            if not read_task.cancelled():
                read_task.exception()
            writer.close() if session.drop else writer.transport.abort()
            self._writer, self.advertised = None, None
            if session.state not in (State.CONNECT, State.ACTIVE):
                session.failed(self.clock())
            self.counters.log("bgp.session_ended", session.last_error)

    async def _wait(self) -> None:
        self._wake_event.clear()
        left = max(0.001, min(MAX_WAIT_S, (self.session.next_due() - self.clock()) / 1000.0))
        with suppress(TimeoutError):
            async with asyncio.timeout(left):
                await self._wake_event.wait()

    async def shut_down(self) -> None:
        """Send Cease, so that the neighbour need not wait for its hold timer."""
        if self._writer is not None:
            self.session.stop(self.clock(), 2)
            self._flush()
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(CLOSE_TIMEOUT_S):
                    await self._writer.drain()


class BfdSpeaker(asyncio.DatagramProtocol):
    """Runs one BFD session; ``on_change`` is called with True when it comes up, with False when it goes down."""

    def __init__(self, local_address: Address, peer_address: Address, interval_ms: float, multiplier: int,
                 counters: Counters, clock: Callable[[], float], on_change: Callable[[bool], None],
                 rng: random.Random) -> None:
        self.local_address = local_address
        self.peer_address = peer_address
        self.counters = counters
        self.clock = clock
        self.on_change = on_change
        self.rng = rng
        self.session = bfd.Session(rng.getrandbits(31) | 1, interval_ms, multiplier, clock())
        self._transport: asyncio.DatagramTransport | None = None
        self._wake_event = asyncio.Event()

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handle a received packet; one from any other address than the neighbour's is dropped."""
        packet = bfd.parse(data) if (addr[0], addr[1]) == self.peer_address else None
        if packet is None or not self._track_state(lambda: self.session.receive(self.clock(), packet)):
            self.counters.log("garbled.bfd", f"{len(data)} bytes from {addr[0]}:{addr[1]}")
        self._wake_event.set()

    def error_received(self, exc: Exception) -> None:
        """Count an error of the socket, such as no listener at the neighbour's port."""
        self.counters.add("bfd.socket_errors")

    def _track_state(self, call: Callable[[], object]) -> object:
        before = self.session.state
        result = call()
        after = self.session.state
        if (before is bfd.State.UP) != (after is bfd.State.UP):
            self.counters.add("bfd.up" if after is bfd.State.UP else "bfd.down")
            self.on_change(after is bfd.State.UP)
        return result

    def _send(self) -> None:
        for packet in self.session.tick(self.clock(), self.rng.random()):
            if self._transport is not None:
                self._transport.sendto(packet, self.peer_address)

    async def run(self) -> None:
        """Send packets and watch for the detection time until cancelled."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.local_address)
        try:
            while True:
                self._track_state(self._send)
                self._wake_event.clear()
                left = (self.session.next_due() - self.clock()) / 1000.0
                if left > 0:
                    with suppress(TimeoutError):
                        async with asyncio.timeout(min(left, MAX_WAIT_S)):
                            await self._wake_event.wait()
        finally:
            self._transport.close()

    def shut_down(self) -> None:
        """Tell the neighbour that this side goes down administratively."""
        self.session.admin_down()
        if self._transport is not None:
            for packet in self.session.tick(self.clock(), 0.0):
                self._transport.sendto(packet, self.peer_address)


