"""Scheduled jobs: parsing of the requested times, and the front end that holds the jobs until they are due."""

from __future__ import annotations

import calendar
import datetime
import time

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from gaphub.gearman.codec import PacketError, pack, split_arguments
from gaphub.gearman.schedule import MAX_AHEAD_S, Schedule, next_occurrence, parse_epoch

from .scenario import play

NOW = calendar.timegm((2026, 12, 1, 13, 30, 20))  # a Tuesday


@pytest.mark.parametrize(("fields", "wanted"), [
    (("", "", "", "", ""), (2026, 12, 1, 13, 31)), (("30", "", "", "", ""), (2026, 12, 1, 14, 30)),
    (("0", "9", "", "", ""), (2026, 12, 2, 9, 0)), (("", "15", "", "", ""), (2026, 12, 1, 15, 0)),
    (("5", "4", "1", "1", ""), (2027, 1, 1, 4, 5)), (("0", "0", "", "", "0"), (2026, 12, 7, 0, 0)),
    (("0", "0", "29", "2", ""), (2028, 2, 29, 0, 0)), (("31", "13", "1", "12", "1"), (2026, 12, 1, 13, 31)),
    (("", "", "13", "", "4"), (2027, 8, 13, 0, 0))])
def test_moments(fields: tuple[str, ...], wanted: tuple[int, ...]) -> None:
    assert next_occurrence([f.encode() for f in fields], NOW) == calendar.timegm((*wanted, 0))


@pytest.mark.parametrize("fields", [("60", "", "", "", ""), ("", "24", "", "", ""), ("", "", "0", "", ""),
                                    ("", "", "", "13", ""), ("", "", "", "", "7"), ("x", "", "", "", ""),
                                    ("", "", "31", "2", ""), ("", "", "-1", "", ""), ("001", "", "", "", "")])
def test_moments_that_are_none(fields: tuple[str, ...]) -> None:
    with pytest.raises(PacketError):
        next_occurrence([f.encode() for f in fields], NOW)


optional_fields = [st.one_of(st.none(), st.integers(a, b))
                   for a, b in ((0, 59), (0, 23), (1, 31), (1, 12), (0, 6))]
IMPOSSIBLE_DATES = {(30, 2), (31, 2), (31, 4), (31, 6), (31, 9), (31, 11)}


@settings(max_examples=80, deadline=None)
@given(st.tuples(*optional_fields).filter(lambda f: (f[2], f[3]) not in IMPOSSIBLE_DATES),
       st.integers(0, 4_000_000_000))
@example((None, None, 6, 1, 0), 1_041_897_540)  # 6 January on a Monday: in 2003, and next in 2014
@example((0, 0, 29, 2, 3), 1_041_897_540)  # 29 February on a Thursday: 2024, 21 years later
def test_the_moment_fits_and_lies_ahead(fields: tuple[int | None, ...], now: int) -> None:
    moment = next_occurrence([b"" if f is None else b"%d" % f for f in fields], now)
    at = datetime.datetime.fromtimestamp(moment, datetime.UTC)
    assert moment - now > 0
    for want, have in zip(fields, (at.minute, at.hour, at.day, at.month, at.weekday()), strict=True):
        assert want in (None, have)
    if all(f is None for f in fields[1:]):
        assert moment - now <= 3660


def first_match_by_days(fields: tuple[int | None, ...], now: int) -> float:
    """The same time by exhaustive search: every minute of every day from ``now`` on, for 41 years."""
    minute, hour, day, month, weekday = fields
    date = datetime.datetime.fromtimestamp(now // 60 * 60 + 60, datetime.UTC).date()
    for _ in range(41 * 366):
        if day in (None, date.day) and month in (None, date.month) and weekday in (None, date.weekday()):
            for h in range(24) if hour is None else (hour,):
                for m in range(60) if minute is None else (minute,):
                    at = calendar.timegm((date.year, date.month, date.day, h, m, 0))
                    if at > now:
                        return float(at)
        date += datetime.timedelta(days=1)
    raise AssertionError("no such day in 41 years")


@settings(max_examples=40, deadline=None)
@given(st.tuples(*optional_fields).filter(lambda f: (f[2], f[3]) not in IMPOSSIBLE_DATES and None not in f[2:]),
       st.integers(0, 4_000_000_000))
@example((0, 0, 29, 2, 0), 4_000_000_000)
def test_the_moment_is_the_first_that_fits(fields: tuple[int | None, ...], now: int) -> None:
    moment = next_occurrence([b"" if f is None else b"%d" % f for f in fields], now)
    assert moment == first_match_by_days(fields, now)
    assert moment - now < 41 * 366 * 86400


@pytest.mark.parametrize(("day", "month"), sorted(IMPOSSIBLE_DATES))
def test_days_that_never_come_are_refused(day: int, month: int) -> None:
    for weekday in (b"", b"0"):
        with pytest.raises(PacketError, match="never comes"):
            next_occurrence([b"0", b"0", b"%d" % day, b"%d" % month, weekday], NOW)


@pytest.mark.parametrize("text", [b"", b"x", b"-5", b"1.5", b"9" * 13])
def test_epochs_that_are_none(text: bytes) -> None:
    with pytest.raises(PacketError):
        parse_epoch(text, NOW)
    with pytest.raises(PacketError, match="over a year"):
        parse_epoch(b"%d" % (NOW + MAX_AHEAD_S + 1), NOW)
    assert parse_epoch(b"5", NOW) == 5.0, "a time in the past is due at once"


def test_a_clock_that_steps() -> None:
    schedule = Schedule(10)
    for name, due in (("a", 100.0), ("b", 200.0), ("c", 300.0)):
        assert schedule.put(name, due)
    assert schedule.pop_due(150.0) == ["a"]
    assert schedule.pop_due(50.0) == [], "a step back returns no job twice"
    assert schedule.remove("b")
    assert not schedule.remove("b")
    assert schedule.pop_due(1e9) == ["c"], "a step forward makes jobs due"
    assert len(schedule) == 0


def test_a_job_that_found_no_room_comes_again_after_a_span_of_real_time_whatever_the_wall_clock_says() -> None:
    schedule = Schedule(4)
    assert schedule.put("a", 100.0)
    assert schedule.pop_due(100.0) == ["a"]
    schedule.retry("a", 5_000.0)
    assert len(schedule) == 1
    assert schedule.pop_due(-3_500.0, 4_999.0) == [], "the wall clock was set back by an hour"
    assert schedule.pop_due(3_700.0, 4_999.0) == [], "the wall clock was set forward by an hour"
    assert schedule.pop_due(-3_500.0, 5_000.0) == ["a"]
    schedule.retry("a", 9_000.0)
    assert schedule.remove("a")
    assert not schedule.remove("a")
    assert schedule.pop_due(1e9, 1e9) == []
    schedule.retry("b", 9_000.0)
    assert schedule.clear() == ["b"]
    assert len(schedule) == 0


@given(st.lists(st.tuples(st.integers(0, 50), st.booleans()), max_size=60), st.integers(1, 40))
def test_each_is_given_out_once_and_none_is_forgotten(jobs: list[tuple[int, bool]], max_jobs: int) -> None:
    schedule, items, popped = Schedule(max_jobs), [], []
    for due, remove in jobs:
        item = [due]
        if schedule.put(item, float(due)):
            items.append(item)
            if remove:
                assert schedule.remove(item)
                items = [x for x in items if x is not item]
        assert len(schedule) == len(items) <= max_jobs
    for now in range(51):
        popped += schedule.pop_due(float(now))
    assert len(popped) == len(items)
    assert {id(x) for x in popped} == {id(x) for x in items}


@given(st.integers(0, 60), st.binary(max_size=60))
def test_any_packet_is_split_or_refused(kind: int, data: bytes) -> None:
    try:
        arguments = split_arguments(kind, data)
    except PacketError:
        return
    assert b"\0".join(arguments) == data
    assert pack(kind, *arguments)[12:] == data


FRONTS = """
[gearman]
listen = "127.0.0.1:PORT"
functions = { pos = "poloha" }
schedule_most = 2
"""
WORKER = """
    g2 send 1 pos
    g2 send 4
    g2 expect #6
    g2 send 9
    g2 expect #11 (?P<h>H:[^\\x00]*)\\x00pos\\x00later
"""
SCENARIOS = {
    "a job with a past epoch starts at once": "g send 36 pos||5|later\ng expect #8\n" + WORKER,
    "a job with a future epoch waits": f"""
        g send 36 pos||{int(time.time()) + 9000}|later
        g expect #8 (?P<j>H:\\S*:\\d+)
        g2 send 1 pos
        g2 send 9
        g2 expect #10
        g send 15 $j
        g expect #20 .*\\x001\\x000\\x000\\x000
        a send cancel job $j\\n
        a expect OK
        g send 15 $j
        g expect #20 .*\\x000\\x000\\x000\\x000
    """,
    "a full schedule refuses jobs": "".join(f"""
        g send 35 pos||0|0|1|1||later
        g expect #{kind}
    """ for kind in (8, 8, "19 schedule_full")),
    "invalid schedule fields are refused": """
        g send 35 pos||77|0|1|1||later
        g expect #19 invalid_packet
        g send 36 pos||soon|later
        g expect #19 invalid_packet
        count gearman.submitted 0
    """,
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_front(name: str) -> None:
    play(SCENARIOS[name], fronts=FRONTS, known="")
