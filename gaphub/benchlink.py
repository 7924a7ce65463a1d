"""Runs Balancer instances for the simulator, over its binary protocol: ``python -m gaphub.benchlink``."""

from __future__ import annotations

import gc
import sys
from typing import Any, BinaryIO

from . import wire
from .config import parse_settings
from .interface import AttemptEvent, ListedWorker, ListKind, Request
from .logic import Balancer


class ActionWriter:
    """Writes the actions of one instance as records of the reply under construction."""

    __slots__ = ("instance", "host")

    def __init__(self, instance: int, host: Host) -> None:
        self.instance = instance
        self.host = host

    def send(self, request: int, worker: int, timeout_ms: float) -> None:
        """Start an attempt."""
        self.host.actions.append(wire.CALL_OUT.pack(65, self.instance, request, worker, timeout_ms))

    def refuse(self, request: int, retry_after_ms: float) -> None:
        """Refuse a request."""
        self.host.actions.append(wire.DECLINE.pack(66, self.instance, request, retry_after_ms))

    def fail(self, request: int) -> None:
        """Fail a request."""
        self.host.actions.append(wire.LOSE.pack(67, self.instance, request))

    def cancel(self, request: int, attempt: int) -> None:
        """Cancel an attempt."""
        self.host.actions.append(wire.RETRACT.pack(68, self.instance, request, attempt))

    def set_timer(self, delay_ms: float, token: int) -> None:
        """Schedule a timer event."""
        self.host.actions.append(wire.SET_ALARM.pack(69, self.instance, delay_ms, token))

    def probe(self, worker: int) -> None:
        """Probe a worker."""
        self.host.actions.append(wire.HEALTH_CHECK.pack(70, self.instance, worker))

    def close_idle(self, worker: int) -> None:
        """Close idle connections to a worker."""
        self.host.actions.append(wire.FREE_LINKS.pack(71, self.instance, worker))

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Send a message to one peer; -1: to all."""
        offset = self.host.put_tail(data)
        self.host.actions.append(wire.WRITE_PEER.pack(72, self.instance, peer & 0xFFFF, offset, len(data)))

    def log(self, text: str) -> None:
        """Add a line to the simulator's report."""
        self._text(wire.PRINT, 73, text)

    def fault(self, text: str) -> None:
        """Report an exception in the Balancer."""
        self._text(wire.FAULT, 74, text)

    def _text(self, layout: Any, code: int, text: str) -> None:
        data = text.encode()
        self.host.actions.append(layout.pack(code, self.instance, self.host.put_tail(data), len(data)))

    def watch(self, on: bool) -> None:
        """Start or stop watching the worker list for changes."""
        self.host.actions.append(wire.KEEP_INFORMED.pack(75, self.instance, on))

    def fetch(self) -> None:
        """Request the full worker list."""
        self.host.actions.append(wire.RELOAD.pack(76, self.instance))


class Host:
    """The Balancer instances of one process.  They share only the reply under construction."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}
        self.writers: dict[int, ActionWriter] = {}
        self.lists: dict[int, list[ListedWorker]] = {}  # worker lists by table number
        self.actions: list[bytes] = []  # records of the reply under construction
        self.tail = bytearray()  # and its tail

    def put_tail(self, data: bytes) -> int:
        """Append data to the reply's tail; returns its offset."""
        offset = len(self.tail)
        self.tail += data
        return offset

    def handle(self, frame: wire.Frame) -> bytes:
        """Process one batch and return the reply frame."""
        self.actions = []
        self.tail = bytearray()
        for record in frame.records():
            code = record[0]
            if code == wire.LEDGER:
                _, table, start, count = record
                self.lists[table] = wire.parse_entries(frame.tail(start, count * wire.ENTRY.size))
                continue
            instance = record[1]
            if code == wire.ATTACH:
                self._attach(frame, record)
            elif code == wire.DETACH:
                self.instances.pop(instance, None)
                self.writers.pop(instance, None)
            else:
                balancer = self.instances.get(instance)
                if balancer is not None:
                    try:
                        self._deliver(balancer, frame, code, record)
                    except wire.WireError:
                        raise
                    except Exception as error:  # reported to the simulator as a FAULT
                        self._fault(instance, code, error)
        return wire.reply(frame.number, self.actions, bytes(self.tail))

    def _fault(self, instance: int, code: int, error: Exception) -> None:
        trace = error.__traceback__
        while trace is not None and trace.tb_next is not None:
            trace = trace.tb_next
        where = f" at {trace.tb_frame.f_code.co_name}:{trace.tb_lineno}" if trace is not None else ""
        name = wire.EVENT_NAMES[code]
        writer = self.writers.get(instance) or ActionWriter(instance, self)
        writer.fault(f"{name}: {type(error).__name__}: {error}{where}")
        self.instances.pop(instance, None)

    def _attach(self, frame: wire.Frame, record: tuple[Any, ...]) -> None:
        _, instance, seed, start, size = record
        writer = ActionWriter(instance, self)
        self.writers[instance] = writer
        try:
            settings = parse_settings(frame.tail(start, size))
            self.instances[instance] = Balancer(frame.now, settings, seed, writer)
        except (ValueError, TypeError, KeyError) as error:
            self._fault(instance, wire.ATTACH, error)

    def _deliver(self, balancer: Balancer, frame: wire.Frame, code: int, record: tuple[Any, ...]) -> None:
        now = frame.now
        if code == wire.ASK:
            _, _, request, class_index, tenant, key, left_ms, raw_hint_ms, slots, memory, flags = record
            hint_ms = raw_hint_ms if flags & wire.FLAG_HINT else 0.0
            is_retry = bool(flags & wire.FLAG_RETRY)
            balancer.on_request(now, Request(request, class_index, left_ms, tenant, key, hint_ms, slots or 1.0,
                                             memory, is_retry))
        elif code == wire.OUTCOME:
            balancer.on_outcome(now, record[2], record[3], record[5], record[6], bool(record[7]),
                                record[10:10 + record[9]])
        elif code == wire.NOTE:
            _, _, request, kind, _, progress, attempt = record
            if kind == AttemptEvent.STARTED:
                balancer.on_started(now, request, attempt)
            elif kind == AttemptEvent.PROGRESS:
                balancer.on_progress(now, request, attempt, progress)
        elif code == wire.BELL:
            balancer.on_timer(now, record[2])
        elif code == wire.GONE:
            balancer.on_client_gone(now, record[2])
        elif code == wire.ENDPOINTS:
            _, _, kind, _, table = record
            balancer.on_workers(now, kind, () if kind == ListKind.FAILED else self.lists.get(table, ()))
        elif code == wire.FIRST:
            balancer.on_stream(now, record[2], record[3])
        elif code == wire.PONG:
            balancer.on_probe_result(now, record[2], record[3], record[4], record[6:6 + record[5]])
        elif code == wire.INBOX:
            balancer.on_peer(now, record[2], frame.tail(record[3], record[4]))


def read_exactly(source: BinaryIO, size: int) -> bytes:
    """Read ``size`` bytes; fewer only at the end of input."""
    data = source.read(size)
    while len(data) < size:
        more = source.read(size - len(data))
        if not more:
            break
        data += more
    return data


def serve(source: BinaryIO, target: BinaryIO) -> None:
    """Answer batches until the end of input."""
    host = Host()
    number = 0
    while True:
        header = read_exactly(source, wire.HEADER.size)
        if not header:
            return
        if len(header) < wire.HEADER.size:
            raise wire.WireError("input ends inside a header", number + 1, len(header))
        number, rest, count, now = wire.parse_header(header)
        body = read_exactly(source, rest)
        if len(body) < rest:
            raise wire.WireError("input ends inside a frame", number, wire.HEADER.size + len(body))
        target.write(host.handle(wire.Frame(number, now, count, body)))
        target.flush()


def main() -> int:
    """Serve on standard input and output."""
    gc.freeze()
    gc.set_threshold(50_000, 50, 50)
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
