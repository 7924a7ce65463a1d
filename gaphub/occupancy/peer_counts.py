"""The slots that each peer has out at each worker, as last received, and the sums over the peers.

No I/O, no clock, no randomness.  Raises nothing on received data: malformed messages are dropped.  Messages hold
absolute counts, not increments, so that the next message about a worker makes up for a lost one.
"""

from __future__ import annotations

from .messages import CAPACITY, DELTA, SNAPSHOT_REQUEST, Message, decode, wire_id

NEVER_MS = -1e18  # earlier than any time
HEARTBEAT_TTL_MS = 3_500.0  # a peer silent for this long is considered gone, and its counts are dropped
REORDER_MS = 100.0  # a lower sequence number later than this is of a restarted peer, or has wrapped around
SEQUENCE_NUMBERS = 256
QUORUM_BASE = 3  # peers that must be heard for the sums to be used (all, if there are fewer),
PEERS_PER_QUORUM_MEMBER = 8  # and one more per this many: in a large fleet some are always down


class PeerCounts:
    """Counts by peer and wire id, and their sums over the peers."""

    __slots__ = ("counts", "total", "heard_at", "sequence", "_quorum", "_others", "_checked_at", "_complete")

    def __init__(self, others: int) -> None:
        """``others``: the number of other schedulers."""
        self.counts: dict[int, dict[int, int]] = {}  # by peer, then by wire id; no zeros
        self.total: dict[int, int] = {}  # sums over the peers, by wire id; no zeros
        self.heard_at: dict[int, float] = {}  # when each peer was last heard
        self.sequence: dict[int, int] = {}  # sequence number of each peer's last message
        self._others = others
        self._quorum = min(others, QUORUM_BASE + others // PEERS_PER_QUORUM_MEMBER)
        self._checked_at = NEVER_MS  # when ``_complete`` was computed; it is needed for each worker ranked
        self._complete = False

    def receive(self, now: float, sender: int, data: bytes) -> Message | None:
        """Apply a peer's message and return it; None if it is dropped.

        A CAPACITY message is only returned: it holds no occupancy.
        """
        message = decode(data)
        if message is None:
            return None
        kind, sequence, entries = message
        if kind is CAPACITY:
            return message
        behind = (self.sequence.get(sender, sequence) - sequence) % SEQUENCE_NUMBERS
        if 0 < behind < SEQUENCE_NUMBERS // 2 and kind is not SNAPSHOT_REQUEST:
            if now - self.heard_at.get(sender, NEVER_MS) < REORDER_MS:
                return None  # overtaken by a later message of the same process
        self._checked_at = NEVER_MS
        self.sequence[sender] = sequence
        self.heard_at[sender] = now
        counts = self.counts.setdefault(sender, {})
        if kind is not DELTA:
            self._clear(counts)
        for key, n in entries.items():
            before = counts.get(key, 0)
            if n != before:
                self._add(key, n - before)
            if n:
                counts[key] = n
            else:
                counts.pop(key, None)
        return message

    def _add(self, key: int, n: int) -> None:
        total = self.total.get(key, 0) + n
        if total:
            self.total[key] = total
        else:
            self.total.pop(key, None)

    def _clear(self, counts: dict[int, int]) -> None:
        for key, n in counts.items():
            self._add(key, -n)
        counts.clear()

    def remove_peer(self, sender: int) -> None:
        """Drop the counts of a peer."""
        self._checked_at = NEVER_MS
        self.heard_at.pop(sender, None)
        self._clear(self.counts.pop(sender, {}))

    def complete(self, now: float) -> bool:
        """Whether enough peers are heard for the sums to be used.

        A peer that is silent for ``HEARTBEAT_TTL_MS`` has nothing out or is cut off: its counts are dropped.
        """
        if now != self._checked_at:
            self._checked_at = now
            self._complete = self._has_quorum(now)
        return self._complete

    def _has_quorum(self, now: float) -> bool:
        if len(self.heard_at) < self._quorum:
            return False
        for sender in [s for s, at in self.heard_at.items() if now - at > HEARTBEAT_TTL_MS]:
            del self.heard_at[sender]
            self._clear(self.counts.pop(sender))
        return len(self.heard_at) >= self._quorum

    @property
    def heard_share(self) -> float:
        """The share of all schedulers whose counts are known, this one included."""
        return (1 + len(self.heard_at)) / (1 + self._others)

    def peer_slots(self, worker: int) -> int:
        """The slots that the peers have out at a worker."""
        return self.total.get(wire_id(worker), 0)
