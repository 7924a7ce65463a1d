"""Owns one member at work: its socket, its mailbox, its steady clock, and the machine that decides.

It must never send what follows from a vote before that vote is on disk, never hand the machine anything that
``envelope`` did not vouch for, and never let a datagram or a full disk end it.  The lease is asked of the
machine by the clock each time (``holds``): a process that was frozen finds it over by itself.
"""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable
from typing import Any

from ..config import Address, ClusterConfig, ConfigError, parse_address
from ..metrics import Counters
from ..tasks import Tasks
from .detector import Detector
from .election import Election
from .envelope import SIZE, Link
from .keyring import KeyRing, KeyRingError, read
from .memory import MemoryFile
from .types import LeaseChange, Member, Message, Rules

MAILBOX = 256  # datagrams that wait; more are dropped, as the network may drop any
IDLE_S = 1.0
STEP_S = 0.0005  # the least wait, so that nothing that stays due can spin


def steady_ms() -> float:
    """Milliseconds of a clock that nobody sets and that counts a suspended machine's sleep (CLOCK_BOOTTIME)."""
    clock = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    return time.clock_gettime_ns(clock) / 1e6


def members_of(front: ClusterConfig) -> list[Member]:
    """The members as the machine knows them."""
    return [Member(m.id, m.name, m.votes, m.stands and m.votes, m.priority) for m in front.members]


def rules_of(front: ClusterConfig) -> Rules:
    """The figures as the machine knows them."""
    return Rules(front.lease_ms, front.renew_ms, front.margin, front.ballot_ms, front.stagger_ms,
                 front.jitter_ms, front.renew_ms, 3.5 * front.renew_ms, front.moves_most,
                 front.preempt_s * 1000.0)


class _Socket(asyncio.DatagramProtocol):
    def __init__(self, owner: Node) -> None:
        self.owner = owner

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.owner.take(data)

    def error_received(self, exc: Exception) -> None:
        self.owner.counters.add("cluster.socket_errors")


class Node:
    """One member.  ``run`` is its actor; ``close`` gives the socket back."""

    def __init__(self, front: ClusterConfig, counters: Counters, on_lease_change: Callable[[LeaseChange], None],
                 clock: Callable[[], float] = steady_ms) -> None:
        self.front = front
        self.counters = counters
        self.clock = clock
        self.on_lease_change = on_lease_change
        self.keys: KeyRing = read(front.keys)
        self.memory = MemoryFile(front.state)
        remembered = self.memory.read()
        if self.memory.fault:
            counters.log("cluster.memory_lost", self.memory.fault)
        self._saved = remembered
        self._life = secrets.randbits(63) | 1
        self.election = Election(front.me, members_of(front), rules_of(front), clock(), self._life, remembered)
        self.link = Link(front.me, self._life, front.name, {m.id: m for m in front.members})
        self.addresses = {m.id: parse_address(m.address, f"cluster.members.{m.name}.address")
                          for m in front.members if m.id != front.me}
        self.detectors = {i: Detector(front.renew_ms) for i in self.addresses}
        self.recent: list[dict[str, Any]] = []  # the last moves, for ``status``
        self._box: asyncio.Queue[bytes | Callable[[], object]] = asyncio.Queue(MAILBOX)
        self._socket: asyncio.DatagramTransport | None = None
        self._tasks = Tasks(counters)

    # -- life --

    async def open(self) -> None:
        """Listen and start the actor; the vote's file is written once, so that a bad path shows at the start."""
        try:
            await asyncio.to_thread(self.memory.write, self._saved)
        except OSError as error:
            raise ConfigError(f"cluster.state: {self.front.state}: {error.strerror}") from None
        loop = asyncio.get_running_loop()
        self._socket, _ = await loop.create_datagram_endpoint(
            lambda: _Socket(self), local_addr=parse_address(self.front.listen, "cluster.listen"))
        self._tasks.start(self.run())

    async def close(self) -> None:
        """Give back the actor and the socket."""
        await self._tasks.close()
        if self._socket is not None:
            self._socket.close()

    # -- what others ask --

    def holds(self) -> bool:
        """Whether the lease is valid now, by the clock."""
        return self.election.holds(self.clock())

    def set_ready(self, ready: bool) -> None:
        """Whether this instance can serve."""
        self._do(lambda: self.election.set_ready(ready, self.clock()))

    def hand_over(self) -> None:
        """Give the lease to the best of the others, at once."""
        self._do(lambda: self.election.hand_over(self.clock()))

    def reload_keys(self) -> None:
        """Read the key ring again; a faulty file leaves the old one in force."""
        try:
            self.keys = read(self.front.keys)
            self.counters.add("cluster.keys_reloaded")
        except KeyRingError as error:
            self.counters.log("cluster.keys_not_reloaded", str(error))

    def status(self) -> dict[str, Any]:
        """What ``gaphub status`` shows of the cluster."""
        now, machine = self.clock(), self.election
        names = {m.id: m.name for m in self.front.members}
        holder = machine.holder if machine.holds(now) or machine.holder != machine.me else 0
        if holder and holder != machine.me and now >= machine.promise_until:
            holder = 0
        return {
            "me": names[machine.me], "term": machine.term, "holder": names.get(holder, ""),
            "holds": machine.holds(now), "lease_left_ms": round(machine.lease_left(now), 1),
            "ready": machine.ready, "role": machine.role.name.lower(), "remembers": not machine.amnesic,
            "members": [self._member(m.id, now) for m in self.front.members],
            "moves": self.recent[-10:],
        }

    def _member(self, member: int, now: float) -> dict[str, Any]:
        known = self.election.members[member]
        told: dict[str, Any] = {"id": member, "name": known.name, "votes": known.votes,
                                "stands": known.stands, "priority": known.priority}
        if member != self.election.me:
            peer = self.election.peers[member]
            told |= {"alive": self.election.alive(member, now), "ready": peer.ready, "term": peer.term,
                     "phi": round(self.detectors[member].phi(now), 2)}
        else:
            told |= {"alive": True, "ready": self.election.ready, "term": self.election.term}
        return told

    # -- the actor --

    def take(self, data: bytes) -> None:
        """A datagram came in; dropped while the mailbox is full."""
        if self._box.full():
            self.counters.add("cluster.dropped")
        else:
            self._box.put_nowait(data)

    def _do(self, work: Callable[[], object]) -> None:
        try:
            self._box.put_nowait(work)
        except asyncio.QueueFull:  # datagrams fill it: an order of our own goes before them
            self._box.get_nowait()
            self._box.put_nowait(work)

    async def run(self) -> None:
        """Handle datagrams, orders and time, one at a time, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            got: bytes | Callable[[], object] | None = None
            wait_s = max(STEP_S, (self.election.next_due() - self.clock()) / 1000.0)
            try:
                got = self._box.get_nowait()
            except asyncio.QueueEmpty:
                try:
                    async with asyncio.timeout_at(loop.time() + min(wait_s, IDLE_S)):
                        got = await self._box.get()
                except TimeoutError:
                    pass
            if isinstance(got, bytes):
                self._received(got)
            elif got is not None:
                got()
            self.election.tick(self.clock())
            await self._flush()

    def _received(self, data: bytes) -> None:
        opened = self.link.open(self.keys.get, data)
        if isinstance(opened, str):
            if opened in ("former_life", "replayed"):  # usual after a restart, and with a network that doubles
                self.counters.add(f"cluster.ignored.{opened}")
            else:
                self.counters.log(f"cluster.ignored.{opened}", f"{len(data)} bytes")
            return
        if opened.message is None:
            self._send(opened.sender, self.election.greeting(), opened.life)
            return
        if opened.reborn:
            self._send(opened.sender, self.election.greeting())
        now = self.clock()
        self.detectors[opened.sender].heard(now)
        self.election.receive(now, opened.sender, opened.message)

    async def _flush(self) -> None:
        """Tell of moves, write down what must not be forgotten, then send what was said."""
        machine = self.election
        moves, machine.moves = machine.moves, []
        for move in moves:
            self.counters.add("cluster.gained" if move.gained else "cluster.lost")
            self.recent = [*self.recent[-49:], {"gained": move.gained, "term": move.term, "why": move.reason,
                                                "unix_ms": int(time.time() * 1000)}]
            self.on_lease_change(move)
        out, machine.out = machine.out, []
        memory = machine.memory
        if memory != self._saved:
            if self.memory.path is not None:
                try:
                    await asyncio.to_thread(self.memory.write, memory)
                except OSError as error:
                    # Nothing of what was said may be sent: a restart would not remember it.
                    self.counters.log("cluster.memory_not_written", error.strerror or repr(error))
                    return
            self._saved = memory
        for to, message in out:
            self._send(to, message)

    def _send(self, to: int, message: Message, life: int | None = None) -> None:
        if self._socket is None or self._socket.is_closing():
            return
        data = self.link.seal(self.keys.signing, to, message, life)
        assert len(data) == SIZE
        self._socket.sendto(data, self.addresses[to])
        self.counters.add("cluster.sent")
