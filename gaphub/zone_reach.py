"""Which zones can be reached, by how often attempts there get no connection.

Pure: no I/O, no clock; part of the decisions, whose interface stands in ``interface.py``.
"""

from __future__ import annotations

from collections.abc import Callable

STEP = 0.25  # share; how fast the view of a zone's connections moves with each attempt
CUT_OFF = 0.5  # share of attempts without a connection above which a zone is left alone
TRIAL = 0.03  # share of jobs that look at such a zone all the same


class ZoneReach:
    """The share of attempts to each zone that get no connection."""

    __slots__ = ("failing",)

    def __init__(self, zones: int) -> None:
        self.failing = [0.0] * zones

    def saw(self, zone: int, failed: bool) -> None:
        """An attempt got no connection, or got one."""
        self.failing[zone] += (failed - self.failing[zone]) * STEP

    def comes_back(self, zone: int) -> None:
        """A worker there has just started: the zone is used at once, not by rare trials."""
        self.failing[zone] = 0.0

    def is_cut_off(self, zone: int) -> bool:
        """Whether a zone is left alone."""
        return self.failing[zone] > CUT_OFF

    def zones(self, draw: Callable[[], float]) -> tuple[int, ...]:
        """The zones to look at; () for all.  A few jobs try one that is cut off, to see its return."""
        if max(self.failing) <= CUT_OFF or draw() < TRIAL:
            return ()
        return tuple(zone for zone, share in enumerate(self.failing) if share <= CUT_OFF)
