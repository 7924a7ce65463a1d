"""Jobs scheduled for a wall-clock time, and the parsing of such times.

Opens nothing and reads no clock.  The wall-clock time is passed in, in Unix seconds, and may step: whether a job
is due is decided by the time passed in each call, so a step forward makes jobs due sooner and a step back later,
as on their clients' own clocks.  A job must never be returned twice, nor be lost unless it was removed.
"""

from __future__ import annotations

import calendar
import datetime
from heapq import heapify, heappop, heappush
from typing import Any

from .codec import PacketError

MAX_AHEAD_S = 366 * 86400.0  # a later time is refused
# The Gregorian calendar, weekdays included, repeats every 400 years (146,097 days, 20,871 weeks): a date that does
# not fall on a given weekday within that time never does.
CYCLE_YEARS = 400
LEAP_YEAR = 2000  # in which each month has the most days that it can have
# In the order of the protocol; day 0 of the week is Monday.
_FIELD_RANGES = (("minute", 0, 59), ("hour", 0, 23), ("day of month", 1, 31), ("month", 1, 12),
                 ("day of week", 0, 6))


def parse_epoch(text: bytes, now_s: float) -> float:
    """The time in a SUBMIT_JOB_EPOCH, in Unix seconds; PacketError if it is invalid or too far ahead."""
    if not text.isdigit() or len(text) > 12:
        raise PacketError("invalid_packet", "epoch is not a number")
    moment = float(text)
    if moment > now_s + MAX_AHEAD_S:
        raise PacketError("too_far", "over a year ahead")
    return moment


def next_occurrence(fields: list[bytes], now_s: float) -> float:
    """The next time that matches the five fields of SUBMIT_JOB_SCHED, in Unix seconds of UTC.

    The fields are minute (0 to 59), hour (0 to 23), day of the month (1 to 31), month (1 to 12) and day of the
    week (0 to 6, 0 is Monday), in the order and ranges of the Gearman protocol's description of SUBMIT_JOB_SCHED;
    an empty field matches any value.  The description does not say how a day of the month and a day of the week
    combine if both are given.  Here all given fields must match, so (13, any month, Friday) is a Friday the 13th.
    Cron (POSIX crontab) would accept a day that matches either of the two; but a Gearman job runs once, not
    periodically, and a client that gives both means the day that has both.  The result is the first whole minute
    after ``now_s`` that matches.

    Cost: the search iterates over years and, within each, over the months and days that the fields leave open.
    Over a whole 400-year cycle, a combination that exists recurs within 8 years (29 February), or within 40 if
    day, month and weekday are all given (then one date per year is checked).  So at most 41 dates, or at most 9
    years of at most 366 dates each, are checked, some 3,300 in all; the loop's limit of 400 years is never
    reached.

    Raises PacketError for a field out of its range, and for a date that does not exist (30 or 31 February, 31
    April, June, September or November) or would be after the year 9999.
    """
    values: list[int | None] = []
    for text, (name, lowest, highest) in zip(fields, _FIELD_RANGES, strict=True):
        if not text:
            values.append(None)
        elif not text.isdigit() or len(text) > 2 or not lowest <= int(text) <= highest:
            raise PacketError("invalid_packet", f"{name} is not from {lowest} to {highest}")
        else:
            values.append(int(text))
    minute, hour, day, month, weekday = values
    if day is not None and month is not None and day > calendar.monthrange(LEAP_YEAR, month)[1]:
        raise PacketError("invalid_packet", "a day that never comes")
    # The next whole minute: the current one has already begun.
    first = datetime.datetime.fromtimestamp(int(now_s) // 60 * 60 + 60, datetime.UTC)
    start = first.date()
    for year in range(start.year, min(start.year + CYCLE_YEARS, datetime.MAXYEAR) + 1):
        for month_number in range(1, 13) if month is None else (month,):
            if (year, month_number) < (start.year, start.month):
                continue
            last = calendar.monthrange(year, month_number)[1]
            for day_number in range(1, last + 1) if day is None else (day,) if day <= last else ():
                date = datetime.date(year, month_number, day_number)
                if date < start or weekday not in (None, date.weekday()):
                    continue
                time_in_day = _first_time_in_day(first if date == start else None, minute, hour)
                if time_in_day is not None:
                    return datetime.datetime.combine(date, datetime.time(*time_in_day), datetime.UTC).timestamp()
    raise PacketError("invalid_packet", "a day that never comes")


def _first_time_in_day(first: datetime.datetime | None, minute: int | None,
                       hour: int | None) -> tuple[int, int] | None:
    """The first matching hour and minute of a day, not before ``first``; None if there is none."""
    for h in range(24) if hour is None else (hour,):
        for m in range(60) if minute is None else (minute,):
            if first is None or (h, m) >= (first.hour, first.minute):
                return h, m
    return None


class Schedule:
    """A bounded set of jobs that are due at a wall-clock time.

    A job that was due but could not be queued is retried by the monotonic clock, whatever the wall clock does.
    """

    def __init__(self, max_jobs: int) -> None:
        self.max_jobs = max_jobs
        self._by_wall_clock: list[tuple[float, int, Any]] = []
        self._retries: list[tuple[float, int, Any]] = []  # by the monotonic clock
        self._due_by_serial: dict[int, float] = {}
        self._serial_by_id: dict[int, int] = {}
        self._last_serial = 0

    def __len__(self) -> int:
        return len(self._due_by_serial)

    def put(self, item: Any, due_s: float) -> bool:
        """Schedule a job; False if there is no room."""
        if len(self._due_by_serial) >= self.max_jobs:
            return False
        self._push(self._by_wall_clock, item, due_s)
        return True

    def retry(self, item: Any, at_ms: float) -> None:
        """Schedule a job again that ``pop_due`` returned but that could not be queued; by the monotonic clock."""
        self._push(self._retries, item, at_ms)

    def _push(self, heap: list[tuple[float, int, Any]], item: Any, at: float) -> None:
        self._last_serial += 1
        self._due_by_serial[self._last_serial] = at
        self._serial_by_id[id(item)] = self._last_serial
        heappush(heap, (at, self._last_serial, item))

    def remove(self, item: Any) -> bool:
        """Remove a job before it is due; False if it is not scheduled."""
        serial = self._serial_by_id.pop(id(item), 0)
        if not serial:
            return False
        del self._due_by_serial[serial]
        for heap in (self._by_wall_clock, self._retries):
            if len(heap) > 2 * len(self._due_by_serial) + 64:
                heap[:] = [e for e in heap if e[1] in self._due_by_serial]
                heapify(heap)
        return True

    def pop_due(self, now_s: float, now_ms: float = 0.0) -> list[Any]:
        """Remove and return the jobs that are due, earliest first, followed by those to be retried.

        ``now_s``: the wall-clock time; ``now_ms``: the time of the monotonic clock, as for ``retry``.
        """
        return [*self._pop(self._by_wall_clock, now_s), *self._pop(self._retries, now_ms)]

    def _pop(self, heap: list[tuple[float, int, Any]], now: float) -> list[Any]:
        jobs = []
        while heap and (heap[0][0] <= now or heap[0][1] not in self._due_by_serial):
            _, serial, item = heappop(heap)
            if self._due_by_serial.pop(serial, None) is not None:
                del self._serial_by_id[id(item)]
                jobs.append(item)
        return jobs

    def clear(self) -> list[Any]:
        """Remove and return all jobs."""
        return self.pop_due(float("inf"), float("inf"))
