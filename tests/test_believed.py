"""Authentication and replay protection of datagrams, the key ring, the state file and the failure detector."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gaphub.cluster import keyring
from gaphub.cluster.detector import FailureDetector
from gaphub.cluster.envelope import DATAGRAM_BYTES, Endpoint, Key, OpenedDatagram, ReplayWindow
from gaphub.cluster.state_file import StateFile
from gaphub.cluster.types import Kind, Message, PersistentState

KEY, OTHER = Key("aaaaaaaa", b"1" * 32), Key("bbbbbbbb", b"2" * 32)
MESSAGE = Message(Kind.RENEW, 7, 9, True, False, 100, 1)
PEERS = {1: None, 2: None, 3: None}


def pair() -> tuple[Endpoint, Endpoint]:
    """Two members that know each other's incarnations."""
    a, b = Endpoint(1, 111, "c", PEERS), Endpoint(2, 222, "c", PEERS)
    a.peers[2].incarnation, b.peers[1].incarnation = 222, 111
    return a, b


def find_key(ident: str) -> Key | None:
    return {KEY.ident: KEY}.get(ident)


def test_what_is_sealed_opens_once() -> None:
    a, b = pair()
    data = a.seal(KEY, 2, MESSAGE)
    assert len(data) == DATAGRAM_BYTES
    assert b.open(find_key, data) == OpenedDatagram(1, 111, MESSAGE)
    assert b.open(find_key, data) == "replayed"


@pytest.mark.parametrize(("how", "why"), [
    ("other key", "unknown_key"), ("other cluster", "wrong_mac"), ("to the third", "not_for_me"),
    ("former life", "former_life"), ("cut", "garbled"), ("long", "garbled"), ("its own", "not_for_me")])
def test_what_is_not_believed(how: str, why: str) -> None:
    a, b = pair()
    data = a.seal(KEY, 2, MESSAGE)
    if how == "other key":
        data = a.seal(OTHER, 2, MESSAGE)
    elif how == "other cluster":
        a.cluster = "d"
        data = a.seal(KEY, 2, MESSAGE)
    elif how == "to the third":
        data = a.seal(KEY, 3, MESSAGE)
    elif how == "former life":
        b.incarnation = 333
    elif how == "cut":
        data = data[:-1]
    elif how == "long":
        data += b"\0"
    else:
        data = b.seal(KEY, 1, MESSAGE)
    assert b.open(find_key, data) == why
    assert b.open(find_key, a.seal(KEY, 2, MESSAGE)) != why or how in ("other cluster", "former life")


@given(st.integers(0, DATAGRAM_BYTES * 8 - 1))
def test_a_changed_bit_is_never_believed_and_changes_nothing(bit: int) -> None:
    a, b = pair()
    data = bytearray(a.seal(KEY, 2, MESSAGE))
    data[bit // 8] ^= 1 << bit % 8
    assert isinstance(b.open(find_key, bytes(data)), str)
    assert b.peers[1].window.highest == 0


@given(st.binary(max_size=200))
def test_any_bytes(data: bytes) -> None:
    assert isinstance(pair()[1].open(find_key, data), str)


def test_a_restarted_peer_is_believed_only_by_a_datagram_to_our_present_life() -> None:
    a, b = pair()
    old = a.seal(KEY, 2, MESSAGE)
    restarted = Endpoint(1, 444, "c", PEERS)
    first = restarted.seal(KEY, 2, MESSAGE)  # it does not know the receiver's incarnation yet
    assert b.open(find_key, first) == OpenedDatagram(1, 444, None)
    assert b.peers[1].incarnation == 111, "a datagram for incarnation 0 changes no state"
    answer = b.seal(KEY, 1, MESSAGE, 444)
    opened = restarted.open(find_key, answer)
    assert isinstance(opened, OpenedDatagram)
    assert opened.restarted
    opened = b.open(find_key, restarted.seal(KEY, 2, MESSAGE))
    assert isinstance(opened, OpenedDatagram)
    assert opened.restarted
    assert b.open(find_key, old) == "replayed", "a former incarnation is never accepted again"
    assert b.open(find_key, a.seal(KEY, 2, MESSAGE)) == "replayed"


@given(st.lists(st.integers(1, 300), max_size=120))
def test_the_window_takes_each_number_once(numbers: list[int]) -> None:
    window, taken = ReplayWindow(), set()
    for n in numbers:
        if window.is_fresh(n):
            assert n not in taken
            window.record(n)
            taken.add(n)
        else:
            assert n in taken or n <= max(taken) - 64


def test_rotation_has_no_gap(tmp_path: Path) -> None:
    file = tmp_path / "keys.toml"
    one = keyring.new_entry("", True)
    keyring.write(file, [one])
    old = keyring.read(file)
    two = keyring.new_entry("", False)
    keyring.write(file, [one, two])
    both = keyring.read(file)
    keyring.write(file, [keyring.KeyEntry(one.id, one.secret), keyring.KeyEntry(two.id, two.secret, True)])
    switched = keyring.read(file)
    for sender, receiver in ((old, both), (both, old), (both, switched), (switched, both), (switched, switched)):
        a, b = pair()
        assert isinstance(b.open(receiver.get, a.seal(sender.signing, 2, MESSAGE)), OpenedDatagram)
    a, b = pair()
    assert b.open(old.get, a.seal(switched.signing, 2, MESSAGE)) == "unknown_key"


@pytest.mark.parametrize(("text", "why"), [
    ("", "1 to 16 keys"), ("x = 1", "unknown"),
    ("[[key]]\nid = 'abcdefgh'\nsecret = 'zz'\nsign = true", "not hexa"),
    ("[[key]]\nid = 'abcdefgh'\nsecret = '11'\nsign = true", "not 32 bytes"),
    (f"[[key]]\nid = 'a'\nsecret = '{'11' * 32}'\nsign = true", "not 8 letters"),
    (f"[[key]]\nid = 'abcdefgh'\nsecret = '{'11' * 32}'", "0 keys sign"), ("\0", "not TOML")])
def test_bad_key_files(tmp_path: Path, text: str, why: str) -> None:
    file = tmp_path / "keys.toml"
    file.write_text(text)
    file.chmod(0o600)
    with pytest.raises(keyring.KeyRingError, match=why) as caught:
        keyring.read(file)
    assert "11" * 32 not in str(caught.value)


@pytest.mark.parametrize("mode", [0o640, 0o604, 0o644, 0o660])
def test_a_key_file_that_others_may_read_is_refused(tmp_path: Path, mode: int) -> None:
    file = tmp_path / "keys.toml"
    keyring.write(file, [keyring.new_entry("", True)])
    assert os.stat(file).st_mode & 0o777 == 0o600
    file.chmod(mode)
    with pytest.raises(keyring.KeyRingError, match="others may read it"):
        keyring.read(file)


def test_the_vote_survives_and_a_damaged_file_counts_as_none(tmp_path: Path) -> None:
    file = StateFile(str(tmp_path / "vote"))
    assert file.read() is None
    file.write(PersistentState(12, 3))
    assert StateFile(str(tmp_path / "vote")).read() == PersistentState(12, 3)
    whole = (tmp_path / "vote").read_text()
    for at in range(len(whole) - 1):  # cut anywhere
        (tmp_path / "vote").write_text(whole[:at])
        assert file.read() is None
    (tmp_path / "vote").write_text(whole.replace("12", "13"))
    assert file.read() is None
    assert file.fault == "damaged"
    file.write(None)
    assert not (tmp_path / "vote").exists()


def test_silence_grows_suspect() -> None:
    detector = FailureDetector(100.0)
    assert detector.phi(0.0) == 99.0
    for t in range(0, 2000, 100):
        detector.record_heartbeat(float(t))
    values = [detector.phi(1900.0 + silence) for silence in (0, 100, 200, 400, 1000)]
    assert values == sorted(values)
    assert values[0] < 1 < values[3]
