"""Stand-ins that the cases share: a discovery agent, HTTP workers, Gearman peers, and the start of schedulers.

Standard library only. Every address is a loopback address and every port is a free one.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2

# The classes of the first deployment: names, deadlines and effects as its site file gives them.
GRADES: list[dict[str, Any]] = [
    {"name": "poloha", "slo": 500.0, "deadline": 5000.0, "credit": 3.0, "lateWorth": 0.25, "group": "all",
     "idempotency": "idempotent", "window": 5000.0, "streamed": False},
    {"name": "udalost", "slo": 1000.0, "deadline": 10000.0, "credit": 2.0, "lateWorth": 0.3, "group": "all",
     "idempotency": "at_most_once", "window": 5000.0, "streamed": False},
    {"name": "vyuctovani", "slo": 1200.0, "deadline": 20000.0, "credit": 10.0, "lateWorth": 0.3, "group": "all",
     "idempotency": "at_most_once", "window": 5000.0, "streamed": False},
]


def settings(me: int = 0, balancers: int = 1, **limits: Any) -> dict[str, Any]:
    """Settings in the form of the wire page, with the figures of the first deployment."""
    return {
        "me": me, "balancers": balancers, "zone": 0, "zones": ["praha-1", "brno-1"], "tier": 0,
        "tiers": ["zpracovani"], "models": ["rychly", "stredni", "pomaly"], "domainType": "jobs", "tick": 4.0,
        "grades": GRADES, "tenants": [], "weights": "nominal", "registryMode": "automatic", "valueBy": "request",
        "overShareWorth": 0.1, "callers": {"marksRetry": False},
        "deductions": {"crossZone": 0.13, "handshake": 0.02, "lateFail": 0.05, "peer": 0.0096, "probe": 0.0018,
                       "waste": 0.028},
        "familyInfo": {"classKind": [-1, -1, -1], "classPriority": [0, 0, 1], "classStretch": [2.0, 2.0, 2.0],
                       "queueOrder": "fifo", "reportX0": "free slots", "tellsStart": True, "progress": 0.0},
        "limits": {"cancel": True, "connIdle": 60000.0, "dialTimeout": 150.0, "maxOpen": 20000,
                   "maxRetryAfter": 2000.0, "mostTries": 4, "peerMessages": True, "probes": True,
                   "retryAfter": True, "secondCopies": False, "streamsPerConn": 1, **limits},
        "report": {"fields": ["queue", "latency_ms", "inflight", "x0"], "via": "on_probe"},
        "rules": {"answerSlack": 16.0, "drainGrace": 1000.0, "fall": 1000.0, "fallMultiple": 3.0,
                  "startCapacity": 0.31, "warmAfter": 8900.0},
    }


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """A port of the loopback address that is free now."""
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return int(s.getsockname()[1])


class Case:
    """The record, the processes and the temporary folder of one run."""

    def __init__(self, record: Path) -> None:
        self.began = time.monotonic()
        self.record = open(record, "w", encoding="utf-8", buffering=1)  # noqa: SIM115
        self.folder = Path(tempfile.mkdtemp(prefix="gaphub-review-"))
        self.processes: list[subprocess.Popen[bytes]] = []
        self.note(f"trouble: {'on' if TROUBLE else 'off'}")

    def note(self, text: str) -> None:
        """Write a line to the record, with the seconds since the start of the run."""
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        self.record.write(line + "\n")
        print(line, flush=True)

    def scheduler(self, name: str, config: dict[str, Any], fronts: str = "", **env: str
                  ) -> subprocess.Popen[bytes]:
        """Start one scheduler by the deploy file's ``run``; ``env``: further variables."""
        file = self.folder / f"{name}.json"
        if not file.exists():
            file.write_text(json.dumps({"name": name, **config}))
        variables = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        variables |= {"LB_CONFIG": str(file), "LB_NAME": name, "TMPDIR": str(self.folder), **env}
        if fronts:
            path = self.folder / f"{name}.toml"
            path.write_text(fronts)
            variables["LB_FRONTS"] = str(path)
        with open(self.folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen(["/bin/sh", "-c", DEPLOY["run"]], cwd=ROOT, env=variables,
                                       stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.processes.append(process)
        self.note(f"scheduler {name}: process started")
        return process

    def log_end(self, name: str, size: int = 600) -> str:
        """The last lines of a scheduler's log."""
        return (self.folder / f"{name}.log").read_text(errors="replace")[-size:]

    def end(self) -> None:
        """Kill every process that was started, and delete the folder."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


async def http(port: int, target: str, method: str = "GET", body: str = "", host: str = "127.0.0.1",
               timeout_s: float = 2.0, **headers: str) -> tuple[int, bytes]:
    """One HTTP call on a new connection: status and body; status 0 if there is no answer."""
    lines = [f"{method} {target} HTTP/1.1", "Host: api.internal", "Connection: close",
             f"Content-Length: {len(body)}", *(f"{k.replace('_', '-')}: {v}" for k, v in headers.items())]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(("\r\n".join(lines) + "\r\n\r\n" + body).encode())
            answer = await reader.read()
    except (OSError, TimeoutError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()
    head, _, content = answer.partition(b"\r\n\r\n")
    return (int(head.split()[1]), content) if head else (0, b"")


async def until(check: Callable[[], Any], within_s: float, pause_s: float = 0.05) -> Any:
    """The first true value of ``check``, which may be a coroutine function; None after ``within_s``."""
    end = time.monotonic() + within_s
    while time.monotonic() < end:
        value = check()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return value
        await asyncio.sleep(pause_s)
    return None


async def ready(port: int, host: str = "127.0.0.1", within_s: float = 20.0) -> bool:
    """Wait until ``GET /-/ready`` answers 200."""
    async def ask() -> bool:
        return (await http(port, "/-/ready", host=host))[0] == 200

    return bool(await until(ask, within_s))


class Agent:
    """The discovery agent: the whole list, and watches that wait for a newer version."""

    def __init__(self, servers: list[dict[str, Any]] | None = None) -> None:
        self.servers = servers or []
        self.version = 1
        self.port = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def set(self, servers: list[dict[str, Any]]) -> None:
        """A new list; every watch is answered with it."""
        self.servers = servers
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                query = dict(p.partition("=")[::2] for p in head.split()[1].partition("?")[2].split("&") if p)
                full = "index" not in query or int(query["index"]) != self.version
                if not full:
                    changed = self._changed
                    try:
                        async with asyncio.timeout(float(query.get("wait", 0)) / 1000.0):
                            await changed.wait()
                        full = True
                    except TimeoutError:
                        pass
                body = json.dumps({"version": self.version, "full": full,
                                   "servers": self.servers if full else []}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class HttpWorkers:
    """Workers as the protocol page has them: 200, `started`, then `done` when the work is over."""

    def __init__(self, case: Case, kinds: list[str], work_s: float) -> None:
        """``kinds``: the machine kind of each worker."""
        self.case = case
        self.kinds = kinds
        self.work_s = work_s
        self.ran: list[tuple[str, str]] = []  # worker and request id of each run
        self.listed: list[dict[str, Any]] = []  # as discovery lists them

    async def open(self) -> None:
        """Listen, each worker on a free port."""
        for i, kind in enumerate(self.kinds):
            name = f"s-{i + 1}"
            server = await asyncio.start_server(
                lambda reader, writer, name=name: self._serve(name, reader, writer),  # type: ignore[misc]
                "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            self.listed.append({"id": name, "addr": f"127.0.0.1:{port}", "zone": "praha-1", "kind": kind,
                                "cell": 0, "state": "active", "weight": 1.0, "started_ms": 0})

    async def _serve(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                headers = {k.lower(): v.strip() for k, _, v in (x.partition(":") for x in head.split("\r\n")[1:])}
                await reader.readexactly(int(headers.get("content-length", "0")))
                if not head.startswith("POST"):
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                ident = headers["x-request-id"]
                self.ran.append((name, ident))
                self.case.note(f"worker {name}: runs {ident}")
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self._line(writer, {"id": ident, "from": name, "state": "started"})
                await asyncio.sleep(self.work_s)
                self._line(writer, {"id": ident, "from": name, "state": "done", "result": f"ran {ident}"})
                writer.write(b"0\r\n\r\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    @staticmethod
    def _line(writer: asyncio.StreamWriter, value: dict[str, str]) -> None:
        line = json.dumps(value).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))


# -- Gearman --

(CAN_DO, PRE_SLEEP, NOOP, SUBMIT_JOB, JOB_CREATED, GRAB_JOB_UNIQ, NO_JOB, JOB_ASSIGN_UNIQ, WORK_COMPLETE,
 WORK_FAIL, SUBMIT_JOB_BG, ERROR, OPTION_REQ, OPTION_RES, WORK_EXCEPTION, GET_STATUS, STATUS_RES) = (
     1, 4, 6, 7, 8, 30, 10, 31, 13, 14, 18, 19, 26, 27, 25, 15, 20)
NAMES = {JOB_CREATED: "JOB_CREATED", WORK_COMPLETE: "WORK_COMPLETE", WORK_FAIL: "WORK_FAIL", ERROR: "ERROR",
         WORK_EXCEPTION: "WORK_EXCEPTION", OPTION_RES: "OPTION_RES", STATUS_RES: "STATUS_RES", NOOP: "NOOP",
         NO_JOB: "NO_JOB", JOB_ASSIGN_UNIQ: "JOB_ASSIGN_UNIQ"}


class GearmanPeer:
    """One Gearman connection of a client or a worker."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, port: int, host: str = "127.0.0.1") -> GearmanPeer:
        """Open a connection."""
        return cls(*await asyncio.open_connection(host, port))

    def send(self, kind: int, *arguments: bytes) -> None:
        """Write a request."""
        body = b"\0".join(arguments)
        self.writer.write(struct.pack(">4sII", b"\0REQ", kind, len(body)) + body)

    async def receive(self) -> tuple[int, list[bytes]]:
        """The next packet; IncompleteReadError or OSError if the connection has ended."""
        _, kind, size = struct.unpack(">4sII", await self.reader.readexactly(12))
        return kind, (await self.reader.readexactly(size)).split(b"\0")

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class GearmanWorker:
    """A worker that runs one job at a time and reports each end; it reconnects when its connection breaks."""

    def __init__(self, case: Case, name: str, ports: list[int], functions: list[bytes], work_s: float) -> None:
        self.case = case
        self.name = name
        self.ports = ports  # of the schedulers; it connects to each of them
        self.functions = functions
        self.work_s = work_s
        self.ran: list[tuple[bytes, bytes, bytes]] = []  # function, unique and workload of each run
        self._busy = asyncio.Lock()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Connect to every scheduler and ask for jobs."""
        self._tasks = [asyncio.create_task(self._follow(port)) for port in self.ports]

    def stop(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()

    async def _follow(self, port: int) -> None:
        while True:
            try:
                peer = await GearmanPeer.connect(port)
                try:
                    await self._work(peer, port)
                finally:
                    peer.close()
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.3)

    async def _work(self, peer: GearmanPeer, port: int) -> None:
        for function in self.functions:
            peer.send(CAN_DO, function)
        while True:
            async with self._busy:
                peer.send(GRAB_JOB_UNIQ)
                kind, arguments = await peer.receive()
                while kind == NOOP:
                    kind, arguments = await peer.receive()
                if kind == JOB_ASSIGN_UNIQ:
                    await self.run_job(peer, port, *arguments[:4])
                    continue
            peer.send(PRE_SLEEP)
            kind, arguments = await peer.receive()

    async def run_job(self, peer: GearmanPeer, port: int, handle: bytes, function: bytes, unique: bytes,
                      workload: bytes) -> None:
        """Run one job, and report its end."""
        self.ran.append((function, unique, workload))
        self.case.note(f"worker {self.name}: runs {function.decode()} unique={unique.decode()}, "
                       f"run {len(self.ran)}, from port {port}")
        await asyncio.sleep(self.work_s)
        self.case.note(f"worker {self.name}: has run {function.decode()} unique={unique.decode()}")
        peer.send(WORK_COMPLETE, handle, b"done " + workload)


def main(record: Path, play: Callable[[Case], Any], limit_s: float = 110.0) -> None:
    """Run ``play(case)``, which returns the exit code, within ``limit_s``; anything unexpected exits with 2."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # so that nothing that was started is left behind
    case = Case(record)
    code = NOT_RUN
    try:
        async def limited() -> int:
            async with asyncio.timeout(limit_s):
                return int(await play(case))

        code = asyncio.run(limited())
    except Exception as error:  # the case could not run; the rule was not judged
        case.note(f"the case could not run: {error!r}")
    finally:
        case.note({BROKEN: "the rule was broken", HELD: "the rule held"}.get(code, "not judged"))
        case.end()
    sys.exit(code)
