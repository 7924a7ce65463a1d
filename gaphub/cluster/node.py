"""A cluster member: the UDP socket, the event queue and the clock around the election state machine.

It never sends a message that depends on a vote before that vote is on disk, never passes on a datagram that
``envelope`` has not authenticated, and never ends because of a datagram or a full disk.  ``holds`` evaluates the
lease against the clock on each call, so that a process that was frozen sees its lease expired without any message.
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
from .detector import FailureDetector
from .election import Election
from .envelope import DATAGRAM_BYTES, Endpoint
from .keyring import KeyRing, KeyRingError, read
from .state_file import StateFile
from .types import ElectionParameters, LeaseChange, Member, Message

MAX_QUEUED_EVENTS = 256  # datagrams beyond this are dropped; the protocol tolerates loss anyway
MAX_WAIT_S = 1.0  # longest wait for an event between two ticks
MIN_WAIT_S = 0.0005  # lower bound of a wait, so that a timer that stays due cannot cause a busy loop


def monotonic_ms() -> float:
    """Milliseconds of a monotonic clock that includes the time the machine is suspended (CLOCK_BOOTTIME)."""
    clock = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    return time.clock_gettime_ns(clock) / 1e6


def cluster_members(config: ClusterConfig) -> list[Member]:
    """The configured members as the election takes them."""
    return [Member(m.id, m.name, m.votes, m.stands and m.votes, m.priority) for m in config.members]


def election_parameters(config: ClusterConfig) -> ElectionParameters:
    """The configured parameters as the election takes them."""
    return ElectionParameters(config.lease_ms, config.renew_ms, config.margin, config.ballot_ms,
                              config.stagger_ms, config.jitter_ms, config.renew_ms, 3.5 * config.renew_ms,
                              config.moves_most, config.preempt_s * 1000.0)


class _Socket(asyncio.DatagramProtocol):
    def __init__(self, node: Node) -> None:
        self.node = node

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.node.enqueue_datagram(data)

    def error_received(self, exc: Exception) -> None:
        self.node.counters.add("cluster.socket_errors")


class Node:
    """One member; ``run`` handles its events one at a time, ``close`` releases the socket."""

    def __init__(self, config: ClusterConfig, counters: Counters, on_lease_change: Callable[[LeaseChange], None],
                 clock: Callable[[], float] = monotonic_ms) -> None:
        self.config = config
        self.counters = counters
        self.clock = clock
        self.on_lease_change = on_lease_change
        self.keys: KeyRing = read(config.keys)
        self.state_file = StateFile(config.state)
        saved_state = self.state_file.read()
        if self.state_file.fault:
            counters.log("cluster.memory_lost", self.state_file.fault)
        self._saved_state = saved_state
        self._incarnation = secrets.randbits(63) | 1
        self.election = Election(config.me, cluster_members(config), election_parameters(config), clock(),
                                 self._incarnation, saved_state)
        self.endpoint = Endpoint(config.me, self._incarnation, config.name, {m.id: m for m in config.members})
        self.addresses = {m.id: parse_address(m.address, f"cluster.members.{m.name}.address")
                          for m in config.members if m.id != config.me}
        self.detectors = {i: FailureDetector(config.renew_ms) for i in self.addresses}
        self.recent_changes: list[dict[str, Any]] = []  # the latest lease changes, for ``status``
        self._inbox: asyncio.Queue[bytes | Callable[[], object]] = asyncio.Queue(MAX_QUEUED_EVENTS)
        self._socket: asyncio.DatagramTransport | None = None
        self._tasks = Tasks(counters)

    # -- start and end --

    async def open(self) -> None:
        """Listen and start ``run``; the state file is written once, so that a bad path is found at startup."""
        try:
            await asyncio.to_thread(self.state_file.write, self._saved_state)
        except OSError as error:
            raise ConfigError(f"cluster.state: {self.config.state}: {error.strerror}") from None
        loop = asyncio.get_running_loop()
        self._socket, _ = await loop.create_datagram_endpoint(
            lambda: _Socket(self), local_addr=parse_address(self.config.listen, "cluster.listen"))
        self._tasks.start(self.run())

    async def close(self) -> None:
        """End ``run`` and close the socket."""
        await self._tasks.close()
        if self._socket is not None:
            self._socket.close()

    # -- interface --

    def holds(self) -> bool:
        """Whether this member's lease is valid now, by the clock."""
        return self.election.holds(self.clock())

    def set_ready(self, ready: bool) -> None:
        """Set whether this instance can serve."""
        self._enqueue_call(lambda: self.election.set_ready(ready, self.clock()))

    def hand_over(self) -> None:
        """Give up the lease at once in favour of the best successor."""
        self._enqueue_call(lambda: self.election.hand_over(self.clock()))

    def reload_keys(self) -> None:
        """Read the key ring again; if the file is invalid, the old key ring stays in force."""
        try:
            self.keys = read(self.config.keys)
            self.counters.add("cluster.keys_reloaded")
        except KeyRingError as error:
            self.counters.log("cluster.keys_not_reloaded", str(error))

    def status(self) -> dict[str, Any]:
        """The state of the cluster as ``gaphub status`` shows it."""
        now, election = self.clock(), self.election
        names = {m.id: m.name for m in self.config.members}
        holder = election.holder if election.holds(now) or election.holder != election.me else 0
        if holder and holder != election.me and now >= election.promise_until:
            holder = 0
        return {
            "me": names[election.me], "term": election.term, "holder": names.get(holder, ""),
            "holds": election.holds(now), "lease_left_ms": round(election.lease_remaining_ms(now), 1),
            "ready": election.ready, "role": election.role.name.lower(), "remembers": not election.recovering,
            "members": [self._member_status(m.id, now) for m in self.config.members],
            "moves": self.recent_changes[-10:],
        }

    def _member_status(self, member: int, now: float) -> dict[str, Any]:
        known = self.election.members[member]
        status: dict[str, Any] = {"id": member, "name": known.name, "votes": known.votes,
                                  "stands": known.stands, "priority": known.priority}
        if member != self.election.me:
            peer = self.election.peers[member]
            status |= {"alive": self.election.alive(member, now), "ready": peer.ready, "term": peer.term,
                       "phi": round(self.detectors[member].phi(now), 2)}
        else:
            status |= {"alive": True, "ready": self.election.ready, "term": self.election.term}
        return status

    # -- the event loop --

    def enqueue_datagram(self, data: bytes) -> None:
        """Queue a received datagram, or drop it if the queue is full."""
        if self._inbox.full():
            self.counters.add("cluster.dropped")
        else:
            self._inbox.put_nowait(data)

    def _enqueue_call(self, call: Callable[[], object]) -> None:
        try:
            self._inbox.put_nowait(call)
        except asyncio.QueueFull:  # full of datagrams, which may be lost: drop one for the call
            self._inbox.get_nowait()
            self._inbox.put_nowait(call)

    async def run(self) -> None:
        """Handle datagrams, calls and timers, one at a time, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            event: bytes | Callable[[], object] | None = None
            wait_s = max(MIN_WAIT_S, (self.election.next_due() - self.clock()) / 1000.0)
            try:
                event = self._inbox.get_nowait()
            except asyncio.QueueEmpty:
                try:
                    async with asyncio.timeout_at(loop.time() + min(wait_s, MAX_WAIT_S)):
                        event = await self._inbox.get()
                except TimeoutError:
                    pass
            if isinstance(event, bytes):
                self._handle_datagram(event)
            elif event is not None:
                event()
            self.election.tick(self.clock())
            await self._flush()

    def _handle_datagram(self, data: bytes) -> None:
        opened = self.endpoint.open(self.keys.get, data)
        if isinstance(opened, str):
            if opened in ("former_life", "replayed"):  # normal after a restart or on a network that duplicates
                self.counters.add(f"cluster.ignored.{opened}")
            else:
                self.counters.log(f"cluster.ignored.{opened}", f"{len(data)} bytes")
            return
        if opened.message is None:
            self._send(opened.sender, self.election.hello_message(), opened.incarnation)
            return
        if opened.restarted:
            self._send(opened.sender, self.election.hello_message())
        now = self.clock()
        self.detectors[opened.sender].record_heartbeat(now)
        self.election.receive(now, opened.sender, opened.message)

    async def _flush(self) -> None:
        """Report lease changes, write the persistent state, then send the queued messages."""
        election = self.election
        changes, election.lease_changes = election.lease_changes, []
        for change in changes:
            self.counters.add("cluster.gained" if change.gained else "cluster.lost")
            self.recent_changes = [*self.recent_changes[-49:], {
                "gained": change.gained, "term": change.term, "why": change.reason,
                "unix_ms": int(time.time() * 1000)}]
            self.on_lease_change(change)
        messages, election.outbox = election.outbox, []
        state = election.persistent_state
        if state != self._saved_state:
            if self.state_file.path is not None:
                try:
                    await asyncio.to_thread(self.state_file.write, state)
                except OSError as error:
                    # The messages must not be sent, as the state behind them would be lost in a restart.
                    self.counters.log("cluster.memory_not_written", error.strerror or repr(error))
                    return
            self._saved_state = state
        for to, message in messages:
            self._send(to, message)

    def _send(self, to: int, message: Message, incarnation: int | None = None) -> None:
        if self._socket is None or self._socket.is_closing():
            return
        data = self.endpoint.seal(self.keys.signing, to, message, incarnation)
        assert len(data) == DATAGRAM_BYTES
        self._socket.sendto(data, self.addresses[to])
        self.counters.add("cluster.sent")
