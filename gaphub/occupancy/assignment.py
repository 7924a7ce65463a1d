"""Which scheduler aggregates the counts of which worker: rendezvous hashing over the live members.

No I/O, no clock, no randomness.  Every worker has exactly one live owner at any time.  A member that dies or
returns moves only the workers that it owned, at a cost in proportion to their number; adding a worker costs one
score per member.  Scores depend on ids alone, so that they are equal in every process and release.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

_BITS_64 = (1 << 64) - 1
_BITS_60 = (1 << 60) - 1
_EMPTY: frozenset[int] = frozenset()


class Move(NamedTuple):
    """A worker whose owner changed."""

    worker: int
    old_owner: int
    new_owner: int


def _mix64(number: int) -> int:
    """Hash a number to 64 bits (the finalizer of splitmix64); odd, so that multiplying by it loses no bit."""
    number = (number + 0x9E3779B97F4A7C15) & _BITS_64
    number = ((number ^ (number >> 30)) * 0xBF58476D1CE4E5B9) & _BITS_64
    number = ((number ^ (number >> 27)) * 0x94D049BB133111EB) & _BITS_64
    return (number ^ (number >> 31)) | 1


class Assignment:
    """The owners of workers among members, some of which are considered dead."""

    __slots__ = ("members", "dead", "owner", "shards", "_factors", "_dead_above", "_displaced")

    def __init__(self, members: Iterable[int]) -> None:
        """``members``: all that may ever be alive, at least one; at first all are considered alive."""
        self.members = sorted(set(members))
        if not self.members:
            raise ValueError("an assignment needs at least one member")
        self.dead: set[int] = set()
        self.owner: dict[int, int] = {}
        self.shards: dict[int, set[int]] = {m: set() for m in self.members}
        self._factors = {m: _mix64(~m & _BITS_64) for m in self.members}
        self._dead_above: dict[int, frozenset[int]] = {}  # by worker: dead members that outscore its owner
        self._displaced: dict[int, set[int]] = {m: set() for m in self.members}  # ``_dead_above`` by dead member

    def score(self, worker: int, member: int) -> tuple[int, int]:
        """The score of a member for a worker; the live member with the highest score owns the worker."""
        return _mix64(worker) * self._factors[member] & _BITS_60, member

    def dead_above(self, worker: int) -> frozenset[int]:
        """The dead members that would take a worker from its present owner if they were alive."""
        return self._dead_above.get(worker, _EMPTY)

    def add(self, worker: int) -> int:
        """Add a worker, if it is new, and return its owner."""
        if worker not in self.owner:
            self._assign(worker)
        return self.owner[worker]

    def remove(self, worker: int) -> None:
        """Remove a worker."""
        owner = self.owner.pop(worker, None)
        if owner is not None:
            self.shards[owner].discard(worker)
            self._record_dead_above(worker, _EMPTY)

    def mark_dead(self, member: int) -> list[Move]:
        """Mark a member as dead: each of its workers moves to the live member with the next highest score."""
        if member in self.dead:
            return []
        if len(self.dead) + 1 == len(self.members):
            raise ValueError("no member would be alive")
        self.dead.add(member)
        moves = []
        for worker in sorted(self.shards[member]):
            self.shards[member].discard(worker)
            self._assign(worker)
            moves.append(Move(worker, member, self.owner[worker]))
        return moves

    def mark_alive(self, member: int) -> list[Move]:
        """Mark a member as alive again: the workers for which it has the highest score return to it."""
        if member not in self.dead:
            return []
        self.dead.discard(member)
        moves = []
        for worker in sorted(self._displaced[member]):
            old_owner = self.owner[worker]
            self.shards[old_owner].discard(worker)
            own_score = self.score(worker, member)
            self._set_owner(worker, member, frozenset(d for d in self._dead_above[worker]
                                                      if d != member and self.score(worker, d) > own_score))
            moves.append(Move(worker, old_owner, member))
        return moves

    def _assign(self, worker: int) -> None:
        """Compute the owner of a worker among all members."""
        mixed, dead = _mix64(worker), self.dead
        scores = [mixed * factor & _BITS_60 for factor in self._factors.values()]
        if not dead:
            # The last of the members with the highest score, as ``score`` breaks ties by member.
            index = len(scores) - 1 - scores[::-1].index(max(scores))
            self._set_owner(worker, self.members[index], _EMPTY)
            return
        best_score, owner = max((s, m) for s, m in zip(scores, self.members, strict=True) if m not in dead)
        dead_above = frozenset(m for s, m in zip(scores, self.members, strict=True)
                               if m in dead and (s, m) > (best_score, owner))
        self._set_owner(worker, owner, dead_above)

    def _set_owner(self, worker: int, owner: int, dead_above: frozenset[int]) -> None:
        self.owner[worker] = owner
        self.shards[owner].add(worker)
        self._record_dead_above(worker, dead_above)

    def _record_dead_above(self, worker: int, dead_above: frozenset[int]) -> None:
        """Record the dead members to which a worker may return."""
        for member in self._dead_above.pop(worker, _EMPTY):
            self._displaced[member].discard(worker)
        for member in dead_above:
            self._displaced[member].add(worker)
        if dead_above:
            self._dead_above[worker] = dead_above
