"""Owns the words that members say to each other and the figures they go by; plain values, no behaviour.

Nothing here may do I/O, read a clock or draw at random.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

MEMBERS_MOST = 7
MEMBERS_LEAST = 2


class Kind(IntEnum):
    """What a message says."""

    HELLO = 1  # I live; this is my term
    ASK = 2  # would you vote for me in this term?  (Raft's pre-vote; changes nothing)
    ASK_OK = 3
    VOTE = 4  # vote for me in this term, and promise a lease
    VOTE_OK = 5
    RENEW = 6  # I hold; promise the lease again
    RENEW_OK = 7
    NO = 8  # what you said is of an old term, or I may not: my own term is in ``term``
    RELEASE = 9  # I hold no longer: what you promised me for this term is void
    TRANSFER = 10  # RELEASE, and stand at once: you are my successor


class Message(NamedTuple):
    """One message; ``round`` names the ballot or renewal that it belongs to.

    ``term`` 0 to 2**63-1; ``round`` 0 to 2**63-1, chosen by whoever asks and handed back in the answer.
    """

    kind: Kind
    term: int
    round: int = 0
    ready: bool = False
    amnesic: bool = False  # it may not vote (yet): it abstains, recovers its memory, or is no voter
    priority: int = 0
    holder: int = 0  # whom it believes to hold; 0: nobody


class Memory(NamedTuple):
    """What a voter must not forget: written to disk before any message that follows from it."""

    term: int = 0
    voted_for: int = 0


@dataclass(frozen=True)
class Member:
    """One instance of the cluster."""

    id: int  # 1 to 255
    name: str
    votes: bool = True
    stands: bool = True  # False: a witness, or an instance that must never hold
    priority: int = 100  # 0 to 255; a higher one stands sooner


@dataclass(frozen=True)
class Rules:
    """The figures of an election, in milliseconds unless a name says otherwise.

    ``margin`` is the drift margin: a holder counts its lease as shorter by this part than its voters count
    their promises.  Two leases never overlap while every member's clock runs within ``drift`` of real time.
    """

    lease_ms: float = 400.0
    renew_ms: float = 100.0
    margin: float = 0.1  # 0 to 0.5
    ballot_ms: float = 150.0  # for the answers to one ballot
    stagger_ms: float = 40.0  # a candidate of lower rank stands so much later
    jitter_ms: float = 40.0
    hello_ms: float = 100.0  # between two signs of life of a member that does not hold
    suspect_ms: float = 350.0  # a member unheard for so long counts as down
    moves_most: int = 30  # votes that one voter gives in a minute; 0: any number
    preempt_ms: float = 0.0  # a holder hands over to a ready member of higher priority after so long; 0: never

    @property
    def own_lease_ms(self) -> float:
        """How long a holder believes its lease, from the sending of the round that won it."""
        return self.lease_ms * (1.0 - self.margin)

    @property
    def drift(self) -> float:
        """The largest error of clock rate that the margin covers: (1-m) <= (1-d)/(1+d)."""
        return self.margin / (2.0 - self.margin)


MINUTE_MS = 60_000.0


class LeaseChange(NamedTuple):
    """A lease began or ended at this member; ``why`` is one word for logs."""

    gained: bool
    term: int
    reason: str
