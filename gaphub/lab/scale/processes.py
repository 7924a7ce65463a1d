"""The processes of a point: the real schedulers and the simulated fleet, each ended through its process handle."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec
import psutil

from ...admin import ask
from ...config import Address
from ...occupancy.status import OccupancyStatus
from ..site import SETTINGS
from ..stand_ins import read_head
from .discovery import CountingAgent, zone_name
from .hollow import FleetCounters, FleetPlan
from .points import FleetMethod, Load
from .sampling import Sample

SOURCE_TREE = Path(__file__).resolve().parents[3]
START_TIMEOUT_S = 30.0  # until a scheduler is ready and has the full list
STATS_TIMEOUT_S = 2.0  # for an answer at the operators' address
STOP_TIMEOUT_S = 3.0  # for a process to exit by itself before it is killed
FLEET_ANSWER_TIMEOUT_S = 20.0  # the simulated fleet first answers when it has filled its tables
HTTP_PORT, OPS_PORT, PEER_PORT = 8_000, 8_001, 7_946  # of a real scheduler
START_ARGUMENTS = {
    FleetMethod.SHARDED: ["-m", "gaphub"],  # the daemon chooses by size
    # The daemon has no setting for all-to-all in a large fleet, so the threshold is patched out of reach.
    FleetMethod.ALL_TO_ALL: ["-c", "from gaphub import __main__\n"
                             "from gaphub.occupancy import sized\n"
                             "sized.LARGE_FROM_WORKERS = 1 << 62\n"
                             "raise SystemExit(__main__.main())"],
}
SOCKET_LIMIT = 1_024  # of a real scheduler
MEMORY_LIMIT_MB = 512


class ProcessError(RuntimeError):
    """A process did not start, or does not answer."""


def simulated_address(index: int) -> Address:
    """The address of a simulated scheduler, in 127.0.0.0/8, which is all loopback on Linux.

    Concurrent runs use different ports, which lie below the ephemeral port range.
    """
    return f"127.1.{index // 250}.{1 + index % 250}", 20_000 + os.getpid() % 12_000


def real_host(number: int) -> str:
    """The host address of a real scheduler.

    Each has an address of its own: a port of 127.0.0.1 that is free when it is chosen may be taken by any
    connection before the scheduler binds it.
    """
    run_id = os.getpid() % 50_000
    return f"127.{2 + run_id // 250}.{1 + run_id % 250}.{1 + number}"


class RealScheduler:
    """A ``python -m gaphub`` process with its own configuration files."""

    def __init__(self, folder: Path, number: int, agent: CountingAgent) -> None:
        self.name = f"n{number}"
        self.number = number
        self.agent = agent
        host = real_host(number)
        self.listen: Address = (host, HTTP_PORT)
        self.ops: Address = (host, OPS_PORT)
        self.peer_listen: Address = (host, PEER_PORT)
        self.folder = folder / self.name
        self.folder.mkdir(parents=True)
        self.process: asyncio.subprocess.Process | None = None
        self.exchange_method = FleetMethod.SHARDED
        self._config: dict[str, Any] = {}

    def configure(self, load: Load, peers: list[Address], peer_price: float, peer_messages: bool,
                  exchange_method: FleetMethod = FleetMethod.SHARDED) -> None:
        """Write its configuration files.

        ``peer_messages``: whether peer messages are allowed.  ``exchange_method``: ``ALL_TO_ALL`` keeps the
        process from changing to the sharded exchange in a large fleet.
        """
        self.exchange_method = exchange_method
        limits = {**SETTINGS["limits"], "peerMessages": peer_messages}
        self._config = {
            "name": self.name, "listen": _format_address(self.listen), "seed": f"{self.number + 1:x}",
            "discovery": _format_address(self.agent.address),
            "limits": {"memory_mb": MEMORY_LIMIT_MB, "sockets": SOCKET_LIMIT},
            "peer_listen": _format_address(self.peer_listen), "peers": [_format_address(p) for p in peers],
            "admin": _format_address(self.ops),
            "known": {"version": 0, "full": True, "servers": []},
            "settings": {**SETTINGS, "me": self.number, "balancers": len(peers), "limits": limits,
                         "zones": [zone_name(z) for z in range(load.zones)], "deductions": {"peer": peer_price},
                         "tenants": [{"quotaPerS": 1_000.0, "share": 1.0 / load.teams}] * load.teams}}
        self._write()
        (self.folder / "fronts.toml").write_text(f'[admin]\nsocket = "{self.folder / "admin.sock"}"\n')

    def _write(self) -> None:
        file = self.folder / "config.json"
        temporary = file.with_suffix(".new")
        temporary.write_text(json.dumps(self._config))
        temporary.replace(file)

    async def start(self) -> None:
        """Start the process."""
        env = {**os.environ, "LB_CONFIG": str(self.folder / "config.json"), "LB_NAME": self.name,
               "LB_FRONTS": str(self.folder / "fronts.toml"), "PYTHONPATH": str(SOURCE_TREE),
               "TMPDIR": str(self.folder)}
        for variable in ("LB_LISTEN", "LB_DISCOVERY", "LB_ADMIN"):
            env.pop(variable, None)
        with open(self.folder / "log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, *START_ARGUMENTS[self.exchange_method], env=env, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL)

    async def wait_ready(self, workers: int) -> None:
        """Wait until the scheduler serves and has this number of workers in its list."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.process is None or self.process.returncode is not None:
                break
            with suppress(ProcessError):
                if (await self.stats())["targets"] == workers:
                    return
            await asyncio.sleep(0.1)
        raise ProcessError(f"{self.name} was not ready: {self.log_tail()}")

    def log_tail(self) -> str:
        """The end of its log."""
        return (self.folder / "log").read_text(errors="replace")[-300:].strip()

    async def stats(self) -> dict[str, Any]:
        """The statistics at the operators' address; ProcessError if it does not answer with 200."""
        try:
            async with asyncio.timeout(STATS_TIMEOUT_S):
                status_line, body = await _http_get(self.ops, "/ops/stats")
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            raise ProcessError(f"{self.name}: {error!r}") from None
        if " 200 " not in status_line:
            raise ProcessError(f"{self.name}: {status_line}")
        stats: dict[str, Any] = json.loads(body)
        return stats

    async def read_usage(self) -> Sample:
        """What the process has used so far; ProcessError if it has ended or does not answer."""
        assert self.process is not None
        try:
            status = await ask(str(self.folder / "admin.sock"), "status")
            process = psutil.Process(self.process.pid)
            cpu_times, resident_bytes = process.cpu_times(), process.memory_info().rss
        except (OSError, TimeoutError, msgspec.DecodeError, psutil.Error) as error:
            raise ProcessError(f"{self.name}: {error!r}: {self.log_tail()}") from None
        return Sample(time.monotonic(), cpu_times.user + cpu_times.system, resident_bytes / 1e6,
                      status["counters"], self.agent.answer_bytes, self.agent.request_bytes)

    async def occupancy(self) -> OccupancyStatus:
        """The state of its occupancy exchange; ProcessError if it does not answer."""
        try:
            return msgspec.convert(await ask(str(self.folder / "admin.sock"), "occupancy"), OccupancyStatus)
        except (OSError, TimeoutError, msgspec.MsgspecError) as error:
            raise ProcessError(f"{self.name}: {error!r}: {self.log_tail()}") from None

    def change_settings(self, serial: int) -> None:
        """Write a configuration that differs from the last one, and make the process reload it."""
        assert self.process is not None
        self._config["settings"]["limits"]["maxRetryAfter"] = 1_001.0 + serial
        self._write()
        self.process.send_signal(signal.SIGHUP)

    async def close(self) -> None:
        """Kill the process and wait for its end."""
        await _stop(self.process, kill=True)


class FleetProcess:
    """The process of the simulated fleet."""

    def __init__(self) -> None:
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, plan: FleetPlan) -> None:
        """Start the process; return once it is ready to send."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "gaphub.lab.scale.hollow_process", cwd=SOURCE_TREE,
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE)
        self._write(msgspec.json.encode(plan))
        await self._answer()

    def _write(self, line: bytes) -> None:
        assert self.process is not None
        assert self.process.stdin is not None
        self.process.stdin.write(line + b"\n")

    async def _answer(self) -> FleetCounters:
        assert self.process is not None
        assert self.process.stdout is not None
        async with asyncio.timeout(FLEET_ANSWER_TIMEOUT_S):
            line = await self.process.stdout.readline()
        if not line:
            raise ProcessError("the simulated fleet has ended")
        return msgspec.json.decode(line, type=FleetCounters)

    async def counters(self) -> FleetCounters:
        """The counters of the fleet since its start."""
        self._write(b"")
        return await self._answer()

    async def close(self) -> None:
        """Close its input, at which the process exits, and wait for its end."""
        if self.process is not None and self.process.stdin is not None:
            self.process.stdin.close()
        await _stop(self.process)


async def _http_get(address: Address, path: str) -> tuple[str, bytes]:
    """The status line and body of the answer to a GET request, on a connection of its own."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {address[0]}\r\n\r\n".encode())
        status_line, headers = await read_head(reader)
        return status_line, await reader.readexactly(int(headers["content-length"]))
    finally:
        writer.close()


async def _stop(process: asyncio.subprocess.Process | None, kill: bool = False) -> None:
    if process is None or process.returncode is not None:
        return
    if not kill:
        with suppress(TimeoutError):
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await process.wait()
    if process.returncode is None:
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()


def _format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
