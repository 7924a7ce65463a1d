"""The all-to-all exchange through its interface: what schedulers know of each other's counts."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Sequence

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gaphub.occupancy.all_to_all import AllToAll
from gaphub.occupancy.choice import MAX_PRICE, exchange_for
from gaphub.occupancy.exchange import ALL_PEERS, NoExchange, OccupancyExchange, Outgoing
from gaphub.occupancy.messages import DELTA_BYTES, ENTRIES_MAX, MESSAGE_BYTES_MAX, Kind, decode, encode
from gaphub.occupancy.pacing import FLUSH_DELAY_MS, HEARTBEAT_INTERVAL_MS, PEERS_PER_STEP
from gaphub.occupancy.peer_counts import HEARTBEAT_TTL_MS, REORDER_MS, PeerCounts
from gaphub.occupancy.sized import LARGE_FROM_PEERS, SizedExchange

WORKERS = range(1, 9)
SEEDS = st.integers(0, 2**32)
FEW = settings(max_examples=30, deadline=None)  # each example is a whole fleet with many messages


class Fleet:
    """Schedulers whose messages arrive at once; wakeups are collected and run in order of time."""

    def __init__(self, schedulers: int, draw: Callable[[], float]) -> None:
        self.now = 500.0
        self.draws = 0
        self.exchanges = [AllToAll(self.now, schedulers - 1) for _ in range(schedulers)]
        self.slots_out = [dict.fromkeys(WORKERS, 0) for _ in self.exchanges]
        self.capacities: list[dict[int, float]] = [{} for _ in self.exchanges]
        self.wakeups: list[list[float]] = [[] for _ in self.exchanges]
        self.sent: list[bytes] = []
        self._draw = draw
        for me, exchange in enumerate(self.exchanges):
            exchange.set_workers(0.0, self.slots_out[me], {})
            self.handle_output(me, ())

    def random(self) -> float:
        self.draws += 1
        return self._draw()

    def handle_output(self, me: int, messages: Sequence[Outgoing]) -> None:
        while (wakeup := self.exchanges[me].take_wakeup()) is not None:
            assert wakeup >= self.now
            self.wakeups[me].append(wakeup)
        for peer, data in messages:
            self.sent.append(data)
            for other in range(len(self.exchanges)) if peer == ALL_PEERS else (peer,):
                if other != me:
                    self.deliver(me, other, data)

    def deliver(self, sender: int, me: int, data: bytes) -> None:
        received = self.exchanges[me].on_message(self.now, sender, data, self.capacities[me], self.random)
        for kind, slots in received.capacities.items():
            self.capacities[me].setdefault(kind, slots)
        self.handle_output(me, received.replies)

    def change(self, me: int, worker: int, by: int) -> None:
        self.slots_out[me][worker] += by
        self.handle_output(
            me, self.exchanges[me].record_change(self.now, worker, self.slots_out[me][worker], by > 0))

    def run(self, ms: float) -> None:
        until = self.now + ms
        while (first := min((at, me) for me, due in enumerate(self.wakeups) for at in due))[0] <= until:
            self.now, me = first
            self.wakeups[me].remove(self.now)
            self.handle_output(me, self.exchanges[me].on_wakeup(self.now, self.now, self.random))
        self.now = until

    def expected_sums(self, me: int) -> dict[int, int]:
        return {w: sum(slots_out[w] for other, slots_out in enumerate(self.slots_out) if other != me)
                for w in WORKERS}


CHANGES = st.lists(st.tuples(st.integers(0, 99), st.sampled_from(WORKERS), st.booleans(), st.floats(0.0, 700.0)),
                   max_size=30)


@FEW
@given(st.sampled_from([2, 3, 9, 20]), CHANGES, SEEDS)
def test_all_know_what_the_others_have_out_within_the_time_that_ends_are_held(
        schedulers: int, changes: list[tuple[int, int, bool, float]], seed: int) -> None:
    fleet = Fleet(schedulers, random.Random(seed).random)
    fleet.run(0.0)
    held_ms = FLUSH_DELAY_MS * ((schedulers - 1) // PEERS_PER_STEP)
    for nth, random_worker, wants_more, pause_ms in changes:
        held = [(who, w) for who, slots_out in enumerate(fleet.slots_out) for w in WORKERS if slots_out[w]]
        more = wants_more or not held
        me, worker = (nth % schedulers, random_worker) if more else held[nth % len(held)]
        fleet.change(me, worker, 1 if more else -1)
        for other, exchange in enumerate(fleet.exchanges):
            assert exchange.complete(fleet.now)
            if more and other != me:  # an increased count is known at once
                assert exchange.peer_slots(worker) >= fleet.expected_sums(other)[worker]
        fleet.run(pause_ms)
    fleet.run(held_ms)
    for me, exchange in enumerate(fleet.exchanges):
        assert {w: exchange.peer_slots(w) for w in WORKERS} == fleet.expected_sums(me)


@FEW
@given(st.sampled_from([2, 3, 9, 20]), SEEDS)
def test_a_quiet_site_asks_once_and_is_heard_by_one_draw_a_turn(schedulers: int, seed: int) -> None:
    fleet = Fleet(schedulers, random.Random(seed).random)
    fleet.run(0.0)
    assert fleet.draws == schedulers * (1 + schedulers - 1)  # one per tick, and one per request of each peer
    fleet.sent.clear()
    for _ in range(20):
        fleet.draws = 0
        due = sum(at <= fleet.now + 0.75 * HEARTBEAT_INTERVAL_MS for wakeups in fleet.wakeups for at in wakeups)
        fleet.run(0.75 * HEARTBEAT_INTERVAL_MS)  # less than any time between two ticks
        assert fleet.draws == due
        assert all(len(wakeups) == 1 for wakeups in fleet.wakeups)
        assert all(exchange.complete(fleet.now) for exchange in fleet.exchanges)
    assert {data[0] for data in fleet.sent} <= {0xD0, 0xD1}
    assert not any(exchange.complete(fleet.now + HEARTBEAT_TTL_MS + 1.0) for exchange in fleet.exchanges)


@FEW
@given(CHANGES, SEEDS)
def test_who_starts_anew_is_told_all_and_counted_from_nothing(changes: list[tuple[int, int, bool, float]],
                                                              seed: int) -> None:
    fleet = Fleet(3, random.Random(seed).random)
    fleet.capacities[0] = {0: 4.0}
    fleet.run(0.0)
    for who, worker, _, _ in changes:
        fleet.change(who % 3, worker, 1)
    fleet.exchanges[2], fleet.slots_out[2], fleet.wakeups[2] = (
        AllToAll(fleet.now, 2), dict.fromkeys(WORKERS, 0), [])
    fleet.exchanges[2].set_workers(0.0, fleet.slots_out[2], {})
    fleet.handle_output(2, ())
    fleet.run(0.0)
    for me, exchange in enumerate(fleet.exchanges):
        assert {w: exchange.peer_slots(w) for w in WORKERS} == fleet.expected_sums(me)
    assert fleet.capacities[2] == {0: 4}  # with at most four peers, every one answers


@given(st.lists(st.tuples(st.integers(0, 5), st.booleans(), st.integers(0, 6)), max_size=30))
def test_of_a_worker_that_the_list_no_longer_names_it_is_told_that_nothing_is_out(
        steps: list[tuple[int, bool, int]]) -> None:
    exchange = AllToAll(0.0, 3)
    listed: dict[int, float] = {}
    for worker, named, out in steps:
        listed.pop(worker, None)
        if named:
            listed[worker] = float(out)
        exchange.set_workers(0.0, listed, {})
        (message,) = exchange.record_change(0.0, worker, float(out), True)
        assert decode(message.data) == (Kind.DELTA, message.data[1], {worker: out if named else 0})
    replies = exchange.on_message(0.0, 1, encode(Kind.SNAPSHOT_REQUEST, 0, []), {}, lambda: 0.9).replies
    snapshot = decode(replies[0].data)
    assert snapshot is not None and snapshot.kind == Kind.SNAPSHOT
    assert list(snapshot.entries.items()) == [item for item in listed.items() if item[1]]  # in list order
    assert {reply.peer for reply in replies} == {1}


@given(st.binary(max_size=60), st.integers(0, 5))
def test_whatever_comes_only_a_request_is_answered(data: bytes, sender: int) -> None:
    exchange = AllToAll(0.0, 9)
    received = exchange.on_message(0.0, sender, data, {0: 4.0}, lambda: 0.0)
    message = decode(data)
    is_request = message is not None and message.kind == Kind.SNAPSHOT_REQUEST
    assert [reply.peer for reply in received.replies] == [sender] * (2 if is_request else 0)
    assert bool(received.capacities) == (message is not None and message.kind == Kind.CAPACITY and len(data) > 2)


@given(st.sampled_from(Kind), st.integers(0, 255), st.binary(max_size=MESSAGE_BYTES_MAX + 9))
def test_a_message_that_is_read_is_written_alike(kind: Kind, sequence: int, entries: bytes) -> None:
    data = encode(kind, sequence, []) + entries
    message = decode(data)
    keys = [entries[at:at + 2] for at in range(0, len(entries), 3)]
    assert (message is None) == (len(entries) % 3 > 0 or len(keys) > ENTRIES_MAX)
    if message is not None and len(set(keys)) == len(keys):
        assert encode(message.kind, message.sequence, list(message.entries.items())) == data


@given(st.integers(0, 255), st.integers(1, 100).flatmap(lambda n: st.permutations(range(n))))
def test_of_messages_that_overtake_each_other_the_latest_holds(first: int, order: list[int]) -> None:
    peer_counts = PeerCounts(1)
    for at, nth in enumerate(order):
        peer_counts.receive(at * REORDER_MS / 101, 0, encode(Kind.DELTA, first + nth, [(7, 1 + nth)]))
    assert peer_counts.peer_slots(7) == len(order)


@pytest.mark.parametrize("others", [1, 39])
def test_the_way_follows_what_is_allowed_and_what_it_costs(others: int) -> None:
    max_price = MAX_PRICE * MESSAGE_BYTES_MAX / (2 * DELTA_BYTES * others)
    exchanges = [exchange_for(0.0, 0, others, allowed, price)
                 for allowed, price in ((True, 0.0), (True, 0.99 * max_price), (True, 1.01 * max_price),
                                        (False, 0.0))]
    used = AllToAll if others < LARGE_FROM_PEERS else SizedExchange
    assert [type(exchange) for exchange in exchanges] == [used, used, NoExchange, NoExchange]
    assert isinstance(exchange_for(0.0, 0, 0, True, 0.0), NoExchange)


def test_without_an_exchange_nothing_is_told_and_nothing_known() -> None:
    exchange: OccupancyExchange = NoExchange()
    exchange.set_workers(0.0, {1: 2.0}, {})
    messages = [*exchange.record_change(0.0, 1, 3.0, True), *exchange.announce_capacity({0: 4.0}),
                *exchange.on_wakeup(0.0, 0.0, lambda: 0.0)]
    received = exchange.on_message(0.0, 1, encode(Kind.SNAPSHOT_REQUEST, 0, [(1, 5)]), {0: 4.0}, lambda: 0.0)
    assert not messages and not received.replies and not received.capacities
    assert exchange.take_wakeup() is None
    assert not exchange.complete(0.0) and exchange.peer_slots(1) == 0


@given(st.lists(st.tuples(st.integers(0, 5), st.binary(max_size=9)), max_size=20))
def test_the_sums_in_use_are_of_distinct_peers(messages: list[tuple[int, bytes]]) -> None:
    exchange = AllToAll(0.0, 4)
    counts: Counter[int] = Counter()
    for sender, data in messages:
        exchange.on_message(0.0, sender, encode(Kind.SNAPSHOT, 0, [(3, len(data))]), {}, lambda: 0.0)
        counts[sender] = len(data)
        assert exchange.peer_slots(3) == sum(counts.values())
        assert exchange.complete(0.0) == (len(counts) >= 3)


@given(st.integers(0, 255), st.integers(-300, 300), st.floats(0.0, 10.0 * HEARTBEAT_TTL_MS))
def test_a_peer_that_is_heard_again_counts_whatever_its_sequence_number(first: int, step: int,
                                                                        pause_ms: float) -> None:
    peer_counts = PeerCounts(1)
    peer_counts.receive(0.0, 0, encode(Kind.SNAPSHOT, first, [(7, 1), (8, 1)]))
    silent = pause_ms > HEARTBEAT_TTL_MS
    assert peer_counts.complete(pause_ms) is not silent
    peer_counts.receive(pause_ms, 0, encode(Kind.DELTA, first + step, [(7, 2)]))
    overtaken = pause_ms < REORDER_MS and 0 < -step % 256 < 128
    assert peer_counts.complete(pause_ms)
    assert (peer_counts.peer_slots(7), peer_counts.peer_slots(8)) == (1 if overtaken else 2, 0 if silent else 1)
