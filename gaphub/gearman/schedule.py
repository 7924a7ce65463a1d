"""Owns the jobs that are to begin at a moment of the wall clock, and what such a moment is.

Pure: the wall clock's time is handed in, in Unix seconds, and may step; what is due is asked of the time as it is
now, so a step forward brings jobs sooner and a step back later, as their clients' own clocks would.  It must
never give a job out twice, and never forget one that nobody took out.
"""

from __future__ import annotations

import calendar
import datetime
from heapq import heapify, heappop, heappush
from typing import Any

from .codec import PacketError

AHEAD_MOST_S = 366 * 86400.0  # a moment further ahead is refused
# The Gregorian calendar repeats itself, weekdays too, every 400 years (146,097 days, 20,871 weeks): a date and a
# weekday that do not meet within so many years never meet.
CYCLE_YEARS = 400
LEAP_YEAR = 2000  # its months have as many days as they ever have
# Minute, hour, day of the month, month, day of the week (0: Monday), as the protocol orders them.
_RANGES = (("minute", 0, 59), ("hour", 0, 23), ("day of month", 1, 31), ("month", 1, 12), ("day of week", 0, 6))


def epoch(text: bytes, now_s: float) -> float:
    """The moment of SUBMIT_JOB_EPOCH, in Unix seconds; PacketError if it is none, or too far ahead."""
    if not text.isdigit() or len(text) > 12:
        raise PacketError("invalid_packet", "epoch is not a number")
    moment = float(text)
    if moment > now_s + AHEAD_MOST_S:
        raise PacketError("too_far", "over a year ahead")
    return moment


def next_moment(fields: list[bytes], now_s: float) -> float:
    """The next moment that SUBMIT_JOB_SCHED's five fields name, in Unix seconds of UTC; an empty field means any.

    The fields are minute (0 to 59), hour (0 to 23), day of the month (1 to 31), month (1 to 12) and day of the
    week (0 to 6, 0 is Monday), in the order and ranges of the Gearman protocol's description of SUBMIT_JOB_SCHED.
    That description does not say how a day of the month and a day of the week combine when both are given.  Here
    every field that is given must hold, so (13, any month, Friday) is a Friday the 13th.  Cron (POSIX crontab)
    would take a day that fits either of the two; a Gearman job is one moment, not a series, and a client that
    names both means the day that has both.  The moment is the first whole minute after ``now_s`` that fits.

    Cost: the search steps over years and, within one, over the months and days that the fields leave open.  Over
    a whole 400-year cycle, a combination that exists comes again within 8 years (29 February), or within 40 where
    the day, the month and the weekday are all given (then one date a year is looked at).  So at most 41 dates, or
    at most 9 years of at most 366 dates each, some 3,300 in all; the bound on the loop, 400 years, is never met.

    PacketError for a field out of its range, and for a day that never comes (30 or 31 February, 31 April, June,
    September or November), or that would come after the year 9999.
    """
    values: list[int | None] = []
    for text, (name, least, most) in zip(fields, _RANGES, strict=True):
        if not text:
            values.append(None)
        elif not text.isdigit() or len(text) > 2 or not least <= int(text) <= most:
            raise PacketError("invalid_packet", f"{name} is not from {least} to {most}")
        else:
            values.append(int(text))
    minute, hour, day, month, weekday = values
    if day is not None and month is not None and day > calendar.monthrange(LEAP_YEAR, month)[1]:
        raise PacketError("invalid_packet", "a day that never comes")
    # The next whole minute: a moment that has begun is past.
    first = datetime.datetime.fromtimestamp(int(now_s) // 60 * 60 + 60, datetime.UTC)
    start = first.date()
    for year in range(start.year, min(start.year + CYCLE_YEARS, datetime.MAXYEAR) + 1):
        for in_month in range(1, 13) if month is None else (month,):
            if (year, in_month) < (start.year, start.month):
                continue
            last = calendar.monthrange(year, in_month)[1]
            for in_day in range(1, last + 1) if day is None else (day,) if day <= last else ():
                date = datetime.date(year, in_month, in_day)
                if date < start or weekday not in (None, date.weekday()):
                    continue
                found = _within(first if date == start else None, minute, hour)
                if found is not None:
                    return datetime.datetime.combine(date, datetime.time(*found), datetime.UTC).timestamp()
    raise PacketError("invalid_packet", "a day that never comes")


def _within(first: datetime.datetime | None, minute: int | None, hour: int | None) -> tuple[int, int] | None:
    """The first hour and minute of a day that fit, not before ``first``; None: none is left."""
    for h in range(24) if hour is None else (hour,):
        for m in range(60) if minute is None else (minute,):
            if first is None or (h, m) >= (first.hour, first.minute):
                return h, m
    return None


class Schedule:
    """The jobs that are to come; bounded.

    A job waits for its moment by the wall clock; one whose moment has come and that found no room waits for a
    span of real time.
    """

    def __init__(self, most: int) -> None:
        self.most = most
        self._heap: list[tuple[float, int, Any]] = []
        self._retries: list[tuple[float, int, Any]] = []  # by the monotonic clock
        self._live: dict[int, float] = {}  # when each is due, by the id of its entry
        self._numbers: dict[int, int] = {}
        self._serial = 0

    def __len__(self) -> int:
        return len(self._live)

    def put(self, item: Any, due_s: float) -> bool:
        """Keep a job until its moment; False if there is no room."""
        if len(self._live) >= self.most:
            return False
        self._push(self._heap, item, due_s)
        return True

    def retry(self, item: Any, at_ms: float) -> None:
        """Keep a job that ``due`` gave and that found no room, until a moment of the monotonic clock."""
        self._push(self._retries, item, at_ms)

    def _push(self, heap: list[tuple[float, int, Any]], item: Any, at: float) -> None:
        self._serial += 1
        self._live[self._serial] = at
        self._numbers[id(item)] = self._serial
        heappush(heap, (at, self._serial, item))

    def remove(self, item: Any) -> bool:
        """Take a job out before its moment; False if it is not here."""
        number = self._numbers.pop(id(item), 0)
        if not number:
            return False
        del self._live[number]
        for heap in (self._heap, self._retries):
            if len(heap) > 2 * len(self._live) + 64:
                heap[:] = [e for e in heap if e[1] in self._live]
                heapify(heap)
        return True

    def due(self, now_s: float, now_ms: float = 0.0) -> list[Any]:
        """Take out all whose moment has come, the earliest first, and then those that are to try again.

        ``now_s``: by the wall clock; ``now_ms``: by the monotonic one, as for ``retry``.
        """
        return [*self._pop(self._heap, now_s), *self._pop(self._retries, now_ms)]

    def _pop(self, heap: list[tuple[float, int, Any]], now: float) -> list[Any]:
        found = []
        while heap and (heap[0][0] <= now or heap[0][1] not in self._live):
            _, number, item = heappop(heap)
            if self._live.pop(number, None) is not None:
                del self._numbers[id(item)]
                found.append(item)
        return found

    def clear(self) -> list[Any]:
        """Take out all."""
        return self.due(float("inf"), float("inf"))
