"""Owns how schedulers keep each other's occupancy known: the interface of any way, and the way all-to-all.

Pure: no I/O, no clock, no randomness: times and random numbers are handed in, messages and the moments of wakeups
are handed back.  It never says where a request goes, never names a worker that the list has not named, and never
raises on what comes in: what cannot be read is dropped.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, Protocol

from .ledger import Ledger
from .messages import (
    CAPACITY,
    DELTA,
    DELTA_BYTES,
    MESSAGE_BYTES_MAX,
    SNAPSHOT,
    SNAPSHOT_REQUEST,
    Kind,
    encode,
)
from .pacing import HEARTBEAT_MS, Pacing

ALL_PEERS = -1  # as the peer of a message: to each of them
PRICE_MAX = 0.02  # points of the goal that telling may cost
CHANGES_PER_JOB = 2  # its send and its end
CAPACITY_ANSWERS = 4  # peers, on average, that answer a SNAPSHOT_REQUEST with the slots of each kind of worker
TURN_LEAST = 0.8  # of HEARTBEAT_MS; from one turn to the next at the least
TURN_SPREAD = 0.4  # of HEARTBEAT_MS; and so much more at the most, by chance, so that peers don't go in step
WAKEUP_EARLY_MS = 0.01  # ms; a timer may come due so much early, by rounding

Random = Callable[[], float]  # evenly spread in [0, 1)


class Outgoing(NamedTuple):
    """A message to be sent now."""

    peer: int  # or ALL_PEERS
    data: bytes


class Received(NamedTuple):
    """What a message from a peer brings."""

    replies: Sequence[Outgoing] = ()
    capacities: Mapping[int, int] = {}  # by kind of worker: the slots that the peer has seen


NOTHING: tuple[Outgoing, ...] = ()
NO_NEWS = Received()


class OccupancyExchange(Protocol):
    """A way for schedulers to tell each other the slots that each has out at each worker.

    The caller sends what a method returns, in its order, and then asks ``take_wakeup`` until it is None.
    """

    def set_workers(self, slots_out: Mapping[int, float]) -> None:
        """Follow the list: the workers that it names, in its order, and this scheduler's slots out there."""

    def changed(self, now: float, worker: int, slots_out: float, more: bool) -> Sequence[Outgoing]:
        """Note this scheduler's slots out at a worker, ``slots_out`` now; ``more``: they have grown."""

    def announce_capacity(self, capacities: Mapping[int, float]) -> Sequence[Outgoing]:
        """Note that the slots of a further kind of worker are known; ``capacities``: all known ones, by kind."""

    def on_message(self, now: float, sender: int, data: bytes, capacities: Mapping[int, float],
                   random: Random) -> Received:
        """Take a peer's message; ``capacities``: the slots that this scheduler knows, by kind of worker."""

    def take_wakeup(self) -> float | None:
        """A moment for ``on_wakeup`` that was not handed out before; None: no further one."""

    def on_wakeup(self, now: float, due: float, random: Random) -> Sequence[Outgoing]:
        """Do what is due: the moment ``due``, of ``take_wakeup``, has come."""

    def complete(self, now: float) -> bool:
        """Whether enough is known of the peers' occupancy for ``out`` to be used."""

    def out(self, worker: int) -> int:
        """The slots that the peers have out at a worker."""


class NoExchange:
    """No way at all: nothing is told and nothing known."""

    def set_workers(self, slots_out: Mapping[int, float]) -> None:
        """Ignored."""

    def changed(self, now: float, worker: int, slots_out: float, more: bool) -> Sequence[Outgoing]:
        """Tell nothing."""
        return NOTHING

    def announce_capacity(self, capacities: Mapping[int, float]) -> Sequence[Outgoing]:
        """Tell nothing."""
        return NOTHING

    def on_message(self, now: float, sender: int, data: bytes, capacities: Mapping[int, float],
                   random: Random) -> Received:
        """Drop it."""
        return NO_NEWS

    def take_wakeup(self) -> float | None:
        """None is wanted."""
        return None

    def on_wakeup(self, now: float, due: float, random: Random) -> Sequence[Outgoing]:
        """Tell nothing."""
        return NOTHING

    def complete(self, now: float) -> bool:
        """Nothing is known."""
        return False

    def out(self, worker: int) -> int:
        """Nothing is known."""
        return 0


class AllToAll:
    """Each scheduler tells each other its counts: changes as they come, and a snapshot once in a while."""

    __slots__ = ("out", "complete", "_others", "_ledger", "_pacing", "_own", "_turn_at", "_wakeup")

    def __init__(self, now: float, others: int) -> None:
        """``others``: how many other schedulers there are.  The first wakeup is wanted at once."""
        self._others = others
        self._ledger = Ledger(others)
        self._pacing = Pacing(others)
        self._own: dict[int, float] = {}  # this scheduler's slots out at each listed worker
        self._turn_at = now
        self._wakeup: float | None = now  # wanted, and not yet handed out
        # Asked for each worker that is ranked: without a call in between.
        self.out = self._ledger.out
        self.complete = self._ledger.complete

    def set_workers(self, slots_out: Mapping[int, float]) -> None:
        """Follow the list; of a worker that it does not name nothing is told but that nothing is out there."""
        self._own = dict(slots_out)

    def changed(self, now: float, worker: int, slots_out: float, more: bool) -> Sequence[Outgoing]:
        """Tell a send at once, and with it what is held back; hold an end back, among many peers."""
        if worker in self._own:
            self._own[worker] = slots_out
        pacing = self._pacing
        held_back = pacing.flush_at
        if pacing.changed(now, worker, more):
            return self._tell_pending(now)
        if pacing.flush_at != held_back:
            self._wakeup = pacing.flush_at
        return NOTHING

    def announce_capacity(self, capacities: Mapping[int, float]) -> Sequence[Outgoing]:
        """Tell all peers, or each would have to find out by itself."""
        return (self._capacity_message(ALL_PEERS, capacities),)

    def on_message(self, now: float, sender: int, data: bytes, capacities: Mapping[int, float],
                   random: Random) -> Received:
        """Note a peer's counts; answer one that has just started with a snapshot, and by chance the capacities."""
        message = self._ledger.take(now, sender, data)
        if message is None:
            return NO_NEWS
        if message.kind is CAPACITY:
            return Received(capacities=message.entries)
        if message.kind is not SNAPSHOT_REQUEST:
            return NO_NEWS
        replies = [Outgoing(sender, data) for data in self._pacing.answer(SNAPSHOT, self._snapshot())]
        if random() * self._others < CAPACITY_ANSWERS:
            replies.append(self._capacity_message(sender, capacities))
        return Received(replies)

    def take_wakeup(self) -> float | None:
        """The next turn, or the moment at which ends that are held back must go."""
        wakeup, self._wakeup = self._wakeup, None
        return wakeup

    def on_wakeup(self, now: float, due: float, random: Random) -> Sequence[Outgoing]:
        """Take a turn, or tell what is held back if it still is."""
        if due == self._turn_at:
            return self._turn(now, random)
        flush_at = self._pacing.flush_at
        if flush_at and now >= flush_at - WAKEUP_EARLY_MS:
            return self._tell_pending(now)
        return NOTHING

    def _turn(self, now: float, random: Random) -> Sequence[Outgoing]:
        kind = self._pacing.next_turn(now)
        told: Sequence[Outgoing] = NOTHING
        if kind is DELTA:
            told = self._tell_pending(now)
        elif kind is not None:
            told = self._tell(now, kind, self._snapshot())
        self._turn_at = self._wakeup = now + HEARTBEAT_MS * (TURN_LEAST + TURN_SPREAD * random())
        return told

    def _tell_pending(self, now: float) -> Sequence[Outgoing]:
        own = self._own
        return self._tell(now, DELTA, [(worker, own.get(worker, 0.0)) for worker in self._pacing.pending])

    def _tell(self, now: float, kind: Kind, counts: Sequence[tuple[int, float]]) -> Sequence[Outgoing]:
        return [Outgoing(ALL_PEERS, data) for data in self._pacing.messages(now, kind, counts)]

    def _snapshot(self) -> list[tuple[int, float]]:
        return [(worker, slots) for worker, slots in self._own.items() if slots > 0]

    @staticmethod
    def _capacity_message(peer: int, capacities: Mapping[int, float]) -> Outgoing:
        return Outgoing(peer, encode(CAPACITY, 0, list(capacities.items())))


def exchange_for(now: float, others: int, allowed: bool, price: float) -> OccupancyExchange:
    """The way to use among so many other schedulers.

    ``allowed``: whether they may send each other messages; ``price``: points of the goal for a message of
    ``MESSAGE_BYTES_MAX`` to one peer for each request.  Each of a job's changes is told to every other scheduler.
    """
    cost = price * CHANGES_PER_JOB * DELTA_BYTES / MESSAGE_BYTES_MAX
    if allowed and others > 0 and cost * others <= PRICE_MAX:
        return AllToAll(now, others)
    return NoExchange()
