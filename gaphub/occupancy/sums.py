"""Owns what a scheduler believes of the others' slots at each worker, and how old that is.

Pure.  The newest sum wins, whoever aggregated it: a sum says of when it is.  So the sum of an aggregator that
went holds, ageing, until its successor has a whole one, and one that was stopped and wakes replaces nothing.
"""

from __future__ import annotations

from typing import NamedTuple

from .aggregator import NEVER


class Sum(NamedTuple):
    """The others' slots at a worker, with all that they had out at ``as_of``."""

    others: int
    as_of: float  # ms


NOTHING = Sum(0, NEVER)


class Sums:
    """Sums by id."""

    __slots__ = ("_sums",)

    def __init__(self) -> None:
        self._sums: dict[int, Sum] = {}

    def __len__(self) -> int:
        return len(self._sums)

    def take(self, wire_id: int, others: int, as_of: float) -> None:
        """Believe a sum that is newer than what is held; the same once more changes nothing."""
        held = self._sums.get(wire_id)
        if held is None or as_of > held.as_of:
            self._sums[wire_id] = Sum(others, as_of)

    def get(self, wire_id: int) -> Sum:
        """What is believed of a worker."""
        return self._sums.get(wire_id, NOTHING)

    def forget(self, wire_id: int) -> None:
        """A worker is not listed any more."""
        self._sums.pop(wire_id, None)
