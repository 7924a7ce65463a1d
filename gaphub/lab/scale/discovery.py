"""Simulated discovery agents: one worker list, and for each real scheduler an agent that counts bytes.

An agent serves the full list and watches (long polls).  A change of the list removes a worker or adds it again.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence

import msgspec

from ...config import Address, DestinationList, ListedEntry
from ..stand_ins import read_head
from .hollow import worker_name

MAX_WATCH_S = 5.0  # the longest time that a watch is held open


class Registry:
    """The list of workers, and the change that each version of it made."""

    def __init__(self, workers: int, zones: int, addresses: Sequence[Address], seed: int) -> None:
        """``addresses``: of the few workers that listen; the list gives each of them to many workers."""
        self.workers = workers
        self.zones = zones
        self.addresses = addresses
        self.listed = [True] * workers
        self.version = 1
        self.changed = asyncio.Event()  # replaced at each change
        self._changes: list[int] = []  # the worker that changed in each version, from version 2 on
        self._random = random.Random(seed)

    def set_listed(self, worker: int, listed: bool) -> None:
        """Remove a worker from the list, or add it again."""
        self.listed[worker] = listed
        self._changes.append(worker)
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def relist_all(self) -> None:
        """Add every removed worker again."""
        for worker in [w for w, listed in enumerate(self.listed) if not listed]:
            self.set_listed(worker, True)

    def workers_by_zone(self) -> list[int]:
        """All workers, ordered by zone."""
        return [w for zone in range(self.zones) for w in range(zone, self.workers, self.zones)]

    async def churn(self, per_s: float) -> None:
        """Change the list at this rate until cancelled: each removed worker is added again by the next change.

        The intervals between changes are exponentially distributed.
        """
        removed: int | None = None
        due = time.monotonic()
        while per_s > 0:
            due += self._random.expovariate(per_s)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            worker = self._random.randrange(self.workers) if removed is None else removed
            self.set_listed(worker, removed is not None)
            removed = worker if removed is None else None

    def encode_list(self, since_version: int | None) -> bytes:
        """The full list (None), or the workers that have changed since a version."""
        workers = range(self.workers) if since_version is None else sorted(set(self._changes[since_version - 1:]))
        entries = [self._entry(w) for w in workers if since_version is not None or self.listed[w]]
        return msgspec.json.encode(
            DestinationList(version=self.version, full=since_version is None, servers=entries))

    def _entry(self, worker: int) -> ListedEntry:
        host, port = self.addresses[worker % len(self.addresses)]
        return ListedEntry(worker_name(worker), f"{host}:{port}", "active" if self.listed[worker] else "left",
                           zone_name(worker % self.zones), "m", worker % self.zones, 1.0)


def zone_name(zone: int) -> str:
    """The name of a zone in the list and in the settings."""
    return f"z{zone}"


class CountingAgent:
    """The discovery agent of one scheduler.

    A request is counted together with its answer, when it is answered.  A measured window that ends while a
    request waits therefore counts neither.
    """

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.address: Address = ("", 0)
        self.request_bytes = 0
        self.answer_bytes = 0
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request_line, headers = await read_head(reader)
                body = await self._answer_body(request_line.split(" ")[1])
                data = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
                self.request_bytes += _head_bytes(request_line, headers)
                self.answer_bytes += len(data)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError, IndexError):
            pass  # the scheduler closed the connection
        finally:
            writer.close()

    async def _answer_body(self, target: str) -> bytes:
        query = dict(part.partition("=")[::2] for part in target.partition("?")[2].split("&"))
        since_version = int(query.get("index", "0"))
        if not 0 < since_version <= self.registry.version:
            return self.registry.encode_list(None)
        if since_version == self.registry.version:
            wait_s = min(float(query.get("wait", "0")) / 1000.0, MAX_WATCH_S)
            try:
                async with asyncio.timeout(wait_s):
                    await self.registry.changed.wait()
            except TimeoutError:
                pass
        return self.registry.encode_list(since_version)


def _head_bytes(request_line: str, headers: dict[str, str]) -> int:
    """The length in bytes of a request head on the wire."""
    return len(request_line) + 4 + sum(len(name) + len(value) + 4 for name, value in headers.items())
