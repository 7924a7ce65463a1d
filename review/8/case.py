"""Case 8: background jobs that were accepted and wait in the queue when the traffic jumps."""

from __future__ import annotations

import asyncio
from pathlib import Path

import standins_2 as s

WORKERS, WORK_S = 4, 0.7  # `udalost` runs 630 to 1,200 ms on average
USUAL_PER_S = 0.55 * WORKERS / WORK_S  # the site's load on days with a trouble: 0.51 to 0.71
JUMP = 2.2  # the site: 1.5 to 2.3 times the usual
JUMP_S, RISE_S = 9.0, 1.0  # the site: 2.4 to 10 s, here with its rise and fall, of 0.48 to 1.7 s each
BEFORE_S, AFTER_S = 6.0, 8.0
QUIET_S = 20.0  # the backlog is run within 10 s; a background job may wait for an hour


def rate(at: float) -> float:
    """How many times the usual rate there is, so many seconds after the start."""
    since = at - BEFORE_S
    ramp = min(since, JUMP_S - since) / RISE_S
    return 1.0 + (JUMP - 1.0) * max(0.0, min(1.0, ramp)) if s.TROUBLE else 1.0


async def case(folder: Path, record: s.Record, schedulers: list[s.Scheduler]) -> bool:
    """Whether each accepted job was run."""
    _, port = await s.start(folder, record, schedulers, [], s.settings(), ["udalost"])
    workers = [s.GearmanWorker(f"worker-{i}", [b"udalost"], record, WORK_S) for i in range(WORKERS)]
    tasks = [asyncio.create_task(worker.run(port)) for worker in workers]
    await asyncio.sleep(1.0)
    client = s.Gearman()
    await client.open(port)
    accepted: list[str] = []
    began, sent = record.now(), 0
    while (at := record.now() - began) < BEFORE_S + JUMP_S + AFTER_S:
        body = f"prujezd-{sent}"
        sent += 1
        client.send(s.SUBMIT_JOB_BG, b"udalost", body.encode(), body.encode())
        kind, arguments = await client.receive()
        record.add(f"client: SUBMIT_JOB_BG udalost {body}: {s.NAMES.get(kind, kind)} "
                   f"{b' '.join(arguments).decode()}")
        if kind == s.JOB_CREATED:
            accepted.append(body)
        await asyncio.sleep(1.0 / (USUAL_PER_S * rate(at)))
    await asyncio.sleep(QUIET_S)
    record.add(f"operator: status: {(await client.command('status'))!r}")
    for task in tasks:
        task.cancel()
    ran = [body for worker in workers for _, body in worker.assigned]
    lost = [body for body in accepted if body not in ran]
    record.add(f"sent {sent}, accepted {len(accepted)}, run {len(set(ran))}, run twice "
               f"{len(ran) - len(set(ran))}")
    record.add(f"accepted and never run: {len(lost)}: {' '.join(lost)}")
    return not lost


s.main(Path(__file__).with_name("record.txt"), case)
