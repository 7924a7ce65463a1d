"""Owns the reading of a fleet's request lines, in the order in which the requests were done with.

It reads lines that ``log.requests`` makes a daemon write, in the plain form, and nothing else of a log.
It must never start anything or write to a log, nor hold more than one line of each log.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from heapq import merge
from pathlib import Path

_LINE = re.compile(r"^(?:(\d+(?:\.\d+)?) )?gaphub: request: (.*)$")
_PART = re.compile(r"(\w+)=(\S+)")
RAN = frozenset(("ok", "error"))  # outcomes of calls that ran, also where workers tell no start


@dataclass(slots=True)
class Call:
    """One call of a request; times in ms since the request was received, -1 for what never happened."""

    worker: str
    outcome: str
    sent_after: float
    duration: float
    age: float  # of the worker's process when it was sent; 0: by the clocks it had not started
    kind: int  # of the worker, by its number
    started: float  # when the worker told that it runs
    first_byte_sent: float  # when its first byte left

    @property
    def ran(self) -> bool:
        """Whether a worker is known to have run it."""
        return self.started >= 0.0 or self.outcome in RAN

    @property
    def ended_at(self) -> float:
        """When its outcome came."""
        return self.sent_after + self.duration


@dataclass(slots=True)
class RequestRecord:
    """One request as the scheduler that took it told it."""

    scheduler: str
    at: float  # s, when whoever kept the log took the line in; 0 if it holds no time
    fields: dict[str, str]
    calls: list[Call]
    text: str

    @property
    def received_at(self) -> float:
        """Unix time in ms at which it was received."""
        return float(self.fields.get("at", 0.0))

    @property
    def answered_after(self) -> float:
        """When it was answered, in ms since it was received; 0 if never."""
        return float(self.fields.get("after", 0.0))

    @property
    def finished_at(self) -> float:
        """Unix time in ms at which nothing of it was out any more."""
        return self.received_at + max([self.answered_after, *(c.ended_at for c in self.calls)])

    @property
    def served_by(self) -> Call | None:
        """The call whose answer was the request's."""
        return next((c for c in self.calls if c.outcome == "ok"), None) if self.end == "served" else None

    @property
    def end(self) -> str:
        """Its final answer, and why behind a colon."""
        return self.fields.get("end", "")

    def called_young_worker(self, within_ms: float) -> bool:
        """Whether any of its calls went to a worker that had run for less than this."""
        return any(0.0 < c.age < within_ms for c in self.calls)

    def outcomes(self) -> str:
        """How its calls ended, in order; ``-`` where none was sent."""
        return "+".join(c.outcome for c in self.calls) or "-"


def _parse_time(text: str) -> float:
    return -1.0 if text == "-" else float(text)


def _parse_call(text: str) -> Call:
    """A call as ``Core`` writes it; ValueError where another version did."""
    worker, outcome, span, age, kind, started, first_byte_sent = text.split(",")
    sent_after, _, duration = span.partition("+")
    return Call(worker, outcome, float(sent_after), float(duration), float(age), int(kind),
                   _parse_time(started), _parse_time(first_byte_sent))


def read_log(path: Path) -> Iterator[RequestRecord]:
    """Every request line of one log; OSError if it cannot be read, ValueError if another version wrote it."""
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
    """Every request line of every ``*.log`` of a folder, by the schedulers' clocks; errors as ``read_one``.

    All logs are open together.
    """
    return merge(*(read_log(path) for path in sorted(folder.glob("*.log"))), key=lambda record: record.finished_at)
