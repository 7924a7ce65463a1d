"""The module's actor: owns the Balancer, the clock, the timers, the destinations and the request table.

It turns events into calls on the Balancer and the Balancer's actions into calls on ports.  It knows no
wire and must never import a front.  Every request that it takes gets one final answer by its deadline,
whatever the Balancer or a port raises, and no action of the Balancer can break the rules on attempts:
``_allowed`` is asked before every outbound call.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from functools import partial
from heapq import heappop, heappush

from .attempt_rules import may_repeat, may_run_at
from .clock import Clock
from .destination_table import DestinationTable
from .interface import (
    ListKind,
    Request,
    Settings,
    Status,
    WorkerState,
)
from .logic import Balancer
from .messages import (
    NOWHERE,
    Answer,
    Call,
    CallPort,
    Destination,
    Ending,
    Job,
    Listed,
    ListPort,
    Outcome,
    PeerPort,
)
from .metrics import Counters
from .ops.figures import Figures
from .ops.legacy import leave, read, take
from .ops.out import Outs
from .ops.retune import first, follow, settings_for
from .request_log import describe

MAILBOX = 4096  # messages; requests past it are refused, everything else waits for room
COPIES = 2  # attempts of a request that may be out together where the settings allow second copies
EARLY_MS = 2.0  # the watchdog answers this long before a deadline that the Balancer let come


class Core:
    """The actor.  Fronts and ports reach it by ``offer`` and ``post`` only."""

    def __init__(self, settings: Settings, seed: int, clock: Clock, counters: Counters,
                 class_names: Sequence[str] = (), name: str = "") -> None:
        """``class_names``: as figures name the classes of the settings; ``name``: the scheduler's."""
        self.settings = settings
        self.table = first(settings, class_names or [str(i) for i in range(len(settings.classes))])
        self.figures = Figures()
        self.figures.know(self.class_names)
        self.outs = Outs(name)
        self.destinations = DestinationTable(self.outs, self._forget)
        self.clock = clock
        self.counters = counters
        self.ports: dict[str, CallPort] = {}
        self.list_port: ListPort | None = None
        self.peer_port: PeerPort | None = None
        self.trace: Callable[[str], None] | None = None  # takes a line on each request that is done with
        self._box: asyncio.Queue[Callable[[], None]] = asyncio.Queue(MAILBOX)
        self._later: deque[Callable[[], None]] = deque()  # what actions owe the Balancer, after its call
        self._timers: list[tuple[float, int, int]] = []
        self._deadlines: list[tuple[float, int]] = []
        self._call_ends: list[tuple[float, int, Call]] = []  # of calls that end before their request
        self._serial = 0
        self._jobs: dict[int, Job] = {}
        self.balancer = Balancer(clock.now(), settings, seed, self)
        counters.sources["occupancy"] = self.balancer.occupancy.figures

    # -- the mailbox --

    async def post(self, message: Callable[[], None]) -> None:
        """Hand a message over; waits while the mailbox is full."""
        await self._box.put(message)

    def offer(self, job: Job) -> bool:
        """Hand a request over; False if the mailbox or the request table is full (fail-fast)."""
        if not self.may_take():
            self.counters.add("requests.fail_fast")
            return False
        self._box.put_nowait(lambda: self._take(job))
        return True

    def may_take(self) -> bool:
        """Whether ``offer`` would take a request now."""
        return len(self._jobs) < self.settings.max_open and not self._box.full()

    def able(self, class_index: int) -> int:
        """How many destinations may get jobs of a class now."""
        return self.destinations.able(class_index)

    def turn_away(self, job: Job, return_ms: float = 1e9) -> Answer:
        """A refusal at the door: the core never takes the job, but it is counted."""
        self.figures.ended(self.class_names[job.class_index], Ending.REFUSED.value)
        return self.refusal(return_ms)

    def refusal(self, return_ms: float = 1e9) -> Answer:
        """A refusal of the core's own, with a time to return where the settings allow one."""
        return_ms = min(return_ms, self.settings.max_retry_after_ms)
        return Answer(Ending.REFUSED, retry_after_ms=return_ms if self.settings.retry_after else 0.0)

    @property
    def class_names(self) -> tuple[str, ...]:
        """The name of each class by its number, also of classes that are no more."""
        return self.table.names

    def retune(self, settings: Settings, names: Sequence[str], keep_rows: bool = False) -> None:
        """Follow new settings: open jobs keep the rules that they came under.

        ``keep_rows``: somebody else holds numbers of classes too, so that none may get another meaning.
        """
        busy = set(range(len(self.table.rows))) if keep_rows else {j.class_index for j in self._jobs.values()}
        self.table, fresh = follow(self.table, settings.classes, names, busy)
        self.settings = settings_for(self.settings, settings, self.table)
        self.figures.know(names)
        self.destinations.classes_changed()
        self.balancer.on_settings(self.settings, fresh)

    @property
    def concurrent(self) -> int:
        """Requests taken that still owe an answer."""
        return sum(not job.answered for job in self._jobs.values()) + self._box.qsize()

    @property
    def open_jobs(self) -> int:
        """Requests taken that still owe an answer or have a call out."""
        return len(self._jobs) + self._box.qsize()

    async def run(self) -> None:
        """Handle messages, timers and deadlines, one at a time, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            message: Callable[[], None] | None = None
            due = min((heap[0][0] for heap in (self._timers, self._deadlines, self._call_ends) if heap),
                      default=1e18)
            try:
                message = self._box.get_nowait()
            except asyncio.QueueEmpty:
                wait = (due - self.clock.now()) / 1000.0
                if wait > 0:
                    try:
                        async with asyncio.timeout_at(loop.time() + min(wait, 3600.0)):
                            message = await self._box.get()
                    except TimeoutError:
                        pass
            if message is not None:
                self._guard(message)
            self._ring()

    def _guard(self, work: Callable[[], None]) -> bool:
        """Do something that may raise; whatever it raises ends here, then pay what actions owe."""
        sound = True
        todo: Callable[[], None] | None = work
        while todo is not None:
            try:
                todo()
            except Exception as error:  # one request's failure must not end the others
                sound = False
                self.counters.log("core_failed", repr(error))
            todo = self._later.popleft() if self._later else None
        return sound

    def _ring(self) -> None:
        now = self.clock.now()
        while self._timers and self._timers[0][0] <= now:
            token = heappop(self._timers)[2]
            self._guard(lambda token=token: self.balancer.on_timer(now, token))  # type: ignore[misc]
        while self._call_ends and self._call_ends[0][0] <= now:
            call = heappop(self._call_ends)[2]
            if call.status is None:
                call.timed_out = True
                self._guard(partial(self._call_off, call))
        while self._deadlines and self._deadlines[0][0] <= now:
            job = self._jobs.get(heappop(self._deadlines)[1])
            if job is not None and not job.answered:
                # Guards against a Balancer that raised or forgot: the client is owed an answer now.
                self.counters.log("answered_by_watchdog", job.ident)
                self._give_up(job)

    # -- requests --

    def _take(self, job: Job) -> None:
        now = self.clock.now()
        self.counters.add("requests.taken")
        # Guards against a client with an endless time-out: the Balancer takes the longest wait that it has
        # seen of a class for a first try's, and would hold everybody else's for hopelessly late retries.
        job.ends = job.received_at + min(job.left_ms, self.settings.classes[job.class_index].deadline_ms)
        self._serial += 1
        job.number = self._serial
        self._jobs[job.number] = job
        job.most_calls = self.settings.max_attempts
        if job.ends - now <= EARLY_MS:
            self._answer(job, self.refusal())
            self._settle(job)
            return
        if not self.may_write(job):
            self._fence_off(job)
            return
        heappush(self._deadlines, (job.ends - EARLY_MS, job.number))
        # No front tells whose a request is.  Guards against settings with tenants: as the first one's, all were
        # past its quota, and so turned away first.
        nobody = len(self.settings.tenants)
        request = Request(job.number, job.class_index, job.told_ms or job.ends - now, nobody, job.key, 0.0,
                          job.slots, job.memory, job.is_retry)
        if not self._guard(lambda: self.balancer.on_request(now, request)) and not job.open_calls:
            self._give_up(job)

    def may_write(self, job: Job) -> bool:
        """Whether the job's right to be served holds now; ports ask again before the first and last byte."""
        return job.fence is None or job.fence.holds()

    def _fence_off(self, job: Job) -> None:
        """The right to serve this request is gone and nothing of it is out: its final answer, at once."""
        if not job.answered:
            self.counters.add("requests.fenced")
            return_ms = job.fence.return_ms if job.fence is not None else 0.0
            self._answer(job, self.refusal(return_ms) if may_repeat(self.settings, job) else Answer(Ending.FAILED))
            self._drop(job)

    def fence_lost(self) -> None:
        """A right to serve ended: refuse all that has nothing out; what is out is waited for."""
        for job in [j for j in self._jobs.values() if not j.open_calls and not self.may_write(j)]:
            self._fence_off(job)

    def gone(self, job: Job) -> None:
        """The client left; nothing is owed any more."""
        if not job.answered:
            self.counters.add("requests.client_gone")
            self._drop(job)

    def withdraw(self, job: Job) -> None:
        """An operator takes a request back; refused where that is harmless, else it stays."""
        if not job.answered and all(c.never_ran or (c.status is None and not c.written) for c in job.calls):
            self._answer(job, Answer(Ending.REFUSED))
            self._drop(job)

    def _drop(self, job: Job) -> None:
        """No answer is owed: the Balancer calls off what is out."""
        job.answered = True
        self._guard(lambda: self.balancer.on_client_gone(self.clock.now(), job.number))
        self._settle(job)

    def _give_up(self, job: Job) -> None:
        """The core's own final answer, where the Balancer gave none."""
        self._answer(job, self.refusal() if may_repeat(self.settings, job) else Answer(Ending.FAILED))
        self._drop(job)

    def _answer(self, job: Job, answer: Answer) -> None:
        if job.answered:
            return
        job.answered = True
        job.ending = answer.ending.value + job.why
        job.answered_ms = self.clock.now() - job.received_at
        self.counters.add(f"requests.{answer.ending.value}")
        self.figures.ended(self.class_names[job.class_index], answer.ending.value)
        try:
            job.reply(answer)
        except Exception as error:  # a front that fails must not stop the core
            self.counters.log("reply_failed", repr(error))

    def _settle(self, job: Job) -> None:
        if job.answered and not job.open_calls and job.number in self._jobs:
            del self._jobs[job.number]
            if self.trace is not None:
                self.trace(describe(job))

    # -- calls --

    def written(self, call: Call) -> None:
        """A port wrote the last byte of a call."""
        self.figures.dispatched(self.class_names[call.job.class_index])

    def news(self, call: Call, kind: str, data: tuple[bytes, ...]) -> None:
        """News of a call for the front that took its request."""
        if call.status is None and not call.job.answered and call.job.news is not None:
            call.job.news(kind, data)

    def started(self, call: Call) -> None:
        """A worker began a call."""
        call.started_at = self.clock.now()
        self.news(call, "started", ())
        self.balancer.on_started(self.clock.now(), call.job.number, call.index)

    def progressed(self, call: Call, share: float) -> None:
        """A share of a call is done."""
        self.balancer.on_progress(self.clock.now(), call.job.number, call.index, share)

    def ended(self, call: Call, outcome: Outcome) -> None:
        """A call ended; the first that is served is the request's answer."""
        job = call.job
        if call.status is not None:
            return
        if call.timed_out and outcome.status == Status.CANCELLED:
            outcome.status = Status.TIMEOUT
        call.status = outcome.status
        job.open_calls -= 1
        now = self.clock.now()
        call.took_ms = now - call.sent_at
        self.counters.add(f"calls.{outcome.status.name.lower()}")
        if self._left(job):
            self.gone(job)  # before the Balancer may choose a retry that nobody waits for
        told = outcome.status
        if outcome.status == Status.OK:
            self._answer(job, Answer(Ending.SERVED, outcome.body))
        elif outcome.at_fault:
            # Guards against clients whose requests every worker turns down: sent on four times each, they
            # had well workers ruled out as failing.  It says nothing of the worker, and none would do better.
            self.counters.add("calls.at_fault")
            self._answer(job, Answer(Ending.FAILED))
            told = Status.MOOT
        sound = self._guard(lambda: self.balancer.on_outcome(
            now, job.number, call.index, told, now - call.sent_at, job.answered, outcome.report))
        if not job.answered and not job.open_calls:
            if not sound:
                self._give_up(job)
            elif not self.may_write(job):
                self._fence_off(job)  # whatever the Balancer waits for: it may not be sent again
        self._settle(job)

    def _allowed(self, job: Job, worker: int, now: float) -> Destination | None:
        """The rules on attempts, whoever decides: the destination, or None where a call would break one."""
        destination = self.destinations.get(worker)
        if destination is None or destination.listed.state != WorkerState.READY:
            return None
        if not destination.listed.able >> job.class_index & 1:
            return None
        if job.answered or now >= job.ends or self._left(job):
            return None
        if job.open_calls >= (COPIES if self.settings.second_copies else 1) or len(job.calls) >= job.most_calls:
            return None
        return destination if may_run_at(self.settings, job, destination, now) else None

    @staticmethod
    def _left(job: Job) -> bool:
        return job.left is not None and job.left() > 0.0

    def may_go_on(self, call: Call) -> Status | None:
        """Asked by a port before the first byte of a call: None if it may be written, else why not.

        Guards against what happens while a call waits for its connection: its worker drains, goes or is
        restarted, its client leaves, the window in which a repeat is harmless ends.
        """
        listed, at = call.destination.listed, call.to or call.destination.listed
        if listed.state != WorkerState.READY or (listed.addr, listed.started_ms) != (at.addr, at.started_ms):
            self.counters.add("calls.overtaken")
            return Status.FULL
        return self.may_end(call)

    def may_end(self, call: Call) -> Status | None:
        """Asked again before the last byte: a drain does not count any more, as the call has begun."""
        if not self.may_write(call.job):
            self.counters.add("calls.fenced")
            return Status.MOOT
        if call.job.answered or self._left(call.job) or not may_run_at(
                self.settings, call.job, call.destination, self.clock.now(), call):
            self.counters.add("calls.pointless")
            return Status.MOOT
        return None

    # -- the Balancer's actions --

    def send(self, request: int, worker: int, timeout_ms: float) -> None:
        """Start an outbound call."""
        job = self._jobs.get(request)
        if job is None:
            return
        now = self.clock.now()
        if not job.open_calls and not self.may_write(job):
            self._later.append(partial(self._fence_off, job))
            return
        destination = self._allowed(job, worker, now)
        if destination is None:
            self.counters.log("calls.not_allowed", job.ident)
            call = Call(job, len(job.calls), self.destinations.get(worker) or NOWHERE, now, now)
            call.status = Status.MOOT
            # It has a number at the Balancer, so it has one here: else the outcomes of later ones are
            # told under the numbers of others.
            job.calls.append(call)
            if self._left(job):
                self._later.append(partial(self.gone, job))  # its front has yet to say so
            self._later.append(lambda: self.balancer.on_outcome(
                now, request, call.index, Status.MOOT, 0.0, job.answered, ()))
            return
        ends = min(job.ends, now + timeout_ms) if timeout_ms > 0 else job.ends
        call = Call(job, len(job.calls), destination, now, ends, to=destination.listed)
        job.calls.append(call)
        job.open_calls += 1
        self.counters.add("calls.sent")
        try:
            outcome = self.ports[destination.source].start(call)
        except Exception as error:  # nothing was written: the call could not connect
            self.counters.log("port_failed", repr(error))
            outcome = Outcome(Status.CONNECT_FAILED)
        if outcome is not None:
            self._later.append(partial(self.ended, call, outcome))
        elif ends < job.ends:
            self._serial += 1
            heappush(self._call_ends, (ends, self._serial, call))

    def refuse(self, request: int, retry_after_ms: float) -> None:
        """Final answer: refused.  A refusal that would be untrue is sent as a failure."""
        job = self._jobs.get(request)
        if job is not None:
            ending = Ending.REFUSED if may_repeat(self.settings, job) else Ending.FAILED
            job.why = f":{self.balancer.give_up_reason}"
            self.counters.add("given_up.tried" if job.calls else "given_up.untried")
            if job.fence is not None and not job.fence.holds():
                retry_after_ms = job.fence.return_ms
            self._answer(job, Answer(ending, retry_after_ms=retry_after_ms))
            self._settle(job)

    def fail(self, request: int) -> None:
        """Final answer: failed."""
        job = self._jobs.get(request)
        if job is not None:
            job.why = f":{self.balancer.give_up_reason}"
            self._answer(job, Answer(Ending.FAILED))
            self._settle(job)

    def cancel(self, request: int, attempt: int) -> None:
        """Stop waiting for a call."""
        job = self._jobs.get(request)
        if job is not None and 0 <= attempt < len(job.calls):
            self._call_off(job.calls[attempt])

    def _call_off(self, call: Call) -> None:
        if call.status is None:
            outcome = self.ports[call.destination.source].cancel(call)
            if outcome is not None:
                self._later.append(partial(self.ended, call, outcome))

    def set_timer(self, delay_ms: float, token: int) -> None:
        """Ask for a timer event."""
        self._serial += 1
        heappush(self._timers, (self.clock.now() + delay_ms, self._serial, token))

    def probe(self, worker: int) -> None:
        """Check a destination."""
        destination = self.destinations.get(worker)
        if destination is None:
            self._later.append(lambda: self.balancer.on_probe_result(
                self.clock.now(), worker, Status.CONNECT_FAILED, 0.0, ()))
            return
        self.counters.add("probes.sent")
        known = self.ports[destination.source].probe(destination)
        if known is not None:
            self._later.append(partial(self.probed, destination, known[0], 0.0, known[1]))

    def probed(self, destination: Destination, status: Status, took_ms: float,
               report: tuple[float, ...]) -> None:
        """A probe ended."""
        self.counters.add(f"probes.{status.name.lower()}")
        self.balancer.on_probe_result(self.clock.now(), destination.number, status, took_ms, report)

    def close_idle(self, worker: int) -> None:
        """Close idle connections to a destination."""
        if destination := self.destinations.get(worker):
            self.ports[destination.source].close_idle(destination)

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Send a datagram to a peer, or all (-1)."""
        if self.peer_port is not None:
            self.peer_port.tell(peer, data)

    def log(self, text: str) -> None:
        """Add a line to the log."""
        self.counters.log("logic", text)

    def watch(self, on: bool) -> None:
        """Ask discovery for changes, or stop."""
        if self.list_port is not None:
            self.list_port.watch(on)

    def fetch(self) -> None:
        """Ask discovery for the whole list."""
        if self.list_port is not None:
            self.list_port.fetch()

    # -- the destination set and the peers --

    def listed(self, source: str, kind: int, entries: Sequence[Listed]) -> None:
        """A source named destinations; FULL and CACHED name all of that source's."""
        now = self.clock.now()
        self.destinations.saw_clock(self.clock.stepped_ms())
        told_kind, told = self.destinations.take(now, source, kind, entries)
        self.counters.add("lists.taken")
        if kind != ListKind.CACHED:
            self.heard_discovery()
        self.balancer.on_workers(now, told_kind, told)

    def heard_discovery(self) -> None:
        """Discovery answered, with news or without."""
        self.destinations.heard_source(self.clock.now())

    def _forget(self, destination: Destination) -> None:
        self.ports[destination.source].forget(destination)

    def ever_listed(self, name: str) -> bool:
        """Whether a source has named a destination, now or before."""
        return self.destinations.ever_listed(name)

    def moved_by_hand(self, names: Iterable[str]) -> None:
        """Destinations went out by hand or came back: those that are listed drain, or are as listed."""
        now = self.clock.now()
        told = self.destinations.moved_by_hand(now, names)
        self.balancer.on_workers(now, ListKind.CHANGES, told)

    def legacy(self) -> bytes:
        """What a successor may go on from."""
        names = {d.number: d.listed.name for d in self.destinations.by_number.values()}
        return leave(self.balancer, self.outs.scheduler, self.clock.now(), dict(self.table.live), names,
                     self.clock.base)

    def inherit(self, data: bytes) -> bool:
        """Go on from what a process of this scheduler left; False if there is nothing to believe."""
        page = read(data, self.outs.scheduler, self.clock.now(), self.clock.base)
        if page is not None:
            numbers = {d.listed.name: d.number for d in self.destinations.by_number.values()}
            take(self.balancer, page, dict(self.table.live), numbers)
        return page is not None

    def targets(self) -> tuple[int, int]:
        """How many destinations are listed, and how many of them are out by hand or ruled out for now."""
        now = self.clock.now()
        known = self.balancer.fleet.workers
        avoided = sum(self.outs.holds(d.listed.name) or (d.number in known and known[d.number].ejected_until > now)
                      for d in self.destinations.by_number.values())
        return len(self.destinations.by_number), avoided

    def list_failed(self) -> None:
        """A call to discovery failed."""
        self.balancer.on_workers(self.clock.now(), ListKind.FAILED, ())

    def peer_said(self, sender: int, data: bytes) -> None:
        """A datagram from a peer."""
        self.balancer.on_peer(self.clock.now(), sender, data)
