"""Owns the probe of a worker: one question for its load, and what its answer or silence says of it.

It must never decide when a worker is asked, nor what follows.
"""

from __future__ import annotations

import h11

from ...core import Core
from ...interface import Status
from ...messages import Destination
from ..timeouts import timeout_after_poll
from . import tunables
from .answer import parse_load
from .connection import Connection, ConnectionLostError, LocalFailureError, NeverWrittenError
from .pool import Pool


class Prober:
    """Probes workers on the connections of their pools."""

    def __init__(self, core: Core, report_fields: tuple[str, ...], service: bytes) -> None:
        """``service``: the Host that a probe names."""
        self.core = core
        self.report_fields = report_fields
        self.service = service

    async def probe(self, destination: Destination, pool: Pool) -> None:
        """Ask a worker for its load, and tell the core what it said or how it failed."""
        began = self.core.clock.now()
        status, report = Status.CONNECT_FAILED, ()
        connection: Connection | None = None
        try:
            async with timeout_after_poll(tunables.PROBE_TIMEOUT_S):
                while connection is None:
                    status = Status.CONNECT_FAILED
                    connection = await pool.acquire()
                    status = Status.RESET
                    kept = connection.used
                    try:
                        # Guards against what a worker said on it unasked: that would be taken for the probe's
                        # answer, and the probe's answer for the next request's.
                        if kept and not await connection.quiet():
                            raise NeverWrittenError
                        await connection.send("GET", "/-/load", [(b"Host", self.service)], b"")
                        event = await connection.next_event()
                    except (ConnectionLostError, NeverWrittenError):
                        if not kept or connection.heard:
                            raise
                        # Closed early by the worker's machine, as it may be: that is no word on the worker.
                        pool.drop(connection)
                        connection = None
                body = await connection.read_body()
                if isinstance(event, h11.Response):
                    status = Status.OK if event.status_code == 200 else Status.ERROR
                    report = parse_load(body, self.report_fields)  # type: ignore[assignment]
        except TimeoutError:
            # Guards against blaming a worker for a time that passed while this machine had no connection for it.
            status = Status.MOOT if pool.failed_locally_at >= began else Status.TIMEOUT
        except LocalFailureError:
            status = Status.MOOT  # the worker was not asked
        except (ConnectionLostError, NeverWrittenError, h11.LocalProtocolError):
            pass
        finally:
            now = self.core.clock.now()
            if connection is not None:
                pool.give_back(connection, now)
        await self.core.post(lambda: self.core.probed(destination, status, now - began, report))
