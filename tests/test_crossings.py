"""Where two events cross: each row of docs/design/crossings.md, forced over loopback sockets in either order."""

from __future__ import annotations

import asyncio
import json
import re
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from gaphub.core import Call, Core
from gaphub.lab import requests
from gaphub.net import destinations, http

from .scenario import CLASSES, SETTINGS, Cast, play

ONE = "d expect index=41\n"

# --- a client leaves ---------------------------------------------------------------------------------

LEAVES = {
    "while its request waits for a connection": """
        hold w
        c send job poloha r1
        count calls.sent 1
        c close
        count requests.client_gone 1
        count calls.cancelled 1
        release w
        count connections.outbound 0
        w silent
    """,
    "between the first and the last byte": """
        c send job vyuctovani r1 0123456789
        w expect POST .*012345678
        c close
        count calls.cancelled 1
        w expect-close
        w silent
        count requests.client_gone 1
    """,
    "after the last byte": """
        c send job vyuctovani r1 0123456789
        w expect POST .*0123456789
        c close
        w expect-close
        count requests.client_gone 1
        count calls.cancelled 1
    """,
    "after it has sent a great deal more than one request": """
        c send job poloha r1
        w expect r1
        c flood 600000
        c close
        w expect-close
        count requests.client_gone 1
        count calls.cancelled 1
        count calls.sent 1
    """,
    "by ending its sending alone": """
        c send job poloha r1
        w expect r1
        c shut
        w expect-close
        count requests.client_gone 1
    """,
    "one that floods and stays gets its answer, and a close": """
        c send job poloha r1
        w expect r1
        c flood 400000
        w send lines r1 done=one .
        c expect 200 .*Connection: close.*one
        c expect-close
        count garbled.request 0
    """,
}


@pytest.mark.parametrize("name", LEAVES)
def test_a_client_leaves(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http, "HOLD_S", 0.15)
    limits = {**SETTINGS["limits"], "dialTimeout": 4000.0}
    play(ONE + LEAVES[name], settings={"limits": limits})


# The leaving is known to the front but has not reached the core, which is busy with the end of the attempt.
@pytest.mark.parametrize("ends", ["close", "send status 503 X-Not-Processed:1", "send lines r1 lost ."])
def test_a_client_leaves_between_two_attempts(ends: str, monkeypatch: pytest.MonkeyPatch) -> None:
    held: list[Callable[[], None]] = []
    post = Core.post

    async def late(core: Core, message: Callable[[], None]) -> None:
        if "_wait" in getattr(message, "__qualname__", ""):
            held.append(message)
        else:
            await post(core, message)

    monkeypatch.setattr(Core, "post", late)

    async def run() -> None:
        async with Cast() as cast:
            await cast.play(ONE + """
                c send job poloha r1
                w expect r1
                d send list 42 changes x=active
                d expect index=42
                c close
            """)
            async with asyncio.timeout(5.0):
                while not held:
                    await asyncio.sleep(0.001)
            await cast.play(f"w {ends}\ncount requests.client_gone 1\ncount calls.sent 1\nx silent")
            held[0]()  # late: counted once
            await cast.play("count requests.client_gone 1\ncount requests.refused 0\ncount calls.sent 1")

    asyncio.run(run())


# What a play's log counts: clients that left while their requests waited, and calls that began 0.3 s later.
def test_the_log_counts_who_left_and_what_was_sent_on_later(tmp_path: Path) -> None:
    lines: list[str] = []

    async def run() -> None:
        scheduler = Cast(fronts="[log]\nrequests = true\n")
        scheduler.counters.line = lambda name, text: lines.append(f"1.5 gaphub: {name}: {text}\n")
        async with scheduler as cast:
            await cast.play(ONE + """
                c send job poloha r1
                w expect r1
                c close
                count requests.client_gone 1
                c send job poloha r2
                w next
                w expect r2
                w send lines r2 done=one .
                c expect 200
            """)

    asyncio.run(run())
    (tmp_path / "n0.log").write_text("".join(lines))
    assert requests.left(requests.read(tmp_path)) == (1, 0)
    gone = next(line for line in lines if "id=r1 " in line)
    at = int(re.search(r"gone=(\d+)", gone)[1])  # type: ignore[index]
    for later, counted in ((299, 0), (300, 1)):
        (tmp_path / "n0.log").write_text(re.sub(r",(\d+)$", f",{at + later}", gone.strip()) + "\n")
        assert requests.left(requests.read(tmp_path)) == (1, counted)


# The port has been given the call, and its task has not taken its first step: its body never runs.
def test_a_call_called_off_before_its_first_step_ends_all_the_same(monkeypatch: pytest.MonkeyPatch) -> None:
    cores: list[Core] = []
    start = http.Outbound.start

    def crossed(self: http.Outbound, call: Call) -> None:
        start(self, call)
        cores.append(self.core)
        self.core._later.append(lambda: self.core.gone(call.job))

    monkeypatch.setattr(http.Outbound, "start", crossed)

    async def run() -> None:
        async with Cast() as cast:
            await cast.play(ONE + "c send job vyuctovani r1\ncount calls.cancelled 1\nw silent")
            assert cores[0].open_jobs == 0
            port = cores[0].ports["discovery"]
            assert isinstance(port, http.Outbound) and not port._calls
            await cast.play("c close\ncount connections.outbound 0")

    asyncio.run(run())


# A request that was sent ahead is not begun if its client has gone by the time that its turn comes.
def test_a_request_sent_ahead_is_not_begun_for_a_client_that_left(monkeypatch: pytest.MonkeyPatch) -> None:
    write = http.Inbound._write

    async def slow(self: http.Inbound, h: Any, writer: asyncio.StreamWriter, *more: Any) -> None:
        await write(self, h, writer, *more)
        visitor = next(v for v in self.visitors.values() if v.writer is writer)
        async with asyncio.timeout(5.0):
            while not visitor.left():
                await asyncio.sleep(0.001)

    monkeypatch.setattr(http.Inbound, "_write", slow)
    play(ONE + """
        c send job poloha r1 0123456789
        w expect 0123456789
        c send job poloha r2
        w send lines r1 done=one .
        c expect 200 .*one
        c shut
        c expect-close
        count requests.left_before 1
        count requests.taken 1
        w silent
    """)


# --- what a call waited through ------------------------------------------------------------------------

WAITED = {
    "its worker begins to drain before the first byte: it goes elsewhere": """
        d send list 42 changes w=leaving x=active
        d expect index=42
        release w
        x expect r1
        x send lines r1 done=ok .
        c expect 200 .*ok
        count calls.overtaken 1
    """,
    "its worker is gone before the first byte: it goes elsewhere": """
        d send list 42 full x=active
        d expect index=42
        release w
        x expect r1
        x send lines r1 done=ok .
        c expect 200 .*ok
        count calls.overtaken 1
    """,
    "its worker has started anew under the same address: the new one is not sent what the old one was": """
        d send list 42 changes w=active@5 x=active
        d expect index=42
        release w
        x expect r1
        x send lines r1 done=ok .
        c expect 200 .*ok
        count calls.overtaken 1
    """,
    "the list says only what was known: it goes on": """
        d send list 42 changes w=active x=active
        d expect index=42
        release w
        w expect r1
        w send lines r1 done=ok .
        c expect 200 .*ok
        count calls.overtaken 0
    """,
}


@pytest.mark.parametrize("job", ["poloha", "vyuctovani"])
@pytest.mark.parametrize("name", WAITED)
def test_what_a_call_waited_through(name: str, job: str) -> None:
    limits = {**SETTINGS["limits"], "dialTimeout": 4000.0}
    play(ONE + f"hold w\nc send job {job} r1\ncount calls.sent 1\n" + WAITED[name], settings={"limits": limits})


def test_a_drain_after_the_first_byte_does_not_stop_a_call(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http, "HOLD_S", 0.3)
    play(ONE + """
        c send job vyuctovani r1 0123456789
        w expect POST .*012345678
        d send list 42 changes w=leaving x=active
        d expect index=42
        w expect 9
        w early send lines r1 done=ok .
        c expect 200 .*ok
        count calls.sent 1
    """)


def test_a_connection_that_comes_up_after_its_attempt_was_given_up_carries_nothing() -> None:
    play(ONE + """
        hold w
        c send job vyuctovani r1
        count calls.sent 1
        d send list 42 changes x=active
        d expect index=42
        count calls.connect_failed 1
        release w
        x expect r1
        x send lines r1 done=ok .
        c expect 200 .*ok
        w silent
        count connections.outbound 1
    """)


KEYED = [{"name": "poloha", "slo": 500.0, "deadline": 5000.0, "idempotency": "deduplicated", "window": 300.0}]


# A repeat is harmless within the class's window; while it waits for its connection that ends.
def test_the_window_of_a_repeat_ends_while_it_waits_for_its_connection() -> None:
    play(ONE + """
        hold x
        c send job poloha r1
        w expect r1
        d send list 42 changes x=active
        d expect index=42
        w close
        count calls.sent 2
        wait 400
        release x
        c expect HTTP/1.1 50
        count calls.pointless 1
        x expect-close
        x silent
    """, settings={"grades": KEYED, "limits": {**SETTINGS["limits"], "dialTimeout": 4000.0}})


# --- retries and outcomes -----------------------------------------------------------------------------

# The deadline passes just as the last byte is handed over: it may have run, so "never ran" would be untrue.
def test_a_deadline_that_passes_as_the_last_byte_leaves_is_no_proof(monkeypatch: pytest.MonkeyPatch) -> None:
    finish = http.Wire.finish

    async def slow(self: http.Wire, last: bytes) -> None:
        await finish(self, last)
        await asyncio.sleep(30.0)

    send = Core.send
    monkeypatch.setattr(http.Wire, "finish", slow)
    monkeypatch.setattr(Core, "send", lambda core, request, worker, _: send(core, request, worker, 400.0))
    monkeypatch.setattr(Core, "_call_off", lambda core, call: None)  # the port's own clock is first
    play(ONE + """
        c send job vyuctovani r1 0123456789
        w expect 0123456789
        d send list 42 changes x=active
        c expect HTTP/1.1 502
        count calls.timeout 1
        x silent
    """)


ANSWERS = {
    # Guards against a client that has well workers ruled out by requests that each of them turns down.
    "a request that is itself wrong is failed at once, and its worker is no worse for it": """
        c send job poloha r1
        w expect r1
        w send status 400
        c expect HTTP/1.1 502
        c send job poloha r2
        w expect r2
        w send status 400
        c expect HTTP/1.1 502
        c send job vyuctovani r3
        w expect r3
        w send lines r3 done=ok .
        c expect 200 .*ok
        count calls.at_fault 2
        count calls.sent 3
    """,
    "reset after the answer began: a never-twice job is not sent again": """
        c send job vyuctovani r1
        w expect r1
        d send list 42 changes x=active
        d expect index=42
        w send lines r1 started
        w close
        c expect HTTP/1.1 502
        x silent
        count calls.sent 1
    """,
    "an answer that never ends after its result: served at once, and its connection is given back": """
        c send job vyuctovani r1
        w expect r1
        w send lines r1 done=one
        c expect 200 .*one
        w expect-close
        c send job vyuctovani r2
        w close
        w expect r2
        w send lines r2 done=two .
        c expect 200 .*two
        count connections.outbound 2
    """,
    "an answer that never ends before its result: failed by the deadline, its connection closed": """
        c send job vyuctovani r1 X-Timeout:400m
        w expect r1
        w send lines r1 started running running
        w send lines + running running
        c expect HTTP/1.1 502
        w expect-close
        count calls.sent 1
    """,
    "a second answer while the next request's last byte is held back is not its answer": """
        c send job vyuctovani r1
        w expect r1
        w send lines r1 done=one .
        c expect 200 .*one
        c send job vyuctovani r2 0123456789
        w expect r2.*012345678
        w early send status 503 X-Not-Processed:1
        w close
        w expect r2.*0123456789
        w send lines r2 done=two .
        c expect 200 .*two
        count calls.ok 2
        count calls.full 0
    """,
}


@pytest.mark.parametrize("name", ANSWERS)
def test_answers(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http, "HOLD_S", 0.15)
    monkeypatch.setattr(http, "TAIL_S", 0.1)
    play(ONE + ANSWERS[name])


# --- idle connections ----------------------------------------------------------------------------------

# Between two rounds of the reaper: the worker's machine has closed what has been idle for the settings' time.
def test_a_connection_idle_for_the_settings_time_is_not_used_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http, "REAP_S", 60.0)
    play(ONE + """
        c send job vyuctovani r1
        w expect r1
        w send lines r1 done=one .
        c expect 200 .*one
        wait 150
        c send job vyuctovani r2
        w next
        w expect r2
        w old-close
        w send lines r2 done=two .
        c expect 200 .*two
        count connections.outbound 2
    """, settings={"limits": {**SETTINGS["limits"], "connIdle": 200.0}})


# --- leaving ---------------------------------------------------------------------------------------------

# c2's end shows that idle connections are being closed; c has waited longer, and its request is half here.
def test_a_half_read_request_is_not_cut_off_by_leaving(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http, "LEAVE_MOST_MS", 500.0)
    monkeypatch.setattr(http, "FRESH_S", 4.0)
    play(ONE + """
        c send POST /api HTTP/1.1\\r\\nHost: a\\r\\nX-Request-ID: r1\\r\\nX-Priority-Class: poloha\\r\\n
        c2 send
        term
        c2 expect-close
        c send X-Timeout: 900m\\r\\nContent-Length: 2\\r\\n\\r\\nab
        w expect r1.*ab
        w send lines r1 done=one .
        c expect 200 .*Connection: close.*one
        ended
    """)


def test_an_answer_that_is_being_taken_is_not_cut_off_by_leaving() -> None:
    async def run() -> None:
        ends = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=ends[0])
        ears = writer.transport.get_protocol()
        visitor = http.Visitor(reader, writer, ears, 0.0)  # type: ignore[arg-type]
        assert visitor.may_close(1.0) and not visitor.may_close(0.0)
        assert visitor.may_yield(5000.0)
        ends[1].setblocking(False)
        size = 16_000_000
        writer.write(b"x" * size)
        assert not visitor.may_close(1.0) and visitor.may_yield(5000.0) is None
        assert visitor.may_yield(1e9)  # who takes nothing for long makes room all the same
        got = 0
        async with asyncio.timeout(5.0):
            while got < size:
                got += len(await asyncio.get_running_loop().sock_recv(ends[1], 1 << 20))
            while not visitor.may_close(1.0):
                await asyncio.sleep(0.001)
        writer.close()
        ends[1].close()

    asyncio.run(run())


# SIGHUP has dropped the class of the longest deadline, of which a job is open: SIGKILL does not wait for it.
def test_the_time_to_leave_is_that_of_the_classes_in_force(monkeypatch: pytest.MonkeyPatch) -> None:
    left: list[http.Inbound] = []
    leave = http.Inbound.leave

    async def noted(self: http.Inbound, *more: Any) -> None:
        left.append(self)
        await leave(self, *more)

    monkeypatch.setattr(http.Inbound, "leave", noted)

    async def run() -> None:
        async with Cast() as cast:
            await cast.play(ONE + "c send job vyuctovani r1\nw expect r1")
            file = json.loads(cast.file)
            file["settings"]["grades"] = [{**CLASSES[0], "deadline": 600.0}]
            cast.file = json.dumps(file).encode()
            cast.reload.asked.set()
            await cast.play("count reloads.done 1\nterm\nw send lines r1 done=one .\nc expect 200 .*one\nended")
            assert left[0].ends_at - left[0].told_at == 600.0 + http.LEAVE_MORE_MS - http.LEAVE_SLACK_MS

    asyncio.run(run())


# A client connects just as the last of the others has gone: the kernel has taken it, nobody has read it.
def test_who_connects_just_before_the_end_is_served(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http, "LEAVE_MOST_MS", 500.0)
    late: list[socket.socket] = []

    async def run() -> None:
        async with Cast() as cast:
            def arrive() -> None:
                if not late:
                    late.append(socket.create_connection(cast.config.listen))
                    late[0].sendall(cast.render("c", "job poloha r1"))

            stop_accepting, close = http.Inbound._stop_accepting, http.Inbound.close

            async def stop(self: http.Inbound) -> None:
                arrive()
                await stop_accepting(self)

            async def end(self: http.Inbound) -> None:
                arrive()
                await close(self)

            monkeypatch.setattr(http.Inbound, "_stop_accepting", stop)
            monkeypatch.setattr(http.Inbound, "close", end)
            await cast.play(ONE + "term\nw expect r1\nw send lines r1 done=one .\nended")
            late[0].settimeout(5.0)
            assert b"200" in (got := late[0].recv(65536)) and got.endswith(b"one")
            late[0].close()

    asyncio.run(run())


# --- watches ---------------------------------------------------------------------------------------------

WATCHES = {
    "a drain is told while the old watch is silent, which answers late beside its successor": """
        d next
        d expect index=41
        d old-close
        d send list 42 changes w=leaving x=active
        d expect index=42
        c send job poloha r1
        x expect r1
        x send lines r1 done=ok .
        c expect 200
        w silent
    """,
    "an answer in pieces: nothing counts before it is whole, all of it then": """
        d pieces list 42 changes w=leaving x=active
        d expect index=42
        c send job poloha r1
        x expect r1
        x send lines r1 done=ok .
        c expect 200
        w silent
    """,
    "an answer that stops halfway is dropped whole, and the watch opened anew": """
        d half list 42 full x=active
        d next
        d expect index=41
        d send list 43 changes x=leaving
        d expect index=43
        c send job poloha r1
        w expect r1
        w send lines r1 done=ok .
        c expect 200
        x silent
    """,
    "a new agent at SIGHUP: what the old one says then is not believed": """
        reload d2
        d2 expect GET /api/targets HTTP
        d send list 99 full w=active
        d expect-close
        d2 send list 7 full w=leaving x=active
        d2 expect index=7&
        c send job poloha r1
        x expect r1
        x send lines r1 done=ok .
        c expect 200
        w silent
    """,
}


@pytest.mark.parametrize("name", WATCHES)
def test_watches(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if "SIGHUP" not in name:
        monkeypatch.setattr(destinations, "SILENT_S", -0.7)  # of 1 s that the call may wait
    play(ONE + WATCHES[name])
