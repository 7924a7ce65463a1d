"""The job class of each function, from the deploy file and from text commands, whose entries are in the store.

It must never hold a job or know which workers can run it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from ...clock import Clock
from ...store import Store

STORE_KEY_PREFIX = "config/functions/"


class FunctionClasses:
    """The map from functions to classes; entries of the deploy file override those of the store."""

    def __init__(self, configured: Mapping[str, str], default_class: str, class_names: Iterable[str], store: Store,
                 clock: Clock) -> None:
        """``configured``: entries of the deploy file; ``default_class``: of other functions, "" for none."""
        self._configured = configured
        self._default_class = default_class
        self._classes = {name: i for i, name in enumerate(class_names)}
        self._store = store
        self._clock = clock

    def all_classes(self) -> dict[bytes, str]:
        """All functions that have an entry, with the names of their classes."""
        classes = {name.encode(): class_name for name, class_name in self._configured.items()}
        for key, class_name in self._store.items(STORE_KEY_PREFIX, self._clock.now()):
            if class_name.decode() in self._classes:
                classes[key.removeprefix(STORE_KEY_PREFIX).encode()] = class_name.decode()
        return classes

    def class_of(self, function: bytes) -> int | None:
        """The class index of a function; None if it has no class."""
        name = self._configured.get(function.decode("latin-1"))
        if name is None:
            stored = self._store.get(STORE_KEY_PREFIX + function.decode("latin-1"), self._clock.now())
            name = stored.decode() if stored else self._default_class
        return self._classes.get(name)

    def has_class(self, name: str) -> bool:
        """Whether a class of this name is configured."""
        return name in self._classes

    def create(self, function: str, class_name: str) -> bool:
        """Store the class of a function; False if the store is full."""
        return self._store.put(STORE_KEY_PREFIX + function, class_name.encode(), self._clock.now())

    def drop(self, function: str) -> bool:
        """Delete the class of a function from the store; False if there is none."""
        if self._store.get(STORE_KEY_PREFIX + function, self._clock.now()) is None:
            return False
        self._store.delete(STORE_KEY_PREFIX + function, self._clock.now())
        return True
