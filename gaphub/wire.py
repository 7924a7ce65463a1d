"""Frames and records of the simulator's binary protocol.  No decisions are made here.

A frame carries one batch: a header, fixed-size records, and a tail that records refer to by offset and length.
"""

from __future__ import annotations

import struct
from typing import Any, NamedTuple

from .interface import ListedWorker

EVENT_SIZE = 56
ACTION_SIZE = 32
HEADER = struct.Struct(">IIId")
REPLY = struct.Struct(">III")
ENTRY = struct.Struct(">BBHfBId")

DETACH, ENDPOINTS, OUTCOME, INBOX, NOTE, GONE, FIRST, PONG, BELL, ATTACH, LEDGER, ASK = range(1, 13)

# The layout of each event, unpacked from the start of its record; the first field is the event code.
EVENTS: dict[int, struct.Struct] = {
    DETACH: struct.Struct(">BI"),
    ENDPOINTS: struct.Struct(">BIBQI"),
    OUTCOME: struct.Struct(">BIQHIHdBIB4f"),
    INBOX: struct.Struct(">BIIII"),
    NOTE: struct.Struct(">BIQBIfH"),
    GONE: struct.Struct(">BIQ"),
    FIRST: struct.Struct(">BIQHdI"),
    PONG: struct.Struct(">BIIHdB4f"),
    BELL: struct.Struct(">BIQ"),
    ATTACH: struct.Struct(">BIQII"),
    LEDGER: struct.Struct(">BIII"),
    ASK: struct.Struct(">BIQHIQddffB"),
}
EVENT_NAMES = {
    DETACH: "DETACH", ENDPOINTS: "ENDPOINTS", OUTCOME: "OUTCOME", INBOX: "INBOX", NOTE: "STATUS_NOTE",
    GONE: "TIMED_OUT_CLIENT", FIRST: "FIRST", PONG: "PONG", BELL: "BELL", ATTACH: "ATTACH",
    LEDGER: "LEDGER", ASK: "ASK",
}
FLAG_HINT, FLAG_RETRY = 1, 2

CALL_OUT = struct.Struct(">BIQId7x")
DECLINE = struct.Struct(">BIQd11x")
LOSE = struct.Struct(">BIQ19x")
RETRACT = struct.Struct(">BIQH17x")
SET_ALARM = struct.Struct(">BIdQ11x")
HEALTH_CHECK = struct.Struct(">BII23x")
FREE_LINKS = struct.Struct(">BII23x")
WRITE_PEER = struct.Struct(">BIHII17x")
PRINT = struct.Struct(">BIII19x")
FAULT = struct.Struct(">BIII19x")
KEEP_INFORMED = struct.Struct(">BIB26x")
RELOAD = struct.Struct(">BI27x")


class WireError(Exception):
    """A malformed frame: what is wrong, in which batch, and at which byte of the frame."""

    def __init__(self, problem: str, batch: int, offset: int) -> None:
        super().__init__(f"{problem} (batch {batch}, offset {offset})")


class Frame(NamedTuple):
    """One batch."""

    number: int
    now: float  # the simulator's clock, ms
    size: int  # number of records
    body: bytes  # the records, then the tail

    def records(self) -> list[tuple[Any, ...]]:
        """The fields of all records, in order; WireError on an unknown event code."""
        found = []
        body = self.body
        events = EVENTS
        for offset in range(0, self.size * EVENT_SIZE, EVENT_SIZE):
            layout = events.get(body[offset])
            if layout is None:
                raise WireError(f"unknown event code {body[offset]}", self.number, HEADER.size + offset)
            found.append(layout.unpack_from(body, offset))
        return found

    def tail(self, start: int, size: int) -> bytes:
        """A field in the tail; WireError if it is out of range."""
        base = self.size * EVENT_SIZE
        if base + start + size > len(self.body):
            raise WireError("tail field out of range", self.number, HEADER.size + base + start)
        return self.body[base + start:base + start + size]


def parse_header(header: bytes) -> tuple[int, int, int, float]:
    """Batch number, length of the rest, record count and clock; WireError if length and count do not match."""
    number, length, count, now = HEADER.unpack(header)
    rest = length - HEADER.size
    if rest < count * EVENT_SIZE:
        raise WireError(f"length {length} is too short for {count} records", number, 4)
    return number, rest, count, now


def parse_entries(data: bytes) -> list[ListedWorker]:
    """The entries of a worker list."""
    return [ListedWorker(*e) for e in ENTRY.iter_unpack(data)]


def reply(number: int, records: list[bytes], tail: bytes) -> bytes:
    """A complete reply frame."""
    body = b"".join(records)
    return REPLY.pack(number, REPLY.size + len(body) + len(tail), len(records)) + body + tail
