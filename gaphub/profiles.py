"""Profiles of job types: response times by worker, the shares that follow, and which workers met a key.

Pure: no I/O, no clock, no randomness; part of the decisions, whose interface stands in ``interface.py``.
Shares are the normalised inverse of mean response times; a worker without samples borrows its kind's.
"""

from __future__ import annotations

from math import exp, log
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .workers import Worker

PROFILE_FADE_MS = 12_000.0  # ms; a sample's weight falls to 1/e: outlives a burst, not a recovery
SHRINK = 5.0  # samples; run times are heavy-tailed, so fewer own samples than this say little
MEAN_STEP = 0.02  # share; a type's typical time moves by this much of a sample, once it has many
SOLVE_MS = 700.0  # ms; shares are re-solved at most this often, jittered, so gateways don't swing in step
MET_MS = 40_000.0  # ms; a worker that ran a key so lately still holds what its jobs need
FETCH = 0.8  # of the log of a response time; what fetching it adds, before any was measured
FETCH_STEP = 0.03  # share; how fast the view of that moves with each served job


class JobType:
    """What this gateway knows of one type of job: counts in flight, response times, shares."""

    __slots__ = ("n", "counts", "samples", "served", "mean_log", "rates", "kind_rates", "total", "top",
                 "solve_at", "stale", "met_mean", "unmet_mean")

    def __init__(self, kinds: int, first_mean: float) -> None:
        self.n = 0
        self.counts: dict[int, int] = {}
        self.samples: dict[int, list[float]] = {}  # worker: weight, weighted sum, when, kind
        self.served = 0
        self.mean_log = first_mean  # of log(ms), or of log(ms per hinted ms)
        self.rates: dict[int, float] = {}  # 1 / R of the workers with samples
        self.kind_rates = [1.0] * kinds  # 1 / R of the others
        self.total = 1.0  # sum of 1 / R over all ready workers
        self.top = 1.0
        self.solve_at = 0.0
        self.stale = True
        self.met_mean = 0.0  # of log(ms) over the mean, where the worker had met the key
        self.unmet_mean = FETCH

    @property
    def fetch(self) -> float:
        """How much longer, as a logarithm, a job takes where its key has not been met."""
        return min(2.0, max(0.3, self.unmet_mean - self.met_mean))

    def add(self, now: float, worker: Worker, ms: float, met: bool | None = None) -> None:
        """Take in a served job's response time (per hinted ms, where there is a hint).

        ``met``: whether the worker had run the job's key lately; None: it has no key.
        """
        x = log(ms)
        if met is not None:
            if met:
                self.met_mean += (x - self.mean_log - self.met_mean) * FETCH_STEP
            else:
                self.unmet_mean += (x - self.mean_log - self.unmet_mean) * FETCH_STEP
                x -= self.fetch  # the profile is that of jobs that need fetch nothing
        self.served += 1
        self.mean_log += (x - self.mean_log) * max(MEAN_STEP, 1.0 / (self.served + 1))
        entry = self.samples.setdefault(worker.id, [0.0, 0.0, now, worker.kind])
        fade = exp((entry[2] - now) / PROFILE_FADE_MS)
        entry[:3] = [entry[0] * fade + 1.0, entry[1] * fade + x - self.mean_log, now]
        self.stale = True

    def solve(self, now: float, ready: dict[int, Worker], kind_counts: list[int], jitter: float) -> None:
        """Re-solve the shares.  Times are means of logarithms: a Pareto tail drowns a plain mean."""
        self.stale = False
        self.solve_at = now + SOLVE_MS * (0.7 + 0.6 * jitter)
        kinds = len(kind_counts)
        weight = [0.0] * kinds
        sums = [0.0] * kinds
        kept: list[tuple[int, float, float, int]] = []
        for wid, (w, s, at, kind) in list(self.samples.items()):
            fade = exp((at - now) / PROFILE_FADE_MS)
            k = int(kind)
            if wid not in ready or w * fade < 0.05:
                del self.samples[wid]
                continue
            weight[k] += w * fade
            sums[k] += s * fade
            kept.append((wid, w * fade, s * fade, k))
        logs = [sums[k] / (weight[k] + SHRINK) for k in range(kinds)]
        self.kind_rates = [exp(-x) for x in logs]
        total = sum(c * r for c, r in zip(kind_counts, self.kind_rates, strict=True))
        self.rates = rates = {}
        for wid, w, s, k in kept:
            rate = exp(-(s + SHRINK * logs[k]) / (w + SHRINK))
            rates[wid] = rate
            total += rate - self.kind_rates[k]
        self.total = total or 1.0
        self.top = max(*rates.values(), *self.kind_rates, 0.0)

    def forget(self, worker: int) -> None:
        """A restarted or removed worker is not judged by its past."""
        self.stale = self.samples.pop(worker, None) is not None or self.stale


class KeyType:
    """A type that is a key: its counts, and which workers ran it lately.

    It borrows its class's profiles: of a worker that has met it as measured, of the others with a fetch.
    """

    __slots__ = ("base", "n", "counts", "met", "draw", "key")

    def __init__(self, key: int, base: JobType) -> None:
        self.key = key
        self.base = base
        self.n = 0
        self.counts: dict[int, int] = {}
        self.met: dict[int, float] = {}  # worker: when it last got a job of this key
        self.draw: dict[int, float] = {}  # worker: its exponential draw, the same at every gateway

    def has_met(self, worker: int, now: float) -> bool:
        """Whether a worker still holds what jobs of this key need."""
        at = self.met.get(worker)
        return at is not None and now - at < MET_MS

    def order(self, w: Worker, rate: float) -> float:
        """The place of a worker in a draw in proportion to the shares, alike at every gateway."""
        e = self.draw.get(w.id)
        if e is None:
            x = (self.key ^ (w.id * 0x9E3779B97F4A7C15)) & 0xFFFFFFFFFFFFFFFF
            x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
            x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & 0xFFFFFFFFFFFFFFFF
            e = self.draw[w.id] = -log(((x ^ (x >> 31)) + 1.0) / 18446744073709551617.0)
        return e / rate
