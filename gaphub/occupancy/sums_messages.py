"""Owns the messages of the sharded exchange: a datagram holds a report to the receiver, and sums from the sender.

Pure.  The first byte is the format's version: 0xE1, told apart from the counts of all to all (0xD0 to 0xDF), from
beats (0xC2) and from the store's messages (``gh1``).  What cannot be read raises ``MessageError``, nothing
else.

Head (big endian): version 1 byte; flags 1; sender's epoch 4; number 4; base 4; epoch echoed 4; number echoed 4;
age of the sums 2; how many dead 1; how many counts are reported 1.  Then the dead (2 bytes each, or a digest of
4), the reported counts, and the sums to the end.  An entry is a worker's id (4 bytes) and a count: of one byte,
or of two in all entries of a datagram that has to tell a larger one.
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
COUNT_MAX = 0xFFFF  # a larger count is told as this
AGE_UNIT_MS = 100.0
AGE_MAX_MS = 0xFFFF * AGE_UNIT_MS  # an older one is told as this, and is past every bound
DEAD_NAMED_MAX = 8  # more are told as a digest
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
ENTRY_BYTES = _NARROW_ENTRY.size  # the usual
ENTRY_BYTES_MAX = _WIDE_ENTRY.size


class Fault(Enum):
    """Why a datagram is dropped."""

    UNKNOWN_FORMAT = "of another format or version"
    SIZE = "too short or too long"
    MALFORMED = "does not hold what its head says"


class MessageError(Exception):
    """A datagram that cannot be read."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(fault.value)
        self.fault = fault


@dataclass(frozen=True, slots=True)
class DeadSet:
    """The members that a sender takes to be dead: their names, or a digest where there are many."""

    named: frozenset[int] | None
    digest: int

    @staticmethod
    def of(dead: Set[int]) -> DeadSet:
        """As a message can tell it."""
        if not dead:
            return _NOBODY_DEAD
        digest = zlib.crc32(b"".join(m.to_bytes(2, "big") for m in sorted(dead)))
        return DeadSet(frozenset(dead) if len(dead) <= DEAD_NAMED_MAX else None, digest)

    def includes(self, members: frozenset[int], all_dead: DeadSet) -> bool:
        """Whether some of another's dead are dead here too; ``all_dead`` is all of the other's."""
        if not members or self.digest == all_dead.digest:
            return True
        return self.named is not None and members <= self.named

    def is_covered_by(self, dead: Set[int], all_dead: DeadSet) -> bool:
        """Whether nobody is dead here who is not in ``dead``, which ``all_dead`` tells too."""
        if self.digest == all_dead.digest:
            return True
        return self.named is not None and self.named <= dead


_NOBODY_DEAD = DeadSet(frozenset(), 0)


@dataclass(frozen=True, slots=True)
class Message:
    """One datagram."""

    epoch: int  # the sender's process life; a later one is higher
    number: int  # counts the sender's datagrams to this receiver from 1
    base: int  # the report holds what has changed since this number; 0: all that is not 0
    more: bool  # whether the report goes on in the next datagram
    echo_epoch: int  # of the receiver, as the sender knows it
    echo: int  # the last number taken from the receiver in that epoch; 0: none
    age_ms: float  # of the oldest report that the sums hold; on the wire rounded up
    dead: DeadSet
    report: dict[int, int]  # the sender's own counts
    sums: dict[int, int]  # all others' counts, without the receiver's


def entry_capacity(dead: DeadSet, wide: bool) -> int:
    """How many entries a message has room for."""
    return (MESSAGE_BYTES_MAX - HEADER_BYTES - dead_bytes(dead)) // (ENTRY_BYTES_MAX if wide else ENTRY_BYTES)


def needs_wide_entries(count: int) -> bool:
    """Whether a count needs a datagram of wide entries."""
    return count > _NARROW_MAX


def dead_bytes(dead: DeadSet) -> int:
    """The bytes that the dead take in a message."""
    return 4 if dead.named is None else 2 * len(dead.named)


def _entries(entries: dict[int, int], wide: bool) -> bytes:
    return struct.pack(">" + ("IH" if wide else "IB") * len(entries), *chain.from_iterable(entries.items()))


def encode(message: Message) -> bytes:
    """The bytes of a message; the caller sees to it that they are at most ``MESSAGE_BYTES_MAX``."""
    dead = message.dead
    if dead.named is None:
        dead_count, dead_data = 0, dead.digest.to_bytes(4, "big")
    else:
        dead_count, dead_data = len(dead.named), b"".join(m.to_bytes(2, "big") for m in sorted(dead.named))
    wide = needs_wide_entries(max(chain(message.report.values(), message.sums.values()), default=0))
    flags = ((_FLAG_MORE if message.more else 0) | (_FLAG_DIGEST if dead.named is None else 0)
             | (_FLAG_WIDE if wide else 0))
    age = ceil(min(message.age_ms, AGE_MAX_MS) / AGE_UNIT_MS)
    header = _HEADER.pack(VERSION, flags, message.epoch, message.number, message.base, message.echo_epoch,
                          message.echo, age, dead_count, len(message.report))
    return header + dead_data + _entries(message.report, wide) + _entries(message.sums, wide)


def decode(data: bytes) -> Message:
    """The message that a datagram holds."""
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
