"""Sums of a fleet's counters: what all schedulers together counted in each second.

It reads the lines that ``log.counters_s`` makes a scheduler write in the plain form, and ignores all others.
It is read-only: it must not start anything or write to a log.
"""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path

from ..metrics import GAINED

# A line may be prefixed with the time, in seconds, at which the log collector received it.
_LINE = re.compile(rf"^(?:(\d+(?:\.\d+)?) )?gaphub: {GAINED}: (.*)$")
_INCREMENT = re.compile(r"([\w.]+)=(\d+)")


class CounterSums:
    """Increments by second and counter: the sum over all logs, and the maximum in one log."""

    def __init__(self) -> None:
        self.total: defaultdict[int, Counter[str]] = defaultdict(Counter)
        self.peak: defaultdict[int, Counter[str]] = defaultdict(Counter)

    def add_log(self, lines: Iterable[str]) -> int:
        """Add the log of one scheduler; returns the number of its lines that held increments.

        A line without a time counts for the second after that of the line before it.  Other lines are skipped.
        """
        log_increments: defaultdict[int, Counter[str]] = defaultdict(Counter)
        matched = 0
        second = -1
        for line in lines:
            match = _LINE.match(line.rstrip("\n"))
            if match is None:
                continue
            matched += 1
            second = int(float(match[1])) if match[1] else second + 1
            log_increments[second].update({name: int(n) for name, n in _INCREMENT.findall(match[2])})
        for second, increments in log_increments.items():
            self.total[second].update(increments)
            self.peak[second] |= increments
        return matched

    def table(self, wanted: list[str]) -> list[list[str]]:
        """Rows of text: a heading, a row for each second, and the totals; a cell is ``sum (maximum in one log)``.

        ``wanted``: counters, or prefixes of counter names; empty: all.
        """
        names = sorted({name for increments in self.total.values() for name in increments
                        if not wanted or any(name.startswith(w) for w in wanted)})
        rows = [["s", *names]]
        for second in sorted(self.total):
            rows.append(
                [str(second), *(f"{self.total[second][name]} ({self.peak[second][name]})" for name in names)])
        rows.append(["all", *(str(sum(increments[name] for increments in self.total.values())) for name in names)])
        return rows


def read_folder(folder: Path) -> CounterSums:
    """The sums over every ``*.log`` of a folder; OSError if one cannot be read, ValueError if no line matches."""
    sums = CounterSums()
    matched = 0
    for path in sorted(folder.glob("*.log")):
        with path.open(encoding="utf-8", errors="replace") as lines:
            matched += sums.add_log(lines)
    if not matched:
        raise ValueError(f"no log in {folder} has counter lines: set log.counters_s")
    return sums
