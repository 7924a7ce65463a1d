"""Profiles of job types: response times by worker, the shares that follow, and which workers hold a key.

Pure: no I/O, no clock, no randomness; part of the decisions, whose interface is defined in ``interface.py``.
Shares are the normalised inverse of mean response times; a worker without samples has those of its kind.

A job's key names data that its worker fetches from a shared store and then keeps for a while, as in a cache.
"""

from __future__ import annotations

from math import exp, log
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .workers import Worker

SAMPLE_DECAY_MS = 12_000.0  # a sample's weight falls to 1/e: it outlives a burst, not a recovery
PRIOR_SAMPLES = 5.0  # weight of the kind's mean: run times are heavy-tailed, so fewer samples say little
MIN_MEAN_STEP = 0.02  # weight of a new sample in a mean that has many
UPDATE_INTERVAL_MS = 700.0  # shares are updated no more often; jittered, so schedulers don't swing in step
KEY_TTL_MS = 40_000.0  # a worker that got a job of a key this recently still holds the key's data
FIRST_FETCH_LOG = 0.8  # what a fetch adds to the log of a response time, before any was measured
FETCH_STEP = 0.03  # weight of a served job in the means behind that value


class JobType:
    """What this scheduler knows of one type of job: counts in flight, response times, shares.

    The rate of a worker is the inverse of its mean response time, relative to the mean of the type.
    """

    __slots__ = ("in_flight", "in_flight_at", "samples", "served", "mean_log", "rates", "kind_rates",
                 "total_rate", "max_rate", "next_update_at", "stale", "cached_mean_log", "fetch_mean_log")

    def __init__(self, kinds: int, first_mean_log: float) -> None:
        self.in_flight = 0
        self.in_flight_at: dict[int, int] = {}  # by worker
        self.samples: dict[int, list[float]] = {}  # by worker: weight, weighted sum, time, kind
        self.served = 0
        self.mean_log = first_mean_log  # of log(ms), or of log(ms per hinted ms)
        self.rates: dict[int, float] = {}  # of the workers with samples
        self.kind_rates = [1.0] * kinds  # by kind: of the workers without
        self.total_rate = 1.0  # over all ready workers
        self.max_rate = 1.0
        self.next_update_at = 0.0
        self.stale = True
        self.cached_mean_log = 0.0  # of log(ms) less the mean, where the worker held the key
        self.fetch_mean_log = FIRST_FETCH_LOG  # the same where it had to fetch the key's data

    @property
    def fetch_log(self) -> float:
        """How much longer, as a logarithm, a job takes whose worker does not hold its key."""
        return min(2.0, max(0.3, self.fetch_mean_log - self.cached_mean_log))

    def record(self, now: float, worker: Worker, ms: float, cached: bool | None = None) -> None:
        """Record a served job's response time (per hinted ms, where there is a hint).

        ``cached``: whether the worker held the job's key; None: it has no key.
        """
        log_ms = log(ms)
        if cached is not None:
            if cached:
                self.cached_mean_log += (log_ms - self.mean_log - self.cached_mean_log) * FETCH_STEP
            else:
                self.fetch_mean_log += (log_ms - self.mean_log - self.fetch_mean_log) * FETCH_STEP
                log_ms -= self.fetch_log  # the profile is that of jobs without a fetch
        self.served += 1
        self.mean_log += (log_ms - self.mean_log) * max(MIN_MEAN_STEP, 1.0 / (self.served + 1))
        sample = self.samples.setdefault(worker.id, [0.0, 0.0, now, worker.kind])
        decay = exp((sample[2] - now) / SAMPLE_DECAY_MS)
        sample[:3] = [sample[0] * decay + 1.0, sample[1] * decay + log_ms - self.mean_log, now]
        self.stale = True

    def update_rates(self, now: float, ready: dict[int, Worker], kind_counts: list[int],
                     jitter: float) -> None:
        """Recompute the rates from means of logarithms: a Pareto tail would dominate a plain mean."""
        self.stale = False
        self.next_update_at = now + UPDATE_INTERVAL_MS * (0.7 + 0.6 * jitter)
        kinds = len(kind_counts)
        kind_weights = [0.0] * kinds
        kind_sums = [0.0] * kinds
        kept: list[tuple[int, float, float, int]] = []
        for worker_id, (sample_weight, weighted_sum, at, kind) in list(self.samples.items()):
            decay = exp((at - now) / SAMPLE_DECAY_MS)
            k = int(kind)
            if worker_id not in ready or sample_weight * decay < 0.05:
                del self.samples[worker_id]
                continue
            kind_weights[k] += sample_weight * decay
            kind_sums[k] += weighted_sum * decay
            kept.append((worker_id, sample_weight * decay, weighted_sum * decay, k))
        kind_logs = [kind_sums[k] / (kind_weights[k] + PRIOR_SAMPLES) for k in range(kinds)]
        self.kind_rates = [exp(-x) for x in kind_logs]
        total_rate = sum(c * r for c, r in zip(kind_counts, self.kind_rates, strict=True))
        self.rates = rates = {}
        for worker_id, sample_weight, weighted_sum, k in kept:
            rate = exp(-(weighted_sum + PRIOR_SAMPLES * kind_logs[k]) / (sample_weight + PRIOR_SAMPLES))
            rates[worker_id] = rate
            total_rate += rate - self.kind_rates[k]
        self.total_rate = total_rate or 1.0
        self.max_rate = max(*rates.values(), *self.kind_rates, 0.0)

    def forget(self, worker_id: int) -> None:
        """Drop the samples of a worker that restarted or was removed."""
        self.stale = self.samples.pop(worker_id, None) is not None or self.stale


class KeyType:
    """The jobs of one key: their counts, and which workers hold the key.

    Response times are those of the key's class, with a fetch added at workers that do not hold the key.
    """

    __slots__ = ("class_type", "in_flight", "in_flight_at", "last_sent_at", "draws", "key")

    def __init__(self, key: int, class_type: JobType) -> None:
        self.key = key
        self.class_type = class_type
        self.in_flight = 0
        self.in_flight_at: dict[int, int] = {}
        self.last_sent_at: dict[int, float] = {}  # by worker, of a job of this key
        self.draws: dict[int, float] = {}  # by worker: exponential draw, alike at every scheduler

    def holds_key(self, worker_id: int, now: float) -> bool:
        """Whether a worker still holds the data that jobs of this key need."""
        sent_at = self.last_sent_at.get(worker_id)
        return sent_at is not None and now - sent_at < KEY_TTL_MS

    def hash_order(self, worker: Worker, rate: float) -> float:
        """The sort key of a worker in weighted rendezvous hashing; draws are alike at every scheduler."""
        exponential = self.draws.get(worker.id)
        if exponential is None:
            mixed = (self.key ^ (worker.id * 0x9E3779B97F4A7C15)) & 0xFFFFFFFFFFFFFFFF
            mixed = ((mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
            mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & 0xFFFFFFFFFFFFFFFF
            exponential = self.draws[worker.id] = -log(
                ((mixed ^ (mixed >> 31)) + 1.0) / 18446744073709551617.0)
        return exponential / rate
