"""Owns the way all to all: each scheduler tells each other its counts.

Pure: no I/O, no clock, no randomness.  Its cost grows with the starts a second of the fleet, at every scheduler.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from .exchange import ALL_PEERS, CAPACITY_REPLIES, NO_MESSAGES, NOTHING_RECEIVED, Outgoing, Random, Received
from .ledger import PeerCounts
from .messages import CAPACITY, DELTA, SNAPSHOT, SNAPSHOT_REQUEST, Kind, encode
from .pacing import HEARTBEAT_INTERVAL_MS, Pacing

TICK_MIN = 0.8  # of HEARTBEAT_MS; from one turn to the next at the least
TICK_JITTER = 0.4  # of HEARTBEAT_MS; and so much more at the most, by chance, so that peers don't go in step
TIMER_TOLERANCE_MS = 0.01  # ms; a timer may come due so much early, by rounding


class AllToAll:
    """Each scheduler tells each other its counts: changes as they come, and a snapshot once in a while."""

    __slots__ = ("peer_slots", "complete", "_others", "_peer_counts", "_pacing", "_slots_out", "_next_tick_at",
                 "_wakeup")

    def __init__(self, now: float, others: int) -> None:
        """``others``: how many other schedulers there are.  The first wakeup is wanted at once."""
        self._others = others
        self._peer_counts = PeerCounts(others)
        self._pacing = Pacing(others)
        self._slots_out: dict[int, float] = {}  # this scheduler's slots out at each listed worker
        self._next_tick_at = now
        self._wakeup: float | None = now  # wanted, and not yet handed out
        # Asked for each worker that is ranked: without a call in between.
        self.peer_slots = self._peer_counts.peer_slots
        self.complete = self._peer_counts.complete

    def set_workers(self, now: float, slots_out: Mapping[int, float], identities: Mapping[int, int]) -> None:
        """Follow the list; of a worker that it does not name nothing is told but that nothing is out there."""
        self._slots_out = dict(slots_out)

    def update_workers(self, now: float, slots_out: Mapping[int, float], identities: Mapping[int, int],
                       gone: Iterable[int]) -> None:
        """Follow a list of changes."""
        for worker in gone:
            self._slots_out.pop(worker, None)
        self._slots_out.update(slots_out)

    def record_change(self, now: float, worker: int, slots_out: float, increased: bool) -> Sequence[Outgoing]:
        """Tell a send at once, and with it what is held back; hold an end back, among many peers."""
        if worker in self._slots_out:
            self._slots_out[worker] = slots_out
        pacing = self._pacing
        previous_flush_at = pacing.flush_at
        if pacing.record_change(now, worker, increased):
            return self._broadcast_pending(now)
        if pacing.flush_at != previous_flush_at:
            self._wakeup = pacing.flush_at
        return NO_MESSAGES

    def announce_capacity(self, capacities: Mapping[int, float]) -> Sequence[Outgoing]:
        """Tell all peers, or each would have to find out by itself."""
        return (self.capacity_message(ALL_PEERS, capacities),)

    def on_message(self, now: float, sender: int, data: bytes, capacities: Mapping[int, float],
                   random: Random) -> Received:
        """Note a peer's counts; answer one that has just started with a snapshot, and by chance the capacities."""
        message = self._peer_counts.receive(now, sender, data)
        if message is None:
            return NOTHING_RECEIVED
        if message.kind is CAPACITY:
            return Received(capacities=message.entries)
        if message.kind is not SNAPSHOT_REQUEST:
            return NOTHING_RECEIVED
        replies = [Outgoing(sender, data) for data in self._pacing.encode_messages(SNAPSHOT, self._snapshot())]
        if random() * self._others < CAPACITY_REPLIES:
            replies.append(self.capacity_message(sender, capacities))
        return Received(replies)

    def take_wakeup(self) -> float | None:
        """The next turn, or the moment at which ends that are held back must go."""
        wakeup, self._wakeup = self._wakeup, None
        return wakeup

    def on_wakeup(self, now: float, due: float, random: Random) -> Sequence[Outgoing]:
        """Take a turn, or tell what is held back if it still is."""
        if due == self._next_tick_at:
            return self._tick(now, random)
        flush_at = self._pacing.flush_at
        if flush_at and now >= flush_at - TIMER_TOLERANCE_MS:
            return self._broadcast_pending(now)
        return NO_MESSAGES

    def _tick(self, now: float, random: Random) -> Sequence[Outgoing]:
        kind = self._pacing.next_tick(now)
        messages: Sequence[Outgoing] = NO_MESSAGES
        if kind is DELTA:
            messages = self._broadcast_pending(now)
        elif kind is not None:
            messages = self._broadcast(now, kind, self._snapshot())
        self._next_tick_at = self._wakeup = now + HEARTBEAT_INTERVAL_MS * (TICK_MIN + TICK_JITTER * random())
        return messages

    def _broadcast_pending(self, now: float) -> Sequence[Outgoing]:
        slots_out = self._slots_out
        return self._broadcast(now, DELTA,
                               [(worker, slots_out.get(worker, 0.0)) for worker in self._pacing.pending])

    def _broadcast(self, now: float, kind: Kind, counts: Sequence[tuple[int, float]]) -> Sequence[Outgoing]:
        return [Outgoing(ALL_PEERS, data) for data in self._pacing.encode_broadcast(now, kind, counts)]

    def _snapshot(self) -> list[tuple[int, float]]:
        return [(worker, slots) for worker, slots in self._slots_out.items() if slots > 0]

    def counters(self) -> Mapping[str, int]:
        """None: what the peers are told is in the counts of the socket."""
        return {}

    @property
    def slots_out(self) -> Mapping[int, float]:
        """The slots that this scheduler has out at each listed worker."""
        return self._slots_out

    @property
    def heard_at(self) -> Mapping[int, float]:
        """When each peer was last heard."""
        return self._peer_counts.heard_at

    @property
    def heard_share(self) -> float:
        """The part of all schedulers that is heard, this one too."""
        return self._peer_counts.heard_share

    def request_snapshot(self, peer: int) -> Sequence[Outgoing]:
        """Tell one peer this scheduler's counts, and ask it for its own."""
        return [Outgoing(peer, data) for data in self._pacing.encode_messages(SNAPSHOT_REQUEST, self._snapshot())]

    def remove_peer(self, peer: int) -> None:
        """Drop what a peer has told: it has nothing out, or tells it in another way."""
        self._peer_counts.remove_peer(peer)

    @staticmethod
    def capacity_message(peer: int, capacities: Mapping[int, float]) -> Outgoing:
        """The slots of each kind of worker that are known here, for one peer or all."""
        return Outgoing(peer, encode(CAPACITY, 0, list(capacities.items())))
