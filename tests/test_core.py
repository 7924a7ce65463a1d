"""The core with a fake port: exactly one final answer even if something raises, and the rules on attempts."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace
from functools import partial
from typing import Any

import pytest

from gaphub.clock import Clock
from gaphub.core import Core
from gaphub.interface import ClassSettings, Effect, Group, ListKind, Settings, Status, TenantSettings, WorkerState
from gaphub.logic import Balancer
from gaphub.messages import Answer, Call, Destination, FinalStatus, Job, ListedDestination, Outcome
from gaphub.metrics import Counters
from gaphub.tasks import Tasks

SETTINGS = Settings(classes=(ClassSettings(500.0, 5000.0, late_worth=0.2),
                             ClassSettings(1000.0, 9000.0, effect=Effect.UNSAFE)),
                    max_attempts=9, second_copies=False)


class FakePort:
    """A port that records its calls, and raises from ``start`` if ``broken``."""

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.cancelled: list[Call] = []
        self.broken = False

    def start(self, call: Call) -> Outcome | None:
        self.calls.append(call)
        if self.broken:
            raise OSError("no port")
        return None

    def cancel(self, call: Call) -> Outcome | None:
        self.cancelled.append(call)
        return Outcome(Status.CANCELLED)

    def probe(self, destination: Destination) -> tuple[Status, tuple[float, ...]] | None:
        return Status.OK, ()

    def close_idle(self, destination: Destination) -> None: ...

    def forget(self, destination: Destination) -> None: ...


class CoreFixture:
    """A core with a fake port and six workers; collects the final answers."""

    def __init__(self) -> None:
        self.core = Core(SETTINGS, 5, Clock(), Counters())
        self.port = FakePort()
        self.core.ports["test"] = self.port
        self.answers: list[Answer] = []
        self.list_workers("w1", "w2", "w3", "w4", "w5", "w6")

    def list_workers(self, *names: str, state: int = WorkerState.READY) -> None:
        self.core.update_destinations("test", ListKind.CHANGES, [ListedDestination(n, "", state) for n in names])

    def submit(self, cls: int = 0, left_ms: float = 4000.0,
            reply: Callable[[Answer], None] | None = None) -> Job:
        job = Job("r", cls, self.core.clock.now(), left_ms, reply or self.answers.append)
        assert self.core.offer(job)
        return job

    async def end_last_call(self, status: Status, body: bytes = b"") -> None:
        await self.core.post(lambda call=self.port.calls[-1]: self.core.call_ended(  # type: ignore[misc]
            call, Outcome(status, body)))
        await asyncio.sleep(0.01)

    @property
    def final_statuses(self) -> list[FinalStatus]:
        return [a.final_status for a in self.answers]


def core_test(test: Callable[[CoreFixture, Any], Awaitable[None]]) -> Callable[[pytest.MonkeyPatch], None]:
    """Run a test while the core runs in a task."""

    def run(monkeypatch: pytest.MonkeyPatch) -> None:
        async def go() -> None:
            world = CoreFixture()
            task = asyncio.create_task(world.core.run())
            await asyncio.sleep(0)
            await test(world, monkeypatch)
            assert not task.done()
            task.cancel()

        asyncio.run(go())

    run.__name__ = test.__name__
    return run


@core_test
async def test_a_balancer_that_raises_still_lets_the_client_be_answered(world: CoreFixture, patch: Any) -> None:
    patch.setattr(Balancer, "on_request", lambda *a: 1 / 0)
    world.submit(1)
    await asyncio.sleep(0.02)
    assert world.final_statuses == [FinalStatus.REFUSED]  # nothing was sent, so a retry is harmless
    patch.undo()
    world.submit(1)
    await asyncio.sleep(0.02)
    patch.setattr(Balancer, "on_outcome", lambda *a: 1 / 0)
    await world.end_last_call(Status.RESET)
    assert world.final_statuses[1:] == [FinalStatus.FAILED]
    assert world.core.open_jobs == 0


@core_test
async def test_a_balancer_that_forgets_is_answered_for_at_the_deadline(world: CoreFixture, patch: Any) -> None:
    patch.setattr(Balancer, "on_request", lambda *a: None)
    world.submit(1, left_ms=60.0)
    await asyncio.sleep(0.12)
    assert world.final_statuses == [FinalStatus.REFUSED]
    patch.undo()
    patch.setattr(Balancer, "on_timer", lambda *a: None)
    world.submit(1, left_ms=60.0)
    await asyncio.sleep(0.12)
    assert world.final_statuses[1:] == [FinalStatus.FAILED] and world.port.cancelled


@core_test
async def test_a_port_that_raises_is_a_failed_connection(world: CoreFixture, patch: Any) -> None:
    world.port.broken = True
    world.submit(1)
    await asyncio.sleep(0.05)
    assert world.final_statuses == [FinalStatus.REFUSED]
    assert len(world.port.calls) <= 6  # the number of workers; the settings would allow more attempts


# Guards against a bound on attempts beside the settings: it was four, as in one deployment's settings.
@pytest.mark.parametrize("most", [1, 2, 3, 5, 6])
def test_as_many_attempts_as_the_settings_give_and_no_more(most: int, monkeypatch: pytest.MonkeyPatch) -> None:
    @core_test
    async def test(world: CoreFixture, patch: Any) -> None:
        world.core.settings = world.core.balancer.settings = replace(SETTINGS, max_attempts=most)
        world.submit(0)
        await asyncio.sleep(0.01)
        for _ in range(8):
            await world.end_last_call(Status.RESET)
        assert len(world.port.calls) == most
        assert len({c.destination.number for c in world.port.calls}) == most
        assert world.final_statuses == [FinalStatus.REFUSED]
        world.core.balancer.settings = replace(SETTINGS, max_attempts=99)  # a Balancer that asks for more attempts
        world.answers.clear()
        world.submit(0)
        await asyncio.sleep(0.01)
        for _ in range(8):
            await world.end_last_call(Status.RESET)
        assert len(world.port.calls) == 2 * most and world.final_statuses == [FinalStatus.REFUSED]

    test(monkeypatch)


@core_test
async def test_two_at_once_where_the_settings_allow_it_and_each_outcome_is_told_under_its_number(
        world: CoreFixture, patch: Any) -> None:
    # Guards against a core that refuses every second copy, in spite of settings that allow them, and then numbers
    # the later attempts differently from the Balancer.
    world.core.settings = world.core.balancer.settings = replace(SETTINGS, second_copies=True)
    outcomes: list[tuple[int, int]] = []
    on_outcome = Balancer.on_outcome

    def record(balancer: Balancer, now: float, request: int, index: int, status: int, *more: Any) -> None:
        outcomes.append((index, status))
        on_outcome(balancer, now, request, index, status, *more)

    patch.setattr(Balancer, "on_outcome", record)
    world.submit(0)
    await asyncio.sleep(0.01)
    job = world.port.calls[0].job
    others = [n for n in world.core.destinations.by_number if n != world.port.calls[0].destination.number]
    for n in others[:3]:
        await world.core.post(lambda n=n: world.core.send(job.number, n, 0.0))  # type: ignore[misc]
    await asyncio.sleep(0.01)
    assert [c.destination.number for c in world.port.calls[1:]] == others[:1]  # a second copy, never a third
    assert [c.index for c in job.calls] == [0, 1, 2, 3]
    await world.end_last_call(Status.FULL)
    await world.core.post(lambda: world.core.send(job.number, others[3], 0.0))
    await asyncio.sleep(0.01)
    assert world.port.calls[-1].index == 4 and job.open_calls == 2
    await world.end_last_call(Status.OK, b"x")
    assert outcomes == [(2, Status.MOOT), (3, Status.MOOT), (1, Status.FULL), (4, Status.OK)]
    assert world.final_statuses == [FinalStatus.SERVED] and world.core.open_jobs == 1  # the first call is open
    await world.core.post(lambda: world.core.call_ended(world.port.calls[0], Outcome(Status.OK, b"y")))
    await asyncio.sleep(0.01)
    # Two successful calls, one answer.
    assert world.final_statuses == [FinalStatus.SERVED] and world.core.open_jobs == 0


KEYED = ClassSettings(500.0, 5000.0, effect=Effect.KEYED, window_ms=1000.0)


@pytest.mark.parametrize("group", list(Group))
def test_a_repeat_that_workers_drop_goes_to_the_same_group_within_its_window_whoever_asks(
        group: Group, monkeypatch: pytest.MonkeyPatch) -> None:
    @core_test
    async def test(world: CoreFixture, patch: Any) -> None:
        world.core.settings = replace(SETTINGS, classes=(replace(KEYED, group=group),))
        world.core.update_destinations("test", ListKind.FULL, [
            ListedDestination("a", "", 1, zone=0, cell=1), ListedDestination("b", "", 1, zone=0, cell=2),
            ListedDestination("c", "", 1, zone=1, cell=1)])
        numbers = {d.listed.name: n for n, d in world.core.destinations.by_number.items()}
        patch.setattr(Balancer, "on_request", lambda b, now, r: b.actions.send(r.id, numbers["a"], 0.0))
        patch.setattr(Balancer, "on_outcome", lambda *more: None)
        for late in (False, True):
            for name in "abc":
                world.port.calls.clear()
                world.submit(0)
                await asyncio.sleep(0.01)
                first = world.port.calls[0]
                await world.end_last_call(Status.RESET)
                first.sent_at -= 1001.0 if late else 0.0
                await world.core.post(partial(world.core.send, first.job.number, numbers[name], 0.0))
                await asyncio.sleep(0.01)
                same = {Group.ALL: "abc", Group.ZONE: "ab", Group.CELL: "ac"}[group]
                assert (len(world.port.calls) == 2) == (name in same and not late), (name, late)

    test(monkeypatch)


@core_test
async def test_never_two_at_once_and_never_twice_even_if_the_balancer_asks(world: CoreFixture, patch: Any) -> None:
    world.submit(1)
    await asyncio.sleep(0.01)
    job = world.port.calls[0].job
    other = next(n for n in world.core.destinations.by_number if n != world.port.calls[0].destination.number)
    world.core.send(job.number, other, 0.0)
    assert len(world.port.calls) == 1  # a call is in flight
    world.port.calls[0].status, job.open_calls = Status.TIMEOUT, 0
    world.core.send(job.number, other, 0.0)
    assert len(world.port.calls) == 1  # the first call may have run
    world.core.refuse(job.number, 0.0)
    assert world.final_statuses == [FinalStatus.FAILED]  # a refusal would state that it did not run


@core_test
async def test_nothing_is_sent_to_a_draining_or_unlisted_worker(world: CoreFixture, patch: Any) -> None:
    world.list_workers("w1", "w2", "w3", "w4", "w5", state=WorkerState.DRAINING)
    for _ in range(5):
        world.submit(0)
    await asyncio.sleep(0.02)
    assert {c.destination.listed.name for c in world.port.calls} == {"w6"}
    world.core.send(world.port.calls[0].job.number, 999, 0.0)
    assert len(world.port.calls) == 5


@core_test
async def test_a_whole_list_of_one_source_keeps_the_other_sources_workers(world: CoreFixture, patch: Any) -> None:
    world.core.ports["other"] = world.port
    world.core.update_destinations("other", ListKind.FULL, [ListedDestination("x1", "", WorkerState.READY)])
    world.core.update_destinations("test", ListKind.FULL, [ListedDestination("w9", "", WorkerState.READY)])
    assert {d.listed.name for d in world.core.destinations.by_number.values()} == {"x1", "w9"}
    assert len(world.core.balancer.fleet.ready) == 2
    world.core.update_destinations("other", ListKind.FULL, [])
    assert {d.listed.name for d in world.core.destinations.by_number.values()} == {"w9"}
    assert len(world.core.balancer.fleet.ready) == 1


def test_gateways_number_workers_alike_whatever_the_order_of_their_lists() -> None:
    # Guards against numbers by position in the list: each scheduler then sent a key to a different worker, and the
    # key's data was fetched at each of them.
    cores = [CoreFixture().core for _ in range(2)]
    for core, names in zip(cores, (["a", "b", "c"], ["c", "x", "b", "a"]), strict=True):
        core.update_destinations("test", ListKind.FULL,
                                 [ListedDestination(n, "", WorkerState.READY) for n in names])
    one, two = ({d.listed.name: n for n, d in c.destinations.by_number.items()} for c in cores)
    assert {n: two[n] for n in one} == one and len(set(two.values())) == 4


@core_test
async def test_a_call_that_ends_before_its_request_times_out(world: CoreFixture, patch: Any) -> None:
    first = next(iter(world.core.destinations.by_number))
    patch.setattr(Balancer, "on_request", lambda b, now, r: b.actions.send(r.id, first, 30.0))
    world.submit(1)
    await asyncio.sleep(0.1)
    assert [c.status for c in world.port.calls] == [Status.TIMEOUT]


@core_test
async def test_an_endless_time_out_does_not_spoil_the_others(world: CoreFixture, patch: Any) -> None:
    # Seen with clients whose X-Timeout was 4,000 s: every other job of the class counted as a late retry and was
    # refused.
    world.submit(1, left_ms=4e6)
    world.submit(1, left_ms=9000.0)
    await asyncio.sleep(0.02)
    assert len(world.port.calls) == 2 and world.final_statuses == []


@core_test
async def test_a_front_that_raises_on_its_answer_stops_nobody(world: CoreFixture, patch: Any) -> None:
    world.submit(0, reply=lambda a: 1 / 0)  # type: ignore[arg-type]
    await asyncio.sleep(0.01)
    await world.end_last_call(Status.OK)
    world.submit(0)
    await asyncio.sleep(0.01)
    await world.end_last_call(Status.OK, b"x")
    assert world.final_statuses == [FinalStatus.SERVED]


@core_test
async def test_a_full_mailbox_is_a_refusal_at_the_door(world: CoreFixture, patch: Any) -> None:
    taken = 0
    while world.core.offer(Job("r", 0, world.core.clock.now(), 4000.0, world.answers.append)):
        taken += 1
    assert taken >= 1000 and world.core.counters.values["requests.fail_fast"] == 1
    await asyncio.sleep(0.2)
    world.submit(0)


def test_a_task_that_swallows_its_cancellation_ends_all_the_same() -> None:
    async def run() -> None:
        async def swallow_one_cancellation() -> None:
            with suppress(asyncio.CancelledError):
                await asyncio.sleep(3600.0)
            await asyncio.sleep(3600.0)

        tasks = Tasks(Counters())
        tasks.start(swallow_one_cancellation())
        await asyncio.sleep(0)
        async with asyncio.timeout(20.0):
            await tasks.close()

    asyncio.run(run())


# With settings that define tenants: front ends do not identify the tenant of a request, so no request may count as
# over a quota.
def test_requests_of_nobody_known_are_within_every_share() -> None:
    tenants = (TenantSettings(quota_per_s=0.001, share=0.5), TenantSettings(quota_per_s=100.0, share=0.5))
    core = Core(replace(SETTINGS, tenants=tenants, over_share_worth=0.1), 5, Clock(), Counters())
    core.ports["test"] = FakePort()
    core.update_destinations("test", ListKind.CHANGES, [ListedDestination("w1", "", WorkerState.READY)])
    for i in range(200):
        core._accept(Job(f"r{i}", 0, core.clock.now(), 4000.0, lambda answer: None))
    assert core.balancer.jobs
    assert not any(job.over_share for job in core.balancer.jobs.values())
