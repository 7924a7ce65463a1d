"""Clients that write slowly and are good, and clients that stop and stay, on one real process and its sockets.

Pages: a true job may take 2 s to write, on a new connection, in a crowd that never finishes one; a client that
stops is owed an error or a close within 3 s, however it stops.
"""

from __future__ import annotations

import asyncio
import itertools
import re
import signal
import time
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

import pytest

from .fleet import play
from .processes import Process
from .test_shutdown_limits import Site, read_until_closed, request

WRITE_S = 2.0  # for which a slow client writes
PIECES = 11
OWED_S = 3.0  # from connecting, or from the first byte of a later request
STOPPED_S = 0.8  # the scheduler's process is stopped for so long
LONG_WORK_S = 1.3  # two of these are longer than a request may take to write
REST_S = 0.1  # after the answer ahead of it the rest of a request comes
SOCKETS_S = 0.05  # every limit of time is longer by this on sockets
DESCRIPTORS = 128
CROWD = 400  # connections that come and never finish a job
WITHIN_S = 30.0
PLAYS = 5  # at the most, for one in which this machine was not late itself
HELD_UP_S = 0.6  # for which a client's machine stands once
IN_TIME_S = 2.75  # writing for so long is short of what the scheduler allows who goes on writing
PATIENT = [{"name": "poloha", "slo": 3000.0, "deadline": 5000.0, "idempotency": "idempotent"}]


class Written(NamedTuple):
    """A request that was written in pieces."""

    got: bytes  # all that came back until it was answered
    written_s: float  # from the beginning of its connecting to when the kernel had its last byte


async def write_slowly(port: int, ident: str) -> bytes:
    """One request in pieces over ``WRITE_S`` on a new connection; all that came back until it was answered."""
    return (await write_in_pieces(port, ident)).got


async def write_in_pieces(port: int, ident: str, paused_s: float = 0.0, pieces: int = PIECES) -> Written:
    """The same, with the time that it took; ``paused_s`` more before the middle piece, ``pieces`` in all."""
    began = time.monotonic()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    data = request(ident, 5000.0)
    cuts = [len(data) * i // PIECES for i in range(PIECES + 1)]
    got, written_s = b"", float("inf")
    with suppress(OSError):
        for i, (start, end) in enumerate(itertools.pairwise(cuts[:pieces + 1])):
            if i:
                await asyncio.sleep(WRITE_S / (PIECES - 1) + (paused_s if i == PIECES // 2 else 0.0))
            writer.write(data[start:end])
        written_s = time.monotonic() - began
        got = await reader.read(65536)
    writer.close()
    return Written(got, written_s)


def site(folder: Path) -> Site:
    return Site(folder, 0.01, grades=PATIENT)


def test_a_request_that_takes_2_s_to_write_is_served(tmp_path: Path) -> None:
    async def course(one: Process) -> None:
        got = await asyncio.gather(*(write_slowly(one.listen, f"r{i}") for i in range(5)))
        assert all(b" 200 " in each for each in got), got

    play(site(tmp_path).play(course), WITHIN_S)


# Guards against ending a request that its client, whose machine was held up once, is about to finish.
def test_who_goes_on_writing_for_longer_than_2_5_s_is_served(tmp_path: Path) -> None:
    async def course(one: Process) -> None:
        for play_number in range(PLAYS):
            found = await write_in_pieces(one.listen, f"r{play_number}", HELD_UP_S)
            if found.written_s <= IN_TIME_S:
                assert b" 200 " in found.got, found
                return
            assert found.got, found  # this machine was slower than that: an answer, whichever
        raise AssertionError(f"{PLAYS} plays, and none wrote within {IN_TIME_S} s")

    play(site(tmp_path).play(course), WITHIN_S)


def test_who_goes_on_writing_and_stops_then_gets_an_error_within_3_s(tmp_path: Path) -> None:
    async def course(one: Process) -> None:
        began = time.monotonic()
        found = await write_in_pieces(one.listen, "r", HELD_UP_S, PIECES - 1)
        assert b" 408 " in found.got, found
        assert time.monotonic() - began <= OWED_S + SOCKETS_S

    play(site(tmp_path).play(course), WITHIN_S)


async def never_finish(port: int, tries: int) -> None:
    """One of a crowd: half a head, or nothing, and wait; come again when closed."""
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
    play(crowded.play(course), WITHIN_S)


GOOD = request("good", 5000.0)
HALF_BODY = GOOD[:-1]
EXPECT = GOOD.replace(b"Content-Length: 2\r\n\r\nab", b"Content-Length: 2\r\nExpect: 100-continue\r\n\r\n")
STOPS = {
    "before the first byte": (b"", 0),
    "in the head": (GOOD[:40], 0),
    "in the body": (HALF_BODY, 0),
    "after Expect": (EXPECT, 0),
    "in a later head": (GOOD + b"POST /api HTTP/1.1\r\nHost", 1),
    "in a later body": (GOOD + HALF_BODY.replace(b"good", b"late"), 1),
    "behind two that were sent ahead": (GOOD + GOOD.replace(b"good", b"two") + GOOD[:40], 2),
}


async def stop_and_stay(port: int, where: str, ident: str = "good") -> tuple[float, int]:
    """A client that stops: s from connecting to its error or close, and how many requests were answered before."""
    data, _ = STOPS[where]
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


@pytest.mark.parametrize("where", STOPS)
def test_who_stops_and_stays_gets_an_error_or_a_close_within_3_s(where: str, tmp_path: Path) -> None:
    async def course(one: Process) -> None:
        took_s, answered = await stop_and_stay(one.listen, where)
        assert answered == STOPS[where][1]
        assert took_s <= OWED_S + SOCKETS_S

    play(site(tmp_path).play(course), WITHIN_S)


@pytest.mark.parametrize("where", STOPS)
def test_who_stops_and_stays_gets_an_error_or_a_close_within_3_s_though_it_waited_to_be_accepted(
        where: str, tmp_path: Path) -> None:
    """What a client sent lies in the accept queue for a while, as it does in a crowd.

    What happened: in one play of six beside load, clients in a crowd of 1,400 that stopped in a later request got
    their close 3.05 to 3.09 s after connecting.  Why: the 2.5 s of a later request counted from the moment when
    the one before it was answered, not from when its first byte had come.  What showed it: a stopped process adds
    just its stop to the time of the three ways that stop in a later request, and nothing to that of the others.
    """
    async def course(one: Process) -> None:
        one.process.send_signal(signal.SIGSTOP)
        stopping = asyncio.create_task(stop_and_stay(one.listen, where))
        await asyncio.sleep(STOPPED_S)
        one.process.send_signal(signal.SIGCONT)
        took_s, answered = await stopping
        print(f"{where}: {took_s:.2f} s")
        assert answered == STOPS[where][1]
        assert took_s <= OWED_S + SOCKETS_S

    play(site(tmp_path).play(course), WITHIN_S)


def test_a_request_begun_long_before_its_turn_may_end_soon_after_it(tmp_path: Path) -> None:
    """Half of it came 2.6 s before the two ahead of it were answered; its rest is on the way then."""
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

    play(Site(tmp_path, LONG_WORK_S, grades=PATIENT).play(course), WITHIN_S)
