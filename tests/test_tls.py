"""TLS on the Gearman front: who is let in, what a reload changes, what files are refused; idle sessions."""

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

from .scenario import Cast, play

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
HELD_UP_S = 0.5  # longer than a session may idle there
ECHO = pack(ECHO_REQ, b"hello", magic=REQUEST)


def client(folder: Path, name: str = "", most: ssl.TLSVersion | None = None) -> ssl.SSLContext:
    made = ssl.create_default_context(cafile=str(folder / "ca.pem"))
    if name:
        made.load_cert_chain(folder / f"{name}.pem", folder / f"{name}.key")
    if most is not None:
        made.maximum_version = most
    return made


async def echo(cast: Cast, context: ssl.SSLContext | None) -> bytes:
    """What comes back for an echo; empty where the session ends instead."""
    to = cast.config.fronts.gearman_address()
    assert to is not None
    try:
        async with asyncio.timeout(8.0):
            reader, writer = await asyncio.open_connection(*to, ssl=context)
            writer.write(ECHO)
            return await reader.read(100)
    except (ssl.SSLError, ConnectionError):
        return b""


def make(folder: Path, *clients: str) -> Path:
    words = [w for c in clients for w in ("--client", c)]
    done = CliRunner().invoke(gaphub, ["key", "cert", "--dir", str(folder), *words])
    assert done.exit_code == 0, done.output
    return folder


def test_who_is_let_in(tmp_path: Path) -> None:
    one, other = make(tmp_path / "a", "ann"), make(tmp_path / "b", "eve")
    fronts = FRONTS.format(one) + f'tls_ca = "{one}/ca.pem"\ntls_minimum = "1.3"\n'

    async def run() -> None:
        async with Cast(fronts=fronts) as cast:
            mixed = client(one)
            mixed.load_cert_chain(other / "eve.pem", other / "eve.key")
            assert b"hello" in await echo(cast, client(one, "ann"))
            assert await echo(cast, client(one)) == b"", "no certificate"
            assert await echo(cast, mixed) == b"", "of another CA"
            assert await echo(cast, client(one, "ann", ssl.TLSVersion.TLSv1_2)) == b"", "too old"
            assert b"hello" not in await echo(cast, None), "a plain client"
            with pytest.raises(AssertionError):
                await cast.play("count connections.gearman 2")  # only the first became a session

    asyncio.run(run())


def test_a_reload_takes_new_certificates_and_drops_no_session(tmp_path: Path) -> None:
    one, other = make(tmp_path / "a"), make(tmp_path / "b")

    async def run() -> None:
        async with Cast(fronts=FRONTS.format(one)) as cast:
            to = cast.config.fronts.gearman_address()
            assert to is not None
            reader, writer = await asyncio.open_connection(*to, ssl=client(one))
            (one / "server.key").write_text("nonsense")
            cast.reload.requested.set()
            await cast.play("count gearman.tls_not_reloaded 1")
            assert b"hello" in await echo(cast, client(one)), "the old one stays"
            for name in ("server.pem", "server.key"):
                (one / name).write_bytes((other / name).read_bytes())
            cast.reload.requested.set()
            await cast.play("count gearman.tls_reloaded 1")
            assert b"hello" in await echo(cast, client(other))
            assert await echo(cast, client(one)) == b""
            writer.write(ECHO)
            assert b"hello" in await reader.read(100), "the session from before goes on"
            writer.close()

    asyncio.run(run())


@pytest.mark.parametrize(("change", "key"), [
    ("open", "tls_key"), ("gone", "tls_key"), ("broken", "tls_cert"), ("no ca", "tls_ca")])
def test_faulty_files_are_refused_by_their_key(tmp_path: Path, change: str, key: str) -> None:
    folder = make(tmp_path / "a")
    front = config.GearmanConfig(tls_cert=f"{folder}/server.pem", tls_key=f"{folder}/server.key")
    assert tls.context(front) is not None
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
        tls.context(front)
    assert secret.splitlines()[1] not in str(caught.value)


# Guards against small packets held back for the other side's ACK: 40 ms a job, seen in the load command.
def test_sessions_send_small_packets_at_once(tmp_path: Path) -> None:
    async def run() -> None:
        async with Cast(fronts=FRONTS.format(make(tmp_path))) as cast:
            to = cast.config.fronts.gearman_address()
            assert to is not None
            _, writer = await asyncio.open_connection(*to, ssl=client(tmp_path))
            seen: list[socket.socket] = []
            async with asyncio.timeout(5.0):
                while not seen:
                    await asyncio.sleep(0.01)
                    seen = [o for o in gc.get_objects() if isinstance(o, socket.socket) and o.fileno() >= 0
                            and _port(o) == to[1] and _peer(o)]
            assert all(s.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) for s in seen)
            writer.close()

    asyncio.run(run())


def _port(s: socket.socket) -> int:
    return int(s.getsockname()[1]) if s.family == socket.AF_INET else 0


def _peer(s: socket.socket) -> bool:
    try:
        return bool(s.getpeername())
    except OSError:
        return False


def test_certificates_are_never_written_over(tmp_path: Path) -> None:
    make(tmp_path)
    assert CliRunner().invoke(gaphub, ["key", "cert", "--dir", str(tmp_path)]).exit_code == 2


# Guards against ending a session as idle for a time in which this process was held up and the peer spoke.
def test_a_session_whose_packet_lies_in_the_kernel_when_its_idle_time_ends_is_served() -> None:
    async def run() -> None:
        async with Cast(fronts=IDLE_FRONT, known="") as cast:
            address = cast.config.fronts.gearman_address()
            assert address is not None
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"version\n")
            assert await reader.readline()
            writer.write(b"version\n")
            time.sleep(HELD_UP_S)  # nothing of this process goes on meanwhile
            assert await reader.readline()  # empty where the session was ended
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
