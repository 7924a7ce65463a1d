"""Owns the asyncio tasks of one component, so that all of them are cancelled and awaited in one place.

It must never start a task on its own, nor let one fail without a log line.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from .metrics import Counters

RECANCEL_INTERVAL_S = 0.5  # a cancelled task that still runs after this time is cancelled again


class Tasks:
    """The tasks of one component; ``close`` ends all of them."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine as a task of this component."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._counters.log("task_failed", repr(error))

    async def close(self) -> None:
        """Cancel the tasks that still run and wait until they have ended."""
        while self._tasks:
            for task in self._tasks:
                task.cancel()
            # A task may have taken its cancellation for that of something it awaits, and swallowed it.
            await asyncio.wait(self._tasks, timeout=RECANCEL_INTERVAL_S)
