"""Owns the process of the hollow fleet: its sockets, the loop that plays it, and its answers on standard output.

``python -m gaphub.lab.scale.hollow_process``: the first line on standard input is a ``HollowPlan``, each further
one asks for the counts so far and is answered by a ``Sent``.  At the end of the input the process ends.

What comes to the socket of a hollow scheduler is read only where the fleet is sharded: its datagrams are echoed.
Else the kernel drops it.
"""

from __future__ import annotations

import gc
import os
import selectors
import signal
import socket
import time
from collections.abc import Iterator

import msgspec

from ...config import Address
from ...occupancy.exchange import ALL_PEERS
from .hollow import HollowFleet, HollowPlan, Sent
from .hollow_sharded import Said, ShardedFleet
from .points import Told

TICK_S = 0.001  # between two looks at what is due
RECEIVE_BYTES = 4_608  # of a hollow socket's buffer
DATAGRAM_MOST = 2_048  # bytes that are read of one
_INPUT = -1  # in place of a scheduler


class Sender:
    """The sockets of the fleet, and the loop that plays it."""

    def __init__(self, plan: HollowPlan) -> None:
        self.plan = plan
        self.sockets = [_bound(to) for to in plan.listen]
        self.fleet = ShardedFleet(plan, _now()) if plan.way is Told.SHARDED else HollowFleet(plan, _now())
        self.datagrams = self.bytes = self.unsent = 0  # over all receivers
        self._receivers = {tuple(to): i for i, to in enumerate(plan.receivers)}
        self._selector = selectors.DefaultSelector()
        self._selector.register(0, selectors.EVENT_READ, _INPUT)
        if plan.way is Told.SHARDED:
            for i, sock in enumerate(self.sockets):
                self._selector.register(sock, selectors.EVENT_READ, i)

    def run(self) -> None:
        """Send what is due until the input ends."""
        while True:
            for key, _ in self._selector.select(TICK_S):
                if key.data != _INPUT:
                    self._receive(key.data)
                elif not self._listen():
                    return
            for scheduler, receiver, data in self._due():
                self._send(self.sockets[scheduler], receiver, data)

    def _due(self) -> Iterator[Said]:
        if isinstance(self.fleet, ShardedFleet):
            yield from self.fleet.advance(_now())
            return
        for scheduler, data in self.fleet.advance(_now()):
            yield Said(scheduler, ALL_PEERS, data)

    def _send(self, sock: socket.socket, receiver: int, data: bytes) -> None:
        for to in self.plan.receivers if receiver == ALL_PEERS else [self.plan.receivers[receiver]]:
            self.datagrams += 1
            self.bytes += len(data)
            try:
                sock.sendto(data, to)
            except OSError:  # the receiver is gone, or the kernel has no room
                self.unsent += 1

    def _receive(self, scheduler: int) -> None:
        """Read all that waits at one socket."""
        assert isinstance(self.fleet, ShardedFleet)
        while True:
            try:
                data, sender = self.sockets[scheduler].recvfrom(DATAGRAM_MOST)
            except BlockingIOError:
                return
            except OSError:  # what was sent before found no receiver
                continue
            receiver = self._receivers.get(sender)
            if receiver is not None:
                self.fleet.take(_now(), scheduler, receiver, data)

    def _listen(self) -> bool:
        """Answer each line of the input; False at its end."""
        read = os.read(0, 4096)
        for _ in range(read.count(b"\n")):
            os.write(1, msgspec.json.encode(self.count()) + b"\n")
        return bool(read)

    def count(self) -> Sent:
        """What has been done so far."""
        fleet, receivers = self.fleet, max(1, len(self.plan.receivers))
        return Sent(time.monotonic(), fleet.covered_ms / 1000.0, fleet.starts, fleet.ends, len(fleet.tasks),
                    self.datagrams // receivers, self.bytes // receivers, self.unsent)

    def close(self) -> None:
        """Give the sockets back."""
        self._selector.close()
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
    gc.freeze()  # a look at the millions of objects of a full fleet takes longer than a step may
    gc.set_threshold(50_000, 50, 50)
    try:
        os.write(1, msgspec.json.encode(sender.count()) + b"\n")
        sender.run()
    finally:
        sender.close()


if __name__ == "__main__":
    main()
