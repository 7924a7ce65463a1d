"""Messages between cluster members, and the parameters of an election: plain values without behaviour.

Nothing here does I/O, reads a clock or draws random numbers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

MAX_MEMBERS = 7
MIN_MEMBERS = 2


class Kind(IntEnum):
    """The type of a message; the number is its value on the wire."""

    HELLO = 1  # heartbeat with the sender's term
    PRE_VOTE = 2  # asks whether the receiver would vote for the sender in this term (Raft); changes no state
    PRE_VOTE_GRANTED = 3
    VOTE = 4  # asks for a vote in this term and a promise of the lease
    VOTE_GRANTED = 5
    RENEW = 6  # from the holder: asks for the promise of the lease to be extended
    RENEW_ACK = 7
    REJECT = 8  # the request has an old term or may not be granted; ``term`` is the sender's own term
    RELEASE = 9  # the sender has given up the lease; promises made to it for this term are void
    TRANSFER = 10  # RELEASE, and the receiver is the successor: it starts a ballot at once


class Message(NamedTuple):
    """One message; ``round`` identifies the ballot or renewal that it belongs to.

    ``term`` and ``round`` are 0 to 2**63-1.  The requester chooses ``round``, and the answer repeats it.
    """

    kind: Kind
    term: int
    round: int = 0
    ready: bool = False
    abstaining: bool = False  # may not vote: not yet after a restart, or it has no vote at all
    priority: int = 0
    holder: int = 0  # the member that the sender believes to hold the lease; 0: none


class PersistentState(NamedTuple):
    """What a voter must not lose: written to disk before any message that depends on it is sent."""

    term: int = 0
    voted_for: int = 0


@dataclass(frozen=True)
class Member:
    """One member of the cluster."""

    id: int  # 1 to 255
    name: str
    votes: bool = True
    stands: bool = True  # may become a candidate; False for a witness, or if it must never hold the lease
    priority: int = 100  # 0 to 255; members of higher priority become candidates first


@dataclass(frozen=True)
class ElectionParameters:
    """The parameters of an election; durations in milliseconds.

    ``margin`` covers clock drift: a holder takes its lease to be shorter by this fraction than its voters take
    their promises to be.  Two leases never overlap while every member's clock runs within ``max_clock_drift``
    of real time.
    """

    lease_ms: float = 400.0
    renew_ms: float = 100.0
    margin: float = 0.1  # 0 to 0.5
    ballot_ms: float = 150.0  # time-out for the answers to one pre-vote or ballot
    stagger_ms: float = 40.0  # delay of a candidacy per rank, so that candidates do not compete
    jitter_ms: float = 40.0  # upper bound of the pseudo-random delay of a candidacy
    hello_ms: float = 100.0  # interval between heartbeats of a member that does not hold the lease
    suspect_ms: float = 350.0  # a member that was not heard from for this long is considered down
    moves_most: int = 30  # votes that one voter grants per minute; 0: unlimited
    preempt_ms: float = 0.0  # after holding this long, hand over to a ready member of higher priority; 0: never

    @property
    def holder_lease_ms(self) -> float:
        """How long a holder relies on its lease, counted from sending the request that won or renewed it."""
        return self.lease_ms * (1.0 - self.margin)

    @property
    def max_clock_drift(self) -> float:
        """The largest error d of a clock's rate that the margin m covers: 1-m <= (1-d)/(1+d)."""
        return self.margin / (2.0 - self.margin)


MINUTE_MS = 60_000.0


class LeaseChange(NamedTuple):
    """A lease began or ended at this member; ``reason`` is a short text for logs."""

    gained: bool
    term: int
    reason: str
