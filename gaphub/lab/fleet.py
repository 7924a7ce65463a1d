"""Owns the sums over a fleet's logs: what all schedulers together did in each second.

It reads lines that ``log.counters_s`` makes a daemon write, in the plain form, and nothing else of a log.
It must never start anything or write to a log.
"""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path

from ..metrics import GAINED

# A line may stand behind the time at which whoever kept the log took it in, in seconds.
_LINE = re.compile(rf"^(?:(\d+(?:\.\d+)?) )?gaphub: {GAINED}: (.*)$")
_GAIN = re.compile(r"([\w.]+)=(\d+)")


class Sums:
    """What was gained, by moment and counter: over all logs, and the most at one of them."""

    def __init__(self) -> None:
        self.all: defaultdict[int, Counter[str]] = defaultdict(Counter)
        self.most: defaultdict[int, Counter[str]] = defaultdict(Counter)

    def take(self, lines: Iterable[str]) -> int:
        """Take one scheduler's log in; how many lines of it told gains.

        A line without a time is of the moment after the line before it.  Odd lines are passed over.
        """
        own: defaultdict[int, Counter[str]] = defaultdict(Counter)
        found = 0
        at = -1
        for line in lines:
            match = _LINE.match(line.rstrip("\n"))
            if match is None:
                continue
            found += 1
            at = int(float(match[1])) if match[1] else at + 1
            own[at].update({name: int(n) for name, n in _GAIN.findall(match[2])})
        for moment, gains in own.items():
            self.all[moment].update(gains)
            self.most[moment] |= gains
        return found

    def table(self, wanted: list[str]) -> list[list[str]]:
        """Rows of text: a head, a row for each moment, and the whole; a cell is ``sum (most at one)``.

        ``wanted``: counters, or the beginnings of counters' names; none: all of them.
        """
        names = sorted({n for gains in self.all.values() for n in gains
                        if not wanted or any(n.startswith(w) for w in wanted)})
        rows = [["s", *names]]
        for moment in sorted(self.all):
            rows.append([str(moment), *(f"{self.all[moment][n]} ({self.most[moment][n]})" for n in names)])
        rows.append(["all", *(str(sum(gains[n] for gains in self.all.values())) for n in names)])
        return rows


def read(folder: Path) -> Sums:
    """The sums over every ``*.log`` of a folder; OSError if it cannot be read, ValueError if none tells."""
    sums = Sums()
    found = 0
    for path in sorted(folder.glob("*.log")):
        with path.open(encoding="utf-8", errors="replace") as lines:
            found += sums.take(lines)
    if not found:
        raise ValueError(f"no log in {folder} tells gains: set log.counters_s")
    return sums
