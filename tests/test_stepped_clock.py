"""The wall clock may be stepped by an hour at any time; durations are measured correctly all the same.

Discovery gives a worker's start in Unix time.  In whichever direction the clock was stepped, and whether the start
was stamped before or after the step, a worker that discovery lists as just restarted is cold, and it is warm once
the time given in the settings has passed.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest

from gaphub.core import Core

from .scenario import SETTINGS, Harness

HOUR_S = 3600.0
WARM_MS = 400.0
RULES = {**SETTINGS["rules"], "warmAfter": WARM_MS}
EXPECT_FIRST_CALL = "d expect index=41\n"


def ready_since_ms(core: Core) -> float:
    """How long the only worker has been ready according to the Balancer, in ms of the scheduler's clock."""
    worker, = core.balancer.fleet.workers.values()
    return core.clock.now() - abs(worker.ready_at)


@pytest.mark.parametrize("stamped", ["before", "after"])
@pytest.mark.parametrize("when", ["before the scheduler starts", "while it runs"])
@pytest.mark.parametrize("step_s", [HOUR_S, -HOUR_S])
def test_a_worker_that_restarts_is_cold_for_its_time_whatever_the_clock_says(
        step_s: float, when: str, stamped: str, monkeypatch: pytest.MonkeyPatch, cores: list[Core]) -> None:
    real_time = time.time

    def step() -> None:
        monkeypatch.setattr(time, "time", lambda: real_time() + step_s)

    async def run() -> None:
        if when == "before the scheduler starts":
            step()
        async with Harness(settings={"rules": RULES}) as harness:
            await harness.play(EXPECT_FIRST_CALL + "d send list 42 full w=active\nd expect index=42")
            if when == "while it runs":
                step()
            started_ms = (real_time() if stamped == "before" else time.time()) * 1e3 - 50.0
            await harness.play(f"d send list 43 changes w=active@{started_ms}\nd expect index=43")
            assert -10.0 <= ready_since_ms(cores[0]) <= WARM_MS
            await harness.play("wait 50")
            before = ready_since_ms(cores[0])
            await harness.play(f"d send list 44 changes w=active@{started_ms}\nd expect index=44")
            assert ready_since_ms(cores[0]) >= before, "the same start, listed again, counted as a restart"
            await harness.play(f"wait {WARM_MS}")
            assert ready_since_ms(cores[0]) >= WARM_MS

    asyncio.run(run())


@pytest.mark.parametrize("step_s", [HOUR_S, -HOUR_S])
def test_a_page_for_a_successor_is_believed_across_a_step(step_s: float, monkeypatch: pytest.MonkeyPatch) -> None:
    real_time = time.time

    async def run() -> None:
        async with Harness() as harness:
            await harness.play(EXPECT_FIRST_CALL)

    found: list[tuple[Core, bytes]] = []
    real_init = Core.__init__

    def record_core(self: Core, *args: Any, **more: Any) -> None:
        real_init(self, *args, **more)
        found.append((self, self.export_state()))

    monkeypatch.setattr(Core, "__init__", record_core)
    asyncio.run(run())
    monkeypatch.setattr(time, "time", lambda: real_time() + step_s)
    asyncio.run(run())
    (old, page), (new, _) = found
    assert new.clock.now() - old.clock.now() == pytest.approx(step_s * 1e3, abs=1e3)
    assert new.import_state(page)
    assert new.balancer.started_at <= new.clock.now()
    assert new.clock.now() - new.balancer.started_at < 60_000.0
