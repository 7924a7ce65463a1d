"""The class table across reloads: it maps each class of the file in force to a row of the running scheduler.

Pure.  A row never changes while a job that uses it is open: a class with changed rules gets another row, and the
old one, marked as retired, remains until its jobs have ended.  Rows without jobs are reused.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, replace

from ..interface import ClassSettings, Settings

# Settings besides the classes that a reload may change, as no measured value or allocated size depends on them.
RELOADABLE_SETTINGS = ("max_attempts", "max_open", "max_retry_after_ms", "retry_after", "over_share_worth")


@dataclass(frozen=True)
class ClassTable:
    """All rows by number, the class name of each row, and the row of each class of the file in force."""

    rows: tuple[ClassSettings, ...]
    names: tuple[str, ...]
    active_rows: Mapping[str, int]


def initial_table(settings: Settings, names: Sequence[str]) -> ClassTable:
    """The class table at startup."""
    return ClassTable(settings.classes, tuple(names), {name: i for i, name in enumerate(names)})


def updated_table(table: ClassTable, classes: Sequence[ClassSettings], names: Sequence[str],
                  busy: AbstractSet[int]) -> tuple[ClassTable, list[int]]:
    """The class table after a reload, and the rows that are new in it; ``busy``: rows used by open jobs."""
    configured = dict(zip(names, classes, strict=True))
    active_rows = {name: row for name, row in table.active_rows.items() if configured.get(name) == table.rows[row]}
    # A row that was active until now may belong to a job on its way to the core, so only a later reload reuses it.
    free_rows = [row for row in range(len(table.rows))
                 if row not in table.active_rows.values() and row not in busy]
    rows, row_names = list(table.rows), list(table.names)
    new_rows = []
    for name, rules in configured.items():
        if name in active_rows:
            continue
        if free_rows:
            row = free_rows.pop(0)
            rows[row], row_names[row] = rules, name
        else:
            row = len(rows)
            rows.append(rules)
            row_names.append(name)
        active_rows[name] = row
        new_rows.append(row)
    active = set(active_rows.values())
    rows = [rules if row in active else replace(rules, retired=True) for row, rules in enumerate(rows)]
    return ClassTable(tuple(rows), tuple(row_names), active_rows), new_rows


def effective_settings(old: Settings, new: Settings, table: ClassTable) -> Settings:
    """The old settings with the classes of the new table and the reloadable values of the new settings."""
    return replace(old, classes=table.rows, **{key: getattr(new, key) for key in RELOADABLE_SETTINGS})
