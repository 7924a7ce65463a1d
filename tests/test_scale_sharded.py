"""The scale run in large fleets: what hollow schedulers say there, and real processes among them."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import msgspec
import pytest

from gaphub.lab.scale import runner
from gaphub.lab.scale.hollow import HollowPlan, worker_name, worker_number
from gaphub.lab.scale.hollow_sharded import ShardedFleet
from gaphub.lab.scale.points import Load, Machine, Measured, Point, Told
from gaphub.lab.scale.scenario import Scenario, Sweeps, Way, told
from gaphub.lab.scale.series import Sourced, sort_points
from gaphub.messages import worker_identity
from gaphub.net.destinations import SOURCE
from gaphub.net.peers import HEARTBEAT_TYPE
from gaphub.occupancy.all_to_all import AllToAll
from gaphub.occupancy.budget import Limits
from gaphub.occupancy.exchange import ALL_PEERS, NoExchange
from gaphub.occupancy.sharded import DropReason, ShardedExchange
from gaphub.occupancy.sized import LARGE_FROM_PEERS, LARGE_FROM_WORKERS, SizedExchange
from gaphub.occupancy.status import ExchangeMethod as Spoken
from gaphub.occupancy.status import OccupancyStatus, occupancy_status
from gaphub.occupancy.sums_messages import MESSAGE_BYTES_MAX, decode

from .occupancy_network import measure_at_size

REAL, SCHEDULERS, WORKERS = 2, 12, 2_000
STARTS_PER_S, TASKS = 400.0, 24_000
STEP_MS = 50.0
STEADY_MS = 12_000.0  # from here on all is known
LOAD = Load(workers=2_100, schedulers=14, starts_per_s=300.0, tasks_running=10_000, changes_per_s=0.0, teams=5,
            zones=4)
SMALL = Scenario(LOAD, Sweeps(), REAL, seconds=4.0, warm_up_s=7.0, requests_most_per_s=10.0)


# --- what hollow schedulers say, on a virtual clock -------------------------------------------------

@dataclass
class Played:
    """Two real exchanges among ten hollow schedulers, after some time."""

    fleet: ShardedFleet
    real: list[ShardedExchange]
    now: float = 0.0
    due: list[float] = field(default_factory=lambda: [0.0] * REAL)
    flying: list[tuple[int, int, bytes]] = field(default_factory=list)  # by whom, to whom, what
    told: list[tuple[float, int, int, bytes]] = field(default_factory=list)  # when, by whom, to whom, what
    replied: list[tuple[float, int, int, bytes]] = field(default_factory=list)
    totals: list[tuple[float, dict[int, int]]] = field(default_factory=list)  # of the hollow ones, by id
    steady_drops: list[int] = field(default_factory=list)  # by real one, before the steady state

    def run(self, ms: float, rnd: random.Random) -> None:
        """Let time pass; datagrams take a step."""
        ends = self.now + ms
        while self.now < ends:
            self.now += STEP_MS
            arriving, self.flying = self.flying, []
            for sender, receiver, data in arriving:
                self._deliver(sender, receiver, data, rnd)
            for scheduler, receiver, data in self.fleet.advance(self.now):
                self.told.append((self.now, scheduler, receiver, data))
                if receiver != ALL_PEERS:
                    self.flying.append((REAL + scheduler, receiver, data))
            for i, one in enumerate(self.real):
                if self.due[i] <= self.now:
                    for peer, data in one.on_wakeup(self.now, self.due[i], rnd.random):
                        self.replied.append((self.now, i, peer, data))
                        self.flying.append((i, peer, data))
                    self.due[i] = one.take_wakeup() or self.now
            self.totals.append((self.now, dict(self.fleet.shared.out)))

    def _deliver(self, sender: int, receiver: int, data: bytes, rnd: random.Random) -> None:
        if receiver < REAL:
            self.real[receiver].on_message(self.now, sender, data, {}, rnd.random)
        else:
            self.fleet.take(self.now, receiver - REAL, sender, data)

    def wire_id(self, worker: int) -> int:
        """The id of the worker of a place."""
        return self.fleet.shared.identities.id_of(worker_number(worker))


def _played(seed: int = 5) -> Played:
    rnd = random.Random(seed)
    listen = [("127.1.0.1", 1 + i) for i in range(SCHEDULERS - REAL)]
    receivers = [("127.0.0.1", 1 + i) for i in range(REAL)]
    part = len(listen) / SCHEDULERS
    plan = HollowPlan(listen, receivers, SCHEDULERS, WORKERS, STARTS_PER_S * part, round(TASKS * part), 1.0, seed,
                      Told.SHARDED)
    real = [ShardedExchange(0.0, i, range(SCHEDULERS), 9) for i in range(REAL)]
    for one in real:
        for worker in range(WORKERS):
            one.add_worker(0.0, worker_number(worker), str(worker_identity(SOURCE, worker_name(worker))))
            one.record_change(0.0, worker_number(worker), float(_own(one.me, worker)), True)
    played = Played(ShardedFleet(plan, 0.0), real)
    played.run(STEADY_MS, rnd)
    played.steady_drops = [sum(one.dropped.values()) for one in real]
    played.run(8_000.0, rnd)
    return played


def _own(real: int, worker: int) -> int:
    """The slots that a real scheduler has out, the whole time."""
    return (worker + real) % 3


@pytest.fixture(scope="module")
def played() -> Played:
    return _played()


def test_every_datagram_decodes_and_is_no_longer_than_allowed(played: Played) -> None:
    beats = 0
    for _, _, receiver, data in played.told:
        if receiver == ALL_PEERS:
            assert data == bytes([HEARTBEAT_TYPE, 1])
            beats += 1
        else:
            assert 0 <= receiver < REAL
            assert len(data) <= MESSAGE_BYTES_MAX
            assert decode(data).epoch == 1
    assert beats > 0


def test_real_exchanges_are_complete_and_drop_nothing_in_the_steady_state(played: Played) -> None:
    for one, before in zip(played.real, played.steady_drops, strict=True):
        assert one.complete(played.now)
        assert len(one.heard_members()) == SCHEDULERS - 1
        assert sum(one.dropped.values()) == before, one.dropped
        assert not one.dropped[DropReason.DISAGREES]
        assert not one.dropped[DropReason.UNREADABLE]
        assert not one.dropped[DropReason.STRANGER]
        assert not one.dropped[DropReason.UNLISTED]
        assert one.refused_entries() == 0


def test_hollow_exchanges_drop_nothing_either(played: Played) -> None:
    for hollow in played.fleet.exchanges:
        assert not hollow.dropped[DropReason.GAP]
        assert not hollow.dropped[DropReason.DISAGREES]
        assert not hollow.dropped[DropReason.LATE]
        assert hollow.refused_entries() == 0
        assert not hollow._assignment.dead


def test_what_is_believed_was_out_within_its_age(played: Played) -> None:
    for one in played.real:
        for worker in range(WORKERS):
            age = one.age(played.now, worker_number(worker))
            assert age <= one.plan.age_bound_ms
            wire_id = played.wire_id(worker)
            since = played.now - age - STEP_MS
            hollow = [totals.get(wire_id, 0) for at, totals in played.totals if at >= since]
            other = _own(1 - one.me, worker)
            assert min(hollow) + other <= one.peer_slots(worker_number(worker)) <= max(hollow) + other


def test_what_is_believed_is_all_that_is_out_once_nothing_changes() -> None:
    played = _played(seed=6)
    played.fleet.plan = msgspec.structs.replace(played.fleet.plan, starts_per_s=0.0)
    played.run(played.real[0].plan.age_bound_ms, random.Random(1))
    for one in played.real:
        for worker in range(WORKERS):
            out = played.fleet.shared.out.get(played.wire_id(worker), 0)
            assert one.peer_slots(worker_number(worker)) == out + _own(1 - one.me, worker)


def test_hollow_schedulers_spend_what_a_real_one_spends(played: Played) -> None:
    seconds = (played.now - STEADY_MS) / 1_000.0
    came = [data for at, _, to, data in played.told if at > STEADY_MS and to == 0]
    went = [data for at, by, to, data in played.replied if at > STEADY_MS and by == 0 and to >= REAL]
    assert len(came) == pytest.approx(len(went), rel=0.15)
    assert sum(map(len, came)) == pytest.approx(sum(map(len, went)), rel=0.15)
    assert sum(map(len, came)) / seconds <= Limits().bytes_per_s


def test_ages_are_those_among_real_schedulers(played: Played) -> None:
    among_real = measure_at_size(SCHEDULERS, 20, WORKERS, round(2 * STARTS_PER_S), TASKS)
    ages = sorted(one.age(played.now, worker_number(w)) for one in played.real for w in range(WORKERS))
    assert ages[len(ages) // 2] == pytest.approx(among_real.age_p50_ms, rel=0.1)
    assert ages[len(ages) * 99 // 100] == pytest.approx(among_real.age_p99_ms, rel=0.15)


def test_the_same_seed_says_the_same_in_a_large_fleet(played: Played) -> None:
    assert _played().told == played.told


# --- which way, and what is said of it ---------------------------------------------------------------

@pytest.mark.parametrize(("workers", "schedulers", "way", "spoken"), [
    (LARGE_FROM_WORKERS, LARGE_FROM_PEERS + 1, Way.BY_SIZE, Told.SHARDED),
    (LARGE_FROM_WORKERS - 1, LARGE_FROM_PEERS + 1, Way.BY_SIZE, Told.ALL_TO_ALL),
    (LARGE_FROM_WORKERS, LARGE_FROM_PEERS, Way.BY_SIZE, Told.ALL_TO_ALL),
    (11_000, 200, Way.ALL_TO_ALL, Told.ALL_TO_ALL),
])
def test_the_hollow_fleet_speaks_as_the_daemon_would(
        workers: int, schedulers: int, way: Way, spoken: Told) -> None:
    load = msgspec.structs.replace(LOAD, workers=workers, schedulers=schedulers)
    assert told(way, load) is spoken


def test_the_status_of_an_exchange_names_its_way(played: Played) -> None:
    assert occupancy_status(NoExchange(), 0.0, []) == OccupancyStatus(Spoken.NONE, False)
    assert occupancy_status(AllToAll(0.0, 3), 0.0, [1]) == OccupancyStatus(Spoken.ALL_TO_ALL, False)
    sized = SizedExchange(0.0, 0, SCHEDULERS - 1)
    assert occupancy_status(sized, 0.0, [1]) == OccupancyStatus(Spoken.ALL_TO_ALL, False)
    numbers = list(range(1, 1 + LARGE_FROM_WORKERS))
    sized.set_workers(0.0, dict.fromkeys(numbers, 0.0), {n: n for n in numbers})
    # Nobody is heard: of most workers nothing is known.
    assert occupancy_status(sized, 0.0, numbers) == OccupancyStatus(Spoken.SHARDED, False, None, None)


def _point(way: Told, age: float | None) -> Point:
    spent = Measured("n0", 0.5, 60.0, 40, 30, 4, 3, 200, 20, 7, age_p50_ms=age, age_p99_ms=age)
    return Point(commit="c", dirty=False, seed=1, machine=Machine(8, 24_000, "3.11.2"), scenario="s",
                 sweep="schedulers", repeat=0, load=LOAD, seconds=2.0, schedulers=[spent], baseline=[spent],
                 way=way)


def test_points_of_the_two_ways_are_sweeps_of_their_own() -> None:
    points = [Sourced(_point(Told.SHARDED, 4_500.0), "f", 1), Sourced(_point(Told.ALL_TO_ALL, None), "f", 2)]
    before, after = sort_points(points).sweeps
    assert before.title == "s: schedulers"
    assert after.title == "s, sharded: schedulers"
    ages = {each.name: each.observations[0].values for each in after.series() if "age" in each.measure.key}
    assert ages == {"s-sharded-schedulers-age-p50": (4.5,), "s-sharded-schedulers-age-p99": (4.5,)}
    assert not any("age" in each.measure.key for each in before.series())
    assert not {each.name for each in before.series()} & {each.name for each in after.series()}


def test_a_point_of_before_was_all_to_all() -> None:
    point = _point(Told.ALL_TO_ALL, None)
    old = msgspec.json.decode(msgspec.json.encode(point), type=dict)
    del old["way"]
    assert msgspec.convert(old, Point) == point


# --- real processes -----------------------------------------------------------------------------------

async def _stage(scenario: Scenario) -> tuple[runner.Window, list[OccupancyStatus], list[Measured]]:
    async with runner.Stage(scenario, scenario.load, 7, tells=True) as stage:
        await stage.warm_up()
        window = await stage.window(scenario.seconds)
        return window, [await one.occupancy() for one in stage.real], await stage.with_ages(window.schedulers)


def test_real_processes_are_sharded_and_complete_within_the_budget() -> None:
    window, states, schedulers = asyncio.run(_stage(SMALL))
    assert runner.unsound(window, LOAD.schedulers) == ""
    for state in states:
        assert state.way is Spoken.SHARDED
        assert state.complete
    for one in schedulers:
        assert one.age_p50_ms is not None
        assert one.age_p99_ms is not None
        assert 0.0 < one.age_p50_ms <= one.age_p99_ms
        # Beats and a burst of a second come on top of the budget.
        most = Limits().bytes_per_s * (window.seconds + 1.0) + 4.0 * LOAD.schedulers * window.seconds
        assert 0 < one.peer_in_bytes <= most
        assert 0 < one.peer_out_bytes <= most
        rounds = window.seconds  # one a second
        assert one.peer_in_datagrams >= (LOAD.schedulers - 1) * (rounds - 1.0)


def test_all_to_all_is_spoken_in_a_large_fleet_where_it_is_asked_for() -> None:
    scenario = msgspec.structs.replace(SMALL, way=Way.ALL_TO_ALL, warm_up_s=2.0, seconds=1.5)
    window, states, schedulers = asyncio.run(_stage(scenario))
    assert runner.unsound(window, LOAD.schedulers) == ""
    assert [(s.way, s.complete) for s in states] == [(Spoken.ALL_TO_ALL, True)] * REAL
    assert [one.age_p99_ms for one in schedulers] == [None] * REAL
