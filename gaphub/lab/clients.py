"""Load generator: clients that send jobs at a given rate, retry them, and record how every try ended.

A record is written once, when its try has ended.  Request IDs are never reused.
"""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from typing import NamedTuple

from ..config import Address
from ..metrics import Counters
from ..tasks import Tasks
from .stand_ins import read_head

WORTH = {"poloha": 3.0, "udalost": 2.0, "vyuctovani": 10.0}
CLASS_SHARES = {"poloha": 0.43, "udalost": 0.43, "vyuctovani": 0.14}
MAX_OPEN_JOBS = 400  # jobs in progress
MAX_TRIES = 3  # the first try and two retries, as in the platform's clients


class TryRecord(NamedTuple):
    """One try: ``status`` is the status code, or 0 if the connection ended without an answer."""

    sent_at: float
    class_name: str
    request_id: str
    status: int
    duration_s: float
    job: int  # number of the job that the try belongs to
    retry_after: float = 0.0


@dataclass
class Job:
    """One job, over all its tries."""

    number: int
    class_name: str
    sent_at: float
    served: bool = False
    ended_at: float = 0.0


class Clients:
    """Sends ``rate`` jobs a second to one address until closed."""

    def __init__(self, address: Address, rate: float, seed: int = 1) -> None:
        self.address = address
        self.rate = rate
        self.rows: list[TryRecord] = []
        self.jobs: list[Job] = []
        self.unexpected_answers = 0  # answers to another request, or bytes that follow an answer
        self._random = random.Random(seed)
        self._prefix = f"{self._random.getrandbits(40):010x}"
        self._last_number = 0
        self._counters = Counters()
        self._tasks = Tasks(self._counters)
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._open_jobs = 0

    def start(self) -> None:
        """Start sending."""
        self._tasks.start(self._run())

    async def close(self) -> None:
        """Stop sending and abort the tries in progress."""
        await self._tasks.close()
        for _, writer in self._idle:
            writer.transport.abort()

    async def drain(self, within_s: float) -> None:
        """Send no new jobs and wait up to ``within_s`` for those in progress."""
        self.rate = 0.0
        deadline = time.monotonic() + within_s
        while self._open_jobs and time.monotonic() < deadline:
            await asyncio.sleep(0.02)

    async def _run(self) -> None:
        next_at = time.monotonic()
        while True:
            if self.rate <= 0:
                await asyncio.sleep(0.05)
                next_at = time.monotonic()
                continue
            next_at += self._random.expovariate(self.rate)
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            if self._open_jobs < MAX_OPEN_JOBS:
                class_name = self._random.choices(list(CLASS_SHARES), list(CLASS_SHARES.values()))[0]
                job = Job(len(self.jobs), class_name, time.monotonic())
                self.jobs.append(job)
                self._open_jobs += 1
                self._tasks.start(self._run_job(job))

    async def _run_job(self, job: Job) -> None:
        try:
            for n in range(MAX_TRIES):
                row = await self._send_try(job)
                self.rows.append(row)
                if row.status == 200:
                    job.served = True
                    break
                # Like the platform's clients: any failed try is repeated as a new request after a delay.
                await asyncio.sleep(row.retry_after or 0.2 * (n + 1) * self._random.uniform(0.5, 1.5))
        finally:
            job.ended_at = time.monotonic()
            self._open_jobs -= 1

    async def _send_try(self, job: Job) -> TryRecord:
        self._last_number += 1
        request_id = f"{self._prefix}{self._last_number:06x}"
        started_at = time.monotonic()
        head = (f"POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {request_id}\r\n"
                f"X-Priority-Class: {job.class_name}\r\nX-Timeout: 5000m\r\n"
                f"Content-Length: 8\r\n\r\n").encode() + b"12345678"
        status, retry_after = 0, 0.0
        writer: asyncio.StreamWriter | None = None
        is_reused = False
        try:
            async with asyncio.timeout(5.0):
                is_reused, reader, writer = await self._connection()
                writer.write(head)
                first, headers = await read_head(reader)
                body = await reader.readexactly(int(headers["content-length"]))
                status, retry_after = int(first.split(" ")[1]), float(headers.get("retry-after", "0"))
                if status == 200 and not body.startswith(request_id.encode()):
                    self.unexpected_answers += 1  # the answer to another request
                if headers.get("connection") != "close":
                    self._idle.append((reader, writer))
                    writer = None
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, KeyError):
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
        if is_reused and not status:
            # A reused connection that ends during a try says nothing about the service: the others may be as
            # old.  All idle ones are closed, and the next try, a new request, opens a new connection at once.
            retry_after = 0.001
            while self._idle:
                self._idle.pop()[1].transport.abort()
        return TryRecord(started_at, job.class_name, request_id, status, time.monotonic() - started_at, job.number,
                         retry_after)

    async def _connection(self) -> tuple[bool, asyncio.StreamReader, asyncio.StreamWriter]:
        while self._idle:
            reader, writer = self._idle.pop()
            if not reader.at_eof() and not writer.transport.is_closing():
                if reader._buffer:  # type: ignore[attr-defined]  # bytes after the answer: a second answer
                    self.unexpected_answers += 1
                    writer.transport.abort()
                    continue
                return True, reader, writer
        return False, *await asyncio.open_connection(*self.address)
