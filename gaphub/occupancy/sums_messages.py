"""Codec of the sharded exchange: a datagram holds a report to the receiver and sums that the sender aggregated.

No I/O, no clock, no randomness.  The first byte is the version of the format, 0xE1, which differs from the first
bytes of the all-to-all exchange (0xD0 to 0xDF), heartbeats (0xC2) and the store's messages (``gh1``).  Decoding
raises ``MessageError`` on a malformed datagram, and nothing else.

Header (big endian): version, 1 byte; flags, 1; sender's epoch, 4; sequence number, 4; base, 4; echoed epoch, 4;
echoed number, 4; age of the sums, 2; number of dead members, 1; number of reported counts, 1.  Then come the dead
members (2 bytes each, or a digest of 4 bytes), the reported counts, and to the end the sums.  An entry is a
worker's id (4 bytes) and a count of 1 byte; all counts of a datagram take 2 bytes if one of them needs it.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Set
from dataclasses import dataclass
from enum import Enum
from itertools import chain
from math import ceil

VERSION = 0xE1
MESSAGE_BYTES_MAX = 256
COUNT_MAX = 0xFFFF  # a larger count is sent as this
AGE_UNIT_MS = 100.0
AGE_MAX_MS = 0xFFFF * AGE_UNIT_MS  # a higher age is sent as this; it exceeds every age bound
DEAD_NAMED_MAX = 8  # more dead members are sent as a digest
REPORT_ENTRIES_MAX = 255

_HEADER = struct.Struct(">BBIIIIIHBB")
HEADER_BYTES = _HEADER.size
_FLAG_MORE = 1
_FLAG_DIGEST = 2
_FLAG_WIDE = 4
_KNOWN_FLAGS = _FLAG_MORE | _FLAG_DIGEST | _FLAG_WIDE
_NARROW_ENTRY = struct.Struct(">IB")
_WIDE_ENTRY = struct.Struct(">IH")
_NARROW_MAX = 0xFF
ENTRY_BYTES = _NARROW_ENTRY.size  # of a narrow entry, the usual one
ENTRY_BYTES_MAX = _WIDE_ENTRY.size


class Fault(Enum):
    """Why a datagram cannot be decoded."""

    UNKNOWN_FORMAT = "unknown format or version"
    SIZE = "datagram too short or too long"
    MALFORMED = "content does not match the header"


class MessageError(Exception):
    """A datagram cannot be decoded."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(fault.value)
        self.fault = fault


@dataclass(frozen=True, slots=True)
class DeadSet:
    """The members that a sender considers dead: their numbers, or only a digest if there are many."""

    members: frozenset[int] | None  # None: only the digest is known
    digest: int

    @staticmethod
    def of(dead: Set[int]) -> DeadSet:
        """The set as a message can hold it."""
        if not dead:
            return _NONE_DEAD
        digest = zlib.crc32(b"".join(m.to_bytes(2, "big") for m in sorted(dead)))
        return DeadSet(frozenset(dead) if len(dead) <= DEAD_NAMED_MAX else None, digest)

    def includes(self, members: frozenset[int], all_dead: DeadSet) -> bool:
        """Whether this set is known to hold ``members``, which are some of ``all_dead``."""
        if not members or self.digest == all_dead.digest:
            return True
        return self.members is not None and members <= self.members

    def is_covered_by(self, dead: Set[int], all_dead: DeadSet) -> bool:
        """Whether this set is known to be a subset of ``dead``; ``all_dead`` is ``dead`` as a DeadSet."""
        if self.digest == all_dead.digest:
            return True
        return self.members is not None and self.members <= dead


_NONE_DEAD = DeadSet(frozenset(), 0)


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram."""

    epoch: int  # of the sender's process; a later start has a higher one
    number: int  # sequence number of the sender's datagrams to this receiver, from 1
    base: int  # the report holds the changes since this datagram; 0: all counts above 0
    more: bool  # whether the report continues in the next datagram
    echo_epoch: int  # the receiver's epoch as the sender knows it
    echo: int  # number of the receiver's last datagram of that epoch that was applied; 0: none
    age_ms: float  # of the oldest report that went into the sums; rounded up on the wire
    dead: DeadSet
    report: dict[int, int]  # the sender's own counts
    sums: dict[int, int]  # over all members but the receiver


def entry_capacity(dead: DeadSet, wide: bool) -> int:
    """The number of entries that fit in a message."""
    return (MESSAGE_BYTES_MAX - HEADER_BYTES - dead_bytes(dead)) // (ENTRY_BYTES_MAX if wide else ENTRY_BYTES)


def needs_wide_entries(count: int) -> bool:
    """Whether a count does not fit in a narrow entry."""
    return count > _NARROW_MAX


def dead_bytes(dead: DeadSet) -> int:
    """The size of the dead set in a message."""
    return 4 if dead.members is None else 2 * len(dead.members)


def _entries(entries: dict[int, int], wide: bool) -> bytes:
    return struct.pack(">" + ("IH" if wide else "IB") * len(entries), *chain.from_iterable(entries.items()))


def encode(message: Message) -> bytes:
    """Encode a message; the caller ensures that it fits in ``MESSAGE_BYTES_MAX``."""
    dead = message.dead
    if dead.members is None:
        dead_count, dead_data = 0, dead.digest.to_bytes(4, "big")
    else:
        dead_count, dead_data = len(dead.members), b"".join(m.to_bytes(2, "big") for m in sorted(dead.members))
    wide = needs_wide_entries(max(chain(message.report.values(), message.sums.values()), default=0))
    flags = ((_FLAG_MORE if message.more else 0) | (_FLAG_DIGEST if dead.members is None else 0)
             | (_FLAG_WIDE if wide else 0))
    age = ceil(min(message.age_ms, AGE_MAX_MS) / AGE_UNIT_MS)
    header = _HEADER.pack(VERSION, flags, message.epoch, message.number, message.base, message.echo_epoch,
                          message.echo, age, dead_count, len(message.report))
    return header + dead_data + _entries(message.report, wide) + _entries(message.sums, wide)


def decode(data: bytes) -> Message:
    """Decode a datagram; MessageError if it is malformed."""
    if not data or data[0] != VERSION:
        raise MessageError(Fault.UNKNOWN_FORMAT)
    if not HEADER_BYTES <= len(data) <= MESSAGE_BYTES_MAX:
        raise MessageError(Fault.SIZE)
    _, flags, epoch, number, base, echo_epoch, echo, age, dead_count, report_count = _HEADER.unpack_from(data)
    if flags & ~_KNOWN_FLAGS or number == 0 or base >= number or (flags & _FLAG_DIGEST and dead_count):
        raise MessageError(Fault.MALFORMED)
    offset = HEADER_BYTES + (4 if flags & _FLAG_DIGEST else 2 * dead_count)
    if offset > len(data):
        raise MessageError(Fault.MALFORMED)
    dead_data = data[HEADER_BYTES:offset]
    if flags & _FLAG_DIGEST:
        dead = DeadSet(None, int.from_bytes(dead_data, "big"))
    else:
        dead = DeadSet.of({int.from_bytes(dead_data[i:i + 2], "big") for i in range(0, len(dead_data), 2)})
    entry = _WIDE_ENTRY if flags & _FLAG_WIDE else _NARROW_ENTRY
    end = offset + report_count * entry.size
    if end > len(data) or (len(data) - end) % entry.size:
        raise MessageError(Fault.MALFORMED)
    report: dict[int, int] = dict(entry.iter_unpack(data[offset:end]))
    sums: dict[int, int] = dict(entry.iter_unpack(data[end:]))
    if len(report) != report_count:
        raise MessageError(Fault.MALFORMED)
    return Message(epoch, number, base, bool(flags & _FLAG_MORE), echo_epoch, echo, age * AGE_UNIT_MS, dead,
                   report, sums)
