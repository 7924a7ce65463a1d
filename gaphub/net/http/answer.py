"""Owns the reading of a worker's answer: its lines, its load report, and the outcome that they make.

It must never decide what follows from an outcome, nor give a connection back.
"""

from __future__ import annotations

import math
from collections.abc import AsyncIterator
from typing import Any

import h11
import msgspec

from ...config import GARBLED
from ...core import Core
from ...interface import Status
from ...messages import Call, Outcome
from ...metrics import Counters
from . import tunables
from .connection import Connection, ConnectionLostError

ENDINGS = {"failed": Status.ERROR, "returned": Status.FULL, "lost": Status.RESET}


class Line(msgspec.Struct):
    """One line of a worker's answer."""

    state: str
    id: str = ""
    share: float = 0.0
    result: Any = msgspec.UNSET
    load: Any = None


_line = msgspec.json.Decoder(Line)
_load = msgspec.json.Decoder(dict[str, float])


def parse_load(text: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """A load report, as JSON or as ``name=value,...``, in the order of the settings; () if it is none.

    Guards against a spoilt ``nan`` or ``inf``: no comparison of the Balancer's would be true or false of it.
    """
    try:
        if text.lstrip().startswith(b"{"):
            values = _load.decode(text)
        else:
            pairs = (p.partition("=") for p in text.decode("ascii").split(",") if p.strip())
            values = {name.strip(): float(value) for name, _, value in pairs}
        found = tuple(float(values[f]) for f in fields)
        return found if all(map(math.isfinite, found)) else ()
    except (msgspec.DecodeError, ValueError, KeyError):
        return ()


class AnswerReader:
    """Reads the answers to calls, and tells the core how far a call has come."""

    def __init__(self, core: Core, counters: Counters, report_fields: tuple[str, ...]) -> None:
        self.core = core
        self.counters = counters
        self.report_fields = report_fields

    async def outcome(self, call: Call, connection: Connection) -> Outcome:
        """Read an answer up to the line, or the status, that ends the attempt."""
        response = await connection.next_event()
        while isinstance(response, h11.InformationalResponse):
            response = await connection.next_event()
        headers = dict(response.headers)
        report = parse_load(headers.get(b"x-server-load", b""), self.report_fields)
        if response.status_code != 200:
            unrun = response.status_code in (503, 504) and headers.get(b"x-not-processed") == b"1"
            return Outcome(Status.FULL if unrun else Status.ERROR, b"", report, response.status_code == 400)
        async for line in self._lines(connection):
            if line.id not in ("", call.job.ident):
                raise ConnectionLostError("an answer to another request")
            if isinstance(line.load, dict):
                report = parse_load(msgspec.json.encode(line.load), self.report_fields)
            if line.state == "started":
                await self.core.post(lambda: self.core.started(call))
            elif line.state == "running":
                await self.core.post(lambda share=line.share: self.core.progressed(call, share))  # type: ignore[misc]
            elif line.state == "done":
                result = line.result
                if result is msgspec.UNSET:
                    raise self._garbled("done without a result")
                body = result.encode() if isinstance(result, str) else msgspec.json.encode(result)
                return Outcome(Status.OK, body, report)
            elif line.state in ENDINGS:
                return Outcome(ENDINGS[line.state], b"", report)
        raise ConnectionLostError("the answer ended before its last line")

    async def _lines(self, connection: Connection) -> AsyncIterator[Line]:
        rest = b""
        while not isinstance(event := await connection.next_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                continue
            *lines, rest = (rest + bytes(event.data)).split(b"\n")
            if len(rest) > tunables.MAX_ANSWER_LINE_BYTES:
                raise ConnectionLostError("line too long")
            for text in lines:
                if text.strip():
                    yield self._decode(text)
        if rest.strip():
            yield self._decode(rest)

    def _decode(self, text: bytes) -> Line:
        try:
            return _line.decode(text)
        except GARBLED as error:
            raise self._garbled(str(error)) from None

    def _garbled(self, why: str) -> ConnectionLostError:
        self.counters.log("garbled.answer", why)
        return ConnectionLostError("garbled line")
