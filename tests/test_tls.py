"""TLS of the Gearman front end: client verification, certificate reload, invalid files; and idle sessions."""

from __future__ import annotations

import asyncio
import gc
import socket
import ssl
import time
from pathlib import Path

import pytest
from click.testing import CliRunner

from gaphub import config
from gaphub.cli import gaphub
from gaphub.gearman import tls
from gaphub.gearman.codec import ECHO_REQ, REQUEST, pack

from .scenario import Harness, play

FRONTS = """
[gearman]
listen = "127.0.0.1:PORT"
functions = {{ pos = "poloha" }}
tls_cert = "{0}/server.pem"
tls_key = "{0}/server.key"
"""
IDLE_FRONT = """
[gearman]
listen = "127.0.0.1:PORT"
functions = { pos = "poloha" }
idle_s = 0.3
"""
STALL_S = 0.5  # longer than ``idle_s`` of IDLE_FRONT
ECHO = pack(ECHO_REQ, b"hello", magic=REQUEST)


def client_context(folder: Path, name: str = "", max_version: ssl.TLSVersion | None = None) -> ssl.SSLContext:
    context = ssl.create_default_context(cafile=str(folder / "ca.pem"))
    if name:
        context.load_cert_chain(folder / f"{name}.pem", folder / f"{name}.key")
    if max_version is not None:
        context.maximum_version = max_version
    return context


async def echo(harness: Harness, context: ssl.SSLContext | None) -> bytes:
    """The answer to an echo request; empty if the session is closed instead."""
    address = harness.config.fronts.gearman_address()
    assert address is not None
    try:
        async with asyncio.timeout(8.0):
            reader, writer = await asyncio.open_connection(*address, ssl=context)
            writer.write(ECHO)
            return await reader.read(100)
    except (ssl.SSLError, ConnectionError):
        return b""


def make_certificates(folder: Path, *clients: str) -> Path:
    arguments = [w for c in clients for w in ("--client", c)]
    result = CliRunner().invoke(gaphub, ["key", "cert", "--dir", str(folder), *arguments])
    assert result.exit_code == 0, result.output
    return folder


def test_who_is_let_in(tmp_path: Path) -> None:
    first, second = make_certificates(tmp_path / "a", "ann"), make_certificates(tmp_path / "b", "eve")
    fronts = FRONTS.format(first) + f'tls_ca = "{first}/ca.pem"\ntls_minimum = "1.3"\n'

    async def run() -> None:
        async with Harness(fronts=fronts) as harness:
            mixed = client_context(first)
            mixed.load_cert_chain(second / "eve.pem", second / "eve.key")
            assert b"hello" in await echo(harness, client_context(first, "ann"))
            assert await echo(harness, client_context(first)) == b"", "without a certificate"
            assert await echo(harness, mixed) == b"", "with a certificate of another CA"
            assert await echo(harness, client_context(first, "ann", ssl.TLSVersion.TLSv1_2)) == b"", "with TLS 1.2"
            assert b"hello" not in await echo(harness, None), "without TLS"
            with pytest.raises(AssertionError):
                await harness.play("count connections.gearman 2")  # only the first client got a session

    asyncio.run(run())


def test_a_reload_takes_new_certificates_and_drops_no_session(tmp_path: Path) -> None:
    first, second = make_certificates(tmp_path / "a"), make_certificates(tmp_path / "b")

    async def run() -> None:
        async with Harness(fronts=FRONTS.format(first)) as harness:
            address = harness.config.fronts.gearman_address()
            assert address is not None
            reader, writer = await asyncio.open_connection(*address, ssl=client_context(first))
            (first / "server.key").write_text("nonsense")
            harness.reload.requested.set()
            await harness.play("count gearman.tls_not_reloaded 1")
            assert b"hello" in await echo(harness, client_context(first)), "the old certificate stays in use"
            for name in ("server.pem", "server.key"):
                (first / name).write_bytes((second / name).read_bytes())
            harness.reload.requested.set()
            await harness.play("count gearman.tls_reloaded 1")
            assert b"hello" in await echo(harness, client_context(second))
            assert await echo(harness, client_context(first)) == b""
            writer.write(ECHO)
            assert b"hello" in await reader.read(100), "a session opened before the reload goes on"
            writer.close()

    asyncio.run(run())


@pytest.mark.parametrize(("change", "key"), [
    ("open", "tls_key"), ("gone", "tls_key"), ("broken", "tls_cert"), ("no ca", "tls_ca")])
def test_faulty_files_are_refused_by_their_key(tmp_path: Path, change: str, key: str) -> None:
    folder = make_certificates(tmp_path / "a")
    front = config.GearmanConfig(tls_cert=f"{folder}/server.pem", tls_key=f"{folder}/server.key")
    assert tls.server_context(front) is not None
    secret = (folder / "server.key").read_text()
    if change == "open":
        (folder / "server.key").chmod(0o640)
    elif change == "gone":
        (folder / "server.key").unlink()
    elif change == "broken":
        (folder / "server.pem").write_text("x")
    else:
        front = config.GearmanConfig(tls_cert=front.tls_cert, tls_key=front.tls_key, tls_ca=f"{folder}/none")
    with pytest.raises(config.ConfigError, match=f"gearman.{key}") as caught:
        tls.server_context(front)
    assert secret.splitlines()[1] not in str(caught.value)


# Guards against small packets held back until the peer's ACK (Nagle's algorithm), which cost 40 ms per job in
# ``gaphub lab gearman``.
def test_sessions_send_small_packets_at_once(tmp_path: Path) -> None:
    async def run() -> None:
        async with Harness(fronts=FRONTS.format(make_certificates(tmp_path))) as harness:
            address = harness.config.fronts.gearman_address()
            assert address is not None
            _, writer = await asyncio.open_connection(*address, ssl=client_context(tmp_path))
            server_sockets: list[socket.socket] = []
            async with asyncio.timeout(5.0):
                while not server_sockets:
                    await asyncio.sleep(0.01)
                    server_sockets = [obj for obj in gc.get_objects()
                                      if isinstance(obj, socket.socket) and obj.fileno() >= 0
                                      and _local_port(obj) == address[1] and _has_peer(obj)]
            assert all(s.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) for s in server_sockets)
            writer.close()

    asyncio.run(run())


def _local_port(s: socket.socket) -> int:
    return int(s.getsockname()[1]) if s.family == socket.AF_INET else 0


def _has_peer(s: socket.socket) -> bool:
    try:
        return bool(s.getpeername())
    except OSError:
        return False


def test_certificates_are_never_written_over(tmp_path: Path) -> None:
    make_certificates(tmp_path)
    assert CliRunner().invoke(gaphub, ["key", "cert", "--dir", str(tmp_path)]).exit_code == 2


# Guards against closing a session as idle after a stall of this process during which the peer sent a packet.
def test_a_session_whose_packet_lies_in_the_kernel_when_its_idle_time_ends_is_served() -> None:
    async def run() -> None:
        async with Harness(fronts=IDLE_FRONT, known="") as harness:
            address = harness.config.fronts.gearman_address()
            assert address is not None
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"version\n")
            assert await reader.readline()
            writer.write(b"version\n")
            time.sleep(STALL_S)  # stalls the whole process
            assert await reader.readline()  # empty if the session was closed
            writer.close()

    asyncio.run(run())


def test_idle_sessions_end_but_not_those_that_wait_or_sleep() -> None:
    play("""
        g send 7 pos||x
        g expect #8
        g2 send 1 other
        g2 send 4
        g3 send 16 x
        g3 expect #17
        g3 expect-close
        count gearman.idle_closed 1
        g send 16 y
        g expect #17 y
        g2 send 16 z
        g2 expect #17 z
    """, fronts=IDLE_FRONT, known="")
