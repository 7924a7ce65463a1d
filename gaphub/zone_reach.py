"""Which zones can be reached, judged by how often attempts there fail to connect.

Pure: no I/O, no clock; part of the decisions, whose interface is defined in ``interface.py``.
"""

from __future__ import annotations

from collections.abc import Callable

FAILURE_STEP = 0.25  # weight of an attempt in the failure share of its zone
CUT_OFF_FROM = 0.5  # a zone with a higher failure share is avoided
TRIAL_SHARE = 0.03  # share of jobs that consider an avoided zone all the same, to detect its return


class ZoneReach:
    """The exponentially weighted share of attempts to each zone that fail to connect."""

    __slots__ = ("failure_shares",)

    def __init__(self, zones: int) -> None:
        self.failure_shares = [0.0] * zones

    def record(self, zone: int, failed: bool) -> None:
        """Record whether an attempt failed to connect."""
        self.failure_shares[zone] += (failed - self.failure_shares[zone]) * FAILURE_STEP

    def worker_started(self, zone: int) -> None:
        """A worker there has just started: use the zone at once instead of by rare trials."""
        self.failure_shares[zone] = 0.0

    def is_cut_off(self, zone: int) -> bool:
        """Whether a zone is avoided."""
        return self.failure_shares[zone] > CUT_OFF_FROM

    def candidate_zones(self, draw: Callable[[], float]) -> tuple[int, ...]:
        """The zones to consider for a job; () for all."""
        if max(self.failure_shares) <= CUT_OFF_FROM or draw() < TRIAL_SHARE:
            return ()
        return tuple(zone for zone, share in enumerate(self.failure_shares) if share <= CUT_OFF_FROM)
