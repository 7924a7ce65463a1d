"""Owns the pace at which a scheduler tells its peers its occupancy: what is told when, and its sequence number.

Pure: no I/O, no clock, no randomness.  Every byte is paid for at every receiver (``messages.py``): among many
schedulers the end of an attempt waits for others to go in one message, and the snapshot goes out more rarely.
"""

from __future__ import annotations

from collections.abc import Iterable

from .messages import DELTA, ENTRIES_MAX, SNAPSHOT, SNAPSHOT_REQUEST, Kind, encode, wire_id

NEVER_MS = -1e18  # before any moment
HEARTBEAT_INTERVAL_MS = 1_000.0  # ms; the time from one turn to the next, on average
PEERS_PER_STEP = 8  # peers; for each so many snapshots go out a turn more rarely, and ends are held longer
FLUSH_DELAY_MS = 60.0  # ms; for each PEERS_PER_STEP peers, how long the end of an attempt is held back


class Pacing:
    """When a scheduler tells what: a send at once, ends held back, and once in a while a turn.

    A turn brings the first time a SNAPSHOT_REQUEST, then a SNAPSHOT each ``snapshot_turns`` turns, and between
    them a DELTA of what is pending: an empty one, the heartbeat, if nothing was told lately.
    """

    __slots__ = ("flush_delay_ms", "snapshot_ticks", "tick", "sequence", "pending", "flush_at", "sent_at")

    def __init__(self, others: int) -> None:
        """``others``: how many other schedulers there are."""
        self.flush_delay_ms = FLUSH_DELAY_MS * (others // PEERS_PER_STEP)
        self.snapshot_ticks = 1 + others // PEERS_PER_STEP
        self.tick = -1
        self.sequence = -1
        self.pending: set[int] = set()  # workers whose count has changed since it was told
        self.flush_at = 0.0  # when what is pending is to be told; 0: nothing is held back
        self.sent_at = NEVER_MS

    def record_change(self, now: float, worker: int, increased: bool) -> bool:
        """Note a change, ``more`` slots or fewer; whether to tell what is pending now."""
        self.pending.add(worker)
        if increased or not self.flush_delay_ms:
            return True
        if not self.flush_at:
            self.flush_at = now + self.flush_delay_ms
        return False

    def next_tick(self, now: float) -> Kind | None:
        """What this turn brings; None: something was told lately, and that is enough of a heartbeat."""
        self.tick += 1
        if self.tick == 0:
            return SNAPSHOT_REQUEST
        if self.tick == 1 or self.tick % self.snapshot_ticks == 0:
            return SNAPSHOT
        return DELTA if self.pending or now - self.sent_at >= HEARTBEAT_INTERVAL_MS / 2 else None

    def encode_broadcast(self, now: float, kind: Kind, counts: Iterable[tuple[int, float]]) -> list[bytes]:
        """Messages to all peers that tell these workers' counts; nothing is pending after them."""
        self.pending.clear()
        self.flush_at = 0.0
        self.sent_at = now
        return self.encode_messages(kind, counts)

    def encode_messages(self, kind: Kind, counts: Iterable[tuple[int, float]]) -> list[bytes]:
        """The same to one peer: what is pending for the others stays so.

        The first message is of the kind named; what does not fit in it follows in DELTA messages.
        """
        table = [(wire_id(worker), n) for worker, n in counts]
        messages = []
        for at in range(0, len(table) or 1, ENTRIES_MAX):
            self.sequence += 1
            messages.append(encode(DELTA if at else kind, self.sequence, table[at:at + ENTRIES_MAX]))
        return messages
