"""The interface of an occupancy exchange, and the exchange that does nothing.

An exchange tells other schedulers (peers) this scheduler's slots out at each worker, and adds up theirs.  It has
no I/O, no clock and no randomness: the caller passes times and random numbers in, and gets messages and wakeup
times back.  It takes no part in picking workers, reports nothing about a worker that was never listed, and raises
nothing on received data: malformed messages are dropped.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple, Protocol

ALL_PEERS = -1  # as the peer of a message: sent to every peer
CAPACITY_REPLIES = 4  # mean number of peers that send a restarted scheduler the slots of each kind of worker

Random = Callable[[], float]  # uniform in [0, 1)


class Outgoing(NamedTuple):
    """A message to send now."""

    peer: int  # or ALL_PEERS
    data: bytes


class Received(NamedTuple):
    """The result of a received message."""

    replies: Sequence[Outgoing] = ()
    capacities: Mapping[int, int] = {}  # slots of a worker by kind, as known to the peer


NO_MESSAGES: tuple[Outgoing, ...] = ()
NOTHING_RECEIVED = Received()


class OccupancyExchange(Protocol):
    """Keeps the sums over all peers of their slots out at each worker.

    After each call the caller sends the returned messages in order, then calls ``take_wakeup`` until it returns
    None.
    """

    def set_workers(self, now: float, slots_out: Mapping[int, float], identities: Mapping[int, int]) -> None:
        """Take a complete worker list: this scheduler's slots out at each listed worker, in the list's order.

        ``identities``: for each worker a number that is the same at every scheduler, regardless of list order.
        """

    def update_workers(self, now: float, slots_out: Mapping[int, float], identities: Mapping[int, int],
                       gone: Iterable[int]) -> None:
        """Take the changes of the worker list: its new or changed workers, and those that are ``gone``."""

    def record_change(self, now: float, worker: int, slots_out: float, increased: bool) -> Sequence[Outgoing]:
        """Record that this scheduler now has ``slots_out`` at a worker; ``increased``: more than before."""

    def announce_capacity(self, capacities: Mapping[int, float]) -> Sequence[Outgoing]:
        """Announce that the slots of one more kind are known; ``capacities``: all known slots, by kind."""

    def on_message(self, now: float, sender: int, data: bytes, capacities: Mapping[int, float],
                   random: Random) -> Received:
        """Handle a peer's message; ``capacities``: the slots that this scheduler knows, by kind of worker."""

    def take_wakeup(self) -> float | None:
        """Return a time for ``on_wakeup`` that was not returned before, or None."""

    def on_wakeup(self, now: float, due: float, random: Random) -> Sequence[Outgoing]:
        """Do what is due; ``due`` is the time that ``take_wakeup`` returned."""

    def complete(self, now: float) -> bool:
        """Whether enough of the peers' occupancy is known for ``peer_slots`` to be used."""

    def peer_slots(self, worker: int) -> int:
        """The slots that all peers together have out at a worker."""

    @property
    def heard_share(self) -> float:
        """The share of all schedulers, this one included, whose present slots out are known, 0 to 1.

        0 where ``peer_slots`` describes an earlier moment and so does not bound what all send at the same time.
        """

    def counters(self) -> Mapping[str, int]:
        """Counters and gauges of this exchange for operators, by name."""


class NoExchange:
    """Sends nothing and knows nothing."""

    def set_workers(self, now: float, slots_out: Mapping[int, float], identities: Mapping[int, int]) -> None:
        """Ignore the list."""

    def update_workers(self, now: float, slots_out: Mapping[int, float], identities: Mapping[int, int],
                       gone: Iterable[int]) -> None:
        """Ignore the list."""

    def record_change(self, now: float, worker: int, slots_out: float, increased: bool) -> Sequence[Outgoing]:
        """Send nothing."""
        return NO_MESSAGES

    def announce_capacity(self, capacities: Mapping[int, float]) -> Sequence[Outgoing]:
        """Send nothing."""
        return NO_MESSAGES

    def on_message(self, now: float, sender: int, data: bytes, capacities: Mapping[int, float],
                   random: Random) -> Received:
        """Drop the message."""
        return NOTHING_RECEIVED

    def take_wakeup(self) -> float | None:
        """No wakeup is ever due."""
        return None

    def on_wakeup(self, now: float, due: float, random: Random) -> Sequence[Outgoing]:
        """Send nothing."""
        return NO_MESSAGES

    def complete(self, now: float) -> bool:
        """Nothing is known."""
        return False

    def peer_slots(self, worker: int) -> int:
        """Nothing is known."""
        return 0

    @property
    def heard_share(self) -> float:
        """No peer is heard."""
        return 0.0

    def counters(self) -> Mapping[str, int]:
        """There are none."""
        return {}
