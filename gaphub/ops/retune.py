"""Owns the table of classes across reloads: which row of the running program a class of the file is.

Pure.  A row never changes under a job that is open: a class whose rules differ gets another row, and the old
one, worth nothing from then on, goes on until its jobs have ended.  Rows without jobs are used again.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, replace

from ..interface import ClassSettings, Settings

# What a reload may change beside the classes: nothing has been measured or sized by these.
RELOADABLE_SETTINGS = ("max_attempts", "max_open", "max_retry_after_ms", "retry_after", "over_share_worth")


@dataclass(frozen=True)
class ClassTable:
    """Rows by number, the name that each has or had, and the row of each class of the file in force."""

    rows: tuple[ClassSettings, ...]
    names: tuple[str, ...]
    active_rows: Mapping[str, int]


def initial_table(settings: Settings, names: Sequence[str]) -> ClassTable:
    """The table at the start."""
    return ClassTable(settings.classes, tuple(names), {name: i for i, name in enumerate(names)})


def updated_table(table: ClassTable, classes: Sequence[ClassSettings], names: Sequence[str],
                  busy: AbstractSet[int]) -> tuple[ClassTable, list[int]]:
    """The table for another file, and the rows that are new in it; ``busy``: rows that jobs still need."""
    wanted = dict(zip(names, classes, strict=True))
    live = {name: row for name, row in table.active_rows.items() if wanted.get(name) == table.rows[row]}
    # A row that was live until now may be that of a job on its way to the core: it is free another time.
    free = [row for row in range(len(table.rows)) if row not in table.active_rows.values() and row not in busy]
    rows, named = list(table.rows), list(table.names)
    fresh = []
    for name, cls in wanted.items():
        if name in live:
            continue
        if free:
            row = free.pop(0)
            rows[row], named[row] = cls, name
        else:
            row = len(rows)
            rows.append(cls)
            named.append(name)
        live[name] = row
        fresh.append(row)
    kept = set(live.values())
    rows = [cls if row in kept else replace(cls, worth=0.0, late_worth=0.0) for row, cls in enumerate(rows)]
    return ClassTable(tuple(rows), tuple(named), live), fresh


def effective_settings(old: Settings, new: Settings, table: ClassTable) -> Settings:
    """The settings in force with a new table and what else a reload may change."""
    return replace(old, classes=table.rows, **{key: getattr(new, key) for key in RELOADABLE_SETTINGS})
