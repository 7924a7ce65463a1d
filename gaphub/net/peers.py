"""Datagrams between schedulers: one UDP socket, and an actor with a mailbox for each peer.

They carry the balancer's messages, those of the replicated store, and heartbeats that say which schedulers accept
new requests.  This module must never send more than 256 bytes in one datagram, never send anything if the settings
do not allow it, and never trust what it receives.
"""

from __future__ import annotations

import asyncio

from ..config import Address, Config
from ..core import Core
from ..metrics import Counters
from ..occupancy.choice import is_exchange_message
from ..store import MAGIC, MAX_DATAGRAM_BYTES, MalformedDatagramError, Store
from ..tasks import Tasks

MAILBOX_CAPACITY = 64  # datagrams per peer; more are dropped, as the network may drop any
UPDATES_PER_ROUND = 4  # datagrams with store changes to one peer in a replication round
HEARTBEAT_TYPE = 0xC2  # first byte of two; the second is 1 if the sender accepts new requests, else 0
HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TTL_MS = 1_300.0  # a peer without a heartbeat for this long counts as accepting no requests
# With more peers than this, the interval and the TTL are stretched in proportion to their number: it is enough to
# know of any one peer that accepts requests.
HEARTBEAT_FULL_RATE_PEERS = 8


class _Socket(asyncio.DatagramProtocol):
    def __init__(self, owner: Peers) -> None:
        self.owner = owner

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.owner.datagram_received(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        self.owner.counters.log("peers.socket", repr(exc))


class Peer:
    """The actor of one peer."""

    def __init__(self, number: int, address: Address, owner: Peers) -> None:
        self.number = number
        self.address = address
        self.owner = owner
        self.serving_until = 0.0
        self.mailbox: asyncio.Queue[bytes | None] = asyncio.Queue(MAILBOX_CAPACITY)

    def enqueue(self, data: bytes | None) -> None:
        """Queue a received datagram, or None for a replication round.  Dropped if the mailbox is full."""
        if self.mailbox.full():
            self.owner.counters.add("peers.dropped")
        else:
            self.mailbox.put_nowait(data)

    async def run(self) -> None:
        """Handle the mailbox's entries one at a time."""
        owner, store = self.owner, self.owner.store
        while True:
            data = await self.mailbox.get()
            now = owner.core.clock.now()
            try:
                if data is None:
                    datagrams = [*store.pending_updates(self.number, UPDATES_PER_ROUND), store.digest()]
                elif data[:1] == bytes([HEARTBEAT_TYPE]):
                    if len(data) != 2 or data[1] > 1:
                        raise MalformedDatagramError("malformed heartbeat")
                    datagrams = []
                    self.serving_until = now + HEARTBEAT_TTL_MS * owner.heartbeat_interval_factor * data[1]
                elif data.startswith(MAGIC):
                    datagrams = store.receive(self.number, data, now) if owner.replicates else []
                elif not is_exchange_message(data):
                    raise MalformedDatagramError("unknown datagram format")
                else:
                    datagrams = []
                    await owner.core.post(
                        lambda data=data: owner.core.receive_peer_message(self.number, data))  # type: ignore[misc]
            except MalformedDatagramError as error:
                owner.counters.log("garbled.datagram", str(error))
                continue
            for datagram in datagrams:
                owner.send(self.address, datagram)


class Peers:
    """The socket and the peers' actors; ``close`` releases both."""

    def __init__(self, config: Config, core: Core, counters: Counters, store: Store) -> None:
        self.core = core
        self.counters = counters
        self.store = store
        self.listen = config.peer_listen
        self.reuse_port = config.admin is not None  # during an upgrade two processes listen
        self.all_peers_address = config.peers_all  # one address that reaches all peers, if there is one
        self.round_s = config.fronts.store.round_s
        self.counters_s = config.fronts.store.counters_s
        self.messages_allowed = config.settings.may_tell_peers
        self.replicates = bool(config.fronts.gearman.listen)  # only that front uses the store
        self.serving = True
        self.heartbeat_interval_factor = max(1.0, (len(config.peers) - 1) / HEARTBEAT_FULL_RATE_PEERS)
        self.peers = {address: Peer(i, address, self) for i, address in enumerate(config.peers)
                      if i != config.settings.me}
        self._by_number = {p.number: p for p in self.peers.values()}
        self._socket: asyncio.DatagramTransport | None = None
        self._tasks = Tasks(counters)

    async def open(self) -> None:
        """Open the socket and start the actors, if the settings allow messages."""
        if not self.messages_allowed or self.listen is None or not self.peers:
            return
        loop = asyncio.get_running_loop()
        self._socket, _ = await loop.create_datagram_endpoint(lambda: _Socket(self), local_addr=self.listen,
                                                               reuse_port=self.reuse_port or None)
        for peer in self.peers.values():
            self.store.add_peer(peer.number)
            self._tasks.start(peer.run())
        if self.replicates:
            self._tasks.start(self._replication_loop())
        self._tasks.start(self._heartbeat_loop())

    async def close(self) -> None:
        """Stop the actors and close the socket."""
        await self._tasks.close()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def announce_leaving(self) -> None:
        """Tell the peers at once that this scheduler accepts no new requests."""
        self.serving = False
        self._send_heartbeat()

    def others_serve(self) -> bool:
        """Whether any peer is known to accept new requests."""
        return any(peer.serving_until > self.core.clock.now() for peer in self.peers.values())

    def _send_heartbeat(self) -> None:
        if self._socket is not None:
            self.send_to_peer(-1, bytes([HEARTBEAT_TYPE, self.serving]))

    async def _heartbeat_loop(self) -> None:
        while True:
            self._send_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * self.heartbeat_interval_factor)

    async def _replication_loop(self) -> None:
        """Start a replication round with one peer after another, and publish this scheduler's counters."""
        published_at = -1e18
        while True:
            for peer in self.peers.values():
                await asyncio.sleep(self.round_s / len(self.peers))
                now = self.core.clock.now()
                self.store.expire(now)
                if now - published_at >= self.counters_s * 1000.0:
                    published_at = now
                    values = self.counters.values
                    text = ",".join(str(values[f"requests.{n}"]) for n in
                                    ("taken", "served", "refused", "failed", "client_gone"))
                    self.store.put(f"state/counters/{self.store.node}", text.encode(), now,
                                   self.counters_s * 4000.0)
                peer.enqueue(None)

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Send a message of the balancer to one peer, or to all (-1)."""
        if peer >= 0:
            target = self._by_number.get(peer)
            if target is not None:
                self.send(target.address, data)
        elif self.all_peers_address is not None:
            self.send(self.all_peers_address, data)
        else:
            for address in self.peers:
                self.send(address, data)

    def send(self, address: Address, data: bytes) -> None:
        """Send one datagram, unless it is longer than peers accept."""
        if self._socket is None or len(data) > MAX_DATAGRAM_BYTES:
            self.counters.add("peers.not_sent")
            return
        self._socket.sendto(data, address)
        self.counters.add("peers.sent")
        self.counters.add("peers.sent_bytes", len(data))

    def datagram_received(self, data: bytes, sender: Address) -> None:
        """Handle a received datagram; it is dropped if its sender is not a peer."""
        peer = self.peers.get(sender)
        if peer is None or len(data) > MAX_DATAGRAM_BYTES:
            self.counters.log("garbled.datagram", f"{len(data)} bytes from {sender[0]}:{sender[1]}")
            return
        self.counters.add("peers.received")
        self.counters.add("peers.received_bytes", len(data))
        peer.enqueue(data)
