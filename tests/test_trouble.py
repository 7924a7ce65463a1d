"""Failing workers and overload: ejection, repeats, hedges, shedding and cut-off zones."""

from __future__ import annotations

from typing import Any

import pytest

from gaphub.interface import ClassSettings, Effect, ListKind, Settings, Status, TenantSettings
from tests.fake import SAFE, UNSAFE, World, entry

REPORTS = ("latency_ms", "inflight", "free_slots", "free_memory")


def test_a_worker_that_takes_no_connection_is_ruled_out_and_tried_again() -> None:
    world = World(workers=2)
    request = world.request()
    bad = world.worker_of(request)
    world.outcome(request, 0, Status.CONNECT_FAILED, 250.0)
    world.outcome(request, 1, Status.OK)
    six = [world.request() for _ in range(6)]
    assert bad not in {world.worker_of(request) for request in six}
    for request in six:
        world.serve(request)
    world.wait(1500.0)
    assert sum(world.worker_of(world.request()) == bad for _ in range(6)) == 1  # half-open: one job at a time


def test_one_reset_is_its_connections_and_two_are_the_workers() -> None:
    world = World(workers=2)
    request = world.request()
    bad = world.worker_of(request)
    world.outcome(request, 0, Status.RESET)
    assert world.balancer.fleet.workers[bad].ejected_until < world.now
    world.serve_last(request)
    while world.worker_of(request := world.request()) != bad:
        pass
    world.outcome(request, 0, Status.RESET)
    assert world.balancer.fleet.workers[bad].ejected_until > world.now


def test_a_worker_that_fails_at_once_is_ruled_out_and_its_trials_are_harmless() -> None:
    """A worker that fails at once has nothing in flight and looks free: it got four fifths of all jobs."""
    world = World(workers=3, classes=(SAFE, UNSAFE))
    bad = 2

    def failures(cls: int) -> int:
        """The failures among 40 jobs, sent four at a time."""
        failed = 0
        for _ in range(10):
            some = [world.request(cls) for _ in range(4)]
            for request in some:
                if world.worker_of(request) == bad:
                    world.outcome(request, 0, Status.ERROR, 15.0)
                    failed += 1
                if cls == 0 or world.worker_of(request) != bad:
                    world.serve_last(request)
        return failed

    assert 2 <= failures(0) <= 3  # two in a row; a third may already be in flight
    assert not failures(1)
    world.wait(1_300.0)
    assert not failures(1)  # the ejection is over, but a job that must not be repeated is no trial
    assert failures(0) == 1
    world.wait(2_600.0)
    while world.balancer.fleet.workers[bad].error_rate > 0.2:  # recovered, which a few jobs show
        for request in [world.request() for _ in range(4)]:
            world.serve(request)
    assert bad in {world.worker_of(request) for request in [world.request(1) for _ in range(6)]}


def test_one_error_sends_what_may_not_be_repeated_elsewhere_for_a_while() -> None:
    world = World(workers=2, classes=(SAFE, UNSAFE))
    request = world.request()
    bad = world.worker_of(request)
    world.outcome(request, 0, Status.ERROR, 15.0)
    world.serve_last(request)
    assert world.balancer.fleet.workers[bad].ejected_until < world.now
    some = [world.request(1) for _ in range(10)]
    assert bad not in {world.worker_of(request) for request in some}
    world.wait(8_000.0)
    some = [world.request(1) for _ in range(10)]
    assert bad in {world.worker_of(request) for request in some}


def test_a_class_that_fails_at_a_worker_stays_away_though_others_are_served_there() -> None:
    world = World(workers=2, classes=(SAFE, UNSAFE, UNSAFE))
    request = world.request(2)
    bad = world.worker_of(request)
    world.outcome(request, 0, Status.ERROR, 15.0)
    for request in [world.request() for _ in range(10)]:
        world.serve(request)
    assert world.balancer.fleet.workers[bad].error_rate < 0.1
    assert bad not in {world.worker_of(request) for request in [world.request(2) for _ in range(10)]}
    assert bad in {world.worker_of(request) for request in [world.request(1) for _ in range(10)]}


def test_what_a_worker_may_go_on_with_is_counted_for_a_while_and_served_work_is_not() -> None:
    world = World(workers=1)
    worker = world.balancer.fleet.workers[1]
    world.serve(world.request())
    assert worker.slots_out == 0
    world.outcome(world.request(), 0, Status.CANCELLED)
    assert worker.slots_out >= 1  # at least the cancelled attempt; the next one may be out too
    world.balancer.on_client_gone(world.now, 2)
    world.wait(2_000.0)
    assert worker.slots_out == 0


def test_an_attempt_that_later_ones_overtook_waits_in_no_queue() -> None:
    world = World(workers=2, tells_start=True, second_copies=False, classes=(SAFE, UNSAFE))
    lost = world.request()
    worker = world.balancer.fleet.workers[world.worker_of(lost)]
    world.wait(1_000.0)
    later_requests = [world.request(1) for _ in range(4)]
    later = next(request for request in later_requests if world.worker_of(request) == worker.id)
    world.balancer.on_started(world.now, later, 0)
    before = worker.slots_out
    world.wait(400.0)
    assert (lost, 0) in world.actions.cancelled and worker.slots_out == before - 1
    world.outcome(lost, 0, Status.CANCELLED)
    assert world.worker_of(lost) != worker.id


# Guards against taking a full worker for a free one: slots of work that takes longer than usual were released.
def test_the_slots_of_silent_work_are_counted_as_long_as_nothing_is_heard_of_its_worker() -> None:
    patient = ClassSettings(aim_ms=300.0, deadline_ms=60_000.0, effect=Effect.UNSAFE)
    world = World(workers=1, classes=(patient,), balancers=2, may_tell_peers=True)
    worker = world.balancer.fleet.workers[1]
    world.request()
    world.wait(20_000.0)
    assert worker.slots_out == 1.0
    world.serve(world.request())  # a later answer came: that of the first is not on its way
    world.wait(5_000.0)
    assert worker.slots_out == 0.0


# Guards against sending to a full worker while others have free slots, when all of them are unhealthy.
def test_of_ill_workers_those_with_free_slots_come_first() -> None:
    world = World(workers=2, report_fields=REPORTS)
    for number, free_slots in ((1, 0.0), (2, 4.0)):
        worker = world.balancer.fleet.workers[number]
        world.balancer.reports.record(world.now, worker, (100.0, 4.0, free_slots, 1.0))
        worker.ejected_until = world.now + 1_000.0
    assert {world.worker_of(world.request()) for _ in range(4)} == {2}


def test_a_silent_worker_is_ruled_out_and_its_safe_job_sent_elsewhere() -> None:
    world = World(workers=2, classes=(ClassSettings(aim_ms=3000.0, deadline_ms=5000.0),))
    for _ in range(300):
        world.serve(world.request(), 50.0)
    request = world.request()
    silent = world.worker_of(request)
    world.wait(1700.0)
    assert world.attempts(request) == 2
    assert world.worker_of(request) != silent


def test_running_work_without_progress_notes_is_standing_still() -> None:
    world = World(
        workers=2,
        progress_ms=1000.0,
        tells_start=True,
        classes=(ClassSettings(aim_ms=9000.0, deadline_ms=9000.0),),
    )
    request = world.request()
    world.balancer.on_started(world.now + 1, request, 0)
    worker = world.balancer.fleet.workers[world.worker_of(request)]
    for _ in range(3):
        world.wait(1000.0)
        world.balancer.on_progress(world.now, request, 0, 0.2)
    assert not worker.ejections
    world.wait(2700.0)
    assert worker.ejections


def test_waiting_in_a_queue_is_not_silence() -> None:
    """Ejecting workers with long queues would send their jobs again and again, into an overload."""
    world = World(workers=3, tells_start=True, progress_ms=1000.0, report_fields=REPORTS)
    request = world.request()
    world.wait(4000.0)
    assert world.attempts(request) == 1
    assert not any(worker.ejections for worker in world.balancer.fleet.workers.values())


def test_a_job_that_waits_queues_elsewhere_and_the_first_start_calls_the_rest_off() -> None:
    # Where the settings allow it, a request may have two attempts open together, never three.
    world = World(workers=8, tells_start=True, max_attempts=5)
    request = world.request()
    world.wait(600.0)
    assert world.attempts(request) == 2
    world.balancer.on_started(world.now, request, 1)
    assert (request, 0) in world.actions.cancelled
    assert (request, 1) not in world.actions.cancelled
    world.outcome(request, 0, Status.CANCELLED)
    world.wait(600.0)
    assert world.attempts(request) == 2  # no hedge once one runs, though a further attempt is allowed


def test_where_a_copy_gets_no_connection_the_next_takes_its_place_and_never_are_three_out() -> None:
    world = World(workers=8, tells_start=True, max_attempts=5)
    request = world.request()
    for copy in range(1, 5):
        world.wait(600.0)
        assert world.attempts(request) == copy + 1
        world.outcome(request, copy, Status.CONNECT_FAILED, 1.0)
        assert sum(attempt.open for attempt in world.balancer.jobs[request].attempts) == 1
    world.wait(600.0)
    assert world.attempts(request) == 5  # all that the settings allow


def test_of_two_copies_that_run_one_is_called_off() -> None:
    world = World(workers=8, tells_start=True)
    request = world.request()
    world.wait(300.0)
    world.balancer.on_started(world.now, request, 0)
    world.balancer.on_started(world.now, request, 1)
    assert [attempt for q, attempt in world.actions.cancelled if q == request] == [1]


def test_the_copy_that_began_first_goes_on() -> None:
    world = World(workers=8, tells_start=True)
    request = world.request()
    world.wait(300.0)
    world.balancer.on_started(world.now, request, 0)
    world.actions.cancelled.clear()
    for attempt in world.balancer.jobs[request].attempts:
        attempt.cancelled = False  # as if the cancels had crossed with the start
    world.balancer.on_started(world.now + 1.0, request, 1)
    assert (request, 1) in world.actions.cancelled
    assert (request, 0) not in world.actions.cancelled


def test_no_copies_of_unsafe_work_or_where_forbidden() -> None:
    for more in ({"classes": (UNSAFE,)}, {"second_copies": False}, {"may_cancel": False}):
        world = World(workers=8, tells_start=True, **more)
        request = world.request()
        world.wait(600.0)
        assert world.attempts(request) == 1


def test_long_jobs_queue_elsewhere_later_than_short_ones() -> None:
    world = World(workers=8, tells_start=True)
    short, long = world.request(hint_ms=50.0), world.request(hint_ms=5000.0)
    world.wait(150.0)
    assert world.attempts(short) > world.attempts(long) == 1


def test_retries_too_old_to_be_in_time_are_answered_at_once() -> None:
    world = World()
    for _ in range(50):
        world.serve(world.request(hint_ms=100.0), 100.0)
    request = world.request(hint_ms=100.0, left_ms=2000.0)
    assert world.actions.refused == [request]
    assert world.attempts(request) == 0


def test_traffic_over_its_share_goes_first_when_workers_are_full() -> None:
    world = World(
        workers=4, report_fields=REPORTS, balancers=1, tenants=(TenantSettings(5.0), TenantSettings(100.0))
    )
    for i in range(300):
        request = world.request(tenant=1)
        if request not in world.actions.refused:
            world.serve(request, report=(100.0, 0.0, 9.0 * (i % 2), 9.0))
        world.wait(20.0)
    world.actions.refused.clear()
    greedy = [world.request(tenant=0) for _ in range(40)]
    within = [world.request(tenant=1) for _ in range(10)]
    assert sum(request in world.actions.refused for request in greedy) > 25
    assert sum(request in world.actions.refused for request in within) < 5


def test_low_value_work_goes_first_when_own_jobs_start_late() -> None:
    cheap = ClassSettings(aim_ms=300.0, deadline_ms=5000.0, worth=1.0)
    dear = ClassSettings(aim_ms=300.0, deadline_ms=5000.0, worth=30.0)
    world = World(
        workers=30, classes=(cheap, dear), tells_start=True, worth_by_work=True, second_copies=False
    )
    for _ in range(40):
        world.request(1)
        world.wait(200.0)
    world.actions.refused.clear()
    cheaps = [world.request(0) for _ in range(20)]
    assert sum(request in world.actions.refused for request in cheaps) > 10
    world.balancer.saturation = 0.5
    dears = [world.request(1) for _ in range(20)]
    assert not any(request in world.actions.refused for request in dears)


def test_of_equal_work_what_takes_more_slots_goes_first() -> None:
    world = World(workers=1, tells_start=True, classes=(ClassSettings(aim_ms=300.0, deadline_ms=5000.0),))
    world.balancer.saturation = 0.75  # sheds a job of four slots, but not one of a single slot
    one, four = world.request(slots=1.0), world.request(slots=4.0)
    assert (world.actions.refused, world.worker_of(one)) == ([four], 1)


def test_valuable_work_may_wait_longer_and_the_refused_are_told_to_return_in_time() -> None:
    classes = [ClassSettings(aim_ms=300.0, deadline_ms=5000.0, worth=worth) for worth in (9.0, 1.0)]
    world = World(workers=1, classes=tuple(classes), report_fields=("free_slots", "queue", "latency_ms"))
    world.serve(world.request(), report=(1.0, 0.0, 100.0))
    world.serve(world.request(), report=(0.0, 3.0, 100.0))  # a wait of 400 ms
    cheap = world.request(1)
    assert world.actions.refused == [cheap] and 180.0 <= world.actions.retry_afters[0] <= 420.0
    assert world.attempts(world.request(0)) == 1


# Guards against many clients that are refused together and return together, again and again.
def test_who_is_refused_together_is_not_told_to_return_together() -> None:
    world = World(workers=1, report_fields=("free_slots", "queue", "latency_ms"))
    world.serve(world.request(), report=(1.0, 0.0, 100.0))
    world.serve(world.request(), report=(0.0, 90.0, 100.0))
    for _ in range(200):
        world.request()
    returns = sorted(world.actions.retry_afters)
    assert len(returns) == 200
    assert max(b - a for a, b in zip(returns, returns[20:], strict=False)) < 0.5 * (returns[-1] - returns[0])
    assert returns[-1] - returns[0] > 100.0


# Guards against queues as long as a class with a long aim allows: all jobs behind them were late.
def test_patient_work_makes_pressing_work_wait_no_longer_than_that_may() -> None:
    pressing = ClassSettings(aim_ms=300.0, deadline_ms=5000.0, worth=9.0)
    patient = ClassSettings(aim_ms=3000.0, deadline_ms=9000.0, worth=1.0)
    world = World(workers=1, classes=(pressing, patient), report_fields=("free_slots", "queue", "latency_ms"))
    world.serve(world.request(), report=(1.0, 0.0, 100.0))
    world.serve(world.request(), report=(0.0, 3.0, 100.0))  # a wait of 400 ms
    late = world.request(1)
    assert world.actions.refused == [late]


# Guards against a zone that is back but gets only three jobs in a hundred as a trial: its workers stood idle.
@pytest.mark.parametrize(("age", "used"), [(100.0, True), (60_000.0, False)])
def test_a_zone_whose_workers_have_just_started_is_used_at_once(age: float, used: bool) -> None:
    world = World(entries=[entry(1), entry(2, zone=1)], zones=2)
    world.now = 100_000.0
    world.balancer.zone_reach.failure_shares[1] = 0.99
    world.balancer.on_workers(world.now, ListKind.CHANGES, [entry(2, zone=1, ready_at=world.now - age)])
    assert all(world.balancer.zone_reach.candidate_zones(world.balancer.rng.random) == ()
               for _ in range(20)) is used


def test_log_lines_are_bounded() -> None:
    world = World(workers=40)
    for _ in range(400):
        request = world.request()
        for i in range(3):
            world.outcome(request, i, Status.CONNECT_FAILED, 250.0)
        world.wait(500.0)
    assert 0 < len(world.actions.log_lines) <= 12


def test_same_events_same_actions() -> None:
    def run() -> list[tuple[int, int]]:
        world = World(workers=50, seed=7)
        for i in range(200):
            request = world.request()
            if i % 3:
                world.serve(request, 50.0 + i)
            world.wait(7.0)
        return world.actions.sends

    assert run() == run()


def test_settings_that_cannot_be_meant_are_refused_by_name() -> None:
    cases: dict[str, dict[str, Any]] = {
        "classes": {"classes": ()},
        "me": {"me": 3},
        "zone": {"zone": 9},
        "tick_ms": {"tick_ms": 0.0},
        "cold_from": {"cold_from": 0.0},
        "max_attempts": {"max_attempts": 0},
        "cold_ms": {"cold_ms": -1.0},
    }
    for name, bad in cases.items():
        try:
            Settings(**{"classes": (SAFE,), **bad})
        except ValueError as error:
            assert name in str(error)
        else:
            raise AssertionError(name)
    try:
        Settings(classes=(ClassSettings(aim_ms=0.0, deadline_ms=1.0),))
    except ValueError as error:
        assert "classes[0].aim_ms" in str(error)
    assert entry(1).worker == 1


def test_copies_go_as_full_comes() -> None:
    """Where a cancel stops nothing, cancelled attempts fill the queues; 'full' answers show it."""
    world = World(workers=8, tells_start=True, max_attempts=5)
    for _ in range(20):
        request = world.request()
        world.outcome(request, 0, Status.FULL, 1.0)
        world.serve_last(request)
    request = world.request()
    world.wait(300.0)
    assert world.attempts(request) == 1


def test_a_start_too_late_to_matter_is_called_off() -> None:
    world = World(workers=4, tells_start=True, second_copies=False)
    request = world.request(hint_ms=1000.0)
    world.wait(1300.0)
    world.balancer.on_started(world.now, request, 0)
    assert not world.actions.cancelled
    request = world.request(hint_ms=1000.0)
    world.balancer.run_ms_per_hint = [3.0]
    world.balancer.on_started(world.now, request, 0)
    assert (request, 0) in world.actions.cancelled


def test_a_job_that_cannot_start_in_time_is_answered_before_its_aim() -> None:
    world = World(workers=4, tells_start=True, second_copies=False)
    request = world.request(hint_ms=1000.0)
    world.wait(1500.0)
    assert world.actions.refused == [request]


def test_progress_that_will_end_too_late_is_given_up() -> None:
    world = World(workers=4, tells_start=True, progress_ms=500.0)
    request = world.request(hint_ms=1000.0)
    world.balancer.on_started(world.now, request, 0)
    world.wait(1000.0)
    world.balancer.on_progress(world.now, request, 0, 0.5)
    assert not world.actions.refused
    world.wait(500.0)
    world.balancer.on_progress(world.now, request, 0, 0.51)
    assert world.actions.refused == [request]
    assert (request, 0) in world.actions.cancelled


def test_a_zone_without_connections_is_left_alone_but_for_trials() -> None:
    zone = [entry(i, zone=i % 2) for i in range(1, 41)]
    world = World(zones=2, entries=zone, max_attempts=5)
    for _ in range(6):
        request = world.request()
        for i in range(4):
            if i < world.attempts(request) and not world.balancer.jobs[request].closed:
                far = world.balancer.fleet.workers[world.worker_of(request, i)].zone == 0
                world.outcome(request, i, Status.CONNECT_FAILED if far else Status.OK, 250.0)
                if not far:
                    break
    assert world.balancer.zone_reach.failure_shares[0] > 0.5
    sends = [world.balancer.fleet.workers[world.worker_of(world.request())].zone for _ in range(30)]
    assert sum(z == 0 for z in sends) <= 3
