"""When a scheduler sends its counts in the all-to-all exchange, and the sequence numbers of its messages.

No I/O, no clock, no randomness.  The cost of a byte grows with the number of schedulers (``messages.py``): among
many, counts that decreased are held back to share a message, and snapshots are sent less often.
"""

from __future__ import annotations

from collections.abc import Iterable

from .messages import DELTA, ENTRIES_MAX, SNAPSHOT, SNAPSHOT_REQUEST, Kind, encode, wire_id

NEVER_MS = -1e18  # earlier than any time
HEARTBEAT_INTERVAL_MS = 1_000.0  # mean time between two ticks
PEERS_PER_STEP = 8  # for each so many peers, snapshots come a tick later, and decreased counts are held longer
FLUSH_DELAY_MS = 60.0  # per PEERS_PER_STEP peers: how long a decreased count is held back


class Pacing:
    """Decides when to send: increased counts at once, decreased ones with a delay, and something at each tick.

    The first tick sends a SNAPSHOT_REQUEST, the second and then every ``snapshot_ticks``-th a SNAPSHOT.  The
    others send a DELTA of the pending counts; it is empty, as a heartbeat, if none is pending and nothing was sent
    lately.
    """

    __slots__ = ("flush_delay_ms", "snapshot_ticks", "tick", "sequence", "pending", "flush_at", "sent_at")

    def __init__(self, others: int) -> None:
        """``others``: the number of other schedulers."""
        self.flush_delay_ms = FLUSH_DELAY_MS * (others // PEERS_PER_STEP)
        self.snapshot_ticks = 1 + others // PEERS_PER_STEP
        self.tick = -1
        self.sequence = -1
        self.pending: set[int] = set()  # workers whose counts changed since they were sent
        self.flush_at = 0.0  # when the pending counts must be sent; 0: none are held back
        self.sent_at = NEVER_MS

    def record_change(self, now: float, worker: int, increased: bool) -> bool:
        """Record a changed count, ``increased`` or decreased; whether to send the pending counts now."""
        self.pending.add(worker)
        if increased or not self.flush_delay_ms:
            return True
        if not self.flush_at:
            self.flush_at = now + self.flush_delay_ms
        return False

    def next_tick(self, now: float) -> Kind | None:
        """Begin a tick and return what it sends; None: a recent message is heartbeat enough."""
        self.tick += 1
        if self.tick == 0:
            return SNAPSHOT_REQUEST
        if self.tick == 1 or self.tick % self.snapshot_ticks == 0:
            return SNAPSHOT
        return DELTA if self.pending or now - self.sent_at >= HEARTBEAT_INTERVAL_MS / 2 else None

    def encode_broadcast(self, now: float, kind: Kind, counts: Iterable[tuple[int, float]]) -> list[bytes]:
        """Encode workers' counts for all peers; nothing is pending after that."""
        self.pending.clear()
        self.flush_at = 0.0
        self.sent_at = now
        return self.encode_messages(kind, counts)

    def encode_messages(self, kind: Kind, counts: Iterable[tuple[int, float]]) -> list[bytes]:
        """Encode workers' counts for one peer; what is pending for the others stays pending.

        The first message is of the given kind; entries that do not fit in it follow in DELTA messages.
        """
        table = [(wire_id(worker), n) for worker, n in counts]
        messages = []
        for at in range(0, len(table) or 1, ENTRIES_MAX):
            self.sequence += 1
            messages.append(encode(DELTA if at else kind, self.sequence, table[at:at + ENTRIES_MAX]))
        return messages
