"""Measures an idle scheduler: the time until it is ready, and its resident memory after that.

It has to start the program as the deployment does, with the fronts file that is shipped.
"""

from __future__ import annotations

import asyncio
import json
import os
import statistics
import subprocess
import tempfile
import time
from pathlib import Path

from .site import SETTINGS
from .stand_ins import Agent, read_head

READY_S = 20.0


async def measure_once(checkout: Path, python: str, port: int, fleet: int = 0) -> tuple[float, float]:
    """Start the program in ``checkout`` once: ms until `/-/ready` answers 200, and MB resident a second later.

    ``fleet``: number of configured peers and workers; the first peer is the scheduler itself.
    """
    agent = Agent([("127.0.0.1", 1 + i) for i in range(fleet)])
    await agent.open()
    peers = {"peer_listen": f"127.0.0.1:{port}", "peers": [
        f"127.0.0.1:{port}", *(f"127.1.{i // 250}.{1 + i % 250}:9" for i in range(1, fleet))]} if fleet else {}
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "config.json"
        file.write_text(json.dumps({
            "name": "n0", "listen": f"127.0.0.1:{port}", "seed": "1",
            "discovery": "{}:{}".format(*agent.address), "limits": {"memory_mb": 64, "sockets": 256},
            "settings": {**SETTINGS, "me": 0, "balancers": max(1, fleet), "limits": {
                **SETTINGS["limits"], "peerMessages": bool(fleet)}}, **peers}))
        env = {**os.environ, "LB_CONFIG": str(file), "PYTHONDONTWRITEBYTECODE": "1"}
        for name in ("LB_FRONTS", "LB_LISTEN", "LB_DISCOVERY", "LB_NAME", "PYTHONPATH"):
            env.pop(name, None)
        started_at = time.monotonic()
        process = subprocess.Popen([python, "-m", "gaphub"], cwd=checkout, env=env, stderr=subprocess.DEVNULL)
        try:
            while not await _ready(port):
                if time.monotonic() - started_at > READY_S or process.poll() is not None:
                    raise TimeoutError(f"{checkout}: the scheduler did not become ready")
                await asyncio.sleep(0.002)
            took = (time.monotonic() - started_at) * 1000.0
            await asyncio.sleep(1.0)
            status = Path(f"/proc/{process.pid}/status").read_text()
            kilobytes = int(status.partition("VmRSS:")[2].split()[0])
        finally:
            process.terminate()
            process.wait()
            agent.close()
    return took, kilobytes / 1024.0


async def _ready(port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    try:
        writer.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        first, _ = await read_head(reader)
        return " 200" in first
    except (OSError, asyncio.IncompleteReadError):
        return False
    finally:
        writer.close()


def measure(checkouts: list[Path], python: str, runs: int, port: int, fleet: int = 0
            ) -> dict[str, tuple[float, float]]:
    """Median ms and MB of each checkout, measured in turns; ``fleet``: number of configured peers and workers."""
    found: dict[str, list[tuple[float, float]]] = {str(checkout): [] for checkout in checkouts}
    for _ in range(runs):
        for checkout in checkouts:
            found[str(checkout)].append(asyncio.run(measure_once(checkout, python, port, fleet)))
    return {name: (statistics.median(x[0] for x in rows), statistics.median(x[1] for x in rows))
            for name, rows in found.items()}
