"""Worker ids in the messages of the sharded exchange; no I/O, no clock, no randomness.

A worker's number in this process depends on the order of lists where two names share a checksum; its wire id
depends only on the names known.  Workers whose names share the primary id, a CRC-32, use the fallback id, 32 bits
of another hash.  If ids still collide, the id names all these workers, and a receiver credits each with the sum.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator, KeysView
from hashlib import blake2b
from typing import NamedTuple


class IdChange(NamedTuple):
    """A worker whose id changed because a name with the same primary id was added or removed."""

    number: int
    old_id: int
    new_id: int


def primary_id(name: str) -> int:
    """The id of a worker whose name is the only known one with this CRC-32."""
    return zlib.crc32(name.encode())


def fallback_id(name: str) -> int:
    """The id of a worker whose primary id is shared."""
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")


class Identities:
    """Wire ids of the known workers, by their numbers in this process."""

    __slots__ = ("_names", "_ids", "_numbers_by_primary_id", "_numbers")

    def __init__(self) -> None:
        self._names: dict[int, str] = {}  # by number
        self._ids: dict[int, int] = {}  # by number
        self._numbers_by_primary_id: dict[int, set[int]] = {}  # numbers of the workers that share it
        self._numbers: dict[int, tuple[int, ...]] = {}  # by id

    def __contains__(self, number: int) -> bool:
        return number in self._ids

    def __iter__(self) -> Iterator[int]:
        return iter(self._ids)

    def numbers(self) -> KeysView[int]:
        """The numbers of all known workers."""
        return self._ids.keys()

    def id_of(self, number: int) -> int:
        """The id of a known worker."""
        return self._ids[number]

    def numbers_of(self, wire_id: int) -> tuple[int, ...]:
        """The workers that an id names: none, one, or several whose ids collide."""
        return self._numbers.get(wire_id, ())

    def add(self, number: int, name: str) -> list[IdChange]:
        """Add a worker, or change its name; returns the workers whose ids changed."""
        if self._names.get(number) == name:
            return []
        changes = self.remove(number) if number in self._names else []
        self._names[number] = name
        self._numbers_by_primary_id.setdefault(primary_id(name), set()).add(number)
        return changes + self._reassign(primary_id(name))

    def remove(self, number: int) -> list[IdChange]:
        """Remove a worker; returns the workers whose ids changed."""
        name = self._names.pop(number, None)
        if name is None:
            return []
        self._release(number)
        sharing = self._numbers_by_primary_id[primary_id(name)]
        sharing.discard(number)
        if not sharing:
            del self._numbers_by_primary_id[primary_id(name)]
        return self._reassign(primary_id(name))

    def _reassign(self, primary: int) -> list[IdChange]:
        """Assign ids to the workers that share a primary id; returns those that changed."""
        sharing = self._numbers_by_primary_id.get(primary, set())
        unique = len({self._names[n] for n in sharing}) <= 1
        changes = []
        for number in sorted(sharing):
            new_id = primary if unique else fallback_id(self._names[number])
            old_id = self._ids.get(number)
            if old_id == new_id:
                continue
            if old_id is not None:
                self._release(number)
                changes.append(IdChange(number, old_id, new_id))
            self._ids[number] = new_id
            self._numbers[new_id] = tuple(sorted((*self._numbers.get(new_id, ()), number)))
        return changes

    def _release(self, number: int) -> None:
        """Remove a worker from the index by id."""
        wire_id = self._ids.pop(number)
        remaining = tuple(n for n in self._numbers[wire_id] if n != number)
        if remaining:
            self._numbers[wire_id] = remaining
        else:
            del self._numbers[wire_id]
