"""Owns which class a function's jobs have: by the deploy file, and by what the text commands put in the store.

It must never hold a job or know who can run it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from ...clock import Clock
from ...store import Store

STORED = "config/functions/"  # the store's keys for them


class Functions:
    """The map from functions to classes; the deploy file's word is before the store's."""

    def __init__(self, listed: Mapping[str, str], default_class: str, class_names: Iterable[str], store: Store,
                 clock: Clock) -> None:
        """``listed``: the deploy file's; ``default_class``: of a function that nobody names, or none."""
        self._listed = listed
        self._default_class = default_class
        self._classes = {name: i for i, name in enumerate(class_names)}
        self._store = store
        self._clock = clock

    def all(self) -> dict[bytes, str]:
        """Function to class: the deploy file's, and what the store's configuration adds."""
        found = {name.encode(): cls for name, cls in self._listed.items()}
        for key, cls in self._store.items(STORED, self._clock.now()):
            if cls.decode() in self._classes:
                found[key.removeprefix(STORED).encode()] = cls.decode()
        return found

    def class_of(self, function: bytes) -> int | None:
        """The index of a function's class; None if it has none."""
        name = self._listed.get(function.decode("latin-1"))
        if name is None:
            stored = self._store.get(STORED + function.decode("latin-1"), self._clock.now())
            name = stored.decode() if stored else self._default_class
        return self._classes.get(name)

    def has_class(self, name: str) -> bool:
        """Whether a class of this name is configured."""
        return name in self._classes

    def create(self, function: str, class_name: str) -> bool:
        """Store a function's class; False if there is no room."""
        return self._store.put(STORED + function, class_name.encode(), self._clock.now())

    def drop(self, function: str) -> bool:
        """Take a function's class from the store; False if it is not there."""
        if self._store.get(STORED + function, self._clock.now()) is None:
            return False
        self._store.delete(STORED + function, self._clock.now())
        return True
