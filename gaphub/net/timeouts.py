"""Timeouts that do not count a stall of this process against the other side.

After a stall that outlasted a timer, the event loop finds both in its next iteration: the expired timer, and what
the other side did meanwhile, which lies unread in the kernel.  With ``asyncio.timeout`` the timer wins.  Here the
pending input is handled first.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

# Iterations of the event loop from a socket's readiness to the step of the task that waited for it, plus a margin:
# opening a connection takes four (the socket, the task, the transport, the task again).
LOOP_ITERATIONS = 8


@asynccontextmanager
async def timeout_after_poll(seconds: float) -> AsyncIterator[None]:
    """Raise TimeoutError after ``seconds``, but only once the sockets were polled after that time.

    A pause of this process would otherwise count against a peer: connections that had been established in time
    counted as refused, and probes that had been answered as unanswered.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as timeout:
        pending: asyncio.Handle | None = None

        def expire(iterations: int) -> None:
            nonlocal pending
            if iterations:
                pending = loop.call_soon(expire, iterations - 1)
            else:
                timeout.reschedule(loop.time())

        pending = loop.call_later(seconds, expire, LOOP_ITERATIONS)
        try:
            yield
        finally:
            pending.cancel()
