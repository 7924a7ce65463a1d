"""Tests of scale runs with the sharded exchange: messages of simulated schedulers, and real processes."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import msgspec
import pytest

from gaphub.lab.scale import runner
from gaphub.lab.scale.hollow import FleetPlan, worker_name, worker_number
from gaphub.lab.scale.hollow_sharded import ShardedFleet
from gaphub.lab.scale.points import FleetMethod, Load, Machine, Point, SchedulerUsage
from gaphub.lab.scale.scenario import MethodChoice, Scenario, Sweeps, exchange_method_at
from gaphub.lab.scale.series import SourcedPoint, sort_points
from gaphub.messages import worker_identity
from gaphub.net.destinations import SOURCE
from gaphub.net.peers import HEARTBEAT_TYPE
from gaphub.occupancy.all_to_all import AllToAll
from gaphub.occupancy.budget import Limits
from gaphub.occupancy.exchange import ALL_PEERS, NoExchange
from gaphub.occupancy.sharded import DropReason, ShardedExchange
from gaphub.occupancy.sized import LARGE_FROM_PEERS, LARGE_FROM_WORKERS, SizedExchange
from gaphub.occupancy.status import ExchangeMethod, OccupancyStatus, occupancy_status
from gaphub.occupancy.sums_messages import MESSAGE_BYTES_MAX, decode

from .occupancy_network import measure_at_size

REAL, SCHEDULERS, WORKERS = 2, 12, 2_000
STARTS_PER_S, TASKS = 400.0, 24_000
STEP_MS = 50.0
STEADY_MS = 12_000.0  # by then every scheduler has all sums
LOAD = Load(workers=2_100, schedulers=14, starts_per_s=300.0, tasks_running=10_000, changes_per_s=0.0, teams=5,
            zones=4)
SMALL = Scenario(LOAD, Sweeps(), REAL, seconds=4.0, warm_up_s=7.0, requests_most_per_s=10.0)


# --- messages of simulated schedulers, on a simulated clock --------------------------------------------

@dataclass
class Simulation:
    """A simulation of two real exchanges among ten simulated schedulers."""

    fleet: ShardedFleet
    real_exchanges: list[ShardedExchange]
    now: float = 0.0
    due: list[float] = field(default_factory=lambda: [0.0] * REAL)
    in_flight: list[tuple[int, int, bytes]] = field(default_factory=list)  # sender, receiver, data
    sent_by_simulated: list[tuple[float, int, int, bytes]] = field(default_factory=list)  # with the time
    sent_by_real: list[tuple[float, int, int, bytes]] = field(default_factory=list)
    totals: list[tuple[float, dict[int, int]]] = field(default_factory=list)  # of simulated schedulers, by wire id
    steady_drops: list[int] = field(default_factory=list)  # of each real exchange, before the steady state

    def run(self, ms: float, rng: random.Random) -> None:
        """Advance the simulated time; each datagram takes one step to arrive."""
        ends = self.now + ms
        while self.now < ends:
            self.now += STEP_MS
            arriving, self.in_flight = self.in_flight, []
            for sender, receiver, data in arriving:
                self._deliver(sender, receiver, data, rng)
            for scheduler, receiver, data in self.fleet.advance(self.now):
                self.sent_by_simulated.append((self.now, scheduler, receiver, data))
                if receiver != ALL_PEERS:
                    self.in_flight.append((REAL + scheduler, receiver, data))
            for i, exchange in enumerate(self.real_exchanges):
                if self.due[i] <= self.now:
                    for peer, data in exchange.on_wakeup(self.now, self.due[i], rng.random):
                        self.sent_by_real.append((self.now, i, peer, data))
                        self.in_flight.append((i, peer, data))
                    self.due[i] = exchange.take_wakeup() or self.now
            self.totals.append((self.now, dict(self.fleet.shared.slots_out)))

    def _deliver(self, sender: int, receiver: int, data: bytes, rng: random.Random) -> None:
        if receiver < REAL:
            self.real_exchanges[receiver].on_message(self.now, sender, data, {}, rng.random)
        else:
            self.fleet.on_datagram(self.now, receiver - REAL, sender, data)

    def wire_id(self, worker: int) -> int:
        """The wire id of a worker, by its index."""
        return self.fleet.shared.identities.id_of(worker_number(worker))


def _simulate(seed: int = 5) -> Simulation:
    rng = random.Random(seed)
    listen = [("127.1.0.1", 1 + i) for i in range(SCHEDULERS - REAL)]
    receivers = [("127.0.0.1", 1 + i) for i in range(REAL)]
    simulated_share = len(listen) / SCHEDULERS
    plan = FleetPlan(listen, receivers, SCHEDULERS, WORKERS, STARTS_PER_S * simulated_share,
                      round(TASKS * simulated_share), 1.0, seed, FleetMethod.SHARDED)
    real = [ShardedExchange(0.0, i, range(SCHEDULERS), 9) for i in range(REAL)]
    for exchange in real:
        for worker in range(WORKERS):
            exchange.add_worker(0.0, worker_number(worker), str(worker_identity(SOURCE, worker_name(worker))))
            exchange.record_change(0.0, worker_number(worker), float(_own_slots(exchange.me, worker)), True)
    simulation = Simulation(ShardedFleet(plan, 0.0), real)
    simulation.run(STEADY_MS, rng)
    simulation.steady_drops = [sum(exchange.dropped.values()) for exchange in real]
    simulation.run(8_000.0, rng)
    return simulation


def _own_slots(real: int, worker: int) -> int:
    """The constant number of slots that a real scheduler has out at a worker."""
    return (worker + real) % 3


@pytest.fixture(scope="module")
def simulation() -> Simulation:
    return _simulate()


def test_every_datagram_decodes_and_is_no_longer_than_allowed(simulation: Simulation) -> None:
    heartbeats = 0
    for _, _, receiver, data in simulation.sent_by_simulated:
        if receiver == ALL_PEERS:
            assert data == bytes([HEARTBEAT_TYPE, 1])
            heartbeats += 1
        else:
            assert 0 <= receiver < REAL
            assert len(data) <= MESSAGE_BYTES_MAX
            assert decode(data).epoch == 1
    assert heartbeats > 0


def test_real_exchanges_are_complete_and_drop_nothing_in_the_steady_state(simulation: Simulation) -> None:
    for exchange, before in zip(simulation.real_exchanges, simulation.steady_drops, strict=True):
        assert exchange.complete(simulation.now)
        assert len(exchange.heard_members()) == SCHEDULERS - 1
        assert sum(exchange.dropped.values()) == before, exchange.dropped
        assert not exchange.dropped[DropReason.DISAGREES]
        assert not exchange.dropped[DropReason.UNREADABLE]
        assert not exchange.dropped[DropReason.STRANGER]
        assert not exchange.dropped[DropReason.UNLISTED]
        assert exchange.refused_entries() == 0


def test_hollow_exchanges_drop_nothing_either(simulation: Simulation) -> None:
    for exchange in simulation.fleet.exchanges:
        assert not exchange.dropped[DropReason.GAP]
        assert not exchange.dropped[DropReason.DISAGREES]
        assert not exchange.dropped[DropReason.LATE]
        assert exchange.refused_entries() == 0
        assert not exchange._assignment.dead


def test_what_is_believed_was_out_within_its_age(simulation: Simulation) -> None:
    for exchange in simulation.real_exchanges:
        for worker in range(WORKERS):
            age = exchange.age(simulation.now, worker_number(worker))
            assert age <= exchange.plan.age_bound_ms
            wire_id = simulation.wire_id(worker)
            since = simulation.now - age - STEP_MS
            simulated = [totals.get(wire_id, 0) for at, totals in simulation.totals if at >= since]
            other = _own_slots(1 - exchange.me, worker)
            assert min(simulated) + other <= exchange.peer_slots(worker_number(worker)) <= max(simulated) + other


def test_what_is_believed_is_all_that_is_out_once_nothing_changes() -> None:
    simulation = _simulate(seed=6)
    simulation.fleet.plan = msgspec.structs.replace(simulation.fleet.plan, starts_per_s=0.0)
    simulation.run(simulation.real_exchanges[0].plan.age_bound_ms, random.Random(1))
    for exchange in simulation.real_exchanges:
        for worker in range(WORKERS):
            out = simulation.fleet.shared.slots_out.get(simulation.wire_id(worker), 0)
            assert exchange.peer_slots(worker_number(worker)) == out + _own_slots(1 - exchange.me, worker)


def test_hollow_schedulers_spend_what_a_real_one_spends(simulation: Simulation) -> None:
    seconds = (simulation.now - STEADY_MS) / 1_000.0
    received = [data for at, _, to, data in simulation.sent_by_simulated if at > STEADY_MS and to == 0]
    sent = [data for at, by, to, data in simulation.sent_by_real if at > STEADY_MS and by == 0 and to >= REAL]
    assert len(received) == pytest.approx(len(sent), rel=0.15)
    assert sum(map(len, received)) == pytest.approx(sum(map(len, sent)), rel=0.15)
    assert sum(map(len, received)) / seconds <= Limits().bytes_per_s


def test_ages_are_those_among_real_schedulers(simulation: Simulation) -> None:
    among_real = measure_at_size(SCHEDULERS, 20, WORKERS, round(2 * STARTS_PER_S), TASKS)
    ages = sorted(exchange.age(simulation.now, worker_number(w))
                  for exchange in simulation.real_exchanges for w in range(WORKERS))
    assert ages[len(ages) // 2] == pytest.approx(among_real.age_p50_ms, rel=0.1)
    assert ages[len(ages) * 99 // 100] == pytest.approx(among_real.age_p99_ms, rel=0.15)


def test_the_same_seed_says_the_same_in_a_large_fleet(simulation: Simulation) -> None:
    assert _simulate().sent_by_simulated == simulation.sent_by_simulated


# --- the choice of the exchange method, and how it is reported -----------------------------------------

@pytest.mark.parametrize(("workers", "schedulers", "choice", "expected"), [
    (LARGE_FROM_WORKERS, LARGE_FROM_PEERS + 1, MethodChoice.BY_SIZE, FleetMethod.SHARDED),
    (LARGE_FROM_WORKERS - 1, LARGE_FROM_PEERS + 1, MethodChoice.BY_SIZE, FleetMethod.ALL_TO_ALL),
    (LARGE_FROM_WORKERS, LARGE_FROM_PEERS, MethodChoice.BY_SIZE, FleetMethod.ALL_TO_ALL),
    (11_000, 200, MethodChoice.ALL_TO_ALL, FleetMethod.ALL_TO_ALL),
])
def test_the_hollow_fleet_speaks_as_the_daemon_would(
        workers: int, schedulers: int, choice: MethodChoice, expected: FleetMethod) -> None:
    load = msgspec.structs.replace(LOAD, workers=workers, schedulers=schedulers)
    assert exchange_method_at(choice, load) is expected


def test_the_status_of_an_exchange_names_its_way(simulation: Simulation) -> None:
    assert occupancy_status(NoExchange(), 0.0, []) == OccupancyStatus(ExchangeMethod.NONE, False)
    assert occupancy_status(AllToAll(0.0, 3), 0.0, [1]) == OccupancyStatus(ExchangeMethod.ALL_TO_ALL, False)
    sized = SizedExchange(0.0, 0, SCHEDULERS - 1)
    assert occupancy_status(sized, 0.0, [1]) == OccupancyStatus(ExchangeMethod.ALL_TO_ALL, False)
    numbers = list(range(1, 1 + LARGE_FROM_WORKERS))
    sized.set_workers(0.0, dict.fromkeys(numbers, 0.0), {n: n for n in numbers})
    # No peer has been heard, so most workers have no sum.
    assert occupancy_status(sized, 0.0, numbers) == OccupancyStatus(ExchangeMethod.SHARDED, False, None, None)


def _point(way: FleetMethod, age: float | None) -> Point:
    usage = SchedulerUsage("n0", 0.5, 60.0, 40, 30, 4, 3, 200, 20, 7, age_p50_ms=age, age_p99_ms=age)
    return Point(commit="c", dirty=False, seed=1, machine=Machine(8, 24_000, "3.11.2"), scenario="s",
                 sweep="schedulers", repeat=0, load=LOAD, seconds=2.0, schedulers=[usage], baseline=[usage],
                 way=way)


def test_points_of_the_two_ways_are_sweeps_of_their_own() -> None:
    points = [SourcedPoint(_point(FleetMethod.SHARDED, 4_500.0), "f", 1),
              SourcedPoint(_point(FleetMethod.ALL_TO_ALL, None), "f", 2)]
    before, after = sort_points(points).sweeps
    assert before.title == "s: schedulers"
    assert after.title == "s, sharded: schedulers"
    ages = {each.name: each.observations[0].values for each in after.series() if "age" in each.measure.key}
    assert ages == {"s-sharded-schedulers-age-p50": (4.5,), "s-sharded-schedulers-age-p99": (4.5,)}
    assert not any("age" in each.measure.key for each in before.series())
    assert not {each.name for each in before.series()} & {each.name for each in after.series()}


def test_a_point_of_before_was_all_to_all() -> None:
    point = _point(FleetMethod.ALL_TO_ALL, None)
    old = msgspec.json.decode(msgspec.json.encode(point), type=dict)
    del old["way"]
    assert msgspec.convert(old, Point) == point


# --- real processes -----------------------------------------------------------------------------------

async def _run_window(scenario: Scenario) -> tuple[runner.Window, list[OccupancyStatus], list[SchedulerUsage]]:
    async with runner.Deployment(scenario, scenario.load, 7, peer_messages=True) as deployment:
        await deployment.warm_up()
        window = await deployment.measure_window(scenario.seconds)
        return (window, [await scheduler.occupancy() for scheduler in deployment.real_schedulers],
                await deployment.with_ages(window.schedulers))


def test_real_processes_are_sharded_and_complete_within_the_budget() -> None:
    window, states, schedulers = asyncio.run(_run_window(SMALL))
    assert runner.unsound_reason(window, LOAD.schedulers) == ""
    for state in states:
        assert state.way is ExchangeMethod.SHARDED
        assert state.complete
    for usage in schedulers:
        assert usage.age_p50_ms is not None
        assert usage.age_p99_ms is not None
        assert 0.0 < usage.age_p50_ms <= usage.age_p99_ms
        # Heartbeats, and a burst of one second's budget, come on top of the byte budget.
        max_bytes = Limits().bytes_per_s * (window.seconds + 1.0) + 4.0 * LOAD.schedulers * window.seconds
        assert 0 < usage.peer_in_bytes <= max_bytes
        assert 0 < usage.peer_out_bytes <= max_bytes
        rounds = window.seconds  # one round a second
        assert usage.peer_in_datagrams >= (LOAD.schedulers - 1) * (rounds - 1.0)


def test_all_to_all_is_spoken_in_a_large_fleet_where_it_is_asked_for() -> None:
    scenario = msgspec.structs.replace(SMALL, way=MethodChoice.ALL_TO_ALL, warm_up_s=2.0, seconds=1.5)
    window, states, schedulers = asyncio.run(_run_window(scenario))
    assert runner.unsound_reason(window, LOAD.schedulers) == ""
    assert [(s.way, s.complete) for s in states] == [(ExchangeMethod.ALL_TO_ALL, True)] * REAL
    assert [usage.age_p99_ms for usage in schedulers] == [None] * REAL
