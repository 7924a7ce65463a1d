"""The decisions of one gateway.  Its whole interface stands in ``interface.py``; read that first.

Jobs go to the available worker with the lowest gap ``n_i - alpha_i * n``.  In reading order:
tunables, the worker list, fairness, looking and picking, attempts, health, outcomes and timers.  Its
state stands in modules of its own: ``profiles`` (response times and shares), ``workers`` (what is
known of each), ``attempts`` (a request and its attempts), ``cold_start`` (allowances at workers in
slow start), ``quota`` (of tenants), ``zone_reach`` (zones that are cut off).
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
from .profiles import MEAN_STEP, JobType, KeyType
from .quota import TenantQuotas
from .workers import Fleet, Reports, Worker
from .zone_reach import ZoneReach

# --- tunables ---------------------------------------------------------------------------------

SAMPLE_BASE = 3  # workers; the fewest ranked, so that a pick is never blind
SAMPLE_PER_JOB = 2  # workers ranked for each job in flight: counts tell more workers apart
DRAWS = 4  # draws for each worker to rank: bounds the work where few can be used
REPORT_TTL_MS = 2_500.0  # ms; an older report describes another moment and counts as none
FULL_STEP = 0.03  # share; how fast the view of how often 'full' comes moves with each attempt
FULL_BAR_MS = 150.0  # ms; the first bar after 'full', about one short job; doubles up to 4 times
STRIKE_MS = 1_000.0  # ms; the first bar of a worker that failed to connect or fell silent; doubles
UNHEARD = frozenset((Status.TIMEOUT, Status.RESET, Status.CANCELLED))  # what the worker may go on with
REST_LEAST = 0.3  # of a usual response time; how long such an attempt is still counted at the least
AGAIN_TIMES = 6.0  # usual response times without any sign: a repeatable job is called off and sent again
OVERTAKEN_MS = 200.0  # ms; sent so much before one that has started, an attempt waits in no queue
ERROR_STEP = 0.3  # share; how fast the view of a worker's errors moves with each of its answers
ERRORS_SOME = 0.25  # share of errors from which it gets only jobs that may be repeated
ERRORS_ILL = 0.5  # share of errors, two in a row, that is a failure: who fails at once looks free
ERRORS_MS = 8_000.0  # ms; an error so long ago says nothing
ERRORS_BAR = 2  # times; the longest bar for errors: a trial with a repeatable job costs little
RESETS = 2  # resets in a row that count as a failure: one alone is a connection's, not its worker's
STRIKE_MAX = 16  # times; the longest bar, so that a recovered worker is tried again within seconds
QUIET_NOTES = 2.5  # progress gaps without a note from running work: standing still
QUIET_TIMES = 4.0  # typical response times without any sign: silent, where no notes are promised
QUIET_MIN_MS = 1_500.0  # ms; below this silence means nothing
START_SLACK = 1.6  # times; a start this much later than usual means that the job waits
START_MS = 25.0  # ms; the start delay assumed before any was seen (a handshake and a tick or two)
COPY_FULL = 0.04  # share of attempts turned away as full at which no job may wait in two places
COPY_SLACK = 0.1  # share of a job's slack that passes before each further place in a queue
LOOKS = 2  # workers probed before a send, where only probes report and a probe is cheap; more stray
LOOK_ROUNDS = 2  # rounds of looks before a job goes to a worker that is not free
LOOK_PRICE = 0.02  # points of the goal that the looks of a request may cost
LOOK_MS = 12.0  # ms; what has not answered a look by then is left out: a job is held no longer
LOOK_TTL_MS = 40.0  # ms; a look is of this moment; soon other gateways have sent there
BUSY_MS = 400.0  # ms; how long a worker that let a job wait counts as busy
WAITING_COPIES = 3  # copies that may wait at once: each takes a place in somebody's queue
WAIT_OK = 0.5  # share of the fixed part of the aim; a reported wait up to this is short
RATE_MS = 8_000.0  # ms; over which this gateway measures what it gets served
LOCAL_STEP = 0.08  # share; how fast the view of how busy the own zone is moves
LOCAL_BUSY = 0.85  # share of own-zone jobs that had to wait, above which all zones are looked at first
AIM_SLIP = 0.1  # share of the aim; hints are not exact, so hope ends this much later
RUN_STEP = 0.05  # share; how fast the view of a kind's running times moves with each served job
RUN_SURE = 0.85  # share of the usual running time that a job is sure to take: less hope than that is none
DEAD_TIMES = 3.0  # typical run times; a retry older than the aim of such a job is past use
STRAIN_REPORT = 0.03  # share; how fast the view of the fleet's strain moves with each report
STRAIN_START = 0.12  # share; and with each own job's start, of which there are fewer
STRAIN_LATE = 0.5  # share of the fixed part of an aim; a start later than this is a sign of strain
SHED_FROM = 0.2  # strain at which worthless work would be shed
SHED_VALUE = 0.6  # more strain for the most valuable work, by the root of the value of its class's time
SHED_WAIT = 0.5  # of the most pressing aim that may have to wait behind: a longer wait is shed
SHED_WAIT_VALUE = 1.0  # more of it for the most valuable work
RETURN_MS = 300.0  # ms; when a refused client is told to return: soon enough to be in time yet
SHED_WIDTH = 0.3  # strain from the first shed request of a value to all of them
KEYS_MAX = 1_024  # keys that are types of their own at once; the longest unused is forgotten
WATCH_SPREAD = 0.6  # share of the ask interval over which gateways spread their first call
RETRY_LIST_MS = 700.0  # ms; the first wait after a failed call for the list; doubles, jittered
LOG_LINES = 12  # lines in all; an instance tells of rare changes only

_ALARM_CHECK, _ALARM_END, _ALARM_LIST, _ALARM_LOOK, _ALARM_START, _ALARM_EXCHANGE = range(6)


class Balancer:
    """The decisions of one gateway; see ``interface.Events`` for what each event means."""

    def __init__(self, now: float, settings: Settings, seed: int, actions: Actions) -> None:
        self.settings = settings
        self.actions = actions
        self.rng = random.Random(seed)
        self.fleet = Fleet(settings.kinds)
        self.looks = (settings.may_probe and settings.reports_in_probes
                      and LOOKS * LOOK_ROUNDS * settings.prices.get("probe", 0.0) <= LOOK_PRICE)
        self.reports = Reports(settings.report_fields, LOOK_TTL_MS if self.looks else REPORT_TTL_MS,
                               settings.queue_order != "backfill")
        self.looking: dict[int, list[Job]] = {}  # by worker: the jobs that wait for a look at it
        self.jobs: dict[int, Job] = {}
        self.class_types = [JobType(settings.kinds, log(c.aim_ms)) for c in settings.classes]
        self.hint_types = [JobType(settings.kinds, 0.0) for _ in settings.classes]
        self.key_types: dict[tuple[int, int], KeyType] = {}
        self.heap: list[tuple[float, int, int, Attempt | Job | None]] = []
        self.serial = 0
        self.armed_at = 0.0  # when the pending alarm comes due; 0: none
        self.mean_response_ms = min(c.aim_ms for c in settings.classes)  # ms; the usual time of any job
        self.mean_run_ms = self.mean_response_ms  # ms; the usual time of any job from its start
        self.started_at = now
        self.warm = 0
        self.served_cost = 0.0
        self.served_at = now
        self.mean_cost = 1.0
        self.run = [1.0] * settings.kinds  # running time per hinted ms, by kind of worker
        self.start_ms = [START_MS, START_MS + 2 * settings.connect_timeout_ms / 5]  # own zone, others
        self.local_busy = 0.0
        self.reach = ZoneReach(settings.zones)
        self.full = 0.0  # the share of attempts that are turned away as full
        self.saturation = 0.0  # the share of own jobs that start late, else of reports without a free slot
        self.longest_left_ms = [0.0] * len(settings.classes)  # the longest wait that a client has had left
        self.quotas = TenantQuotas(now, len(settings.tenants))
        self.watching = False
        self.list_wait = RETRY_LIST_MS
        self.lines = LOG_LINES
        self.give_up_reason = ""  # why the request last given up was
        self.occupancy = exchange_for(now, settings.me, settings.balancers - 1, settings.may_tell_peers,
                                      settings.prices.get("peer", 0.0))
        self.tells = not isinstance(self.occupancy, NoExchange)
        self._tell(())  # nothing yet, but it may want to be woken
        if settings.must_ask:
            # Gateways that start together must not ask together: the list has a fixed capacity.
            self._at(now + settings.ask_within_ms * WATCH_SPREAD * self.rng.random(), _ALARM_LIST, None)
        self._arm(now)

    # -- the worker list --

    def on_workers(self, now: float, kind: int, entries: Sequence[ListedWorker]) -> None:
        """Follow the list; after a failed call keep the old one and ask again, later each time."""
        if kind == ListKind.FAILED:
            if self.watching:
                self._log("worker list out of reach")
            self.watching = False
            wait = min(self.list_wait, self.settings.ask_within_ms * 0.8) * (0.5 + self.rng.random())
            self.list_wait *= 2.0
            self._at(now + wait, _ALARM_LIST, None)
        else:
            if kind != ListKind.CACHED and self.settings.must_ask:
                self.watching = True
                self.list_wait = RETRY_LIST_MS
            for wid in self.fleet.apply(kind, entries, self._cold_phase):
                self._forget(wid)
            workers, change = self.fleet.workers, kind == ListKind.CHANGES
            ids = [e.worker for e in entries if e.worker in workers] if change else list(workers)
            slots_out, identities = ({i: workers[i].slots_out for i in ids},
                                     {i: workers[i].identity for i in ids})
            if change:  # of a long list only what has changed
                gone = [e.worker for e in entries if e.worker not in workers]
                self.occupancy.update_workers(now, slots_out, identities, gone)
            else:
                self.occupancy.set_workers(now, slots_out, identities)
            self._tell(())
            for e in entries:
                if e.state == WorkerState.READY and now - e.ready_at_ms < self.settings.cold_ms:
                    self.reach.comes_back(e.zone)
            self.warm = sum(w.ready_at <= 0.0 for w in self.fleet.ready.values())
            for t in self._types():
                t.stale = True
        self._arm(now)

    def _cold_phase(self, identity: int) -> float:
        return cold_start.phase_of(self.settings.me, self.settings.balancers, identity, self.rng.random())

    def on_settings(self, settings: Settings, fresh: Sequence[int]) -> None:
        """Other settings; the classes of some rows, known or one past them, are others from now on."""
        self.settings = settings
        for c in fresh:
            self.class_types[c:c + 1] = [JobType(settings.kinds, log(settings.classes[c].aim_ms))]
            self.hint_types[c:c + 1] = [JobType(settings.kinds, 0.0)]
            self.longest_left_ms[c:c + 1] = [0.0]
        self.key_types = {k: t for k, t in self.key_types.items() if k[0] not in fresh}

    def _types(self) -> list[JobType]:
        return [*self.class_types, *self.hint_types]

    def _forget(self, worker: int) -> None:
        for t in self._types():
            t.forget(worker)
        for k in self.key_types.values():
            k.met.pop(worker, None)

    # -- types, admission, fairness --

    def _type_of(self, request: Request) -> tuple[JobType, KeyType | None]:
        """The profiles of the class, and the key as a type of its own where there is one."""
        base = (self.hint_types if request.hint_ms > 0 else self.class_types)[request.class_index]
        if not request.key:
            return base, None
        key = (request.class_index, request.key)
        found = self.key_types.pop(key, None)
        if found is None:
            found = KeyType(request.key, base)
            if len(self.key_types) >= KEYS_MAX:
                del self.key_types[next(iter(self.key_types))]
        self.key_types[key] = found  # the longest unused comes first
        return base, found

    def on_request(self, now: float, request: Request) -> None:
        """Take a request: send it, or turn it away where that is worth more."""
        if request.id in self.jobs:
            return
        c = request.class_index
        cls = self.settings.classes[c]
        job = Job(request, cls, *self._type_of(request), now)
        self.jobs[job.id] = job
        first = self.longest_left_ms[c] = max(self.longest_left_ms[c], request.left_ms)
        begun = now - (first - request.left_ms)  # a later try has less time left than a first one
        job.over_share = not self.quotas.admits(
            now, request.tenant, self.settings.tenants, self.settings.balancers)
        typical = exp(job.type.mean_log)
        if job.hint > 0:
            work = job.hint * typical
            job.aim_at = begun + cls.aim_ms + cls.aim_stretch * job.hint
            job.cost = job.slots * job.hint
        else:
            work = typical
            job.aim_at = begun + cls.aim_ms + cls.aim_stretch * typical * DEAD_TIMES
        self.mean_cost += (job.cost - self.mean_cost) * 0.02
        end = job.ends - 2 * self.settings.tick_ms
        if cls.late_worth <= 0:
            if now + (0.8 * work if job.hint > 0 else 0.0) > job.aim_at:
                self._give_up(job, now, "hopeless")  # a retry that cannot be in time any more
                self._arm(now)
                return
            if job.hint > 0:
                end = min(end, job.aim_at + AIM_SLIP * (job.aim_at - begun))
                if self.settings.tells_start:
                    self._at(job.aim_at - self._sure_ms(job, min(self.run)), _ALARM_START, job)
        self._at(end, _ALARM_END, job)
        if not (self.looks and self._look(job, now)):
            self._send(job, now)
        self._arm(now)

    # -- looking before sending --

    def _look(self, job: Job, now: float) -> bool:
        """Draw a few workers in proportion to their shares; where counts do not tell, probe them first."""
        near = self._own_zone_reached and self.local_busy < LOCAL_BUSY
        pool = self.fleet.pool(
            (self.settings.zone,) if near and not job.rounds else (), job.cls.kind, job.index)
        usable = [w for w in pool if w not in job.looked and self._usable(w, job, now) == 2]
        fresh = self._draw(job, usable, LOOKS, now)
        job.rounds += 1
        if self._knows(now):  # the gateways' counts tell who is free, and of this moment
            job.looked += fresh
            if job.rounds < LOOK_ROUNDS and not any(self._available(w, job, now) for w in job.looked):
                self._look(job, now)
            return False
        for w in fresh:
            job.looked.append(w)
            waiting = self.looking.get(w.id)
            if waiting is None:
                self.looking[w.id] = [job]
                self.actions.probe(w.id)
            else:
                waiting.append(job)
            job.looks_out += 1
        if fresh:
            self._at(now + LOOK_MS, _ALARM_LOOK, job)
        return bool(fresh)

    def _draw(self, job: Job, pool: list[Worker], want: int, now: float) -> list[Worker]:
        """Distinct workers drawn in proportion to their shares."""
        t, rnd = job.type, self.rng.random
        found: list[Worker] = []
        if job.key_type is not None:
            return self._drawn(job, pool, now)[:want]
        for _ in range(want * DRAWS if pool else 0):
            w = pool[int(rnd() * len(pool))]
            if rnd() * t.top <= (t.rates.get(w.id) or t.kind_rates[w.kind]) and w not in found:
                found.append(w)
                if len(found) == want:
                    break
        return found

    @staticmethod
    def _rate(job: Job, w: Worker, now: float) -> float:
        """The inverse of the response time to expect; with a fetch where the worker has not met the key."""
        t, k = job.type, job.key_type
        rate = t.rates.get(w.id) or t.kind_rates[w.kind]
        if k is None or k.has_met(w.id, now):
            return rate
        return rate * exp(-t.fetch)

    def _drawn(self, job: Job, pool: list[Worker], now: float) -> list[Worker]:
        """Workers in the order of the key's draw."""
        k = job.key_type
        assert k is not None
        return sorted(pool, key=lambda w: k.order(w, self._rate(job, w, now)))

    def _looked(self, job: Job, now: float) -> None:
        """The looks are in, or late: send, or look once more if nobody was free."""
        if job.over or job.attempts or job.looks_out < 0:
            return
        free = any(self.reports.free(now, w, job.slots, job.memory) for w in job.looked)
        self.saturation += ((not free) - self.saturation) * STRAIN_START
        if not free and job.rounds < LOOK_ROUNDS and self._look(job, now):
            return
        job.looks_out = -1
        self._send(job, now)

    # -- picking --

    @property
    def _own_zone_reached(self) -> bool:
        return self.settings.zones > 1 and not self.reach.is_cut_off(self.settings.zone)

    def _usable(self, w: Worker, job: Job, now: float) -> int:
        """0: must not be used; 1: health speaks against it; 2: may be used."""
        if w.ready_at > 0.0 and not self._cold_allows(w, job, now):
            return 0
        ill = w.ejected_until > now or (w.trial and w.slots_out > 0) or (
            w.errors >= ERRORS_SOME and self._fails(w, job, -1, now))
        # It said 'full' where counts say free: it drains, and the list is late.
        full = w.full_until > now and job.slots >= w.full_slots and self._slots(w, now) > 0.0
        return 1 if ill or full else 2

    def _cold_allows(self, w: Worker, job: Job, now: float) -> bool:
        """Whether a cold worker may be sent a job, by what it bears from all gateways together."""
        if now - w.ready_at >= self.settings.cold_ms:
            w.ready_at = -w.ready_at  # warm; the list names its start again, so it is kept
            self.warm += 1
            return True
        cost, bears = job.cost / self.mean_cost, cold_start.bears(self._cold_budget(w, job, now))
        per_window = cold_start.PART * bears / self.settings.balancers
        w.cold_allowance.earn(now, per_window / self.settings.fall_ms)
        if cost > cold_start.ONE_REQUEST * bears:
            return False
        if (slots := self._slots(w, now)) > 0.0 and (part := self.occupancy.heard_part) > 0.0:
            # The sum over the gateways that are heard is known: it holds for them together, and they have
            # their part of what the rule lets all of them send.  Others may be cut off, and send as well.
            return (out := self._out(w)) <= 0.0 or out + job.slots <= slots * part
        return w.cold_allowance.admits(cost)

    def _cold_budget(self, w: Worker, job: Job, now: float) -> float:
        """Mean jobs that the rule allows a cold worker now in ``fall_ms``, guessed by what warm ones bear.

        A kind that is slower than the mean of all workers bears less.
        """
        t = job.type
        slow = min(1.0, t.kind_rates[w.kind] * len(self.fleet.ready) / t.total)
        window = self.settings.fall_multiple * self.settings.balancers * self.settings.fall_ms
        return window * self._served_rate(now) * self._warmth(w, now) * slow

    def _warmth(self, w: Worker, now: float) -> float:
        """The present part of a cold worker's capacity, at the least."""
        share = min(1.0, max(0.0, now - w.ready_at) / self.settings.cold_ms)
        return self.settings.cold_from + (1.0 - self.settings.cold_from) * share

    def _served_rate(self, now: float) -> float:
        """Mean jobs a ms that it gets served by a warm worker; it may send many times that."""
        now = now if self.warm else max(self.started_at, self.served_at)  # where none is left, as it was
        known = 1.0 - exp((self.started_at - now - 1.0) / RATE_MS)  # of the time over which it is measured
        return self.served_cost * exp((self.served_at - now) / RATE_MS) / (RATE_MS * known)

    @staticmethod
    def _fails(w: Worker, job: Job, index: int, now: float) -> bool:
        """Whether a class, or any (-1), failed there so lately that it is no place for a never-twice job."""
        return job.cls.effect != Effect.SAFE and now - w.erred.get(index, -1e18) < ERRORS_MS

    def _available(self, w: Worker, job: Job, now: float) -> bool:
        """Reports tell, else the last 'full' for this size, else a job that had to wait there."""
        if self._fails(w, job, job.index, now):
            return False
        slots = self._slots(w, now)
        if slots > 0.0:
            return (out := self._out(w)) + job.slots <= slots or (out <= 0.0 and w.ready_at > 0.0)
        free = self.reports.free(now, w, job.slots, job.memory)
        if free is not None:
            return free
        return not ((w.full_until > now and job.slots >= w.full_slots) or w.busy_until > now)

    def _knows(self, now: float) -> bool:
        """Whether sums of the gateways' counts tell of every worker who is free."""
        return all(self._slots(w, now) > 0.0 for w in self.fleet.ready.values())

    def _slots(self, w: Worker, now: float) -> float:
        """The slots of a worker, where sums of the gateways' counts tell who is free; else 0."""
        if not self.tells or not self.occupancy.complete(now):
            return 0.0
        slots = self.reports.idle_free_slots.get(w.kind, 0.0)
        if w.ready_at > 0.0:  # cold: as many as a warm one's would run at once, and all of them slowly
            return min(1.0, slots) * max(1.0, round(slots * self._warmth(w, now)))
        return round(slots)

    def _out(self, w: Worker) -> float:
        """The slots that all gateways have out at a worker."""
        return w.slots_out + self.occupancy.out(w.id)

    def _wait_ms(self, w: Worker, job: Job, now: float) -> float:
        """How long a job sent now would wait there."""
        slots = self._slots(w, now)
        if slots <= 0.0:
            return self.reports.wait_ms(now, w, self.mean_response_ms)
        slow = self._usual_ms(job, w) / exp(job.type.mean_log) / (job.hint if job.hint > 0 else 1.0)
        return max(0.0, self._out(w) + job.slots - slots) / slots * self.mean_run_ms * slow

    def _tell_count(self, w: Worker, now: float, more: bool) -> None:
        """Tell the peers, when it is time, that this gateway's count at a worker has changed."""
        if self.tells:
            listed = self.fleet.workers.get(w.id)  # another than ``w`` if dropped and named anew since
            slots_out = listed.slots_out if listed is not None else 0.0
            self._tell(self.occupancy.changed(now, w.id, slots_out, more))

    def _tell(self, messages: Sequence[Outgoing]) -> None:
        """Send what the exchange of counts has to say, and note when it wants to be woken."""
        for peer, data in messages:
            self.actions.send_to_peer(peer, data)
        while (wakeup := self.occupancy.take_wakeup()) is not None:
            self._at(wakeup, _ALARM_EXCHANGE, None)

    def _rank(self, job: Job, now: float, pool: list[Worker]) -> tuple[Worker | None, int]:
        """The first in gap order, and its tier: 0 available, 1 a short wait, 2 a long one, 3 ill, 4 and full.

        With few jobs in flight, gaps of whole counts cannot express the shares; then only as many workers
        as the counts can tell apart are drawn in proportion to the shares, and ranked.
        """
        t = job.type
        if t.stale and now >= t.solve_at:
            t.solve(now, self.fleet.ready, self.fleet.kind_counts, self.rng.random())
        rnd = self.rng.random
        k = job.key_type
        n, counts = (t.n, t.counts) if k is None else (k.n, k.counts)
        # Of a key with none in flight the first available of its draw, as a draw of one worker: ranking
        # more by their rates would move keys about, and each move is a fetch from the shared store.
        want = (SAMPLE_BASE if k is None else 1) + SAMPLE_PER_JOB * n
        if k is not None:
            pool = self._drawn(job, pool, now)
        size = len(pool)
        everyone = want * 2 >= size or k is not None
        draws = size if everyone else want * DRAWS
        rates, kind_rates, top = t.rates, t.kind_rates, t.top
        scale = n / t.total
        best: Worker | None = None
        best_tier, best_gap, best_rate, best_tie = 9, 0.0, 0.0, 0.0
        tried = job.attempts
        seen = 0
        for i in range(draws):
            w = pool[i] if everyone else pool[int(rnd() * size)]
            rate = self._rate(job, w, now) if k is not None else rates.get(w.id) or kind_rates[w.kind]
            if not everyone and rnd() * top > rate:
                continue
            if tried and any(a.worker is w for a in tried):
                continue
            usable = self._usable(w, job, now)
            if not usable:
                continue
            available = self._available(w, job, now)
            if usable == 1:
                tier = 3 if available else 4
            elif available:
                tier = 0
                seen += 1
            else:
                tier = 1 if self._wait_ms(w, job, now) <= WAIT_OK * job.cls.aim_ms else 2
            if tier > best_tier:
                continue
            gap = counts.get(w.id, 0) - rate * scale
            if tier == best_tier:
                if gap > best_gap:
                    continue
                if gap == best_gap:
                    if rate < best_rate:
                        continue
                    tie = rnd()
                    if rate == best_rate and tie <= best_tie:
                        continue
                    best_tie = tie
            best, best_tier, best_gap, best_rate = w, tier, gap, rate
            if seen >= want and (not everyone or k is not None):
                break
        return best, best_tier

    def _pick(self, job: Job, now: float) -> tuple[Worker | None, int]:
        """Own zone first, all zones when nothing there is available or it is known to be busy."""
        kind = job.cls.kind
        group = job.ran_group
        zones = self.reach.zones(self.rng.random)
        everywhere = self.fleet.pool(zones, kind, job.index)
        if job.looked and not job.attempts:
            answered = [w for w in job.looked if w.state == WorkerState.READY
                        and (now - w.report_at <= LOOK_TTL_MS or self._slots(w, now) > 0.0)]
            if answered:
                return self._rank(job, now, answered)
        if group is not None and job.cls.effect == Effect.KEYED:
            if job.cls.group == Group.ZONE:
                everywhere = [w for w in everywhere if w.zone == group.zone]
            elif job.cls.group == Group.CELL:
                everywhere = [w for w in everywhere if w.cell == group.cell]
            return self._rank(job, now, everywhere)
        k = job.key_type
        # A key seldom asked for has one home in all zones: with one in each, each zone would fetch it.
        near = self._own_zone_reached and (k is None or any(k.has_met(wid, now) for wid in k.met))
        if near and self.local_busy < LOCAL_BUSY and len(job.attempts) < 2:
            local, tier = self._rank(job, now, self.fleet.pool((self.settings.zone,), kind, job.index))
            if tier == 0:
                return local, 0
            other, other_tier = self._rank(job, now, everywhere)
            return (other, other_tier) if other_tier < tier else (local, tier)
        return self._rank(job, now, everywhere)

    # -- attempts --

    def _may_send(self, job: Job, now: float) -> bool:
        """The one place that says whether a further attempt may do harm."""
        if (job.over or len(job.attempts) >= self.settings.max_attempts
                or now >= job.ends - self.settings.tick_ms):
            return False
        effect = job.cls.effect
        if job.open > 1 or (job.open and (effect == Effect.UNSAFE or not self.settings.second_copies)):
            return False
        if effect == Effect.SAFE or (job.ran_group is None and not job.open):
            return True
        if effect == Effect.UNSAFE:
            return False
        since = min([job.ran_since] if job.ran_group else [] + [a.sent_at for a in job.attempts if a.open])
        return now - since < job.cls.window_ms - 2 * self.settings.tick_ms

    def _may_refuse(self, job: Job) -> bool:
        """The one place that says whether 'trying again is harmless' would be true."""
        if job.cls.effect == Effect.SAFE or (job.ran_group is None and not job.open):
            return True
        return job.cls.effect == Effect.KEYED and job.cls.group == Group.ALL

    def _send(self, job: Job, now: float) -> bool:
        """Start the next attempt, if one may and should be made."""
        if not self._may_send(job, now):
            return False
        w, tier = self._pick(job, now)
        if w is None:
            if not job.open:
                self._give_up(job, now, "no-worker")
            return False
        if self._may_refuse(job) and not job.open and (why := self._shed(job, w, tier, now)):
            self._give_up(job, now, why)
            return False
        self._send_to(job, w, now)
        return True

    def _shed(self, job: Job, w: Worker, tier: int, now: float) -> str:
        """Why it is turned away, if so: what is over a tenant's share goes first, then what would wait."""
        share = self.settings.over_share_worth if job.over_share else 1.0
        over = self.saturation - SHED_FROM - SHED_VALUE * self._value(job) ** 0.5 * share
        if self.rng.random() * SHED_WIDTH < over or (tier > 0 and share < 0.5):
            return "strain"
        patience = (SHED_WAIT + SHED_WAIT_VALUE * self._value(job)) * self._pressing_ms(job)
        return "wait" if tier > 0 and self._wait_ms(w, job, now) > patience else ""

    def _values(self) -> list[float]:
        """What a unit of workers' time earns on each class."""
        if self.settings.worth_by_work:
            return [c.worth for c in self.settings.classes]
        return [c.worth / exp(t.mean_log)
                for c, t in zip(self.settings.classes, self.class_types, strict=True)]

    def _value(self, job: Job) -> float:
        """What this job earns for the slots and time it takes, as a share of the best class's."""
        values = self._values()
        share = values[job.index] / (max(values) or 1.0)
        return share if self.settings.worth_by_work else share / max(1.0, job.slots)

    def _pressing_ms(self, job: Job) -> float:
        """The shortest fixed part of an aim among the classes of no less value: who waits makes them wait."""
        values = self._values()
        return min(c.aim_ms for c, v in zip(self.settings.classes, values, strict=True)
                   if v >= values[job.index])

    def _saw_start(self, job: Job, delay: float) -> None:
        """Note how late a job starts, by what would be late for the most pressing class of no less value."""
        if self.settings.tells_start and not job.seen_start:
            job.seen_start = True
            late = delay > STRAIN_LATE * self._pressing_ms(job)
            self.saturation += (late - self.saturation) * STRAIN_START

    def _send_to(self, job: Job, w: Worker, now: float) -> None:
        local = w.zone == self.settings.zone
        a = Attempt(job, len(job.attempts), w, now, local)
        job.attempts.append(a)
        job.open += 1
        if job.cls.effect == Effect.KEYED and job.ran_group is None:
            job.ran_group, job.ran_since = w, now
        for t in (job.type, job.key_type):
            if t is not None:
                t.n += 1
                t.counts[w.id] = t.counts.get(w.id, 0) + 1
        if job.key_type is not None:
            job.met = job.key_type.has_met(w.id, now)
            job.key_type.met[w.id] = now
        w.slots_out += job.slots
        w.memory_out += job.memory
        self._tell_count(w, now, more=True)
        if w.ready_at > 0.0:
            w.cold_allowance.spend(job.cost / self.mean_cost)
        self.actions.send(job.id, w.id, 0.0)
        self._at(now + self._patience(a), _ALARM_CHECK, a)

    def _patience(self, a: Attempt) -> float:
        """How long to wait for the next sign of an attempt before looking at it."""
        if self.settings.tells_start and a.started_at < 0:
            # Long jobs have long slack: they queue up elsewhere later than short ones, and seldom need to.
            slack = a.job.cls.aim_ms + max(0.0, a.job.cls.aim_stretch - 1.0) * a.job.hint
            usual = START_SLACK * self.start_ms[0 if a.local else 1] + self.settings.tick_ms
            return max(usual, COPY_SLACK * slack)
        if self.settings.progress_ms > 0 and (a.started_at >= 0 or not self.settings.tells_start):
            return max(QUIET_NOTES * self.settings.progress_ms, QUIET_MIN_MS)
        job = a.job
        usual = exp(job.type.mean_log) * (job.hint if job.hint > 0 else 1.0)
        return max(QUIET_MIN_MS, QUIET_TIMES * usual)

    def _free(self, a: Attempt, now: float) -> None:
        """Its slots are counted no longer."""
        if a.holds:
            a.holds = False
            a.worker.slots_out -= a.job.slots
            a.worker.memory_out -= a.job.memory
            self._tell_count(a.worker, now, more=False)

    def _usual_ms(self, job: Job, w: Worker) -> float:
        """The usual response time of such a job there."""
        t = job.type
        slow = t.total / max(1, len(self.fleet.ready)) / (t.rates.get(w.id) or t.kind_rates[w.kind])
        return exp(t.mean_log) * (job.hint if job.hint > 0 else 1.0) * slow

    def _again(self, a: Attempt, now: float) -> None:
        """An attempt that nothing is heard of: send its job elsewhere where that does no harm."""
        if a.job.cls.effect == Effect.SAFE and now < a.job.aim_at:
            if self.settings.second_copies:
                self._send(a.job, now)
            else:
                self._cancel(a)  # and its outcome sends the job

    def _check(self, a: Attempt, now: float) -> None:
        """An attempt is due for a look: does it wait, is its worker silent?"""
        job, w = a.job, a.worker
        if not a.open or job.over:
            if not a.open and now >= a.until - 0.02:
                self._free(a, now)
            return
        if self.settings.tells_start and a.started_at < 0:
            # It waits in a queue, which is no sign of illness: striking busy workers would feed a jam.
            if now - job.arrived > STRAIN_LATE * self._pressing_ms(job):
                self._saw_start(job, now - job.arrived)
            if not a.waited:
                a.waited = True
                w.busy_until = now + BUSY_MS * (0.5 + self.rng.random())
                self._saw_local(a, 1.0)
            if a.sent_at < w.begun - OVERTAKEN_MS and self.reports.in_order:
                self._free(a, now)  # later ones have started: it waits in no queue, its connection is silent
                self._again(a, now)
            else:
                self._copy(job, now)
        else:
            heard = a.noted_at if a.started_at >= 0 else max(a.noted_at, w.heard_at)
            patience = self._patience(a)
            if now - heard < patience * 0.98:
                self._at(heard + patience, _ALARM_CHECK, a)
                return
            if now - w.heard_at >= patience:
                self._strike(w, now, "silent")
            long = now - heard > AGAIN_TIMES * self._usual_ms(job, w)
            # Else it may hold its slot, as all others there do; the sums that gateways tell must say so.
            if long and (w.heard_at > a.sent_at or not self.tells):
                self._free(a, now)  # its connection is silent, or the work is not worth its place
            if long or self.settings.second_copies:
                self._again(a, now)
        if a.open and not job.over:
            self._at(now + self._patience(a), _ALARM_CHECK, a)

    def _copy(self, job: Job, now: float) -> None:
        """A job that waits tries the next in gap order too; the first start calls the rest off."""
        if job.cls.effect != Effect.SAFE or not (self.settings.may_cancel and self.settings.second_copies):
            return
        if self.reports.useful:
            return  # reports tell who is free; where a cancel stops nothing, every copy would run
        waiting = 0
        for a in job.attempts:
            if a.open and not a.cancelled:
                if a.started_at >= 0:
                    return
                waiting += 1
        # Where a cancel stops nothing called-off copies stay in queues, which overflow: go by 'full' answers.
        if waiting <= WAITING_COPIES * (1.0 - self.full / COPY_FULL):
            self._send(job, now)

    def _saw_local(self, a: Attempt, busy: float) -> None:
        if a.local:
            self.local_busy += (busy - self.local_busy) * LOCAL_STEP

    def on_started(self, now: float, request: int, attempt: int) -> None:
        """A worker began: the copies that still wait elsewhere are called off."""
        a = self._attempt(request, attempt)
        if a is None or not a.open:
            return
        job, w = a.job, a.worker
        a.started_at = a.noted_at = now
        w.begun = max(w.begun, a.sent_at)
        self._well(w, now)
        delay = now - a.sent_at
        i = 0 if a.local else 1
        if not a.waited:
            self.start_ms[i] += (min(delay, 3 * self.start_ms[i]) - self.start_ms[i]) * 0.15
            self._saw_local(a, 0.0)
            w.busy_until = -1e18
        if job.over or a.cancelled:
            return
        if self._hopeless(job, now + self._sure_ms(job, self.run[w.kind])):
            self._cancel(a)  # it would run to its end for nothing; a faster worker may still do
            return
        job.started = True
        self._saw_start(job, now - job.arrived)
        for b in job.attempts:
            if b is not a and b.open and not b.cancelled:
                # Of two that run, the one that has done more goes on.
                loser = a if b.started_at >= 0 else b
                self._cancel(loser)
                if loser is a:
                    break
        self._arm(now)

    @staticmethod
    def _sure_ms(job: Job, run: float) -> float:
        """The time that the job is sure to run, where a hinted ms usually takes ``run``."""
        return RUN_SURE * run * job.hint

    @staticmethod
    def _hopeless(job: Job, finish: float) -> bool:
        """Whether a repeatable job with a hint would end too late to be worth anything."""
        return (job.hint > 0 and job.cls.late_worth <= 0 and job.cls.effect == Effect.SAFE
                and finish > job.aim_at)

    def _cancel(self, a: Attempt) -> None:
        if self.settings.may_cancel and a.open and not a.cancelled:
            a.cancelled = True
            self.actions.cancel(a.job.id, a.index)

    def on_progress(self, now: float, request: int, attempt: int, done: float) -> None:
        """A sign of life from a worker and its attempt."""
        a = self._attempt(request, attempt)
        if a is not None and a.open:
            if a.started_at < 0:
                a.started_at = now
            a.noted_at = now
            self._well(a.worker, now)
            job = a.job
            if done > 0 and not job.over and self._hopeless(
                    job, now + RUN_SURE * (now - a.started_at) * (1.0 - done) / done):
                self._give_up(job, now, "hopeless")

    def on_stream(self, now: float, request: int, attempt: int) -> None:
        """The answer streams: the attempt is the client's, and no deadline counts any more."""
        a = self._attempt(request, attempt)
        if a is None or not a.open:
            return
        self._well(a.worker, now)
        a.job.over = True
        for b in a.job.attempts:
            if b is not a:
                self._cancel(b)

    def _attempt(self, request: int, attempt: int) -> Attempt | None:
        job = self.jobs.get(request)
        if job is None or not 0 <= attempt < len(job.attempts):
            return None
        return job.attempts[attempt]

    # -- health --

    def _well(self, w: Worker, now: float) -> None:
        w.heard_at = now
        w.resets = 0
        self.reach.saw(w.zone, failed=False)
        if w.strikes and (w.errors < ERRORS_ILL or now - w.erred.get(-1, -1e18) >= ERRORS_MS):
            w.strikes = 0
            w.trial = False
            w.ejected_until = -1e18

    def _strike(self, w: Worker, now: float, why: str, most: int = STRIKE_MAX) -> None:
        """Rule a worker out for a growing, jittered time; then one job at a time is its trial."""
        if w.ejected_until > now:
            return
        if w.strikes == 2:
            self._log(f"worker {w.id} ruled out: {why}")
        times = min(most, 1 << min(w.strikes, 8))
        w.strikes += 1
        w.trial = True
        w.ejected_until = now + STRIKE_MS * times * (0.75 + 0.5 * self.rng.random())

    # -- outcomes and final answers --

    def on_outcome(self, now: float, request: int, attempt: int, status: int, latency_ms: float,
                   closed: bool, report: tuple[float, ...]) -> None:
        """An attempt ended: learn from it, and go on with its request if that is still owed."""
        a = self._attempt(request, attempt)
        if a is None or not a.open:
            return
        job, w = a.job, a.worker
        a.open = False
        job.open -= 1
        for t in (job.type, job.key_type):
            if t is not None:
                t.n -= 1
                t.counts[w.id] -= 1
                if not t.counts[w.id]:
                    del t.counts[w.id]
        if status in UNHEARD and a.holds:
            # It may run on.  Guards against work that nobody waits for but that takes slots all the same.
            usual = self._usual_ms(job, w)
            a.until = now + max(REST_LEAST * usual, usual - (now - max(a.started_at, a.sent_at)))
            self._at(a.until, _ALARM_CHECK, a)
        else:
            self._free(a, now)
        if report:
            self._take_report(now, w, report)
        self.full += ((status == Status.FULL) - self.full) * FULL_STEP
        if status == Status.OK:
            w.errors -= w.errors * ERROR_STEP
            self._well(w, now)
            w.full_times = 0
            if w.ready_at <= 0.0:
                self.served_cost = (self.served_cost * exp((self.served_at - now) / RATE_MS)
                                    + job.cost / self.mean_cost / max(1, self.warm))
                self.served_at = now
            self.mean_response_ms += (latency_ms - self.mean_response_ms) * MEAN_STEP
            ran = now - a.started_at if a.started_at >= 0 else latency_ms
            self.mean_run_ms += (ran - self.mean_run_ms) * MEAN_STEP
            if job.hint > 0 and a.started_at >= 0:
                self.run[w.kind] += ((now - a.started_at) / job.hint - self.run[w.kind]) * RUN_STEP
            if latency_ms > 0:
                job.type.add(now, w, latency_ms / job.hint if job.hint > 0 else latency_ms, job.met)
        elif status == Status.FULL:
            w.heard_at = now
            w.full_slots = min(w.full_slots, job.slots) if w.full_until > now else job.slots
            w.full_until = now + FULL_BAR_MS * (1 << min(w.full_times, 2)) * (0.5 + self.rng.random())
            w.full_times += 1
            self._saw_start(job, 1e18)
        elif status == Status.ERROR:
            w.erred[job.index] = w.erred[-1] = w.heard_at = now
            w.errors += (1.0 - w.errors) * ERROR_STEP
            if w.errors >= ERRORS_ILL:
                self._strike(w, now, "errors", ERRORS_BAR)
        elif status == Status.CONNECT_FAILED:
            self.reach.saw(w.zone, failed=True)
            self._strike(w, now, "no connection")
        elif status == Status.RESET and not a.cancelled:
            w.resets += 1
            if w.resets >= RESETS:
                self._strike(w, now, "reset")
        if status not in NEVER_RAN:
            if job.ran_group is None:
                job.ran_group, job.ran_since = w, a.sent_at
        elif job.ran_group is w and job.cls.effect == Effect.KEYED:
            self._recount(job)
        if closed or status == Status.OK:
            self._over(job)
        elif not job.over and not job.open:
            if status == Status.MOOT or not self._send(job, now):
                if not job.over:
                    self._give_up(job, now, "tried")
        if job.over and not job.open:
            self.jobs.pop(request, None)
        self._arm(now)

    def _recount(self, job: Job) -> None:
        """A keyed attempt proved not to have run: the group is that of the first that may have."""
        job.ran_group = None
        for a in job.attempts:
            if a.open:
                job.ran_group, job.ran_since = a.worker, a.sent_at
                return

    def _take_report(self, now: float, w: Worker, report: tuple[float, ...]) -> None:
        r = self.reports
        fresh, known = report != w.report, len(r.idle_free_slots)
        r.take(now, w, report)
        if len(r.idle_free_slots) > known:
            self._tell(self.occupancy.announce_capacity(r.idle_free_slots))
        if r.useful and fresh and not self.looks and not self.settings.tells_start:
            self.saturation += ((report[r.slots] < 1.0) - self.saturation) * STRAIN_REPORT
        if r.inflight >= 0:
            self.quotas.saw_report(w.slots_out, report[r.inflight])

    def _over(self, job: Job) -> None:
        job.over = True
        for a in job.attempts:
            if a.open:
                self._cancel(a)

    def _give_up(self, job: Job, now: float, why: str) -> None:
        """The final answer: a refusal where it would be true, else a failure."""
        self.give_up_reason = why
        if self._may_refuse(job):
            # Spread: who is refused together must not come back together.
            wait = min(RETURN_MS * (0.6 + 0.8 * self.rng.random()), self.settings.max_retry_after_ms)
            self.actions.refuse(job.id, wait if self.settings.retry_after else 0.0)
        else:
            self.actions.fail(job.id)
        self._over(job)
        if not job.open:
            self.jobs.pop(job.id, None)

    def on_client_gone(self, now: float, request: int) -> None:
        """Nothing is owed any more."""
        job = self.jobs.get(request)
        if job is not None:
            self._over(job)
            if not job.open:
                del self.jobs[request]

    # -- timers --

    def _at(self, when: float, what: int, of: Attempt | Job | None) -> None:
        self.serial += 1
        heappush(self.heap, (when, self.serial, what, of))

    def _arm(self, now: float) -> None:
        """Keep one alarm pending, for the earliest thing that is due."""
        if self.heap:
            due = self.heap[0][0]
            if self.armed_at == 0.0 or due < self.armed_at:
                self.armed_at = due
                self.actions.set_timer(max(0.0, due - now), 1)

    def on_timer(self, now: float, token: int) -> None:
        """Do what is due."""
        heap = self.heap
        if self.armed_at and now >= self.armed_at - 0.01:
            self.armed_at = 0.0
        while heap and heap[0][0] <= now + 0.01:
            due, _, what, of = heappop(heap)
            if isinstance(of, Attempt):
                self._check(of, now)
            elif isinstance(of, Job):
                if what == _ALARM_LOOK:
                    self._looked(of, now)
                elif not of.over and (what == _ALARM_END or not of.started):
                    self._give_up(of, now, "late")
            elif what == _ALARM_EXCHANGE:
                self._tell(self.occupancy.on_wakeup(now, due, self.rng.random))
            elif what == _ALARM_LIST and not self.watching:
                self.actions.watch(True)
        self._arm(now)

    def on_probe_result(self, now: float, worker: int, status: int, latency_ms: float,
                        report: tuple[float, ...]) -> None:
        """Learn from a probe."""
        w = self.fleet.workers.get(worker)
        if w is not None:
            if report:
                self._take_report(now, w, report)
            if status not in (Status.OK, Status.MOOT):
                self._strike(w, now, "no answer to a probe")
        for job in self.looking.pop(worker, ()):
            job.looks_out -= 1
            if job.looks_out == 0:
                self._looked(job, now)
        self._arm(now)

    def on_peer(self, now: float, sender: int, data: bytes) -> None:
        """Another gateway tells what it has out."""
        idle_free = self.reports.idle_free_slots
        found = self.occupancy.on_message(now, sender, data, idle_free, self.rng.random)
        for kind, slots in found.capacities.items():
            idle_free.setdefault(kind, float(slots))
        self._tell(found.replies)
        self._arm(now)

    def _log(self, text: str) -> None:
        if self.lines > 0:
            self.lines -= 1
            self.actions.log(text)
