"""Datagrams between schedulers on loopback: replication, bounds, and datagrams from unknown senders."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

import pytest

from gaphub.net import http
from gaphub.net.peers import HEARTBEAT_TYPE
from gaphub.store import MAGIC, MAX_DATAGRAM_BYTES

from .scenario import SETTINGS, Harness, free_port

FRONTS = """
[gearman]
listen = "127.0.0.1:PORT"
hold_after_start = false
[store]
round_s = 0.05
counters_s = 0.2
"""


def two_schedulers(messages_allowed: bool = True) -> tuple[Harness, Harness]:
    ports = [free_port(), free_port()]
    casts = []
    for me in (0, 1):
        limits = {**SETTINGS["limits"], "peerMessages": messages_allowed}
        casts.append(Harness(fronts=FRONTS, peer_listen=f"127.0.0.1:{ports[me]}",
                          peers=[f"127.0.0.1:{p}" for p in ports],
                          settings={"balancers": 2, "me": me, "limits": limits}))
    return casts[0], casts[1]


def test_configuration_written_at_one_daemon_serves_at_the_other() -> None:
    async def run() -> None:
        a, b = two_schedulers()
        async with a, b:
            await a.play("a send create function gate poloha\\n\na expect OK")
            for _ in range(200):
                await b.play("a send status\\n\na expect (?P<all>.*?)(?:^|\\n)\\.\\n")
                if "gate" in b.groups["all"]:
                    break
                await asyncio.sleep(0.02)
            await b.play("g send 7 gate||load\ng expect #8\nw expect POST .*poloha.*load")
            # Datagrams of unknown senders are counted and dropped, whatever they hold.
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
                address = a.config.peer_listen
                assert address is not None
                for data in (b"gh1\x01", b"x" * (MAX_DATAGRAM_BYTES + 1), b""):
                    stranger.sendto(data, address)
            await a.play("count garbled.datagram 3\nc send job poloha r1\nw expect r1")

    asyncio.run(run())


def test_one_that_is_told_to_stop_leaves_its_clients_to_a_peer_that_serves(
        monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http, "DRAIN_MAX_DEADLINE_MS", 3_600_000.0)

    async def run() -> None:
        a, b = two_schedulers()
        async with a, b:
            while not a.counters.values["peers.received"] or not b.counters.values["peers.received"]:
                await asyncio.sleep(0.02)
            await a.play("c send job poloha r1\nw expect r1\nw send lines r1 done=x .\nc expect 200")
            await a.play("term\nc expect-close\nended")
            # The other scheduler knows of that: it is the last one serving and keeps its clients' connections.
            await b.play("c send job poloha r1\nw expect r1\nw send lines r1 done=x .\nc expect 200\nterm")
            await b.play("wait 900\nc send job poloha r2\nw expect r2\nw send lines r2 done=y .\nc expect y")

    asyncio.run(run())


def test_nothing_is_sent_where_the_settings_do_not_allow_it() -> None:
    async def run() -> None:
        a, b = two_schedulers(messages_allowed=False)
        async with a, b:
            await asyncio.sleep(0.3)
            assert not a.counters.values["peers.sent"] and not b.counters.values["peers.received"]

    asyncio.run(run())


# Guards against the store's replication rounds when no front uses the store: with forty schedulers, digests and
# counters that nobody read made up most of the traffic between them.
@pytest.mark.parametrize("listen", ["127.0.0.1:PORT", ""])
def test_the_store_speaks_only_where_a_front_uses_it(listen: str) -> None:
    async def run() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            peer.bind(("127.0.0.1", 0))
            peer.setblocking(False)
            me, other = f"127.0.0.1:{free_port()}", f"127.0.0.1:{peer.getsockname()[1]}"
            async with Harness(fronts=FRONTS.replace("127.0.0.1:PORT", listen), peer_listen=me, peers=[me, other],
                            settings={"balancers": 2, "me": 0,
                                      "limits": {**SETTINGS["limits"], "peerMessages": True}}):
                heard = set()
                async with asyncio.timeout(5.0):
                    while HEARTBEAT_TYPE not in heard or (listen and MAGIC[0] not in heard):
                        heard.add((await asyncio.get_running_loop().sock_recv(peer, 256))[0])
                await asyncio.sleep(0.3)
                with suppress(BlockingIOError):
                    while True:
                        heard.add(peer.recv(256)[0])
                assert (MAGIC[0] in heard) == bool(listen)

    asyncio.run(run())


def test_a_datagram_of_a_version_that_is_not_known_is_counted() -> None:
    async def run() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            peer.bind(("127.0.0.1", 0))
            me, other = ("127.0.0.1", free_port()), f"127.0.0.1:{peer.getsockname()[1]}"
            async with Harness(fronts=FRONTS, peer_listen=f"{me[0]}:{me[1]}", peers=[f"{me[0]}:{me[1]}", other],
                            settings={"balancers": 2, "me": 0,
                                      "limits": {**SETTINGS["limits"], "peerMessages": True}}) as harness:
                for data in (b"\xd0\x00", b"\xd3\x00", b"\xe1", b"\xd4\x00", b"\xe2\x00", b"\xff", b""):
                    peer.sendto(data, me)
                await harness.play("count garbled.datagram 4\nc send job poloha r1\nw expect r1")
                assert harness.counters.values["garbled.datagram"] == 4

    asyncio.run(run())
