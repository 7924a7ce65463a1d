"""An exchange that is all to all while the worker list is short, and sharded while it is long.

No I/O, no clock, no randomness.  With a long list it sends counts all to all only to peers that use nothing else:
processes of an older release, or those whose list is still short.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from .all_to_all import AllToAll
from .exchange import ALL_PEERS, CAPACITY_REPLIES, NO_MESSAGES, NOTHING_RECEIVED, Outgoing, Random, Received
from .messages import Kind, decode
from .peer_counts import HEARTBEAT_TTL_MS
from .sharded import ShardedExchange
from .sums_messages import VERSION as SUMS_VERSION

LARGE_FROM_WORKERS = 2_000  # listed workers; from this number on, all to all costs more than a scheduler may spend
SMALL_BELOW_WORKERS = 1_500  # lower, as hysteresis: a list near the threshold must not switch back and forth
LARGE_FROM_PEERS = 8  # with fewer peers, all to all is affordable for any number of workers
RECENT_ROUNDS = 2  # a peer heard in the sharded format within this many rounds is taken to use it
EPOCH_MS = 100.0  # resolution of epochs: no scheduler starts twice within this
EPOCH_COUNT = 2**32 - 1

_COUNTS = frozenset((Kind.DELTA, Kind.SNAPSHOT, Kind.SNAPSHOT_REQUEST))


def epoch_at(now: float) -> int:
    """The epoch of a process that starts ``now``, in ms of Unix time; higher than that of any earlier one."""
    return 1 + int(now / EPOCH_MS) % EPOCH_COUNT


class SizedExchange:
    """Uses all to all for short worker lists, and sharding from ``LARGE_FROM_WORKERS`` workers on.

    While sharding is used, a peer is *legacy* if it sends counts all to all and is not heard in the sharded
    format.  Only legacy peers are sent counts all to all, and their counts are added to the sums.  A peer that
    requests a snapshot has restarted, and is legacy until it is heard in the sharded format, whatever it used
    before.
    """

    __slots__ = ("peer_slots", "complete", "_me", "_others", "_all_to_all", "_sharded", "_sharded_wakeup",
                 "_wakeup", "_legacy", "_upgraded", "_epochs", "_past_counters", "_identities")

    def __init__(self, now: float, me: int, others: int) -> None:
        """``me``: this scheduler's number among ``others`` + 1; ``now``: the time of its start."""
        self._me = me
        self._others = others
        self._all_to_all = AllToAll(now, others)
        self._sharded: ShardedExchange | None = None
        self._sharded_wakeup: float | None = None  # the last one returned for the sharded exchange
        self._legacy: dict[int, float] = {}  # legacy peers: when each last sent counts all to all
        self._upgraded: dict[int, float] = {}  # peers no longer legacy: until when their last counts are kept
        self._epochs: dict[int, int] = {}  # by peer: the epoch last heard
        self._past_counters: Counter[str] = Counter()  # of former sharded exchanges
        self._identities: dict[int, int] = {}  # of the listed workers
        self._use_all_to_all()

    @property
    def sharded(self) -> ShardedExchange | None:
        """The sharded exchange, while it is used."""
        return self._sharded

    def _use_all_to_all(self) -> None:
        if self._sharded is not None:
            self._past_counters += self._sharded.counters()
        self._sharded = None
        # Read for each worker that is ranked, hence bound without a call in between.
        self.peer_slots = self._all_to_all.peer_slots
        self.complete = self._all_to_all.complete

    def _use_sharded(self, now: float) -> ShardedExchange:
        sharded = self._sharded = ShardedExchange(now, self._me, range(self._others + 1), epoch_at(now))
        self.peer_slots = self._sharded_peer_slots
        self.complete = self._sharded_complete
        for peer, heard_at in self._all_to_all.heard_at.items():
            self._legacy[peer] = heard_at
        return sharded

    # The worker list

    def set_workers(self, now: float, slots_out: Mapping[int, float], identities: Mapping[int, int]) -> None:
        """Take a complete worker list, and switch the method if its length requires it."""
        self._all_to_all.set_workers(now, slots_out, identities)
        self._identities = dict(identities)
        self._choose_method(now)
        if self._sharded is not None:
            self._sharded.set_workers(now, slots_out, identities)

    def update_workers(self, now: float, slots_out: Mapping[int, float], identities: Mapping[int, int],
                       gone: Iterable[int]) -> None:
        """Take the changes of the worker list, and switch the method if its new length requires it."""
        gone = list(gone)
        self._all_to_all.update_workers(now, slots_out, identities, gone)
        for worker in gone:
            self._identities.pop(worker, None)
        self._identities.update(identities)
        previous = self._sharded
        self._choose_method(now)
        if self._sharded is not None and self._sharded is previous:
            self._sharded.update_workers(now, slots_out, identities, gone)
        elif self._sharded is not None:
            self._sharded.set_workers(now, self._all_to_all.slots_out, self._identities)

    def _choose_method(self, now: float) -> None:
        """Switch the method if the length of the worker list requires it."""
        workers = len(self._all_to_all.slots_out)
        if self._sharded is None and workers >= LARGE_FROM_WORKERS:
            self._use_sharded(now)
        elif self._sharded is not None and workers < SMALL_BELOW_WORKERS:
            self._use_all_to_all()

    # Sending

    def record_change(self, now: float, worker: int, slots_out: float, increased: bool) -> Sequence[Outgoing]:
        """Record a change in both exchanges."""
        messages = self._all_to_all.record_change(now, worker, slots_out, increased)
        if self._sharded is None:
            return messages
        self._sharded.record_change(now, worker, slots_out, increased)
        return self._for_legacy_peers(messages)

    def announce_capacity(self, capacities: Mapping[int, float]) -> Sequence[Outgoing]:
        """Send the capacities to all peers: the message is the same with both methods."""
        return self._all_to_all.announce_capacity(capacities)

    def _for_legacy_peers(self, messages: Sequence[Outgoing]) -> Sequence[Outgoing]:
        """Readdress messages to all peers to the legacy ones only."""
        if not messages:
            return NO_MESSAGES
        return [Outgoing(peer, data) for to, data in messages
                for peer in (self._legacy if to == ALL_PEERS else (to,))]

    # Receiving

    def on_message(self, now: float, sender: int, data: bytes, capacities: Mapping[int, float],
                   random: Random) -> Received:
        """Handle a message of either format."""
        sharded = self._sharded
        if sharded is None:
            return self._all_to_all.on_message(now, sender, data, capacities, random)
        if data[:1] == bytes((SUMS_VERSION,)):
            previous = sharded.heard_at(sender)
            sharded.on_message(now, sender, data, capacities, random)
            if sharded.heard_at(sender) == previous:
                return NOTHING_RECEIVED  # malformed, or overtaken: it may be of an ended process
            return self._on_sharded_peer(now, sender, sharded, capacities, random)
        received = self._all_to_all.on_message(now, sender, data, capacities, random)
        message = decode(data)
        if message is None or message.kind not in _COUNTS:
            return received
        recent_ms = RECENT_ROUNDS * sharded.plan.round_ms
        if message.kind is not Kind.SNAPSHOT_REQUEST and now - sharded.heard_at(sender) <= recent_ms:
            if sender not in self._legacy:  # took this scheduler for legacy; the sums hold its counts or soon will
                self._upgraded[sender] = now + sharded.plan.age_bound_ms
                return received
        is_new = sender not in self._legacy
        self._legacy[sender] = now
        self._upgraded.pop(sender, None)
        if not is_new or message.kind is Kind.SNAPSHOT_REQUEST:
            return received
        return Received([*received.replies, *self._all_to_all.request_snapshot(sender)], received.capacities)

    def _on_sharded_peer(self, now: float, sender: int, sharded: ShardedExchange, capacities: Mapping[int, float],
                         random: Random) -> Received:
        """Note that a peer uses the sharded format; if it has restarted, send it the capacities, at random."""
        if self._legacy.pop(sender, None) is not None:
            self._upgraded[sender] = now + sharded.plan.age_bound_ms
        epoch = sharded.epoch_of(sender)
        if epoch is None or epoch == self._epochs.get(sender):
            return NOTHING_RECEIVED
        self._epochs[sender] = epoch
        if not capacities or random() * self._others >= CAPACITY_REPLIES:
            return NOTHING_RECEIVED
        return Received([self._all_to_all.capacity_message(sender, capacities)])

    # Wakeups

    def take_wakeup(self) -> float | None:
        """Return the next wakeup time of either exchange."""
        wakeup = self._all_to_all.take_wakeup()
        if wakeup is not None or self._sharded is None:
            return wakeup
        wakeup = self._sharded.take_wakeup()
        if wakeup is not None:
            self._sharded_wakeup = wakeup
        return wakeup

    def on_wakeup(self, now: float, due: float, random: Random) -> Sequence[Outgoing]:
        """Wake up the exchange whose time it is."""
        sharded = self._sharded
        if sharded is None:
            return self._all_to_all.on_wakeup(now, due, random)
        if due == self._sharded_wakeup:
            self._expire(now)
            return sharded.on_wakeup(now, due, random)
        return self._for_legacy_peers(self._all_to_all.on_wakeup(now, due, random))

    def _expire(self, now: float) -> None:
        """Drop the counts of silent legacy peers, and of former legacy peers that the sums now include."""
        silent = [p for p, heard_at in self._legacy.items() if now - heard_at > HEARTBEAT_TTL_MS]
        expired = [p for p, until in self._upgraded.items() if now > until]
        self._remove_peers(self._legacy, silent)
        self._remove_peers(self._upgraded, expired)

    def _remove_peers(self, peers_by_time: dict[int, float], peers: Iterable[int]) -> None:
        for peer in peers:
            del peers_by_time[peer]
            self._all_to_all.remove_peer(peer)

    # Queries

    @property
    def heard_share(self) -> float:
        """The share of all schedulers that is heard all to all; 0 with sharding, as sums are seconds old."""
        return 0.0 if self._sharded is not None else self._all_to_all.heard_share

    def _sharded_peer_slots(self, worker: int) -> int:
        assert self._sharded is not None
        return self._sharded.peer_slots(worker) + self._all_to_all.peer_slots(worker)

    def counters(self) -> Mapping[str, int]:
        """What was sent and dropped in the sharded format.

        Also two gauges: ``sharded``, 1 while sharding is used, and ``legacy``, the number of legacy peers.
        """
        sharded = self._sharded
        counters = self._past_counters + sharded.counters() if sharded is not None else self._past_counters
        return {**counters, "sharded": int(sharded is not None),
                "legacy": len(self._legacy) if sharded is not None else 0}

    def _sharded_complete(self, now: float) -> bool:
        assert self._sharded is not None
        return self._sharded.complete(now, len(self._legacy))
