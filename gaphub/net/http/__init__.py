"""The HTTP front: client connections, and connections to workers with their pools, calls and probes.

Translates between HTTP and the core's messages. The front does not choose a request's destination, does not resend
a request by itself, and never reports an attempt as "never ran" once its last byte was written, unless the worker
said so.

Client side: ``inbound`` (listening, accepting, shutdown), ``session`` (state of a connection), ``handler``
(requests and answers), ``request`` (validation and parsing), ``eviction`` (order of evictions), ``drain`` (time
limits after SIGTERM).
Worker side: ``outbound`` (calls), ``exchange`` (one attempt on the wire), ``probe``, ``answer`` (parsing of a
worker's answer), ``pool``, ``connection``.
Both read their time-outs, sizes and shares from ``tunables``.
"""

from __future__ import annotations

import sys
from types import ModuleType

from . import tunables
from .answer import AnswerLine, parse_load_report
from .connection import Connection, ConnectionLostError, EarlyAnswerError, NeverWrittenError
from .drain import Drain
from .exchange import StoppedError
from .handler import RequestHandler
from .inbound import Inbound
from .outbound import Outbound
from .pool import Pool, Pools
from .request import BadRequestError, check_head, forwarded_headers, parse_job, parse_key
from .session import ClientSession, SessionProtocol
from .tunables import (
    ANSWER_END_TIMEOUT_S,
    ANSWER_WRITE_TIMEOUT_S,
    DRAIN_ACCEPT_S,
    DRAIN_EXTRA_MS,
    DRAIN_IDLE_S,
    DRAIN_MAX_DEADLINE_MS,
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
    "ANSWER_END_TIMEOUT_S", "ANSWER_WRITE_TIMEOUT_S", "AnswerLine", "BadRequestError",
    "ClientSession", "Connection", "ConnectionLostError", "DRAIN_ACCEPT_S", "DRAIN_EXTRA_MS", "DRAIN_IDLE_S",
    "DRAIN_MAX_DEADLINE_MS", "DRAIN_MIN_LEFT_MS", "DRAIN_RETRY_AFTER_MS", "DRAIN_SLACK_MS",
    "Drain", "ERROR_LINGER_S", "EVICTION_IDLE_MS", "EarlyAnswerError", "FIRST_REQUEST_TIMEOUT_S",
    "FLOOD_READ_INTERVAL_S", "IDLE_TIMEOUT_SHARE", "INBOUND_SOCKET_SHARE", "Inbound", "LAST_BYTE_DELAY_S",
    "MAX_ANSWER_LINE_BYTES", "MAX_BODY_BYTES", "MAX_ERROR_LINGER_BYTES", "MAX_STALE_SHARE", "NeverWrittenError",
    "OUTBOUND_SOCKET_SHARE", "Outbound", "PROBE_TIMEOUT_S", "Pool", "Pools", "READ_CHUNK_BYTES", "REAP_INTERVAL_S",
    "RECEIVE_BUFFER_BYTES", "REQUEST_TIMEOUT_S", "RequestHandler", "STALE_SHARE_SMOOTHING", "SessionProtocol",
    "StoppedError", "TRANSIT_ALLOWANCE_MS", "check_head", "forwarded_headers", "parse_job", "parse_key",
    "parse_load_report",
]

class _Package(ModuleType):
    """Forwards a tunable that a test sets on the package to ``tunables``, where the code reads it."""

    def __setattr__(self, name: str, value: object) -> None:
        super().__setattr__(name, value)
        if name.isupper() and hasattr(tunables, name):
            setattr(tunables, name, value)


sys.modules[__name__].__class__ = _Package
