"""The command that shows how a daemon and its peers exchange their occupancy."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from click.testing import CliRunner

from gaphub.cli import gaphub

from .scenario import SETTINGS, Harness, free_port


@pytest.mark.parametrize(("peer_messages", "expected"),
                         [(False, "none, not complete"), (True, "all to all, not complete")])
def test_the_way_is_shown_and_whether_it_is_complete(peer_messages: bool, expected: str, tmp_path: Path) -> None:
    path = str(tmp_path / "admin")
    settings = {"balancers": 2, "limits": {**SETTINGS["limits"], "peerMessages": peer_messages}}
    peers = [f"127.0.0.1:{free_port()}" for _ in range(2)]

    async def show() -> str:
        async with Harness(settings=settings, peers=peers, peer_listen=peers[0],
                        fronts=f'[admin]\nsocket = "{path}"\n'):
            result = await asyncio.to_thread(CliRunner().invoke, gaphub, ["occupancy", "--socket", path])
        assert result.exit_code == 0, result.output
        return result.output.strip()

    assert asyncio.run(show()) == expected


def test_a_daemon_that_does_not_answer_is_an_error(tmp_path: Path) -> None:
    result = CliRunner().invoke(gaphub, ["occupancy", "--socket", str(tmp_path / "none")])
    assert result.exit_code == 1
    assert "no answer" in result.output
