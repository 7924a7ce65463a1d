"""Pacing of a starting scheduler: when its first probes, handshakes and list fetches are sent.

Pure: no I/O, no clock, no randomness.  Jitter is a hash of the scheduler's name and a seed, so that the same
fleet starts the same way every time and two schedulers seldom start alike.  This module neither decides where a
request goes nor makes a scheduler wait for what it already has.

The bound is stated for the whole fleet: ``fleet_per_s`` actions of a kind per second, over ``fleet`` schedulers.
Each scheduler gets ``fleet_per_s / fleet`` per second and a burst of ``burst`` (at least 1), so that in any window
of ``t`` seconds the fleet sends at most ``fleet_per_s * t + fleet * burst``, whenever each one starts (token
bucket, as in RFC 2697's committed rate and burst).  A scheduler's first action waits a jitter of up to one
interval, so that 140 schedulers restarted at once spread their first actions over it.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass


def jitter(name: bytes, seed: int, span_ms: float) -> float:
    """A delay in [0, ``span_ms``), the same for the same name and seed, uniform over names."""
    digest = hashlib.blake2b(name, digest_size=8, key=seed.to_bytes(8, "big", signed=True)).digest()
    return span_ms * int.from_bytes(digest, "big") / 2.0**64


@dataclass(frozen=True)
class Budget:
    """A fleet-wide bound on one kind of action: ``fleet_per_s`` (above 0) over ``fleet`` (at least 1) members."""

    fleet_per_s: float
    fleet: int
    burst: float = 1.0

    def __post_init__(self) -> None:
        """Reject a budget that bounds nothing."""
        if not self.fleet_per_s > 0:
            raise ValueError("fleet_per_s: must be above 0")
        if self.fleet < 1:
            raise ValueError("fleet: must be at least 1")
        if self.burst < 1:
            raise ValueError("burst: must be at least 1")

    @property
    def interval_ms(self) -> float:
        """The mean time between two actions of one member that uses its whole share."""
        return 1000.0 * self.fleet / self.fleet_per_s

    def max_actions(self, window_ms: float) -> float:
        """The most actions that the whole fleet may send within a window."""
        return self.fleet_per_s * window_ms / 1000.0 + self.fleet * self.burst


class Pacer:
    """One member's share of a budget: a token bucket that fills at ``fleet_per_s / fleet`` per second.

    No action is allowed before ``start_ms`` plus the member's jitter.  At that time the bucket holds one token,
    and it fills from then on, up to ``burst``.
    """

    def __init__(self, budget: Budget, start_ms: float, name: bytes, seed: int) -> None:
        self.budget = budget
        self._rate = budget.fleet_per_s / budget.fleet / 1000.0  # tokens per ms
        self.first_ms = start_ms + jitter(name, seed, budget.interval_ms)
        self._tokens = 1.0
        self._at = self.first_ms

    def _fill(self, now_ms: float) -> None:
        if now_ms > self._at:
            self._tokens = min(self.budget.burst, self._tokens + (now_ms - self._at) * self._rate)
            self._at = now_ms

    def take(self, now_ms: float) -> bool:
        """Spend a token, if there is one; whether there was."""
        if now_ms < self.first_ms:
            return False
        self._fill(now_ms)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return True
        return False

    def next_ms(self, now_ms: float) -> float:
        """The earliest time from ``now_ms`` on at which ``take`` would succeed."""
        if now_ms < self.first_ms:
            return self.first_ms
        self._fill(now_ms)
        if self._tokens >= 1.0:
            return now_ms
        return now_ms + (1.0 - self._tokens) / self._rate
