"""Recovery experiment: separate scheduler processes, most of which are killed at the same moment.

The schedulers run on loopback and share stand-in workers and a discovery agent; clients send to each scheduler.
After a warm-up, a share of the schedulers is killed with SIGKILL at once and started again after a pause.  The
report is made from the clients' records and the workers' own counts, never from the schedulers.  At the end all
processes are killed and the folder is deleted.
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

from .clients import Clients, TryRecord
from .site import CLASSES, SETTINGS, WORK_MS, free_port, start_gaphub
from .stand_ins import Agent, Workers

BUCKET_S = 0.25  # width of the time buckets in which the served share is computed
AT_MOST_ONCE = frozenset(c["name"] for c in CLASSES if c["idempotency"] == "at_most_once")
RATE_TOLERANCE = 0.05  # full service: the served share is at most this much, relatively, below that of the warm-up


class Scheduler:
    """One gaphub process with its own configuration files; no cluster, and HTTP as its only front."""

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
        """Kill the process with SIGKILL and wait until it has ended."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None

    async def ready(self, within_s: float) -> bool:
        """Whether it accepts connections within ``within_s``."""
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
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
    """Result of one run; times in s from the kill, latencies in ms."""

    schedulers: int
    killed: int
    warm_per_s: float  # tries served a second, before the kill
    recovered_after_s: float  # inf: not within the run
    p99_ms: float
    refused: int
    failed: int
    tries: int
    peak_at_one_worker: int
    ran_twice: int  # requests of at-most-once classes that workers ran more than once; must be 0
    served_at_end: float  # share of tries served, of those sent in the last two seconds before the clients stopped

    def line(self) -> str:
        """The report in one line."""
        result = ("not recovered" if math.isinf(self.recovered_after_s)
                  else f"recovered in {self.recovered_after_s:.2f} s")
        return (f"{self.killed} of {self.schedulers} killed: {result} (warm {self.warm_per_s:.0f}/s), "
                f"p99 {self.p99_ms:.0f} ms meanwhile, {self.refused} refused and {self.failed} failed of "
                f"{self.tries} tries, peak {self.peak_at_one_worker} at one worker, {self.ran_twice} ran twice")


async def run(schedulers: int = 10, share: float = 0.7, workers: int = 8, rate: float = 200.0,
              warm_s: float = 6.0, down_s: float = 0.5, after_s: float = 12.0, seed: int = 1) -> Report:
    """Run once: warm up, kill ``share`` of the schedulers at once, restart them, wait ``after_s`` under load."""
    folder = Path(tempfile.mkdtemp(prefix="gaphub-recovery-"))
    pool = Workers(WORK_MS, seed)
    await pool.open(workers)
    agent = Agent(pool.addresses)
    await agent.open()
    ports = [free_port() for _ in range(schedulers)]
    fleet = [Scheduler(folder, i, schedulers, ports[i], agent) for i in range(schedulers)]
    clients = [Clients(("127.0.0.1", scheduler.port), rate / schedulers, seed + i)
               for i, scheduler in enumerate(fleet)]
    try:
        for scheduler in fleet:
            scheduler.start()
        if not all(await asyncio.gather(*(scheduler.ready(15.0) for scheduler in fleet))):
            raise TimeoutError("a scheduler did not start")
        started_at = time.monotonic()
        for client in clients:
            client.start()
        await asyncio.sleep(warm_s)
        victims = fleet[: round(share * schedulers)]
        killed_at = time.monotonic()
        for scheduler in victims:
            scheduler.kill()
        await asyncio.sleep(down_s)
        for scheduler in victims:
            scheduler.start()
        await asyncio.sleep(after_s)
        stopped_at = time.monotonic()
        for client in clients:
            client.rate = 0.0
        await asyncio.gather(*(client.drain(5.0) for client in clients))
    finally:
        for client in clients:
            await client.close()
        for scheduler in fleet:
            scheduler.kill()
        agent.close()
        pool.close()
        shutil.rmtree(folder, ignore_errors=True)
    rows = [row for client in clients for row in client.rows]
    return _report(rows, pool, (started_at, killed_at, stopped_at), schedulers, len(victims))


def _report(rows: list[TryRecord], pool: Workers, phase_times: tuple[float, float, float], schedulers: int,
            killed: int) -> Report:
    """Compute the report of one run from the clients' records.

    Full service is a share of tries served within ``RATE_TOLERANCE`` of the share before the kill.  It is restored
    after the last bucket, by the time of sending, in which the share is lower.  ``phase_times``: when the clients
    started, the kill, and when the clients stopped, on the monotonic clock.
    """
    started_at, killed_at, stopped_at = phase_times
    warm = [row for row in rows if started_at + 1.0 <= row.sent_at < killed_at]
    warm_share = sum(1 for row in warm if row.status == 200) / max(1, len(warm))
    warm_per_s = sum(1 for row in warm if row.status == 200) / max(1e-9, killed_at - started_at - 1.0)
    after = [row for row in rows if row.sent_at >= killed_at]
    buckets: dict[int, list[TryRecord]] = {}
    for row in after:
        buckets.setdefault(int((row.sent_at - killed_at) / BUCKET_S), []).append(row)
    low_buckets = [
        bucket for bucket, tries in buckets.items()
        if sum(1 for row in tries if row.status == 200) < (1.0 - RATE_TOLERANCE) * warm_share * len(tries)]
    recovered_after = (max(low_buckets) + 1) * BUCKET_S if low_buckets else 0.0
    if low_buckets and max(low_buckets) == max(buckets):
        recovered_after = math.inf
    until = killed_at + (recovered_after if not math.isinf(recovered_after)
                         else max(buckets, default=0) * BUCKET_S) + BUCKET_S
    during = sorted(1000.0 * row.duration_s for row in rows if killed_at <= row.sent_at < until)
    p99 = during[min(len(during) - 1, int(0.99 * len(during)))] if during else 0.0
    end = [row for row in rows if stopped_at - 2.0 <= row.sent_at < stopped_at]
    return Report(schedulers, killed, warm_per_s, recovered_after, p99,
                  sum(1 for row in after if row.status in (429, 503)),
                  sum(1 for row in after if row.status not in (200, 429, 503)), len(after), pool.peak_running,
                  sum(1 for request_id, count in pool.executions.items()
                      if count > 1 and pool.class_by_request[request_id] in AT_MOST_ONCE),
                  sum(1 for row in end if row.status == 200) / max(1, len(end)))
