"""Owns the stand-ins around the daemons: workers that count executions, discovery's agent, the members' relay.

They follow the platform's protocol as its clients see it and must never be lenient: a job that comes twice is
counted twice.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from typing import Any, cast

from ..config import Address


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """The first line and the headers, by small letters; IncompleteReadError at the end."""
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = raw[:-4].split("\r\n")
    return first, {k.strip().lower(): v.strip() for k, _, v in (x.partition(":") for x in lines)}


class Workers:
    """Workers of one process; ``ran`` counts executions by request id."""

    def __init__(self, work_ms: dict[str, float], seed: int = 1) -> None:
        self.work_ms = work_ms
        self.executions: Counter[str] = Counter()
        self.class_by_request: dict[str, str] = {}
        self.addresses: list[Address] = []
        self.jobs_running: Counter[Address] = Counter()  # jobs under way, by worker
        self.jobs_started: Counter[Address] = Counter()  # jobs begun, by worker
        self.peak_running = 0  # the most under way at one worker at once
        self._draw = random.Random(seed)
        self._servers: list[asyncio.Server] = []

    async def open(self, count: int) -> None:
        """Listen with so many."""
        for _ in range(count):
            server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
            self._servers.append(server)
            self.addresses.append(server.sockets[0].getsockname()[:2])

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if not first.startswith("POST"):
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                ident, cls = headers["x-request-id"], headers["x-priority-class"]
                self.executions[ident] += 1
                self.class_by_request[ident] = cls
                at = writer.get_extra_info("sockname")[:2]
                self.jobs_running[at] += 1
                self.jobs_started[at] += 1
                self.peak_running = max(self.peak_running, self.jobs_running[at])
                try:
                    await asyncio.sleep(self.work_ms[cls] * self._draw.uniform(0.7, 1.3) / 1000.0)
                finally:
                    self.jobs_running[at] -= 1
                line = json.dumps({"id": ident, "state": "done", "result": f"{ident}:{len(body)}"}) + "\n"
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                             + f"{len(line):x}\r\n{line}\r\n0\r\n\r\n".encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, KeyError, ValueError):
            pass
        finally:
            writer.close()


class Agent:
    """Discovery's agent: the whole list, and watches that wait."""

    def __init__(self, workers: list[Address]) -> None:
        self.workers = workers
        self.version = 1
        self.address: Address = ("", 0)
        self.waiting_watches = 0  # watches that wait now
        self._hushed = 0  # counts the times at which the watches that waited fell silent
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def replace(self, workers: list[Address], silent: bool = False) -> None:
        """Other workers from now on, under other ids; ``silent``: the watches that wait now never hear of it."""
        self.workers = workers
        self.version += 1
        self._hushed += silent

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, _ = await read_head(reader)
                if f"index={self.version}&" in first:
                    wait = float(first.partition("wait=")[2].split(" ")[0].split("&")[0] or 0)
                    hushed, version = self._hushed, self.version
                    until = asyncio.get_running_loop().time() + min(wait, 5000.0) / 1000.0
                    self.waiting_watches += 1
                    try:
                        while self._hushed > hushed or (
                                self.version == version and asyncio.get_running_loop().time() < until):
                            await asyncio.sleep(0.02)
                    finally:
                        self.waiting_watches -= 1
                changed = f"index={self.version}&" not in first
                answer: dict[str, Any] = {"version": self.version, "full": changed, "servers": [
                    {"id": f"s-{i}" if self.version == 1 else f"s-{self.version}-{i}", "addr": f"{h}:{p}",
                     "zone": "a", "kind": "m", "cell": 0, "state": "active", "weight": 1.0, "started_ms": 0}
                    for i, (h, p) in enumerate(self.workers if changed else [])]}
                body = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()


class _Leg(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay, pair: tuple[int, int]) -> None:
        self.relay = relay
        self.pair = pair
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.relay.pass_on(self.pair, data)

    def error_received(self, exc: Exception) -> None:
        pass


class Relay:
    """Carries the members' datagrams, one port for each direction of each pair; may lose, delay and cut."""

    def __init__(self, targets: dict[int, Address], seed: int = 1) -> None:
        self.targets = targets
        self.cut: set[tuple[int, int]] = set()
        self.loss = 0.0  # share
        self.delay_ms = (0.0, 0.0)
        self.ports: dict[tuple[int, int], Address] = {}
        self._legs: dict[tuple[int, int], _Leg] = {}
        self._draw = random.Random(seed)

    async def open(self) -> None:
        """Listen for every direction."""
        loop = asyncio.get_running_loop()
        for a in self.targets:
            for b in self.targets:
                if a != b:
                    transport, leg = await loop.create_datagram_endpoint(
                        lambda p=(a, b): _Leg(self, p), local_addr=("127.0.0.1", 0))  # type: ignore[misc]
                    self._legs[(a, b)] = leg
                    self.ports[(a, b)] = transport.get_extra_info("sockname")[:2]

    def close(self) -> None:
        """Give the sockets back."""
        for leg in self._legs.values():
            if leg.transport is not None:
                leg.transport.close()

    def split(self, one: set[int], other: set[int], both: bool = True) -> None:
        """Cut what goes from one group to the other, and back unless it is a one-way cut."""
        self.cut |= {(a, b) for a in one for b in other}
        if both:
            self.cut |= {(b, a) for a in one for b in other}

    def heal(self) -> None:
        """Cut nothing."""
        self.cut.clear()

    def pass_on(self, pair: tuple[int, int], data: bytes) -> None:
        """One datagram on its way."""
        if pair in self.cut or self._draw.random() < self.loss:
            return
        delay = self._draw.uniform(*self.delay_ms) / 1000.0
        if delay > 0:
            asyncio.get_running_loop().call_later(delay, self._out, pair, data)
        else:
            self._out(pair, data)

    def _out(self, pair: tuple[int, int], data: bytes) -> None:
        leg = self._legs[pair]
        if leg.transport is not None and not leg.transport.is_closing():
            leg.transport.sendto(data, self.targets[pair[1]])
