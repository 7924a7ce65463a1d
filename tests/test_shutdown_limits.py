"""Shutdown of real processes at the limits that the protocol page sets: short deadlines, an early SIGKILL.

SIGKILL comes at the earliest time that the page allows: after SIGTERM, the longest deadline (counted as 3 s at
most) plus 0.7 s.  Until then clients send on every connection that stays open.
"""

from __future__ import annotations

import asyncio
import re
import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from .discovery import Discovery
from .fleet import Attempt, Worker, WorkerConnection, play
from .processes import Process, running
from .scenario import SETTINGS, free_port

DEADLINE_MS = 600.0  # of the only class
KILL_AFTER_S = DEADLINE_MS / 1e3 + 0.7
CLASSES = [{"name": "poloha", "slo": 300.0, "deadline": DEADLINE_MS, "idempotency": "idempotent"}]
WITHIN_S = 30.0


def request(ident: str, timeout_ms: float = DEADLINE_MS) -> bytes:
    """One complete request."""
    return (f"POST /api HTTP/1.1\r\nHost: a\r\nX-Request-ID: {ident}\r\nX-Priority-Class: poloha\r\n"
            f"X-Timeout: {timeout_ms:.0f}m\r\nContent-Length: 2\r\n\r\nab").encode()


def statuses(answers: bytes) -> list[bytes]:
    """The status codes of the answers in the bytes received on a connection."""
    return re.findall(rb"HTTP/1\.1 (\d+)", answers)


class Site:
    """One scheduler, one worker that answers each attempt after ``work_s``, and a discovery agent."""

    def __init__(self, folder: Path, work_s: float, **settings: Any) -> None:
        self.folder = folder
        self.worker = Worker(self._behave)
        self.work_s = work_s
        self.settings = {**SETTINGS, "grades": CLASSES, **settings}
        self.options: dict[str, Any] = {}  # further arguments of ``Process``

    def _behave(self, attempt: Attempt, connection: WorkerConnection) -> None:
        asyncio.get_running_loop().call_later(self.work_s, connection.send_result, attempt, "done")

    async def play(self, scenario: Callable[[Process], Awaitable[None]]) -> None:
        """Start everything and run a scenario on the scheduler."""
        discovery = Discovery()
        await self.worker.open()
        discovery.put("w", self.worker.address[1])
        await discovery.listen()
        scheduler = Process(self.folder, free_port(), discovery, "one", settings=self.settings, admin="",
                            **self.options)
        with running([scheduler]):
            try:
                assert await scheduler.seconds_to_ready() < 20.0
                await scenario(scheduler)
            finally:
                self.worker.close()
                await discovery.refuse()


async def read_until_closed(reader: asyncio.StreamReader) -> bytes:
    """All bytes received on a connection until it is closed or reset."""
    received = bytearray()
    with suppress(OSError):
        while data := await reader.read(65536):
            received += data
    return bytes(received)


# The first request's answer is the first after the scheduler has begun to shut down, when an answer closes its
# connection; the other requests have been read by then.
def test_requests_sent_ahead_that_were_read_are_answered_before_a_leaving_scheduler_closes(tmp_path: Path) -> None:
    async def scenario(scheduler: Process) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", scheduler.listen)
        scheduler.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        writer.write(b"".join(request(f"r{i}") for i in range(4)))
        async with asyncio.timeout(KILL_AFTER_S - 0.3):
            received = await read_until_closed(reader)
        assert len(statuses(received)) == 4, received

    play(Site(tmp_path, 0.3).play(scenario), WITHIN_S)


# Clients keep connecting without end: the listener must not stay open for them until SIGKILL, which would hit
# connections that it has accepted.
def test_a_scheduler_in_a_crowd_has_ended_when_sigkill_may_come(tmp_path: Path) -> None:
    async def reconnect(port: int, first_bytes: bytes) -> None:
        while True:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(first_bytes)
                while await reader.read(4096):
                    pass
                writer.transport.abort()
            await asyncio.sleep(0.02)

    async def scenario(scheduler: Process) -> None:
        crowd = [asyncio.create_task(reconnect(scheduler.listen, b"POST /api HTTP/1.1\r\nHo" if i % 2 else b""))
                 for i in range(60)]
        await asyncio.sleep(0.5)
        scheduler.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(KILL_AFTER_S - 0.1)
        with pytest.raises(OSError):
            await asyncio.open_connection("127.0.0.1", scheduler.listen)
        for task in crowd:
            task.cancel()
        await asyncio.wait(crowd)

    play(Site(tmp_path, 0.01).play(scenario), WITHIN_S)


# SIGHUP after SIGTERM brings shorter deadlines, and with them an earlier SIGKILL: the process must end in time.
def test_new_settings_after_sigterm_bring_the_end_nearer(tmp_path: Path) -> None:
    site = Site(tmp_path, 0.01, grades=[{**CLASSES[0], "deadline": 3000.0}])

    async def scenario(scheduler: Process) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", scheduler.listen)
        writer.write(request("first", 3000.0))
        assert b" 200 " in await reader.read(4096)
        began = asyncio.get_running_loop().time()
        scheduler.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        scheduler.reload(settings={**site.settings, "grades": CLASSES})
        received = b""
        with suppress(OSError):
            while True:  # send as long as the connection stays open
                writer.write(request(f"r{asyncio.get_running_loop().time()}"))
                if not (answer := await reader.read(4096)):
                    break
                received += answer
                await asyncio.sleep(0.05)
        assert asyncio.get_running_loop().time() - began < KILL_AFTER_S
        assert statuses(received)

    play(site.play(scenario), WITHIN_S)
