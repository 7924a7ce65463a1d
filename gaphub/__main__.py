"""Starts and ends the real scheduler: wires the parts, listens, and shuts down.

It owns the order of start and end and the configuration in force; it must never decide or parse anything.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable

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

# What is read at the start only; ``known`` and ``seed`` are news of the start itself.
STARTING = ("name", "listen", "limits", "peer_listen", "peers", "peers_all", "settings", "class_names",
            "zones", "models", "report_fields", "conn_idle_ms", "fronts")


class Reload:
    """The one owner of the configuration in force; reads it again each time it is asked to.

    A faulty file changes nothing.  What cannot change while requests are open is named in the log and
    waits for the next start.
    """

    def __init__(self, config: Config, read: Callable[[], Config], counters: Counters) -> None:
        self.config = config
        self._read = read
        self._counters = counters
        self.asked = asyncio.Event()

    async def run(self, destinations: DestinationSet) -> None:
        """Read the configuration whenever asked; requests to do so that come together are one."""
        while True:
            await self.asked.wait()
            self.asked.clear()
            try:
                new = self._read()
            except ConfigError as error:
                self._counters.log("reloads.failed", str(error))
                continue
            self._counters.add("reloads.done")
            waiting = [key for key in STARTING if getattr(new, key) != getattr(self.config, key)]
            if waiting:
                self._counters.log("reloads.need_a_start", ", ".join(waiting))
            self.config = new
            destinations.move(new.discovery)


async def serve(config: Config, counters: Counters, stop: asyncio.Event, reload: Reload) -> None:
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
                     sinks.run_collectd(), reload.run(destinations)):
            actors.start(work)
        inbound.ready = True
        counters.add("ready")
        await stop.wait()
        gearmen.leaving = True
        peers.leave()
        await inbound.leave(peers.others_serve)
    finally:
        await inbound.close()
        await gearmen.close()
        await actors.close()
        await peers.close()
        await outbound.close()
        print("gaphub: at exit:", *(f"{k}={v}" for k, v in counters.snapshot().items()), file=sys.stderr)


async def run(config: Config) -> None:
    """Serve until SIGTERM or SIGINT; on SIGHUP read the configuration again."""
    counters, stop = Counters(), asyncio.Event()
    reload = Reload(config, lambda: load(os.environ, again=True), counters)
    for number, asked in ((signal.SIGTERM, stop), (signal.SIGINT, stop), (signal.SIGHUP, reload.asked)):
        asyncio.get_running_loop().add_signal_handler(number, asked.set)
    await serve(config, counters, stop, reload)


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
