"""Encoding and decoding of BGP-4 messages (RFC 4271, RFC 6793, RFC 5492).

Pure.  An invalid message raises only ``BgpError``, with the code, subcode and data of the NOTIFICATION that the
RFC defines for it; the owner of the connection sends the NOTIFICATION and closes.
"""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Iterator
from enum import IntEnum
from typing import Any, NamedTuple

MARKER = b"\xff" * 16
HEADER_BYTES = 19
MAX_MESSAGE_BYTES = 4096
AS_TRANS = 23456
VERSION = 4
MAX_PREFIX_BITS = 32


class MessageType(IntEnum):
    """Message types (RFC 4271, 4.1)."""

    OPEN = 1
    UPDATE = 2
    NOTIFICATION = 3
    KEEPALIVE = 4


# Error codes (RFC 4271, 4.5 and 6); subcodes are written as numbers where they are raised.
HEADER_ERROR, OPEN_ERROR, UPDATE_ERROR, HOLD_EXPIRED, FSM_ERROR, CEASE = range(1, 7)

# Path attributes (RFC 4271, 5; RFC 6793, 3).
ORIGIN, AS_PATH, NEXT_HOP, MED, LOCAL_PREF, ATOMIC, AGGREGATOR = range(1, 8)
AS4_PATH, AS4_AGGREGATOR = 17, 18
OPTIONAL, TRANSITIVE, PARTIAL, EXTENDED = 0x80, 0x40, 0x20, 0x10
_FLAGS = {ORIGIN: TRANSITIVE, AS_PATH: TRANSITIVE, NEXT_HOP: TRANSITIVE, MED: OPTIONAL, LOCAL_PREF: TRANSITIVE,
          ATOMIC: TRANSITIVE, AGGREGATOR: OPTIONAL | TRANSITIVE, AS4_PATH: OPTIONAL | TRANSITIVE,
          AS4_AGGREGATOR: OPTIONAL | TRANSITIVE}
_FIXED_LENGTHS = {ORIGIN: 1, NEXT_HOP: 4, MED: 4, LOCAL_PREF: 4, ATOMIC: 0}

# Capabilities (RFC 5492; RFC 4760, 8; RFC 6793, 3).
CAPABILITY_PARAMETER = 2
MULTIPROTOCOL, FOUR_OCTET_AS = 1, 65


class BgpError(Exception):
    """A protocol error, with the contents of the NOTIFICATION to be sent for it."""

    def __init__(self, code: int, subcode: int, data: bytes = b"", reason: str = "") -> None:
        super().__init__(reason or f"{code}/{subcode}")
        self.code = code
        self.subcode = subcode
        self.data = data

    def encode_notification(self) -> bytes:
        """Return the NOTIFICATION to send."""
        return encode_notification(self.code, self.subcode, self.data)


class Open(NamedTuple):
    """An OPEN; ``asn`` is the 4-octet AS number if the capability is present."""

    asn: int
    hold_s: int  # 0, or 3 to 65535
    router_id: str
    four_octet: bool = True


class Update(NamedTuple):
    """An UPDATE; prefixes are written ``a.b.c.d/n``."""

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


# --- encoding ---------------------------------------------------------------------------------------

def _encode_message(kind: MessageType, body: bytes = b"") -> bytes:
    size = HEADER_BYTES + len(body)
    if size > MAX_MESSAGE_BYTES:
        raise ValueError(f"BGP message too long: {size} bytes")
    return MARKER + struct.pack(">HB", size, kind) + body


def encode_open(asn: int, hold_s: int, router_id: str) -> bytes:
    """Encode an OPEN with the capabilities IPv4 unicast and 4-octet AS numbers."""
    # One parameter per capability, as some implementations read only the first capability of a parameter.
    parameter = b"".join(
        struct.pack(">BB", CAPABILITY_PARAMETER, len(capability)) + capability
        for capability in (struct.pack(">BBHBB", MULTIPROTOCOL, 4, 1, 0, 1),
                           struct.pack(">BBI", FOUR_OCTET_AS, 4, asn)))
    two_octet_asn = asn if asn < 65536 else AS_TRANS
    return _encode_message(MessageType.OPEN, struct.pack(
        ">BHH4sB", VERSION, two_octet_asn, hold_s, _encode_ipv4(router_id), len(parameter)) + parameter)


def encode_keepalive() -> bytes:
    """Encode a KEEPALIVE."""
    return _encode_message(MessageType.KEEPALIVE)


def encode_notification(code: int, subcode: int, data: bytes = b"") -> bytes:
    """Encode a NOTIFICATION; its data is cut to the longest message."""
    return _encode_message(MessageType.NOTIFICATION,
                           bytes([code, subcode]) + data[:MAX_MESSAGE_BYTES - HEADER_BYTES - 2])


def encode_update(message: Update, four_octet: bool = True) -> bytes:
    """Encode an UPDATE; a peer without 4-octet AS numbers gets larger ones in AS4_PATH."""
    withdrawn = b"".join(map(_encode_prefix, message.withdrawn))
    attributes = b""
    if message.announced:
        attributes = _encode_attribute(ORIGIN, bytes([message.origin]))
        attributes += _encode_attribute(AS_PATH, _encode_as_path(message.as_path, four_octet))
        attributes += _encode_attribute(NEXT_HOP, _encode_ipv4(message.next_hop))
        if message.med is not None:
            attributes += _encode_attribute(MED, struct.pack(">I", message.med))
        if message.local_pref is not None:
            attributes += _encode_attribute(LOCAL_PREF, struct.pack(">I", message.local_pref))
        if not four_octet and any(number > 65535 for number in message.as_path):
            attributes += _encode_attribute(AS4_PATH, _encode_as_path(message.as_path, True))
    return _encode_message(MessageType.UPDATE, struct.pack(">H", len(withdrawn)) + withdrawn
                           + struct.pack(">H", len(attributes)) + attributes
                           + b"".join(map(_encode_prefix, message.announced)))


def _encode_attribute(kind: int, value: bytes) -> bytes:
    if len(value) > 255:
        return struct.pack(">BBH", _FLAGS[kind] | EXTENDED, kind, len(value)) + value
    return struct.pack(">BBB", _FLAGS[kind], kind, len(value)) + value


def _encode_as_path(numbers: tuple[int, ...], four_octet: bool) -> bytes:
    if not numbers:
        return b""
    if four_octet:
        return struct.pack(f">BB{len(numbers)}I", 2, len(numbers), *numbers)
    return struct.pack(f">BB{len(numbers)}H", 2, len(numbers),
                       *(number if number < 65536 else AS_TRANS for number in numbers))


def _encode_ipv4(text: str) -> bytes:
    return ipaddress.IPv4Address(text).packed


def _encode_prefix(text: str) -> bytes:
    network = ipaddress.IPv4Network(text)
    return bytes([network.prefixlen]) + network.network_address.packed[:(network.prefixlen + 7) // 8]


# --- decoding ---------------------------------------------------------------------------------------

class Reader:
    """Splits a byte stream into messages; ``four_octet`` is the negotiated size of AS numbers."""

    def __init__(self) -> None:
        self.four_octet = True
        self._data = bytearray()

    def feed(self, data: bytes) -> Iterator[Message]:
        """Yield the messages that are complete; raise BgpError at the first invalid one."""
        self._data += data
        while len(self._data) >= HEADER_BYTES:
            size, kind = struct.unpack_from(">HB", self._data, 16)
            if bytes(self._data[:16]) != MARKER:
                raise BgpError(HEADER_ERROR, 1, b"", "invalid marker")
            if not HEADER_BYTES <= size <= MAX_MESSAGE_BYTES:
                raise BgpError(HEADER_ERROR, 2, struct.pack(">H", size), "invalid message length")
            if kind not in iter(MessageType):
                raise BgpError(HEADER_ERROR, 3, bytes([kind]), "unknown message type")
            min_size = {MessageType.OPEN: 29, MessageType.UPDATE: 23, MessageType.NOTIFICATION: 21,
                        MessageType.KEEPALIVE: 19}[MessageType(kind)]
            if size < min_size or (kind == MessageType.KEEPALIVE and size != HEADER_BYTES):
                raise BgpError(HEADER_ERROR, 2, struct.pack(">H", size), "invalid message length")
            if len(self._data) < size:
                return
            body = bytes(self._data[HEADER_BYTES:size])
            del self._data[:size]
            yield self._read(MessageType(kind), body)

    def _read(self, kind: MessageType, body: bytes) -> Message:
        if kind is MessageType.OPEN:
            return _read_open(body)
        if kind is MessageType.UPDATE:
            return _read_update(body, self.four_octet)
        if kind is MessageType.NOTIFICATION:
            return Notification(body[0], body[1], body[2:])
        return Keepalive()


def _read_open(body: bytes) -> Open:
    version, asn, hold_s, router_id, size = struct.unpack_from(">BHH4sB", body)
    if version != VERSION:
        raise BgpError(OPEN_ERROR, 1, struct.pack(">H", VERSION), "unsupported version")
    if hold_s in (1, 2):
        raise BgpError(OPEN_ERROR, 6, b"", "unacceptable hold time")
    if router_id == b"\0\0\0\0":
        raise BgpError(OPEN_ERROR, 3, b"", "invalid BGP identifier")
    parameters = body[10:]
    if len(parameters) != size:
        raise BgpError(OPEN_ERROR, 0, b"", "invalid length of the optional parameters")
    four_octet = False
    offset = 0
    while offset < size:
        if offset + 2 > size or offset + 2 + parameters[offset + 1] > size:
            raise BgpError(OPEN_ERROR, 0, b"", "truncated optional parameter")
        kind, length = parameters[offset], parameters[offset + 1]
        value = parameters[offset + 2:offset + 2 + length]
        offset += 2 + length
        if kind != CAPABILITY_PARAMETER:
            raise BgpError(OPEN_ERROR, 4, b"", "unsupported optional parameter")
        for code, data in _capabilities(value):
            if code == FOUR_OCTET_AS:
                if len(data) != 4:
                    raise BgpError(OPEN_ERROR, 0, b"", "invalid 4-octet AS number capability")
                asn, four_octet = struct.unpack(">I", data)[0], True
    if asn == 0:
        raise BgpError(OPEN_ERROR, 2, b"", "AS number 0")
    return Open(asn, hold_s, str(ipaddress.IPv4Address(router_id)), four_octet)


def _capabilities(value: bytes) -> Iterator[tuple[int, bytes]]:
    offset = 0
    while offset < len(value):
        if offset + 2 > len(value) or offset + 2 + value[offset + 1] > len(value):
            raise BgpError(OPEN_ERROR, 0, b"", "truncated capability")
        yield value[offset], value[offset + 2:offset + 2 + value[offset + 1]]
        offset += 2 + value[offset + 1]


def _read_update(body: bytes, four_octet: bool) -> Update:
    def read_uint16(offset: int) -> int:
        if offset + 2 > len(body):
            raise BgpError(UPDATE_ERROR, 1, b"", "malformed attribute list")
        return int(struct.unpack_from(">H", body, offset)[0])

    withdrawn_length = read_uint16(0)
    attributes_length = read_uint16(2 + withdrawn_length)
    attributes_start = 4 + withdrawn_length
    if attributes_start + attributes_length > len(body):
        raise BgpError(UPDATE_ERROR, 1, b"", "malformed attribute list")
    withdrawn = _read_prefixes(body[2:2 + withdrawn_length])
    announced = _read_prefixes(body[attributes_start + attributes_length:])
    attributes = _read_attributes(body[attributes_start:attributes_start + attributes_length], four_octet)
    if not announced:
        return Update(withdrawn)
    for kind in (ORIGIN, AS_PATH, NEXT_HOP):
        if kind not in attributes:
            raise BgpError(UPDATE_ERROR, 3, bytes([kind]), "missing well-known attribute")
    path = attributes[AS_PATH]
    return Update(withdrawn, announced, attributes[ORIGIN],
                  attributes.get(AS4_PATH, path) if not four_octet else path, attributes[NEXT_HOP],
                  attributes.get(MED), attributes.get(LOCAL_PREF))


def _read_prefixes(data: bytes) -> tuple[str, ...]:
    prefixes = []
    offset = 0
    while offset < len(data):
        bits = data[offset]
        size = (bits + 7) // 8
        if bits > MAX_PREFIX_BITS or offset + 1 + size > len(data):
            raise BgpError(UPDATE_ERROR, 10, b"", "invalid network field")
        packed = data[offset + 1:offset + 1 + size].ljust(4, b"\0")
        network = ipaddress.IPv4Network((int.from_bytes(packed, "big"), bits), strict=False)
        prefixes.append(str(network))
        offset += 1 + size
    return tuple(prefixes)


def _read_attributes(data: bytes, four_octet: bool) -> dict[int, Any]:
    attributes: dict[int, Any] = {}
    offset = 0
    while offset < len(data):
        if offset + 3 > len(data):
            raise BgpError(UPDATE_ERROR, 1, b"", "truncated attribute")
        flags, kind = data[offset], data[offset + 1]
        header_size = 4 if flags & EXTENDED else 3
        if offset + header_size > len(data):
            raise BgpError(UPDATE_ERROR, 1, b"", "truncated attribute")
        length = struct.unpack_from(">H", data, offset + 2)[0] if flags & EXTENDED else data[offset + 2]
        attribute = data[offset:offset + header_size + length]
        if len(attribute) < header_size + length:
            raise BgpError(UPDATE_ERROR, 5, attribute, "invalid attribute length")
        value = attribute[header_size:]
        offset += header_size + length
        if kind in attributes:
            raise BgpError(UPDATE_ERROR, 1, b"", "duplicate attribute")
        expected_flags = _FLAGS.get(kind)
        if expected_flags is None:
            if not flags & OPTIONAL:
                raise BgpError(UPDATE_ERROR, 2, attribute, "unrecognized well-known attribute")
            continue
        if flags & (OPTIONAL | TRANSITIVE) != expected_flags:
            raise BgpError(UPDATE_ERROR, 4, attribute, "invalid attribute flags")
        if length != _FIXED_LENGTHS.get(kind, length):
            raise BgpError(UPDATE_ERROR, 5, attribute, "invalid attribute length")
        attributes[kind] = _read_value(kind, value, attribute, four_octet)
    return attributes


def _read_value(kind: int, value: bytes, attribute: bytes, four_octet: bool) -> Any:
    if kind == ORIGIN:
        if value[0] > 2:
            raise BgpError(UPDATE_ERROR, 6, attribute, "invalid ORIGIN")
        return value[0]
    if kind == NEXT_HOP:
        next_hop = ipaddress.IPv4Address(value)
        if int(next_hop) == 0 or next_hop.is_multicast or next_hop.is_reserved:
            raise BgpError(UPDATE_ERROR, 8, attribute, "invalid NEXT_HOP")
        return str(next_hop)
    if kind in (MED, LOCAL_PREF):
        return int(struct.unpack(">I", value)[0])
    if kind in (AS_PATH, AS4_PATH):
        return _read_path(value, four_octet or kind == AS4_PATH)
    return value


def _read_path(value: bytes, four_octet: bool) -> tuple[int, ...]:
    size = 4 if four_octet else 2
    path: list[int] = []
    offset = 0
    while offset < len(value):
        if offset + 2 > len(value) or value[offset] not in (1, 2) or not value[offset + 1]:
            raise BgpError(UPDATE_ERROR, 11, b"", "malformed AS_PATH")
        end = offset + 2 + value[offset + 1] * size
        if end > len(value):
            raise BgpError(UPDATE_ERROR, 11, b"", "malformed AS_PATH")
        path += struct.unpack_from(f">{value[offset + 1]}{'I' if four_octet else 'H'}", value, offset + 2)
        offset = end
    return tuple(path)
