"""Stand-ins for discovery's agent, with the faults that it may show, and for workers that note what they get."""

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

from gaphub.lab.world import read_head

from .scenario import free_port

WORK_S = 0.05

class Mood(Enum):
    """How discovery answers a call."""

    WELL = auto()
    HANG = auto()  # never
    RESET = auto()  # half of it, then a reset
    GARBLE = auto()  # with a text that is no list
    FAIL = auto()  # with 500, 502 or 503


GARBLED = [b'{"version":9,"full":true,"serv', b"\x00\xff\xfe[", b"[]", b"", b'{"version":"x"}',
           b'{"version":9,"full":true,"servers":[{"id":1}]}', b"[" * 20_000, b"{}", b'{"version":9,"full":true}',
           b'{"full":true,"servers":[]}']
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class Discovery:
    """Discovery's agent: the whole list, watches that wait for a newer version, and its faults."""

    def __init__(self, version: int = 1) -> None:
        self.entries: dict[str, tuple[int, dict[str, Any]]] = {}  # by id: the version of its last change
        self.version = version
        self.mood = Mood.WELL
        self.answered: Counter[Mood] = Counter()
        self.address = ("127.0.0.1", free_port())
        self.watches = 0  # that wait now
        self._hushed = 0  # counts the times at which the watches that waited fell silent
        self._turn = itertools.count()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    def put(self, name: str, port: int, state: str = "active") -> None:
        """Change one entry of the list."""
        self.version += 1
        self.entries[name] = self.version, {
            "id": name, "addr": f"127.0.0.1:{port}", "zone": "a", "kind": "m", "cell": 0, "state": state,
            "weight": 1.0, "started_ms": 0}

    def hush(self) -> None:
        """The watches that wait now never hear again; new calls are answered."""
        self._hushed += 1

    async def listen(self) -> None:
        """Take connections, the first time or again."""
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
                first, _ = await read_head(reader)
                writer.write(await self._answer(first))
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

    async def _answer(self, first: str) -> bytes:
        query = dict(pair.split("=") for pair in first.split()[1].partition("?")[2].split("&") if pair)
        index = int(query["index"]) if "index" in query else None
        if index is not None and self.mood is Mood.WELL:
            await self._wait(index, int(query["wait"]) / 1000.0)
        self.answered[self.mood] += 1
        turn = next(self._turn)
        if self.mood is Mood.HANG:
            await asyncio.Event().wait()
        if self.mood is Mood.FAIL:
            return _http(b"", ("500 Internal Server Error", "502 Bad Gateway", "503 Unavailable")[turn % 3])
        if self.mood is Mood.GARBLE:
            return _http(GARBLED[turn % len(GARBLED)])
        body = json.dumps({"version": self.version, "full": index is None, "servers": [
            e for changed, e in self.entries.values() if index is None or changed > index]}).encode()
        if self.mood is Mood.RESET:
            raise _HalfAnswerError(_http(body)[:-len(body) // 2])
        return _http(body)

    async def _wait(self, index: int, wait_s: float) -> None:
        """Until there is something newer, the wait is over, or another mood has come."""
        until, hushed = time.monotonic() + wait_s, self._hushed
        self.watches += 1
        try:
            while self._hushed > hushed or (self.version <= index and time.monotonic() < until
                                            and self.mood is Mood.WELL):
                await asyncio.sleep(0.02)
        finally:
            self.watches -= 1


class _HalfAnswerError(Exception):
    def __init__(self, data: bytes) -> None:
        super().__init__("half an answer")
        self.data = data


def _http(body: bytes, status: str = "200 OK") -> bytes:
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class Worker:
    """A worker that notes when each job's first byte came, and from which scheduler."""

    def __init__(self) -> None:
        self.firsts: list[tuple[float, str]] = []  # on the monotonic clock; the name that begins the job's id
        self.port = 0
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    def senders(self, since: float, until: float = float("inf")) -> Counter[str]:
        """How many jobs each scheduler began to send between two moments."""
        return Counter(name for at, name in self.firsts if since <= at < until)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first_byte = await reader.readexactly(1)
                at = time.monotonic()
                head = (first_byte + await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
                await reader.readexactly(int(fields.get("content-length", "0")))
                ident = fields["x-request-id"]
                self.firsts.append((at, ident.partition("-")[0]))
                await asyncio.sleep(WORK_S)
                line = json.dumps({"id": ident, "state": "done", "result": "ok"}) + "\n"
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                             + f"{len(line):x}\r\n{line}\r\n0\r\n\r\n".encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
