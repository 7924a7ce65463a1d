"""The tenants' quotas, as far as one scheduler can enforce them.

Pure: no I/O, no clock; part of the decisions, whose interface is defined in ``interface.py``.  No scheduler
sees all requests.  Each admits a part of a quota equal to its part of all traffic, estimated from the load
reports of workers.
"""

from __future__ import annotations

from collections.abc import Sequence

from .interface import TenantSettings

BURST_S = 1.0  # seconds of its quota that a tenant may save up
MIN_BURST = 4.0  # requests that it may always save up: a scheduler's part may be one in several seconds
REPORT_DECAY = 0.995  # per report, of the estimate of this scheduler's part of all traffic


class TenantQuotas:
    """A token bucket for each tenant."""

    __slots__ = ("_tokens", "_filled_at", "_own_reported", "_all_reported")

    def __init__(self, now: float, tenants: int) -> None:
        self._tokens = [MIN_BURST] * tenants
        self._filled_at = [now] * tenants
        self._own_reported = 0.0
        self._all_reported = 0.0

    def admits(self, now: float, tenant: int, tenants: Sequence[TenantSettings], schedulers: int) -> bool:
        """Take a token; whether the request is within this scheduler's part of its tenant's quota."""
        if tenant >= len(self._tokens):
            return True
        share = (self._own_reported + 1.0) / (self._all_reported + schedulers)
        rate = tenants[tenant].quota_per_s * share
        tokens = self._tokens[tenant] + rate * (now - self._filled_at[tenant]) / 1000.0
        tokens = min(tokens, MIN_BURST + rate * BURST_S)
        self._filled_at[tenant] = now
        within = tokens >= 1.0
        self._tokens[tenant] = tokens - 1.0 if within else tokens
        return within

    def record_report(self, own: float, reported: float) -> None:
        """Record a worker's reported number of requests in flight, and this scheduler's own slots there."""
        self._own_reported = self._own_reported * REPORT_DECAY + min(own, reported)
        self._all_reported = self._all_reported * REPORT_DECAY + reported
