"""System calls that fail transiently, in ways that Linux documents, are not blamed on clients, workers or peers.

The errors are injected between the program and its sockets or its state directory; the sockets are real.
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
from gaphub.lab.stand_ins import Agent, Workers
from gaphub.net import http
from gaphub.net.http import tunables

from .processes import Process, job, running
from .scenario import Harness, free_port

FIRST_CALL = "d expect index=41\n"
SERVED = FIRST_CALL + "c send job poloha r1\nw expect r1\nw send lines r1 done=one .\nc expect 200 .*one"
ACCEPT_ERRORS = [errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.EINTR, errno.EPERM]
CONNECT_ERRORS = [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS]
LONG_FAILURE_CALLS = 60  # successive failures, at least 10 ms apart
CONNECT_ITERATIONS = 3  # of the event loop, after which a task that opens a connection has called connect(2)
SOCKET_ERRORS = [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM]


def os_error(number: int) -> OSError:
    return OSError(number, os.strerror(number))


# --- accepting -----------------------------------------------------------------------------------------


@pytest.mark.parametrize("number", ACCEPT_ERRORS)
def test_who_waits_at_a_listener_that_closes_is_taken_in_though_accepting_fails_for_a_moment(
        number: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http, "DRAIN_MAX_DEADLINE_MS", 500.0)
    accept, stop_accepting = socket.socket.accept, http.Inbound._stop_accepting
    pending_errors: list[int] = []
    late_clients: list[socket.socket] = []

    def accept_or_fail(self: socket.socket) -> tuple[socket.socket, Any]:
        if pending_errors:
            raise os_error(pending_errors.pop())
        return accept(self)

    async def run() -> None:
        async with Harness() as harness:
            async def inject_then_stop(self: http.Inbound) -> None:
                late_clients.append(socket.create_connection(harness.config.listen))
                late_clients[0].sendall(harness.render("c", "job poloha r1"))
                pending_errors.extend([number, number])
                await stop_accepting(self)
                assert not pending_errors

            monkeypatch.setattr(socket.socket, "accept", accept_or_fail)
            monkeypatch.setattr(http.Inbound, "_stop_accepting", inject_then_stop)
            await harness.play(FIRST_CALL + "term\nw expect r1\nw send lines r1 done=one .\nended")
            late_clients[0].settimeout(5.0)
            assert b"200" in (answer := late_clients[0].recv(65536)) and answer.endswith(b"one")
            late_clients[0].close()

    asyncio.run(run())


@pytest.mark.parametrize("number", ACCEPT_ERRORS)
def test_accepting_that_fails_for_a_moment_goes_on(number: int, monkeypatch: pytest.MonkeyPatch) -> None:
    accept, pending = socket.socket.accept, [number]

    def accept_or_fail(self: socket.socket) -> tuple[socket.socket, Any]:
        if pending:
            raise os_error(pending.pop())
        return accept(self)

    monkeypatch.setattr(socket.socket, "accept", accept_or_fail)
    play_served()


# Between a listener's last accept and its close, the kernel completes further connections; the close resets them.
def test_who_connects_between_the_last_look_and_the_close_comes_to_the_successor(
        monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    close, original_init = socket.socket.close, http.Inbound.__init__
    inbounds: list[http.Inbound] = []
    connected: list[socket.socket] = []

    def record_inbound(self: http.Inbound, *args: Any, **kwargs: Any) -> None:
        original_init(self, *args, **kwargs)
        inbounds.append(self)

    def connect_then_close(self: socket.socket) -> None:
        if inbounds and self is inbounds[0]._listener and not connected:
            connected.extend(socket.create_connection(self.getsockname(), timeout=2.0) for _ in range(32))
        close(self)

    monkeypatch.setattr(http.Inbound, "__init__", record_inbound)
    monkeypatch.setattr(socket.socket, "close", connect_then_close)

    async def run() -> None:
        async with Harness(admin=f"127.0.0.1:{free_port()}") as harness:
            with socket.socket() as successor:
                successor.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                successor.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
                successor.bind(harness.config.listen)
                successor.listen(64)
                successor.setblocking(False)
                await inbounds[0].shut_down(lambda: True, successor=True)
                assert len(connected) == 32
                for _ in connected:
                    successor.accept()[0].close()
            for sock in connected:
                sock.close()

    asyncio.run(run())


# --- connecting ----------------------------------------------------------------------------------------


def play_served(**counted: int) -> None:
    """One job is served at the first attempt, and the counters have the given values then."""

    async def run() -> None:
        async with Harness() as harness:
            await harness.play(SERVED)
            for name, value in {"calls.sent": 1, "calls.ok": 1, **counted}.items():
                assert harness.counters.values[name] == value, harness.counters.snapshot()

    asyncio.run(run())


@pytest.fixture
def pending_errors(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[tuple[str, int]]]:
    """Errors to inject into outbound sockets, in order: the call, ``socket`` or ``connect``, and the errno."""
    pending: list[tuple[str, int]] = []
    real_socket = socket.socket

    class Failing(real_socket):  # type: ignore[misc, valid-type]
        def __init__(self, *args: Any, **kwargs: Any) -> None:
            if pending and pending[0][0] == "socket" and "fileno" not in kwargs:
                raise os_error(pending.pop(0)[1])
            super().__init__(*args, **kwargs)

        def connect(self, to: Any) -> None:
            if pending and pending[0][0] == "connect":
                raise os_error(pending.pop(0)[1])
            super().connect(to)

    monkeypatch.setattr(socket, "socket", Failing)
    yield pending


@pytest.mark.parametrize(("call", "number"), [("connect", n) for n in CONNECT_ERRORS]
                         + [("socket", n) for n in SOCKET_ERRORS])
def test_a_connection_that_this_machine_cannot_make_for_a_moment_costs_no_attempt_and_no_trust(
        call: str, number: int, pending_errors: list[tuple[str, int]]) -> None:
    async def run() -> None:
        async with Harness() as harness:
            await harness.play(FIRST_CALL + "c send")
            pending_errors.extend([(call, number)] * 3)
            await harness.play(SERVED.removeprefix(FIRST_CALL))
            assert not pending_errors
            assert harness.counters.values["calls.sent"] == 1, harness.counters.snapshot()

    asyncio.run(run())


@pytest.mark.parametrize("number", [errno.EADDRNOTAVAIL, errno.ENFILE])
def test_a_local_failure_that_outlasts_the_time_for_connecting_is_no_fault_of_the_worker(
        number: int, pending_errors: list[tuple[str, int]]) -> None:
    """The failure lasts longer than the connect time-out of the settings, 150 ms."""
    async def run() -> None:
        async with Harness() as harness:
            await harness.play(FIRST_CALL + "c send")
            pending_errors.extend([("connect", number)] * LONG_FAILURE_CALLS)
            await harness.play(SERVED.removeprefix(FIRST_CALL))
            assert not pending_errors
            assert harness.counters.values["calls.sent"] == harness.counters.values["calls.ok"] == 1

    asyncio.run(run())


def test_a_local_failure_that_does_not_end_gets_a_refusal_and_is_no_fault_of_the_worker(
        pending_errors: list[tuple[str, int]], monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(tunables, "LOCAL_RETRY_LIMIT_S", 0.2, raising=False)

    async def run() -> None:
        async with Harness() as harness:
            await harness.play(FIRST_CALL + "c send")
            pending_errors.extend([("connect", errno.ENOBUFS)] * 100_000)
            await harness.play("c send job vyuctovani r1\nc expect HTTP/1.1 503\ncount calls.local_failures 1")
            pending_errors.clear()
            # An excluded worker would not get the next job.
            await harness.play("c send job vyuctovani r2\nw expect r2")
            await harness.play("w send lines r2 done=two .\nc expect 200 .*two")
            assert harness.counters.values["calls.connect_failed"] == 0

    asyncio.run(run())


@pytest.mark.parametrize("number", [errno.EADDRNOTAVAIL, errno.ENOBUFS])
def test_a_probe_that_this_machine_cannot_make_in_time_says_nothing_of_the_worker(
        number: int, pending_errors: list[tuple[str, int]], cores: list[Core]) -> None:
    """The failures last longer than the 0.2 s of a probe.

    Guards against a probe that counted as unanswered then, and its worker as not responding.
    """
    async def run() -> None:
        async with Harness() as harness:
            await harness.play(FIRST_CALL)
            pending_errors.extend([("connect", number)] * LONG_FAILURE_CALLS)
            cores[0].probe(next(iter(cores[0].destinations.by_number)))
            await harness.play("count probes.moot 1")
            pending_errors.clear()
            assert harness.counters.values["probes.timeout"] == 0
            # An excluded worker would not get the next job.
            await harness.play(SERVED.removeprefix(FIRST_CALL))

    asyncio.run(run())


@pytest.mark.parametrize("held_up_s", [0.16, 0.4])
def test_a_connection_that_came_up_while_this_process_was_held_up_costs_no_attempt_and_no_trust(
        held_up_s: float, monkeypatch: pytest.MonkeyPatch) -> None:
    """The connect time-out expires between connect(2) and the next poll of the socket."""
    opened: list[Any] = []

    async def run() -> None:
        async with Harness() as harness:
            await harness.play(FIRST_CALL + "c send")
            open_connection = asyncio.open_connection

            async def held_up(*to: Any, **kwargs: Any) -> Any:
                opened.append(to)
                opening = asyncio.ensure_future(open_connection(*to, **kwargs))
                for _ in range(CONNECT_ITERATIONS):
                    await asyncio.sleep(0)
                time.sleep(held_up_s)
                return await opening

            monkeypatch.setattr(asyncio, "open_connection", held_up)
            await harness.play(SERVED.removeprefix(FIRST_CALL))
            monkeypatch.setattr(asyncio, "open_connection", open_connection)
            assert len(opened) == 1
            assert harness.counters.values["calls.sent"] == harness.counters.values["calls.ok"] == 1

    asyncio.run(run())


# --- the directory in which a process leaves its state for its successor -------------------------------


def test_a_worker_put_out_while_the_folder_fails_stays_out_for_the_successor(tmp_path: Path) -> None:
    async def play() -> None:
        workers = Workers({"vyuctovani": 5.0})
        await workers.open(2)
        agent = Agent(workers.addresses)
        await agent.open()
        listen, folder, moved_away = free_port(), tmp_path / "lasting", tmp_path / "away"
        folder.mkdir()
        old = Process(folder, listen, agent, "old")
        processes = [old]
        with running(processes):
            try:
                await old.ready()
                folder.rename(moved_away)  # from now on every write to it fails
                assert await old.call("PUT /ops/workers/down", "s-0") == 200
                await asyncio.sleep(0.5)
                moved_away.rename(folder)
                async with asyncio.timeout(5.0):
                    while not (folder / "gaphub-n0.out").exists():
                        await asyncio.sleep(0.02)
                processes.append(new := Process(folder, listen, agent, "new"))
                await new.ready()
                old.end()
                assert [await job(listen, f"r{i}") for i in range(20)] == [200] * 20
                assert workers.jobs_started[workers.addresses[0]] == 0
            finally:
                agent.close()
                workers.close()

    asyncio.run(play())


# --- reading and writing -------------------------------------------------------------------------------

READ_ERRORS = [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET, errno.EPIPE, errno.ENETDOWN]


@pytest.fixture
def pending_read_errors(monkeypatch: pytest.MonkeyPatch) -> list[tuple[int, int]]:
    """Errors to inject into reads: the remote port, and the errno of the next read from there."""
    recv = socket.socket.recv
    pending: list[tuple[int, int]] = []

    def read_or_fail(self: socket.socket, size: int) -> bytes:
        if pending and self.getpeername()[1] == pending[0][0]:
            raise os_error(pending.pop()[1])
        return recv(self, size)

    monkeypatch.setattr(socket.socket, "recv", read_or_fail)
    return pending


@pytest.mark.parametrize("number", READ_ERRORS)
def test_a_worker_s_connection_that_breaks_in_any_way_is_a_break(
        number: int, pending_read_errors: list[tuple[int, int]]) -> None:
    async def run() -> None:
        async with Harness() as harness:
            await harness.play(FIRST_CALL + "c send job vyuctovani r1 ab\nw expect r1.*ab")
            pending_read_errors.append((harness.ports["w"], number))
            await harness.play("""
                w send lines r1 done=one .
                c expect HTTP/1.1 502
                count calls.reset 1
                count calls.sent 1
            """)
            assert not pending_read_errors
            await harness.play("""
                c send job poloha r2
                w next
                w expect r2
                w send lines r2 done=two .
                c expect 200 .*two
            """)

    asyncio.run(run())


@pytest.mark.parametrize("number", READ_ERRORS)
def test_an_agent_s_connection_that_breaks_in_any_way_is_opened_anew(
        number: int, pending_read_errors: list[tuple[int, int]]) -> None:
    async def run() -> None:
        async with Harness() as harness:
            await harness.play(FIRST_CALL)
            pending_read_errors.append((harness.ports["d"], number))
            await harness.play("""
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
    monkeypatch.setattr(socket.socket, "send", lambda self, data, *flags: send(self, data[:5], *flags))
    play_served()
