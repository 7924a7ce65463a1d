"""Scenarios of scale runs: the TOML format, its validation, and the points that a scenario plans.

Pure, apart from reading the file.  An unknown key, or a value that no run can have, raises a ``ScenarioError``
that names the key.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from ...config import MAX_LIST_ENTRIES
from ...occupancy.sized import LARGE_FROM_PEERS, LARGE_FROM_WORKERS
from .points import FleetMethod, Load

MAX_REAL_SCHEDULERS = 8  # scheduler processes
MAX_SCHEDULERS = 4_000  # the simulated fleet binds an address, and needs a descriptor, for each
MAX_COUNT = 255  # of one scheduler's tasks at one worker, in a message
PEER_COUNT_BYTES = 120  # memory of a real scheduler for one peer's count at one worker
WORKER_BYTES = 4_000  # memory of a real scheduler for one listed worker
PROCESS_BYTES = 64_000_000  # memory of a scheduler without workers and peers
SETTINGS_SWEEP = "settings_changes_per_s"  # sweeps load.changes_per_s, as the rate of settings changes
CHANGES_SWEEP = "changes_per_s"
MAX_SETTINGS_CHANGES_PER_S = 2.0  # reloads in quick succession coalesce and cannot be told apart


class ScenarioError(ValueError):
    """A scenario cannot be run; the message names the faulty key."""


class MethodChoice(Enum):
    """How the method of the occupancy exchange is chosen."""

    BY_SIZE = "by size"  # the daemon's own rule
    ALL_TO_ALL = "all to all"  # at any size, for comparison


class Sweeps(Struct, frozen=True, forbid_unknown_fields=True):
    """The section ``[sweeps]``: the values of each swept key; the other keys stay as in ``[load]``."""

    workers: list[int] = []
    schedulers: list[int] = []
    starts_per_s: list[float] = []
    tasks_running: list[int] = []
    changes_per_s: list[float] = []
    settings_changes_per_s: list[float] = []


class Scenario(Struct, frozen=True, forbid_unknown_fields=True):
    """A scenario file."""

    load: Load  # the values of keys that are not swept
    sweeps: Sweeps
    real_schedulers: int  # measured processes; the other schedulers are simulated
    seconds: float = 5.0  # length of a measured window
    warm_up_s: float = 3.0  # before each window; all simulated schedulers send a snapshot within half of it
    repeats: int = 1
    seed: int = 1
    peer_price: float = 0.0  # deductions.peer in the settings; above 0 a large fleet sends no peer messages
    requests_most_per_s: float = 20.0  # cap on a real scheduler's share of the starts, as sent by its client
    way: MethodChoice = MethodChoice.BY_SIZE
    in_force_s: float = 4.0  # how long changes are made in the phase that measures when they are in force


class PlannedPoint(Struct, frozen=True):
    """A point to be measured."""

    sweep: str
    load: Load
    repeat: int


def read_scenario(path: Path, overrides: Sequence[str] = ()) -> Scenario:
    """Read and validate the scenario of a file, with ``key=value`` overrides."""
    try:
        document = msgspec.toml.decode(path.read_bytes())
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    for text in overrides:
        _override(document, text)
    _refuse_unknown(document)
    try:
        scenario = msgspec.convert(document, Scenario)
    except msgspec.ValidationError as error:
        message, _, where = str(error).partition(" - at `$.")
        raise ScenarioError(f"{where.rstrip('`') or path}: {message}") from None
    validate(scenario)
    return scenario


def _override(document: dict[str, Any], text: str) -> None:
    key, equals, value = text.partition("=")
    if not equals:
        raise ScenarioError(f"{text}: not key=value")
    try:
        decoded = msgspec.toml.decode(f"value = {value}".encode())["value"]
    except msgspec.DecodeError as error:
        raise ScenarioError(f"{key}: {error}") from None
    *sections, last = key.strip().split(".")
    section_body: Any = document
    for section in sections:
        section_body = section_body.setdefault(section, {}) if isinstance(section_body, dict) else None
    if not isinstance(section_body, dict):
        raise ScenarioError(f"{key}: not a key of a section")
    section_body[last] = decoded


def _refuse_unknown(document: dict[str, Any]) -> None:
    """Name an unknown key by its full path; msgspec names only the section."""
    sections: dict[str, tuple[dict[str, Any], tuple[str, ...]]] = {"": (document, Scenario.__struct_fields__)}
    for name, keys in (("load", Load.__struct_fields__), ("sweeps", Sweeps.__struct_fields__)):
        body = document.get(name, {})
        if not isinstance(body, dict):
            raise ScenarioError(f"{name}: not a section")
        sections[f"{name}."] = (body, keys)
    for prefix, (body, keys) in sections.items():
        for key in body:
            if key not in keys:
                raise ScenarioError(f"{prefix}{key}: unknown key")


def _require(condition: bool, key: str, message: str) -> None:
    if not condition:
        raise ScenarioError(f"{key}: {message}")


def validate(scenario: Scenario) -> None:
    """Reject values that no run can have."""
    _require(2 <= scenario.real_schedulers <= MAX_REAL_SCHEDULERS, "real_schedulers",
             f"must be from 2 to {MAX_REAL_SCHEDULERS}")
    _require(0.5 <= scenario.seconds <= 60.0, "seconds", "must be from 0.5 to 60")
    _require(0.5 <= scenario.warm_up_s <= 60.0, "warm_up_s", "must be from 0.5 to 60")
    _require(1 <= scenario.repeats <= 20, "repeats", "must be from 1 to 20")
    _require(0.5 <= scenario.in_force_s <= 60.0, "in_force_s", "must be from 0.5 to 60")
    _require(scenario.peer_price >= 0.0, "peer_price", "must not be negative")
    _require(0.0 <= scenario.requests_most_per_s <= 200.0, "requests_most_per_s", "must be from 0 to 200")
    _validate_load(scenario, scenario.load, {})
    for planned in plan_points(scenario):
        _require(planned.sweep != SETTINGS_SWEEP or planned.load.changes_per_s <= MAX_SETTINGS_CHANGES_PER_S,
                 f"sweeps.{SETTINGS_SWEEP}", f"must be at most {MAX_SETTINGS_CHANGES_PER_S:g}")
        _validate_load(scenario, planned.load, {swept_key(planned.sweep): f"sweeps.{planned.sweep}"})
    _require(bool(list(plan_points(scenario))), "sweeps", "names no point")


def _validate_load(scenario: Scenario, load: Load, names: dict[str, str]) -> None:
    """Reject an impossible load.  ``names``: the names of keys in errors, where they are not of ``[load]``."""

    def require(condition: bool, key: str, message: str) -> None:
        _require(condition, names.get(key, f"load.{key}"), message)

    require(1 <= load.zones <= 64, "zones", "must be from 1 to 64")
    require(load.zones <= load.workers <= MAX_LIST_ENTRIES, "workers",
            f"must be from the number of zones to {MAX_LIST_ENTRIES}")
    require(scenario.real_schedulers < load.schedulers <= MAX_SCHEDULERS, "schedulers",
            f"must be above real_schedulers and at most {MAX_SCHEDULERS}")
    require(0.0 <= load.starts_per_s <= 20_000.0, "starts_per_s", "must be from 0 to 20000")
    require(0 <= load.tasks_running <= load.workers * load.schedulers * MAX_COUNT / 4, "tasks_running",
            "more than messages can count")
    require(0.0 <= load.changes_per_s <= 2_000.0, "changes_per_s", "must be from 0 to 2000")
    require(0 <= load.teams <= 10_000, "teams", "must be from 0 to 10000")


def swept_key(sweep: str) -> str:
    """The key of the load that a sweep sets."""
    return CHANGES_SWEEP if sweep == SETTINGS_SWEEP else sweep


def plan_points(scenario: Scenario) -> Iterator[PlannedPoint]:
    """The points of the scenario, sweep by sweep; each repeat has the whole plan again."""
    for repeat in range(scenario.repeats):
        for sweep in Sweeps.__struct_fields__:
            for value in getattr(scenario.sweeps, sweep):
                load = msgspec.structs.replace(scenario.load, **{swept_key(sweep): value})
                yield PlannedPoint(sweep, load, repeat)


def exchange_method_at(choice: MethodChoice, load: Load) -> FleetMethod:
    """The method of the occupancy exchange at a load: by the daemon's rule, unless the scenario overrides it."""
    large = load.workers >= LARGE_FROM_WORKERS and load.schedulers - 1 >= LARGE_FROM_PEERS
    return FleetMethod.SHARDED if large and choice is MethodChoice.BY_SIZE else FleetMethod.ALL_TO_ALL


def memory_needed(scenario: Scenario, load: Load) -> int:
    """A rough upper bound on the memory of all processes of a point, in bytes."""
    real = PROCESS_BYTES + load.workers * WORKER_BYTES + load.tasks_running * PEER_COUNT_BYTES
    return (scenario.real_schedulers + 2) * real


def descriptors_needed(scenario: Scenario, load: Load) -> int:
    """The number of descriptors of the process that needs most."""
    fleet = load.schedulers + 64
    runner = 256 + 128 * scenario.real_schedulers
    return max(fleet, runner)
