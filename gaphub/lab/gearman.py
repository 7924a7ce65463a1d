"""Load test of the Gearman front: throughput, latency, the scheduler's CPU time, and the cost of queued jobs.

The scheduler runs in a process of its own; clients and workers send raw packets from this one.  Every job counts:
each client waits for the answer to its job, so a lost one never goes unnoticed.
"""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from hdrh.histogram import HdrHistogram

from ..gearman import codec
from .site import SETTINGS
from .stand_ins import Agent

JOB_BODY = b"x" * 100
READY_S = 15.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


async def read_packet(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Read the next packet; returns its type and body."""
    _, packet_type, size = codec.HEADER.unpack(await reader.readexactly(codec.HEADER.size))
    return packet_type, await reader.readexactly(size)


def pack_request(packet_type: int, *arguments: bytes) -> bytes:
    """Encode a packet as a client or worker sends it."""
    return codec.pack(packet_type, *arguments, magic=codec.REQUEST)


class Daemon:
    """One scheduler process with the Gearman front enabled."""

    def __init__(self, port: int, gearman_port: int, checkout: Path) -> None:
        self.checkout = checkout  # the source tree that it runs from
        self.port = port
        self.gearman_address = ("127.0.0.1", gearman_port)
        self.agent = Agent([])
        self._folder = tempfile.TemporaryDirectory(prefix="gaphub-lab-")
        self.process: subprocess.Popen[bytes] | None = None

    async def open(self) -> None:
        """Start the process and wait until its Gearman front accepts connections."""
        await self.agent.open()
        folder = Path(self._folder.name)
        (folder / "fronts.toml").write_text(
            f'[gearman]\nlisten = "127.0.0.1:{self.gearman_address[1]}"\n'
            '[gearman.functions]\nwork = "poloha"\nnobody = "poloha"\n')
        (folder / "config.json").write_text(json.dumps({
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": "1", "limits": {"sockets": 4096},
            "discovery": "{}:{}".format(*self.agent.address),
            "settings": {**SETTINGS, "me": 0, "balancers": 1}}))
        env = {**os.environ, "LB_CONFIG": str(folder / "config.json"), "LB_FRONTS": str(folder / "fronts.toml"),
               "PYTHONPATH": str(self.checkout)}
        for name in ("LB_LISTEN", "LB_DISCOVERY", "LB_NAME"):
            env.pop(name, None)
        self.process = subprocess.Popen([sys.executable, "-m", "gaphub"], env=env, cwd=self.checkout,
                                        stderr=subprocess.DEVNULL)
        started_at = time.monotonic()
        while True:
            with suppress(OSError):
                _, writer = await asyncio.open_connection(*self.gearman_address)
                writer.close()
                return
            if time.monotonic() - started_at > READY_S:
                raise TimeoutError("the Gearman front did not accept connections in time")
            await asyncio.sleep(0.02)

    def close(self) -> None:
        """Kill the process and delete its folder."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        self.agent.close()
        self._folder.cleanup()

    def cpu_s(self) -> float:
        """CPU time that the process has used."""
        assert self.process is not None
        stat_fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(stat_fields[11]) + int(stat_fields[12])) / CLOCK_TICKS_PER_S

    def resident_kb(self) -> int:
        """Resident memory of the process."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition("VmRSS:")[2].split()[0])


@dataclass
class LoadResult:
    """Result of one run of clients and workers."""

    clients: int
    jobs: int = 0
    failed: int = 0
    wake_ups: int = 0
    seconds: float = 0.0
    cpu_s: float = 0.0
    latency_us: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 600_000_000, 3))

    def line(self) -> str:
        """The result in one line."""
        quantiles_ms = [self.latency_us.get_value_at_percentile(q) / 1000.0 for q in (50, 99, 99.9)]
        return (f"{self.clients} clients: {self.jobs / self.seconds:.0f} jobs/s, {self.failed} failed, daemon CPU "
                f"{self.cpu_s / self.jobs * 1e6:.0f} us a job, ms p50 {quantiles_ms[0]:.1f} "
                f"p99 {quantiles_ms[1]:.1f} p99.9 {quantiles_ms[2]:.1f}, "
                f"{self.wake_ups / self.jobs:.2f} wake-ups a job")


async def _worker(daemon: Daemon, result: LoadResult) -> None:
    reader, writer = await asyncio.open_connection(*daemon.gearman_address)
    writer.write(pack_request(codec.CAN_DO, b"work") + pack_request(codec.GRAB_JOB))
    while True:
        packet_type, body = await read_packet(reader)
        if packet_type == codec.JOB_ASSIGN:
            handle = body.partition(b"\0")[0]
            writer.write(pack_request(codec.WORK_COMPLETE, handle, b"done") + pack_request(codec.GRAB_JOB))
        elif packet_type == codec.NO_JOB:
            writer.write(pack_request(codec.PRE_SLEEP))
        elif packet_type == codec.NOOP:
            result.wake_ups += 1
            writer.write(pack_request(codec.GRAB_JOB))


async def _client(daemon: Daemon, result: LoadResult, jobs: int) -> None:
    reader, writer = await asyncio.open_connection(*daemon.gearman_address)
    try:
        for _ in range(jobs):
            started_at = time.perf_counter()
            writer.write(pack_request(codec.SUBMIT_JOB, b"work", b"", JOB_BODY))
            packet_type = 0
            while packet_type not in (codec.WORK_COMPLETE, codec.WORK_FAIL, codec.ERROR):
                packet_type, _ = await read_packet(reader)
            result.latency_us.record_value(max(1, int((time.perf_counter() - started_at) * 1e6)))
            result.jobs += 1
            result.failed += packet_type != codec.WORK_COMPLETE
    finally:
        writer.close()


async def throughput(daemon: Daemon, clients: int, jobs: int, workers: int) -> LoadResult:
    """Run clients with one job each at a time against workers that answer at once."""
    result = LoadResult(clients)
    worker_tasks = [asyncio.ensure_future(_worker(daemon, result)) for _ in range(workers)]
    await asyncio.sleep(0.3)
    started_at, cpu = time.perf_counter(), daemon.cpu_s()
    await asyncio.gather(*(_client(daemon, result, jobs // clients) for _ in range(clients)))
    result.seconds, result.cpu_s = time.perf_counter() - started_at, daemon.cpu_s() - cpu
    for task in worker_tasks:
        task.cancel()
    await asyncio.gather(*worker_tasks, return_exceptions=True)
    return result


async def measure_queue(daemon: Daemon, marks: list[int]) -> list[tuple[int, float, float]]:
    """Queue background jobs without a worker.

    Returns, at each mark: its number of jobs, us a submission since the last mark, and bytes of memory a job.
    """
    reader, writer = await asyncio.open_connection(*daemon.gearman_address)
    found: list[tuple[int, float, float]] = []
    submitted, initial_kb = 0, daemon.resident_kb()
    packet = pack_request(codec.SUBMIT_JOB_BG, b"nobody", b"", JOB_BODY)
    for mark in marks:
        started_at = time.perf_counter()
        while submitted < mark:
            batch = min(200, mark - submitted)
            writer.write(packet * batch)
            for _ in range(batch):
                packet_type, body = await read_packet(reader)
                if packet_type != codec.JOB_CREATED:
                    raise RuntimeError(f"job {submitted} was not accepted: {body!r}")
            submitted += batch
        took = time.perf_counter() - started_at
        last_mark = found[-1][0] if found else 0
        found.append((mark, took / (mark - last_mark) * 1e6, (daemon.resident_kb() - initial_kb) * 1024.0 / mark))
    writer.close()
    return found
