"""The datagrams between members: encoding, authentication and replay protection.

Pure except for the MAC of ``cryptography``: no I/O and no clock.  A datagram that fails any check changes no
state, and no received datagram raises an error: ``Endpoint.open`` returns a message or the reason under which the
rejected datagram is counted.

Format, in network byte order, lengths in bytes where not 1: magic "gc" (2), version 1, flags, key id (8), sender,
receiver, kind, priority, sender's incarnation (8), receiver's incarnation (8), sequence number (8), term (8),
round (8), holder, MAC (16: HMAC-SHA256 truncated as in RFC 2104 section 5, over the cluster's name and all
preceding bytes).  An incarnation is a random number drawn at each start.  Sequence numbers and the sliding
anti-replay window follow RFC 4303 section 3.4.3.

A datagram is accepted only if it names the receiver's current incarnation, so one recorded before a restart is
useless afterwards.  A sender's new incarnation is adopted only from such a datagram.  Receiver incarnation 0 asks
for a first answer and changes no state.
"""

from __future__ import annotations

import struct
from collections import OrderedDict
from collections.abc import Callable, Mapping
from hmac import compare_digest
from typing import NamedTuple

from cryptography.hazmat.primitives import hashes, hmac

from .types import Kind, Message

MAGIC = b"gc\x01"
_HEADER = struct.Struct(">3sB8sBBBBQQQQQB")
MAC_BYTES = 16
DATAGRAM_BYTES = _HEADER.size + MAC_BYTES
WINDOW_SIZE = 64  # sequence numbers up to the highest one that are still accepted
MAX_RETIRED_INCARNATIONS = 1024  # former incarnations kept per peer, to reject their datagrams
_READY, _ABSTAINING = 1, 2
_MAX_INT63 = (1 << 63) - 1


class Key(NamedTuple):
    """A secret shared by the members; ``ident`` has 8 characters."""

    ident: str
    secret: bytes


def sign(key: Key, cluster: str, data: bytes) -> bytes:
    """Return the MAC of a datagram."""
    mac = hmac.HMAC(key.secret, hashes.SHA256())
    mac.update(cluster.encode() + b"\0" + data)
    return mac.finalize()[:MAC_BYTES]


def is_signed(key: Key, cluster: str, data: bytes, mac: bytes) -> bool:
    """Whether a MAC is correct, in time independent of the position of a difference."""
    return compare_digest(sign(key, cluster, data), mac)


class ReplayWindow:
    """The received sequence numbers of one incarnation: a bitmap below the highest (RFC 4303, 3.4.3)."""

    __slots__ = ("highest", "bitmap")

    def __init__(self) -> None:
        self.highest = 0
        self.bitmap = 0

    def is_fresh(self, sequence: int) -> bool:
        """Whether a sequence number is neither a duplicate nor below the window; changes no state."""
        distance = self.highest - sequence
        return sequence > 0 and (distance < 0 or (distance < WINDOW_SIZE and not self.bitmap >> distance & 1))

    def record(self, sequence: int) -> None:
        """Mark a fresh sequence number as received."""
        if sequence > self.highest:
            self.bitmap = (self.bitmap << min(WINDOW_SIZE, sequence - self.highest) | 1) & ((1 << WINDOW_SIZE) - 1)
            self.highest = sequence
        else:
            self.bitmap |= 1 << (self.highest - sequence)


class PeerIncarnations:
    """The current and former incarnations of one peer."""

    __slots__ = ("incarnation", "window", "retired_incarnations")

    def __init__(self) -> None:
        self.incarnation = 0
        self.window = ReplayWindow()
        self.retired_incarnations: OrderedDict[int, None] = OrderedDict()


class OpenedDatagram(NamedTuple):
    """An accepted datagram; ``message`` is None if it only asks for a first answer, to ``incarnation``."""

    sender: int
    incarnation: int
    message: Message | None
    restarted: bool = False  # the sender has restarted since its last datagram


class Endpoint:
    """The sending and receiving state of one member: its incarnation and sequence, and those of its peers."""

    def __init__(self, me: int, incarnation: int, cluster: str, peers: Mapping[int, object]) -> None:
        self.me = me
        self.incarnation = incarnation
        self.cluster = cluster
        self.sequence = 0
        self.peers = {i: PeerIncarnations() for i in peers if i != me}

    def seal(self, key: Key, to: int, message: Message, incarnation: int | None = None) -> bytes:
        """Encode a message for a peer, addressed to the peer's known incarnation or to the given one."""
        self.sequence += 1
        flags = _READY * message.ready | _ABSTAINING * message.abstaining
        header = _HEADER.pack(MAGIC, flags, key.ident.encode(), self.me, to, message.kind, message.priority,
                              self.incarnation,
                              self.peers[to].incarnation if incarnation is None else incarnation,
                              self.sequence, message.term, message.round, message.holder)
        return header + sign(key, self.cluster, header)

    def open(self, keys: Callable[[str], Key | None], data: bytes) -> OpenedDatagram | str:
        """Return a datagram's message, or the reason for which it is rejected."""
        if len(data) != DATAGRAM_BYTES or data[:3] != MAGIC:
            return "garbled"
        (_, flags, ident, sender, to, kind, priority, sender_incarnation, receiver_incarnation, sequence, term,
         round_, holder) = _HEADER.unpack_from(data)
        key = keys(ident.decode("latin-1"))
        if key is None:
            return "unknown_key"
        if not is_signed(key, self.cluster, data[:_HEADER.size], data[_HEADER.size:]):
            return "wrong_mac"
        peer = self.peers.get(sender)
        if peer is None or to != self.me:
            return "not_for_me"
        if (flags > 3 or not 1 <= kind <= max(Kind) or term > _MAX_INT63 or round_ > _MAX_INT63
                or not sender_incarnation):
            return "garbled"
        if receiver_incarnation == 0:
            return OpenedDatagram(sender, sender_incarnation, None)
        if receiver_incarnation != self.incarnation:
            return "former_life"
        restarted = sender_incarnation != peer.incarnation
        if restarted:
            if sender_incarnation in peer.retired_incarnations:
                return "replayed"
            if peer.incarnation:
                peer.retired_incarnations[peer.incarnation] = None
                if len(peer.retired_incarnations) > MAX_RETIRED_INCARNATIONS:
                    peer.retired_incarnations.popitem(last=False)
            peer.incarnation, peer.window = sender_incarnation, ReplayWindow()
        if not peer.window.is_fresh(sequence):
            return "replayed"
        peer.window.record(sequence)
        message = Message(Kind(kind), term, round_, bool(flags & _READY), bool(flags & _ABSTAINING), priority,
                          holder)
        return OpenedDatagram(sender, sender_incarnation, message, restarted)
