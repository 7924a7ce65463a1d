"""Lists as they must not be, and agents that answer too readily."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gaphub.clock import Clock
from gaphub.core import Core
from gaphub.interface import ClassSettings, ListKind, Settings, WorkerState
from gaphub.messages import ListedDestination
from gaphub.metrics import Counters
from gaphub.net.destinations import AGAIN_S, BUSY_S, QUICK

from .scenario import Cast
from .test_core import Port


async def calls(answer: dict[str, Any]) -> tuple[int, float]:
    """How often a scheduler calls an agent that always answers so at once, and in how many seconds."""
    loop = asyncio.get_running_loop()
    seen = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal seen
        while await reader.readuntil(b"\r\n\r\n"):
            seen += 1
            text = json.dumps(answer).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))

    async def quiet(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    server = await asyncio.start_server(quiet, "127.0.0.1", 0)
    began = loop.time()
    async with server, Cast(discovery=f"127.0.0.1:{server.sockets[0].getsockname()[1]}"):
        while seen < 3 * QUICK:
            await asyncio.sleep(0.01)
        took = loop.time() - began
    return seen, took


# Guards against an agent, or a bug in one, that answers a watch at once for ever: each answer was followed by
# the next call, and the scheduler did nothing else.
@pytest.mark.parametrize("full", [False, True])
def test_an_agent_that_answers_at_once_is_not_called_without_end(full: bool) -> None:
    async def run() -> None:
        async with asyncio.timeout(30.0):
            seen, took = await calls({"version": 42, "full": full, "servers": []})
        pause = BUSY_S if full else AGAIN_S
        assert seen <= 2 * QUICK + took / pause

    asyncio.run(run())


STATES = st.sampled_from([WorkerState.READY, WorkerState.DRAINING, WorkerState.GONE])
ENTRIES = st.lists(st.builds(ListedDestination, st.sampled_from("abcd"),
                             st.sampled_from(["127.0.0.1:1", "127.0.0.1:2"]), STATES,
                             started_ms=st.sampled_from([0.0, 5.0])), max_size=6)


KINDS = st.sampled_from([ListKind.FULL, ListKind.CHANGES, ListKind.CACHED])


@given(st.lists(st.tuples(KINDS, ENTRIES), max_size=8))
def test_any_sequence_of_lists_leaves_core_and_balancer_of_one_mind(
        told: list[tuple[int, list[ListedDestination]]]) -> None:
    """Whatever is named twice, vanishes or comes back: what may be sent to is what the list has said last."""
    core = Core(Settings(classes=(ClassSettings(300.0, 5000.0),)), 1, Clock(), Counters())
    core.ports = {"discovery": Port()}
    for kind, entries in told:
        core.update_destinations("discovery", kind, entries)
        ready = {n for n, d in core.destinations.by_number.items() if d.listed.state == WorkerState.READY}
        assert set(core.balancer.fleet.ready) == ready
        assert set(core.balancer.fleet.workers) == set(core.destinations.by_number)
        last = {e.name: e.state for e in entries}
        names = {d.listed.name for d in core.destinations.by_number.values()}
        assert {name for name, state in last.items() if state != WorkerState.GONE} <= names
        assert not {name for name, state in last.items() if state == WorkerState.GONE} & names


def test_a_list_of_thousands_is_followed_and_let_go_again() -> None:
    core = Core(Settings(classes=(ClassSettings(300.0, 5000.0),)), 1, Clock(), Counters())
    core.ports = {"discovery": Port()}
    many = [ListedDestination(f"s{i}", f"127.0.0.1:{i}", WorkerState.READY) for i in range(5000)]
    core.update_destinations("discovery", ListKind.FULL, many)
    assert len(core.balancer.fleet.ready) == 5000
    core.update_destinations("discovery", ListKind.FULL, [])
    assert not core.balancer.fleet.workers and not core.destinations.by_number and not core.destinations._numbers
