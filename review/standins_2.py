"""Stand-ins and helpers of the cases 6 to 10: discovery, workers, Gearman clients, and scheduler processes.

The standard library alone. Every address is a loopback address. A worker goes on with what it runs when its
connection breaks, as the pages say of a real one. Everything that is sent, answered and run goes to the record.
"""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 10, 2  # exit statuses of a case; play-2.sh turns 10 into 1 and any other into 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 115.0  # of a whole case

# Packets of the Gearman protocol.
CAN_DO, PRE_SLEEP, NOOP, SUBMIT_JOB, JOB_CREATED, GRAB_JOB, NO_JOB, JOB_ASSIGN = 1, 4, 6, 7, 8, 9, 10, 11
WORK_COMPLETE, WORK_FAIL, SUBMIT_JOB_BG, ERROR, SET_CLIENT_ID, WORK_DATA = 13, 14, 18, 19, 22, 28
SUBMIT_JOB_EPOCH = 36
NAMES = {JOB_CREATED: "JOB_CREATED", WORK_COMPLETE: "WORK_COMPLETE", WORK_FAIL: "WORK_FAIL", ERROR: "ERROR",
         WORK_DATA: "WORK_DATA", JOB_ASSIGN: "JOB_ASSIGN", NO_JOB: "NO_JOB", NOOP: "NOOP"}

# The classes of `sdilena-platforma` (BRIEF 3.1 to 3.3).
GRADES: list[dict[str, Any]] = [
    {"name": "poloha", "slo": 500.0, "deadline": 5000.0, "credit": 3.0, "lateWorth": 0.25, "group": "all",
     "window": 5000.0, "streamed": False, "idempotency": "idempotent"},
    {"name": "udalost", "slo": 1000.0, "deadline": 10000.0, "credit": 2.0, "lateWorth": 0.3, "group": "all",
     "window": 5000.0, "streamed": False, "idempotency": "at_most_once"},
    {"name": "vyuctovani", "slo": 1200.0, "deadline": 20000.0, "credit": 10.0, "lateWorth": 0.3, "group": "all",
     "window": 5000.0, "streamed": False, "idempotency": "at_most_once"},
]


def settings(grades: list[dict[str, Any]] = GRADES, me: int = 0, balancers: int = 1) -> dict[str, Any]:
    """The settings of a small deployment, after the example of WIRE-gaphub.md."""
    return {
        "balancers": balancers, "me": me, "tier": 0, "tiers": ["zpracovani"], "tick": 4.0, "zone": 0,
        "zones": ["praha-1", "brno-1"], "models": ["rychly", "stredni", "pomaly"], "grades": grades,
        "tenants": [], "valueBy": "request", "weights": "nominal", "overShareWorth": 0.1,
        "domainType": "jobs", "registryMode": "automatic", "callers": {"marksRetry": False},
        "familyInfo": {"classKind": [-1] * len(grades), "classPriority": [0] * len(grades),
                       "classStretch": [2.0] * len(grades), "progress": 0.0, "queueOrder": "fifo",
                       "reportX0": "free slots", "reportX1": "free memory", "tellsStart": True},
        "deductions": {"crossZone": 0.13, "handshake": 0.02, "lateFail": 0.05, "peer": 0.0096, "probe": 0.0018,
                       "waste": 0.028},
        "limits": {"cancel": True, "connIdle": 60000.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000,
                   "dialTimeout": 150.0, "maxOpen": 20000, "maxRetryAfter": 2000.0, "mostTries": 4,
                   "peerMessages": True, "probes": True, "retryAfter": True, "secondCopies": False,
                   "streamsPerConn": 1},
        "report": {"fields": ["queue", "latency_ms", "inflight", "x0"], "via": "on_probe"},
        "rules": {"answerSlack": 16.0, "askEvery": 10000.0, "drainGrace": 1000.0, "fall": 1000.0,
                  "fallMultiple": 3.0, "startCapacity": 0.31, "warmAfter": 8900.0},
        "scoringMix": {"whole": 0.45, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.35},
    }


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """A port of 127.0.0.1 that is free now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Record:
    """The file ``record.txt`` of a case; its verdict goes to standard output too."""

    def __init__(self, path: Path) -> None:
        self._began = time.monotonic()
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._began

    def add(self, text: str) -> None:
        """Add a line with the time."""
        line = f"{self.now():8.3f} {text}"
        print(line, file=self._file, flush=True)


class Agent:
    """The discovery agent: the whole list, and watches that end with a change or when their wait is over."""

    def __init__(self, servers: list[dict[str, Any]]) -> None:
        self.servers = servers
        self.version = 1
        self.port = 0
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                target = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
                query = dict(p.partition("=")[::2] for p in target.partition("?")[2].split("&"))
                if int(query.get("index", -1)) == self.version:
                    until = time.monotonic() + min(float(query.get("wait", 0)), 60000.0) / 1000.0
                    while int(query["index"]) == self.version and time.monotonic() < until:
                        await asyncio.sleep(0.02)
                changed = int(query.get("index", -1)) != self.version
                body = json.dumps({"version": self.version, "full": changed,
                                   "servers": self.servers if changed else []}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
        writer.close()


class HttpWorker:
    """A worker of the platform; ``runs`` has the body of each job that it began, in their order.

    ``on_run(worker, headers, body)`` is awaited when a job's last byte has come; where it returns False, the
    worker breaks the connection after the job has run, without an answer.
    """

    def __init__(self, name: str, record: Record, work_s: float = 0.3,
                 on_run: Callable[[HttpWorker, dict[str, str], str], Awaitable[bool]] | None = None) -> None:
        self.name = name
        self.record = record
        self.work_s = work_s
        self.on_run = on_run
        self.runs: list[str] = []
        self.port = 0
        self.running = 0
        self._server: asyncio.Server | None = None
        self._work: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self, zone: str = "praha-1") -> dict[str, Any]:
        """Its entry in discovery's list."""
        return {"id": self.name, "addr": f"127.0.0.1:{self.port}", "zone": zone, "kind": "stredni", "cell": 0,
                "state": "active", "weight": 1.0, "started_ms": 0}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")[:-4].split("\r\n")
                headers = {k.strip().lower(): v.strip() for k, _, v in (x.partition(":") for x in lines)}
                body = (await reader.readexactly(int(headers.get("content-length", "0")))).decode()
                if first.startswith("GET"):
                    report = f"queue=0,latency_ms={self.work_s * 1000:.0f},inflight={self.running},x0=" \
                             f"{max(0, 4 - self.running)}".encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(report), report))
                    continue
                if not await self._run(headers, body, writer):
                    writer.transport.abort()
                    return
        writer.close()

    async def _run(self, headers: dict[str, str], body: str, writer: asyncio.StreamWriter) -> bool:
        ident = headers["x-request-id"]
        self.runs.append(body)
        self.record.add(f"worker {self.name}: begins {body!r} ({headers['x-priority-class']}, request {ident}, "
                        f"X-Timeout {headers.get('x-timeout')}, Idempotency-Key "
                        f"{headers.get('idempotency-key', 'none')})")
        answers = self.on_run is None or await self.on_run(self, headers, body)
        self._write_line(writer, {"id": ident, "from": self.name, "state": "started"}, first=True)
        self.running += 1
        # What runs goes on when its connection breaks.
        work = asyncio.create_task(self._finish(body))
        self._work.add(work)
        work.add_done_callback(self._work.discard)
        await asyncio.shield(work)
        if answers:
            self._write_line(writer, {"id": ident, "from": self.name, "state": "done", "result": f"ok {body}"})
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        else:
            self.record.add(f"worker {self.name}: breaks the connection of {body!r} with no last line")
        return answers

    async def _finish(self, body: str) -> None:
        try:
            await asyncio.sleep(self.work_s)
            self.record.add(f"worker {self.name}: has run {body!r}")
        finally:
            self.running -= 1

    @staticmethod
    def _write_line(writer: asyncio.StreamWriter, line: dict[str, Any], first: bool = False) -> None:
        data = json.dumps(line).encode() + b"\n"
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" if first else b""
        writer.write(head + b"%x\r\n%s\r\n" % (len(data), data))


class Gearman:
    """One connection of a Gearman client or worker."""

    def __init__(self) -> None:
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self, port: int) -> None:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)

    def send(self, kind: int, *arguments: bytes) -> None:
        """Send a packet."""
        assert self.writer is not None
        body = b"\0".join(arguments)
        self.writer.write(b"\0REQ" + struct.pack(">II", kind, len(body)) + body)

    async def receive(self) -> tuple[int, list[bytes]]:
        """The next packet; IncompleteReadError or OSError at the end of the connection."""
        assert self.reader is not None
        _, kind, size = struct.unpack(">4sII", await self.reader.readexactly(12))
        return kind, (await self.reader.readexactly(size)).split(b"\0")

    async def command(self, text: str) -> str:
        """Send a text command; its answer, up to the line with a dot or the only line."""
        assert self.reader is not None and self.writer is not None
        self.writer.write(text.encode() + b"\n")
        lines = [(await self.reader.readline()).decode().rstrip("\n")]
        while lines[-1] != "." and not lines[-1].startswith(("OK", "ERR")):
            lines.append((await self.reader.readline()).decode().rstrip("\n"))
        return "\n".join(lines)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


class GearmanWorker:
    """A worker that speaks Gearman and runs one job at a time; ``assigned`` has the time and workload of each."""

    def __init__(self, name: str, functions: list[bytes], record: Record, work_s: float) -> None:
        self.name = name
        self.functions = functions
        self.record = record
        self.work_s = work_s
        self.assigned: list[tuple[float, str]] = []
        self.session = Gearman()

    async def run(self, port: int) -> None:
        """Register and work until cancelled."""
        await self.session.open(port)
        self.session.send(SET_CLIENT_ID, self.name.encode())
        for function in self.functions:
            self.session.send(CAN_DO, function)
        self.session.send(GRAB_JOB)
        while True:
            kind, arguments = await self.session.receive()
            if kind == NO_JOB:
                self.session.send(PRE_SLEEP)
            elif kind == NOOP:
                self.session.send(GRAB_JOB)
            elif kind == JOB_ASSIGN:
                handle, _, body = arguments
                self.assigned.append((self.record.now(), body.decode()))
                self.record.add(f"worker {self.name}: JOB_ASSIGN {body.decode()!r}")
                await asyncio.sleep(self.work_s)
                self.record.add(f"worker {self.name}: has run {body.decode()!r}")
                self.session.send(WORK_COMPLETE, handle, b"ok " + body)
                self.session.send(GRAB_JOB)


class Scheduler:
    """One scheduler process, started by the deploy file's ``run``."""

    def __init__(self, folder: Path, name: str, agent_port: int, record: Record, config: dict[str, Any],
                 fronts: str) -> None:
        self.name = name
        self.record = record
        self.folder = folder / name
        self.folder.mkdir()
        self.listen = free_port()
        self.agent_port = agent_port
        self.config = {"name": name, "listen": f"127.0.0.1:{self.listen}", "seed": secrets.token_hex(8),
                       "discovery": f"127.0.0.1:{agent_port}",
                       "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, **config}
        self.fronts = fronts
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self) -> None:
        """Write the configuration file."""
        (self.folder / "config.json").write_text(json.dumps(self.config))

    def start(self) -> None:
        """Start the process."""
        self.write_config()
        (self.folder / "fronts.toml").write_text(self.fronts)
        (self.folder / "tmp").mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        env = {**os.environ, "LB_NAME": self.name, "LB_LISTEN": f"127.0.0.1:{self.listen}",
               "LB_DISCOVERY": f"127.0.0.1:{self.agent_port}", "LB_CONFIG": str(self.folder / "config.json"),
               "LB_FRONTS": str(self.folder / "fronts.toml"), "TMPDIR": str(self.folder / "tmp")}
        env.pop("LB_ADMIN", None)
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=log)
        self.record.add(f"{self.name}: started")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        assert self.process is not None
        self.process.send_signal(number)
        self.record.add(f"{self.name}: {number.name}")

    async def ready(self) -> None:
        """Wait until it says that it is ready."""
        while True:
            with suppress(OSError):
                if (await http(self.listen, "GET", "/-/ready"))[0] == 200:
                    return
            assert self.process is not None
            if self.process.poll() is not None:
                raise RuntimeError(f"{self.name} ended at the start: {(self.folder / 'log').read_text()[-800:]}")
            await asyncio.sleep(0.05)

    def end(self) -> None:
        """End the process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


async def start(folder: Path, record: Record, schedulers: list[Scheduler], servers: list[dict[str, Any]],
                site: dict[str, Any], functions: list[str]) -> tuple[Scheduler, int]:
    """Start discovery with these workers, and one scheduler whose Gearman front has these functions.

    Each function is named as its class; with none the front is off. The scheduler, and the port of its front.
    """
    agent = Agent(servers)
    await agent.open()
    port = free_port()
    # It has no former life, for which `hold_after_start` would refuse jobs with a unique for two minutes.
    fronts = (f'[gearman]\nlisten = "127.0.0.1:{port}"\nhold_after_start = false\n[gearman.functions]\n'
              + "".join(f'{name} = "{name}"\n' for name in functions)) if functions else '[gearman]\nlisten = ""\n'
    scheduler = Scheduler(folder, "n0", agent.port, record, {"settings": site}, fronts)
    schedulers.append(scheduler)
    scheduler.start()
    await scheduler.ready()
    await asyncio.sleep(1.0)
    return scheduler, port


async def submit(port: int, function: str, name: str, record: Record) -> bytes | None:
    """Submit a job, named by its unique and workload, in the foreground; its result, None if it has none.

    Parts of the result (WORK_DATA) and what comes with WORK_COMPLETE are put together.
    """
    client = Gearman()
    await client.open(port)
    client.send(SUBMIT_JOB, function.encode(), name.encode(), name.encode())
    result = b""
    while True:
        kind, arguments = await client.receive()
        record.add(f"client: SUBMIT_JOB {function} {name}: {NAMES.get(kind, kind)} "
                   f"{b' '.join(arguments[1:]).decode()}")
        if kind == WORK_DATA:
            result += arguments[1]
        elif kind in (WORK_COMPLETE, WORK_FAIL, ERROR):
            client.close()
            return result + arguments[1] if kind == WORK_COMPLETE else None


async def http(port: int, method: str, target: str, headers: dict[str, str] | None = None,
               body: str = "") -> tuple[int, str]:
    """One HTTP call on a new connection: status and body; status 0 if the connection ends without an answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        lines = "".join(f"{k}: {v}\r\n" for k, v in (headers or {}).items())
        writer.write(f"{method} {target} HTTP/1.1\r\nHost: api.internal\r\n{lines}"
                     f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n{body}".encode())
        data = await reader.read()
    finally:
        writer.close()
    head, _, rest = data.partition(b"\r\n\r\n")
    return (int(head.split()[1]), rest.decode()) if head else (0, "")


def _interrupt(*_: object) -> None:
    raise KeyboardInterrupt


def main(record_path: Path, case: Callable[[Path, Record, list[Scheduler]], Awaitable[bool]]) -> None:
    """Play a case in a temporary folder, with its record, and exit with HELD, BROKEN or NOT_RUN.

    ``case`` returns whether the rule held; it puts each scheduler that it makes into the list, to be ended here.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, _interrupt)  # its processes are ended then too
    record = Record(record_path)
    record.add(f"TROUBLE={int(TROUBLE)}")
    schedulers: list[Scheduler] = []
    verdict = NOT_RUN
    with tempfile.TemporaryDirectory(prefix="gaphub-review-") as folder:
        async def play() -> bool:
            async with asyncio.timeout(LIMIT_S):
                return await case(Path(folder), record, schedulers)
        try:
            verdict = HELD if asyncio.run(play()) else BROKEN
        except (Exception, KeyboardInterrupt) as error:
            record.add(f"the case couldn't run: {error!r}")
        finally:
            for scheduler in schedulers:
                scheduler.end()
    text = {HELD: "the rule held", BROKEN: "the rule was BROKEN", NOT_RUN: "not run"}[verdict]
    record.add(text)
    print(text)
    sys.exit(verdict)
