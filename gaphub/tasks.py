"""Owns the tasks of a part of the program, so that each is given back in one place.

It must never start a task of its own, nor let one fail unseen.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from .metrics import Counters

CANCEL_AGAIN_S = 0.5  # a task that is to end and has not by then is cancelled once more


class Tasks:
    """Owns the tasks of one part; ``close`` is where all of them are given back."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine as a task of this owner."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._counters.log("task_failed", repr(error))

    async def close(self) -> None:
        """Cancel what still runs and wait for its end."""
        while self._tasks:
            for task in self._tasks:
                task.cancel()
            await asyncio.wait(self._tasks, timeout=CANCEL_AGAIN_S)  # one may have taken it for another's end
