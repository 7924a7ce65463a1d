"""Which of the clients' connections make room for newcomers.  Pure: it closes nothing and asks no kernel."""

from __future__ import annotations

from collections.abc import Iterable

from . import tunables
from .session import ClientSession, Place


def who_may_yield(sessions: Iterable[ClientSession], now: float, wanted: int) -> list[ClientSession]:
    """Those that may make room, the first to go first; ``now`` in ms.

    A client that has carried a job, or goes on writing its first, goes only where the connections of others are
    too few for those who wait.  Guards against crowds: as all of them are to go soon, good clients need not.
    """
    found: list[tuple[Place, float, int, ClientSession]] = []
    others = 0
    for number, session in enumerate(sessions):
        if (rank := session.rank(now)) is None:
            continue
        place, since = rank
        others += place < Place.GOOD
        if now - since >= tunables.YIELD_MS[place]:
            found.append((place, since, number, session))
    found.sort()
    bad = [session for place, _, _, session in found if place < Place.GOOD]
    good = [session for place, _, _, session in found if place >= Place.GOOD]
    return bad + good[:max(0, wanted - others)]
