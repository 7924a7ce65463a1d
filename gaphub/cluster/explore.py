"""Owns the explorer of the election machine: interleavings of messages, faults and time, checked at each state.

It drives ``Election`` as it is; only a named seeded fault alters it.  Two ways of looking: every departure from
the usual order within a bound (``sweep``), and seeded random walks that go deep (``walk``).  It must never be
imported by the daemon.

Time is a number of real ticks; each member's clock runs at a rate of its own, within the drift that the rules
allow.  A message may be delivered in any order, any time later, twice, or never; a member may freeze (its clock
runs on), thaw, and restart with or without its memory.  A message to or from a former life is not delivered:
that is the transport's promise, tested with it.
"""

from __future__ import annotations

import copy
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from .election import NEVER, Election, Role
from .types import Member, Memory, Message, Rules

# Figures in real ticks; the margin covers clocks that run at 4/5 to 6/5 of real time.
RULES = Rules(lease_ms=12.0, renew_ms=4.0, margin=0.34, ballot_ms=4.0, stagger_ms=4.0, jitter_ms=0.0,
              hello_ms=6.0, suspect_ms=8.0, moves_most=0)
RATES = (0.8, 1.0, 1.2)
KINDS = ("lose", "late", "double", "deliver", "time", "freeze", "cut", "hand", "restart", "forget")


class FromReceipt(Election):
    """Seeded fault: the holder counts its lease from the answer, not from its own sending."""

    def _on_renew_ok(self, now: float, sender: int, message: Message) -> None:
        before = self.lease_until
        super()._on_renew_ok(now, sender, message)
        if self.lease_until > before:
            self.lease_until = now + self.rules.own_lease_ms


class VotesTwice(Election):
    """Seeded fault: a voter forgets its promise when asked for a vote."""

    def _on_vote(self, now: float, sender: int, message: Message) -> None:
        self.promise_until = NEVER
        super()._on_vote(now, sender, message)

    def _on_ask(self, now: float, sender: int, message: Message) -> None:
        self.promise_until = NEVER
        super()._on_ask(now, sender, message)


class NoAbstention(Election):
    """Seeded fault: a restarted voter votes at once."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.abstain_until = NEVER


class EarlyRelease(Election):
    """Seeded fault: a holder that hands over says so before its lease has ended."""

    def hand_over(self, now: float, reason: str = "", to: int = 0) -> int:
        """Tell the others, and hold on."""
        role, until, term, rounds = self.role, self.lease_until, self.term, self.rounds
        to = super().hand_over(now, reason, to)
        if role is Role.HOLDER:
            self.role, self.lease_until, self.term, self.rounds = role, until, term, rounds
        return to


FAULTS: dict[str, tuple[type[Election], Rules]] = {
    "none": (Election, RULES),
    "no margin": (Election, Rules(**{**RULES.__dict__, "margin": 0.0})),
    "votes twice": (VotesTwice, RULES),
    "lease from receipt": (FromReceipt, RULES),
    "no abstention": (NoAbstention, RULES),
    "tells before it ends": (EarlyRelease, RULES),
}


@dataclass
class World:
    """Voters, what is under way between them, and real time."""

    nodes: dict[int, Election]
    rates: dict[int, float]
    lives: dict[int, int]
    frozen: dict[int, int] = field(default_factory=dict)  # until which tick
    cut: dict[int, int] = field(default_factory=dict)  # off the network until which tick
    net: list[tuple[int, int, int, int, int, Message]] = field(default_factory=list)  # first when it may come
    now: int = 0
    amnesia: int = 0  # restarts without memory, ever
    winners: dict[int, set[int]] = field(default_factory=dict)

    def clock(self, i: int) -> float:
        """A member's own clock; the offsets differ, which must not matter."""
        return 1000.0 * i + self.now * self.rates[i]

    def key(self) -> tuple[Any, ...]:
        """The state, up to the order of what is under way."""
        return (self.now, tuple(self.frozen.items()), tuple(self.cut.items()), tuple(self.lives.values()),
                tuple(self.net), tuple(n.freeze_state() for n in self.nodes.values()))

    def fork(self) -> World:
        """A copy that shares nothing which changes."""
        nodes = {}
        for i, node in self.nodes.items():
            twin = copy.copy(node)
            twin.peers = {j: copy.copy(p) for j, p in node.peers.items()}
            twin.grants, twin.refusals = set(node.grants), set(node.refusals)
            twin.rounds = {r: (at, set(a)) for r, (at, a) in node.rounds.items()}
            twin.granted = deque(node.granted)
            twin.out, twin.moves = [], []
            nodes[i] = twin
        return World(nodes, self.rates, dict(self.lives), dict(self.frozen), dict(self.cut), list(self.net),
                     self.now, self.amnesia, {t: set(w) for t, w in self.winners.items()})

    def after(self, i: int) -> None:
        """Take what a member said and did."""
        node = self.nodes[i]
        for to, message in node.out:
            if max(self.cut.get(i, 0), self.cut.get(to, 0)) <= self.now:
                self.net.append((self.now, i, to, self.lives[i], self.lives[to], message))
        for move in node.moves:
            if move.gained:
                self.winners.setdefault(move.term, set()).add(i)
        node.out, node.moves = [], []

    def find_violation(self) -> str:
        """What is wrong in this state; empty: nothing."""
        holders = [i for i, n in self.nodes.items()
                   if n.role is Role.HOLDER and self.clock(i) < n.lease_until]
        if len(holders) > 1:
            return f"members {holders} hold at real tick {self.now}"
        if self.amnesia * 2 < len(self.nodes):
            for term, who in self.winners.items():
                if len(who) > 1:
                    return f"members {sorted(who)} both won term {term}"
        return ""

    # -- choices --

    def usual(self) -> tuple[Any, ...]:
        """What happens where nothing odd does: the oldest message comes, or time goes on."""
        for k, (due, _, to, _, _, _) in enumerate(self.net):
            if due <= self.now and to not in self.frozen:
                return ("deliver", k)
        return ("time",)

    def odd(self) -> Iterator[tuple[Any, ...]]:
        """Everything else that may happen next, each of it one fault."""
        ready = [k for k, m in enumerate(self.net) if m[0] <= self.now and m[2] not in self.frozen]
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
            if i not in self.frozen:
                for ticks in (3, 5, 9, 20):
                    yield ("freeze", i, ticks)
                if node.role is Role.HOLDER:
                    yield ("hand", i)
            yield ("cut", i, 20)
            yield ("restart", i)
            yield ("forget", i)

    def do(self, choice: tuple[Any, ...], make: Callable[[int, float, Any], Election]) -> None:
        """Let one thing happen."""
        what = choice[0]
        if what in ("deliver", "double"):
            _, sender, to, from_life, life, message = self.net[choice[1]]
            if what == "deliver":
                del self.net[choice[1]]
            if life == self.lives[to] and from_life == self.lives[sender]:
                self.nodes[to].receive(self.clock(to), sender, message)
                self.after(to)
        elif what == "time":
            self.now += 1
            self.net = [m for m in self.net if m[4] == self.lives[m[2]]]
            for i in [i for i, until in self.frozen.items() if until <= self.now]:
                del self.frozen[i]
            for i, node in self.nodes.items():
                if i not in self.frozen:
                    node.tick(self.clock(i))
                    self.after(i)
        elif what == "lose":
            del self.net[choice[1]]
        elif what == "late":
            self.net.append((self.now + choice[2], *self.net.pop(choice[1])[1:]))
        elif what == "freeze":
            self.frozen[choice[1]] = self.now + choice[2]
        elif what == "cut":
            self.cut[choice[1]] = self.now + choice[2]
        elif what == "hand":
            self.nodes[choice[1]].hand_over(self.clock(choice[1]))
            self.after(choice[1])
        else:
            i = choice[1]
            memory = self.nodes[i].memory if what == "restart" else None
            self.amnesia += what == "forget"
            self.lives[i] += 1
            self.frozen.pop(i, None)
            self.nodes[i] = make(i, self.clock(i), memory)


@dataclass
class ExplorationReport:
    """What an exploration saw."""

    states: int = 0
    terms: int = 0
    leases: int = 0
    violation: str = ""
    trace: list[str] = field(default_factory=list)


def world(fault: str, rates: tuple[float, ...], standing: tuple[int, ...], first: int = 1) -> tuple[
        World, Callable[[int, float, Any], Election]]:
    """Members that lived before with an empty memory, ready, their abstention just over."""
    cls, rules = FAULTS[fault]
    members = [Member(i + 1, f"n{i + 1}", stands=i + 1 in standing, priority=200 if i + 1 == first else 100)
               for i in range(len(rates))]

    def make(i: int, now: float, memory: Any) -> Election:
        node = cls(i, members, rules, now, seed=7, memory=memory)
        node.set_ready(True, now)
        return node

    made = World({}, {m.id: r for m, r in zip(members, rates, strict=True)}, {m.id: 1 for m in members})
    for m in members:
        made.nodes[m.id] = make(m.id, made.clock(m.id) - 2 * rules.lease_ms, Memory())
    return made, make


def explore_within_bound(fault: str = "none", rates: tuple[float, ...] = (0.8, 1.2, 1.2), faults: int = 1,
                         ticks: int = 60, standing: tuple[int, ...] = (1, 2, 3)) -> ExplorationReport:
    """Every run of so many ticks in which up to so many odd things happen, wherever and whichever they are.

    This is delay-bounded exploration (Emmi, Qadeer and Rakamaric 2011): the usual order is given, and each
    way to depart from it within the bound is taken.
    """
    start, make = world(fault, rates, standing)
    report = ExplorationReport()
    seen: set[int] = set()
    stack: list[tuple[World, int, tuple[Any, ...]]] = [(start, faults, ())]
    while stack:
        at, left, path = stack.pop()
        while at.now < ticks:
            if left:
                for choice in at.odd():
                    twin = at.fork()
                    twin.do(choice, make)
                    key = hash((twin.key(), left))
                    if key in seen:
                        continue
                    seen.add(key)
                    if _note(report, twin, (*path, (at.now, *choice))):
                        return report
                    stack.append((twin, left - 1, (*path, (at.now, *choice))))
            at.do(at.usual(), make)
            if _note(report, at, path):
                return report
    return report


def explore_holder_pauses(fault: str = "none", rates: tuple[float, ...] = (0.8, 1.2, 1.2),
                          ticks: int = 60) -> ExplorationReport:
    """The holder stops for some ticks, at every moment, and is cut off meanwhile: answers wait for it.

    Two faults that must come within a few ticks of each other; ``sweep`` would need its square for them.
    """
    start, make = world(fault, rates, (1, 2, 3))
    report = ExplorationReport()
    for i, node in start.nodes.items():
        node.rules = replace(node.rules, stagger_ms=0.0)  # no safety may rest on who waits for whom
        node.set_ready(i == 1, start.clock(i))
    while start.now < ticks:
        if start.nodes[1].role is Role.HOLDER and not start.nodes[2].ready:
            start.nodes[2].set_ready(True, start.clock(2))  # the third only votes
        for holder in [i for i, n in start.nodes.items() if n.role is Role.HOLDER]:
            for still in (1, 2, 3, 4, 5):
                for until in range(still):
                    at = start.fork()
                    path = [(at.now, "freeze", holder, still), (at.now + until, "cut", holder, 20)]
                    at.do(("freeze", holder, still), make)
                    while at.now < start.now + until or at.usual() != ("time",):
                        at.do(at.usual(), make)
                    at.do(("cut", holder, 20), make)
                    while at.now < start.now + 30:
                        at.do(at.usual(), make)
                        if _note(report, at, path):
                            return report
        start.do(start.usual(), make)
    return report


def random_walk(fault: str = "none", seed: int = 0, steps: int = 400, members: int = 3) -> ExplorationReport:
    """One random walk; a seed gives the same walk again."""
    draw = random.Random(seed)
    rates = tuple(draw.choice(RATES if seed % 2 else (RATES[0], RATES[-1])) for _ in range(members))
    at, make = world(fault, rates, tuple(i + 1 for i in range(members)), draw.randint(1, members))
    report = ExplorationReport()
    path: list[Any] = []
    oddness = draw.choice((0.02, 0.06, 0.15))
    # Each walk knows some kinds of faults only (swarm testing, Groce et al. 2012): pairs meet more often.
    kinds = sorted(draw.sample(KINDS, draw.choice((2, 3, len(KINDS)))))
    last = False  # faults come in bursts
    for _ in range(steps):
        choice = at.usual()
        last = draw.random() < (0.5 if last else oddness)
        if last:
            odd = [c for c in at.odd() if c[0] in kinds]
            if odd:
                what = draw.choice(sorted({c[0] for c in odd}))
                choice = draw.choice([c for c in odd if c[0] == what])
                path.append((at.now, *choice))
        at.do(choice, make)
        if _note(report, at, path):
            break
    return report


def _note(report: ExplorationReport, at: World, path: Any) -> bool:
    report.states += 1
    report.terms = max(report.terms, *(n.term for n in at.nodes.values()))
    report.leases = max(report.leases, sum(len(w) for w in at.winners.values()))
    report.violation = at.find_violation()
    if report.violation:
        report.trace = [str(c) for c in path]
    return bool(report.violation)
