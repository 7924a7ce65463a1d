"""Graphite and collectd: the bytes written, and that a dead sink does not affect jobs."""

from __future__ import annotations

import asyncio
import struct

from gaphub.metrics import MAX_PACKET_BYTES, Counters, collectd_packets, graphite_lines

from .scenario import Harness, free_port

VALUES = {"requests.taken": 7, "calls.sent": 2**40}
JOB = "c send job poloha {0}\nw expect {0}\nw send lines {0} done=ok .\nc expect 200 .*ok\n"


def test_graphite_lines() -> None:
    assert graphite_lines("shop.gaphub", "n.1", VALUES, 99.9) == (
        b"shop.gaphub.n_1.requests.taken 7 99\nshop.gaphub.n_1.calls.sent 1099511627776 99\n")


def parts(packet: bytes) -> list[tuple[int, bytes]]:
    """The parts of a packet, decoded according to collectd's protocol description."""
    decoded = []
    while packet:
        kind, size = struct.unpack_from(">HH", packet)
        assert size >= 4
        decoded.append((kind, packet[4:size]))
        packet = packet[size:]
    return decoded


def test_collectd_packets() -> None:
    [packet] = collectd_packets("gaphub", "n0", VALUES, 100.5, 10.0)
    assert parts(packet) == [
        (0, b"n0\0"),
        (8, struct.pack(">Q", int(100.5 * 2**30))),
        (9, struct.pack(">Q", 10 * 2**30)),
        (2, b"gaphub\0"),
        (4, b"derive\0"),
        (5, b"requests-taken\0"),
        (6, struct.pack(">HBq", 1, 2, 7)),
        (5, b"calls-sent\0"),
        (6, struct.pack(">HBq", 1, 2, 2**40)),
    ]
    packets = collectd_packets("gaphub", "n0", {f"value.number.{i}": i for i in range(200)}, 1.0, 1.0)
    assert len(packets) > 1 and max(map(len, packets)) <= MAX_PACKET_BYTES
    assert sum(kind == 6 for packet in packets for kind, _ in parts(packet)) == 200
    assert all(parts(packet)[0] == (0, b"n0\0") for packet in packets)


def sinks(graphite: int, collectd: int) -> str:
    return (f"[metrics.graphite]\naddress = '127.0.0.1:{graphite}'\nevery_s = 0.05\n"
            f"[metrics.collectd]\naddress = '127.0.0.1:{collectd}'\nevery_s = 0.05\n")


def test_both_sinks_receive_the_counters() -> None:
    async def run() -> None:
        datagrams: asyncio.Queue[bytes] = asyncio.Queue()
        lines: asyncio.Queue[bytes] = asyncio.Queue()

        class Receiver(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
                datagrams.put_nowait(data)

        async def receive(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while line := await reader.readline():
                lines.put_nowait(line)
            writer.close()

        server = await asyncio.start_server(receive, "127.0.0.1", 0)
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            Receiver, local_addr=("127.0.0.1", 0))
        fronts = sinks(server.sockets[0].getsockname()[1], transport.get_extra_info("sockname")[1])
        async with Harness(fronts=fronts) as harness:
            await harness.play(JOB.format("r1"))
            async with asyncio.timeout(5.0):
                while not (await lines.get()).startswith(b"gaphub.n0.requests.served 1 "):
                    pass
                while (5, b"requests-served\0") not in parts(await datagrams.get()):
                    pass
        transport.close()
        server.close()

    asyncio.run(run())


def test_dead_sinks_are_counted_and_jobs_go_on() -> None:
    async def run() -> None:
        stalled: list[asyncio.StreamWriter] = []

        async def stall(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            stalled.append(writer)  # accepts the connection and never reads

        server = await asyncio.start_server(stall, "127.0.0.1", 0)
        for graphite in (free_port(), server.sockets[0].getsockname()[1]):
            async with Harness(fronts=sinks(graphite, free_port())) as harness:
                for i in range(5):
                    await harness.play(JOB.format(f"r{i}") + "wait 30")
                counters = harness.counters.values
                async with asyncio.timeout(5.0):
                    while not counters["collectd.batches"]:
                        await asyncio.sleep(0.01)
                    while not (counters["graphite.dropped"] or counters["graphite.batches"]):
                        await asyncio.sleep(0.01)
                assert counters["requests.served"] == 5
                if not stalled:
                    assert counters["graphite.dropped"] and not counters["graphite.batches"]
        for writer in stalled:
            writer.transport.abort()
        server.close()

    asyncio.run(run())


def test_the_log_is_limited_and_still_counts() -> None:
    counters = Counters()
    for _ in range(100):
        counters.log("odd", "x")
    assert counters.snapshot() == {"odd": 100}
