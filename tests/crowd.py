"""A crowd of clients that never complete a request, in a separate process, so that it slows no other client.

``python -m tests.crowd PORT COUNT SECONDS`` keeps up to COUNT connections open for that time; a client reconnects
``RECONNECT_DELAY_S`` after its connection was closed.
"""

from __future__ import annotations

import asyncio
import resource
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import click

RECONNECT_DELAY_S = 0.05  # after the close of its connection a client connects again
PARTIAL_HEAD = b"POST /api HTTP/1.1\r\nHost: a\r\n"
FIRST_BYTES = [b"", PARTIAL_HEAD]


async def _client(port: int, first_bytes: bytes) -> None:
    while True:
        with suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(first_bytes)
                while await reader.read(4096):
                    pass
            finally:
                writer.transport.abort()
        await asyncio.sleep(RECONNECT_DELAY_S)


async def _hold_connections(port: int, count: int, seconds: float) -> None:
    clients = [asyncio.create_task(_client(port, FIRST_BYTES[i % len(FIRST_BYTES)])) for i in range(count)]
    await asyncio.sleep(seconds)
    for client in clients:
        client.cancel()
    await asyncio.wait(clients)


@contextmanager
def crowd(port: int, count: int, seconds: float) -> Iterator[subprocess.Popen[bytes]]:
    """Run a crowd against a port; it ends by itself after ``seconds`` at the latest."""
    process = subprocess.Popen([sys.executable, "-m", "tests.crowd", str(port), str(count), str(seconds)])
    try:
        yield process
    finally:
        process.kill()
        process.wait()


@click.command()
@click.argument("port", type=int)
@click.argument("count", type=int)
@click.argument("seconds", type=float)
def main(port: int, count: int, seconds: float) -> None:
    """Hold COUNT connections to PORT for SECONDS."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    asyncio.run(_hold_connections(port, count, seconds))


if __name__ == "__main__":
    main()
