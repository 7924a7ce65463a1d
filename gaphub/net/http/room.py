"""Which of the clients' connections make room for newcomers.  Pure: it closes nothing and asks no kernel."""

from __future__ import annotations

from collections.abc import Iterable
from operator import itemgetter

from .session import ClientSession


def who_may_yield(sessions: Iterable[ClientSession], now: float) -> list[ClientSession]:
    """Those that may make room, the first to go first; ``now`` in ms."""
    found = [(rank, session) for session in sessions if (rank := session.may_yield(now)) is not None]
    return [session for _, session in sorted(found, key=itemgetter(0))]
