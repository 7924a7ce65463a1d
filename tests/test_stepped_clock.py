"""The machine's wall clock may be stepped by an hour at any time; spans of real time are kept all the same.

A worker's start is told in Unix time.  Whichever way the clock was stepped, and whether the worker's start was
stamped by the clock before or after, a worker that discovery tells to have just restarted is cold, and is warm
when the settings' time has passed.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest

from gaphub.core import Core

from .scenario import SETTINGS, Cast

HOUR_S = 3600.0
WARM_MS = 400.0
RULES = {**SETTINGS["rules"], "warmAfter": WARM_MS}
ONE = "d expect index=41\n"


def ready_since_ms(core: Core) -> float:
    """For how long its one worker has been ready, as the decisions see it; ms of the scheduler's clock."""
    worker, = core.balancer.fleet.workers.values()
    return core.clock.now() - abs(worker.ready_at)


@pytest.mark.parametrize("stamped", ["before", "after"])
@pytest.mark.parametrize("when", ["before the scheduler starts", "while it runs"])
@pytest.mark.parametrize("step_s", [HOUR_S, -HOUR_S])
def test_a_worker_that_restarts_is_cold_for_its_time_whatever_the_clock_says(
        step_s: float, when: str, stamped: str, monkeypatch: pytest.MonkeyPatch, cores: list[Core]) -> None:
    real = time.time

    def step() -> None:
        monkeypatch.setattr(time, "time", lambda: real() + step_s)

    async def run() -> None:
        if when == "before the scheduler starts":
            step()
        async with Cast(settings={"rules": RULES}) as cast:
            await cast.play(ONE + "d send list 42 full w=active\nd expect index=42")
            if when == "while it runs":
                step()
            started_ms = (real() if stamped == "before" else time.time()) * 1e3 - 50.0
            await cast.play(f"d send list 43 changes w=active@{started_ms}\nd expect index=43")
            assert -10.0 <= ready_since_ms(cores[0]) <= WARM_MS
            await cast.play("wait 50")
            before = ready_since_ms(cores[0])
            await cast.play(f"d send list 44 changes w=active@{started_ms}\nd expect index=44")
            assert ready_since_ms(cores[0]) >= before, "told again of the same start, it began anew"
            await cast.play(f"wait {WARM_MS}")
            assert ready_since_ms(cores[0]) >= WARM_MS

    asyncio.run(run())


@pytest.mark.parametrize("step_s", [HOUR_S, -HOUR_S])
def test_a_page_for_a_successor_is_believed_across_a_step(step_s: float, monkeypatch: pytest.MonkeyPatch) -> None:
    real = time.time

    async def run() -> None:
        async with Cast() as cast:
            await cast.play(ONE)

    found: list[tuple[Core, bytes]] = []
    make = Core.__init__

    def noted(self: Core, *args: Any, **more: Any) -> None:
        make(self, *args, **more)
        found.append((self, self.legacy()))

    monkeypatch.setattr(Core, "__init__", noted)
    asyncio.run(run())
    monkeypatch.setattr(time, "time", lambda: real() + step_s)
    asyncio.run(run())
    (old, page), (new, _) = found
    assert new.clock.now() - old.clock.now() == pytest.approx(step_s * 1e3, abs=1e3)
    assert new.inherit(page)
    assert new.balancer.started_at <= new.clock.now()
    assert new.clock.now() - new.balancer.started_at < 60_000.0
