"""Accounts for the memory that clients make this process hold, so that it stays within its configured limit.

A front end charges its ``MemoryBudget`` with each byte that it has read from a client until it no longer needs
it, whether it lies in a buffer, in a parser or in an open request.  Reading stops while the budget is overdrawn,
for all but one client, so that one can always finish and make room.

A budget's capacity is what clients may hold at any time.  They may hold more while the process's resident memory
is well below its limit.  The resident memory alone would not do: it stays high after memory was given back to the
allocator, which can use it again.
"""

from __future__ import annotations

import asyncio
import ctypes
import os
import time
from collections import deque
from collections.abc import Callable, Hashable, Iterable, Mapping
from contextlib import suppress
from pathlib import Path

from ..metrics import Counters

# Of the memory that is left after the start, for what clients send.  The rest is for calls to workers, the worker
# list, the decisions' state and the allocator's fragmentation.
CLIENT_SHARE = 0.25
# Of the whole limit; granted where less than this is left after the start.
MIN_CLIENT_SHARE = 0.08
# Of the capacity; a client that sends more while the budget is overdrawn by this is refused.  Up to that, those
# that have begun can finish.
EXHAUSTED_SHARE = 0.5
# Most that one HTTP client can make the process hold: a head, a body, what it sent ahead, an answer.
HTTP_CONNECTION_MAX_BYTES = 512 * 1024
MEASURE_INTERVAL_S = 0.05
TARGET_SHARE = 0.65  # of the memory limit; while resident memory is below it, clients may hold more
HIGH_SHARE = 0.9  # of the memory limit; above it the log says what is held
# A buffer that is emptied from its front keeps up to twice the memory of what is left in it.
BUFFER_FACTOR = 2
TRIM_INTERVAL_S = 0.25
MMAP_THRESHOLD_BYTES = 64 * 1024
MALLOPT_MMAP_THRESHOLD = -3  # M_MMAP_THRESHOLD of malloc.h
CONNECTION_BYTES = 16 * 1024  # objects of one connection: transport, stream, parser and task
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes(process: int | str = "self") -> int:
    """Resident memory of a process, by its id; 0 if it has ended or the system does not tell."""
    try:
        return int(Path(f"/proc/{process}/statm").read_bytes().split()[1]) * PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0


class Allocator:
    """The C library's allocator, where it is glibc's: has it give memory back to the system."""

    def __init__(self) -> None:
        self._trim: Callable[[int], int] | None = None
        with suppress(OSError, AttributeError):
            library = ctypes.CDLL(None)
            self._trim = library.malloc_trim
            # A fixed threshold: large buffers are mapped one by one and leave no holes when they are freed.
            library.mallopt(MALLOPT_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)

    def trim(self) -> None:
        """Give free memory back to the system."""
        if self._trim is not None:
            self._trim(0)


def client_capacity(limit_bytes: float, resident: float) -> int:
    """Bytes that clients may make this process hold; ``resident``: its memory before the first client came."""
    return int(max(limit_bytes * MIN_CLIENT_SHARE, (limit_bytes - resident) * CLIENT_SHARE))


class ProcessMemory:
    """The room between the process's resident memory and its limit, as measured last."""

    def __init__(self, limit_bytes: float, others: Callable[[], Iterable[int]]) -> None:
        """``others``: ids of the other processes that share the limit."""
        self.limit_bytes = limit_bytes
        self.resident = 0
        self.others_resident = 0
        self._others = others
        self._charged_since = 0  # what clients hold more than at the last measurement
        self.measure()

    def measure(self) -> None:
        """Measure the resident memory."""
        self.resident = resident_bytes()
        self.others_resident = sum(map(resident_bytes, self._others()))
        self._charged_since = 0

    def charge(self, count: int) -> None:
        """Clients hold ``count`` bytes more, or fewer."""
        self._charged_since += count

    @property
    def free(self) -> int:
        """Bytes that are left up to ``TARGET_SHARE`` of the limit; not positive if that is unknown."""
        if not self.resident:
            return 0
        return (int(self.limit_bytes * TARGET_SHARE) - self.resident - self.others_resident
                - self._charged_since)


class MemoryBudget:
    """The bytes that the clients of one front may hold, and who waits for room."""

    def __init__(self, capacity: int, process: ProcessMemory | None = None) -> None:
        """``process``: where clients may hold more than the capacity while the whole process holds little."""
        self.capacity = capacity
        self.held = 0
        self.peak = 0
        self.waits = 0  # how often a client had to wait for room
        self._process = process
        self._favoured: Hashable | None = None  # the one holder that may go on while the budget is overdrawn
        self._waiting: deque[asyncio.Future[None]] = deque()

    @property
    def free(self) -> int:
        """Bytes that are left; negative while the budget is overdrawn."""
        left = self.capacity - self.held
        return left if self._process is None else max(left, self._process.free)

    @property
    def exhausted(self) -> bool:
        """Whether the budget is overdrawn so far that nobody may read on."""
        return self.free < -self.capacity * EXHAUSTED_SHARE

    def charge(self, count: int) -> None:
        """Add bytes that are held now.  May overdraw: what was received cannot be sent back."""
        self.held += count
        self.peak = max(self.peak, self.held)
        if self._process is not None:
            self._process.charge(count)

    def release(self, count: int) -> None:
        """Subtract bytes that are held no longer."""
        self.charge(-count)
        if self.free >= 0:
            self._wake_next()

    async def wait_for_room(self, holder: Hashable) -> None:
        """Wait until ``holder`` may read more of what its client has sent.

        While the budget is overdrawn, one holder at a time goes on, until it calls ``finished``.
        """
        while self.free < 0 and self._favoured is not holder:
            if self._favoured is None:
                self._favoured = holder
                return
            self.waits += 1
            await self._wait_for_turn()
        if self.free >= 0:
            self._wake_next()

    async def _wait_for_turn(self) -> None:
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn in self._waiting:
                self._waiting.remove(turn)
            else:  # it was this one's turn
                self._wake_next()
            raise

    def finished(self, holder: Hashable) -> None:
        """A holder reads nothing for now; another one may go on."""
        if self._favoured is holder:
            self._favoured = None
            self._wake_next()

    def counters(self) -> Mapping[str, int]:
        """The state of the budget, as counters."""
        return {"held": self.held, "peak": self.peak, "capacity": self.capacity, "waits": self.waits}

    def _wake_next(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return


class ClientMemory:
    """Divides the memory for clients among the front ends, and logs when the process comes near its limit.

    During an upgrade two processes share one limit: what the other one has is not there for this one's clients.
    """

    def __init__(self, limit_bytes: float, sockets: int, counters: Counters,
                 others: Callable[[], Iterable[int]] = tuple) -> None:
        """``limit_bytes``, ``sockets``: limits of the process, whose memory is measured now.

        ``others``: ids of the other processes that share the limits.
        """
        self._sockets = sockets
        self._counters = counters
        self._process = ProcessMemory(limit_bytes, others)
        self._allocator = Allocator()
        self._trimmed_at = 0.0  # s, on the monotonic clock
        self._baseline = self._process.resident
        self._budgets: list[tuple[MemoryBudget, Callable[[], int]]] = []  # each with its capacity now
        counters.sources["process"] = lambda: {"resident_kb": resident_bytes() // 1024}

    def http(self, share: float) -> MemoryBudget:
        """The budget of the HTTP front: at most this share, and no more than its clients can use."""
        return self._budget("memory_http", lambda: self._http_capacity(share))

    def gearman(self, http_share: float) -> MemoryBudget:
        """The budget of the Gearman front: what the HTTP front leaves."""
        return self._budget("memory_gearman", lambda: self._capacity - self._http_capacity(http_share))

    @property
    def _capacity(self) -> int:
        return client_capacity(self._process.limit_bytes, self._baseline + self._process.others_resident)

    def _http_capacity(self, share: float) -> int:
        return min(int(self._capacity * share), self._sockets * HTTP_CONNECTION_MAX_BYTES)

    def _budget(self, name: str, capacity: Callable[[], int]) -> MemoryBudget:
        budget = MemoryBudget(capacity(), self._process)
        self._budgets.append((budget, capacity))
        self._counters.sources[name] = budget.counters
        return budget

    async def watch(self) -> None:
        """Measure the resident memory, wake those who wait for room, and log when the limit is near; for ever."""
        while True:
            await asyncio.sleep(MEASURE_INTERVAL_S)
            self.measure()
            if self._process.free < 0 and time.monotonic() - self._trimmed_at > TRIM_INTERVAL_S:
                self._trimmed_at = time.monotonic()
                self._allocator.trim()
            if self._process.resident + self._process.others_resident > self._process.limit_bytes * HIGH_SHARE:
                self._log_high()

    def measure(self) -> None:
        """Measure the resident memory, and go on with those who wait for room if there is some."""
        self._process.measure()
        for budget, capacity in self._budgets:
            budget.capacity = capacity()
            budget.release(0)

    def _log_high(self) -> None:
        held = " ".join(f"{name}={value}" for name, value in self._counters.snapshot().items()
                        if name.startswith("memory_"))
        process = self._process
        self._counters.log("memory.high", f"resident={process.resident} others={process.others_resident}"
                                          f" limit={process.limit_bytes:.0f} {held}")
