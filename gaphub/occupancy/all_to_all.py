"""The all-to-all exchange: every scheduler sends its counts to every other one.

No I/O, no clock, no randomness.  Its cost at every scheduler grows with the fleet's rate of job starts.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from .exchange import ALL_PEERS, CAPACITY_REPLIES, NO_MESSAGES, NOTHING_RECEIVED, Outgoing, Random, Received
from .messages import CAPACITY, DELTA, SNAPSHOT, SNAPSHOT_REQUEST, Kind, encode
from .pacing import HEARTBEAT_INTERVAL_MS, Pacing
from .peer_counts import PeerCounts

TICK_MIN = 0.8  # of HEARTBEAT_INTERVAL_MS: shortest time between two ticks
TICK_JITTER = 0.4  # of HEARTBEAT_INTERVAL_MS: random part added, so that the ticks of peers do not synchronize
TIMER_TOLERANCE_MS = 0.01  # by rounding, a timer may fire this much early


class AllToAll:
    """Sends each change of a count to all peers, and snapshots of all counts at intervals."""

    __slots__ = ("peer_slots", "complete", "_others", "_peer_counts", "_pacing", "_slots_out", "_next_tick_at",
                 "_wakeup")

    def __init__(self, now: float, others: int) -> None:
        """``others``: the number of other schedulers.  The first wakeup is due at once."""
        self._others = others
        self._peer_counts = PeerCounts(others)
        self._pacing = Pacing(others)
        self._slots_out: dict[int, float] = {}  # this scheduler's slots out at each listed worker
        self._next_tick_at = now
        self._wakeup: float | None = now  # not yet returned by ``take_wakeup``
        # Read for each worker that is ranked, hence bound without a call in between.
        self.peer_slots = self._peer_counts.peer_slots
        self.complete = self._peer_counts.complete

    def set_workers(self, now: float, slots_out: Mapping[int, float], identities: Mapping[int, int]) -> None:
        """Take a worker list; a worker that is not listed is only ever reported with a count of 0."""
        self._slots_out = dict(slots_out)

    def update_workers(self, now: float, slots_out: Mapping[int, float], identities: Mapping[int, int],
                       gone: Iterable[int]) -> None:
        """Take the changes of the worker list."""
        for worker in gone:
            self._slots_out.pop(worker, None)
        self._slots_out.update(slots_out)

    def record_change(self, now: float, worker: int, slots_out: float, increased: bool) -> Sequence[Outgoing]:
        """Send an increased count at once, with those held back; among many peers, hold a decreased one back."""
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
        """Send the capacities to all peers, each of which would otherwise have to learn them itself."""
        return (self.capacity_message(ALL_PEERS, capacities),)

    def on_message(self, now: float, sender: int, data: bytes, capacities: Mapping[int, float],
                   random: Random) -> Received:
        """Apply a peer's counts; answer a request with a snapshot and, at random, the known capacities."""
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
        """Return the time of the next tick or flush, if it was not returned before."""
        wakeup, self._wakeup = self._wakeup, None
        return wakeup

    def on_wakeup(self, now: float, due: float, random: Random) -> Sequence[Outgoing]:
        """Run a tick, or send the counts that are still held back."""
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
        """None: messages sent and received are counted at the socket."""
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
        """The share of all schedulers that is heard, this one included."""
        return self._peer_counts.heard_share

    def request_snapshot(self, peer: int) -> Sequence[Outgoing]:
        """Send one peer this scheduler's counts, and request its own."""
        return [Outgoing(peer, data) for data in self._pacing.encode_messages(SNAPSHOT_REQUEST, self._snapshot())]

    def remove_peer(self, peer: int) -> None:
        """Drop the counts of a peer, which has nothing out or reports it by the sharded exchange."""
        self._peer_counts.remove_peer(peer)

    @staticmethod
    def capacity_message(peer: int, capacities: Mapping[int, float]) -> Outgoing:
        """A message to one peer, or to all, with the known slots of each kind of worker."""
        return Outgoing(peer, encode(CAPACITY, 0, list(capacities.items())))
