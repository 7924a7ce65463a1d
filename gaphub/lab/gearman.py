"""Owns the load on the Gearman front: jobs a second, latency, the daemon's CPU, and what waiting jobs cost.

The daemon is a process of its own; clients and workers speak raw packets from this one.  It must count every job:
one that is lost spoils the run.
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
from .world import Agent

BODY = b"x" * 100
READY_S = 15.0
TICKS = os.sysconf("SC_CLK_TCK")


async def read_packet(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """The next packet's type and body."""
    _, kind, size = codec.HEADER.unpack(await reader.readexactly(codec.HEADER.size))
    return kind, await reader.readexactly(size)


def pack_request(kind: int, *arguments: bytes) -> bytes:
    """A packet of a client or a worker."""
    return codec.pack(kind, *arguments, magic=codec.REQUEST)


class Daemon:
    """One daemon with the Gearman front on."""

    def __init__(self, port: int, gearman_port: int, tree: Path) -> None:
        self.tree = tree  # the checkout that it runs from
        self.port = port
        self.to = ("127.0.0.1", gearman_port)
        self.agent = Agent([])
        self._folder = tempfile.TemporaryDirectory(prefix="gaphub-lab-")
        self.process: subprocess.Popen[bytes] | None = None

    async def open(self) -> None:
        """Start it and wait until it listens."""
        await self.agent.open()
        folder = Path(self._folder.name)
        (folder / "fronts.toml").write_text(
            f'[gearman]\nlisten = "127.0.0.1:{self.to[1]}"\n'
            '[gearman.functions]\nwork = "poloha"\nnobody = "poloha"\n')
        (folder / "config.json").write_text(json.dumps({
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": "1", "limits": {"sockets": 4096},
            "discovery": "{}:{}".format(*self.agent.address),
            "settings": {**SETTINGS, "me": 0, "balancers": 1}}))
        env = {**os.environ, "LB_CONFIG": str(folder / "config.json"), "LB_FRONTS": str(folder / "fronts.toml"),
               "PYTHONPATH": str(self.tree)}
        for name in ("LB_LISTEN", "LB_DISCOVERY", "LB_NAME"):
            env.pop(name, None)
        self.process = subprocess.Popen([sys.executable, "-m", "gaphub"], env=env, cwd=self.tree,
                                        stderr=subprocess.DEVNULL)
        began = time.monotonic()
        while True:
            with suppress(OSError):
                _, writer = await asyncio.open_connection(*self.to)
                writer.close()
                return
            if time.monotonic() - began > READY_S:
                raise TimeoutError("the daemon did not start")
            await asyncio.sleep(0.02)

    def close(self) -> None:
        """End it."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        self.agent.close()
        self._folder.cleanup()

    def cpu_s(self) -> float:
        """CPU that the daemon has used."""
        assert self.process is not None
        words = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(words[11]) + int(words[12])) / TICKS

    def resident_kb(self) -> int:
        """Its memory."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition("VmRSS:")[2].split()[0])


@dataclass
class Load:
    """What one run of clients and workers saw."""

    clients: int
    jobs: int = 0
    failed: int = 0
    wakes: int = 0
    seconds: float = 0.0
    cpu_s: float = 0.0
    latency_us: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 600_000_000, 3))

    def line(self) -> str:
        """The figures in words."""
        p = [self.latency_us.get_value_at_percentile(q) / 1000.0 for q in (50, 99, 99.9)]
        return (f"{self.clients} clients: {self.jobs / self.seconds:.0f} jobs/s, {self.failed} failed, daemon CPU "
                f"{self.cpu_s / self.jobs * 1e6:.0f} us a job, ms p50 {p[0]:.1f} p99 {p[1]:.1f} p99.9 {p[2]:.1f}, "
                f"{self.wakes / self.jobs:.2f} wake-ups a job")


async def _worker(daemon: Daemon, load: Load) -> None:
    reader, writer = await asyncio.open_connection(*daemon.to)
    writer.write(pack_request(codec.CAN_DO, b"work") + pack_request(codec.GRAB_JOB))
    while True:
        kind, body = await read_packet(reader)
        if kind == codec.JOB_ASSIGN:
            handle = body.partition(b"\0")[0]
            writer.write(pack_request(codec.WORK_COMPLETE, handle, b"done") + pack_request(codec.GRAB_JOB))
        elif kind == codec.NO_JOB:
            writer.write(pack_request(codec.PRE_SLEEP))
        elif kind == codec.NOOP:
            load.wakes += 1
            writer.write(pack_request(codec.GRAB_JOB))


async def _client(daemon: Daemon, load: Load, jobs: int) -> None:
    reader, writer = await asyncio.open_connection(*daemon.to)
    try:
        for _ in range(jobs):
            began = time.perf_counter()
            writer.write(pack_request(codec.SUBMIT_JOB, b"work", b"", BODY))
            kind = 0
            while kind not in (codec.WORK_COMPLETE, codec.WORK_FAIL, codec.ERROR):
                kind, _ = await read_packet(reader)
            load.latency_us.record_value(max(1, int((time.perf_counter() - began) * 1e6)))
            load.jobs += 1
            load.failed += kind != codec.WORK_COMPLETE
    finally:
        writer.close()


async def throughput(daemon: Daemon, clients: int, jobs: int, workers: int) -> Load:
    """So many clients, each with one job at a time, on so many workers that do nothing."""
    load = Load(clients)
    crew = [asyncio.ensure_future(_worker(daemon, load)) for _ in range(workers)]
    await asyncio.sleep(0.3)
    began, cpu = time.perf_counter(), daemon.cpu_s()
    await asyncio.gather(*(_client(daemon, load, jobs // clients) for _ in range(clients)))
    load.seconds, load.cpu_s = time.perf_counter() - began, daemon.cpu_s() - cpu
    for task in crew:
        task.cancel()
    await asyncio.gather(*crew, return_exceptions=True)
    return load


async def waiting(daemon: Daemon, marks: list[int]) -> list[tuple[int, float, float]]:
    """Background jobs that nobody serves: at each mark, jobs, us a submit since the last, and bytes a job."""
    reader, writer = await asyncio.open_connection(*daemon.to)
    found: list[tuple[int, float, float]] = []
    at, empty = 0, daemon.resident_kb()
    packet = pack_request(codec.SUBMIT_JOB_BG, b"nobody", b"", BODY)
    for mark in marks:
        began = time.perf_counter()
        while at < mark:
            batch = min(200, mark - at)
            writer.write(packet * batch)
            for _ in range(batch):
                kind, body = await read_packet(reader)
                if kind != codec.JOB_CREATED:
                    raise RuntimeError(f"job {at} was refused: {body!r}")
            at += batch
        took = time.perf_counter() - began
        last = found[-1][0] if found else 0
        found.append((mark, took / (mark - last) * 1e6, (daemon.resident_kb() - empty) * 1024.0 / mark))
    writer.close()
    return found
