"""A planned restart while clients write their requests slowly, as some of them do."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s

CLIENTS = 6
WRITING_S = 1.9  # from the first byte of a request to its last; the page names 2 s
PIECES = 8
WORK_S = 2.4  # of running: vyuctovani takes 1.3 to 2.4 s on average
# SIGKILL comes no sooner than the longest deadline (counted as 3 s) and 0.7 s after SIGTERM; 50 ms on sockets.
KILL_AFTER_S = 3.75
OWED_AFTER_S = 0.7  # a request that came later than this after SIGTERM and is unanswered at SIGKILL is lost


class Client:
    """One client with one request on a new connection."""

    def __init__(self, case: s.Case, port: int, number: int) -> None:
        self.case = case
        self.port = port
        self.ident = f"slow-{number}"
        self.came_at = 0.0  # when its last byte was written
        self.status = 0
        self.ended = ""

    async def run(self) -> None:
        """Write the request in pieces, and wait for its answer."""
        body = b"b" * 200
        data = (f"POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {self.ident}\r\n"
                f"X-Priority-Class: vyuctovani\r\nX-Timeout: 20000m\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            self.case.note(f"client: {self.ident} begins to write")
            size = -(-len(data) // PIECES)
            for i in range(PIECES):
                if i:
                    await asyncio.sleep(WRITING_S / (PIECES - 1))
                if reader.at_eof():
                    break
                writer.write(data[i * size:(i + 1) * size])
                await writer.drain()
            else:
                self.came_at = time.monotonic()
                self.case.note(f"client: {self.ident} has written its last byte")
            head = await reader.readuntil(b"\r\n\r\n")
            self.status = int(head.split()[1])
            self.ended = f"answered {self.status}"
        except (OSError, asyncio.IncompleteReadError) as error:
            self.ended = f"no answer, the connection ended ({type(error).__name__})"
        self.case.note(f"client: {self.ident} {self.ended}")


async def play(case: s.Case) -> int:
    """Play the case; the exit code."""
    workers = s.HttpWorkers(case, ["rychly", "stredni", "pomaly"], WORK_S)
    await workers.open()
    agent = s.Agent(workers.listed)
    await agent.open()
    port = s.free_port()
    settings = s.settings(probes=False, peerMessages=False)
    settings["report"] = {"fields": [], "via": "off"}
    process = case.scheduler("n1", {
        "listen": f"127.0.0.1:{port}", "seed": "1", "discovery": f"127.0.0.1:{agent.port}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"version": 1, "full": True, "servers": workers.listed}, "settings": settings})
    if not await s.ready(port):
        case.note("the scheduler did not become ready")
        return s.NOT_RUN
    clients = [Client(case, port, i) for i in range(CLIENTS)]
    tasks = []
    for client in clients:  # the last of them begins 0.1 s before the restart
        tasks.append(asyncio.create_task(client.run()))
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.05)
    term_at = time.monotonic()
    if s.TROUBLE:
        process.send_signal(signal.SIGTERM)
        case.note("SIGTERM")
        await s.until(lambda: process.poll() is not None, KILL_AFTER_S - (time.monotonic() - term_at), 0.005)
        if process.poll() is None:
            process.kill()
            case.note(f"SIGKILL, {time.monotonic() - term_at:.3f} s after SIGTERM")
        else:
            case.note(f"the scheduler has ended, {time.monotonic() - term_at:.3f} s after SIGTERM")
    await asyncio.wait(tasks, timeout=25.0)
    if not any(client.came_at for client in clients):
        case.note("no request came whole")
        return s.NOT_RUN
    owed = [c for c in clients if c.came_at and (not s.TROUBLE or c.came_at > term_at + OWED_AFTER_S + 0.05)]
    lost = [c for c in owed if not c.status]
    case.note(f"{len(owed)} requests came whole (with SIGTERM: over {OWED_AFTER_S:g} s after it), {len(lost)} of "
              f"them got no answer: {' '.join(c.ident for c in lost)}")
    return s.BROKEN if lost else s.HELD


s.main(Path(__file__).resolve().parent / "record.txt", play)
