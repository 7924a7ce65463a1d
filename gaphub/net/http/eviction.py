"""Which client connections are evicted for new ones. Pure: closes nothing and makes no system call."""

from __future__ import annotations

from collections.abc import Iterable
from operator import itemgetter

from .session import ClientSession


def eviction_order(sessions: Iterable[ClientSession], now: float) -> list[ClientSession]:
    """The sessions that may be evicted, in the order of eviction; ``now`` in ms."""
    ranked = [(rank, session) for session in sessions if (rank := session.eviction_rank(now)) is not None]
    return [session for _, session in sorted(ranked, key=itemgetter(0))]
