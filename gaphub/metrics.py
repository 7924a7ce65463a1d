"""Counters, the rate-limited log, and the two metrics sinks that counters are written to.

Nothing here decides anything or may block the core: counting is an addition, a log line beyond the rate limit is
only counted, and what a sink does not accept in time is dropped.
"""

from __future__ import annotations

import asyncio
import struct
import sys
import time
from collections import Counter
from collections.abc import Callable, Mapping

from .config import Address, Config, parse_address

MAX_LINES_PER_WINDOW = 5  # log lines of one kind; more are only counted
LOG_WINDOW_S = 10.0
GAINED = "gained"  # the kind of the log line with the increments of the counters


def _print_line(kind: str, text: str) -> None:
    print(f"gaphub: {kind}: {text}", file=sys.stderr, flush=True)


class Counters:
    """Counters by name, and the log lines that belong to them."""

    def __init__(self) -> None:
        self.values: Counter[str] = Counter()
        self.line: Callable[[str, str], None] = _print_line  # writes a log line; see ``logs``
        self.sources: dict[str, Callable[[], Mapping[str, int]]] = {}  # by prefix: counters kept elsewhere
        self._lines: dict[str, tuple[float, int]] = {}

    def add(self, name: str, by: int = 1) -> None:
        """Increment a counter."""
        self.values[name] += by

    def log(self, kind: str, text: str) -> None:
        """Count an event and, within the rate limit, write a log line about it."""
        self.values[kind] += 1
        now = time.monotonic()
        window_start, lines = self._lines.get(kind, (now, 0))
        if now - window_start > LOG_WINDOW_S:
            window_start, lines = now, 0
        self._lines[kind] = (window_start, lines + 1)
        if lines < MAX_LINES_PER_WINDOW:
            self.line(kind, text[:300])

    def snapshot(self) -> dict[str, int]:
        """All counters, sorted by name."""
        external = {f"{prefix}.{name}": count for prefix, source in self.sources.items()
                    for name, count in source().items()}
        return dict(sorted({**self.values, **external}.items()))


# --- sinks: Graphite (lines of "path value timestamp" over TCP) and collectd (binary, over UDP) -------

SINK_TIMEOUT_S = 2.0  # to connect and write; after it the batch is dropped and the connection closed
MAX_PACKET_BYTES = 1452  # of a collectd packet

# Part types of collectd's binary protocol, and its data source type DERIVE.
_HOST, _PLUGIN, _PLUGIN_INSTANCE, _TYPE, _TYPE_INSTANCE, _VALUES, _TIME_HR, _INTERVAL_HR = (
    0x0000, 0x0002, 0x0003, 0x0004, 0x0005, 0x0006, 0x0008, 0x0009)
_DERIVE = 2


def graphite_lines(prefix: str, node: str, values: dict[str, int], now_s: float) -> bytes:
    """Counters in Graphite's plaintext protocol: one line per value."""
    path = ".".join((prefix, _sanitize(node)))
    return "".join(f"{path}.{name} {value} {int(now_s)}\n" for name, value in values.items()).encode()


def collectd_packets(prefix: str, node: str, values: dict[str, int], now_s: float,
                     every_s: float) -> list[bytes]:
    """Counters in collectd's binary protocol, as DERIVE values in packets that fit a datagram."""
    header = (_string_part(_HOST, _sanitize(node)) + _number_part(_TIME_HR, int(now_s * (1 << 30)))
              + _number_part(_INTERVAL_HR, int(every_s * (1 << 30))) + _string_part(_PLUGIN, prefix)
              + _string_part(_TYPE, "derive"))
    packets: list[bytes] = []
    for name, value in values.items():
        part = _string_part(_TYPE_INSTANCE, name.replace(".", "-")) + struct.pack(
            ">HHHBq", _VALUES, 15, 1, _DERIVE, value)
        if not packets or len(packets[-1]) + len(part) > MAX_PACKET_BYTES:
            packets.append(header)
        packets[-1] += part
    return packets


def _sanitize(text: str) -> str:
    return "".join(char if char.isalnum() or char in "-_" else "_" for char in text) or "_"


def _string_part(kind: int, text: str) -> bytes:
    data = text.encode("ascii", "replace")[:63] + b"\0"
    return struct.pack(">HH", kind, 4 + len(data)) + data


def _number_part(kind: int, value: int) -> bytes:
    return struct.pack(">HHQ", kind, 12, value)


class Sinks:
    """The tasks that write the counters out; each has its own socket and drops what is not accepted."""

    def __init__(self, config: Config, counters: Counters) -> None:
        self.node = config.name
        self.counters = counters
        self.log_s = config.fronts.log.counters_s
        self.graphite = config.fronts.metrics.graphite
        self.collectd = config.fronts.metrics.collectd

    async def run_log(self) -> None:
        """Log the increments of the counters every ``log.counters_s`` seconds; never if that is 0."""
        previous: dict[str, int] = {}
        while self.log_s:
            await asyncio.sleep(self.log_s - time.time() % self.log_s)  # so that all schedulers log at once
            current = self.counters.snapshot()
            self.counters.line(GAINED, " ".join(
                f"{name}={count - previous.get(name, 0)}" for name, count in current.items()
                if count != previous.get(name, 0)))
            previous = current

    async def run_graphite(self) -> None:
        """Write a batch of lines every ``every_s`` seconds, over one connection as long as it lasts."""
        if not self.graphite.address:
            return
        address = parse_address(self.graphite.address, "metrics.graphite.address")
        writer: asyncio.StreamWriter | None = None
        try:
            while True:
                await asyncio.sleep(self.graphite.every_s)
                lines = graphite_lines(self.graphite.prefix, self.node, self.counters.snapshot(), time.time())
                try:
                    async with asyncio.timeout(SINK_TIMEOUT_S):
                        if writer is None or writer.transport.is_closing():
                            _, writer = await asyncio.open_connection(*address)
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
        """Send the packets every ``every_s`` seconds; lost datagrams are not resent."""
        if not self.collectd.address:
            return
        address: Address = parse_address(self.collectd.address, "metrics.collectd.address")
        transport: asyncio.DatagramTransport | None = None
        try:
            while True:
                await asyncio.sleep(self.collectd.every_s)
                try:
                    if transport is None or transport.is_closing():
                        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                            asyncio.DatagramProtocol, remote_addr=address)
                    for packet in collectd_packets(self.collectd.prefix, self.node, self.counters.snapshot(),
                                                   time.time(), self.collectd.every_s):
                        transport.sendto(packet)
                    self.counters.add("collectd.batches")
                except OSError as error:
                    self.counters.log("collectd.dropped", repr(error))
        finally:
            if transport is not None:
                transport.close()
