"""Owns the clients of the lab: requests at a settable rate through the front, and the audit of every answer.

An audit row is final: when it was sent, its class, how it ended and when.  A client must never resend an id.
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
from .world import read_head

WORTH = {"poloha": 3.0, "udalost": 2.0, "vyuctovani": 10.0}
SHARES = {"poloha": 0.43, "udalost": 0.43, "vyuctovani": 0.14}
OPEN_MOST = 400  # requests under way
TRIES = 3  # a first try and two more, as the platform's clients do


class Row(NamedTuple):
    """One try: ``ending`` is the status code, or 0 where the connection ended without an answer."""

    sent: float
    cls: str
    ident: str
    ending: int
    took: float
    job: int  # tries of one job share it
    retry_after: float = 0.0


@dataclass
class Job:
    """One job of a client, over its tries."""

    number: int
    cls: str
    sent: float
    served: bool = False
    ended: float = 0.0


class Clients:
    """Sends at ``rate`` requests a second until closed."""

    def __init__(self, to: Address, rate: float, seed: int = 1) -> None:
        self.to = to
        self.rate = rate
        self.rows: list[Row] = []
        self.jobs: list[Job] = []
        self.surplus = 0  # bytes or answers that nobody asked for
        self._draw = random.Random(seed)
        self._prefix = f"{self._draw.getrandbits(40):010x}"
        self._serial = 0
        self._counters = Counters()
        self._tasks = Tasks(self._counters)
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._open = 0

    def start(self) -> None:
        """Begin."""
        self._tasks.start(self._run())

    async def close(self) -> None:
        """Stop; what is under way is given up."""
        await self._tasks.close()
        for _, writer in self._idle:
            writer.transport.abort()

    async def drain(self, within_s: float) -> None:
        """Send nothing new and wait for what is under way."""
        self.rate = 0.0
        ends = time.monotonic() + within_s
        while self._open and time.monotonic() < ends:
            await asyncio.sleep(0.02)

    async def _run(self) -> None:
        at = time.monotonic()
        while True:
            if self.rate <= 0:
                await asyncio.sleep(0.05)
                at = time.monotonic()
                continue
            at += self._draw.expovariate(self.rate)
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            if self._open < OPEN_MOST:
                cls = self._draw.choices(list(SHARES), list(SHARES.values()))[0]
                job = Job(len(self.jobs), cls, time.monotonic())
                self.jobs.append(job)
                self._open += 1
                self._tasks.start(self._job(job))

    async def _job(self, job: Job) -> None:
        try:
            for n in range(TRIES):
                row = await self._try(job)
                self.rows.append(row)
                if row.ending == 200:
                    job.served = True
                    break
                # As the platform's clients: whatever failed may be tried again as a new request, after a wait.
                await asyncio.sleep(row.retry_after or 0.2 * (n + 1) * self._draw.uniform(0.5, 1.5))
        finally:
            job.ended = time.monotonic()
            self._open -= 1

    async def _try(self, job: Job) -> Row:
        self._serial += 1
        ident = f"{self._prefix}{self._serial:06x}"
        began = time.monotonic()
        head = (f"POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {ident}\r\nX-Priority-Class: {job.cls}"
                f"\r\nX-Timeout: 5000m\r\nContent-Length: 8\r\n\r\n").encode() + b"12345678"
        ending, wait = 0, 0.0
        writer: asyncio.StreamWriter | None = None
        kept = False
        try:
            async with asyncio.timeout(5.0):
                kept, reader, writer = await self._connection()
                writer.write(head)
                first, headers = await read_head(reader)
                body = await reader.readexactly(int(headers["content-length"]))
                ending, wait = int(first.split(" ")[1]), float(headers.get("retry-after", "0"))
                if ending == 200 and not body.startswith(ident.encode()):
                    self.surplus += 1  # somebody else's answer
                if headers.get("connection") != "close":
                    self._idle.append((reader, writer))
                    writer = None
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, KeyError):
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
        if kept and not ending:
            # A kept connection that ends under a request is no news of the service: all of them may be as
            # old, so the next try, a request of its own, takes a new one at once.
            wait = 0.001
            while self._idle:
                self._idle.pop()[1].transport.abort()
        return Row(began, job.cls, ident, ending, time.monotonic() - began, job.number, wait)

    async def _connection(self) -> tuple[bool, asyncio.StreamReader, asyncio.StreamWriter]:
        while self._idle:
            reader, writer = self._idle.pop()
            if not reader.at_eof() and not writer.transport.is_closing():
                if reader._buffer:  # type: ignore[attr-defined]  # bytes after the answer: a second one
                    self.surplus += 1
                    writer.transport.abort()
                    continue
                return True, reader, writer
        return False, *await asyncio.open_connection(*self.to)
