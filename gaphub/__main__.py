"""Starts and ends the real scheduler: wires the parts, listens, and shuts down.

It owns the order of start and end and nothing else; it must never decide or parse anything.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

from .config import Config, ConfigError, load
from .core import Clock, Core, Tasks
from .metrics import Counters, Sinks
from .net import destinations as discovery
from .net import gearman
from .net.destinations import DestinationSet
from .net.gearman import Gearman
from .net.http import Inbound, Outbound
from .net.peers import Peers
from .store import Store


async def serve(config: Config, counters: Counters, stop: asyncio.Event) -> None:
    """Serve until ``stop``, then answer all that was taken."""
    core = Core(config.settings, config.seed, Clock(), counters)
    outbound = Outbound(config, core, counters)
    inbound = Inbound(config, core, counters)
    destinations = DestinationSet(config, core, counters)
    store = Store(config.settings.me, config.fronts.store.entries_most)
    peers = Peers(config, core, counters, store)
    gearmen = Gearman(config, core, counters, store, stop.set)
    sinks = Sinks(config, counters)
    core.ports = {discovery.SOURCE: outbound, gearman.SOURCE: gearmen}
    core.list_port = destinations
    core.peer_port = peers
    destinations.start_from_known()
    actors = Tasks(counters)
    try:
        await inbound.open()
        await gearmen.open()
        await peers.open()
        for work in (core.run(), outbound.run(), destinations.run(), gearmen.run(), sinks.run_graphite(),
                     sinks.run_collectd()):
            actors.start(work)
        inbound.ready = True
        counters.add("ready")
        await stop.wait()
        gearmen.leaving = True
        await inbound.leave()
    finally:
        await inbound.close()
        await gearmen.close()
        await actors.close()
        await peers.close()
        await outbound.close()
        print("gaphub: at exit:", *(f"{k}={v}" for k, v in counters.snapshot().items()), file=sys.stderr)


async def run(config: Config) -> None:
    """Serve until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await serve(config, Counters(), stop)


def main() -> int:
    """Run; 2 if the configuration cannot be used."""
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"gaphub: configuration: {error}", file=sys.stderr)
        return 2
    gc.freeze()
    gc.set_threshold(50_000, 50, 50)
    asyncio.run(run(config))
    return 0


if __name__ == "__main__":
    sys.exit(main())
