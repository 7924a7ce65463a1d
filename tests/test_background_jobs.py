"""Background jobs: once accepted, they stay queued until a worker runs them or their life is over."""

from __future__ import annotations

import asyncio
import struct
from collections import Counter
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gaphub.gearman.backoff import (
    MAX_IDLE_WAIT_MS,
    MAX_PAUSE_MS,
    MIN_PAUSE_MS,
    TURN_MS,
    YIELD_MS,
    BackgroundBackoff,
)
from gaphub.gearman.queues import QueuedJob, QueueLimits, Queues

from .scenario import CLASSES, Harness, play

FRONTS = """
[gearman]
listen = "127.0.0.1:PORT"
hold_after_start = false
background_s = 60.0
[gearman.functions]
pos = "poloha"
pay = "vyuctovani"
"""
WORKER = "g send 1 pos\ng send 1 pay\ng send 4\n"
ASSIGN = "g expect #11 (?P<h>H:[^\\x00]+)\\x00"
SHORT = [{**c, "slo": 100.0, "deadline": 400.0} for c in CLASSES]
GRAB_JOB, PRE_SLEEP, NO_JOB, JOB_ASSIGN, WORK_COMPLETE = 9, 4, 10, 11, 13


def packet(kind: int, *arguments: bytes) -> bytes:
    body = b"\0".join(arguments)
    return b"\0REQ" + struct.pack(">II", kind, len(body)) + body


async def work(harness: Harness, functions: list[bytes], work_s: float, ran: list[bytes]) -> None:
    """A worker that runs one job at a time, until cancelled; ``ran`` gets the workload of each."""
    address = harness.config.fronts.gearman_address()
    assert address is not None
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(b"".join(packet(1, function) for function in functions) + packet(GRAB_JOB))
        while True:
            _, kind, size = struct.unpack(">4sII", await reader.readexactly(12))
            arguments = (await reader.readexactly(size)).split(b"\0")
            if kind == NO_JOB:
                writer.write(packet(PRE_SLEEP))
                continue
            if kind == JOB_ASSIGN:
                ran.append(arguments[2])
                await asyncio.sleep(work_s)
                writer.write(packet(WORK_COMPLETE, arguments[0], b"done"))
            writer.write(packet(GRAB_JOB))
    finally:
        writer.close()


# Guards against accepted background jobs that were thrown away without an attempt when the Balancer shed them, in
# a traffic jump or a longer queue.  Foreground jobs beside them get an answer each.
@pytest.mark.parametrize(("function", "foreground", "workers"), [("pay", 0, 2), ("pos", 0, 2), ("pay", 30, 4)])
def test_every_accepted_background_job_is_run_once(function: str, foreground: int, workers: int) -> None:
    background = 60
    submits = "\n".join(f"g2 send 18 {function}|u{n}|background{n}\ng2 expect #8" for n in range(background))
    others = "\n".join(f"g3 send 7 {function}||foreground{n}\ng3 expect #8" for n in range(foreground))

    async def run() -> None:
        async with Harness(known="", fronts=FRONTS) as harness:
            ran: list[bytes] = []
            tasks = [asyncio.create_task(work(harness, [b"pos", b"pay"], 0.1, ran)) for _ in range(workers)]
            await harness.play(f"wait 100\n{submits}\n{others}")
            expected = {b"background%d" % n for n in range(background)}
            async with asyncio.timeout(60.0):
                while not expected <= set(ran):
                    await asyncio.sleep(0.05)
                while harness.counters.values["requests.taken"] > sum(
                        harness.counters.values[f"requests.{end}"]
                        for end in ("served", "refused", "failed", "taken_back")):
                    await asyncio.sleep(0.05)
            values = harness.counters.values
            assert max(Counter(ran).values()) == 1
            assert values["gearman.requeued"] > 0  # the Balancer did refuse some
            assert len(ran) + values["requests.refused"] == background + foreground
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)

    asyncio.run(run())


SCENARIOS: dict[str, tuple[str, dict[str, Any]]] = {
    # Guards against a background job that was lost because its worker did not grab it within the class's deadline.
    "a worker that grabs late still gets it": (f"""{WORKER}
        g2 send 18 pay|u1|load
        g2 expect #8
        g expect #6
        count calls.sent 2
        g send 9
        {ASSIGN}
        g send 13 $h|done
        count requests.served 1
    """, {"settings": {"grades": SHORT}}),
    # Guards against a background job that was lost because a client waited for it beyond that client's deadline.
    "a client that waits for it does not end it": (f"""
        g2 send 18 pay|u1|load
        g2 expect #8
        wait 500
        g3 send 7 pay|u1|load
        g3 expect #8
        {WORKER}
        g3 expect #14
        g expect #6
        g send 9
        {ASSIGN}
        g send 13 $h|done
        count requests.served 1
    """, {"settings": {"grades": SHORT}}),
    "an operator's cancel is final": (f"""{WORKER}
        g2 send 18 pay|u1|load
        g2 expect #8 (?P<c>H:\\S*:\\d+)
        g expect #6
        a send cancel job $c\\n
        a expect OK
        count requests.refused 1
        g send 9
        g expect #10
        count gearman.requeued 0
    """, {}),
    "its life ends": ("""
        g2 send 18 pay|u1|load
        g2 expect #8
        count gearman.background_expired 1
        a send status\\n
        a expect pay\\t0\\t0\\t0
    """, {"fronts": FRONTS.replace("60.0", "0.3")}),
    # Guards against more attempts than the settings give: two at a worker that answers 503 are all that it gets.
    "the attempts are counted over all offers": ("""
        d expect index=41
        g2 send 18 pay|u1|load
        g2 expect #8
        w expect POST .*load
        w send status 503 X-Not-Processed:1
        w expect POST .*load
        w send status 503 X-Not-Processed:1
        count requests.refused 1
        wait 1200
        w silent
    """, {"known": "w", "settings": {"limits": {"mostTries": 2, "dialTimeout": 150.0, "secondCopies": False,
                                                "connIdle": 60000.0}}}),
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_background_job(name: str) -> None:
    text, more = SCENARIOS[name]
    play(text, **{"known": "", "fronts": FRONTS, **more})


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2), st.booleans()), min_size=1, max_size=40),
       st.data())
def test_jobs_that_are_put_back_come_out_once_and_first(jobs: list[tuple[int, int, bool]],
                                                        data: st.DataObject) -> None:
    queues, expected = Queues(QueueLimits(jobs=len(jobs))), list(range(len(jobs)))
    for number, (client, priority, background) in enumerate(jobs):
        queues.put(number, 0, b"f", client, priority, 1, float(number), 1e9, background)
    done: list[int] = []
    again: set[int] = set()
    while (job := queues.dequeue(0)) is not None:
        if job.item not in again and data.draw(st.booleans()):
            again.add(job.item)
            put_back = queues.put_back(job, 1e9)
            assert (put_back.queued_at, put_back.background) == (job.queued_at, True)
            next_job = queues.dequeue(0)
            assert isinstance(next_job, QueuedJob)
            assert (next_job.item == job.item or next_job.priority < job.priority
                    or next_job.queued_at < job.queued_at)
            done.append(next_job.item)
        else:
            done.append(job.item)
    assert sorted(done) == expected
    assert (queues.count, queues.bytes, queues.functions()) == (0, 0, [])


@given(st.lists(st.tuples(st.booleans(), st.booleans(), st.integers(0, 3)), max_size=30))
def test_background_jobs_wait_alone_and_keep_their_order(jobs: list[tuple[bool, bool, int]]) -> None:
    queues = Queues(QueueLimits())
    for number, (background, joined, priority) in enumerate(jobs):
        queued = queues.put(number, 0, b"f", 1, 2, 1, float(number), 1e9, background)
        assert isinstance(queued, QueuedJob)
        if joined:
            queues.upgrade(queued, priority, 1e9, foreground=True)
    held = {n for n, (background, joined, _) in enumerate(jobs) if background and not joined}
    first: list[int] = []
    while (job := queues.dequeue(0, background=False)) is not None:
        first.append(job.item)
    assert sorted(first) == sorted(set(range(len(jobs))) - held)
    rest = []
    while (job := queues.dequeue(0)) is not None:
        rest.append(job.item)
    assert rest == sorted(held)


@given(st.lists(st.tuples(st.sampled_from(["refuse", "end", "wait"]), st.floats(0.0, 1.0)), max_size=60))
def test_the_backoff_offers_again_within_its_longest_pause_and_recovers(steps: list[tuple[str, float]]) -> None:
    backoff, now = BackgroundBackoff(), 0.0
    for step, share in steps:
        if step == "wait":
            now += share * MAX_PAUSE_MS
        elif step == "end":
            backoff.record_end(0)
            assert backoff.allowance(0, now, 1000, 1000) >= 1
        elif backoff.allowance(0, now, 1000, 1000):
            backoff.record_offer(0, now)
            backoff.record_refusal(0, now, share)
            assert backoff.allowance(0, now + 0.4 * MIN_PAUSE_MS, 1000, 1000) == 0
        assert backoff.next_release(now) == float("inf") or backoff.next_release(now) <= now + 1.5 * MAX_PAUSE_MS
    now += 1.5 * MAX_PAUSE_MS
    for _ in range(20):  # no refusal any more: the window doubles until there is no limit
        for _ in range(backoff.allowance(0, now, 1000, 1000)):
            backoff.record_offer(0, now)
        now += MIN_PAUSE_MS
    assert backoff.allowance(0, now, 1000, 1000) == 1000


# Guards against background jobs that take each free place while clients' requests are refused, and against the
# opposite: background jobs that are never offered while requests are refused without end and no worker is idle.
@given(st.lists(st.floats(0.0, 50.0), min_size=200, max_size=200))
def test_background_jobs_stand_back_after_a_refusal_and_have_their_turn(gaps_ms: list[float]) -> None:
    backoff, now, offered_at = BackgroundBackoff(), 1000.0, [1000.0]
    backoff.yield_to_foreground(now)
    backoff.record_offer(0, now)
    assert backoff.allowance(0, now + YIELD_MS - 1.0, 9, 9) == 0
    assert backoff.allowance(0, now + YIELD_MS, 9, 0) == 0 < backoff.allowance(0, now + YIELD_MS, 9, 9)
    for gap in gaps_ms:
        now += gap
        if backoff.allowance(0, now, 9, 0):
            backoff.record_offer(0, now)
            offered_at.append(now)
        backoff.yield_to_foreground(now)
    longest = max(b - a for a, b in zip(offered_at, [*offered_at[1:], now], strict=True))
    assert longest <= MAX_IDLE_WAIT_MS + YIELD_MS + TURN_MS + 2 * max(gaps_ms)
