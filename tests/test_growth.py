"""Resource usage of one scheduler with sixteen times the workers at the same traffic, within the standing limits.

It is measured on a real process while a fifth of the workers begin to drain.
"""

from __future__ import annotations

import asyncio
import random
import re
from dataclasses import dataclass
from pathlib import Path

import pytest

from gaphub.lab.stand_ins import Workers

from .discovery import Discovery
from .processes import Process, counters, job, running
from .scenario import SETTINGS, free_port

FEW_WORKERS, MANY_WORKERS = 200, 3_200
THOUSANDS = MANY_WORKERS / 1e3
DESCRIPTORS = 1_024  # the scheduler's limit
RUN_S = 12.0
REQUEST_INTERVAL_S = 0.04  # between two requests
DRAIN_STEPS = 40
SAMPLE_S = 0.05

pytestmark = pytest.mark.usefixtures("own_descriptors")


@dataclass
class Usage:
    """Resources that a scheduler used in one run."""

    processor_s: float = 0.0
    memory_mb: float = 0.0
    descriptors: int = 0
    connections: int = 0
    served: int = 0


async def drain(discovery: Discovery, workers: Workers, worker_count: int) -> None:
    draining = random.Random(3).sample(range(worker_count), worker_count // 5)
    step_size = len(draining) // DRAIN_STEPS
    for start in range(0, len(draining), step_size):
        for i in draining[start:start + step_size]:
            discovery.put(f"w{i}", workers.addresses[i][1], "leaving")
        await asyncio.sleep(0.5 * RUN_S / DRAIN_STEPS)


async def measure(worker_count: int, folder: Path) -> Usage:
    workers, discovery, usage = Workers({"poloha": 60.0}), Discovery(), Usage()
    await workers.open(worker_count)
    for i, (_, port) in enumerate(workers.addresses):
        discovery.put(f"w{i}", port)
    await discovery.listen()
    scheduler = Process(folder, free_port(), discovery, f"one-{worker_count}",
                        settings={**SETTINGS, "familyInfo": {}}, limits={"memory_mb": 192, "sockets": DESCRIPTORS})

    async def watch_descriptors() -> None:
        while True:
            usage.descriptors = max(usage.descriptors, scheduler.open_descriptors())
            await asyncio.sleep(SAMPLE_S)

    with running([scheduler]):
        await scheduler.ready()
        used_s = scheduler.cpu_s()
        background = [asyncio.create_task(watch_descriptors()),
                      asyncio.create_task(drain(discovery, workers, worker_count))]
        jobs = []
        for i in range(int(RUN_S / REQUEST_INTERVAL_S)):
            jobs.append(asyncio.create_task(job(scheduler.listen, f"j{i}", "poloha")))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        usage.served = (await asyncio.gather(*jobs)).count(200)
        usage.processor_s = scheduler.cpu_s() - used_s
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        status = Path(f"/proc/{scheduler.process.pid}/status").read_text()
        usage.memory_mb = int(status.partition("VmHWM:")[2].split()[0]) / 1e3
        found = re.search(r'"connections.outbound":(\d+)', await counters(scheduler.listen))
        usage.connections = int(found[1]) if found else 0
    await discovery.refuse()
    workers.close()
    return usage


def test_what_a_scheduler_needs_grows_only_so_far_with_sixteen_times_the_workers(tmp_path: Path) -> None:
    with_few, with_many = asyncio.run(measure(FEW_WORKERS, tmp_path)), asyncio.run(measure(MANY_WORKERS, tmp_path))
    print(with_few, with_many, sep="\n")
    assert with_few.connections > 0
    assert with_many.served >= 0.85 * with_few.served > 0
    assert with_many.processor_s <= 1.4 * with_few.processor_s + 0.02 + 0.12 * THOUSANDS
    assert with_many.memory_mb <= 1.5 * with_few.memory_mb + 8.0 + 4.0 * THOUSANDS
    assert with_many.descriptors <= 2 * with_few.descriptors + 40
    assert with_many.connections <= 2.5 * with_few.connections + 40
