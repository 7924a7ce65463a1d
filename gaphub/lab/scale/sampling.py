"""Owns what is read from a real scheduler before and after a window, and the difference.  Pure."""

from __future__ import annotations

from msgspec import Struct

from .points import Measured


class Sample(Struct, frozen=True):
    """What a process had spent at one moment."""

    at_s: float
    cpu_s: float
    rss_mb: float
    counters: dict[str, int]
    list_in_bytes: int
    list_out_bytes: int

    def count(self, name: str) -> int:
        """A counter of the process; 0 where it has not counted yet."""
        return self.counters.get(name, 0)


def measured(name: str, before: Sample, after: Sample) -> Measured:
    """What a process spent between two samples."""

    def gained(counter: str) -> int:
        return after.count(counter) - before.count(counter)

    return Measured(
        name, after.cpu_s - before.cpu_s, after.rss_mb,
        gained("peers.received_bytes"), gained("peers.sent_bytes"), gained("peers.received"), gained("peers.sent"),
        after.list_in_bytes - before.list_in_bytes, after.list_out_bytes - before.list_out_bytes,
        gained("requests.served"))
