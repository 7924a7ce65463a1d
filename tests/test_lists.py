"""Inconsistent worker lists, and discovery agents that answer watches immediately."""

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
from gaphub.net.destinations import IMMEDIATE_MAX, IMMEDIATE_PAUSE_S, RETRY_MIN_S

from .scenario import Harness
from .test_core import FakePort


async def count_calls(answer: dict[str, Any]) -> tuple[int, float]:
    """How often a scheduler calls an agent that always gives this answer immediately, and in how many seconds."""
    loop = asyncio.get_running_loop()
    calls = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal calls
        while await reader.readuntil(b"\r\n\r\n"):
            calls += 1
            text = json.dumps(answer).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))

    async def serve_quietly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    server = await asyncio.start_server(serve_quietly, "127.0.0.1", 0)
    began = loop.time()
    async with server, Harness(discovery=f"127.0.0.1:{server.sockets[0].getsockname()[1]}"):
        while calls < 3 * IMMEDIATE_MAX:
            await asyncio.sleep(0.01)
        took_s = loop.time() - began
    return calls, took_s


# Guards against an agent that always answers watches immediately, perhaps by a bug: each answer was followed by
# the next call at once, and the scheduler did nothing else.
@pytest.mark.parametrize("full", [False, True])
def test_an_agent_that_answers_at_once_is_not_called_without_end(full: bool) -> None:
    async def run() -> None:
        async with asyncio.timeout(30.0):
            calls, took_s = await count_calls({"version": 42, "full": full, "servers": []})
        pause = IMMEDIATE_PAUSE_S if full else RETRY_MIN_S
        assert calls <= 2 * IMMEDIATE_MAX + took_s / pause

    asyncio.run(run())


STATES = st.sampled_from([WorkerState.READY, WorkerState.DRAINING, WorkerState.GONE])
ENTRIES = st.lists(st.builds(ListedDestination, st.sampled_from("abcd"),
                             st.sampled_from(["127.0.0.1:1", "127.0.0.1:2"]), STATES,
                             started_ms=st.sampled_from([0.0, 5.0])), max_size=6)


KINDS = st.sampled_from([ListKind.FULL, ListKind.CHANGES, ListKind.CACHED])


@given(st.lists(st.tuples(KINDS, ENTRIES), max_size=8))
def test_any_sequence_of_lists_leaves_core_and_balancer_of_one_mind(
        lists: list[tuple[int, list[ListedDestination]]]) -> None:
    """Entries that are repeated, vanish or come back: the usable workers are those last listed as ready."""
    core = Core(Settings(classes=(ClassSettings(300.0, 5000.0),)), 1, Clock(), Counters())
    core.ports = {"discovery": FakePort()}
    for kind, entries in lists:
        core.update_destinations("discovery", kind, entries)
        ready = {n for n, d in core.destinations.by_number.items() if d.listed.state == WorkerState.READY}
        assert set(core.balancer.fleet.ready) == ready
        assert set(core.balancer.fleet.workers) == set(core.destinations.by_number)
        last_states = {e.name: e.state for e in entries}
        listed_names = {d.listed.name for d in core.destinations.by_number.values()}
        assert {name for name, state in last_states.items() if state != WorkerState.GONE} <= listed_names
        assert not {name for name, state in last_states.items() if state == WorkerState.GONE} & listed_names


def test_a_list_of_thousands_is_followed_and_let_go_again() -> None:
    core = Core(Settings(classes=(ClassSettings(300.0, 5000.0),)), 1, Clock(), Counters())
    core.ports = {"discovery": FakePort()}
    many = [ListedDestination(f"s{i}", f"127.0.0.1:{i}", WorkerState.READY) for i in range(5000)]
    core.update_destinations("discovery", ListKind.FULL, many)
    assert len(core.balancer.fleet.ready) == 5000
    core.update_destinations("discovery", ListKind.FULL, [])
    assert not core.balancer.fleet.workers and not core.destinations.by_number and not core.destinations._numbers
