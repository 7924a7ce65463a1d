"""Formats log lines with structlog: one event per line, as logfmt or JSON.  Imported only where it is configured.

``metrics.Counters`` limits the rate of log lines, not this module.  Callers must never pass secrets.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import structlog

_LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
WARNING_MARKERS = ("garbled", "failed", "ignored", "dropped", "not_", "lost", "watchdog")


def _level(kind: str) -> str:
    return "warning" if any(marker in kind for marker in WARNING_MARKERS) else "info"


def make_line_writer(form: str, level: str, node: str, out: Any = None) -> Callable[[str, str], None]:
    """A function that writes one log line for an event and its text."""
    renderer: Any = (structlog.processors.JSONRenderer() if form == "json" else
                     structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "node", "event"]))
    logger = structlog.wrap_logger(
        structlog.PrintLogger(out or sys.stderr),
        processors=[structlog.processors.add_log_level,
                    structlog.processors.TimeStamper(fmt="iso", utc=True), renderer],
        wrapper_class=structlog.make_filtering_bound_logger(_LEVELS[level]), node=node)

    def line(kind: str, text: str) -> None:
        getattr(logger, _level(kind))(kind, **({"text": text} if text else {}))

    return line
