"""Reloads while Gearman clients and workers are connected: which class rules hold for which jobs."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from gaphub.core import Core
from gaphub.interface import ClassSettings, Effect
from gaphub.ops.class_table import ClassTable, updated_table

from .fake import World
from .scenario import CLASSES, Harness

FRONTS = """
[gearman]
listen = "127.0.0.1:PORT"
hold_after_start = false
[gearman.functions]
pos = "poloha"
pay = "vyuctovani"
"""
WORKER = "g send 1 pos\ng send 1 pay\ng send 4\n"
GRAB = "{0} expect #6\n{0} send 9\n{0} expect #11 (?P<h>H:[^\\x00]+)\\x00{1}\\x00{2}\n"
NEVER_TWICE = {**CLASSES[0], "idempotency": "at_most_once"}
REPEATABLE = {**CLASSES[1], "idempotency": "idempotent"}


async def reload(harness: Harness, grades: list[dict[str, Any]]) -> None:
    """Reload with these classes, and wait until they are in force."""
    file = json.loads(harness.file)
    file["settings"]["grades"] = grades
    harness.file = json.dumps(file).encode()
    done = harness.counters.values["reloads.done"]
    await harness.play(f"reload d\ncount reloads.done {done + 1}")


def play_reload(before: str, grades: list[dict[str, Any]], after: str, known: str = "",
                fronts: str = FRONTS) -> None:
    """A scenario with a reload in the middle."""
    async def run() -> None:
        async with Harness(known=known, fronts=fronts) as harness:
            await harness.play(before)
            await reload(harness, grades)
            await harness.play(after)

    asyncio.run(run())


# Guards against Gearman jobs that kept a class's old rules after SIGHUP made it at_most_once, and ran twice.
@pytest.mark.parametrize("wire", ["gearman", "http"])
def test_a_gearman_job_after_a_reload_has_the_new_rules(wire: str) -> None:
    if wire == "gearman":  # the worker was connected before the reload
        play_reload(f"{WORKER}count lists.taken 3", [NEVER_TWICE, CLASSES[1]], f"""
            g2 send 7 pos|u1|load
            {GRAB.format("g", "pos", "load")}
            g3 send 1 pos
            g3 send 4
            g3 send 16 listed
            g3 expect #17
            wait 50
            g close
            g2 expect #14
            count calls.sent 1
            g2 send 7 pos|u1|load
            g2 expect #8
            g2 expect #14
            count calls.sent 1
        """)
    else:
        play_reload("", [NEVER_TWICE, CLASSES[1]], """
            d expect index=41
            d send list 42 changes w=active
            d expect index=42
            g2 send 7 pos|u1|load
            w expect POST /api .*poloha.*load
            d send list 43 changes x=active
            d expect index=43
            w close
            g2 expect #14
            count calls.sent 1
        """, known="w")


# Guards against workers that after a reload were listed for the former rules alone, so that HTTP jobs found none.
def test_an_http_job_after_a_reload_runs_on_a_gearman_worker_that_was_connected_before() -> None:
    play_reload(f"{WORKER}count lists.taken 3", [NEVER_TWICE, CLASSES[1]], f"""
        d expect index=41
        d send list 42 full
        c send job poloha r1 body
        {GRAB.format("g", "pos", "body")}
        g send 13 $h|done
        c expect 200 .*done$
    """)


# Guards against a job that waited over a reload and got other rules, or no worker, or no value.
@pytest.mark.parametrize(("function", "grades", "attempts"), [
    ("pos", [NEVER_TWICE, CLASSES[1]], 2), ("pay", [CLASSES[0], REPEATABLE], 1), ("pos", [CLASSES[1]], 2)])
def test_a_job_that_waits_over_a_reload_keeps_its_rules(function: str, grades: list[dict[str, Any]],
                                                        attempts: int) -> None:
    again = (GRAB.format("g3", function, "load") + "g3 send 13 $h|again\ng2 expect #13 .*again" if attempts == 2
             else "g2 expect #14")
    # "pos" is only in the store, as a file that drops a class which FRONTS names is faulty.
    play_reload(f"""
        a send create function pos poloha\\n
        a expect OK
        g2 send 7 {function}|u1|load
        g2 expect #8
    """, grades, f"""
        # Past the latency target, when a job without any value would be refused.
        wait 700
        {WORKER}
        {GRAB.format("g", function, "load")}
        g3 send 1 pos
        g3 send 1 pay
        g3 send 4
        count lists.taken 5
        g close
        {again}
        count calls.sent {attempts}
    """, fronts=FRONTS.replace('pos = "poloha"', ""))


# Guards against a ``create function`` that knew only the classes of the start, and workers that were connected
# before it and never listed for the new function.
def test_a_function_of_a_class_that_a_reload_added_runs_on_a_connected_worker() -> None:
    added = {**CLASSES[1], "name": "dobropis"}
    play_reload("g send 1 credit\ng send 4\ng send 16 x\ng expect #17", [*CLASSES, added], f"""
        a send create function credit dobropis\\n
        a expect OK
        g2 send 7 credit|u1|load
        g2 expect #8
        {GRAB.format("g", "credit", "load")}
        g close
        g2 expect #14
    """)


# Guards against a class table in which, with Gearman on, every reload added a row that no later one took over.
def test_rows_are_reused_once_no_gearman_job_has_them(cores: list[Core]) -> None:
    async def run() -> None:
        async with Harness(known="", fronts=FRONTS) as harness:
            await harness.play("g2 send 7 pos|u0|load\ng2 expect #8")
            for round_number in range(1, 9):
                await reload(harness, [{**CLASSES[0], "slo": 500.0 + round_number}, CLASSES[1]])
                await harness.play(f"g2 send 7 pos|u{round_number}|load\ng2 expect #8")
            assert len(cores[0].class_names) == 10
            await harness.play("g2 close\ncount gearman.client_gone 9")
            for round_number in range(20):
                await reload(harness, [{**CLASSES[0], "slo": 600.0 + round_number}, CLASSES[1]])
            assert len(cores[0].class_names) == 10

    asyncio.run(run())


# Guards against a reload that took the value of jobs accepted before, which were then shed first.
@pytest.mark.parametrize("worth", [1.0, 10.0])
def test_a_job_accepted_before_a_reload_keeps_its_value(worth: float) -> None:
    old, new = (ClassSettings(500.0, 5000.0, worth, 0.3, effect) for effect in (Effect.SAFE, Effect.UNSAFE))
    table, _ = updated_table(ClassTable((old,), ("p",), {"p": 0}), [new], ["p"], {0})
    assert table.rows[0].retired and not table.rows[1].retired
    assert (table.rows[0].worth, table.rows[0].late_worth) == (worth, 0.3)
    world = World(classes=table.rows)
    job = world.balancer.jobs[world.request(0)]
    assert world.balancer._relative_value(job) == 1.0
    job = world.balancer.jobs[world.request(1)]
    assert world.balancer._class_values(job)[0] == 0.0  # a retired class does not count for others
