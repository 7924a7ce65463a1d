"""Owns the choice between the two ways of telling occupancy: all to all in small fleets, sharded in large ones.

Pure: no I/O, no clock, no randomness.  It never tells all to all in a large fleet, but to peers that speak nothing
else: processes of an older release, or such as have yet to hear that the fleet is large.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from .all_to_all import AllToAll
from .exchange import ALL_PEERS, CAPACITY_REPLIES, NO_MESSAGES, NOTHING_RECEIVED, Outgoing, Random, Received
from .ledger import HEARTBEAT_TTL_MS
from .messages import Kind, decode
from .sharded import ShardedExchange
from .sums_messages import VERSION as SUMS_VERSION

LARGE_FROM_WORKERS = 2_000  # listed; from so many on all to all costs more than a scheduler may spend
SMALL_BELOW_WORKERS = 1_500  # lower, so that a fleet at the border does not change its way with each list
LARGE_FROM_PEERS = 8  # others; fewer can bear all to all at any number of workers
RECENT_ROUNDS = 2  # a peer that has sent a sign of life in the sharded format so lately speaks it
EPOCH_MS = 100.0  # of process lives: none starts twice within this
EPOCHS = 2**32 - 1

_COUNTS = frozenset((Kind.DELTA, Kind.SNAPSHOT, Kind.SNAPSHOT_REQUEST))


def epoch_at(now: float) -> int:
    """The epoch of a process life that starts now, in ms of Unix time: higher than that of any life before."""
    return 1 + int(now / EPOCH_MS) % EPOCHS


class SizedExchange:
    """All to all while the list is short; sharded from ``LARGE_FROM_WORKERS`` workers on.

    In a large fleet a peer counts as *legacy* while it tells counts all to all and is not heard in the sharded
    format.  Legacy peers are told all to all, they alone, and what they tell is added to the sums.  One that asks
    for a snapshot has a new life, whatever its last one spoke: it is legacy until it is heard in the sharded
    format.
    """

    __slots__ = ("peer_slots", "complete", "_me", "_others", "_all_to_all", "_sharded", "_sharded_wakeup",
                 "_wakeup", "_legacy", "_upgraded", "_epochs", "_past_counters", "_identities")

    def __init__(self, now: float, me: int, others: int) -> None:
        """``me``: this scheduler's number among ``others`` + 1; ``now``: its start."""
        self._me = me
        self._others = others
        self._all_to_all = AllToAll(now, others)
        self._sharded: ShardedExchange | None = None
        self._sharded_wakeup: float | None = None  # the wakeup of the sharded way that was handed out last
        self._legacy: dict[int, float] = {}  # by peer: when it last told counts all to all
        self._upgraded: dict[int, float] = {}  # by peer once legacy: until when its last counts all to all stand
        self._epochs: dict[int, int] = {}  # by peer: the epoch of the life that was last heard
        self._past_counters: Counter[str] = Counter()  # the figures of sharded ways that are used no more
        self._identities: dict[int, int] = {}  # of the listed workers
        self._use_all_to_all()

    @property
    def sharded(self) -> ShardedExchange | None:
        """The sharded way, where the fleet is large."""
        return self._sharded

    def _use_all_to_all(self) -> None:
        if self._sharded is not None:
            self._past_counters += self._sharded.counters()
        self._sharded = None
        # Asked for each worker that is ranked: without a call in between.
        self.peer_slots = self._all_to_all.peer_slots
        self.complete = self._all_to_all.complete

    def _use_sharded(self, now: float) -> ShardedExchange:
        sharded = self._sharded = ShardedExchange(now, self._me, range(self._others + 1), epoch_at(now))
        self.peer_slots = self._sharded_peer_slots
        self.complete = self._sharded_complete
        for peer, heard_at in self._all_to_all.heard_at.items():
            self._legacy[peer] = heard_at
        return sharded

    # The list

    def set_workers(self, now: float, slots_out: Mapping[int, float], identities: Mapping[int, int]) -> None:
        """Follow the list, and change the way where its length asks for it."""
        self._all_to_all.set_workers(now, slots_out, identities)
        self._identities = dict(identities)
        self._choose_method(now)
        if self._sharded is not None:
            self._sharded.set_workers(now, slots_out, identities)

    def update_workers(self, now: float, slots_out: Mapping[int, float], identities: Mapping[int, int],
                       gone: Iterable[int]) -> None:
        """Follow a list of changes, and change the way where the list's length asks for it."""
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
        """Change the way where the length of the list asks for it."""
        workers = len(self._all_to_all.slots_out)
        if self._sharded is None and workers >= LARGE_FROM_WORKERS:
            self._use_sharded(now)
        elif self._sharded is not None and workers < SMALL_BELOW_WORKERS:
            self._use_all_to_all()

    # Telling

    def record_change(self, now: float, worker: int, slots_out: float, increased: bool) -> Sequence[Outgoing]:
        """Tell a change as each way does."""
        messages = self._all_to_all.record_change(now, worker, slots_out, increased)
        if self._sharded is None:
            return messages
        self._sharded.record_change(now, worker, slots_out, increased)
        return self._for_legacy_peers(messages)

    def announce_capacity(self, capacities: Mapping[int, float]) -> Sequence[Outgoing]:
        """Tell all peers: the message is the same in both ways."""
        return self._all_to_all.announce_capacity(capacities)

    def _for_legacy_peers(self, messages: Sequence[Outgoing]) -> Sequence[Outgoing]:
        """What is meant for all peers goes to the legacy ones alone."""
        if not messages:
            return NO_MESSAGES
        return [Outgoing(peer, data) for to, data in messages
                for peer in (self._legacy if to == ALL_PEERS else (to,))]

    # Hearing

    def on_message(self, now: float, sender: int, data: bytes, capacities: Mapping[int, float],
                   random: Random) -> Received:
        """Take a message of either format."""
        sharded = self._sharded
        if sharded is None:
            return self._all_to_all.on_message(now, sender, data, capacities, random)
        if data[:1] == bytes((SUMS_VERSION,)):
            previous = sharded.heard_at(sender)
            sharded.on_message(now, sender, data, capacities, random)
            if sharded.heard_at(sender) == previous:
                return NOTHING_RECEIVED  # garbled, or overtaken: it may be of a life that is over
            return self._on_sharded_peer(now, sender, sharded, capacities, random)
        received = self._all_to_all.on_message(now, sender, data, capacities, random)
        message = decode(data)
        if message is None or message.kind not in _COUNTS:
            return received
        recent_ms = RECENT_ROUNDS * sharded.plan.round_ms
        if message.kind is not Kind.SNAPSHOT_REQUEST and now - sharded.heard_at(sender) <= recent_ms:
            if sender not in self._legacy:  # it took this one for legacy: the sums hold its counts, or soon will
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
        """Note that a peer speaks the sharded format; tell a new life of it the capacities, by chance."""
        if self._legacy.pop(sender, None) is not None:
            self._upgraded[sender] = now + sharded.plan.age_bound_ms
        epoch = sharded.epoch_of(sender)
        if epoch is None or epoch == self._epochs.get(sender):
            return NOTHING_RECEIVED
        self._epochs[sender] = epoch
        if not capacities or random() * self._others >= CAPACITY_REPLIES:
            return NOTHING_RECEIVED
        return Received([self._all_to_all.capacity_message(sender, capacities)])

    # Time

    def take_wakeup(self) -> float | None:
        """The next moment of either way."""
        wakeup = self._all_to_all.take_wakeup()
        if wakeup is not None or self._sharded is None:
            return wakeup
        wakeup = self._sharded.take_wakeup()
        if wakeup is not None:
            self._sharded_wakeup = wakeup
        return wakeup

    def on_wakeup(self, now: float, due: float, random: Random) -> Sequence[Outgoing]:
        """Do what is due in the way whose moment it is."""
        sharded = self._sharded
        if sharded is None:
            return self._all_to_all.on_wakeup(now, due, random)
        if due == self._sharded_wakeup:
            self._expire(now)
            return sharded.on_wakeup(now, due, random)
        return self._for_legacy_peers(self._all_to_all.on_wakeup(now, due, random))

    def _expire(self, now: float) -> None:
        """Forget the counts of legacy peers that are silent, and of former ones that the sums hold by now."""
        silent = [p for p, heard_at in self._legacy.items() if now - heard_at > HEARTBEAT_TTL_MS]
        expired = [p for p, until in self._upgraded.items() if now > until]
        self._remove_peers(self._legacy, silent)
        self._remove_peers(self._upgraded, expired)

    def _remove_peers(self, peers_by_time: dict[int, float], peers: Iterable[int]) -> None:
        for peer in peers:
            del peers_by_time[peer]
            self._all_to_all.remove_peer(peer)

    # What is known

    @property
    def heard_share(self) -> float:
        """The part of all schedulers that is heard all to all; 0 in a large fleet, where sums are seconds old."""
        return 0.0 if self._sharded is not None else self._all_to_all.heard_share

    def _sharded_peer_slots(self, worker: int) -> int:
        assert self._sharded is not None
        return self._sharded.peer_slots(worker) + self._all_to_all.peer_slots(worker)

    def counters(self) -> Mapping[str, int]:
        """What was sent and dropped in the sharded format; ``sharded``: 1 in a large fleet."""
        sharded = self._sharded
        counters = self._past_counters + sharded.counters() if sharded is not None else self._past_counters
        return {**counters, "sharded": int(sharded is not None),
                "legacy": len(self._legacy) if sharded is not None else 0}

    def _sharded_complete(self, now: float) -> bool:
        assert self._sharded is not None
        return self._sharded.complete(now, len(self._legacy))
