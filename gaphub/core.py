"""The core actor: owns the Balancer, the clock, the timers, the destinations and the table of open requests.

It passes events to the Balancer and carries out the Balancer's actions through the ports.  It is independent of
wire protocols and must never import a front end.  Every request that it accepts gets exactly one final answer by
its deadline, even if the Balancer or a port raises.  No action of the Balancer can break the rules on attempts:
``_permitted_destination`` is checked before every outbound call.
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
    NO_DESTINATION,
    Answer,
    Call,
    CallPort,
    ClassIndexUser,
    Destination,
    FinalStatus,
    Job,
    ListedDestination,
    ListPort,
    Outcome,
    PeerPort,
)
from .metrics import Counters
from .ops.class_table import effective_settings, initial_table, updated_table
from .ops.job_stats import JobStats
from .ops.state_snapshot import decode_state, encode_state, restore_state
from .ops.worker_overrides import WorkerOverrides
from .request_log import format_request

MAILBOX_SIZE = 4096  # messages; when it is full, requests are refused and all other senders wait
MAX_CALLS_IN_FLIGHT = 2  # concurrent attempts of one request, where the settings allow second copies
BUSY_REASONS = frozenset(("strain", "wait"))  # of the Balancer's refusals: the workers are busy
TAKEN_BACK = "taken-back"  # in the request log, the end of a job that its front end will offer again
WATCHDOG_MARGIN_MS = 2.0  # before its deadline, a request that the Balancer left unanswered is answered


class Core:
    """The core actor.  Front ends and ports hand it work only through ``offer`` and ``post``."""

    def __init__(self, settings: Settings, seed: int, clock: Clock, counters: Counters,
                 class_names: Sequence[str] = (), name: str = "") -> None:
        """``class_names``: names of the settings' classes in statistics; ``name``: the scheduler's name."""
        self.settings = settings
        self.class_table = initial_table(settings, class_names or [str(i) for i in range(len(settings.classes))])
        self.job_stats = JobStats()
        self.job_stats.add_classes(self.class_names)
        self.overrides = WorkerOverrides(name)
        self.destinations = DestinationTable(self.overrides, self._forget)
        self.clock = clock
        self.counters = counters
        self.ports: dict[str, CallPort] = {}
        self.list_port: ListPort | None = None
        self.peer_port: PeerPort | None = None
        self.class_index_users: list[ClassIndexUser] = []
        self.last_busy_refusal_at = float("-inf")  # when a request got a refusal because the workers are busy
        self.log_request: Callable[[str], None] | None = None  # gets one line per finished request
        self._mailbox: asyncio.Queue[Callable[[], None]] = asyncio.Queue(MAILBOX_SIZE)
        self._deferred: deque[Callable[[], None]] = deque()  # run once the current call on the Balancer returns
        self._timers: list[tuple[float, int, int]] = []
        self._deadlines: list[tuple[float, int]] = []
        # Of calls that time out before the deadline of their request.
        self._call_timeouts: list[tuple[float, int, Call]] = []
        self._serial = 0
        self._jobs: dict[int, Job] = {}
        self.balancer = Balancer(clock.now(), settings, seed, self)
        counters.sources["occupancy"] = self.balancer.occupancy.counters

    # -- the mailbox --

    async def post(self, message: Callable[[], None]) -> None:
        """Put a message into the mailbox; waits while it is full."""
        await self._mailbox.put(message)

    def offer(self, job: Job) -> bool:
        """Submit a request; False if the mailbox or the request table is full (fail-fast)."""
        if not self.can_accept():
            self.counters.add("requests.fail_fast")
            return False
        self._mailbox.put_nowait(lambda: self._accept(job))
        return True

    def can_accept(self) -> bool:
        """Whether ``offer`` would accept a request now."""
        return len(self._jobs) < self.settings.max_open and not self._mailbox.full()

    def count_eligible(self, class_index: int) -> int:
        """The number of destinations that may now receive jobs of a class."""
        return self.destinations.count_eligible(class_index)

    def usual_response_ms(self, class_index: int) -> float:
        """How long jobs of a class usually take; its latency target where none was served yet."""
        return self.balancer.usual_response_ms(class_index)

    def reject(self, job: Job, retry_after_ms: float = 1e9) -> Answer:
        """Refuse a job that the core does not accept, and count it."""
        self.job_stats.count_final_status(self.class_names[job.class_index], FinalStatus.REFUSED.value)
        return self.refusal(retry_after_ms)

    def refusal(self, retry_after_ms: float = 1e9) -> Answer:
        """A refusal that the Balancer did not decide, with a retry-after time where the settings allow one."""
        retry_after_ms = min(retry_after_ms, self.settings.max_retry_after_ms)
        return Answer(FinalStatus.REFUSED, retry_after_ms=retry_after_ms if self.settings.retry_after else 0.0)

    @property
    def class_names(self) -> tuple[str, ...]:
        """Class names by class index, including classes that a reload has removed."""
        return self.class_table.names

    def apply_settings(self, settings: Settings, names: Sequence[str]) -> None:
        """Apply new settings; open jobs keep the class rules under which they were accepted."""
        busy_rows = {j.class_index for j in self._jobs.values()}
        for user in self.class_index_users:
            busy_rows |= user.class_indexes_in_use()
        self.class_table, new_rows = updated_table(self.class_table, settings.classes, names, busy_rows)
        self.settings = effective_settings(self.settings, settings, self.class_table)
        self.job_stats.add_classes(names)
        self.destinations.classes_changed()
        self.balancer.on_settings(self.settings, new_rows)
        for user in self.class_index_users:
            self._run_guarded(user.on_classes_changed)

    @property
    def unanswered_jobs(self) -> int:
        """The number of accepted requests without a final answer."""
        return sum(not job.answered for job in self._jobs.values()) + self._mailbox.qsize()

    @property
    def open_jobs(self) -> int:
        """The number of accepted requests without a final answer, or with a call still in flight."""
        return len(self._jobs) + self._mailbox.qsize()

    async def run(self) -> None:
        """Process messages, timers and deadlines, one at a time, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            message: Callable[[], None] | None = None
            next_due = min((heap[0][0] for heap in (self._timers, self._deadlines, self._call_timeouts) if heap),
                           default=1e18)
            try:
                message = self._mailbox.get_nowait()
            except asyncio.QueueEmpty:
                wait_s = (next_due - self.clock.now()) / 1000.0
                if wait_s > 0:
                    try:
                        async with asyncio.timeout_at(loop.time() + min(wait_s, 3600.0)):
                            message = await self._mailbox.get()
                    except TimeoutError:
                        pass
            if message is not None:
                self._run_guarded(message)
            self._fire_due()

    def _run_guarded(self, work: Callable[[], None]) -> bool:
        """Run ``work``, then the steps that were deferred meanwhile; False if one of them raised.

        Exceptions are logged and go no further.
        """
        succeeded = True
        step: Callable[[], None] | None = work
        while step is not None:
            try:
                step()
            except Exception as error:  # the failure of one request must not affect the others
                succeeded = False
                self.counters.log("core_failed", repr(error))
            step = self._deferred.popleft() if self._deferred else None
        return succeeded

    def _fire_due(self) -> None:
        now = self.clock.now()
        while self._timers and self._timers[0][0] <= now:
            token = heappop(self._timers)[2]
            self._run_guarded(lambda token=token: self.balancer.on_timer(now, token))  # type: ignore[misc]
        while self._call_timeouts and self._call_timeouts[0][0] <= now:
            call = heappop(self._call_timeouts)[2]
            if call.status is None:
                call.timed_out = True
                self._run_guarded(partial(self._cancel_call, call))
        while self._deadlines and self._deadlines[0][0] <= now:
            job = self._jobs.get(heappop(self._deadlines)[1])
            if job is not None and not job.answered:
                if job.balancer_budget_ms:  # the Balancer was not told of this deadline
                    self.counters.add("requests.out_of_time")
                else:  # it raised or lost the request: the client still gets an answer in time
                    self.counters.log("answered_by_watchdog", job.ident)
                self._give_up(job)

    # -- requests --

    def _accept(self, job: Job) -> None:
        now = self.clock.now()
        self.counters.add("requests.taken")
        # A client's timeout is capped at the deadline of the class.  The Balancer assumes that the longest
        # remaining time seen in a class is that of a first attempt: an endless one would make all other requests
        # of the class look like hopelessly late retries.
        job.deadline = job.received_at + min(job.left_ms, self.settings.classes[job.class_index].deadline_ms)
        self._serial += 1
        job.number = self._serial
        self._jobs[job.number] = job
        job.max_calls = job.max_calls or self.settings.max_attempts
        if job.deadline - now <= WATCHDOG_MARGIN_MS:
            self._answer(job, self.refusal())
            self._release_if_done(job)
            return
        if not self.fence_holds(job):
            self._answer_fenced(job)
            return
        heappush(self._deadlines, (job.deadline - WATCHDOG_MARGIN_MS, job.number))
        # No front end identifies the tenant of a request, so it gets the number after the last tenant.  Counted as
        # the first tenant's, all requests would exceed that tenant's quota and be refused first.
        no_tenant = len(self.settings.tenants)
        request = Request(job.number, job.class_index, job.balancer_budget_ms or job.deadline - now, no_tenant,
                          job.key, 0.0, job.slots, job.memory, job.is_retry)
        if not self._run_guarded(lambda: self.balancer.on_request(now, request)) and not job.open_calls:
            self._give_up(job)

    def fence_holds(self, job: Job) -> bool:
        """Whether the job's fence holds now; ports check it again before the first and the last byte."""
        return job.fence is None or job.fence.holds()

    def _answer_fenced(self, job: Job) -> None:
        """Give the final answer to a request whose fence no longer holds and that has no call in flight."""
        if not job.answered:
            self.counters.add("requests.fenced")
            retry_after_ms = job.fence.retry_after_ms if job.fence is not None else 0.0
            self._answer(job, self.refusal(retry_after_ms) if may_repeat(self.settings, job)
                         else Answer(FinalStatus.FAILED))
            self._abandon(job)

    def fence_lost(self) -> None:
        """A fence was lost: answer its requests without a call in flight; the others wait for their calls."""
        for job in [j for j in self._jobs.values() if not j.open_calls and not self.fence_holds(j)]:
            self._answer_fenced(job)

    def shorten_deadline(self, job: Job, deadline: float) -> None:
        """Move the deadline of an open request forward; the Balancer keeps the one that it was told."""
        if not job.answered and deadline < job.deadline:
            job.balancer_budget_ms = job.balancer_budget_ms or job.deadline - job.received_at
            job.deadline = deadline
            heappush(self._deadlines, (deadline - WATCHDOG_MARGIN_MS, job.number))

    def client_gone(self, job: Job) -> None:
        """The client disconnected; no answer is due any more."""
        if not job.answered:
            self.counters.add("requests.client_gone")
            self._abandon(job)

    def withdraw(self, job: Job) -> None:
        """Refuse a request at an operator's command, unless an attempt may have run; then it stays open."""
        if not job.answered and job.not_started:
            self._answer(job, Answer(FinalStatus.REFUSED))
            self._abandon(job)

    def _abandon(self, job: Job) -> None:
        """Mark a request as answered and have the Balancer cancel its calls."""
        job.answered = True
        self._run_guarded(lambda: self.balancer.on_client_gone(self.clock.now(), job.number))
        self._release_if_done(job)

    def _give_up(self, job: Job) -> None:
        """Give the final answer in place of the Balancer, which gave none."""
        self._answer(job, self.refusal() if may_repeat(self.settings, job) else Answer(FinalStatus.FAILED))
        self._abandon(job)

    def _answer(self, job: Job, answer: Answer) -> None:
        if job.answered:
            return
        job.answered = True
        job.answered_after_ms = self.clock.now() - job.received_at
        if answer.final_status is not FinalStatus.SERVED and self._taken_back(job):
            job.final_status = TAKEN_BACK + job.give_up_reason
            self.counters.add("requests.taken_back")
            return
        job.final_status = answer.final_status.value + job.give_up_reason
        self.counters.add(f"requests.{answer.final_status.value}")
        self.job_stats.count_final_status(self.class_names[job.class_index], answer.final_status.value)
        try:
            job.reply(answer)
        except Exception as error:  # a failing front end must not stop the core
            self.counters.log("reply_failed", repr(error))

    def _taken_back(self, job: Job) -> bool:
        """Whether the front end keeps a job that is given up and has not run; it is then not a final answer."""
        if job.take_back is None or not job.not_started:
            return False
        try:
            return job.take_back(job)
        except Exception as error:  # a failing front end must not stop the core
            self.counters.log("take_back_failed", repr(error))
            return False

    def _release_if_done(self, job: Job) -> None:
        if job.answered and not job.open_calls and job.number in self._jobs:
            del self._jobs[job.number]
            if job.on_done is not None:
                job.on_done()
            if self.log_request is not None:
                self.log_request(format_request(job))

    # -- calls --

    def call_written(self, call: Call) -> None:
        """Called by a port when it wrote the last byte of a call."""
        self.job_stats.count_dispatch(self.class_names[call.job.class_index])

    def forward_update(self, call: Call, kind: str, data: tuple[bytes, ...]) -> None:
        """Pass an update on a call to the front end that received the request."""
        if call.status is None and not call.job.answered and call.job.on_update is not None:
            call.job.on_update(kind, data)

    def call_started(self, call: Call) -> None:
        """A worker started to run a call."""
        call.started_at = self.clock.now()
        self.forward_update(call, "started", ())
        self.balancer.on_started(self.clock.now(), call.job.number, call.index)

    def call_progressed(self, call: Call, share: float) -> None:
        """A worker reported progress; ``share`` is from 0 to 1."""
        self.balancer.on_progress(self.clock.now(), call.job.number, call.index, share)

    def call_ended(self, call: Call, outcome: Outcome) -> None:
        """A call ended; the first successful one is the request's answer."""
        job = call.job
        if call.status is not None:
            return
        if call.timed_out and outcome.status == Status.CANCELLED:
            outcome.status = Status.TIMEOUT
        call.status = outcome.status
        job.open_calls -= 1
        now = self.clock.now()
        call.duration_ms = now - call.sent_at
        self.counters.add(f"calls.{outcome.status.name.lower()}")
        if self._client_left(job):
            self.client_gone(job)  # before the Balancer can choose a retry for it
        reported_status = outcome.status
        if outcome.status == Status.OK:
            self._answer(job, Answer(FinalStatus.SERVED, outcome.body))
        elif outcome.request_invalid:
            # The worker rejected the request itself, as any other would: no retry, and no failure of the worker.
            # Sent on four times each, such requests had healthy workers ejected as failing.
            self.counters.add("calls.at_fault")
            self._answer(job, Answer(FinalStatus.FAILED))
            reported_status = Status.MOOT
        handled = self._run_guarded(lambda: self.balancer.on_outcome(
            now, job.number, call.index, reported_status, now - call.sent_at, job.answered, outcome.report))
        if not job.answered and not job.open_calls:
            if not handled:
                self._give_up(job)
            elif not self.fence_holds(job):
                self._answer_fenced(job)  # it may not be sent again, whatever the Balancer plans
        self._release_if_done(job)

    def _permitted_destination(self, job: Job, worker: int, now: float) -> Destination | None:
        """The destination of a call, or None if the call would break a rule on attempts."""
        destination = self.destinations.get(worker)
        if destination is None or destination.listed.state != WorkerState.READY:
            return None
        if not destination.listed.class_mask >> job.class_index & 1:
            return None
        if job.answered or now >= job.deadline or self._client_left(job):
            return None
        if (job.open_calls >= (MAX_CALLS_IN_FLIGHT if self.settings.second_copies else 1)
                or len(job.calls) >= job.max_calls):
            return None
        return destination if may_run_at(self.settings, job, destination, now) else None

    @staticmethod
    def _client_left(job: Job) -> bool:
        return job.client_left_at is not None and job.client_left_at() > 0.0

    def check_before_first_byte(self, call: Call) -> Status | None:
        """Checked by a port before it writes the first byte of a call: None, or the status to end the call with.

        While a call waits for a connection, its worker may start to drain, disappear or restart, its client may
        disconnect, or the window may end in which a repeat is harmless.
        """
        listed, sent_as = call.destination.listed, call.listed_at_send or call.destination.listed
        if listed.state != WorkerState.READY or (
                listed.addr, listed.started_ms) != (sent_as.addr, sent_as.started_ms):
            self.counters.add("calls.overtaken")
            return Status.FULL
        return self.check_before_last_byte(call)

    def check_before_last_byte(self, call: Call) -> Status | None:
        """Checked again before the last byte.  A worker that started to drain still gets a call that has begun."""
        if not self.fence_holds(call.job):
            self.counters.add("calls.fenced")
            return Status.MOOT
        if call.job.answered or self._client_left(call.job) or not may_run_at(
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
        if not job.open_calls and not self.fence_holds(job):
            self._deferred.append(partial(self._answer_fenced, job))
            return
        destination = self._permitted_destination(job, worker, now)
        if destination is None:
            self.counters.log("calls.not_allowed", job.ident)
            call = Call(job, len(job.calls), self.destinations.get(worker) or NO_DESTINATION, now, now)
            call.status = Status.MOOT
            # The Balancer has numbered this attempt.  Without an entry here, the outcomes of later attempts
            # would be reported under the wrong numbers.
            job.calls.append(call)
            if self._client_left(job):
                self._deferred.append(partial(self.client_gone, job))  # the front end has not reported it yet
            self._deferred.append(lambda: self.balancer.on_outcome(
                now, request, call.index, Status.MOOT, 0.0, job.answered, ()))
            return
        deadline = min(job.deadline, now + timeout_ms) if timeout_ms > 0 else job.deadline
        call = Call(job, len(job.calls), destination, now, deadline, listed_at_send=destination.listed)
        job.calls.append(call)
        job.open_calls += 1
        self.counters.add("calls.sent")
        try:
            outcome = self.ports[destination.source].start(call)
        except Exception as error:  # nothing was written: the call could not connect
            self.counters.log("port_failed", repr(error))
            outcome = Outcome(Status.CONNECT_FAILED)
        if outcome is not None:
            self._deferred.append(partial(self.call_ended, call, outcome))
        elif deadline < job.deadline:
            self._serial += 1
            heappush(self._call_timeouts, (deadline, self._serial, call))

    def refuse(self, request: int, retry_after_ms: float) -> None:
        """Final answer: refused; or failed, if an attempt may have run and a repeat could do harm."""
        job = self._jobs.get(request)
        if job is not None:
            final_status = FinalStatus.REFUSED if may_repeat(self.settings, job) else FinalStatus.FAILED
            job.give_up_reason = f":{self.balancer.give_up_reason}"
            self.counters.add("given_up.tried" if job.calls else "given_up.untried")
            if job.fence is not None and not job.fence.holds():
                retry_after_ms = job.fence.retry_after_ms
            self._answer(job, Answer(final_status, retry_after_ms=retry_after_ms))
            if self.balancer.give_up_reason in BUSY_REASONS and not job.final_status.startswith(TAKEN_BACK):
                self.last_busy_refusal_at = self.clock.now()
            self._release_if_done(job)

    def fail(self, request: int) -> None:
        """Final answer: failed."""
        job = self._jobs.get(request)
        if job is not None:
            job.give_up_reason = f":{self.balancer.give_up_reason}"
            self._answer(job, Answer(FinalStatus.FAILED))
            self._release_if_done(job)

    def cancel(self, request: int, attempt: int) -> None:
        """Cancel a call."""
        job = self._jobs.get(request)
        if job is not None and 0 <= attempt < len(job.calls):
            self._cancel_call(job.calls[attempt])

    def _cancel_call(self, call: Call) -> None:
        if call.status is None:
            outcome = self.ports[call.destination.source].cancel(call)
            if outcome is not None:
                self._deferred.append(partial(self.call_ended, call, outcome))

    def set_timer(self, delay_ms: float, token: int) -> None:
        """Schedule a timer event for the Balancer."""
        self._serial += 1
        heappush(self._timers, (self.clock.now() + delay_ms, self._serial, token))

    def probe(self, worker: int) -> None:
        """Probe a destination."""
        destination = self.destinations.get(worker)
        if destination is None:
            self._deferred.append(lambda: self.balancer.on_probe_result(
                self.clock.now(), worker, Status.CONNECT_FAILED, 0.0, ()))
            return
        self.counters.add("probes.sent")
        result = self.ports[destination.source].probe(destination)
        if result is not None:
            self._deferred.append(partial(self.probe_ended, destination, result[0], 0.0, result[1]))

    def probe_ended(self, destination: Destination, status: Status, took_ms: float,
               report: tuple[float, ...]) -> None:
        """A probe ended."""
        self.counters.add(f"probes.{status.name.lower()}")
        self.balancer.on_probe_result(self.clock.now(), destination.number, status, took_ms, report)

    def close_idle(self, worker: int) -> None:
        """Close idle connections to a destination."""
        if destination := self.destinations.get(worker):
            self.ports[destination.source].close_idle(destination)

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Send a datagram to one peer; -1: to all."""
        if self.peer_port is not None:
            self.peer_port.send_to_peer(peer, data)

    def log(self, text: str) -> None:
        """Log a line for the Balancer."""
        self.counters.log("logic", text)

    def watch(self, on: bool) -> None:
        """Start or stop watching discovery for changes."""
        if self.list_port is not None:
            self.list_port.watch(on)

    def fetch(self) -> None:
        """Request the full list from discovery."""
        if self.list_port is not None:
            self.list_port.fetch()

    # -- the destination set and the peers --

    def update_destinations(self, source: str, kind: int, entries: Sequence[ListedDestination]) -> None:
        """A source listed destinations; FULL and CACHED lists contain all of that source's."""
        now = self.clock.now()
        self.destinations.observe_clock(self.clock.wall_clock_step_ms())
        kind_for_balancer, workers = self.destinations.update(now, source, kind, entries)
        self.counters.add("lists.taken")
        if kind != ListKind.CACHED:
            self.discovery_answered()
        self.balancer.on_workers(now, kind_for_balancer, workers)

    def discovery_answered(self) -> None:
        """Discovery answered, with or without changes."""
        self.destinations.source_answered(self.clock.now())

    def _forget(self, destination: Destination) -> None:
        self.ports[destination.source].forget(destination)

    def ever_listed(self, name: str) -> bool:
        """Whether a source lists a destination now or has done so before."""
        return self.destinations.ever_listed(name)

    def apply_operator_changes(self, names: Iterable[str]) -> None:
        """Operators disabled or enabled destinations: those listed drain, or get their reported state back."""
        now = self.clock.now()
        workers = self.destinations.apply_operator_changes(now, names)
        self.balancer.on_workers(now, ListKind.CHANGES, workers)

    def export_state(self) -> bytes:
        """The state that a successor process can start from."""
        names = {d.number: d.listed.name for d in self.destinations.by_number.values()}
        return encode_state(self.balancer, self.overrides.scheduler, self.clock.now(),
                            dict(self.class_table.active_rows), names, self.clock.unix_offset_ms)

    def import_state(self, data: bytes) -> bool:
        """Start from the state that an earlier process of this scheduler left; False if it is not usable."""
        snapshot = decode_state(data, self.overrides.scheduler, self.clock.now(), self.clock.unix_offset_ms)
        if snapshot is not None:
            numbers = {d.listed.name: d.number for d in self.destinations.by_number.values()}
            restore_state(self.balancer, snapshot, dict(self.class_table.active_rows), numbers)
        return snapshot is not None

    def count_targets(self) -> tuple[int, int]:
        """The numbers of listed destinations, and of those disabled by operators or ejected for now."""
        now = self.clock.now()
        workers = self.balancer.fleet.workers
        disabled = sum(self.overrides.is_disabled(d.listed.name)
                       or (d.number in workers and workers[d.number].ejected_until > now)
                       for d in self.destinations.by_number.values())
        return len(self.destinations.by_number), disabled

    def discovery_failed(self) -> None:
        """A call to discovery failed."""
        self.balancer.on_workers(self.clock.now(), ListKind.FAILED, ())

    def receive_peer_message(self, sender: int, data: bytes) -> None:
        """A datagram from a peer arrived."""
        self.balancer.on_peer(self.clock.now(), sender, data)
