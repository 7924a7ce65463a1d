"""Owns one site on loopback: daemons in processes of their own, the stand-ins around them, and the faults.

Everything it starts it ends: ``close`` kills every process and gives every socket and the folder back.
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
from .world import Agent, Relay, Workers

SERVICE = "192.0.2.80"  # RFC 5737: a name for the route; nothing listens there
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


def start_gaphub(folder: Path, name: str, words: list[str]) -> subprocess.Popen[bytes]:
    """Start ``python -m gaphub WORDS`` with the ``config.json`` and ``fronts.toml`` of its folder.

    It logs to ``log`` there.  The caller owns the process and ends it.
    """
    env = {**os.environ, "LB_CONFIG": str(folder / "config.json"), "LB_NAME": name,
           "LB_FRONTS": str(folder / "fronts.toml"),
           "PYTHONPATH": str(Path(__file__).resolve().parent.parent.parent)}
    for variable in ("LB_LISTEN", "LB_DISCOVERY"):
        env.pop(variable, None)
    with open(folder / "log", "ab") as log:
        return subprocess.Popen([sys.executable, "-m", "gaphub", *words], env=env, stdout=log, stderr=log,
                                stdin=subprocess.DEVNULL)


def free_port() -> int:
    """A port of loopback that nobody listens on now."""
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        port: int = s.getsockname()[1]
        return port


class Daemon:
    """One gaphub process, or a witness."""

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
        """Write its files."""
        site = self.site
        lines = ["[cluster]", f'listen = "{self.ip}:7946"', 'name = "lab"', f"me = {self.number}",
                 f'keys = "{site.folder / "keys.toml"}"', f'state = "{self.folder / "vote"}"', "moves_most = 0",
                 f"lease_ms = {site.lease_ms}", f"renew_ms = {site.lease_ms / 4}",
                 f"ballot_ms = {site.lease_ms * 0.375}"]
        for d in site.daemons:
            at = f"{d.ip}:7946" if d is self else "{}:{}".format(*site.relay.ports[(self.number, d.number)])
            lines += ["[[cluster.members]]", f"id = {d.number}", f'name = "{d.name}"', f'address = "{at}"',
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
        me = scheduling.index(self) if self in scheduling else 0
        (self.folder / "config.json").write_text(json.dumps({
            "name": self.name, "listen": f"{self.ip}:7000", "seed": f"{self.number:x}",
            "discovery": "{}:{}".format(*site.agent.address),
            "known": {"version": 0, "full": True, "servers": []},
            "settings": {**SETTINGS, "me": me, "balancers": len(scheduling)}}))

    def start(self) -> None:
        """Start the process."""
        words = ["witness", "--config", str(self.folder / "fronts.toml")] if self.witness else []
        self.process = start_gaphub(self.folder, self.name, words)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill it outright."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None
            self.kills += 1

    async def status(self, within_s: float = 1.0) -> dict[str, Any] | None:
        """What it says of itself; None where it does not answer."""
        try:
            told: dict[str, Any] = await ask(self.admin, "status", within_s)
            return told
        except (OSError, TimeoutError, ValueError):
            return None


class Site:
    """A front layer, an agent, workers, daemons, and the relay between them."""

    def __init__(self, daemons: int = 3, witnesses: int = 0, workers: int = 4, plain: bool = False,
                 seed: int = 1, lease_ms: float = 400.0) -> None:
        self.draw = random.Random(seed)
        self.net = f"127.{self.draw.randint(10, 250)}.{os.getpid() % 250 + 1}"
        self.front_ip = f"{self.net}.1"
        self.folder = Path(tempfile.mkdtemp(prefix="gaphub-lab-"))
        self.plain = plain
        self.seed = seed
        self.lease_ms = lease_ms
        self.workers = Workers(WORK_MS, seed)
        self.worker_count = workers
        self.agent = Agent(self.workers.addresses)
        self.daemons = [Daemon(self, i + 1, i >= daemons) for i in range(daemons + witnesses)]
        self.serving = [d for d in self.daemons if not d.witness]
        self.relay = Relay({d.number: (d.ip, 7946) for d in self.daemons}, seed)
        port = 7000 if plain else 8000
        self.front = Front(self.front_ip, SERVICE, {d.ip: (d.ip, port) for d in self.serving}, plain, seed)

    def clients(self, rate: float) -> Clients:
        """Clients that come by the front layer."""
        return Clients(self.front.address, rate, self.seed)

    async def open(self) -> None:
        """Start everything and wait until the address is served."""
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
        """Wait until a holder is announced and everybody is up and remembers; how long that took, in s."""
        began = time.monotonic()
        while time.monotonic() - began < within_s:
            told = [await d.status() for d in self.daemons]
            sound = all(t is not None and t["cluster"]["remembers"] and
                        all(m["alive"] for m in t["cluster"]["members"]) for t in told)
            if sound and (self.plain or (self.front.next_hop and self._bfd_up())):
                return time.monotonic() - began
            await asyncio.sleep(0.03)
        logs = "".join((d.folder / "log").read_text()[-600:] for d in self.daemons)
        raise TimeoutError(f"the site did not settle: {[t and t['cluster'] for t in told]}\n{logs}")

    def _bfd_up(self) -> bool:
        return all(w.session.state == 3 for w in self.front.watchers.values())

    def holder(self) -> Daemon | None:
        """Whom the router believes."""
        return next((d for d in self.serving if d.ip == self.front.next_hop), None)

    # -- faults --

    def kill(self, daemon: Daemon) -> None:
        """Kill outright."""
        daemon.kill()
        self.front.killed(daemon.ip)

    def restart(self, daemon: Daemon) -> None:
        """Start again what was killed."""
        daemon.start()

    def freeze(self, daemon: Daemon) -> None:
        """SIGSTOP: it keeps its sockets and says nothing."""
        daemon.signal(signal.SIGSTOP)

    def thaw(self, daemon: Daemon) -> None:
        """SIGCONT."""
        daemon.signal(signal.SIGCONT)

    def split(self, daemon: Daemon, both: bool = True) -> None:
        """Cut one member off the others; routers and clients still reach it."""
        self.relay.split({daemon.number}, {d.number for d in self.daemons if d is not daemon}, both)

    async def close(self) -> None:
        """End everything."""
        for d in self.daemons:
            d.signal(signal.SIGCONT)
            d.kill()
        await self.front.close()
        self.relay.close()
        self.agent.close()
        self.workers.close()
        shutil.rmtree(self.folder, ignore_errors=True)
