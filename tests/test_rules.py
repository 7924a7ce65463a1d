"""Rules on drained and gone workers, repeats, deadlines and cold workers."""

from __future__ import annotations

from gaphub.interface import ClassSettings, Effect, Group, ListKind, Status, WorkerState
from tests.fake import KEYED, SAFE, UNSAFE, World, entry


def test_nothing_goes_to_a_draining_or_gone_worker() -> None:
    world = World(workers=3)
    world.balancer.on_workers(
        world.now, ListKind.CHANGES, [entry(1, WorkerState.DRAINING), entry(2, WorkerState.GONE)]
    )
    assert {world.worker_of(world.request()) for _ in range(9)} == {3}


def test_a_worker_missing_from_a_full_list_is_gone() -> None:
    world = World(workers=3)
    world.balancer.on_workers(world.now, ListKind.FULL, [entry(2)])
    assert {world.worker_of(world.request()) for _ in range(5)} == {2}


def test_a_failed_list_call_keeps_the_old_list_and_asks_again_later_each_time() -> None:
    world = World(workers=2, must_ask=True)
    world.wait(7000.0)
    assert world.actions.watches == 1
    gaps = []
    for _ in range(3):
        world.balancer.on_workers(world.now, ListKind.FAILED, [])
        asked, start = world.actions.watches, world.now
        while world.actions.watches == asked:
            world.wait(5.0)
        gaps.append(world.now - start)
    assert world.attempts(world.request()) == 1
    assert gaps[2] > gaps[0]
    assert max(gaps) < world.balancer.settings.ask_within_ms * 1.3


def test_first_list_calls_are_spread() -> None:
    times = set()
    for seed in range(8):
        world = World(workers=1, must_ask=True, seed=seed)
        while not world.actions.watches:
            world.wait(50.0)
        times.add(round(world.now, -2))
    assert len(times) > 4


def test_unsafe_is_sent_again_only_after_proof_that_it_never_ran() -> None:
    for status in (Status.FULL, Status.CONNECT_FAILED):
        world = World(classes=(UNSAFE,))
        request = world.request()
        world.outcome(request, 0, status, 1.0)
        assert world.attempts(request) == 2
    for status in (Status.ERROR, Status.RESET, Status.TIMEOUT):
        world = World(classes=(UNSAFE,))
        request = world.request()
        world.outcome(request, 0, status, 1.0)
        assert world.attempts(request) == 1
        assert world.actions.failed == [request]
        assert not world.actions.refused


def test_unsafe_in_doubt_waits_for_its_worker_and_is_failed_in_time() -> None:
    world = World(classes=(UNSAFE,))
    request = world.request()
    world.wait(4960.0)
    assert not world.actions.failed
    world.wait(60.0)
    assert world.actions.failed == [request]
    assert world.attempts(request) == 1


def test_keyed_work_is_repeated_only_in_its_group() -> None:
    for group, allowed in ((Group.ZONE, {1, 2}), (Group.CELL, {1, 3})):
        cls = ClassSettings(
            aim_ms=300.0, deadline_ms=9000.0, effect=Effect.KEYED, group=group, window_ms=4000.0
        )
        for seed in range(6):
            world = World(
                classes=(cls,),
                zones=2,
                seed=seed,
                entries=[
                    entry(1, zone=0, cell=0),
                    entry(2, zone=0, cell=1),
                    entry(3, zone=1, cell=0),
                    entry(4, zone=1, cell=1),
                ],
            )
            request = world.request()
            first = world.worker_of(request)
            world.outcome(request, 0, Status.ERROR, 1.0)
            group_of = {1: allowed, 2: {1, 2} if group == Group.ZONE else {2, 4}}
            if first in group_of:
                assert world.worker_of(request) in group_of[first]
                world.outcome(request, 1, Status.ERROR, 1.0)
                assert not world.actions.refused  # untrue: a retry may reach another group
                assert world.actions.failed == [request]


def test_keyed_work_is_not_repeated_past_its_window() -> None:
    world = World(classes=(KEYED,))
    request = world.request()
    world.wait(4100.0)
    world.outcome(request, 0, Status.RESET, 4100.0)
    assert world.attempts(request) == 1


def test_every_request_is_answered_by_its_deadline() -> None:
    for cls in (SAFE, UNSAFE, KEYED):
        world = World(classes=(cls,))
        request = world.request()
        world.wait(cls.deadline_ms + 1.0)
        assert world.actions.refused + world.actions.failed == [request]
        sends = len(world.actions.sends)
        world.wait(20_000.0)
        assert len(world.actions.sends) == sends


def test_with_no_worker_a_request_is_refused_at_once() -> None:
    world = World(workers=1)
    world.balancer.on_workers(world.now, ListKind.FULL, [])
    request = world.request()
    assert world.actions.refused == [request]


def test_late_and_unknown_events_are_ignored() -> None:
    world = World()
    request = world.request()
    world.serve(request)
    before = (len(world.actions.sends), len(world.actions.failed), len(world.actions.refused))
    world.outcome(request, 0, Status.OK)
    world.outcome(request, 7, Status.OK)
    world.outcome(999, 0, Status.OK)
    world.balancer.on_client_gone(world.now, request)
    world.balancer.on_started(world.now, 999, 0)
    world.balancer.on_progress(world.now, request, 3, 0.5)
    world.balancer.on_timer(world.now, 12345)
    world.balancer.on_probe_result(world.now, 77, Status.OK, 1.0, ())
    world.balancer.on_peer(world.now, 1, b"\xff\x00")
    assert (len(world.actions.sends), len(world.actions.failed), len(world.actions.refused)) == before
    assert not world.balancer.jobs


def test_a_client_that_left_is_owed_nothing_and_its_job_is_forgotten() -> None:
    world = World()
    request = world.request()
    world.balancer.on_client_gone(world.now, request)
    assert world.actions.cancelled == [(request, 0)]
    world.outcome(request, 0, Status.CANCELLED)
    assert not world.balancer.jobs
    assert not world.actions.failed and not world.actions.refused


def test_cold_workers_get_their_part_of_what_warm_ones_carry() -> None:
    """Of ten schedulers together, a worker back cold may get within 3 s 3 x 0.15 of what it can do."""
    sent = warm = 0
    for seed in range(10):
        world = World(workers=10, seed=seed)
        for _ in range(100):
            world.serve(world.request())
            world.wait(20.0)
        world.actions.sends.clear()
        world.balancer.on_workers(world.now, ListKind.CHANGES, [entry(1, ready_at=world.now)])
        for _ in range(150):
            world.serve(world.request())
            world.wait(20.0)
        sent += sum(worker == 1 for _, worker in world.actions.sends)
        warm += sum(worker != 1 for _, worker in world.actions.sends)
    assert 0 < sent < 0.45 * warm / 9


def test_a_zone_back_cold_is_not_rushed_when_nothing_else_is_there() -> None:
    world = World(workers=4)
    for _ in range(100):
        world.serve(world.request())
        world.wait(20.0)
    world.actions.sends.clear()
    world.balancer.on_workers(world.now, ListKind.FULL, [entry(i, ready_at=world.now) for i in range(1, 5)])
    for _ in range(50):
        world.request()
        world.wait(20.0)
    assert len(world.actions.sends) < 25
    assert world.actions.refused


def test_sends_in_a_jam_do_not_raise_the_cold_allowance() -> None:
    """Refused and failed work may be many times the capacity of a fleet; paced by it, cold workers failed."""
    world = World(workers=4)
    for _ in range(200):
        request = world.request()
        for i in range(world.balancer.settings.max_attempts):
            world.outcome(request, i, Status.FULL, 1.0)
        world.wait(10.0)
    assert world.balancer._served_per_ms(world.now) == 0.0


def test_a_worker_is_warm_after_the_stated_time() -> None:
    world = World(workers=2, cold_ms=10_000.0)
    world.balancer.on_workers(world.now, ListKind.CHANGES, [entry(1, ready_at=world.now)])
    world.wait(10_100.0)
    assert {world.worker_of(world.request()) for _ in range(4)} == {1, 2}
    world.balancer.on_workers(world.now, ListKind.CHANGES, [entry(1, ready_at=1000.0)])
    assert world.balancer.fleet.workers[1].ready_at < 0  # the same start time again is no restart


def test_nothing_is_kept_of_what_is_gone() -> None:
    world = World(workers=3)
    for round_ in range(50):
        base = 10 + 3 * round_
        for _ in range(6):
            world.serve(world.request())
        world.balancer.on_workers(world.now, ListKind.FULL, [entry(base + i) for i in range(3)])
        world.wait(100.0)
    assert len(world.balancer.fleet.workers) == 3
    assert not world.balancer.jobs
    assert len(world.balancer.class_types[0].samples) <= 3
    world.wait(20_000.0)
    assert not world.balancer.timers


def test_the_wait_after_failed_list_calls_doubles() -> None:
    world = World(workers=1, must_ask=True)
    for _ in range(3):
        world.balancer.on_workers(world.now, ListKind.FAILED, [])
    assert world.balancer.list_retry_ms >= 5000.0
    world.balancer.on_workers(world.now, ListKind.FULL, [entry(1)])
    assert world.balancer.list_retry_ms < 1000.0


def test_what_cold_workers_serve_does_not_raise_the_pace() -> None:
    world = World(entries=[entry(1, ready_at=999.0)], cold_ms=60_000.0)
    world.balancer.fleet.workers[1].cold_allowance.phase = 1.0  # it may send at once
    request = world.request()
    world.serve(request)
    assert world.balancer.served_cost == 0.0


def test_a_heavy_job_is_not_given_to_a_cold_worker() -> None:
    world = World(entries=[entry(1, ready_at=999.0)])
    world.balancer.mean_cost = 1.0
    world.balancer.fleet.workers[1].cold_allowance.phase = 1.0  # it may send at once
    heavy = world.request(slots=8.0)
    assert world.actions.refused == [heavy]
    world.balancer.fleet.workers[1].cold_allowance.phase = 1.0  # it may send at once
    assert world.attempts(world.request()) == 1
