"""Owns what one peer has been told of this scheduler's own counts, and what it must still be told.

Pure.  A report builds on the last one that the peer acknowledged: it holds every count that changed since.  In
one round a report may take several datagrams, each building on the one before; in the next round it starts
again from what was acknowledged, so that nothing lost stays lost.  Whoever took a datagram took those before it in
its round, not those of earlier rounds: so an acknowledgement is one of the round's datagrams up to it alone.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

SENT_KEPT = 128  # datagrams of which the time is kept; an older echo proves nothing
ROUNDS_KEPT = 4  # of which acknowledgements are understood; a later one only makes for a repetition


class PeerReports:
    """The reports to one peer."""

    __slots__ = ("number", "base", "told", "_acknowledged", "_pending", "_sent", "_starts")

    def __init__(self) -> None:
        self.number = 0  # of the last datagram
        self.base = 0  # what the next datagram builds on
        self.told: set[int] = set()  # ids of which the peer may hold a count
        self._acknowledged = 0
        self._pending: dict[int, tuple[int, ...]] = {}  # id: the datagrams that held its present count
        self._starts: deque[int] = deque([1], maxlen=ROUNDS_KEPT)  # the first datagrams of rounds
        self._sent: deque[tuple[int, float]] = deque(maxlen=SENT_KEPT)

    def mark(self, wire_id: int) -> None:
        """The peer must be told the present count of a worker."""
        self._pending.pop(wire_id, None)
        self._pending[wire_id] = ()

    def begin_round(self) -> None:
        """Start again from what the peer acknowledged."""
        self.base = self._acknowledged
        self._starts.append(self.number + 1)

    def unsent(self, most: int) -> list[int]:
        """Up to so many workers that were not told in this round, those that wait longest first."""
        found: list[int] = []
        start = self._starts[-1]
        for wire_id, numbers in self._pending.items():
            if len(found) >= most:
                break
            if not numbers or numbers[-1] < start:
                found.append(wire_id)
        return found

    def sent(self, now: float, wire_ids: Iterable[int]) -> None:
        """A datagram with the number after ``number`` told the counts of these."""
        self.number += 1
        self.base = self.number
        self._sent.append((self.number, now))
        for wire_id in wire_ids:
            self._pending[wire_id] = (*self._pending[wire_id], self.number)[-ROUNDS_KEPT:]
            self.told.add(wire_id)

    def echoed(self, number: int) -> float | None:
        """When the datagram was sent that the peer echoes; None if that is not known."""
        while self._sent and self._sent[0][0] < number:
            self._sent.popleft()
        return self._sent[0][1] if self._sent and self._sent[0][0] == number else None

    def acknowledge(self, number: int) -> bool:
        """The peer has taken all up to a number; False if it lost what it had acknowledged: tell it all."""
        if number < self._acknowledged:
            return False
        if self._acknowledged < number <= self.number:
            self._acknowledged = number
            start = max((s for s in self._starts if s <= number), default=number + 1)
            taken = [w for w, numbers in self._pending.items() if any(start <= n <= number for n in numbers)]
            for wire_id in taken:
                del self._pending[wire_id]
        return True

    def restart(self, wire_ids: Iterable[int]) -> None:
        """Tell all: these are the workers whose counts are not 0 and are told to this peer."""
        self._acknowledged = self.base = 0
        self.told.clear()
        self._pending = dict.fromkeys(wire_ids, ())
