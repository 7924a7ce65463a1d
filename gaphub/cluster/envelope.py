"""Owns the datagrams between members: their form, their authentication, and what is too old to believe.

Pure but for the MAC of ``cryptography``: it opens nothing and reads no clock.  Nothing that fails any check
here may change any state, and nothing here ever raises for what came in: ``Link.open`` gives a message or the
one word under which the datagram is counted.

Form, all in network order: magic "gc", version 1, flags, key id (8), from, to, kind, priority, sender's life
(8), receiver's life (8), number (8), term (8), round (8), holder, MAC (16: HMAC-SHA256 cut by RFC 2104
section 5, over the cluster's name and all before it).  A life is a random number drawn at each start.  What is
numbered, and the sliding window against replays, follow RFC 4303 section 3.4.3.

A datagram counts only if it names the receiver's present life, so one recorded before a restart is worthless
after it.  A sender's new life is believed only from such a datagram; ``life 0`` asks for a first answer and
changes nothing.
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
_HEAD = struct.Struct(">3sB8sBBBBQQQQQB")
MAC = 16  # bytes
SIZE = _HEAD.size + MAC
WINDOW = 64  # numbers behind the highest that may still come
RETIRED_MOST = 1024  # lives of one peer that are remembered as over
_READY, _AMNESIC = 1, 2
_MOST = (1 << 63) - 1


class Key(NamedTuple):
    """One secret that members share; ``ident`` is 8 characters."""

    ident: str
    secret: bytes


def sign(key: Key, cluster: str, data: bytes) -> bytes:
    """The MAC of a datagram."""
    mac = hmac.HMAC(key.secret, hashes.SHA256())
    mac.update(cluster.encode() + b"\0" + data)
    return mac.finalize()[:MAC]


def is_signed(key: Key, cluster: str, data: bytes, mac: bytes) -> bool:
    """Whether a MAC is right, in time that does not depend on where it is wrong."""
    return compare_digest(sign(key, cluster, data), mac)


class Window:
    """The numbers of one life that were seen: a bitmap behind the highest (RFC 4303, 3.4.3)."""

    __slots__ = ("top", "seen")

    def __init__(self) -> None:
        self.top = 0
        self.seen = 0

    def fresh(self, number: int) -> bool:
        """Whether a number was not seen and is not too old; nothing changes."""
        behind = self.top - number
        return number > 0 and (behind < 0 or (behind < WINDOW and not self.seen >> behind & 1))

    def take(self, number: int) -> None:
        """Note a number that is fresh."""
        if number > self.top:
            self.seen = (self.seen << min(WINDOW, number - self.top) | 1) & ((1 << WINDOW) - 1)
            self.top = number
        else:
            self.seen |= 1 << (self.top - number)


class Peer:
    """What is known of one peer's lives."""

    __slots__ = ("life", "window", "retired")

    def __init__(self) -> None:
        self.life = 0
        self.window = Window()
        self.retired: OrderedDict[int, None] = OrderedDict()


class Opened(NamedTuple):
    """What a datagram brought: ``message`` None where it only wants a first answer, to ``life``."""

    sender: int
    life: int
    message: Message | None
    reborn: bool = False  # its sender began a new life since it was last heard


class Link:
    """One member's end: its life, its numbers, and what it believes of its peers."""

    def __init__(self, me: int, life: int, cluster: str, peers: Mapping[int, object]) -> None:
        self.me = me
        self.life = life
        self.cluster = cluster
        self.number = 0
        self.peers = {i: Peer() for i in peers if i != me}

    def seal(self, key: Key, to: int, message: Message, life: int | None = None) -> bytes:
        """A datagram for a peer, addressed to the life of it that is known."""
        self.number += 1
        flags = _READY * message.ready | _AMNESIC * message.amnesic
        head = _HEAD.pack(MAGIC, flags, key.ident.encode(), self.me, to, message.kind, message.priority,
                          self.life, self.peers[to].life if life is None else life, self.number, message.term,
                          message.round, message.holder)
        return head + sign(key, self.cluster, head)

    def open(self, keys: Callable[[str], Key | None], data: bytes) -> Opened | str:
        """A datagram's message, or the word that says why it is not believed."""
        if len(data) != SIZE or data[:3] != MAGIC:
            return "garbled"
        (_, flags, ident, sender, to, kind, priority, from_life, to_life, number, term, round_,
         holder) = _HEAD.unpack_from(data)
        key = keys(ident.decode("latin-1"))
        if key is None:
            return "unknown_key"
        if not is_signed(key, self.cluster, data[:_HEAD.size], data[_HEAD.size:]):
            return "wrong_mac"
        peer = self.peers.get(sender)
        if peer is None or to != self.me:
            return "not_for_me"
        if flags > 3 or not 1 <= kind <= max(Kind) or term > _MOST or round_ > _MOST or not from_life:
            return "garbled"
        if to_life == 0:
            return Opened(sender, from_life, None)
        if to_life != self.life:
            return "former_life"
        reborn = from_life != peer.life
        if reborn:
            if from_life in peer.retired:
                return "replayed"
            if peer.life:
                peer.retired[peer.life] = None
                if len(peer.retired) > RETIRED_MOST:
                    peer.retired.popitem(last=False)
            peer.life, peer.window = from_life, Window()
        if not peer.window.fresh(number):
            return "replayed"
        peer.window.take(number)
        message = Message(Kind(kind), term, round_, bool(flags & _READY), bool(flags & _AMNESIC), priority,
                          holder)
        return Opened(sender, from_life, message, reborn)
