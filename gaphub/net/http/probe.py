"""Probes of workers: one request for a worker's load, and what its answer or failure means.

Does not decide when a worker is probed or what follows from the result.
"""

from __future__ import annotations

import h11

from ...core import Core
from ...interface import Status
from ...messages import Destination
from ..timeouts import timeout_after_poll
from . import tunables
from .answer import parse_load_report
from .connection import Connection, ConnectionLostError, LocalFailureError, NeverWrittenError
from .pool import Pool


class Prober:
    """Probes workers on pooled connections."""

    def __init__(self, core: Core, report_fields: tuple[str, ...], host: bytes) -> None:
        """``host``: the probe's Host header."""
        self.core = core
        self.report_fields = report_fields
        self.host = host

    async def probe(self, destination: Destination, pool: Pool) -> None:
        """Ask a worker for its load and report the result to the core."""
        started_at = self.core.clock.now()
        status, report = Status.CONNECT_FAILED, ()
        connection: Connection | None = None
        try:
            async with timeout_after_poll(tunables.PROBE_TIMEOUT_S):
                while connection is None:
                    status = Status.CONNECT_FAILED
                    connection = await pool.acquire()
                    status = Status.RESET
                    reused = connection.used
                    try:
                        # Unsolicited data on the connection would be taken for the probe's answer, and the probe's
                        # answer for that of the next request.
                        if reused and not await connection.is_silent():
                            raise NeverWrittenError
                        await connection.send("GET", "/-/load", [(b"Host", self.host)], b"")
                        event = await connection.next_event()
                    except (ConnectionLostError, NeverWrittenError):
                        if not reused or connection.answer_started:
                            raise
                        # The worker's machine may close an idle connection at any time, which says nothing about
                        # the worker.
                        pool.drop(connection)
                        connection = None
                body = await connection.read_body()
                if isinstance(event, h11.Response):
                    status = Status.OK if event.status_code == 200 else Status.ERROR
                    report = parse_load_report(body, self.report_fields)  # type: ignore[assignment]
        except TimeoutError:
            # The time during which this machine could not open a connection does not count against the worker.
            status = Status.MOOT if pool.failed_locally_at >= started_at else Status.TIMEOUT
        except LocalFailureError:
            status = Status.MOOT  # the worker was not asked
        except (ConnectionLostError, NeverWrittenError, h11.LocalProtocolError):
            pass
        finally:
            now = self.core.clock.now()
            if connection is not None:
                pool.release(connection, now)
        await self.core.post(lambda: self.core.probe_ended(destination, status, now - started_at, report))
