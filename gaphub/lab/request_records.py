"""Reads the request lines in the logs of a fleet, in the order in which the requests were finished.

It reads the lines that ``log.requests`` makes a scheduler write in the plain form, and ignores all others.  At
most one line of each log is held in memory.  It is read-only: it must not start anything or write to a log.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from heapq import merge
from pathlib import Path

_LINE = re.compile(r"^(?:(\d+(?:\.\d+)?) )?gaphub: request: (.*)$")
_PART = re.compile(r"(\w+)=(\S+)")
# Outcomes of calls whose job ran, also where workers do not report the start.
RAN = frozenset(("ok", "error"))


@dataclass(slots=True)
class Call:
    """One outbound call of a request; times in ms since the request was received, -1 for what never happened."""

    worker: str
    outcome: str
    sent_after: float
    duration: float
    age: float  # of the worker's process when the call was sent; 0: it started later, by the clocks
    kind: int  # kind of worker, by its index
    started: float  # when the worker reported the start of the job
    first_byte_sent: float  # when the first byte of the call was sent

    @property
    def ran(self) -> bool:
        """Whether a worker is known to have run the job."""
        return self.started >= 0.0 or self.outcome in RAN

    @property
    def ended_at(self) -> float:
        """When the outcome of the call was known."""
        return self.sent_after + self.duration


@dataclass(slots=True)
class RequestRecord:
    """One request as logged by the scheduler that received it."""

    scheduler: str
    logged_at: float  # in s, when the log collector received the line; 0 if the line has no time
    fields: dict[str, str]
    calls: list[Call]
    line: str

    @property
    def received_at(self) -> float:
        """Unix time in ms at which the request was received."""
        return float(self.fields.get("at", 0.0))

    @property
    def answered_after(self) -> float:
        """When it was answered, in ms since it was received; 0 if it was not."""
        return float(self.fields.get("after", 0.0))

    @property
    def finished_at(self) -> float:
        """Unix time in ms at which it was answered and no call of it was open any more."""
        return self.received_at + max([self.answered_after, *(c.ended_at for c in self.calls)])

    @property
    def served_by(self) -> Call | None:
        """The call whose answer was passed on as the request's answer."""
        return next((c for c in self.calls if c.outcome == "ok"), None) if self.end == "served" else None

    @property
    def end(self) -> str:
        """How it ended, with the reason after a colon."""
        return self.fields.get("end", "")

    def called_young_worker(self, within_ms: float) -> bool:
        """Whether any of its calls went to a worker that had run for less than ``within_ms``."""
        return any(0.0 < c.age < within_ms for c in self.calls)

    def outcomes(self) -> str:
        """The outcomes of its calls in order; ``-`` if it had none."""
        return "+".join(c.outcome for c in self.calls) or "-"


def _parse_time(text: str) -> float:
    return -1.0 if text == "-" else float(text)


def _parse_call(text: str) -> Call:
    """Parse a call in the format that ``Core`` writes; ValueError for the format of another version."""
    worker, outcome, span, age, kind, started, first_byte_sent = text.split(",")
    sent_after, _, duration = span.partition("+")
    return Call(worker, outcome, float(sent_after), float(duration), float(age), int(kind),
                   _parse_time(started), _parse_time(first_byte_sent))


def read_log(path: Path) -> Iterator[RequestRecord]:
    """Every request in one log; OSError if it cannot be read, ValueError if another version wrote it."""
    with path.open(encoding="utf-8", errors="replace") as lines:
        for number, line in enumerate(lines, 1):
            match = _LINE.match(line.rstrip("\n"))
            if match is None:
                continue
            parts = _PART.findall(match[2])
            try:
                calls = [_parse_call(text) for name, text in parts if name == "call"]
            except ValueError:
                raise ValueError(f"{path}:{number}: a call that another version wrote") from None
            yield RequestRecord(path.stem, float(match[1] or 0.0), dict(parts), calls, match[2])


def read_records(folder: Path) -> Iterator[RequestRecord]:
    """Every request in every ``*.log`` of a folder, by the schedulers' clocks; errors as in ``read_log``.

    All logs are open at the same time.
    """
    return merge(*(read_log(path) for path in sorted(folder.glob("*.log"))), key=lambda record: record.finished_at)
