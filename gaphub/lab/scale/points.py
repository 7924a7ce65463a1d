"""Owns the points file of the scale run: one measured point a line, as JSON.

The run appends points; fits, reports and plots read them.  A point that could not be measured stays in the file,
with the reason in ``failed``.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum
from pathlib import Path

import msgspec
from msgspec import Struct

VERSION = 1  # of the form of a point


class PointsError(ValueError):
    """A points file that cannot be read; the text names the file and the line."""


class Told(Enum):
    """How the schedulers of a point tell each other their occupancy."""

    ALL_TO_ALL = "all to all"
    SHARDED = "sharded"


class Machine(Struct, frozen=True):
    """What the point was measured on."""

    cores: int
    memory_mb: int
    python: str


class Load(Struct, frozen=True):
    """The size of the fleet and the pace of what happens in it."""

    workers: int
    schedulers: int  # all of them, real and hollow
    starts_per_s: float  # of tasks, in the whole fleet; as many end
    tasks_running: int
    changes_per_s: float  # of the list of workers
    teams: int
    zones: int


class Measured(Struct, frozen=True):
    """What one real scheduler process spent in the measured window."""

    name: str
    cpu_s: float  # user and system time
    rss_mb: float  # at the end of the window
    peer_in_bytes: int  # payload of datagrams between schedulers
    peer_out_bytes: int
    peer_in_datagrams: int
    peer_out_datagrams: int
    list_in_bytes: int  # discovery's answers, heads included
    list_out_bytes: int  # the calls that these answered, heads included
    requests: int  # served in the window
    loop_lag_ms: float | None = None
    age_p50_ms: float | None = None  # of the sums believed, over the workers, at the end of the window
    age_p99_ms: float | None = None


class InForce(Struct, frozen=True):
    """How long changes took to be in force, over all pairs of real scheduler and change; times in ms."""

    count: int
    p50: float
    p99: float
    worst: float
    missed: int  # pairs that were not in force within the time that was waited
    kind: str  # "list" or "settings"


class Point(Struct, frozen=True, kw_only=True):
    """One measured point."""

    version: int = VERSION
    commit: str
    dirty: bool
    seed: int
    machine: Machine
    scenario: str
    sweep: str  # the name of the swept key
    repeat: int
    load: Load
    seconds: float  # of the measured window
    schedulers: list[Measured]
    baseline: list[Measured]  # the same processes with peers silent and no changes of the list, to subtract
    in_force_ms: InForce | None = None
    way: Told = Told.ALL_TO_ALL
    baseline_seconds: float = 0.0  # of the baseline's window; 0: as ``seconds``
    failed: str = ""  # why the point could not be measured, or does not show the load that was planned


def append_point(path: Path, point: Point) -> None:
    """Append one line; the file is made if it is not there."""
    with open(path, "ab") as file:
        file.write(msgspec.json.encode(point) + b"\n")


def read_points(path: Path) -> Iterator[Point]:
    """Each point of a file, in the order of the file."""
    with open(path, "rb") as file:
        for number, line in enumerate(file, 1):
            if not line.strip():
                continue
            try:
                point = msgspec.json.decode(line, type=Point)
            except msgspec.DecodeError as error:
                raise PointsError(f"{path}:{number}: {error}") from None
            if point.version != VERSION:
                raise PointsError(f"{path}:{number}: version {point.version}, this program reads {VERSION}")
            yield point
