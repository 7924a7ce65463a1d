"""Owns the rule of what a scheduler may believe of what it learnt: by age, by origin, by epoch.

Pure: no I/O, no clock, no randomness; times are handed in, in milliseconds on one clock.  It never says where a
request goes: it only weighs what the deciders are told, so that no decision rests on a count of an epoch that
ended, and what was restored after a restart counts as advice, not as fact.

An epoch is one life of a worker or a peer.  A worker replaced under the same address, or a peer that started
again, begins a new one; the worker list shows it as a later start (``ListedWorker.ready_at_ms``), a peer by a
new life in its messages.  Anything learnt of an earlier epoch weighs nothing, whatever its age.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Origin(IntEnum):
    """Where a piece of state came from."""

    SEEN = 0  # this scheduler saw it happen in this life
    PEER = 1  # a living peer told it, of its own seeing
    RESTORED = 2  # from disk or from a peer's view after this scheduler started again


@dataclass(frozen=True)
class Learnt:
    """One piece of state with its provenance.

    ``value`` is whatever the deciders use (a count, a mean time in ms, a judgement as 0 or 1); ``learnt_ms`` when
    it was true, on this scheduler's clock; ``source`` the id of whoever saw it (this scheduler's own id for SEEN);
    ``epoch`` the life of the worker or peer it describes, as this scheduler numbers them.
    """

    value: float
    learnt_ms: float
    origin: Origin
    source: int
    epoch: int


@dataclass(frozen=True)
class Ages:
    """How long each origin is believed, in ms; and how much restored state weighs at most (0 to 1).

    Within ``fresh_ms`` of its learning a piece weighs fully (advice at most ``advice_weight``); from there to
    its limit its weight falls in a straight line to 0.  Limits must be above ``fresh_ms``, which is at least 0.
    """

    fresh_ms: float = 1_000.0
    seen_ms: float = 30_000.0
    peer_ms: float = 3_500.0
    restored_ms: float = 10_000.0
    advice_weight: float = 0.5

    def __post_init__(self) -> None:
        """Refuse ages that no deployment can mean, naming the field."""
        if self.fresh_ms < 0:
            raise ValueError("fresh_ms: must not be negative")
        for name in ("seen_ms", "peer_ms", "restored_ms"):
            if not getattr(self, name) > self.fresh_ms:
                raise ValueError(f"{name}: must be above fresh_ms")
        if not 0 <= self.advice_weight <= 1:
            raise ValueError("advice_weight: must be from 0 to 1")

    def limit(self, origin: Origin) -> float:
        """The age in ms after which a piece of this origin weighs nothing."""
        return (self.seen_ms, self.peer_ms, self.restored_ms)[origin]


def weight(piece: Learnt, now_ms: float, epoch: int, ages: Ages) -> float:
    """How much a piece counts now, from 0 (thrown away) to 1 (fact).

    0 where its epoch is not the one in force, or it is older than its origin's limit.  A piece from the future
    (a clock that stepped, a peer's error) counts as if learnt now.  Restored state never weighs more than
    ``ages.advice_weight``.
    """
    if piece.epoch != epoch:
        return 0.0
    age = max(0.0, now_ms - piece.learnt_ms)
    limit = ages.limit(piece.origin)
    if age >= limit:
        return 0.0
    top = ages.advice_weight if piece.origin == Origin.RESTORED else 1.0
    if age <= ages.fresh_ms:
        return top
    return top * (limit - age) / (limit - ages.fresh_ms)


def blend(pieces: list[Learnt], now_ms: float, epoch: int, ages: Ages, prior: float,
          prior_weight: float = 1.0) -> float:
    """A value from what is believed of it: the weighted mean of the pieces and a prior.

    The prior (what a scheduler assumes knowing nothing: the class's aim, a count of 0) has ``prior_weight``
    (above 0), so that advice alone pulls towards what it says but never quite to it, and pieces of an ended
    epoch or past their age change nothing.  The result lies between the least and the most of the prior and
    the values that count.
    """
    total = prior * prior_weight
    weights = prior_weight
    for piece in pieces:
        w = weight(piece, now_ms, epoch, ages)
        if w > 0:
            total += piece.value * w
            weights += w
    return total / weights


class Epochs:
    """The lives of the workers, as the worker list shows them; each worker's first seen life is 1.

    A later ``ready_at_ms`` than the one known is a new life; the same or an earlier one (a list that comes late)
    changes nothing.  A worker that the list calls gone and names again later begins a new life too.
    """

    def __init__(self) -> None:
        self._ready: dict[int, float] = {}
        self._epoch: dict[int, int] = {}

    def listed(self, worker: int, ready_at_ms: float) -> int:
        """Tell a listed worker's last start; its epoch in force."""
        known = self._ready.get(worker)
        if known is None:
            self._epoch[worker] = self._epoch.get(worker, 0) + 1
            self._ready[worker] = ready_at_ms
        elif ready_at_ms > known:
            self._epoch[worker] += 1
            self._ready[worker] = ready_at_ms
        return self._epoch[worker]

    def gone(self, worker: int) -> None:
        """The list says that the worker is gone: whatever comes under its name later is another life."""
        self._ready.pop(worker, None)

    def epoch(self, worker: int) -> int:
        """The epoch in force; 0 for a worker never listed."""
        return self._epoch.get(worker, 0) if worker in self._ready else 0
