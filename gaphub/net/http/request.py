"""Owns the reading of a client's request: what its head and headers must be, and the job that they make.

It is pure: it must never read a socket or a clock, nor decide whether a job is taken.
"""

from __future__ import annotations

import re
import zlib
from collections.abc import Callable, Mapping

import h11

from ...messages import Answer, Job
from . import tunables


class BadRequestError(Exception):
    """A request that never reaches the core: status and reason."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


_TIMEOUT = re.compile(rb"(\d{1,12})(?:\.\d+)?([mu])")
_IDENT = re.compile(rb"[!-~]{1,128}")
_ONCE = (b"x-request-id", b"x-priority-class", b"x-timeout", b"x-attrs", b"x-retried", b"content-length",
         b"transfer-encoding")
# Headers of one hop, and those that a scheduler words itself; all others a worker gets as the client sent them.
_OWN = frozenset((b"host", b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"upgrade",
                  b"expect", b"content-length", b"transfer-encoding", b"x-request-id", b"x-priority-class",
                  b"x-timeout"))
_LENGTHS = re.compile(rb"^(?:content-length|transfer-encoding)[ \t]*:", re.I | re.M)


def check_head(event: h11.Request, raw: bytes) -> None:
    """Refuse a head that two readers may read differently; BadRequestError names what is at fault.

    Guards against a request hidden in another's body: with two lengths, or a length and a coding, the
    worker or the next hop may see its end elsewhere.  h11 prefers the coding and folds equal lengths into
    one, so the lengths are counted in the bytes that came.
    """
    if len(_LENGTHS.findall(raw)) > 1:
        raise BadRequestError(400, "Content-Length and Transfer-Encoding")
    names = [name for name, _ in event.headers]
    for name in _ONCE:
        if names.count(name) > 1:
            raise BadRequestError(400, f"{name.decode()} comes twice")
    if dict(event.headers).get(b"content-length", b"0").isdigit():
        if int(dict(event.headers).get(b"content-length", b"0")) > tunables.MAX_BODY_BYTES:
            raise BadRequestError(413, "body over 64 KiB")


def parse_job(event: h11.Request, body: bytes, classes: Mapping[str, int], received_at: float,
              reply: Callable[[Answer], None]) -> Job:
    """A request as the core takes it; BadRequestError if it is none."""
    headers = dict(event.headers)
    ident = headers.get(b"x-request-id", b"")
    if not _IDENT.fullmatch(ident):
        raise BadRequestError(400, "X-Request-ID")
    class_index = classes.get(headers.get(b"x-priority-class", b"").decode("utf-8", "replace"))
    if class_index is None:
        raise BadRequestError(400, "X-Priority-Class")
    timeout = _TIMEOUT.fullmatch(headers.get(b"x-timeout", b""))
    if timeout is None:
        raise BadRequestError(400, "X-Timeout")
    left_ms = float(timeout[1]) / (1.0 if timeout[2] == b"m" else 1000.0)
    extras = {"slots": 1.0, "memory": 0.0}
    for pair in headers.get(b"x-attrs", b"").decode("ascii", "replace").split(","):
        name, _, value = pair.strip().partition("=")
        if name in extras:
            if not re.fullmatch(r"\d{1,9}(\.\d{1,9})?", value):
                raise BadRequestError(400, "X-Attrs")
            extras[name] = float(value)
    return Job(ident.decode(), class_index, received_at, left_ms - tunables.TRANSIT_ALLOWANCE_MS, reply, body,
               event.method.decode(), event.target.decode(), parse_key(headers.get(b"cookie", b"")),
               extras["slots"] or 1.0, extras["memory"], headers.get(b"x-retried") == b"1",
               passed=passed_on(event))


def passed_on(event: h11.Request) -> tuple[tuple[bytes, bytes], ...]:
    """The headers that a worker gets as they came.

    Guards against repeats that a worker cannot know as such: it drops them by an ``Idempotency-Key``, which
    clients of classes with that effect send.
    """
    hop = {name.strip().lower() for key, value in event.headers if key == b"connection"
           for name in value.split(b",")}
    return tuple((name, value) for name, value in event.headers.raw_items()
                 if name.lower() not in _OWN and name.lower() not in hop)


def parse_key(cookie: bytes) -> int:
    """What the request is about: the cookie ``key`` as a number; 0 if there is none."""
    for part in cookie.split(b";"):
        name, _, value = part.strip().partition(b"=")
        if name == b"key" and value:
            try:
                return int(value, 16) & 0xFFFFFFFFFFFFFFFF
            except ValueError:
                return zlib.crc32(value) + 1
    return 0
