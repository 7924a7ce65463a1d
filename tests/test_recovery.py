"""Recovery rules: trust by age, origin and epoch; paced starts within a fleet-wide bound; slow start."""

from __future__ import annotations

import math

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from gaphub.recovery.pacing import Budget, Pacer, jitter
from gaphub.recovery.slowstart import ColdShare
from gaphub.recovery.trust import AgeLimits, Epochs, Observation, Origin, blend, weight

AGES = AgeLimits()
origins = st.sampled_from(list(Origin))
pieces = st.builds(Observation, st.floats(0, 1e4), st.floats(0, 1e5), origins, st.integers(0, 200),
                   st.integers(1, 3))


@given(pieces, st.floats(0, 2e5), st.integers(1, 3))
def test_weight_is_nothing_for_an_ended_epoch_and_advice_for_what_was_restored(
        observation: Observation, now: float, epoch: int) -> None:
    observed_weight = weight(observation, now, epoch, AGES)
    assert 0.0 <= observed_weight <= 1.0
    if observation.epoch != epoch or now - observation.observed_ms >= AGES.limit(observation.origin):
        assert observed_weight == 0.0
    if observation.origin == Origin.RESTORED:
        assert observed_weight <= AGES.advice_weight


@given(pieces, st.floats(0, 1e5), st.floats(0, 1e5))
def test_weight_never_grows_with_age(observation: Observation, a: float, b: float) -> None:
    early, late = sorted((observation.observed_ms + a, observation.observed_ms + b))
    assert (weight(observation, late, observation.epoch, AGES)
            <= weight(observation, early, observation.epoch, AGES))


@given(st.lists(pieces, max_size=8), st.floats(0, 2e5), st.integers(1, 3), st.floats(0, 1e4))
def test_blend_stays_within_what_counts_and_ignores_ended_epochs(
        found: list[Observation], now: float, epoch: int, prior: float) -> None:
    value = blend(found, now, epoch, AGES, prior)
    counted = [p.value for p in found if weight(p, now, epoch, AGES) > 0]
    assert min([prior, *counted]) - 1e-6 <= value <= max([prior, *counted]) + 1e-6
    alive = [p for p in found if p.epoch == epoch]
    assert value == pytest.approx(blend(alive, now, epoch, AGES, prior))


def test_advice_alone_pulls_but_a_count_of_an_ended_life_does_not() -> None:
    restored = Observation(10.0, 0.0, Origin.RESTORED, 5, 1)
    assert 0.0 < blend([restored], 0.0, 1, AGES, 0.0) < 10.0
    assert blend([restored], 0.0, 2, AGES, 0.0) == 0.0
    seen = Observation(10.0, 0.0, Origin.SEEN, 0, 1)
    assert blend([seen], 0.0, 1, AGES, 0.0) > blend([restored], 0.0, 1, AGES, 0.0)


def test_ages_that_mean_nothing_are_refused() -> None:
    for wrong in ({"fresh_ms": -1.0}, {"peer_ms": 500.0}, {"advice_weight": 1.5}):
        with pytest.raises(ValueError, match=next(iter(wrong))):
            AgeLimits(**wrong)


@given(st.lists(st.tuples(st.integers(0, 3), st.floats(0, 1e4), st.booleans()), max_size=40))
def test_an_epoch_ends_only_with_a_later_start_or_a_gone(events: list[tuple[int, float, bool]]) -> None:
    epochs = Epochs()
    ready: dict[int, float] = {}
    lives: dict[int, int] = {}
    for worker, at, leaves in events:
        if leaves:
            epochs.record_gone(worker)
            ready.pop(worker, None)
            assert epochs.epoch(worker) == 0
            continue
        before = epochs.epoch(worker)
        now = epochs.record_listed(worker, at)
        if worker in ready and at <= ready[worker]:
            assert now == before
        else:
            assert now == lives.get(worker, 0) + 1
            lives[worker] = now
            ready[worker] = at


def test_jitter_is_the_same_for_the_same_name_and_spread_over_names() -> None:
    assert jitter(b"n1", 7, 1000.0) == jitter(b"n1", 7, 1000.0)
    assert jitter(b"n1", 7, 1000.0) != jitter(b"n1", 8, 1000.0)
    waits = [jitter(b"n%d" % i, 7, 1000.0) for i in range(140)]
    assert all(0 <= wait < 1000.0 for wait in waits)
    tenths = [sum(1 for wait in waits if k * 100 <= wait < (k + 1) * 100) for k in range(10)]
    assert max(tenths) < 3 * 14, tenths


@given(st.integers(1, 60), st.floats(1.0, 500.0), st.floats(1.0, 3.0),
       st.lists(st.tuples(st.floats(0, 5_000), st.integers(0, 59), st.integers(1, 20)), min_size=1, max_size=100),
       st.integers(0, 2**31))
def test_a_fleet_that_starts_at_once_keeps_within_its_bound(
        fleet: int, per_s: float, burst: float, asks: list[tuple[float, int, int]], seed: int) -> None:
    budget = Budget(per_s, fleet, burst)
    members = [Pacer(budget, 100.0, b"m%d" % i, seed) for i in range(fleet)]
    sent: list[float] = []
    for at, who, times in sorted(asks):  # a member that wants several at once asks as many times
        member = members[who % fleet]
        sent += [at for _ in range(times) if member.take(at)]
    for i, start in enumerate(sent):
        for end in sent[i:]:
            window = end - start
            count = sum(1 for t in sent if start <= t <= end)
            assert count <= budget.max_actions(window) + 1e-9
    assert all(t >= 100.0 for t in sent), "nothing before the start"


@given(st.floats(1.0, 200.0), st.integers(1, 40), st.floats(0, 1e4))
def test_next_is_when_a_token_comes(per_s: float, fleet: int, later: float) -> None:
    pacer = Pacer(Budget(per_s, fleet), 0.0, b"x", 1)
    at = pacer.next_ms(0.0)
    assert at == pacer.first_ms
    assert not pacer.take(at - 1.0) or at < 1.0
    assert pacer.take(at)
    again = pacer.next_ms(at + later)
    assert again >= at + later
    assert pacer.take(again + 1e-6)


@given(st.integers(1, 80), st.floats(0.3, 40.0), st.lists(st.integers(0, 8), min_size=80, max_size=80),
       st.lists(st.floats(0.05, 1.0), min_size=80, max_size=80))
@example(10, 20.0, [8] * 80, [1.0] * 80)
@example(140, 6.0, [8] * 80 + [0] * 60, [1.0] * 140)
def test_cold_shares_of_a_fleet_never_add_up_to_more_than_the_worker_bears(
        senders: int, load_limit: float, growth: list[int], durations: list[float]) -> None:
    slot = 100.0
    shares = [ColdShare(i, senders, load_limit, slot, float(growth[i % len(growth)])) for i in range(senders)]
    assert sum(s.window for s in shares) <= load_limit + 1e-9
    ends: list[list[float]] = [[] for _ in shares]
    max_open = 2 * math.ceil(load_limit) if load_limit < senders else load_limit
    for step in range(200):
        now = step * slot / 4
        for i, share in enumerate(shares):
            ends[i] = [t for t in ends[i] if t > now]
            while share.admits(len(ends[i]), now):
                ends[i].append(now + durations[i % len(durations)] * slot)
        assert sum(len(e) for e in ends) <= max_open


def test_a_cold_share_grows_with_good_answers_and_shrinks_with_errors() -> None:
    share = ColdShare(0, 10, 40.0, 100.0)
    assert share.window == pytest.approx(0.5)
    for _ in range(7):
        share.record_answer(True)
    assert share.window == pytest.approx(share.share) == pytest.approx(4.0)
    share.record_answer(False)
    assert share.window < share.share
    with pytest.raises(ValueError, match="me"):
        ColdShare(10, 10, 40.0, 100.0)
