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
    ANSWER_END_TIMEOUT_S,
    ANSWER_WRITE_TIMEOUT_S,
    BODY_MEMORY_SHARE,
    DRAIN_ACCEPT_S,
    DRAIN_EXTRA_MS,
    DRAIN_IDLE_S,
    DRAIN_MAX_DEADLINE_MS,
    DRAIN_MIN_LEFT_AIMS,
    DRAIN_MIN_LEFT_MS,
    DRAIN_RETRY_AFTER_MS,
    DRAIN_SLACK_MS,
    ERROR_LINGER_S,
    EVICTION_IDLE_MS,
    FIRST_REQUEST_TIMEOUT_S,
    FLOOD_READ_INTERVAL_S,
    IDLE_TIMEOUT_SHARE,
    INBOUND_SOCKET_SHARE,
    LAST_BYTE_DELAY_S,
    MAX_ANSWER_LINE_BYTES,
    MAX_BODY_BYTES,
    MAX_ERROR_LINGER_BYTES,
    MAX_STALE_SHARE,
    OUTBOUND_SOCKET_SHARE,
    PROBE_TIMEOUT_S,
    READ_CHUNK_BYTES,
    REAP_INTERVAL_S,
    RECEIVE_BUFFER_BYTES,
    REQUEST_TIMEOUT_S,
    STALE_SHARE_SMOOTHING,
    TRANSIT_ALLOWANCE_MS,
)

__all__ = [
    "ANSWER_END_TIMEOUT_S", "ANSWER_WRITE_TIMEOUT_S", "BODY_MEMORY_SHARE", "BadRequestError", "ClientSession",
    "Connection", "ConnectionLostError", "DRAIN_ACCEPT_S", "DRAIN_EXTRA_MS", "DRAIN_IDLE_S",
    "DRAIN_MAX_DEADLINE_MS", "DRAIN_MIN_LEFT_AIMS", "DRAIN_MIN_LEFT_MS", "DRAIN_RETRY_AFTER_MS", "DRAIN_SLACK_MS",
    "Drain", "ERROR_LINGER_S", "EVICTION_IDLE_MS", "EarlyAnswerError", "FIRST_REQUEST_TIMEOUT_S",
    "FLOOD_READ_INTERVAL_S", "IDLE_TIMEOUT_SHARE", "INBOUND_SOCKET_SHARE", "Inbound", "LAST_BYTE_DELAY_S", "Line",
    "MAX_ANSWER_LINE_BYTES", "MAX_BODY_BYTES", "MAX_ERROR_LINGER_BYTES", "MAX_STALE_SHARE", "NeverWrittenError",
    "OUTBOUND_SOCKET_SHARE", "Outbound", "PROBE_TIMEOUT_S", "Pool", "Pools", "READ_CHUNK_BYTES", "REAP_INTERVAL_S",
    "RECEIVE_BUFFER_BYTES", "REQUEST_TIMEOUT_S", "RequestHandler", "STALE_SHARE_SMOOTHING", "SessionProtocol",
    "StoppedError", "TRANSIT_ALLOWANCE_MS", "check_head", "parse_job", "parse_key", "parse_load", "passed_on",
]

class _Package(ModuleType):
    """Hands a tunable that is set on the package, as a test does, to the module that the code reads it from."""

    def __setattr__(self, name: str, value: object) -> None:
        super().__setattr__(name, value)
        if name.isupper() and hasattr(tunables, name):
            setattr(tunables, name, value)


sys.modules[__name__].__class__ = _Package
