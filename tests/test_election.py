"""The term-and-vote machine: its rules one by one, and what the explorer must and must not find."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gaphub.cluster import explore
from gaphub.cluster.election import TERM_JUMP_MOST, Election, Role
from gaphub.cluster.types import Kind, Member, Memory, Message, Rules

RULES = Rules(jitter_ms=0.0)


class Lan:
    """Members whose messages arrive at once, unless cut; each clock has its own start."""

    def __init__(self, count: int = 3, rules: Rules = RULES, stands: tuple[int, ...] = (1, 2, 3, 4, 5),
                 priorities: dict[int, int] | None = None) -> None:
        self.rules = rules
        self.members = [Member(i, f"n{i}", stands=i in stands, priority=(priorities or {}).get(i, 100))
                        for i in range(1, count + 1)]
        self.now = 0.0
        self.cut: set[tuple[int, int]] = set()
        self.down: set[int] = set()
        self.nodes = {m.id: self.make(m.id, Memory()) for m in self.members}
        self.moves: list[tuple[int, bool, str]] = []

    def clock(self, i: int) -> float:
        return self.now + 1e6 * i

    def make(self, i: int, memory: Memory | None) -> Election:
        node = Election(i, self.members, self.rules, self.clock(i), seed=i, memory=memory)
        node.set_ready(True, self.clock(i))
        return node

    def settle(self) -> None:
        while any(n.out for n in self.nodes.values()):
            for i, node in self.nodes.items():
                out, node.out = node.out, []
                for to, message in out:
                    if (i, to) not in self.cut and not {i, to} & self.down:
                        self.nodes[to].receive(self.clock(to), i, message)
        for i, node in self.nodes.items():
            self.moves += [(i, m.gained, m.reason) for m in node.moves]
            node.moves = []

    def run(self, ms: float, step: float = 5.0) -> None:
        end = self.now + ms
        while self.now < end:
            self.now += step
            for i, node in self.nodes.items():
                if i not in self.down:
                    node.tick(self.clock(i))
            self.settle()
            assert len(self.holders()) <= 1

    def holders(self) -> list[int]:
        return [i for i, n in self.nodes.items() if n.holds(self.clock(i)) and i not in self.down]

    def isolate(self, i: int) -> None:
        self.cut |= {(i, j) for j in self.nodes} | {(j, i) for j in self.nodes}


@pytest.mark.parametrize("count", [2, 3, 5])
def test_one_is_elected_and_keeps_it(count: int) -> None:
    lan = Lan(count)
    lan.run(1000)
    assert lan.holders() == [1]
    lan.run(20_000)
    assert lan.holders() == [1]
    assert [m for m in lan.moves if m[1]] == [(1, True, "elected")]


def test_the_address_moves_when_the_holder_dies_and_within_a_second() -> None:
    lan = Lan()
    lan.run(1000)
    lan.down.add(1)
    lan.run(1000)
    assert lan.holders() == [2]


def test_a_cut_off_holder_ends_before_another_begins_and_does_not_push_terms_up() -> None:
    lan = Lan()
    lan.run(1000)
    lan.isolate(1)
    lan.run(5000)
    assert lan.holders() == [2]
    assert lan.nodes[1].role is not Role.HOLDER
    before = lan.nodes[2].term
    lan.cut.clear()
    lan.run(5000)
    assert lan.holders() == [2], "the one that was cut off must not disturb"
    assert lan.nodes[2].term == before


@pytest.mark.parametrize("lost", ["to", "from"])
def test_one_way_loss(lost: str) -> None:
    lan = Lan()
    lan.run(1000)
    lan.cut |= {(1, j) if lost == "from" else (j, 1) for j in (2, 3)}
    lan.run(3000)
    assert lan.holders() == [2]


def test_hand_over_moves_it_at_once_and_to_the_highest_priority() -> None:
    lan = Lan(priorities={3: 200})
    lan.run(1000)
    assert lan.holders() == [3]
    lan.nodes[3].set_ready(False, lan.clock(3))
    assert not lan.nodes[3].holds(lan.clock(3)), "it ends before anybody is told"
    lan.settle()
    assert lan.holders() == [1], "no time passed"
    assert lan.nodes[1].term == 2


def test_hand_over_works_when_the_vote_is_asked_before_the_release_comes() -> None:
    lan = Lan()
    lan.run(1000)
    lan.nodes[1].hand_over(lan.clock(1))
    out, lan.nodes[1].out = lan.nodes[1].out, []
    transfer = next(m for to, m in out if to == 2)
    lan.nodes[2].receive(lan.clock(2), 1, transfer)
    lan.down.add(1)  # its RELEASE to the third never arrives, and it votes no more
    lan.settle()
    assert lan.holders() == [2]


def test_two_instances_and_a_witness() -> None:
    lan = Lan(3, stands=(1, 2))
    lan.run(1000)
    lan.down.add(1)
    lan.run(1000)
    assert lan.holders() == [2]
    lan.down.add(3)  # the witness too: no majority, so nobody may hold
    lan.run(1000)
    assert lan.holders() == []
    lan.down.discard(1)
    lan.run(1000)
    assert len(lan.holders()) == 1


def test_two_instances_alone_do_not_survive_a_death() -> None:
    lan = Lan(2)
    lan.run(1000)
    lan.down.add(1)
    lan.run(3000)
    assert lan.holders() == []


def test_who_is_not_ready_does_not_stand() -> None:
    lan = Lan()
    lan.nodes[1].set_ready(False, lan.clock(1))
    lan.run(1000)
    assert lan.holders() == [2]
    for i in (2, 3):
        lan.nodes[i].set_ready(False, lan.clock(i))
    lan.run(1000)
    assert lan.holders() == []


@pytest.mark.parametrize("memory", [True, False])
def test_all_restarted_at_once_wait_until_old_leases_are_over(memory: bool) -> None:
    lan = Lan()
    lan.run(1000)
    began = lan.now
    lan.nodes = {i: lan.make(i, n.memory if memory else None) for i, n in lan.nodes.items()}
    while not lan.holders():
        lan.run(5)
        assert lan.now < began + 5000
    assert lan.now - began >= RULES.lease_ms


def test_a_voter_without_memory_waits_for_those_that_remember() -> None:
    lan = Lan()
    lan.run(1000)
    lan.down.add(1)
    lan.run(1000)
    term = lan.nodes[2].term
    lan.nodes[3] = lan.make(3, None)
    lan.run(3000)
    assert not lan.nodes[3].may_vote(lan.clock(3)), "one of two others is down: no majority remembers"
    assert lan.holders() == []
    lan.down.discard(1)
    lan.run(2000)
    assert lan.nodes[3].may_vote(lan.clock(3))
    assert lan.nodes[lan.holders()[0]].term > term


def test_an_amnesic_member_has_no_memory_to_write_down() -> None:
    assert Lan().make(1, None).memory is None


def test_a_wild_term_is_not_believed_and_a_stale_one_answered() -> None:
    lan = Lan()
    lan.run(1000)
    node = lan.nodes[2]
    node.receive(lan.clock(2), 1, Message(Kind.RENEW, node.term + TERM_JUMP_MOST + 1, 9))
    assert node.refused_jumps == 1
    assert node.term == 1
    node.receive(lan.clock(2), 3, Message(Kind.RENEW, 0, 9))
    assert node.out[-1][1].kind is Kind.NO


def test_a_voter_gives_so_many_votes_a_minute() -> None:
    rules = Rules(jitter_ms=0.0, moves_most=4)
    lan = Lan(rules=rules)
    for _ in range(120):  # a link that flaps all the time
        lan.run(400)
        for i in lan.holders():
            lan.isolate(i)
        lan.run(600)
        lan.cut.clear()
    gained = [m for m in lan.moves if m[1]]
    minutes = 2
    votes = len(lan.nodes) * rules.moves_most * (minutes + 1)
    assert 2 <= len(gained) <= votes // lan.nodes[1].majority


def test_a_flapping_link_moves_it_more_often_without_that_bound() -> None:
    lan = Lan(rules=Rules(jitter_ms=0.0, moves_most=0))
    for _ in range(60):
        lan.run(400)
        for i in lan.holders():
            lan.isolate(i)
        lan.run(600)
        lan.cut.clear()
    assert len([m for m in lan.moves if m[1]]) > 20


def test_preemption_hands_over_to_a_higher_priority() -> None:
    lan = Lan(rules=Rules(jitter_ms=0.0, preempt_ms=2000.0), priorities={3: 200})
    lan.down.add(3)
    lan.run(1500)
    assert lan.holders() == [1]
    lan.down.discard(3)
    lan.run(3000)
    assert lan.holders() == [3]


# --- the explorer ------------------------------------------------------------------------------------

def test_every_single_fault_at_every_moment_breaks_nothing() -> None:
    report = explore.explore_within_bound("none", ticks=40)
    assert report.violation == ""
    assert report.states > 100_000
    assert report.terms >= 2


@pytest.mark.parametrize("members", [3, 5])
def test_random_walks_break_nothing(members: int) -> None:
    states = leases = 0
    for seed in range(400):
        report = explore.random_walk("none", seed, members=members)
        assert report.violation == "", (seed, report.trace)
        states += report.states
        leases = max(leases, report.leases)
    assert states > 100_000
    assert leases >= 3


# The explorer must be able to find what it looks for, by one of its ways.
@pytest.mark.parametrize("fault", [f for f in explore.FAULTS if f != "none"])
def test_a_seeded_fault_is_found(fault: str) -> None:
    assert (explore.explore_holder_pauses(fault).violation
            or any(explore.random_walk(fault, seed).violation for seed in range(400)))


def test_a_holder_that_stands_still_breaks_nothing() -> None:
    report = explore.explore_holder_pauses()
    assert report.violation == ""
    assert report.states > 10_000


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 10**9), st.integers(2, 7), st.lists(st.sampled_from(explore.KINDS), min_size=2, unique=True))
def test_any_size_and_seed(seed: int, members: int, kinds: list[str]) -> None:
    assert explore.random_walk("none", seed, steps=200, members=members).violation == ""
