"""A list of changes leaves an exchange as the whole list would: each way, over random lists."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gaphub.occupancy import sized
from gaphub.occupancy.all_to_all import AllToAll
from gaphub.occupancy.exchange import OccupancyExchange, Outgoing
from gaphub.occupancy.sharded import ShardedExchange
from gaphub.occupancy.sized import SizedExchange

OTHERS = 9
Step = tuple[set[int], set[int], list[tuple[int, int]]]
WORKERS = st.integers(1, 12)
# Workers that a list names, those that it names as gone, and slots that change before the next list.
STEPS = st.lists(st.tuples(st.sets(WORKERS), st.sets(WORKERS), st.lists(st.tuples(WORKERS, st.integers(0, 3)))),
                 min_size=1, max_size=8)
WAYS: dict[str, Callable[[], OccupancyExchange]] = {
    "all to all": lambda: AllToAll(0.0, OTHERS),
    "sharded": lambda: ShardedExchange(0.0, 0, range(OTHERS + 1), 7),
    "by size": lambda: SizedExchange(0.0, 0, OTHERS),
}


class Played:
    """An exchange, the lists and changes that it is told, and what it says."""

    def __init__(self, way: OccupancyExchange, whole: bool) -> None:
        self.way = way
        self.whole = whole
        self.listed: dict[int, float] = {}
        self.wakeups: list[float] = []
        self._asked()

    def _asked(self) -> None:
        while (wakeup := self.way.take_wakeup()) is not None:
            self.wakeups.append(wakeup)

    def name(self, named: set[int], gone: set[int]) -> None:
        """Tell it a list: the whole one, or what has changed."""
        for worker in gone - named:
            self.listed.pop(worker, None)
        self.listed |= {worker: self.listed.get(worker, 0.0) for worker in sorted(named)}
        news = list(self.listed) if self.whole else sorted(named)
        slots_out = {worker: self.listed[worker] for worker in news}
        identities = {worker: 10**12 + worker for worker in news}
        if self.whole:
            self.way.set_workers(1.0, slots_out, identities)
        else:
            self.way.update_workers(1.0, slots_out, identities, sorted(gone - named))
        self._asked()

    def change(self, worker: int, slots: int) -> None:
        """Tell it this scheduler's slots out at a worker, if it is listed."""
        if worker in self.listed:
            self.way.record_change(1.0, worker, float(slots), slots > self.listed[worker])
            self.listed[worker] = float(slots)
            self._asked()

    def play(self, steps: list[Step]) -> Played:
        """Each list, and the changes after it."""
        for named, gone, changes in steps:
            self.name(named, gone)
            for worker, slots in changes:
                self.change(worker, slots)
        return self

    def told(self) -> list[Outgoing]:
        """All that it says in its first seconds."""
        rng, found = random.Random(3), list[Outgoing]()
        while True:
            self.wakeups.sort()
            due = self.wakeups.pop(0)
            if due > 5_000.0:
                return found
            found += self.way.on_wakeup(due, due, rng.random)
            self._asked()


@pytest.mark.parametrize("name", WAYS)
@given(steps=STEPS)
def test_changes_leave_an_exchange_as_whole_lists_do(name: str, steps: list[Step]) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(sized, "LARGE_FROM_WORKERS", 6)  # lists of twelve cross both bounds
        patch.setattr(sized, "SMALL_BELOW_WORKERS", 4)
        whole = Played(WAYS[name](), True).play(steps)
        parts = Played(WAYS[name](), False).play(steps)
        for one in (whole.way, parts.way):
            if isinstance(one, SizedExchange):
                large = one.sharded is not None
                assert large or len(whole.listed) < 6
                assert not large or len(whole.listed) >= 4
        assert whole.told() == parts.told()


@pytest.mark.parametrize("whole", [True, False])
def test_a_worker_that_is_listed_again_while_slots_are_out_stays_when_they_end(whole: bool) -> None:
    way = ShardedExchange(0.0, 0, [0], 7)
    played = Played(way, whole).play([({1, 2}, set(), [(1, 2)]), ({2}, {1}, [])])
    played.listed[1] = 2.0
    played.name({1, 2}, set())
    played.change(1, 0)
    assert way.age(1.0, 1) < math.inf  # it is known still
