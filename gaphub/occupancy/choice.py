"""Chooses the occupancy exchange of a scheduler by what the settings allow.  No I/O, no clock, no randomness."""

from __future__ import annotations

from .all_to_all import AllToAll
from .exchange import NoExchange, OccupancyExchange
from .messages import DELTA_BYTES, FORMAT, MESSAGE_BYTES_MAX, Kind
from .sized import LARGE_FROM_PEERS, SizedExchange
from .sums_messages import VERSION as SUMS_VERSION

MAX_PRICE = 0.02  # points of the objective that the messages for one request may cost
CHANGES_PER_JOB = 2  # when an attempt is sent and when it ends
FIRST_BYTES = frozenset((SUMS_VERSION, *(FORMAT | kind for kind in Kind)))


def is_exchange_message(data: bytes) -> bool:
    """Whether the first byte is that of an exchange message; other datagrams are of an unknown version."""
    return data[:1] != b"" and data[0] in FIRST_BYTES


def exchange_for(now: float, me: int, others: int, allowed: bool, price: float) -> OccupancyExchange:
    """Create the exchange of scheduler ``me`` among ``others`` other schedulers.

    ``allowed``: whether schedulers may send each other messages; ``price``: points of the objective for one
    message of ``MESSAGE_BYTES_MAX`` per request to one peer.  Each change that a job makes is sent to every peer.
    """
    cost = price * CHANGES_PER_JOB * DELTA_BYTES / MESSAGE_BYTES_MAX
    if allowed and others > 0 and cost * others <= MAX_PRICE:
        return SizedExchange(now, me, others) if others >= LARGE_FROM_PEERS else AllToAll(now, others)
    return NoExchange()
