"""Calls of the system that fail for a moment, in ways that Linux documents, are nobody else's fault.

The failures are put between the program and its sockets or its folder; the sockets are real.
"""

from __future__ import annotations

import asyncio
import errno
import os
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from gaphub.core import Core
from gaphub.lab.world import Agent, Workers
from gaphub.net import http
from gaphub.net.http import tunables

from .processes import Process, job, running
from .scenario import Cast, free_port

ONE = "d expect index=41\n"
SERVED = ONE + "c send job poloha r1\nw expect r1\nw send lines r1 done=one .\nc expect 200 .*one"
ACCEPT_FAILS = [errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.EINTR, errno.EPERM]
CONNECT_FAILS = [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS]
LONG_FAILURE = 60  # failures in a row, ten ms or more apart
CONNECT_CALLED = 3  # turns of the event loop after which a task that opens a connection has called connect(2)
SOCKET_FAILS = [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM]


def failing(number: int) -> OSError:
    return OSError(number, os.strerror(number))


# --- accepting -----------------------------------------------------------------------------------------


@pytest.mark.parametrize("number", ACCEPT_FAILS)
def test_who_waits_at_a_listener_that_closes_is_taken_in_though_accepting_fails_for_a_moment(
        number: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http, "DRAIN_MAX_DEADLINE_MS", 500.0)
    accept, stop_accepting = socket.socket.accept, http.Inbound._stop_accepting
    fails: list[int] = []
    late: list[socket.socket] = []

    def accept_or_fail(self: socket.socket) -> tuple[socket.socket, Any]:
        if fails:
            raise failing(fails.pop())
        return accept(self)

    async def run() -> None:
        async with Cast() as cast:
            async def stop(self: http.Inbound) -> None:
                late.append(socket.create_connection(cast.config.listen))
                late[0].sendall(cast.render("c", "job poloha r1"))
                fails.extend([number, number])
                await stop_accepting(self)
                assert not fails

            monkeypatch.setattr(socket.socket, "accept", accept_or_fail)
            monkeypatch.setattr(http.Inbound, "_stop_accepting", stop)
            await cast.play(ONE + "term\nw expect r1\nw send lines r1 done=one .\nended")
            late[0].settimeout(5.0)
            assert b"200" in (got := late[0].recv(65536)) and got.endswith(b"one")
            late[0].close()

    asyncio.run(run())


@pytest.mark.parametrize("number", ACCEPT_FAILS)
def test_accepting_that_fails_for_a_moment_goes_on(number: int, monkeypatch: pytest.MonkeyPatch) -> None:
    accept, left = socket.socket.accept, [number]

    def accept_or_fail(self: socket.socket) -> tuple[socket.socket, Any]:
        if left:
            raise failing(left.pop())
        return accept(self)

    monkeypatch.setattr(socket.socket, "accept", accept_or_fail)
    play_served()


# Between a listener's last look and its close the kernel goes on taking connections in, and resets them then.
def test_who_connects_between_the_last_look_and_the_close_comes_to_the_successor(
        monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    close, make = socket.socket.close, http.Inbound.__init__
    inbounds: list[http.Inbound] = []
    come: list[socket.socket] = []

    def noted(self: http.Inbound, *args: Any, **more: Any) -> None:
        make(self, *args, **more)
        inbounds.append(self)

    def come_then_close(self: socket.socket) -> None:
        if inbounds and self is inbounds[0]._listener and not come:
            come.extend(socket.create_connection(self.getsockname(), timeout=2.0) for _ in range(32))
        close(self)

    monkeypatch.setattr(http.Inbound, "__init__", noted)
    monkeypatch.setattr(socket.socket, "close", come_then_close)

    async def run() -> None:
        async with Cast(admin=f"127.0.0.1:{free_port()}") as cast:
            with socket.socket() as successor:
                successor.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                successor.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
                successor.bind(cast.config.listen)
                successor.listen(64)
                successor.setblocking(False)
                await inbounds[0].shut_down(lambda: True, successor=True)
                assert len(come) == 32
                for _ in come:
                    successor.accept()[0].close()
            for sock in come:
                sock.close()

    asyncio.run(run())


# --- connecting ----------------------------------------------------------------------------------------


def play_served(**counted: int) -> None:
    """One job is served at the first attempt; and what counters say then."""

    async def run() -> None:
        async with Cast() as cast:
            await cast.play(SERVED)
            for name, value in {"calls.sent": 1, "calls.ok": 1, **counted}.items():
                assert cast.counters.values[name] == value, cast.counters.snapshot()

    asyncio.run(run())


@pytest.fixture
def fails(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[tuple[str, int]]]:
    """What is to fail next, of outbound sockets: ``socket`` or ``connect``, and the number of the error."""
    left: list[tuple[str, int]] = []
    real = socket.socket

    class Failing(real):  # type: ignore[misc, valid-type]
        def __init__(self, *args: Any, **more: Any) -> None:
            if left and left[0][0] == "socket" and "fileno" not in more:
                raise failing(left.pop(0)[1])
            super().__init__(*args, **more)

        def connect(self, to: Any) -> None:
            if left and left[0][0] == "connect":
                raise failing(left.pop(0)[1])
            super().connect(to)

    monkeypatch.setattr(socket, "socket", Failing)
    yield left


@pytest.mark.parametrize(("call", "number"), [("connect", n) for n in CONNECT_FAILS]
                         + [("socket", n) for n in SOCKET_FAILS])
def test_a_connection_that_this_machine_cannot_make_for_a_moment_costs_no_attempt_and_no_trust(
        call: str, number: int, fails: list[tuple[str, int]]) -> None:
    async def run() -> None:
        async with Cast() as cast:
            await cast.play(ONE + "c send")
            fails.extend([(call, number)] * 3)
            await cast.play(SERVED.removeprefix(ONE))
            assert not fails
            assert cast.counters.values["calls.sent"] == 1, cast.counters.snapshot()

    asyncio.run(run())


@pytest.mark.parametrize("number", [errno.EADDRNOTAVAIL, errno.ENFILE])
def test_a_local_failure_that_outlasts_the_time_for_connecting_is_no_fault_of_the_worker(
        number: int, fails: list[tuple[str, int]]) -> None:
    """It goes on for more than the 150 ms of the settings."""
    async def run() -> None:
        async with Cast() as cast:
            await cast.play(ONE + "c send")
            fails.extend([("connect", number)] * LONG_FAILURE)
            await cast.play(SERVED.removeprefix(ONE))
            assert not fails
            assert cast.counters.values["calls.sent"] == cast.counters.values["calls.ok"] == 1

    asyncio.run(run())


def test_a_local_failure_that_does_not_end_gets_a_refusal_and_is_no_fault_of_the_worker(
        fails: list[tuple[str, int]], monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(tunables, "LOCAL_RETRY_LIMIT_S", 0.2, raising=False)

    async def run() -> None:
        async with Cast() as cast:
            await cast.play(ONE + "c send")
            fails.extend([("connect", errno.ENOBUFS)] * 100_000)
            await cast.play("c send job vyuctovani r1\nc expect HTTP/1.1 503\ncount calls.local_failures 1")
            fails.clear()
            # A worker that was ruled out would not get the next job.
            await cast.play("c send job vyuctovani r2\nw expect r2")
            await cast.play("w send lines r2 done=two .\nc expect 200 .*two")
            assert cast.counters.values["calls.connect_failed"] == 0

    asyncio.run(run())


@pytest.mark.parametrize("number", [errno.EADDRNOTAVAIL, errno.ENOBUFS])
def test_a_probe_that_this_machine_cannot_make_in_time_says_nothing_of_the_worker(
        number: int, fails: list[tuple[str, int]], cores: list[Core]) -> None:
    """The failures outlast the 0.2 s of a probe: it counted as unanswered, and its worker as silent."""
    async def run() -> None:
        async with Cast() as cast:
            await cast.play(ONE)
            fails.extend([("connect", number)] * LONG_FAILURE)
            cores[0].probe(next(iter(cores[0].destinations.by_number)))
            await cast.play("count probes.moot 1")
            fails.clear()
            assert cast.counters.values["probes.timeout"] == 0
            # A worker that was ruled out would not get the next job.
            await cast.play(SERVED.removeprefix(ONE))

    asyncio.run(run())


@pytest.mark.parametrize("held_up_s", [0.16, 0.4])
def test_a_connection_that_came_up_while_this_process_was_held_up_costs_no_attempt_and_no_trust(
        held_up_s: float, monkeypatch: pytest.MonkeyPatch) -> None:
    """The time for connecting passes between connect(2) and the next look at the socket."""
    opened: list[Any] = []

    async def run() -> None:
        async with Cast() as cast:
            await cast.play(ONE + "c send")
            open_connection = asyncio.open_connection

            async def held_up(*to: Any, **more: Any) -> Any:
                opened.append(to)
                opening = asyncio.ensure_future(open_connection(*to, **more))
                for _ in range(CONNECT_CALLED):
                    await asyncio.sleep(0)
                time.sleep(held_up_s)
                return await opening

            monkeypatch.setattr(asyncio, "open_connection", held_up)
            await cast.play(SERVED.removeprefix(ONE))
            monkeypatch.setattr(asyncio, "open_connection", open_connection)
            assert len(opened) == 1
            assert cast.counters.values["calls.sent"] == cast.counters.values["calls.ok"] == 1

    asyncio.run(run())


# --- the folder in which processes leave each other what they took on ----------------------------------


def test_a_worker_put_out_while_the_folder_fails_stays_out_for_the_successor(tmp_path: Path) -> None:
    async def play() -> None:
        workers = Workers({"vyuctovani": 5.0})
        await workers.open(2)
        agent = Agent(workers.addresses)
        await agent.open()
        listen, folder, away = free_port(), tmp_path / "lasting", tmp_path / "away"
        folder.mkdir()
        old = Process(folder, listen, agent, "old")
        both = [old]
        with running(both):
            try:
                await old.ready()
                folder.rename(away)  # every write there fails from now on
                assert await old.call("PUT /ops/workers/down", "s-0") == 200
                await asyncio.sleep(0.5)
                away.rename(folder)
                async with asyncio.timeout(5.0):
                    while not (folder / "gaphub-n0.out").exists():
                        await asyncio.sleep(0.02)
                both.append(new := Process(folder, listen, agent, "new"))
                await new.ready()
                old.end()
                assert [await job(listen, f"r{i}") for i in range(20)] == [200] * 20
                assert workers.runs[workers.addresses[0]] == 0
            finally:
                agent.close()
                workers.close()

    asyncio.run(play())


# --- reading and writing -------------------------------------------------------------------------------

BREAKS = [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET, errno.EPIPE, errno.ENETDOWN]


@pytest.fixture
def breaks(monkeypatch: pytest.MonkeyPatch) -> list[tuple[int, int]]:
    """The port of the other side, and the error that the next read from there shows."""
    recv = socket.socket.recv
    left: list[tuple[int, int]] = []

    def read_or_break(self: socket.socket, size: int) -> bytes:
        if left and self.getpeername()[1] == left[0][0]:
            raise failing(left.pop()[1])
        return recv(self, size)

    monkeypatch.setattr(socket.socket, "recv", read_or_break)
    return left


@pytest.mark.parametrize("number", BREAKS)
def test_a_worker_s_connection_that_breaks_in_any_way_is_a_break(
        number: int, breaks: list[tuple[int, int]]) -> None:
    async def run() -> None:
        async with Cast() as cast:
            await cast.play(ONE + "c send job vyuctovani r1 ab\nw expect r1.*ab")
            breaks.append((cast.ports["w"], number))
            await cast.play("""
                w send lines r1 done=one .
                c expect HTTP/1.1 502
                count calls.reset 1
                count calls.sent 1
            """)
            assert not breaks
            await cast.play("""
                c send job poloha r2
                w next
                w expect r2
                w send lines r2 done=two .
                c expect 200 .*two
            """)

    asyncio.run(run())


@pytest.mark.parametrize("number", BREAKS)
def test_an_agent_s_connection_that_breaks_in_any_way_is_opened_anew(
        number: int, breaks: list[tuple[int, int]]) -> None:
    async def run() -> None:
        async with Cast() as cast:
            await cast.play(ONE)
            breaks.append((cast.ports["d"], number))
            await cast.play("""
                d send list 42 changes w=leaving x=active
                d next
                d expect index=41
                d send list 42 changes w=leaving x=active
                d expect index=42
                c send job poloha r1
                x expect r1
                x send lines r1 done=ok .
                c expect 200
            """)

    asyncio.run(run())


def test_writes_and_reads_that_are_short_lose_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    recv, send = socket.socket.recv, socket.socket.send
    monkeypatch.setattr(socket.socket, "recv", lambda self, size: recv(self, min(size, 7)))
    monkeypatch.setattr(socket.socket, "send", lambda self, data, *more: send(self, data[:5], *more))
    play_served()
