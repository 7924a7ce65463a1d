"""Owns the choice of the way by which a scheduler tells its occupancy, by what the settings allow.  Pure."""

from __future__ import annotations

from .all_to_all import AllToAll
from .exchange import NoExchange, OccupancyExchange
from .messages import DELTA_BYTES, FORMAT, MESSAGE_BYTES_MAX, Kind
from .sized import LARGE_FROM_PEERS, SizedExchange
from .sums_messages import VERSION as SUMS_VERSION

MAX_PRICE = 0.02  # points of the goal that telling may cost
CHANGES_PER_JOB = 2  # its send and its end
FIRST_BYTES = frozenset((SUMS_VERSION, *(FORMAT | kind for kind in Kind)))


def is_exchange_message(data: bytes) -> bool:
    """Whether a datagram begins as one of an exchange does; others are of a version that is not known here."""
    return data[:1] != b"" and data[0] in FIRST_BYTES


def exchange_for(now: float, me: int, others: int, allowed: bool, price: float) -> OccupancyExchange:
    """The way to use among so many other schedulers; ``me``: this one's number among them.

    ``allowed``: whether they may send each other messages; ``price``: points of the goal for a message of
    ``MESSAGE_BYTES_MAX`` to one peer for each request.  Each of a job's changes is told to every other scheduler.
    """
    cost = price * CHANGES_PER_JOB * DELTA_BYTES / MESSAGE_BYTES_MAX
    if allowed and others > 0 and cost * others <= MAX_PRICE:
        return SizedExchange(now, me, others) if others >= LARGE_FROM_PEERS else AllToAll(now, others)
    return NoExchange()
