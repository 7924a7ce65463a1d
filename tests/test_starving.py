"""Most workers of a generated deployment are replaced at once: no class starves, no cold worker is overloaded."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field

import pytest
from hypothesis import HealthCheck, example, given, seed, settings
from hypothesis import strategies as st

from gaphub.config import Address
from gaphub.interface import ClassSettings, Effect, Settings
from gaphub.lab.model import Fleet, Load, SimulatedWorker, Tally

from . import fleet as processes
from .processes import job
from .test_cold_budget import COLD_FROM, FALL_MULTIPLE, MEAN_MS, SHARES, WARM_MS, Server

SHARE = 0.15  # of a class's requests: must be served if a worker had room for at least half of them


@dataclass(frozen=True)
class ClassSpec:
    """One class of a deployment; ``dedicated``: it runs on a kind of worker of its own."""

    worth: float
    work_ms: float
    slots: int
    dedicated: bool
    effect: Effect
    weight: float


CLASS = st.builds(ClassSpec, st.sampled_from([1.0, 2.0, 5.0, 20.0]), st.sampled_from([150.0, 400.0, 900.0]),
                  st.sampled_from([1, 2, 4, 8]), st.booleans(), st.sampled_from([Effect.SAFE, Effect.UNSAFE]),
                  st.sampled_from([0.2, 1.0, 3.0]))


def simulate(classes: list[ClassSpec], zones: int, replaced_share: float, schedulers: int, load: float,
             peers_tell: bool, seed: int) -> tuple[list[Tally], float]:
    """Six seconds with warm workers, then the replacement; tallies and peak load of the next nine seconds."""
    kinds = 1 + max((i + 1 for i, spec in enumerate(classes) if spec.dedicated), default=0)
    machine_count = max(12, 4 * kinds * zones)
    machines = [SimulatedWorker(i + 1, i % kinds, i // kinds % zones, 8, 0.0) for i in range(machine_count)]
    per_kind = len(machines) / kinds * 8  # slots of a kind
    rows, loads = [], []
    for i, spec in enumerate(classes):
        rows.append(ClassSettings(aim_ms=2.0 * spec.work_ms, deadline_ms=12.0 * spec.work_ms, worth=spec.worth,
                                  late_worth=0.3, effect=spec.effect, kind=i + 1 if spec.dedicated else -1))
        others = sum(x.weight for x in classes if not x.dedicated) or 1.0
        share = 1.0 if spec.dedicated else spec.weight / others
        loads.append(
            Load(load * per_kind * share / (spec.work_ms / 1000.0 * spec.slots), spec.work_ms, spec.slots))
    run_settings = Settings(
        classes=tuple(rows), kinds=kinds, zones=zones, balancers=schedulers, tells_start=True,
        cold_ms=9000.0, cold_from=0.3, fall_ms=1000.0, max_attempts=4, second_copies=False,
        may_probe=True, reports_in_probes=True, report_fields=("free_slots", "queue", "inflight"),
        may_tell_peers=peers_tell, prices={"probe": 0.0018})
    fleet = Fleet(run_settings, loads, machines, schedulers, seed)
    fleet.run(6000.0)
    fleet.tallies = [Tally() for _ in loads]
    fleet.replace_workers(replaced_share)
    fleet.run(9000.0)
    return fleet.tallies, fleet.peak_cold_load()


HEAVY = ClassSpec(5.0, 400.0, 8, True, Effect.UNSAFE, 1.0)
LIGHT = ClassSpec(3.0, 150.0, 1, False, Effect.SAFE, 3.0)


def check_service(classes: list[ClassSpec], tallies: list[Tally], peak_load: float) -> None:
    """No class starves while workers have room, and no cold worker gets more than its budget."""
    assert peak_load <= 1.0
    for spec, tally in zip(classes, tallies, strict=True):
        if tally.requests >= 20 and tally.with_free_worker >= 0.5 * tally.requests:
            assert tally.served >= SHARE * tally.requests, (spec, tally)


# Fixed, as without it the deployments that are drawn change with the wording of the test function.
DRAW_SEED = 0xe9717ccd54bc31f229577045dfe43e17e63e619f4268d2291b7625724d6abcc5704e7061da7a03f077aeefba0ba9bed0


@seed(DRAW_SEED)
@settings(derandomize=True, deadline=None, max_examples=25, suppress_health_check=list(HealthCheck))
@example([LIGHT, HEAVY], 1, 1.0, 12, 0.3, False, 1)
@example([LIGHT, ClassSpec(2.0, 400.0, 4, False, Effect.UNSAFE, 1.0)], 2, 1.0, 12, 0.3, False, 2)
@given(st.lists(CLASS, min_size=1, max_size=6), st.integers(1, 4), st.sampled_from([0.6, 0.9, 1.0]),
       st.sampled_from([1, 3, 12, 40]), st.sampled_from([0.15, 0.3, 0.5]), st.booleans(), st.integers(0, 999))
def test_no_class_starves_while_workers_have_room_and_no_cold_worker_is_pushed_over(
        classes: list[ClassSpec], zones: int, replaced_share: float, schedulers: int, load: float,
        peers_tell: bool, seed: int) -> None:
    tallies, peak_load = simulate(classes, zones, replaced_share, schedulers, load, peers_tell, seed)
    check_service(classes, tallies, peak_load)


@pytest.mark.parametrize(("classes", "replaced_share", "schedulers", "load", "seed"), [
    ([ClassSpec(1.0, 150.0, 1, False, Effect.SAFE, 0.2), ClassSpec(1.0, 150.0, 2, False, Effect.SAFE, 1.0),
      ClassSpec(1.0, 150.0, 4, False, Effect.SAFE, 0.2)], 1.0, 1, 0.3, 2),
    ([ClassSpec(1.0, 400.0, 4, True, Effect.SAFE, 0.2)], 0.9, 12, 0.15, 0),
])
def test_no_class_with_few_requests_starves(classes: list[ClassSpec], replaced_share: float, schedulers: int,
                                            load: float, seed: int) -> None:
    tallies, peak_load = simulate(classes, 1, replaced_share, schedulers, load, False, seed)
    check_service(classes, tallies, peak_load)


@pytest.mark.parametrize("seed", [3, 4])
def test_a_heavy_class_whose_whole_kind_is_replaced_goes_on(seed: int) -> None:
    (light, heavy), peak_load = simulate([LIGHT, HEAVY], 1, 1.0, 12, 0.3, False, seed)
    assert peak_load <= 1.0
    assert heavy.served > 0.15 * heavy.requests
    assert light.served > 0.15 * light.requests


@pytest.mark.parametrize("seed", [1, 2])
def test_in_a_jam_cold_workers_get_about_half_of_what_they_bear(seed: int) -> None:
    _, peak_load = simulate(
        [LIGHT, ClassSpec(2.0, 400.0, 4, False, Effect.UNSAFE, 1.0)], 1, 0.5, 12, 2.0, False, seed)
    assert 0.0 < peak_load <= 0.7


# --- real processes -----------------------------------------------------------------------------------

WORKERS = 6
SLOTS = 2
WARM_S = 2.0  # before all workers are replaced
COLD_S = 6.0
LOAD = 0.5  # of the warm workers' capacity
MAX_REFUSING_ALL_S = 4.0  # refusing all requests without an attempt at a worker
WITHIN_S = 40.0


@dataclass
class ClientLog:
    """The answers that clients of one scheduler got: when each came, and whether it was a refusal."""

    answers: list[tuple[float, bool]] = field(default_factory=list)

    def longest_without_attempt_s(self, attempts: list[float], until: float) -> float:
        """The longest time, from a refusal on, with only refusals and no attempt."""
        signs = sorted([at for at, refused in self.answers if not refused] + attempts) + [until]
        longest = 0.0
        for at, refused in self.answers:
            if refused:
                longest = max(longest, next(sign for sign in signs if sign >= at) - at)
        return longest


async def ask(to: Address, ident: str, cls: str, heard: ClientLog) -> None:
    """Send one job, which must be answered."""
    host, port = to
    status = await job(port, ident, cls, host)
    assert status
    heard.answers.append((time.monotonic(), status == 503))


@pytest.mark.parametrize("schedulers", [1, 3])
def test_no_process_turns_away_all_for_4_s_without_trying_a_worker_when_all_are_replaced(schedulers: int) -> None:
    """Schedulers do not hear each other, and all workers become cold at the same moment."""
    async def run() -> None:
        rng = random.Random(5)
        servers = [Server(rng, SLOTS, 1.0, refuses=True) for _ in range(WORKERS)]
        workers = [processes.Worker(server) for server in servers]
        discovery = processes.Discovery()
        fleet = processes.Fleet(schedulers, discovery, {
            "limits": {"peerMessages": False},
            "rules": {"startCapacity": COLD_FROM, "warmAfter": WARM_MS, "fall": 1000.0,
                      "fallMultiple": FALL_MULTIPLE},
            "report": {"fields": ["x0", "inflight", "queue"], "via": "inline"},
            "familyInfo": {"reportX0": "free slots"},
        }, lambda a, b: False, 5)
        heard = [ClientLog() for _ in range(schedulers)]
        asked: list[asyncio.Task[None]] = []
        try:
            for worker in workers:
                await worker.open()
            entries = [processes.entry(f"w{n}", w) for n, w in enumerate(workers)]
            discovery.entries = entries
            await discovery.open()
            await fleet.open()
            per_s = LOAD * WORKERS * SLOTS / MEAN_MS * 1e3
            at = began = time.monotonic()
            replaced = False
            while at < began + WARM_S + COLD_S:
                if not replaced and at >= began + WARM_S:
                    replaced = True
                    for server in servers:
                        server.restart()
                    discovery.tell([{**e, "started_ms": time.time() * 1e3} for e in entries])
                number = rng.randrange(schedulers)
                cls = rng.choices(list(SHARES), list(SHARES.values()))[0]
                asked.append(asyncio.create_task(
                    ask(fleet.addresses[number], f"s{number}-{len(asked)}", cls, heard[number])))
                at += rng.expovariate(per_s)
                await asyncio.sleep(max(0.0, at - time.monotonic()))
            await asyncio.gather(*asked)
            until = time.monotonic()  # not the last send: a refusal may come after that
        finally:
            for task in asked:
                task.cancel()
            fleet.close()
            discovery.close()
            for worker in workers:
                worker.close()
        for number, each in enumerate(heard):
            attempts = [a.first_byte_at for w in workers for a in w.attempts if a.ident.startswith(f"s{number}-")]
            longest = each.longest_without_attempt_s(attempts, until)
            refused = sum(was for _, was in each.answers)
            print(f"scheduler {number}: {len(each.answers)} asked, {refused} refused, for {longest:.2f} s alone")
            assert len(each.answers) > 20
            assert longest < MAX_REFUSING_ALL_S

    processes.play(run(), WITHIN_S)
