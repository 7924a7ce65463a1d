"""Hosts balancer instances on the simulator's wire: ``python -m gaphub.benchlink``."""

from __future__ import annotations

import gc
import sys
from typing import Any, BinaryIO

from . import wire
from .config import parse_settings
from .interface import AttemptEvent, ListedWorker, ListKind, Request
from .logic import Balancer


class Sink:
    """The actions of one instance, as records of the reply that is being written."""

    __slots__ = ("inst", "host")

    def __init__(self, inst: int, host: Host) -> None:
        self.inst = inst
        self.host = host

    def send(self, request: int, worker: int, timeout_ms: float) -> None:
        """Start an attempt."""
        self.host.out.append(wire.CALL_OUT.pack(65, self.inst, request, worker, timeout_ms))

    def refuse(self, request: int, retry_after_ms: float) -> None:
        """Turn a request away."""
        self.host.out.append(wire.DECLINE.pack(66, self.inst, request, retry_after_ms))

    def fail(self, request: int) -> None:
        """Fail a request."""
        self.host.out.append(wire.LOSE.pack(67, self.inst, request))

    def cancel(self, request: int, attempt: int) -> None:
        """Stop waiting for an attempt."""
        self.host.out.append(wire.RETRACT.pack(68, self.inst, request, attempt))

    def set_timer(self, delay_ms: float, token: int) -> None:
        """Ask for a timer event."""
        self.host.out.append(wire.SET_ALARM.pack(69, self.inst, delay_ms, token))

    def probe(self, worker: int) -> None:
        """Check a worker."""
        self.host.out.append(wire.HEALTH_CHECK.pack(70, self.inst, worker))

    def close_idle(self, worker: int) -> None:
        """Close idle connections."""
        self.host.out.append(wire.FREE_LINKS.pack(71, self.inst, worker))

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Message one peer, or all (-1)."""
        at = self.host.put_tail(data)
        self.host.out.append(wire.WRITE_PEER.pack(72, self.inst, peer & 0xFFFF, at, len(data)))

    def log(self, text: str) -> None:
        """Add a line to the report."""
        self._text(wire.PRINT, 73, text)

    def fault(self, text: str) -> None:
        """Report that the decisions failed."""
        self._text(wire.FAULT, 74, text)

    def _text(self, layout: Any, code: int, text: str) -> None:
        data = text.encode()
        self.host.out.append(layout.pack(code, self.inst, self.host.put_tail(data), len(data)))

    def watch(self, on: bool) -> None:
        """Ask for changes of the worker list, or stop."""
        self.host.out.append(wire.KEEP_INFORMED.pack(75, self.inst, on))

    def fetch(self) -> None:
        """Ask for the whole worker list."""
        self.host.out.append(wire.RELOAD.pack(76, self.inst))


class Host:
    """The instances of one process.  They share the reply that is being written and nothing else."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}
        self.sinks: dict[int, Sink] = {}
        self.lists: dict[int, list[ListedWorker]] = {}
        self.out: list[bytes] = []
        self.tail = bytearray()

    def put_tail(self, data: bytes) -> int:
        """Add to the reply's tail; where it starts."""
        at = len(self.tail)
        self.tail += data
        return at

    def handle(self, frame: wire.Frame) -> bytes:
        """Carry out one batch and give the reply."""
        self.out = []
        self.tail = bytearray()
        for record in frame.records():
            code = record[0]
            if code == wire.LEDGER:
                _, table, start, count = record
                self.lists[table] = wire.parse_entries(frame.tail(start, count * wire.ENTRY.size))
                continue
            inst = record[1]
            if code == wire.ATTACH:
                self._attach(frame, record)
            elif code == wire.DETACH:
                self.instances.pop(inst, None)
                self.sinks.pop(inst, None)
            else:
                balancer = self.instances.get(inst)
                if balancer is not None:
                    try:
                        self._deliver(balancer, frame, code, record)
                    except wire.WireError:
                        raise
                    except Exception as error:  # a failure of the decisions is the wire's to report
                        self._fault(inst, code, error)
        return wire.reply(frame.number, self.out, bytes(self.tail))

    def _fault(self, inst: int, code: int, error: Exception) -> None:
        at = error.__traceback__
        while at is not None and at.tb_next is not None:
            at = at.tb_next
        where = f" at {at.tb_frame.f_code.co_name}:{at.tb_lineno}" if at is not None else ""
        name = wire.EVENT_NAMES[code]
        sink = self.sinks.get(inst) or Sink(inst, self)
        sink.fault(f"{name}: {type(error).__name__}: {error}{where}")
        self.instances.pop(inst, None)

    def _attach(self, frame: wire.Frame, record: tuple[Any, ...]) -> None:
        _, inst, seed, start, size = record
        sink = Sink(inst, self)
        self.sinks[inst] = sink
        try:
            settings = parse_settings(frame.tail(start, size))
            self.instances[inst] = Balancer(frame.now, settings, seed, sink)
        except (ValueError, TypeError, KeyError) as error:
            self._fault(inst, wire.ATTACH, error)

    def _deliver(self, b: Balancer, frame: wire.Frame, code: int, record: tuple[Any, ...]) -> None:
        now = frame.now
        if code == wire.ASK:
            _, _, job, lane, project, item, budget, guess, needs, ram, bits = record
            hint = guess if bits & wire.FLAG_HINT else 0.0
            retry = bool(bits & wire.FLAG_RETRY)
            b.on_request(now, Request(job, lane, budget, project, item, hint, needs or 1.0, ram, retry))
        elif code == wire.OUTCOME:
            b.on_outcome(now, record[2], record[3], record[5], record[6], bool(record[7]),
                         record[10:10 + record[9]])
        elif code == wire.NOTE:
            _, _, job, sort, _, amount, go = record
            if sort == AttemptEvent.STARTED:
                b.on_started(now, job, go)
            elif sort == AttemptEvent.PROGRESS:
                b.on_progress(now, job, go, amount)
        elif code == wire.BELL:
            b.on_timer(now, record[2])
        elif code == wire.GONE:
            b.on_client_gone(now, record[2])
        elif code == wire.ENDPOINTS:
            _, _, mode, _, table = record
            b.on_workers(now, mode, () if mode == ListKind.FAILED else self.lists.get(table, ()))
        elif code == wire.FIRST:
            b.on_stream(now, record[2], record[3])
        elif code == wire.PONG:
            b.on_probe_result(now, record[2], record[3], record[4], record[6:6 + record[5]])
        elif code == wire.INBOX:
            b.on_peer(now, record[2], frame.tail(record[3], record[4]))


def read_exactly(source: BinaryIO, size: int) -> bytes:
    """As many bytes as asked for, fewer only at the end of input."""
    data = source.read(size)
    while len(data) < size:
        more = source.read(size - len(data))
        if not more:
            break
        data += more
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    number = 0
    while True:
        head = read_exactly(source, wire.HEADER.size)
        if not head:
            return
        if len(head) < wire.HEADER.size:
            raise wire.WireError("input ends inside a header", number + 1, len(head))
        number, rest, count, now = wire.parse_header(head)
        body = read_exactly(source, rest)
        if len(body) < rest:
            raise wire.WireError("input ends inside a frame", number, wire.HEADER.size + len(body))
        sink.write(host.handle(wire.Frame(number, now, count, body)))
        sink.flush()


def main() -> int:
    """Run on standard input and output."""
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
