"""The text commands, with which operators inspect queues and workers, cancel jobs and change a few settings.

It must never accept or assign a job; a job that is cancelled here has not started.
"""

from __future__ import annotations

import asyncio
import os
import re
import time
from collections import Counter
from collections.abc import AsyncGenerator, Callable, Mapping
from functools import partial

from ... import __version__
from ...core import Core
from ...gearman.queues import Queues
from ...gearman.schedule import Schedule
from ...metrics import Counters
from ..memory import MemoryBudget
from .functions import FunctionClasses
from .session import Session, Submission
from .submissions import SubmissionTable

PAUSE_PER_COMMAND = 3.0  # pause after a command, as a multiple of the time that it took
ANSWER_PART_BYTES = 32 * 1024
LIMITS_SHARE = 0.05  # of the memory, for limits on the queues of single functions
MAX_FUNCTION_BYTES = 2 * 1024  # longer names are never accepted with a job


class TextCommands:
    """Answers the text commands of all sessions from the front end's tables."""

    def __init__(self, core: Core, counters: Counters, memory: MemoryBudget, queues: Queues, schedule: Schedule,
                 functions: FunctionClasses, sessions: Mapping[asyncio.Task[None], Session],
                 workers: Mapping[str, Session], submissions: SubmissionTable,
                 refuse_job: Callable[[Submission], None], shutdown: Callable[[], None]) -> None:
        """``memory``: for answers and queue limits.

        ``refuse_job`` ends a job that was never offered to the core; ``shutdown`` stops the scheduler.
        """
        self.core = core
        self.counters = counters
        self.memory = memory
        self._turn = asyncio.Lock()  # one command at a time
        self.queues = queues
        self.schedule = schedule
        self.functions = functions
        self.sessions = sessions
        self.workers = workers
        self.submissions = submissions
        self.refuse_job = refuse_job
        self.shutdown = shutdown

    async def answer(self, words: list[str]) -> AsyncGenerator[bytes, None]:
        """Execute a command; yields its answer in parts.

        Commands use a bounded share of the processor, whatever they cost and however many sessions send them.
        """
        self.counters.add("gearman.commands")
        async with self._turn:
            began = time.monotonic()
            text = await self._execute(words)
            await asyncio.sleep((time.monotonic() - began) * PAUSE_PER_COMMAND)
        if len(text) > max(ANSWER_PART_BYTES, self.memory.free):
            yield b"ERR NO_MEMORY Answer+too+large\n"
            return
        self.memory.charge(len(text))
        try:
            for start in range(0, len(text), ANSWER_PART_BYTES):
                yield text[start:start + ANSWER_PART_BYTES]
        finally:
            self.memory.release(len(text))

    async def _execute(self, words: list[str]) -> bytes:
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
            return self._set_queue_limits(words[1].encode("latin-1"), [int(w) for w in words[2:]])
        if command == "prioritystatus":
            return self._priority_lines()
        if words[0] == "shutdown" and words[1:] in ([], ["graceful"]):
            self.shutdown()
            return b"OK\n"
        if command == "show jobs":
            return _lines([f"{s.handle.decode('latin-1')}\t{_retries(s)}\t0\t{int(not s.running)}"
                           for s in self.submissions.by_handle.values()])
        if command == "show unique" and words[2:] == ["jobs"]:
            return _lines([unique.decode("latin-1") for _, unique in self.submissions.by_unique])
        if command == "cancel job" and len(words) == 3:
            return await self._cancel_job(words[2].encode("latin-1"))
        if command == "create function" and len(words) == 4:
            if not self.functions.has_class(words[3]):
                return b"ERR UNKNOWN_CLASS No+such+class\n"
            return b"OK\n" if self.functions.create(words[2], words[3]) else b"ERR NO_ROOM Not+stored\n"
        if command == "drop function" and len(words) == 3:
            return b"OK\n" if self.functions.drop(words[2]) else b"ERR UNKNOWN_FUNCTION Not+in+the+store\n"
        return b"ERR UNKNOWN_COMMAND Unknown+server+command\n"

    def _set_queue_limits(self, function: bytes, limits: list[int]) -> bytes:
        if len(function) > MAX_FUNCTION_BYTES:
            return b"ERR TOO_LARGE No+such+function\n"
        before = self.queues.limited_bytes
        if limits and before + len(function) > self.memory.capacity * LIMITS_SHARE:
            return b"ERR NO_ROOM Not+stored\n"
        self.queues.set_function_limits(function, limits)
        self.memory.charge(self.queues.limited_bytes - before)
        return b"OK\n"

    def _status_lines(self) -> bytes:
        jobs = Counter(s.function for s in self.submissions.by_handle.values())
        running = Counter(s.function for s in self.submissions.by_handle.values() if s.running)
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
        submission = self.submissions.by_handle.get(handle)
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
        submission.cancelled = True
        await self.core.post(partial(self.core.withdraw, submission.job))
        return b"OK\n"


def _retries(submission: Submission) -> int:
    return max(0, len(submission.job.calls) - 1) if submission.job is not None else 0


def _lines(lines: list[str]) -> bytes:
    return "".join(line + "\n" for line in [*lines, "."]).encode("latin-1", "replace")
