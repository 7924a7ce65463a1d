"""Owns what one peer has been told of this scheduler's own counts, and what it must still be told.

Pure.  A report builds on the last one that the peer acknowledged: it holds every count that changed since.  In
one round a report may take several datagrams, each building on the one before; in the next round it starts
again from what was acknowledged, so that nothing lost stays lost.  Whoever took a datagram took those before it in
its round, not those of earlier rounds: so an acknowledgement is one of the round's datagrams up to it alone.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

SEND_TIMES_KEPT = 128  # datagrams of which the time is kept; an older echo proves nothing
ROUNDS_KEPT = 4  # of which acknowledgements are understood; a later one only makes for a repetition


class PeerReports:
    """The reports to one peer."""

    __slots__ = ("number", "base", "sent_ids", "_acknowledged", "_pending", "_send_times", "_round_starts")

    def __init__(self) -> None:
        self.number = 0  # of the last datagram
        self.base = 0  # what the next datagram builds on
        self.sent_ids: set[int] = set()  # ids of which the peer may hold a count
        self._acknowledged = 0
        self._pending: dict[int, tuple[int, ...]] = {}  # id: the datagrams that held its present count
        self._round_starts: deque[int] = deque([1], maxlen=ROUNDS_KEPT)  # the first datagrams of rounds
        self._send_times: deque[tuple[int, float]] = deque(maxlen=SEND_TIMES_KEPT)

    def mark(self, wire_id: int) -> None:
        """The peer must be told the present count of a worker."""
        self._pending.pop(wire_id, None)
        self._pending[wire_id] = ()

    def begin_round(self) -> None:
        """Start again from what the peer acknowledged."""
        self.base = self._acknowledged
        self._round_starts.append(self.number + 1)

    def unsent(self, limit: int) -> list[int]:
        """Up to so many workers that were not told in this round, those that wait longest first."""
        found: list[int] = []
        start = self._round_starts[-1]
        for wire_id, numbers in self._pending.items():
            if len(found) >= limit:
                break
            if not numbers or numbers[-1] < start:
                found.append(wire_id)
        return found

    def record_sent(self, now: float, wire_ids: Iterable[int]) -> None:
        """A datagram with the number after ``number`` told the counts of these."""
        self.number += 1
        self.base = self.number
        self._send_times.append((self.number, now))
        for wire_id in wire_ids:
            self._pending[wire_id] = (*self._pending[wire_id], self.number)[-ROUNDS_KEPT:]
            self.sent_ids.add(wire_id)

    def sent_time(self, number: int) -> float | None:
        """When the datagram was sent that the peer echoes; None if that is not known."""
        while self._send_times and self._send_times[0][0] < number:
            self._send_times.popleft()
        return self._send_times[0][1] if self._send_times and self._send_times[0][0] == number else None

    def acknowledge(self, number: int) -> bool:
        """The peer has taken all up to a number; False if it lost what it had acknowledged: tell it all."""
        if number < self._acknowledged:
            return False
        if self._acknowledged < number <= self.number:
            self._acknowledged = number
            start = max((s for s in self._round_starts if s <= number), default=number + 1)
            acknowledged = [w for w, numbers in self._pending.items()
                            if any(start <= n <= number for n in numbers)]
            for wire_id in acknowledged:
                del self._pending[wire_id]
        return True

    def reset(self, wire_ids: Iterable[int]) -> None:
        """Tell all: these are the workers whose counts are not 0 and are told to this peer."""
        self._acknowledged = self.base = 0
        self.sent_ids.clear()
        self._pending = dict.fromkeys(wire_ids, ())
