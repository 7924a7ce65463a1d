"""Reads a worker's answer: its lines, its load report, and the outcome of the attempt.

Does not decide what follows from an outcome, and does not return the connection to its pool.
"""

from __future__ import annotations

import math
from collections.abc import AsyncIterator
from typing import Any

import h11
import msgspec

from ...config import DECODE_ERRORS
from ...core import Core
from ...interface import Status
from ...messages import Call, Outcome
from ...metrics import Counters
from . import tunables
from .connection import Connection, ConnectionLostError

STATUS_BY_FINAL_STATE = {"failed": Status.ERROR, "returned": Status.FULL, "lost": Status.RESET}


class AnswerLine(msgspec.Struct):
    """One JSON line of a worker's answer."""

    state: str
    id: str = ""
    share: float = 0.0
    result: Any = msgspec.UNSET
    load: Any = None


_line_decoder = msgspec.json.Decoder(AnswerLine)
_load_decoder = msgspec.json.Decoder(dict[str, float])


def parse_load_report(text: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Parse a load report, given as JSON or as ``name=value,...``, into values in the order of ``fields``.

    Returns () if the report is malformed. A report with a ``nan`` or an infinite value counts as malformed,
    because no comparison by the balancer would be meaningful for it.
    """
    try:
        if text.lstrip().startswith(b"{"):
            values = _load_decoder.decode(text)
        else:
            pairs = (pair.partition("=") for pair in text.decode("ascii").split(",") if pair.strip())
            values = {name.strip(): float(value) for name, _, value in pairs}
        report = tuple(float(values[field]) for field in fields)
        return report if all(map(math.isfinite, report)) else ()
    except (msgspec.DecodeError, ValueError, KeyError):
        return ()


class AnswerReader:
    """Reads the answers to calls and reports their progress to the core."""

    def __init__(self, core: Core, counters: Counters, report_fields: tuple[str, ...]) -> None:
        self.core = core
        self.counters = counters
        self.report_fields = report_fields

    async def read_outcome(self, call: Call, connection: Connection) -> Outcome:
        """Read an answer up to the line, or the HTTP status, that ends the attempt."""
        response = await connection.next_event()
        while isinstance(response, h11.InformationalResponse):
            response = await connection.next_event()
        headers = dict(response.headers)
        report = parse_load_report(headers.get(b"x-server-load", b""), self.report_fields)
        if response.status_code != 200:
            not_processed = response.status_code in (503, 504) and headers.get(b"x-not-processed") == b"1"
            return Outcome(Status.FULL if not_processed else Status.ERROR, b"", report,
                           response.status_code == 400)
        async for line in self._read_lines(connection):
            if line.id not in ("", call.job.ident):
                raise ConnectionLostError("answer carries the id of another request")
            if isinstance(line.load, dict):
                report = parse_load_report(msgspec.json.encode(line.load), self.report_fields)
            if line.state == "started":
                await self.core.post(lambda: self.core.call_started(call))
            elif line.state == "running":
                await self.core.post(lambda share=line.share: self.core.call_progressed(call, share))  # type: ignore[misc]
            elif line.state == "done":
                result = line.result
                if result is msgspec.UNSET:
                    raise self._malformed("done without a result")
                body = result.encode() if isinstance(result, str) else msgspec.json.encode(result)
                return Outcome(Status.OK, body, report)
            elif line.state in STATUS_BY_FINAL_STATE:
                return Outcome(STATUS_BY_FINAL_STATE[line.state], b"", report)
        raise ConnectionLostError("answer ended without a final state")

    async def _read_lines(self, connection: Connection) -> AsyncIterator[AnswerLine]:
        partial_line = b""
        while not isinstance(event := await connection.next_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                continue
            *lines, partial_line = (partial_line + bytes(event.data)).split(b"\n")
            if len(partial_line) > tunables.MAX_ANSWER_LINE_BYTES:
                raise ConnectionLostError("answer line too long")
            for text in lines:
                if text.strip():
                    yield self._decode(text)
        if partial_line.strip():
            yield self._decode(partial_line)

    def _decode(self, text: bytes) -> AnswerLine:
        try:
            return _line_decoder.decode(text)
        except DECODE_ERRORS as error:
            raise self._malformed(str(error)) from None

    def _malformed(self, reason: str) -> ConnectionLostError:
        self.counters.log("garbled.answer", reason)
        return ConnectionLostError("malformed answer line")
