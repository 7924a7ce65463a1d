"""The HTTP front: the clients' connections, and those to the workers with their pools, calls and probes.

It turns bytes into the core's messages and back.  It must never decide where a request goes, never send one a
second time by itself, and never call an attempt "never ran" once its last byte was written, unless the worker
said so.

Clients' side: ``inbound`` (listening, accepting, leaving), ``session`` (a connection's state), ``handler``
(requests and answers), ``request`` (what a request must be), ``room`` (who makes room for newcomers), ``drain``
(the times after SIGTERM).
Workers' side: ``outbound`` (calls), ``exchange`` (one attempt on the wire), ``probe``, ``answer`` (what a worker's
answer says), ``pool``, ``connection``.
Both read their times, sizes and shares in ``tunables``.
"""

from __future__ import annotations

import sys
from types import ModuleType

from . import tunables
from .answer import Line, parse_load
from .connection import Connection, ConnectionLostError, EarlyAnswerError, NeverWrittenError
from .drain import Drain
from .exchange import StoppedError
from .handler import RequestHandler
from .inbound import Inbound
from .outbound import Outbound
from .pool import Pool, Pools
from .request import BadRequestError, check_head, parse_job, parse_key, passed_on
from .session import ClientSession, SessionProtocol
from .tunables import (
    BODIES_PART,
    BODY_MOST,
    DROP_S,
    FRESH_S,
    HOLD_S,
    IDLE_LEAVING_S,
    IDLE_PART,
    INBOUND_PART,
    LEAVE_AIMS,
    LEAVE_LEAST_MS,
    LEAVE_MORE_MS,
    LEAVE_MOST_MS,
    LEAVE_RETURN_MS,
    LEAVE_SLACK_MS,
    LINE_MOST,
    LINGER_ERROR_S,
    LINGER_MOST,
    LINGER_S,
    OUTBOUND_PART,
    PROBE_S,
    READ,
    REAP_S,
    RECEIVE,
    REQUEST_S,
    STALE,
    STALE_STEP,
    TAIL_S,
    TAKE_S,
    TRAVEL_MS,
    YIELD_MS,
)

__all__ = [
    "BODIES_PART", "BODY_MOST", "BadRequestError", "ClientSession", "Connection", "ConnectionLostError",
    "DROP_S", "Drain", "EarlyAnswerError", "FRESH_S", "HOLD_S", "IDLE_LEAVING_S", "IDLE_PART", "INBOUND_PART",
    "Inbound", "LEAVE_AIMS", "LEAVE_LEAST_MS", "LEAVE_MORE_MS", "LEAVE_MOST_MS", "LEAVE_RETURN_MS",
    "LEAVE_SLACK_MS", "LINE_MOST", "LINGER_ERROR_S", "LINGER_MOST", "LINGER_S", "Line", "NeverWrittenError",
    "OUTBOUND_PART", "Outbound", "PROBE_S", "Pool", "Pools", "READ", "REAP_S", "RECEIVE", "REQUEST_S",
    "RequestHandler", "STALE", "STALE_STEP", "SessionProtocol", "StoppedError", "TAIL_S", "TAKE_S", "TRAVEL_MS",
    "YIELD_MS", "check_head", "parse_job", "parse_key", "parse_load", "passed_on",
]

class _Package(ModuleType):
    """Hands a tunable that is set on the package, as a test does, to the module that the code reads it from."""

    def __setattr__(self, name: str, value: object) -> None:
        super().__setattr__(name, value)
        if name.isupper() and hasattr(tunables, name):
            setattr(tunables, name, value)


sys.modules[__name__].__class__ = _Package
