"""What is left of each tenant's quota, as far as one scheduler can tell.

Pure: no I/O, no clock; part of the decisions, whose interface stands in ``interface.py``.  No scheduler
sees all requests: each lets pass the part of a quota that it has of all traffic, by what workers report.
"""

from __future__ import annotations

from collections.abc import Sequence

from .interface import TenantSettings

BURST_S = 1.0  # s; what a tenant may save up of its quota
BURST_LEAST = 4.0  # requests; the least it may save up: a scheduler's part may be a request in seconds
SEEN_FADE = 0.995  # a report; how fast the view of this scheduler's part of all traffic fades


class TenantQuotas:
    """A token bucket for each tenant."""

    __slots__ = ("_have", "_filled_at", "_own_seen", "_all_seen")

    def __init__(self, now: float, tenants: int) -> None:
        self._have = [BURST_LEAST] * tenants
        self._filled_at = [now] * tenants
        self._own_seen = 0.0
        self._all_seen = 0.0

    def admits(self, now: float, tenant: int, tenants: Sequence[TenantSettings], schedulers: int) -> bool:
        """Whether a request is within this scheduler's part of its tenant's quota; it counts from then on."""
        if tenant >= len(self._have):
            return True
        part = (self._own_seen + 1.0) / (self._all_seen + schedulers)
        rate = tenants[tenant].quota_per_s * part
        have = self._have[tenant] + rate * (now - self._filled_at[tenant]) / 1000.0
        have = min(have, BURST_LEAST + rate * BURST_S)
        self._filled_at[tenant] = now
        within = have >= 1.0
        self._have[tenant] = have - 1.0 if within else have
        return within

    def saw_report(self, own: float, reported: float) -> None:
        """A worker reports so many requests under way, of which so many slots are this scheduler's."""
        self._own_seen = self._own_seen * SEEN_FADE + min(own, reported)
        self._all_seen = self._all_seen * SEEN_FADE + reported
