"""Slow but valid clients, and clients that stop halfway and stay connected, against a real process.

The protocol's limits: a valid job may take 2 s to write on a new connection, even among many clients that never
finish a request. A client that stops gets an error or a close within 3 s, wherever it stops.
"""

from __future__ import annotations

import asyncio
import re
import signal
import time
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

import pytest

from .fleet import cut, play
from .processes import Process
from .test_shutdown_limits import Site, read_until_closed, request

WRITE_S = 2.0  # time that a slow client takes to write a request
PIECES = 11
ERROR_WITHIN_S = 3.0  # from connecting, or from the first byte of a later request
STOPPED_S = 0.8  # for which the scheduler's process is stopped
LONG_WORK_S = 1.3  # two of these are longer than a request may take to write
REST_S = 0.1  # from the previous answer to the rest of a pipelined request
SOCKET_TOLERANCE_S = 0.05  # tolerance on real sockets, added to every time limit
DESCRIPTORS = 128
CROWD = 400  # clients that never finish a request
TEST_TIMEOUT_S = 30.0
MAX_RUNS = 5  # until there is one in which this machine was not late itself
STALL_S = 0.6  # for which a client's machine stalls once
IN_TIME_S = 2.75  # just below the scheduler's limit for a client that is still writing
LONG_DEADLINES = [{"name": "poloha", "slo": 3000.0, "deadline": 5000.0, "idempotency": "idempotent"}]


class Written(NamedTuple):
    """A request that was written in pieces."""

    got: bytes  # all that was received up to the answer
    written_s: float  # from the start of connecting until the kernel had the last byte


async def write_slowly(port: int, ident: str) -> bytes:
    """Write a request in pieces over ``WRITE_S`` on a new connection; returns all that was received."""
    return (await write_in_pieces(port, ident)).got


async def write_in_pieces(port: int, ident: str, paused_s: float = 0.0, pieces: int = PIECES) -> Written:
    """Write the first ``pieces`` of a request, with an extra pause before the middle one."""
    began = time.monotonic()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    data = request(ident, 5000.0)
    got, written_s = b"", float("inf")
    with suppress(OSError):
        for i, piece in enumerate(cut(data, PIECES)[:pieces]):
            if i:
                await asyncio.sleep(WRITE_S / (PIECES - 1) + (paused_s if i == PIECES // 2 else 0.0))
            writer.write(piece)
        written_s = time.monotonic() - began
        got = await reader.read(65536)
    writer.close()
    return Written(got, written_s)


def site(folder: Path) -> Site:
    return Site(folder, 0.01, grades=LONG_DEADLINES)


def test_a_request_that_takes_2_s_to_write_is_served(tmp_path: Path) -> None:
    async def course(one: Process) -> None:
        got = await asyncio.gather(*(write_slowly(one.listen, f"r{i}") for i in range(5)))
        assert all(b" 200 " in each for each in got), got

    play(site(tmp_path).play(course), TEST_TIMEOUT_S)


# A client whose machine stalled once must not be cut off when it is about to finish its request.
def test_who_goes_on_writing_for_longer_than_2_5_s_is_served(tmp_path: Path) -> None:
    async def course(one: Process) -> None:
        for run_number in range(MAX_RUNS):
            found = await write_in_pieces(one.listen, f"r{run_number}", STALL_S)
            if found.written_s <= IN_TIME_S:
                assert b" 200 " in found.got, found
                return
            assert found.got, found  # this machine was late itself: any answer will do
        raise AssertionError(f"{MAX_RUNS} runs, and in none was the request written within {IN_TIME_S} s")

    play(site(tmp_path).play(course), TEST_TIMEOUT_S)


def test_who_goes_on_writing_and_stops_then_gets_an_error_within_3_s(tmp_path: Path) -> None:
    async def course(one: Process) -> None:
        began = time.monotonic()
        found = await write_in_pieces(one.listen, "r", STALL_S, PIECES - 1)
        assert b" 408 " in found.got, found
        assert time.monotonic() - began <= ERROR_WITHIN_S + SOCKET_TOLERANCE_S

    play(site(tmp_path).play(course), TEST_TIMEOUT_S)


async def never_finish(port: int, tries: int) -> None:
    """Connect, send half a head or nothing, and wait; reconnect when closed."""
    for i in range(tries):
        with suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(request("never", 5000.0)[:40] if i % 2 else b"")
                while await reader.read(4096):
                    pass
            finally:
                writer.transport.abort()
        await asyncio.sleep(0.1)


def test_a_request_that_takes_2_s_to_write_is_served_in_a_crowd_that_fills_the_descriptors(tmp_path: Path) -> None:
    async def course(one: Process) -> None:
        crowd = [asyncio.create_task(never_finish(one.listen, 60)) for _ in range(CROWD)]
        await asyncio.sleep(0.5)
        got = await asyncio.gather(*(write_slowly(one.listen, f"r{i}") for i in range(5)))
        for task in crowd:
            task.cancel()
        await asyncio.gather(*crowd, return_exceptions=True)
        assert all(b" 200 " in each for each in got), got

    crowded = site(tmp_path)
    crowded.options = {"limits": {"memory_mb": 64, "sockets": DESCRIPTORS}}
    play(crowded.play(course), TEST_TIMEOUT_S)


GOOD = request("good", 5000.0)
HALF_BODY = GOOD[:-1]
EXPECT = GOOD.replace(b"Content-Length: 2\r\n\r\nab", b"Content-Length: 2\r\nExpect: 100-continue\r\n\r\n")
STOP_POINTS = {
    "before the first byte": (b"", 0),
    "in the head": (GOOD[:40], 0),
    "in the body": (HALF_BODY, 0),
    "after Expect": (EXPECT, 0),
    "in a later head": (GOOD + b"POST /api HTTP/1.1\r\nHost", 1),
    "in a later body": (GOOD + HALF_BODY.replace(b"good", b"late"), 1),
    "behind two that were sent ahead": (GOOD + GOOD.replace(b"good", b"two") + GOOD[:40], 2),
}


async def stop_partway(port: int, where: str, ident: str = "good") -> tuple[float, int]:
    """A client that stops: seconds from connecting to its error or close, and how many requests were answered."""
    data, _ = STOP_POINTS[where]
    began = time.monotonic()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(re.sub(rb"(X-Request-ID: )", rb"\g<1>" + ident.encode() + b"-", data))
    got = b""
    with suppress(OSError):
        while not re.search(rb"HTTP/1\.1 [45]", got) and (more := await reader.read(65536)):
            got += more
    took_s = time.monotonic() - began
    await read_until_closed(reader)
    writer.close()
    return took_s, got.count(b" 200 ")


@pytest.mark.parametrize("where", STOP_POINTS)
def test_who_stops_and_stays_gets_an_error_or_a_close_within_3_s(where: str, tmp_path: Path) -> None:
    async def course(one: Process) -> None:
        took_s, answered = await stop_partway(one.listen, where)
        assert answered == STOP_POINTS[where][1]
        assert took_s <= ERROR_WITHIN_S + SOCKET_TOLERANCE_S

    play(site(tmp_path).play(course), TEST_TIMEOUT_S)


@pytest.mark.parametrize("where", STOP_POINTS)
def test_who_stops_and_stays_gets_an_error_or_a_close_within_3_s_though_it_waited_to_be_accepted(
        where: str, tmp_path: Path) -> None:
    """What a client sent waits in the accept queue for a while, as it does among many clients.

    The 2.5 s of a later request once counted from the answer before it, not from the arrival of its first byte.
    With 1,400 clients on a loaded machine, in one run of six, those that stopped in a later request were closed
    3.05 to 3.09 s after connecting. Here the scheduler's process is stopped, which then added just that time to
    these three cases and none to the others.
    """
    async def course(one: Process) -> None:
        one.process.send_signal(signal.SIGSTOP)
        stopping = asyncio.create_task(stop_partway(one.listen, where))
        await asyncio.sleep(STOPPED_S)
        one.process.send_signal(signal.SIGCONT)
        took_s, answered = await stopping
        print(f"{where}: {took_s:.2f} s")
        assert answered == STOP_POINTS[where][1]
        assert took_s <= ERROR_WITHIN_S + SOCKET_TOLERANCE_S

    play(site(tmp_path).play(course), TEST_TIMEOUT_S)


def test_a_request_begun_long_before_its_turn_may_end_soon_after_it(tmp_path: Path) -> None:
    """Half of it arrived 2.6 s before the two requests ahead of it were answered; its rest comes just after."""
    async def course(one: Process) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", one.listen)
        late = request("late", 5000.0)
        writer.write(request("one", 5000.0) + request("two", 5000.0) + late[:-10])
        got = b""
        while got.count(b" 200 ") < 2 and (more := await reader.read(65536)):
            got += more
        await asyncio.sleep(REST_S)
        writer.write(late[-10:])
        while got.count(b" 200 ") < 3 and (more := await reader.read(65536)):
            got += more
        assert got.count(b" 200 ") == 3, got
        writer.close()

    play(Site(tmp_path, LONG_WORK_S, grades=LONG_DEADLINES).play(course), TEST_TIMEOUT_S)
