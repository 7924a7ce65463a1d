"""The points file of scale runs: JSON lines, one measured point a line.

Runs append points; fits, reports and plots read them.  A point that could not be measured is in the file too,
with the reason in ``failed``.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum
from pathlib import Path

import msgspec
from msgspec import Struct

FORMAT_VERSION = 1


class PointsError(ValueError):
    """A points file cannot be read; the message names the file and the line."""


class FleetMethod(Enum):
    """The method of the occupancy exchange that the schedulers of a point use."""

    ALL_TO_ALL = "all to all"
    SHARDED = "sharded"


class Machine(Struct, frozen=True):
    """The machine on which a point was measured."""

    cores: int
    memory_mb: int
    python: str


class Load(Struct, frozen=True):
    """The size of the fleet and the rates of its events."""

    workers: int
    schedulers: int  # real and simulated ones
    starts_per_s: float  # task starts in the whole fleet, with as many ends
    tasks_running: int
    changes_per_s: float  # of the list of workers, or of the settings where these are swept
    teams: int
    zones: int


class SchedulerUsage(Struct, frozen=True):
    """What one real scheduler process used in the measured window."""

    name: str
    cpu_s: float  # user and system time
    rss_mb: float  # at the end of the window
    peer_in_bytes: int  # payload of datagrams between schedulers
    peer_out_bytes: int
    peer_in_datagrams: int
    peer_out_datagrams: int
    list_in_bytes: int  # answers of discovery, with heads
    list_out_bytes: int  # the requests for these answers, with heads
    requests: int  # served in the window
    loop_lag_ms: float | None = None
    age_p50_ms: float | None = None  # age of the sums in use, over the workers, after the window
    age_p99_ms: float | None = None


class ChangeLatency(Struct, frozen=True):
    """How long changes took to be in force, over all pairs of real scheduler and change, in milliseconds."""

    count: int
    p50: float
    p99: float
    worst: float
    missed: int  # pairs for which the change was not in force within the time-out
    kind: str  # "list" or "settings"


class Point(Struct, frozen=True, kw_only=True):
    """One measured point."""

    version: int = FORMAT_VERSION
    commit: str
    dirty: bool
    seed: int
    machine: Machine
    scenario: str
    sweep: str  # the name of the swept key
    repeat: int
    load: Load
    seconds: float  # length of the measured window
    schedulers: list[SchedulerUsage]
    baseline: list[SchedulerUsage]  # to subtract: the same schedulers without peer messages and list changes
    in_force_ms: ChangeLatency | None = None
    way: FleetMethod = FleetMethod.ALL_TO_ALL
    baseline_seconds: float = 0.0  # length of the baseline's window; 0: the same as ``seconds``
    failed: str = ""  # why the point could not be measured, or does not represent the planned load


def append_point(path: Path, point: Point) -> None:
    """Append a point to a file, which is created if it does not exist."""
    with open(path, "ab") as file:
        file.write(msgspec.json.encode(point) + b"\n")


def read_points(path: Path) -> Iterator[Point]:
    """Read the points of a file, in its order."""
    with open(path, "rb") as file:
        for line_number, line in enumerate(file, 1):
            if not line.strip():
                continue
            try:
                point = msgspec.json.decode(line, type=Point)
            except msgspec.DecodeError as error:
                raise PointsError(f"{path}:{line_number}: {error}") from None
            if point.version != FORMAT_VERSION:
                raise PointsError(
                    f"{path}:{line_number}: version {point.version}, this program reads {FORMAT_VERSION}")
            yield point
