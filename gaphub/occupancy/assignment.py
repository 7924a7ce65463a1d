"""Owns which scheduler aggregates the counts of which worker: rendezvous hashing over the live members.

Pure.  Every worker always has exactly one live owner.  A member that goes or returns moves only the workers
that it owned, and costs as much work as these; a worker that is listed costs one score for each member.  The
scores are the same in every process and release: they depend on ids alone.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

_BITS_64 = (1 << 64) - 1
_BITS_60 = (1 << 60) - 1
_NONE: frozenset[int] = frozenset()


class Move(NamedTuple):
    """A worker whose owner has changed."""

    worker: int
    before: int
    after: int


def _mixed(number: int) -> int:
    """64 bits that depend on all bits of a number (the finalizer of splitmix64); odd, so that no bit is lost."""
    number = (number + 0x9E3779B97F4A7C15) & _BITS_64
    number = ((number ^ (number >> 30)) * 0xBF58476D1CE4E5B9) & _BITS_64
    number = ((number ^ (number >> 27)) * 0x94D049BB133111EB) & _BITS_64
    return (number ^ (number >> 31)) | 1


class Assignment:
    """Owners of workers among members, of whom some are dead for now."""

    __slots__ = ("members", "dead", "owner", "shards", "_factors", "_above", "_parked")

    def __init__(self, members: Iterable[int]) -> None:
        """``members``: all that may ever live, at least one; all are taken to live."""
        self.members = sorted(set(members))
        if not self.members:
            raise ValueError("no members")
        self.dead: set[int] = set()
        self.owner: dict[int, int] = {}
        self.shards: dict[int, set[int]] = {m: set() for m in self.members}
        self._factors = {m: _mixed(~m & _BITS_64) for m in self.members}
        self._above: dict[int, frozenset[int]] = {}  # dead members that come before the owner, where there are any
        self._parked: dict[int, set[int]] = {m: set() for m in self.members}  # the same, by dead member

    def score(self, worker: int, member: int) -> tuple[int, int]:
        """How much a worker is drawn to a member; the live one with the highest score owns it."""
        return _mixed(worker) * self._factors[member] & _BITS_60, member

    def above(self, worker: int) -> frozenset[int]:
        """The dead members that would own a worker rather than its owner does, if they lived."""
        return self._above.get(worker, _NONE)

    def add(self, worker: int) -> int:
        """Follow a worker; its owner."""
        if worker not in self.owner:
            self._place(worker)
        return self.owner[worker]

    def remove(self, worker: int) -> None:
        """Forget a worker."""
        owner = self.owner.pop(worker, None)
        if owner is not None:
            self.shards[owner].discard(worker)
            self._park(worker, _NONE)

    def down(self, member: int) -> list[Move]:
        """A member is dead: its workers go to those next in line."""
        if member in self.dead:
            return []
        if len(self.dead) + 1 == len(self.members):
            raise ValueError("no member would live")
        self.dead.add(member)
        moves = []
        for worker in sorted(self.shards[member]):
            self.shards[member].discard(worker)
            self._place(worker)
            moves.append(Move(worker, member, self.owner[worker]))
        return moves

    def up(self, member: int) -> list[Move]:
        """A member lives again: what is its own returns to it."""
        if member not in self.dead:
            return []
        self.dead.discard(member)
        moves = []
        for worker in sorted(self._parked[member]):
            before = self.owner[worker]
            self.shards[before].discard(worker)
            own = self.score(worker, member)
            self._own(worker, member, frozenset(d for d in self._above[worker]
                                                if d != member and self.score(worker, d) > own))
            moves.append(Move(worker, before, member))
        return moves

    def _place(self, worker: int) -> None:
        """Find the owner of a worker among all members."""
        mixed, dead = _mixed(worker), self.dead
        scores = [mixed * factor & _BITS_60 for factor in self._factors.values()]
        if not dead:
            # Of members with the same score the last one, as ``score`` has it.
            place = len(scores) - 1 - scores[::-1].index(max(scores))
            self._own(worker, self.members[place], _NONE)
            return
        best, owner = max((s, m) for s, m in zip(scores, self.members, strict=True) if m not in dead)
        above = frozenset(m for s, m in zip(scores, self.members, strict=True)
                          if m in dead and (s, m) > (best, owner))
        self._own(worker, owner, above)

    def _own(self, worker: int, owner: int, above: frozenset[int]) -> None:
        self.owner[worker] = owner
        self.shards[owner].add(worker)
        self._park(worker, above)

    def _park(self, worker: int, above: frozenset[int]) -> None:
        """Note which dead members a worker returns to when they live."""
        for member in self._above.pop(worker, _NONE):
            self._parked[member].discard(worker)
        for member in above:
            self._parked[member].add(worker)
        if above:
            self._above[worker] = above
