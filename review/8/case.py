"""Case 8: background jobs that were accepted and wait in the queue when the traffic jumps."""

from __future__ import annotations

import asyncio
from pathlib import Path

import standins_2 as s

WORKERS, WORK_S = 4, 0.7  # `udalost` runs 630 to 1,200 ms on average
USUAL_PER_S = 0.55 * WORKERS / WORK_S
JUMP, JUMP_S = 2.2, 8.0  # the pages: 1.5 to 2.3 times the usual, for 2.4 to 10 s
BEFORE_S, AFTER_S = 6.0, 8.0
QUIET_S = 20.0  # the backlog is run within 10 s; a background job may wait for an hour


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
        jump = JUMP if s.TROUBLE and BEFORE_S <= at < BEFORE_S + JUMP_S else 1.0
        await asyncio.sleep(1.0 / (USUAL_PER_S * jump))
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


s.main(__file__, case)
