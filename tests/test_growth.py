"""What one scheduler needs with sixteen times the workers, at the same traffic: the limits of the standing test.

Of a real process, while a fifth of the workers begins to drain.
"""

from __future__ import annotations

import asyncio
import random
import re
from dataclasses import dataclass
from pathlib import Path

import pytest

from gaphub.lab.world import Workers

from .discovery import Discovery
from .processes import Process, counters, job, running
from .scenario import SETTINGS, free_port

FEW, MANY = 200, 3_200
THOUSANDS = MANY / 1e3
DESCRIPTORS = 1_024  # a scheduler's limit
PLAY_S = 12.0
PAUSE_S = 0.04  # between two requests
DRAIN_STEPS = 40
WATCH_S = 0.05

pytestmark = pytest.mark.usefixtures("own_descriptors")


@dataclass
class Need:
    """What a scheduler needed in a play."""

    processor_s: float = 0.0
    memory_mb: float = 0.0
    descriptors: int = 0
    connections: int = 0
    served: int = 0


async def drain(discovery: Discovery, workers: Workers, number: int) -> None:
    order = random.Random(3).sample(range(number), number // 5)
    at_once = len(order) // DRAIN_STEPS
    for first in range(0, len(order), at_once):
        for i in order[first:first + at_once]:
            discovery.put(f"w{i}", workers.addresses[i][1], "leaving")
        await asyncio.sleep(0.5 * PLAY_S / DRAIN_STEPS)


async def play(number: int, folder: Path) -> Need:
    workers, discovery, need = Workers({"poloha": 60.0}), Discovery(), Need()
    await workers.open(number)
    for i, (_, port) in enumerate(workers.addresses):
        discovery.put(f"w{i}", port)
    await discovery.listen()
    one = Process(folder, free_port(), discovery, f"one-{number}", settings={**SETTINGS, "familyInfo": {}},
                  limits={"memory_mb": 192, "sockets": DESCRIPTORS})

    async def watch() -> None:
        while True:
            need.descriptors = max(need.descriptors, one.open_descriptors())
            await asyncio.sleep(WATCH_S)

    with running([one]):
        await one.ready()
        used_s = one.processor_s()
        beside = [asyncio.create_task(watch()), asyncio.create_task(drain(discovery, workers, number))]
        jobs = []
        for i in range(int(PLAY_S / PAUSE_S)):
            jobs.append(asyncio.create_task(job(one.listen, f"j{i}", "poloha")))
            await asyncio.sleep(PAUSE_S)
        need.served = (await asyncio.gather(*jobs)).count(200)
        need.processor_s = one.processor_s() - used_s
        for task in beside:
            task.cancel()
        await asyncio.gather(*beside, return_exceptions=True)
        status = Path(f"/proc/{one.process.pid}/status").read_text()
        need.memory_mb = int(status.partition("VmHWM:")[2].split()[0]) / 1e3
        found = re.search(r'"connections.outbound":(\d+)', await counters(one.listen))
        need.connections = int(found[1]) if found else 0
    await discovery.refuse()
    workers.close()
    return need


def test_what_a_scheduler_needs_grows_only_so_far_with_sixteen_times_the_workers(tmp_path: Path) -> None:
    few, many = asyncio.run(play(FEW, tmp_path)), asyncio.run(play(MANY, tmp_path))
    print(few, many, sep="\n")
    assert few.connections > 0
    assert many.served >= 0.85 * few.served > 0
    assert many.processor_s <= 1.4 * few.processor_s + 0.02 + 0.12 * THOUSANDS
    assert many.memory_mb <= 1.5 * few.memory_mb + 8.0 + 4.0 * THOUSANDS
    assert many.descriptors <= 2 * few.descriptors + 40
    assert many.connections <= 2.5 * few.connections + 40
