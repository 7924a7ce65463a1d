"""The admin socket: a Unix socket, accessible only to the daemon's user, that answers status queries.

A client sends one line of JSON, ``{"ask": NAME}``, and receives one line of JSON; an invalid query is answered
with ``{"error": WHY}``.  The number of connections and the line length are limited, and slow clients are
disconnected, so that the socket never holds up the daemon.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import Any

import msgspec

from .config import AdminConfig
from .metrics import Counters

MAX_LINE_BYTES = 4096
MAX_CONNECTIONS = 8
QUERY_TIMEOUT_S = 2.0


class Query(msgspec.Struct):
    """One query; ``to``: the subject of queries that have one."""

    ask: str
    to: str = ""


class AdminSocket:
    """The socket; ``answers`` maps each query name to a function that returns its answer."""

    def __init__(self, settings: AdminConfig, counters: Counters,
                 answers: Mapping[str, Callable[[], Any]]) -> None:
        self.path = settings.socket
        self.counters = counters
        self.answers = answers
        self._server: asyncio.Server | None = None
        self._open_connections = 0

    async def open(self) -> None:
        """Start to listen if a path is set, replacing a socket file that an earlier process left behind."""
        if not self.path:
            return
        with suppress(FileNotFoundError):
            os.unlink(self.path)
        previous_umask = os.umask(0o177)
        try:
            self._server = await asyncio.start_unix_server(self._serve, self.path, limit=MAX_LINE_BYTES)
        finally:
            os.umask(previous_umask)

    async def close(self) -> None:
        """Stop listening and remove the socket file."""
        if self._server is not None:
            self._server.close()
            with suppress(FileNotFoundError):
                os.unlink(self.path)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open_connections += 1
        try:
            if self._open_connections <= MAX_CONNECTIONS:
                async with asyncio.timeout(QUERY_TIMEOUT_S):
                    line = await reader.readline()
                    writer.write(msgspec.json.encode(self._answer(line)) + b"\n")
                    await writer.drain()
        except (OSError, TimeoutError, ValueError) as error:
            self.counters.log("admin.failed", repr(error))
        finally:
            self._open_connections -= 1
            writer.close()

    def _answer(self, line: bytes) -> Any:
        try:
            name = msgspec.json.decode(line, type=Query).ask
        except msgspec.DecodeError as error:
            return {"error": str(error)}
        get_answer = self.answers.get(name)
        if get_answer is None:
            return {"error": f"{name!r} is none of {', '.join(sorted(self.answers))}"}
        return get_answer()


async def ask(path: str, query: str, within_s: float = QUERY_TIMEOUT_S) -> Any:
    """Query a daemon; raises OSError, TimeoutError or ValueError if there is no valid answer."""
    async with asyncio.timeout(within_s):
        reader, writer = await asyncio.open_unix_connection(path, limit=4 * 1024 * 1024)
        try:
            writer.write(msgspec.json.encode({"ask": query}) + b"\n")
            return msgspec.json.decode(await reader.readline())
        finally:
            writer.close()
