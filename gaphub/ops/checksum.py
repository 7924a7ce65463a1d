"""Format of the files in ``$TMPDIR``: a line with a CRC-32 of the rest, then JSON.

Pure.  Incomplete or corrupt data is never decoded.
"""

from __future__ import annotations

import zlib
from typing import TypeVar

import msgspec

T = TypeVar("T")


def add_checksum(body: bytes) -> bytes:
    """Prepend the checksum line to JSON text."""
    return b"%08x\n" % zlib.crc32(body) + body


def decode_checked(data: bytes, type_: type[T]) -> T | None:
    """Verify the checksum and decode the JSON; None if the data is corrupt or has another structure."""
    checksum, _, body = data.partition(b"\n")
    if checksum != b"%08x" % zlib.crc32(body):
        return None
    try:
        return msgspec.json.decode(body, type=type_)
    except msgspec.DecodeError:
        return None
