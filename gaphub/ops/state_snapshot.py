"""Snapshot of a scheduler's learned state for the process that succeeds it in an upgrade.

It holds the measured values and the allowances of cold workers.  Pure: no I/O, no clock.  A snapshot carries the
time at which it was written, and an old one is rejected.  Only classes with unchanged rules are restored, and
allowances only of workers that have not restarted since.  A snapshot never holds counts of attempts in flight:
those end with the process that sent them.
"""

from __future__ import annotations

import msgspec

from ..interface import ClassSettings
from ..logic import Balancer
from ..workers import Worker
from .checksum import add_checksum, decode_checked

FORMAT = "gaphub-legacy-2"
MAX_AGE_MS = 5_000.0  # an older snapshot comes from a process that has ended or was stopped
START_TOLERANCE_MS = 5.0  # two processes may differ by this much in the start time they compute for a worker
TIMESTAMPS = ("served_at", "began")  # the stored names whose values are times of the clock
MEASURED = {  # stored name -> attribute of the Balancer
    "service": "mean_response_ms", "ran": "mean_run_ms", "mean_cost": "mean_cost", "served_cost": "served_cost",
    "served_at": "served_at", "strain": "saturation", "local_busy": "local_busy", "began": "started_at",
}


class ClassSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """One class: its rules at the time, its mean and the samples of its workers."""

    rules: ClassSettings
    mean: float
    served: int
    longest: float
    samples: dict[str, tuple[float, float, float]]  # by worker: weight, weighted sum, time


class StateSnapshot(msgspec.Struct, frozen=True):
    """The stored state; times in ms on the clock of the process that wrote it."""

    format: str
    scheduler: str
    at: float
    base: float  # offset of that clock from the machine's monotonic clock, which all processes share
    values: dict[str, float]
    free: dict[int, tuple[float, float]]  # by kind: the mean of idle workers' free slots, and the maximum seen
    classes: dict[str, ClassSnapshot]
    cold: dict[str, tuple[float, float, float, float]]  # by worker: start, the two allowances, their time


def encode_state(balancer: Balancer, scheduler: str, now: float, active_rows: dict[str, int],
                 names: dict[int, str], base: float = 0.0) -> bytes:
    """Encode a snapshot.

    ``active_rows``: the row of each class by name; ``names``: the workers' ids by number; ``base``: the offset of
    the clock from the machine's monotonic clock.
    """
    classes = {}
    for name, row in active_rows.items():
        job_type = balancer.class_types[row]
        samples = {names[number]: (sample[0], sample[1], sample[2])
                   for number, sample in job_type.samples.items() if number in names}
        classes[name] = ClassSnapshot(balancer.settings.classes[row], job_type.mean_log, job_type.served,
                                      balancer.longest_left_ms[row], samples)
    reports = balancer.reports
    cold = {names[worker.id]: (worker.ready_at, worker.cold_allowance.light, worker.cold_allowance.heavy,
                               worker.cold_allowance.counted_at)
            for worker in balancer.fleet.workers.values() if worker.ready_at > 0.0 and worker.id in names}
    snapshot = StateSnapshot(
        FORMAT, scheduler, now, base,
        {key: float(getattr(balancer, attribute)) for key, attribute in MEASURED.items()},
        {kind: (mean, reports.max_free_slots.get(kind, mean)) for kind, mean in reports.idle_free_slots.items()},
        classes, cold)
    return add_checksum(msgspec.json.encode(snapshot))


def decode_state(data: bytes, scheduler: str, now: float, base: float = 0.0) -> StateSnapshot | None:
    """Decode a snapshot, with its times converted to this clock.

    None if it is corrupt, too old, in another format or from another scheduler.
    """
    snapshot = decode_checked(data, StateSnapshot)
    if snapshot is None or snapshot.format != FORMAT or snapshot.scheduler != scheduler:
        return None
    # Compared on the monotonic clock: the wall clock may have been stepped between the starts of the processes.
    snapshot = _shifted(snapshot, base - snapshot.base)
    return snapshot if 0.0 <= now - snapshot.at <= MAX_AGE_MS else None


def _shifted(snapshot: StateSnapshot, offset_ms: float) -> StateSnapshot:
    """The snapshot with all its times shifted by ``offset_ms``."""
    values = {key: value + offset_ms if key in TIMESTAMPS else value for key, value in snapshot.values.items()}
    classes = {name: msgspec.structs.replace(class_snapshot, samples={
        worker: (weight, total, at + offset_ms) for worker, (weight, total, at) in class_snapshot.samples.items()})
        for name, class_snapshot in snapshot.classes.items()}
    cold = {worker: (started + offset_ms, light, heavy, at + offset_ms if at >= 0.0 else at)
            for worker, (started, light, heavy, at) in snapshot.cold.items()}
    return msgspec.structs.replace(snapshot, at=snapshot.at + offset_ms, base=snapshot.base + offset_ms,
                                   values=values, classes=classes, cold=cold)


def restore_state(balancer: Balancer, snapshot: StateSnapshot, active_rows: dict[str, int],
                  numbers: dict[str, int]) -> None:
    """Load a snapshot into a newly created Balancer; ``numbers``: the listed workers' numbers by id."""
    for key, attribute in MEASURED.items():
        if key in snapshot.values:
            setattr(balancer, attribute, snapshot.values[key])
    for kind, (mean, max_free) in snapshot.free.items():
        if 0 <= kind < balancer.settings.kinds:
            balancer.reports.idle_free_slots[kind] = mean
            balancer.reports.max_free_slots[kind] = max_free
    workers: dict[int, Worker] = balancer.fleet.workers
    for name, class_snapshot in snapshot.classes.items():
        row = active_rows.get(name)
        if row is None or balancer.settings.classes[row] != class_snapshot.rules:
            continue
        job_type = balancer.class_types[row]
        job_type.mean_log, job_type.served, job_type.stale = class_snapshot.mean, class_snapshot.served, True
        balancer.longest_left_ms[row] = class_snapshot.longest
        for worker_id, sample in class_snapshot.samples.items():
            if (number := numbers.get(worker_id)) in workers:
                job_type.samples[number] = [*sample, workers[number].kind]
    for worker_id, (started, light, heavy, at) in snapshot.cold.items():
        worker = workers.get(numbers.get(worker_id, 0))
        if worker is not None and abs(worker.ready_at - started) <= START_TOLERANCE_MS:
            (worker.cold_allowance.light, worker.cold_allowance.heavy,
             worker.cold_allowance.counted_at) = light, heavy, at
