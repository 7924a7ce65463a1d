"""The text commands, with which operators inspect queues and workers, cancel jobs and change a few settings.

It must never accept or assign a job; a job that is cancelled here has not started.
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
from .functions import FunctionClasses
from .session import Session, Submission


class TextCommands:
    """Answers the text commands of all sessions from the front end's tables."""

    def __init__(self, core: Core, counters: Counters, queues: Queues, schedule: Schedule,
                 functions: FunctionClasses, sessions: Mapping[asyncio.Task[None], Session],
                 workers: Mapping[str, Session], submissions: Mapping[bytes, Submission],
                 by_unique: Mapping[tuple[bytes, bytes], Submission],
                 refuse_job: Callable[[Submission], None], shutdown: Callable[[], None]) -> None:
        """``refuse_job`` ends a job that was never offered to the core; ``shutdown`` stops the scheduler."""
        self.core = core
        self.counters = counters
        self.queues = queues
        self.schedule = schedule
        self.functions = functions
        self.sessions = sessions
        self.workers = workers
        self.submissions = submissions
        self.by_unique = by_unique
        self.refuse_job = refuse_job
        self.shutdown = shutdown

    async def answer(self, words: list[str]) -> bytes:
        """Execute a command; returns its answer."""
        self.counters.add("gearman.commands")
        command = " ".join(words[:2])
        if command == "status":
            return self._status_lines()
        if command == "workers":
            lines = []
            for s in self.sessions.values():
                host = (s.writer.get_extra_info("peername") or ("-",))[0]
                names = b" ".join(s.abilities).decode("latin-1")
                lines.append(f"{s.number} {host} {s.client_id.decode('latin-1')} : {names}".rstrip())
            return _lines(lines)
        if command == "version":
            return f"OK {__version__}\n".encode()
        if command == "getpid":
            return f"OK {os.getpid()}\n".encode()
        if words[0] == "maxqueue" and 2 <= len(words) <= 5 and all(re.fullmatch(r"\d{1,9}", w)
                                                                   for w in words[2:]):
            self.queues.set_function_limits(words[1].encode("latin-1"), [int(w) for w in words[2:]])
            return b"OK\n"
        if command == "prioritystatus":
            return self._priority_lines()
        if words[0] == "shutdown" and words[1:] in ([], ["graceful"]):
            self.shutdown()
            return b"OK\n"
        if command == "show jobs":
            return _lines([f"{s.handle.decode('latin-1')}\t{_retries(s)}\t0\t{int(not s.running)}"
                           for s in self.submissions.values()])
        if command == "show unique" and words[2:] == ["jobs"]:
            return _lines([unique.decode("latin-1") for _, unique in self.by_unique])
        if command == "cancel job" and len(words) == 3:
            return await self._cancel_job(words[2].encode("latin-1"))
        if command == "create function" and len(words) == 4:
            if not self.functions.has_class(words[3]):
                return b"ERR UNKNOWN_CLASS No+such+class\n"
            return b"OK\n" if self.functions.create(words[2], words[3]) else b"ERR NO_ROOM Not+stored\n"
        if command == "drop function" and len(words) == 3:
            return b"OK\n" if self.functions.drop(words[2]) else b"ERR UNKNOWN_FUNCTION Not+in+the+store\n"
        return b"ERR UNKNOWN_COMMAND Unknown+server+command\n"

    def _status_lines(self) -> bytes:
        jobs = Counter(s.function for s in self.submissions.values())
        running = Counter(s.function for s in self.submissions.values() if s.running)
        able_workers = Counter(f for s in self.workers.values() for f in s.abilities)
        return _lines([f"{f.decode('latin-1')}\t{jobs[f]}\t{running[f]}\t{able_workers[f]}"
                       for f in sorted(set(self.functions.all_classes()) | set(jobs))])

    def _priority_lines(self) -> bytes:
        """Queued jobs by priority, and the number of workers that can run them."""
        able_workers = Counter(f for s in self.workers.values() for f in s.abilities)
        return _lines(["\t".join([f.decode("latin-1"), *map(str, self.queues.counts_by_priority(f)),
                                  str(able_workers[f])])
                       for f in sorted(set(self.functions.all_classes()) | set(self.queues.functions()))])

    async def _cancel_job(self, handle: bytes) -> bytes:
        """Cancel a job; possible only before a worker has started it."""
        submission = self.submissions.get(handle)
        if submission is None or submission.job is None:
            return b"ERR UNKNOWN_JOB No+such+job\n"
        if submission.running:
            return b"ERR JOB_RUNNING It+has+begun\n"
        if submission.queue_entry is not None or self.schedule.remove(submission):
            if submission.queue_entry is not None:
                self.queues.remove(submission.queue_entry)
            submission.queue_entry = None
            self.refuse_job(submission)
            return b"OK\n"
        await self.core.post(partial(self.core.withdraw, submission.job))
        return b"OK\n"


def _retries(submission: Submission) -> int:
    return max(0, len(submission.job.calls) - 1) if submission.job is not None else 0


def _lines(lines: list[str]) -> bytes:
    return "".join(line + "\n" for line in [*lines, "."]).encode("latin-1", "replace")
