"""Codec of the all-to-all exchange: messages that hold the sender's slots out at workers.

No I/O, no clock, no randomness.  Decoding raises nothing: a malformed datagram gives None.

On the wire a message is format and kind (1 byte), a sequence number (1 byte), then entries of 3 bytes: the 16-bit
wire id of a worker (in a CAPACITY message: a kind of worker) and a count.  Ids are short because every change goes
to every scheduler, so that the cost of a byte grows with the fleet.  Workers with the same wire id are each
credited with the sum of their counts, so that they look fuller than they are, never freer.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

FORMAT = 0xD0  # upper 4 bits of the first byte; the lower 4 are the kind
HEADER_BYTES = 2
ENTRY_BYTES = 3
MESSAGE_BYTES_MAX = 256
ENTRIES_MAX = (MESSAGE_BYTES_MAX - HEADER_BYTES) // ENTRY_BYTES
DELTA_BYTES = HEADER_BYTES + ENTRY_BYTES  # of a DELTA with one entry
COUNT_MAX = 255  # a larger count is sent as this


class Kind(IntEnum):
    """What a message holds."""

    DELTA = 0  # the sender's counts at some workers; its other counts are unchanged
    SNAPSHOT = 1  # the counts at all workers where the sender has slots out
    SNAPSHOT_REQUEST = 2  # a SNAPSHOT that requests one in return, as of a sender that has just started
    CAPACITY = 3  # the slots of each kind of worker, as idle workers reported them to the sender


KINDS = tuple(Kind)
DELTA, SNAPSHOT, SNAPSHOT_REQUEST, CAPACITY = KINDS  # read for each message; faster than enum attributes


class Message(NamedTuple):
    """A decoded message."""

    kind: Kind
    sequence: int  # numbers the sender's messages, modulo 256; unused in a CAPACITY message
    entries: dict[int, int]  # the count of each wire id


def wire_id(worker: int) -> int:
    """A worker's id folded to the 16 bits that messages carry."""
    return (worker ^ (worker >> 16)) & 0xFFFF


def encode(kind: Kind, sequence: int, entries: Sequence[tuple[int, float]]) -> bytes:
    """Encode at most ``ENTRIES_MAX`` wire ids and counts; counts are rounded and capped at ``COUNT_MAX``."""
    data = bytes((FORMAT | kind, sequence & 255))
    for key, n in entries:
        data += bytes((key >> 8, key & 255, max(0, min(COUNT_MAX, round(n)))))
    return data


def decode(data: bytes) -> Message | None:
    """Decode a datagram; None if it is malformed.  Counts of a repeated wire id are added up."""
    size = len(data)
    if not HEADER_BYTES <= size <= MESSAGE_BYTES_MAX or (size - HEADER_BYTES) % ENTRY_BYTES:
        return None
    number = data[0] ^ FORMAT
    if number >= len(KINDS):
        return None
    entries: dict[int, int] = {}
    for i in range(HEADER_BYTES, size, ENTRY_BYTES):
        key = data[i] << 8 | data[i + 1]
        count = data[i + 2]
        entries[key] = min(COUNT_MAX, entries[key] + count) if key in entries else count
    return Message(KINDS[number], data[1], entries)
