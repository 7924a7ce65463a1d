"""Tests of scale runs: scenarios, points file, messages of simulated schedulers, short runs of real processes."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import psutil
import pytest
from click.testing import CliRunner

from gaphub.cli import gaphub
from gaphub.lab.scale import runner
from gaphub.lab.scale.change_latency import CHANGE_TIMEOUT_S, ChangeTracker
from gaphub.lab.scale.discovery import CountingAgent, Registry
from gaphub.lab.scale.hollow import AllToAllFleet, FleetPlan, SimulatedScheduler, worker_name, worker_number
from gaphub.lab.scale.points import (
    ChangeLatency,
    Load,
    Machine,
    Point,
    PointsError,
    SchedulerUsage,
    append_point,
    read_points,
)
from gaphub.lab.scale.processes import FleetProcess, RealScheduler
from gaphub.lab.scale.sampling import Sample, usage_between
from gaphub.lab.scale.scenario import Scenario, ScenarioError, Sweeps, plan_points, read_scenario
from gaphub.net.peers import HEARTBEAT_TYPE
from gaphub.occupancy.messages import DELTA, MESSAGE_BYTES_MAX, SNAPSHOT, decode, wire_id
from gaphub.occupancy.peer_counts import PeerCounts

ROOT = Path(__file__).resolve().parent.parent
SHORT = ROOT / "deploy" / "scale" / "short.toml"
TARGET = ROOT / "deploy" / "scale" / "target.toml"
# Among so few schedulers the ends of tasks are not batched, so each start and each end is a datagram.
LOAD = Load(workers=64, schedulers=7, starts_per_s=100.0, tasks_running=400, changes_per_s=0.0, teams=5, zones=4)
# A watch of the list takes up to a second: each window is long enough to contain a whole one, even a late one.
SMALL = Scenario(LOAD, Sweeps(), 2, seconds=2.4, warm_up_s=0.6, in_force_s=0.5, requests_most_per_s=10.0)
IN_FORCE_BUDGET_MS = 6_000.0  # within which a change must be in force


# --- scenarios -----------------------------------------------------------------------------------

@pytest.mark.parametrize(("override", "key"), [
    ("load.wokers=2000", "load.wokers"),
    ("sweeps.zones=[1]", "sweeps.zones"),
    ("second=4", "second"),
    ("load.workers='many'", "load.workers"),
    ("load.workers=1.5", "load.workers"),
    ("load.workers=70000", "load.workers"),
    ("load.workers=7", "load.workers"),
    ("load.schedulers=2", "load.schedulers"),
    ("load.schedulers=5000", "load.schedulers"),
    ("load.starts_per_s=-1.0", "load.starts_per_s"),
    ("load.tasks_running=-1", "load.tasks_running"),
    ("load.tasks_running=1000000", "load.tasks_running"),
    ("load.changes_per_s=1e9", "load.changes_per_s"),
    ("load.teams=-1", "load.teams"),
    ("load.zones=0", "load.zones"),
    ("sweeps.schedulers=[6, 1]", "sweeps.schedulers"),
    ("sweeps.settings_changes_per_s=[-1.0]", "sweeps.settings_changes_per_s"),
    ("sweeps.settings_changes_per_s=[5.0]", "sweeps.settings_changes_per_s"),
    ("sweeps={}", "sweeps"),
    ("real_schedulers=1", "real_schedulers"),
    ("real_schedulers=9", "real_schedulers"),
    ("seconds=0.0", "seconds"),
    ("warm_up_s=100.0", "warm_up_s"),
    ("repeats=0", "repeats"),
    ("in_force_s=0.0", "in_force_s"),
    ("requests_most_per_s=1e6", "requests_most_per_s"),
    ("peer_price=-1.0", "peer_price"),
    ("seconds", "seconds"),
    ("seconds=", "seconds"),
])
def test_a_scenario_that_cannot_be_run_is_exit_2_and_names_the_key(
        override: str, key: str, tmp_path: Path) -> None:
    out = tmp_path / "points.jsonl"
    result = CliRunner().invoke(gaphub, ["lab", "scale", "run", str(SHORT), "--set", override, "--out", str(out)])
    assert result.exit_code == 2
    assert result.stderr.startswith(f"{key}:")
    assert not out.exists()


def test_a_file_that_is_no_scenario_is_named(tmp_path: Path) -> None:
    file = tmp_path / "a.toml"
    for text in ("[load\n", "", "load = 3\n"):
        file.write_text(text)
        with pytest.raises(ScenarioError, match=r"a\.toml|^load"):
            read_scenario(file)
    with pytest.raises(ScenarioError, match=r"absent\.toml"):
        read_scenario(tmp_path / "absent.toml")


def test_an_override_changes_its_key_alone() -> None:
    plain, other = read_scenario(SHORT), read_scenario(SHORT, ["load.workers=2000", "seconds=3.5"])
    assert other == msgspec.structs.replace(
        plain, seconds=3.5, load=msgspec.structs.replace(plain.load, workers=2000))


def test_the_target_scenario_holds_the_target_and_sweeps_each_key() -> None:
    scenario = read_scenario(TARGET)
    points = list(plan_points(scenario))
    for sweep, greatest in (("workers", 11_000), ("schedulers", 400), ("starts_per_s", 2_500.0),
                            ("tasks_running", 310_000), ("changes_per_s", 1_375 / 2)):
        swept = [getattr(p.load, sweep) for p in points if p.sweep == sweep]
        assert len(swept) >= 4
        assert max(swept) == greatest
    for planned in points:  # each varies one key only
        key = "changes_per_s" if planned.sweep == "settings_changes_per_s" else planned.sweep
        value = getattr(planned.load, key)
        assert planned.load == msgspec.structs.replace(scenario.load, **{key: value})


def test_what_the_machine_cannot_hold_is_refused_before_the_start(monkeypatch: pytest.MonkeyPatch) -> None:
    large = msgspec.structs.replace(LOAD, workers=65_000, schedulers=400, tasks_running=1_000_000_000)
    with pytest.raises(ScenarioError, match=r"sweeps\.workers: needs .* GB"):
        runner.check_machine(Scenario(large, Sweeps(workers=[65_000]), 2))
    wide = Scenario(msgspec.structs.replace(LOAD, schedulers=400), Sweeps(workers=[64]), 2)
    runner.check_machine(wide)
    monkeypatch.setattr(resource, "getrlimit", lambda what: (400, resource.RLIM_INFINITY))
    with pytest.raises(ScenarioError, match=r"sweeps\.workers: needs \d+ descriptors, and the limit is 400"):
        runner.check_machine(wide)


# --- points --------------------------------------------------------------------------------------

def _point(failed: str = "") -> Point:
    usage = SchedulerUsage("n0", 0.5, 64.0, 1_000, 900, 100, 90, 80, 70, 12)
    return Point(commit="c0ffee", dirty=False, seed=7, machine=Machine(8, 24_000, "3.11.7"), scenario="short",
                 sweep="workers", repeat=1, load=LOAD, seconds=1.25, schedulers=[] if failed else [usage, usage],
                 baseline=[usage], in_force_ms=None if failed else ChangeLatency(8, 1.0, 2.0, 3.0, 1, "list"),
                 failed=failed)


def test_points_come_back_as_they_were_written(tmp_path: Path) -> None:
    file = tmp_path / "points.jsonl"
    points = [_point(), _point("a scheduler did not start"), _point()]
    for point in points:
        append_point(file, point)
    assert list(read_points(file)) == points
    assert len(file.read_bytes().splitlines()) == 3


@pytest.mark.parametrize("line", [b"{}", b"nonsense", b'{"version": 2}'])
def test_a_line_that_is_no_point_is_named(line: bytes, tmp_path: Path) -> None:
    file = tmp_path / "points.jsonl"
    append_point(file, _point())
    with open(file, "ab") as f:
        f.write(line + b"\n")
    with pytest.raises(PointsError, match=r"points\.jsonl:2: "):
        list(read_points(file))


def test_a_point_of_another_version_is_refused(tmp_path: Path) -> None:
    file = tmp_path / "points.jsonl"
    append_point(file, msgspec.structs.replace(_point(), version=2))
    with pytest.raises(PointsError, match="version 2"):
        list(read_points(file))


def test_a_measured_share_is_the_difference_of_two_samples() -> None:
    before = Sample(10.0, 1.0, 60.0, {"peers.sent": 5, "peers.sent_bytes": 50}, 1_000, 100)
    after = Sample(12.0, 1.5, 70.0, {"peers.sent": 8, "peers.sent_bytes": 80, "peers.received": 4,
                                     "peers.received_bytes": 40, "requests.served": 2}, 1_300, 130)
    assert usage_between("n1", before, after) == SchedulerUsage("n1", 0.5, 70.0, 40, 30, 4, 3, 300, 30, 2)


# --- simulated schedulers -----------------------------------------------------------------------------

def _plan(schedulers: int, starts: float, tasks: int, workers: int = 50, seed: int = 3) -> FleetPlan:
    listen = [("127.1.0.1", 1 + i) for i in range(schedulers - 2)]
    return FleetPlan(listen, [], schedulers, workers, starts, tasks, 1.0, seed)


def _simulate(plan: FleetPlan, seconds: float, step_ms: float = 5.0
          ) -> tuple[AllToAllFleet, list[tuple[float, int, bytes]]]:
    fleet = AllToAllFleet(plan, 0.0)
    messages, now = [], 0.0
    while now < seconds * 1000.0:
        now += step_ms
        messages += [(now, i, data) for i, data in fleet.advance(now)]
    return fleet, messages


@pytest.mark.parametrize("schedulers", [5, 12, 60])
def test_what_hollow_schedulers_say_is_their_table(schedulers: int) -> None:
    fleet, messages = _simulate(_plan(schedulers, 200.0, 3_000), 4.0)
    peer_counts, now = PeerCounts(schedulers - 1), 4_000.0
    for i, scheduler in enumerate(fleet.schedulers):  # ends that are still held back for batching
        messages += [(now, i, data) for data in scheduler.encode_messages(now, DELTA)]
    heartbeats = 0
    for at, i, data in messages:
        if data[0] == HEARTBEAT_TYPE:
            heartbeats += 1
            continue
        assert decode(data) is not None
        assert len(data) <= MESSAGE_BYTES_MAX
        assert peer_counts.receive(at, i, data) is not None
    assert heartbeats >= len(fleet.schedulers) * 4.0 / (0.5 * fleet.heartbeat_slowdown) * 0.5
    # With colliding wire ids the assertions below would have to compare sums.
    assert len({wire_id(n) for n in fleet.worker_numbers}) == len(fleet.worker_numbers)
    for i, scheduler in enumerate(fleet.schedulers):
        assert peer_counts.counts[i] == {wire_id(w): n for w, n in scheduler.counts.items()}
    assert sum(peer_counts.total.values()) == len(fleet.tasks) == 3_000


def test_as_many_tasks_end_as_start_and_the_rate_is_the_planned_one() -> None:
    fleet, _ = _simulate(_plan(12, 500.0, 1_000), 10.0)
    assert fleet.starts == fleet.ends
    assert abs(fleet.starts - 5_000) < 5 * 5_000 ** 0.5  # five standard deviations
    assert fleet.covered_ms == pytest.approx(10_000.0)


def test_the_same_seed_says_the_same() -> None:
    first, second = (_simulate(_plan(12, 300.0, 500), 2.0)[1] for _ in range(2))
    other = _simulate(_plan(12, 300.0, 500, seed=4), 2.0)[1]
    assert first == second != other


def test_a_fleet_that_is_looked_at_too_rarely_leaves_time_out_and_says_so() -> None:
    fleet, _ = _simulate(_plan(12, 500.0, 1_000), 10.0, step_ms=200.0)
    assert fleet.covered_ms == pytest.approx(10_000.0 / 4)
    assert fleet.starts < 5_000 / 2


def test_a_hollow_scheduler_tells_a_start_at_once_and_an_end_with_company() -> None:
    few, many = SimulatedScheduler(5), SimulatedScheduler(30)
    for scheduler in (few, many):
        scheduler.encode_messages(0.0, SNAPSHOT)
        (data,) = scheduler.change(1.0, 77, started=True)
        decoded = decode(data)
        assert decoded is not None
        assert decoded[2] == {77: 1}
    assert few.change(2.0, 77, started=False)  # among few schedulers ends are sent at once
    assert not many.change(2.0, 77, started=False)
    assert not many.flush(many.pacing.flush_at - 1.0)
    (data,) = many.flush(many.pacing.flush_at)
    decoded = decode(data)
    assert decoded is not None
    assert decoded[2] == {77: 0}


# --- discovery -------------------------------------------------------------------------------------

def test_the_list_is_told_whole_and_then_by_its_changes() -> None:
    registry = Registry(20, 4, [("127.0.0.1", 9)], 1)
    whole = msgspec.json.decode(registry.encode_list(None))
    assert whole["full"]
    assert len(whole["servers"]) == 20
    assert {s["zone"] for s in whole["servers"]} == {"z0", "z1", "z2", "z3"}
    registry.set_listed(5, False)
    changes = msgspec.json.decode(registry.encode_list(1))
    assert [(s["id"], s["state"]) for s in changes["servers"]] == [(worker_name(5), "left")]
    assert len(msgspec.json.decode(registry.encode_list(None))["servers"]) == 19
    registry.relist_all()
    assert [s["state"] for s in msgspec.json.decode(registry.encode_list(2))["servers"]] == ["active"]
    assert msgspec.json.decode(registry.encode_list(registry.version))["servers"] == []
    assert sorted(registry.workers_by_zone()) == list(range(20))
    assert {w % 4 for w in registry.workers_by_zone()[:5]} == {0}


def test_a_call_counts_together_with_its_answer() -> None:
    """Guard against counting a request without its answer, when a window ends while the request waits.

    A window that began just after an answer and ended while a request waited held two requests and one answer:
    140 bytes sent to discovery and 78 received, so the check that answers are larger failed.  Of 60 windows of
    1.2 s at different moments one was affected.
    """
    async def check() -> None:
        registry = Registry(20, 4, [("127.0.0.1", 9)], 1)
        agent = CountingAgent(registry)
        await agent.open()
        reader, writer = await asyncio.open_connection(*agent.address)
        try:
            await _call(reader, writer, "/api/targets")
            whole = agent.request_bytes, agent.answer_bytes
            assert whole[1] > whole[0] > 0
            waiting = asyncio.create_task(_call(reader, writer, "/api/targets?index=1&wait=5000"))
            while not registry.changed._waiters:  # until the request has arrived
                await asyncio.sleep(0.001)
            assert (agent.request_bytes, agent.answer_bytes) == whole
            registry.set_listed(5, False)
            answer = await waiting
            assert agent.request_bytes - whole[0] == len(_request("/api/targets?index=1&wait=5000"))
            assert agent.answer_bytes - whole[1] == len(answer)
        finally:
            writer.close()
            agent.close()

    asyncio.run(check())


def _request(target: str) -> bytes:
    return f"GET {target} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode()


async def _call(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, target: str) -> bytes:
    """Send one request; return the full answer, head and body."""
    writer.write(_request(target))
    head = await reader.readuntil(b"\r\n\r\n")
    return head + await reader.readexactly(int(head.lower().partition(b"content-length:")[2].split()[0]))


def test_worker_numbers_are_those_of_the_core() -> None:
    from gaphub.clock import Clock
    from gaphub.config import read_settings
    from gaphub.core import Core
    from gaphub.interface import ListKind, WorkerState
    from gaphub.lab.site import SETTINGS
    from gaphub.messages import ListedDestination
    from gaphub.metrics import Counters

    core = Core(read_settings({**SETTINGS, "me": 0, "balancers": 1}), 1, Clock(), Counters())
    core.update_destinations("discovery", ListKind.FULL,
                [ListedDestination(worker_name(i), "a:1", WorkerState.READY) for i in range(30)])
    while not core._mailbox.empty():
        core._mailbox.get_nowait()()
    assert set(core.balancer.fleet.workers) == {worker_number(i) for i in range(30)}


# --- changes that come into force --------------------------------------------------------------------

def test_a_change_that_never_comes_into_force_is_missed_and_counts_with_the_limit() -> None:
    tracker = ChangeTracker(2)
    tracker.made_at = [1.0, 2.0]
    tracker.record_applied(0, 1, 1.5)
    tracker.record_applied(0, 5, 3.0)  # more than were made: the list may also change for other reasons
    tracker.record_applied(1, 1, 1.1)
    found = tracker.result("list")
    assert (found.count, found.missed, found.kind) == (4, 1, "list")
    assert found.worst == pytest.approx(CHANGE_TIMEOUT_S * 1000.0, rel=0.01)
    assert found.p50 == pytest.approx(500.0, rel=0.01)
    assert tracker.is_complete(0)
    assert not tracker.is_complete(1)


# --- short runs on real processes ------------------------------------------------------------------

@pytest.fixture(scope="module")
def points(tmp_path_factory: pytest.TempPathFactory) -> list[Point]:
    """The points of one short run."""
    file = tmp_path_factory.mktemp("scale") / "points.jsonl"
    sweeps = Sweeps(starts_per_s=[100.0, 400.0], changes_per_s=[20.0], settings_changes_per_s=[2.0])
    found = asyncio.run(runner.run("small", msgspec.structs.replace(SMALL, sweeps=sweeps), file))
    assert list(read_points(file)) == found
    return found


def _of(points: list[Point], sweep: str) -> list[Point]:
    found = [p for p in points if p.sweep == sweep]
    assert found
    return found


def test_each_point_is_measured_on_every_real_scheduler(points: list[Point]) -> None:
    for point in points:
        assert not point.failed
        assert [m.name for m in point.schedulers] == [m.name for m in point.baseline] == ["n0", "n1"]
        for m in point.schedulers:
            assert m.cpu_s > 0
            assert m.rss_mb > 0
            assert m.requests > 0
            assert m.peer_out_datagrams > 0
            assert m.peer_in_bytes >= 2 * m.peer_in_datagrams > 0
            assert m.list_in_bytes > m.list_out_bytes > 0


def test_the_baseline_has_the_requests_and_no_peers(points: list[Point]) -> None:
    for point in points:
        for m in point.baseline:
            assert m.requests > 0
            assert (m.peer_in_bytes, m.peer_out_bytes, m.peer_in_datagrams, m.peer_out_datagrams) == (0, 0, 0, 0)


def test_more_starts_are_more_datagrams_in_proportion(points: list[Point]) -> None:
    few, many = sorted(_of(points, "starts_per_s"), key=lambda p: p.load.starts_per_s)
    rates = [sum(m.peer_in_datagrams for m in p.schedulers) / p.seconds for p in (few, many)]
    # One datagram for each start and each end; heartbeats, ticks and the datagrams of the other real scheduler are
    # the same at both loads.
    expected = 2 * (400.0 - 100.0) * 5 / 7 * 2
    assert rates[1] - rates[0] == pytest.approx(expected, rel=0.25)
    received_bytes = [sum(m.peer_in_bytes for m in p.schedulers) for p in (few, many)]
    assert 2.0 < received_bytes[1] / received_bytes[0] < 4.5


def test_changes_of_the_list_and_of_the_settings_come_into_force_within_the_promise(points: list[Point]) -> None:
    for sweep, kind in (("changes_per_s", "list"), ("settings_changes_per_s", "settings")):
        (point,) = _of(points, sweep)
        latency = point.in_force_ms
        assert latency is not None
        assert latency.kind == kind
        assert latency.missed == 0
        assert latency.count >= 8
        assert 0.0 < latency.p50 <= latency.p99 <= latency.worst < IN_FORCE_BUDGET_MS
    (changing,), resting = _of(points, "changes_per_s"), _of(points, "starts_per_s")
    assert min(m.list_in_bytes for m in changing.schedulers) > max(
        m.list_in_bytes for p in resting for m in p.schedulers)


def test_bytes_in_agree_with_what_the_others_sent() -> None:
    async def check() -> None:
        load = msgspec.structs.replace(LOAD, starts_per_s=300.0)
        async with runner.Deployment(SMALL, load, 5, peer_messages=True) as deployment:
            await deployment.warm_up()
            window = await deployment.measure_window(1.5)
        assert window.sent is not None
        before, after = window.sent
        for mine, other in zip(window.schedulers, reversed(window.schedulers), strict=True):
            sent = after.bytes - before.bytes + other.peer_out_bytes / (load.schedulers - 1)
            datagrams = after.datagrams - before.datagrams + other.peer_out_datagrams / (load.schedulers - 1)
            assert mine.peer_in_bytes == pytest.approx(sent, rel=0.1)
            assert mine.peer_in_datagrams == pytest.approx(datagrams, rel=0.1)
        assert after.running == before.running
        assert after.unsent == 0

    asyncio.run(check())


def test_a_window_whose_load_was_not_played_is_unsound() -> None:
    from gaphub.lab.scale.hollow import FleetCounters

    def window(covered_s: float, received: int, dropped: int = 0) -> runner.Window:
        usage = SchedulerUsage("n0", 0.1, 60.0, 10 * received, 0, received, 0, 0, 0, 0)
        sent = (FleetCounters(0.0, 0.0, 0, 0, 9, 0, 0, 0),
                FleetCounters(10.0, covered_s, 90, 90, 9, 1_000, 9_000, 0))
        return runner.Window(10.0, [usage], sent, dropped)

    assert runner.unsound_reason(window(9.9, 990), 7) == ""
    assert "simulated 9.00 s of 10.00 s" in runner.unsound_reason(window(9.0, 990), 7)
    assert "900 of the simulated schedulers' 1000" in runner.unsound_reason(window(9.9, 900), 7)
    # Of 1,000 sent to each of two schedulers, each received 900, and 90 more from the other real scheduler.
    usage = SchedulerUsage("n0", 0.1, 60.0, 0, 0, 990, 90 * 6, 0, 0, 0)
    sent = FleetCounters(0.0, 0.0, 0, 0, 9, 0, 0, 0), FleetCounters(10.0, 10.0, 90, 90, 9, 1_000, 9_000, 0)
    assert "1800 of the simulated schedulers' 2000" in runner.unsound_reason(
        runner.Window(10.0, [usage] * 2, sent, 0), 7)
    assert "3 datagrams found a full mailbox" in runner.unsound_reason(window(9.9, 990, 3), 7)


# --- every process is ended --------------------------------------------------------------------------

@pytest.mark.parametrize("fault", ["the simulated fleet", "a scheduler"])
def test_what_was_started_is_ended_when_a_point_fails(
        fault: str, monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    started: list[RealScheduler | FleetProcess] = []
    start_real, start_fleet, warm_up = RealScheduler.start, FleetProcess.start, runner.Deployment.warm_up

    async def start_and_record_real(self: RealScheduler) -> None:
        await start_real(self)
        started.append(self)

    async def start_and_record_fleet(self: FleetProcess, plan: FleetPlan) -> None:
        broken = msgspec.structs.replace(plan, listen=plan.listen[:1] * 2)  # two sockets at one address
        await start_fleet(self, broken if fault == "the simulated fleet" else plan)
        started.append(self)

    async def failing_warm_up(self: runner.Deployment) -> None:
        await warm_up(self)
        if fault == "a scheduler" and self.peer_messages:
            assert self.real_schedulers[0].process is not None
            self.real_schedulers[0].process.kill()
            await self.real_schedulers[0].process.wait()

    monkeypatch.setenv("TMPDIR", str(tmp_path))
    monkeypatch.setattr("tempfile.tempdir", None)
    monkeypatch.setattr(RealScheduler, "start", start_and_record_real)
    monkeypatch.setattr(FleetProcess, "start", start_and_record_fleet)
    monkeypatch.setattr(runner.Deployment, "warm_up", failing_warm_up)
    scenario = msgspec.structs.replace(SMALL, sweeps=Sweeps(workers=[64]))
    (point,) = asyncio.run(runner.run("small", scenario, None))
    assert ("simulated fleet has ended" if fault == "the simulated fleet" else "n0") in point.failed
    assert point.schedulers == []
    assert len([process for process in started if isinstance(process, RealScheduler)]) == 4
    for process in started:
        assert process.process is not None
        assert process.process.returncode is not None
    assert list(tmp_path.iterdir()) == []


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_what_was_started_is_ended_on_a_signal(number: signal.Signals, tmp_path: Path) -> None:
    command = [sys.executable, "-m", "gaphub", "lab", "scale", "run", str(SHORT), "--set", "seconds=30.0",
               "--out", str(tmp_path / "points.jsonl")]
    folder = tmp_path / "folder"
    folder.mkdir()
    child = subprocess.Popen(command, cwd=ROOT, env={**os.environ, "TMPDIR": str(folder)},
                             stdout=subprocess.DEVNULL, stderr=subprocess.PIPE)
    try:
        run = psutil.Process(child.pid)
        ends = time.monotonic() + 30.0
        while len(run.children()) < 2 and time.monotonic() < ends:
            time.sleep(0.05)
        started = run.children()
        assert len(started) == 2
        child.send_signal(number)
        _, stderr = child.communicate(timeout=30.0)
        assert child.returncode == 130, stderr
        assert b"every process was ended" in stderr
        assert not any(p.is_running() for p in started)
        assert list(folder.iterdir()) == []
    finally:
        child.kill()
        child.wait()
