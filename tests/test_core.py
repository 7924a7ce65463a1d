"""The core without wires: one final answer whatever raises, and the rules on attempts."""

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
from gaphub.messages import Answer, Call, Destination, Ending, Job, Listed, Outcome
from gaphub.metrics import Counters
from gaphub.tasks import Tasks

SETTINGS = Settings(classes=(ClassSettings(500.0, 5000.0, late_worth=0.2),
                             ClassSettings(1000.0, 9000.0, effect=Effect.UNSAFE)),
                    max_attempts=9, second_copies=False)


class Port:
    """A port that writes down what it is asked, and raises when told to."""

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


class World:
    def __init__(self) -> None:
        self.core = Core(SETTINGS, 5, Clock(), Counters())
        self.port = Port()
        self.core.ports["test"] = self.port
        self.answers: list[Answer] = []
        self.name("w1", "w2", "w3", "w4", "w5", "w6")

    def name(self, *names: str, state: int = WorkerState.READY) -> None:
        self.core.listed("test", ListKind.CHANGES, [Listed(n, "", state) for n in names])

    def job(self, cls: int = 0, left_ms: float = 4000.0,
            reply: Callable[[Answer], None] | None = None) -> Job:
        job = Job("r", cls, self.core.clock.now(), left_ms, reply or self.answers.append)
        assert self.core.offer(job)
        return job

    async def end(self, status: Status, body: bytes = b"") -> None:
        await self.core.post(lambda call=self.port.calls[-1]: self.core.ended(  # type: ignore[misc]
            call, Outcome(status, body)))
        await asyncio.sleep(0.01)

    @property
    def endings(self) -> list[Ending]:
        return [a.ending for a in self.answers]


def core_test(test: Callable[[World, Any], Awaitable[None]]) -> Callable[[pytest.MonkeyPatch], None]:
    """Run a test with a core that runs."""

    def run(monkeypatch: pytest.MonkeyPatch) -> None:
        async def go() -> None:
            world = World()
            task = asyncio.create_task(world.core.run())
            await asyncio.sleep(0)
            await test(world, monkeypatch)
            assert not task.done()
            task.cancel()

        asyncio.run(go())

    run.__name__ = test.__name__
    return run


@core_test
async def test_a_balancer_that_raises_still_lets_the_client_be_answered(w: World, patch: Any) -> None:
    patch.setattr(Balancer, "on_request", lambda *a: 1 / 0)
    w.job(1)
    await asyncio.sleep(0.02)
    assert w.endings == [Ending.REFUSED]  # nothing was sent, so trying again is harmless
    patch.undo()
    w.job(1)
    await asyncio.sleep(0.02)
    patch.setattr(Balancer, "on_outcome", lambda *a: 1 / 0)
    await w.end(Status.RESET)
    assert w.endings[1:] == [Ending.FAILED]
    assert w.core.open_jobs == 0


@core_test
async def test_a_balancer_that_forgets_is_answered_for_at_the_deadline(w: World, patch: Any) -> None:
    patch.setattr(Balancer, "on_request", lambda *a: None)
    w.job(1, left_ms=60.0)
    await asyncio.sleep(0.12)
    assert w.endings == [Ending.REFUSED]
    patch.undo()
    patch.setattr(Balancer, "on_timer", lambda *a: None)
    w.job(1, left_ms=60.0)
    await asyncio.sleep(0.12)
    assert w.endings[1:] == [Ending.FAILED] and w.port.cancelled


@core_test
async def test_a_port_that_raises_is_a_failed_connection(w: World, patch: Any) -> None:
    w.port.broken = True
    w.job(1)
    await asyncio.sleep(0.05)
    assert w.endings == [Ending.REFUSED]
    assert len(w.port.calls) <= 6  # workers; the settings would give more attempts


# A bound of four, whatever the settings say, was one deployment's: the settings alone give the number.
@pytest.mark.parametrize("most", [1, 2, 3, 5, 6])
def test_as_many_attempts_as_the_settings_give_and_no_more(most: int, monkeypatch: pytest.MonkeyPatch) -> None:
    @core_test
    async def test(w: World, patch: Any) -> None:
        w.core.settings = w.core.balancer.settings = replace(SETTINGS, max_attempts=most)
        w.job(0)
        await asyncio.sleep(0.01)
        for _ in range(8):
            await w.end(Status.RESET)
        assert len(w.port.calls) == most
        assert len({c.destination.number for c in w.port.calls}) == most
        assert w.endings == [Ending.REFUSED]
        w.core.balancer.settings = replace(SETTINGS, max_attempts=99)  # a Balancer that asks for more
        w.answers.clear()
        w.job(0)
        await asyncio.sleep(0.01)
        for _ in range(8):
            await w.end(Status.RESET)
        assert len(w.port.calls) == 2 * most and w.endings == [Ending.REFUSED]

    test(monkeypatch)


@core_test
async def test_two_at_once_where_the_settings_allow_it_and_each_outcome_is_told_under_its_number(
        w: World, patch: Any) -> None:
    # Montevideo allows second copies: the core refused each, and the attempts after it bore other numbers here
    # than at the Balancer.
    w.core.settings = w.core.balancer.settings = replace(SETTINGS, second_copies=True)
    told: list[tuple[int, int]] = []
    on_outcome = Balancer.on_outcome

    def hear(b: Balancer, now: float, request: int, index: int, status: int, *more: Any) -> None:
        told.append((index, status))
        on_outcome(b, now, request, index, status, *more)

    patch.setattr(Balancer, "on_outcome", hear)
    w.job(0)
    await asyncio.sleep(0.01)
    job = w.port.calls[0].job
    others = [n for n in w.core.destinations.by_number if n != w.port.calls[0].destination.number]
    for n in others[:3]:
        await w.core.post(lambda n=n: w.core.send(job.number, n, 0.0))  # type: ignore[misc]
    await asyncio.sleep(0.01)
    assert [c.destination.number for c in w.port.calls[1:]] == others[:1]  # the second, never a third
    assert [c.index for c in job.calls] == [0, 1, 2, 3]
    await w.end(Status.FULL)
    await w.core.post(lambda: w.core.send(job.number, others[3], 0.0))
    await asyncio.sleep(0.01)
    assert w.port.calls[-1].index == 4 and job.open_calls == 2
    await w.end(Status.OK, b"x")
    assert told == [(2, Status.MOOT), (3, Status.MOOT), (1, Status.FULL), (4, Status.OK)]
    assert w.endings == [Ending.SERVED] and w.core.open_jobs == 1  # the first has yet to end
    await w.core.post(lambda: w.core.ended(w.port.calls[0], Outcome(Status.OK, b"y")))
    await asyncio.sleep(0.01)
    assert w.endings == [Ending.SERVED] and w.core.open_jobs == 0  # two that are served: one answer


KEYED = ClassSettings(500.0, 5000.0, effect=Effect.KEYED, window_ms=1000.0)


@pytest.mark.parametrize("group", list(Group))
def test_a_repeat_that_workers_drop_goes_to_the_same_group_within_its_window_whoever_asks(
        group: Group, monkeypatch: pytest.MonkeyPatch) -> None:
    @core_test
    async def test(w: World, patch: Any) -> None:
        w.core.settings = replace(SETTINGS, classes=(replace(KEYED, group=group),))
        w.core.listed("test", ListKind.FULL, [
            Listed("a", "", 1, zone=0, cell=1), Listed("b", "", 1, zone=0, cell=2),
            Listed("c", "", 1, zone=1, cell=1)])
        numbers = {d.listed.name: n for n, d in w.core.destinations.by_number.items()}
        patch.setattr(Balancer, "on_request", lambda b, now, r: b.actions.send(r.id, numbers["a"], 0.0))
        patch.setattr(Balancer, "on_outcome", lambda *more: None)
        for late in (False, True):
            for name in "abc":
                w.port.calls.clear()
                w.job(0)
                await asyncio.sleep(0.01)
                first = w.port.calls[0]
                await w.end(Status.RESET)
                first.sent_at -= 1001.0 if late else 0.0
                await w.core.post(partial(w.core.send, first.job.number, numbers[name], 0.0))
                await asyncio.sleep(0.01)
                same = {Group.ALL: "abc", Group.ZONE: "ab", Group.CELL: "ac"}[group]
                assert (len(w.port.calls) == 2) == (name in same and not late), (name, late)

    test(monkeypatch)


@core_test
async def test_never_two_at_once_and_never_twice_even_if_the_balancer_asks(w: World, patch: Any) -> None:
    w.job(1)
    await asyncio.sleep(0.01)
    job = w.port.calls[0].job
    other = next(n for n in w.core.destinations.by_number if n != w.port.calls[0].destination.number)
    w.core.send(job.number, other, 0.0)
    assert len(w.port.calls) == 1  # one is out
    w.port.calls[0].status, job.open_calls = Status.TIMEOUT, 0
    w.core.send(job.number, other, 0.0)
    assert len(w.port.calls) == 1  # it may have run
    w.core.refuse(job.number, 0.0)
    assert w.endings == [Ending.FAILED]  # a refusal would be untrue


@core_test
async def test_nothing_is_sent_to_a_draining_or_unlisted_worker(w: World, patch: Any) -> None:
    w.name("w1", "w2", "w3", "w4", "w5", state=WorkerState.DRAINING)
    for _ in range(5):
        w.job(0)
    await asyncio.sleep(0.02)
    assert {c.destination.listed.name for c in w.port.calls} == {"w6"}
    w.core.send(w.port.calls[0].job.number, 999, 0.0)
    assert len(w.port.calls) == 5


@core_test
async def test_a_whole_list_of_one_source_keeps_the_other_sources_workers(w: World, patch: Any) -> None:
    w.core.ports["other"] = w.port
    w.core.listed("other", ListKind.FULL, [Listed("x1", "", WorkerState.READY)])
    w.core.listed("test", ListKind.FULL, [Listed("w9", "", WorkerState.READY)])
    assert {d.listed.name for d in w.core.destinations.by_number.values()} == {"x1", "w9"}
    assert len(w.core.balancer.fleet.ready) == 2
    w.core.listed("other", ListKind.FULL, [])
    assert {d.listed.name for d in w.core.destinations.by_number.values()} == {"w9"}
    assert len(w.core.balancer.fleet.ready) == 1


def test_gateways_number_workers_alike_whatever_the_order_of_their_lists() -> None:
    # Numbers by order of listing gave a key another home at each gateway, to be fetched at each.
    cores = [World().core for _ in range(2)]
    for core, names in zip(cores, (["a", "b", "c"], ["c", "x", "b", "a"]), strict=True):
        core.listed("test", ListKind.FULL, [Listed(n, "", WorkerState.READY) for n in names])
    one, two = ({d.listed.name: n for n, d in c.destinations.by_number.items()} for c in cores)
    assert {n: two[n] for n in one} == one and len(set(two.values())) == 4


@core_test
async def test_a_call_that_ends_before_its_request_times_out(w: World, patch: Any) -> None:
    first = next(iter(w.core.destinations.by_number))
    patch.setattr(Balancer, "on_request", lambda b, now, r: b.actions.send(r.id, first, 30.0))
    w.job(1)
    await asyncio.sleep(0.1)
    assert [c.status for c in w.port.calls] == [Status.TIMEOUT]


@core_test
async def test_an_endless_time_out_does_not_spoil_the_others(w: World, patch: Any) -> None:
    # Seen with the proof's HTTP clients, whose X-Timeout was 4,000 s: every other job of the class counted
    # as a late retry and was refused.
    w.job(1, left_ms=4e6)
    w.job(1, left_ms=9000.0)
    await asyncio.sleep(0.02)
    assert len(w.port.calls) == 2 and w.endings == []


@core_test
async def test_a_front_that_raises_on_its_answer_stops_nobody(w: World, patch: Any) -> None:
    w.job(0, reply=lambda a: 1 / 0)  # type: ignore[arg-type]
    await asyncio.sleep(0.01)
    await w.end(Status.OK)
    w.job(0)
    await asyncio.sleep(0.01)
    await w.end(Status.OK, b"x")
    assert w.endings == [Ending.SERVED]


@core_test
async def test_a_full_mailbox_is_a_refusal_at_the_door(w: World, patch: Any) -> None:
    taken = 0
    while w.core.offer(Job("r", 0, w.core.clock.now(), 4000.0, w.answers.append)):
        taken += 1
    assert taken >= 1000 and w.core.counters.values["requests.fail_fast"] == 1
    await asyncio.sleep(0.2)
    w.job(0)


def test_a_task_that_swallows_its_cancellation_ends_all_the_same() -> None:
    async def run() -> None:
        async def deaf() -> None:
            with suppress(asyncio.CancelledError):
                await asyncio.sleep(3600.0)
            await asyncio.sleep(3600.0)

        tasks = Tasks(Counters())
        tasks.start(deaf())
        await asyncio.sleep(0)
        async with asyncio.timeout(20.0):
            await tasks.close()

    asyncio.run(run())


# Another customer's settings: the fronts do not tell whose a request is, so none is counted as past a quota.
def test_requests_of_nobody_known_are_within_every_share() -> None:
    tenants = (TenantSettings(quota_per_s=0.001, share=0.5), TenantSettings(quota_per_s=100.0, share=0.5))
    core = Core(replace(SETTINGS, tenants=tenants, over_share_worth=0.1), 5, Clock(), Counters())
    core.ports["test"] = Port()
    core.listed("test", ListKind.CHANGES, [Listed("w1", "", WorkerState.READY)])
    for i in range(200):
        core._take(Job(f"r{i}", 0, core.clock.now(), 4000.0, lambda answer: None))
    assert core.balancer.jobs
    assert not any(job.over_share for job in core.balancer.jobs.values())
