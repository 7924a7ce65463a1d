"""What gateways tell each other: the messages, the ledger, the pace, and what only the sum of many shows."""

from __future__ import annotations

import random
from collections import Counter
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from gaphub.cli import gaphub
from gaphub.interface import ListedWorker, ListKind, Request, Settings, Status
from gaphub.logic import Balancer
from gaphub.occupancy.ledger import HEARTBEAT_TTL_MS, PeerCounts
from gaphub.occupancy.messages import MESSAGE_BYTES_MAX, Kind, decode, encode, wire_id
from gaphub.occupancy.pacing import HEARTBEAT_INTERVAL_MS, Pacing

from .fake import SAFE, Recorder, entry

WORKERS = st.integers(1, 2**32 - 1)


@given(st.sampled_from(Kind), st.integers(0, 10**6),
       st.dictionaries(st.integers(0, 65535), st.integers(0, 255), max_size=84))
def test_a_message_says_what_it_was_made_of(kind: Kind, number: int, table: dict[int, int]) -> None:
    data = encode(kind, number, list(table.items()))
    assert len(data) <= MESSAGE_BYTES_MAX
    assert decode(data) == (kind, number % 256, table)


@given(st.lists(st.tuples(st.integers(0, 3), st.binary(max_size=300)), max_size=40))
def test_whatever_comes_the_sums_stay_those_of_the_entries(messages: list[tuple[int, bytes]]) -> None:
    ledger = PeerCounts(4)
    for at, (sender, data) in enumerate(messages):
        ledger.receive(at * 70.0, sender, bytes([0xD0 | len(data) % 3]) + data)
        sums: Counter[int] = Counter()
        for counts in ledger.counts.values():
            sums.update(counts)
        assert ledger.total == {w: n for w, n in sums.items() if n}


@given(st.integers(0, 60), st.dictionaries(WORKERS, st.integers(1, 9), max_size=200), st.randoms())
def test_all_that_is_told_arrives_once_in_any_order(others: int, table: dict[int, int],
                                                    rnd: random.Random) -> None:
    pacing, ledger = Pacing(others), PeerCounts(max(1, others))
    messages = list(pacing.encode_broadcast(0.0, Kind.SNAPSHOT_REQUEST, table.items()))
    first, *more = messages
    rnd.shuffle(more)
    for data in [first, *more]:
        ledger.receive(0.0, 1, data)
    if len(messages) == 1:
        for worker in table:
            same = [n for w, n in table.items() if wire_id(w) == wire_id(worker)]
            assert ledger.peer_slots(worker) == min(255, sum(same))
    for data in pacing.encode_broadcast(1.0, Kind.SNAPSHOT, ()):
        ledger.receive(1.0, 1, data)
    assert not ledger.total


@given(st.integers(1, 200), st.lists(st.tuples(st.floats(0.0, 400.0), WORKERS, st.booleans()), max_size=60))
def test_sends_are_told_at_once_and_ends_within_a_bound(others: int,
                                                        changes: list[tuple[float, int, bool]]) -> None:
    pacing, now = Pacing(others), 0.0
    waits: dict[int, float] = {}
    for gap, worker, more in changes:
        if pacing.flush_at and pacing.flush_at <= now + gap:
            list(pacing.encode_broadcast(pacing.flush_at, Kind.DELTA, ()))
            waits.clear()
        now += gap
        waits.setdefault(worker, now)
        if pacing.record_change(now, worker, more):
            list(pacing.encode_broadcast(now, Kind.DELTA, ()))
            waits.clear()
        else:
            assert not more and others >= 8
        assert set(waits) == pacing.pending
        assert all(at <= now <= at + pacing.flush_delay_ms for at in waits.values())


def test_a_quiet_gateway_speaks_often_enough_to_be_believed() -> None:
    for others in (1, 3, 39, 100):
        pacing, ledger, now = Pacing(others), PeerCounts(1), 0.0
        for _ in range(300):
            due = pacing.next_tick(now)
            for data in pacing.encode_broadcast(now, due, ()) if due is not None else ():
                ledger.receive(now, 1, data)
            now += HEARTBEAT_INTERVAL_MS * 1.2
            assert ledger.complete(now)
        assert not ledger.complete(now + HEARTBEAT_TTL_MS)


def test_in_a_large_fleet_some_may_be_silent_and_in_a_small_one_none() -> None:
    for others, silent, known in ((2, 1, False), (3, 1, False), (39, 28, True), (39, 35, False)):
        ledger = PeerCounts(others)
        for sender in range(others - silent):
            ledger.receive(0.0, sender, encode(Kind.SNAPSHOT_REQUEST, 0, []))
        assert ledger.complete(1.0) is known


class Fleet:
    """Gateways that reach each other at once, before workers of four slots that never end a job."""

    def __init__(self, gateways: int, entries: list[ListedWorker], **more: object) -> None:
        setting = {"may_tell_peers": True, "may_probe": True, "reports_in_probes": True,
                   "prices": {"peer": 0.0096}, "report_fields": ("free_slots", "queue", "inflight"), **more}
        self.did = [Recorder() for _ in range(gateways)]
        self.all = [Balancer(500.0, Settings(classes=(SAFE,), balancers=gateways, me=me, **setting),  # type: ignore[arg-type]
                             me, self.did[me]) for me in range(gateways)]
        for b in self.all:
            b.on_workers(500.0, ListKind.CACHED, entries)
        self.ring(505.0)
        self.all[0].on_probe_result(505.0, entries[0].worker, Status.OK, 1.0, (4.0, 0.0, 0.0))
        self.talk(505.0)

    def ring(self, now: float) -> None:
        for b in self.all:
            b.on_timer(now, 1)
        self.talk(now)

    def talk(self, now: float) -> int:
        bytes_ = 0
        for me, did in enumerate(self.did):
            told, did.peer_messages = did.peer_messages, []
            for to, data in told:
                for other, b in enumerate(self.all):
                    if other != me and to in (-1, other):
                        b.on_peer(now, me, data)
                        bytes_ += len(data)
        return bytes_ + self.talk(now) if any(did.peer_messages for did in self.did) else bytes_

    def sends(self) -> Counter[int]:
        return Counter(w for did in self.did for _, w in did.sends)


# Guards against forty gateways that each give a worker that has just started what each alone may: it was
# sent eight times what it could do.  And against each keeping to its own part, so that nobody used it.
@pytest.mark.parametrize("gateways", [2, 40])
def test_a_cold_worker_gets_its_part_from_all_gateways_together(gateways: int) -> None:
    fleet = Fleet(gateways, [entry(1), entry(2, ready_at=500.0)], cold_from=0.3, cold_ms=8_900.0)
    for round_ in range(40):
        b = fleet.all[round_ % gateways]
        b.on_request(510.0, Request(round_, 0, 5000.0))
        fleet.talk(510.0)
    assert fleet.sends()[2] == 1
    half = 500.0 + 0.5 * 8_900.0
    fleet.ring(half - 2_000.0)
    fleet.ring(half)
    for round_ in range(40, 80):
        fleet.all[round_ % gateways].on_request(half, Request(round_, 0, 5000.0))
        fleet.talk(half)
    assert sum(b.fleet.workers[2].slots_out for b in fleet.all) == 3


def test_what_one_gateway_learns_of_slots_and_counts_all_know() -> None:
    fleet = Fleet(40, [entry(w) for w in range(1, 11)])
    for job in range(40):
        fleet.all[job].on_request(510.0, Request(job, 0, 5000.0))
        assert fleet.talk(510.0) <= 39 * 5 * 3  # a send, and once in a while a table
    assert set(fleet.sends().values()) == {4}
    assert not any(did.probes for did in fleet.did[1:])


def test_the_sums_over_logs(tmp_path: Path) -> None:
    (tmp_path / "a.log").write_text("1.9 gaphub: gained: calls.sent=2 probes.sent=1\nodd\n3.0 gaphub: gained: \n")
    (tmp_path / "b.log").write_text("1.2 gaphub: gained: calls.sent=5\n2.5 gaphub: gained: calls.sent=1\n")
    shown = CliRunner().invoke(gaphub, ["lab", "fleet", str(tmp_path), "--only", "calls"])
    assert shown.output.splitlines() == ["s\tcalls.sent", "1\t7 (5)", "2\t1 (1)", "3\t0 (0)", "all\t8"]
    (tmp_path / "sub").mkdir()
    assert CliRunner().invoke(gaphub, ["lab", "fleet", str(tmp_path / "sub")]).exit_code == 1
