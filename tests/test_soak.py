"""A short form of the soak of shutdowns (``tests/soak.py``), on seeds of its own; the long one is run by hand."""

from __future__ import annotations

from .fleet import play
from .soak import Soak, soak

SEEDS = [4, 5, 7, 9, 11, 14, 17, 18]  # all deadlines, single schedulers and pairs, four with a crowd
TOGETHER = 3
WITHIN_S = 120.0


def test_clients_that_use_their_connections_until_sigkill_lose_nothing() -> None:
    runs: list[Soak] = []

    async def all_of_them() -> None:
        runs.extend(await soak(SEEDS, TOGETHER))

    play(all_of_them(), WITHIN_S)
    breaks = [b for run in runs for b in run.breaks]
    assert not breaks, breaks
    assert sum(run.counts["sent"] for run in runs) > 1_000
