"""Owns the witness: a voter that serves nothing, so that two instances have a third vote.

It must never stand.  With a state file it keeps its vote over a restart; without one it abstains until every
lease that it may have promised is surely over, and recovers the terms from the others.
"""

from __future__ import annotations

import asyncio
import signal

from ..admin import AdminSocket
from ..config import WitnessConfig
from ..metrics import Counters
from .node import Node


async def witness(config: WitnessConfig, counters: Counters, stop: asyncio.Event, reload: asyncio.Event) -> None:
    """Vote until ``stop``; each ``reload`` reads the key ring again."""
    node = Node(config.cluster, counters, lambda _: None)
    admin = AdminSocket(config.admin, counters, {"status": lambda: {"cluster": node.status(),
                                                              "counters": counters.snapshot()}})
    try:
        await node.open()
        await admin.open()
        counters.add("ready")
        while not stop.is_set():
            waits = [asyncio.ensure_future(e.wait()) for e in (stop, reload)]
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            for each in waits:
                each.cancel()
            if reload.is_set():
                reload.clear()
                node.reload_keys()
    finally:
        await admin.close()
        await node.close()


async def run(config: WitnessConfig, counters: Counters) -> None:
    """Vote until SIGTERM or SIGINT; on SIGHUP read the key ring again."""
    stop, reload = asyncio.Event(), asyncio.Event()
    for number, asked in ((signal.SIGTERM, stop), (signal.SIGINT, stop), (signal.SIGHUP, reload)):
        asyncio.get_running_loop().add_signal_handler(number, asked.set)
    await witness(config, counters, stop, reload)
