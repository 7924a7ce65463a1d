"""Owns the replicated store: versioned entries of configuration and state, merged by the last writer.

It keeps entries and says which datagrams would bring a peer up to date; it opens no socket and reads no
clock.  Replication is late and may lose anything, so nothing read here may ever be taken as proof that a
job did not run elsewhere.
"""

from __future__ import annotations

import struct
import zlib
from collections import OrderedDict
from collections.abc import Iterator
from heapq import heapify, heappop, heappush
from typing import NamedTuple

MAGIC = b"gh1"
MAX_DATAGRAM_BYTES = 256  # bytes; a longer one is never made and never read
KEY_MOST = 96  # bytes
VALUE_MOST = 100  # bytes
BUCKETS = 30  # of a digest; eight bytes each
FRESH_MOST = 256  # entries waiting to be told to a peer at once; past it the digest finds them
MAX_FUTURE_MS = 600_000.0  # a version further ahead is garbled, or would win for ever
BURST = 8  # datagrams in answer to one digest
TOMBSTONE_MS = 3_600_000.0

_ENTRY = struct.Struct(">QHQBBB")
_DIGEST, _ENTRIES, _REPLY = 1, 2, 3


class Entry(NamedTuple):
    """One value; ``expires_ms`` 0: never."""

    stamp: int
    node: int
    expires_ms: int
    gone: bool
    value: bytes

    @property
    def version(self) -> tuple[int, int, bool, bytes]:
        """What the last writer has the largest of; a total order, so that merging in any order agrees."""
        return self.stamp, self.node, self.gone, self.value


class MalformedDatagramError(ValueError):
    """A datagram that is none of the store's."""


class Store:
    """The entries of one daemon.  Every time is handed in, in Unix milliseconds."""

    def __init__(self, node: int, max_entries: int = 20_000) -> None:
        self.node = node
        self.max_entries = max_entries
        self._entries: dict[str, Entry] = {}
        self._sums = [0] * BUCKETS
        self._stamp = 0
        self._fresh: dict[int, OrderedDict[str, None]] = {}
        self._cursor: dict[int, int] = {}
        self._by_expiry: list[tuple[int, int, str]] = []

    def __len__(self) -> int:
        return len(self._entries)

    # -- reading and writing --

    def get(self, key: str, now: float) -> bytes | None:
        """The value, unless there is none or it has expired."""
        entry = self._entries.get(key)
        if entry is None or entry.gone or _expired(entry, now):
            return None
        return entry.value

    def items(self, prefix: str, now: float) -> Iterator[tuple[str, bytes]]:
        """The live entries whose key starts so."""
        for key, entry in sorted(self._entries.items()):
            if key.startswith(prefix) and not entry.gone and not _expired(entry, now):
                yield key, entry.value

    def put(self, key: str, value: bytes, now: float, ttl_ms: float = 0.0) -> bool:
        """Write; False if the key or value is too long or no room is left."""
        return self._write(key, value, now, int(now + ttl_ms) if ttl_ms > 0 else 0, False)

    def delete(self, key: str, now: float) -> None:
        """Write a tombstone, so that an older value does not come back from a peer."""
        if key in self._entries:
            self._write(key, b"", now, int(now + TOMBSTONE_MS), True)

    def _write(self, key: str, value: bytes, now: float, expires: int, gone: bool) -> bool:
        if not key or len(key.encode()) > KEY_MOST or len(value) > VALUE_MOST:
            return False
        self._stamp = max(self._stamp + 1, int(now))
        self.expire(now)
        return self._accept(key, Entry(self._stamp, self.node, expires, gone, value), now)

    def _accept(self, key: str, entry: Entry, now: float) -> bool:
        known = self._entries.get(key)
        if known is not None and known.version >= entry.version:
            return False
        if known is None and len(self._entries) >= self.max_entries and not self._make_room(entry, now):
            return False
        self._drop(key)
        self._entries[key] = entry
        if entry.expires_ms:
            heappush(self._by_expiry, (entry.expires_ms, entry.stamp, key))
        self._sums[_bucket(key)] ^= _digest_of(key, entry)
        for fresh in self._fresh.values():
            fresh[key] = None
            fresh.move_to_end(key)
            if len(fresh) > FRESH_MOST:
                fresh.popitem(last=False)
        return True

    def _drop(self, key: str) -> None:
        entry = self._entries.pop(key, None)
        if entry is not None:
            self._sums[_bucket(key)] ^= _digest_of(key, entry)

    def _make_room(self, newcomer: Entry, now: float) -> bool:
        """Full: the entry that expires first gives way, unless that is the newcomer.

        By a heap: a scan for each write made 100,000 claims cost the square of the store's size.
        """
        self.expire(now)
        if len(self._entries) < self.max_entries:
            return True
        while self._by_expiry:
            expires, stamp, key = self._by_expiry[0]
            if self._is_stale(expires, stamp, key):
                heappop(self._by_expiry)
                continue
            if expires >= (newcomer.expires_ms or 1 << 63):
                return False
            heappop(self._by_expiry)
            self._drop(key)
            return True
        return False

    def _is_stale(self, expires: int, stamp: int, key: str) -> bool:
        entry = self._entries.get(key)
        return entry is None or (entry.expires_ms, entry.stamp) != (expires, stamp)

    def expire(self, now: float) -> None:
        """Forget what has expired."""
        while self._by_expiry and self._by_expiry[0][0] <= now:
            expires, stamp, key = heappop(self._by_expiry)
            if not self._is_stale(expires, stamp, key):
                self._drop(key)
        if len(self._by_expiry) > 2 * self.max_entries + 64:  # entries written again and again leave stale ones
            self._by_expiry = [x for x in self._by_expiry if not self._is_stale(*x)]
            heapify(self._by_expiry)

    # -- replication --

    def add_peer(self, peer: int) -> None:
        """A peer that is to be told what changes."""
        self._fresh.setdefault(peer, OrderedDict())

    def pending_updates(self, peer: int, most: int) -> list[bytes]:
        """Datagrams with what changed since a peer was last told; lost ones are found by digests."""
        fresh = self._fresh.get(peer)
        if not fresh:
            return []
        out, taken = self._pack(list(fresh), most)
        for key in taken:
            fresh.pop(key, None)
        return out

    def digest(self, reply: bool = False) -> bytes:
        """One datagram that lets a peer see which buckets differ."""
        return MAGIC + bytes([_REPLY if reply else _DIGEST]) + struct.pack(f">{BUCKETS}Q", *self._sums)

    def receive(self, peer: int, data: bytes, now: float) -> list[bytes]:
        """Merge a datagram; the datagrams to answer with.  GarbledDatagramError changes nothing."""
        if len(data) > MAX_DATAGRAM_BYTES or len(data) < 4 or not data.startswith(MAGIC):
            raise MalformedDatagramError("not a datagram of the store")
        kind, body = data[3], data[4:]
        if kind == _ENTRIES:
            for key, entry in _unpack(body, now):
                self._stamp = max(self._stamp, entry.stamp)
                if not _expired(entry, now):
                    self._accept(key, entry, now)
            return []
        if kind not in (_DIGEST, _REPLY) or len(body) != BUCKETS * 8:
            raise MalformedDatagramError("unknown kind or length")
        theirs = struct.unpack(f">{BUCKETS}Q", body)
        differ = {i for i in range(BUCKETS) if theirs[i] != self._sums[i]}
        if not differ:
            return []
        keys = sorted(k for k in self._entries if _bucket(k) in differ)
        at = self._cursor.get(peer, 0) % max(1, len(keys))
        out, taken = self._pack(keys[at:] + keys[:at], BURST)
        self._cursor[peer] = at + len(taken)  # a burst is bounded: the next one goes on from here
        return out if kind == _REPLY else [*out, self.digest(reply=True)]

    def _pack(self, keys: list[str], most: int) -> tuple[list[bytes], list[str]]:
        """As many of the keys as fit into so many datagrams, and which they are."""
        out: list[bytes] = []
        taken: list[str] = []
        room = 0
        for key in keys:
            entry = self._entries.get(key)
            if entry is not None:
                record = _record(key, entry)
                if len(record) > room:
                    if len(out) >= most:
                        break
                    out.append(MAGIC + bytes([_ENTRIES]))
                    room = MAX_DATAGRAM_BYTES - 4
                out[-1] += record
                room -= len(record)
            taken.append(key)
        return out, taken


def _expired(entry: Entry, now: float) -> bool:
    return 0 < entry.expires_ms <= now


def _bucket(key: str) -> int:
    return zlib.crc32(key.encode()) % BUCKETS


def _digest_of(key: str, entry: Entry) -> int:
    record = _record(key, entry)
    return zlib.crc32(record) << 32 | zlib.adler32(record)


def _record(key: str, entry: Entry) -> bytes:
    name = key.encode()
    head = _ENTRY.pack(entry.stamp, entry.node, entry.expires_ms, entry.gone, len(name), len(entry.value))
    return head + name + entry.value


def _unpack(body: bytes, now: float) -> list[tuple[str, Entry]]:
    """The entries of a datagram; all or, where one is garbled, none."""
    found = []
    at = 0
    while at < len(body):
        try:
            stamp, node, expires, gone, key_size, value_size = _ENTRY.unpack_from(body, at)
            at += _ENTRY.size
            name, value = body[at:at + key_size], body[at + key_size:at + key_size + value_size]
            key = name.decode()
        except (struct.error, UnicodeDecodeError) as error:
            raise MalformedDatagramError(str(error)) from None
        at += key_size + value_size
        if at > len(body) or not 0 < key_size <= KEY_MOST or value_size > VALUE_MOST or gone > 1:
            raise MalformedDatagramError("entry out of range")
        if stamp > now + MAX_FUTURE_MS:
            raise MalformedDatagramError("version from the future")
        found.append((key, Entry(stamp, node, expires, bool(gone), value)))
    return found
