"""Replicated last-writer-wins store of configuration and state entries.

It holds versioned entries and produces the datagrams that bring a peer up to date; it opens no sockets and reads
no clock.  Replication is asynchronous and may lose updates, so the store's content never proves that a job did not
run elsewhere.
"""

from __future__ import annotations

import struct
import zlib
from collections import OrderedDict
from collections.abc import Iterator
from heapq import heapify, heappop, heappush
from typing import NamedTuple

MAGIC = b"gh1"
CONFIG_PREFIX = "config/"  # of the keys of configuration entries
MAX_DATAGRAM_BYTES = 256  # longer datagrams are neither sent nor accepted
MAX_KEY_BYTES = 96
MAX_VALUE_BYTES = 100
BUCKETS = 30  # of a digest, with eight bytes each
MAX_PENDING_UPDATES = 256  # per peer; updates dropped beyond it are found by comparing digests
MAX_FUTURE_MS = 600_000.0  # a version further in the future is rejected, as it would win over all later writes
MAX_REPLY_DATAGRAMS = 8  # in answer to one digest
TOMBSTONE_MS = 3_600_000.0

_ENTRY = struct.Struct(">QHQBBB")
_DIGEST, _ENTRIES, _REPLY = 1, 2, 3


class Entry(NamedTuple):
    """One versioned value; ``expires_ms`` 0: never."""

    stamp: int
    node: int
    expires_ms: int
    deleted: bool
    value: bytes

    @property
    def version(self) -> tuple[int, int, bool, bytes]:
        """The sort key by which the last writer wins; a total order, so merging in any order converges."""
        return self.stamp, self.node, self.deleted, self.value


class MalformedDatagramError(ValueError):
    """The datagram is not a valid datagram of the store."""


class Store:
    """The entries of one daemon.  All times are passed in, in Unix milliseconds."""

    def __init__(self, node: int, max_entries: int = 20_000) -> None:
        self.node = node
        self.max_entries = max_entries
        self.config_changes = 0  # how often an entry of the configuration was written, here or by a peer
        self._entries: dict[str, Entry] = {}
        self._bucket_hashes = [0] * BUCKETS
        self._last_stamp = 0
        self._pending: dict[int, OrderedDict[str, None]] = {}
        self._reply_position: dict[int, int] = {}
        self._expiry_heap: list[tuple[int, int, str]] = []

    def __len__(self) -> int:
        return len(self._entries)

    # -- reading and writing --

    def get(self, key: str, now: float) -> bytes | None:
        """The value of a key; None if there is none or it has expired."""
        entry = self._entries.get(key)
        if entry is None or entry.deleted or _expired(entry, now):
            return None
        return entry.value

    def items(self, prefix: str, now: float) -> Iterator[tuple[str, bytes]]:
        """The live entries whose keys start with ``prefix``."""
        for key, entry in sorted(self._entries.items()):
            if key.startswith(prefix) and not entry.deleted and not _expired(entry, now):
                yield key, entry.value

    def put(self, key: str, value: bytes, now: float, ttl_ms: float = 0.0) -> bool:
        """Write a value; False if the key or value is too long or the store is full."""
        return self._write(key, value, now, int(now + ttl_ms) if ttl_ms > 0 else 0, False)

    def delete(self, key: str, now: float) -> None:
        """Write a tombstone, so that a peer does not bring back an older value."""
        if key in self._entries:
            self._write(key, b"", now, int(now + TOMBSTONE_MS), True)

    def _write(self, key: str, value: bytes, now: float, expires: int, deleted: bool) -> bool:
        if not key or len(key.encode()) > MAX_KEY_BYTES or len(value) > MAX_VALUE_BYTES:
            return False
        self._last_stamp = max(self._last_stamp + 1, int(now))
        self.expire(now)
        return self._merge(key, Entry(self._last_stamp, self.node, expires, deleted, value), now)

    def _merge(self, key: str, entry: Entry, now: float) -> bool:
        known = self._entries.get(key)
        if known is not None and known.version >= entry.version:
            return False
        if known is None and len(self._entries) >= self.max_entries and not self._make_room(entry, now):
            return False
        self._remove(key)
        self._entries[key] = entry
        self.config_changes += key.startswith(CONFIG_PREFIX)
        if entry.expires_ms:
            heappush(self._expiry_heap, (entry.expires_ms, entry.stamp, key))
        self._bucket_hashes[_bucket(key)] ^= _entry_hash(key, entry)
        for pending in self._pending.values():
            pending[key] = None
            pending.move_to_end(key)
            if len(pending) > MAX_PENDING_UPDATES:
                pending.popitem(last=False)
        return True

    def _remove(self, key: str) -> None:
        entry = self._entries.pop(key, None)
        if entry is not None:
            self._bucket_hashes[_bucket(key)] ^= _entry_hash(key, entry)

    def _make_room(self, new_entry: Entry, now: float) -> bool:
        """If the store is full, evict the entry that expires first, unless the new entry would expire before it.

        A heap finds that entry: with a scan on each write, the cost of 100,000 claims was quadratic in the size of
        the store.
        """
        self.expire(now)
        if len(self._entries) < self.max_entries:
            return True
        while self._expiry_heap:
            expires, stamp, key = self._expiry_heap[0]
            if self._is_outdated(expires, stamp, key):
                heappop(self._expiry_heap)
                continue
            if expires >= (new_entry.expires_ms or 1 << 63):
                return False
            heappop(self._expiry_heap)
            self._remove(key)
            return True
        return False

    def _is_outdated(self, expires: int, stamp: int, key: str) -> bool:
        entry = self._entries.get(key)
        return entry is None or (entry.expires_ms, entry.stamp) != (expires, stamp)

    def expire(self, now: float) -> None:
        """Remove expired entries."""
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            expires, stamp, key = heappop(self._expiry_heap)
            if not self._is_outdated(expires, stamp, key):
                self._remove(key)
        if len(self._expiry_heap) > 2 * self.max_entries + 64:  # rewritten entries leave stale items
            self._expiry_heap = [item for item in self._expiry_heap if not self._is_outdated(*item)]
            heapify(self._expiry_heap)

    # -- replication --

    def add_peer(self, peer: int) -> None:
        """Collect updates for a peer from now on."""
        self._pending.setdefault(peer, OrderedDict())

    def pending_updates(self, peer: int, max_datagrams: int) -> list[bytes]:
        """Up to ``max_datagrams`` datagrams with changes not yet sent to a peer; digests repair lost ones."""
        pending = self._pending.get(peer)
        if not pending:
            return []
        datagrams, handled = self._pack(list(pending), max_datagrams)
        for key in handled:
            pending.pop(key, None)
        return datagrams

    def digest(self, reply: bool = False) -> bytes:
        """A datagram with a hash of each bucket, from which a peer sees which buckets differ."""
        return MAGIC + bytes([_REPLY if reply else _DIGEST]) + struct.pack(f">{BUCKETS}Q", *self._bucket_hashes)

    def receive(self, peer: int, data: bytes, now: float) -> list[bytes]:
        """Merge a datagram; the datagrams to answer with.  A MalformedDatagramError changes no entry."""
        if len(data) > MAX_DATAGRAM_BYTES or len(data) < 4 or not data.startswith(MAGIC):
            raise MalformedDatagramError("not a store datagram: wrong length or prefix")
        kind, body = data[3], data[4:]
        if kind == _ENTRIES:
            for key, entry in _unpack(body, now):
                self._last_stamp = max(self._last_stamp, entry.stamp)
                if not _expired(entry, now):
                    self._merge(key, entry, now)
            return []
        if kind not in (_DIGEST, _REPLY) or len(body) != BUCKETS * 8:
            raise MalformedDatagramError("unknown datagram kind or wrong length of a digest")
        peer_hashes = struct.unpack(f">{BUCKETS}Q", body)
        differing = {i for i in range(BUCKETS) if peer_hashes[i] != self._bucket_hashes[i]}
        if not differing:
            return []
        keys = sorted(key for key in self._entries if _bucket(key) in differing)
        position = self._reply_position.get(peer, 0) % max(1, len(keys))
        datagrams, handled = self._pack(keys[position:] + keys[:position], MAX_REPLY_DATAGRAMS)
        self._reply_position[peer] = position + len(handled)  # replies are bounded: the next one continues here
        return datagrams if kind == _REPLY else [*datagrams, self.digest(reply=True)]

    def _pack(self, keys: list[str], max_datagrams: int) -> tuple[list[bytes], list[str]]:
        """Pack entries into at most ``max_datagrams``; the datagrams, and the leading keys that were handled."""
        datagrams: list[bytes] = []
        handled: list[str] = []
        room = 0
        for key in keys:
            entry = self._entries.get(key)
            if entry is not None:
                record = _record(key, entry)
                if len(record) > room:
                    if len(datagrams) >= max_datagrams:
                        break
                    datagrams.append(MAGIC + bytes([_ENTRIES]))
                    room = MAX_DATAGRAM_BYTES - 4
                datagrams[-1] += record
                room -= len(record)
            handled.append(key)
        return datagrams, handled


def _expired(entry: Entry, now: float) -> bool:
    return 0 < entry.expires_ms <= now


def _bucket(key: str) -> int:
    return zlib.crc32(key.encode()) % BUCKETS


def _entry_hash(key: str, entry: Entry) -> int:
    record = _record(key, entry)
    return zlib.crc32(record) << 32 | zlib.adler32(record)


def _record(key: str, entry: Entry) -> bytes:
    key_bytes = key.encode()
    header = _ENTRY.pack(entry.stamp, entry.node, entry.expires_ms, entry.deleted, len(key_bytes),
                         len(entry.value))
    return header + key_bytes + entry.value


def _unpack(body: bytes, now: float) -> list[tuple[str, Entry]]:
    """All entries of a datagram; MalformedDatagramError if one of them is invalid."""
    entries = []
    offset = 0
    while offset < len(body):
        try:
            stamp, node, expires, deleted, key_size, value_size = _ENTRY.unpack_from(body, offset)
            offset += _ENTRY.size
            key_bytes, value = (body[offset:offset + key_size],
                                body[offset + key_size:offset + key_size + value_size])
            key = key_bytes.decode()
        except (struct.error, UnicodeDecodeError) as error:
            raise MalformedDatagramError(str(error)) from None
        offset += key_size + value_size
        if offset > len(body) or not 0 < key_size <= MAX_KEY_BYTES or value_size > MAX_VALUE_BYTES or deleted > 1:
            raise MalformedDatagramError("entry with an invalid length or tombstone flag")
        if stamp > now + MAX_FUTURE_MS:
            raise MalformedDatagramError("entry with a version too far in the future")
        entries.append((key, Entry(stamp, node, expires, bool(deleted), value)))
    return entries
