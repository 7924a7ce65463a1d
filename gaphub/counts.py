"""Owns what gateways tell each other of the slots that they have out: the pace.

It is pure: no I/O, no clock, no randomness.  It must never say where a request goes, never name a worker
that the list has not named, and never raise on what comes in: what cannot be read is dropped.

Every byte is paid for at every receiver (``occupancy/messages.py``): the end of an attempt waits for company,
and the whole table goes out more rarely.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from .occupancy.messages import ENTRIES_MAX, Kind, encode, wire_id

TELL_MS = 1_000.0  # ms; a gateway says something so often
FULL_AMONG = 8  # others; for each so many the table goes out a turn more rarely, and ends wait longer
HOLD_MS = 60.0  # ms; for each FULL_AMONG others, how long an end waits for company


class Teller:
    """What a gateway says, and when: sends at once, ends after a while, the whole table now and then."""

    __slots__ = ("hold_ms", "whole_every", "turn", "number", "pending", "flush_at", "told_at")

    def __init__(self, others: int) -> None:
        """``others``: how many other gateways there are."""
        self.hold_ms = HOLD_MS * (others // FULL_AMONG)
        self.whole_every = 1 + others // FULL_AMONG
        self.turn = -1
        self.number = -1
        self.pending: set[int] = set()  # workers whose count has changed since it was told
        self.flush_at = 0.0  # when what is pending is to be told; 0: nothing waits
        self.told_at = -1e18

    def changed(self, now: float, worker: int, more: bool) -> bool:
        """Note a change, ``more`` slots or fewer; whether to tell what is pending now."""
        self.pending.add(worker)
        if more or not self.hold_ms:
            return True
        if not self.flush_at:
            self.flush_at = now + self.hold_ms
        return False

    def next_turn(self, now: float) -> Kind | None:
        """What is due once in ``TELL_MS``; None: something was told lately, and that is enough."""
        self.turn += 1
        if self.turn == 0:
            return Kind.SNAPSHOT_REQUEST
        if self.turn == 1 or self.turn % self.whole_every == 0:
            return Kind.SNAPSHOT
        return Kind.DELTA if self.pending or now - self.told_at >= TELL_MS / 2 else None

    def messages(self, now: float, kind: Kind, counts: Iterable[tuple[int, float]]) -> Iterator[bytes]:
        """Messages to all of some workers' counts: the first as named, the others changes."""
        self.pending.clear()
        self.flush_at = 0.0
        self.told_at = now
        yield from self.answer(kind, counts)

    def answer(self, kind: Kind, counts: Iterable[tuple[int, float]]) -> Iterator[bytes]:
        """The same to one gateway: what is pending for the others stays so."""
        table = [(wire_id(worker), n) for worker, n in counts]
        for at in range(0, len(table) or 1, ENTRIES_MAX):
            self.number += 1
            yield encode(Kind.DELTA if at else kind, self.number, table[at:at + ENTRIES_MAX])
