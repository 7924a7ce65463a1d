"""Owns the messages in which schedulers tell each other their occupancy: the slots that each has out at a worker.

Pure: no I/O, no clock, no randomness.  It never raises on what comes in: what cannot be read is None.

On the wire a message is ``format and kind`` (1 byte), a sequence number (1 byte), then entries of 3 bytes: the
16-bit wire id of a worker (in a CAPACITY message: a kind of worker) and a count.  Every byte is paid for at every
receiver, so that the price of one change grows with the fleet; hence the short ids.  Workers whose wire ids are
the same are each credited with the sum, which makes them look fuller, never freer.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple

FORMAT = 0xD0  # the upper half of the first byte; the lower half is the kind
HEADER_BYTES = 2
ENTRY_BYTES = 3
MESSAGE_BYTES_MAX = 256
ENTRIES_MAX = (MESSAGE_BYTES_MAX - HEADER_BYTES) // ENTRY_BYTES
DELTA_BYTES = HEADER_BYTES + ENTRY_BYTES  # of a DELTA that tells of one worker
COUNT_MAX = 255  # a larger count is told as this


class Kind(IntEnum):
    """What a message tells."""

    DELTA = 0  # the sender's counts at some workers; its other counts stand as told before
    SNAPSHOT = 1  # the counts at all workers where the sender has any
    SNAPSHOT_REQUEST = 2  # a SNAPSHOT whose sender has just started and asks for one in return
    CAPACITY = 3  # the slots of each kind of worker, as the sender has seen idle ones


KINDS = tuple(Kind)
DELTA, SNAPSHOT, SNAPSHOT_REQUEST, CAPACITY = KINDS  # read for each message: faster than attributes of an enum


class Message(NamedTuple):
    """A message that was read."""

    kind: Kind
    sequence: int  # counts the sender's messages, modulo 256; means nothing in a CAPACITY message
    entries: dict[int, int]  # the count of each wire id


def wire_id(worker: int) -> int:
    """The 16 bits of a worker's id that messages carry."""
    return (worker ^ (worker >> 16)) & 0xFFFF


def encode(kind: Kind, sequence: int, entries: Sequence[tuple[int, float]]) -> bytes:
    """One message of at most ``ENTRIES_MAX`` wire ids and counts; counts are rounded and end at ``COUNT_MAX``."""
    data = bytes((FORMAT | kind, sequence & 255))
    for key, n in entries:
        data += bytes((key >> 8, key & 255, max(0, min(COUNT_MAX, round(n)))))
    return data


def decode(data: bytes) -> Message | None:
    """The message that a datagram holds; None if it holds none.  Counts of a wire id named twice are added."""
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
