"""The sharded exchange: assignment, ids, messages, budget, and the age of sums in a simulation."""

from __future__ import annotations

import os
import random
import subprocess
import sys
from itertools import permutations
from math import sqrt
from typing import Any

import pytest
from hypothesis import Phase, example, given, settings
from hypothesis import strategies as st

from gaphub.occupancy.assignment import Assignment
from gaphub.occupancy.budget import LARGE_FRACTION, Limits, SumOrder, TokenBucket, make_plan
from gaphub.occupancy.identity import Identities, fallback_id, primary_id
from gaphub.occupancy.messages import Kind
from gaphub.occupancy.messages import encode as encode_counts
from gaphub.occupancy.peer_counts import PeerCounts
from gaphub.occupancy.reports import PeerReports
from gaphub.occupancy.sharded import DropReason, Received, ShardedExchange
from gaphub.occupancy.sums_messages import (
    AGE_MAX_MS,
    COUNT_MAX,
    DEAD_NAMED_MAX,
    MESSAGE_BYTES_MAX,
    VERSION,
    DeadSet,
    Fault,
    Message,
    MessageError,
    decode,
    encode,
)

from .occupancy_network import Network, NetworkConditions, measure_at_size

IDS = st.integers(0, 2**32 - 1)
NUMBERS = st.integers(1, 2**32 - 1)
COLLIDING_NAMES = ("plumless", "buckeroo")  # two names with the same CRC-32
SEEDS = st.integers(0, 2**32)
# Failing simulations are not shrunk, as that would take minutes.
SIMULATED = settings(deadline=None, phases=[Phase.explicit, Phase.reuse, Phase.generate])


# Assignment

@given(st.sets(st.integers(0, 400), min_size=2, max_size=12),
       st.lists(st.tuples(st.sampled_from(["add", "remove", "down", "up"]), IDS, st.integers(0, 11)), max_size=60))
def test_every_worker_has_the_live_owner_that_its_scores_name(members: set[int],
                                                            steps: list[tuple[str, int, int]]) -> None:
    assignment, known = Assignment(members), set()
    order = sorted(members)
    for what, worker, place in steps:
        member = order[place % len(order)]
        if what == "add":
            known.add(worker)
            assignment.add(worker)
        elif what == "remove" and known:
            gone = sorted(known)[worker % len(known)]
            known.discard(gone)
            assignment.remove(gone)
        elif what == "down" and len(assignment.dead) + 1 < len(members):
            assignment.mark_dead(member)
        elif what == "up":
            assignment.mark_alive(member)
        live = members - assignment.dead
        assert assignment.owner == {w: max(live, key=lambda m: assignment.score(w, m)) for w in known}
        for w in known:
            own = assignment.score(w, assignment.owner[w])
            assert assignment.dead_above(w) == {m for m in assignment.dead if assignment.score(w, m) > own}
        assert {m: s for m, s in assignment.shards.items() if s} == {
            m: {w for w in known if assignment.owner[w] == m} for m in set(assignment.owner.values())}


@pytest.mark.parametrize("members", [10, 40, 200])
def test_shards_are_even_and_whoever_goes_moves_its_own_alone(members: int) -> None:
    assignment = Assignment(range(members))
    for number in range(4_000):
        assignment.add(primary_id(f"site/worker-{number}"))
    mean = 4_000 / members
    assert max(len(s) for s in assignment.shards.values()) < mean + 6 * sqrt(mean)
    before = dict(assignment.owner)
    for gone in range(0, members, max(1, members // 5)):
        own = {w for w, m in before.items() if m == gone}
        moves = assignment.mark_dead(gone)
        assert {m.worker for m in moves} == own
        assert len({m.new_owner for m in moves}) > min(members, len(own)) / 3  # spread over the other members
        assert {m.worker for m in assignment.mark_alive(gone)} == own
        assert assignment.owner == before


def test_the_last_live_member_cannot_go() -> None:
    assignment = Assignment([3, 4])
    assignment.mark_dead(3)
    with pytest.raises(ValueError, match="no member"):
        assignment.mark_dead(4)


def test_owners_are_the_same_in_another_process() -> None:
    code = ("from gaphub.occupancy.assignment import Assignment\na = Assignment(range(50))\n"
            "print([a.add(w * 7919) for w in range(500)])")
    outputs = {subprocess.run([sys.executable, "-c", code], capture_output=True, check=True, text=True, timeout=60,
                              env={**os.environ, "PYTHONHASHSEED": seed}).stdout for seed in ("1", "2")}
    here = Assignment(range(50))
    assert outputs == {f"{[here.add(w * 7919) for w in range(500)]}\n"}


# Ids

def test_names_that_share_an_id_are_told_apart_in_any_order() -> None:
    assert primary_id(COLLIDING_NAMES[0]) == primary_id(COLLIDING_NAMES[1])
    found = set()
    for names in permutations([*COLLIDING_NAMES, "another"]):
        identities = Identities()
        for number, name in enumerate(names):
            identities.add(number, name)
        ids = {name: identities.id_of(number) for number, name in enumerate(names)}
        assert len(set(ids.values())) == 3
        found.add(tuple(sorted(ids.items())))
    assert len(found) == 1


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 9),
                          st.one_of(st.sampled_from(COLLIDING_NAMES), st.text(max_size=3))), max_size=40))
def test_ids_depend_on_the_names_known_alone(steps: list[tuple[bool, int, str]]) -> None:
    identities, names = Identities(), dict[int, str]()
    ids = dict[int, int]()
    for add, number, name in steps:
        renamed = identities.add(number, name) if add else identities.remove(number)
        if add:
            names[number] = name
        else:
            names.pop(number, None)
        sharing = [primary_id(name) for name in set(names.values())]
        due = {n: primary_id(x) if sharing.count(primary_id(x)) == 1 else fallback_id(x) for n, x in names.items()}
        assert {n: identities.id_of(n) for n in names} == due
        for other, before, after in renamed:
            assert ids.pop(other, before) == before
            ids[other] = after
        assert all(ids.get(n, i) == i for n, i in due.items() if n != number)
        ids = due
        for wire_id in set(due.values()):
            assert identities.numbers_of(wire_id) == tuple(sorted(n for n in due if due[n] == wire_id))


def test_workers_that_share_an_id_after_all_are_each_credited_with_both() -> None:
    network = Network(1, 3, 2)
    name = network.workers[1_000]
    network.workers[2_000] = name  # two numbers with one name share an id
    for exchange in network.exchanges.values():
        exchange.add_worker(0.0, 2_000, name)
    network.set_count(0, 1_000, 3)
    network.set_count(0, 2_000, 4)
    network.run(8_000)
    assert [network.exchanges[1].peer_slots(w) for w in (1_000, 2_000)] == [7, 7]


# Messages

MESSAGES = st.builds(
    lambda head, age, dead, report, sums: Message(head[0], head[1] + 1, min(head[2], head[1]), head[3], head[4],
                                                  head[5], age * 100.0, DeadSet.of(dead), report, sums),
    st.tuples(IDS, st.integers(0, 2**32 - 2), IDS, st.booleans(), IDS, IDS), st.integers(0, 65_535),
    st.sets(st.integers(0, 399), max_size=20),
    st.dictionaries(IDS, st.integers(0, COUNT_MAX), max_size=15),
    st.dictionaries(IDS, st.integers(0, COUNT_MAX), max_size=15))


@given(MESSAGES)
def test_a_message_says_what_it_was_made_of(message: Message) -> None:
    data = encode(message)
    assert len(data) <= MESSAGE_BYTES_MAX
    assert decode(data) == message


@given(st.binary(max_size=300), st.one_of(st.none(), MESSAGES), st.integers(0, 300))
def test_garbage_is_a_message_or_an_error(data: bytes, message: Message | None, place: int) -> None:
    if message is not None:
        encoded = encode(message)
        data = encoded[:place] + data[:3] + encoded[place + 1:]
    for garbled in (data, bytes([VERSION]) + data):
        try:
            found = decode(garbled)
        except MessageError as error:
            assert error.fault in Fault
        else:
            assert found.number > found.base


@pytest.mark.parametrize("first", [*range(VERSION), *range(VERSION + 1, 256)])
def test_any_other_version_is_foreign(first: int) -> None:
    message = Message(1, 1, 0, False, 0, 0, 0.0, DeadSet.of(set()), {1: 1}, {})
    with pytest.raises(MessageError) as raised:
        decode(bytes([first]) + encode(message)[1:])
    assert raised.value.fault is Fault.UNKNOWN_FORMAT


def test_an_age_past_all_bounds_is_told_as_the_largest() -> None:
    message = Message(1, 1, 0, False, 0, 0, 1e18, DeadSet.of(set()), {}, {})
    assert decode(encode(message)).age_ms == AGE_MAX_MS


@given(st.sets(st.integers(0, 40), max_size=20), st.sets(st.integers(0, 40), max_size=20))
def test_views_are_compared_safely(own_dead: set[int], peer_dead: set[int]) -> None:
    decoded = decode(encode(Message(1, 1, 0, False, 0, 0, 0.0, DeadSet.of(peer_dead), {}, {}))).dead
    named = len(peer_dead) <= DEAD_NAMED_MAX
    assert decoded.is_covered_by(own_dead, DeadSet.of(own_dead)) == (
        peer_dead == own_dead or (named and peer_dead <= own_dead))
    required = frozenset(sorted(own_dead)[:3])
    assert decoded.includes(required, DeadSet.of(own_dead)) == (
        not required or peer_dead == own_dead or (named and required <= peer_dead))


# Received data

def _state(exchange: ShardedExchange, workers: range) -> list[tuple[int, float]]:
    return [(exchange.peer_slots(w), exchange.age(1e6, w)) for w in workers]


@given(SEEDS, st.lists(st.tuples(st.integers(-1, 5), st.binary(max_size=270)), max_size=20))
def test_garbage_and_strangers_change_nothing(seed: int, datagrams: list[tuple[int, bytes]]) -> None:
    network = Network(seed, 3, 4)
    network.run(4_000, 2)
    exchange, workers = network.exchanges[0], range(1_000, 1_004)
    before = _state(exchange, workers)
    for sender, data in datagrams:
        assert exchange.on_message(network.now, sender, data, {}, random.random) == Received()
        if sender in (1, 2):
            # Random data may begin with the version byte; this never does.
            assert exchange.on_message(network.now, sender, b"\xe2" + data, {}, random.random) == Received()
    if all(not data.startswith(bytes([VERSION])) for _, data in datagrams):
        assert _state(exchange, workers) == before
        assert sum(exchange.dropped.values()) >= len(datagrams)


@given(SEEDS, st.lists(st.binary(max_size=250), max_size=20))
def test_what_looks_like_a_message_raises_nothing_and_names_no_worker(seed: int, tails: list[bytes]) -> None:
    network = Network(seed, 3, 4)
    network.run(3_000, 2)
    exchange = network.exchanges[0]
    for tail in tails:
        for data in (bytes([VERSION, 0]) + tail, bytes([VERSION, 0, 0, 0, 0, 9, 0, 0, 0, 99, 0, 0, 0, 0]) + tail):
            assert exchange.on_message(network.now, 1, data, {}, random.random) == Received()
    network.run(1_000, 2)
    assert all(exchange.peer_slots(w) == 0 for w in (1, 2, 999, 1_004))


def test_entries_for_workers_never_listed_are_counted_and_dropped() -> None:
    network = Network(3, 3, 6)
    for exchange in network.exchanges.values():
        if exchange.me:
            exchange.add_worker(0.0, 77, "site/only-here")
    network.exchanges[1].record_change(0.0, 77, 5, True)
    network.run(30_000)
    first = network.exchanges[0]
    assert first.peer_slots(77) == 0 and first.age(network.now, 77) > 1e9
    assert first.dropped[DropReason.UNLISTED] + first.refused_entries() > 0


@SIMULATED
@given(SEEDS)
def test_a_worker_that_the_aggregator_lists_last_is_not_understated(seed: int) -> None:
    network = Network(seed, 4, 3)
    network.workers[77] = f"site/{seed}"
    last = network.rng.choice(network.members)
    for exchange in network.exchanges.values():
        if exchange.me != last:
            exchange.add_worker(0.0, 77, network.workers[77])
    network.set_count((last + 1) % 4, 77, 5)
    network.run(6_000)
    network.exchanges[last].add_worker(network.now, 77, network.workers[77])
    for _ in range(24):
        network.run(500, 1)
        assert network.understated() == []
    network.run(10_000)
    assert network.wrong_sums() == []


@SIMULATED
@given(SEEDS)
def test_a_datagram_taken_twice_is_taken_once(seed: int) -> None:
    network = Network(seed, 4, 6)
    network.conditions = NetworkConditions(loss=0.1, delay_ms=100.0)
    received: list[tuple[int, bytes]] = []
    exchange = network.exchanges[0]
    on_message = exchange.on_message

    def deliver_repeatedly(now: float, sender: int, data: bytes, *rest: Any) -> Received:
        on_message(now, sender, data, *rest)
        received.append((sender, data))
        before = _state(exchange, range(1_000, 1_006)), exchange.heard_members()
        for again in network.rng.sample(received, min(3, len(received))):
            on_message(now, *again, *rest)
        on_message(now, sender, data, *rest)
        assert (_state(exchange, range(1_000, 1_006)), exchange.heard_members()) == before
        return Received()

    exchange.on_message = deliver_repeatedly  # type: ignore[method-assign, assignment]
    network.run(15_000, 3)
    assert len(received) > 20
    assert exchange.dropped[DropReason.LATE] >= len(received)


@given(SEEDS, st.sampled_from(Kind), st.integers(0, 255),
       st.dictionaries(st.integers(0, 65_535), st.integers(0, 255), max_size=84))
def test_old_messages_change_nothing_new_and_new_nothing_old(seed: int, what: Kind, number: int,
                                                            table: dict[int, int]) -> None:
    network = Network(seed, 3, 4)
    network.run(4_000, 2)
    exchange, workers = network.exchanges[0], range(1_000, 1_004)
    before = _state(exchange, workers), exchange.heard_members()
    old = encode_counts(what, number, list(table.items()))
    for data in (old, b"\xc2\x01", b"gh1" + old[:200]):
        exchange.on_message(network.now, 1, data, {}, random.random)
    assert (_state(exchange, workers), exchange.heard_members()) == before
    assert exchange.dropped[DropReason.UNREADABLE] == 3
    peer_counts = PeerCounts(2)
    peer_counts.receive(0.0, 1, old)
    totals, heard = dict(peer_counts.total), dict(peer_counts.heard_at)
    network.now += 2_000
    outgoing = exchange.on_wakeup(network.now, network.now, random.random)
    assert outgoing
    for _, data in outgoing:
        assert peer_counts.receive(1.0, 2, data) is None
    assert (peer_counts.total, peer_counts.heard_at) == (totals, heard)


def test_a_list_that_names_fewer_workers_leaves_those_with_slots_out_reported() -> None:
    network = Network(5, 3, 30)
    assignment = Assignment(range(3))  # a worker that its aggregator does not list gets no new sums
    gone, kept, idle = [n for n, name in network.workers.items() if assignment.add(primary_id(name))][:3]
    network.set_count(0, gone, 2)
    network.run(8_000)
    first, second = network.exchanges[0], network.exchanges[1]
    first.set_workers(0.0, {kept: 1.5, 4_711: 9.0}, {})
    network.run(4_000)
    assert [second.peer_slots(w) for w in (gone, kept, idle)] == [2, 2, 0]
    assert first.age(network.now, idle) > 1e9 and first.peer_slots(4_711) == 0
    first.record_change(network.now, gone, 0.0, False)
    network.run(4_000)
    assert [second.peer_slots(w) for w in (gone, kept, idle)] == [0, 2, 0]
    assert first.age(network.now, gone) > 1e9


# Reports

@given(st.lists(st.tuples(st.sampled_from(["mark", "round", "lose"]), st.integers(0, 20)), max_size=80))
def test_what_is_acknowledged_was_told(steps: list[tuple[str, int]]) -> None:
    reports, truth, peer = PeerReports(), dict[int, int](), dict[int, int]()
    applied = 0
    applied_after: list[int] = []
    for what, value in steps:
        if what == "mark":
            truth[value] = truth.get(value, 0) + 1
            reports.mark(value)
            continue
        reports.begin_round()
        for _ in range(1 + value % 3):
            entries = reports.unsent(1 + value % 4)
            base = reports.base
            reports.record_sent(0.0, entries)
            if (what != "lose" or reports.number % 2) and base <= applied:
                peer.update({w: truth[w] for w in entries})
                applied = reports.number
            applied_after.append(applied)
        if value % 2:  # acknowledged late, as when datagrams cross
            assert (reports.acknowledge(applied_after[max(0, len(applied_after) - 4)])
                    or applied_after[max(0, len(applied_after) - 4)] < applied)
    for _ in range(60):
        reports.begin_round()
        entries = reports.unsent(10)
        base = reports.base
        reports.record_sent(0.0, entries)
        assert base <= applied
        peer.update({w: truth[w] for w in entries})
        applied = reports.number
        reports.acknowledge(applied)
    assert peer == truth
    assert reports.unsent(1) == []


def test_a_datagram_acknowledges_nothing_of_earlier_rounds() -> None:
    reports = PeerReports()
    for worker in (1, 2, 3):
        reports.mark(worker)
    reports.begin_round()
    reports.record_sent(0.0, reports.unsent(3))  # lost
    reports.begin_round()
    reports.record_sent(0.0, reports.unsent(1))  # applied
    assert reports.acknowledge(2)
    reports.begin_round()
    assert reports.base == 2
    assert reports.unsent(9) == [2, 3]


# The budget

@given(st.floats(300.0, 50_000.0), st.lists(st.tuples(st.floats(0.0, 200.0), st.integers(100, 256)),
                                            min_size=20, max_size=200))
def test_the_bucket_holds_over_any_time(rate: float, requests: list[tuple[float, int]]) -> None:
    bucket, now = TokenBucket(0.0, rate), 0.0
    sent = list[tuple[float, int]]()
    for wait, size in requests:
        now += wait
        if bucket.allows(now):
            bucket.spend(size)
            sent.append((now, size))
    for first in range(0, len(sent), 7):
        for last in range(first, len(sent), 5):
            total = sum(size for _, size in sent[first:last + 1])
            assert total <= rate * (sent[last][0] - sent[first][0]) / 1_000.0 + max(rate, 256.0) + 1e-6


@pytest.mark.parametrize("rate", [300.0, 2_000.0, 11_000.0])
def test_the_bucket_gives_what_it_has_and_no_more(rate: float) -> None:
    bucket, sent = TokenBucket(0.0, rate), 0
    for now in range(0, 60_000, 5):
        while bucket.allows(now):
            bucket.spend(200)
            sent += 200
    assert 0.95 * 60 * rate - 256 <= sent <= 60 * rate


@given(st.integers(1, 400), st.integers(1, 1_100), st.integers(0, 300), st.floats(1_000.0, 40_000.0))
def test_the_bound_grows_as_the_budget_binds(peers: int, shard: int, reports: int, rate: float) -> None:
    def bound(rate: float, shard: int, reports: float) -> float:
        return make_plan(Limits(bytes_per_s=rate), peers, shard, shard, reports, 0.0).age_bound_ms

    usual = bound(rate, shard, reports)
    assert bound(rate / 2, shard, reports) >= usual
    assert bound(rate, shard * 2, reports) >= usual
    assert bound(rate, shard, reports + 50) >= usual
    result = make_plan(Limits(bytes_per_s=rate), peers, shard, shard, reports, 0.0)
    assert result.age_bound_ms >= result.silent_ms + result.round_ms + result.cycle_ms


@given(st.integers(1, 60), st.integers(4, 40), st.randoms())
def test_each_sum_is_told_in_its_turn_whatever_the_others_do(shard: int, limit: int, rnd: random.Random) -> None:
    order, totals = SumOrder(), dict.fromkeys(range(shard), 4)
    sent_in_round = dict[int, int]()
    first = -(-shard // limit)
    cycle = -(-shard // max(1, limit - int(limit * LARGE_FRACTION)))
    for number in range(first + 3 * cycle + 2):
        chosen = order.choose(limit, totals, totals.__getitem__)
        assert len(chosen) == len(set(chosen)) == min(limit, shard)
        for worker in chosen:
            sent_in_round[worker] = number
        if number >= first:
            assert all(number - sent_in_round[w] <= cycle for w in totals)
        for worker in rnd.sample(sorted(totals), shard // 2):
            totals[worker] = rnd.randrange(100)


def test_a_large_change_goes_first() -> None:
    order, totals = SumOrder(), dict.fromkeys(range(100), 20)
    for _ in range(10):
        order.choose(10, totals, totals.__getitem__)
    last = order.choose(10, totals, totals.__getitem__)
    totals[last[0]] = 5  # sent in the last round
    totals[last[1]] = 21
    chosen = order.choose(10, totals, totals.__getitem__)
    assert last[0] in chosen and last[1] not in chosen


@settings(SIMULATED, max_examples=15)
@given(SEEDS, st.integers(2, 8), st.integers(1, 60), st.floats(300.0, 6_000.0), st.integers(0, 60))
@example(1, 8, 60, 300.0, 30)
def test_no_load_makes_a_member_send_more_than_its_budget(seed: int, members: int, workers: int, rate: float,
                                                         changes: int) -> None:
    network = Network(seed, members, workers, Limits(bytes_per_s=rate))
    network.conditions = NetworkConditions(loss=0.2, duplication=0.2, delay_ms=800.0)
    network.run(12_000, changes)
    network.exchanges.pop(members - 1, None)
    network.run(8_000, changes)
    for sent in network.bytes_sent.values():
        for first in range(0, len(sent), 3):
            total = 0
            for at, size in sent[first:]:
                total += size
                # A burst of one second, and the datagrams that are sent to one peer together.
                assert total <= rate * (at - sent[first][0]) / 1_000.0 + 2 * max(rate, 1_000.0)


# The age of sums

EVENTS = st.lists(st.tuples(
    st.sampled_from(["calm", "storm", "kill", "start", "stop", "wake", "part", "join", "deaf"]),
    st.integers(0, 7), st.integers(1, 18)), min_size=3, max_size=12)


def _apply_event(network: Network, what: str, member: int) -> None:
    member %= len(network.members)
    if what == "calm":
        network.conditions = NetworkConditions()
    elif what == "storm":
        network.conditions = NetworkConditions(loss=0.25, duplication=0.2, delay_ms=1_500.0)
    elif what == "kill" and len(network.exchanges) > 1 and member in network.exchanges:
        network.kill(member)
    elif what == "start" and member not in network.exchanges:
        network.start(member)
    elif what == "stop" and member in network.exchanges:
        network.suspended.add(member)
    elif what == "wake" and member in network.exchanges:
        network.resume(member)
    elif what == "part":
        network.is_cut = lambda a, b: (a < member) != (b < member)
    elif what == "deaf":
        network.is_cut = lambda a, b: b == member
    elif what == "join":
        network.is_cut = lambda a, b: False


@settings(SIMULATED, max_examples=60)
@given(SEEDS, st.integers(2, 7), st.integers(1, 12), EVENTS)
def test_no_sum_lacks_what_stood_for_longer_than_its_age(seed: int, members: int, workers: int,
                                                        events: list[tuple[str, int, int]]) -> None:
    network = Network(seed, members, workers, Limits(silent_counts_ttl_ms=10_000.0))
    for what, member, steps in events:
        _apply_event(network, what, member)
        for _ in range(steps):
            network.run(500, 1)
            assert network.understated() == []
    # Once the faults are over, every sum becomes correct and fresh.
    for member in network.members:
        _apply_event(network, "wake", member)
        _apply_event(network, "start", member)
    _apply_event(network, "join", 0)
    _apply_event(network, "calm", 0)
    for _ in range(60):
        network.run(500)
        assert network.understated() == []
    assert network.stale_sums() == []
    assert network.wrong_sums() == []
    assert all(e.complete(network.now) for e in network.exchanges.values())


@settings(SIMULATED, max_examples=10)
@given(SEEDS, st.integers(2, 12), st.integers(1, 80))
def test_in_a_calm_no_sum_is_older_than_the_bound(seed: int, members: int, workers: int) -> None:
    network = Network(seed, members, workers)
    network.run(3 * network.exchanges[0].plan.age_bound_ms, 3)
    for _ in range(40):
        network.run(500, 3)
        assert network.stale_sums() == []


@settings(SIMULATED, max_examples=10)
@given(SEEDS, st.booleans())
def test_sums_hold_while_an_aggregator_is_replaced(seed: int, stops: bool) -> None:
    network = Network(seed, 6, 30)
    network.run(15_000, 2)
    gone = network.rng.choice(network.members)
    if stops:
        network.suspended.add(gone)
    else:
        network.kill(gone)
    for _ in range(60):
        network.run(500, 2)
        assert network.understated() == []
        assert [line for line in network.stale_sums() if not line.startswith(f"{gone} ")] == []


@settings(SIMULATED, max_examples=4)
@given(SEEDS)
def test_two_halves_go_on_and_come_back_within_the_budget(seed: int) -> None:
    network = Network(seed, 20, 24, Limits(silent_counts_ttl_ms=15_000.0))
    network.run(12_000, 2)
    network.is_cut = lambda a, b: (a < 10) != (b < 10)
    for _ in range(20):
        network.run(2_000, 2)
        assert network.understated() == []
    assert network.stale_sums() == []
    assert [e.heard_members() for e in network.exchanges.values()] == [
        frozenset(m for m in network.members if (m < 10) == (me < 10) and m != me) for me in network.members]
    network.is_cut = lambda a, b: False
    healed_at = network.now
    for _ in range(15):
        network.run(1_000, 2)
        assert network.understated() == []
    network.run(15_000)
    assert network.stale_sums() == [] and network.wrong_sums() == []
    for sent in network.bytes_sent.values():
        assert sum(size for at, size in sent if healed_at <= at < healed_at + 5_000) <= 7 * 11_000


@settings(SIMULATED, max_examples=10)
@given(SEEDS)
def test_a_restart_of_all_says_nothing_it_does_not_know(seed: int) -> None:
    network = Network(seed, 5, 10)
    network.run(10_000, 3)
    for member in network.members:
        network.kill(member)
    for member in network.members:
        network.start(member)
    assert not any(e.complete(network.now) for e in network.exchanges.values())
    for _ in range(30):
        network.run(500, 3)
        assert network.understated() == []
    assert network.stale_sums() == []


def test_the_measurement_at_a_small_size() -> None:
    measured = measure_at_size(12, 25, workers=300, changes_per_s=200, running=3_000)
    assert measured.bytes_out <= 11_000 * 1.1
    assert measured.unknown == 0
    assert 0 < measured.age_p99_ms <= measured.age_bound_ms
    assert measured.off_p99 <= 10
