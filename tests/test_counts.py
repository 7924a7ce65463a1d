"""The all-to-all exchange: messages, received counts, pacing, and schedulers that act on the counts together."""

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
from gaphub.occupancy.messages import MESSAGE_BYTES_MAX, Kind, decode, encode, wire_id
from gaphub.occupancy.pacing import HEARTBEAT_INTERVAL_MS, Pacing
from gaphub.occupancy.peer_counts import HEARTBEAT_TTL_MS, PeerCounts

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
    peer_counts = PeerCounts(4)
    for at, (sender, data) in enumerate(messages):
        peer_counts.receive(at * 70.0, sender, bytes([0xD0 | len(data) % 3]) + data)
        sums: Counter[int] = Counter()
        for counts in peer_counts.counts.values():
            sums.update(counts)
        assert peer_counts.total == {w: n for w, n in sums.items() if n}


@given(st.integers(0, 60), st.dictionaries(WORKERS, st.integers(1, 9), max_size=200), st.randoms())
def test_all_that_is_told_arrives_once_in_any_order(others: int, table: dict[int, int],
                                                    rnd: random.Random) -> None:
    pacing, peer_counts = Pacing(others), PeerCounts(max(1, others))
    messages = list(pacing.encode_broadcast(0.0, Kind.SNAPSHOT_REQUEST, table.items()))
    first, *more = messages
    rnd.shuffle(more)
    for data in [first, *more]:
        peer_counts.receive(0.0, 1, data)
    if len(messages) == 1:
        for worker in table:
            same = [n for w, n in table.items() if wire_id(w) == wire_id(worker)]
            assert peer_counts.peer_slots(worker) == min(255, sum(same))
    for data in pacing.encode_broadcast(1.0, Kind.SNAPSHOT, ()):
        peer_counts.receive(1.0, 1, data)
    assert not peer_counts.total


@given(st.integers(1, 200), st.lists(st.tuples(st.floats(0.0, 400.0), WORKERS, st.booleans()), max_size=60))
def test_sends_are_told_at_once_and_ends_within_a_bound(others: int,
                                                        changes: list[tuple[float, int, bool]]) -> None:
    pacing, now = Pacing(others), 0.0
    waits: dict[int, float] = {}
    for pause, worker, more in changes:
        if pacing.flush_at and pacing.flush_at <= now + pause:
            list(pacing.encode_broadcast(pacing.flush_at, Kind.DELTA, ()))
            waits.clear()
        now += pause
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
        pacing, peer_counts, now = Pacing(others), PeerCounts(1), 0.0
        for _ in range(300):
            due = pacing.next_tick(now)
            for data in pacing.encode_broadcast(now, due, ()) if due is not None else ():
                peer_counts.receive(now, 1, data)
            now += HEARTBEAT_INTERVAL_MS * 1.2
            assert peer_counts.complete(now)
        assert not peer_counts.complete(now + HEARTBEAT_TTL_MS)


def test_in_a_large_fleet_some_may_be_silent_and_in_a_small_one_none() -> None:
    for others, silent, complete in ((2, 1, False), (3, 1, False), (39, 28, True), (39, 35, False)):
        peer_counts = PeerCounts(others)
        for sender in range(others - silent):
            peer_counts.receive(0.0, sender, encode(Kind.SNAPSHOT_REQUEST, 0, []))
        assert peer_counts.complete(1.0) is complete


class Fleet:
    """Schedulers whose messages arrive at once, with workers of four slots that never finish a job."""

    def __init__(self, schedulers: int, entries: list[ListedWorker], **more: object) -> None:
        settings = {"may_tell_peers": True, "may_probe": True, "reports_in_probes": True,
                    "prices": {"peer": 0.0096}, "report_fields": ("free_slots", "queue", "inflight"), **more}
        self.recorders = [Recorder() for _ in range(schedulers)]
        self.balancers = [Balancer(500.0, Settings(classes=(SAFE,), balancers=schedulers, me=me, **settings),  # type: ignore[arg-type]
                                   me, self.recorders[me]) for me in range(schedulers)]
        for b in self.balancers:
            b.on_workers(500.0, ListKind.CACHED, entries)
        self.fire_timers(505.0)
        self.balancers[0].on_probe_result(505.0, entries[0].worker, Status.OK, 1.0, (4.0, 0.0, 0.0))
        self.deliver(505.0)

    def fire_timers(self, now: float) -> None:
        for b in self.balancers:
            b.on_timer(now, 1)
        self.deliver(now)

    def deliver(self, now: float) -> int:
        byte_count = 0
        for me, recorder in enumerate(self.recorders):
            messages, recorder.peer_messages = recorder.peer_messages, []
            for to, data in messages:
                for other, b in enumerate(self.balancers):
                    if other != me and to in (-1, other):
                        b.on_peer(now, me, data)
                        byte_count += len(data)
        return byte_count + self.deliver(now) if any(
            recorder.peer_messages for recorder in self.recorders) else byte_count

    def sends_per_worker(self) -> Counter[int]:
        return Counter(w for recorder in self.recorders for _, w in recorder.sends)


# Guards against two failures.  When each of forty schedulers sent a restarted worker what one may send alone, it
# got eight times what it could do.  When each kept to its own share of the worker, none used it.
@pytest.mark.parametrize("schedulers", [2, 40])
def test_a_cold_worker_gets_its_part_from_all_gateways_together(schedulers: int) -> None:
    fleet = Fleet(schedulers, [entry(1), entry(2, ready_at=500.0)], cold_from=0.3, cold_ms=8_900.0)
    for job in range(40):
        b = fleet.balancers[job % schedulers]
        b.on_request(510.0, Request(job, 0, 5000.0))
        fleet.deliver(510.0)
    assert fleet.sends_per_worker()[2] == 1
    half = 500.0 + 0.5 * 8_900.0
    fleet.fire_timers(half - 2_000.0)
    fleet.fire_timers(half)
    for job in range(40, 80):
        fleet.balancers[job % schedulers].on_request(half, Request(job, 0, 5000.0))
        fleet.deliver(half)
    assert sum(b.fleet.workers[2].slots_out for b in fleet.balancers) == 3


def test_what_one_gateway_learns_of_slots_and_counts_all_know() -> None:
    fleet = Fleet(40, [entry(w) for w in range(1, 11)])
    for job in range(40):
        fleet.balancers[job].on_request(510.0, Request(job, 0, 5000.0))
        assert fleet.deliver(510.0) <= 39 * 5 * 3  # an increased count, and at times a snapshot
    assert set(fleet.sends_per_worker().values()) == {4}
    assert not any(recorder.probes for recorder in fleet.recorders[1:])


def test_the_sums_over_logs(tmp_path: Path) -> None:
    (tmp_path / "a.log").write_text("1.9 gaphub: gained: calls.sent=2 probes.sent=1\nodd\n3.0 gaphub: gained: \n")
    (tmp_path / "b.log").write_text("1.2 gaphub: gained: calls.sent=5\n2.5 gaphub: gained: calls.sent=1\n")
    shown = CliRunner().invoke(gaphub, ["lab", "fleet", str(tmp_path), "--only", "calls"])
    assert shown.output.splitlines() == ["s\tcalls.sent", "1\t7 (5)", "2\t1 (1)", "3\t0 (0)", "all\t8"]
    (tmp_path / "sub").mkdir()
    assert CliRunner().invoke(gaphub, ["lab", "fleet", str(tmp_path / "sub")]).exit_code == 1
