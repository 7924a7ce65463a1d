"""The election state machine: its rules one by one, and the results of the model checker."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gaphub.cluster import explore
from gaphub.cluster.election import MAX_TERM_JUMP, Election, Role
from gaphub.cluster.types import ElectionParameters, Kind, Member, Message, PersistentState

PARAMETERS = ElectionParameters(jitter_ms=0.0)


class Cluster:
    """Members whose messages arrive at once, unless the link is cut; each clock has its own offset."""

    def __init__(self, count: int = 3, parameters: ElectionParameters = PARAMETERS,
                 stands: tuple[int, ...] = (1, 2, 3, 4, 5), priorities: dict[int, int] | None = None) -> None:
        self.parameters = parameters
        self.members = [Member(i, f"n{i}", stands=i in stands, priority=(priorities or {}).get(i, 100))
                        for i in range(1, count + 1)]
        self.now = 0.0
        self.cut_links: set[tuple[int, int]] = set()
        self.down: set[int] = set()
        self.nodes = {m.id: self.make(m.id, PersistentState()) for m in self.members}
        self.lease_changes: list[tuple[int, bool, str]] = []

    def clock(self, i: int) -> float:
        return self.now + 1e6 * i

    def make(self, i: int, state: PersistentState | None) -> Election:
        node = Election(i, self.members, self.parameters, self.clock(i), seed=i, persistent_state=state)
        node.set_ready(True, self.clock(i))
        return node

    def deliver_all(self) -> None:
        while any(n.outbox for n in self.nodes.values()):
            for i, node in self.nodes.items():
                out, node.outbox = node.outbox, []
                for to, message in out:
                    if (i, to) not in self.cut_links and not {i, to} & self.down:
                        self.nodes[to].receive(self.clock(to), i, message)
        for i, node in self.nodes.items():
            self.lease_changes += [(i, m.gained, m.reason) for m in node.lease_changes]
            node.lease_changes = []

    def run(self, ms: float, step: float = 5.0) -> None:
        end = self.now + ms
        while self.now < end:
            self.now += step
            for i, node in self.nodes.items():
                if i not in self.down:
                    node.tick(self.clock(i))
            self.deliver_all()
            assert len(self.holders()) <= 1

    def holders(self) -> list[int]:
        return [i for i, n in self.nodes.items() if n.holds(self.clock(i)) and i not in self.down]

    def isolate(self, i: int) -> None:
        self.cut_links |= {(i, j) for j in self.nodes} | {(j, i) for j in self.nodes}


@pytest.mark.parametrize("count", [2, 3, 5])
def test_one_is_elected_and_keeps_it(count: int) -> None:
    cluster = Cluster(count)
    cluster.run(1000)
    assert cluster.holders() == [1]
    cluster.run(20_000)
    assert cluster.holders() == [1]
    assert [m for m in cluster.lease_changes if m[1]] == [(1, True, "elected")]


def test_the_address_moves_when_the_holder_dies_and_within_a_second() -> None:
    cluster = Cluster()
    cluster.run(1000)
    cluster.down.add(1)
    cluster.run(1000)
    assert cluster.holders() == [2]


def test_a_cut_off_holder_ends_before_another_begins_and_does_not_push_terms_up() -> None:
    cluster = Cluster()
    cluster.run(1000)
    cluster.isolate(1)
    cluster.run(5000)
    assert cluster.holders() == [2]
    assert cluster.nodes[1].role is not Role.HOLDER
    before = cluster.nodes[2].term
    cluster.cut_links.clear()
    cluster.run(5000)
    assert cluster.holders() == [2], "the reconnected member must not disturb the holder"
    assert cluster.nodes[2].term == before


@pytest.mark.parametrize("lost", ["to", "from"])
def test_one_way_loss(lost: str) -> None:
    cluster = Cluster()
    cluster.run(1000)
    cluster.cut_links |= {(1, j) if lost == "from" else (j, 1) for j in (2, 3)}
    cluster.run(3000)
    assert cluster.holders() == [2]


def test_hand_over_moves_it_at_once_and_to_the_highest_priority() -> None:
    cluster = Cluster(priorities={3: 200})
    cluster.run(1000)
    assert cluster.holders() == [3]
    cluster.nodes[3].set_ready(False, cluster.clock(3))
    assert not cluster.nodes[3].holds(cluster.clock(3)), "the lease ends before any message is sent"
    cluster.deliver_all()
    assert cluster.holders() == [1], "the hand-over needs no timer"
    assert cluster.nodes[1].term == 2


def test_hand_over_works_when_the_vote_is_asked_before_the_release_comes() -> None:
    cluster = Cluster()
    cluster.run(1000)
    cluster.nodes[1].hand_over(cluster.clock(1))
    out, cluster.nodes[1].outbox = cluster.nodes[1].outbox, []
    transfer = next(m for to, m in out if to == 2)
    cluster.nodes[2].receive(cluster.clock(2), 1, transfer)
    cluster.down.add(1)  # its RELEASE to the third member is lost, and it does not vote again
    cluster.deliver_all()
    assert cluster.holders() == [2]


def test_two_instances_and_a_witness() -> None:
    cluster = Cluster(3, stands=(1, 2))
    cluster.run(1000)
    cluster.down.add(1)
    cluster.run(1000)
    assert cluster.holders() == [2]
    cluster.down.add(3)  # without the witness there is no majority, so nobody may hold the lease
    cluster.run(1000)
    assert cluster.holders() == []
    cluster.down.discard(1)
    cluster.run(1000)
    assert len(cluster.holders()) == 1


def test_two_instances_alone_do_not_survive_a_death() -> None:
    cluster = Cluster(2)
    cluster.run(1000)
    cluster.down.add(1)
    cluster.run(3000)
    assert cluster.holders() == []


def test_who_is_not_ready_does_not_stand() -> None:
    cluster = Cluster()
    cluster.nodes[1].set_ready(False, cluster.clock(1))
    cluster.run(1000)
    assert cluster.holders() == [2]
    for i in (2, 3):
        cluster.nodes[i].set_ready(False, cluster.clock(i))
    cluster.run(1000)
    assert cluster.holders() == []


@pytest.mark.parametrize("memory", [True, False])
def test_all_restarted_at_once_wait_until_old_leases_are_over(memory: bool) -> None:
    cluster = Cluster()
    cluster.run(1000)
    began = cluster.now
    cluster.nodes = {i: cluster.make(i, n.persistent_state if memory else None) for i, n in cluster.nodes.items()}
    while not cluster.holders():
        cluster.run(5)
        assert cluster.now < began + 5000
    assert cluster.now - began >= PARAMETERS.lease_ms


def test_a_voter_without_memory_waits_for_those_that_remember() -> None:
    cluster = Cluster()
    cluster.run(1000)
    cluster.down.add(1)
    cluster.run(1000)
    term = cluster.nodes[2].term
    cluster.nodes[3] = cluster.make(3, None)
    cluster.run(3000)
    assert not cluster.nodes[3].may_vote(cluster.clock(3)), "one of the other two is down: no intact majority"
    assert cluster.holders() == []
    cluster.down.discard(1)
    cluster.run(2000)
    assert cluster.nodes[3].may_vote(cluster.clock(3))
    assert cluster.nodes[cluster.holders()[0]].term > term


def test_an_amnesic_member_has_no_memory_to_write_down() -> None:
    assert Cluster().make(1, None).persistent_state is None


def test_a_wild_term_is_not_believed_and_a_stale_one_answered() -> None:
    cluster = Cluster()
    cluster.run(1000)
    node = cluster.nodes[2]
    node.receive(cluster.clock(2), 1, Message(Kind.RENEW, node.term + MAX_TERM_JUMP + 1, 9))
    assert node.rejected_term_jumps == 1
    assert node.term == 1
    node.receive(cluster.clock(2), 3, Message(Kind.RENEW, 0, 9))
    assert node.outbox[-1][1].kind is Kind.REJECT


def test_a_voter_gives_so_many_votes_a_minute() -> None:
    parameters = ElectionParameters(jitter_ms=0.0, moves_most=4)
    cluster = Cluster(parameters=parameters)
    for _ in range(120):  # a link that flaps constantly
        cluster.run(400)
        for i in cluster.holders():
            cluster.isolate(i)
        cluster.run(600)
        cluster.cut_links.clear()
    gained = [m for m in cluster.lease_changes if m[1]]
    minutes = 2
    votes = len(cluster.nodes) * parameters.moves_most * (minutes + 1)
    assert 2 <= len(gained) <= votes // cluster.nodes[1].majority


def test_a_flapping_link_moves_it_more_often_without_that_bound() -> None:
    cluster = Cluster(parameters=ElectionParameters(jitter_ms=0.0, moves_most=0))
    for _ in range(60):
        cluster.run(400)
        for i in cluster.holders():
            cluster.isolate(i)
        cluster.run(600)
        cluster.cut_links.clear()
    assert len([m for m in cluster.lease_changes if m[1]]) > 20


def test_preemption_hands_over_to_a_higher_priority() -> None:
    cluster = Cluster(parameters=ElectionParameters(jitter_ms=0.0, preempt_ms=2000.0), priorities={3: 200})
    cluster.down.add(3)
    cluster.run(1500)
    assert cluster.holders() == [1]
    cluster.down.discard(3)
    cluster.run(3000)
    assert cluster.holders() == [3]


# --- the model checker ------------------------------------------------------------------------------------

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


# The model checker must find each seeded fault by one of its strategies.
@pytest.mark.parametrize("fault", [f for f in explore.FAULTS if f != "none"])
def test_a_seeded_fault_is_found(fault: str) -> None:
    assert (explore.explore_holder_pauses(fault).violation
            or any(explore.random_walk(fault, seed).violation for seed in range(400)))


def test_a_holder_that_stands_still_breaks_nothing() -> None:
    report = explore.explore_holder_pauses()
    assert report.violation == ""
    assert report.states > 10_000


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 10**9), st.integers(2, 7),
       st.lists(st.sampled_from(explore.CHOICE_KINDS), min_size=2, unique=True))
def test_any_size_and_seed(seed: int, members: int, kinds: list[str]) -> None:
    assert explore.random_walk("none", seed, steps=200, members=members).violation == ""
