"""Requests whose last byte comes long after their first one, while a real scheduler serves or shuts down.

The protocol page counts a request's time from its last byte.  A scheduler that gets SIGTERM must have answered all
requests that came more than 0.7 s after it by the earliest SIGKILL, which follows the longest deadline (counted as
3 s at most) plus 0.7 s after SIGTERM.
"""

from __future__ import annotations

import asyncio
import signal
import time
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from .fleet import cut, play
from .processes import Process
from .soak import DEADLINE_MAX_S, KILL_MARGIN_S
from .test_shutdown_limits import Site

SOCKET_TOLERANCE_S = 0.05  # the page's tolerance on real sockets
TOLD_TOLERANCE_S = 0.15  # by which an attempt may tell its worker more than what the client has left
CLIENTS = 6
MEASURED_JOBS = 6  # served before SIGTERM, so that the scheduler knows how long jobs take
TEST_TIMEOUT_S = 40.0


def job_class(effect: str, aim_s: float, deadline_s: float, late_worth: float = 0.0) -> dict[str, Any]:
    """The settings of the only class; ``late_worth``: what an answer after the aim is worth."""
    return {"name": "poloha", "slo": aim_s * 1e3, "deadline": deadline_s * 1e3, "idempotency": effect,
            "lateWorth": late_worth}


@dataclass
class SlowRequest:
    """One request that a client writes in pieces.  Times are on the monotonic clock."""

    ident: str
    deadline_s: float
    writing_s: float  # from its first piece to its last
    piece_count: int = 8
    status: int = 0  # of its answer; 0: none
    completed_at: float = 0.0  # when its last byte was written; 0: never

    def pieces(self) -> list[bytes]:
        """The request, cut into pieces."""
        data = (f"POST /api HTTP/1.1\r\nHost: a\r\nX-Request-ID: {self.ident}\r\nX-Priority-Class: poloha\r\n"
                f"X-Timeout: {self.deadline_s * 1e3:.0f}m\r\nContent-Length: 40\r\n\r\n{'b' * 40}").encode()
        return cut(data, self.piece_count)

    async def send(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Write the request on an open connection and read its answer."""
        with suppress(OSError, asyncio.IncompleteReadError):
            for i, piece in enumerate(self.pieces()):
                if i and self.writing_s:
                    await asyncio.sleep(self.writing_s / (self.piece_count - 1))
                if reader.at_eof():
                    return
                writer.write(piece)
            self.completed_at = time.monotonic()
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]))
            self.status = int(head.split()[1])

    async def connect_and_send(self, port: int) -> None:
        """Write the request on a new connection and read its answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        await self.send(reader, writer)
        writer.close()


async def measure(port: int, deadline_s: float) -> None:
    """Have jobs served, one after another."""
    for i in range(MEASURED_JOBS):
        served = SlowRequest(f"measured-{i}", deadline_s, 0.0)
        await served.connect_and_send(port)
        assert served.status == 200


def earliest_kill_s(deadline_s: float) -> float:
    """Time from SIGTERM to the earliest SIGKILL."""
    return min(deadline_s, DEADLINE_MAX_S) + KILL_MARGIN_S


# Guards against requests that began before SIGTERM and were whole long after it, and had no answer at SIGKILL: the
# time until which they must be answered was set for those alone whose first byte came late.
@pytest.mark.parametrize(("deadline_s", "writing_s"), [(0.9, 1.0), (3.0, 1.9), (20.0, 1.9)])
@pytest.mark.parametrize("effect", ["at_most_once", "idempotent"])
def test_requests_written_slowly_over_sigterm_are_answered_by_sigkill(
        effect: str, deadline_s: float, writing_s: float, tmp_path: Path) -> None:
    kill_after_s = earliest_kill_s(deadline_s)
    requests = [SlowRequest(f"slow-{i}", deadline_s, writing_s) for i in range(CLIENTS)]

    async def scenario(scheduler: Process) -> None:
        sending = []
        for request in requests:
            sending.append(asyncio.create_task(request.connect_and_send(scheduler.listen)))
            await asyncio.sleep(0.05)
        sigterm_at = time.monotonic()
        scheduler.process.send_signal(signal.SIGTERM)
        kill_at = sigterm_at + kill_after_s + SOCKET_TOLERANCE_S
        while scheduler.process.poll() is None and time.monotonic() < kill_at:
            await asyncio.sleep(0.005)
        scheduler.process.kill()
        await asyncio.wait(sending)
        owed = [request for request in requests
                if request.completed_at > sigterm_at + KILL_MARGIN_S + SOCKET_TOLERANCE_S]
        assert owed, "no request came late"
        assert all(request.status for request in owed), requests

    classes = [job_class(effect, min(1.2, deadline_s / 2), deadline_s)]
    play(Site(tmp_path, kill_after_s, grades=classes).play(scenario), TEST_TIMEOUT_S)


# Guards against the same where the beginning of the request lay behind another one, which was answered meanwhile.
def test_a_request_begun_behind_another_before_sigterm_is_answered_by_sigkill(tmp_path: Path) -> None:
    deadline_s, first_work_s, rest_after_s = 20.0, 0.6, 1.4
    site = Site(tmp_path, first_work_s, grades=[job_class("at_most_once", 1.2, deadline_s, late_worth=0.3)])
    first, second = (SlowRequest(ident, deadline_s, 0.0) for ident in ("first", "second"))

    async def scenario(scheduler: Process) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", scheduler.listen)
        pieces = second.pieces()
        writer.write(b"".join(first.pieces()) + pieces[0])
        await asyncio.sleep(0.1)
        scheduler.process.send_signal(signal.SIGTERM)
        sigterm_at = time.monotonic()
        assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
        site.work_s = earliest_kill_s(deadline_s)
        await asyncio.sleep(sigterm_at + rest_after_s - time.monotonic())
        writer.write(b"".join(pieces[1:]))
        kill_at = sigterm_at + earliest_kill_s(deadline_s) + SOCKET_TOLERANCE_S
        async with asyncio.timeout(kill_at - time.monotonic()):
            head = await reader.readuntil(b"HTTP/1.1 ") + await reader.readuntil(b"\r\n\r\n")
        assert head, "closed with no answer"
        writer.close()

    play(site.play(scenario), TEST_TIMEOUT_S)


# Guards against refusing jobs that can still be served before SIGKILL, by the time that they usually take.
@pytest.mark.parametrize("late_worth", [0.0, 0.3])
@pytest.mark.parametrize("effect", ["at_most_once", "idempotent"])
def test_requests_written_slowly_over_sigterm_are_served_where_there_is_time(
        effect: str, late_worth: float, tmp_path: Path) -> None:
    deadline_s, work_s, writing_s = 20.0, 0.2, 2.4
    requests = [SlowRequest(f"slow-{i}", deadline_s, writing_s) for i in range(CLIENTS)]

    async def scenario(scheduler: Process) -> None:
        await measure(scheduler.listen, deadline_s)
        sending = []
        for request in requests:
            sending.append(asyncio.create_task(request.connect_and_send(scheduler.listen)))
            await asyncio.sleep(0.05)
        scheduler.process.send_signal(signal.SIGTERM)
        await asyncio.wait(sending)
        assert all(request.status == 200 for request in requests), requests

    classes = [job_class(effect, 1.2, deadline_s, late_worth)]
    play(Site(tmp_path, work_s, grades=classes).play(scenario), TEST_TIMEOUT_S)


# Guards against the same refusal of jobs that come at once, late after SIGTERM on an open connection: they needed
# 1.5 times their class's latency target, however fast the workers were.
@pytest.mark.parametrize("late_worth", [0.0, 0.3])
@pytest.mark.parametrize(("aim_s", "sent_after_s"), [(1.2, 1.9), (2.5, 0.8)])
def test_requests_sent_late_after_sigterm_are_served_where_there_is_time(
        aim_s: float, sent_after_s: float, late_worth: float, tmp_path: Path) -> None:
    deadline_s, work_s = 20.0, 0.2
    requests = [SlowRequest(f"late-{i}", deadline_s, 0.0) for i in range(CLIENTS)]

    async def scenario(scheduler: Process) -> None:
        await measure(scheduler.listen, deadline_s)
        connections = []
        for i in range(CLIENTS):
            connections.append(await asyncio.open_connection("127.0.0.1", scheduler.listen))
            await SlowRequest(f"first-{i}", deadline_s, 0.0).send(*connections[-1])
        scheduler.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(sent_after_s)
        await asyncio.gather(*(request.send(*connection)
                               for request, connection in zip(requests, connections, strict=True)))
        for _, writer in connections:
            writer.close()
        assert all(request.status == 200 for request in requests), requests

    classes = [job_class("at_most_once", aim_s, deadline_s, late_worth)]
    play(Site(tmp_path, work_s, grades=classes).play(scenario), TEST_TIMEOUT_S)


# Guards against jobs that keep the former end of the drain when SIGHUP, after SIGTERM, brings shorter deadlines
# and with them an earlier SIGKILL.
@pytest.mark.parametrize("effect", ["at_most_once", "idempotent"])
def test_requests_that_came_before_shorter_deadlines_are_answered_by_the_earlier_sigkill(
        effect: str, tmp_path: Path) -> None:
    long_deadline_s, short_deadline_s = 3.0, 0.6
    requests = [SlowRequest(f"late-{i}", long_deadline_s, 0.0) for i in range(CLIENTS)]
    site = Site(tmp_path, long_deadline_s, grades=[job_class(effect, 0.5, long_deadline_s)])

    async def scenario(scheduler: Process) -> None:
        connections = [await asyncio.open_connection("127.0.0.1", scheduler.listen) for _ in requests]
        scheduler.process.send_signal(signal.SIGTERM)
        sigterm_at = time.monotonic()
        await asyncio.sleep(KILL_MARGIN_S + SOCKET_TOLERANCE_S)
        sending = [asyncio.create_task(request.send(*connection))
                   for request, connection in zip(requests, connections, strict=True)]
        await asyncio.sleep(0.1)
        scheduler.reload(settings={**site.settings, "grades": [job_class(effect, 0.3, short_deadline_s)]})
        await asyncio.sleep(sigterm_at + earliest_kill_s(short_deadline_s) + SOCKET_TOLERANCE_S - time.monotonic())
        scheduler.process.kill()
        await asyncio.wait(sending)
        for _, writer in connections:
            writer.close()
        assert all(request.completed_at for request in requests)
        assert all(request.status for request in requests), requests

    play(site.play(scenario), TEST_TIMEOUT_S)


# Guards against refusing a request unsent because it took longer to write than its client waits for the answer.
@pytest.mark.parametrize("piece_count", [8, 150])
@pytest.mark.parametrize("effect", ["at_most_once", "idempotent"])
def test_a_request_that_takes_longer_to_write_than_its_deadline_is_served(
        effect: str, piece_count: int, tmp_path: Path) -> None:
    deadline_s = 0.6
    site = Site(tmp_path, 0.1, grades=[job_class(effect, 0.3, deadline_s)])
    request = SlowRequest("slow", deadline_s, 1.2, piece_count)

    async def scenario(scheduler: Process) -> None:
        await request.connect_and_send(scheduler.listen)
        assert request.status == 200
        (attempt,) = site.worker.attempts
        left_s = request.completed_at + deadline_s - attempt.completed_at
        assert attempt.x_timeout_ms / 1e3 <= left_s + TOLD_TOLERANCE_S

    play(site.play(scenario), TEST_TIMEOUT_S)
