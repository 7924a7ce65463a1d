"""The scheduler process: wires its components, starts them, reloads the configuration, and shuts down.

This module owns the order of startup and shutdown and the configuration in force.  It must never make scheduling
decisions or parse anything.
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
from .admin import AdminSocket
from .clock import Clock
from .config import Address, Config, ConfigError, check_reload, load, parse_address
from .core import Core
from .interface import Settings
from .metrics import Counters, Sinks
from .net import destinations as discovery
from .net import gearman
from .net.arrival import TimedLoop
from .net.destinations import DiscoveryClient
from .net.gearman import GearmanFrontEnd
from .net.http import INBOUND_SOCKET_SHARE, Inbound, Outbound
from .net.http.reuseport import FIRST, SECOND
from .net.memory import ClientMemory
from .net.ops import OpsServer
from .net.peers import Peers
from .occupancy.status import occupancy_status
from .ops.claim_files import ClaimFiles
from .ops.class_table import RELOADABLE_SETTINGS
from .ops.shared_files import SharedFiles
from .store import Store
from .tasks import Tasks

if TYPE_CHECKING:
    from .service import ServiceAddress

# Configuration keys that take effect only at startup.  ``known`` and ``seed`` are not compared on a reload: they
# describe the startup itself.
STARTUP_ONLY = ("name", "listen", "limits", "peer_listen", "peers", "peers_all", "admin", "zones", "models",
                "report_fields", "conn_idle_ms", "fronts")


# A process whose discovery agent has not answered is ready after this time, with the list in its configuration.
DISCOVERY_GRACE_MS = 2_000.0


def _startup_settings(settings: Settings) -> dict[str, Any]:
    """The settings that take effect only at startup."""
    return {f.name: getattr(settings, f.name) for f in fields(settings)
            if f.name not in (*RELOADABLE_SETTINGS, "classes")}


class ConfigReloader:
    """Owns the configuration in force and reloads it on request.

    An invalid file changes nothing.  Keys that cannot change while requests are open are logged and take effect at
    the next start.
    """

    def __init__(self, config: Config, read: Callable[[], Config], counters: Counters) -> None:
        self.config = config
        self._read = read
        self._counters = counters
        self.requested = asyncio.Event()
        self.also_reload: list[Callable[[], None]] = []  # run before each reload, e.g. for key files

    async def run(self, discovery_client: DiscoveryClient, core: Core) -> None:
        """Reload whenever requested; requests that arrive before the reload starts are served by one reload."""
        while True:
            await self.requested.wait()
            self.requested.clear()
            for reload in self.also_reload:
                reload()
            try:
                new = self._read()
                check_reload(self.config, new)
            except ConfigError as error:
                self._counters.log("reloads.failed", str(error))
                core.job_stats.reload_failure += 1
                continue
            self._counters.add("reloads.done")
            core.job_stats.reload_success += 1
            core.apply_settings(new.settings, new.class_names)
            pending = [key for key in STARTUP_ONLY if getattr(new, key) != getattr(self.config, key)]
            if _startup_settings(new.settings) != _startup_settings(self.config.settings):
                pending.append("settings")
            if pending:
                self._counters.log("reloads.need_a_start", ", ".join(pending))
            self.config = new
            discovery_client.set_agent(new.discovery)


def block_sighup() -> None:
    """Block SIGHUP, so that it stays pending until its handler is installed.

    A reload may be signalled while the process starts: SIGHUP would kill the process, and one that arrives after
    the file was read must not be lost either.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])


def status(config: Config, core: Core, counters: Counters, address: ServiceAddress | None) -> dict[str, Any]:
    """The values that ``gaphub status`` shows."""
    return {"name": config.name, "version": __version__, "open_jobs": core.open_jobs,
            **(address.status() if address is not None else {}), "counters": counters.snapshot()}


def create_ops(listen: Address, config: Config, core: Core, counters: Counters, shared_files: SharedFiles,
               inbound: Inbound, discovery_client: DiscoveryClient) -> OpsServer:
    """The operations endpoint, with the functions that answer its requests."""

    def set_disabled(worker: str, disabled: bool) -> int:
        if not core.ever_listed(worker):
            return 404
        if not core.overrides.record(core.clock.now(), worker, disabled):
            return 507
        shared_files.save_overrides()
        core.apply_operator_changes([worker])
        return 200

    started_at = core.clock.now()

    def ready() -> bool:
        grace_over = core.clock.now() - started_at > DISCOVERY_GRACE_MS and core.count_targets()[0] > 0
        return inbound.handler.ready and (discovery_client.has_answered or grace_over)

    return OpsServer(listen, counters, max(4, config.limits.sockets // 32), ready,
                     lambda: core.job_stats.snapshot(core.unanswered_jobs, *core.count_targets()), set_disabled)


async def serve(config: Config, counters: Counters, stop: asyncio.Event, reload: ConfigReloader) -> None:
    """Serve until ``stop`` is set, then answer all accepted requests."""
    core = Core(config.settings, config.seed, Clock(), counters, config.class_names, config.name)
    if config.fronts.log.requests:
        core.log_request = partial(counters.line, "request")
    outbound = Outbound(config, core, counters)
    claim_files = ClaimFiles(os.environ.get("TMPDIR") if config.admin else None, config.name,
                             config.limits.memory_mb * 1e6, counters)
    # Sessions of the Gearman front end use file descriptors and memory from the share of the HTTP clients.
    socket_share = 1.0 - gearman.SOCKET_SHARE / INBOUND_SOCKET_SHARE if config.fronts.gearman.listen else 1.0
    memory = ClientMemory(config.limits.memory_mb * 1e6, config.limits.sockets, counters,
                          claim_files.other_processes)
    inbound = Inbound(config, core, counters, memory.http(socket_share), claim_files.claims,
                      socket_share=socket_share)
    discovery_client = DiscoveryClient(config, core, counters)
    store = Store(config.settings.me, config.fronts.store.entries_most)
    peers = Peers(config, core, counters, store)
    gearman_front = GearmanFrontEnd(config, core, counters, store, memory.gearman(socket_share), stop.set)
    sinks = Sinks(config, counters)
    address: ServiceAddress | None = None
    address_inbound: Inbound | None = None
    if config.fronts.cluster.listen:
        from .service import ServiceAddress  # saves the cost where no cluster is configured

        address = ServiceAddress(config, core, counters)
        address.on_lease_gained = gearman_front.on_lease_gained
        address.on_lease_lost = (gearman_front.refuse_queued if config.fronts.address.gearman
                                 else address.on_lease_lost)
        gearman_front.fence = address.fence if config.fronts.address.gearman else None
        if config.fronts.address.service:
            # The two listeners share the clients' sockets and memory.
            inbound = Inbound(config, core, counters, inbound.memory, claim_files.claims,
                              socket_share=0.5 * socket_share)
            address_inbound = Inbound(config, core, counters, inbound.memory, claim_files.claims,
                                      parse_address(config.fronts.address.listen, "address.listen"),
                                      address.fence, 0.5 * socket_share)
            # A request id that is open at one listener is refused at the other.
            address_inbound.handler.open_ids = inbound.handler.open_ids
    admin = AdminSocket(config.fronts.admin, counters, {"status": lambda: {
        **status(config, core, counters, address),
        **({"gearman": gearman_front.status()} if config.fronts.gearman.listen else {})},
        "occupancy": lambda: occupancy_status(core.balancer.occupancy, core.clock.now(),
                                              core.balancer.fleet.workers)})
    shared_files = SharedFiles(os.environ.get("TMPDIR") if config.admin else None, core.overrides, counters,
                               core.apply_operator_changes)
    shared_files.poll_overrides()  # before any list, so that nothing is ever sent to a disabled worker
    ops = None if config.admin is None else create_ops(config.admin, config, core, counters, shared_files, inbound,
                                                       discovery_client)
    core.ports = {discovery.SOURCE: outbound, gearman.SOURCE: gearman_front}
    core.class_index_users.append(gearman_front)
    core.list_port = discovery_client
    core.peer_port = peers
    discovery_client.publish_cached()
    if core.import_state(shared_files.read_state_snapshot()):
        counters.add("ops.inherited")
    actors = Tasks(counters)
    try:
        await claim_files.open()
        await inbound.open()
        await gearman_front.open()
        await peers.open()
        await admin.open()
        if ops is not None:
            await ops.open()
            actors.start(shared_files.run())
            actors.start(shared_files.write_state_snapshots(core.export_state))
        if address is not None:
            await address.open()
            reload.also_reload.append(address.node.reload_keys)
        if address_inbound is not None:
            await address_inbound.open()
        reload.also_reload.append(gearman_front.reload_tls)
        for work in (core.run(), outbound.run(), discovery_client.run(), gearman_front.run(), sinks.run_graphite(),
                     sinks.run_collectd(), sinks.run_log(), claim_files.run(), memory.watch(),
                     reload.run(discovery_client, core)):
            actors.start(work)
        inbound.handler.ready = True
        shared_files.start_serving()
        counters.add("ready")
        if address is not None:
            address.node.set_ready(True)
        await stop.wait()
        gearman_front.stop_accepting()
        peers.announce_leaving()
        if successor := bool(shared_files.others_serving_since_ns()):
            await peers.close()  # the kernel delivers a datagram to one of two sockets: leave all to the successor
        shutdowns = [inbound.shut_down(peers.others_serve, successor, SECOND if shared_files.is_oldest else FIRST)]
        if address is not None:
            shutdowns.append(address.hand_over())
        if address_inbound is not None:
            shutdowns.append(address_inbound.shut_down(lambda: True))
        await asyncio.gather(*shutdowns)
    finally:
        await inbound.close()
        shared_files.close()
        claim_files.close()
        if address_inbound is not None:
            await address_inbound.close()
        if address is not None:
            await address.close()
        await admin.close()
        if ops is not None:
            await ops.close()
        await gearman_front.close()
        await actors.close()
        await peers.close()
        await outbound.close()
        print("gaphub: at exit:", *(f"{k}={v}" for k, v in counters.snapshot().items()), file=sys.stderr)


async def run(config: Config) -> None:
    """Serve until SIGTERM or SIGINT; on SIGHUP reload the configuration."""
    counters, stop = Counters(), asyncio.Event()
    log = config.fronts.log
    if log.form != "plain":
        from .logs import make_line_writer  # imports structlog: only where configured

        counters.line = make_line_writer(log.form, log.level, config.name)
    reload = ConfigReloader(config, lambda: load(os.environ, is_reload=True), counters)
    for signal_number, event in ((signal.SIGTERM, stop), (signal.SIGINT, stop), (signal.SIGHUP, reload.requested)):
        asyncio.get_running_loop().add_signal_handler(signal_number, event.set)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])
    await serve(config, counters, stop, reload)
    block_sighup()  # its handler ends with the event loop: SIGHUP must not turn a clean exit into a kill


def run_service() -> int:
    """Run the scheduler; returns the exit status, which is 2 if the configuration is not usable."""
    try:
        block_sighup()
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
    """Run the scheduler, or with command-line arguments the commands of ``gaphub.cli``."""
    if len(sys.argv) > 1:
        from .cli import gaphub

        gaphub(prog_name="gaphub")
    return run_service()


if __name__ == "__main__":
    sys.exit(main())
