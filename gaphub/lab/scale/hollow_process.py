"""The process of the simulated fleet: its sockets, its event loop, and its answers on standard output.

``python -m gaphub.lab.scale.hollow_process`` reads a ``FleetPlan`` from the first line of standard input.  Each
further line asks for the counters, and is answered by a line with ``FleetCounters``.  The process exits at the end
of the input.

The sockets of simulated schedulers are read only in the sharded exchange, whose datagrams are echoed.  In the
all-to-all exchange the kernel drops what arrives.
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
from .hollow import AllToAllFleet, FleetCounters, FleetPlan
from .hollow_sharded import FleetDatagram, ShardedFleet
from .points import FleetMethod

POLL_INTERVAL_S = 0.001  # longest wait between two checks for due datagrams
RECEIVE_BUFFER_BYTES = 4_608  # kernel buffer of each simulated scheduler's socket
MAX_DATAGRAM_BYTES = 2_048  # read from one datagram
_STDIN = -1  # selector data for standard input, in place of a scheduler's index


class FleetRunner:
    """The sockets of the fleet and its event loop."""

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        self.sockets = [_bound_socket(address) for address in plan.listen]
        self.fleet = (
            ShardedFleet(plan, _now_ms()) if plan.way is FleetMethod.SHARDED else AllToAllFleet(plan, _now_ms()))
        self.datagrams = self.bytes = self.unsent = 0  # summed over all receivers
        self._receiver_indices = {tuple(address): i for i, address in enumerate(plan.receivers)}
        self._selector = selectors.DefaultSelector()
        self._selector.register(0, selectors.EVENT_READ, _STDIN)
        if plan.way is FleetMethod.SHARDED:
            for i, sock in enumerate(self.sockets):
                self._selector.register(sock, selectors.EVENT_READ, i)

    def run(self) -> None:
        """Send due datagrams until the input ends."""
        while True:
            for key, _ in self._selector.select(POLL_INTERVAL_S):
                if key.data != _STDIN:
                    self._receive(key.data)
                elif not self._answer_stdin():
                    return
            for scheduler, receiver, data in self._due_datagrams():
                self._send(self.sockets[scheduler], receiver, data)

    def _due_datagrams(self) -> Iterator[FleetDatagram]:
        if isinstance(self.fleet, ShardedFleet):
            yield from self.fleet.advance(_now_ms())
            return
        for scheduler, data in self.fleet.advance(_now_ms()):
            yield FleetDatagram(scheduler, ALL_PEERS, data)

    def _send(self, sock: socket.socket, receiver: int, data: bytes) -> None:
        for address in self.plan.receivers if receiver == ALL_PEERS else [self.plan.receivers[receiver]]:
            self.datagrams += 1
            self.bytes += len(data)
            try:
                sock.sendto(data, address)
            except OSError:  # the receiver has ended, or the kernel's buffers are full
                self.unsent += 1

    def _receive(self, scheduler: int) -> None:
        """Read all datagrams that wait at one scheduler's socket."""
        assert isinstance(self.fleet, ShardedFleet)
        while True:
            try:
                data, sender = self.sockets[scheduler].recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:  # an ICMP error: an earlier datagram was sent to a closed port
                continue
            receiver = self._receiver_indices.get(sender)
            if receiver is not None:
                self.fleet.on_datagram(_now_ms(), scheduler, receiver, data)

    def _answer_stdin(self) -> bool:
        """Answer each line of the input; return False at its end."""
        read = os.read(0, 4096)
        for _ in range(read.count(b"\n")):
            os.write(1, msgspec.json.encode(self.counters()) + b"\n")
        return bool(read)

    def counters(self) -> FleetCounters:
        """The counters since the start."""
        fleet, receivers = self.fleet, max(1, len(self.plan.receivers))
        return FleetCounters(
            time.monotonic(), fleet.covered_ms / 1000.0, fleet.starts, fleet.ends, len(fleet.tasks),
            self.datagrams // receivers, self.bytes // receivers, self.unsent)

    def close(self) -> None:
        """Close all sockets."""
        self._selector.close()
        for sock in self.sockets:
            sock.close()


def _now_ms() -> float:
    return time.monotonic() * 1000.0


def _bound_socket(address: Address) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    sock.bind(tuple(address))
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
    """Run the fleet of the plan on standard input."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent handles Ctrl-C, and closes this process's input
    runner = FleetRunner(msgspec.json.decode(_first_line(), type=FleetPlan))
    gc.freeze()  # a collection over the millions of objects of a large fleet would exceed MAX_STEP_MS
    gc.set_threshold(50_000, 50, 50)
    try:
        os.write(1, msgspec.json.encode(runner.counters()) + b"\n")
        runner.run()
    finally:
        runner.close()


if __name__ == "__main__":
    main()
