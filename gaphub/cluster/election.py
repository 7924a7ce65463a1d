"""The leader election state machine with leases: how a member wins, renews and gives up the lease.

Pure: it does no I/O, reads no clock and draws no random numbers.  Every time is passed in, in milliseconds of the
member's own monotonic clock, which may start at any value.  The host delivers only messages of a peer's current
incarnation, and writes ``persistent_state`` to disk before it sends the messages that a call left in ``outbox``.

Terms, votes and the refusal to vote while a holder is heard follow Raft (Ongaro and Ousterhout 2014, sections
5.2 and 6; Ongaro's thesis, 9.6 pre-vote and 3.10 leadership transfer).  Leases follow Gray and Cheriton 1989: the
holder counts its lease from *sending* the request, the voter counts its promise from *receiving* it, and a margin
covers the drift between their clocks.  A voter that restarts without its persistent state recovers as in
Viewstamped Replication Revisited (Liskov and Cowling 2012, 4.3).

The safety argument, which ``gaphub lab explore`` checks: at any instant of a valid lease, each voter of some
majority either has a promise to the holder in force, or has restarted since it made the promise and abstains; a
voter never has two promises in force; any two majorities intersect.  A replicated log could be built on it: terms
only grow, a voter grants one vote per term, and a term has a single holder as long as fewer than a majority lose
their persistent state at the same time.
"""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Iterable
from enum import IntEnum
from typing import Any

from .types import MINUTE_MS, ElectionParameters, Kind, LeaseChange, Member, Message, PersistentState

MAX_TERM_JUMP = 1_000_000  # messages with a term further ahead than this are rejected, from any sender
MAX_PENDING_RENEWALS = 8  # latest renewals whose answers still count
NEVER = -1e18  # ms, earlier than any time: the timer does not run, the event has not happened


class Role(IntEnum):
    """The role of a member; the names are shown in the status.  ASKING: in a pre-vote; BALLOT: in a vote."""

    FOLLOWER = 0
    ASKING = 1
    BALLOT = 2
    HOLDER = 3


class PeerState:
    """The state that another member reported in its last message."""

    __slots__ = ("heard_at", "ready", "abstaining", "term", "priority")

    def __init__(self) -> None:
        self.heard_at = NEVER
        self.ready = False
        self.abstaining = True
        self.term = 0
        self.priority = 0


class Election:
    """The election state machine of one member.

    ``tick`` and ``receive`` leave messages in ``outbox`` as (member id, message), and changes of the member's own
    lease in ``lease_changes``; the host takes both after every call.  ``next_due`` returns the time at which
    ``tick`` must be called next.

    "To stand" is to become a candidate, from ``stand_at`` on.
    """

    def __init__(self, me: int, members: Iterable[Member], parameters: ElectionParameters, now: float,
                 seed: int = 0, persistent_state: PersistentState | None = None) -> None:
        self.parameters = parameters
        self.me = me
        self.members = {m.id: m for m in members}
        self.own_member = self.members[me]
        self.others = sorted(i for i in self.members if i != me)
        self.voters = frozenset(m.id for m in self.members.values() if m.votes)
        self.majority = len(self.voters) // 2 + 1
        self.seed = seed
        self.outbox: list[tuple[int, Message]] = []
        self.lease_changes: list[LeaseChange] = []
        self.ready = False
        self.term = persistent_state.term if persistent_state else 0
        self.voted_for = persistent_state.voted_for if persistent_state else 0
        self.recovering = persistent_state is None
        # A promise made just before the restart may be in force for a whole lease from now, even if the
        # persistent state survived: promises are not written to disk.
        self.abstain_until = now + parameters.lease_ms
        self.promise_to = 0
        self.promise_term = 0
        self.promise_until = NEVER
        self.role = Role.FOLLOWER
        self.holder = 0
        self.peers = {i: PeerState() for i in self.others}
        self.stand_at = now + parameters.lease_ms + self._candidacy_delay_ms(now)
        self.round = 0
        self.round_started_at = NEVER
        self.grants: set[int] = set()
        self.rejections: set[int] = set()
        self.pending_renewals: dict[int, tuple[float, set[int]]] = {}
        self.lease_until = NEVER
        self.held_since = NEVER
        self.released_term = 0  # the last term in which this member handed over the lease
        self.renew_at = NEVER
        self.next_hello_at = now
        self.vote_times: deque[float] = deque()
        self.rejected_term_jumps = 0
        self.participating = False  # set at the first tick after the abstention and the recovery

    # -- queries of the host --

    @property
    def persistent_state(self) -> PersistentState | None:
        """The state that must be on disk before ``outbox`` is sent; None while the member is recovering.

        A recovering member must not write its empty state: after another restart it would count as intact.
        """
        return None if self.recovering else PersistentState(self.term, self.voted_for)

    def holds(self, now: float) -> bool:
        """Whether this member's lease is valid at this time of its own clock."""
        return self.role is Role.HOLDER and now < self.lease_until

    def lease_remaining_ms(self, now: float) -> float:
        """Milliseconds left of this member's lease; 0 if it has none."""
        return max(0.0, self.lease_until - now) if self.role is Role.HOLDER else 0.0

    def alive(self, member: int, now: float) -> bool:
        """Whether a message of the member arrived within ``suspect_ms``."""
        return member == self.me or now - self.peers[member].heard_at < self.parameters.suspect_ms

    def may_vote(self, now: float) -> bool:
        """Whether it may grant votes and make promises: a voter with its state, past the abstention."""
        return self.me in self.voters and now >= self.abstain_until and not self.recovering

    def next_due(self) -> float:
        """The time at which ``tick`` must be called next."""
        if self.role is Role.HOLDER:
            return min(self.renew_at, self.lease_until)
        if self.role in (Role.ASKING, Role.BALLOT):
            return min(self.round_started_at + self.parameters.ballot_ms, self.next_hello_at)
        due = self.next_hello_at
        if self.own_member.stands and self.ready and not self.recovering:
            due = min(due, max(self.stand_at, self.abstain_until, self.promise_until))
        return due

    # -- timers --

    def tick(self, now: float) -> None:
        """Run the timers that have expired."""
        if self.role is Role.HOLDER and now >= self.lease_until:
            self._end_lease(now, "expired")
        if self.role in (Role.ASKING, Role.BALLOT) and now >= self.round_started_at + self.parameters.ballot_ms:
            self._step_down(now)
        if self.role is Role.HOLDER:
            if now >= self.renew_at:
                self._preempt(now)
            if self.role is Role.HOLDER and now >= self.renew_at:
                self._renew(now)
            return
        if now >= self.next_hello_at:
            self.next_hello_at = now + self.parameters.hello_ms
            self._broadcast(Kind.HELLO)
        self._try_recover(now)
        if not self.participating and self.may_vote(now):
            self.participating = True  # its rank is known only now, as it has heard the others
            self.stand_at = now + self._candidacy_delay_ms(now)
        if (self.role is Role.FOLLOWER and self.own_member.stands and self.ready and now >= self.stand_at
                and not self._has_promised(now) and self.may_vote(now)):
            self._start_pre_vote(now)

    def set_ready(self, ready: bool, now: float) -> None:
        """Set whether this member could serve; one that is not ready does not stand, and hands over its lease."""
        if ready and not self.ready:
            self.stand_at = max(self.stand_at, now + self._candidacy_delay_ms(now))
        self.ready = ready
        if not ready and self.role is Role.HOLDER:
            self.hand_over(now, "unready")
        elif not ready and self.role is not Role.FOLLOWER:
            self._step_down(now)

    def hand_over(self, now: float, reason: str = "handed over", to: int = 0) -> int:
        """Give up the lease at once in favour of a successor, by default the ready member of highest priority.

        The lease ends before any message about it is sent.  Returns the successor's id; 0 if there is none.
        """
        if self.role is not Role.HOLDER:
            return 0
        to = to or self.successor(now)
        term = self.term
        self._end_lease(now, reason)
        self.released_term = term
        for i in self.others:
            self._send(i, Kind.TRANSFER if i == to else Kind.RELEASE, term)
        # Leave the successor time to win; if it fails, this member may stand again.
        self.stand_at = now + self.parameters.lease_ms + self._candidacy_delay_ms(now)
        return to

    def successor(self, now: float) -> int:
        """The best ready member that may stand and vote: highest priority, then lowest id; 0 if there is none."""
        candidates = [(-self.members[i].priority, i) for i in self.others
                      if self.members[i].stands and self.alive(i, now) and self.peers[i].ready
                      and not self.peers[i].abstaining]
        return min(candidates)[1] if candidates else 0

    def _preempt(self, now: float) -> None:
        if not self.parameters.preempt_ms or now - self.held_since < self.parameters.preempt_ms:
            return
        to = self.successor(now)
        if to and self.members[to].priority > self.own_member.priority:
            self.hand_over(now, "preempted", to)

    # -- messages --

    def receive(self, now: float, sender: int, message: Message) -> None:
        """Handle a message that is authentic, not replayed, and of the sender's current incarnation."""
        peer = self.peers.get(sender)
        if peer is None:
            return
        if message.term > self.term + MAX_TERM_JUMP:
            self.rejected_term_jumps += 1
            return
        peer.heard_at, peer.ready, peer.abstaining = now, message.ready, message.abstaining
        peer.term, peer.priority = message.term, message.priority
        if self.role is Role.HOLDER and now >= self.lease_until:
            self._end_lease(now, "expired")
        self._try_recover(now)
        kind = message.kind
        if kind is Kind.PRE_VOTE:
            self._on_pre_vote(now, sender, message)
        elif kind is Kind.PRE_VOTE_GRANTED:
            self._on_pre_vote_granted(now, sender, message)
        elif kind is Kind.VOTE:
            self._on_vote(now, sender, message)
        elif kind is Kind.VOTE_GRANTED:
            self._on_vote_granted(now, sender, message)
        elif kind is Kind.RENEW:
            self._on_renew(now, sender, message)
        elif kind is Kind.RENEW_ACK:
            self._on_renew_ack(now, sender, message)
        elif kind is Kind.REJECT:
            self._observe_term(now, message.term)
            self._on_reject(now, sender, message)
        elif kind is Kind.HELLO:
            self._observe_term(now, message.term)
        else:
            self._on_release(now, sender, message)

    def _observe_term(self, now: float, term: int) -> None:
        """Adopt a higher term that another member has reached; a candidate or holder steps down then."""
        if term > self.term:
            if self.role is Role.HOLDER:
                self._end_lease(now, "outvoted")
            elif self.role is not Role.FOLLOWER:
                self._step_down(now)
            self.term, self.voted_for = term, 0

    def _on_reject(self, now: float, sender: int, message: Message) -> None:
        """Step down once the ballot cannot be won any more; waiting for its time-out made failovers take 0.7 s."""
        if self.role not in (Role.ASKING, Role.BALLOT) or message.round != self.round:
            return
        self.rejections.add(sender)
        if len(self.voters - self.rejections) < self.majority:
            self._step_down(now)

    def _on_pre_vote(self, now: float, sender: int, message: Message) -> None:
        if message.term > self.term and self._would_vote_for(now, sender):
            self._send(sender, Kind.PRE_VOTE_GRANTED, message.term, message.round)
        else:
            self._send(sender, Kind.REJECT, round_=message.round)

    def _would_vote_for(self, now: float, sender: int) -> bool:
        """Whether a vote for the sender is allowed by the promise in force and by the vote limit."""
        if not self.may_vote(now) or self.holds(now):
            return False
        if self._has_promised(now) and self.promise_to not in (sender, self.me):
            return False
        return not self._vote_limit_reached(now)

    def _on_pre_vote_granted(self, now: float, sender: int, message: Message) -> None:
        if self.role is not Role.ASKING or message.round != self.round or sender not in self.voters:
            return
        self.grants.add(sender)
        if len(self.grants) >= self.majority:
            self._start_ballot(now)

    def _on_vote(self, now: float, sender: int, message: Message) -> None:
        if message.holder and self.promise_to == message.holder and self.promise_term < message.term:
            self.promise_until = now  # the candidate names the holder that handed over to it, see ``hand_over``
        if not self._would_vote_for(now, sender) or message.term < self.term or (
                message.term == self.term and self.voted_for not in (0, sender)):
            self._send(sender, Kind.REJECT, round_=message.round)
            return
        if self.role is not Role.FOLLOWER:
            self._step_down(now)
        self.term, self.voted_for = message.term, sender
        self._promise(now, sender)
        self._record_vote(now)
        self._send(sender, Kind.VOTE_GRANTED, message.term, message.round)

    def _on_vote_granted(self, now: float, sender: int, message: Message) -> None:
        if (self.role is not Role.BALLOT or message.round != self.round or message.term != self.term
                or sender not in self.voters):
            return
        self.grants.add(sender)
        if len(self.grants) >= self.majority:
            self._begin_lease(now)

    def _on_renew(self, now: float, sender: int, message: Message) -> None:
        if message.term < self.term:
            self._send(sender, Kind.REJECT, round_=message.round)
            return
        if self.holds(now):
            return
        if self._has_promised(now) and self.promise_to == self.me:
            self._step_down(now)
        if self._has_promised(now) and self.promise_to != sender:
            return
        if message.term > self.term:
            if self.role is not Role.FOLLOWER:
                self._step_down(now)
            self.term, self.voted_for = message.term, sender
        elif self.role is not Role.FOLLOWER:
            self._step_down(now)
        self.holder = sender
        if self.may_vote(now):
            self._promise(now, sender)
            self._send(sender, Kind.RENEW_ACK, message.term, message.round)
        else:
            self.stand_at = now + self.parameters.lease_ms + self._candidacy_delay_ms(now)
            self._send(sender, Kind.HELLO)

    def _on_renew_ack(self, now: float, sender: int, message: Message) -> None:
        renewal = self.pending_renewals.get(message.round)
        if not self.holds(now) or message.term != self.term or renewal is None or sender not in self.voters:
            return
        sent_at, answers = renewal
        answers.add(sender)
        if len(answers) >= self.majority:
            self.lease_until = max(self.lease_until, sent_at + self.parameters.holder_lease_ms)

    def _on_release(self, now: float, sender: int, message: Message) -> None:
        if self.promise_to == sender and self.promise_term <= message.term:
            self.promise_until = now
        if self.holder == sender:
            self.holder = 0
        if message.kind is Kind.TRANSFER and message.term == self.term and self.role is Role.FOLLOWER:
            if self.ready and self.own_member.stands and self.may_vote(now) and not self._has_promised(now):
                self._start_ballot(now, released_by=sender)
                return
        if self.role is Role.FOLLOWER:
            # Leave the successor time to win; if it fails, the others stand in order of their rank.
            self.stand_at = now + self.parameters.ballot_ms + self._candidacy_delay_ms(now)

    # -- actions --

    def _try_recover(self, now: float) -> None:
        """End the recovery of a voter without persistent state once enough others have reported their terms.

        The reporting voters with intact state must form a majority without this member: every majority that
        elected a holder with this member's lost vote contains one of them.  Alternatively, every other voter must
        have reported.  Only messages received after the abstention count: by then, a ballot in which the lost vote
        was cast is over.
        """
        if not self.recovering or now < self.abstain_until:
            return
        heard = [self.peers[i] for i in self.others
                 if i in self.voters and self.peers[i].heard_at >= self.abstain_until]
        recovered = [p for p in heard if not p.abstaining]
        if len(recovered) >= self.majority or len(heard) == len(self.voters - {self.me}):
            self.recovering = False
            highest_term = max((p.term for p in heard), default=0)
            if highest_term >= self.term:
                self.term, self.voted_for = highest_term, -1  # it may have voted in that term and must not again
            if not self.holds(now):
                self.stand_at = max(self.stand_at, now + self._candidacy_delay_ms(now))

    def _has_promised(self, now: float) -> bool:
        return now < self.promise_until

    def _promise(self, now: float, to: int) -> None:
        self.promise_to, self.promise_term = to, self.term
        self.promise_until = now + self.parameters.lease_ms
        if to != self.me:
            self.stand_at = self.promise_until + self._candidacy_delay_ms(now)

    def _vote_limit_reached(self, now: float) -> bool:
        if not self.parameters.moves_most:
            return False
        while self.vote_times and self.vote_times[0] <= now - MINUTE_MS:
            self.vote_times.popleft()
        return len(self.vote_times) >= self.parameters.moves_most

    def _record_vote(self, now: float) -> None:
        if self.parameters.moves_most:
            self.vote_times.append(now)

    def _rank(self, now: float) -> int:
        """The number of members that could stand now and come before this one by priority, then id."""
        own_order = (-self.own_member.priority, self.me)
        return sum(1 for i in self.others if self.members[i].stands and self.alive(i, now)
                   and self.peers[i].ready and (-self.members[i].priority, i) < own_order)

    def _candidacy_delay_ms(self, now: float) -> float:
        """The delay before standing: by rank, plus a jitter that is a hash of seed, member, term and time."""
        jitter_share = zlib.crc32(f"{self.seed}/{self.me}/{self.term}/{int(now)}".encode()) / 2.0**32
        rank = self._rank(now) if hasattr(self, "peers") else 0
        return rank * self.parameters.stagger_ms + jitter_share * self.parameters.jitter_ms

    def _start_pre_vote(self, now: float) -> None:
        if self._vote_limit_reached(now):
            self.stand_at = now + self.parameters.lease_ms
            return
        self.role = Role.ASKING
        self.round += 1
        self.round_started_at = now
        self.grants, self.rejections = {self.me}, set()
        self._broadcast(Kind.PRE_VOTE, self.term + 1, self.round)

    def _start_ballot(self, now: float, released_by: int = 0) -> None:
        self.role = Role.BALLOT
        self.term += 1
        self.voted_for = self.me
        self.round += 1
        self.round_started_at = now
        self.grants, self.rejections = {self.me}, set()
        self._promise(now, self.me)
        self._record_vote(now)
        self.holder = released_by
        self._broadcast(Kind.VOTE, self.term, self.round)
        self.holder = 0

    def _begin_lease(self, now: float) -> None:
        lease_until = self.round_started_at + self.parameters.holder_lease_ms
        if now >= lease_until:
            self._step_down(now)
            return
        self.role = Role.HOLDER
        self.holder = self.me
        self.lease_until = lease_until
        self.held_since = now
        self.pending_renewals = {}
        self.lease_changes.append(LeaseChange(True, self.term, "elected"))
        self._renew(now)

    def _renew(self, now: float) -> None:
        self.round += 1
        self.pending_renewals[self.round] = (now, {self.me})
        for old in [r for r in self.pending_renewals if r <= self.round - MAX_PENDING_RENEWALS]:
            del self.pending_renewals[old]
        self._promise(now, self.me)
        self.renew_at = now + self.parameters.renew_ms
        self._broadcast(Kind.RENEW, self.term, self.round)

    def _end_lease(self, now: float, reason: str) -> None:
        self.lease_changes.append(LeaseChange(False, self.term, reason))
        self.lease_until = NEVER
        self.pending_renewals = {}
        self.holder = 0
        self._step_down(now)

    def _step_down(self, now: float) -> None:
        """Become a follower; the promise made to itself is void, as no other member relies on it."""
        pause_ms = self.parameters.ballot_ms * (0.1 if self.role is Role.ASKING else 0.5)
        self.role = Role.FOLLOWER
        self.round += 1  # so that late answers are ignored
        self.grants, self.rejections = set(), set()
        if self.promise_to == self.me:
            self.promise_until = NEVER
        self.stand_at = now + pause_ms + self._candidacy_delay_ms(now)

    def _send(self, to: int, kind: Kind, term: int | None = None, round_: int = 0) -> None:
        self.outbox.append((to, self.hello_message()._replace(
            kind=kind, term=self.term if term is None else term, round=round_)))

    def hello_message(self) -> Message:
        """A heartbeat.  ``abstaining`` until the member takes part: until then it cannot be a successor."""
        return Message(Kind.HELLO, self.term, 0, self.ready, not self.participating, self.own_member.priority,
                       self.holder)

    def _broadcast(self, kind: Kind, term: int | None = None, round_: int = 0) -> None:
        for i in self.others:
            self._send(i, kind, term, round_)

    # -- for the model checker --

    def hashable_state(self) -> tuple[Any, ...]:
        """The state that determines further behaviour, as a hashable value."""
        return (self.ready, self.term, self.voted_for, self.recovering, self.abstain_until, self.promise_to,
                self.promise_term, self.promise_until, self.role, self.holder,
                tuple((p.heard_at, p.ready, p.abstaining, p.term) for p in self.peers.values()), self.stand_at,
                self.round, self.round_started_at, frozenset(self.grants), frozenset(self.rejections),
                tuple((r, at, frozenset(a)) for r, (at, a) in self.pending_renewals.items()), self.lease_until,
                self.held_since, self.released_term, self.renew_at, self.next_hello_at, self.participating,
                tuple(self.vote_times))
