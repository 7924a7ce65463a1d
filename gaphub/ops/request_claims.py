"""Ids of requests that must not run twice and have run, or may have or may yet.

A claim is a 64-bit hash of an id in a table of fixed size.  The table lies in a buffer that the other processes of
the scheduler can map: during an upgrade a client may come to either of two processes.  Opens no files and reads no
clock.

A process writes its own claim before it looks at the others' tables, so that of two processes that claim an id at
once at least one sees the other.
"""

from __future__ import annotations

from collections.abc import Iterator
from hashlib import blake2b

WORD_BYTES = 8
GENERATIONS = 2
PROBES = 32  # slots that are looked at for one hash
EMPTY, REMOVED = 0, 1  # slots without a claim; a search stops at an empty one
MIN_SLOTS, MAX_SLOTS = 1 << 10, 1 << 18  # of one generation
MEMORY_SHARE = 0.01  # of the memory limit


def slots_for(limit_bytes: float) -> int:
    """Slots of one generation for a memory limit: a power of two."""
    wanted = int(limit_bytes * MEMORY_SHARE) // (WORD_BYTES * GENERATIONS)
    return min(MAX_SLOTS, max(MIN_SLOTS, 1 << max(0, wanted.bit_length() - 1)))


def table_bytes(slots: int) -> int:
    """Size of a table's buffer."""
    return slots * GENERATIONS * WORD_BYTES


def request_hash(ident: str) -> int:
    """The hash that stands for a request's id."""
    value = int.from_bytes(blake2b(ident.encode(), digest_size=WORD_BYTES).digest(), "big")
    return value if value > REMOVED else value + REMOVED + 1


class ClaimTable:
    """A hash table with open addressing in a buffer; one process writes it, others may read it.

    It has two generations.  When one is half full, the older one is cleared and written from then on: at least the
    latest ``slots / 2`` claims are kept.
    """

    def __init__(self, buffer: memoryview) -> None:
        """``buffer``: of ``table_bytes`` of some number of slots, zeros at first."""
        self._words = buffer.cast("Q")
        self._slots = len(self._words) // GENERATIONS
        self._current = 0  # the generation that is written
        self._count = 0  # slots of it that are not empty

    def __contains__(self, value: int) -> bool:
        return self._find(value) is not None

    def __iter__(self) -> Iterator[int]:
        return (word for word in self._words if word > REMOVED)

    def add(self, value: int) -> None:
        """Add a hash that is not in the table."""
        if self._count >= self._slots // 2 or (slot := self._free_slot(value)) is None:
            self._begin_generation()
            slot = self._free_slot(value)
        assert slot is not None
        self._count += self._words[slot] == EMPTY
        self._words[slot] = value

    def remove(self, value: int) -> None:
        """Remove a hash, if it is in the table."""
        slot = self._find(value)
        if slot is None:
            return
        base = slot // self._slots * self._slots
        followed = self._words[base + (slot + 1 - base) % self._slots] != EMPTY
        self._words[slot] = REMOVED if followed else EMPTY
        self._count -= not followed and base == self._current * self._slots

    def close(self) -> None:
        """Release the buffer."""
        self._words.release()

    def _probes(self, generation: int, value: int) -> Iterator[int]:
        base = generation * self._slots
        return (base + (value + i) % self._slots for i in range(PROBES))

    def _find(self, value: int) -> int | None:
        for generation in range(GENERATIONS):
            for slot in self._probes(generation, value):
                word = self._words[slot]
                if word == value:
                    return slot
                if word == EMPTY:
                    break
        return None

    def _free_slot(self, value: int) -> int | None:
        return next((slot for slot in self._probes(self._current, value) if self._words[slot] <= REMOVED), None)

    def _begin_generation(self) -> None:
        self._current = (self._current + 1) % GENERATIONS
        first = self._current * self._slots
        self._words[first:first + self._slots] = memoryview(bytes(self._slots * WORD_BYTES)).cast("Q")
        self._count = 0


class RequestClaims:
    """The claims of this process, and a view of those of the scheduler's other processes."""

    def __init__(self, own: ClaimTable) -> None:
        self.own = own
        self.others: dict[str, ClaimTable] = {}  # by file name

    def claim(self, ident: str) -> bool:
        """Claim an id; False if it is claimed already, here or by another process."""
        value = request_hash(ident)
        if value in self.own:
            return False
        self.own.add(value)
        if any(value in table for table in self.others.values()):
            self.own.remove(value)
            return False
        return True

    def release(self, ident: str) -> None:
        """Give a claim back: the request certainly did not run."""
        self.own.remove(request_hash(ident))

    def adopt(self, table: ClaimTable) -> None:
        """Take over the claims of a process that has ended."""
        for value in table:
            if value not in self.own:
                self.own.add(value)


def private_claims(limit_bytes: float) -> RequestClaims:
    """Claims that no other process sees."""
    return RequestClaims(ClaimTable(memoryview(bytearray(table_bytes(slots_for(limit_bytes))))))
