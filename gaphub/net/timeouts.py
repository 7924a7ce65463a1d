"""Timeouts that do not count a hold-up of this process against the other side.

An event loop that was held up past a timer finds both in its next turn: the timer, and what the other side did
meanwhile, which lies ready in the kernel.  ``asyncio.timeout`` lets the timer win.  Here what lies ready is taken
up first.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

# Turns of the event loop from a socket's readiness to the step of a task that waited for it, and a few more: to
# open a connection takes four (the socket, the task, the transport, the task again).
TURNS = 8


@asynccontextmanager
async def timeout_after_poll(seconds: float) -> AsyncIterator[None]:
    """Raise TimeoutError after ``seconds``, but only once the sockets were polled after that time.

    Guards against judging a peer by a pause of this process: connections that had come up in time counted as
    refused, and probes that were answered as unanswered.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as timeout:
        pending: asyncio.Handle | None = None

        def expire(turns: int) -> None:
            nonlocal pending
            if turns:
                pending = loop.call_soon(expire, turns - 1)
            else:
                timeout.reschedule(loop.time())

        pending = loop.call_later(seconds, expire, TURNS)
        try:
            yield
        finally:
            pending.cancel()
