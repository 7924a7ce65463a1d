"""How a worker is picked: shares, gap order, ties, availability, keys, probes and peers' counts."""

from __future__ import annotations

from collections import Counter
from math import log
from typing import Any

import pytest

from gaphub.interface import ClassSettings, ListKind, Status
from gaphub.logic import MAX_KEYS, PROBES_PER_ROUND
from gaphub.profiles import KEY_TTL_MS, JobType
from gaphub.workers import Worker
from tests.fake import SAFE, World, entry

REPORTS = ("latency_ms", "inflight", "free_slots", "free_memory")


def test_jobs_spread_by_counts_when_nothing_is_known() -> None:
    world = World(workers=4)
    for _ in range(8):
        world.request()
    assert set(Counter(worker for _, worker in world.actions.sends).values()) == {2}


def test_shares_follow_the_inverse_of_response_times() -> None:
    world = World(workers=2)
    for _ in range(60):
        for request in [world.request() for _ in range(8)]:
            world.serve(request, 100.0 if world.worker_of(request) == 1 else 300.0)
        world.wait(100.0)
    world.actions.sends.clear()
    for _ in range(40):
        world.request()
    sent = Counter(worker for _, worker in world.actions.sends)
    assert 2.3 < sent[1] / sent[2] < 3.7


def test_ties_go_to_the_larger_share() -> None:
    world = World(workers=2)
    for _ in range(200):
        request = world.request()
        world.serve(request, 300.0 if world.worker_of(request) == 1 else 100.0)
        world.wait(20.0)
    picks = set()
    for _ in range(20):
        request = world.request()
        picks.add(world.worker_of(request))
        world.serve(request, 300.0 if world.worker_of(request) == 1 else 100.0)
    assert picks == {2}


def test_equal_gaps_go_to_the_larger_share_whatever_the_order() -> None:
    """With nothing in flight all gaps are 0; the fast worker is first, then last in the pool."""
    for fast in (1, 4):
        world = World(workers=4)
        job_type = world.balancer.class_types[0]
        for i in range(1, 5):
            for _ in range(20):
                job_type.record(world.now, world.balancer.fleet.workers[i], 50.0 if i == fast else 400.0)
        picks = set()
        for _ in range(12):
            request = world.request()
            picks.add(world.worker_of(request))
            world.outcome(request, 0, Status.OK, 0.0)
        assert picks == {fast}


def test_an_unseen_worker_borrows_the_median_and_a_sparse_one_is_shrunk_to_it() -> None:
    workers = {i: Worker(entry(i)) for i in range(1, 12)}
    job_type = JobType(1, log(100.0))
    for _ in range(60):
        for i in range(1, 10):
            job_type.record(0.0, workers[i], 100.0)
    job_type.record(0.0, workers[10], 800.0)
    job_type.update_rates(0.0, workers, [11], 0.5)
    assert 11 not in job_type.rates
    assert 1 / job_type.rates[10] < 2.0  # one sample of eight times the usual has little weight
    assert job_type.kind_rates[0] == pytest.approx(job_type.rates[1], rel=0.1)


def test_old_samples_fade() -> None:
    workers = {i: Worker(entry(i)) for i in (1, 2)}
    job_type = JobType(1, log(100.0))
    for _ in range(30):
        job_type.record(0.0, workers[1], 800.0)
        job_type.record(0.0, workers[2], 100.0)
    job_type.update_rates(0.0, workers, [2], 0.5)
    before = job_type.rates[2] / job_type.rates[1]
    job_type.update_rates(60_000.0, workers, [2], 0.5)
    after = job_type.rates.get(2, 1.0) / job_type.rates.get(1, 1.0)
    assert before > 3
    assert after < 1.5


def test_a_restarted_worker_is_not_judged_by_its_past() -> None:
    world = World(workers=2)
    for _ in range(40):
        request = world.request()
        world.serve(request, 100.0 if world.worker_of(request) == 1 else 300.0)
    job_type = world.balancer.class_types[0]
    assert 2 in job_type.samples
    world.balancer.on_workers(world.now, ListKind.CHANGES, [entry(2, ready_at=world.now - 1.0)])
    assert 2 not in job_type.samples


def test_only_served_jobs_enter_profiles() -> None:
    world = World(workers=2)
    request = world.request()
    world.outcome(request, 0, Status.FULL, 1.0)
    world.outcome(request, 1, Status.ERROR, 1.0)
    assert world.balancer.class_types[0].served == 0


def test_a_hint_normalises_the_response_time() -> None:
    world = World(workers=1)
    for hint in (100.0, 1000.0, 10.0):
        request = world.request(hint_ms=hint)
        world.serve(request, hint * 2.0)
    assert world.balancer.hint_types[0].mean_log == pytest.approx(log(2.0), abs=0.36)
    assert world.balancer.class_types[0].served == 0


def test_a_report_without_free_slots_makes_unavailable() -> None:
    world = World(workers=3, report_fields=REPORTS)
    for request in [world.request() for _ in range(3)]:
        free = 5.0 if world.worker_of(request) == 3 else 0.0
        world.serve(request, report=(100.0, 5.0, free, 9.0))
    picks = {world.worker_of(world.request()) for _ in range(3)}
    assert picks == {3}


def test_own_sends_since_a_report_count_against_its_free_slots() -> None:
    world = World(workers=2, report_fields=REPORTS)
    for request in [world.request() for _ in range(2)]:
        world.serve(request, report=(100.0, 4.0, 1.0 if world.worker_of(request) == 1 else 2.0, 9.0))
    sent = Counter(world.worker_of(world.request()) for _ in range(3))
    assert sent == {1: 1, 2: 2}


def test_memory_counts_like_slots() -> None:
    world = World(workers=2, report_fields=REPORTS)
    for request in [world.request() for _ in range(2)]:
        world.serve(request, report=(100.0, 0.0, 9.0, 1.0 if world.worker_of(request) == 1 else 9.0))
    assert {world.worker_of(world.request(memory=2.0)) for _ in range(3)} == {2}


def test_an_old_report_counts_as_none() -> None:
    world = World(workers=1, report_fields=REPORTS)
    world.serve(world.request(), report=(100.0, 4.0, 0.0, 9.0))
    worker = world.balancer.fleet.workers[1]
    assert world.balancer.reports.has_room(world.now, worker, 1.0, 0.0) is False
    assert world.balancer.reports.has_room(world.now + 60_000.0, worker, 1.0, 0.0) is None


def test_full_bars_for_that_size_and_the_next_in_gap_order_gets_the_job() -> None:
    world = World(workers=2)
    request = world.request(slots=4.0)
    first = world.worker_of(request)
    world.outcome(request, 0, Status.FULL, 1.0)
    assert world.worker_of(request) != first
    small = [world.worker_of(world.request(slots=1.0)) for _ in range(2)]
    assert first in small  # a smaller job may still be sent
    big = [world.worker_of(world.request(slots=4.0)) for _ in range(2)]
    assert first not in big


def test_the_full_bar_ends() -> None:
    world = World(workers=2)
    request = world.request()
    first = world.worker_of(request)
    world.outcome(request, 0, Status.FULL, 1.0)
    world.outcome(request, 1, Status.OK)
    world.wait(400.0)
    assert first in {world.worker_of(world.request()) for _ in range(2)}


def test_with_none_available_the_job_goes_unheld_to_the_first_in_gap_order() -> None:
    world = World(workers=2, report_fields=REPORTS)
    for _ in range(2):
        world.serve(world.request(), report=(100.0, 4.0, 0.0, 9.0))
    assert world.attempts(world.request()) == 1


def test_only_workers_of_the_classes_kind_are_candidates() -> None:
    tied = ClassSettings(aim_ms=300.0, deadline_ms=5000.0, kind=1)
    world = World(classes=(tied,), kinds=2, entries=[entry(1), entry(2, kind=1), entry(3)])
    assert {world.worker_of(world.request()) for _ in range(5)} == {2}


def test_few_jobs_in_flight_follow_the_shares_in_expectation() -> None:
    """Without drawing by share, the single job of every scheduler would go to the same fast worker."""
    picks: Counter[int] = Counter()
    for seed in range(60):
        world = World(workers=40, seed=seed)
        picks[world.worker_of(world.request())] += 1
    assert len(picks) > 20


def test_the_work_of_a_pick_does_not_grow_with_the_fleet() -> None:
    world = World(workers=5000)
    calls = 0
    original = world.balancer._usable

    def counted(*args: object) -> int:
        nonlocal calls
        calls += 1
        return original(*args)  # type: ignore[arg-type]

    world.balancer.__class__ = type("Counting", (world.balancer.__class__,), {"_usable": staticmethod(counted)})
    world.request()
    assert 0 < calls < 50


def test_a_key_is_a_type_from_its_first_job_and_their_number_is_bounded() -> None:
    world = World(workers=4)
    for i in range(6000):
        world.serve(world.request(key=100 + i))
    assert len(world.balancer.key_types) == MAX_KEYS
    world.serve(world.request(key=7))
    assert (0, 7) in world.balancer.key_types and (0, 100) not in world.balancer.key_types


def test_a_key_stays_where_it_was_fetched_and_every_gateway_draws_alike() -> None:
    # Guards against keys that move at each job: their fetches overload the shared store, and in the simulator half
    # of all jobs were late at low load.
    homes: list[list[int]] = []
    for seed in (1, 2, 3):
        world = World(workers=10, seed=seed)
        homes.append([])
        for key in range(1, 40):
            workers = {world.serve(world.request(key=key)) for _ in range(5)}
            assert len(workers) == 1
            homes[-1] += workers
    assert homes[0] == homes[1] == homes[2]
    assert len(set(homes[0])) == 10  # keys are spread over all workers


def test_a_key_s_second_job_goes_elsewhere_while_the_first_runs() -> None:
    world = World(workers=4)
    first = world.request(key=9)
    assert world.worker_of(world.request(key=9)) != world.worker_of(first)


def test_a_key_that_is_seldom_asked_for_has_one_home_in_all_zones() -> None:
    # Guards against one worker in each zone for a rarely requested key: with three zones, a third of all jobs at
    # low load had to fetch their key's data.
    entries = [entry(i, zone=i % 3) for i in range(1, 13)]
    worlds = [World(entries=entries, zones=3, zone=zone) for zone in range(3)]
    homes = []
    for key in range(1, 40):
        (home,) = {world.serve(world.request(key=key)) for world in worlds}
        homes.append(home)
        for zone, world in enumerate(worlds):
            again = world.serve(world.request(key=key))
            assert again % 3 == zone  # requested again so soon: one worker in each zone
            world.now += KEY_TTL_MS
        assert {world.serve(world.request(key=key)) for world in worlds} == {home}  # rarely
        assert [world.serve(world.request()) % 3 for world in worlds] == [0, 1, 2]  # no key, no fetch
    assert {home % 3 for home in homes} == {0, 1, 2}


def test_a_fetch_lengthens_the_time_to_expect_where_the_key_was_not_met() -> None:
    world = World(workers=2)
    job_type = world.balancer.class_types[0]
    for i in range(400):
        job = world.request(key=1 + i)
        world.serve(job, latency=300.0)  # each key new to its worker
        world.serve(world.request(key=1 + i), latency=100.0)
        world.now += 20.0
    assert 0.8 < job_type.fetch_log < 1.3  # log 3 is 1.1
    assert abs(job_type.rates[1] / job_type.rates[2] - 1.0) < 0.2  # the rate excludes the fetch


def test_own_zone_first_and_others_when_it_is_not_available() -> None:
    world = World(zones=2, entries=[entry(1), entry(2, zone=1)], report_fields=REPORTS)
    request = world.request()
    assert world.worker_of(request) == 1
    world.serve(request, report=(100.0, 4.0, 0.0, 9.0))
    assert world.worker_of(world.request()) == 2


def test_a_look_precedes_the_send_where_only_probes_report() -> None:
    world = World(workers=6, may_probe=True, reports_in_probes=True, report_fields=("free_slots", "queue"))
    request = world.request()
    assert world.attempts(request) == 0
    probed = list(world.actions.probes)
    assert len(probed) == PROBES_PER_ROUND
    for worker in probed:
        world.balancer.on_probe_result(
            world.now, worker, Status.OK, 1.0, (2.0 if worker == probed[1] else 0.0, 0.0))
    assert world.worker_of(request) == probed[1]


def test_a_slot_beside_a_queue_is_free_only_where_whatever_fits_starts() -> None:
    """Behind a queue head that does not fit, jobs wait beside free slots; hung workers look the same."""
    for order, free in (("fifo", False), ("backfill", True)):
        world = World(workers=1, report_fields=("free_slots", "queue"), queue_order=order)
        world.serve(world.request(), report=(3.0, 5.0))
        worker = world.balancer.fleet.workers[1]
        assert world.balancer.reports.has_room(world.now, worker, 1.0, 0.0) is free


def test_a_look_holds_a_job_no_longer_than_its_limit() -> None:
    world = World(workers=6, may_probe=True, reports_in_probes=True, report_fields=("free_slots", "queue"))
    request = world.request()
    world.wait(40.0)
    assert world.attempts(request) == 1


def test_no_looks_where_a_probe_is_dear() -> None:
    world = World(
        workers=6,
        may_probe=True,
        reports_in_probes=True,
        report_fields=("free_slots",),
        prices={"probe": 0.1},
    )
    assert world.attempts(world.request()) == 1
    assert not world.actions.probes


def two_schedulers(**more: Any) -> tuple[World, World]:
    """Two schedulers that exchange counts; their workers of four slots have reported while idle."""
    worlds = tuple(World(balancers=2, me=me, may_tell_peers=True, may_probe=True, reports_in_probes=True,
                         report_fields=("free_slots", "queue", "inflight"), **more) for me in (0, 1))
    for world in worlds:
        world.wait(5.0)
        for worker in world.balancer.fleet.workers:
            world.balancer.on_probe_result(world.now, worker, Status.OK, 1.0, (4.1, 0.0, 0.0))
    exchange_messages(*worlds)
    return worlds[0], worlds[1]


def exchange_messages(*worlds: World) -> None:
    """Deliver messages in turn until none is pending."""
    while any(world.actions.peer_messages for world in worlds):
        for me, world in enumerate(worlds):
            messages, world.actions.peer_messages = world.actions.peer_messages, []
            for _, data in messages:
                worlds[1 - me].balancer.on_peer(worlds[1 - me].now, me, data)


# Guards against relying on reports: they are up to two seconds old, and two schedulers that read the same one send
# to the same free slots.
def test_the_other_gateways_counts_say_who_is_free_at_once() -> None:
    first, second = two_schedulers(workers=2)
    for _ in range(4):
        first.request(slots=1.0)
    exchange_messages(first, second)
    taken = Counter(worker for _, worker in first.actions.sends)
    large = second.request(slots=4.0 - min(taken.values()))
    assert second.worker_of(large) == min(taken, key=lambda worker: taken[worker])
    for request in range(1, 5):
        first.serve(request)
    exchange_messages(first, second)
    next_large = second.request(slots=4.0)
    assert second.worker_of(next_large) != second.worker_of(large)
    assert not first.actions.probes and not second.actions.probes


def test_a_gateway_that_starts_is_told_all_and_one_that_is_silent_is_not_counted_on() -> None:
    first, second = two_schedulers(workers=1)
    for _ in range(3):
        first.request()
    exchange_messages(first, second)
    second = World(workers=1, balancers=2, me=1, may_tell_peers=True, may_probe=True, reports_in_probes=True,
                   report_fields=("free_slots", "queue", "inflight"))
    second.wait(5.0)
    exchange_messages(first, second)
    worker = second.balancer.fleet.workers[1]
    assert (second.balancer._known_slots(worker, second.now), second.balancer._total_slots_out(worker)) == (4, 3)
    second.now += 5_000.0
    assert second.balancer._known_slots(worker, second.now) == 0
    second.request()
    assert second.actions.probes == [1]  # it probes again


def test_who_says_full_is_left_alone_for_a_while_though_counts_say_that_it_is_free() -> None:
    """A draining worker refuses at once, seconds before the list shows it; jobs came eight times a second."""
    scheduler, _ = two_schedulers(workers=2)
    request = scheduler.request(slots=1.0)
    drains = scheduler.worker_of(request)
    scheduler.outcome(request, 0, Status.FULL, 5.0)
    assert scheduler.worker_of(request) != drains
    # Six jobs: more than the other worker has slots.
    assert drains not in {scheduler.worker_of(scheduler.request(slots=1.0)) for _ in range(6)}
    scheduler.wait(300.0)
    again = next(request for request in [scheduler.request(slots=1.0) for _ in range(3)]
                 if scheduler.worker_of(request) == drains)
    scheduler.balancer.fleet.workers[drains].full_count = 9  # the back-off is bounded, as it may be back soon
    scheduler.outcome(again, 0, Status.FULL, 5.0)
    assert scheduler.now < scheduler.balancer.fleet.workers[drains].full_until <= scheduler.now + 900.0


def test_of_a_cold_workers_slots_only_its_present_part_counts() -> None:
    """With jobs in all its slots, a worker at a third of its capacity takes three times as long for each."""
    scheduler, _ = two_schedulers(entries=[entry(1), entry(2, ready_at=1_000.0)], cold_from=0.3, cold_ms=1_000.0)
    cold = scheduler.balancer.fleet.workers[2]
    assert [scheduler.balancer._known_slots(cold, 1_000.0 + age)
            for age in (0.0, 300.0, 600.0, 1_200.0)] == [1, 2, 3, 4]
    job = scheduler.balancer.jobs[scheduler.request()]
    cold.slots_out = 1.0
    assert scheduler.balancer._available(cold, job, 2_200.0)
    assert not scheduler.balancer._available(cold, job, 1_000.0)


def test_what_a_gateway_tells_late_or_garbled_is_dropped() -> None:
    sender, receiver = two_schedulers(workers=1)
    sender.request()
    (_, overtaken), *_ = sender.actions.peer_messages
    sender.request()
    exchange_messages(sender, receiver)
    worker = receiver.balancer.fleet.workers[1]
    for data in (overtaken, b"", b"\xd0", overtaken[:-1], b"\xd9" + overtaken[1:], b"gh1" + overtaken):
        receiver.balancer.on_peer(receiver.now, 0, data)
        assert receiver.balancer._total_slots_out(worker) == 2


def test_nothing_is_told_where_it_is_dear_or_not_allowed() -> None:
    for more in ({"prices": {"peer": 2.0}, "may_tell_peers": True}, {"may_tell_peers": False}):
        world = World(balancers=3, **more)
        world.request()
        world.wait(3_000.0, 50.0)
        assert not world.actions.peer_messages


def test_safe_class_default_is_what_tests_think() -> None:
    assert SAFE.effect == 0
