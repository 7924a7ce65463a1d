"""Owns the interface by which schedulers keep each other's occupancy known, and the way that tells nothing.

Pure: no I/O, no clock, no randomness: times and random numbers are handed in, messages and the moments of wakeups
are handed back.  It never says where a request goes, never names a worker that the list has not named, and never
raises on what comes in: what cannot be read is dropped.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple, Protocol

ALL_PEERS = -1  # as the peer of a message: to each of them
CAPACITY_REPLIES = 4  # peers, on average, that tell one which has just started the slots of each kind of worker

Random = Callable[[], float]  # evenly spread in [0, 1)


class Outgoing(NamedTuple):
    """A message to be sent now."""

    peer: int  # or ALL_PEERS
    data: bytes


class Received(NamedTuple):
    """What a message from a peer brings."""

    replies: Sequence[Outgoing] = ()
    capacities: Mapping[int, int] = {}  # by kind of worker: the slots that the peer has seen


NO_MESSAGES: tuple[Outgoing, ...] = ()
NOTHING_RECEIVED = Received()


class OccupancyExchange(Protocol):
    """A way for schedulers to tell each other the slots that each has out at each worker.

    The caller sends what a method returns, in its order, and then asks ``take_wakeup`` until it is None.
    """

    def set_workers(self, now: float, slots_out: Mapping[int, float], identities: Mapping[int, int]) -> None:
        """Follow the list: the workers that it names, in its order, and this scheduler's slots out there.

        ``identities``: a number for each worker that is the same at every scheduler, whatever order lists had.
        """

    def update_workers(self, now: float, slots_out: Mapping[int, float], identities: Mapping[int, int],
                       gone: Iterable[int]) -> None:
        """Follow a list of changes: the workers that it names, and of those the ones that are gone."""

    def record_change(self, now: float, worker: int, slots_out: float, increased: bool) -> Sequence[Outgoing]:
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

    def peer_slots(self, worker: int) -> int:
        """The slots that the peers have out at a worker."""

    @property
    def heard_share(self) -> float:
        """The part of all schedulers, this one too, whose slots out are known as they are now, 0 to 1.

        0 where ``out`` is of an earlier moment: then it is no bound on what all send in an instant.
        """

    def counters(self) -> Mapping[str, int]:
        """What operators may want to know of the way that is used, by name."""


class NoExchange:
    """No way at all: nothing is told and nothing known."""

    def set_workers(self, now: float, slots_out: Mapping[int, float], identities: Mapping[int, int]) -> None:
        """Ignored."""

    def update_workers(self, now: float, slots_out: Mapping[int, float], identities: Mapping[int, int],
                       gone: Iterable[int]) -> None:
        """Ignored."""

    def record_change(self, now: float, worker: int, slots_out: float, increased: bool) -> Sequence[Outgoing]:
        """Tell nothing."""
        return NO_MESSAGES

    def announce_capacity(self, capacities: Mapping[int, float]) -> Sequence[Outgoing]:
        """Tell nothing."""
        return NO_MESSAGES

    def on_message(self, now: float, sender: int, data: bytes, capacities: Mapping[int, float],
                   random: Random) -> Received:
        """Drop it."""
        return NOTHING_RECEIVED

    def take_wakeup(self) -> float | None:
        """None is wanted."""
        return None

    def on_wakeup(self, now: float, due: float, random: Random) -> Sequence[Outgoing]:
        """Tell nothing."""
        return NO_MESSAGES

    def complete(self, now: float) -> bool:
        """Nothing is known."""
        return False

    def peer_slots(self, worker: int) -> int:
        """Nothing is known."""
        return 0

    @property
    def heard_share(self) -> float:
        """Nobody is heard."""
        return 0.0

    def counters(self) -> Mapping[str, int]:
        """None."""
        return {}
