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
from dataclasses import fields
from functools import partial
from typing import TYPE_CHECKING, Any

from . import __version__
from .admin import Admin
from .clock import Clock
from .config import Address, Config, ConfigError, check_successor, load
from .config import address as parse_address
from .core import Core
from .interface import Settings
from .metrics import Counters, Sinks
from .net import destinations as discovery
from .net import gearman
from .net.arrival import TimedLoop
from .net.destinations import DiscoveryClient
from .net.gearman import Gearman
from .net.http import INBOUND_SOCKET_SHARE, Inbound, Outbound
from .net.http.reuseport import FIRST, SECOND
from .net.ops import Ops
from .net.peers import Peers
from .occupancy.status import occupancy_status
from .ops.retune import TAKEN
from .ops.shelf import Shelf
from .store import Store
from .tasks import Tasks

if TYPE_CHECKING:
    from .service import ServiceAddress

# What is read at the start only; ``known`` and ``seed`` are news of the start itself.
STARTING = ("name", "listen", "limits", "peer_listen", "peers", "peers_all", "admin", "zones", "models",
            "report_fields", "conn_idle_ms", "fronts")


UNTOLD_MS = 2_000.0  # a process whose agent is silent is ready all the same with the list that it was started with


def _structure(settings: Settings) -> dict[str, Any]:
    """What of the settings is read at the start only."""
    return {f.name: getattr(settings, f.name) for f in fields(settings) if f.name not in (*TAKEN, "classes")}


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
        self.also: list[Callable[[], None]] = []  # what else is read again

    async def run(self, destinations: DiscoveryClient, core: Core) -> None:
        """Read the configuration whenever asked; requests to do so that come together are one."""
        while True:
            await self.asked.wait()
            self.asked.clear()
            for work in self.also:
                work()
            try:
                new = self._read()
                check_successor(self.config, new)
            except ConfigError as error:
                self._counters.log("reloads.failed", str(error))
                core.figures.reload_failure += 1
                continue
            self._counters.add("reloads.done")
            core.figures.reload_success += 1
            core.retune(new.settings, new.class_names, keep_rows=bool(new.fronts.gearman.listen))
            waiting = [key for key in STARTING if getattr(new, key) != getattr(self.config, key)]
            if _structure(new.settings) != _structure(self.config.settings):
                waiting.append("settings")
            if waiting:
                self._counters.log("reloads.need_a_start", ", ".join(waiting))
            self.config = new
            destinations.set_agent(new.discovery)


def held_back() -> None:
    """Keep SIGHUP waiting until there is somebody to hear it.

    Guards against new settings that are announced while a process starts: SIGHUP ended it, and one that comes
    after the file was read must not be forgotten either.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])


def status(config: Config, core: Core, counters: Counters, address: ServiceAddress | None) -> dict[str, Any]:
    """What ``gaphub status`` shows."""
    return {"name": config.name, "version": __version__, "open_jobs": core.open_jobs,
            **(address.status() if address is not None else {}), "counters": counters.snapshot()}


def ops_for(listen: Address, config: Config, core: Core, counters: Counters, shelf: Shelf,
            inbound: Inbound, destinations: DiscoveryClient) -> Ops:
    """The operators' address, wired to who knows the answers."""

    def move(worker: str, out: bool) -> int:
        if not core.ever_listed(worker):
            return 404
        if not core.outs.say(core.clock.now(), worker, out):
            return 507
        shelf.put()
        core.moved_by_hand([worker])
        return 200

    began = core.clock.now()

    def ready() -> bool:
        late = core.clock.now() - began > UNTOLD_MS and core.targets()[0] > 0
        return inbound.handler.ready and (destinations.has_answered or late)

    return Ops(listen, counters, max(4, config.limits.sockets // 32), ready,
               lambda: core.figures.show(core.concurrent, *core.targets()), move)


async def serve(config: Config, counters: Counters, stop: asyncio.Event, reload: Reload) -> None:
    """Serve until ``stop``, then answer all that was taken."""
    core = Core(config.settings, config.seed, Clock(), counters, config.class_names, config.name)
    if config.fronts.log.requests:
        core.trace = partial(counters.line, "request")
    outbound = Outbound(config, core, counters)
    # Sessions of the Gearman front take their descriptors from the clients' part.
    part = 1.0 - gearman.SESSIONS_PART / INBOUND_SOCKET_SHARE if config.fronts.gearman.listen else 1.0
    inbound = Inbound(config, core, counters, socket_share=part)
    destinations = DiscoveryClient(config, core, counters)
    store = Store(config.settings.me, config.fronts.store.entries_most)
    peers = Peers(config, core, counters, store)
    gearmen = Gearman(config, core, counters, store, stop.set)
    sinks = Sinks(config, counters)
    address: ServiceAddress | None = None
    moving: Inbound | None = None
    if config.fronts.cluster.listen:
        from .service import ServiceAddress  # only here: the platform, where it is off, pays nothing

        address = ServiceAddress(config, core, counters)
        address.took_over = gearmen.took_over
        address.gave_up = gearmen.refuse_waiting if config.fronts.address.gearman else address.gave_up
        gearmen.fence = address.fence if config.fronts.address.gearman else None
        if config.fronts.address.service:
            # The clients' part of the sockets is shared by the two listeners.
            inbound = Inbound(config, core, counters, socket_share=0.5 * part)
            moving = Inbound(config, core, counters, parse_address(config.fronts.address.listen,
                                                                   "address.listen"), address.fence, 0.5 * part)
            # An id that is open at one of them is refused at the other.
            moving.handler.open_ids = inbound.handler.open_ids
    admin = Admin(config.fronts.admin, counters, {"status": lambda: {
        **status(config, core, counters, address),
        **({"gearman": gearmen.status()} if config.fronts.gearman.listen else {})},
        "occupancy": lambda: occupancy_status(core.balancer.occupancy, core.clock.now(),
                                              core.balancer.fleet.workers)})
    shelf = Shelf(os.environ.get("TMPDIR") if config.admin else None, core.outs, counters, core.moved_by_hand)
    shelf.look()  # before any list: who is out is not sent to for a moment
    ops = None if config.admin is None else ops_for(config.admin, config, core, counters, shelf, inbound,
                                                          destinations)
    core.ports = {discovery.SOURCE: outbound, gearman.SOURCE: gearmen}
    core.list_port = destinations
    core.peer_port = peers
    destinations.publish_cached()
    if core.inherit(shelf.legacy()):
        counters.add("ops.inherited")
    actors = Tasks(counters)
    try:
        await inbound.open()
        await gearmen.open()
        await peers.open()
        await admin.open()
        if ops is not None:
            await ops.open()
            actors.start(shelf.run())
            actors.start(shelf.leave(core.legacy))
        if address is not None:
            await address.open()
            reload.also.append(address.node.reload_keys)
        if moving is not None:
            await moving.open()
        reload.also.append(gearmen.reload_tls)
        for work in (core.run(), outbound.run(), destinations.run(), gearmen.run(), sinks.run_graphite(),
                     sinks.run_collectd(), sinks.run_log(), reload.run(destinations, core)):
            actors.start(work)
        inbound.handler.ready = True
        shelf.serving()
        counters.add("ready")
        if address is not None:
            address.node.set_ready(True)
        await stop.wait()
        gearmen.leave()
        peers.announce_leaving()
        if successor := bool(shelf.others_began_ns()):
            await peers.close()  # the kernel gives datagrams to one of two sockets: they are the successor's now
        leaves = [inbound.shut_down(peers.others_serve, successor, SECOND if shelf.began_first else FIRST)]
        if address is not None:
            leaves.append(address.leave())
        if moving is not None:
            leaves.append(moving.shut_down(lambda: True))
        await asyncio.gather(*leaves)
    finally:
        await inbound.close()
        shelf.close()
        if moving is not None:
            await moving.close()
        if address is not None:
            await address.close()
        await admin.close()
        if ops is not None:
            await ops.close()
        await gearmen.close()
        await actors.close()
        await peers.close()
        await outbound.close()
        print("gaphub: at exit:", *(f"{k}={v}" for k, v in counters.snapshot().items()), file=sys.stderr)


async def run(config: Config) -> None:
    """Serve until SIGTERM or SIGINT; on SIGHUP read the configuration again."""
    counters, stop = Counters(), asyncio.Event()
    log = config.fronts.log
    if log.form != "plain":
        from .logs import make  # structlog: only where it is wanted

        counters.line = make(log.form, log.level, config.name)
    reload = Reload(config, lambda: load(os.environ, again=True), counters)
    for number, asked in ((signal.SIGTERM, stop), (signal.SIGINT, stop), (signal.SIGHUP, reload.asked)):
        asyncio.get_running_loop().add_signal_handler(number, asked.set)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])
    await serve(config, counters, stop, reload)
    held_back()  # from here on nobody hears it again: it must not end in another way what ends well


def serve_or_say() -> int:
    """Run; 2 if the configuration cannot be used."""
    try:
        held_back()
        config = load(os.environ)
        gc.freeze()
        gc.set_threshold(50_000, 50, 50)
        with asyncio.Runner(loop_factory=TimedLoop) as runner:
            runner.run(run(config))
    except ConfigError as error:
        print(f"gaphub: configuration: {error}", file=sys.stderr)
        return 2
    return 0


def main() -> int:
    """Run; with words on the command line see ``gaphub.cli``."""
    if len(sys.argv) > 1:
        from .cli import gaphub

        gaphub(prog_name="gaphub")
    return serve_or_say()


if __name__ == "__main__":
    sys.exit(main())
