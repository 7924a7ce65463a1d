"""The bandwidth budget of the sharded exchange: a token bucket, the plan of a round, and the order of sums.

No I/O, no clock, no randomness.  The byte rate is kept under any load; instead the sums become older, and the
bound stated for their age grows accordingly.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .sums_messages import ENTRY_BYTES, HEADER_BYTES, MESSAGE_BYTES_MAX

ROUND_MIN_MS = 1_000.0
SILENT_ROUNDS = 5  # a member that is silent for this many is considered dead
SILENT_MIN_MS = 5_000.0
LARGE_CHANGE = 0.25  # of the sum last sent: a change this large,
LARGE_MIN_SLOTS = 2  # and of this many slots at least, is sent first
LARGE_FRACTION = 0.25  # largest share of a round's sums for these; the rest are those sent longest ago
SUMS_MIN = 4  # sums per peer and round, however small the budget
REPORTS_MIN = 24  # counts reported per peer and round, however small the budget
REPORTS_FRACTION = 0.75  # largest share of a peer's bytes per round that reports may take


@dataclass(frozen=True, slots=True)
class Limits:
    """The budget of one scheduler for the exchange."""

    bytes_per_s: float = 11_000.0  # sent; as much is received, as all schedulers send alike
    datagrams_per_s: float = 100.0  # sent, at one datagram per peer and round
    silent_counts_ttl_ms: float = 60_000.0  # how long the counts of a silent scheduler are kept


class TokenBucket:
    """Limits the bytes sent to a rate, with bursts of up to ``burst_s`` seconds' worth."""

    __slots__ = ("_rate", "_capacity", "_level", "_refilled_at")

    def __init__(self, now: float, bytes_per_s: float, burst_s: float = 1.0) -> None:
        self._rate = bytes_per_s / 1_000.0
        self._capacity = max(bytes_per_s * burst_s, float(MESSAGE_BYTES_MAX))
        self._level = 0.0
        self._refilled_at = now

    def allows(self, now: float) -> bool:
        """Whether a datagram of any size may be sent now."""
        self._level = min(self._capacity, self._level + max(0.0, now - self._refilled_at) * self._rate)
        self._refilled_at = max(self._refilled_at, now)
        return self._level >= MESSAGE_BYTES_MAX

    def spend(self, size: int) -> None:
        """Deduct the size of a datagram that was sent."""
        self._level -= size


@dataclass(frozen=True, slots=True)
class Plan:
    """The plan of a round, and the bound on the age of sums that follows from it."""

    round_ms: float
    sums: int  # sums sent to each peer in a round
    reports: int  # most counts reported to a peer in a round
    cycle_ms: float  # within it, each sum of a shard is sent once
    silent_ms: float  # a member that is silent for this long is considered dead
    age_bound_ms: float


def make_plan(limits: Limits, peers: int, shard: int, largest_shard: int, report_entries: float,
              last_round_ms: float) -> Plan:
    """Plan a round with this many peers.

    ``shard``: the number of workers aggregated here; ``largest_shard``: the most that any member aggregates.
    ``report_entries`` counts were reported to each peer in the last round, which took ``last_round_ms``.
    """
    pace_ms = max(ROUND_MIN_MS, peers * 1_000.0 / limits.datagrams_per_s)
    peer_bytes = limits.bytes_per_s * pace_ms / 1_000.0 / max(1, peers)
    reports = max(REPORTS_MIN, int(REPORTS_FRACTION * peer_bytes / ENTRY_BYTES))
    remaining_bytes = peer_bytes - min(report_entries, reports) * ENTRY_BYTES
    per_datagram = (MESSAGE_BYTES_MAX - HEADER_BYTES) // ENTRY_BYTES
    datagrams = max(1, -int(-peer_bytes // MESSAGE_BYTES_MAX))
    sums = max(SUMS_MIN, int((remaining_bytes - datagrams * HEADER_BYTES) / ENTRY_BYTES))
    sums = min(sums, datagrams * per_datagram, max(1, shard))
    round_ms = max(pace_ms, last_round_ms)
    oldest_first = max(1, sums - int(sums * LARGE_FRACTION))
    cycle_ms = round_ms * max(1, -(-largest_shard // oldest_first))
    silent_ms = max(SILENT_MIN_MS, SILENT_ROUNDS * round_ms)
    # Two cases: one datagram with the sum is lost; or its aggregator dies, which the others notice within a round
    # of each other, and then report anew to its successor.
    bound_ms = max(5 * round_ms + 2 * cycle_ms, silent_ms + 8 * round_ms + cycle_ms)
    return Plan(pace_ms, sums, reports, cycle_ms, silent_ms, bound_ms)


class SumOrder:
    """Chooses the sums of a round: large relative changes first, then those sent longest ago."""

    __slots__ = ("_last_sent",)

    def __init__(self) -> None:
        self._last_sent: dict[int, int] = {}  # by id: the sum last sent; sent longest ago first

    def choose(self, limit: int, shard: Iterable[int], total: Callable[[int], int]) -> list[int]:
        """Choose up to ``limit`` workers of a shard and count them as sent; forgets workers not in the shard."""
        last_sent = self._last_sent
        present = set(shard)
        for wire_id in [w for w in last_sent if w not in present]:
            del last_sent[wire_id]
        chosen = [w for w in sorted(present) if w not in last_sent][:limit]
        chosen += self._large_changes(min(int(limit * LARGE_FRACTION), limit - len(chosen)), total)
        for wire_id in last_sent:
            if len(chosen) >= limit:
                break
            if wire_id not in chosen:
                chosen.append(wire_id)
        for wire_id in chosen:
            last_sent.pop(wire_id, None)
            last_sent[wire_id] = total(wire_id)
        return chosen

    def _large_changes(self, limit: int, total: Callable[[int], int]) -> list[int]:
        """The workers whose sums changed most, relative to the sum last sent."""
        found = []
        for wire_id, previous in self._last_sent.items():
            change = abs(total(wire_id) - previous)
            if change >= LARGE_MIN_SLOTS and change >= LARGE_CHANGE * previous:
                found.append((change / max(1, previous), wire_id))
        return [wire_id for _, wire_id in sorted(found, reverse=True)[:limit]]
