"""The scenario language of the network tests: send, expect, close, wait.

A scenario is lines of ``ACTOR VERB REST``.  Actors: ``c``, ``c2`` ... are clients (they connect when first used);
``w`` and ``x`` are workers, ``d`` and ``d2`` discovery agents (each listens; its current connection is the newest
that it has not closed); ``g``, ``g2`` ... speak the binary Gearman protocol and ``a`` its text protocol; ``o``,
``o2`` ... are operators at the admin address (if ``admin`` is given); ``u`` is a peer.  ``#`` starts a comment.

    send    a macro of that actor (see ``Harness.render``), or bytes with escapes
    expect  a regular expression in what the actor has received since its last expect; ``#N`` at its start
            stands for the head of a Gearman packet of type N; a named group is stored as ``$NAME``
    same    a stored group matches a regular expression (``same $NAME PATTERN``); ``lacks``: it does not
    close   end the connection; ``expect-close`` waits until the other side ends it
    early   before ``send`` or ``close`` of a worker: do it before the last byte of the request has come;
            without it, after that byte
    shut    end the sending direction only; ``flood N``: send N bytes that belong to no message
    pieces  send a message in pieces; ``half``: only its first half
    silent  nothing has come since the last expect; ``old-close``: the connection before ``next`` ends
    next    a listening actor continues with its next connection and leaves the current one open
    wait    ``wait MS``; ``term``: the effect of SIGTERM; ``ended``: wait until the scheduler has ended;
            ``reload ACTOR``: the effect of SIGHUP, with that actor as the new agent (``faulty``: with a file
            that cannot be parsed); ``count NAME N``: wait until a counter has this value; ``hold W``:
            connections to that actor are not established until ``release W``
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import socket
import struct
from contextlib import suppress
from typing import Any

from gaphub import config as conf
from gaphub.__main__ import ConfigReloader, serve
from gaphub.metrics import Counters
from gaphub.net import http

CLASSES = [
    {"name": "poloha", "slo": 500.0, "deadline": 5000.0, "idempotency": "idempotent"},
    {"name": "vyuctovani", "slo": 1200.0, "deadline": 20000.0, "idempotency": "at_most_once"},
]
SETTINGS: dict[str, Any] = {
    "balancers": 1, "me": 0, "zones": ["a"], "models": ["m"], "tick": 4.0, "grades": CLASSES,
    "familyInfo": {"tellsStart": True, "reportX0": "free slots"},
    "limits": {"mostTries": 4, "dialTimeout": 150.0, "secondCopies": False, "connIdle": 60000.0},
    "report": {"fields": ["queue", "x0"], "via": "off"}, "rules": {"startCapacity": 0.3},
}
REASONS = {200: "OK", 400: "B", 500: "E", 503: "U", 504: "T"}


class Side:
    """One end of a connection, with the received bytes that no expect has consumed."""

    def __init__(self) -> None:
        self.received = b""
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.previous: list[Any] = []  # earlier connections, still open
        self.accepted: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()

    async def ready(self) -> None:
        """Wait until there is a current connection."""
        if self.writer is None:
            self.reader, self.writer = await self.accepted.get()
            self.received = b""

    async def expect(self, pattern: str) -> dict[str, str]:
        await self.ready()
        assert self.reader is not None
        while True:
            found = re.search(pattern.encode("latin-1"), self.received, re.S)
            if found:
                self.received = self.received[found.end():]
                return {k: v.decode("latin-1") for k, v in found.groupdict().items()}
            data = await self.reader.read(65536)
            assert data, f"connection closed before {pattern!r}; received {self.received!r}"
            self.received += data

    async def read_to_end(self) -> None:
        await self.ready()
        assert self.reader is not None
        with suppress(ConnectionError):
            while data := await self.reader.read(65536):
                self.received += data

    def close(self) -> None:
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


class Harness:
    """A scheduler in this process with stand-ins for all its partners, on loopback."""

    def __init__(self, **overrides: Any) -> None:
        self.overrides = overrides
        self.sides: dict[str, Side] = {}
        self.servers: list[asyncio.Server] = []
        self.ports: dict[str, int] = {}
        self.counters = Counters()
        self.groups: dict[str, str] = {}
        self.stop = asyncio.Event()
        self.held_ports: dict[int, asyncio.Event] = {}  # connections to these ports wait for the event

    async def _open_when_released(self, host: str, port: int, **more: Any
                                  ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if port in self.held_ports:
            await self.held_ports[port].wait()
        return await self._connect(host, port, **more)

    async def _listen(self, name: str) -> None:
        side = self.sides[name] = Side()

        async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            side.accepted.put_nowait((reader, writer))

        server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
        self.servers.append(server)
        self.ports[name] = server.sockets[0].getsockname()[1]

    async def __aenter__(self) -> Harness:
        for name in ("w", "x", "d", "d2"):
            await self._listen(name)
        self._connect = asyncio.open_connection
        asyncio.open_connection = self._open_when_released  # type: ignore[assignment]
        known = self.overrides.pop("known", "w")
        settings = {**SETTINGS, **self.overrides.pop("settings", {})}
        fronts = self.overrides.pop("fronts", "").replace("PORT", str(free_port()))
        file = {
            "name": "n0", "listen": f"127.0.0.1:{free_port()}", "seed": "a1", "settings": settings,
            "discovery": f"127.0.0.1:{self.ports['d']}",
            "known": {"version": 41, "full": True, "servers": [self.entry(n) for n in known.split()]},
            **self.overrides,
        }
        self.file = json.dumps(file).encode()
        self.config = conf.from_text(self.file, {}, fronts)
        env = {"LB_DISCOVERY": file["discovery"]}  # of the start; in a reload the file takes precedence
        self.reload = ConfigReloader(self.config, lambda: conf.from_text(self.file, env, fronts, is_reload=True),
                             self.counters)
        self.task = asyncio.create_task(serve(self.config, self.counters, self.stop, self.reload))
        for _ in range(500):
            if self.counters.values["ready"]:
                break
            await asyncio.sleep(0.005)
        return self

    async def __aexit__(self, *_: object) -> None:
        for side in self.sides.values():
            side.close()
        self.task.cancel()
        await asyncio.wait([self.task])
        for server in self.servers:
            server.close()
        asyncio.open_connection = self._connect

    def entry(self, name: str, state: str = "active") -> dict[str, Any]:
        """An entry of the worker list; ``state`` may carry the worker's start time in ms after an ``@``."""
        state, _, started = state.partition("@")
        return {"id": f"s-{name}", "addr": f"127.0.0.1:{self.ports[name]}", "zone": "a", "kind": "m",
                "cell": 0, "state": state, "weight": 1.0, "started_ms": float(started or 0)}

    async def side(self, name: str) -> Side:
        if name not in self.sides:
            side = self.sides[name] = Side()
            address = (self.config.fronts.gearman_address() if name[0] in "ga" else
                  self.config.admin if name[0] == "o" else self.config.listen)
            assert address is not None
            side.reader, side.writer = await asyncio.open_connection(*address)
        return self.sides[name]

    def render(self, name: str, text: str) -> bytes:
        """The bytes of a ``send``: a macro, or the text with its escapes resolved."""
        word, _, rest = text.partition(" ")
        if word == "job":  # job CLASS ID [BODY] [Header:value ...]
            class_name, request_id, *more = rest.split()
            body = "".join(m for m in more if ":" not in m)
            lines = [f"POST /api?q=1 HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {request_id}",
                     f"X-Priority-Class: {class_name}", f"Content-Length: {len(body)}",
                     *(m.replace(":", ": ", 1) for m in more if ":" in m)]
            if not any(m.startswith("X-Timeout") for m in more):
                lines.append("X-Timeout: 5000m")
            return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()
        if word == "lines":  # lines ID STATE|done=RESULT ... [.]: a chunked answer with status 200; '.' ends it
            request_id, *states = rest.split()
            out = b"" if request_id == "+" else b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            for state in states:
                if state == ".":
                    out += b"0\r\n\r\n"
                    continue
                key, _, result = state.partition("=")
                line: dict[str, Any] = {"state": key} | ({"result": result} if result else {})
                data = json.dumps(line).encode() + b"\n"
                out += f"{len(data):x}\r\n".encode() + data + b"\r\n"
            return out
        if word == "status":  # status CODE [Header:value ...] [body=TEXT]
            code, *more = rest.split()
            body = "".join(m[5:] for m in more if m.startswith("body="))
            head = "".join(m.replace(":", ": ", 1) + "\r\n" for m in more if not m.startswith("body="))
            return (f"HTTP/1.1 {code} {REASONS[int(code)]}\r\nContent-Length: {len(body)}\r\n{head}\r\n"
                    f"{body}").encode()
        if word == "list":  # list VERSION full|changes NAME=STATE ...
            version, extent, *states = rest.split()
            servers = [self.entry(*s.split("=")) for s in states]
            text = json.dumps({"version": int(version), "full": extent == "full", "servers": servers})
            return f"HTTP/1.1 200 OK\r\nContent-Length: {len(text)}\r\n\r\n{text}".encode()
        if word == "call":  # call METHOD PATH [BODY]: a request of an operator
            method, path, *more = rest.split()
            body = "".join(more)
            return f"{method} {path} HTTP/1.1\r\nHost: o\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
        data = text.encode().decode("unicode_escape").encode("latin-1")
        if name[0] == "g" and word.isdecimal():  # TYPE ARGUMENTS, with | for NUL: a Gearman packet
            packet = data.partition(b" ")[2].replace(b"|", b"\0")
            return b"\0REQ" + struct.pack(">II", int(word), len(packet)) + packet
        return data

    async def play(self, text: str) -> None:
        """Play a scenario; a step that takes longer than five seconds fails."""
        for number, line in enumerate(text.strip().splitlines(), 1):
            step = line.strip()
            if step and not step.startswith("#"):
                try:
                    async with asyncio.timeout(5.0):
                        await self._step(step)
                except (TimeoutError, AssertionError, ConnectionError) as error:
                    counters = self.counters.snapshot()
                    raise AssertionError(f"line {number}: {step}: {error!r} {counters}") from None

    async def _step(self, step: str) -> None:
        actor, _, rest = step.partition(" ")
        if actor == "wait":
            await asyncio.sleep(float(rest) / 1000.0)
        elif actor == "term":
            self.stop.set()
        elif actor == "reload":
            new = {**json.loads(self.file), "discovery": f"127.0.0.1:{self.ports.get(rest, 0)}"}
            self.file = b"{" if rest == "faulty" else json.dumps(new).encode()
            self.reload.requested.set()
        elif actor == "ended":
            await asyncio.wait([self.task])
        elif actor == "hold":
            self.held_ports[self.ports[rest]] = asyncio.Event()
        elif actor == "release":
            self.held_ports.pop(self.ports[rest]).set()
        elif actor == "count":
            name, value = rest.split()
            while self.counters.values[name] != int(value):
                await asyncio.sleep(0.01)
        else:
            side = await self.side(actor)
            verb, _, rest = rest.partition(" ")
            if verb == "early":
                verb, _, rest = rest.partition(" ")
            elif actor in "wx" and verb in ("send", "close"):
                await asyncio.sleep(2 * http.LAST_BYTE_DELAY_S)
            if verb in ("pieces", "half"):  # cut in the start line, in the middle and before the last byte
                await side.ready()
                assert side.writer is not None
                data = self.render(actor, rest)
                cuts = [0, 10, len(data) // 2, *([len(data) - 1, len(data)] if verb == "pieces" else [])]
                for start, end in zip(cuts, cuts[1:], strict=False):
                    side.writer.write(data[start:end])
                    await side.writer.drain()
                    await asyncio.sleep(0.02)
            elif verb == "send":
                await side.ready()
                assert side.writer is not None
                for name, value in self.groups.items():
                    rest = rest.replace(f"${name}", value)
                side.writer.write(self.render(actor, rest))
                await side.writer.drain()
            elif verb == "expect":
                if rest.startswith("#"):
                    packet_type, _, rest = rest[1:].partition(" ")
                    rest = f"\\x00RES\\x00\\x00\\x00\\x{int(packet_type):02x}.{{4}}{rest}"
                self.groups |= await side.expect(rest)
            elif verb in ("same", "lacks"):
                name, _, pattern = rest.partition(" ")
                found = re.search(pattern, self.groups[name[1:]], re.I | re.S)
                assert bool(found) == (verb == "same"), self.groups[name[1:]]
            elif verb == "expect-close":
                await side.read_to_end()
            elif verb == "shut":
                await side.ready()
                assert side.writer is not None
                side.writer.write_eof()
            elif verb == "flood":
                assert side.writer is not None
                side.writer.write(b"x" * int(rest))
            elif verb == "silent":
                assert side.writer is not None or side.accepted.empty(), "a connection was accepted"
                assert not side.received, side.received
            elif verb == "old-close":
                with suppress(ConnectionError):
                    while await side.previous[-1][0].read(65536):
                        pass
            elif verb == "next":
                side.previous.append((side.reader, side.writer))
                side.reader = side.writer = None
                await side.ready()
            elif verb == "close":
                side.close()
                if actor not in self.ports:
                    del self.sides[actor]
            else:
                raise AssertionError(f"unknown verb: {verb}")


# Ports for schedulers that tests start.  They lie below the ephemeral range (32768 and up on Linux), from which
# the kernel assigns ports to bind(0) and to outbound connections: no connection of another test can take one
# between the test's choice and the scheduler's bind.  Each test process starts at a different port, far from those
# of processes started just before or after it, so that concurrent runs do not choose the same ports.
FIRST_PORT, PORTS_END, PORT_STRIDE = 20000, 32768, 4099
_next_port = [FIRST_PORT + os.getpid() * PORT_STRIDE % (PORTS_END - FIRST_PORT)]


def free_port() -> int:
    """A loopback port, free for TCP and UDP, that this process has not returned recently."""
    for _ in range(PORTS_END - FIRST_PORT):
        port = _next_port[0]
        _next_port[0] = port + 1 if port + 1 < PORTS_END else FIRST_PORT
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as s:
                    s.bind(("127.0.0.1", port))
        except OSError:
            continue
        return port
    raise OSError("no free port of loopback below the ephemeral range")


def play(text: str, **more: Any) -> None:
    """Run one scenario against a new scheduler."""

    async def run() -> None:
        async with Harness(**more) as harness:
            await harness.play(text)

    asyncio.run(run())


__all__ = ["CLASSES", "SETTINGS", "Harness", "play"]
