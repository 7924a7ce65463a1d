"""The job class of each function, from the deploy file and from text commands, whose entries are in the store.

Class indexes are looked up in the class table in force at each call, as a reload may change them.  This module
must never hold a job or know which workers can run it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from ...clock import Clock
from ...ops.class_table import ClassTable
from ...store import Store

STORE_KEY_PREFIX = "config/functions/"


class FunctionClasses:
    """The map from functions to classes; entries of the deploy file override those of the store."""

    def __init__(self, configured: Mapping[str, str], default_class: str, class_table: Callable[[], ClassTable],
                 store: Store, clock: Clock) -> None:
        """``configured``: entries of the deploy file; ``default_class``: of other functions, "" for none.

        ``class_table`` returns the class table in force.
        """
        self._configured = configured
        self._default_class = default_class
        self._class_table = class_table
        self._store = store
        self._clock = clock

    def all_classes(self) -> dict[bytes, str]:
        """All functions that have an entry, with the names of their classes."""
        classes = {name.encode(): class_name for name, class_name in self._configured.items()}
        for key, class_name in self._store.items(STORE_KEY_PREFIX, self._clock.now()):
            if self.has_class(class_name.decode()):
                classes[key.removeprefix(STORE_KEY_PREFIX).encode()] = class_name.decode()
        return classes

    def class_of(self, function: bytes) -> int | None:
        """The class index that a new job of a function gets; None if the function has no class in force."""
        return self._class_table().active_rows.get(self.class_name_of(function))

    def class_name_of(self, function: bytes) -> str:
        """The name of a function's class, which need not be in force; "" if it has none."""
        name = self._configured.get(function.decode("latin-1"))
        if name is None:
            stored = self._store.get(STORE_KEY_PREFIX + function.decode("latin-1"), self._clock.now())
            name = stored.decode() if stored else self._default_class
        return name

    def class_mask(self, functions: Iterable[bytes]) -> int:
        """The class indexes of the jobs that a worker with these functions may get, one bit each.

        They include the indexes of former rules of the same classes: jobs that were accepted before a reload keep
        these rules, and are still to be run.
        """
        names = {self.class_name_of(function) for function in functions} - {""}
        return sum(1 << row for row, name in enumerate(self._class_table().names) if name in names)

    def has_class(self, name: str) -> bool:
        """Whether a class of this name is in force."""
        return name in self._class_table().active_rows

    def create(self, function: str, class_name: str) -> bool:
        """Store the class of a function; False if the store is full."""
        return self._store.put(STORE_KEY_PREFIX + function, class_name.encode(), self._clock.now())

    def drop(self, function: str) -> bool:
        """Delete the class of a function from the store; False if there is none."""
        if self._store.get(STORE_KEY_PREFIX + function, self._clock.now()) is None:
            return False
        self._store.delete(STORE_KEY_PREFIX + function, self._clock.now())
        return True
