"""Owns the form of log lines on structlog: one event a line, logfmt or JSON.  Imported only where it is set.

Limits on how often an event is said stay with ``metrics.Counters``; nothing that comes here may be a secret.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import structlog

_LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
WARNINGS = ("garbled", "failed", "ignored", "dropped", "not_", "lost", "watchdog")


def _level(kind: str) -> str:
    return "warning" if any(word in kind for word in WARNINGS) else "info"


def make_line_writer(form: str, level: str, node: str, out: Any = None) -> Callable[[str, str], None]:
    """What writes one line for an event and its text."""
    shape: Any = (structlog.processors.JSONRenderer() if form == "json" else
                  structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "node", "event"]))
    logger = structlog.wrap_logger(
        structlog.PrintLogger(out or sys.stderr),
        processors=[structlog.processors.add_log_level,
                    structlog.processors.TimeStamper(fmt="iso", utc=True), shape],
        wrapper_class=structlog.make_filtering_bound_logger(_LEVELS[level]), node=node)

    def line(kind: str, text: str) -> None:
        getattr(logger, _level(kind))(kind, **({"text": text} if text else {}))

    return line
