"""Operations: the operators' HTTP server, job statistics, disabled workers, settings reloads, and upgrades."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import ExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gaphub import config
from gaphub.interface import ClassSettings, Effect
from gaphub.lab.stand_ins import Agent, Workers
from gaphub.ops import class_table, state_snapshot
from gaphub.ops.worker_overrides import Override, WorkerOverrides

from .fake import World, entry
from .processes import Process, counters, job, job_request, running
from .scenario import CLASSES, SETTINGS, Harness, free_port

BURST = 60  # concurrent callers
LATE_JOBS = 24  # clients that the kernel distributes over two listeners during an upgrade
TIMEOUT_S = 5.0
# The first discovery call requests the full list; readiness waits for its answer.
DISCOVERY_ANSWER = """
    d expect GET /api/targets HTTP
    d send list 41 full w=active
    d expect index=41
"""


def run(*steps: str, **more: Any) -> None:
    async def play() -> None:
        async with Harness(admin=f"127.0.0.1:{free_port()}", **more) as harness:
            await harness.play(DISCOVERY_ANSWER)
            for step in steps:
                await harness.play(step)

    asyncio.run(play())


@pytest.fixture(autouse=True)
def separate_tmpdir(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))


SERVE = """
    c send job poloha {0}
    {1} expect {0}
    {1} send lines {0} done=ok .
    c expect 200 .*ok$
"""
CALLS = {
    "ready": ("GET /ops/readiness", "200"),
    "the figures": ("GET /ops/stats", "200 .*replies"),
    "an unknown path": ("GET /ops/nothing", "404"),
    "a wrong method": ("GET /ops/workers/down", "405"),
    "an empty id": ("PUT /ops/workers/down", "400"),
    "an oversized id": ("PUT /ops/workers/down " + "s" * 5000, "413"),
    "an id that is none": ("PUT /ops/workers/up s-w\x01", "400"),
    "an id never listed": ("PUT /ops/workers/down s-nobody", "404"),
    "an id that is listed": ("PUT /ops/workers/down s-w", "200"),
}


@pytest.mark.parametrize("name", CALLS)
def test_calls(name: str) -> None:
    call, answer = CALLS[name]
    run(f"o send call {call}\no expect HTTP/1.1 {answer}\no expect-close")


def test_callers_that_say_nothing_hold_up_nobody() -> None:
    silent = "\n".join(f"o{i} send GET /ops/sta" for i in range(2, 12))
    run(silent + """
        o send call GET /ops/readiness
        o expect HTTP/1.1 200
    """, limits={"sockets": 256})


def test_a_call_among_many_callers_that_say_nothing_is_answered() -> None:
    """Guards against evicting a connection before its call is read.

    The call is the first of a burst that fills the accept queue.  Discovery answers before the burst, as a process
    without its answer may correctly report that it is not ready.
    """

    async def play() -> None:
        async with Harness(admin=f"127.0.0.1:{free_port()}", limits={"sockets": 256}) as harness:
            assert harness.config.admin is not None
            await harness.play(DISCOVERY_ANSWER)
            with ExitStack() as stack:
                caller = stack.enter_context(socket.create_connection(harness.config.admin))
                caller.sendall(b"GET /ops/readiness HTTP/1.1\r\nHost: o\r\n\r\n")
                for _ in range(BURST):
                    stack.enter_context(socket.create_connection(harness.config.admin))
                caller.setblocking(False)
                async with asyncio.timeout(TIMEOUT_S):
                    assert b" 200 " in await asyncio.get_running_loop().sock_recv(caller, 4096)

    asyncio.run(play())


def test_a_worker_out_by_hand_gets_nothing_whatever_is_listed_until_it_is_put_back() -> None:
    run("""
        o send call PUT /ops/workers/down s-w
        o expect HTTP/1.1 200
        d send list 42 changes w=active x=active
        d expect index=42
    """, SERVE.format("r1", "x"), SERVE.format("r2", "x"), SERVE.format("r3", "x"), """
        o2 send call GET /ops/stats
        o2 expect "targets":2,"targets_disabled":1
        d send list 43 full w=active
        d expect index=43
        c send job poloha r4
        c expect HTTP/1.1 503
        o3 send call PUT /ops/workers/up s-w
        o3 expect HTTP/1.1 200
    """, SERVE.format("r5", "w"))


def test_figures_are_those_that_clients_and_workers_saw() -> None:
    run(SERVE.format("r1", "w"), """
        c send job poloha r2
        w expect r2
        w send status 500
        c expect HTTP/1.1 503
        c send job vyuctovani r3
        w expect r3
        w send status 500
        c expect HTTP/1.1 502
        c2 send job poloha r4
        w expect r4
        d send list 42 changes w=left
        d expect index=42
        c send job poloha r5
        c expect HTTP/1.1 503
        wait 50
        o send call GET /ops/stats
        o expect "poloha":{"success":1,"overload":2,"error":0,"dispatches":3}
        o expect "vyuctovani":{"success":0,"overload":0,"error":1,"dispatches":1}
        o expect "concurrent":1,"targets":0
    """)


def test_new_settings_at_reload_open_jobs_keep_the_old_rules() -> None:
    async def play() -> None:
        async with Harness(admin=f"127.0.0.1:{free_port()}") as harness:
            new = json.loads(harness.file)
            new["settings"]["grades"] = [
                {**CLASSES[0], "idempotency": "at_most_once"},  # from now on poloha must not be repeated
                {"name": "nova", "slo": 300.0, "deadline": 2000.0, "idempotency": "idempotent"}]
            await harness.play("c send job poloha r1\nw expect r1")
            harness.file = json.dumps(new).encode()
            harness.reload.requested.set()
            await harness.play("""
                count reloads.done 1
                w send status 500
                c expect HTTP/1.1 503
                c send job poloha r2
                w expect r2
                w send status 500
                c expect HTTP/1.1 502
                c2 send job nova r3
                w expect r3
                w send lines r3 done=new .
                c2 expect 200 .*new$
                c3 send job vyuctovani r4
                c3 expect HTTP/1.1 400
                o send call GET /ops/stats
                o expect "reload_success":1,"reload_failure":0
            """)

    asyncio.run(play())


def invalid_files() -> dict[str, Any]:
    grades = [{**CLASSES[0]}, {**CLASSES[1]}]
    whole = {"settings": {**SETTINGS, "grades": grades}}

    def limits(**more: Any) -> dict[str, Any]:
        return {"settings": {**SETTINGS, "limits": {**SETTINGS["limits"], **more}}}

    def deadline(value: Any) -> dict[str, Any]:
        return {"settings": {**SETTINGS, "grades": [{**CLASSES[0], "deadline": value}, CLASSES[1]]}}

    return {"empty": b"", "cut short": json.dumps(whole).encode()[:-30], "no settings": {"settings": None},
            "no attempts": limits(mostTries=None), "no more attempts": limits(mostTries=0),
            "attempts in words": limits(mostTries="four"), "a deadline of 0": deadline(0),
            "a deadline below 0": deadline(-5.0), "a deadline in words": deadline("soon"),
            "a deadline without end": deadline(float("inf")), "no deadline": deadline(None),
            "zones that are none": {"settings": {**SETTINGS, "zones": 3}}}


@pytest.mark.parametrize("name", invalid_files())
def test_a_file_that_is_not_whole_is_turned_down_and_the_old_settings_stay(name: str) -> None:
    async def play() -> None:
        async with Harness(admin=f"127.0.0.1:{free_port()}") as harness:
            change = invalid_files()[name]
            new = change if isinstance(change, bytes) else json.dumps(
                {**json.loads(harness.file), **change}).replace("Infinity", "1e999").encode()
            harness.file = new
            harness.reload.requested.set()
            await harness.play("count reloads.failed 1" + SERVE.format("r1", "w") + """
                o send call GET /ops/stats
                o expect "reload_success":0,"reload_failure":1
            """)

    asyncio.run(play())


OVERRIDE = st.builds(Override, st.sampled_from("abcd"), st.floats(0, 100), st.booleans())


@given(st.lists(OVERRIDE, max_size=12), st.lists(OVERRIDE, max_size=12))
def test_two_processes_come_to_hold_the_same_words_whatever_the_order(one: list[Override], other: list[Override]
                                                                      ) -> None:
    a, b = WorkerOverrides("n0"), WorkerOverrides("n0")
    for override in one:
        a.merge([override])
    for override in reversed([*one, *other]):
        b.merge([override])
    a.merge(other)
    assert a.entries() == b.entries()
    latest = max((override.at for override in a.entries()), default=0.0)
    a.record(latest - 50.0, "a", True)  # takes effect although the clock was set back
    assert a.is_disabled("a")
    b.merge(a.entries())
    assert b.is_disabled("a")


@given(st.binary(max_size=40), st.integers(0, 10_000))
def test_a_torn_or_foreign_page_is_not_believed(junk: bytes, cut: int) -> None:
    overrides = WorkerOverrides("n0")
    overrides.record(1.0, "s-1", True)
    encoded = overrides.encode()
    assert overrides.decode(encoded) == overrides.entries()
    assert overrides.decode(encoded[:cut % len(encoded)]) is None
    assert overrides.decode(encoded + b" ") is None
    assert overrides.decode(junk) is None
    assert WorkerOverrides("n1").decode(encoded) is None


CLASS = st.builds(ClassSettings, st.sampled_from([100.0, 200.0]), st.just(5000.0),
                  effect=st.sampled_from([Effect.SAFE, Effect.UNSAFE]))


@given(st.lists(st.dictionaries(st.sampled_from("pqrs"), CLASS, min_size=1), min_size=2, max_size=6),
       st.sets(st.integers(0, 5)))
def test_a_row_never_changes_under_an_open_job(files: list[dict[str, ClassSettings]], busy: set[int]) -> None:
    table = class_table.ClassTable(tuple(files[0].values()), tuple(files[0]),
                                   {name: i for i, name in enumerate(files[0])})
    for file in files[1:]:
        updated, new_rows = class_table.updated_table(table, list(file.values()), list(file), busy)
        assert {name: updated.rows[row] for name, row in updated.active_rows.items()} == file
        assert len(set(updated.active_rows.values())) == len(file)
        for row in [r for r in range(len(table.rows)) if r in busy or r in table.active_rows.values()]:
            assert row not in new_rows
            assert updated.rows[row].effect == table.rows[row].effect
            assert updated.rows[row].deadline_ms == table.rows[row].deadline_ms
        table = updated


def test_a_successor_goes_on_from_what_was_measured_and_believes_no_other_page() -> None:
    def world() -> World:
        return World(entries=[entry(1), entry(2), entry(3, ready_at=900.0)], cold_ms=60_000.0)

    old, active_rows, names = world(), {"poloha": 0}, {1: "a", 2: "b", 3: "c"}
    for i in range(40):
        old.serve(old.request(), 50.0 + i)
        old.wait(20.0)
    old.balancer.fleet.workers[3].cold_allowance.light = -2.0
    encoded = state_snapshot.encode_state(old.balancer, "n0", old.now, active_rows, names)
    new = world()
    snapshot = state_snapshot.decode_state(encoded, "n0", old.now + 100.0)
    assert snapshot is not None
    state_snapshot.restore_state(new.balancer, snapshot, active_rows, {"a": 1, "b": 2, "c": 3})
    assert (new.balancer.class_types[0].mean_log == old.balancer.class_types[0].mean_log
            != world().balancer.class_types[0].mean_log)
    assert new.balancer.class_types[0].samples == old.balancer.class_types[0].samples
    assert new.balancer.fleet.workers[3].cold_allowance.light == -2.0
    new.serve(new.request())
    other = World(entries=[entry(3, ready_at=950.0)], cold_ms=60_000.0)  # restarted: keeps its own allowances
    state_snapshot.restore_state(other.balancer, snapshot, active_rows, {"c": 3})
    assert other.balancer.fleet.workers[3].cold_allowance.light >= 0.0
    for invalid, name, now in ((encoded[:-1], "n0", old.now), (encoded, "n1", old.now), (b"", "n0", old.now),
                               (encoded, "n0", old.now + state_snapshot.MAX_AGE_MS + 1.0),
                               (encoded, "n0", old.now - 1.0)):
        assert state_snapshot.decode_state(invalid, name, now) is None


# --- upgrades: two processes of one scheduler --------------------------------------------------------


@asynccontextmanager
async def two_workers() -> AsyncIterator[tuple[Workers, Agent]]:
    """Two simulated workers, and a discovery agent that lists them."""
    workers = Workers({"vyuctovani": 20.0})
    await workers.open(2)
    agent = Agent(workers.addresses)
    await agent.open()
    try:
        yield workers, agent
    finally:
        agent.close()
        workers.close()


@pytest.mark.parametrize("how", ["upgrade", "never ready", "killed midway", "old one killed"])
def test_an_upgrade_loses_no_job_and_keeps_who_is_out(how: str, tmp_path: Path) -> None:
    async def play() -> None:
        async with two_workers() as (workers, agent):
            listen = free_port()
            processes = [Process(tmp_path, listen, agent, "old")]
            with running(processes):
                await upgrade(workers, agent, processes)

    async def upgrade(workers: Workers, agent: Agent, processes: list[Process]) -> None:
        old = processes[0]
        listen = old.listen
        await old.ready()
        assert await old.call("PUT /ops/workers/down", "s-0") == 200
        async with asyncio.timeout(10.0):
            while not list(tmp_path.glob("*.legacy")):
                await asyncio.sleep(0.05)
        changes: dict[str, Any] = {"admin": "nowhere"} if how == "never ready" else {}
        new = Process(tmp_path, listen, agent, "new", **changes)
        processes.append(new)
        if how == "never ready":
            new.process.wait(20.0)
        else:
            await new.ready()
        if how == "killed midway":
            new.process.kill()
            new.process.wait()
        elif how == "old one killed":
            old.process.kill()
            old.process.wait()
        elif how == "upgrade":
            old.process.send_signal(signal.SIGTERM)
        statuses = [await job(listen, f"r{i}") for i in range(60)]
        assert statuses.count(200) == 60, statuses
        if how in ("upgrade", "old one killed"):
            old.process.wait(10.0)
            assert await new.call("PUT /ops/workers/up", "s-0") == 200
            assert "ops.inherited" in await counters(listen)  # it restored the old process's state
        assert workers.jobs_started[workers.addresses[0]] == 0  # the disabled one
        assert workers.jobs_started[workers.addresses[1]] == 60

    asyncio.run(play())


# Guards against closing a listener while the kernel defers connections whose clients have not sent anything yet.
@pytest.mark.parametrize("pause_s", [0.05, 0.4, 0.8])
def test_who_connected_before_an_upgrade_and_writes_after_it_is_served(pause_s: float, tmp_path: Path) -> None:
    async def late_job(listen: int, ident: str) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", listen)
        connected.append(ident)
        await signalled.wait()
        await asyncio.sleep(pause_s)
        writer.write(job_request(ident).encode())
        try:
            return await reader.readline()
        except ConnectionResetError:
            return b"reset"
        finally:
            writer.close()

    connected: list[str] = []
    signalled = asyncio.Event()

    async def play() -> None:
        async with two_workers() as (_, agent):
            listen = free_port()
            processes = [Process(tmp_path, listen, agent, "old")]
            with running(processes):
                await processes[0].ready()
                processes.append(Process(tmp_path, listen, agent, "new"))
                await processes[1].ready()
                jobs = [asyncio.create_task(late_job(listen, f"r{i}")) for i in range(LATE_JOBS)]
                while len(connected) < LATE_JOBS:
                    await asyncio.sleep(0.005)
                processes[0].process.send_signal(signal.SIGTERM)
                signalled.set()
                answers = await asyncio.gather(*jobs)
                assert [answer for answer in answers if b" 200 " not in answer] == []
                processes[0].process.wait(TIMEOUT_S)

    asyncio.run(play())


def test_figures_under_load_and_failures_are_those_of_clients_and_workers(tmp_path: Path) -> None:
    async def play() -> None:
        workers = Workers({"poloha": 10.0, "vyuctovani": 25.0})
        await workers.open(4)
        agent = Agent([*workers.addresses, ("127.0.0.1", free_port())])  # nothing listens at the last address
        await agent.open()
        listen = free_port()
        scheduler = Process(tmp_path, listen, agent, "one")
        client_counts: Counter[tuple[str, str]] = Counter()

        async def client(number: int) -> None:
            for i in range(40):
                class_name = ("poloha", "vyuctovani")[(number + i) % 2]
                status = await job(listen, f"{number}-{i}", class_name)
                client_counts[class_name,
                              {200: "success", 429: "overload", 503: "overload"}.get(status, "error")] += 1

        try:
            await scheduler.ready()
            load = asyncio.gather(*map(client, range(12)))
            await asyncio.sleep(0.3)
            agent.replace(agent.workers[1:])  # removes one worker and lists the others under new ids
            await load
            stats = await scheduler.stats()
            for class_name in ("poloha", "vyuctovani"):
                assert {kind: stats["replies"][class_name][kind] for kind in ("success", "overload", "error")} == {
                    kind: client_counts[class_name, kind] for kind in ("success", "overload", "error")}
            assert stats["dispatches"] == sum(workers.executions.values())
            assert stats["concurrent"] == 0
            assert sum(client_counts.values()) == 480
            assert client_counts["poloha", "success"] > 0
        finally:
            scheduler.process.kill()
            scheduler.process.wait()
            agent.close()
            workers.close()

    asyncio.run(play())


# --- several schedulers that lose contact with discovery ----------------------------------------------


def test_watches_of_all_schedulers_fall_silent_while_all_workers_are_replaced(tmp_path: Path) -> None:
    async def play() -> None:
        before, after = Workers({"vyuctovani": 5.0}), Workers({"vyuctovani": 5.0})
        await before.open(2)
        await after.open(2)
        agent = Agent(before.addresses)
        await agent.open()
        listens = [free_port() for _ in range(5)]
        schedulers = [Process(tmp_path, listen, agent, f"n{i}", name=f"n{i}") for i, listen in enumerate(listens)]
        try:
            for scheduler in schedulers:
                await scheduler.ready()
            async with asyncio.timeout(10.0):
                while agent.waiting_watches < len(schedulers):
                    await asyncio.sleep(0.02)
            agent.replace(after.addresses, silent=True)
            before.close()

            async def served(listen: int) -> None:
                while await job(listen, f"{listen}-{time.monotonic_ns()}") != 200:
                    await asyncio.sleep(0.1)

            async with asyncio.timeout(15.0):  # it took 23 s when a silent watch had to time out
                await asyncio.gather(*map(served, listens))
            assert max(after.executions.values()) == 1  # no job ran twice
        finally:
            for scheduler in schedulers:
                scheduler.process.kill()
                scheduler.process.wait()
            agent.close()
            after.close()

    asyncio.run(play())


# --- list sizes -------------------------------------------------------------------------------------


@pytest.mark.parametrize("key", ["peers", "known"])
def test_a_list_over_the_stated_bound_is_an_error_that_names_its_key(key: str) -> None:
    addresses = ["127.0.0.1:9"] * (config.MAX_LIST_ENTRIES + 1)
    known = {"servers": [{"id": str(i), "addr": address, "state": "active"}
                         for i, address in enumerate(addresses)]}
    file = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS,
            key: addresses if key == "peers" else known}
    with pytest.raises(config.ConfigError, match=rf"\b{key}\b"):
        config.from_text(json.dumps(file).encode(), {}, "")


def test_it_is_told_of_1024_peers_and_1024_workers_and_serves(tmp_path: Path) -> None:
    async def play() -> None:
        workers = Workers({"vyuctovani": 5.0})
        await workers.open(1)
        listen, resident_mb = free_port(), []
        for size in (10, 1024):
            agent = Agent(workers.addresses * size)  # all ids share one address
            await agent.open()
            own_address = f"127.0.0.1:{listen}"
            peers = [own_address, *(f"127.1.{i // 250}.{1 + i % 250}:9" for i in range(1, size))]
            settings = {**SETTINGS, "balancers": size, "limits": {**SETTINGS["limits"], "peerMessages": True}}
            scheduler = Process(tmp_path, listen, agent, str(size), peers=peers, peer_listen=own_address,
                                settings=settings, limits={"memory_mb": 32, "sockets": 256})
            try:
                await scheduler.ready()
                async with asyncio.timeout(10.0):
                    while (await scheduler.stats())["targets"] != size:
                        await asyncio.sleep(0.05)
                assert [await job(listen, f"{size}-{i}") for i in range(20)] == [200] * 20
                status = Path(f"/proc/{scheduler.process.pid}/status").read_text()
                resident_mb.append(int(status.partition("VmRSS:")[2].split()[0]) / 1024.0)
                assert scheduler.process.poll() is None
            finally:
                scheduler.process.kill()
                scheduler.process.wait()
                agent.close()
        workers.close()
        assert resident_mb[1] - resident_mb[0] < 12.0  # MB; about 7 are typical

    asyncio.run(play())
