"""The choice between the two ways of telling occupancy: at the border, among old processes, and in faults."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from heapq import heappop, heappush

import pytest
from hypothesis import Phase, example, given, settings
from hypothesis import strategies as st

from gaphub.metrics import Counters
from gaphub.occupancy import sized
from gaphub.occupancy.all_to_all import AllToAll
from gaphub.occupancy.exchange import ALL_PEERS, CAPACITY_REPLIES, Outgoing
from gaphub.occupancy.messages import Kind, decode, encode
from gaphub.occupancy.sharded import DropReason
from gaphub.occupancy.sized import (
    EPOCH_MS,
    LARGE_FROM_WORKERS,
    SMALL_BELOW_WORKERS,
    SizedExchange,
    epoch_at,
)
from gaphub.occupancy.sums_messages import VERSION, DeadSet, Message
from gaphub.occupancy.sums_messages import encode as encode_sums

LARGE = 12  # workers; the borders of these tests, so that an example takes milliseconds
SMALL = 8
SILENT_MS = 6_500.0  # a sharded peer is dead by then: five rounds, and the next look
SEEDS = st.integers(0, 2**32)
# A failing simulation is told as it was drawn: making it smaller would take minutes.
SIMULATED = settings(deadline=None, max_examples=12, phases=[Phase.explicit, Phase.reuse, Phase.generate])
FEW = settings(SIMULATED, max_examples=2)  # seconds each


@pytest.fixture(autouse=True, scope="module")
def low_borders() -> Iterator[None]:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(sized, "LARGE_FROM_WORKERS", LARGE)
        patch.setattr(sized, "SMALL_BELOW_WORKERS", SMALL)
        yield


Exchange = AllToAll | SizedExchange


class Fleet:
    """Schedulers, old and new, the datagrams between them, and what is truly out."""

    def __init__(self, seed: int, members: int, workers: int = LARGE, old: Sequence[int] = ()) -> None:
        self.rnd = random.Random(seed)
        self.now = 1e9 + 10_000.0 * self.rnd.random()
        self.members = range(members)
        self.workers = list(range(1, workers + 1))
        self.loss = self.doubled = 0.0
        self.delay_ms = 1.0
        self.exchanges: dict[int, Exchange] = {}
        self.own: dict[int, dict[int, int]] = {}
        self.capacities: dict[int, dict[int, float]] = {}
        self.wakeups: dict[int, list[float]] = {}
        self.draws = 0
        self.sent: list[tuple[int, int, bytes]] = []  # sender, receiver, data
        self._flying: list[tuple[float, int, int, int, bytes]] = []
        self._number = 0
        for member in self.members:
            self.start(member, member in old)

    def random(self) -> float:
        self.draws += 1
        return self.rnd.random()

    def start(self, member: int, old: bool) -> None:
        """A new life, with nothing out."""
        others = len(self.members) - 1
        self.exchanges[member] = AllToAll(self.now, others) if old else SizedExchange(self.now, member, others)
        self.own[member] = dict.fromkeys(self.workers, 0)
        self.capacities[member] = {}
        self.wakeups[member] = []
        self.take_list(member)

    def stop(self, member: int) -> None:
        """Gone, and all that it had out."""
        del self.exchanges[member]
        self.own[member] = dict.fromkeys(self.workers, 0)

    def take_list(self, member: int) -> None:
        """The list comes, and is the fleet's present one."""
        self.own[member] = {w: self.own[member].get(w, 0) for w in self.workers}
        self.exchanges[member].set_workers(self.now, self.own[member], {w: 10**12 + w for w in self.workers})
        self.carry(member, ())

    def lists(self, workers: int) -> None:
        """All take a list of so many."""
        self.workers = list(range(1, workers + 1))
        for member in self.exchanges:
            self.take_list(member)

    def carry(self, member: int, told: Sequence[Outgoing]) -> None:
        while (wakeup := self.exchanges[member].take_wakeup()) is not None:
            self.wakeups[member].append(wakeup)
        for to, data in told:
            for peer in self.members if to == ALL_PEERS else (to,):
                if peer != member:
                    self.sent.append((member, peer, data))
                    self._send(member, peer, data)

    def _send(self, member: int, peer: int, data: bytes) -> None:
        for _ in range(2 if self.rnd.random() < self.doubled else 1):
            if self.rnd.random() >= self.loss:
                self._number += 1
                at = self.now + self.rnd.random() * self.delay_ms
                heappush(self._flying, (at, self._number, member, peer, data))

    def change(self, member: int, worker: int, by: int) -> None:
        own = self.own[member]
        own[worker] = max(0, own[worker] + by)
        self.carry(member, self.exchanges[member].record_change(self.now, worker, own[worker], by > 0))

    def busy(self, changes: int) -> None:
        for _ in range(changes):
            member = self.rnd.choice(list(self.exchanges))
            self.change(member, self.rnd.choice(self.workers), self.rnd.choice((-1, 1, 1)))

    def run(self, ms: float, changes: int = 0) -> None:
        """Let time pass, with so many changes each 100 ms."""
        end, change_at = self.now + ms, self.now
        while True:
            due = [(min(w), m) for m, w in self.wakeups.items() if w and m in self.exchanges]
            at, member = min(due)
            at = min(at, change_at, self._flying[0][0] if self._flying else at)
            if at > end:
                self.now = end
                return
            self.now = max(self.now, at)
            if at == change_at:
                change_at += 100.0
                self.busy(changes)
            elif self._flying and at == self._flying[0][0]:
                _, _, sender, peer, data = heappop(self._flying)
                if peer in self.exchanges:
                    self.hear(peer, sender, data)
            else:
                self.wakeups[member].remove(at)
                self.carry(member, self.exchanges[member].on_wakeup(self.now, at, self.random))

    def hear(self, member: int, sender: int, data: bytes) -> None:
        found = self.exchanges[member].on_message(self.now, sender, data, self.capacities[member], self.random)
        for kind, slots in found.capacities.items():
            self.capacities[member].setdefault(kind, slots)
        self.carry(member, found.replies)

    def of_others(self, member: int) -> dict[int, int]:
        """What the others truly have out."""
        return {w: sum(self.own[m][w] for m in self.members if m != member) for w in self.workers}

    def known(self, member: int) -> dict[int, int]:
        """What a scheduler believes of that."""
        return {w: self.exchanges[member].peer_slots(w) for w in self.workers}

    def bound_ms(self) -> float:
        """The age bound of sums, the largest of those that are stated."""
        plans = [e.sharded.plan for e in self.exchanges.values() if isinstance(e, SizedExchange) and e.sharded]
        return max((plan.age_bound_ms for plan in plans), default=0.0)

    def new(self) -> list[int]:
        return [m for m, e in self.exchanges.items() if isinstance(e, SizedExchange)]


def counts_told(messages: Sequence[tuple[int, int, bytes]]) -> list[tuple[int, int, bytes]]:
    """Those that tell counts all to all."""
    return [m for m in messages if (found := decode(m[2])) is not None and found.kind is not Kind.CAPACITY]


# Below the size

EVENTS = st.lists(st.tuples(st.sampled_from(["change", "list", "hear", "announce", "wake", "garbage", "sums"]),
                            st.integers(0, 9), st.integers(0, 40), st.floats(0.0, 900.0)), max_size=60)


@given(EVENTS, SEEDS, st.integers(8, 20))
def test_below_the_size_it_is_the_exchange_all_to_all(events: list[tuple[str, int, int, float]], seed: int,
                                                      others: int) -> None:
    now, listed = 1e9, dict.fromkeys(range(1, 5), 0.0)
    ways: list[Exchange] = [AllToAll(now, others), SizedExchange(now, 2, others)]
    draws = [random.Random(seed), random.Random(seed)]
    due: list[float] = []

    def both(call: Callable[[Exchange, Callable[[], float]], object]) -> object:
        plain, chosen = (call(way, draw.random) for way, draw in zip(ways, draws, strict=True))
        assert plain == chosen
        assert draws[0].getstate() == draws[1].getstate()
        while (wakeup := ways[0].take_wakeup()) is not None:
            assert ways[1].take_wakeup() == wakeup
            due.append(wakeup)
        assert ways[1].take_wakeup() is None
        return plain

    both(lambda way, draw: None)
    for what, sender, number, pause in events:
        now += pause
        if what == "change":
            worker = number % 6 + 1
            listed[worker] = float(sender)
            both(lambda way, _: way.record_change(now, worker, float(sender), sender > 4))  # noqa: B023
        elif what == "list":
            listed = {w: listed.get(w, 0.0) for w in range(1, number % LARGE)}
            both(lambda way, _: way.set_workers(now, dict(listed), {}))  # noqa: B023
        elif what == "announce":
            both(lambda way, _: way.announce_capacity({0: float(number)}))  # noqa: B023
        elif what == "wake" and due:
            at = due.pop(due.index(min(due)))
            now = max(now, at)
            both(lambda way, draw: way.on_wakeup(now, at, draw))  # noqa: B023
        else:
            kind = Kind(number % 4)
            data = encode(kind, number, [(number % 6, sender)]) if what == "hear" else (
                bytes((VERSION if what == "sums" else 0xD0 + number, number)) + bytes(sender))
            both(lambda way, draw: way.on_message(now, sender % others, data, {0: 4.0}, draw))  # noqa: B023
        for worker in range(8):
            assert ways[0].peer_slots(worker) == ways[1].peer_slots(worker)
        assert ways[0].complete(now) == ways[1].complete(now)
        assert ways[1].heard_share == ways[0].heard_share > 0.0


def test_the_borders_are_as_documented_and_wide_enough_to_stay_on_one_side() -> None:
    assert (LARGE_FROM_WORKERS, SMALL_BELOW_WORKERS) == (2_000, 1_500)
    exchange = SizedExchange(1e9, 0, 8)
    for workers, large in ((LARGE - 1, False), (LARGE, True), (SMALL, True), (SMALL - 1, False), (SMALL, False),
                           (LARGE - 1, False), (LARGE, True)):
        exchange.set_workers(1e9, dict.fromkeys(range(workers), 0.0), {})
        assert (exchange.sharded is not None) is large is (exchange.heard_share == 0.0)


# Across the border

@SIMULATED
@given(SEEDS, st.lists(st.tuples(st.sampled_from([SMALL - 2, SMALL, LARGE - 1, LARGE, LARGE + 6]),
                                 st.sampled_from([0.0, 30.0, 150.0, 900.0, 4_000.0])), min_size=3, max_size=8))
@example(3, [(LARGE, 900.0), (SMALL - 2, 30.0), (LARGE, 30.0), (SMALL - 2, 0.0), (LARGE, 30.0)])
def test_whichever_way_the_list_goes_each_way_keeps_one_chain_of_wakeups(
        seed: int, lengths: list[tuple[int, float]]) -> None:
    fleet = Fleet(seed, 9, SMALL - 2)
    fleet.loss, fleet.doubled, fleet.delay_ms = 0.1, 0.1, 200.0
    for workers, pause in lengths:
        fleet.lists(workers)
        fleet.run(pause, changes=2)
    fleet.run(1_500.0, changes=2)  # what was wanted of a former sharded way has come by then
    for member, exchange in fleet.exchanges.items():
        assert isinstance(exchange, SizedExchange)
        # A turn, perhaps what is held back, and a moment of the sharded way.
        assert len(fleet.wakeups[member]) <= (3 if exchange.sharded else 2)
    woken = Counter[int]()
    for _ in range(20):
        fleet.run(100.0)
        woken.update(m for m, wakeups in fleet.wakeups.items() for _ in wakeups)
    assert max(woken.values()) <= 20 * 3


@FEW
@given(SEEDS)
@example(7)
def test_a_fleet_whose_list_grows_and_shrinks_again_knows_what_is_out(seed: int) -> None:
    fleet = Fleet(seed, 9, SMALL - 2)
    for workers in (SMALL - 2, LARGE, SMALL - 2, LARGE):
        fleet.lists(workers)
        fleet.run(2_000.0, changes=3)
        fleet.run(2 * fleet.bound_ms() + 4_000.0)
        for member, exchange in fleet.exchanges.items():
            assert exchange.complete(fleet.now)
            assert fleet.known(member) == fleet.of_others(member)


@pytest.mark.parametrize("between_ms", [0.0, EPOCH_MS / 2, 3 * EPOCH_MS, 5_000.0])
def test_one_whose_list_shrinks_for_a_moment_is_not_taken_for_its_own_past(between_ms: float) -> None:
    fleet = Fleet(1, 9)
    fleet.run(12_000.0, changes=3)
    workers = fleet.workers
    fleet.workers = workers[:SMALL - 1]
    fleet.take_list(0)
    fleet.run(between_ms)
    fleet.workers = workers
    fleet.take_list(0)
    before = {m: fleet.exchanges[m].sharded.dropped[DropReason.LATE] for m in fleet.members[1:]}  # type: ignore[union-attr]
    fleet.run(4_000.0)
    after = {m: fleet.exchanges[m].sharded.dropped[DropReason.LATE] for m in fleet.members[1:]}  # type: ignore[union-attr]
    assert after == before


# Among old processes

@FEW
@given(SEEDS, st.sampled_from([9, 12]), st.sampled_from([0.0, 0.1]))
@example(1, 9, 0.0)
def test_old_and_new_know_each_others_counts(seed: int, members: int, loss: float) -> None:
    rnd = random.Random(seed)
    old = rnd.sample(range(members), rnd.randint(1, members - 1))
    fleet = Fleet(seed, members, old=old)
    fleet.loss, fleet.doubled, fleet.delay_ms = loss, loss, 30.0
    fleet.run(3 * SILENT_MS, changes=3)
    fleet.loss = fleet.doubled = 0.0
    fleet.run(1.0)
    for _ in range(8):
        fleet.busy(4)
        fleet.run(3_000.0)  # ends held back, and a snapshot for what was lost
        for member in old:
            assert fleet.exchanges[member].complete(fleet.now)
            assert fleet.known(member) == fleet.of_others(member)
        for member in fleet.new():  # what an old one has out is known as today
            ours = [m for m in fleet.new() if m != member]
            known = fleet.known(member)
            assert all(known[w] >= sum(fleet.own[m][w] for m in old) for w in fleet.workers)
            assert ours or known == fleet.of_others(member)
    fleet.run(2 * fleet.bound_ms())
    for member in fleet.new():
        assert fleet.exchanges[member].complete(fleet.now)
        assert fleet.known(member) == fleet.of_others(member)


def rolled(fleet: Fleet, order: Sequence[int], old: bool, down_ms: float, between_ms: float) -> None:
    """One process after the other is replaced, under load; what stands is covered whenever sums are used."""
    for member in order:
        fleet.stop(member)
        fleet.run(down_ms, changes=2)
        fleet.start(member, old)
        fleet.run(between_ms, changes=2)


def uncovered(fleet: Fleet) -> list[str]:
    """Sums that are used and lack what has stood for longer than they may be old."""
    return [f"{fleet.now}: {m} at {w}: {e.peer_slots(w)} of {others[w]}" for m, e in fleet.exchanges.items()
            if e.complete(fleet.now) for others in (fleet.of_others(m),) for w in fleet.workers
            if e.peer_slots(w) < others[w]]


@FEW
@given(SEEDS, st.sampled_from([50.0, 2_000.0, 8_000.0]), st.booleans())
@example(5, 50.0, True)
@example(110688, 50.0, False)
def test_a_rolling_upgrade_in_any_order_and_back_loses_no_counts(seed: int, down_ms: float,
                                                                 restarts: bool) -> None:
    fleet = Fleet(seed, 9, old=range(9))
    order = list(fleet.members)
    for old in (False, True, False):
        fleet.rnd.shuffle(order)
        half = len(order) // 2
        rolled(fleet, order[:half], old, down_ms, 3_000.0)
        if restarts:  # two are restarted half way as they are
            for member in order[half - 1:half + 1]:
                rolled(fleet, [member], isinstance(fleet.exchanges[member], AllToAll), down_ms, 500.0)
        fleet.run(fleet.bound_ms() + 8_000.0)
        assert not uncovered(fleet)
        assert all(e.complete(fleet.now) for e in fleet.exchanges.values())
        rolled(fleet, order[half:], old, down_ms, 3_000.0)
        fleet.run(fleet.bound_ms() + 8_000.0)
        assert not uncovered(fleet)
        assert all(e.complete(fleet.now) for e in fleet.exchanges.values())
    fleet.run(70_000.0)  # counts of former lives stand for a minute
    fleet.sent.clear()
    fleet.run(5_000.0)
    assert not counts_told(fleet.sent)
    for member in fleet.members:
        assert fleet.known(member) == fleet.of_others(member)


@pytest.mark.parametrize("down_ms", [50.0, 1_500.0, 4_000.0])
def test_one_that_is_rolled_back_is_informed_before_it_would_drop_the_counts_of_others(down_ms: float) -> None:
    fleet = Fleet(2, 9)
    fleet.delay_ms = 0.0  # a message that is overtaken waits for the next snapshot
    fleet.run(10_000.0, changes=3)
    fleet.stop(4)
    fleet.run(down_ms)
    fleet.start(4, old=True)
    fleet.run(500.0)
    for _ in range(12):
        fleet.busy(3)
        fleet.run(500.0)
        assert fleet.exchanges[4].complete(fleet.now)
        assert fleet.known(4) == fleet.of_others(4)


def test_an_old_peer_is_still_told_when_something_that_only_looks_like_sums_comes_from_it() -> None:
    fleet = Fleet(3, 9, old=[4])
    fleet.run(8_000.0, changes=2)
    for member in fleet.new():
        fleet.hear(member, 4, bytes([VERSION]) + b"garbage")
        fleet.sent.clear()
        fleet.change(member, 1, 1)
        assert [(m, p) for m, p, _ in counts_told(fleet.sent)] == [(member, 4)]


def test_counts_told_all_to_all_by_one_that_speaks_sums_do_not_stand_for_ever() -> None:
    fleet = Fleet(4, 9)
    fleet.run(10_000.0)
    # It took this one for an old one, and tells it all to all once more: the message comes late.
    fleet.hear(0, 5, encode(Kind.SNAPSHOT, 0, [(3, 7)]))
    fleet.run(2 * fleet.bound_ms())
    assert fleet.known(0) == fleet.of_others(0)


# Capacities, budget, garbage

def test_the_slots_of_kinds_reach_a_new_life() -> None:
    told = 0
    for seed in range(20):
        fleet = Fleet(seed, 12)
        fleet.run(2_500.0)
        for member in fleet.members:
            fleet.capacities[member] = {0: 4.0, 1: 8.0}
        fleet.stop(3)
        fleet.run(300.0)
        fleet.sent.clear()
        fleet.start(3, old=False)
        fleet.run(2_500.0)
        answers = sum(to == 3 and data[0] == 0xD0 | Kind.CAPACITY for _, to, data in fleet.sent)
        told += fleet.capacities[3] == {0: 4.0, 1: 8.0}
        assert answers <= 11
    assert told >= 17  # each of 11 answers with 4 in 11: none does once in 140


def test_in_a_large_fleet_of_new_processes_nothing_is_told_all_to_all() -> None:
    fleet = Fleet(6, 12)
    for member in fleet.members:
        fleet.capacities[member] = {0: 4.0}
    fleet.run(20_000.0, changes=5)
    fleet.stop(3)
    fleet.run(300.0)
    fleet.start(3, old=False)
    fleet.run(20_000.0, changes=5)
    assert not counts_told(fleet.sent)
    capacities = [m for m in fleet.sent if m[2][0] == 0xD0 | Kind.CAPACITY]
    assert len(capacities) <= 3 * CAPACITY_REPLIES * (len(fleet.members) + 1)
    assert {data[0] for _, _, data in fleet.sent} <= {VERSION, 0xD0 | Kind.CAPACITY}


def test_when_the_list_becomes_long_telling_all_to_all_ends_within_the_next_rounds() -> None:
    fleet = Fleet(8, 9, SMALL)
    fleet.run(5_000.0, changes=3)
    fleet.lists(LARGE)
    fleet.run(2_500.0, changes=3)
    fleet.sent.clear()
    fleet.run(10_000.0, changes=3)
    assert not counts_told(fleet.sent)


GARBAGE = st.one_of(
    st.binary(max_size=300),
    st.builds(lambda first, rest: bytes((first,)) + rest,
              st.sampled_from([0xD0, 0xD1, 0xD2, 0xD3, 0xD4, VERSION, 0xE2]), st.binary(max_size=255)),
    st.builds(lambda n, report, sums: encode_sums(Message(1, n + 1, 0, False, 1, n, 0.0, DeadSet.of({1}),
                                                         report, sums)),
              st.integers(0, 9), st.dictionaries(st.integers(0, 2**32 - 1), st.integers(0, 65_535), max_size=9),
              st.dictionaries(st.integers(0, 2**32 - 1), st.integers(0, 65_535), max_size=9)))


@given(st.lists(st.tuples(st.integers(-1, 12), GARBAGE, st.floats(0.0, 3_000.0)), max_size=20), st.booleans())
def test_whatever_comes_nothing_is_raised_and_no_storm_is_answered(
        messages: list[tuple[int, bytes, float]], large: bool) -> None:
    exchange = SizedExchange(1e9, 0, 8)
    exchange.set_workers(1e9, dict.fromkeys(range(LARGE if large else 3), 1.0), {})
    now = 1e9
    for sender, data, pause in messages:
        now += pause
        found = exchange.on_message(now, sender, data, {0: 4.0}, lambda: 0.0)
        assert len(found.replies) <= 3
        assert {reply.peer for reply in found.replies} <= {sender}
        while (wakeup := exchange.take_wakeup()) is not None:
            exchange.on_wakeup(now, wakeup, lambda: 0.5)
            if wakeup > now:
                break
        exchange.complete(now)
        assert all(exchange.peer_slots(w) >= 0 for w in range(LARGE))


def test_entries_of_workers_that_were_never_listed_are_counted_and_dropped() -> None:
    fleet = Fleet(9, 9)
    fleet.run(8_000.0, changes=2)
    fleet.run(2 * fleet.bound_ms())
    before = {m: fleet.known(m) for m in fleet.members}
    sharded = fleet.exchanges[0].sharded  # type: ignore[union-attr]
    assert sharded is not None
    peer = sharded._peers[5]
    unlisted = {0xFFFF_FF01: 3, 0xFFFF_FF02: 1}
    fleet.hear(0, 5, encode_sums(Message(peer.epoch or 0, peer.number + 1, peer.number, False, sharded.epoch,
                                        peer.reports.number, 0.0, DeadSet.of(set()), unlisted, unlisted)))
    assert sharded.refused_entries() == 2
    assert sharded.dropped[DropReason.UNLISTED] == 2
    fleet.run(8_000.0)
    assert {m: fleet.known(m) for m in fleet.members} == before
    assert epoch_at(fleet.now) > sharded.epoch >= 1


def test_operators_see_which_way_is_used_and_what_it_dropped() -> None:
    fleet = Fleet(10, 9, SMALL - 1, old=[8])
    exchange = fleet.exchanges[0]
    assert exchange.counters() == {"sharded": 0, "legacy": 0}
    fleet.lists(LARGE)
    fleet.run(8_000.0)
    figures = exchange.counters()
    sent = [len(data) for sender, _, data in fleet.sent if sender == 0 and data[0] == VERSION]
    assert figures == {"sharded": 1, "legacy": 1, "sent": len(sent), "sent_bytes": sum(sent)}
    fleet.hear(0, 1, bytes([VERSION]))
    assert exchange.counters() == {**figures, "dropped.unreadable": 1}
    fleet.lists(SMALL - 1)
    assert exchange.counters() == {**figures, "dropped.unreadable": 1, "sharded": 0, "legacy": 0}
    counters = Counters()
    counters.add("calls.sent")
    counters.sources["occupancy"] = exchange.counters
    assert counters.snapshot() == {"calls.sent": 1,
                                   **{f"occupancy.{k}": n for k, n in exchange.counters().items()}}
