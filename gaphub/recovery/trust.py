"""How far a scheduler trusts an observation: by its age, its origin and its epoch.

Pure: no I/O, no clock, no randomness; times are passed in, in milliseconds on one clock.  The rule only weighs the
input of decisions, so that none rests on a count of an epoch that ended, and state restored after a restart
counts as advice, not as fact.

An epoch is the time from one start of a worker or a peer to the next.  A worker replaced under the same address,
or a peer that restarts, begins a new one: the worker list shows it as a later start
(``ListedWorker.ready_at_ms``), a peer's messages as a restart.  An observation of an earlier epoch weighs nothing,
whatever its age.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Origin(IntEnum):
    """Where an observation came from."""

    SEEN = 0  # this scheduler observed it itself since it started
    PEER = 1  # a live peer observed it and sent it
    RESTORED = 2  # read from disk or taken from a peer's state after this scheduler restarted


@dataclass(frozen=True)
class Observation:
    """One value with its provenance.

    ``value`` is whatever decisions use: a count, a mean time in ms, a judgement as 0 or 1.  ``observed_ms`` is
    when it was true, on this scheduler's clock; ``source`` the id of the observer (this scheduler's own for SEEN);
    ``epoch`` that of the worker or peer it describes, as this scheduler numbers epochs.
    """

    value: float
    observed_ms: float
    origin: Origin
    source: int
    epoch: int


@dataclass(frozen=True)
class AgeLimits:
    """How long observations of each origin are trusted, in ms, and the greatest weight of restored state (0 to 1).

    An observation has its full weight up to an age of ``fresh_ms`` (restored state ``advice_weight``).  From there
    to its limit the weight falls linearly to 0.  Limits must be above ``fresh_ms``, which is at least 0.
    """

    fresh_ms: float = 1_000.0
    seen_ms: float = 30_000.0
    peer_ms: float = 3_500.0
    restored_ms: float = 10_000.0
    advice_weight: float = 0.5

    def __post_init__(self) -> None:
        """Reject ages that make no sense in any deployment, naming the field."""
        if self.fresh_ms < 0:
            raise ValueError("fresh_ms: must not be negative")
        for name in ("seen_ms", "peer_ms", "restored_ms"):
            if not getattr(self, name) > self.fresh_ms:
                raise ValueError(f"{name}: must be above fresh_ms")
        if not 0 <= self.advice_weight <= 1:
            raise ValueError("advice_weight: must be from 0 to 1")

    def limit(self, origin: Origin) -> float:
        """The age in ms from which an observation of this origin weighs nothing."""
        return (self.seen_ms, self.peer_ms, self.restored_ms)[origin]


def weight(observation: Observation, now_ms: float, epoch: int, limits: AgeLimits) -> float:
    """The weight of an observation now, from 0 (ignored) to 1 (fact).

    It is 0 if the observation's epoch is not the current one, or its age has reached its origin's limit.  An
    observation from the future (after a clock step or by a peer's error) counts as if made now.  Restored state
    never weighs more than ``limits.advice_weight``.
    """
    if observation.epoch != epoch:
        return 0.0
    age = max(0.0, now_ms - observation.observed_ms)
    limit = limits.limit(observation.origin)
    if age >= limit:
        return 0.0
    full_weight = limits.advice_weight if observation.origin == Origin.RESTORED else 1.0
    if age <= limits.fresh_ms:
        return full_weight
    return full_weight * (limit - age) / (limit - limits.fresh_ms)


def blend(observations: list[Observation], now_ms: float, epoch: int, limits: AgeLimits, prior: float,
          prior_weight: float = 1.0) -> float:
    """The weighted mean of observations of a value and a prior.

    The prior is what a scheduler assumes without observations, such as the class's aim or a count of 0.  It has
    ``prior_weight`` (above 0), so that advice alone moves the result towards its value but never all the way.
    Observations of an ended epoch or past their age limit change nothing.  The result lies between the least and
    the greatest of the prior and the values that count.
    """
    total = prior * prior_weight
    weights = prior_weight
    for observation in observations:
        observation_weight = weight(observation, now_ms, epoch, limits)
        if observation_weight > 0:
            total += observation.value * observation_weight
            weights += observation_weight
    return total / weights


class Epochs:
    """The epochs of the workers, as the worker list shows them; a worker's first known epoch is 1.

    A later ``ready_at_ms`` than the known one begins a new epoch; the same or an earlier one (of a list that
    arrives late) changes nothing.  A worker that is gone and listed again later begins a new epoch too.
    """

    def __init__(self) -> None:
        self._ready: dict[int, float] = {}
        self._epoch: dict[int, int] = {}

    def record_listed(self, worker: int, ready_at_ms: float) -> int:
        """Record the last start of a listed worker; returns its current epoch."""
        known = self._ready.get(worker)
        if known is None:
            self._epoch[worker] = self._epoch.get(worker, 0) + 1
            self._ready[worker] = ready_at_ms
        elif ready_at_ms > known:
            self._epoch[worker] += 1
            self._ready[worker] = ready_at_ms
        return self._epoch[worker]

    def record_gone(self, worker: int) -> None:
        """Record that a worker is gone: one listed under its number later is in another epoch."""
        self._ready.pop(worker, None)

    def epoch(self, worker: int) -> int:
        """The current epoch; 0 for a worker that is not listed."""
        return self._epoch.get(worker, 0) if worker in self._ready else 0
