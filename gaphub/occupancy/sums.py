"""The received sums of the peers' slots out at each worker, each with its as-of time.

No I/O, no clock, no randomness.  The newest sum wins, whichever aggregator sent it.  So the sum of an aggregator
that is down stays in use, ageing, until its successor has a complete one, and an aggregator that was suspended and
resumes cannot replace newer sums.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from typing import NamedTuple

from .aggregator import NEVER


class Sum(NamedTuple):
    """The slots of all peers at a worker, including everything that they had out at ``as_of``."""

    peer_slots: int
    as_of: float  # ms


UNKNOWN_SUM = Sum(0, NEVER)


class Sums:
    """The newest sum for each wire id."""

    __slots__ = ("_sums",)

    def __init__(self) -> None:
        self._sums: dict[int, tuple[int, float]] = {}  # fields of ``Sum``, plain as thousands come per second

    def __len__(self) -> int:
        return len(self._sums)

    def update(self, received: Mapping[int, int], as_of: float, listed: Container[int]) -> int:
        """Store the sums of listed workers that are newer than those held; returns the number not listed."""
        sums, unlisted = self._sums, 0
        for wire_id, peer_slots in received.items():
            stored = sums.get(wire_id)
            if stored is not None:
                if as_of > stored[1]:
                    sums[wire_id] = (peer_slots, as_of)
            elif wire_id in listed:
                sums[wire_id] = (peer_slots, as_of)
            else:
                unlisted += 1
        return unlisted

    def get(self, wire_id: int) -> Sum:
        """The newest sum for a worker."""
        stored = self._sums.get(wire_id)
        return UNKNOWN_SUM if stored is None else Sum(*stored)

    def count_since(self, since: float) -> int:
        """The number of sums as of ``since`` or later."""
        return sum(as_of >= since for _, as_of in self._sums.values())

    def remove(self, wire_id: int) -> None:
        """Remove the sum of a worker that is no longer listed."""
        self._sums.pop(wire_id, None)
