"""Owns the stand-in for discovery's agents: one list, and an agent for each real scheduler that counts its bytes.

It serves the whole list and watches.  A change is a worker that leaves the list or joins it again.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence

import msgspec

from ...config import Address, DestinationList, ListedEntry
from ..world import read_head
from .hollow import worker_name

WAIT_MOST_S = 5.0  # of a watch


class Registry:
    """The list of workers, and which change was made with which version."""

    def __init__(self, workers: int, zones: int, addresses: Sequence[Address], seed: int) -> None:
        """``addresses``: of the few workers that answer; the list names each of them many times."""
        self.workers = workers
        self.zones = zones
        self.addresses = addresses
        self.listed = [True] * workers
        self.version = 1
        self.changed = asyncio.Event()  # replaced with each change
        self._changes: list[int] = []  # the worker of each version from the second on
        self._draw = random.Random(seed)

    def set(self, worker: int, listed: bool) -> None:
        """Take a worker out of the list, or put it in again."""
        self.listed[worker] = listed
        self._changes.append(worker)
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def restore(self) -> None:
        """Put every worker in again."""
        for worker in [w for w, listed in enumerate(self.listed) if not listed]:
            self.set(worker, True)

    def by_zone(self) -> list[int]:
        """All workers, zone by zone."""
        return [w for zone in range(self.zones) for w in range(zone, self.workers, self.zones)]

    async def churn(self, per_s: float) -> None:
        """Change the list at this rate for ever: a worker leaves, and joins again with the next change."""
        out: int | None = None
        due = time.monotonic()
        while per_s > 0:
            due += self._draw.expovariate(per_s)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            worker = self._draw.randrange(self.workers) if out is None else out
            self.set(worker, out is not None)
            out = worker if out is None else None

    def answer(self, since: int | None) -> bytes:
        """The whole list, or what has changed since a version."""
        some = range(self.workers) if since is None else sorted(set(self._changes[since - 1:]))
        entries = [self._entry(w) for w in some if since is not None or self.listed[w]]
        return msgspec.json.encode(DestinationList(version=self.version, full=since is None, servers=entries))

    def _entry(self, worker: int) -> ListedEntry:
        host, port = self.addresses[worker % len(self.addresses)]
        return ListedEntry(worker_name(worker), f"{host}:{port}", "active" if self.listed[worker] else "left",
                           zone_name(worker % self.zones), "m", worker % self.zones, 1.0)


def zone_name(zone: int) -> str:
    """A zone as the list and the settings spell it."""
    return f"z{zone}"


class CountingAgent:
    """The agent of one scheduler.

    A call counts when it is answered, with its answer: a window that ends while a call waits has neither.
    """

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.address: Address = ("", 0)
        self.asked_bytes = 0
        self.answered_bytes = 0
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                body = await self._body(first.split(" ")[1])
                data = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
                self.asked_bytes += _head_bytes(first, headers)
                self.answered_bytes += len(data)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError, IndexError):
            pass  # the scheduler has gone
        finally:
            writer.close()

    async def _body(self, target: str) -> bytes:
        asked = dict(part.partition("=")[::2] for part in target.partition("?")[2].split("&"))
        since = int(asked.get("index", "0"))
        if not 0 < since <= self.registry.version:
            return self.registry.answer(None)
        if since == self.registry.version:
            wait_s = min(float(asked.get("wait", "0")) / 1000.0, WAIT_MOST_S)
            try:
                async with asyncio.timeout(wait_s):
                    await self.registry.changed.wait()
            except TimeoutError:
                pass
        return self.registry.answer(since)


def _head_bytes(first: str, headers: dict[str, str]) -> int:
    """The length of a head on the wire."""
    return len(first) + 4 + sum(len(name) + len(value) + 4 for name, value in headers.items())
