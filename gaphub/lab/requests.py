"""Owns the tables over a fleet's request lines: where the requests of each class ended, and one id's way.

It reads lines that ``log.requests`` makes a daemon write, in the plain form, and nothing else of a log.
It must never start anything or write to a log.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

_LINE = re.compile(r"^(?:(\d+(?:\.\d+)?) )?gaphub: request: (.*)$")
_PART = re.compile(r"(\w+)=(\S+)")


@dataclass(slots=True)
class Story:
    """One request as the scheduler that took it told it."""

    scheduler: str
    at: float  # s, when whoever kept the log took the line in; 0 if it holds no time
    values: dict[str, str]
    calls: list[list[str]]  # worker, outcome, start+length in ms, age of the worker's process, first byte in ms
    text: str

    def cold(self, within_ms: float) -> bool:
        """Whether any of its calls went to a worker that had run for less than this."""
        return any(0.0 < float(c[3]) < within_ms for c in self.calls)

    def outcomes(self) -> str:
        """How its calls ended, in order; ``-`` where none was sent."""
        return "+".join(c[1] for c in self.calls) or "-"


def read(folder: Path) -> Iterator[Story]:
    """Every request line of every ``*.log`` of a folder; OSError if it cannot be read."""
    for path in sorted(folder.glob("*.log")):
        with path.open(encoding="utf-8", errors="replace") as lines:
            for line in lines:
                match = _LINE.match(line.rstrip("\n"))
                if match is None:
                    continue
                parts = _PART.findall(match[2])
                yield Story(path.stem, float(match[1] or 0.0), dict(parts),
                            [v.split(",") for k, v in parts if k == "call"], match[2])


LATER_MS = 300.0  # after its client left nothing of a request may begin from then on


def left(stories: Iterable[Story]) -> tuple[int, int]:
    """How many requests' clients left while they waited, and for how many of these a call began too late."""
    waiting = later = 0
    for s in stories:
        if "gone" in s.values:
            waiting += 1
            allowed = float(s.values["gone"]) + LATER_MS
            later += any(len(c) > 4 and c[4] != "-" and float(c[4]) >= allowed for c in s.calls)
    return waiting, later


def table(stories: Iterable[Story], young_ms: float) -> list[list[str]]:
    """Rows of text: class, slots, end and why, the calls' outcomes, how many, their share, how many to the young.

    ``young_ms``: a worker that has run for less is young; a request counts that had a call to one.
    """
    counts: Counter[tuple[str, str, str, str]] = Counter()
    young: Counter[tuple[str, str, str, str]] = Counter()
    whole: Counter[str] = Counter()
    for s in stories:
        v = s.values
        row = v.get("class", ""), v.get("slots", ""), v.get("end", ""), s.outcomes()
        counts[row] += 1
        young[row] += s.cold(young_ms)
        whole[v.get("class", "")] += 1
    rows = [["class", "slots", "end", "calls", "requests", "share", "young"]]
    for row, n in sorted(counts.items(), key=lambda item: (item[0][0], -item[1])):
        rows.append([*row, str(n), f"{n / whole[row[0]]:.3f}", str(young[row])])
    return rows
