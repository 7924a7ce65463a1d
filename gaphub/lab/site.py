"""Runs one site on loopback: scheduler processes, the stand-ins around them, and fault injection.

``Site.close`` kills every process that was started, closes every socket and deletes the folder.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from ..admin import ask
from ..cluster.keyring import new_entry, write
from ..config import Address
from .clients import Clients
from .front import ROUTER_AS, SITE_AS, Front
from .stand_ins import Agent, Relay, Workers

SERVICE = "192.0.2.80"  # the announced route, a documentation address (RFC 5737); nothing listens there
CLASSES: list[dict[str, Any]] = [
    {"name": "poloha", "slo": 500.0, "deadline": 5000.0, "credit": 3.0, "idempotency": "idempotent"},
    {"name": "udalost", "slo": 1000.0, "deadline": 10000.0, "credit": 2.0, "idempotency": "at_most_once"},
    {"name": "vyuctovani", "slo": 1200.0, "deadline": 20000.0, "credit": 10.0, "idempotency": "at_most_once"},
]
SETTINGS: dict[str, Any] = {
    "zones": ["a"], "models": ["m"], "tick": 4.0, "grades": CLASSES, "familyInfo": {},
    "limits": {"mostTries": 4, "dialTimeout": 150.0, "secondCopies": False, "connIdle": 60000.0,
               "retryAfter": True, "maxRetryAfter": 1000.0},
    "report": {"fields": [], "via": "off"}, "rules": {"startCapacity": 0.3},
}
WORK_MS = {"poloha": 12.0, "udalost": 25.0, "vyuctovani": 50.0}
READY_S = 15.0


def start_gaphub(folder: Path, name: str, arguments: list[str]) -> subprocess.Popen[bytes]:
    """Start ``python -m gaphub ARGUMENTS`` with the ``config.json`` and ``fronts.toml`` in ``folder``.

    Its output goes to the file ``log`` there.  The caller has to end the process.
    """
    env = {**os.environ, "LB_CONFIG": str(folder / "config.json"), "LB_NAME": name,
           "LB_FRONTS": str(folder / "fronts.toml"),
           "PYTHONPATH": str(Path(__file__).resolve().parent.parent.parent)}
    for variable in ("LB_LISTEN", "LB_DISCOVERY"):
        env.pop(variable, None)
    with open(folder / "log", "ab") as log:
        return subprocess.Popen([sys.executable, "-m", "gaphub", *arguments], env=env, stdout=log, stderr=log,
                                stdin=subprocess.DEVNULL)


def free_port() -> int:
    """A TCP port of 127.0.0.1 that is free now."""
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        port: int = s.getsockname()[1]
        return port


class Daemon:
    """One member of the cluster: a scheduler process or a witness."""

    def __init__(self, site: Site, number: int, witness: bool) -> None:
        self.site = site
        self.number = number
        self.name = f"witness-{number}" if witness else f"n{number}"
        self.ip = f"{site.net}.{10 + number}"
        self.witness = witness
        self.folder = site.folder / self.name
        self.folder.mkdir()
        self.admin = str(self.folder / "admin.sock")
        self.process: subprocess.Popen[bytes] | None = None
        self.kills = 0

    def configure(self) -> None:
        """Write the member's configuration files."""
        site = self.site
        lines = ["[cluster]", f'listen = "{self.ip}:7946"', 'name = "lab"', f"me = {self.number}",
                 f'keys = "{site.folder / "keys.toml"}"', f'state = "{self.folder / "vote"}"', "moves_most = 0",
                 f"lease_ms = {site.lease_ms}", f"renew_ms = {site.lease_ms / 4}",
                 f"ballot_ms = {site.lease_ms * 0.375}"]
        for d in site.daemons:
            address = f"{d.ip}:7946" if d is self else "{}:{}".format(
                *site.relay.ports[(self.number, d.number)])
            lines += ["[[cluster.members]]", f"id = {d.number}", f'name = "{d.name}"', f'address = "{address}"',
                      f"stands = {str(not d.witness).lower()}"]
        lines += ["[admin]", f'socket = "{self.admin}"', "[log]", 'form = "logfmt"']
        if not self.witness:
            lines += ["[address]", f'service = "{SERVICE}"', f'listen = "{self.ip}:8000"',
                      f'next_hop = "{self.ip}"', "return_ms = 100.0",
                      "[bgp]", f"local_as = {SITE_AS}", f'router_id = "10.0.0.{self.number}"',
                      f'source = "{self.ip}"', "retry_s = 0.1",
                      "[[bgp.neighbours]]", f'address = "{site.front_ip}:1790"', f"peer_as = {ROUTER_AS}",
                      f'bfd = "{site.front_ip}:{3784 + self.number}"', f'bfd_listen = "{self.ip}:3784"']
        (self.folder / "fronts.toml").write_text("\n".join(lines) + "\n")
        scheduling = [d for d in site.daemons if not d.witness]
        index = scheduling.index(self) if self in scheduling else 0
        (self.folder / "config.json").write_text(json.dumps({
            "name": self.name, "listen": f"{self.ip}:7000", "seed": f"{self.number:x}",
            "discovery": "{}:{}".format(*site.agent.address),
            "known": {"version": 0, "full": True, "servers": []},
            "settings": {**SETTINGS, "me": index, "balancers": len(scheduling)}}))

    def start(self) -> None:
        """Start the process."""
        arguments = ["witness", "--config", str(self.folder / "fronts.toml")] if self.witness else []
        self.process = start_gaphub(self.folder, self.name, arguments)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None
            self.kills += 1

    async def status(self, within_s: float = 1.0) -> dict[str, Any] | None:
        """The status from its admin socket; None if it does not answer."""
        try:
            status: dict[str, Any] = await ask(self.admin, "status", within_s)
            return status
        except (OSError, TimeoutError, ValueError):
            return None


class Site:
    """A front layer, a discovery agent, workers, cluster members, and the relay between the members."""

    def __init__(self, daemons: int = 3, witnesses: int = 0, workers: int = 4, round_robin: bool = False,
                 seed: int = 1, lease_ms: float = 400.0) -> None:
        self.rng = random.Random(seed)
        self.net = f"127.{self.rng.randint(10, 250)}.{os.getpid() % 250 + 1}"
        self.front_ip = f"{self.net}.1"
        self.folder = Path(tempfile.mkdtemp(prefix="gaphub-lab-"))
        self.round_robin = round_robin
        self.seed = seed
        self.lease_ms = lease_ms
        self.workers = Workers(WORK_MS, seed)
        self.worker_count = workers
        self.agent = Agent(self.workers.addresses)
        self.daemons = [Daemon(self, i + 1, i >= daemons) for i in range(daemons + witnesses)]
        self.serving = [d for d in self.daemons if not d.witness]
        self.relay = Relay({d.number: (d.ip, 7946) for d in self.daemons}, seed)
        port = 7000 if round_robin else 8000
        self.front = Front(self.front_ip, SERVICE, {d.ip: (d.ip, port) for d in self.serving}, round_robin, seed)

    def clients(self, rate: float) -> Clients:
        """Clients that connect to the front layer."""
        return Clients(self.front.address, rate, self.seed)

    async def open(self) -> None:
        """Start everything, and wait until the service address is announced and all members are up."""
        await self.workers.open(self.worker_count)
        await self.agent.open()
        await self.relay.open()
        write(self.folder / "keys.toml", [new_entry("lab", True)])
        for d in self.daemons:
            d.configure()
        ports: dict[str, tuple[Address, Address]] = {
            d.ip: ((self.front_ip, 3784 + d.number), (d.ip, 3784)) for d in self.serving}
        await self.front.open(1790, ports)
        for d in self.daemons:
            d.start()
        await self.wait_settled()

    async def wait_settled(self, within_s: float = READY_S) -> float:
        """Wait until a holder is announced and every member is up with its state restored; the time taken in s.

        TimeoutError, with the end of every log, if that takes longer than ``within_s``.
        """
        began = time.monotonic()
        while time.monotonic() - began < within_s:
            statuses = [await d.status() for d in self.daemons]
            all_healthy = all(status is not None and status["cluster"]["remembers"] and
                              all(m["alive"] for m in status["cluster"]["members"]) for status in statuses)
            if all_healthy and (self.round_robin or (self.front.next_hop and self._bfd_up())):
                return time.monotonic() - began
            await asyncio.sleep(0.03)
        logs = "".join((d.folder / "log").read_text()[-600:] for d in self.daemons)
        raise TimeoutError(
            f"the site did not become ready: {[status and status['cluster'] for status in statuses]}\n{logs}")

    def _bfd_up(self) -> bool:
        return all(w.session.state == 3 for w in self.front.watchers.values())

    def holder(self) -> Daemon | None:
        """The daemon to which the router's route points."""
        return next((d for d in self.serving if d.ip == self.front.next_hop), None)

    # -- faults --

    def kill(self, daemon: Daemon) -> None:
        """Kill a daemon with SIGKILL."""
        daemon.kill()
        self.front.note_killed(daemon.ip)

    def restart(self, daemon: Daemon) -> None:
        """Start a killed daemon again."""
        daemon.start()

    def freeze(self, daemon: Daemon) -> None:
        """Stop the process with SIGSTOP: its sockets stay open and it sends nothing."""
        daemon.signal(signal.SIGSTOP)

    def resume(self, daemon: Daemon) -> None:
        """Let a frozen process run again (SIGCONT)."""
        daemon.signal(signal.SIGCONT)

    def isolate(self, daemon: Daemon, both: bool = True) -> None:
        """Partition one member from the others; routers and clients still reach it."""
        self.relay.partition({daemon.number}, {d.number for d in self.daemons if d is not daemon}, both)

    async def close(self) -> None:
        """Kill all processes, close all sockets and delete the folder."""
        for d in self.daemons:
            d.signal(signal.SIGCONT)
            d.kill()
        await self.front.close()
        self.relay.close()
        self.agent.close()
        self.workers.close()
        shutil.rmtree(self.folder, ignore_errors=True)
