"""Owns what the sharded exchange may spend: the token bucket, the pace that follows from it, what is told first.

Pure.  The bytes a second are kept whatever the load; what gives way is the age of sums, and the bound that is
stated for it grows along.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .sums_messages import ENTRY_BYTES, HEADER_BYTES, MESSAGE_BYTES_MAX

ROUND_MIN_MS = 1_000.0
SILENT_ROUNDS = 5  # a member that said nothing for so many is dead
SILENT_MIN_MS = 5_000.0
LARGE_CHANGE = 0.25  # of the sum last told, and
LARGE_MIN_SLOTS = 2  # slots at the least: such a change goes first
LARGE_FRACTION = 0.25  # of a round's sums, at the most, are chosen for that; the rest are those told longest ago
SUMS_MIN = 4  # in a round, however little the budget leaves
REPORTS_MIN = 24  # counts reported to one peer in a round, however little the budget leaves
REPORTS_FRACTION = 0.75  # of what the budget leaves for a peer and round is for reports, at the most


@dataclass(frozen=True, slots=True)
class Limits:
    """What a scheduler may spend on the exchange."""

    bytes_per_s: float = 11_000.0  # out; in it is as much, as all tell all the same
    datagrams_per_s: float = 100.0  # out, of one datagram for each peer and round
    silent_counts_ttl_ms: float = 60_000.0  # how long the counts of a silent scheduler stand


class TokenBucket:
    """Bytes that may be sent: so many a second, and those of ``burst_s`` at once."""

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
        """A datagram was sent."""
        self._level -= size


@dataclass(frozen=True, slots=True)
class Plan:
    """The pace of a round, and the bound for the age of sums that follows."""

    round_ms: float
    sums: int  # how many are told to each peer in a round
    reports: int  # how many counts may be reported to a peer in a round
    cycle_ms: float  # within it each sum of a shard is told once
    silent_ms: float
    age_bound_ms: float


def make_plan(limits: Limits, peers: int, shard: int, largest_shard: int, report_entries: float,
              last_round_ms: float) -> Plan:
    """The pace for so many peers.

    ``shard`` is how many workers are aggregated here, ``largest_shard`` by whoever aggregates most;
    ``report_entries`` were reported to each peer in the last round, which took ``last_round_ms``.
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
    # A sum is lost once; or its aggregator is, which others see within a round of each other, then report anew.
    bound_ms = max(5 * round_ms + 2 * cycle_ms, silent_ms + 8 * round_ms + cycle_ms)
    return Plan(pace_ms, sums, reports, cycle_ms, silent_ms, bound_ms)


class SumOrder:
    """Which sums are told in a round: large relative changes first, then those told longest ago."""

    __slots__ = ("_last_sent",)

    def __init__(self) -> None:
        self._last_sent: dict[int, int] = {}  # the sum last told, by id; told longest ago first

    def choose(self, limit: int, shard: Iterable[int], total: Callable[[int], int]) -> list[int]:
        """Up to so many of a shard's workers; these count as told.  Nothing else of the shard is remembered."""
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
        """The largest relative changes since they were told."""
        found = []
        for wire_id, previous in self._last_sent.items():
            change = abs(total(wire_id) - previous)
            if change >= LARGE_MIN_SLOTS and change >= LARGE_CHANGE * previous:
                found.append((change / max(1, previous), wire_id))
        return [wire_id for _, wire_id in sorted(found, reverse=True)[:limit]]
