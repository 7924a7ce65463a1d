"""Owns the experiment of coming back: schedulers in processes of their own, most of them killed at once.

N gaphub processes on loopback share stand-in workers and discovery's agent; clients send to each of them.  After a
warm spell, a share of the schedulers is killed with SIGKILL at the same moment and started again after a pause.
What it reports comes from the clients' audit rows and the workers' own counts, never from the schedulers.
Everything it starts it ends: ``close`` kills every process and gives the folder back.
"""

from __future__ import annotations

import asyncio
import json
import math
import shutil
import subprocess
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from .clients import Clients, Row
from .site import CLASSES, SETTINGS, WORK_MS, free_port, start_gaphub
from .world import Agent, Workers

BUCKET_S = 0.25  # the served rate is counted in buckets of so long
NEVER_TWICE = frozenset(c["name"] for c in CLASSES if c["idempotency"] == "at_most_once")
WITHIN = 0.05  # back to full service: the rate over a second within this share of the warm rate


class Scheduler:
    """One gaphub process with files of its own; no cluster, no fronts but the platform's HTTP."""

    def __init__(self, folder: Path, number: int, count: int, port: int, agent: Agent) -> None:
        self.name = f"n{number}"
        self.port = port
        self.folder = folder / self.name
        self.folder.mkdir()
        self.process: subprocess.Popen[bytes] | None = None
        (self.folder / "fronts.toml").write_text("")
        (self.folder / "config.json").write_text(json.dumps({
            "name": self.name, "listen": f"127.0.0.1:{port}", "seed": f"{number:x}",
            "discovery": "{}:{}".format(*agent.address), "known": {"version": 0, "full": True, "servers": []},
            "settings": {**SETTINGS, "me": number, "balancers": count}}))

    def start(self) -> None:
        """Start the process."""
        self.process = start_gaphub(self.folder, self.name, [])

    def kill(self) -> None:
        """SIGKILL, and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None

    async def ready(self, within_s: float) -> bool:
        """Whether it takes connections within so long."""
        ends = time.monotonic() + within_s
        while time.monotonic() < ends:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            writer.close()
            return True
        return False


@dataclass
class Report:
    """What one run showed; times in s from the kill, latencies in ms."""

    schedulers: int
    killed: int
    warm_per_s: float  # requests served a second before the kill
    back_after_s: float  # inf: not within the run
    p99_ms: float
    refused: int
    failed: int
    tries: int
    peak_at_a_worker: int
    ran_twice: int  # jobs of a never-twice class that a worker ran more than once: must be 0
    served_at_end: float  # the share of tries served in the last two seconds before the clients stopped

    def line(self) -> str:
        """One line for the console."""
        back = "not back" if math.isinf(self.back_after_s) else f"back after {self.back_after_s:.2f} s"
        return (f"{self.killed} of {self.schedulers} killed: {back} (warm {self.warm_per_s:.0f}/s), "
                f"p99 {self.p99_ms:.0f} ms meanwhile, {self.refused} refused and {self.failed} failed of "
                f"{self.tries} tries, peak {self.peak_at_a_worker} at one worker, {self.ran_twice} ran twice")


async def run(schedulers: int = 10, share: float = 0.7, workers: int = 8, rate: float = 200.0,
              warm_s: float = 6.0, down_s: float = 0.5, after_s: float = 12.0, seed: int = 1) -> Report:
    """One run: warm, kill ``share`` of the schedulers at once, start them again, watch the rate come back."""
    folder = Path(tempfile.mkdtemp(prefix="gaphub-recovery-"))
    pool = Workers(WORK_MS, seed)
    await pool.open(workers)
    agent = Agent(pool.addresses)
    await agent.open()
    ports = [free_port() for _ in range(schedulers)]
    fleet = [Scheduler(folder, i, schedulers, ports[i], agent) for i in range(schedulers)]
    clients = [Clients(("127.0.0.1", s.port), rate / schedulers, seed + i) for i, s in enumerate(fleet)]
    try:
        for s in fleet:
            s.start()
        if not all(await asyncio.gather(*(s.ready(15.0) for s in fleet))):
            raise TimeoutError("a scheduler did not start")
        began = time.monotonic()
        for c in clients:
            c.start()
        await asyncio.sleep(warm_s)
        victims = fleet[: round(share * schedulers)]
        killed_at = time.monotonic()
        for s in victims:
            s.kill()
        await asyncio.sleep(down_s)
        for s in victims:
            s.start()
        await asyncio.sleep(after_s)
        stopped_at = time.monotonic()
        for c in clients:
            c.rate = 0.0
        await asyncio.gather(*(c.drain(5.0) for c in clients))
    finally:
        for c in clients:
            await c.close()
        for s in fleet:
            s.kill()
        agent.close()
        pool.close()
        shutil.rmtree(folder, ignore_errors=True)
    rows = [r for c in clients for r in c.rows]
    return _report(rows, pool, (began, killed_at, stopped_at), schedulers, len(victims))


def _report(rows: list[Row], pool: Workers, moments: tuple[float, float, float], schedulers: int,
            killed: int) -> Report:
    """The figures of one run from the clients' rows.

    Full service is a share of tries served within ``WITHIN`` of the warm share; it is back after the last bucket
    of tries, sent after the kill, that falls short of it.  ``moments``: when the clients began, the kill, and
    when the clients stopped, on the monotonic clock.
    """
    began, killed_at, stopped_at = moments
    warm = [r for r in rows if began + 1.0 <= r.sent < killed_at]
    warm_share = sum(1 for r in warm if r.ending == 200) / max(1, len(warm))
    warm_per_s = sum(1 for r in warm if r.ending == 200) / max(1e-9, killed_at - began - 1.0)
    after = [r for r in rows if r.sent >= killed_at]
    buckets: dict[int, list[Row]] = {}
    for r in after:
        buckets.setdefault(int((r.sent - killed_at) / BUCKET_S), []).append(r)
    short = [n for n, tries in buckets.items()
             if sum(1 for r in tries if r.ending == 200) < (1.0 - WITHIN) * warm_share * len(tries)]
    back = (max(short) + 1) * BUCKET_S if short else 0.0
    if short and max(short) == max(buckets):
        back = math.inf
    until = killed_at + (back if not math.isinf(back) else max(buckets, default=0) * BUCKET_S) + BUCKET_S
    during = sorted(1000.0 * r.took for r in rows if killed_at <= r.sent < until)
    p99 = during[min(len(during) - 1, int(0.99 * len(during)))] if during else 0.0
    end = [r for r in rows if stopped_at - 2.0 <= r.sent < stopped_at]
    return Report(schedulers, killed, warm_per_s, back, p99,
                  sum(1 for r in after if r.ending in (429, 503)),
                  sum(1 for r in after if r.ending not in (200, 429, 503)), len(after), pool.peak_running,
                  sum(1 for ident, n in pool.executions.items()
                      if n > 1 and pool.class_by_request[ident] in NEVER_TWICE),
                  sum(1 for r in end if r.ending == 200) / max(1, len(end)))
