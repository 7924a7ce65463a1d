"""Owns the counters, the limited log, and the two sinks that counters are written to.

Nothing here decides anything, and nothing here may block or slow the core: a count is an addition, a log
line past its limit is only counted, and what a dead sink does not take in time is dropped.
"""

from __future__ import annotations

import asyncio
import struct
import sys
import time
from collections import Counter
from collections.abc import Callable, Mapping

from .config import Address, Config, parse_address

LINES_PER_WINDOW = 5  # log lines of one kind in a window; more are only counted
WINDOW_S = 10.0
GAINED = "gained"  # the kind of the line that says what the counters gained


def _plain(kind: str, text: str) -> None:
    print(f"gaphub: {kind}: {text}", file=sys.stderr, flush=True)


class Counters:
    """What the program took in, sent, answered and dropped, by name."""

    def __init__(self) -> None:
        self.values: Counter[str] = Counter()
        self.line: Callable[[str, str], None] = _plain  # how a line is written; see ``logs``
        self.sources: dict[str, Callable[[], Mapping[str, int]]] = {}  # counts that others keep, by prefix
        self._lines: dict[str, tuple[float, int]] = {}

    def add(self, name: str, by: int = 1) -> None:
        """Count."""
        self.values[name] += by

    def log(self, kind: str, text: str) -> None:
        """Count an oddity and, within limits, say what it was on standard error."""
        self.values[kind] += 1
        now = time.monotonic()
        since, lines = self._lines.get(kind, (now, 0))
        if now - since > WINDOW_S:
            since, lines = now, 0
        self._lines[kind] = (since, lines + 1)
        if lines < LINES_PER_WINDOW:
            self.line(kind, text[:300])

    def snapshot(self) -> dict[str, int]:
        """All counts so far, sorted by name."""
        kept = {f"{prefix}.{name}": n for prefix, source in self.sources.items() for name, n in source().items()}
        return dict(sorted({**self.values, **kept}.items()))


# --- Graphite: lines of "path value timestamp" over TCP -----------------------------------------------

SINK_S = 2.0  # for a connection or a write; past it the sink is dead until its next turn
MAX_PACKET_BYTES = 1452  # bytes of a collectd packet

# Types of collectd's binary parts, and of its values.
_HOST, _PLUGIN, _PLUGIN_INSTANCE, _TYPE, _TYPE_INSTANCE, _VALUES, _TIME_HR, _INTERVAL_HR = (
    0x0000, 0x0002, 0x0003, 0x0004, 0x0005, 0x0006, 0x0008, 0x0009)
_DERIVE = 2


def graphite_lines(prefix: str, node: str, values: dict[str, int], now_s: float) -> bytes:
    """The plaintext protocol: one line a value."""
    path = ".".join((prefix, _word(node)))
    return "".join(f"{path}.{name} {value} {int(now_s)}\n" for name, value in values.items()).encode()


def collectd_packets(prefix: str, node: str, values: dict[str, int], now_s: float,
                     every_s: float) -> list[bytes]:
    """The binary network protocol: derived counters, in packets that fit a datagram."""
    head = (_text(_HOST, _word(node)) + _number(_TIME_HR, int(now_s * (1 << 30)))
            + _number(_INTERVAL_HR, int(every_s * (1 << 30))) + _text(_PLUGIN, prefix)
            + _text(_TYPE, "derive"))
    packets: list[bytes] = []
    for name, value in values.items():
        part = _text(_TYPE_INSTANCE, name.replace(".", "-")) + struct.pack(
            ">HHHBq", _VALUES, 15, 1, _DERIVE, value)
        if not packets or len(packets[-1]) + len(part) > MAX_PACKET_BYTES:
            packets.append(head)
        packets[-1] += part
    return packets


def _word(text: str) -> str:
    return "".join(c if c.isalnum() or c in "-_" else "_" for c in text) or "_"


def _text(kind: int, text: str) -> bytes:
    data = text.encode("ascii", "replace")[:63] + b"\0"
    return struct.pack(">HH", kind, 4 + len(data)) + data


def _number(kind: int, value: int) -> bytes:
    return struct.pack(">HHQ", kind, 12, value)


class Sinks:
    """The actors that write the counters out; each owns its socket and drops what is not taken."""

    def __init__(self, config: Config, counters: Counters) -> None:
        self.node = config.name
        self.counters = counters
        self.log_s = config.fronts.log.counters_s
        self.graphite = config.fronts.metrics.graphite
        self.collectd = config.fronts.metrics.collectd

    async def run_log(self) -> None:
        """Say what the counters gained, one line each ``log.counters_s`` seconds; nothing where that is 0."""
        before: dict[str, int] = {}
        while self.log_s:
            await asyncio.sleep(self.log_s - time.time() % self.log_s)  # on the second, alike in a fleet
            now = self.counters.snapshot()
            self.counters.line(GAINED, " ".join(f"{name}={n - before.get(name, 0)}" for name, n in now.items()
                                               if n != before.get(name, 0)))
            before = now

    async def run_graphite(self) -> None:
        """Write a batch of lines every so often, over one connection as long as it lives."""
        if not self.graphite.address:
            return
        to = parse_address(self.graphite.address, "metrics.graphite.address")
        writer: asyncio.StreamWriter | None = None
        try:
            while True:
                await asyncio.sleep(self.graphite.every_s)
                lines = graphite_lines(self.graphite.prefix, self.node, self.counters.snapshot(), time.time())
                try:
                    async with asyncio.timeout(SINK_S):
                        if writer is None or writer.transport.is_closing():
                            _, writer = await asyncio.open_connection(*to)
                            writer.transport.set_write_buffer_limits(high=0)
                        writer.write(lines)
                        await writer.drain()
                    self.counters.add("graphite.batches")
                except (OSError, TimeoutError) as error:
                    self.counters.log("graphite.dropped", repr(error))
                    if writer is not None:
                        writer.transport.abort()
                        writer = None
        finally:
            if writer is not None:
                writer.transport.abort()

    async def run_collectd(self) -> None:
        """Send the packets every so often; a datagram that nobody takes is nobody's loss."""
        if not self.collectd.address:
            return
        to: Address = parse_address(self.collectd.address, "metrics.collectd.address")
        transport: asyncio.DatagramTransport | None = None
        try:
            while True:
                await asyncio.sleep(self.collectd.every_s)
                try:
                    if transport is None or transport.is_closing():
                        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                            asyncio.DatagramProtocol, remote_addr=to)
                    for packet in collectd_packets(self.collectd.prefix, self.node, self.counters.snapshot(),
                                                   time.time(), self.collectd.every_s):
                        transport.sendto(packet)
                    self.counters.add("collectd.batches")
                except OSError as error:
                    self.counters.log("collectd.dropped", repr(error))
        finally:
            if transport is not None:
                transport.close()
