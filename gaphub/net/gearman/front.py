"""Owns the Gearman front: its listening socket, the sessions of clients and workers, and their jobs.

Submitted jobs go through the core like any request, and a worker that registers a function is a
destination of the core beside the HTTP ones.  It must never choose a worker, never hand a job out a second
time by itself, and never say "never ran" of a job once its JOB_ASSIGN was written.  A never-twice job with
a unique is taken only where its record is kept (``_why_not``).
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
from contextlib import suppress
from functools import partial
from heapq import heapify, heappop, heappush

from ...config import Config, ConfigError
from ...core import Core
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
    NEWS,
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
    SUBMIT_REDUCE_JOB,
    SUBMIT_REDUCE_JOB_BG,
    SUBMITS,
    WORK_COMPLETE,
    WORK_DATA,
    WORK_EXCEPTION,
    WORK_FAIL,
    WORK_STATUS,
    PacketError,
    split,
)
from ...gearman.queues import Bounds, Queues, Waiting
from ...gearman.schedule import Schedule, epoch, next_moment
from ...interface import Effect, ListKind, Status, WorkerState
from ...messages import Answer, Call, Destination, Fence, FinalStatus, Job, ListedDestination, Outcome
from ...metrics import Counters
from ...store import Store
from ...tasks import Tasks
from ..listener import BACKLOG, shutdown_if_idle
from ..timeouts import timeout_after_poll
from .ends import End, Ends
from .functions import Functions
from .session import Assigned, Session, Work
from .text import TextCommands

SOURCE = "gearman"
WORKLOAD_MOST = 64 * 1024
NAMES_MOST = 2 * 1024  # bytes of a packet besides its workload
SKIP_MOST = 16 * 1024 * 1024  # an oversized packet up to this is read over; past it the session ends
SOCKET_SHARE = 0.15  # of the descriptors
QUEUE_MOST = 4  # jobs that wait for one worker's grab; past it the worker is full
DATA_MOST = 64 * 1024  # of partial results kept for a client that cannot take them in parts
ACCEPT_MOST = 16  # sessions accepted in one turn of the event loop, each a descriptor until it is refused
TICK_S = 0.5
HANDSHAKE_S = 3.0  # for a TLS handshake; a plain client on that port is closed by it
AGAIN_S = 1.0  # a scheduled job that is due and finds no room waits so long
EXPIRE_EARLY_MS = 5.0  # a job that waits is answered so long before its client's deadline
TIME_AIMS = 3.0  # a drawn job with more of its class's aims left is no late one
EXCEPTED_MOST = 64  # handles of a session whose WORK_FAIL may still follow a WORK_EXCEPTION
DRAIN_S = 30.0  # for a peer to take what it is sent


class GearmanFrontEnd:
    """The front and the port of Gearman's workers."""

    def __init__(self, config: Config, core: Core, counters: Counters, store: Store,
                 shutdown: Callable[[], None]) -> None:
        self.core = core
        self.counters = counters
        self.store = store
        self.set = config.fronts.gearman
        self.at = config.fronts.gearman_address()
        self.functions = Functions(self.set.functions, self.set.default_class, config.class_names, store,
                                   core.clock)
        self.me = config.settings.me
        self.daemons = config.settings.balancers
        self.max_sessions = int(config.limits.sockets * SOCKET_SHARE)
        self.hold_until = core.clock.now() + self.set.keep_s * 1000.0 if self.set.hold_after_start else 0.0
        self.leaving = False
        self.fence: Fence | None = None
        self._random = random.Random(config.seed)
        self._prefix = f"H:{config.name}:{self._random.getrandbits(24):06x}:".encode()
        self._serial = 0
        self._server: asyncio.Server | None = None
        self._socket: socket.socket | None = None
        self._tasks = Tasks(counters)
        self._handlers: dict[asyncio.Task[None], Session] = {}
        self._workers: dict[str, Session] = {}
        self._works: dict[bytes, Work] = {}  # by handle, while they run
        self._by_unique: dict[tuple[bytes, bytes], Work] = {}
        self._ends = Ends(self.set.ends_most, self.set.ends_bytes, lambda function: not self._never_twice(
            self.functions.class_of(function) or 0))
        self.queues = Queues(Bounds(self.set.queue_most, self.set.queue_function_most,
                                    self.set.queue_client_most, self.set.queue_bytes))
        self.schedule = Schedule(self.set.schedule_most)
        self._dispatched = [0] * len(config.class_names)  # jobs of the queues that the core has
        self._unstarted: Counter[tuple[bytes, int]] = Counter()  # drawn jobs that no worker has begun
        self._stirred = asyncio.Event()
        self._commands = TextCommands(core, counters, self.queues, self.schedule, self.functions, self._handlers,
                                      self._workers, self._works, self._by_unique, self._refused, shutdown)

    def on_lease_gained(self) -> None:
        """From now on this instance holds the service address; a former holder's jobs may still run."""
        longest = [c.deadline_ms for c in self.core.settings.classes if c.effect != Effect.SAFE]
        self.hold_until = max(self.hold_until, self.core.clock.now() + max(longest, default=0.0))

    # -- life --

    async def open(self) -> None:
        """Listen, where the deploy file names an address."""
        if self.at is None:
            return
        context = None
        if self.set.tls_cert:
            from ...gearman.tls import context as read

            context = read(self.set)
        loop = asyncio.get_running_loop()
        found = await loop.getaddrinfo(*self.at, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)
        # With the protocol named: else asyncio leaves Nagle's algorithm on, which cost 40 ms a job.
        self._socket = made = socket.socket(*found[0][:3])
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        made.setblocking(False)
        made.bind(found[0][4])
        await self._listen_on(context)

    async def _listen_on(self, context: ssl.SSLContext | None) -> None:
        """Serve new connections by this context, on the one listening socket; older sessions go on."""
        assert self._socket is not None
        before = self._server
        self._server = await asyncio.start_server(
            self._serve, sock=self._socket.dup(), backlog=ACCEPT_MOST, ssl=context,
            ssl_handshake_timeout=HANDSHAKE_S if context is not None else None)
        self._socket.listen(BACKLOG)  # asyncio accepts as many in a turn as it was told may wait
        if before is not None:
            before.close()

    def reload_tls(self) -> None:
        """Read the certificates again; where one is faulty, those in force stay."""
        if self.set.tls_cert and self._server is not None:
            self._tasks.start(self._reload_tls())

    async def _reload_tls(self) -> None:
        from ...gearman.tls import context as read

        try:
            await self._listen_on(read(self.set))
            self.counters.add("gearman.tls_reloaded")
        except ConfigError as error:
            self.counters.log("gearman.tls_not_reloaded", str(error))

    async def run(self) -> None:
        """Forget ends that have expired and end what outlasts a worker's own time-out."""
        while True:
            now = self.core.clock.now()
            with suppress(TimeoutError):
                async with asyncio.timeout(min(TICK_S, max(0.001, (self.queues.next_expiry() - now) / 1000.0))):
                    await self._stirred.wait()
            self._stirred.clear()
            self._begin_due()
            await self.core.post(self._pump)
            now = self.core.clock.now()
            self._ends.expire(now)
            for session in list(self._workers.values()):
                await self._end_excepted(session)
                for handle, assigned in list(session.assigned.items()):
                    if assigned.call is not None and now >= assigned.until:
                        self.counters.add("gearman.worker_timeouts")
                        await self._end(session, handle, Outcome(Status.TIMEOUT))
                        session.writer.transport.abort()  # the job may be out there no longer than its call

    async def close(self) -> None:
        """Give back the listening socket and every session."""
        await self._tasks.close()
        if self._server is not None:
            self._server.close()
        if self._socket is not None:
            self._socket.close()
        for task in list(self._handlers):
            task.cancel()
        if self._handlers:
            await asyncio.wait(list(self._handlers))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._serial += 1
        session = Session(self._serial, reader, writer)
        self._handlers[task] = session
        try:
            if len(self._handlers) <= self.max_sessions:
                self.counters.add("connections.gearman")
                await self._read(session)
            else:
                self.counters.add("connections.gearman_refused")
        except (OSError, TimeoutError, EOFError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            del self._handlers[task]
            writer.transport.abort()
            await self._lost(session)

    async def _read(self, session: Session) -> None:
        """Packets and text commands, one at a time, until the peer goes or is out of step."""
        reader, writer = session.reader, session.writer
        while True:
            first = await self._first(session)
            if first != b"\0":
                if first != b"\n":
                    line = (first + await reader.readuntil(b"\n")).decode("latin-1").split()
                    writer.write(await self._commands.answer(line))
                    await self._drain(writer)
                continue
            magic, kind, size = HEADER.unpack(first + await reader.readexactly(HEADER.size - 1))
            if magic != REQUEST or size > SKIP_MOST:
                self.counters.log("garbled.packet", f"magic {magic!r}, size {size}")
                return
            try:
                if size > WORKLOAD_MOST + NAMES_MOST:
                    while size:
                        size -= len(await reader.readexactly(min(size, WORKLOAD_MOST)))
                    raise PacketError("too_large", "packet too large")
                data = await reader.readexactly(size)
                await self._packet(session, kind, data)
            except PacketError as error:
                self.counters.log("garbled.packet", f"type {kind}: {error}")
                session.send(ERROR, error.code.encode(), str(error).encode())
            await self._drain(writer)

    async def _first(self, session: Session) -> bytes:
        """The first byte of the next packet or command.

        Guards against peers that vanished without a word and hold a descriptor for ever: a session that has no
        job out and waits for none ends after ``idle_s``.  A worker that sleeps is not idle: it waits for us.

        Against ending one, too, whose packet came while this process was held up.
        """
        while self.set.idle_s:
            try:
                async with timeout_after_poll(self.set.idle_s):
                    return await session.reader.readexactly(1)
            except TimeoutError:
                if session.assigned or session.queue or session.waits_for or session.asleep:
                    continue
                if shutdown_if_idle(session.writer.get_extra_info("socket")):
                    self.counters.add("gearman.idle_closed")
                    raise
        return await session.reader.readexactly(1)

    @staticmethod
    async def _drain(writer: asyncio.StreamWriter) -> None:
        async with asyncio.timeout(DRAIN_S):
            await writer.drain()

    async def _lost(self, session: Session) -> None:
        """A session ended: its queued calls never ran, its grabbed ones may have."""
        for work in list(session.waits_for):
            work.listeners = [s for s in work.listeners if s is not session]
            if work.listeners or work.background or work.job is None:
                continue
            # A job with a unique that a worker was handed runs on: its client may believe it lost and submit it
            # again.  One that has only waited never ran, so it is not begun for nobody, and may be submitted anew.
            if work.unique and any(call.written for call in work.job.calls):
                self.counters.add("gearman.left_running")
                continue
            self.counters.add("gearman.client_gone")
            work.left_at = self.core.clock.now()
            self._works.pop(work.handle, None)
            if work.unique:
                self._unclaim(work)
            if work.waiting is not None:
                self.queues.remove(work.waiting)
                work.waiting = None
                continue
            self._dispatched[work.job.class_index] -= 1
            self._starts(work)
            await self.core.post(partial(self.core.client_gone, work.job))
        session.waits_for.clear()
        if session.told is not None:
            self._workers.pop(session.name, None)
            await self._tell(session, WorkerState.GONE, 0)
        queued, session.queue = session.queue, []
        for _, _, _, call in queued:
            await self.core.post(partial(self.core.call_ended, call, Outcome(Status.CONNECT_FAILED)))
        for handle in list(session.assigned):
            await self._end(session, handle, Outcome(Status.RESET))

    # -- packets --

    async def _packet(self, session: Session, kind: int, data: bytes) -> None:
        arguments = split(kind, data)
        self.counters.add("gearman.packets")
        if kind in SUBMITS:
            function, unique, *moment, workload = arguments
            due, reducer = None, b""
            if kind in (SUBMIT_REDUCE_JOB, SUBMIT_REDUCE_JOB_BG):
                reducer = moment[0]
            elif kind == SUBMIT_JOB_EPOCH:
                due = epoch(moment[0], time.time())
            elif kind == SUBMIT_JOB_SCHED:
                due = next_moment(moment, time.time())
            self._submit(session, kind, function, unique, workload, due, reducer)
        elif kind in (GRAB_JOB, GRAB_JOB_UNIQ, GRAB_JOB_ALL):
            await self._grab(session, kind)
        elif kind == PRE_SLEEP:
            await self._end_excepted(session)
            session.asleep = True
            self._wake(session)
        elif kind in NEWS:
            await self._news(session, kind, arguments)
        elif kind in (WORK_COMPLETE, WORK_FAIL):
            await self._finish(session, kind, arguments)
        elif kind in (CAN_DO, CAN_DO_TIMEOUT, CANT_DO, RESET_ABILITIES):
            await self._abilities(session, kind, arguments)
        elif kind == GET_STATUS:
            work = self._works.get(arguments[0])
            session.send(STATUS_RES, arguments[0], *_status(work))
        elif kind == GET_STATUS_UNIQUE:
            found = [w for (_, unique), w in self._by_unique.items() if unique == arguments[0]]
            work = found[0] if found else None
            waiting = len(work.listeners) if work is not None else 0
            session.send(STATUS_RES_UNIQUE, arguments[0], *_status(work), b"%d" % waiting)
        elif kind == ECHO_REQ:
            session.send(ECHO_RES, data)
        elif kind == SET_CLIENT_ID:
            session.client_id = re.sub(rb"[^!-~]", b"_", arguments[0])[:64] or b"-"
        elif kind == OPTION_REQ:
            if arguments[0] != b"exceptions":
                raise PacketError("unknown_option", "unknown option")
            session.exceptions = True
            session.send(OPTION_RES, arguments[0])

    # -- the client's side --

    def _submit(self, session: Session, kind: int, function: bytes, unique: bytes, workload: bytes,
                due: float | None = None, reducer: bytes = b"") -> None:
        priority, waits = SUBMITS[kind]
        class_index = self.functions.class_of(function)
        if class_index is None:
            raise PacketError("unknown_function", "no class is set for this function")
        if len(workload) > WORKLOAD_MOST or len(function) + len(unique) > NAMES_MOST:
            raise PacketError("too_large", "job too large")
        if unique == b"-":  # the protocol's word for: the workload itself
            unique = hashlib.blake2b(workload, digest_size=16).hexdigest().encode()
        key = (function, unique)
        work = self._by_unique.get(key) if unique else None
        if work is not None:
            self.counters.add("gearman.joined")
            session.send(JOB_CREATED, work.handle)
            self._listen(session, work, waits)
            if work.waiting is not None and work.job is not None:
                self.queues.move(work.waiting, priority, self._expires(work.job, not waits))
            return
        end = self._ends.get(key) if unique else None
        if end is not None and end.expires > self.core.clock.now():
            self.counters.add("gearman.recorded")
            session.send(JOB_CREATED, end.handle)
            if waits:
                _tell_end(session, end.handle, end.ending, end.body)
            return
        why = self._why_not(class_index, key) if unique else ""
        size = len(function) + len(unique) + len(workload)
        why = why or self.queues.why_not(function, session.number, priority, size,
                                         self._unstarted[(function, priority)])
        if why or self.leaving:
            raise PacketError(why or "leaving", "refused; it did not run")
        if self.fence is not None and not self.fence.holds():
            self.counters.add("requests.fenced")
            raise PacketError("not_holder", "another instance holds the service address; it did not run")
        self._serial += 1
        work = Work(self._prefix + b"%d" % self._serial, function, unique, priority, not waits, reducer=reducer)
        now = self.core.clock.now()
        job = Job(f"{self._random.getrandbits(64):016x}", class_index, now,
                  self.core.settings.classes[class_index].deadline_ms, partial(self._answered, work),
                  workload, on_update=partial(self._told, work), front_context=work, fence=self.fence)
        job.client_left_at = lambda: work.left_at
        work.job = job
        if due is None:
            self._queue(work, session.number, size)
        elif not self.schedule.put(work, due):
            raise PacketError("schedule_full", "refused; it did not run")
        else:
            work.client, work.size = session.number, size
        self._works[work.handle] = work
        if unique:
            self._by_unique[key] = work
            if self._never_twice(class_index):
                self.store.put(_claim(key), b"running", now, self.set.keep_s * 1000.0)
        self.counters.add("gearman.submitted")
        session.send(JOB_CREATED, work.handle)
        self._listen(session, work, waits)
        self._pump()
        if self.queues.next_expiry() < now + TICK_S * 1000.0:
            self._stirred.set()

    # -- the queues --

    def _queue(self, work: Work, client: int, size: int) -> bool:
        """Let a job wait for a worker's room."""
        assert work.job is not None
        found = self.queues.put(work, work.job.class_index, work.function, client, work.priority, size,
                                self.core.clock.now(), self._expires(work.job, work.background))
        work.waiting = found if isinstance(found, Waiting) else None
        return work.waiting is not None

    def _begin_due(self) -> None:
        """Queue what is due by the wall clock as it is now; where no room is left, it tries again in a while."""
        now = self.core.clock.now()
        for work in self.schedule.due(time.time(), now):
            if not self._queue(work, work.client, work.size):
                self.counters.add("gearman.due_and_no_room")
                self.schedule.retry(work, now + AGAIN_S * 1000.0)

    def _expires(self, job: Job, background: bool) -> float:
        """Until when a job may wait: its client's deadline, or the life of a background job."""
        if background:
            return self.core.clock.now() + self.set.background_s * 1000.0
        return job.received_at + self.core.settings.classes[job.class_index].deadline_ms - EXPIRE_EARLY_MS

    def _pump(self) -> None:
        """Offer the core what workers have room for, in the queues' order; end what waited too long."""
        now = self.core.clock.now()
        for waiting in self.queues.expired(now):
            self.counters.add("gearman.expired")
            waiting.item.waiting = None
            self._refused(waiting.item)
        for class_index, out in enumerate(self._dispatched):
            room = self.set.per_worker * self.core.count_eligible(class_index) - out
            while room > 0 and self.core.can_accept() and (next_ := self.queues.draw(class_index)) is not None:
                room -= 1
                self._offer(next_.item, now)

    def _offer(self, work: Work, now: float) -> None:
        work.waiting = None
        assert work.job is not None
        cls = self.core.settings.classes[work.job.class_index]
        if work.background and not work.listeners:
            work.job.received_at = now  # nobody counts from its submission
        elif work.job.received_at + cls.deadline_ms - now >= TIME_AIMS * cls.aim_ms:
            # Guards against jobs turned away for having waited: the Balancer takes a request with less left
            # than usual for a late one.  Waiting here is what a queue is for; the core ends it in time.
            work.job.balancer_budget_ms = cls.deadline_ms
        self._dispatched[work.job.class_index] += 1
        self._unstarted[(work.function, work.priority)] += 1
        self.core.offer(work.job)

    def _starts(self, work: Work) -> None:
        """A drawn job runs, or ended before it did."""
        if not work.running:
            work.running = True
            self._unstarted[(work.function, work.priority)] -= 1
            if not self._unstarted[(work.function, work.priority)]:
                del self._unstarted[(work.function, work.priority)]

    def status(self) -> dict[str, float]:
        """What ``gaphub status`` shows of the queues."""
        return {"waiting": self.queues.count, "bytes": self.queues.bytes, "scheduled": len(self.schedule),
                "oldest_ms": round(self.queues.oldest_ms(self.core.clock.now()), 1),
                "refused": self.queues.refused, "out": sum(self._dispatched)}

    def refuse_waiting(self) -> None:
        """End all that waits: this daemon will not serve it, and none of it ran."""
        for waiting in self.queues.clear():
            waiting.item.waiting = None
            self._refused(waiting.item)
        for work in self.schedule.clear():
            self._refused(work)

    def stop_accepting(self) -> None:
        """Take nothing new, and end what waits."""
        self.leaving = True
        self.refuse_waiting()

    def _never_twice(self, class_index: int) -> bool:
        return self.core.settings.classes[class_index].effect != Effect.SAFE

    def _why_not(self, class_index: int, key: tuple[bytes, bytes]) -> str:
        """Why a never-twice job with a unique is refused: where no record could tell of an earlier run.

        A unique has one home among the daemons; a daemon that has just started may have run it in its
        former life; and a replicated claim without a record here says that somebody took it.
        """
        if not self._never_twice(class_index):
            return ""
        now = self.core.clock.now()
        if self.fence is None and zlib.crc32(b"\0".join(key)) % self.daemons != self.me:
            return "not_home"  # with a fence the one home is whoever holds
        if now < self.hold_until:
            return "just_started"
        if self.store.get(_claim(key), now) is not None:
            return "claimed"
        if len(self._ends) + len(self._by_unique) >= self.set.ends_most:
            return "no_room"
        return ""

    def _listen(self, session: Session, work: Work, waits: bool) -> None:
        if waits:
            work.listeners.append(session)
            session.waits_for.add(work)
        else:
            work.background = True

    def _told(self, work: Work, kind: str, arguments: tuple[bytes, ...]) -> None:
        """News of a running job, from the core, for all who wait."""
        if kind == "started":
            self._starts(work)
        elif kind == "status":
            work.progress = (arguments[0], arguments[1])
        for packet, name in NEWS.items():
            if name == kind:
                for session in work.listeners:
                    if packet != WORK_EXCEPTION or session.exceptions:
                        session.send(packet, work.handle, *arguments)

    def _refused(self, work: Work) -> None:
        """A job that the core has never had ends: it did not run."""
        self._answered(work, Answer(FinalStatus.REFUSED), drawn=False)

    def _unclaim(self, work: Work) -> None:
        """A job with a unique never ran: it may be submitted again."""
        assert work.job is not None
        key = (work.function, work.unique)
        self._by_unique.pop(key, None)
        if self._never_twice(work.job.class_index):
            self.store.delete(_claim(key), self.core.clock.now())

    def _answered(self, work: Work, answer: Answer, drawn: bool = True) -> None:
        """The final answer of a job, from the core or its queue: record it, then tell all who wait."""
        if work.left_at:
            # Guards against an answer that is on its way as the last client leaves: what the job held was given
            # back then, and its unique may be another job's by now.
            return
        self._works.pop(work.handle, None)
        key = (work.function, work.unique)
        assert work.job is not None
        if drawn:
            self._dispatched[work.job.class_index] -= 1
            self._starts(work)
        if work.unique:
            never_twice = self._never_twice(work.job.class_index)
            now = self.core.clock.now()
            if answer.final_status is FinalStatus.SERVED or (
                    answer.final_status is FinalStatus.FAILED and never_twice):
                self._by_unique.pop(key, None)
                self._ends.put(key, End(work.handle, answer.final_status, answer.body,
                                        now + self.set.keep_s * 1000.0))
                if never_twice:
                    self.store.put(_claim(key), answer.final_status.value.encode(), now, self.set.keep_s * 1000.0)
            else:
                self._unclaim(work)
        for session in work.listeners:
            session.waits_for.discard(work)
            _tell_end(session, work.handle, answer.final_status, answer.body)
        work.listeners.clear()
        if drawn and self.queues.count:
            self._pump()  # its place is free

    # -- the worker's side --

    async def _abilities(self, session: Session, kind: int, arguments: list[bytes]) -> None:
        if kind == RESET_ABILITIES:
            session.abilities.clear()
        elif kind == CANT_DO:
            session.abilities.pop(arguments[0], None)
        else:
            if kind == CAN_DO_TIMEOUT and not re.fullmatch(rb"\d{1,9}", arguments[1]):
                raise PacketError("invalid_packet", "time-out is not a number")
            if len(session.abilities) >= 256:
                raise PacketError("too_many", "too many functions")
            session.abilities[arguments[0]] = float(arguments[1]) if kind == CAN_DO_TIMEOUT else 0.0
        able = 0
        for function in session.abilities:
            class_index = self.functions.class_of(function)
            if class_index is not None:
                able |= 1 << class_index
        self._workers[session.name] = session
        await self._tell(session, WorkerState.READY if able else WorkerState.DRAINING, able)
        kept = [q for q in session.queue if able >> q[3].job.class_index & 1]
        dropped = [q for q in session.queue if q not in kept]
        session.queue = kept
        heapify(session.queue)
        for _, _, _, call in dropped:  # it can do them no longer: they never ran
            await self.core.post(partial(self.core.call_ended, call, Outcome(Status.FULL)))

    async def _tell(self, session: Session, state: WorkerState, able: int) -> None:
        if session.told == (state, able) or (session.told is None and state != WorkerState.READY):
            return
        session.told = (state, able)
        kinds = [c.kind for i, c in enumerate(self.core.settings.classes) if able >> i & 1 and c.kind >= 0]
        entry = ListedDestination(session.name, session.name, state, kind=kinds[0] if kinds else 0,
                       zone=self.core.settings.zone, class_mask=able)
        await self.core.post(partial(self.core.update_destinations, SOURCE, ListKind.CHANGES, [entry]))
        await self.core.post(self._pump)

    def _wake(self, session: Session) -> None:
        if session.asleep and session.queue:
            session.asleep = False
            session.send(NOOP)

    async def _end_excepted(self, session: Session) -> None:
        """A worker that asks for more after WORK_EXCEPTION has ended that job, whether it says so or not."""
        for handle in [h for h, a in session.assigned.items() if a.excepted]:
            session.excepted[handle] = None
            if len(session.excepted) > EXCEPTED_MOST:
                session.excepted.popitem(last=False)
            await self._end(session, handle, Outcome(Status.ERROR))

    async def _grab(self, session: Session, kind: int) -> None:
        session.asleep = False
        await self._end_excepted(session)
        while session.queue and (why := self.core.check_before_last_byte(session.queue[0][3])) is not None:
            call = heappop(session.queue)[3]  # fenced, or nobody waits for it: nothing of it was written
            call.finished = True
            await self.core.post(partial(self.core.call_ended, call, Outcome(why)))
        if not session.queue:
            session.send(NO_JOB)
            return
        _, _, handle, call = heappop(session.queue)
        work = call.job.front_context if isinstance(call.job.front_context, Work) else None
        function = self._function_for(session, work, call.job.class_index)
        limit = session.abilities.get(function, 0.0)
        until = self.core.clock.now() + limit * 1000.0 if limit > 0 else 1e18
        session.assigned[handle] = Assigned(call, until)
        call.written = True
        self.core.call_written(call)
        self.counters.add("gearman.assigned")
        head = [handle, function]
        if kind != GRAB_JOB:
            head.append(work.unique if work is not None else b"")
        if kind == GRAB_JOB_ALL:
            head.append(work.reducer if work is not None else b"")
        assign = {GRAB_JOB: JOB_ASSIGN, GRAB_JOB_UNIQ: JOB_ASSIGN_UNIQ, GRAB_JOB_ALL: JOB_ASSIGN_ALL}[kind]
        session.send(assign, *head, call.job.body)
        await self.core.post(partial(self.core.call_started, call))

    def _function_for(self, session: Session, work: Work | None, class_index: int) -> bytes:
        """The name under which this worker knows the class; the client's own where it can."""
        if work is not None and work.function in session.abilities:
            return work.function
        return next((f for f in session.abilities if self.functions.class_of(f) == class_index), b"")

    def _assigned(self, session: Session, handle: bytes) -> Assigned:
        assigned = session.assigned.get(handle)
        if assigned is None:
            raise PacketError("job_not_found", "no such job is with this worker")
        return assigned

    async def _news(self, session: Session, kind: int, arguments: list[bytes]) -> None:
        assigned = self._assigned(session, arguments[0])
        call = assigned.call
        if call is None:
            return
        if kind == WORK_DATA and not isinstance(call.job.front_context, Work):
            if len(assigned.parts) + len(arguments[1]) > DATA_MOST:
                raise PacketError("too_large", "partial results too large")
            assigned.parts += arguments[1]
        assigned.excepted = assigned.excepted or kind == WORK_EXCEPTION
        if kind == WORK_STATUS:
            with suppress(ValueError, ZeroDivisionError):
                share = float(arguments[1]) / float(arguments[2])
                await self.core.post(partial(self.core.call_progressed, call, min(1.0, max(0.0, share))))
        await self.core.post(partial(self.core.forward_update, call, NEWS[kind], tuple(arguments[1:])))

    async def _finish(self, session: Session, kind: int, arguments: list[bytes]) -> None:
        if arguments[0] in session.excepted:
            del session.excepted[arguments[0]]  # the end that its WORK_EXCEPTION had brought already
            return
        assigned = self._assigned(session, arguments[0])
        if kind == WORK_FAIL:
            await self._end(session, arguments[0], Outcome(Status.ERROR))
        else:
            await self._end(session, arguments[0], Outcome(Status.OK, bytes(assigned.parts) + arguments[1]))

    async def _end(self, session: Session, handle: bytes, outcome: Outcome) -> None:
        call = session.assigned.pop(handle).call
        if call is None or call.finished:
            return
        call.finished = True
        took = self.core.clock.now() - call.sent_at
        session.latency_ms += (took - session.latency_ms) * (0.2 if session.latency_ms else 1.0)
        outcome.report = self._report(session)
        await self.core.post(partial(self.core.call_ended, call, outcome))

    def _report(self, session: Session) -> tuple[float, ...]:
        """What a worker of the other wire would say of its load; it runs one job at a time."""
        held = len(session.queue) + len(session.assigned)
        values = {"free_slots": float(max(0, 1 - held)), "queue": float(len(session.queue)),
                  "inflight": float(held), "latency_ms": session.latency_ms}
        return tuple(values.get(f, 0.0) for f in self.core.settings.report_fields)

    # -- the port of the core --

    def start(self, call: Call) -> Outcome | None:
        """Queue a call for its worker's next grab."""
        session = self._workers.get(call.destination.listed.name)
        if session is None or session.writer.transport.is_closing():
            return Outcome(Status.CONNECT_FAILED)
        if len(session.queue) >= QUEUE_MOST:
            return Outcome(Status.FULL, report=self._report(session))
        work = call.job.front_context if isinstance(call.job.front_context, Work) else None
        self._serial += 1
        handle = work.handle if work is not None else self._prefix + b"%d" % self._serial
        heappush(session.queue, (work.priority if work is not None else 1, self._serial, handle, call))
        self._wake(session)
        return None

    def cancel(self, call: Call) -> Outcome | None:
        """Call off: a queued call is taken back; a grabbed one is abandoned or its session ended."""
        session = self._workers.get(call.destination.listed.name)
        if session is None or call.finished:
            return None  # its outcome is on the way
        queued = [q for q in session.queue if q[3] is not call]
        if len(queued) < len(session.queue):
            session.queue = queued
            heapify(session.queue)
            call.finished = True
            return Outcome(Status.CANCELLED)
        for assigned in session.assigned.values():
            if assigned.call is call:
                call.finished = True
                assigned.call = None
                if not call.job.answered:
                    # The request goes on elsewhere: no attempt may be out on an open connection then.
                    session.writer.transport.abort()
                return Outcome(Status.CANCELLED)
        return None

    def probe(self, destination: Destination) -> tuple[Status, tuple[float, ...]] | None:
        """Known here without asking anybody."""
        session = self._workers.get(destination.listed.name)
        if session is None:
            return Status.CONNECT_FAILED, ()
        return Status.OK, self._report(session)

    def close_idle(self, destination: Destination) -> None:
        """A worker's one connection is its own to close."""

    def forget(self, destination: Destination) -> None:
        """A session that ended has given back everything already."""


def _status(work: Work | None) -> tuple[bytes, bytes, bytes, bytes]:
    if work is None:
        return b"0", b"0", b"0", b"0"
    return (b"1", b"1" if work.running else b"0", *work.progress)


def _claim(key: tuple[bytes, bytes]) -> str:
    return "state/jobs/" + hashlib.blake2b(b"\0".join(key), digest_size=16).hexdigest()


def _tell_end(session: Session, handle: bytes, ending: FinalStatus, body: bytes | None) -> None:
    if ending is FinalStatus.SERVED and body is not None:
        session.send(WORK_COMPLETE, handle, body)
        return
    if session.exceptions:
        why = "refused; it did not run" if ending is FinalStatus.REFUSED else "failed; it may have run"
        if ending is FinalStatus.SERVED:
            why = "served; the result is kept no longer"
        session.send(WORK_EXCEPTION, handle, why.encode())
    session.send(WORK_FAIL, handle)
