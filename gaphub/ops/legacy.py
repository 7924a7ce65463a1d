"""Owns what a scheduler's process leaves its successor: what it has measured, and its allowances at cold workers.

Pure: no I/O, no clock.  A page says when it was written; an old one is not believed, and of what it names
only workers of the same start and classes of the same rules are taken.  It must never carry counts of what is out:
those end with the process that sent it.
"""

from __future__ import annotations

import msgspec

from ..interface import ClassSettings
from ..logic import Balancer
from ..workers import Worker
from .page import seal, unseal

FORMAT = "gaphub-legacy-2"
AGE_MS = 5_000.0  # an older page is of a process that ended, or stood still
SAME_START_MS = 5.0  # two processes reckon one start alike but for so much
MOMENTS = ("served_at", "began")  # of what is measured: moments of the clock
MEASURED = {  # stored name -> attribute of the Balancer
    "service": "mean_response_ms", "ran": "mean_run_ms", "mean_cost": "mean_cost", "served_cost": "served_cost",
    "served_at": "served_at", "strain": "saturation", "local_busy": "local_busy", "began": "started_at",
}


class Profile(msgspec.Struct, frozen=True, array_like=True):
    """One class: its rules as they were, its mean and the samples of its workers."""

    rules: ClassSettings
    mean: float
    served: int
    longest: float
    samples: dict[str, tuple[float, float, float]]  # weight, weighted sum, when


class Legacy(msgspec.Struct, frozen=True):
    """What is left; times in ms of the clock of the process that wrote it."""

    format: str
    scheduler: str
    at: float
    base: float  # what that clock adds to the machine's monotonic one, which all processes share
    values: dict[str, float]
    free: dict[int, tuple[float, float]]  # by kind: the mean of idle workers' free slots, and the most seen
    classes: dict[str, Profile]
    cold: dict[str, tuple[float, float, float, float]]  # start, the two allowances, when they were last so


def leave(balancer: Balancer, scheduler: str, now: float, live: dict[str, int], names: dict[int, str],
          base: float = 0.0) -> bytes:
    """A page for the successor; ``live``: class names and rows, ``names``: the workers' ids by number.

    ``base``: what the clock adds to the machine's monotonic one.
    """
    rows = {}
    for name, row in live.items():
        t = balancer.class_types[row]
        samples = {names[w]: (s[0], s[1], s[2]) for w, s in t.samples.items() if w in names}
        rows[name] = Profile(balancer.settings.classes[row], t.mean_log, t.served, balancer.longest_left_ms[row],
                             samples)
    r = balancer.reports
    cold = {names[w.id]: (w.ready_at, w.cold_allowance.light, w.cold_allowance.heavy, w.cold_allowance.counted_at)
            for w in balancer.fleet.workers.values() if w.ready_at > 0.0 and w.id in names}
    page = Legacy(FORMAT, scheduler, now, base, {
        key: float(getattr(balancer, attribute)) for key, attribute in MEASURED.items()},
                  {kind: (mean, r.max_free_slots.get(kind, mean)) for kind, mean in r.idle_free_slots.items()},
                  rows, cold)
    return seal(msgspec.json.encode(page))


def read(data: bytes, scheduler: str, now: float, base: float = 0.0) -> Legacy | None:
    """A page, its moments on this clock; None if it is torn, old, of another form or of another scheduler."""
    page = unseal(data, Legacy)
    if page is None or page.format != FORMAT or page.scheduler != scheduler:
        return None
    # By the monotonic clock: the wall clock may have been stepped between the starts of the two processes.
    page = _moved(page, base - page.base)
    return page if 0.0 <= now - page.at <= AGE_MS else None


def _moved(page: Legacy, by: float) -> Legacy:
    """The same page with all its moments later by so much."""
    values = {key: value + by if key in MOMENTS else value for key, value in page.values.items()}
    classes = {name: msgspec.structs.replace(profile, samples={
        worker: (weight, total, at + by) for worker, (weight, total, at) in profile.samples.items()})
        for name, profile in page.classes.items()}
    cold = {worker: (started + by, light, heavy, at + by if at >= 0.0 else at)
            for worker, (started, light, heavy, at) in page.cold.items()}
    return msgspec.structs.replace(page, at=page.at + by, base=page.base + by, values=values, classes=classes,
                                   cold=cold)


def take(balancer: Balancer, page: Legacy, live: dict[str, int], numbers: dict[str, int]) -> None:
    """Let a fresh Balancer go on from a page; ``numbers``: the listed workers' numbers by id."""
    for key, attribute in MEASURED.items():
        if key in page.values:
            setattr(balancer, attribute, page.values[key])
    for kind, (mean, most) in page.free.items():
        if 0 <= kind < balancer.settings.kinds:
            balancer.reports.idle_free_slots[kind] = mean
            balancer.reports.max_free_slots[kind] = most
    workers: dict[int, Worker] = balancer.fleet.workers
    for name, profile in page.classes.items():
        row = live.get(name)
        if row is None or balancer.settings.classes[row] != profile.rules:
            continue
        t = balancer.class_types[row]
        t.mean_log, t.served, t.stale = profile.mean, profile.served, True
        balancer.longest_left_ms[row] = profile.longest
        for worker, sample in profile.samples.items():
            if (number := numbers.get(worker)) in workers:
                t.samples[number] = [*sample, workers[number].kind]
    for worker, (started, light, heavy, at) in page.cold.items():
        w = workers.get(numbers.get(worker, 0))
        if w is not None and abs(w.ready_at - started) <= SAME_START_MS:
            w.cold_allowance.light, w.cold_allowance.heavy, w.cold_allowance.counted_at = light, heavy, at
