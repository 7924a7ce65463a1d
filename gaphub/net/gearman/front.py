"""The Gearman front end: its listening socket, the sessions of clients and workers, and their jobs.

Submitted jobs go through the core like any other request, and a worker that registers a function becomes a
destination of the core next to the HTTP workers.  This module must never choose a worker, never assign a job a
second time on its own, and never report that a job did not run once its JOB_ASSIGN was written.  An at-most-once
job with a unique is accepted only at the scheduler that keeps its record (``_at_most_once_refusal``).
"""

from __future__ import annotations

import asyncio
import hashlib
import random
import re
import socket
import ssl
import time
import zlib
from collections import Counter
from collections.abc import Callable
from contextlib import aclosing, suppress
from dataclasses import replace
from functools import partial
from heapq import heapify, heappop, heappush

from ...config import Config, ConfigError
from ...core import Core
from ...gearman.backoff import BackgroundBackoff
from ...gearman.codec import (
    CAN_DO,
    CAN_DO_TIMEOUT,
    CANT_DO,
    ECHO_REQ,
    ECHO_RES,
    ERROR,
    GET_STATUS,
    GET_STATUS_UNIQUE,
    GRAB_JOB,
    GRAB_JOB_ALL,
    GRAB_JOB_UNIQ,
    HEADER,
    JOB_ASSIGN,
    JOB_ASSIGN_ALL,
    JOB_ASSIGN_UNIQ,
    JOB_CREATED,
    NO_JOB,
    NOOP,
    OPTION_REQ,
    OPTION_RES,
    PRE_SLEEP,
    REQUEST,
    RESET_ABILITIES,
    SET_CLIENT_ID,
    STATUS_RES,
    STATUS_RES_UNIQUE,
    SUBMIT_JOB_EPOCH,
    SUBMIT_JOB_SCHED,
    SUBMIT_KINDS,
    SUBMIT_REDUCE_JOB,
    SUBMIT_REDUCE_JOB_BG,
    WORK_COMPLETE,
    WORK_DATA,
    WORK_EXCEPTION,
    WORK_FAIL,
    WORK_STATUS,
    WORK_UPDATES,
    PacketError,
    split_arguments,
)
from ...gearman.queues import QueuedJob, QueueLimits, Queues
from ...gearman.schedule import Schedule, next_occurrence, parse_epoch
from ...interface import Effect, ListKind, Status, WorkerState
from ...messages import Answer, Call, Destination, Fence, FinalStatus, Job, ListedDestination, Outcome
from ...metrics import Counters
from ...store import Store
from ...tasks import Tasks
from ..listener import BACKLOG, shutdown_if_idle
from ..memory import MemoryBudget
from ..timeouts import timeout_after_poll
from .functions import FunctionClasses
from .results import JobResult, ResultCache
from .session import Assignment, Session, Submission
from .submissions import SubmissionTable
from .text import TextCommands

SOURCE = "gearman"
MAX_WORKLOAD_BYTES = 64 * 1024
MAX_NAME_BYTES = 2 * 1024  # of a packet besides its workload
MAX_SKIPPED_BYTES = 16 * 1024 * 1024  # an oversized packet of up to this is skipped; a larger one ends the session
SOCKET_SHARE = 0.15  # of the file descriptors, for sessions
MAX_QUEUED_CALLS = 4  # calls that wait for one worker to grab them; with more, the worker is full
MAX_ABILITIES = 256  # functions of one worker
READER_LIMIT_BYTES = 16 * 1024  # of a text command; twice as many unread bytes pause the reading
SOCKET_BUFFER_BYTES = 64 * 1024  # kernel buffers for what this process, or a peer, has yet to read
TURN_S = 0.001  # for which one session handles packets before the others have their turn
MAX_PARTIAL_DATA_BYTES = 64 * 1024  # of a result collected for a client that cannot receive it in parts
ACCEPT_BATCH = 16  # sessions accepted per iteration of the event loop; each uses a descriptor until it is refused
CHECK_INTERVAL_S = 0.5
HANDSHAKE_TIMEOUT_S = 3.0  # of TLS; it also closes the connection of a client that speaks plain TCP to a TLS port
DUE_RETRY_S = 1.0  # after which a scheduled job that was due but found the queues full is tried again
ANSWER_MARGIN_MS = 5.0  # before its client's deadline, a job that is still queued is answered
# A dequeued job with at least this many times its class's aim left is offered to the Balancer as if it had just
# arrived, with the full deadline.
FULL_BUDGET_AIMS = 3.0
MAX_ENDED_BY_EXCEPTION = 64  # handles per session for which a WORK_FAIL may still follow a WORK_EXCEPTION
DRAIN_TIMEOUT_S = 30.0  # for a peer to read what was sent to it


class GearmanFrontEnd:
    """The Gearman front end, and the core's port for its workers."""

    def __init__(self, config: Config, core: Core, counters: Counters, store: Store, memory: MemoryBudget,
                 shutdown: Callable[[], None]) -> None:
        """``memory``: for all that peers make this process hold; ``shutdown`` ends the process."""
        self.core = core
        self.memory = memory
        self.counters = counters
        self.store = store
        self.config = config.fronts.gearman
        self.address = config.fronts.gearman_address()
        self.functions = FunctionClasses(self.config.functions, self.config.default_class,
                                         lambda: core.class_table, store, core.clock)
        self._config_changes_seen = store.config_changes
        self.own_index = config.settings.me
        self.scheduler_count = config.settings.balancers
        self.max_sessions = int(config.limits.sockets * SOCKET_SHARE)
        # The time until which at-most-once jobs with a unique are refused.
        self.hold_until = core.clock.now() + self.config.keep_s * 1000.0 if self.config.hold_after_start else 0.0
        self.stopping = False
        self.fence: Fence | None = None
        self._random = random.Random(config.seed)
        self._handle_prefix = f"H:{config.name}:{self._random.getrandbits(24):06x}:".encode()
        self._last_serial = 0
        self._server: asyncio.Server | None = None
        self._listener: socket.socket | None = None
        self._tasks = Tasks(counters)
        self._sessions: dict[asyncio.Task[None], Session] = {}
        self._workers: dict[str, Session] = {}
        self._submissions = SubmissionTable(memory)
        self._results = ResultCache(self.config.ends_most, self.config.ends_bytes, memory)
        self.queues = Queues(QueueLimits(self.config.queue_most, self.config.queue_function_most,
                                         self.config.queue_client_most, self.config.queue_bytes))
        self.schedule = Schedule(self.config.schedule_most)
        self._backoff = BackgroundBackoff()
        self._keep_job = self._take_back  # one bound method for all jobs
        self._dispatched = [0] * len(config.class_names)  # dequeued and not yet answered, by class index
        self._unstarted: Counter[tuple[bytes, int]] = Counter()  # dequeued jobs that no worker has started
        self._check_now = asyncio.Event()
        self._text_commands = TextCommands(
            core, counters, memory, self.queues, self.schedule, self.functions, self._sessions, self._workers,
            self._submissions, self._refuse, shutdown)

    def on_lease_gained(self) -> None:
        """Called when this instance gains the service address; jobs of its former holder may still run."""
        longest = [c.deadline_ms for c in self.core.settings.classes if c.effect != Effect.SAFE]
        self.hold_until = max(self.hold_until, self.core.clock.now() + max(longest, default=0.0))

    # -- lifecycle --

    async def open(self) -> None:
        """Listen, if an address is configured."""
        if self.address is None:
            return
        context = None
        if self.config.tls_cert:
            from ...gearman.tls import server_context

            context = server_context(self.config)
        loop = asyncio.get_running_loop()
        addresses = await loop.getaddrinfo(*self.address, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)
        # The socket is created with its protocol number: without it, asyncio does not set TCP_NODELAY, and Nagle's
        # algorithm then adds 40 ms to a job.
        self._listener = listener = socket.socket(*addresses[0][:3])
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Inherited by accepted connections.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        listener.setblocking(False)
        listener.bind(addresses[0][4])
        await self._listen_on(context)

    async def _listen_on(self, context: ssl.SSLContext | None) -> None:
        """Accept connections with this TLS context on the one listening socket; open sessions continue."""
        assert self._listener is not None
        old_server = self._server
        self._server = await asyncio.start_server(
            self._serve, sock=self._listener.dup(), limit=READER_LIMIT_BYTES, backlog=ACCEPT_BATCH, ssl=context,
            ssl_handshake_timeout=HANDSHAKE_TIMEOUT_S if context is not None else None)
        self._listener.listen(BACKLOG)  # asyncio accepts up to its ``backlog`` at once, so that one is small
        if old_server is not None:
            old_server.close()

    def reload_tls(self) -> None:
        """Load the certificates again; if they are invalid, those in use stay."""
        if self.config.tls_cert and self._server is not None:
            self._tasks.start(self._reload_tls())

    async def _reload_tls(self) -> None:
        from ...gearman.tls import server_context

        try:
            await self._listen_on(server_context(self.config))
            self.counters.add("gearman.tls_reloaded")
        except ConfigError as error:
            self.counters.log("gearman.tls_not_reloaded", str(error))

    async def run(self) -> None:
        """Dispatch queued and due jobs, expire recorded results, and end calls that exceed a worker's timeout."""
        while True:
            now = self.core.clock.now()
            due_ms = min(self.queues.next_expiry(), self._backoff.next_release(now)) - now
            with suppress(TimeoutError):
                async with asyncio.timeout(min(CHECK_INTERVAL_S, max(0.001, due_ms / 1000.0))):
                    await self._check_now.wait()
            self._check_now.clear()
            self._enqueue_due()
            if self.store.config_changes != self._config_changes_seen:
                self._config_changes_seen = self.store.config_changes
                await self.core.post(self._update_listed_workers)
            await self.core.post(self._dispatch)
            now = self.core.clock.now()
            self._results.expire(now)
            for session in list(self._workers.values()):
                await self._end_calls_after_exception(session)
                for handle, assignment in list(session.assignments.items()):
                    if assignment.call is not None and now >= assignment.times_out_at:
                        self.counters.add("gearman.worker_timeouts")
                        await self._end_call(session, handle, Outcome(Status.TIMEOUT))
                        session.writer.transport.abort()  # a worker must not continue a job whose call has ended

    async def close(self) -> None:
        """Close the listening socket and all sessions."""
        await self._tasks.close()
        if self._server is not None:
            self._server.close()
        if self._listener is not None:
            self._listener.close()
        for task in list(self._sessions):
            task.cancel()
        if self._sessions:
            await asyncio.wait(list(self._sessions))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._last_serial += 1
        session = Session(self._last_serial, reader, writer, self.memory)
        self._sessions[task] = session
        try:
            if len(self._sessions) <= self.max_sessions:
                self.counters.add("connections.gearman")
                await self._read_packets(session)
            else:
                self.counters.add("connections.gearman_refused")
        except (OSError, TimeoutError, EOFError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            del self._sessions[task]
            writer.transport.abort()
            session.release_all()
            await self._session_ended(session)

    async def _read_packets(self, session: Session) -> None:
        """Handle packets and text commands one at a time, until the peer disconnects or breaks the protocol."""
        reader, writer = session.reader, session.writer
        while True:
            await self._take_turn(session)
            first = await self._read_first_byte(session)
            if first != b"\0":
                if first != b"\n":
                    line = (first + await reader.readuntil(b"\n")).decode("latin-1").split()
                    async with aclosing(self._text_commands.answer(line)) as answer:
                        async for part in answer:
                            writer.write(part)
                            await self._drain(session)
                continue
            magic, kind, size = HEADER.unpack(first + await reader.readexactly(HEADER.size - 1))
            if magic != REQUEST or size > MAX_SKIPPED_BYTES:
                self.counters.log("garbled.packet", f"magic {magic!r}, size {size}")
                return
            try:
                if size > MAX_WORKLOAD_BYTES + MAX_NAME_BYTES:
                    while size:
                        size -= len(await reader.readexactly(min(size, MAX_WORKLOAD_BYTES)))
                    raise PacketError("too_large", "packet too large")
                session.charge(size)
                try:
                    await self._handle_packet(session, kind, await reader.readexactly(size))
                finally:
                    session.charge(-size)
            except PacketError as error:
                self.counters.log("garbled.packet", f"type {kind}: {error} (session {session.number})")
                session.send(ERROR, error.code.encode(), str(error).encode())
            await self._drain(session)

    @staticmethod
    async def _take_turn(session: Session) -> None:
        """Let other sessions have their turn after ``TURN_S``; reads never wait for a peer that floods."""
        now = asyncio.get_running_loop().time()
        if now - session.turn_began > TURN_S:
            await asyncio.sleep(0)
            session.turn_began = asyncio.get_running_loop().time()

    async def _read_first_byte(self, session: Session) -> bytes:
        """The first byte of the next packet or text command.

        Guards against peers that vanished without closing the connection and would occupy a descriptor for ever:
        a session that has no job and waits for none is closed after ``idle_s``.  A sleeping worker is not idle, as
        it waits for the scheduler.  Also guards against closing a session whose packet arrived while this process
        was stalled.
        """
        while self.config.idle_s:
            try:
                async with timeout_after_poll(self.config.idle_s):
                    return await session.reader.readexactly(1)
            except TimeoutError:
                if session.assignments or session.queued_calls or session.awaited_jobs or session.asleep:
                    continue
                if shutdown_if_idle(session.writer.get_extra_info("socket")):
                    self.counters.add("gearman.idle_closed")
                    raise
        return await session.reader.readexactly(1)

    @staticmethod
    async def _drain(session: Session) -> None:
        session.account_output()
        async with asyncio.timeout(DRAIN_TIMEOUT_S):
            await session.writer.drain()
        session.account_output()

    async def _session_ended(self, session: Session) -> None:
        """Clean up after a session: its queued calls never ran; those that it grabbed may have run."""
        for submission in list(session.awaited_jobs):
            submission.waiting_clients = [s for s in submission.waiting_clients if s is not session]
            if submission.waiting_clients or submission.background or submission.job is None:
                continue
            # A job with a unique that was assigned to a worker continues: its client may take it for lost, submit
            # it again and be attached to it.  One that was never assigned did not run: it is dropped, as no client
            # waits for it, and can be submitted as a new job.
            if submission.unique and any(call.written for call in submission.job.calls):
                self.counters.add("gearman.left_running")
                continue
            self.counters.add("gearman.client_gone")
            submission.abandoned_at = self.core.clock.now()
            self._submissions.remove(submission)
            if submission.unique:
                self._release_unique(submission)
            if submission.queue_entry is not None:
                self.queues.remove(submission.queue_entry)
                submission.queue_entry = None
                continue
            self._dispatched[submission.job.class_index] -= 1
            self._mark_started(submission)
            await self.core.post(partial(self.core.client_gone, submission.job))
        session.awaited_jobs.clear()
        self._workers.pop(session.name, None)
        await self._list_worker(session)
        queued, session.queued_calls = session.queued_calls, []
        for _, _, _, call in queued:
            await self.core.post(partial(self.core.call_ended, call, Outcome(Status.CONNECT_FAILED)))
        for handle in list(session.assignments):
            await self._end_call(session, handle, Outcome(Status.RESET))

    # -- packets --

    async def _handle_packet(self, session: Session, kind: int, data: bytes) -> None:
        arguments = split_arguments(kind, data)
        self.counters.add("gearman.packets")
        if kind in SUBMIT_KINDS:
            function, unique, *schedule_fields, workload = arguments
            due, reducer = None, b""
            if kind in (SUBMIT_REDUCE_JOB, SUBMIT_REDUCE_JOB_BG):
                reducer = schedule_fields[0]
            elif kind == SUBMIT_JOB_EPOCH:
                due = parse_epoch(schedule_fields[0], time.time())
            elif kind == SUBMIT_JOB_SCHED:
                due = next_occurrence(schedule_fields, time.time())
            self._submit(session, kind, function, unique, workload, due, reducer)
        elif kind in (GRAB_JOB, GRAB_JOB_UNIQ, GRAB_JOB_ALL):
            await self._grab(session, kind)
        elif kind == PRE_SLEEP:
            await self._end_calls_after_exception(session)
            session.asleep = True
            self._wake_worker(session)
        elif kind in WORK_UPDATES:
            await self._handle_work_update(session, kind, arguments)
        elif kind in (WORK_COMPLETE, WORK_FAIL):
            await self._handle_work_end(session, kind, arguments)
        elif kind in (CAN_DO, CAN_DO_TIMEOUT, CANT_DO, RESET_ABILITIES):
            await self._update_abilities(session, kind, arguments)
        elif kind == GET_STATUS:
            submission = self._submissions.by_handle.get(arguments[0])
            session.send(STATUS_RES, arguments[0], *_status_fields(submission))
        elif kind == GET_STATUS_UNIQUE:
            submission = self._submissions.with_unique(arguments[0])
            waiting_count = len(submission.waiting_clients) if submission is not None else 0
            session.send(STATUS_RES_UNIQUE, arguments[0], *_status_fields(submission), b"%d" % waiting_count)
        elif kind == ECHO_REQ:
            session.send(ECHO_RES, data)
        elif kind == SET_CLIENT_ID:
            session.client_id = re.sub(rb"[^!-~]", b"_", arguments[0])[:64] or b"-"
        elif kind == OPTION_REQ:
            if arguments[0] != b"exceptions":
                raise PacketError("unknown_option", "unknown option")
            session.wants_exceptions = True
            session.send(OPTION_RES, arguments[0])

    # -- clients --

    def _submit(self, session: Session, kind: int, function: bytes, unique: bytes, workload: bytes,
                due: float | None = None, reducer: bytes = b"") -> None:
        priority, foreground = SUBMIT_KINDS[kind]
        if foreground and session.has_left:
            self.counters.add("gearman.left_before")
            raise ConnectionResetError("client left before its job was accepted")
        class_index = self.functions.class_of(function)
        if class_index is None:
            raise PacketError("unknown_function", "no class is set for this function")
        if len(workload) > MAX_WORKLOAD_BYTES or len(function) + len(unique) > MAX_NAME_BYTES:
            raise PacketError("too_large", "job too large")
        if unique == b"-":  # in the protocol: the workload itself is the unique
            unique = hashlib.blake2b(workload, digest_size=16).hexdigest().encode()
        key = (function, unique)
        submission = self._submissions.by_unique.get(key) if unique else None
        if submission is not None:
            self.counters.add("gearman.joined")
            session.send(JOB_CREATED, submission.handle)
            self._add_client(session, submission, foreground)
            if submission.job is not None:
                self._extend_wait(submission, not foreground)
            if submission.queue_entry is not None:
                self.queues.upgrade(submission.queue_entry, priority, submission.expires_at, foreground)
            return
        result = self._results.get(key) if unique else None
        if result is not None and result.expires_at > self.core.clock.now():
            self.counters.add("gearman.recorded")
            session.send(JOB_CREATED, result.handle)
            if foreground:
                _send_result(session, result.handle, result.final_status, result.body)
            return
        reason = self._at_most_once_refusal(class_index, key) if unique else ""
        size = len(function) + len(unique) + len(workload)
        reason = reason or self.queues.refusal_reason(function, session.number, priority, size,
                                                      self._unstarted[(function, priority)])
        if not reason and not self._submissions.has_room(session.number, size):
            self.counters.add("gearman.no_memory")
            reason = "queues_full"
        if reason or self.stopping:
            raise PacketError(reason or "leaving", "refused; it did not run")
        if self.fence is not None and not self.fence.holds():
            self.counters.add("requests.fenced")
            raise PacketError("not_holder", "another instance holds the service address; it did not run")
        self._last_serial += 1
        submission = Submission(self._handle_prefix + b"%d" % self._last_serial, function, unique, priority,
                                not foreground, reducer=reducer)
        now = self.core.clock.now()
        job = Job(f"{self._random.getrandbits(64):016x}", class_index, now,
                  self.core.settings.classes[class_index].deadline_ms, partial(self._on_answer, submission),
                  workload, on_update=partial(self._forward_update, submission), front_context=submission,
                  fence=self.fence, max_calls=self.core.settings.max_attempts,
                  take_back=self._keep_job)
        job.client_left_at = lambda: submission.client_left_at(self.core.clock.now())
        submission.job = job
        if due is None:
            self._enqueue(submission, session.number, size)
        elif not self.schedule.put(submission, due):
            raise PacketError("schedule_full", "refused; it did not run")
        else:
            submission.size = size
        self._submissions.add(submission, session.number, size)
        if unique and self._is_at_most_once(class_index):
            self.store.put(_claim_key(key), b"running", now, self.config.keep_s * 1000.0)
        self.counters.add("gearman.submitted")
        session.send(JOB_CREATED, submission.handle)
        self._add_client(session, submission, foreground)
        self._dispatch()
        if self.queues.next_expiry() < now + CHECK_INTERVAL_S * 1000.0:
            self._check_now.set()

    # -- queueing and dispatch --

    def _enqueue(self, submission: Submission, client: int, size: int) -> bool:
        """Queue a job until a worker has capacity; False if the queues are full."""
        assert submission.job is not None
        self._extend_wait(submission, submission.background)
        queued = self.queues.put(submission, submission.job.class_index, submission.function, client,
                                 submission.priority, size, self.core.clock.now(), submission.expires_at,
                                 submission.background and not submission.waiting_clients)
        submission.queue_entry = queued if isinstance(queued, QueuedJob) else None
        return submission.queue_entry is not None

    def _enqueue_due(self) -> None:
        """Queue the scheduled jobs that are due by the current wall clock; retry later if the queues are full."""
        now = self.core.clock.now()
        for submission in self.schedule.pop_due(time.time(), now):
            if not self._enqueue(submission, submission.client, submission.size):
                self.counters.add("gearman.due_and_no_room")
                self.schedule.retry(submission, now + DUE_RETRY_S * 1000.0)

    def _extend_wait(self, submission: Submission, background: bool) -> None:
        """Let a job wait until its client's deadline, or for the lifetime of a background job from now on."""
        assert submission.job is not None
        if background:
            expires_at = self.core.clock.now() + self.config.background_s * 1000.0
        else:
            deadline_ms = self.core.settings.classes[submission.job.class_index].deadline_ms
            expires_at = submission.job.received_at + deadline_ms - ANSWER_MARGIN_MS
        submission.expires_at = max(submission.expires_at, expires_at)

    def _dispatch(self) -> None:
        """Offer jobs to the core in queue order, as far as workers have capacity; refuse those that expired."""
        now = self.core.clock.now()
        for expired in self.queues.pop_expired(now):
            self.counters.add("gearman.expired")
            if expired.item.background:
                self.counters.log("gearman.background_expired", f"{expired.item.handle.decode()}: it never ran")
            expired.item.queue_entry = None
            self._refuse(expired.item)
        self._backoff.yield_to_foreground(self.core.last_busy_refusal_at)
        for class_index, dispatched in enumerate(self._dispatched):
            eligible = self.core.count_eligible(class_index)
            room = self.config.per_worker * eligible - dispatched
            background_room = self._backoff.allowance(class_index, now, room, eligible - dispatched)
            while (room > 0 and self.core.can_accept()
                   and (queue_entry := self.queues.dequeue(class_index, background_room > 0)) is not None):
                room -= 1
                if queue_entry.background:
                    background_room -= 1
                    self._backoff.record_offer(class_index, now)
                self._offer_to_core(queue_entry, now)

    def _offer_to_core(self, queue_entry: QueuedJob, now: float) -> None:
        submission: Submission = queue_entry.item
        submission.queue_entry, submission.last_queue_entry = None, queue_entry
        assert submission.job is not None
        job_class = self.core.settings.classes[submission.job.class_index]
        if submission.background and not submission.waiting_clients:
            submission.job.received_at = now  # no client waits, so its deadline counts from now
        elif submission.job.received_at + job_class.deadline_ms - now >= FULL_BUDGET_AIMS * job_class.aim_ms:
            # Guards against refusing jobs because they were queued: the Balancer treats a request with less time
            # left than usual as late.  Queueing is expected here, and the core still enforces the deadline.
            submission.job.balancer_budget_ms = job_class.deadline_ms
        self._dispatched[submission.job.class_index] += 1
        self._unstarted[(submission.function, submission.priority)] += 1
        self.core.offer(submission.job)

    def _take_back(self, job: Job) -> bool:
        """Queue a background job again that the core gave up before it ran; False if that was its final answer.

        Its client was told that it is accepted and hears nothing more: it waits as long as it may.  Clients that
        wait for the same job are answered.
        """
        now = self.core.clock.now()
        submission = job.front_context
        assert isinstance(submission, Submission) and submission.last_queue_entry is not None
        attempts_left = job.max_calls - job.attempts_made
        if (not submission.background or submission.cancelled or self.stopping or now >= submission.expires_at
                or attempts_left <= 0 or (job.fence is not None and not job.fence.holds())):
            return False
        self.counters.add("gearman.requeued")
        self._dispatched[job.class_index] -= 1
        self._mark_started(submission)
        submission.running = False
        self._answer_clients(submission, Answer(FinalStatus.REFUSED))
        submission.job = replace(job, max_calls=attempts_left, calls=[], open_calls=0, number=0, answered=False,
                                 give_up_reason="", balancer_budget_ms=0.0)
        submission.queue_entry = self.queues.put_back(submission.last_queue_entry, submission.expires_at)
        self._backoff.record_refusal(job.class_index, now, self._random.random())
        self._check_now.set()  # the time until the next offer is another one
        self._dispatch()
        return True

    def _mark_started(self, submission: Submission) -> None:
        """Mark a dequeued job as started; also if it ended without having started."""
        if not submission.running:
            submission.running = True
            self._unstarted[(submission.function, submission.priority)] -= 1
            if not self._unstarted[(submission.function, submission.priority)]:
                del self._unstarted[(submission.function, submission.priority)]

    def status(self) -> dict[str, float]:
        """The values that ``gaphub status`` shows of the queues."""
        return {"waiting": self.queues.count, "bytes": self.queues.bytes, "scheduled": len(self.schedule),
                "oldest_ms": round(self.queues.oldest_ms(self.core.clock.now()), 1),
                "refused": self.queues.refused, "out": sum(self._dispatched)}

    def refuse_queued(self) -> None:
        """Refuse all queued and scheduled jobs: this scheduler will not serve them, and none of them ran."""
        for queued in self.queues.clear():
            queued.item.queue_entry = None
            self._refuse(queued.item)
        for submission in self.schedule.clear():
            self._refuse(submission)

    def stop_accepting(self) -> None:
        """Refuse new jobs from now on, and all that are queued or scheduled."""
        self.stopping = True
        self.refuse_queued()

    def _is_at_most_once(self, class_index: int) -> bool:
        return self.core.settings.classes[class_index].effect != Effect.SAFE

    def _at_most_once_refusal(self, class_index: int, key: tuple[bytes, bytes]) -> str:
        """The error code for an at-most-once job with a unique whose earlier run could not be ruled out; "": none.

        Each unique belongs to one scheduler.  One that has just started may have run the job before its restart,
        and a replicated claim without a local record means that another one accepted the job.
        """
        if not self._is_at_most_once(class_index):
            return ""
        now = self.core.clock.now()
        if self.fence is None and zlib.crc32(b"\0".join(key)) % self.scheduler_count != self.own_index:
            return "not_home"  # with a fence, the holder accepts all
        if now < self.hold_until:
            return "just_started"
        if self.store.get(_claim_key(key), now) is not None:
            return "claimed"
        if len(self._results) + len(self._submissions.by_unique) >= self.config.ends_most:
            return "no_room"
        return ""

    def _add_client(self, session: Session, submission: Submission, foreground: bool) -> None:
        if foreground:
            submission.waiting_clients.append(session)
            session.awaited_jobs.add(submission)
        else:
            submission.background = True

    def _forward_update(self, submission: Submission, kind: str, arguments: tuple[bytes, ...]) -> None:
        """Forward an update of a running job from the core to all clients that wait for it."""
        if kind == "started":
            self._mark_started(submission)
        elif kind == "status":
            submission.progress = (arguments[0], arguments[1])
        for packet, name in WORK_UPDATES.items():
            if name == kind:
                for session in submission.waiting_clients:
                    if packet != WORK_EXCEPTION or session.wants_exceptions:
                        session.send(packet, submission.handle, *arguments)

    def _refuse(self, submission: Submission) -> None:
        """Answer a job that was never offered to the core: it did not run."""
        self._on_answer(submission, Answer(FinalStatus.REFUSED), dispatched=False)

    def _release_unique(self, submission: Submission) -> None:
        """Allow the unique to be submitted as a new job; an at-most-once job must never have run."""
        assert submission.job is not None
        if self._is_at_most_once(submission.job.class_index):
            self.store.delete(_claim_key(submission.key), self.core.clock.now())

    def _on_answer(self, submission: Submission, answer: Answer, dispatched: bool = True) -> None:
        """Record the final answer of a job, from the core or its queue, and send it to all waiting clients."""
        if submission.abandoned_at:
            # Guards against an answer that was already posted when the last client left: the job's resources were
            # released then, and its unique may belong to another job by now.
            return
        self._submissions.remove(submission)
        key = submission.key
        assert submission.job is not None
        if dispatched:
            self._dispatched[submission.job.class_index] -= 1
            self._mark_started(submission)
        if submission.unique:
            at_most_once = self._is_at_most_once(submission.job.class_index)
            now = self.core.clock.now()
            if answer.final_status is FinalStatus.SERVED or (
                    answer.final_status is FinalStatus.FAILED and at_most_once):
                self._results.put(key, JobResult(submission.handle, answer.final_status, answer.body,
                                                 now + self.config.keep_s * 1000.0, not at_most_once))
                if at_most_once:
                    self.store.put(_claim_key(key), answer.final_status.value.encode(), now,
                                   self.config.keep_s * 1000.0)
            else:
                self._release_unique(submission)
        self._answer_clients(submission, answer)
        if dispatched and answer.final_status is not FinalStatus.REFUSED:
            self._backoff.record_end(submission.job.class_index)
        if dispatched and self.queues.count:
            self._dispatch()  # its worker has capacity again

    @staticmethod
    def _answer_clients(submission: Submission, answer: Answer) -> None:
        for session in submission.waiting_clients:
            session.awaited_jobs.discard(submission)
            _send_result(session, submission.handle, answer.final_status, answer.body)
        submission.waiting_clients.clear()

    # -- workers --

    async def _update_abilities(self, session: Session, kind: int, arguments: list[bytes]) -> None:
        if kind == RESET_ABILITIES:
            for function in list(session.abilities):
                session.remove_ability(function)
        elif kind == CANT_DO:
            session.remove_ability(arguments[0])
        else:
            if kind == CAN_DO_TIMEOUT and not re.fullmatch(rb"\d{1,9}", arguments[1]):
                raise PacketError("invalid_packet", "time-out is not a number")
            if len(arguments[0]) > MAX_NAME_BYTES:
                raise PacketError("too_large", "no job can have such a function")
            timeout_s = float(arguments[1]) if kind == CAN_DO_TIMEOUT else 0.0
            if len(session.abilities) >= MAX_ABILITIES or not session.add_ability(arguments[0], timeout_s):
                raise PacketError("too_many", "too many functions")
        self._workers[session.name] = session
        dropped_calls = self._remove_unable_calls(session, self.functions.class_mask(session.abilities))
        await self._list_worker(session)
        for call in dropped_calls:
            await self.core.post(partial(self.core.call_ended, call, Outcome(Status.FULL)))

    @staticmethod
    def _remove_unable_calls(session: Session, class_mask: int) -> list[Call]:
        """Remove the queued calls of classes that a worker no longer offers; they never ran."""
        kept = [q for q in session.queued_calls if class_mask >> q[3].job.class_index & 1]
        removed = [q[3] for q in session.queued_calls if not class_mask >> q[3].job.class_index & 1]
        session.queued_calls = kept
        heapify(session.queued_calls)
        return removed

    def _listing_of(self, session: Session) -> tuple[WorkerState, int]:
        """The state and class mask with which a worker is to be listed now."""
        if self._workers.get(session.name) is not session:
            return WorkerState.GONE, 0
        class_mask = self.functions.class_mask(session.abilities)
        return WorkerState.READY if class_mask else WorkerState.DRAINING, class_mask

    def _needs_listing(self, session: Session) -> bool:
        """Whether the core is to be told of a worker; one that never could run a job is not listed."""
        listing = self._listing_of(session)
        if session.listed_as is None:
            return listing[0] == WorkerState.READY
        return session.listed_as != listing

    async def _list_worker(self, session: Session) -> None:
        if not self._needs_listing(session):
            return
        session.listed_as = self._listing_of(session)
        await self.core.post(partial(self._update_listed_worker, session))
        await self.core.post(self._dispatch)

    def _update_listed_worker(self, session: Session) -> None:
        """Tell the core how a worker is listed; runs in the core's task.

        The listing is computed anew, as a reload may have come after the message was posted.
        """
        state, class_mask = session.listed_as = self._listing_of(session)
        kinds = [c.kind for i, c in enumerate(self.core.settings.classes) if class_mask >> i & 1 and c.kind >= 0]
        entry = ListedDestination(session.name, session.name, state, kind=kinds[0] if kinds else 0,
                                  zone=self.core.settings.zone, class_mask=class_mask)
        self.core.update_destinations(SOURCE, ListKind.CHANGES, [entry])

    def _update_listed_workers(self) -> None:
        """List all workers anew, as the classes of their functions may have changed."""
        for session in list(self._workers.values()):
            if not self._needs_listing(session):
                continue
            self._update_listed_worker(session)
            for call in self._remove_unable_calls(session, self.functions.class_mask(session.abilities)):
                self.core.call_ended(call, Outcome(Status.FULL))

    # -- ClassIndexUser of the core --

    def class_indexes_in_use(self) -> set[int]:
        """The class indexes of all accepted jobs, queued and scheduled ones included."""
        return {s.job.class_index for s in self._submissions.by_handle.values() if s.job is not None}

    def on_classes_changed(self) -> None:
        """A reload has changed the class table: jobs that come from now on get the new rules."""
        self._dispatched += [0] * (len(self.core.class_names) - len(self._dispatched))
        self._update_listed_workers()
        self._dispatch()

    def _wake_worker(self, session: Session) -> None:
        if session.asleep and session.queued_calls:
            session.asleep = False
            session.send(NOOP)

    async def _end_calls_after_exception(self, session: Session) -> None:
        """End calls after a WORK_EXCEPTION: a worker may ask for its next job without sending WORK_FAIL."""
        for handle in [h for h, a in session.assignments.items() if a.got_exception]:
            session.ended_by_exception[handle] = None
            if len(session.ended_by_exception) > MAX_ENDED_BY_EXCEPTION:
                session.ended_by_exception.popitem(last=False)
            await self._end_call(session, handle, Outcome(Status.ERROR))

    async def _grab(self, session: Session, kind: int) -> None:
        session.asleep = False
        await self._end_calls_after_exception(session)
        while (session.queued_calls
               and (reason := self.core.check_before_last_byte(session.queued_calls[0][3])) is not None):
            call = heappop(session.queued_calls)[3]  # no longer permitted or needed: nothing of it was written
            call.finished = True
            await self.core.post(partial(self.core.call_ended, call, Outcome(reason)))
        if not session.queued_calls:
            session.send(NO_JOB)
            return
        _, _, handle, call = heappop(session.queued_calls)
        submission = call.job.front_context if isinstance(call.job.front_context, Submission) else None
        function = self._function_for(session, submission, call.job.class_index)
        limit = session.abilities.get(function, 0.0)
        times_out_at = self.core.clock.now() + limit * 1000.0 if limit > 0 else 1e18
        session.assignments[handle] = Assignment(call, times_out_at)
        call.written = True
        self.core.call_written(call)
        self.counters.add("gearman.assigned")
        head = [handle, function]
        if kind != GRAB_JOB:
            head.append(submission.unique if submission is not None else b"")
        if kind == GRAB_JOB_ALL:
            head.append(submission.reducer if submission is not None else b"")
        assign_kind = {GRAB_JOB: JOB_ASSIGN, GRAB_JOB_UNIQ: JOB_ASSIGN_UNIQ, GRAB_JOB_ALL: JOB_ASSIGN_ALL}[kind]
        session.send(assign_kind, *head, call.job.body)
        await self.core.post(partial(self.core.call_started, call))

    def _function_for(self, session: Session, submission: Submission | None, class_index: int) -> bytes:
        """The submitted function if this worker can do it, else another one of the class."""
        if submission is not None and submission.function in session.abilities:
            return submission.function
        class_name = self.core.class_names[class_index]
        return next((f for f in session.abilities if self.functions.class_name_of(f) == class_name), b"")

    def _assignment_for(self, session: Session, handle: bytes) -> Assignment:
        assignment = session.assignments.get(handle)
        if assignment is None:
            raise PacketError("job_not_found", "no such job is with this worker")
        return assignment

    async def _handle_work_update(self, session: Session, kind: int, arguments: list[bytes]) -> None:
        assignment = self._assignment_for(session, arguments[0])
        call = assignment.call
        if call is None:
            return
        if kind == WORK_DATA and not isinstance(call.job.front_context, Submission):
            if len(assignment.partial_data) + len(arguments[1]) > MAX_PARTIAL_DATA_BYTES:
                raise PacketError("too_large", "partial results too large")
            assignment.partial_data += arguments[1]
        assignment.got_exception = assignment.got_exception or kind == WORK_EXCEPTION
        if kind == WORK_STATUS:
            with suppress(ValueError, ZeroDivisionError):
                share = float(arguments[1]) / float(arguments[2])
                await self.core.post(partial(self.core.call_progressed, call, min(1.0, max(0.0, share))))
        await self.core.post(partial(self.core.forward_update, call, WORK_UPDATES[kind], tuple(arguments[1:])))

    async def _handle_work_end(self, session: Session, kind: int, arguments: list[bytes]) -> None:
        if arguments[0] in session.ended_by_exception:
            del session.ended_by_exception[arguments[0]]  # the call was ended after its WORK_EXCEPTION
            return
        assignment = self._assignment_for(session, arguments[0])
        if kind == WORK_FAIL:
            await self._end_call(session, arguments[0], Outcome(Status.ERROR))
        else:
            await self._end_call(session, arguments[0],
                                 Outcome(Status.OK, bytes(assignment.partial_data) + arguments[1]))

    async def _end_call(self, session: Session, handle: bytes, outcome: Outcome) -> None:
        call = session.assignments.pop(handle).call
        if call is None or call.finished:
            return
        call.finished = True
        duration_ms = self.core.clock.now() - call.sent_at
        session.latency_ms += (duration_ms - session.latency_ms) * (0.2 if session.latency_ms else 1.0)
        outcome.report = self._report(session)
        await self.core.post(partial(self.core.call_ended, call, outcome))

    def _report(self, session: Session) -> tuple[float, ...]:
        """A load report as an HTTP worker would send it; a Gearman worker runs one job at a time."""
        jobs_held = len(session.queued_calls) + len(session.assignments)
        values = {"free_slots": float(max(0, 1 - jobs_held)), "queue": float(len(session.queued_calls)),
                  "inflight": float(jobs_held), "latency_ms": session.latency_ms}
        return tuple(values.get(f, 0.0) for f in self.core.settings.report_fields)

    # -- CallPort of the core --

    def start(self, call: Call) -> Outcome | None:
        """Queue a call until its worker grabs it."""
        session = self._workers.get(call.destination.listed.name)
        if session is None or session.writer.transport.is_closing():
            return Outcome(Status.CONNECT_FAILED)
        if len(session.queued_calls) >= MAX_QUEUED_CALLS:
            return Outcome(Status.FULL, report=self._report(session))
        submission = call.job.front_context if isinstance(call.job.front_context, Submission) else None
        self._last_serial += 1
        handle = submission.handle if submission is not None else self._handle_prefix + b"%d" % self._last_serial
        heappush(session.queued_calls,
                 (submission.priority if submission is not None else 1, self._last_serial, handle, call))
        self._wake_worker(session)
        return None

    def cancel(self, call: Call) -> Outcome | None:
        """Cancel a call: a queued one is removed; a grabbed one is abandoned, or its session is closed."""
        session = self._workers.get(call.destination.listed.name)
        if session is None or call.finished:
            return None  # its outcome is already posted
        queued = [q for q in session.queued_calls if q[3] is not call]
        if len(queued) < len(session.queued_calls):
            session.queued_calls = queued
            heapify(session.queued_calls)
            call.finished = True
            return Outcome(Status.CANCELLED)
        for assignment in session.assignments.values():
            if assignment.call is call:
                call.finished = True
                assignment.call = None
                if not call.job.answered:
                    # The job may be attempted elsewhere: no attempt may then remain on an open connection.
                    session.writer.transport.abort()
                return Outcome(Status.CANCELLED)
        return None

    def probe(self, destination: Destination) -> tuple[Status, tuple[float, ...]] | None:
        """Answer a probe from the session's state, without contacting the worker."""
        session = self._workers.get(destination.listed.name)
        if session is None:
            return Status.CONNECT_FAILED, ()
        return Status.OK, self._report(session)

    def close_idle(self, destination: Destination) -> None:
        """Do nothing: the worker itself closes its only connection."""

    def forget(self, destination: Destination) -> None:
        """Do nothing: a session releases everything when it ends."""


def _status_fields(submission: Submission | None) -> tuple[bytes, bytes, bytes, bytes]:
    if submission is None:
        return b"0", b"0", b"0", b"0"
    return (b"1", b"1" if submission.running else b"0", *submission.progress)


def _claim_key(key: tuple[bytes, bytes]) -> str:
    return "state/jobs/" + hashlib.blake2b(b"\0".join(key), digest_size=16).hexdigest()


def _send_result(session: Session, handle: bytes, final_status: FinalStatus, body: bytes | None) -> None:
    if final_status is FinalStatus.SERVED and body is not None:
        session.send(WORK_COMPLETE, handle, body)
        return
    if session.wants_exceptions:
        reason = "refused; it did not run" if final_status is FinalStatus.REFUSED else "failed; it may have run"
        if final_status is FinalStatus.SERVED:
            reason = "served; the result is kept no longer"
        session.send(WORK_EXCEPTION, handle, reason.encode())
    session.send(WORK_FAIL, handle)
