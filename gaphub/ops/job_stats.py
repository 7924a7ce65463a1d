"""Job statistics for operators: the final answers of each class and the attempts sent.

Pure: no I/O, no clock, no decisions.  Each event is counted once, by the code that causes it.  Classes are
identified by name, because a class number may denote another class after a reload.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

REPLY_NAMES = {"served": "success", "refused": "overload", "failed": "error"}


class JobStats:
    """Counts since this process started."""

    def __init__(self) -> None:
        self._replies: dict[str, dict[str, int]] = {}
        self.reload_success = 0
        self.reload_failure = 0

    def add_classes(self, names: Iterable[str]) -> None:
        """Include these classes from now on, even while their counts are zero."""
        for name in names:
            self._counts_of(name)

    def _counts_of(self, name: str) -> dict[str, int]:
        counts = self._replies.get(name)
        if counts is None:
            counts = self._replies[name] = {"success": 0, "overload": 0, "error": 0, "dispatches": 0}
        return counts

    def count_final_status(self, name: str, final_status: str) -> None:
        """Count a job's final answer: ``served``, ``refused`` or ``failed``."""
        self._counts_of(name)[REPLY_NAMES[final_status]] += 1

    def count_dispatch(self, name: str) -> None:
        """Count an attempt whose last byte was written to a worker."""
        self._counts_of(name)["dispatches"] += 1

    def snapshot(self, concurrent: int, targets: int, targets_disabled: int) -> dict[str, Any]:
        """All counts, together with the current values of the three arguments."""
        return {
            "replies": {name: dict(counts) for name, counts in self._replies.items()},
            "dispatches": sum(counts["dispatches"] for counts in self._replies.values()),
            "concurrent": concurrent,
            "targets": targets,
            "targets_disabled": targets_disabled,
            "reload_success": self.reload_success,
            "reload_failure": self.reload_failure,
        }
