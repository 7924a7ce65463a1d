"""Model checker of the election: explores interleavings of messages, faults and time, and checks each state.

It drives the real ``Election``; only a seeded fault chosen by name replaces parts of it.  There are three
strategies: every run with a bounded number of faults (``explore_within_bound``), holders that freeze at every
moment (``explore_holder_pauses``), and long seeded random walks (``random_walk``).  The daemon must not import it.

Time is counted in real ticks; each member's clock runs at its own rate, within the drift that the parameters
allow.  A message may be delivered in any order, late, twice, or never; a member may freeze (its clock continues),
resume, and restart with or without its persistent state.  Messages to or from a former incarnation are not
delivered: the transport guarantees that, and its tests cover it.
"""

from __future__ import annotations

import copy
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from .election import NEVER, Election, Role
from .types import ElectionParameters, Member, Message, PersistentState

# Durations in real ticks; the margin covers clocks that run at 4/5 to 6/5 of real time.
PARAMETERS = ElectionParameters(lease_ms=12.0, renew_ms=4.0, margin=0.34, ballot_ms=4.0, stagger_ms=4.0,
                                jitter_ms=0.0, hello_ms=6.0, suspect_ms=8.0, moves_most=0)
RATES = (0.8, 1.0, 1.2)
CHOICE_KINDS = ("lose", "late", "double", "deliver", "time", "freeze", "cut", "hand", "restart", "forget")


class LeaseFromReceipt(Election):
    """Seeded fault: the holder counts its lease from receiving the answer, not from sending the request."""

    def _on_renew_ack(self, now: float, sender: int, message: Message) -> None:
        before = self.lease_until
        super()._on_renew_ack(now, sender, message)
        if self.lease_until > before:
            self.lease_until = now + self.parameters.holder_lease_ms


class VotesTwice(Election):
    """Seeded fault: a voter drops its promise when it is asked for a vote."""

    def _on_vote(self, now: float, sender: int, message: Message) -> None:
        self.promise_until = NEVER
        super()._on_vote(now, sender, message)

    def _on_pre_vote(self, now: float, sender: int, message: Message) -> None:
        self.promise_until = NEVER
        super()._on_pre_vote(now, sender, message)


class NoAbstention(Election):
    """Seeded fault: a restarted voter does not abstain."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.abstain_until = NEVER


class EarlyRelease(Election):
    """Seeded fault: a holder announces a hand-over but keeps its lease."""

    def hand_over(self, now: float, reason: str = "", to: int = 0) -> int:
        """Send the messages of a hand-over and restore the lease."""
        role, until, term, rounds = self.role, self.lease_until, self.term, self.pending_renewals
        to = super().hand_over(now, reason, to)
        if role is Role.HOLDER:
            self.role, self.lease_until, self.term, self.pending_renewals = role, until, term, rounds
        return to


FAULTS: dict[str, tuple[type[Election], ElectionParameters]] = {
    "none": (Election, PARAMETERS),
    "no margin": (Election, ElectionParameters(**{**PARAMETERS.__dict__, "margin": 0.0})),
    "votes twice": (VotesTwice, PARAMETERS),
    "lease from receipt": (LeaseFromReceipt, PARAMETERS),
    "no abstention": (NoAbstention, PARAMETERS),
    "tells before it ends": (EarlyRelease, PARAMETERS),
}


@dataclass
class SystemState:
    """The state of the whole system: the members, the messages in flight, and real time."""

    nodes: dict[int, Election]
    rates: dict[int, float]
    incarnations: dict[int, int]
    frozen_until: dict[int, int] = field(default_factory=dict)  # by member: the tick at which it resumes
    isolated_until: dict[int, int] = field(default_factory=dict)  # by member: the tick at which it is reconnected
    # (earliest delivery, sender, receiver, incarnation of the sender, of the receiver, message)
    in_flight: list[tuple[int, int, int, int, int, Message]] = field(default_factory=list)
    now: int = 0
    state_losses: int = 0  # restarts without persistent state since the beginning
    winners_by_term: dict[int, set[int]] = field(default_factory=dict)

    def clock(self, i: int) -> float:
        """A member's own clock; each has a different offset, as safety must not depend on it."""
        return 1000.0 * i + self.now * self.rates[i]

    def state_key(self) -> tuple[Any, ...]:
        """The state as a hashable value; the order of the messages in flight is part of it."""
        return (self.now, tuple(self.frozen_until.items()), tuple(self.isolated_until.items()),
                tuple(self.incarnations.values()), tuple(self.in_flight),
                tuple(n.hashable_state() for n in self.nodes.values()))

    def fork(self) -> SystemState:
        """A copy that shares no mutable state."""
        nodes = {}
        for i, node in self.nodes.items():
            node_copy = copy.copy(node)
            node_copy.peers = {j: copy.copy(p) for j, p in node.peers.items()}
            node_copy.grants, node_copy.rejections = set(node.grants), set(node.rejections)
            node_copy.pending_renewals = {r: (at, set(a)) for r, (at, a) in node.pending_renewals.items()}
            node_copy.vote_times = deque(node.vote_times)
            node_copy.outbox, node_copy.lease_changes = [], []
            nodes[i] = node_copy
        return SystemState(nodes, self.rates, dict(self.incarnations), dict(self.frozen_until),
                           dict(self.isolated_until), list(self.in_flight), self.now, self.state_losses,
                           {t: set(w) for t, w in self.winners_by_term.items()})

    def collect_output(self, i: int) -> None:
        """Take a member's queued messages and lease changes."""
        node = self.nodes[i]
        for to, message in node.outbox:
            if max(self.isolated_until.get(i, 0), self.isolated_until.get(to, 0)) <= self.now:
                self.in_flight.append((self.now, i, to, self.incarnations[i], self.incarnations[to], message))
        for change in node.lease_changes:
            if change.gained:
                self.winners_by_term.setdefault(change.term, set()).add(i)
        node.outbox, node.lease_changes = [], []

    def find_violation(self) -> str:
        """Describe the violation of an invariant in this state; empty if there is none."""
        holders = [i for i, n in self.nodes.items()
                   if n.role is Role.HOLDER and self.clock(i) < n.lease_until]
        if len(holders) > 1:
            return f"members {holders} hold at real tick {self.now}"
        if self.state_losses * 2 < len(self.nodes):
            for term, winners in self.winners_by_term.items():
                if len(winners) > 1:
                    return f"members {sorted(winners)} both won term {term}"
        return ""

    # -- choices --

    def default_choice(self) -> tuple[Any, ...]:
        """The step without a fault: the oldest message that is due is delivered, or time advances."""
        for k, (due, _, to, _, _, _) in enumerate(self.in_flight):
            if due <= self.now and to not in self.frozen_until:
                return ("deliver", k)
        return ("time",)

    def fault_choices(self) -> Iterator[tuple[Any, ...]]:
        """All other possible steps; each counts as one fault."""
        ready = [k for k, m in enumerate(self.in_flight) if m[0] <= self.now and m[2] not in self.frozen_until]
        for k in ready:
            yield ("lose", k)
            yield ("late", k, 6)
            yield ("late", k, 14)
            yield ("double", k)
        for k in ready[1:]:
            yield ("deliver", k)
        if ready:
            yield ("time",)
        for i, node in self.nodes.items():
            if i not in self.frozen_until:
                for ticks in (3, 5, 9, 20):
                    yield ("freeze", i, ticks)
                if node.role is Role.HOLDER:
                    yield ("hand", i)
            yield ("cut", i, 20)
            yield ("restart", i)
            yield ("forget", i)

    def apply(self, choice: tuple[Any, ...], make_node: Callable[[int, float, Any], Election]) -> None:
        """Execute one step."""
        action = choice[0]
        if action in ("deliver", "double"):
            _, sender, to, sender_incarnation, receiver_incarnation, message = self.in_flight[choice[1]]
            if action == "deliver":
                del self.in_flight[choice[1]]
            if receiver_incarnation == self.incarnations[to] and sender_incarnation == self.incarnations[sender]:
                self.nodes[to].receive(self.clock(to), sender, message)
                self.collect_output(to)
        elif action == "time":
            self.now += 1
            self.in_flight = [m for m in self.in_flight if m[4] == self.incarnations[m[2]]]
            for i in [i for i, until in self.frozen_until.items() if until <= self.now]:
                del self.frozen_until[i]
            for i, node in self.nodes.items():
                if i not in self.frozen_until:
                    node.tick(self.clock(i))
                    self.collect_output(i)
        elif action == "lose":
            del self.in_flight[choice[1]]
        elif action == "late":
            self.in_flight.append((self.now + choice[2], *self.in_flight.pop(choice[1])[1:]))
        elif action == "freeze":
            self.frozen_until[choice[1]] = self.now + choice[2]
        elif action == "cut":
            self.isolated_until[choice[1]] = self.now + choice[2]
        elif action == "hand":
            self.nodes[choice[1]].hand_over(self.clock(choice[1]))
            self.collect_output(choice[1])
        else:
            i = choice[1]
            persistent_state = self.nodes[i].persistent_state if action == "restart" else None
            self.state_losses += action == "forget"
            self.incarnations[i] += 1
            self.frozen_until.pop(i, None)
            self.nodes[i] = make_node(i, self.clock(i), persistent_state)


@dataclass
class ExplorationReport:
    """The result of an exploration."""

    states: int = 0
    terms: int = 0
    leases: int = 0
    violation: str = ""
    trace: list[str] = field(default_factory=list)


def initial_state(fault: str, rates: tuple[float, ...], standing: tuple[int, ...], first: int = 1) -> tuple[
        SystemState, Callable[[int, float, Any], Election]]:
    """Ready members with an intact initial state whose abstention has just ended."""
    cls, parameters = FAULTS[fault]
    members = [Member(i + 1, f"n{i + 1}", stands=i + 1 in standing, priority=200 if i + 1 == first else 100)
               for i in range(len(rates))]

    def make_node(i: int, now: float, persistent_state: Any) -> Election:
        node = cls(i, members, parameters, now, seed=7, persistent_state=persistent_state)
        node.set_ready(True, now)
        return node

    state = SystemState({}, {m.id: r for m, r in zip(members, rates, strict=True)}, {m.id: 1 for m in members})
    for m in members:
        state.nodes[m.id] = make_node(m.id, state.clock(m.id) - 2 * parameters.lease_ms, PersistentState())
    return state, make_node


def explore_within_bound(fault: str = "none", rates: tuple[float, ...] = (0.8, 1.2, 1.2), faults: int = 1,
                         ticks: int = 60, standing: tuple[int, ...] = (1, 2, 3)) -> ExplorationReport:
    """Explore every run of ``ticks`` ticks with up to ``faults`` faults, of any kind and at any moment.

    This is delay-bounded exploration (Emmi, Qadeer and Rakamaric 2011): a deterministic schedule is given, and
    every deviation from it within the bound is explored.
    """
    start, make_node = initial_state(fault, rates, standing)
    report = ExplorationReport()
    seen: set[int] = set()
    stack: list[tuple[SystemState, int, tuple[Any, ...]]] = [(start, faults, ())]
    while stack:
        state, faults_left, path = stack.pop()
        while state.now < ticks:
            if faults_left:
                for choice in state.fault_choices():
                    successor = state.fork()
                    successor.apply(choice, make_node)
                    state_key = hash((successor.state_key(), faults_left))
                    if state_key in seen:
                        continue
                    seen.add(state_key)
                    if _record_state(report, successor, (*path, (state.now, *choice))):
                        return report
                    stack.append((successor, faults_left - 1, (*path, (state.now, *choice))))
            state.apply(state.default_choice(), make_node)
            if _record_state(report, state, path):
                return report
    return report


def explore_holder_pauses(fault: str = "none", rates: tuple[float, ...] = (0.8, 1.2, 1.2),
                          ticks: int = 60) -> ExplorationReport:
    """Freeze the holder at every moment for some ticks and isolate it meanwhile, while answers wait for it.

    These are two faults within a few ticks of each other; ``explore_within_bound`` would need a bound of two
    faults and so the square of its states to reach them.
    """
    start, make_node = initial_state(fault, rates, (1, 2, 3))
    report = ExplorationReport()
    for i, node in start.nodes.items():
        node.parameters = replace(node.parameters, stagger_ms=0.0)  # safety must not depend on staggering
        node.set_ready(i == 1, start.clock(i))
    while start.now < ticks:
        if start.nodes[1].role is Role.HOLDER and not start.nodes[2].ready:
            start.nodes[2].set_ready(True, start.clock(2))  # the third member only votes
        for holder in [i for i, n in start.nodes.items() if n.role is Role.HOLDER]:
            for pause_ticks in (1, 2, 3, 4, 5):
                for until in range(pause_ticks):
                    state = start.fork()
                    path = [(state.now, "freeze", holder, pause_ticks), (state.now + until, "cut", holder, 20)]
                    state.apply(("freeze", holder, pause_ticks), make_node)
                    while state.now < start.now + until or state.default_choice() != ("time",):
                        state.apply(state.default_choice(), make_node)
                    state.apply(("cut", holder, 20), make_node)
                    while state.now < start.now + 30:
                        state.apply(state.default_choice(), make_node)
                        if _record_state(report, state, path):
                            return report
        start.apply(start.default_choice(), make_node)
    return report


def random_walk(fault: str = "none", seed: int = 0, steps: int = 400, members: int = 3) -> ExplorationReport:
    """Take one random walk; the same seed gives the same walk."""
    rng = random.Random(seed)
    rates = tuple(rng.choice(RATES if seed % 2 else (RATES[0], RATES[-1])) for _ in range(members))
    state, make_node = initial_state(fault, rates, tuple(i + 1 for i in range(members)), rng.randint(1, members))
    report = ExplorationReport()
    path: list[Any] = []
    fault_probability = rng.choice((0.02, 0.06, 0.15))
    # Each walk uses a subset of the fault kinds (swarm testing, Groce et al. 2012), so that pairs of them coincide
    # more often.
    enabled_kinds = sorted(rng.sample(CHOICE_KINDS, rng.choice((2, 3, len(CHOICE_KINDS)))))
    fault_injected = False  # faults come in bursts
    for _ in range(steps):
        choice = state.default_choice()
        fault_injected = rng.random() < (0.5 if fault_injected else fault_probability)
        if fault_injected:
            fault_choices = [c for c in state.fault_choices() if c[0] in enabled_kinds]
            if fault_choices:
                action = rng.choice(sorted({c[0] for c in fault_choices}))
                choice = rng.choice([c for c in fault_choices if c[0] == action])
                path.append((state.now, *choice))
        state.apply(choice, make_node)
        if _record_state(report, state, path):
            break
    return report


def _record_state(report: ExplorationReport, state: SystemState, path: Any) -> bool:
    report.states += 1
    report.terms = max(report.terms, *(n.term for n in state.nodes.values()))
    report.leases = max(report.leases, sum(len(w) for w in state.winners_by_term.values()))
    report.violation = state.find_violation()
    if report.violation:
        report.trace = [str(c) for c in path]
    return bool(report.violation)
