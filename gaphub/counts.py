"""Owns what gateways tell each other of the slots that they have out: the ledger, the pace.

It is pure: no I/O, no clock, no randomness.  It must never say where a request goes, never name a worker
that the list has not named, and never raise on what comes in: what cannot be read is dropped.

Every byte is paid for at every receiver (``occupancy/messages.py``): the end of an attempt waits for company,
and the whole table goes out more rarely.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from .occupancy.messages import ENTRIES_MAX, Kind, Message, decode, encode, wire_id

TELL_MS = 1_000.0  # ms; a gateway says something so often
TTL_MS = 3_500.0  # ms; a gateway that told nothing for so long is not there
REORDER_MS = 100.0  # ms; an older number that comes later than this is of a new life, or counted round
FULL_AMONG = 8  # others; for each so many the table goes out a turn more rarely, and ends wait longer
HOLD_MS = 60.0  # ms; for each FULL_AMONG others, how long an end waits for company
ENOUGH = 3  # gateways that must tell for sums to be used, where there are so many, and
ENOUGH_PART = 8  # one more for each so many: in a large fleet some are always down


class Ledger:
    """What the other gateways have out at each worker, as they tell.

    A message holds counts, not changes: the next one about a worker mends a loss.
    """

    __slots__ = ("others", "counts", "total", "heard", "last", "_asked_at", "_enough")

    def __init__(self, others: int) -> None:
        """``others``: how many other gateways there are."""
        self.others = others
        self.counts: dict[int, dict[int, int]] = {}
        self.total: dict[int, int] = {}  # the sums over the gateways
        self.heard: dict[int, float] = {}
        self.last: dict[int, int] = {}
        self._asked_at = -1e18  # when the answer of ``complete`` was found; it is asked for each worker
        self._enough = False

    def take(self, now: float, sender: int, data: bytes) -> Message | None:
        """Note what a gateway tells: the message; None if it is dropped."""
        message = decode(data)
        if message is None or message.kind == Kind.CAPACITY:
            return message
        kind, number, told = message
        late = 0 < (self.last.get(sender, number - 1) - number) % 256 < 128
        if kind != Kind.SNAPSHOT_REQUEST and late and now - self.heard.get(sender, -1e18) < REORDER_MS:
            return None  # overtaken by a later one
        self._asked_at = -1e18
        self.last[sender] = number
        self.heard[sender] = now
        counts = self.counts.setdefault(sender, {})
        if kind != Kind.DELTA:
            self._clear(counts)
        for worker, n in told.items():
            self._add(worker, n - counts.get(worker, 0))
            if n:
                counts[worker] = n
            else:
                counts.pop(worker, None)
        return message

    def _add(self, worker: int, n: int) -> None:
        total = self.total.get(worker, 0) + n
        if total:
            self.total[worker] = total
        else:
            self.total.pop(worker, None)

    def _clear(self, counts: dict[int, int]) -> None:
        for worker, n in counts.items():
            self._add(worker, -n)
        counts.clear()

    def complete(self, now: float) -> bool:
        """Whether enough of the others tell; one that is silent for long has nothing out, or is cut off."""
        if now != self._asked_at:
            self._asked_at, self._enough = now, self._count(now)
        return self._enough

    def _count(self, now: float) -> bool:
        if len(self.heard) < (need := min(self.others, ENOUGH + self.others // ENOUGH_PART)):
            return False
        for sender in [s for s, at in self.heard.items() if now - at > TTL_MS]:
            del self.heard[sender]
            self._clear(self.counts.pop(sender))
        return len(self.heard) >= need

    def out(self, worker: int) -> int:
        """The slots that the others have out at a worker."""
        return self.total.get(wire_id(worker), 0)


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
