"""Owns the text commands, by which an operator asks what waits and runs, and changes a few settings.

It must never take a job or hand one out; a job that is cancelled here has not begun.
"""

from __future__ import annotations

import asyncio
import os
import re
from collections import Counter
from collections.abc import Callable, Mapping
from functools import partial

from ... import __version__
from ...core import Core
from ...gearman.queues import Queues
from ...gearman.schedule import Schedule
from ...metrics import Counters
from .functions import Functions
from .session import Session, Work


class TextCommands:
    """Answers the text commands of all sessions, out of the front's own tables."""

    def __init__(self, core: Core, counters: Counters, queues: Queues, schedule: Schedule, functions: Functions,
                 sessions: Mapping[asyncio.Task[None], Session], workers: Mapping[str, Session],
                 works: Mapping[bytes, Work], by_unique: Mapping[tuple[bytes, bytes], Work],
                 refused: Callable[[Work], None], shutdown: Callable[[], None]) -> None:
        """``refused`` ends a job that the core has never had; ``shutdown`` ends the daemon."""
        self.core = core
        self.counters = counters
        self.queues = queues
        self.schedule = schedule
        self.functions = functions
        self.sessions = sessions
        self.workers = workers
        self.works = works
        self.by_unique = by_unique
        self.refused = refused
        self.shutdown = shutdown

    async def answer(self, words: list[str]) -> bytes:
        """Do what a line says; what is answered to it."""
        self.counters.add("gearman.commands")
        text = " ".join(words[:2])
        if text == "status":
            return self._status_lines()
        if text == "workers":
            lines = []
            for s in self.sessions.values():
                host = (s.writer.get_extra_info("peername") or ("-",))[0]
                names = b" ".join(s.abilities).decode("latin-1")
                lines.append(f"{s.number} {host} {s.client_id.decode('latin-1')} : {names}".rstrip())
            return _lines(lines)
        if text == "version":
            return f"OK {__version__}\n".encode()
        if text == "getpid":
            return f"OK {os.getpid()}\n".encode()
        if words[0] == "maxqueue" and 2 <= len(words) <= 5 and all(re.fullmatch(r"\d{1,9}", w)
                                                                   for w in words[2:]):
            self.queues.limit(words[1].encode("latin-1"), [int(w) for w in words[2:]])
            return b"OK\n"
        if text == "prioritystatus":
            return self._priority_lines()
        if words[0] == "shutdown" and words[1:] in ([], ["graceful"]):
            self.shutdown()
            return b"OK\n"
        if text == "show jobs":
            return _lines([f"{w.handle.decode('latin-1')}\t{_retries(w)}\t0\t{int(not w.running)}"
                           for w in self.works.values()])
        if text == "show unique" and words[2:] == ["jobs"]:
            return _lines([unique.decode("latin-1") for _, unique in self.by_unique])
        if text == "cancel job" and len(words) == 3:
            return await self._cancel_job(words[2].encode("latin-1"))
        if text == "create function" and len(words) == 4:
            if not self.functions.has_class(words[3]):
                return b"ERR UNKNOWN_CLASS No+such+class\n"
            return b"OK\n" if self.functions.create(words[2], words[3]) else b"ERR NO_ROOM Not+stored\n"
        if text == "drop function" and len(words) == 3:
            return b"OK\n" if self.functions.drop(words[2]) else b"ERR UNKNOWN_FUNCTION Not+in+the+store\n"
        return b"ERR UNKNOWN_COMMAND Unknown+server+command\n"

    def _status_lines(self) -> bytes:
        jobs = Counter(w.function for w in self.works.values())
        running = Counter(w.function for w in self.works.values() if w.running)
        able = Counter(f for s in self.workers.values() for f in s.abilities)
        return _lines([f"{f.decode('latin-1')}\t{jobs[f]}\t{running[f]}\t{able[f]}"
                       for f in sorted(set(self.functions.all()) | set(jobs))])

    def _priority_lines(self) -> bytes:
        """Jobs that wait, by priority, and able workers."""
        able = Counter(f for s in self.workers.values() for f in s.abilities)
        return _lines(["\t".join([f.decode("latin-1"), *map(str, self.queues.waiting(f)), str(able[f])])
                       for f in sorted(set(self.functions.all()) | set(self.queues.functions()))])

    async def _cancel_job(self, handle: bytes) -> bytes:
        """Only a job that has not been handed out can be taken back."""
        work = self.works.get(handle)
        if work is None or work.job is None:
            return b"ERR UNKNOWN_JOB No+such+job\n"
        if work.running:
            return b"ERR JOB_RUNNING It+has+begun\n"
        if work.waiting is not None or self.schedule.remove(work):
            if work.waiting is not None:
                self.queues.remove(work.waiting)
            work.waiting = None
            self.refused(work)
            return b"OK\n"
        await self.core.post(partial(self.core.withdraw, work.job))
        return b"OK\n"


def _retries(work: Work) -> int:
    return max(0, len(work.job.calls) - 1) if work.job is not None else 0


def _lines(lines: list[str]) -> bytes:
    return "".join(line + "\n" for line in [*lines, "."]).encode("latin-1", "replace")
