"""Owns the hollow schedulers: what many schedulers would say to the real ones at a given load.

A hollow scheduler has a table of what runs where, a real ``Pacing`` that decides when to say what of it, and an
address of its own.  It sends to the real schedulers only: those are measured, and what hollow ones would say to
each other costs the real ones nothing.  What comes to its socket is never read; the kernel drops it.

The whole fleet lives in one process, ``python -m gaphub.lab.scale.hollow``: the first line on standard input is a
``HollowPlan``, each further one asks for the counts so far and is answered by a ``Sent``.  At the end of the input
the process ends.
"""

from __future__ import annotations

import os
import random
import select
import signal
import socket
import time
import zlib
from collections.abc import Iterator
from heapq import heappop, heappush

import msgspec
import numpy as np
from msgspec import Struct

from ...config import Address
from ...net.destinations import SOURCE
from ...net.peers import BEAT, BEAT_AMONG, BEAT_S
from ...occupancy.messages import DELTA, SNAPSHOT, Kind
from ...occupancy.pacing import HEARTBEAT_MS, Pacing

TICK_S = 0.001  # between two looks at what is due
STEP_MOST_MS = 50.0  # ms; what a later look would have had to do is left out, and shows in ``covered_s``
RECEIVE_BYTES = 4_608  # of a hollow socket's buffer: nobody reads it
_BEAT, _TURN, _FLUSH, _WHOLE = range(4)


class HollowPlan(Struct, frozen=True):
    """What the fleet is and where it sends."""

    listen: list[Address]  # one for each hollow scheduler
    receivers: list[Address]  # the real schedulers
    schedulers: int  # all of them
    workers: int
    starts_per_s: float  # of the hollow ones together
    tasks_running: int  # at the hollow ones together
    fill_s: float  # within which every one tells its whole table
    seed: int


class Sent(Struct, frozen=True):
    """What the fleet has done since its start."""

    at_s: float  # on the monotonic clock
    covered_s: float  # time whose starts and ends were played; less than what went by, if it fell behind
    starts: int
    ends: int
    running: int
    datagrams: int  # to each receiver
    bytes: int  # to each receiver
    unsent: int  # over all receivers; the kernel took them not


def worker_name(index: int) -> str:
    """The id of a worker on discovery's list."""
    return f"w-{index:05d}"


def worker_number(index: int) -> int:
    """The number by which schedulers tell of a worker, as the core makes it from the id."""
    return zlib.crc32(f"{SOURCE}/{worker_name(index)}".encode()) or 1


class HollowScheduler:
    """What one scheduler has out, and what it says of it."""

    __slots__ = ("counts", "pacing")

    def __init__(self, others: int) -> None:
        """``others``: how many other schedulers there are."""
        self.counts: dict[int, int] = {}
        self.pacing = Pacing(others)

    def change(self, now: float, worker: int, more: bool) -> list[bytes]:
        """A task started (``more``) or ended; what is to be said at once."""
        left = self.counts.get(worker, 0) + (1 if more else -1)
        if left:
            self.counts[worker] = left
        else:
            del self.counts[worker]
        return self.say(now, DELTA) if self.pacing.changed(now, worker, more) else []

    def turn(self, now: float) -> list[bytes]:
        """What is due once in ``HEARTBEAT_MS``."""
        due = self.pacing.next_turn(now)
        return [] if due is None else self.say(now, due)

    def flush(self, now: float) -> list[bytes]:
        """The ends that have waited long enough for company."""
        due = self.pacing.flush_at and now >= self.pacing.flush_at
        return self.say(now, DELTA) if due else []

    def say(self, now: float, kind: Kind) -> list[bytes]:
        """Messages with what has changed, or with the whole table."""
        workers = list(self.pacing.pending) if kind is DELTA else list(self.counts)
        return list(self.pacing.messages(now, kind, [(w, self.counts.get(w, 0)) for w in workers]))


class HollowFleet:
    """All hollow schedulers, and the seeded process by which tasks start and end; no I/O, no clock.

    Starts come at the planned rate, each at a scheduler and a worker drawn evenly.  For every start one running
    task, drawn evenly from all, ends, so that the number running stays.
    """

    def __init__(self, plan: HollowPlan, now: float) -> None:
        """``now``: ms, as in all that follows."""
        self.plan = plan
        self.draw = random.Random(plan.seed)
        self.numbers = [worker_number(i) for i in range(plan.workers)]
        self.schedulers = [HollowScheduler(plan.schedulers - 1) for _ in plan.listen]
        self.pace = max(1.0, (plan.schedulers - 1) / BEAT_AMONG)
        self.tasks: list[tuple[int, int]] = []  # running: scheduler and worker
        self.starts = self.ends = 0
        self.covered_ms = 0.0
        self.at = now
        self._batches = np.random.default_rng(plan.seed)
        self._due: list[tuple[float, int, int]] = []  # when, what, and at which scheduler
        self._fill()
        self._schedule(now)

    def _fill(self) -> None:
        for _ in range(self.plan.tasks_running):
            scheduler, worker = self._place()
            counts = self.schedulers[scheduler].counts
            counts[worker] = counts.get(worker, 0) + 1
            self.tasks.append((scheduler, worker))

    def _schedule(self, now: float) -> None:
        for i, one in enumerate(self.schedulers):
            one.pacing.turn = self.draw.randrange(1, 1 + one.pacing.snapshot_turns)  # as if it ran for long
            part = i / len(self.schedulers)
            heappush(self._due, (now + part * self.plan.fill_s * 1000.0, _WHOLE, i))
            heappush(self._due, (now + self.draw.random() * BEAT_S * 1000.0 * self.pace, _BEAT, i))

    def _place(self) -> tuple[int, int]:
        return (int(self.draw.random() * len(self.schedulers)),
                self.numbers[int(self.draw.random() * len(self.numbers))])

    def advance(self, now: float) -> Iterator[tuple[int, bytes]]:
        """Play on until ``now``: each datagram that goes to every receiver, and which scheduler says it."""
        step = min(now - self.at, STEP_MOST_MS)
        self.at = now
        self.covered_ms += step
        for _ in range(int(self._batches.poisson(self.plan.starts_per_s * step / 1000.0))):
            yield from self._start(now)
            yield from self._end(now)
        while self._due and self._due[0][0] <= now:
            _, what, i = heappop(self._due)
            for data in self._ring(now, what, i):
                yield i, data

    def _start(self, now: float) -> Iterator[tuple[int, bytes]]:
        i, worker = self._place()
        self.tasks.append((i, worker))
        self.starts += 1
        for data in self.schedulers[i].change(now, worker, more=True):
            yield i, data

    def _end(self, now: float) -> Iterator[tuple[int, bytes]]:
        at = int(self.draw.random() * len(self.tasks))
        self.tasks[at], self.tasks[-1] = self.tasks[-1], self.tasks[at]
        i, worker = self.tasks.pop()
        self.ends += 1
        one = self.schedulers[i]
        waited = one.pacing.flush_at
        for data in one.change(now, worker, more=False):
            yield i, data
        if one.pacing.flush_at and one.pacing.flush_at != waited:
            heappush(self._due, (one.pacing.flush_at, _FLUSH, i))

    def _ring(self, now: float, what: int, i: int) -> list[bytes]:
        one = self.schedulers[i]
        if what == _FLUSH:
            return one.flush(now)
        if what == _BEAT:
            heappush(self._due, (now + BEAT_S * 1000.0 * self.pace, _BEAT, i))
            return [bytes([BEAT, 1])]
        heappush(self._due, (now + HEARTBEAT_MS * (0.8 + 0.4 * self.draw.random()), _TURN, i))
        return one.turn(now) if what == _TURN else one.say(now, SNAPSHOT)


class Sender:
    """The sockets of the fleet, and the loop that plays it."""

    def __init__(self, plan: HollowPlan) -> None:
        self.plan = plan
        self.sockets = [_bound(to) for to in plan.listen]
        self.fleet = HollowFleet(plan, _now())
        self.datagrams = self.bytes = self.unsent = 0

    def run(self) -> None:
        """Send what is due until the input ends."""
        while True:
            readable, _, _ = select.select([0], [], [], TICK_S)
            if readable and not self._listen():
                return
            for scheduler, data in self.fleet.advance(_now()):
                self._send(self.sockets[scheduler], data)

    def _send(self, sock: socket.socket, data: bytes) -> None:
        self.datagrams += 1
        self.bytes += len(data)
        for to in self.plan.receivers:
            try:
                sock.sendto(data, to)
            except OSError:  # the receiver is gone, or the kernel has no room
                self.unsent += 1

    def _listen(self) -> bool:
        """Answer each line of the input; False at its end."""
        read = os.read(0, 4096)
        for _ in range(read.count(b"\n")):
            os.write(1, msgspec.json.encode(self.count()) + b"\n")
        return bool(read)

    def count(self) -> Sent:
        """What has been done so far."""
        fleet = self.fleet
        return Sent(time.monotonic(), fleet.covered_ms / 1000.0, fleet.starts, fleet.ends, len(fleet.tasks),
                    self.datagrams, self.bytes, self.unsent)

    def close(self) -> None:
        """Give the sockets back."""
        for sock in self.sockets:
            sock.close()


def _now() -> float:
    return time.monotonic() * 1000.0


def _bound(to: Address) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    sock.setblocking(False)
    sock.bind(tuple(to))
    return sock


def _first_line() -> bytes:
    line = b""
    while not line.endswith(b"\n"):
        read = os.read(0, 1)
        if not read:
            break
        line += read
    return line


def main() -> None:
    """Play the plan on standard input."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C is the runner's: it ends this process by its input
    sender = Sender(msgspec.json.decode(_first_line(), type=HollowPlan))
    try:
        os.write(1, msgspec.json.encode(sender.count()) + b"\n")
        sender.run()
    finally:
        sender.close()


if __name__ == "__main__":
    main()
