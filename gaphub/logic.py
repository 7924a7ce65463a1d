"""The decisions of one scheduler.  Its whole interface is defined in ``interface.py``; read that first.

Jobs go to the available worker with the lowest gap ``n_i - alpha_i * n``: its jobs in flight less its
share of all jobs in flight.  In reading order: constants, the worker list, admission, probing before
sending, picking a worker, attempts, health, outcomes and timers.  The state is kept in modules of its own:
``profiles`` (response times and shares), ``workers`` (what is known of each worker), ``attempts`` (a request
and its attempts), ``cold_start`` (allowances at workers in slow start), ``quota`` (of tenants),
``zone_reach`` (unreachable zones).
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from heapq import heappop, heappush
from math import exp, log

from . import cold_start
from .attempts import Attempt, Job
from .interface import (
    NEVER_RAN,
    Actions,
    Effect,
    Group,
    ListedWorker,
    ListKind,
    Request,
    Settings,
    Status,
    WorkerState,
)
from .occupancy.choice import exchange_for
from .occupancy.exchange import NoExchange, Outgoing
from .profiles import MIN_MEAN_STEP, JobType, KeyType
from .quota import TenantQuotas
from .workers import Fleet, Reports, Worker
from .zone_reach import ZoneReach

# --- constants --------------------------------------------------------------------------------
# A constant called "step" is the weight of a new sample in an exponentially weighted mean.

MIN_CANDIDATES = 3  # workers ranked at the least, so that a pick never depends on a single draw
CANDIDATES_PER_JOB = 2  # workers ranked for each job in flight: higher counts tell more workers apart
DRAWS_PER_CANDIDATE = 4  # bounds the work of a pick where few workers are usable
REPORT_TTL_MS = 2_500.0  # an older report describes another moment and counts as none
FULL_SHARE_STEP = 0.03  # for the share of attempts answered with 'full'
FULL_BACKOFF_MS = 150.0  # first back-off after 'full', about one short job; doubles, up to 4 times as long
EJECTION_MS = 1_000.0  # first ejection of a worker that failed to connect or fell silent; doubles
POSSIBLY_RUNNING = frozenset((Status.TIMEOUT, Status.RESET, Status.CANCELLED))  # the worker may still run it
# Of the expected response time: the slots of such an attempt stay counted for at least this.
MIN_HOLD_SHARE = 0.3
RESEND_AFTER = 6.0  # expected response times without any sign: a repeatable job is cancelled and sent again
OVERTAKEN_MS = 200.0  # an attempt sent this long before one that has started already is not in the queue
ERROR_RATE_STEP = 0.3  # for the error rate of a worker, with each of its answers
ERROR_RATE_RISKY = 0.25  # error rate from which a worker gets only jobs that may be repeated
ERROR_RATE_EJECT = 0.5  # two errors in a row: ejected, as a worker that fails at once looks free
ERROR_TTL_MS = 8_000.0  # an older error is ignored
ERROR_EJECTION_MAX = 2  # times EJECTION_MS, for errors: a trial with a repeatable job costs little
RESETS_TO_EJECT = 2  # in a row: a single reset is a fault of the connection, not of its worker
EJECTION_MAX = 16  # times EJECTION_MS, so that a recovered worker is tried again within seconds
SILENT_PROGRESS_INTERVALS = 2.5  # without a progress update from running work: it is stalled
SILENT_RESPONSE_TIMES = 4.0  # typical response times without any sign, where no progress is announced
MIN_SILENCE_MS = 1_500.0  # a shorter silence is not taken for a failure
START_SLACK = 1.6  # times the usual start delay: a job that starts later is waiting in a queue
FIRST_START_DELAY_MS = 25.0  # start delay assumed before any was measured (a handshake and a tick or two)
HEDGE_MAX_FULL_SHARE = 0.04  # share of attempts answered 'full' from which no job may wait in two queues
HEDGE_SLACK_SHARE = 0.1  # of a job's slack, which passes before each further place in a queue
PROBES_PER_ROUND = 2  # where only probes report and a probe is cheap; with more, picks stray from the shares
PROBE_ROUNDS = 2  # before a job goes to a worker that is not free
MAX_PROBE_PRICE = 0.02  # points of the objective that the probes of a request may cost
PROBE_WAIT_MS = 12.0  # a worker that has not answered by then is left out: a job is held no longer
PROBE_TTL_MS = 40.0  # an answer describes its moment; soon other schedulers have sent jobs there
BUSY_MS = 400.0  # how long a worker that let a job wait counts as busy
MAX_WAITING_HEDGES = 3  # attempts that may wait at once: each takes a place in a queue
SHORT_WAIT = 0.5  # of the fixed part of the aim: an expected wait up to this is short
SERVED_RATE_MS = 8_000.0  # time constant of the rate at which this scheduler's jobs are served
LOCAL_BUSY_STEP = 0.08  # for the share of jobs in the own zone that had to wait
LOCAL_BUSY_LIMIT = 0.85  # the same share, above which all zones are considered at once
AIM_TOLERANCE = 0.1  # of the aim: hints are not exact, so a job is given up this much later
RUN_TIME_STEP = 0.05  # for the running times of a kind of worker, with each served job
MIN_RUN_SHARE = 0.85  # of the usual running time, which a job takes at the least
STALE_RUN_TIMES = 3.0  # typical running times: a retry older than the aim of so long a job is useless
SATURATION_REPORT_STEP = 0.03  # with each report
SATURATION_START_STEP = 0.12  # with each start of an own job, of which there are fewer
LATE_START_SHARE = 0.5  # of the fixed part of an aim: a later start is a sign of saturation
SHED_FROM = 0.2  # saturation at which worthless work would be shed
SHED_VALUE_RANGE = 0.6  # on top for the most valuable work; grows with the root of the value of its time
SHED_WAIT = 0.5  # of the tightest aim that may have to wait behind a job: a longer wait is shed
SHED_WAIT_VALUE_RANGE = 1.0  # on top for the most valuable work
RETRY_AFTER_MS = 300.0  # sent to a refused client: soon enough for its retry to be on time
SHED_WIDTH = 0.3  # saturation from the first shed request of a value to all of them
MAX_KEYS = 1_024  # keys with a type of their own; the least recently used one is evicted
FIRST_WATCH_SPREAD = 0.6  # of the ask interval, over which schedulers spread their first call
LIST_RETRY_MS = 700.0  # first wait after a failed call for the list; doubles, jittered
MAX_LOG_LINES = 12  # in all: an instance reports rare changes only

(_TIMER_CHECK, _TIMER_DEADLINE, _TIMER_LIST, _TIMER_PROBES, _TIMER_START,
 _TIMER_EXCHANGE) = range(6)


class Balancer:
    """The decisions of one scheduler; see ``interface.Events`` for what each event means."""

    def __init__(self, now: float, settings: Settings, seed: int, actions: Actions) -> None:
        self.settings = settings
        self.actions = actions
        self.rng = random.Random(seed)
        self.fleet = Fleet(settings.kinds)
        self.probes_first = (
            settings.may_probe and settings.reports_in_probes
            and PROBES_PER_ROUND * PROBE_ROUNDS * settings.prices.get("probe", 0.0) <= MAX_PROBE_PRICE)
        self.reports = Reports(settings.report_fields, PROBE_TTL_MS if self.probes_first else REPORT_TTL_MS,
                               settings.queue_order != "backfill")
        self.awaiting_probe: dict[int, list[Job]] = {}  # by worker: the jobs that wait for its probe
        self.jobs: dict[int, Job] = {}
        self.class_types = [JobType(settings.kinds, log(c.aim_ms)) for c in settings.classes]
        self.hint_types = [JobType(settings.kinds, 0.0) for _ in settings.classes]
        self.key_types: dict[tuple[int, int], KeyType] = {}  # least recently used first
        self.timers: list[tuple[float, int, int, Attempt | Job | None]] = []
        self.timer_serial = 0
        self.timer_due_at = 0.0  # when the pending timer of the host comes due; 0: none
        self.mean_response_ms = min(c.aim_ms for c in settings.classes)  # of all jobs
        self.mean_run_ms = self.mean_response_ms  # of all jobs, from their start
        self.started_at = now
        self.warm_workers = 0
        self.served_cost = 0.0  # mean jobs served per warm worker, decaying over SERVED_RATE_MS
        self.served_at = now
        self.mean_cost = 1.0
        self.run_ms_per_hint = [1.0] * settings.kinds  # running time per hinted ms, by kind of worker
        self.start_delay_ms = [  # in the own zone, in others
            FIRST_START_DELAY_MS, FIRST_START_DELAY_MS + 2 * settings.connect_timeout_ms / 5]
        self.local_busy = 0.0  # share of jobs in the own zone that had to wait
        self.zone_reach = ZoneReach(settings.zones)
        self.full_share = 0.0  # share of attempts answered with 'full'
        self.saturation = 0.0  # share of own jobs that start late, else of reports without a free slot
        self.longest_left_ms = [0.0] * len(settings.classes)  # by class: most time left on arrival
        self.quotas = TenantQuotas(now, len(settings.tenants))
        self.watching = False
        self.list_retry_ms = LIST_RETRY_MS
        self.log_lines_left = MAX_LOG_LINES
        self.give_up_reason = ""  # of the request that was given up last
        self.occupancy = exchange_for(now, settings.me, settings.balancers - 1, settings.may_tell_peers,
                                      settings.prices.get("peer", 0.0))
        self.shares_counts = not isinstance(self.occupancy, NoExchange)
        self._send_messages(())  # there is no message yet, but the exchange may want a wakeup
        if settings.must_ask:
            # Schedulers that start together must not ask together: the list has a fixed capacity.
            self._schedule(
                now + settings.ask_within_ms * FIRST_WATCH_SPREAD * self.rng.random(), _TIMER_LIST, None)
        self._arm_timer(now)

    # -- the worker list --

    def on_workers(self, now: float, kind: int, entries: Sequence[ListedWorker]) -> None:
        """Follow the list; after a failed call keep the known one and ask again with a growing delay."""
        if kind == ListKind.FAILED:
            if self.watching:
                self._log("worker list unavailable; keeping the last one")
            self.watching = False
            wait = min(self.list_retry_ms, self.settings.ask_within_ms * 0.8) * (0.5 + self.rng.random())
            self.list_retry_ms *= 2.0
            self._schedule(now + wait, _TIMER_LIST, None)
        else:
            if kind != ListKind.CACHED and self.settings.must_ask:
                self.watching = True
                self.list_retry_ms = LIST_RETRY_MS
            for worker_id in self.fleet.apply(kind, entries, self._cold_phase):
                self._forget_worker(worker_id)
            workers, partial = self.fleet.workers, kind == ListKind.CHANGES
            ids = [entry.worker for entry in entries if entry.worker in workers] if partial else list(workers)
            slots_out, identities = ({i: workers[i].slots_out for i in ids},
                                     {i: workers[i].identity for i in ids})
            if partial:  # of a long list only the changes are passed on
                gone = [entry.worker for entry in entries if entry.worker not in workers]
                self.occupancy.update_workers(now, slots_out, identities, gone)
            else:
                self.occupancy.set_workers(now, slots_out, identities)
            self._send_messages(())
            for entry in entries:
                if entry.state == WorkerState.READY and now - entry.ready_at_ms < self.settings.cold_ms:
                    self.zone_reach.worker_started(entry.zone)
            self.warm_workers = sum(worker.ready_at <= 0.0 for worker in self.fleet.ready.values())
            for profile in self._class_profiles():
                profile.stale = True
        self._arm_timer(now)

    def _cold_phase(self, identity: int) -> float:
        return cold_start.phase_of(self.settings.me, self.settings.balancers, identity, self.rng.random())

    def on_settings(self, settings: Settings, changed: Sequence[int]) -> None:
        """Take new settings; ``changed``: indices of replaced classes, or one past the last for a new one."""
        self.settings = settings
        for row in changed:
            self.class_types[row:row + 1] = [JobType(settings.kinds, log(settings.classes[row].aim_ms))]
            self.hint_types[row:row + 1] = [JobType(settings.kinds, 0.0)]
            self.longest_left_ms[row:row + 1] = [0.0]
        self.key_types = {k: t for k, t in self.key_types.items() if k[0] not in changed}

    def usual_response_ms(self, class_index: int) -> float:
        """The typical response time of a class's jobs without a hint; its aim at first."""
        return exp(self.class_types[class_index].mean_log)

    def _class_profiles(self) -> list[JobType]:
        return [*self.class_types, *self.hint_types]

    def _forget_worker(self, worker_id: int) -> None:
        for profile in self._class_profiles():
            profile.forget(worker_id)
        for key_type in self.key_types.values():
            key_type.last_sent_at.pop(worker_id, None)

    # -- job types, admission --

    def _types_of(self, request: Request) -> tuple[JobType, KeyType | None]:
        """The profiles of the request's class and, where it has a key, the type of that key."""
        class_type = (self.hint_types if request.hint_ms > 0 else self.class_types)[request.class_index]
        if not request.key:
            return class_type, None
        key = (request.class_index, request.key)
        key_type = self.key_types.pop(key, None)
        if key_type is None:
            key_type = KeyType(request.key, class_type)
            if len(self.key_types) >= MAX_KEYS:
                del self.key_types[next(iter(self.key_types))]
        self.key_types[key] = key_type  # moved to the end, as the most recently used one
        return class_type, key_type

    def on_request(self, now: float, request: Request) -> None:
        """Accept a request: send it, or refuse it if that has the higher expected value."""
        if request.id in self.jobs:
            return
        class_index = request.class_index
        cls = self.settings.classes[class_index]
        job = Job(request, cls, *self._types_of(request), now)
        self.jobs[job.id] = job
        longest = self.longest_left_ms[class_index] = max(
            self.longest_left_ms[class_index], request.left_ms)
        first_try_at = now - (longest - request.left_ms)  # a retry has less time left than a first try
        job.over_share = not self.quotas.admits(
            now, request.tenant, self.settings.tenants, self.settings.balancers)
        typical_ms = exp(job.job_type.mean_log)
        if job.hint_ms > 0:
            work = job.hint_ms * typical_ms
            job.aim_at = first_try_at + cls.aim_ms + cls.aim_stretch * job.hint_ms
            job.cost = job.slots * job.hint_ms
        else:
            work = typical_ms
            job.aim_at = first_try_at + cls.aim_ms + cls.aim_stretch * typical_ms * STALE_RUN_TIMES
        self.mean_cost += (job.cost - self.mean_cost) * 0.02
        give_up_at = job.deadline_at - 2 * self.settings.tick_ms
        if cls.late_worth <= 0:
            if now + (0.8 * work if job.hint_ms > 0 else 0.0) > job.aim_at:
                self._give_up(job, now, "hopeless")  # a retry that can no longer be in time
                self._arm_timer(now)
                return
            if job.hint_ms > 0:
                give_up_at = min(give_up_at, job.aim_at + AIM_TOLERANCE * (job.aim_at - first_try_at))
                if self.settings.tells_start:
                    self._schedule(
                        job.aim_at - self._min_run_ms(job, min(self.run_ms_per_hint)), _TIMER_START, job)
        self._schedule(give_up_at, _TIMER_DEADLINE, job)
        if not (self.probes_first and self._probe_candidates(job, now)):
            self._try_send(job, now)
        self._arm_timer(now)

    # -- probing before sending --

    def _probe_candidates(self, job: Job, now: float) -> bool:
        """Draw a few workers in proportion to their shares and probe them, unless counts tell who is free."""
        own_zone_only = self._prefers_own_zone and self.local_busy < LOCAL_BUSY_LIMIT
        pool = self.fleet.pool(
            (self.settings.zone,) if own_zone_only and not job.probe_rounds else (), job.cls.kind,
            job.class_index)
        usable = [worker for worker in pool
                  if worker not in job.probed and self._usable(worker, job, now) == 2]
        drawn = self._sample_by_share(job, usable, PROBES_PER_ROUND, now)
        job.probe_rounds += 1
        if self._occupancy_known(now):  # the counts of all schedulers tell who is free at this moment
            job.probed += drawn
            if job.probe_rounds < PROBE_ROUNDS and not any(
                    self._available(worker, job, now) for worker in job.probed):
                self._probe_candidates(job, now)
            return False
        for worker in drawn:
            job.probed.append(worker)
            waiting = self.awaiting_probe.get(worker.id)
            if waiting is None:
                self.awaiting_probe[worker.id] = [job]
                self.actions.probe(worker.id)
            else:
                waiting.append(job)
            job.probes_pending += 1
        if drawn:
            self._schedule(now + PROBE_WAIT_MS, _TIMER_PROBES, job)
        return bool(drawn)

    def _sample_by_share(self, job: Job, pool: list[Worker], count: int, now: float) -> list[Worker]:
        """Distinct workers drawn in proportion to their shares."""
        job_type, draw = job.job_type, self.rng.random
        drawn: list[Worker] = []
        if job.key_type is not None:
            return self._hash_order(job, pool, now)[:count]
        for _ in range(count * DRAWS_PER_CANDIDATE if pool else 0):
            worker = pool[int(draw() * len(pool))]
            if draw() * job_type.max_rate <= (
                    job_type.rates.get(worker.id) or job_type.kind_rates[worker.kind]
            ) and worker not in drawn:
                drawn.append(worker)
                if len(drawn) == count:
                    break
        return drawn

    @staticmethod
    def _rate(job: Job, worker: Worker, now: float) -> float:
        """The inverse of the expected response time, with a fetch where the worker does not hold the key."""
        job_type, key_type = job.job_type, job.key_type
        rate = job_type.rates.get(worker.id) or job_type.kind_rates[worker.kind]
        if key_type is None or key_type.holds_key(worker.id, now):
            return rate
        return rate * exp(-job_type.fetch_log)

    def _hash_order(self, job: Job, pool: list[Worker], now: float) -> list[Worker]:
        """Workers in the order of the key's weighted rendezvous hash."""
        key_type = job.key_type
        assert key_type is not None
        return sorted(pool, key=lambda worker: key_type.hash_order(worker, self._rate(job, worker, now)))

    def _on_probes_done(self, job: Job, now: float) -> None:
        """All probes were answered or timed out: send, or probe once more if no worker was free."""
        if job.closed or job.attempts or job.probes_pending < 0:
            return
        free = any(self.reports.has_room(now, worker, job.slots, job.memory) for worker in job.probed)
        self.saturation += ((not free) - self.saturation) * SATURATION_START_STEP
        if not free and job.probe_rounds < PROBE_ROUNDS and self._probe_candidates(job, now):
            return
        job.probes_pending = -1
        self._try_send(job, now)

    # -- picking a worker --

    @property
    def _prefers_own_zone(self) -> bool:
        return self.settings.zones > 1 and not self.zone_reach.is_cut_off(self.settings.zone)

    def _usable(self, worker: Worker, job: Job, now: float) -> int:
        """0: must not be used; 1: only if no healthy worker is left; 2: may be used."""
        if worker.ready_at > 0.0 and not self._cold_allows(worker, job, now):
            return 0
        unhealthy = worker.ejected_until > now or (worker.half_open and worker.slots_out > 0) or (
            worker.error_rate >= ERROR_RATE_RISKY and self._failed_recently(worker, job, -1, now))
        # It answered 'full' though the counts say free: it drains, and the list is late.
        refused = (worker.full_until > now and job.slots >= worker.full_size
                   and self._known_slots(worker, now) > 0.0)
        return 1 if unhealthy or refused else 2

    def _cold_allows(self, worker: Worker, job: Job, now: float) -> bool:
        """Whether a cold worker may be sent a job, by the load limit for all schedulers together."""
        if now - worker.ready_at >= self.settings.cold_ms:
            # Warm.  The start time is kept, negated, as the list names the same start again.
            worker.ready_at = -worker.ready_at
            self.warm_workers += 1
            return True
        cost, load_limit = (job.cost / self.mean_cost,
                            cold_start.load_limit(self._cold_budget(worker, job, now)))
        per_window = cold_start.ALLOWED_SHARE * load_limit / self.settings.balancers
        worker.cold_allowance.earn(now, per_window / self.settings.fall_ms)
        if cost > cold_start.MAX_REQUEST_SHARE * load_limit:
            return False
        if (slots := self._known_slots(worker, now)) > 0.0 and (part := self.occupancy.heard_share) > 0.0:
            # The slots that the heard schedulers use are known.  Together these may use their part of what
            # the rule allows all schedulers, as the others may be cut off and send as well.
            return (slots_out := self._total_slots_out(worker)) <= 0.0 or (
                slots_out + job.slots <= slots * part)
        return worker.cold_allowance.admits(cost)

    def _cold_budget(self, worker: Worker, job: Job, now: float) -> float:
        """Mean jobs that the rule allows a cold worker within ``fall_ms``.

        Estimated from what warm workers serve; a worker whose kind is slower than the mean is allowed less.
        """
        job_type = job.job_type
        relative_speed = min(
            1.0, job_type.kind_rates[worker.kind] * len(self.fleet.ready) / job_type.total_rate)
        window = self.settings.fall_multiple * self.settings.balancers * self.settings.fall_ms
        return window * self._served_per_ms(now) * self._warm_fraction(worker, now) * relative_speed

    def _warm_fraction(self, worker: Worker, now: float) -> float:
        """The share of its full capacity that a cold worker has now, at the least."""
        elapsed = min(1.0, max(0.0, now - worker.ready_at) / self.settings.cold_ms)
        return self.settings.cold_from + (1.0 - self.settings.cold_from) * elapsed

    def _served_per_ms(self, now: float) -> float:
        """Mean jobs of this scheduler that a warm worker serves per ms; jobs sent may be many times that."""
        # Without a warm worker, the rate stays as it was when the last job was served.
        now = now if self.warm_workers else max(self.started_at, self.served_at)
        known = 1.0 - exp((self.started_at - now - 1.0) / SERVED_RATE_MS)  # share of the averaging time
        return self.served_cost * exp((self.served_at - now) / SERVED_RATE_MS) / (SERVED_RATE_MS * known)

    @staticmethod
    def _failed_recently(worker: Worker, job: Job, class_index: int, now: float) -> bool:
        """Whether a class (-1: any) failed there too lately to send a job that must not run twice."""
        return (job.cls.effect != Effect.SAFE
                and now - worker.last_error_at.get(class_index, -1e18) < ERROR_TTL_MS)

    def _available(self, worker: Worker, job: Job, now: float) -> bool:
        """Whether a job would start at once, by counts, else a report, else a recent 'full' or wait there."""
        if self._failed_recently(worker, job, job.class_index, now):
            return False
        slots = self._known_slots(worker, now)
        if slots > 0.0:
            return (slots_out := self._total_slots_out(worker)) + job.slots <= slots or (
                slots_out <= 0.0 and worker.ready_at > 0.0)
        free = self.reports.has_room(now, worker, job.slots, job.memory)
        if free is not None:
            return free
        return not ((worker.full_until > now and job.slots >= worker.full_size) or worker.busy_until > now)

    def _occupancy_known(self, now: float) -> bool:
        """Whether the counts of all schedulers tell the free slots of every ready worker."""
        return all(self._known_slots(worker, now) > 0.0 for worker in self.fleet.ready.values())

    def _known_slots(self, worker: Worker, now: float) -> float:
        """The slots of a worker where the counts of all schedulers tell how many are in use; else 0."""
        if not self.shares_counts or not self.occupancy.complete(now):
            return 0.0
        slots = self.reports.idle_free_slots.get(worker.kind, 0.0)
        if worker.ready_at > 0.0:  # cold: as many as run at full speed; with all in use, each would be slow
            return min(1.0, slots) * max(1.0, round(slots * self._warm_fraction(worker, now)))
        return round(slots)

    def _total_slots_out(self, worker: Worker) -> float:
        """The slots that the attempts of all schedulers hold at a worker."""
        return worker.slots_out + self.occupancy.peer_slots(worker.id)

    def _expected_wait_ms(self, worker: Worker, job: Job, now: float) -> float:
        """How long a job sent now would wait in the worker's queue."""
        slots = self._known_slots(worker, now)
        if slots <= 0.0:
            return self.reports.wait_ms(now, worker, self.mean_response_ms)
        slowdown = (self._expected_ms(job, worker) / exp(job.job_type.mean_log)
                    / (job.hint_ms if job.hint_ms > 0 else 1.0))
        return (max(0.0, self._total_slots_out(worker) + job.slots - slots) / slots * self.mean_run_ms
                * slowdown)

    def _announce_count(self, worker: Worker, now: float, more: bool) -> None:
        """Note a change of this scheduler's count at a worker, and send what the exchange has due."""
        if self.shares_counts:
            listed = self.fleet.workers.get(worker.id)  # not ``worker`` if it was dropped and listed again
            slots_out = listed.slots_out if listed is not None else 0.0
            self._send_messages(self.occupancy.record_change(now, worker.id, slots_out, more))

    def _send_messages(self, messages: Sequence[Outgoing]) -> None:
        """Send messages of the occupancy exchange, and set timers for its wakeups."""
        for peer, data in messages:
            self.actions.send_to_peer(peer, data)
        while (wakeup := self.occupancy.take_wakeup()) is not None:
            self._schedule(wakeup, _TIMER_EXCHANGE, None)

    def _rank(self, job: Job, now: float, pool: list[Worker]) -> tuple[Worker | None, int]:
        """The first worker in gap order, and its tier.

        Tiers: 0 available; 1 a short wait; 2 a long wait; 3 unhealthy but available; 4 unhealthy and busy.
        With few jobs in flight, the gaps of whole counts cannot express the shares; then only as many workers
        as the counts can tell apart are drawn in proportion to the shares, and ranked.
        """
        job_type = job.job_type
        if job_type.stale and now >= job_type.next_update_at:
            job_type.update_rates(now, self.fleet.ready, self.fleet.kind_counts, self.rng.random())
        draw = self.rng.random
        key_type = job.key_type
        in_flight, in_flight_at = (
            (job_type.in_flight, job_type.in_flight_at) if key_type is None
            else (key_type.in_flight, key_type.in_flight_at))
        # A key with no job in flight goes to the first available worker in hash order.  Ranking more workers
        # by their rates would move keys about, and each move is a fetch from the shared store.
        wanted = (MIN_CANDIDATES if key_type is None else 1) + CANDIDATES_PER_JOB * in_flight
        if key_type is not None:
            pool = self._hash_order(job, pool, now)
        pool_size = len(pool)
        rank_all = wanted * 2 >= pool_size or key_type is not None
        draws = pool_size if rank_all else wanted * DRAWS_PER_CANDIDATE
        rates, kind_rates, max_rate = job_type.rates, job_type.kind_rates, job_type.max_rate
        scale = in_flight / job_type.total_rate
        best: Worker | None = None
        best_tier, best_gap, best_rate, best_tie = 9, 0.0, 0.0, 0.0
        attempts = job.attempts
        available_seen = 0
        for i in range(draws):
            worker = pool[i] if rank_all else pool[int(draw() * pool_size)]
            rate = (self._rate(job, worker, now) if key_type is not None
                    else rates.get(worker.id) or kind_rates[worker.kind])
            if not rank_all and draw() * max_rate > rate:
                continue
            if attempts and any(attempt.worker is worker for attempt in attempts):
                continue
            usable = self._usable(worker, job, now)
            if not usable:
                continue
            available = self._available(worker, job, now)
            if usable == 1:
                tier = 3 if available else 4
            elif available:
                tier = 0
                available_seen += 1
            else:
                tier = 1 if self._expected_wait_ms(worker, job, now) <= SHORT_WAIT * job.cls.aim_ms else 2
            if tier > best_tier:
                continue
            gap = in_flight_at.get(worker.id, 0) - rate * scale
            if tier == best_tier:
                if gap > best_gap:
                    continue
                if gap == best_gap:
                    if rate < best_rate:
                        continue
                    tie = draw()
                    if rate == best_rate and tie <= best_tie:
                        continue
                    best_tie = tie
            best, best_tier, best_gap, best_rate = worker, tier, gap, rate
            if available_seen >= wanted and (not rank_all or key_type is not None):
                break
        return best, best_tier

    def _pick(self, job: Job, now: float) -> tuple[Worker | None, int]:
        """The worker and its tier: own zone first, all zones if none is available there or it is busy."""
        kind = job.cls.kind
        first_worker = job.first_run_worker
        zones = self.zone_reach.candidate_zones(self.rng.random)
        candidates = self.fleet.pool(zones, kind, job.class_index)
        if job.probed and not job.attempts:
            answered = [worker for worker in job.probed if worker.state == WorkerState.READY
                        and (now - worker.report_at <= PROBE_TTL_MS or self._known_slots(worker, now) > 0.0)]
            if answered:
                return self._rank(job, now, answered)
        if first_worker is not None and job.cls.effect == Effect.KEYED:
            if job.cls.group == Group.ZONE:
                candidates = [worker for worker in candidates if worker.zone == first_worker.zone]
            elif job.cls.group == Group.CELL:
                candidates = [worker for worker in candidates if worker.cell == first_worker.cell]
            return self._rank(job, now, candidates)
        key_type = job.key_type
        # A rarely requested key goes to one worker in all zones: with one in each, each zone would fetch it.
        prefers_own = self._prefers_own_zone and (
            key_type is None
            or any(key_type.holds_key(worker_id, now) for worker_id in key_type.last_sent_at))
        if prefers_own and self.local_busy < LOCAL_BUSY_LIMIT and len(job.attempts) < 2:
            local, tier = self._rank(
                job, now, self.fleet.pool((self.settings.zone,), kind, job.class_index))
            if tier == 0:
                return local, 0
            other, other_tier = self._rank(job, now, candidates)
            return (other, other_tier) if other_tier < tier else (local, tier)
        return self._rank(job, now, candidates)

    # -- attempts --

    def _may_send(self, job: Job, now: float) -> bool:
        """Whether a further attempt is harmless; the balancer decides this nowhere else."""
        if (job.closed or len(job.attempts) >= self.settings.max_attempts
                or now >= job.deadline_at - self.settings.tick_ms):
            return False
        effect = job.cls.effect
        if job.open_attempts > 1 or (
                job.open_attempts and (effect == Effect.UNSAFE or not self.settings.second_copies)):
            return False
        if effect == Effect.SAFE or (job.first_run_worker is None and not job.open_attempts):
            return True
        if effect == Effect.UNSAFE:
            return False
        first_at = min([job.first_run_at] if job.first_run_worker else []
                       + [attempt.sent_at for attempt in job.attempts if attempt.open])
        return now - first_at < job.cls.window_ms - 2 * self.settings.tick_ms

    def _may_refuse(self, job: Job) -> bool:
        """Whether a retry by the client is harmless; the balancer decides this nowhere else."""
        if job.cls.effect == Effect.SAFE or (job.first_run_worker is None and not job.open_attempts):
            return True
        return job.cls.effect == Effect.KEYED and job.cls.group == Group.ALL

    def _try_send(self, job: Job, now: float) -> bool:
        """Start the next attempt, if one may and should be made."""
        if not self._may_send(job, now):
            return False
        worker, tier = self._pick(job, now)
        if worker is None:
            if not job.open_attempts:
                self._give_up(job, now, "no-worker")
            return False
        if self._may_refuse(job) and not job.open_attempts and (
                reason := self._shed_reason(job, worker, tier, now)):
            self._give_up(job, now, reason)
            return False
        self._start_attempt(job, worker, now)
        return True

    def _shed_reason(self, job: Job, worker: Worker, tier: int, now: float) -> str:
        """The reason to shed a job; empty: none.  Over-share jobs go first, then those with a long wait."""
        share = self.settings.over_share_worth if job.over_share else 1.0
        excess = self.saturation - SHED_FROM - SHED_VALUE_RANGE * self._relative_value(job) ** 0.5 * share
        if self.rng.random() * SHED_WIDTH < excess or (tier > 0 and share < 0.5):
            return "strain"
        longest_wait_ms = (
            (SHED_WAIT + SHED_WAIT_VALUE_RANGE * self._relative_value(job)) * self._tightest_aim_ms(job))
        return "wait" if tier > 0 and self._expected_wait_ms(worker, job, now) > longest_wait_ms else ""

    def _class_values(self, job: Job) -> list[float]:
        """What a unit of workers' time earns on each class; 0 for retired ones but the job's own."""
        worths = [0.0 if c.retired and row != job.class_index else c.worth
                  for row, c in enumerate(self.settings.classes)]
        if self.settings.worth_by_work:
            return worths
        return [worth / exp(t.mean_log) for worth, t in zip(worths, self.class_types, strict=True)]

    def _relative_value(self, job: Job) -> float:
        """What the job earns for the slots and time it takes, as a share of the best class's."""
        values = self._class_values(job)
        share = values[job.class_index] / (max(values) or 1.0)
        return share if self.settings.worth_by_work else share / max(1.0, job.slots)

    def _tightest_aim_ms(self, job: Job) -> float:
        """The shortest fixed part of an aim among classes of no less value, whose jobs may wait behind it."""
        values = self._class_values(job)
        return min(c.aim_ms for c, v in zip(self.settings.classes, values, strict=True)
                   if v >= values[job.class_index])

    def _record_start_delay(self, job: Job, delay_ms: float) -> None:
        """Count a start as late or not, by what is late for the tightest class of no less value."""
        if self.settings.tells_start and not job.start_recorded:
            job.start_recorded = True
            late = delay_ms > LATE_START_SHARE * self._tightest_aim_ms(job)
            self.saturation += (late - self.saturation) * SATURATION_START_STEP

    def _start_attempt(self, job: Job, worker: Worker, now: float) -> None:
        local = worker.zone == self.settings.zone
        attempt = Attempt(job, len(job.attempts), worker, now, local)
        job.attempts.append(attempt)
        job.open_attempts += 1
        if job.cls.effect == Effect.KEYED and job.first_run_worker is None:
            job.first_run_worker, job.first_run_at = worker, now
        for job_type in (job.job_type, job.key_type):
            if job_type is not None:
                job_type.in_flight += 1
                job_type.in_flight_at[worker.id] = job_type.in_flight_at.get(worker.id, 0) + 1
        if job.key_type is not None:
            job.key_cached = job.key_type.holds_key(worker.id, now)
            job.key_type.last_sent_at[worker.id] = now
        worker.slots_out += job.slots
        worker.memory_out += job.memory
        self._announce_count(worker, now, more=True)
        if worker.ready_at > 0.0:
            worker.cold_allowance.spend(job.cost / self.mean_cost)
        self.actions.send(job.id, worker.id, 0.0)
        self._schedule(now + self._silence_limit_ms(attempt), _TIMER_CHECK, attempt)

    def _silence_limit_ms(self, attempt: Attempt) -> float:
        """How long to wait for the next sign of an attempt before checking on it."""
        if self.settings.tells_start and attempt.started_at < 0:
            # Long jobs have more slack: they queue elsewhere later than short ones, and seldom need to.
            slack = attempt.job.cls.aim_ms + (
                max(0.0, attempt.job.cls.aim_stretch - 1.0) * attempt.job.hint_ms)
            usual_ms = (START_SLACK * self.start_delay_ms[0 if attempt.in_own_zone else 1]
                        + self.settings.tick_ms)
            return max(usual_ms, HEDGE_SLACK_SHARE * slack)
        if self.settings.progress_ms > 0 and (attempt.started_at >= 0 or not self.settings.tells_start):
            return max(SILENT_PROGRESS_INTERVALS * self.settings.progress_ms, MIN_SILENCE_MS)
        job = attempt.job
        usual_ms = exp(job.job_type.mean_log) * (job.hint_ms if job.hint_ms > 0 else 1.0)
        return max(MIN_SILENCE_MS, SILENT_RESPONSE_TIMES * usual_ms)

    def _release(self, attempt: Attempt, now: float) -> None:
        """Stop counting the attempt's slots and memory at its worker."""
        if attempt.holds_slots:
            attempt.holds_slots = False
            attempt.worker.slots_out -= attempt.job.slots
            attempt.worker.memory_out -= attempt.job.memory
            self._announce_count(attempt.worker, now, more=False)

    def _expected_ms(self, job: Job, worker: Worker) -> float:
        """The expected response time of such a job at a worker."""
        job_type = job.job_type
        slowdown = job_type.total_rate / max(1, len(self.fleet.ready)) / (
            job_type.rates.get(worker.id) or job_type.kind_rates[worker.kind])
        return exp(job_type.mean_log) * (job.hint_ms if job.hint_ms > 0 else 1.0) * slowdown

    def _resend(self, attempt: Attempt, now: float) -> None:
        """Send the job of a silent attempt to another worker, where that is harmless."""
        if attempt.job.cls.effect == Effect.SAFE and now < attempt.job.aim_at:
            if self.settings.second_copies:
                self._try_send(attempt.job, now)
            else:
                self._cancel_attempt(attempt)  # its outcome sends the job again

    def _check_attempt(self, attempt: Attempt, now: float) -> None:
        """No sign came from an attempt in time: hedge if it waits in a queue, eject its worker if silent."""
        job, worker = attempt.job, attempt.worker
        if not attempt.open or job.closed:
            if not attempt.open and now >= attempt.release_at - 0.02:
                self._release(attempt, now)
            return
        if self.settings.tells_start and attempt.started_at < 0:
            # A wait in a queue is no sign of a fault: ejecting busy workers would worsen an overload.
            if now - job.arrived_at > LATE_START_SHARE * self._tightest_aim_ms(job):
                self._record_start_delay(job, now - job.arrived_at)
            if not attempt.queued:
                attempt.queued = True
                worker.busy_until = now + BUSY_MS * (0.5 + self.rng.random())
                self._record_local_wait(attempt, 1.0)
            if attempt.sent_at < worker.last_started_sent_at - OVERTAKEN_MS and self.reports.in_order:
                # Later attempts have started there, so this one is not queued: its connection is silent.
                self._release(attempt, now)
                self._resend(attempt, now)
            else:
                self._hedge(job, now)
        else:
            last_sign_at = (attempt.last_sign_at if attempt.started_at >= 0
                            else max(attempt.last_sign_at, worker.last_heard_at))
            silence_limit_ms = self._silence_limit_ms(attempt)
            if now - last_sign_at < silence_limit_ms * 0.98:
                self._schedule(last_sign_at + silence_limit_ms, _TIMER_CHECK, attempt)
                return
            if now - worker.last_heard_at >= silence_limit_ms:
                self._eject(worker, now, "silent")
            overdue = now - last_sign_at > RESEND_AFTER * self._expected_ms(job, worker)
            # A worker that is silent altogether may still hold the slot, as all others there, and the counts
            # that schedulers exchange must include it.
            if overdue and (worker.last_heard_at > attempt.sent_at or not self.shares_counts):
                self._release(attempt, now)  # its connection is silent, or the work is not worth its slot
            if overdue or self.settings.second_copies:
                self._resend(attempt, now)
        if attempt.open and not job.closed:
            self._schedule(now + self._silence_limit_ms(attempt), _TIMER_CHECK, attempt)

    def _hedge(self, job: Job, now: float) -> None:
        """Queue a waiting job at the next worker in gap order too; the first start cancels the others."""
        if job.cls.effect != Effect.SAFE or not (self.settings.may_cancel and self.settings.second_copies):
            return
        if self.reports.has_free_slots:
            return  # reports tell who is free; where a cancel stops nothing, every attempt would run
        waiting = 0
        for attempt in job.attempts:
            if attempt.open and not attempt.cancelled:
                if attempt.started_at >= 0:
                    return
                waiting += 1
        # Where a cancel stops nothing, cancelled attempts stay in the queues, which overflow.  So the more
        # 'full' answers come, the fewer hedges are sent.
        if waiting <= MAX_WAITING_HEDGES * (1.0 - self.full_share / HEDGE_MAX_FULL_SHARE):
            self._try_send(job, now)

    def _record_local_wait(self, attempt: Attempt, busy: float) -> None:
        if attempt.in_own_zone:
            self.local_busy += (busy - self.local_busy) * LOCAL_BUSY_STEP

    def on_started(self, now: float, request: int, attempt_index: int) -> None:
        """A worker began an attempt: cancel those that still wait elsewhere."""
        attempt = self._find_attempt(request, attempt_index)
        if attempt is None or not attempt.open:
            return
        job, worker = attempt.job, attempt.worker
        attempt.started_at = attempt.last_sign_at = now
        worker.last_started_sent_at = max(worker.last_started_sent_at, attempt.sent_at)
        self._mark_healthy(worker, now)
        delay_ms = now - attempt.sent_at
        zone_index = 0 if attempt.in_own_zone else 1
        if not attempt.queued:
            self.start_delay_ms[zone_index] += (
                min(delay_ms, 3 * self.start_delay_ms[zone_index]) - self.start_delay_ms[zone_index]) * 0.15
            self._record_local_wait(attempt, 0.0)
            worker.busy_until = -1e18
        if job.closed or attempt.cancelled:
            return
        if self._too_late(job, now + self._min_run_ms(job, self.run_ms_per_hint[worker.kind])):
            # Its result would be worthless; a faster worker may still be in time.
            self._cancel_attempt(attempt)
            return
        job.started = True
        self._record_start_delay(job, now - job.arrived_at)
        for other in job.attempts:
            if other is not attempt and other.open and not other.cancelled:
                # Of two that run, the one that began first goes on, as it has done more.
                loser = attempt if other.started_at >= 0 else other
                self._cancel_attempt(loser)
                if loser is attempt:
                    break
        self._arm_timer(now)

    @staticmethod
    def _min_run_ms(job: Job, run_ms_per_hint: float) -> float:
        """The least time that the job will run, given the usual running time per hinted ms."""
        return MIN_RUN_SHARE * run_ms_per_hint * job.hint_ms

    @staticmethod
    def _too_late(job: Job, finish_at: float) -> bool:
        """Whether a repeatable job with a hint would end too late to be worth anything."""
        return (job.hint_ms > 0 and job.cls.late_worth <= 0 and job.cls.effect == Effect.SAFE
                and finish_at > job.aim_at)

    def _cancel_attempt(self, attempt: Attempt) -> None:
        if self.settings.may_cancel and attempt.open and not attempt.cancelled:
            attempt.cancelled = True
            self.actions.cancel(attempt.job.id, attempt.index)

    def on_progress(self, now: float, request: int, attempt_index: int, done: float) -> None:
        """A share of an attempt is done: a sign of life, and an estimate of its end."""
        attempt = self._find_attempt(request, attempt_index)
        if attempt is not None and attempt.open:
            if attempt.started_at < 0:
                attempt.started_at = now
            attempt.last_sign_at = now
            self._mark_healthy(attempt.worker, now)
            job = attempt.job
            if done > 0 and not job.closed and self._too_late(
                    job, now + MIN_RUN_SHARE * (now - attempt.started_at) * (1.0 - done) / done):
                self._give_up(job, now, "hopeless")

    def on_stream(self, now: float, request: int, attempt_index: int) -> None:
        """The answer streams: the request counts as answered, and no deadline applies any more."""
        attempt = self._find_attempt(request, attempt_index)
        if attempt is None or not attempt.open:
            return
        self._mark_healthy(attempt.worker, now)
        attempt.job.closed = True
        for other in attempt.job.attempts:
            if other is not attempt:
                self._cancel_attempt(other)

    def _find_attempt(self, request: int, attempt_index: int) -> Attempt | None:
        job = self.jobs.get(request)
        if job is None or not 0 <= attempt_index < len(job.attempts):
            return None
        return job.attempts[attempt_index]

    # -- health --

    def _mark_healthy(self, worker: Worker, now: float) -> None:
        worker.last_heard_at = now
        worker.resets = 0
        self.zone_reach.record(worker.zone, failed=False)
        if worker.ejections and (worker.error_rate < ERROR_RATE_EJECT
                                 or now - worker.last_error_at.get(-1, -1e18) >= ERROR_TTL_MS):
            worker.ejections = 0
            worker.half_open = False
            worker.ejected_until = -1e18

    def _eject(self, worker: Worker, now: float, reason: str, longest: int = EJECTION_MAX) -> None:
        """Eject a worker for a growing, jittered time; after that, it is tried with one job at a time."""
        if worker.ejected_until > now:
            return
        if worker.ejections == 2:
            self._log(f"worker {worker.id} ejected for the third time in a row: {reason}")
        multiple = min(longest, 1 << min(worker.ejections, 8))
        worker.ejections += 1
        worker.half_open = True
        worker.ejected_until = now + EJECTION_MS * multiple * (0.75 + 0.5 * self.rng.random())

    # -- outcomes and final answers --

    def on_outcome(self, now: float, request: int, attempt_index: int, status: int, latency_ms: float,
                   closed: bool, report: tuple[float, ...]) -> None:
        """An attempt ended: update the estimates, and go on with its request if that is still unanswered."""
        attempt = self._find_attempt(request, attempt_index)
        if attempt is None or not attempt.open:
            return
        job, worker = attempt.job, attempt.worker
        attempt.open = False
        job.open_attempts -= 1
        for job_type in (job.job_type, job.key_type):
            if job_type is not None:
                job_type.in_flight -= 1
                job_type.in_flight_at[worker.id] -= 1
                if not job_type.in_flight_at[worker.id]:
                    del job_type.in_flight_at[worker.id]
        if status in POSSIBLY_RUNNING and attempt.holds_slots:
            # The worker may still run it, so its slots stay counted: they would otherwise count as free while
            # abandoned work holds them.
            usual_ms = self._expected_ms(job, worker)
            attempt.release_at = now + max(MIN_HOLD_SHARE * usual_ms,
                                           usual_ms - (now - max(attempt.started_at, attempt.sent_at)))
            self._schedule(attempt.release_at, _TIMER_CHECK, attempt)
        else:
            self._release(attempt, now)
        if report:
            self._record_report(now, worker, report)
        self.full_share += ((status == Status.FULL) - self.full_share) * FULL_SHARE_STEP
        if status == Status.OK:
            worker.error_rate -= worker.error_rate * ERROR_RATE_STEP
            self._mark_healthy(worker, now)
            worker.full_count = 0
            if worker.ready_at <= 0.0:
                self.served_cost = (self.served_cost * exp((self.served_at - now) / SERVED_RATE_MS)
                                    + job.cost / self.mean_cost / max(1, self.warm_workers))
                self.served_at = now
            self.mean_response_ms += (latency_ms - self.mean_response_ms) * MIN_MEAN_STEP
            run_ms = now - attempt.started_at if attempt.started_at >= 0 else latency_ms
            self.mean_run_ms += (run_ms - self.mean_run_ms) * MIN_MEAN_STEP
            if job.hint_ms > 0 and attempt.started_at >= 0:
                self.run_ms_per_hint[worker.kind] += (
                    (now - attempt.started_at) / job.hint_ms - self.run_ms_per_hint[worker.kind]
                ) * RUN_TIME_STEP
            if latency_ms > 0:
                job.job_type.record(now, worker, latency_ms / job.hint_ms if job.hint_ms > 0 else latency_ms,
                                    job.key_cached)
        elif status == Status.FULL:
            worker.last_heard_at = now
            worker.full_size = min(worker.full_size, job.slots) if worker.full_until > now else job.slots
            worker.full_until = (
                now + FULL_BACKOFF_MS * (1 << min(worker.full_count, 2)) * (0.5 + self.rng.random()))
            worker.full_count += 1
            self._record_start_delay(job, 1e18)
        elif status == Status.ERROR:
            worker.last_error_at[job.class_index] = worker.last_error_at[-1] = worker.last_heard_at = now
            worker.error_rate += (1.0 - worker.error_rate) * ERROR_RATE_STEP
            if worker.error_rate >= ERROR_RATE_EJECT:
                self._eject(worker, now, "errors", ERROR_EJECTION_MAX)
        elif status == Status.CONNECT_FAILED:
            self.zone_reach.record(worker.zone, failed=True)
            self._eject(worker, now, "no connection")
        elif status == Status.RESET and not attempt.cancelled:
            worker.resets += 1
            if worker.resets >= RESETS_TO_EJECT:
                self._eject(worker, now, "reset")
        if status not in NEVER_RAN:
            if job.first_run_worker is None:
                job.first_run_worker, job.first_run_at = worker, attempt.sent_at
        elif job.first_run_worker is worker and job.cls.effect == Effect.KEYED:
            self._reset_first_run(job)
        if closed or status == Status.OK:
            self._close(job)
        elif not job.closed and not job.open_attempts:
            if status == Status.MOOT or not self._try_send(job, now):
                if not job.closed:
                    self._give_up(job, now, "tried")
        if job.closed and not job.open_attempts:
            self.jobs.pop(request, None)
        self._arm_timer(now)

    def _reset_first_run(self, job: Job) -> None:
        """A keyed attempt provably did not run: the first open one now determines the group."""
        job.first_run_worker = None
        for attempt in job.attempts:
            if attempt.open:
                job.first_run_worker, job.first_run_at = attempt.worker, attempt.sent_at
                return

    def _record_report(self, now: float, worker: Worker, report: tuple[float, ...]) -> None:
        reports = self.reports
        changed, known_kinds = report != worker.report, len(reports.idle_free_slots)
        reports.record(now, worker, report)
        if len(reports.idle_free_slots) > known_kinds:
            self._send_messages(self.occupancy.announce_capacity(reports.idle_free_slots))
        if reports.has_free_slots and changed and not self.probes_first and not self.settings.tells_start:
            self.saturation += (
                (report[reports.slots_index] < 1.0) - self.saturation) * SATURATION_REPORT_STEP
        if reports.inflight_index >= 0:
            self.quotas.record_report(worker.slots_out, report[reports.inflight_index])

    def _close(self, job: Job) -> None:
        job.closed = True
        for attempt in job.attempts:
            if attempt.open:
                self._cancel_attempt(attempt)

    def _give_up(self, job: Job, now: float, reason: str) -> None:
        """Give the final answer: a refusal if a retry is harmless, else a failure."""
        self.give_up_reason = reason
        if self._may_refuse(job):
            # Jittered: clients that are refused at the same time must not all retry at the same time.
            retry_after_ms = min(RETRY_AFTER_MS * (0.6 + 0.8 * self.rng.random()),
                                 self.settings.max_retry_after_ms)
            self.actions.refuse(job.id, retry_after_ms if self.settings.retry_after else 0.0)
        else:
            self.actions.fail(job.id)
        self._close(job)
        if not job.open_attempts:
            self.jobs.pop(job.id, None)

    def on_client_gone(self, now: float, request: int) -> None:
        """The client left: no answer is needed any more."""
        job = self.jobs.get(request)
        if job is not None:
            self._close(job)
            if not job.open_attempts:
                del self.jobs[request]

    # -- timers --

    def _schedule(self, due: float, kind: int, subject: Attempt | Job | None) -> None:
        self.timer_serial += 1
        heappush(self.timers, (due, self.timer_serial, kind, subject))

    def _arm_timer(self, now: float) -> None:
        """Keep one timer of the host pending, for the earliest entry that is due."""
        if self.timers:
            due = self.timers[0][0]
            if self.timer_due_at == 0.0 or due < self.timer_due_at:
                self.timer_due_at = due
                self.actions.set_timer(max(0.0, due - now), 1)

    def on_timer(self, now: float, token: int) -> None:
        """Process every timer that is due."""
        timers = self.timers
        if self.timer_due_at and now >= self.timer_due_at - 0.01:
            self.timer_due_at = 0.0
        while timers and timers[0][0] <= now + 0.01:
            due, _, kind, subject = heappop(timers)
            if isinstance(subject, Attempt):
                self._check_attempt(subject, now)
            elif isinstance(subject, Job):
                if kind == _TIMER_PROBES:
                    self._on_probes_done(subject, now)
                elif not subject.closed and (kind == _TIMER_DEADLINE or not subject.started):
                    self._give_up(subject, now, "late")
            elif kind == _TIMER_EXCHANGE:
                self._send_messages(self.occupancy.on_wakeup(now, due, self.rng.random))
            elif kind == _TIMER_LIST and not self.watching:
                self.actions.watch(True)
        self._arm_timer(now)

    def on_probe_result(self, now: float, worker_id: int, status: int, latency_ms: float,
                        report: tuple[float, ...]) -> None:
        """A probe ended: update the estimates, and go on with the jobs that wait for it."""
        worker = self.fleet.workers.get(worker_id)
        if worker is not None:
            if report:
                self._record_report(now, worker, report)
            if status not in (Status.OK, Status.MOOT):
                self._eject(worker, now, "no answer to a probe")
        for job in self.awaiting_probe.pop(worker_id, ()):
            job.probes_pending -= 1
            if job.probes_pending == 0:
                self._on_probes_done(job, now)
        self._arm_timer(now)

    def on_peer(self, now: float, sender: int, data: bytes) -> None:
        """Another scheduler sent a message of the occupancy exchange."""
        idle_free_slots = self.reports.idle_free_slots
        received = self.occupancy.on_message(now, sender, data, idle_free_slots, self.rng.random)
        for kind, slots in received.capacities.items():
            idle_free_slots.setdefault(kind, float(slots))
        self._send_messages(received.replies)
        self._arm_timer(now)

    def _log(self, text: str) -> None:
        if self.log_lines_left > 0:
            self.log_lines_left -= 1
            self.actions.log(text)
