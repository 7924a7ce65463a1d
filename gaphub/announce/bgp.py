"""Owns the form of BGP-4 messages (RFC 4271, RFC 6793, RFC 5492): reads and writes them.

Pure.  What cannot be read raises ``BgpError`` with the code, subcode and data of the NOTIFICATION that the RFC
names for it, and nothing else; whoever owns the connection sends that and closes.
"""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Iterator
from enum import IntEnum
from typing import Any, NamedTuple

MARKER = b"\xff" * 16
HEADER = 19  # bytes
LENGTH_MOST = 4096
AS_TRANS = 23456
VERSION = 4
PREFIX_MOST = 32


class Type(IntEnum):
    """Message types (RFC 4271, 4.1)."""

    OPEN = 1
    UPDATE = 2
    NOTIFICATION = 3
    KEEPALIVE = 4


# Error codes (RFC 4271, 4.5 and 6); subcodes are used by number where they are raised.
HEADER_ERROR, OPEN_ERROR, UPDATE_ERROR, HOLD_EXPIRED, FSM_ERROR, CEASE = range(1, 7)

# Path attributes (RFC 4271, 5; RFC 6793, 3).
ORIGIN, AS_PATH, NEXT_HOP, MED, LOCAL_PREF, ATOMIC, AGGREGATOR = range(1, 8)
AS4_PATH, AS4_AGGREGATOR = 17, 18
OPTIONAL, TRANSITIVE, PARTIAL, EXTENDED = 0x80, 0x40, 0x20, 0x10
_FLAGS = {ORIGIN: TRANSITIVE, AS_PATH: TRANSITIVE, NEXT_HOP: TRANSITIVE, MED: OPTIONAL, LOCAL_PREF: TRANSITIVE,
          ATOMIC: TRANSITIVE, AGGREGATOR: OPTIONAL | TRANSITIVE, AS4_PATH: OPTIONAL | TRANSITIVE,
          AS4_AGGREGATOR: OPTIONAL | TRANSITIVE}
_LENGTHS = {ORIGIN: 1, NEXT_HOP: 4, MED: 4, LOCAL_PREF: 4, ATOMIC: 0}

# Capabilities (RFC 5492; RFC 4760, 8; RFC 6793, 3).
CAPABILITY_PARAMETER = 2
MULTIPROTOCOL, FOUR_OCTET_AS = 1, 65


class BgpError(Exception):
    """A message that cannot be read, and the NOTIFICATION that is due for it."""

    def __init__(self, code: int, subcode: int, data: bytes = b"", why: str = "") -> None:
        super().__init__(why or f"{code}/{subcode}")
        self.code = code
        self.subcode = subcode
        self.data = data

    def packet(self) -> bytes:
        """The NOTIFICATION."""
        return notification(self.code, self.subcode, self.data)


class Open(NamedTuple):
    """An OPEN; ``asn`` is the 4-octet number where the capability says one."""

    asn: int
    hold_s: int  # 0, or 3 to 65535
    router_id: str
    four_octet: bool = True


class Update(NamedTuple):
    """An UPDATE; prefixes as ``a.b.c.d/n``."""

    withdrawn: tuple[str, ...] = ()
    announced: tuple[str, ...] = ()
    origin: int = 0  # 0 IGP, 1 EGP, 2 incomplete
    as_path: tuple[int, ...] = ()
    next_hop: str = ""
    med: int | None = None
    local_pref: int | None = None


class Notification(NamedTuple):
    """A NOTIFICATION."""

    code: int
    subcode: int
    data: bytes = b""


class Keepalive(NamedTuple):
    """A KEEPALIVE."""


Message = Open | Update | Notification | Keepalive


# --- writing ---------------------------------------------------------------------------------------

def _message(kind: Type, body: bytes = b"") -> bytes:
    size = HEADER + len(body)
    if size > LENGTH_MOST:
        raise ValueError(f"a message of {size} bytes")
    return MARKER + struct.pack(">HB", size, kind) + body


def open_(asn: int, hold_s: int, router_id: str) -> bytes:
    """An OPEN with the capabilities IPv4 unicast and 4-octet AS numbers."""
    # Each capability in a parameter of its own: readers that take only the first of several exist.
    parameter = b"".join(
        struct.pack(">BB", CAPABILITY_PARAMETER, len(c)) + c
        for c in (struct.pack(">BBHBB", MULTIPROTOCOL, 4, 1, 0, 1), struct.pack(">BBI", FOUR_OCTET_AS, 4, asn)))
    two = asn if asn < 65536 else AS_TRANS
    return _message(Type.OPEN, struct.pack(">BHH4sB", VERSION, two, hold_s, _ip(router_id), len(parameter))
                    + parameter)


def keepalive() -> bytes:
    """A KEEPALIVE."""
    return _message(Type.KEEPALIVE)


def notification(code: int, subcode: int, data: bytes = b"") -> bytes:
    """A NOTIFICATION."""
    return _message(Type.NOTIFICATION, bytes([code, subcode]) + data[:LENGTH_MOST - HEADER - 2])


def update(message: Update, four_octet: bool = True) -> bytes:
    """An UPDATE; towards a speaker of 2-octet numbers larger ones are told apart in AS4_PATH."""
    withdrawn = b"".join(map(_prefix, message.withdrawn))
    attributes = b""
    if message.announced:
        attributes = _attribute(ORIGIN, bytes([message.origin]))
        attributes += _attribute(AS_PATH, _path(message.as_path, four_octet))
        attributes += _attribute(NEXT_HOP, _ip(message.next_hop))
        if message.med is not None:
            attributes += _attribute(MED, struct.pack(">I", message.med))
        if message.local_pref is not None:
            attributes += _attribute(LOCAL_PREF, struct.pack(">I", message.local_pref))
        if not four_octet and any(a > 65535 for a in message.as_path):
            attributes += _attribute(AS4_PATH, _path(message.as_path, True))
    return _message(Type.UPDATE, struct.pack(">H", len(withdrawn)) + withdrawn
                    + struct.pack(">H", len(attributes)) + attributes
                    + b"".join(map(_prefix, message.announced)))


def _attribute(kind: int, value: bytes) -> bytes:
    if len(value) > 255:
        return struct.pack(">BBH", _FLAGS[kind] | EXTENDED, kind, len(value)) + value
    return struct.pack(">BBB", _FLAGS[kind], kind, len(value)) + value


def _path(numbers: tuple[int, ...], four_octet: bool) -> bytes:
    if not numbers:
        return b""
    if four_octet:
        return struct.pack(f">BB{len(numbers)}I", 2, len(numbers), *numbers)
    return struct.pack(f">BB{len(numbers)}H", 2, len(numbers), *(a if a < 65536 else AS_TRANS for a in numbers))


def _ip(text: str) -> bytes:
    return ipaddress.IPv4Address(text).packed


def _prefix(text: str) -> bytes:
    net = ipaddress.IPv4Network(text)
    return bytes([net.prefixlen]) + net.network_address.packed[:(net.prefixlen + 7) // 8]


# --- reading ---------------------------------------------------------------------------------------

class Reader:
    """Cuts a stream into messages.  ``four_octet`` is set once both OPENs have said so."""

    def __init__(self) -> None:
        self.four_octet = True
        self._data = bytearray()

    def feed(self, data: bytes) -> Iterator[Message]:
        """The messages that are whole now; BgpError at the first that cannot be read."""
        self._data += data
        while len(self._data) >= HEADER:
            size, kind = struct.unpack_from(">HB", self._data, 16)
            if bytes(self._data[:16]) != MARKER:
                raise BgpError(HEADER_ERROR, 1, b"", "marker")
            if not HEADER <= size <= LENGTH_MOST:
                raise BgpError(HEADER_ERROR, 2, struct.pack(">H", size), "length")
            if kind not in iter(Type):
                raise BgpError(HEADER_ERROR, 3, bytes([kind]), "type")
            least = {Type.OPEN: 29, Type.UPDATE: 23, Type.NOTIFICATION: 21, Type.KEEPALIVE: 19}[Type(kind)]
            if size < least or (kind == Type.KEEPALIVE and size != HEADER):
                raise BgpError(HEADER_ERROR, 2, struct.pack(">H", size), "length")
            if len(self._data) < size:
                return
            body = bytes(self._data[HEADER:size])
            del self._data[:size]
            yield self._read(Type(kind), body)

    def _read(self, kind: Type, body: bytes) -> Message:
        if kind is Type.OPEN:
            return _read_open(body)
        if kind is Type.UPDATE:
            return _read_update(body, self.four_octet)
        if kind is Type.NOTIFICATION:
            return Notification(body[0], body[1], body[2:])
        return Keepalive()


def _read_open(body: bytes) -> Open:
    version, asn, hold_s, router_id, size = struct.unpack_from(">BHH4sB", body)
    if version != VERSION:
        raise BgpError(OPEN_ERROR, 1, struct.pack(">H", VERSION), "version")
    if hold_s in (1, 2):
        raise BgpError(OPEN_ERROR, 6, b"", "hold time")
    if router_id == b"\0\0\0\0":
        raise BgpError(OPEN_ERROR, 3, b"", "identifier")
    parameters = body[10:]
    if len(parameters) != size:
        raise BgpError(OPEN_ERROR, 0, b"", "parameters' length")
    four = False
    at = 0
    while at < size:
        if at + 2 > size or at + 2 + parameters[at + 1] > size:
            raise BgpError(OPEN_ERROR, 0, b"", "parameter cut")
        kind, length = parameters[at], parameters[at + 1]
        value = parameters[at + 2:at + 2 + length]
        at += 2 + length
        if kind != CAPABILITY_PARAMETER:
            raise BgpError(OPEN_ERROR, 4, b"", "parameter")
        for code, data in _capabilities(value):
            if code == FOUR_OCTET_AS:
                if len(data) != 4:
                    raise BgpError(OPEN_ERROR, 0, b"", "4-octet capability")
                asn, four = struct.unpack(">I", data)[0], True
    if asn == 0:
        raise BgpError(OPEN_ERROR, 2, b"", "AS 0")
    return Open(asn, hold_s, str(ipaddress.IPv4Address(router_id)), four)


def _capabilities(value: bytes) -> Iterator[tuple[int, bytes]]:
    at = 0
    while at < len(value):
        if at + 2 > len(value) or at + 2 + value[at + 1] > len(value):
            raise BgpError(OPEN_ERROR, 0, b"", "capability cut")
        yield value[at], value[at + 2:at + 2 + value[at + 1]]
        at += 2 + value[at + 1]


def _read_update(body: bytes, four_octet: bool) -> Update:
    def two(at: int) -> int:
        if at + 2 > len(body):
            raise BgpError(UPDATE_ERROR, 1, b"", "attribute list")
        return int(struct.unpack_from(">H", body, at)[0])

    gone = two(0)
    listed = two(2 + gone)
    start = 4 + gone
    if start + listed > len(body):
        raise BgpError(UPDATE_ERROR, 1, b"", "attribute list")
    withdrawn = _read_prefixes(body[2:2 + gone])
    announced = _read_prefixes(body[start + listed:])
    found = _read_attributes(body[start:start + listed], four_octet)
    if not announced:
        return Update(withdrawn)
    for kind in (ORIGIN, AS_PATH, NEXT_HOP):
        if kind not in found:
            raise BgpError(UPDATE_ERROR, 3, bytes([kind]), "well-known attribute missing")
    path = found[AS_PATH]
    return Update(withdrawn, announced, found[ORIGIN], found.get(AS4_PATH, path) if not four_octet else path,
                  found[NEXT_HOP], found.get(MED), found.get(LOCAL_PREF))


def _read_prefixes(data: bytes) -> tuple[str, ...]:
    found = []
    at = 0
    while at < len(data):
        bits = data[at]
        size = (bits + 7) // 8
        if bits > PREFIX_MOST or at + 1 + size > len(data):
            raise BgpError(UPDATE_ERROR, 10, b"", "network field")
        packed = data[at + 1:at + 1 + size].ljust(4, b"\0")
        net = ipaddress.IPv4Network((int.from_bytes(packed, "big"), bits), strict=False)
        found.append(str(net))
        at += 1 + size
    return tuple(found)


def _read_attributes(data: bytes, four_octet: bool) -> dict[int, Any]:
    found: dict[int, Any] = {}
    at = 0
    while at < len(data):
        if at + 3 > len(data):
            raise BgpError(UPDATE_ERROR, 1, b"", "attribute cut")
        flags, kind = data[at], data[at + 1]
        head = 4 if flags & EXTENDED else 3
        if at + head > len(data):
            raise BgpError(UPDATE_ERROR, 1, b"", "attribute cut")
        length = struct.unpack_from(">H", data, at + 2)[0] if flags & EXTENDED else data[at + 2]
        whole = data[at:at + head + length]
        if len(whole) < head + length:
            raise BgpError(UPDATE_ERROR, 5, whole, "attribute length")
        value = whole[head:]
        at += head + length
        if kind in found:
            raise BgpError(UPDATE_ERROR, 1, b"", "attribute twice")
        known = _FLAGS.get(kind)
        if known is None:
            if not flags & OPTIONAL:
                raise BgpError(UPDATE_ERROR, 2, whole, "unknown well-known attribute")
            continue
        if flags & (OPTIONAL | TRANSITIVE) != known:
            raise BgpError(UPDATE_ERROR, 4, whole, "attribute flags")
        if length != _LENGTHS.get(kind, length):
            raise BgpError(UPDATE_ERROR, 5, whole, "attribute length")
        found[kind] = _read_value(kind, value, whole, four_octet)
    return found


def _read_value(kind: int, value: bytes, whole: bytes, four_octet: bool) -> Any:
    if kind == ORIGIN:
        if value[0] > 2:
            raise BgpError(UPDATE_ERROR, 6, whole, "origin")
        return value[0]
    if kind == NEXT_HOP:
        hop = ipaddress.IPv4Address(value)
        if int(hop) == 0 or hop.is_multicast or hop.is_reserved:
            raise BgpError(UPDATE_ERROR, 8, whole, "next hop")
        return str(hop)
    if kind in (MED, LOCAL_PREF):
        return int(struct.unpack(">I", value)[0])
    if kind in (AS_PATH, AS4_PATH):
        return _read_path(value, four_octet or kind == AS4_PATH)
    return value


def _read_path(value: bytes, four_octet: bool) -> tuple[int, ...]:
    size = 4 if four_octet else 2
    path: list[int] = []
    at = 0
    while at < len(value):
        if at + 2 > len(value) or value[at] not in (1, 2) or not value[at + 1]:
            raise BgpError(UPDATE_ERROR, 11, b"", "AS path")
        end = at + 2 + value[at + 1] * size
        if end > len(value):
            raise BgpError(UPDATE_ERROR, 11, b"", "AS path")
        path += struct.unpack_from(f">{value[at + 1]}{'I' if four_octet else 'H'}", value, at + 2)
        at = end
    return tuple(path)
