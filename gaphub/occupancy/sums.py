"""Owns what a scheduler believes of the others' slots at each worker, and how old that is.

Pure.  The newest sum wins, whoever aggregated it: a sum says of when it is.  So the sum of an aggregator that
went holds, ageing, until its successor has a whole one, and one that was stopped and wakes replaces nothing.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from typing import NamedTuple

from .aggregator import NEVER


class Sum(NamedTuple):
    """The others' slots at a worker, with all that they had out at ``as_of``."""

    peer_slots: int
    as_of: float  # ms


UNKNOWN_SUM = Sum(0, NEVER)


class Sums:
    """Sums by id."""

    __slots__ = ("_sums",)

    def __init__(self) -> None:
        self._sums: dict[int, tuple[int, float]] = {}  # as in ``Sum``; thousands are taken each second

    def __len__(self) -> int:
        return len(self._sums)

    def update(self, received: Mapping[int, int], as_of: float, listed: Container[int]) -> int:
        """Believe the sums that are newer than what is held, of listed workers; how many are of others."""
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
        """What is believed of a worker."""
        stored = self._sums.get(wire_id)
        return UNKNOWN_SUM if stored is None else Sum(*stored)

    def count_since(self, since: float) -> int:
        """How many sums are not older."""
        return sum(as_of >= since for _, as_of in self._sums.values())

    def remove(self, wire_id: int) -> None:
        """A worker is not listed any more."""
        self._sums.pop(wire_id, None)
