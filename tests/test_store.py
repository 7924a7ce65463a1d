"""The store without sockets: last writer, bounds, garble, and convergence over a bad network."""

from __future__ import annotations

import random
import struct
from contextlib import suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gaphub.store import MAGIC, MAX_DATAGRAM_BYTES, MAX_FUTURE_MS, MalformedDatagramError, Store

NOW = 1_700_000_000_000.0


def all_of(store: Store, now: float = NOW) -> dict[str, bytes]:
    return dict(store.items("", now))


class Net:
    """Stores that send each other datagrams, of which many are lost, doubled or late."""

    def __init__(self, count: int, seed: int, loss: float = 0.3) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.stores = [self.new(i, count) for i in range(count)]
        self.flight: list[tuple[int, int, bytes]] = []
        self.now = NOW

    def new(self, node: int, count: int) -> Store:
        store = Store(node, max_entries=500)
        for peer in range(count):
            if peer != node:
                store.add_peer(peer)
        return store

    def send(self, a: int, b: int, data: bytes) -> None:
        assert len(data) <= MAX_DATAGRAM_BYTES
        for _ in range(2):
            if self.rng.random() > self.loss:
                self.flight.append((a, b, data))

    def round(self) -> None:
        self.now += 1000.0
        for a, store in enumerate(self.stores):
            b = self.rng.randrange(len(self.stores))
            if a != b:
                for data in [*store.pending_updates(b, 2), store.digest()]:
                    self.send(a, b, data)
        for _ in range(len(self.flight)):  # in any order; some stay for later rounds
            if self.rng.random() < 0.8:
                a, b, data = self.flight.pop(self.rng.randrange(len(self.flight)))
                for answer in self.stores[b].receive(a, data, self.now):
                    self.send(b, a, answer)

    def agree(self, rounds: int) -> bool:
        for _ in range(rounds):
            self.round()
            if all(all_of(s, self.now) == all_of(self.stores[0], self.now) for s in self.stores):
                return True
        return False


@pytest.mark.parametrize("seed", range(5))
def test_stores_converge_after_loss_reordering_and_a_restart_from_nothing(seed: int) -> None:
    net = Net(3, seed)
    for i in range(120):
        store = net.stores[net.rng.randrange(3)]
        store.put(f"k{net.rng.randrange(60)}", b"%d" % i, net.now + i, net.rng.choice([0.0, 3_600_000.0]))
        if i % 17 == 0:
            store.delete(f"k{net.rng.randrange(60)}", net.now + i)
        if i % 10 == 0:
            net.round()
    assert net.agree(200)
    before = all_of(net.stores[0], net.now)
    assert len(before) > 30
    net.stores[1] = net.new(1, 3)
    net.flight.clear()
    assert net.agree(200)
    assert all_of(net.stores[1], net.now) == before


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 5), st.integers(0, 3)), max_size=30),
       st.randoms())
def test_merging_in_any_order_agrees(writes: list[tuple[int, int, int]], rng: random.Random) -> None:
    made: list[bytes] = []
    for node in range(3):
        store = Store(node)
        store.add_peer(9)
        for who, key, tick in writes:
            if who == node:
                store.put(f"k{key}", bytes([key, tick]), NOW + tick)
                made += store.pending_updates(9, 9)
    found = []
    for _ in range(2):
        rng.shuffle(made)
        reader = Store(5)
        for data in made + made[:3]:
            reader.receive(1, data, NOW)
        found.append(all_of(reader))
    assert found[0] == found[1]


def test_the_last_writer_wins_and_a_deleted_value_stays_deleted() -> None:
    a, b = Store(0), Store(1)
    a.add_peer(1)
    a.put("k", b"old", NOW)
    old = a.pending_updates(1, 9)
    a.put("k", b"new", NOW)
    for data in a.pending_updates(1, 9) + old:
        b.receive(0, data, NOW)
    assert b.get("k", NOW) == b"new"
    b.delete("k", NOW + 1)
    for data in old:
        b.receive(0, data, NOW + 1)
    assert b.get("k", NOW + 1) is None


def test_entries_expire_and_do_not_come_back() -> None:
    a, b = Store(0), Store(1)
    a.add_peer(1)
    a.put("k", b"v", NOW, ttl_ms=1000.0)
    late = a.pending_updates(1, 9)
    assert a.get("k", NOW + 999) == b"v" and a.get("k", NOW + 1001) is None
    a.expire(NOW + 1001)
    assert len(a) == 0
    for data in late:
        b.receive(0, data, NOW + 2000)
    assert len(b) == 0


def test_memory_is_bounded_and_configuration_outlives_claims() -> None:
    store = Store(0, max_entries=50)
    store.put("config/x", b"1", NOW)
    for i in range(5000):
        store.put(f"state/{i}", b"c", NOW + i, ttl_ms=100_000.0)
    assert len(store) == 50
    assert store.get("config/x", NOW + 5000) == b"1"
    assert store.get("state/4999", NOW + 5000) == b"c"
    assert len(store._by_expiry) <= 2 * 50 + 65
    full = Store(0, max_entries=2)
    assert full.put("a", b"", NOW) and full.put("b", b"", NOW)
    assert not full.put("c", b"", NOW)  # nothing there would ever give way
    assert not full.put("k" * 97, b"", NOW) and not full.put("a", b"v" * 101, NOW)


def entry(stamp: float = NOW, key: bytes = b"k", size: int = 1, gone: int = 0) -> bytes:
    return MAGIC + b"\x02" + struct.pack(">QHQBBB", int(stamp), 1, 0, gone, len(key), size) + key + b"v"


@pytest.mark.parametrize(
    "data",
    [b"", MAGIC, b"xx1\x02", MAGIC + b"\x09", MAGIC + b"\x01short", entry(size=9), entry(key=b"\xff"),
     entry(gone=2), entry()[:-6], entry(key=b"") , entry() + b"rest", MAGIC + b"\x01" + b"a" * 300,
     entry(stamp=NOW + 2 * MAX_FUTURE_MS)],
)
def test_garbled_datagrams_change_nothing(data: bytes) -> None:
    store = Store(0)
    with pytest.raises(MalformedDatagramError):
        store.receive(1, data, NOW)
    assert len(store) == 0


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.binary(max_size=300))
def test_any_bytes_are_merged_or_garbled(data: bytes) -> None:
    store = Store(0)
    for prefix in (b"", MAGIC, MAGIC + b"\x02"):
        with suppress(MalformedDatagramError):
            store.receive(1, prefix + data, NOW)


def test_alike_stores_say_one_datagram_and_answer_none() -> None:
    a, b = Store(0), Store(1)
    assert b.receive(0, a.digest(), NOW) == []
    assert len(a.digest()) <= MAX_DATAGRAM_BYTES
