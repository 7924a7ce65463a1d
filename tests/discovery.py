"""Test doubles: a discovery agent that can show faults, and a worker that records the jobs it receives."""

from __future__ import annotations

import asyncio
import itertools
import json
import socket
import struct
import time
from collections import Counter
from contextlib import suppress
from enum import Enum, auto
from typing import Any

from gaphub.lab.stand_ins import read_head

from .scenario import free_port

WORK_S = 0.05

class AgentMode(Enum):
    """How the discovery agent answers a call."""

    NORMAL = auto()
    HANG = auto()  # never answers
    RESET = auto()  # sends half of the answer, then resets the connection
    MALFORMED = auto()  # answers with a body that is not a valid list
    ERROR = auto()  # answers with status 500, 502 or 503


MALFORMED_BODIES = [b'{"version":9,"full":true,"serv', b"\x00\xff\xfe[", b"[]", b"", b'{"version":"x"}',
                    b'{"version":9,"full":true,"servers":[{"id":1}]}', b"[" * 20_000, b"{}",
                    b'{"version":9,"full":true}', b'{"full":true,"servers":[]}']
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class Discovery:
    """A discovery agent that serves the full list and watches, and can answer with faults."""

    def __init__(self, version: int = 1) -> None:
        self.entries: dict[str, tuple[int, dict[str, Any]]] = {}  # by id: version of the last change, entry
        self.version = version
        self.mode = AgentMode.NORMAL
        self.answered: Counter[AgentMode] = Counter()
        self.address = ("127.0.0.1", free_port())
        self.open_watches = 0  # waiting now
        self._silenced = 0  # how often the open watches were silenced
        self._turn = itertools.count()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    def put(self, name: str, port: int, state: str = "active") -> None:
        """Add or replace one entry of the list."""
        self.version += 1
        self.entries[name] = self.version, {
            "id": name, "addr": f"127.0.0.1:{port}", "zone": "a", "kind": "m", "cell": 0, "state": state,
            "weight": 1.0, "started_ms": 0}

    def silence_watches(self) -> None:
        """Never answer the watches that are open now; new calls are answered."""
        self._silenced += 1

    async def listen(self) -> None:
        """Accept connections, for the first time or again."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    async def refuse(self) -> None:
        """Reset every connection and refuse new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        try:
            while True:
                request_line, _ = await read_head(reader)
                writer.write(await self._answer(request_line))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        except _HalfAnswerError as half:
            writer.write(half.data)
            with suppress(OSError):
                await writer.drain()
            await asyncio.sleep(0.02)
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _answer(self, request_line: str) -> bytes:
        query = dict(pair.split("=") for pair in request_line.split()[1].partition("?")[2].split("&") if pair)
        index = int(query["index"]) if "index" in query else None
        if index is not None and self.mode is AgentMode.NORMAL:
            await self._wait(index, int(query["wait"]) / 1000.0)
        self.answered[self.mode] += 1
        turn = next(self._turn)
        if self.mode is AgentMode.HANG:
            await asyncio.Event().wait()
        if self.mode is AgentMode.ERROR:
            return _http(b"", ("500 Internal Server Error", "502 Bad Gateway", "503 Unavailable")[turn % 3])
        if self.mode is AgentMode.MALFORMED:
            return _http(MALFORMED_BODIES[turn % len(MALFORMED_BODIES)])
        body = json.dumps({"version": self.version, "full": index is None, "servers": [
            entry for changed, entry in self.entries.values() if index is None or changed > index]}).encode()
        if self.mode is AgentMode.RESET:
            raise _HalfAnswerError(_http(body)[:-len(body) // 2])
        return _http(body)

    async def _wait(self, index: int, wait_s: float) -> None:
        """Wait until the list has a newer version, the wait is over, or the answer mode has changed."""
        until, silenced = time.monotonic() + wait_s, self._silenced
        self.open_watches += 1
        try:
            while self._silenced > silenced or (self.version <= index and time.monotonic() < until
                                            and self.mode is AgentMode.NORMAL):
                await asyncio.sleep(0.02)
        finally:
            self.open_watches -= 1


class _HalfAnswerError(Exception):
    def __init__(self, data: bytes) -> None:
        super().__init__("half an answer")
        self.data = data


def _http(body: bytes, status: str = "200 OK") -> bytes:
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class Worker:
    """A worker that records when each job's first byte arrived, and from which scheduler."""

    def __init__(self) -> None:
        self.first_bytes: list[tuple[float, str]] = []  # (monotonic time, scheduler's name from the job's id)
        self.port = 0
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    def senders(self, since: float, until: float = float("inf")) -> Counter[str]:
        """How many jobs each scheduler began to send between two times."""
        return Counter(name for at, name in self.first_bytes if since <= at < until)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first_byte = await reader.readexactly(1)
                at = time.monotonic()
                head = (first_byte + await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
                await reader.readexactly(int(fields.get("content-length", "0")))
                ident = fields["x-request-id"]
                self.first_bytes.append((at, ident.partition("-")[0]))
                await asyncio.sleep(WORK_S)
                line = json.dumps({"id": ident, "state": "done", "result": "ok"}) + "\n"
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                             + f"{len(line):x}\r\n{line}\r\n0\r\n\r\n".encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
