"""A crowd of clients that never finish a request, in a process of its own, so that it slows no other client.

``python -m tests.crowd PORT COUNT SECONDS`` keeps up to COUNT connections open for so long, and comes again
``AGAIN_S`` after each is closed.
"""

from __future__ import annotations

import asyncio
import resource
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import click

AGAIN_S = 0.05  # after its connection was closed a client comes again
PARTIAL_HEAD = b"POST /api HTTP/1.1\r\nHost: a\r\n"
FIRST_WORDS = [b"", PARTIAL_HEAD]


async def _client(port: int, words: bytes) -> None:
    while True:
        with suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(words)
                while await reader.read(4096):
                    pass
            finally:
                writer.transport.abort()
        await asyncio.sleep(AGAIN_S)


async def _stay(port: int, count: int, seconds: float) -> None:
    clients = [asyncio.create_task(_client(port, FIRST_WORDS[i % len(FIRST_WORDS)])) for i in range(count)]
    await asyncio.sleep(seconds)
    for client in clients:
        client.cancel()
    await asyncio.wait(clients)


@contextmanager
def crowd(port: int, count: int, seconds: float) -> Iterator[subprocess.Popen[bytes]]:
    """Have a crowd there, which ends by itself after so long at the latest."""
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
    """Stay as a crowd."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    asyncio.run(_stay(port, count, seconds))


if __name__ == "__main__":
    main()
