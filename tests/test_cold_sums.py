"""All schedulers together stay within the budget of a worker in slow start.

Runs the real decisions in the model of a fleet, without sockets and clock.  The budget holds in any window of
``rules.fall``, however few or many schedulers run.  Here they do not hear each other, and the workers that restart
are slower than the mean worker, from which a scheduler estimates the budget.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable

import pytest

from gaphub.cold_start import phase_of
from gaphub.interface import ClassSettings, Effect, Settings
from gaphub.lab.model import Fleet, Load, SimulatedWorker
from gaphub.messages import worker_identity

SCHEDULERS = 30
SLOTS = 8
WORKERS = 12
RESTARTED = [1, 2, 3]  # workers that restart
CLASSES = ((6 / 7, 100.0, 1), (1 / 7, 400.0, 4))  # share of the requests, work in ms at speed 1, slots
LOAD = 0.7  # of the workers' capacity
COLD_MS = 9_000.0
SPEEDS = (0.6, 1.4)  # of two kinds of workers; those that restart are of the slow one
LOW_RATE_FACTOR, BURST_RATE_FACTOR = 0.1, 6.0  # times the initial load
LOW_RATE_MS = 6_000.0


def fleet_of(schedulers: int, seed: int) -> Fleet:
    """Schedulers that exchange no counts; a seventh of the requests is heavy and takes four slots."""
    classes = (ClassSettings(aim_ms=300.0, deadline_ms=3_000.0),
               ClassSettings(aim_ms=1_200.0, deadline_ms=8_000.0, effect=Effect.UNSAFE))
    mean_ms = sum(share * work_ms * slots for share, work_ms, slots in CLASSES)  # slot time of a request
    per_s = LOAD * WORKERS * SLOTS / mean_ms * 1e3
    loads = [Load(per_s * share, work_ms, slots) for share, work_ms, slots in CLASSES]
    settings = Settings(classes=classes, balancers=schedulers, kinds=len(SPEEDS), tells_start=True,
                        cold_ms=COLD_MS, cold_from=0.3, fall_ms=1_000.0, max_attempts=4, second_copies=False,
                        report_fields=("free_slots", "queue", "inflight"), reports_in_answers=True)
    kinds = [i * len(SPEEDS) // WORKERS for i in range(WORKERS)]
    machines = [SimulatedWorker(i + 1, kind, 0, SLOTS, 0.0, speed=SPEEDS[kind]) for i, kind in enumerate(kinds)]
    return Fleet(settings, loads, machines, schedulers, seed)


def a_burst_after_a_quiet_time(fleet: Fleet) -> None:
    fleet.rate_factor = LOW_RATE_FACTOR
    fleet.restart_workers(RESTARTED)
    fleet.run(LOW_RATE_MS)
    fleet.rate_factor = BURST_RATE_FACTOR
    fleet.run(3_000.0)


def workers_that_restart_twice(fleet: Fleet) -> None:
    fleet.rate_factor = 2.0
    for pause_ms in (700.0, 1_300.0, 4_000.0):
        fleet.restart_workers(RESTARTED)
        fleet.run(pause_ms)


def a_restart_of_all_schedulers(fleet: Fleet) -> None:
    fleet.rate_factor = 2.0
    fleet.restart_workers(RESTARTED)
    for pause_ms in (700.0, 900.0, 4_000.0):
        fleet.run(pause_ms)
        fleet.restart_schedulers(list(range(len(fleet.schedulers))))
    fleet.run(2_000.0)


SCENARIOS = [a_burst_after_a_quiet_time, workers_that_restart_twice, a_restart_of_all_schedulers]


@pytest.mark.parametrize("worker", [7, worker_identity("discovery", "s-0badcafe"), 2**64 - 1])
def test_the_phases_of_all_schedulers_at_a_worker_are_evenly_spread(worker: int) -> None:
    phases = sorted(phase_of(me, SCHEDULERS, worker, 0.5) for me in range(SCHEDULERS))
    gaps = [after - before for before, after in itertools.pairwise(phases)]
    assert all(0.0 <= phase < 1.0 for phase in phases)
    assert gaps == pytest.approx([1.0 / SCHEDULERS] * (SCHEDULERS - 1))
    assert phases != sorted(phase_of(me, SCHEDULERS, worker - 1, 0.5) for me in range(SCHEDULERS))


@pytest.mark.parametrize("schedulers", [2, 3, 30])
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_the_budget_of_a_slow_worker_in_slow_start_holds_over_the_sum_of_all_schedulers(
        scenario: Callable[[Fleet], None], schedulers: int) -> None:
    fleet = fleet_of(schedulers, 7)
    fleet.run(4_000.0)
    scenario(fleet)
    peak_load = fleet.peak_cold_load()
    print(f"{scenario.__name__}, {schedulers} schedulers: {peak_load:.2f} of what is allowed")
    assert 0.0 < peak_load <= 1.0
