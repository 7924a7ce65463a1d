"""Changes of the worker list lead to the same state as full lists, in each exchange, for random lists."""

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
# Listed workers, workers listed as gone, and changes of slots out before the next list.
STEPS = st.lists(st.tuples(st.sets(WORKERS), st.sets(WORKERS), st.lists(st.tuples(WORKERS, st.integers(0, 3)))),
                 min_size=1, max_size=8)
EXCHANGES: dict[str, Callable[[], OccupancyExchange]] = {
    "all to all": lambda: AllToAll(0.0, OTHERS),
    "sharded": lambda: ShardedExchange(0.0, 0, range(OTHERS + 1), 7),
    "by size": lambda: SizedExchange(0.0, 0, OTHERS),
}


class Replay:
    """Feeds an exchange with lists and changes of counts, and collects its messages."""

    def __init__(self, exchange: OccupancyExchange, full_lists: bool) -> None:
        self.exchange = exchange
        self.full_lists = full_lists
        self.listed: dict[int, float] = {}
        self.wakeups: list[float] = []
        self._collect_wakeups()

    def _collect_wakeups(self) -> None:
        while (wakeup := self.exchange.take_wakeup()) is not None:
            self.wakeups.append(wakeup)

    def send_list(self, listed: set[int], gone: set[int]) -> None:
        """Pass on a list: in full, or only its changes."""
        for worker in gone - listed:
            self.listed.pop(worker, None)
        self.listed |= {worker: self.listed.get(worker, 0.0) for worker in sorted(listed)}
        entries = list(self.listed) if self.full_lists else sorted(listed)
        slots_out = {worker: self.listed[worker] for worker in entries}
        identities = {worker: 10**12 + worker for worker in entries}
        if self.full_lists:
            self.exchange.set_workers(1.0, slots_out, identities)
        else:
            self.exchange.update_workers(1.0, slots_out, identities, sorted(gone - listed))
        self._collect_wakeups()

    def change(self, worker: int, slots: int) -> None:
        """Record own slots out at a worker, if it is listed."""
        if worker in self.listed:
            self.exchange.record_change(1.0, worker, float(slots), slots > self.listed[worker])
            self.listed[worker] = float(slots)
            self._collect_wakeups()

    def apply(self, steps: list[Step]) -> Replay:
        """Pass on each list, and the changes that follow it."""
        for listed, gone, changes in steps:
            self.send_list(listed, gone)
            for worker, slots in changes:
                self.change(worker, slots)
        return self

    def output(self) -> list[Outgoing]:
        """All messages of its first five seconds."""
        rng, messages = random.Random(3), list[Outgoing]()
        while True:
            self.wakeups.sort()
            due = self.wakeups.pop(0)
            if due > 5_000.0:
                return messages
            messages += self.exchange.on_wakeup(due, due, rng.random)
            self._collect_wakeups()


@pytest.mark.parametrize("name", EXCHANGES)
@given(steps=STEPS)
def test_changes_leave_an_exchange_as_whole_lists_do(name: str, steps: list[Step]) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(sized, "LARGE_FROM_WORKERS", 6)  # random lists cross both thresholds
        patch.setattr(sized, "SMALL_BELOW_WORKERS", 4)
        full_lists = Replay(EXCHANGES[name](), True).apply(steps)
        changes_only = Replay(EXCHANGES[name](), False).apply(steps)
        for exchange in (full_lists.exchange, changes_only.exchange):
            if isinstance(exchange, SizedExchange):
                large = exchange.sharded is not None
                assert large or len(full_lists.listed) < 6
                assert not large or len(full_lists.listed) >= 4
        assert full_lists.output() == changes_only.output()


@pytest.mark.parametrize("full_lists", [True, False])
def test_a_worker_that_is_listed_again_while_slots_are_out_stays_when_they_end(full_lists: bool) -> None:
    exchange = ShardedExchange(0.0, 0, [0], 7)
    replay = Replay(exchange, full_lists).apply([({1, 2}, set(), [(1, 2)]), ({2}, {1}, [])])
    replay.listed[1] = 2.0
    replay.send_list({1, 2}, set())
    replay.change(1, 0)
    assert exchange.age(1.0, 1) < math.inf  # the worker is still known
