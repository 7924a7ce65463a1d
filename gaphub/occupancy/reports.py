"""The reports of this scheduler's own counts to one peer: what was sent, acknowledged and is still pending.

No I/O, no clock, no randomness.  A report builds on the last datagram that the peer acknowledged and holds every
count that changed since.  Within a round it may take several datagrams, each building on the one before; the next
round starts again from what was acknowledged, so that lost counts are repeated.  A peer that applied a datagram
also applied the earlier ones of the same round, but not necessarily those of earlier rounds: an acknowledgement
covers only the datagrams of its round up to its number.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

SEND_TIMES_KEPT = 128  # datagrams whose send times are kept; an older echo has no known time
ROUNDS_KEPT = 4  # rounds whose acknowledgements are understood; others only cause repetitions


class PeerReports:
    """The state of the reports to one peer."""

    __slots__ = ("number", "base", "sent_ids", "_acknowledged", "_pending", "_send_times", "_round_starts")

    def __init__(self) -> None:
        self.number = 0  # sequence number of the last datagram
        self.base = 0  # number of the datagram that the next one builds on; 0: none
        self.sent_ids: set[int] = set()  # ids for which the peer may hold a count
        self._acknowledged = 0
        self._pending: dict[int, tuple[int, ...]] = {}  # by id: datagrams with its present count
        self._round_starts: deque[int] = deque([1], maxlen=ROUNDS_KEPT)  # first datagram of each round
        self._send_times: deque[tuple[int, float]] = deque(maxlen=SEND_TIMES_KEPT)

    def mark(self, wire_id: int) -> None:
        """Note that the present count of a worker must be reported."""
        self._pending.pop(wire_id, None)
        self._pending[wire_id] = ()

    def begin_round(self) -> None:
        """Begin a round, which builds on what the peer acknowledged."""
        self.base = self._acknowledged
        self._round_starts.append(self.number + 1)

    def unsent(self, limit: int) -> list[int]:
        """Up to ``limit`` workers whose pending counts this round has not sent, those pending longest first."""
        found: list[int] = []
        start = self._round_starts[-1]
        for wire_id, numbers in self._pending.items():
            if len(found) >= limit:
                break
            if not numbers or numbers[-1] < start:
                found.append(wire_id)
        return found

    def record_sent(self, now: float, wire_ids: Iterable[int]) -> None:
        """Record that the next datagram, numbered ``number + 1``, was sent with the counts of these workers."""
        self.number += 1
        self.base = self.number
        self._send_times.append((self.number, now))
        for wire_id in wire_ids:
            self._pending[wire_id] = (*self._pending[wire_id], self.number)[-ROUNDS_KEPT:]
            self.sent_ids.add(wire_id)

    def sent_time(self, number: int) -> float | None:
        """The time at which the datagram that the peer echoes was sent; None if unknown."""
        while self._send_times and self._send_times[0][0] < number:
            self._send_times.popleft()
        return self._send_times[0][1] if self._send_times and self._send_times[0][0] == number else None

    def acknowledge(self, number: int) -> bool:
        """Record that the peer applied everything up to a number.

        False if it lost what it had acknowledged: then ``reset``, and report everything.
        """
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
        """Report everything anew; ``wire_ids``: the workers with a count above 0 that must be sent to the peer."""
        self._acknowledged = self.base = 0
        self.sent_ids.clear()
        self._pending = dict.fromkeys(wire_ids, ())
