"""BGP and BFD: encoding, decoding and error handling, the session state machines, and a cross-check with scapy."""

from __future__ import annotations

import struct
from ipaddress import IPv4Network
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gaphub.announce import bfd, bgp
from gaphub.announce.announcer import host_route
from gaphub.announce.session import Session, SessionConfig, State
from gaphub.config import AddressConfig

ROUTE = bgp.Update((), ("192.0.2.80/32",), 0, (65010,), "10.0.0.1", 4294967290)


def read(data: bytes, four: bool = True) -> list[bgp.Message]:
    reader = bgp.Reader()
    reader.four_octet = four
    return list(reader.feed(data))


def message(kind: int, body: bytes) -> bytes:
    return bgp.MARKER + struct.pack(">HB", 19 + len(body), kind) + body


def update_of(attributes: bytes, nlri: bytes = b"\x20\xc0\x00\x02\x50") -> bytes:
    return message(2, b"\0\0" + struct.pack(">H", len(attributes)) + attributes + nlri)


ORIGIN, PATH, HOP = b"\x40\x01\x01\0", b"\x40\x02\0", b"\x40\x03\x04\x0a\0\0\x01"
OPEN_BODY = struct.pack(">BHH4sB", 4, 65010, 9, b"\x0a\0\0\x01", 0)


@pytest.mark.parametrize(("data", "said"), [
    (bgp.encode_keepalive(), bgp.Keepalive()),
    (bgp.encode_notification(6, 2, b"x"), bgp.Notification(6, 2, b"x")),
    (bgp.encode_open(65010, 9, "10.0.0.1"), bgp.Open(65010, 9, "10.0.0.1")),
    (bgp.encode_open(4_200_000_000, 0, "10.0.0.1"), bgp.Open(4_200_000_000, 0, "10.0.0.1")),
    (bgp.encode_update(ROUTE), ROUTE),
    (bgp.encode_update(bgp.Update(("192.0.2.80/32", "10.0.0.0/9"))), bgp.Update(("192.0.2.80/32", "10.0.0.0/9"))),
    (message(1, OPEN_BODY), bgp.Open(65010, 9, "10.0.0.1", False)),
    (update_of(ORIGIN + PATH + HOP + b"\xc0\x63\x02zz"), bgp.Update((), ("192.0.2.80/32",), 0, (), "10.0.0.1")),
])
def test_messages(data: bytes, said: bgp.Message) -> None:
    assert read(data) == [said]
    assert read(data + data) == [said, said]
    reader = bgp.Reader()
    assert [m for i in range(len(data)) for m in reader.feed(data[i:i + 1])] == [said]


# Each fault with the code and subcode that RFC 4271, section 6, defines for it.
@pytest.mark.parametrize(("data", "code", "subcode"), [
    (b"\0" * 19, 1, 1), (message(4, b"x"), 1, 2), (bgp.MARKER + b"\x10\x01\x04", 1, 2), (message(9, b""), 1, 3),
    (message(1, b""), 1, 2), (message(1, b"\x03" + OPEN_BODY[1:]), 2, 1),
    (message(1, struct.pack(">BHH4sB", 4, 0, 9, b"\x0a\0\0\x01", 0)), 2, 2),
    (message(1, struct.pack(">BHH4sB", 4, 65010, 9, b"\0\0\0\0", 0)), 2, 3),
    (message(1, OPEN_BODY[:-1] + b"\x02\x01\0"), 2, 4),
    (message(1, struct.pack(">BHH4sB", 4, 65010, 2, b"\x0a\0\0\x01", 0)), 2, 6),
    (message(1, OPEN_BODY[:-1] + b"\x05"), 2, 0), (message(1, OPEN_BODY[:-1] + b"\x04\x02\x02\x41\x04"), 2, 0),
    (message(2, b"\0\xff\0\0"), 3, 1), (message(2, b"\0\0\0\x09"), 3, 1),
    (update_of(ORIGIN + ORIGIN + PATH + HOP), 3, 1), (update_of(b"\x40\x08\0" + PATH + HOP), 3, 2),
    (update_of(PATH + HOP), 3, 3), (update_of(ORIGIN + PATH), 3, 3),
    (update_of(b"\xc0\x01\x01\0" + PATH + HOP), 3, 4), (update_of(b"\x40\x01\x02\0\0" + PATH + HOP), 3, 5),
    (update_of(ORIGIN + PATH + b"\x40\x03\x09\x0a"), 3, 5), (update_of(b"\x40\x01\x01\x07" + PATH + HOP), 3, 6),
    (update_of(ORIGIN + PATH + b"\x40\x03\x04\0\0\0\0"), 3, 8),
    (update_of(ORIGIN + PATH + b"\x40\x03\x04\xe0\0\0\x01"), 3, 8),
    (update_of(ORIGIN + PATH + HOP, b"\x21\xc0\x00\x02\x50"), 3, 10),
    (update_of(ORIGIN + PATH + HOP, b"\x20\xc0\x00"), 3, 10),
    (update_of(ORIGIN + b"\x40\x02\x02\x02\x01" + HOP), 3, 11),
    (update_of(ORIGIN + b"\x40\x02\x02\x07\x00" + HOP), 3, 11),
])
def test_faults_get_the_notification_that_the_rfc_names(data: bytes, code: int, subcode: int) -> None:
    with pytest.raises(bgp.BgpError) as raised:
        read(data)
    assert (raised.value.code, raised.value.subcode) == (code, subcode)
    assert read(raised.value.encode_notification())[0] == bgp.Notification(code, subcode, raised.value.data)


@given(st.binary(max_size=120), st.integers(1, 4))
def test_any_body_is_read_or_refused(body: bytes, kind: int) -> None:
    for data in (body, message(kind, body)):
        try:
            read(data)
        except bgp.BgpError as error:
            assert 1 <= error.code <= 3


@given(st.data())
def test_any_mutation_of_a_good_message(data: st.DataObject) -> None:
    mutated = bytearray(data.draw(st.sampled_from([
        bgp.encode_update(ROUTE), bgp.encode_open(65010, 9, "10.0.0.1")])))
    for _ in range(data.draw(st.integers(1, 4))):
        mutated[data.draw(st.integers(0, len(mutated) - 1))] = data.draw(st.integers(0, 255))
    session = established()
    # Must not raise: the message is accepted, or the session sends a NOTIFICATION or drops the connection.
    session.received(1.0, bytes(mutated))
    assert session.drop or not session.out


prefixes = st.builds(lambda a, n: f"{IPv4Network((a, n), strict=False)}",
                     st.integers(0, 2**32 - 1), st.integers(0, 32))


@given(st.lists(prefixes, max_size=20), st.lists(prefixes, min_size=1, max_size=20),
       st.lists(st.integers(1, 2**32 - 1), max_size=90), st.integers(0, 2**32 - 1), st.booleans())
def test_what_is_written_is_read(withdrawn: list[str], new: list[str], path: list[int], pref: int,
                                  four: bool) -> None:
    said = bgp.Update(tuple(withdrawn), tuple(new), 2, tuple(path), "10.1.2.3", None, pref)
    assert read(bgp.encode_update(said, four), four) == [said]


# --- cross-check with scapy ---------------------------------------------------------------------------

def test_scapy_reads_what_ours_writes_and_ours_what_it_writes() -> None:
    layers: Any = pytest.importorskip("scapy.contrib.bgp")
    layers.bgp_module_conf.use_2_bytes_asn = False
    decoded = layers.BGP(bgp.encode_open(4_200_000_000, 9, "10.0.0.1"))
    assert (decoded[layers.BGPOpen].my_as, decoded[layers.BGPOpen].hold_time) == (23456, 9)
    assert decoded[layers.BGPOpen].bgp_id == "10.0.0.1"
    assert "4200000000" in repr(decoded)
    seen = layers.BGP(bgp.encode_update(ROUTE))[layers.BGPUpdate]
    assert [n.prefix for n in seen.nlri] == ["192.0.2.80/32"]
    kinds = {a.type_code: a.attribute for a in seen.path_attr}
    assert kinds[3].next_hop == "10.0.0.1"
    assert kinds[2].segments[0].segment_value == [65010]
    assert kinds[4].med == 4294967290
    withdrawn = layers.BGP(bgp.encode_update(bgp.Update(("192.0.2.80/32",))))[layers.BGPUpdate]
    assert [n.prefix for n in withdrawn.withdrawn_routes] == ["192.0.2.80/32"]
    built = layers.BGPHeader(type=2) / layers.BGPUpdate(
        path_attr=[layers.BGPPathAttr(type_flags=0x40, type_code=1, attribute=layers.BGPPAOrigin(origin="IGP")),
                   layers.BGPPathAttr(type_flags=0x40, type_code=2, attribute=layers.BGPPAAS4BytesPath(segments=[
                       layers.BGPPAAS4BytesPath.ASPathSegment(segment_type=2, segment_value=[65010])])),
                   layers.BGPPathAttr(type_flags=0x40, type_code=3,
                                      attribute=layers.BGPPANextHop(next_hop="10.0.0.1"))],
        nlri=[layers.BGPNLRI_IPv4(prefix="192.0.2.80/32")])
    assert read(bytes(built)) == [ROUTE._replace(med=None)]


def test_scapy_reads_our_bfd_and_ours_reads_its() -> None:
    layers: Any = pytest.importorskip("scapy.contrib.bfd")
    packet = bfd.Packet(bfd.State.UP, 77, 88, 3, 50_000, 60_000, 1, True, False)
    decoded = layers.BFD(packet.encode())
    assert (decoded.sta, decoded.my_discriminator, decoded.your_discriminator) == (3, 77, 88)
    assert (decoded.min_tx_interval, decoded.min_rx_interval, decoded.detect_mult) == (50_000, 60_000, 3)
    encoded = bytes(layers.BFD(sta=2, my_discriminator=5, your_discriminator=6, detect_mult=4,
                            min_tx_interval=1000, min_rx_interval=2000, flags=0))
    assert bfd.parse(encoded) == bfd.Packet(bfd.State.INIT, 5, 6, 4, 1000, 2000)


# --- the BGP session ---------------------------------------------------------------------------------

def session_pair(four: bool = True) -> tuple[Session, Session]:
    active = Session(SessionConfig(65010, "10.0.0.1", 65000))
    passive = Session(SessionConfig(65000, "10.0.0.2", 65010, passive=True))
    for s in (active, passive):
        s.start(0.0)
    return active, passive


def exchange(active: Session, passive: Session, now: float = 0.0) -> None:
    while active.out or passive.out:
        for a, b in ((active, passive), (passive, active)):
            data, a.out = bytes(a.out), bytearray()
            if data and not b.drop:
                b.received(now, data)


def established() -> Session:
    active, passive = session_pair()
    active.connected(0.0)
    passive.connected(0.0)
    exchange(active, passive)
    assert active.state is passive.state is State.ESTABLISHED
    return active


def test_a_route_is_told_and_taken_back() -> None:
    active, passive = session_pair()
    assert (active.connect, passive.connect) == (True, False)
    active.connected(0.0)
    passive.connected(0.0)
    exchange(active, passive)
    assert active.send_update(ROUTE)
    exchange(active, passive)
    assert passive.received_updates == [ROUTE]
    assert active.send_update(bgp.Update(withdrawn=ROUTE.announced))
    exchange(active, passive)
    assert passive.received_updates[1].withdrawn == ROUTE.announced


def test_keepalives_hold_the_session_and_silence_ends_it() -> None:
    active, passive = session_pair()
    active.connected(0.0)
    passive.connected(0.0)
    exchange(active, passive)
    for now in range(0, 60_000, 500):
        active.tick(now)
        passive.tick(now)
        exchange(active, passive, now)
    assert active.state is State.ESTABLISHED
    active.tick(59_500.0 + 9_001.0)
    assert active.drop
    assert read(bytes(active.out))[-1] == bgp.Notification(4, 0)
    assert active.retry_at > 0.0, "it must retry"


@pytest.mark.parametrize(("data", "code", "subcode"), [
    (bgp.encode_keepalive(), 5, 1), (bgp.encode_update(ROUTE), 5, 1),
    (bgp.encode_open(65099, 9, "10.0.0.2"), 2, 2)])
def test_out_of_turn_or_of_the_wrong_as(data: bytes, code: int, subcode: int) -> None:
    active, _ = session_pair()
    active.connected(0.0)
    active.received(0.0, data)
    assert active.drop
    assert read(bytes(active.out))[-1][:2] == (code, subcode)


def test_it_connects_again_and_waits_longer_while_that_fails() -> None:
    active, _ = session_pair()
    gaps = []
    for _ in range(6):
        active.connect = False
        active.failed(0.0)
        gaps.append(active.retry_at)
        active.tick(active.retry_at)
        assert active.connect
    assert gaps == [1000.0, 2000.0, 4000.0, 8000.0, 8000.0, 8000.0]


def test_of_two_holders_the_later_term_wins() -> None:
    address_config = AddressConfig(service="192.0.2.80", next_hop="10.0.0.1")
    external, internal = established(), Session(SessionConfig(65000, "10.0.0.1", 65000))
    assert (host_route(address_config, external, 8).med or 0) < (host_route(address_config, external, 7).med or 0)
    assert ((host_route(address_config, internal, 8).local_pref or 0)
            > (host_route(address_config, internal, 7).local_pref or 0))
    assert host_route(address_config, internal, 8).as_path == ()


# --- BFD ---------------------------------------------------------------------------------------------

VALID = bfd.Packet(bfd.State.DOWN, 1, 0, 3, 50_000, 50_000).encode()


@pytest.mark.parametrize("data", [
    b"", VALID[:23], b"\x40" + VALID[1:], VALID[:2] + b"\0" + VALID[3:], VALID[:3] + b"\x17" + VALID[4:],
    VALID[:3] + b"\x19" + VALID[4:], VALID[:4] + b"\0\0\0\0" + VALID[8:], VALID[:1] + b"\xc0" + VALID[2:],
    VALID[:1] + b"\x44" + VALID[2:], VALID[:1] + b"\x41" + VALID[2:], VALID[:1] + b"\x42" + VALID[2:]])
def test_bad_packets_are_dropped(data: bytes) -> None:
    assert bfd.parse(VALID) is not None
    assert bfd.parse(data) is None


@given(st.binary(max_size=60))
def test_any_datagram(data: bytes) -> None:
    packet = bfd.parse(data)
    if packet is not None:
        session = bfd.Session(9, 50.0, 3, 0.0)
        session.receive(0.0, packet)
        session.tick(1e7, 0.5)


def exchange_packets(a: bfd.Session, b: bfd.Session, start: float, end: float, only: str = "ab") -> float:
    """Run both sessions (or one) and return the time at which one went down, else ``end``."""
    now, were = start, (a.state, b.state)
    while now < end:
        for name, x, y in (("a", a, b), ("b", b, a)):
            if name in only:
                for data in x.tick(now, 0.5):
                    packet = bfd.parse(data)
                    assert packet is not None
                    y.receive(now, packet)
        if (bfd.State.UP in were) and bfd.State.DOWN in (a.state, b.state):
            return now
        were = (a.state, b.state)
        now += 1.0
    return now


def test_up_then_frozen_then_up_again() -> None:
    a, b = bfd.Session(1, 50.0, 3, 0.0), bfd.Session(2, 50.0, 3, 0.0)
    exchange_packets(a, b, 0.0, 5000.0)
    assert a.state is b.state is bfd.State.UP
    assert not a.polling
    down = exchange_packets(a, b, 5000.0, 9000.0, only="b")
    assert b.down_count == 1
    assert b.diag is bfd.Diag.EXPIRED
    assert down - 5000.0 <= 150.0 + 2.0, "the detection time is three intervals"
    exchange_packets(a, b, down, down + 5000.0)
    assert a.state is b.state is bfd.State.UP


def test_taken_down_on_purpose_is_told_at_once() -> None:
    a, b = bfd.Session(1, 50.0, 3, 0.0), bfd.Session(2, 50.0, 3, 0.0)
    exchange_packets(a, b, 0.0, 5000.0)
    a.admin_down()
    for data in a.tick(5001.0, 0.0):
        packet = bfd.parse(data)
        assert packet is not None
        b.receive(5001.0, packet)
    assert (b.state, b.diag) == (bfd.State.DOWN, bfd.Diag.NEIGHBOUR_DOWN)


def test_strangers_do_not_end_a_live_session() -> None:
    a, b = bfd.Session(1, 50.0, 3, 0.0), bfd.Session(2, 50.0, 3, 0.0)
    exchange_packets(a, b, 0.0, 5000.0)
    assert not b.receive(5000.0, bfd.Packet(bfd.State.DOWN, 66, 0, 3, 50_000, 50_000))
    assert not b.receive(5000.0, bfd.Packet(bfd.State.DOWN, 1, 99, 3, 50_000, 50_000))
    assert b.state is bfd.State.UP
