"""The sharded exchange: counts of a worker go to one scheduler, its aggregator, which sends the sums to all.

No I/O, no clock, no randomness.  It sends nothing in reply to a datagram and never more than its budget, reports
nothing about a worker that was never listed, and raises nothing on received data.

In each round, every scheduler sends every other one a datagram, or more if the entries need them: its report to
that peer, and sums of workers that it aggregates.  The peers' turns are spread evenly over the round.
docs/design/occupancy-at-size.md states the guarantees.

The methods are those of ``OccupancyExchange``, and ``add_worker`` and ``remove_worker``: workers need names here.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from itertools import chain
from math import ceil, inf

from .aggregator import NEVER, Aggregator
from .assignment import Assignment
from .budget import Limits, Plan, SumOrder, TokenBucket, make_plan
from .exchange import NOTHING_RECEIVED, Outgoing, Received
from .identity import IdChange, Identities
from .reports import PeerReports
from .sums import Sum, Sums
from .sums_messages import (
    COUNT_MAX,
    REPORT_ENTRIES_MAX,
    DeadSet,
    Message,
    MessageError,
    decode,
    encode,
    entry_capacity,
    needs_wide_entries,
)

MIN_WAKEUP_INTERVAL_MS = 100.0  # shortest time between two wakeups
REVIEWS_PER_ROUND = 4  # checks of silent members and of the age of sums
QUORUM_BASE = 3  # members, if there are as many, that must be heard for the sums to be used,
PEERS_PER_QUORUM_MEMBER = 8  # and one more per this many: in a large fleet some are always down
FRESH_FRACTION_MIN = 0.9  # of the listed workers, whose sums must be within the age bound


class DropReason(Enum):
    """Why received data was not used."""

    STRANGER = "sender is not a member"
    UNREADABLE = "unknown format, or malformed"
    LATE = "duplicate, overtaken or of an earlier epoch; what is still valid in it is used"
    UNLISTED = "sum of a worker that is not listed"
    GAP = "report that builds on a lost one"
    UNPROVEN = "sums of unknown age, as the echo proves none"
    DISAGREES = "sums of a sender that considers a member dead which is heard here"


@dataclass(slots=True)
class _Peer:
    """The state of another member."""

    heard_at: float
    reports: PeerReports = field(default_factory=PeerReports)
    epoch: int | None = None  # of its present process; None: never heard
    number: int = 0  # of its newest datagram


class ShardedExchange:
    """One scheduler in the exchange."""

    def __init__(self, now: float, me: int, members: Iterable[int], epoch: int,
                 limits: Limits | None = None) -> None:
        """``epoch``: of this process, higher than that of the one before it; 1 to 2**32 - 1."""
        self.me = me
        self.epoch = epoch
        self.limits = limits or Limits()
        self.dropped: Counter[DropReason] = Counter()
        self.sent_bytes = self.sent_datagrams = 0
        self._assignment = Assignment({me, *members})
        others = [m for m in self._assignment.members if m != me]
        self._peers = {m: _Peer(now) for m in others}
        self._peer_order = [*others[me % max(1, len(others)):], *others[:me % max(1, len(others))]]
        self._identities = Identities()
        self._aggregator = Aggregator(me, others)
        self._sums = Sums()
        self._sum_order = SumOrder()
        self._slots: dict[int, float] = {}  # own slots out, by worker number
        self._counts: dict[int, int] = {}  # the same, rounded up, by wire id
        self._delisted: set[int] = set()  # numbers of workers no longer listed at which slots are still out
        self._dead_set = DeadSet.of(frozenset())
        self._bucket = TokenBucket(now, self.limits.bytes_per_s)
        self._round_sums: list[tuple[int, float]] = []  # ids whose sums this round sends, with as-of times
        self._next_peer = 0  # index into ``_peer_order``
        self._round_at = self._reviewed_at = now
        self._entries_reported = 0  # counts reported in this round, to all peers
        self._complete_checked_at = NEVER
        self._complete = False
        self.plan = self._plan(0.0, 0.0)
        self._wakeup: float | None = now + MIN_WAKEUP_INTERVAL_MS  # not yet returned by ``take_wakeup``

    # Workers

    def add_worker(self, now: float, worker_id: int, name: str) -> None:
        """Add a listed worker; ``name`` identifies it in all processes, ``worker_id`` only in this one."""
        self._delisted.discard(worker_id)
        old_id = self._identities.id_of(worker_id) if worker_id in self._identities else None
        id_changes = self._identities.add(worker_id, name)
        wire_id = self._identities.id_of(worker_id)
        if old_id not in (None, wire_id):
            id_changes = [IdChange(worker_id, old_id, wire_id), *id_changes]
        self._apply_id_changes(id_changes)
        self._track_id(wire_id)
        self._recount(wire_id)

    def set_workers(self, now: float, slots_out: Mapping[int, float], identities: Mapping[int, int]) -> None:
        """Take a complete worker list; costly work is done only for the workers that changed."""
        known = self._identities.numbers()
        for worker_id in known - slots_out.keys():
            self.remove_worker(now, worker_id)
        for worker_id in slots_out.keys() - (known - self._delisted):
            self.add_worker(now, worker_id, str(identities.get(worker_id, worker_id)))
        for worker_id, slots in slots_out.items():
            if slots != self._slots.get(worker_id, 0.0):
                self.record_change(now, worker_id, slots, False)

    def update_workers(self, now: float, slots_out: Mapping[int, float], identities: Mapping[int, int],
                       gone: Iterable[int]) -> None:
        """Take the changes of the worker list."""
        for worker_id in gone:
            self.remove_worker(now, worker_id)
        for worker_id, slots in slots_out.items():
            if worker_id not in self._identities or worker_id in self._delisted:
                self.add_worker(now, worker_id, str(identities.get(worker_id, worker_id)))
            if slots != self._slots.get(worker_id, 0.0):
                self.record_change(now, worker_id, slots, False)

    def announce_capacity(self, capacities: Mapping[int, float]) -> Sequence[Outgoing]:
        """Send nothing: this format does not carry the slots of kinds."""
        return ()

    def remove_worker(self, now: float, worker_id: int) -> None:
        """Remove a worker that is no longer listed; its count is reported until it is 0."""
        if worker_id not in self._identities:
            return
        if self._slots.get(worker_id):
            self._delisted.add(worker_id)
        else:
            self._forget_worker(worker_id)

    def record_change(self, now: float, worker_id: int, slots_out: float, increased: bool) -> Sequence[Outgoing]:
        """Record a change of this scheduler's slots out at a worker; nothing is sent before the next round."""
        if worker_id not in self._identities:
            return ()
        if slots_out > 0.0:
            self._slots[worker_id] = slots_out
        else:
            self._slots.pop(worker_id, None)
        self._recount(self._identities.id_of(worker_id))
        if slots_out <= 0.0 and worker_id in self._delisted:
            self._delisted.discard(worker_id)
            self._forget_worker(worker_id)
        return ()

    def _forget_worker(self, worker_id: int) -> None:
        wire_id = self._identities.id_of(worker_id)
        id_changes = self._identities.remove(worker_id)
        self._recount(wire_id)
        if not self._identities.numbers_of(wire_id):
            self._untrack_id(wire_id)
        self._apply_id_changes(id_changes)

    def _apply_id_changes(self, id_changes: list[IdChange]) -> None:
        for _, old_id, new_id in id_changes:
            self._recount(old_id)
            if not self._identities.numbers_of(old_id):
                self._untrack_id(old_id)
            self._track_id(new_id)
            self._recount(new_id)

    def _track_id(self, wire_id: int) -> None:
        self._assignment.add(wire_id)
        self._aggregator.add_worker(wire_id)

    def _untrack_id(self, wire_id: int) -> None:
        self._assignment.remove(wire_id)
        self._aggregator.remove_worker(wire_id)
        self._sums.remove(wire_id)

    def _recount(self, wire_id: int) -> None:
        """Compute this scheduler's count of an id; if it changed, mark it in the reports to its targets."""
        slots = 0.0
        for number in self._identities.numbers_of(wire_id):
            slots += self._slots.get(number, 0.0)
        count = min(COUNT_MAX, ceil(slots))
        if count == self._counts.get(wire_id, 0):
            return
        if count:
            self._counts[wire_id] = count
        else:
            self._counts.pop(wire_id, None)
        self._aggregator.set_own(wire_id, count)
        for member in self._targets(wire_id):
            self._peers[member].reports.mark(wire_id)

    def _targets(self, wire_id: int) -> list[int]:
        """The members that counts of a worker are reported to: its owner, and dead ones that outscore it."""
        owner = self._assignment.owner.get(wire_id)
        if owner is None:
            return []
        return [m for m in (owner, *self._assignment.dead_above(wire_id)) if m != self.me]

    # Queries

    def peer_slots(self, worker_id: int) -> int:
        """The slots that all peers together have out at a worker; 0 if unknown."""
        if worker_id not in self._identities:
            return 0
        return self._newest_sum(self._identities.id_of(worker_id)).peer_slots

    @property
    def heard_share(self) -> float:
        """0, as all sums are of earlier times."""
        return 0.0

    def age(self, now: float, worker_id: int) -> float:
        """The age of ``peer_slots`` in ms: it includes all that was out then and still is; inf if unknown."""
        if worker_id not in self._identities:
            return inf
        as_of = self._newest_sum(self._identities.id_of(worker_id), now).as_of
        return now - as_of if as_of > NEVER else inf

    def fresh(self, now: float, worker_id: int) -> bool:
        """Whether ``peer_slots`` is within the age bound."""
        return self.age(now, worker_id) <= self.plan.age_bound_ms

    def epoch_of(self, member: int) -> int | None:
        """The epoch last heard of a member; None if it was never heard."""
        peer = self._peers.get(member)
        return None if peer is None else peer.epoch

    def heard_at(self, member: int) -> float:
        """When a member was last heard in this format; NEVER if it was not."""
        peer = self._peers.get(member)
        return NEVER if peer is None or peer.epoch is None else peer.heard_at

    def complete(self, now: float, heard_otherwise: int = 0) -> bool:
        """Whether enough members are heard and most sums are within the age bound; computed once a round.

        ``heard_otherwise``: the number of members that are heard in another format only.
        """
        if now - self._complete_checked_at >= self.plan.round_ms:
            self._complete_checked_at, self._complete = now, self._check_complete(now, heard_otherwise)
        return self._complete

    def heard_members(self) -> frozenset[int]:
        """The other members that are heard in this format and not considered dead."""
        dead = self._assignment.dead
        return frozenset(m for m, peer in self._peers.items() if peer.epoch is not None and m not in dead)

    def refused_entries(self) -> int:
        """The number of report entries dropped because their workers were not listed."""
        return self._aggregator.refused

    def counters(self) -> Counter[str]:
        """Counters of what was sent and dropped."""
        counters = Counter({f"dropped.{drop.name.lower()}": self.dropped[drop] for drop in DropReason})
        counters["dropped.refused"] = self.refused_entries()
        counters["sent"] = self.sent_datagrams
        counters["sent_bytes"] = self.sent_bytes
        return counters

    def _check_complete(self, now: float, heard_otherwise: int) -> bool:
        others = len(self._peers)
        if len(self.heard_members()) + heard_otherwise < min(
                others, QUORUM_BASE + others // PEERS_PER_QUORUM_MEMBER):
            return False
        since = now - self.plan.age_bound_ms
        sums, shard = self._sums, self._assignment.shards[self.me]
        aggregated = sum(sums.get(w).as_of < since <= self._own_sum_as_of(now, w) for w in shard)
        return sums.count_since(since) + aggregated >= FRESH_FRACTION_MIN * len(self._assignment.owner)

    def _newest_sum(self, wire_id: int, now: float = inf) -> Sum:
        """The newer of the received sum and, for workers owned here, the one aggregated here."""
        received = self._sums.get(wire_id)
        if self._assignment.owner.get(wire_id) != self.me:
            return received
        as_of = self._own_sum_as_of(now if now < inf else self._reviewed_at, wire_id)
        return received if received.as_of > as_of else Sum(self._aggregator.total_except(wire_id, self.me), as_of)

    def _own_sum_as_of(self, now: float, wire_id: int) -> float:
        return self._aggregator.as_of(now, wire_id, self._assignment.dead_above(wire_id), self._dead_set)

    # Sending

    def take_wakeup(self) -> float | None:
        """Return a time for ``on_wakeup`` that was not returned before, or None."""
        wakeup, self._wakeup = self._wakeup, None
        return wakeup

    def on_wakeup(self, now: float, due: float, random: Callable[[], float]) -> Sequence[Outgoing]:
        """Send what is due; ``due`` is the time that ``take_wakeup`` returned."""
        outgoing: list[Outgoing] = []
        self._review(now)
        while self._next_peer < self._peers_due(now) and self._bucket.allows(now):
            outgoing += self._send_round_to(now, self._peer_order[self._next_peer])
            self._next_peer += 1
        if self._next_peer >= len(self._peer_order) and now - self._round_at >= self.plan.round_ms:
            self._begin_round(now)
        self._wakeup = now + max(MIN_WAKEUP_INTERVAL_MS, self.plan.round_ms / max(1, len(self._peer_order)))
        return outgoing

    def _peers_due(self, now: float) -> int:
        """The number of peers that this round should have sent to by now."""
        elapsed_fraction = (now - self._round_at) / self.plan.round_ms
        return min(len(self._peer_order), ceil(elapsed_fraction * len(self._peer_order)))

    def _begin_round(self, now: float) -> None:
        took_ms = now - self._round_at
        self.plan = self._plan(took_ms, self._entries_reported / max(1, len(self._peer_order)))
        self._round_at = now
        self._next_peer = self._entries_reported = 0
        self._aggregator.invalidate_ages()
        since = now - self.plan.age_bound_ms
        shard = [w for w in self._assignment.shards[self.me] if self._own_sum_as_of(now, w) >= since]
        self._set_round_sums(now, self._sum_order.choose(self.plan.sums, shard, self._aggregator.total))

    def _set_round_sums(self, now: float, wire_ids: Iterable[int]) -> None:
        """Set the sums of this round and their as-of times.

        Sorted by age, so that a datagram, which states only its oldest age, holds sums of similar age.
        """
        dated = [(self._own_sum_as_of(now, w), w) for w in wire_ids]
        self._round_sums = [(w, as_of) for as_of, w in sorted(dated) if as_of > NEVER]

    def _plan(self, last_round_ms: float, report_entries: float) -> Plan:
        shards = self._assignment.shards
        largest = max(len(shard) for shard in shards.values())
        return make_plan(self.limits, len(self._peer_order), len(shards[self.me]), largest, report_entries,
                         last_round_ms)

    def _send_round_to(self, now: float, member: int) -> list[Outgoing]:
        """Build the datagrams of this round for a peer."""
        self._peers[member].reports.begin_round()
        sums = [] if member in self._assignment.dead else list(self._round_sums)
        remaining = self.plan.reports
        outgoing = []
        while True:
            data, reported, more = self._datagram(now, member, remaining, sums)
            outgoing.append(Outgoing(member, data))
            remaining -= reported
            self._entries_reported += reported
            self._bucket.spend(len(data))
            self.sent_bytes += len(data)
            self.sent_datagrams += 1
            if not sums and (remaining <= 0 or not more):
                return outgoing

    def _datagram(self, now: float, member: int, limit: int,
                  sums: list[tuple[int, float]]) -> tuple[bytes, int, bool]:
        """Build the next datagram to a peer, and remove the sums that it holds from ``sums``.

        Returns the datagram, how many counts it reports, at most ``limit``, and whether more are pending.
        """
        peer = self._peers[member]
        wide = entry_capacity(self._dead_set, True)
        capacity = max(0, min(limit, REPORT_ENTRIES_MAX, wide))
        unsent = peer.reports.unsent(capacity + 1)
        more = len(unsent) > capacity
        report = {w: self._counts.get(w, 0) for w in unsent[:capacity]}
        entries = entry_capacity(self._dead_set, False) - len(report)
        sendable, unsent_sums = sums[:entries], sums[entries:]
        sums_entries = self._sums_for(member, sendable)
        if len(report) + len(sums_entries) > wide and any(
                map(needs_wide_entries, chain(report.values(), sums_entries.values()))):
            entries = wide - len(report)
            sendable, unsent_sums = sums[:entries], sums[entries:]
            sums_entries = self._sums_for(member, sendable)
        sums[:] = unsent_sums
        oldest = sendable[0][1] if sendable else now
        base = peer.reports.base
        peer.reports.record_sent(now, report)
        message = Message(self.epoch, peer.reports.number, base, more, peer.epoch or 0,
                          self._aggregator.applied(member), now - oldest, self._dead_set, report, sums_entries)
        return encode(message), len(report), more

    def _sums_for(self, member: int, sums: list[tuple[int, float]]) -> dict[int, int]:
        """The sums for a peer, of those workers that are still aggregated here."""
        owner, total_except = self._assignment.owner, self._aggregator.total_except
        return {w: min(COUNT_MAX, total_except(w, member)) for w, _ in sums if owner.get(w) == self.me}

    # Receiving

    def on_message(self, now: float, sender: int, data: bytes, capacities: Mapping[int, float],
                   random: Callable[[], float]) -> Received:
        """Handle a datagram; nothing is sent in reply."""
        peer = self._peers.get(sender)
        if peer is None:
            self.dropped[DropReason.STRANGER] += 1
            return NOTHING_RECEIVED
        try:
            message = decode(data)
        except MessageError:
            self.dropped[DropReason.UNREADABLE] += 1
            return NOTHING_RECEIVED
        if self._is_current_epoch(now, sender, peer, message):
            self._apply_message(now, sender, peer, message)
        else:
            self.dropped[DropReason.LATE] += 1
        return NOTHING_RECEIVED

    def _apply_message(self, now: float, sender: int, peer: _Peer, message: Message) -> None:
        """Apply a message of the sender's present epoch."""
        late = message.number <= peer.number
        if late:  # not counted as a heartbeat; applied, as sums carry their age, and reports their base
            self.dropped[DropReason.LATE] += 1
        else:
            peer.number = message.number
            peer.heard_at = now
            if sender in self._assignment.dead:
                self._on_member_alive(now, sender)
        built_after = self._process_echo(sender, peer, message, late)
        if not late or message.base:
            self._apply_report(sender, message, built_after)
        self._apply_sums(message, built_after)

    def _is_current_epoch(self, now: float, sender: int, peer: _Peer, message: Message) -> bool:
        """Whether a datagram is of its sender's present epoch; records a new epoch."""
        if message.epoch != peer.epoch:
            silent = now - peer.heard_at > self.plan.silent_ms
            if peer.epoch is not None and message.epoch < peer.epoch and not silent:
                return False
            peer.epoch = message.epoch
            peer.number = 0
            self._aggregator.restart_member(sender)
        return True

    def _process_echo(self, sender: int, peer: _Peer, message: Message, late: bool) -> float | None:
        """Apply the acknowledgement; returns a time after which the datagram was built, None if unproven.

        That is the send time of the datagram that it echoes.
        """
        known = message.echo if message.echo_epoch == self.epoch else 0
        if not late and not peer.reports.acknowledge(known):
            peer.reports.reset([w for w in self._counts if sender in self._targets(w)])
        return peer.reports.sent_time(known) if known else None

    def _apply_report(self, sender: int, message: Message, built_after: float | None) -> None:
        if not self._aggregator.apply(sender, message):
            self.dropped[DropReason.GAP] += 1
        elif not message.more and built_after is not None:
            self._aggregator.record_as_of(sender, built_after, message.dead, self._dead_set)

    def _apply_sums(self, message: Message, built_after: float | None) -> None:
        if not message.sums:
            return
        if built_after is None:
            self.dropped[DropReason.UNPROVEN] += 1
            return
        if not message.dead.is_covered_by(self._assignment.dead, self._dead_set):
            self.dropped[DropReason.DISAGREES] += 1
            return
        as_of = built_after - message.age_ms
        unlisted = self._sums.update(message.sums, as_of, self._assignment.owner)
        if unlisted:
            self.dropped[DropReason.UNLISTED] += unlisted

    # Failure detection

    def _review(self, now: float) -> None:
        """Detect silent members and update the age of sums, ``REVIEWS_PER_ROUND`` times a round."""
        if now - self._reviewed_at < self.plan.round_ms / REVIEWS_PER_ROUND:
            return
        stopped = now - self._reviewed_at > self.plan.silent_ms / 2
        self._reviewed_at = now
        self._aggregator.invalidate_ages()
        self._set_round_sums(now, [w for w, _ in self._round_sums])
        if stopped:  # this process was suspended, so that it cannot tell who was silent
            for peer in self._peers.values():
                peer.heard_at = max(peer.heard_at, now - self.plan.silent_ms / 2)
        silent_since = now - self.plan.silent_ms
        for member, peer in self._peers.items():
            if peer.heard_at >= silent_since:
                continue
            if member not in self._assignment.dead:
                self._on_member_dead(member)
            if now - peer.heard_at > max(self.limits.silent_counts_ttl_ms, self.plan.silent_ms):
                self._aggregator.clear_member(member)

    def _on_member_dead(self, member: int) -> None:
        """Mark a member as dead, and mark the counts of its workers in the reports to their new targets.

        These are the new owners, and dead members that would own the workers if they were alive.
        """
        previous_dead_above = {worker: self._assignment.dead_above(worker)
                               for worker in self._assignment.shards[member]}
        for worker, _, _ in self._assignment.mark_dead(member):
            for target in self._targets(worker):
                reports = self._peers[target].reports
                if target != member and target not in previous_dead_above[worker] and (
                        worker in self._counts or worker in reports.sent_ids):
                    reports.mark(worker)
        self._update_dead_set()

    def _on_member_alive(self, now: float, member: int) -> None:
        """Mark a member as alive: its workers return to it; the sums known here of these are kept."""
        for worker in list(self._assignment.shards[self.me]):
            if member in self._assignment.dead_above(worker):
                newest = self._newest_sum(worker, now)
                self._sums.update({worker: newest.peer_slots}, newest.as_of, self._assignment.owner)
        self._assignment.mark_alive(member)
        self._update_dead_set()

    def _update_dead_set(self) -> None:
        dead = self._assignment.dead
        self._dead_set = DeadSet.of(dead)
        self._aggregator.set_live(self._peers.keys() - dead)


__all__ = ["DropReason", "Limits", "Outgoing", "Received", "ShardedExchange"]
