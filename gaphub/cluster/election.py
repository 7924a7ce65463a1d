"""Owns the term-and-vote machine with leases: when a member asks for votes, gives one, holds and stops holding.

Pure: it opens nothing, reads no clock and draws nothing at random; every time is handed in, in milliseconds
of the member's own steady clock, which may start anywhere and must never be set.  The host delivers messages
of a peer's present life only, and writes ``memory`` to disk before it sends what a call left in ``out``.

Terms, votes and the refusal to vote while a holder is heard follow Raft (Ongaro and Ousterhout 2014, sections
5.2 and 6; Ongaro's thesis, 9.6 pre-vote and 3.10 transfer).  Leases follow Gray and Cheriton 1989: the holder
counts from *sending*, the voter from *receipt*, and a margin covers the difference of their clocks.  A voter
that restarts without a memory recovers as in Viewstamped Replication Revisited (Liskov and Cowling 2012, 4.3).

The safety argument, which ``gaphub lab explore`` checks: at any instant of a valid lease a majority of the
voters is under a promise to its holder, or is the next life of such a voter and abstains; a voter is never
under two promises; two majorities meet.  A log can be built on it: terms grow, a voter gives one vote a term,
and the holder of a term is unique as long as fewer than a majority lose their memory together.
"""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Iterable
from enum import IntEnum
from typing import Any

from .types import MINUTE_MS, Kind, LeaseChange, Member, Memory, Message, Rules

TERM_JUMP_MOST = 1_000_000  # a term further ahead than this is not believed, whoever says it
ROUNDS_KEPT = 8  # renewals that may still be answered
NEVER = -1e18


class Role(IntEnum):
    """What a member is doing."""

    FOLLOWER = 0
    ASKING = 1
    BALLOT = 2
    HOLDER = 3


class Peer:
    """What was last heard of another member, in its present life."""

    __slots__ = ("heard_at", "ready", "amnesic", "term", "priority")

    def __init__(self) -> None:
        self.heard_at = NEVER
        self.ready = False
        self.amnesic = True
        self.term = 0
        self.priority = 0


class Election:
    """One member's machine.

    ``tick`` and ``receive`` leave messages in ``out`` as (member id, message) and changes of its own lease in
    ``moves``; the host takes both after every call.  ``next_due`` says when ``tick`` is next of use.
    """

    def __init__(self, me: int, members: Iterable[Member], rules: Rules, now: float, seed: int = 0,
                 memory: Memory | None = None) -> None:
        self.rules = rules
        self.me = me
        self.members = {m.id: m for m in members}
        self.mine = self.members[me]
        self.others = sorted(i for i in self.members if i != me)
        self.voters = frozenset(m.id for m in self.members.values() if m.votes)
        self.majority = len(self.voters) // 2 + 1
        self.seed = seed
        self.out: list[tuple[int, Message]] = []
        self.moves: list[LeaseChange] = []
        self.ready = False
        self.term = memory.term if memory else 0
        self.voted_for = memory.voted_for if memory else 0
        self.amnesic = memory is None
        # What a former life promised may hold for a whole lease from now, memory or not.
        self.abstain_until = now + rules.lease_ms
        self.promise_to = 0
        self.promise_term = 0
        self.promise_until = NEVER
        self.role = Role.FOLLOWER
        self.holder = 0
        self.peers = {i: Peer() for i in self.others}
        self.stand_at = now + rules.lease_ms + self._delay(now)
        self.round = 0
        self.asked_at = NEVER
        self.grants: set[int] = set()
        self.refusals: set[int] = set()
        self.rounds: dict[int, tuple[float, set[int]]] = {}
        self.lease_until = NEVER
        self.held_since = NEVER
        self.released = 0  # the last term that this member gave up holding
        self.renew_at = NEVER
        self.hello_at = now
        self.granted: deque[float] = deque()
        self.refused_jumps = 0
        self.met = False  # whether its abstention is over and the others were heard

    # -- what the host asks --

    @property
    def memory(self) -> Memory | None:
        """What must be on disk before ``out`` is sent; None while it has none that may be relied on.

        Guards against a member that forgot, wrote its empty memory down, and restarted as if it remembered.
        """
        return None if self.amnesic else Memory(self.term, self.voted_for)

    def holds(self, now: float) -> bool:
        """Whether this member's lease is valid at this moment of its own clock."""
        return self.role is Role.HOLDER and now < self.lease_until

    def lease_left(self, now: float) -> float:
        """Milliseconds left of the own lease; 0 if there is none."""
        return max(0.0, self.lease_until - now) if self.role is Role.HOLDER else 0.0

    def alive(self, member: int, now: float) -> bool:
        """Whether a member was heard lately."""
        return member == self.me or now - self.peers[member].heard_at < self.rules.suspect_ms

    def may_vote(self, now: float) -> bool:
        """Whether this member may give votes and promises: it is a voter whose former life is surely over."""
        return self.me in self.voters and now >= self.abstain_until and not self.amnesic

    def next_due(self) -> float:
        """When ``tick`` is next of use."""
        if self.role is Role.HOLDER:
            return min(self.renew_at, self.lease_until)
        if self.role in (Role.ASKING, Role.BALLOT):
            return min(self.asked_at + self.rules.ballot_ms, self.hello_at)
        due = self.hello_at
        if self.mine.stands and self.ready and not self.amnesic:
            due = min(due, max(self.stand_at, self.abstain_until, self.promise_until))
        return due

    # -- time --

    def tick(self, now: float) -> None:
        """Do what is due."""
        if self.role is Role.HOLDER and now >= self.lease_until:
            self._lose(now, "expired")
        if self.role in (Role.ASKING, Role.BALLOT) and now >= self.asked_at + self.rules.ballot_ms:
            self._abandon(now)
        if self.role is Role.HOLDER:
            if now >= self.renew_at:
                self._preempt(now)
            if self.role is Role.HOLDER and now >= self.renew_at:
                self._renew(now)
            return
        if now >= self.hello_at:
            self.hello_at = now + self.rules.hello_ms
            self._all(Kind.HELLO)
        self._remember(now)
        if not self.met and self.may_vote(now):
            self.met = True  # only now it knows who comes before it
            self.stand_at = now + self._delay(now)
        if (self.role is Role.FOLLOWER and self.mine.stands and self.ready and now >= self.stand_at
                and not self._promised(now) and self.may_vote(now)):
            self._ask(now)

    def set_ready(self, ready: bool, now: float) -> None:
        """Whether this member could serve; one that is not ready does not stand, and hands over if it holds."""
        if ready and not self.ready:
            self.stand_at = max(self.stand_at, now + self._delay(now))
        self.ready = ready
        if not ready and self.role is Role.HOLDER:
            self.hand_over(now, "unready")
        elif not ready and self.role is not Role.FOLLOWER:
            self._abandon(now)

    def hand_over(self, now: float, reason: str = "handed over", to: int = 0) -> int:
        """Give the lease up at once and name a successor, the ready member of highest priority.

        The lease has ended before any message says so.  Returns the successor's id; 0 if there is none.
        """
        if self.role is not Role.HOLDER:
            return 0
        to = to or self.successor(now)
        term = self.term
        self._lose(now, reason)
        self.released = term
        for i in self.others:
            self._say(i, Kind.TRANSFER if i == to else Kind.RELEASE, term)
        # A moment for the successor; its failure leaves this member free to stand again.
        self.stand_at = now + self.rules.lease_ms + self._delay(now)
        return to

    def successor(self, now: float) -> int:
        """Who would take over: alive, ready, may stand; the highest priority, then the smallest id; 0: nobody."""
        found = [(-self.members[i].priority, i) for i in self.others
                 if self.members[i].stands and self.alive(i, now) and self.peers[i].ready
                 and not self.peers[i].amnesic]
        return min(found)[1] if found else 0

    def _preempt(self, now: float) -> None:
        if not self.rules.preempt_ms or now - self.held_since < self.rules.preempt_ms:
            return
        to = self.successor(now)
        if to and self.members[to].priority > self.mine.priority:
            self.hand_over(now, "preempted", to)

    # -- messages --

    def receive(self, now: float, sender: int, message: Message) -> None:
        """Take a message of a member's present life, already known to be authentic and fresh."""
        peer = self.peers.get(sender)
        if peer is None:
            return
        if message.term > self.term + TERM_JUMP_MOST:
            self.refused_jumps += 1
            return
        peer.heard_at, peer.ready, peer.amnesic = now, message.ready, message.amnesic
        peer.term, peer.priority = message.term, message.priority
        if self.role is Role.HOLDER and now >= self.lease_until:
            self._lose(now, "expired")
        self._remember(now)
        kind = message.kind
        if kind is Kind.ASK:
            self._on_ask(now, sender, message)
        elif kind is Kind.ASK_OK:
            self._on_ask_ok(now, sender, message)
        elif kind is Kind.VOTE:
            self._on_vote(now, sender, message)
        elif kind is Kind.VOTE_OK:
            self._on_vote_ok(now, sender, message)
        elif kind is Kind.RENEW:
            self._on_renew(now, sender, message)
        elif kind is Kind.RENEW_OK:
            self._on_renew_ok(now, sender, message)
        elif kind is Kind.NO:
            self._on_term(now, message.term)
            self._on_no(now, sender, message)
        elif kind is Kind.HELLO:
            self._on_term(now, message.term)
        else:
            self._on_release(now, sender, message)

    def _on_term(self, now: float, term: int) -> None:
        """A term that somebody has reached; whoever asked or held in a lower one stops."""
        if term > self.term:
            if self.role is Role.HOLDER:
                self._lose(now, "outvoted")
            elif self.role is not Role.FOLLOWER:
                self._abandon(now)
            self.term, self.voted_for = term, 0

    def _on_no(self, now: float, sender: int, message: Message) -> None:
        """Guards against waiting a whole ballot out that cannot be won any more: seen as moves of 0.7 s."""
        if self.role not in (Role.ASKING, Role.BALLOT) or message.round != self.round:
            return
        self.refusals.add(sender)
        if len(self.voters - self.refusals) < self.majority:
            self._abandon(now)

    def _on_ask(self, now: float, sender: int, message: Message) -> None:
        if message.term > self.term and self._would(now, sender):
            self._say(sender, Kind.ASK_OK, message.term, message.round)
        else:
            self._say(sender, Kind.NO, round_=message.round)

    def _would(self, now: float, sender: int) -> bool:
        """Whether a vote for the sender would break no promise and no bound."""
        if not self.may_vote(now) or self.holds(now):
            return False
        if self._promised(now) and self.promise_to not in (sender, self.me):
            return False
        return not self._too_many(now)

    def _on_ask_ok(self, now: float, sender: int, message: Message) -> None:
        if self.role is not Role.ASKING or message.round != self.round or sender not in self.voters:
            return
        self.grants.add(sender)
        if len(self.grants) >= self.majority:
            self._ballot(now)

    def _on_vote(self, now: float, sender: int, message: Message) -> None:
        if message.holder and self.promise_to == message.holder and self.promise_term < message.term:
            self.promise_until = now  # the candidate was named by a holder that has given up: see ``hand_over``
        if not self._would(now, sender) or message.term < self.term or (
                message.term == self.term and self.voted_for not in (0, sender)):
            self._say(sender, Kind.NO, round_=message.round)
            return
        if self.role is not Role.FOLLOWER:
            self._abandon(now)
        self.term, self.voted_for = message.term, sender
        self._promise(now, sender)
        self._grant(now)
        self._say(sender, Kind.VOTE_OK, message.term, message.round)

    def _on_vote_ok(self, now: float, sender: int, message: Message) -> None:
        if (self.role is not Role.BALLOT or message.round != self.round or message.term != self.term
                or sender not in self.voters):
            return
        self.grants.add(sender)
        if len(self.grants) >= self.majority:
            self._win(now)

    def _on_renew(self, now: float, sender: int, message: Message) -> None:
        if message.term < self.term:
            self._say(sender, Kind.NO, round_=message.round)
            return
        if self.holds(now):
            return
        if self._promised(now) and self.promise_to == self.me:
            self._abandon(now)
        if self._promised(now) and self.promise_to != sender:
            return
        if message.term > self.term:
            if self.role is not Role.FOLLOWER:
                self._abandon(now)
            self.term, self.voted_for = message.term, sender
        elif self.role is not Role.FOLLOWER:
            self._abandon(now)
        self.holder = sender
        if self.may_vote(now):
            self._promise(now, sender)
            self._say(sender, Kind.RENEW_OK, message.term, message.round)
        else:
            self.stand_at = now + self.rules.lease_ms + self._delay(now)
            self._say(sender, Kind.HELLO)

    def _on_renew_ok(self, now: float, sender: int, message: Message) -> None:
        found = self.rounds.get(message.round)
        if not self.holds(now) or message.term != self.term or found is None or sender not in self.voters:
            return
        sent_at, answers = found
        answers.add(sender)
        if len(answers) >= self.majority:
            self.lease_until = max(self.lease_until, sent_at + self.rules.own_lease_ms)

    def _on_release(self, now: float, sender: int, message: Message) -> None:
        if self.promise_to == sender and self.promise_term <= message.term:
            self.promise_until = now
        if self.holder == sender:
            self.holder = 0
        if message.kind is Kind.TRANSFER and message.term == self.term and self.role is Role.FOLLOWER:
            if self.ready and self.mine.stands and self.may_vote(now) and not self._promised(now):
                self._ballot(now, released=sender)
                return
        if self.role is Role.FOLLOWER:
            # The successor goes first; if it fails, the others stand in their order.
            self.stand_at = now + self.rules.ballot_ms + self._delay(now)

    # -- what a member does --

    def _remember(self, now: float) -> None:
        """End the recovery of a voter without memory once enough others told it their terms.

        Others that remember must make a majority without this member: any majority that elected a holder by
        this member's forgotten vote has one of them in it.  Or every other voter was heard.  Only what was
        heard after the abstention counts: a ballot that the forgotten vote was for is over by then.
        """
        if not self.amnesic or now < self.abstain_until:
            return
        heard = [self.peers[i] for i in self.others
                 if i in self.voters and self.peers[i].heard_at >= self.abstain_until]
        sound = [p for p in heard if not p.amnesic]
        if len(sound) >= self.majority or len(heard) == len(self.voters - {self.me}):
            self.amnesic = False
            top = max((p.term for p in heard), default=0)
            if top >= self.term:
                self.term, self.voted_for = top, -1  # it may have voted in that term: not again
            if not self.holds(now):
                self.stand_at = max(self.stand_at, now + self._delay(now))

    def _promised(self, now: float) -> bool:
        return now < self.promise_until

    def _promise(self, now: float, to: int) -> None:
        self.promise_to, self.promise_term = to, self.term
        self.promise_until = now + self.rules.lease_ms
        if to != self.me:
            self.stand_at = self.promise_until + self._delay(now)

    def _too_many(self, now: float) -> bool:
        if not self.rules.moves_most:
            return False
        while self.granted and self.granted[0] <= now - MINUTE_MS:
            self.granted.popleft()
        return len(self.granted) >= self.rules.moves_most

    def _grant(self, now: float) -> None:
        if self.rules.moves_most:
            self.granted.append(now)

    def _rank(self, now: float) -> int:
        """How many members that could stand now come before this one."""
        mine = (-self.mine.priority, self.me)
        return sum(1 for i in self.others if self.members[i].stands and self.alive(i, now)
                   and self.peers[i].ready and (-self.members[i].priority, i) < mine)

    def _delay(self, now: float) -> float:
        """Before standing: by rank, and a jitter that is a pure function of the seed, the member and the term."""
        part = zlib.crc32(f"{self.seed}/{self.me}/{self.term}/{int(now)}".encode()) / 2.0**32
        rank = self._rank(now) if hasattr(self, "peers") else 0
        return rank * self.rules.stagger_ms + part * self.rules.jitter_ms

    def _ask(self, now: float) -> None:
        if self._too_many(now):
            self.stand_at = now + self.rules.lease_ms
            return
        self.role = Role.ASKING
        self.round += 1
        self.asked_at = now
        self.grants, self.refusals = {self.me}, set()
        self._all(Kind.ASK, self.term + 1, self.round)

    def _ballot(self, now: float, released: int = 0) -> None:
        self.role = Role.BALLOT
        self.term += 1
        self.voted_for = self.me
        self.round += 1
        self.asked_at = now
        self.grants, self.refusals = {self.me}, set()
        self._promise(now, self.me)
        self._grant(now)
        self.holder = released
        self._all(Kind.VOTE, self.term, self.round)
        self.holder = 0

    def _win(self, now: float) -> None:
        until = self.asked_at + self.rules.own_lease_ms
        if now >= until:
            self._abandon(now)
            return
        self.role = Role.HOLDER
        self.holder = self.me
        self.lease_until = until
        self.held_since = now
        self.rounds = {}
        self.moves.append(LeaseChange(True, self.term, "elected"))
        self._renew(now)

    def _renew(self, now: float) -> None:
        self.round += 1
        self.rounds[self.round] = (now, {self.me})
        for old in [r for r in self.rounds if r <= self.round - ROUNDS_KEPT]:
            del self.rounds[old]
        self._promise(now, self.me)
        self.renew_at = now + self.rules.renew_ms
        self._all(Kind.RENEW, self.term, self.round)

    def _lose(self, now: float, reason: str) -> None:
        self.moves.append(LeaseChange(False, self.term, reason))
        self.lease_until = NEVER
        self.rounds = {}
        self.holder = 0
        self._abandon(now)

    def _abandon(self, now: float) -> None:
        """Stop asking, or stop holding: what this member promised itself was relied on by nobody else."""
        pause = self.rules.ballot_ms * (0.1 if self.role is Role.ASKING else 0.5)
        self.role = Role.FOLLOWER
        self.round += 1  # late answers to what was asked count for nothing
        self.grants, self.refusals = set(), set()
        if self.promise_to == self.me:
            self.promise_until = NEVER
        self.stand_at = now + pause + self._delay(now)

    def _say(self, to: int, kind: Kind, term: int | None = None, round_: int = 0) -> None:
        self.out.append((to, self.greeting()._replace(kind=kind, term=self.term if term is None else term,
                                                      round=round_)))

    def greeting(self) -> Message:
        """A sign of life.  ``amnesic`` also while it abstains: it would be no good successor."""
        return Message(Kind.HELLO, self.term, 0, self.ready, not self.met, self.mine.priority, self.holder)

    def _all(self, kind: Kind, term: int | None = None, round_: int = 0) -> None:
        for i in self.others:
            self._say(i, kind, term, round_)

    # -- for explorers --

    def freeze_state(self) -> tuple[Any, ...]:
        """All that decides what it does next, as a value that can be compared and hashed."""
        return (self.ready, self.term, self.voted_for, self.amnesic, self.abstain_until, self.promise_to,
                self.promise_term, self.promise_until, self.role, self.holder,
                tuple((p.heard_at, p.ready, p.amnesic, p.term) for p in self.peers.values()), self.stand_at,
                self.round, self.asked_at, frozenset(self.grants), frozenset(self.refusals),
                tuple((r, at, frozenset(a)) for r, (at, a) in self.rounds.items()), self.lease_until,
                self.held_since, self.released, self.renew_at, self.hello_at, self.met, tuple(self.granted))
