"""Owns the counters and the limited log.

Nothing here decides anything, and nothing here may block: a count is an addition, a log line past its
limit is only counted.
"""

from __future__ import annotations

import sys
import time
from collections import Counter

LINES_PER_WINDOW = 5  # log lines of one kind in a window; more are only counted
WINDOW_S = 10.0


class Counters:
    """What the program took in, sent, answered and dropped, by name."""

    def __init__(self) -> None:
        self.values: Counter[str] = Counter()
        self._lines: dict[str, tuple[float, int]] = {}

    def add(self, name: str, by: int = 1) -> None:
        """Count."""
        self.values[name] += by

    def log(self, kind: str, text: str) -> None:
        """Count an oddity and, within limits, say what it was on standard error."""
        self.values[kind] += 1
        now = time.monotonic()
        since, lines = self._lines.get(kind, (now, 0))
        if now - since > WINDOW_S:
            since, lines = now, 0
        self._lines[kind] = (since, lines + 1)
        if lines < LINES_PER_WINDOW:
            print(f"gaphub: {kind}: {text[:300]}", file=sys.stderr, flush=True)

    def snapshot(self) -> dict[str, int]:
        """All counts so far, sorted by name."""
        return dict(sorted(self.values.items()))
