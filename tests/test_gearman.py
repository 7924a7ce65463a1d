"""Scenarios of the Gearman front end: clients and workers, text commands, at-most-once jobs."""

from __future__ import annotations

from typing import Any

import pytest

from .scenario import SETTINGS, play

FRONTS = """
[gearman]
listen = "127.0.0.1:PORT"
hold_after_start = false
[gearman.functions]
pos = "poloha"
pay = "vyuctovani"
"""
# A worker (g) that has registered both functions and sleeps.
WORKER = """
    g send 1 pos
    g send 1 pay
    g send 4
    count lists.taken 3
"""
ASSIGN = """
    g expect #6
    g send 9
    g expect #11 (?P<h>H:[^\\x00]+)\\x00
"""

SCENARIOS = {
    "a job from submit to complete, with status, data, warning": f"""{WORKER}
        g2 send 7 pos||load
        g2 expect #8 (?P<c>H:[^\\x00]+)
        {ASSIGN}
        g expect pos\\x00load
        g send 12 $h|1|4
        g2 expect #12 .*\\x001\\x004
        g2 send 15 $c
        g2 expect #20 .*\\x001\\x001\\x001\\x004
        g send 28 $h|part
        g2 expect #28 .*part
        g send 29 $h|careful
        g2 expect #29 .*careful
        g send 13 $h|result
        g2 expect #13 .*result
        g2 send 15 $c
        g2 expect #20 .*\\x000\\x000\\x000\\x000
    """,
    "high priority is grabbed first, low last": f"""{WORKER}
        g2 send 33 pos||low
        g2 expect #8
        g2 send 7 pos||normal
        g2 expect #8
        g2 send 21 pos||high
        g2 expect #8
        count calls.sent 3
        g send 9
        g expect #11 (?P<h>H:[^\\x00]+)\\x00pos\\x00high
        g send 13 $h|x
        g send 9
        g expect #11 (?P<h>H:[^\\x00]+)\\x00pos\\x00normal
        g send 13 $h|x
        g send 9
        g expect #11 (?P<h>H:[^\\x00]+)\\x00pos\\x00low
        g send 14 $h
        g send 9
        g expect #10
    """,
    "a background job sends no updates, and its status can be queried": f"""{WORKER}
        g2 send 18 pos||load
        g2 expect #8 (?P<c>H:[^\\x00]+)
        {ASSIGN}
        g2 send 15 $c
        g2 expect #20 .*\\x001\\x001
        g2 close
        g send 13 $h|x
        count requests.served 1
        count requests.client_gone 0
    """,
    "grab with unique, and with all": f"""{WORKER}
        g2 send 7 pos|u1|load
        g expect #6
        g send 30
        g expect #31 (?P<h>H:[^\\x00]+)\\x00pos\\x00u1\\x00load
        g send 13 $h|x
        g2 expect #13
        g2 send 7 pos|u2|load
        count calls.sent 2
        g send 39
        g expect #40 (?P<h>H:[^\\x00]+)\\x00pos\\x00u2\\x00\\x00load
    """,
    # Guards against running an at-most-once job twice: the worker may have run it before it disconnected.
    "a worker that drops during an at-most-once job: WORK_FAIL, sent nowhere else": f"""{WORKER}
        g2 send 7 pay|u1|bill
        g2 expect #8 (?P<c>H:[^\\x00]+)
        {ASSIGN}
        g3 send 1 pay
        g3 send 4
        g close
        g2 expect #14 H:
        count calls.sent 1
        g2 send 7 pay|u1|bill
        g2 expect #8 .*\\x00RES\\x00\\x00\\x00\\x0e.{{4}}H:
        count calls.sent 1
    """,
    "a worker that drops during a job that may be repeated: it is sent again": f"""{WORKER}
        g2 send 7 pos|u1|load
        {ASSIGN}
        g3 send 1 pos
        g3 send 4
        count lists.taken 4
        g close
        g3 expect #6
        g3 send 9
        g3 expect #11 (?P<h>H:[^\\x00]+)\\x00
        g3 send 13 $h|again
        g2 expect #13 .*again
    """,
    "a worker that drops before its grab never ran it: an at-most-once job goes elsewhere": f"""{WORKER}
        g2 send 7 pay|u1|bill
        g expect #6
        g3 send 1 pay
        g3 send 4
        count lists.taken 4
        g close
        g3 expect #6
        g3 send 9
        g3 expect #11 (?P<h>H:[^\\x00]+)\\x00
        g3 send 13 $h|paid
        g2 expect #13 .*paid
    """,
    "a resubmission joins the running job, then gets the recorded result": f"""{WORKER}
        g2 send 7 pay|u1|bill
        {ASSIGN}
        g2 close
        g3 send 7 pay|u1|bill
        g3 expect #8 H:
        count gearman.joined 1
        g send 13 $h|paid
        g3 expect #13 .*paid
        g4 send 7 pay|u1|bill
        g4 expect #8 .*paid
        count calls.sent 1
    """,
    "a client that disconnects cancels its job without a unique": f"""{WORKER}
        g2 send 7 pos||load
        g expect #6
        g2 close
        count requests.client_gone 1
        g send 9
        g expect #10
    """,
    "an HTTP job may run on a Gearman worker": f"""{WORKER}
        d expect index=41
        d send list 42 changes w=left
        d expect index=42
        c send job poloha r1 body
        {ASSIGN}
        g expect pos\\x00body
        g send 28 $h|ab
        g send 13 $h|cd
        c expect 200 .*abcd$
    """,
    "a Gearman job may run on an HTTP worker, under its rules": """
        d expect index=41
        d send list 42 changes w=active
        d expect index=42
        g2 send 7 pay|u1|bill
        w expect POST /api .*vyuctovani.*bill
        w close
        g2 expect #14
        count calls.sent 1
    """,
    "options, echo, exceptions": """
        d expect index=41
        g send 16 a|b
        g expect #17 a\\x00b
        g send 26 exceptions
        g expect #27 exceptions
        g send 26 other
        g expect #19 unknown_option
        g send 7 pos||load
        g expect #8
        g expect #25 .*refused
        g expect #14
    """,
    "garbled packets are dropped and the session continues": """
        g send 99 x
        g expect #19 unknown_command
        g send 7 pos
        g expect #19 invalid_packet
        g send 7 other||x
        g expect #19 unknown_function
        g send 13 H:none|x
        g expect #19 job_not_found
        g send 16 still
        g expect #17 still
        count garbled.packet 4
        g2 send \\0XXX\\0\\0\\0\\1\\0\\0\\0\\0
        g2 expect-close
    """,
    "an oversized packet is skipped": """
        g send 7 pos||""" + "a" * 70000 + """
        g expect #19 too_large
        g send 16 still
        g expect #17 still
    """,
    "the text commands": f"""{WORKER}
        g2 send 18 pos|u1|load
        g2 expect #8
        a send status\\n
        a expect pay\\t0\\t0\\t1\\npos\\t1\\t0\\t1\\n.\\n
        a send workers\\n
        a expect 127.0.0.1 - : pos pay\\n
        a expect \\n.\\n
        a send show jobs\\n
        a expect (?P<h>H:\\S+)\\t0\\t0\\t1\\n.\\n
        a send show unique jobs\\n
        a expect u1\\n.\\n
        a send cancel job $h\\n
        a expect OK
        a send version\\n
        a expect OK \\d
        a send maxqueue pos 1\\n
        a expect OK
        a send create function gate vyuctovani\\n
        a expect OK
        a send drop function gate\\n
        a expect OK
        a send nonsense\\n
        a expect ERR UNKNOWN_COMMAND
        a send shutdown\\n
        a expect OK
        ended
    """,
    "a full queue of a function refuses": """
        a send maxqueue pos 1\\n
        a expect OK
        d expect index=41
        d send list 42 changes w=active
        d expect index=42
        g send 18 pos||x
        g expect #8
        w expect POST
        g send 18 pos||x
        g expect #19 queue_full
    """,
    "a worker's own time-out ends a job": """
        g send 23 pos|1
        g send 4
        count lists.taken 2
        g2 send 7 pos||load
        g expect #6
        g send 9
        g expect #11
        g2 expect #14
        g expect-close
        count calls.timeout 1
    """,
    "a worker that drops a function returns its queued jobs unstarted": f"""{WORKER}
        g2 send 7 pay|u1|bill
        g expect #6
        g3 send 1 pay
        g3 send 4
        count lists.taken 4
        g send 2 pay
        g3 expect #6
    """,
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_gearman(name: str) -> None:
    play(SCENARIOS[name], fronts=FRONTS, known="")


REFUSAL_CASES: dict[str, tuple[str, dict[str, Any]]] = {
    # A scheduler that has just started may have run the job before its restart.
    "just_started": (FRONTS.replace("hold_after_start = false", ""), {}),
    # u1 of pay belongs to the other scheduler; this one has no record of whether that one ran it.
    "not_home": (FRONTS, {"settings": {**SETTINGS, "balancers": 2, "me": 1}}),
    "no_room": (FRONTS.replace("hold_after_start", "ends_most = 1\nhold_after_start"), {}),
}


@pytest.mark.parametrize("code", REFUSAL_CASES)
def test_a_never_twice_job_is_refused_where_nothing_holds(code: str) -> None:
    fronts, options = REFUSAL_CASES[code]
    first = "g2 send 7 pay|u0|bill\ng2 expect #8\n" if code == "no_room" else ""
    play(f"{WORKER}{first}\ng2 send 7 pay|u1|bill\ng2 expect #19 {code}\ng2 send 7 pos|u1|x\ng2 expect #8",
         fronts=fronts, known="", **options)
