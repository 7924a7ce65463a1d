"""Owns the scenario of a scale run: its TOML form, its checks, and the list of points that it asks for.

Pure but for reading the file.  A key that is not known, or a size that no run can have, is a ``ScenarioError``
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
from .points import Load, Told

REAL_MOST = 8  # scheduler processes
HOLLOW_MOST = 4_000  # addresses that the hollow fleet binds, a descriptor each
COUNT_MOST = 255  # a message's count of one worker at one scheduler
PEER_BYTES = 120  # of memory for one worker's count of one peer, at a real scheduler
WORKER_BYTES = 4_000  # of memory for one listed worker, at a real scheduler
PROCESS_BYTES = 64_000_000  # of memory for a scheduler that knows of nothing
SETTINGS_SWEEP = "settings_changes_per_s"  # swept like a key of [load]; the changes are then of settings
CHANGES_SWEEP = "changes_per_s"
SETTINGS_MOST_PER_S = 2.0  # changes of settings: reloads that come together are one, and could not be told apart


class ScenarioError(ValueError):
    """A scenario that cannot be run; the text names the faulty key."""


class Way(Enum):
    """How schedulers are to tell each other their occupancy."""

    BY_SIZE = "by size"  # as the daemon does by itself
    ALL_TO_ALL = "all to all"  # at any size, to compare


class Sweeps(Struct, frozen=True, forbid_unknown_fields=True):
    """The section ``[sweeps]``: the values of each swept key, the others staying as in ``[load]``."""

    workers: list[int] = []
    schedulers: list[int] = []
    starts_per_s: list[float] = []
    tasks_running: list[int] = []
    changes_per_s: list[float] = []
    settings_changes_per_s: list[float] = []


class Scenario(Struct, frozen=True, forbid_unknown_fields=True):
    """A scenario file."""

    load: Load  # the values that hold where a key is not swept
    sweeps: Sweeps
    real_schedulers: int  # processes that are measured; the others are hollow
    seconds: float = 5.0  # of a measured window
    warm_up_s: float = 3.0  # before each window; every hollow scheduler tells its whole table within it
    repeats: int = 1
    seed: int = 1
    peer_price: float = 0.0  # of the settings; above 0 a large fleet does not tell at all
    requests_most_per_s: float = 20.0  # the client of a real scheduler sends its share of the starts up to this
    way: Way = Way.BY_SIZE
    in_force_s: float = 4.0  # how long changes are made in the phase that watches them come into force


class Planned(Struct, frozen=True):
    """One point that is to be measured."""

    sweep: str
    load: Load
    repeat: int


def read_scenario(path: Path, overrides: Sequence[str] = ()) -> Scenario:
    """The scenario of a file with ``key=value`` overrides, checked."""
    try:
        whole = msgspec.toml.decode(path.read_bytes())
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    for text in overrides:
        _override(whole, text)
    _refuse_unknown(whole)
    try:
        found = msgspec.convert(whole, Scenario)
    except msgspec.ValidationError as error:
        what, _, where = str(error).partition(" - at `$.")
        raise ScenarioError(f"{where.rstrip('`') or path}: {what}") from None
    check(found)
    return found


def _override(whole: dict[str, Any], text: str) -> None:
    key, equals, value = text.partition("=")
    if not equals:
        raise ScenarioError(f"{text}: not key=value")
    try:
        decoded = msgspec.toml.decode(f"value = {value}".encode())["value"]
    except msgspec.DecodeError as error:
        raise ScenarioError(f"{key}: {error}") from None
    *sections, last = key.strip().split(".")
    at: Any = whole
    for section in sections:
        at = at.setdefault(section, {}) if isinstance(at, dict) else None
    if not isinstance(at, dict):
        raise ScenarioError(f"{key}: not a key of a section")
    at[last] = decoded


def _refuse_unknown(whole: dict[str, Any]) -> None:
    """Name each unknown key by its whole path; msgspec names the section only."""
    sections: dict[str, tuple[dict[str, Any], tuple[str, ...]]] = {"": (whole, Scenario.__struct_fields__)}
    for name, keys in (("load", Load.__struct_fields__), ("sweeps", Sweeps.__struct_fields__)):
        body = whole.get(name, {})
        if not isinstance(body, dict):
            raise ScenarioError(f"{name}: not a section")
        sections[f"{name}."] = (body, keys)
    for prefix, (body, keys) in sections.items():
        for key in body:
            if key not in keys:
                raise ScenarioError(f"{prefix}{key}: unknown key")


def _need(holds: bool, key: str, what: str) -> None:
    if not holds:
        raise ScenarioError(f"{key}: {what}")


def check(scenario: Scenario) -> None:
    """Refuse what no run can have."""
    _need(2 <= scenario.real_schedulers <= REAL_MOST, "real_schedulers", f"must be from 2 to {REAL_MOST}")
    _need(0.5 <= scenario.seconds <= 60.0, "seconds", "must be from 0.5 to 60")
    _need(0.5 <= scenario.warm_up_s <= 60.0, "warm_up_s", "must be from 0.5 to 60")
    _need(1 <= scenario.repeats <= 20, "repeats", "must be from 1 to 20")
    _need(0.5 <= scenario.in_force_s <= 60.0, "in_force_s", "must be from 0.5 to 60")
    _need(scenario.peer_price >= 0.0, "peer_price", "must not be negative")
    _need(0.0 <= scenario.requests_most_per_s <= 200.0, "requests_most_per_s", "must be from 0 to 200")
    _check_load(scenario, scenario.load, {})
    for planned in plan(scenario):
        _need(planned.sweep != SETTINGS_SWEEP or planned.load.changes_per_s <= SETTINGS_MOST_PER_S,
              f"sweeps.{SETTINGS_SWEEP}", f"must be at most {SETTINGS_MOST_PER_S:g}")
        _check_load(scenario, planned.load, {swept_key(planned.sweep): f"sweeps.{planned.sweep}"})
    _need(bool(list(plan(scenario))), "sweeps", "names no point")


def _check_load(scenario: Scenario, load: Load, names: dict[str, str]) -> None:
    """Refuse a load that cannot be; ``names``: how to call a key, where it is not that of ``[load]``."""

    def need(holds: bool, key: str, what: str) -> None:
        _need(holds, names.get(key, f"load.{key}"), what)

    need(1 <= load.zones <= 64, "zones", "must be from 1 to 64")
    need(load.zones <= load.workers <= MAX_LIST_ENTRIES, "workers",
         f"must be from the number of zones to {MAX_LIST_ENTRIES}")
    need(scenario.real_schedulers < load.schedulers <= HOLLOW_MOST, "schedulers",
         f"must be above real_schedulers and at most {HOLLOW_MOST}")
    need(0.0 <= load.starts_per_s <= 20_000.0, "starts_per_s", "must be from 0 to 20000")
    need(0 <= load.tasks_running <= load.workers * load.schedulers * COUNT_MOST / 4, "tasks_running",
         "more than the messages can count")
    need(0.0 <= load.changes_per_s <= 2_000.0, "changes_per_s", "must be from 0 to 2000")
    need(0 <= load.teams <= 10_000, "teams", "must be from 0 to 10000")


def swept_key(sweep: str) -> str:
    """The key of the load that a sweep sets."""
    return CHANGES_SWEEP if sweep == SETTINGS_SWEEP else sweep


def plan(scenario: Scenario) -> Iterator[Planned]:
    """Each point of the scenario, sweep by sweep; with repeats the whole plan comes again."""
    for repeat in range(scenario.repeats):
        for sweep in Sweeps.__struct_fields__:
            for value in getattr(scenario.sweeps, sweep):
                load = msgspec.structs.replace(scenario.load, **{swept_key(sweep): value})
                yield Planned(sweep, load, repeat)


def told(way: Way, load: Load) -> Told:
    """How the schedulers tell their occupancy at a load: by the daemon's own rule, unless it is overruled."""
    large = load.workers >= LARGE_FROM_WORKERS and load.schedulers - 1 >= LARGE_FROM_PEERS
    return Told.SHARDED if large and way is Way.BY_SIZE else Told.ALL_TO_ALL


def memory_needed(scenario: Scenario, load: Load) -> int:
    """Bytes that all processes of a point need at the most, roughly."""
    real = PROCESS_BYTES + load.workers * WORKER_BYTES + load.tasks_running * PEER_BYTES
    return (scenario.real_schedulers + 2) * real


def descriptors_needed(scenario: Scenario, load: Load) -> int:
    """Descriptors that the process with the most of them needs."""
    hollow = load.schedulers + 64
    runner = 256 + 128 * scenario.real_schedulers
    return max(hollow, runner)
