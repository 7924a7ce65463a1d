"""Scenarios of the HTTP front and of discovery: inbound requests, outbound calls, worker lists, shutdown."""

from __future__ import annotations

from typing import Any

import pytest

from gaphub import logic
from gaphub.net import http

from .scenario import SETTINGS, play

SERVED = {
    "a job is passed on unchanged and its result comes back": """
        c send job poloha r1 body1 Cookie:key=7f
        w expect POST /api\\?q=1 .*r1.*poloha.*body1
        w send lines r1 started done=hello .
        c expect 200 .*Content-Length: 5.*hello
    """,
    # Workers recognize a repeat by a header of the client, so that header must reach them.
    "headers are passed on as they came, but for those of one hop and our own": """
        c send job poloha r1 body1 Idempotency-Key:5f0e X-Retried:1 TE:gzip Connection:x-hop X-Hop:7 X-Timeout:900m
        w expect (?P<head>POST .*body1)
        w same $head Idempotency-Key: 5f0e
        w same $head X-Retried: 1
        w lacks $head x-hop|gzip|900m
        w send lines r1 started done=ok .
        c expect 200 .*ok
    """,
    "connections are used again on both sides": """
        c send job poloha r1
        w expect r1
        w send lines r1 done=a .
        c expect 200 .*a$
        c send job poloha r2
        w expect r2
        w send lines r2 done=b .
        c expect 200 .*b$
        count connections.outbound 1
    """,
    "ready, counters and unknown paths": """
        c send GET /-/ready HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n
        c expect HTTP/1.1 200
        c send GET /-/counters HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n
        c expect connections.inbound
        c send GET /x HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n
        c expect HTTP/1.1 404
    """,
    # A request may arrive in any pieces; its call starts after the last byte.
    "a request in pieces": """
        c send POST /api HTTP/1.1\\r\\nHost: a\\r\\nX-Request-ID: r1\\r\\nX-Priority-
        wait 20
        c send Class: poloha\\r\\nX-Timeout: 900000u\\r\\nContent-Length: 2\\r\\n\\r\\na
        wait 20
        c send b
        w expect r1.*\\r\\n\\r\\nab
        w send lines r1 done=x .
        c expect 200
    """,
}

ATTEMPT_OUTCOMES = {
    "never ran by the worker's word: a never-twice job goes elsewhere": """
        c send job vyuctovani r1
        {first} expect r1
        {first} send status 503 X-Not-Processed:1
        {second} expect r1
        {second} send lines r1 done=ok .
        c expect 200 .*ok
    """,
    "handed back unstarted: a never-twice job goes elsewhere": """
        c send job vyuctovani r1
        {first} expect r1
        {first} send lines r1 returned .
        {second} expect r1
        {second} send lines r1 done=ok .
        c expect 200 .*ok
    """,
    "503 without the worker's word may have run: a never-twice job fails": """
        c send job vyuctovani r1
        {first} expect r1
        {first} send status 503
        c expect HTTP/1.1 502
        count calls.sent 1
    """,
    "the connection breaks after the last byte: a never-twice job fails": """
        c send job vyuctovani r1
        {first} expect r1
        {first} close
        c expect HTTP/1.1 502
        count calls.sent 1
        count calls.reset 1
    """,
    "the answer ends before its last line: a never-twice job fails": """
        c send job vyuctovani r1
        {first} expect r1
        {first} send lines r1 started .
        c expect HTTP/1.1 502
        count calls.sent 1
    """,
    "a killed job that may be repeated is": """
        c send job poloha r1
        {first} expect r1
        {first} send lines r1 started lost .
        {second} expect r1
        {second} send lines r1 done=ok .
        c expect 200 .*ok
        count calls.sent 2
    """,
    "a garbled line counts as a break": """
        c send job vyuctovani r1
        {first} expect r1
        {first} send HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n4\\r\\n{{x}}\\n\\r\\n
        c expect HTTP/1.1 502
        count garbled.answer 1
    """,
    "an answer to another request is not served": """
        c send job vyuctovani r1
        {first} expect r1
        {first} send status 200 body={{"id":"r2","state":"done","result":"no"}}
        c expect HTTP/1.1 502
    """,
    "a client that leaves ends the outbound call": """
        c send job poloha r1
        {first} expect r1
        c close
        {first} expect-close
        count requests.client_gone 1
    """,
    # A deadline must not pass without an answer while a worker is silent.
    "a silent worker: failed by the deadline": """
        c send job vyuctovani r1 X-Timeout:300m
        {first} expect r1
        c expect HTTP/1.1 502
        {first} expect-close
    """,
}

HIDDEN_REQUEST = "0\\r\\n\\r\\nPOST /api HTTP/1.1\\r\\nHost: a\\r\\nX-Request-ID: r9\\r\\n\\r\\n"
DEAD_CONNECTIONS = {
    "a kept connection that is reset under the next request: the attempt takes another": """
        c send job vyuctovani r1
        w expect r1
        w send lines r1 done=one .
        c expect 200 .*one
        c send job vyuctovani r2
        w expect r2
        w early close
        w expect r2
        w send lines r2 done=two .
        c expect 200 .*two
        count connections.stale 1
        count calls.sent 2
    """,
    "once kept connections end after the last byte, never-twice jobs take new ones": """
        c send job vyuctovani r1
        w expect r1
        w send lines r1 done=one .
        c expect 200 .*one
        c send job poloha r2
        w expect r2
        w close
        c expect HTTP/1.1 503
        c send job poloha r3
        w expect r3
        w send lines r3 done=three .
        c expect 200 .*three
        c send job vyuctovani r4
        w next
        w expect r4
        w send lines r4 done=four .
        c expect 200 .*four
        count connections.stale 1
        count connections.outbound 3
    """,
    "a new connection that breaks before the last byte: a never-twice job goes elsewhere": """
        c send job vyuctovani r1
        w expect r1
        d send list 42 changes x=active
        d expect index=42
        w early close
        x expect r1
        x send lines r1 done=ok .
        c expect 200 .*ok
        count calls.connect_failed 1
    """,
    "turned away before the last byte": """
        c send job vyuctovani r1
        w expect r1
        d send list 42 changes x=active
        d expect index=42
        w early send status 503 X-Not-Processed:1
        x expect r1
        x send lines r1 done=ok .
        c expect 200 .*ok
        count calls.full 1
    """,
    "an answer to nothing on a kept connection is not taken for the next one's": """
        c send job vyuctovani r1
        w expect r1
        w send lines r1 done=one .
        c expect 200 .*one
        w send lines r2 done=none .
        c send job vyuctovani r2
        w next
        w expect r2
        w send lines r2 done=two .
        c expect 200 .*two
    """,
    "served without a result is no result": """
        c send job vyuctovani r1
        w expect r1
        w send lines r1 done .
        c expect HTTP/1.1 502
        count garbled.answer 1
    """,
    "a garbled report does not undo what was served": """
        c send job vyuctovani r1
        w expect r1
        w send status 200 body={"id":"r1","state":"done","result":"ok","load":{"queue":"many"}}
        c expect 200 .*ok
    """,
}


# A job that must not run twice must not fail where it can be known that it did not run.
@pytest.mark.parametrize("name", DEAD_CONNECTIONS)
def test_dead_connections(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http, "LAST_BYTE_DELAY_S", 0.15)
    play("d expect index=41\n" + DEAD_CONNECTIONS[name])


REFUSED = {
    "two lengths": (f"c send job poloha r1 {'a' * 5} Content-Length:5", "400"),
    "a length and a coding: what the body hides is never read as a request": (
        "c send POST /api HTTP/1.1\\r\\nHost: a\\r\\nX-Request-ID: r1\\r\\nX-Priority-Class: poloha\\r\\n"
        f"X-Timeout: 900m\\r\\nContent-Length: 71\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n{HIDDEN_REQUEST}",
        "400"),
    "two ids": ("c send job poloha r1 X-Request-ID:r2", "400"),
    "two classes": ("c send job poloha r1 X-Priority-Class:vyuctovani", "400"),
    "two time-outs": ("c send job poloha r1 X-Timeout:900m X-Timeout:90m", "400"),
    "a length that no body may have": (
        "c send POST / HTTP/1.1\\r\\nHost: a\\r\\nContent-Length: 60000000\\r\\n\\r\\n", "413"),
    "a negative length": (
        "c send POST / HTTP/1.1\\r\\nHost: a\\r\\nContent-Length: -1\\r\\n\\r\\n", "400"),
    "malformed HTTP": ("c send nonsense\\r\\n\\r\\n", "400"),
    "no id": ("c send POST /api HTTP/1.1\\r\\nHost: a\\r\\nContent-Length: 0\\r\\n\\r\\n", "400"),
    "unknown class": ("c send job render r1", "400"),
    "bad time-out": ("c send job poloha r1 X-Timeout:soon", "400"),
    "bad attributes": ("c send job poloha r1 X-Attrs:slots=many", "400"),
    "oversized body": ("c send job poloha r1 " + "a" * 66000, "413"),
    "other methods": ("c send PUT /api HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n", "405"),
}

LISTS = {
    "draining acts at once, and the watch goes on from the last version": """
        d expect GET /api/targets\\?index=41&wait=
        d send list 42 changes w=leaving x=active
        d expect GET /api/targets\\?index=42&wait=
        c send job poloha r1
        x expect r1
        x send lines r1 done=ok .
        c expect 200
    """,
    "a garbled list is dropped and the old one kept": """
        d expect index=41
        d send status 200 body={"servers":7}
        d expect index=41
        d send status 200 body={"servers":[{"id":"s-x","addr":"nowhere","state":"active"}]}
        d expect index=41
        d send status 200 body={"servers":[{"id":"s-x","addr":"127.0.0.1:1","state":"odd"}]}
        d expect index=41
        count garbled.list 3
        c send job poloha r1
        w expect r1
        w send lines r1 done=ok .
        c expect 200
    """,
    "a lost agent is called again": """
        d expect index=41
        d close
        d expect index=41
        d send list 44 full x=active
        d expect index=44
        c send job poloha r1
        x expect r1
    """,
    # A silent watch on an open connection was once waited out for 23 s. New workers stayed unknown meanwhile, and
    # the remaining ones refused almost all jobs of one class.
    "a silent watch is opened anew, and who joined meanwhile is known": """
        d expect index=41
        d send list 42 changes w=left
        d expect index=42
        d next
        d expect index=42
        d send list 43 changes x=active
        d expect index=43
        c send job poloha r1
        x expect r1
        x send lines r1 done=ok .
        c expect 200
    """,
    "an agent that stays silent is asked again and again": """
        d expect index=41
        d next
        d expect index=41
        d next
        d expect index=41
        d send list 44 full x=active
        d expect index=44
        c send job poloha r1
        x expect r1
    """,
    "nobody to send to: refused": """
        d expect index=41
        d send list 42 changes w=left
        d expect index=42
        c send job vyuctovani r1
        c expect HTTP/1.1 503
    """,
}

RELOADS = {
    # SIGHUP must not end the process, which is its default action, and the old agent must not be waited for.
    "the list moves at once; what was known and what is open stays": """
        c send job poloha r1
        w expect r1
        reload d2
        d expect-close
        c2 send job poloha r2
        w next
        w expect r2
        d2 expect GET /api/targets HTTP
        d2 send list 7 full w=active x=active
        d2 expect GET /api/targets\\?index=7&wait=
        w send lines r2 done=two .
        c2 expect 200 .*two
        count reloads.done 1
    """,
    "a faulty file leaves the old configuration in force": """
        reload faulty
        count reloads.failed 1
        d send list 42 changes x=active
        d expect index=42
    """,
    "an agent that is not there yet is called again": """
        reload nobody
        count lists.failed 3
        reload d2
        d2 expect GET /api/targets HTTP
    """,
    "again and again, and after SIGTERM: nothing is lost": """
        c send job vyuctovani r1
        w expect r1
        reload d2
        d2 expect targets HTTP
        reload d
        d expect-close
        d next
        d expect targets HTTP
        term
        wait 20
        reload d2
        wait 500
        w send lines r1 done=one .
        c expect 200 .*one
        ended
        count reloads.done 3
    """,
}


@pytest.mark.parametrize("name", RELOADS)
def test_reloads(name: str) -> None:
    play("d expect index=41\n" + RELOADS[name])


@pytest.mark.parametrize("name", SERVED)
def test_served(name: str) -> None:
    play(SERVED[name])


@pytest.mark.parametrize("name", ATTEMPT_OUTCOMES)
def test_outcomes(name: str) -> None:
    # One worker is known at first; the list adds the other once the first has the job.
    play("""
        d expect index=41
        """ + ATTEMPT_OUTCOMES[name].format(first="w", second="x").replace(
        "w expect r1", "w expect r1\n d send list 42 changes x=active\n d expect index=42", 1))


@pytest.mark.parametrize("name", REFUSED)
def test_bad_input_never_reaches_the_core(name: str) -> None:
    sent, status = REFUSED[name]
    play(f"{sent}\n c expect HTTP/1.1 {status}\n count requests.taken 0\n"
         + SERVED["connections are used again on both sides"].replace("c ", "c2 "))


@pytest.mark.parametrize("name", LISTS)
def test_lists(name: str) -> None:
    play(LISTS[name])


# Jobs must not be refused for lack of a connection while other clients hold connections and send nothing.
def test_silent_and_idle_connections_make_room_for_jobs() -> None:
    play("""
        c send job poloha r1
        w expect r1
        w send lines r1 done=one .
        c expect HTTP/1.1 200
        c2 send GET /-/ready HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n
        c2 expect 200
        c3 send
        wait 1200
        c4 send POST /api HTTP/1.1\\r\\n
        c5 send job poloha r5
        c3 expect-close
        w expect r5
        c6 send job poloha r6
        c4 expect-close
        w next
        w expect r6
        c7 send job poloha r7
        c2 expect-close
        w next
        w expect r7
        c send job poloha r8
        c expect Retry-After: 0[.][1-4]
        c5 close
        c6 close
        w send lines r7 done=seven .
        c7 expect 200 .*seven
        count connections.yielded 3
    """, limits={"sockets": 8})


HALF_HEAD = "POST /api HTTP/1.1\\r\\nHost: a\\r\\n"
READY_REQUEST = "GET /-/ready HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n"
BAD_CLIENTS = {
    # A client that sends half a request, or nothing, must not hold its connection forever.
    "half a request": f"c send {HALF_HEAD}\n c expect HTTP/1.1 408\n c expect-close",
    "silence": "c send\n c expect HTTP/1.1 408\n c expect-close",
    "half a request after a good one, which may idle before": f"""
        c send {READY_REQUEST}
        c expect 200
        wait 400
        c send {HALF_HEAD}
        c expect HTTP/1.1 408
        c expect-close
    """,
    # An error must not be lost because the client is still sending when the socket is closed.
    "a client that goes on sending reads why it is closed": f"""
        c send {HALF_HEAD}Content-Length: 60000000\\r\\n\\r\\n{'a' * 50_000}
        wait 30
        c send {'a' * 50_000}
        c send {'a' * 50_000}
        c expect HTTP/1.1 413
        c expect-close
    """,
    "the id of an open request is refused, and that one goes on": """
        c send job vyuctovani r1
        w expect r1
        c2 send job vyuctovani r1
        c2 expect HTTP/1.1 409
        c2 expect-close
        w send lines r1 done=one .
        c expect 200 .*one
        count calls.sent 1
    """,
    "one that sends ahead and leaves ends its request": """
        c send job poloha r1
        w expect r1
        c send job poloha r2
        wait 20
        c close
        w expect-close
        count requests.client_gone 1
    """,
}


@pytest.mark.parametrize("name", BAD_CLIENTS)
def test_bad_clients(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http, "FIRST_REQUEST_TIMEOUT_S", 0.1)
    monkeypatch.setattr(http, "REQUEST_TIMEOUT_S", 0.1)
    play(BAD_CLIENTS[name])


def test_leaving(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http, "DRAIN_MAX_DEADLINE_MS", 500.0)
    play("""
        c send job vyuctovani r1
        w expect r1
        term
        wait 100
        w send lines r1 done=one .
        c expect 200 .*one
        c2 send job poloha r2
        w expect r2
        wait 500
        w send lines r2 done=two .
        c2 expect Connection: close.*two
        ended
    """)


# There must not be seconds without any scheduler if one is restarting when the next is told to stop.
def test_where_nobody_else_serves_connections_are_served_on_and_all_is_answered_in_time(
        monkeypatch: pytest.MonkeyPatch) -> None:
    # More than the time left: r3 is refused.
    monkeypatch.setattr(logic.Balancer, "usual_response_ms", lambda *_: http.DRAIN_MAX_DEADLINE_MS)
    play("""
        c send job vyuctovani r1
        w expect r1
        w send lines r1 done=one .
        c expect 200 .*one
        term
        wait 900
        c send job poloha r2
        w expect r2
        w send lines r2 done=two .
        c expect 200 .*two
        c send job vyuctovani r3
        c expect HTTP/1.1 503
        c send job poloha r4
        w expect r4
        c expect HTTP/1.1 503
        count calls.sent 3
        ended
    """)


PROBES: dict[str, Any] = {
    "limits": {**SETTINGS["limits"], "probes": True},
    "report": {"fields": ["queue", "x0"], "via": "on_probe"},
}


@pytest.fixture
def long_probe_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Give probes enough time however busy the machine is."""
    monkeypatch.setattr(logic, "PROBE_WAIT_MS", 4000.0)


@pytest.mark.usefixtures("long_probe_timeout")
def test_a_look_comes_before_a_send_and_uses_its_connection() -> None:
    play("""
        c send job poloha r1
        w expect GET /-/load
        w send status 200 body=queue=0,x0=3
        w expect r1
        w send lines r1 done=ok .
        c expect 200
        count probes.ok 1
        count connections.outbound 1
    """, settings=PROBES)


@pytest.mark.usefixtures("long_probe_timeout")
def test_a_garbled_report_is_dropped() -> None:
    play("""
        c send job poloha r1
        w expect GET /-/load
        w send status 200 body=queue=many
        w expect r1
        w send lines r1 done=ok .
        c expect 200
        count probes.sent 1
        count calls.sent 1
    """, settings=PROBES)
