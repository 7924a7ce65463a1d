"""Samples of a real scheduler's resource use, taken before and after a window, and their difference.  Pure."""

from __future__ import annotations

from msgspec import Struct

from .points import SchedulerUsage


class Sample(Struct, frozen=True):
    """What a process had used up to one moment."""

    at_s: float
    cpu_s: float
    rss_mb: float
    counters: dict[str, int]
    list_in_bytes: int
    list_out_bytes: int

    def counter(self, name: str) -> int:
        """The value of a counter; 0 if the process has not counted anything under this name."""
        return self.counters.get(name, 0)


def usage_between(name: str, before: Sample, after: Sample) -> SchedulerUsage:
    """What a process used between two samples."""

    def delta(counter: str) -> int:
        return after.counter(counter) - before.counter(counter)

    return SchedulerUsage(
        name, after.cpu_s - before.cpu_s, after.rss_mb,
        delta("peers.received_bytes"), delta("peers.sent_bytes"), delta("peers.received"), delta("peers.sent"),
        after.list_in_bytes - before.list_in_bytes, after.list_out_bytes - before.list_out_bytes,
        delta("requests.served"))
