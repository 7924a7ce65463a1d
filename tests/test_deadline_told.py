"""The X-Timeout of an attempt states at most the time that the client has left, with a tolerance of 0.15 s.

A client's time-out counts from when it sent its request. Time that the request spent in the accept queue,
in a socket buffer or behind another request is used up. All tests use real sockets and the monotonic clock.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import time
from pathlib import Path

import pytest

from gaphub.net import http
from gaphub.net.arrival import ArrivalLog

from .fleet import Attempt, Worker, WorkerConnection, play
from .processes import Process
from .scenario import SETTINGS, Harness
from .test_shutdown_limits import Site, read_until_closed, request

TOLERANCE_MS = 150.0
STALL_S = 0.15  # stall of the process between reading its clock and writing
STOPPED_S = 0.4  # for which the scheduler's process is stopped
TIMEOUT_MS = 3000.0
PATIENT = [{"name": "poloha", "slo": 1500.0, "deadline": TIMEOUT_MS, "idempotency": "idempotent"}]
TEST_TIMEOUT_S = 30.0


def excess_ms(attempt: Attempt, sent_at: float, timeout_ms: float = TIMEOUT_MS) -> float:
    """By how much X-Timeout exceeded the time that the client had left when the last byte reached the worker."""
    return attempt.x_timeout_ms - (timeout_ms - (attempt.completed_at - sent_at) * 1e3)


async def attempts_of(site: Site, count: int) -> list[Attempt]:
    async with asyncio.timeout(5.0):
        while len(site.worker.attempts) < count or not site.worker.attempts[-1].completed_at:
            await asyncio.sleep(0.005)
    return site.worker.attempts


@pytest.mark.parametrize("where", ["the socket", "the accept queue"])
def test_time_that_a_request_lay_unread_while_the_process_stood_is_used_up(where: str, tmp_path: Path) -> None:
    site = Site(tmp_path, 0.0, grades=PATIENT)

    async def course(one: Process) -> None:
        if where == "the socket":
            _, writer = await asyncio.open_connection("127.0.0.1", one.listen)
            writer.write(request("first", TIMEOUT_MS))
            await attempts_of(site, 1)
        one.process.send_signal(signal.SIGSTOP)
        if where == "the accept queue":
            _, writer = await asyncio.open_connection("127.0.0.1", one.listen)
        sent_at = time.monotonic()
        writer.write(request("late", TIMEOUT_MS))
        await asyncio.sleep(STOPPED_S)
        one.process.send_signal(signal.SIGCONT)
        late = (await attempts_of(site, 1 + (where == "the socket")))[-1]
        assert late.ident == "late"
        assert excess_ms(late, sent_at) <= TOLERANCE_MS, late
        writer.close()

    play(site.play(course), TEST_TIMEOUT_S)


def test_time_that_a_request_waited_behind_another_on_its_connection_is_used_up(tmp_path: Path) -> None:
    site = Site(tmp_path, 0.4, grades=PATIENT)

    async def course(one: Process) -> None:
        _, writer = await asyncio.open_connection("127.0.0.1", one.listen)
        sent_at = time.monotonic()
        writer.write(request("first", TIMEOUT_MS) + request("second", TIMEOUT_MS))
        second = (await attempts_of(site, 2))[-1]
        assert second.ident == "second"
        assert excess_ms(second, sent_at) <= TOLERANCE_MS, second
        writer.close()

    play(site.play(course), TEST_TIMEOUT_S)


def test_a_request_whose_time_passed_behind_another_is_refused_and_not_sent_on(tmp_path: Path) -> None:
    site = Site(tmp_path, 0.4, grades=PATIENT)

    async def course(one: Process) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", one.listen)
        writer.write(request("first", TIMEOUT_MS) + request("second", 200.0))
        one.process.send_signal(signal.SIGTERM)
        got = await read_until_closed(reader)
        assert b" 200 " in got and b" 503 " in got, got
        assert [a.ident for a in site.worker.attempts] == ["first"]

    play(site.play(course), TEST_TIMEOUT_S)


class SlowWorker:
    """A worker with a small receive window that reads nothing from a new connection for a while."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.listener.setblocking(False)

    async def read_later(self, after_s: float) -> tuple[float, float]:
        """X-Timeout of the first complete request, in ms, and when its last byte was received."""
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.listener)
            await asyncio.sleep(after_s)
            got = b""
            try:
                while b"\r\n\r\n" not in got or not got.endswith(b"z"):
                    if not (data := await loop.sock_recv(sock, 65536)):
                        break
                    got += data
                else:
                    sock.sendall(b"HTTP/1.1 503 U\r\nContent-Length: 0\r\nX-Not-Processed: 1\r\n\r\n")
                    timeout_ms = float(got.lower().partition(b"x-timeout: ")[2].partition(b"m")[0])
                    return timeout_ms, time.monotonic()
            except OSError:
                pass
            finally:
                sock.close()


# The worker reads the body late: X-Timeout was right when the head was written and is too long by the last byte.
def test_a_head_that_has_grown_old_before_the_last_byte_is_written_anew() -> None:
    async def run() -> None:
        async with Harness(settings={"limits": {**SETTINGS["limits"], "mostTries": 1}}) as harness:
            slow_worker = SlowWorker()
            harness.ports["w"] = slow_worker.listener.getsockname()[1]
            await harness.play("d expect index=41\nd send list 42 full w=active\nd expect index=42")
            _, writer = await asyncio.open_connection(*harness.config.listen)
            sent_at = time.monotonic()
            body = "x" * 65_000 + "z"
            writer.write(harness.render("c", f"job poloha r1 {body} X-Timeout:3000m"))
            timeout_ms, whole = await slow_worker.read_later(0.5)
            assert timeout_ms - (3000.0 - (whole - sent_at) * 1e3) <= TOLERANCE_MS
            writer.close()
            slow_worker.listener.close()

    asyncio.run(asyncio.wait_for(run(), TEST_TIMEOUT_S))


JOB_HEAD = b"POST "  # calls to discovery use the same Connection class
ATTEMPTS = {"the first attempt": 1, "a retry": 2, "a second copy": 2}


@pytest.mark.parametrize("name", ATTEMPTS)
@pytest.mark.parametrize("where", ["before the head", "before the last byte"])
def test_what_is_told_covers_a_process_held_up_between_its_clock_and_its_write(
        name: str, where: str, monkeypatch: pytest.MonkeyPatch) -> None:
    write = http.Connection._write
    stalled: list[bytes] = []
    written_at: list[float] = []  # when each attempt's last byte was written

    async def stall_and_write(self: http.Connection, data: bytes) -> None:
        of_job = data.startswith(JOB_HEAD) if where == "before the head" else len(data) == 1
        if of_job and len(stalled) < ATTEMPTS[name]:
            stalled.append(data)
            time.sleep(STALL_S)
        await write(self, data)
        if len(data) == 1:
            written_at.append(time.monotonic())

    monkeypatch.setattr(http.Connection, "_write", stall_and_write)
    got: list[Attempt] = []

    def behave(attempt: Attempt, connection: WorkerConnection) -> None:
        got.append(attempt)
        if len(got) == ATTEMPTS[name]:
            connection.send_result(attempt, "done")
        elif name == "a retry":
            connection.send_answer("503 Service Unavailable", b"", "X-Not-Processed: 1")

    # Second copies only in the case that tests them: a stalled process may send one, an attempt too many.
    settings = {"limits": {**SETTINGS["limits"], "secondCopies": name == "a second copy", "cancel": True},
                "report": {"fields": [], "via": "off"}}

    async def run() -> None:
        workers = [Worker(behave), Worker(behave)]
        for worker in workers:
            await worker.open()
        async with Harness(settings=settings) as harness:
            harness.ports |= {"w": workers[0].address[1], "x": workers[1].address[1]}
            await harness.play("d expect index=41\nd send list 42 full w=active x=active\nd expect index=42")
            sent_at = time.monotonic()
            await harness.play("c send job poloha r1 ab X-Timeout:2000m\nc expect 200 .*r")
            assert len(got) == len(written_at) == len(stalled) == ATTEMPTS[name]
            for attempt, whole in zip(got, written_at, strict=True):
                attempt.completed_at = whole
                assert excess_ms(attempt, sent_at, 2000.0) <= TOLERANCE_MS, attempt
        for worker in workers:
            worker.close()

    play(run(), TEST_TIMEOUT_S)


@pytest.mark.parametrize("first_s", [0.03, 0.1, 0.15])
def test_what_is_told_covers_a_process_held_up_before_the_head_and_again_before_the_last_byte(
        first_s: float, monkeypatch: pytest.MonkeyPatch) -> None:
    """The process stalls for up to 0.15 s between reading its clock and a write, twice in one attempt.

    A request whose head was late by less than 0.1 s was once completed all the same. With a second stall before
    its last byte, X-Timeout stated 0.23 s more than was left.
    """
    write = http.Connection._write
    written_at: list[float] = []
    stalled: list[float] = []

    async def stall_and_write(self: http.Connection, data: bytes) -> None:
        last = len(data) == 1
        if (not stalled and data.startswith(JOB_HEAD)) or (len(stalled) == 1 and last):
            stalled.append(STALL_S if last else first_s)
            time.sleep(stalled[-1])
        await write(self, data)
        if last:
            written_at.append(time.monotonic())

    monkeypatch.setattr(http.Connection, "_write", stall_and_write)
    got: list[Attempt] = []

    def behave(attempt: Attempt, connection: WorkerConnection) -> None:
        got.append(attempt)
        connection.send_result(attempt, "done")

    async def run() -> None:
        worker = Worker(behave)
        await worker.open()
        async with Harness(settings={"report": {"fields": [], "via": "off"}}) as harness:
            harness.ports["w"] = worker.address[1]
            await harness.play("d expect index=41\nd send list 42 full w=active\nd expect index=42")
            sent_at = time.monotonic()
            await harness.play("c send job poloha r1 ab X-Timeout:2000m\nc expect 200 .*r")
            assert stalled == [first_s, STALL_S]
            (attempt,) = got
            (attempt.completed_at,) = written_at
            assert excess_ms(attempt, sent_at, 2000.0) <= TOLERANCE_MS, attempt
        worker.close()

    play(run(), TEST_TIMEOUT_S)


def test_arrival_times_go_with_the_bytes() -> None:
    log = ArrivalLog()
    log.record(10, 1.0, 1.5)
    log.record(5, 2.0, 2.5)
    assert [log.arrival_of(offset) for offset in (0, 9, 10, 14)] == [1.0, 1.0, 2.0, 2.0]
    assert log.read_time_of(14) == 2.5
    assert log.arrival_of(15) is None and log.read_time_of(15) is None
    for i in range(10_000):
        log.record(1, 3.0 + i, 3.5 + i)
    assert log.arrival_of(15) == 3.0
    assert log.read_time_of(15) == 3.5
    assert len(log._chunks) <= ArrivalLog.MAX_ENTRIES
    last = log.arrival_of(10_014)
    assert last is not None and 3.0 <= last <= 10_002.0  # never later than it arrived
    assert log.read_time_of(10_014) == 10_002.5  # never earlier than it was read
