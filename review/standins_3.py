"""Stand-ins and process handling for the cases 11 to 15, on the standard library alone.

A case is a coroutine that gets a ``Case``.  It starts the project's own programs with the command of the deploy
file, plays clients, workers and discovery, and returns whether the rule held.  ``Case`` ends whatever it started.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
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
LIMIT_S = 112.0  # of a whole case; its script may run for 120 s
READY_S = 20.0
HELD, BROKEN, NOT_RUN = 0, 1, 2

CLASSES: list[dict[str, Any]] = [
    {"name": "poloha", "slo": 500.0, "deadline": 5000.0, "credit": 3.0, "lateWorth": 0.25,
     "idempotency": "idempotent", "group": "all", "window": 5000.0, "streamed": False},
    {"name": "udalost", "slo": 1000.0, "deadline": 10000.0, "credit": 2.0, "lateWorth": 0.3,
     "idempotency": "at_most_once", "group": "all", "window": 5000.0, "streamed": False},
    {"name": "vyuctovani", "slo": 1200.0, "deadline": 20000.0, "credit": 10.0, "lateWorth": 0.3,
     "idempotency": "at_most_once", "group": "all", "window": 5000.0, "streamed": False},
]


def settings(**changes: Any) -> dict[str, Any]:
    """Settings in the form of the wire's page, with the figures of ``sdilena-platforma``."""
    base: dict[str, Any] = {
        "balancers": 1, "me": 0, "callers": {"marksRetry": False}, "domainType": "jobs",
        "deductions": {"crossZone": 0.13, "handshake": 0.02, "lateFail": 0.05, "peer": 0.0096, "probe": 0.0018},
        "familyInfo": {"classKind": [-1, -1, -1], "classPriority": [0, 0, 1], "classStretch": [2.0, 2.0, 2.0],
                       "progress": 0.0, "queueOrder": "fifo", "tellsStart": True},
        "grades": CLASSES, "models": ["stredni"], "zones": ["praha-1"], "zone": 0, "tick": 4.0,
        "limits": {"cancel": True, "connIdle": 60000.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000,
                   "dialTimeout": 150.0, "maxOpen": 20000, "maxRetryAfter": 2000.0, "mostTries": 4,
                   "peerMessages": True, "probes": False, "retryAfter": True, "secondCopies": False,
                   "streamsPerConn": 1},
        "registryMode": "automatic", "report": {"fields": [], "via": "off"},
        "rules": {"answerSlack": 16.0, "askEvery": 10000.0, "drainGrace": 1000.0, "fall": 1000.0,
                  "fallMultiple": 3.0, "startCapacity": 0.31, "warmAfter": 8900.0},
        "tenants": [], "tier": 0, "tiers": ["zpracovani"], "valueBy": "request", "weights": "nominal"}
    return base | changes


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """A port of 127.0.0.1 that is free now."""
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        port: int = s.getsockname()[1]
        return port


class Case:
    """One run of a case: its folder, its record, its processes."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temp = Path(tempfile.mkdtemp(prefix="gaphub-case-"))
        self.began = time.monotonic()
        self._record = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self._processes: list[subprocess.Popen[bytes]] = []
        self.note("case", f"{folder.name}, {'with' if self.trouble else 'without'} the disruption")

    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self.began

    def note(self, who: str, what: str) -> None:
        """Add a line to the record."""
        self._record.write(f"{self.now():8.3f} {who}: {what}\n")
        self._record.flush()

    def start(self, name: str, config: dict[str, Any], fronts: str = "", **env: str) -> subprocess.Popen[bytes]:
        """Start one scheduler as the platform does, by the ``run`` command of the deploy file."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        file = self.temp / f"{name}.json"
        file.write_text(json.dumps({"name": name, "seed": "8c1f30d27a5be964",
                                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}} | config))
        variables = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        (private := self.temp / f"tmp-{config.get('name', name)}").mkdir(exist_ok=True)
        variables |= {"LB_CONFIG": str(file), "LB_NAME": config.get("name", name), "LB_LISTEN": config["listen"],
                      "LB_DISCOVERY": config["discovery"], "TMPDIR": str(private)}
        if fronts:
            path = self.temp / f"{name}.toml"
            path.write_text(fronts)
            variables["LB_FRONTS"] = str(path)
        with open(self.temp / f"{name}.log", "ab") as log:
            process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=variables | env, stdout=log,
                                       stderr=log, stdin=subprocess.DEVNULL)
        self._processes.append(process)
        self.note("platform", f"starts {name}")
        return process

    def command(self, *arguments: str) -> None:
        """Run a command of the program and wait for its end."""
        subprocess.run([str(ROOT / ".venv" / "bin" / "python"), "-m", "gaphub", *arguments], cwd=ROOT, check=True,
                       stdout=subprocess.DEVNULL, timeout=20)

    def log(self, name: str) -> str:
        """What a scheduler has written to its log."""
        return (self.temp / f"{name}.log").read_text(errors="replace")

    async def ready(self, address: tuple[str, int]) -> None:
        """Wait until a scheduler answers its readiness check with 200."""
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            with suppress(OSError, TimeoutError, IndexError, asyncio.IncompleteReadError):
                if (await http(address, "GET", "/-/ready"))[0] == 200:
                    self.note("platform", f"port {address[1]} is ready")
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"port {address[1]} was not ready within {READY_S} s")

    def close(self) -> None:
        """End all processes, and remove the temporary folder."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for log in sorted(self.temp.glob("*.log")):
            text = log.read_text(errors="replace")
            self._record.write(f"--- the end of {log.name}\n{text[-1500:]}\n")
        self._record.close()
        shutil.rmtree(self.temp, ignore_errors=True)


def main(file: str, play: Callable[[Case], Awaitable[bool]]) -> None:
    """Run a case and exit with 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    case = Case(Path(file).resolve().parent)
    result = NOT_RUN
    try:
        held = asyncio.run(asyncio.wait_for(play(case), LIMIT_S))
        result = HELD if held else BROKEN
    except Exception as error:
        case.note("case", f"could not run: {error!r}")
    case.note("case", ("the rule held", "the rule was BROKEN", "the case could not run")[result])
    case.close()
    sys.exit(result)


# -- HTTP --

async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """The start line, the headers by lower-case name, and the body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
    return first, headers, await reader.readexactly(int(headers.get("content-length", "0")))


async def http(address: tuple[str, int], method: str, target: str, headers: dict[str, str] | None = None,
               body: bytes = b"", within_s: float = 30.0) -> tuple[int, bytes]:
    """One call on a new connection: status and body; ``ConnectionError`` if it ends without an answer."""
    async with asyncio.timeout(within_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [f"{method} {target} HTTP/1.1", "Host: api.internal", f"Content-Length: {len(body)}",
                     *(f"{k}: {v}" for k, v in (headers or {}).items())]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            try:
                first, _, answer = await read_message(reader)
            except asyncio.IncompleteReadError:
                raise ConnectionResetError("no answer") from None
            return int(first.split()[1]), answer
        finally:
            writer.close()


def job_headers(ident: str, class_name: str, timeout_ms: int) -> dict[str, str]:
    """The headers of a job."""
    return {"X-Request-ID": ident, "X-Priority-Class": class_name, "X-Timeout": f"{timeout_ms}m"}


class Server:
    """Something that listens on a port of its own."""

    def __init__(self, case: Case, name: str) -> None:
        self.case = case
        self.name = name
        self.address = ("127.0.0.1", 0)
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    @property
    def where(self) -> str:
        """The address as text."""
        return f"{self.address[0]}:{self.address[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await self.one(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle one request."""
        raise NotImplementedError


class Agent(Server):
    """Discovery.  ``delay_s``: how long a call waits for its turn at the service, besides a watch's own wait."""

    def __init__(self, case: Case) -> None:
        super().__init__(case, "discovery")
        self.entries: dict[str, tuple[int, dict[str, Any]]] = {}
        self.version = 1
        self.delay_s = 0.0
        self.told: list[tuple[float, int]] = []  # when an answer was written whole, and its version

    def put(self, name: str, address: tuple[str, int], state: str = "active") -> None:
        """Add or change an entry."""
        self.version += 1
        self.entries[name] = self.version, {
            "id": name, "addr": f"{address[0]}:{address[1]}", "zone": "praha-1", "kind": "stredni", "cell": 0,
            "state": state, "weight": 1.0, "started_ms": 0}
        self.case.note("discovery", f"version {self.version}: {name} is {state}")

    def known(self) -> dict[str, Any]:
        """The whole list."""
        return {"version": self.version, "full": True, "servers": [entry for _, entry in self.entries.values()]}

    async def one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer a call for the list, or a watch once something is newer or its wait is over."""
        first, _, _ = await read_message(reader)
        query = dict(p.split("=") for p in first.split()[1].partition("?")[2].split("&") if p)
        came = self.case.now()
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        answer = self.known()
        if "index" in query:
            index, until = int(query["index"]), time.monotonic() + float(query["wait"]) / 1000.0
            while self.version <= index and time.monotonic() < until:
                await asyncio.sleep(0.01)
            answer = {"version": self.version, "full": False, "servers": [
                entry for version, entry in self.entries.values() if version > index]}
        body = json.dumps(answer).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()
        gone = reader.at_eof() or writer.is_closing()
        if answer["servers"] or self.delay_s:
            self.case.note("discovery", f"{first.split()[1]} came at {came:.3f}, answered with version"
                                        f" {answer['version']}{', its caller has left' if gone else ''}")
        if not gone:
            self.told.append((self.case.now(), answer["version"]))


class Worker(Server):
    """A worker: begins a job with its last byte, and goes on with it whatever becomes of the connection."""

    def __init__(self, case: Case, name: str, work_s: float = 0.05) -> None:
        super().__init__(case, name)
        self.work_s = work_s
        self.runs: list[tuple[float, str, bytes]] = []  # when it began, the request's id and its body
        self.first_bytes: list[tuple[float, str]] = []

    async def one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Take one request and answer it."""
        first_byte = await reader.readexactly(1)
        at = self.case.now()
        head = (first_byte + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        headers = {k.strip().lower(): v.strip() for k, _, v in (x.partition(":") for x in head.split("\r\n")[1:])}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        if not head.startswith("POST"):
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        ident = headers["x-request-id"]
        self.first_bytes.append((at, ident))
        await self.run(ident, body, writer)

    async def run(self, ident: str, body: bytes, writer: asyncio.StreamWriter) -> None:
        """Run a job and answer with its result."""
        self.runs.append((self.case.now(), ident, body))
        self.case.note(self.name, f"begins {ident} {body.decode()}")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     + chunk({"id": ident, "from": self.name, "state": "started"}))
        await asyncio.sleep(self.work_s)
        self.case.note(self.name, f"has done {ident} {body.decode()}")
        writer.write(chunk({"id": ident, "from": self.name, "state": "done", "result": "of " + body.decode()})
                     + b"0\r\n\r\n")
        await writer.drain()


def chunk(line: dict[str, Any]) -> bytes:
    """One line of a worker's answer, as a chunk."""
    text = json.dumps(line) + "\n"
    return f"{len(text):x}\r\n{text}\r\n".encode()


# -- Gearman --

CAN_DO, PRE_SLEEP, NOOP, SUBMIT_JOB, JOB_CREATED, GRAB_JOB, NO_JOB, JOB_ASSIGN = 1, 4, 6, 7, 8, 9, 10, 11
WORK_COMPLETE, WORK_FAIL, SUBMIT_JOB_BG, ERROR, WORK_EXCEPTION, WORK_DATA = 13, 14, 18, 19, 25, 28
NAMES = {1: "CAN_DO", 4: "PRE_SLEEP", 6: "NOOP", 7: "SUBMIT_JOB", 8: "JOB_CREATED", 9: "GRAB_JOB", 10: "NO_JOB",
         11: "JOB_ASSIGN", 13: "WORK_COMPLETE", 14: "WORK_FAIL", 18: "SUBMIT_JOB_BG", 19: "ERROR",
         25: "WORK_EXCEPTION", 28: "WORK_DATA"}


class Gearman:
    """One connection to the Gearman front."""

    def __init__(self, case: Case, name: str) -> None:
        self.case = case
        self.name = name

    async def connect(self, address: tuple[str, int]) -> Gearman:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(*address)
        return self

    def send(self, kind: int, *arguments: bytes) -> None:
        """Send a packet."""
        data = b"\0".join(arguments)
        self.case.note(self.name, f"sends {NAMES.get(kind, kind)} {arguments}")
        self.writer.write(struct.pack(">4sII", b"\0REQ", kind, len(data)) + data)

    async def receive(self, within_s: float = 60.0) -> tuple[int, list[bytes]]:
        """The next packet."""
        async with asyncio.timeout(within_s):
            _, kind, size = struct.unpack(">4sII", await self.reader.readexactly(12))
            arguments = (await self.reader.readexactly(size)).split(b"\0") if size else []
        self.case.note(self.name, f"gets {NAMES.get(kind, kind)} {arguments}")
        return kind, arguments

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()
