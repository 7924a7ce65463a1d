"""Case 7: Gearman jobs of a class that a new configuration has made one that must never run twice."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

import standins_2 as s

JOBS = 6
BREAKS = {"gearman-1", "http-0"}  # the jobs whose first connection breaks; the second is for comparison


async def case(folder: Path, record: s.Record, schedulers: list[s.Scheduler]) -> bool:
    """Whether each job that came after the new configuration ran at most once."""
    broken: set[str] = set()

    async def on_run(_worker: s.HttpWorker, _headers: dict[str, str], body: str) -> bool:
        if not s.TROUBLE or body not in BREAKS - broken:
            return True
        broken.add(body)
        return False  # the connection of its first attempt breaks after the job has run

    workers = [s.HttpWorker(f"s-{i}", record, 0.2, on_run) for i in range(3)]
    for worker in workers:
        await worker.open()
    scheduler, port = await s.start(folder, record, schedulers, [worker.entry() for worker in workers],
                                    s.settings(), ["poloha"])
    # The new configuration: the class `poloha` has another effect.
    grades = [{**s.GRADES[0], "idempotency": "at_most_once"}, *s.GRADES[1:]]
    scheduler.config["settings"] = s.settings(grades)
    scheduler.write_config()
    scheduler.signal(signal.SIGHUP)
    await asyncio.sleep(5.0)  # the pages: clients use a new class 1.2 s later
    counters = json.loads((await s.http(scheduler.listen, "GET", "/-/counters"))[1])
    record.add(f"n0: reloads.done={counters.get('reloads.done')} reloads.failed={counters.get('reloads.failed')}")
    if counters.get("reloads.done") != 1:
        raise RuntimeError("the new configuration was not taken")
    for i in range(JOBS):
        await s.submit(port, "poloha", f"gearman-{i}", record)
    # For comparison: the same over HTTP.
    status, text = await s.http(scheduler.listen, "POST", "/api", {
        "X-Request-ID": "5f3b0c9d1e7a8642", "X-Priority-Class": "poloha", "X-Timeout": "5000m"}, "http-0")
    record.add(f"client: POST poloha http-0: {status} {text}")
    runs = {name: sum(worker.runs.count(name) for worker in workers)
            for name in [*(f"gearman-{i}" for i in range(JOBS)), "http-0"]}
    record.add(f"runs: {runs}")
    return max(runs.values()) <= 1


s.main(Path(__file__).with_name("record.txt"), case)
