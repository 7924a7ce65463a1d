"""Stand-ins around the scheduler: workers that count executions, the discovery agent, the relay between members.

They implement the platform's protocol as its clients see it, and never leniently: a job that arrives twice is
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
    """Read the start line and the headers, by lower-case name; IncompleteReadError at the end of the stream."""
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = raw[:-4].split("\r\n")
    return first, {k.strip().lower(): v.strip() for k, _, v in (x.partition(":") for x in lines)}


class Workers:
    """Workers in this process; ``executions`` counts the executions of each request ID."""

    def __init__(self, work_ms: dict[str, float], seed: int = 1) -> None:
        self.work_ms = work_ms
        self.executions: Counter[str] = Counter()
        self.class_by_request: dict[str, str] = {}
        self.addresses: list[Address] = []
        self.jobs_running: Counter[Address] = Counter()  # by worker
        self.jobs_started: Counter[Address] = Counter()  # by worker
        self.peak_running = 0  # the largest number of jobs that ran at one worker at once
        self._random = random.Random(seed)
        self._servers: list[asyncio.Server] = []

    async def open(self, count: int) -> None:
        """Start ``count`` workers, each listening on a port of its own."""
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
                request_id, class_name = headers["x-request-id"], headers["x-priority-class"]
                self.executions[request_id] += 1
                self.class_by_request[request_id] = class_name
                worker = writer.get_extra_info("sockname")[:2]
                self.jobs_running[worker] += 1
                self.jobs_started[worker] += 1
                self.peak_running = max(self.peak_running, self.jobs_running[worker])
                try:
                    await asyncio.sleep(self.work_ms[class_name] * self._random.uniform(0.7, 1.3) / 1000.0)
                finally:
                    self.jobs_running[worker] -= 1
                line = json.dumps(
                    {"id": request_id, "state": "done", "result": f"{request_id}:{len(body)}"}) + "\n"
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                             + f"{len(line):x}\r\n{line}\r\n0\r\n\r\n".encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, KeyError, ValueError):
            pass
        finally:
            writer.close()


class Agent:
    """Discovery agent: answers with the full list of workers, and holds watches open until the list changes."""

    def __init__(self, workers: list[Address]) -> None:
        self.workers = workers
        self.version = 1
        self.address: Address = ("", 0)
        self.waiting_watches = 0  # watches that are held open now
        self._mute_count = 0  # incremented each time the open watches are muted
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def replace(self, workers: list[Address], silent: bool = False) -> None:
        """Replace the list with other workers under new IDs; ``silent``: open watches are never answered."""
        self.workers = workers
        self.version += 1
        self._mute_count += silent

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, _ = await read_head(reader)
                if f"index={self.version}&" in first:
                    wait_ms = float(first.partition("wait=")[2].split(" ")[0].split("&")[0] or 0)
                    mute_count, version = self._mute_count, self.version
                    watch_ends = asyncio.get_running_loop().time() + min(wait_ms, 5000.0) / 1000.0
                    self.waiting_watches += 1
                    try:
                        while self._mute_count > mute_count or (
                                self.version == version and asyncio.get_running_loop().time() < watch_ends):
                            await asyncio.sleep(0.02)
                    finally:
                        self.waiting_watches -= 1
                changed = f"index={self.version}&" not in first
                answer: dict[str, Any] = {"version": self.version, "full": changed, "servers": [
                    {"id": f"s-{i}" if self.version == 1 else f"s-{self.version}-{i}", "addr": f"{host}:{port}",
                     "zone": "a", "kind": "m", "cell": 0, "state": "active", "weight": 1.0, "started_ms": 0}
                    for i, (host, port) in enumerate(self.workers if changed else [])]}
                body = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()


class _RelaySocket(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay, pair: tuple[int, int]) -> None:
        self.relay = relay
        self.pair = pair
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.relay.forward(self.pair, data)

    def error_received(self, exc: Exception) -> None:
        pass


class Relay:
    """Forwards datagrams between cluster members, with injected loss, delay and partitions.

    Each direction of each pair of members has a port of its own.
    """

    def __init__(self, targets: dict[int, Address], seed: int = 1) -> None:
        self.targets = targets
        self.cut_pairs: set[tuple[int, int]] = set()
        self.loss = 0.0  # fraction of datagrams
        self.delay_ms = (0.0, 0.0)
        self.ports: dict[tuple[int, int], Address] = {}
        self._sockets: dict[tuple[int, int], _RelaySocket] = {}
        self._random = random.Random(seed)

    async def open(self) -> None:
        """Open a socket for each direction of each pair."""
        loop = asyncio.get_running_loop()
        for sender in self.targets:
            for receiver in self.targets:
                if sender != receiver:
                    transport, relay_socket = await loop.create_datagram_endpoint(
                        lambda p=(sender, receiver): _RelaySocket(self, p), local_addr=("127.0.0.1", 0))  # type: ignore[misc]
                    self._sockets[(sender, receiver)] = relay_socket
                    self.ports[(sender, receiver)] = transport.get_extra_info("sockname")[:2]

    def close(self) -> None:
        """Close the sockets."""
        for relay_socket in self._sockets.values():
            if relay_socket.transport is not None:
                relay_socket.transport.close()

    def partition(self, group: set[int], other_group: set[int], both: bool = True) -> None:
        """Drop datagrams from one group to the other; with ``both``, also those in the opposite direction."""
        self.cut_pairs |= {(sender, receiver) for sender in group for receiver in other_group}
        if both:
            self.cut_pairs |= {(receiver, sender) for sender in group for receiver in other_group}

    def heal(self) -> None:
        """End all partitions."""
        self.cut_pairs.clear()

    def forward(self, pair: tuple[int, int], data: bytes) -> None:
        """Forward one datagram, unless it is lost or its direction is cut."""
        if pair in self.cut_pairs or self._random.random() < self.loss:
            return
        delay = self._random.uniform(*self.delay_ms) / 1000.0
        if delay > 0:
            asyncio.get_running_loop().call_later(delay, self._send, pair, data)
        else:
            self._send(pair, data)

    def _send(self, pair: tuple[int, int], data: bytes) -> None:
        relay_socket = self._sockets[pair]
        if relay_socket.transport is not None and not relay_socket.transport.is_closing():
            relay_socket.transport.sendto(data, self.targets[pair[1]])
