"""Owns the figures of daily operation: what became of the jobs of each class, and the attempts sent.

Pure: no I/O, no clock.  Each event is counted by whoever makes it happen, once; classes go by name, as their
numbers may stand for other classes after a reload.  It must never decide anything.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

REPLY_NAMES = {"served": "success", "refused": "overload", "failed": "error"}


class JobStats:
    """Counts since the start of this process."""

    def __init__(self) -> None:
        self._replies: dict[str, dict[str, int]] = {}
        self.reload_success = 0
        self.reload_failure = 0

    def add_classes(self, names: Iterable[str]) -> None:
        """Classes that are shown from now on, also while nothing is counted for them."""
        for name in names:
            self._counts_of(name)

    def _counts_of(self, name: str) -> dict[str, int]:
        found = self._replies.get(name)
        if found is None:
            found = self._replies[name] = {"success": 0, "overload": 0, "error": 0, "dispatches": 0}
        return found

    def count_ending(self, name: str, ending: str) -> None:
        """A job got its final answer: ``served``, ``refused`` or ``failed``."""
        self._counts_of(name)[REPLY_NAMES[ending]] += 1

    def count_dispatch(self, name: str) -> None:
        """The last byte of an attempt was written to a worker."""
        self._counts_of(name)["dispatches"] += 1

    def snapshot(self, concurrent: int, targets: int, targets_disabled: int) -> dict[str, Any]:
        """All figures; the three given ones are of this moment."""
        return {
            "replies": {name: dict(counts) for name, counts in self._replies.items()},
            "dispatches": sum(counts["dispatches"] for counts in self._replies.values()),
            "concurrent": concurrent,
            "targets": targets,
            "targets_disabled": targets_disabled,
            "reload_success": self.reload_success,
            "reload_failure": self.reload_failure,
        }
