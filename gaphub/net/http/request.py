"""Validates and parses a client's request into a job.

Pure: reads no socket and no clock, and does not decide whether the job is accepted.
"""

from __future__ import annotations

import re
import zlib
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

import h11

from ...messages import Answer, HeaderBlock, Job
from . import tunables


class BadRequestError(Exception):
    """A request that is answered with an HTTP error status and never reaches the core."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True, slots=True)
class RequestHead:
    """What is kept of a valid head: far less memory than h11's event with an object for each field."""

    method: bytes
    target: bytes
    fields: dict[bytes, bytes]  # those that ``parse_job`` reads, by lower-case name
    forwarded: HeaderBlock  # those that a worker gets


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request that was read whole.  Times are in ms on the scheduler's clock."""

    head: RequestHead
    body: bytes
    first_byte_at: float  # when its first byte reached this machine
    last_byte_at: float  # when its last byte did, at the earliest; the client's time counts from here
    read_at: float  # when its last byte was read from the socket


_TIMEOUT = re.compile(rb"(\d{1,12})(?:\.\d+)?([mu])")
_IDENT = re.compile(rb"[!-~]{1,128}")
_UNIQUE_HEADERS = (b"x-request-id", b"x-priority-class", b"x-timeout", b"x-attrs", b"x-retried", b"content-length",
                   b"transfer-encoding")
# Hop-by-hop headers and those that the scheduler sets itself. A worker gets all others as the client sent them.
_NOT_FORWARDED = frozenset((b"host", b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer",
                            b"upgrade", b"expect", b"content-length", b"transfer-encoding", b"x-request-id",
                            b"x-priority-class", b"x-timeout"))
_JOB_FIELDS = frozenset((b"x-request-id", b"x-priority-class", b"x-timeout", b"x-attrs", b"cookie", b"x-retried"))
_LENGTH_HEADERS = re.compile(rb"^(?:content-length|transfer-encoding)[ \t]*:", re.I | re.M)


def check_field_count(count: int) -> None:
    """Reject a head with very many fields."""
    if count > tunables.MAX_HEAD_FIELDS:
        raise BadRequestError(431, f"more than {tunables.MAX_HEAD_FIELDS} header fields")


def read_head(event: h11.Request, raw: bytes) -> RequestHead:
    """Check a head and keep what is needed of it; ``raw``: its bytes."""
    check_head(event, raw)
    fields = {name: value for name, value in event.headers if name in _JOB_FIELDS}
    return RequestHead(event.method, event.target, fields, HeaderBlock.from_fields(forwarded_headers(event)))


def check_head(event: h11.Request, raw: bytes) -> None:
    """Reject a head with an ambiguous body length, a repeated header or an oversized body.

    With two lengths, or a length and a transfer coding, the worker or the next hop may see the end of the body
    elsewhere, and a request can be hidden in the body of another (request smuggling). h11 prefers the coding and
    folds equal lengths into one, so the headers are counted in the raw bytes.
    """
    if len(_LENGTH_HEADERS.findall(raw)) > 1:
        raise BadRequestError(400, "more than one Content-Length or Transfer-Encoding")
    names = [name for name, _ in event.headers]
    for name in _UNIQUE_HEADERS:
        if names.count(name) > 1:
            raise BadRequestError(400, f"{name.decode()} is repeated")
    if dict(event.headers).get(b"content-length", b"0").isdigit():
        if int(dict(event.headers).get(b"content-length", b"0")) > tunables.MAX_BODY_BYTES:
            raise BadRequestError(413, "body larger than 64 KiB")


def parse_job(request: ReceivedRequest, classes: Mapping[str, int], reply: Callable[[Answer], None]) -> Job:
    """Parse a request into a job; raises BadRequestError if a header is missing or invalid."""
    head, headers = request.head, request.head.fields
    ident = headers.get(b"x-request-id", b"")
    if not _IDENT.fullmatch(ident):
        raise BadRequestError(400, "X-Request-ID is missing or invalid")
    class_index = classes.get(headers.get(b"x-priority-class", b"").decode("utf-8", "replace"))
    if class_index is None:
        raise BadRequestError(400, "X-Priority-Class is missing or unknown")
    timeout = _TIMEOUT.fullmatch(headers.get(b"x-timeout", b""))
    if timeout is None:
        raise BadRequestError(400, "X-Timeout is missing or invalid")
    left_ms = float(timeout[1]) / (1.0 if timeout[2] == b"m" else 1000.0)
    attributes = {"slots": 1.0, "memory": 0.0}
    for pair in headers.get(b"x-attrs", b"").decode("ascii", "replace").split(","):
        name, _, value = pair.strip().partition("=")
        if name in attributes:
            if not re.fullmatch(r"\d{1,9}(\.\d{1,9})?", value):
                raise BadRequestError(400, "X-Attrs is invalid")
            attributes[name] = float(value)
    return Job(ident.decode(), class_index, request.last_byte_at, left_ms - tunables.TRANSIT_ALLOWANCE_MS, reply,
               request.body, head.method.decode(), head.target.decode(), parse_key(headers.get(b"cookie", b"")),
               attributes["slots"] or 1.0, attributes["memory"], headers.get(b"x-retried") == b"1",
               forwarded_headers=head.forwarded)


def forwarded_headers(event: h11.Request) -> Iterator[tuple[bytes, bytes]]:
    """The headers that a worker gets as the client sent them.

    Among them is the ``Idempotency-Key`` that clients of deduplicated classes send: without it a worker could not
    recognize a repeat and drop it.
    """
    hop_by_hop = {name.strip().lower() for key, value in event.headers if key == b"connection"
                  for name in value.split(b",")}
    return ((name, value) for name, value in event.headers.raw_items()
            if name.lower() not in _NOT_FORWARDED and name.lower() not in hop_by_hop)


def parse_key(cookie: bytes) -> int:
    """The request's key: the cookie ``key`` as a number; 0 if there is none."""
    for part in cookie.split(b";"):
        name, _, value = part.strip().partition(b"=")
        if name == b"key" and value:
            try:
                return int(value, 16) & 0xFFFFFFFFFFFFFFFF
            except ValueError:
                return zlib.crc32(value) + 1
    return 0
