"""Owns the form of the pages in ``$TMPDIR``: a line with the sum of what follows, then the text as JSON.

Pure.  It must never give back what is not whole.
"""

from __future__ import annotations

import zlib
from typing import TypeVar

import msgspec

T = TypeVar("T")


def seal(body: bytes) -> bytes:
    """A page of this text."""
    return b"%08x\n" % zlib.crc32(body) + body


def unseal(data: bytes, form: type[T]) -> T | None:
    """What a page says; None if it is torn or of another form."""
    head, _, body = data.partition(b"\n")
    if head != b"%08x" % zlib.crc32(body):
        return None
    try:
        return msgspec.json.decode(body, type=form)
    except msgspec.DecodeError:
        return None
