"""The witness: a voter that serves no requests, which gives a cluster of two instances a third vote.

It must never become a candidate.  With a state file it keeps its vote over a restart.  Without one it abstains
until every lease that it may have promised has expired, and recovers the term from the others.
"""

from __future__ import annotations

import asyncio
import signal

from ..admin import AdminSocket
from ..config import WitnessConfig
from ..metrics import Counters
from .node import Node


async def witness(config: WitnessConfig, counters: Counters, stop: asyncio.Event, reload: asyncio.Event) -> None:
    """Take part in elections until ``stop`` is set; read the key ring again whenever ``reload`` is set."""
    node = Node(config.cluster, counters, lambda _: None)
    admin = AdminSocket(config.admin, counters, {"status": lambda: {"cluster": node.status(),
                                                              "counters": counters.snapshot()}})
    try:
        await node.open()
        await admin.open()
        counters.add("ready")
        while not stop.is_set():
            wait_tasks = [asyncio.ensure_future(event.wait()) for event in (stop, reload)]
            await asyncio.wait(wait_tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in wait_tasks:
                task.cancel()
            if reload.is_set():
                reload.clear()
                node.reload_keys()
    finally:
        await admin.close()
        await node.close()


async def run(config: WitnessConfig, counters: Counters) -> None:
    """Take part in elections until SIGTERM or SIGINT; on SIGHUP read the key ring again."""
    stop, reload = asyncio.Event(), asyncio.Event()
    for signal_number, event in ((signal.SIGTERM, stop), (signal.SIGINT, stop), (signal.SIGHUP, reload)):
        asyncio.get_running_loop().add_signal_handler(signal_number, event.set)
    await witness(config, counters, stop, reload)
