"""Owns the datagrams between schedulers: one socket, and an actor with a mailbox for each peer.

It carries the Balancer's messages and the store's, and beats that say who takes new requests; it must
never send more than 256 bytes in one datagram, never send where the settings do not allow it, and never
trust what comes in.
"""

from __future__ import annotations

import asyncio

from ..config import Address, Config
from ..core import Core
from ..metrics import Counters
from ..occupancy.choice import is_read
from ..store import DATAGRAM, MAGIC, GarbledDatagramError, Store
from ..tasks import Tasks

MAILBOX = 64  # datagrams of one peer that wait; more are dropped, as the network may drop any
NEWS = 4  # datagrams with changes for one peer in a round
BEAT = 0xC2  # first of the two bytes of a beat; the second is 1 from one that takes new requests, else 0
BEAT_S = 0.5
BEAT_TTL_MS = 1_300.0  # ms; a peer without a beat for so long takes none
BEAT_AMONG = 8  # peers; among more, each beats and is waited for in proportion: any one that serves will do


class _Socket(asyncio.DatagramProtocol):
    def __init__(self, owner: Peers) -> None:
        self.owner = owner

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.owner.take(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        self.owner.counters.log("peers.socket", repr(exc))


class Peer:
    """The actor of one peer."""

    def __init__(self, number: int, to: Address, owner: Peers) -> None:
        self.number = number
        self.to = to
        self.owner = owner
        self.serves_until = 0.0
        self.box: asyncio.Queue[bytes | None] = asyncio.Queue(MAILBOX)

    def put(self, data: bytes | None) -> None:
        """A datagram, or None: it is time for a round.  Dropped while the mailbox is full."""
        if self.box.full():
            self.owner.counters.add("peers.dropped")
        else:
            self.box.put_nowait(data)

    async def run(self) -> None:
        """Handle what comes, one at a time."""
        owner, store = self.owner, self.owner.store
        while True:
            data = await self.box.get()
            now = owner.core.clock.now()
            try:
                if data is None:
                    out = [*store.news(self.number, NEWS), store.digest()]
                elif data[:1] == bytes([BEAT]):
                    if len(data) != 2 or data[1] > 1:
                        raise GarbledDatagramError("beat")
                    out = []
                    self.serves_until = now + BEAT_TTL_MS * owner.pace * data[1]
                elif data.startswith(MAGIC):
                    out = store.receive(self.number, data, now) if owner.replicates else []
                elif not is_read(data):
                    raise GarbledDatagramError("of no format that is known")
                else:
                    out = []
                    await owner.core.post(
                        lambda data=data: owner.core.receive_peer_message(self.number, data))  # type: ignore[misc]
            except GarbledDatagramError as error:
                owner.counters.log("garbled.datagram", str(error))
                continue
            for answer in out:
                owner.send(self.to, answer)


class Peers:
    """The socket and the peers; ``close`` gives both back."""

    def __init__(self, config: Config, core: Core, counters: Counters, store: Store) -> None:
        self.core = core
        self.counters = counters
        self.store = store
        self.listen = config.peer_listen
        self.shared = config.admin is not None  # upgrades: two processes listen at once
        self.to_all = config.peers_all
        self.round_s = config.fronts.store.round_s
        self.counters_s = config.fronts.store.counters_s
        self.allowed = config.settings.may_tell_peers
        self.replicates = bool(config.fronts.gearman.listen)  # the only front that keeps anything in the store
        self.serving = True
        self.pace = max(1.0, (len(config.peers) - 1) / BEAT_AMONG)
        self.peers = {to: Peer(i, to, self) for i, to in enumerate(config.peers)
                      if i != config.settings.me}
        self._by_number = {p.number: p for p in self.peers.values()}
        self._socket: asyncio.DatagramTransport | None = None
        self._tasks = Tasks(counters)

    async def open(self) -> None:
        """Listen and start the actors, where the settings allow messages."""
        if not self.allowed or self.listen is None or not self.peers:
            return
        loop = asyncio.get_running_loop()
        self._socket, _ = await loop.create_datagram_endpoint(lambda: _Socket(self), local_addr=self.listen,
                                                               reuse_port=self.shared or None)
        for peer in self.peers.values():
            self.store.follow(peer.number)
            self._tasks.start(peer.run())
        if self.replicates:
            self._tasks.start(self._rounds())
        self._tasks.start(self._beats())

    async def close(self) -> None:
        """Give back the socket and the actors."""
        await self._tasks.close()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def leave(self) -> None:
        """Say at once that new requests are to go elsewhere."""
        self.serving = False
        self._beat()

    def others_serve(self) -> bool:
        """Whether a peer is known to take new requests."""
        return any(peer.serves_until > self.core.clock.now() for peer in self.peers.values())

    def _beat(self) -> None:
        if self._socket is not None:
            self.tell(-1, bytes([BEAT, self.serving]))

    async def _beats(self) -> None:
        while True:
            self._beat()
            await asyncio.sleep(BEAT_S * self.pace)

    async def _rounds(self) -> None:
        """Publish this daemon's counters now and then, and ring one peer a round, in turn."""
        published = -1e18
        while True:
            for peer in self.peers.values():
                await asyncio.sleep(self.round_s / len(self.peers))
                now = self.core.clock.now()
                self.store.expire(now)
                if now - published >= self.counters_s * 1000.0:
                    published = now
                    values = self.counters.values
                    text = ",".join(str(values[f"requests.{n}"]) for n in
                                    ("taken", "served", "refused", "failed", "client_gone"))
                    self.store.put(f"state/counters/{self.store.node}", text.encode(), now,
                                   self.counters_s * 4000.0)
                peer.put(None)

    def tell(self, peer: int, data: bytes) -> None:
        """A message of the Balancer's to one peer, or to all (-1)."""
        if peer >= 0:
            known = self._by_number.get(peer)
            if known is not None:
                self.send(known.to, data)
        elif self.to_all is not None:
            self.send(self.to_all, data)
        else:
            for to in self.peers:
                self.send(to, data)

    def send(self, to: Address, data: bytes) -> None:
        """One datagram; never a longer one than peers read."""
        if self._socket is None or len(data) > DATAGRAM:
            self.counters.add("peers.not_sent")
            return
        self._socket.sendto(data, to)
        self.counters.add("peers.sent")
        self.counters.add("peers.sent_bytes", len(data))

    def take(self, data: bytes, sender: Address) -> None:
        """A datagram came in; from anybody but a peer it is dropped."""
        peer = self.peers.get(sender)
        if peer is None or len(data) > DATAGRAM:
            self.counters.log("garbled.datagram", f"{len(data)} bytes from {sender[0]}:{sender[1]}")
            return
        self.counters.add("peers.received")
        self.counters.add("peers.received_bytes", len(data))
        peer.put(data)
