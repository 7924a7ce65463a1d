"""The store without sockets: last writer wins, bounds, malformed datagrams, convergence over a lossy network."""

from __future__ import annotations

import random
import struct
from contextlib import suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gaphub.store import MAGIC, MAX_DATAGRAM_BYTES, MAX_FUTURE_MS, MalformedDatagramError, Store

NOW = 1_700_000_000_000.0


def live_entries(store: Store, now: float = NOW) -> dict[str, bytes]:
    return dict(store.items("", now))


class Network:
    """Stores connected by a network that loses, duplicates and delays datagrams."""

    def __init__(self, count: int, seed: int, loss: float = 0.3) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.stores = [self.new(i, count) for i in range(count)]
        self.in_flight: list[tuple[int, int, bytes]] = []
        self.now = NOW

    def new(self, node: int, count: int) -> Store:
        store = Store(node, max_entries=500)
        for peer in range(count):
            if peer != node:
                store.add_peer(peer)
        return store

    def send(self, sender: int, receiver: int, data: bytes) -> None:
        assert len(data) <= MAX_DATAGRAM_BYTES
        for _ in range(2):
            if self.rng.random() > self.loss:
                self.in_flight.append((sender, receiver, data))

    def round(self) -> None:
        self.now += 1000.0
        for sender, store in enumerate(self.stores):
            receiver = self.rng.randrange(len(self.stores))
            if sender != receiver:
                for data in [*store.pending_updates(receiver, 2), store.digest()]:
                    self.send(sender, receiver, data)
        for _ in range(len(self.in_flight)):  # delivered in random order; some stay for later rounds
            if self.rng.random() < 0.8:
                sender, receiver, data = self.in_flight.pop(self.rng.randrange(len(self.in_flight)))
                for answer in self.stores[receiver].receive(sender, data, self.now):
                    self.send(receiver, sender, answer)

    def converge(self, rounds: int) -> bool:
        for _ in range(rounds):
            self.round()
            if all(live_entries(s, self.now) == live_entries(self.stores[0], self.now) for s in self.stores):
                return True
        return False


@pytest.mark.parametrize("seed", range(5))
def test_stores_converge_after_loss_reordering_and_a_restart_from_nothing(seed: int) -> None:
    network = Network(3, seed)
    for i in range(120):
        store = network.stores[network.rng.randrange(3)]
        store.put(f"k{network.rng.randrange(60)}", b"%d" % i, network.now + i,
                  network.rng.choice([0.0, 3_600_000.0]))
        if i % 17 == 0:
            store.delete(f"k{network.rng.randrange(60)}", network.now + i)
        if i % 10 == 0:
            network.round()
    assert network.converge(200)
    before = live_entries(network.stores[0], network.now)
    assert len(before) > 30
    network.stores[1] = network.new(1, 3)
    network.in_flight.clear()
    assert network.converge(200)
    assert live_entries(network.stores[1], network.now) == before


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 5), st.integers(0, 3)), max_size=30),
       st.randoms())
def test_merging_in_any_order_agrees(writes: list[tuple[int, int, int]], rng: random.Random) -> None:
    datagrams: list[bytes] = []
    for node in range(3):
        store = Store(node)
        store.add_peer(9)
        for writer, key, tick in writes:
            if writer == node:
                store.put(f"k{key}", bytes([key, tick]), NOW + tick)
                datagrams += store.pending_updates(9, 9)
    results = []
    for _ in range(2):
        rng.shuffle(datagrams)
        reader = Store(5)
        for data in datagrams + datagrams[:3]:
            reader.receive(1, data, NOW)
        results.append(live_entries(reader))
    assert results[0] == results[1]


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
    assert len(store._expiry_heap) <= 2 * 50 + 65
    full = Store(0, max_entries=2)
    assert full.put("a", b"", NOW) and full.put("b", b"", NOW)
    assert not full.put("c", b"", NOW)  # no entry expires, so none can be evicted
    assert not full.put("k" * 97, b"", NOW) and not full.put("a", b"v" * 101, NOW)


def entry_datagram(stamp: float = NOW, key: bytes = b"k", size: int = 1, deleted: int = 0) -> bytes:
    return MAGIC + b"\x02" + struct.pack(">QHQBBB", int(stamp), 1, 0, deleted, len(key), size) + key + b"v"


@pytest.mark.parametrize(
    "data",
    [b"", MAGIC, b"xx1\x02", MAGIC + b"\x09", MAGIC + b"\x01short", entry_datagram(size=9),
     entry_datagram(key=b"\xff"), entry_datagram(deleted=2), entry_datagram()[:-6], entry_datagram(key=b""),
     entry_datagram() + b"rest", MAGIC + b"\x01" + b"a" * 300, entry_datagram(stamp=NOW + 2 * MAX_FUTURE_MS)],
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
