"""A short run of the soak test of shutdown (``tests/soak.py``), on its own seeds; the long one is run manually."""

from __future__ import annotations

from .fleet import play
from .soak import Soak, soak

SEEDS = [4, 5, 7, 9, 11, 14, 17, 18]  # cover all deadlines, single schedulers and pairs; four have a crowd
TOGETHER = 3
WITHIN_S = 120.0


def test_clients_that_use_their_connections_until_sigkill_lose_nothing() -> None:
    runs: list[Soak] = []

    async def run_all() -> None:
        runs.extend(await soak(SEEDS, TOGETHER))

    play(run_all(), WITHIN_S)
    violations = [violation for run in runs for violation in run.violations]
    assert not violations, violations
    assert sum(run.counts["sent"] for run in runs) > 1_000
