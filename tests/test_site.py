"""Fault injection into a cluster of real processes; the checks hold at any speed of the machine."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path

import pytest

from gaphub import config
from gaphub.cluster import keyring, node
from gaphub.lab import failover, recovery
from gaphub.lab.site import Site

from .test_address import member_configs, wait_until


@pytest.mark.parametrize("fault", ["kill", "freeze", "split", "handover"])
def test_the_address_moves_and_nothing_runs_twice(fault: str) -> None:
    outcome = asyncio.run(failover.run(fault, 1, rate=40.0, seed=5, freeze_durations_s=(1.0,)))
    assert outcome.rounds == 1
    assert outcome.unmoved == 0
    assert len(outcome.moved_ms) == 1
    assert outcome.duplicates == outcome.doubles == 0
    assert outcome.endings["200"] > 10


def test_two_daemons_and_a_witness_in_a_process_of_its_own() -> None:
    async def run() -> None:
        site = Site(2, 1, seed=9)
        try:
            await site.open()
            witness = site.daemons[2]
            told = await witness.status()
            assert told is not None
            assert told["cluster"]["role"] == "follower"
            holder = site.holder()
            assert holder is not None
            site.kill(holder)
            await wait_until(lambda: site.front.next_hop not in ("", holder.ip))
            site.restart(holder)
            await site.wait_settled()
            witness.kill()  # the witness dies after the holder and restarts with its persisted vote
            witness.start()
            await site.wait_settled()
            assert site.holder() is not None
        finally:
            await site.close()

    asyncio.run(run())


def test_all_restarted_at_once() -> None:
    async def run() -> None:
        site = Site(3, seed=4)
        try:
            await site.open()
            for d in site.daemons:
                site.kill(d)
            for d in site.daemons:
                site.restart(d)
            await wait_until(lambda: site.front.next_hop == "")
            await wait_until(lambda: site.front.next_hop != "")
        finally:
            await site.close()

    asyncio.run(run())


def test_steps_of_the_wall_clock_do_not_matter(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    keys = tmp_path / "keys.toml"
    keyring.write(keys, [keyring.new_entry("", True)])
    steps = iter([0.0, 1e9, -1e9, 4e9] * 10_000)
    monkeypatch.setattr("time.time", lambda: 1.7e9 + next(steps))

    async def run() -> None:
        from gaphub.metrics import Counters

        nodes = [node.Node(f, Counters(), lambda move: None) for f in member_configs(3, keys, tmp_path)]
        for n in nodes:
            await n.open()
            n.set_ready(True)
        await wait_until(lambda: any(n.holds() for n in nodes))
        await asyncio.sleep(1.0)
        assert sum(n.counters.values["cluster.gained"] for n in nodes) == 1
        assert sum(n.counters.values["cluster.lost"] for n in nodes) == 0
        for n in nodes:
            await n.close()

    asyncio.run(run())


def test_a_witness_must_not_stand_and_a_bad_key_ring_exits_with_2(tmp_path: Path) -> None:
    text = ('[cluster]\nlisten = "127.0.0.1:1"\nme = 1\nkeys = "%s"\n'
            '[[cluster.members]]\nid = 1\nname = "w"\naddress = "127.0.0.1:1"\nstands = %s\n'
            '[[cluster.members]]\nid = 2\nname = "n"\naddress = "127.0.0.1:2"\n')
    file = tmp_path / "witness.toml"
    file.write_text(text % (tmp_path / "none", "true"))
    with pytest.raises(config.ConfigError, match="must not stand"):
        config.read_witness(str(file))
    file.write_text(text % (tmp_path / "none", "false"))
    ended = subprocess.run([sys.executable, "-m", "gaphub", "witness", "--config", str(file)],
                           capture_output=True, text=True, timeout=30, check=False)
    assert ended.returncode == 2
    assert "none" in ended.stderr


def test_most_schedulers_killed_at_once_come_back_and_nothing_runs_twice() -> None:
    report = asyncio.run(recovery.run(schedulers=4, share=0.75, workers=4, rate=60.0, warm_s=2.0, down_s=0.3,
                                      after_s=4.0, seed=3))
    assert report.killed == 3
    assert report.ran_twice == 0, "an attempt of a killed scheduler must not run again under the same id"
    assert report.served_at_end > 0.9, "the restarted schedulers must serve again"
    assert report.failed > 0, "attempts at the killed schedulers must have failed"
