"""Owns the admin socket: a Unix socket, readable by the daemon's user alone, where a question gets an answer.

One line of JSON ``{"ask": NAME}`` brings one line of JSON; a bad one brings ``{"error": WHY}``.  It must never
hold anything up: few connections, short lines, and a client that is slow is closed.
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

LINE_MOST = 4096
CONNECTIONS_MOST = 8
ASK_S = 2.0


class Ask(msgspec.Struct):
    """One question; ``to``: whom it concerns, where the question has one."""

    ask: str
    to: str = ""


class AdminSocket:
    """The socket; ``answers`` are the questions that it knows."""

    def __init__(self, front: AdminConfig, counters: Counters, answers: Mapping[str, Callable[[], Any]]) -> None:
        self.path = front.socket
        self.counters = counters
        self.answers = answers
        self._server: asyncio.Server | None = None
        self._open = 0

    async def open(self) -> None:
        """Listen, where a path is set; what a former life left there is replaced."""
        if not self.path:
            return
        with suppress(FileNotFoundError):
            os.unlink(self.path)
        before = os.umask(0o177)
        try:
            self._server = await asyncio.start_unix_server(self._serve, self.path, limit=LINE_MOST)
        finally:
            os.umask(before)

    async def close(self) -> None:
        """Give the socket back."""
        if self._server is not None:
            self._server.close()
            with suppress(FileNotFoundError):
                os.unlink(self.path)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open += 1
        try:
            if self._open <= CONNECTIONS_MOST:
                async with asyncio.timeout(ASK_S):
                    line = await reader.readline()
                    writer.write(msgspec.json.encode(self._answer(line)) + b"\n")
                    await writer.drain()
        except (OSError, TimeoutError, ValueError) as error:
            self.counters.log("admin.failed", repr(error))
        finally:
            self._open -= 1
            writer.close()

    def _answer(self, line: bytes) -> Any:
        try:
            ask = msgspec.json.decode(line, type=Ask).ask
        except msgspec.DecodeError as error:
            return {"error": str(error)}
        answer = self.answers.get(ask)
        if answer is None:
            return {"error": f"{ask!r} is none of {', '.join(sorted(self.answers))}"}
        return answer()


async def ask(path: str, question: str, within_s: float = ASK_S) -> Any:
    """Ask a daemon; OSError, TimeoutError or ValueError if there is no answer."""
    async with asyncio.timeout(within_s):
        reader, writer = await asyncio.open_unix_connection(path, limit=4 * 1024 * 1024)
        try:
            writer.write(msgspec.json.encode({"ask": question}) + b"\n")
            return msgspec.json.decode(await reader.readline())
        finally:
            writer.close()
