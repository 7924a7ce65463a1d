"""Start times of workers on the scheduler's own clock, from stamps of a wall clock that may have been stepped."""

from __future__ import annotations

import pytest

from gaphub.start_times import DISCOVERY_LAG_MS, MAX_AHEAD_MS, StartTimes

NOW = 1e9
HOUR = 3_600_000.0


def test_without_a_step_a_start_is_as_it_is_told() -> None:
    starts = StartTimes()
    starts.record_wall_clock(0.2)
    for stamp in (0.0, NOW - 5 * HOUR, NOW - 20.0, NOW + MAX_AHEAD_MS):
        assert starts.to_own_clock(f"w{stamp}", stamp, NOW) == stamp
    starts.record_answer(NOW)
    assert starts.to_own_clock("w", NOW - DISCOVERY_LAG_MS, NOW + 10.0) == NOW - DISCOVERY_LAG_MS


@pytest.mark.parametrize("step", [HOUR, -HOUR, 7_000.0, -7_000.0])
def test_after_a_step_stamps_of_both_clocks_are_read_as_the_latest_that_has_passed(step: float) -> None:
    starts = StartTimes()
    starts.record_wall_clock(step)
    for age in (0.0, 300.0, 6_000.0):
        stamped_after = starts.to_own_clock(f"a{age}", NOW - age + step, NOW)
        stamped_before = starts.to_own_clock(f"b{age}", NOW - age, NOW)
        assert NOW - age <= stamped_after <= NOW + MAX_AHEAD_MS
        assert NOW - age <= stamped_before <= NOW + MAX_AHEAD_MS


def test_who_joins_after_a_list_did_not_start_long_before_it() -> None:
    starts = StartTimes()
    assert starts.to_own_clock("first", NOW - HOUR, NOW) == NOW - HOUR  # no earlier answer contradicts it
    starts.record_answer(NOW)
    assert starts.to_own_clock("later", NOW - HOUR, NOW + 100.0) == NOW + 100.0
    assert starts.to_own_clock("later", NOW - HOUR, NOW + 900.0) == NOW + 100.0  # same stamp, same time
    assert starts.to_own_clock("first", NOW - HOUR, NOW + 900.0) == NOW - HOUR


def test_a_stamp_of_the_future_means_now_and_once() -> None:
    starts = StartTimes()
    assert starts.to_own_clock("w", NOW + HOUR, NOW) == NOW
    assert starts.to_own_clock("w", NOW + HOUR, NOW + 50.0) == NOW
    assert starts.to_own_clock("w", NOW + HOUR + 1.0, NOW + 80.0) == NOW + 80.0  # a new stamp: it restarted
