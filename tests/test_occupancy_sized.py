"""The choice between all to all and sharding: around the thresholds, among legacy processes, and under faults."""

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

LARGE = 12  # workers; low thresholds for these tests, so that an example takes milliseconds
SMALL = 8
SILENT_MS = 6_500.0  # until a sharding peer is considered dead: five rounds, and the next check
SEEDS = st.integers(0, 2**32)
# Failing simulations are not shrunk, as that would take minutes.
SIMULATED = settings(deadline=None, max_examples=12, phases=[Phase.explicit, Phase.reuse, Phase.generate])
FEW = settings(SIMULATED, max_examples=2)  # an example takes seconds


@pytest.fixture(autouse=True, scope="module")
def low_thresholds() -> Iterator[None]:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(sized, "LARGE_FROM_WORKERS", LARGE)
        patch.setattr(sized, "SMALL_BELOW_WORKERS", SMALL)
        yield


Exchange = AllToAll | SizedExchange


class Fleet:
    """Legacy and sharding schedulers, the datagrams between them, and the true counts."""

    def __init__(self, seed: int, members: int, workers: int = LARGE, legacy: Sequence[int] = ()) -> None:
        self.rng = random.Random(seed)
        self.now = 1e9 + 10_000.0 * self.rng.random()
        self.members = range(members)
        self.workers = list(range(1, workers + 1))
        self.loss = self.duplication = 0.0
        self.delay_ms = 1.0
        self.exchanges: dict[int, Exchange] = {}
        self.slots_out: dict[int, dict[int, int]] = {}
        self.capacities: dict[int, dict[int, float]] = {}
        self.wakeups: dict[int, list[float]] = {}
        self.draws = 0
        self.sent: list[tuple[int, int, bytes]] = []  # sender, receiver, data
        self._in_flight: list[tuple[float, int, int, int, bytes]] = []
        self._sequence = 0
        for member in self.members:
            self.start(member, member in legacy)

    def random(self) -> float:
        self.draws += 1
        return self.rng.random()

    def start(self, member: int, legacy: bool) -> None:
        """Start a scheduler with nothing out."""
        others = len(self.members) - 1
        self.exchanges[member] = AllToAll(self.now, others) if legacy else SizedExchange(self.now, member, others)
        self.slots_out[member] = dict.fromkeys(self.workers, 0)
        self.capacities[member] = {}
        self.wakeups[member] = []
        self.send_list(member)

    def stop(self, member: int) -> None:
        """End a scheduler and everything that it has out."""
        del self.exchanges[member]
        self.slots_out[member] = dict.fromkeys(self.workers, 0)

    def send_list(self, member: int) -> None:
        """Pass the fleet's present list to a scheduler."""
        self.slots_out[member] = {w: self.slots_out[member].get(w, 0) for w in self.workers}
        self.exchanges[member].set_workers(self.now, self.slots_out[member], {w: 10**12 + w for w in self.workers})
        self.handle_output(member, ())

    def send_lists(self, workers: int) -> None:
        """Pass a list of this many workers to all."""
        self.workers = list(range(1, workers + 1))
        for member in self.exchanges:
            self.send_list(member)

    def handle_output(self, member: int, messages: Sequence[Outgoing]) -> None:
        while (wakeup := self.exchanges[member].take_wakeup()) is not None:
            self.wakeups[member].append(wakeup)
        for to, data in messages:
            for peer in self.members if to == ALL_PEERS else (to,):
                if peer != member:
                    self.sent.append((member, peer, data))
                    self._send(member, peer, data)

    def _send(self, member: int, peer: int, data: bytes) -> None:
        for _ in range(2 if self.rng.random() < self.duplication else 1):
            if self.rng.random() >= self.loss:
                self._sequence += 1
                at = self.now + self.rng.random() * self.delay_ms
                heappush(self._in_flight, (at, self._sequence, member, peer, data))

    def change(self, member: int, worker: int, by: int) -> None:
        slots_out = self.slots_out[member]
        slots_out[worker] = max(0, slots_out[worker] + by)
        self.handle_output(
            member, self.exchanges[member].record_change(self.now, worker, slots_out[worker], by > 0))

    def make_changes(self, changes: int) -> None:
        for _ in range(changes):
            member = self.rng.choice(list(self.exchanges))
            self.change(member, self.rng.choice(self.workers), self.rng.choice((-1, 1, 1)))

    def run(self, ms: float, changes: int = 0) -> None:
        """Advance the clock, with this many changes per 100 ms."""
        end, change_at = self.now + ms, self.now
        while True:
            due = [(min(w), m) for m, w in self.wakeups.items() if w and m in self.exchanges]
            at, member = min(due)
            at = min(at, change_at, self._in_flight[0][0] if self._in_flight else at)
            if at > end:
                self.now = end
                return
            self.now = max(self.now, at)
            if at == change_at:
                change_at += 100.0
                self.make_changes(changes)
            elif self._in_flight and at == self._in_flight[0][0]:
                _, _, sender, peer, data = heappop(self._in_flight)
                if peer in self.exchanges:
                    self.deliver(peer, sender, data)
            else:
                self.wakeups[member].remove(at)
                self.handle_output(member, self.exchanges[member].on_wakeup(self.now, at, self.random))

    def deliver(self, member: int, sender: int, data: bytes) -> None:
        received = self.exchanges[member].on_message(self.now, sender, data, self.capacities[member], self.random)
        for kind, slots in received.capacities.items():
            self.capacities[member].setdefault(kind, slots)
        self.handle_output(member, received.replies)

    def expected_sums(self, member: int) -> dict[int, int]:
        """The true counts of the others, by worker."""
        return {w: sum(self.slots_out[m][w] for m in self.members if m != member) for w in self.workers}

    def known_sums(self, member: int) -> dict[int, int]:
        """The sums that a scheduler knows, by worker."""
        return {w: self.exchanges[member].peer_slots(w) for w in self.workers}

    def bound_ms(self) -> float:
        """The largest age bound of all schedulers."""
        plans = [e.sharded.plan for e in self.exchanges.values() if isinstance(e, SizedExchange) and e.sharded]
        return max((plan.age_bound_ms for plan in plans), default=0.0)

    def sharding_members(self) -> list[int]:
        return [m for m, e in self.exchanges.items() if isinstance(e, SizedExchange)]


def all_to_all_counts(messages: Sequence[tuple[int, int, bytes]]) -> list[tuple[int, int, bytes]]:
    """The messages that hold counts in the all-to-all format."""
    return [m for m in messages if (received := decode(m[2])) is not None and received.kind is not Kind.CAPACITY]


# Below the threshold

EVENTS = st.lists(st.tuples(st.sampled_from(["change", "list", "hear", "announce", "wake", "garbage", "sums"]),
                            st.integers(0, 9), st.integers(0, 40), st.floats(0.0, 900.0)), max_size=60)


@given(EVENTS, SEEDS, st.integers(8, 20))
def test_below_the_size_it_is_the_exchange_all_to_all(events: list[tuple[str, int, int, float]], seed: int,
                                                      others: int) -> None:
    now, slots_by_worker = 1e9, dict.fromkeys(range(1, 5), 0.0)
    exchanges: list[Exchange] = [AllToAll(now, others), SizedExchange(now, 2, others)]
    draws = [random.Random(seed), random.Random(seed)]
    due: list[float] = []

    def call_both(call: Callable[[Exchange, Callable[[], float]], object]) -> object:
        expected, actual = (call(exchange, draw.random) for exchange, draw in zip(exchanges, draws, strict=True))
        assert expected == actual
        assert draws[0].getstate() == draws[1].getstate()
        while (wakeup := exchanges[0].take_wakeup()) is not None:
            assert exchanges[1].take_wakeup() == wakeup
            due.append(wakeup)
        assert exchanges[1].take_wakeup() is None
        return expected

    call_both(lambda exchange, draw: None)
    for what, sender, number, pause in events:
        now += pause
        if what == "change":
            worker = number % 6 + 1
            slots_by_worker[worker] = float(sender)
            call_both(lambda exchange, _: exchange.record_change(now, worker, float(sender), sender > 4))  # noqa: B023
        elif what == "list":
            slots_by_worker = {w: slots_by_worker.get(w, 0.0) for w in range(1, number % LARGE)}
            call_both(lambda exchange, _: exchange.set_workers(now, dict(slots_by_worker), {}))  # noqa: B023
        elif what == "announce":
            call_both(lambda exchange, _: exchange.announce_capacity({0: float(number)}))  # noqa: B023
        elif what == "wake" and due:
            at = due.pop(due.index(min(due)))
            now = max(now, at)
            call_both(lambda exchange, draw: exchange.on_wakeup(now, at, draw))  # noqa: B023
        else:
            kind = Kind(number % 4)
            data = encode(kind, number, [(number % 6, sender)]) if what == "hear" else (
                bytes((VERSION if what == "sums" else 0xD0 + number, number)) + bytes(sender))
            call_both(lambda exchange, draw: exchange.on_message(now, sender % others, data, {0: 4.0}, draw))  # noqa: B023
        for worker in range(8):
            assert exchanges[0].peer_slots(worker) == exchanges[1].peer_slots(worker)
        assert exchanges[0].complete(now) == exchanges[1].complete(now)
        assert exchanges[1].heard_share == exchanges[0].heard_share > 0.0


def test_the_borders_are_as_documented_and_wide_enough_to_stay_on_one_side() -> None:
    assert (LARGE_FROM_WORKERS, SMALL_BELOW_WORKERS) == (2_000, 1_500)
    exchange = SizedExchange(1e9, 0, 8)
    for workers, large in ((LARGE - 1, False), (LARGE, True), (SMALL, True), (SMALL - 1, False), (SMALL, False),
                           (LARGE - 1, False), (LARGE, True)):
        exchange.set_workers(1e9, dict.fromkeys(range(workers), 0.0), {})
        assert (exchange.sharded is not None) is large is (exchange.heard_share == 0.0)


# Across the thresholds

@SIMULATED
@given(SEEDS, st.lists(st.tuples(st.sampled_from([SMALL - 2, SMALL, LARGE - 1, LARGE, LARGE + 6]),
                                 st.sampled_from([0.0, 30.0, 150.0, 900.0, 4_000.0])), min_size=3, max_size=8))
@example(3, [(LARGE, 900.0), (SMALL - 2, 30.0), (LARGE, 30.0), (SMALL - 2, 0.0), (LARGE, 30.0)])
def test_whichever_way_the_list_goes_each_way_keeps_one_chain_of_wakeups(
        seed: int, lengths: list[tuple[int, float]]) -> None:
    fleet = Fleet(seed, 9, SMALL - 2)
    fleet.loss, fleet.duplication, fleet.delay_ms = 0.1, 0.1, 200.0
    for workers, pause in lengths:
        fleet.send_lists(workers)
        fleet.run(pause, changes=2)
    fleet.run(1_500.0, changes=2)  # wakeups of a former sharded exchange have passed by then
    for member, exchange in fleet.exchanges.items():
        assert isinstance(exchange, SizedExchange)
        # A tick, perhaps a flush, and a wakeup of the sharded exchange.
        assert len(fleet.wakeups[member]) <= (3 if exchange.sharded else 2)
    wakeup_counts = Counter[int]()
    for _ in range(20):
        fleet.run(100.0)
        wakeup_counts.update(m for m, wakeups in fleet.wakeups.items() for _ in wakeups)
    assert max(wakeup_counts.values()) <= 20 * 3


@FEW
@given(SEEDS)
@example(7)
def test_a_fleet_whose_list_grows_and_shrinks_again_knows_what_is_out(seed: int) -> None:
    fleet = Fleet(seed, 9, SMALL - 2)
    for workers in (SMALL - 2, LARGE, SMALL - 2, LARGE):
        fleet.send_lists(workers)
        fleet.run(2_000.0, changes=3)
        fleet.run(2 * fleet.bound_ms() + 4_000.0)
        for member, exchange in fleet.exchanges.items():
            assert exchange.complete(fleet.now)
            assert fleet.known_sums(member) == fleet.expected_sums(member)


@pytest.mark.parametrize("between_ms", [0.0, EPOCH_MS / 2, 3 * EPOCH_MS, 5_000.0])
def test_one_whose_list_shrinks_for_a_moment_is_not_taken_for_its_own_past(between_ms: float) -> None:
    fleet = Fleet(1, 9)
    fleet.run(12_000.0, changes=3)
    workers = fleet.workers
    fleet.workers = workers[:SMALL - 1]
    fleet.send_list(0)
    fleet.run(between_ms)
    fleet.workers = workers
    fleet.send_list(0)
    before = {m: fleet.exchanges[m].sharded.dropped[DropReason.LATE] for m in fleet.members[1:]}  # type: ignore[union-attr]
    fleet.run(4_000.0)
    after = {m: fleet.exchanges[m].sharded.dropped[DropReason.LATE] for m in fleet.members[1:]}  # type: ignore[union-attr]
    assert after == before


# Among legacy processes

@FEW
@given(SEEDS, st.sampled_from([9, 12]), st.sampled_from([0.0, 0.1]))
@example(1, 9, 0.0)
def test_old_and_new_know_each_others_counts(seed: int, members: int, loss: float) -> None:
    rng = random.Random(seed)
    legacy = rng.sample(range(members), rng.randint(1, members - 1))
    fleet = Fleet(seed, members, legacy=legacy)
    fleet.loss, fleet.duplication, fleet.delay_ms = loss, loss, 30.0
    fleet.run(3 * SILENT_MS, changes=3)
    fleet.loss = fleet.duplication = 0.0
    fleet.run(1.0)
    for _ in range(8):
        fleet.make_changes(4)
        fleet.run(3_000.0)  # for held-back counts, and a snapshot to replace lost ones
        for member in legacy:
            assert fleet.exchanges[member].complete(fleet.now)
            assert fleet.known_sums(member) == fleet.expected_sums(member)
        for member in fleet.sharding_members():  # counts of legacy schedulers are known at once
            sharding_peers = [m for m in fleet.sharding_members() if m != member]
            known_sums = fleet.known_sums(member)
            assert all(known_sums[w] >= sum(fleet.slots_out[m][w] for m in legacy) for w in fleet.workers)
            assert sharding_peers or known_sums == fleet.expected_sums(member)
    fleet.run(2 * fleet.bound_ms())
    for member in fleet.sharding_members():
        assert fleet.exchanges[member].complete(fleet.now)
        assert fleet.known_sums(member) == fleet.expected_sums(member)


def replace_each(fleet: Fleet, order: Sequence[int], legacy: bool, down_ms: float, between_ms: float) -> None:
    """Replace one process after another under load."""
    for member in order:
        fleet.stop(member)
        fleet.run(down_ms, changes=2)
        fleet.start(member, legacy)
        fleet.run(between_ms, changes=2)


def understated(fleet: Fleet) -> list[str]:
    """Sums in use that are below the true counts; there must be none once counts have stood for the age bound."""
    return [f"{fleet.now}: {m} at {w}: {e.peer_slots(w)} of {others[w]}" for m, e in fleet.exchanges.items()
            if e.complete(fleet.now) for others in (fleet.expected_sums(m),) for w in fleet.workers
            if e.peer_slots(w) < others[w]]


@FEW
@given(SEEDS, st.sampled_from([50.0, 2_000.0, 8_000.0]), st.booleans())
@example(5, 50.0, True)
@example(110688, 50.0, False)
def test_a_rolling_upgrade_in_any_order_and_back_loses_no_counts(seed: int, down_ms: float,
                                                                 restarts: bool) -> None:
    fleet = Fleet(seed, 9, legacy=range(9))
    order = list(fleet.members)
    for legacy in (False, True, False):
        fleet.rng.shuffle(order)
        half = len(order) // 2
        replace_each(fleet, order[:half], legacy, down_ms, 3_000.0)
        if restarts:  # two are restarted half way in the same version
            for member in order[half - 1:half + 1]:
                replace_each(fleet, [member], isinstance(fleet.exchanges[member], AllToAll), down_ms, 500.0)
        fleet.run(fleet.bound_ms() + 8_000.0)
        assert not understated(fleet)
        assert all(e.complete(fleet.now) for e in fleet.exchanges.values())
        replace_each(fleet, order[half:], legacy, down_ms, 3_000.0)
        fleet.run(fleet.bound_ms() + 8_000.0)
        assert not understated(fleet)
        assert all(e.complete(fleet.now) for e in fleet.exchanges.values())
    fleet.run(70_000.0)  # counts of ended processes are kept for a minute
    fleet.sent.clear()
    fleet.run(5_000.0)
    assert not all_to_all_counts(fleet.sent)
    for member in fleet.members:
        assert fleet.known_sums(member) == fleet.expected_sums(member)


@pytest.mark.parametrize("down_ms", [50.0, 1_500.0, 4_000.0])
def test_one_that_is_rolled_back_is_informed_before_it_would_drop_the_counts_of_others(down_ms: float) -> None:
    fleet = Fleet(2, 9)
    fleet.delay_ms = 0.0  # a reordered message would be corrected only by the next snapshot
    fleet.run(10_000.0, changes=3)
    fleet.stop(4)
    fleet.run(down_ms)
    fleet.start(4, legacy=True)
    fleet.run(500.0)
    for _ in range(12):
        fleet.make_changes(3)
        fleet.run(500.0)
        assert fleet.exchanges[4].complete(fleet.now)
        assert fleet.known_sums(4) == fleet.expected_sums(4)


def test_an_old_peer_is_still_told_when_something_that_only_looks_like_sums_comes_from_it() -> None:
    fleet = Fleet(3, 9, legacy=[4])
    fleet.run(8_000.0, changes=2)
    for member in fleet.sharding_members():
        fleet.deliver(member, 4, bytes([VERSION]) + b"garbage")
        fleet.sent.clear()
        fleet.change(member, 1, 1)
        assert [(m, p) for m, p, _ in all_to_all_counts(fleet.sent)] == [(member, 4)]


def test_counts_told_all_to_all_by_one_that_speaks_sums_do_not_stand_for_ever() -> None:
    fleet = Fleet(4, 9)
    fleet.run(10_000.0)
    # A late message: the sender took this scheduler for legacy and sent it counts all to all once more.
    fleet.deliver(0, 5, encode(Kind.SNAPSHOT, 0, [(3, 7)]))
    fleet.run(2 * fleet.bound_ms())
    assert fleet.known_sums(0) == fleet.expected_sums(0)


# Capacities, budget, garbage

def test_the_slots_of_kinds_reach_a_new_life() -> None:
    informed = 0
    for seed in range(20):
        fleet = Fleet(seed, 12)
        fleet.run(2_500.0)
        for member in fleet.members:
            fleet.capacities[member] = {0: 4.0, 1: 8.0}
        fleet.stop(3)
        fleet.run(300.0)
        fleet.sent.clear()
        fleet.start(3, legacy=False)
        fleet.run(2_500.0)
        answers = sum(to == 3 and data[0] == 0xD0 | Kind.CAPACITY for _, to, data in fleet.sent)
        informed += fleet.capacities[3] == {0: 4.0, 1: 8.0}
        assert answers <= 11
    assert informed >= 17  # each of 11 peers answers with probability 4/11; none does once in 140 runs


def test_in_a_large_fleet_of_new_processes_nothing_is_told_all_to_all() -> None:
    fleet = Fleet(6, 12)
    for member in fleet.members:
        fleet.capacities[member] = {0: 4.0}
    fleet.run(20_000.0, changes=5)
    fleet.stop(3)
    fleet.run(300.0)
    fleet.start(3, legacy=False)
    fleet.run(20_000.0, changes=5)
    assert not all_to_all_counts(fleet.sent)
    capacities = [m for m in fleet.sent if m[2][0] == 0xD0 | Kind.CAPACITY]
    assert len(capacities) <= 3 * CAPACITY_REPLIES * (len(fleet.members) + 1)
    assert {data[0] for _, _, data in fleet.sent} <= {VERSION, 0xD0 | Kind.CAPACITY}


def test_when_the_list_becomes_long_telling_all_to_all_ends_within_the_next_rounds() -> None:
    fleet = Fleet(8, 9, SMALL)
    fleet.run(5_000.0, changes=3)
    fleet.send_lists(LARGE)
    fleet.run(2_500.0, changes=3)
    fleet.sent.clear()
    fleet.run(10_000.0, changes=3)
    assert not all_to_all_counts(fleet.sent)


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
        received = exchange.on_message(now, sender, data, {0: 4.0}, lambda: 0.0)
        assert len(received.replies) <= 3
        assert {reply.peer for reply in received.replies} <= {sender}
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
    before = {m: fleet.known_sums(m) for m in fleet.members}
    sharded = fleet.exchanges[0].sharded  # type: ignore[union-attr]
    assert sharded is not None
    peer = sharded._peers[5]
    unlisted = {0xFFFF_FF01: 3, 0xFFFF_FF02: 1}
    fleet.deliver(0, 5, encode_sums(Message(peer.epoch or 0, peer.number + 1, peer.number, False, sharded.epoch,
                                            peer.reports.number, 0.0, DeadSet.of(set()), unlisted, unlisted)))
    assert sharded.refused_entries() == 2
    assert sharded.dropped[DropReason.UNLISTED] == 2
    fleet.run(8_000.0)
    assert {m: fleet.known_sums(m) for m in fleet.members} == before
    assert epoch_at(fleet.now) > sharded.epoch >= 1


def test_operators_see_which_way_is_used_and_what_it_dropped() -> None:
    fleet = Fleet(10, 9, SMALL - 1, legacy=[8])
    exchange = fleet.exchanges[0]
    assert exchange.counters() == {"sharded": 0, "legacy": 0}
    fleet.send_lists(LARGE)
    fleet.run(8_000.0)
    first_counters = exchange.counters()
    sent = [len(data) for sender, _, data in fleet.sent if sender == 0 and data[0] == VERSION]
    assert first_counters == {"sharded": 1, "legacy": 1, "sent": len(sent), "sent_bytes": sum(sent)}
    fleet.deliver(0, 1, bytes([VERSION]))
    assert exchange.counters() == {**first_counters, "dropped.unreadable": 1}
    fleet.send_lists(SMALL - 1)
    assert exchange.counters() == {**first_counters, "dropped.unreadable": 1, "sharded": 0, "legacy": 0}
    counters = Counters()
    counters.add("calls.sent")
    counters.sources["occupancy"] = exchange.counters
    assert counters.snapshot() == {"calls.sent": 1,
                                   **{f"occupancy.{k}": n for k, n in exchange.counters().items()}}
