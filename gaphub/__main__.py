"""Starts the real scheduler; for now it says that it is ready and turns every job away (fail-fast)."""

from __future__ import annotations

import asyncio
import os

READY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
REFUSED = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


async def _inbound(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    writer.write(READY if head.startswith(b"GET /-/ready ") else REFUSED)
    await writer.drain()
    writer.close()


async def _serve() -> None:
    host, _, port = os.environ["LB_LISTEN"].rpartition(":")
    server = await asyncio.start_server(_inbound, host, int(port))
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_serve())
