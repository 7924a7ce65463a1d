"""The client of the discovery service: fetches the worker list from its agent and watches it for changes.

It passes to the core what the list says and nothing else.  It must never send to a worker, never hold back a
change, and never let a malformed answer end the watch.

A change counts as delivered to the scheduler some time after the agent had it and could be reached, whether the
scheduler has read it or not; from then on the scheduler is expected to act on it.

In automatic mode the list is watched from the start, and what the agent has counts as delivered at once.  In
subscribe mode (``must_ask``) the balancer asks for lists and watches, and what the agent has counts as delivered
6 s later.  For what a silent watch misses see ``WATCH_WAIT_MS``.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import h11
import msgspec

from ..config import DECODE_ERRORS, Address, Config, ConfigError, DestinationList, ListedEntry, parse_address
from ..core import Core
from ..interface import ListKind, WorkerState
from ..messages import ListedDestination
from ..metrics import Counters
from .http import Connection, ConnectionLostError, NeverWrittenError

# A watch can fall silent while its connection stays open, which shows only when its wait ends.  A change that it
# misses counts as delivered 6 s after it fell silent, or 2 s after the end of the wait if that is later; until the
# watch is opened anew, workers that join are unknown.  The agent runs on this host and its calls cost nothing, so
# the wait is short.
WATCH_WAIT_MS = 1_000
WATCH_MARGIN_S = 0.5  # an answer that is later than this after the wait: the agent is silent, the call is retried
CALL_TIMEOUT_S = 2.0  # for connecting and for calls without a wait
RETRY_MIN_S = 0.1  # after a failed call; doubles with each further failure up to the maximum of the mode
# In subscribe mode.  After a change of the agent's address, its list counts as delivered within seconds.
RETRY_MAX_S = 0.8
# In automatic mode, what the agent has counts as delivered at once, also when it has just come back after an
# outage.  Its calls cost nothing, so it is retried soon enough to keep the drain grace period.
AUTO_RETRY_MAX_S = 0.2  # the agent takes a watch as continued if the next call comes within this time
GRACE_FRACTION = 0.25  # of the drain grace period: the longest pause in automatic mode
AUTO_RETRY_MIN_S = 0.02  # lower bound of that maximum, however short the grace period
# Bounds the calls per second to an agent that answers watches at once: after an immediate answer without changes
# the next call waits RETRY_MIN_S, and after more than IMMEDIATE_MAX immediate answers in a row IMMEDIATE_PAUSE_S.
# Both are well within the time in which a watch counts as continued.
IMMEDIATE_ANSWER_S = 0.02
IMMEDIATE_MAX = 8
IMMEDIATE_PAUSE_S = 0.05
# In subscribe mode the balancer backs off after each failure and spreads its first call over the time that the
# settings give, because calls to the discovery service itself are costly.  Calls to the agent are not, and what it
# has counts as delivered 6 s later whether it was asked for or not.  So the watch is opened anyway when the
# balancer has sent no command for this long.
UNREQUESTED_AFTER_S = 2.0
SOURCE = "discovery"
_STATES = {"active": WorkerState.READY, "leaving": WorkerState.DRAINING, "left": WorkerState.GONE}


class DiscoveryClient:
    """The actor that follows the worker list; its queue takes the core's commands."""

    def __init__(self, config: Config, core: Core, counters: Counters) -> None:
        self.core = core
        self.counters = counters
        self.agent = config.discovery
        self.zones = {name: i for i, name in enumerate(config.zones)}
        self.models = {name: i for i, name in enumerate(config.models)}
        self.cached = config.known
        self.version = config.known.version
        self.watching = not config.settings.must_ask
        self.watch_stopped = False  # by the balancer's command
        self.has_answered = False  # since the start, with a list that could be decoded
        # Whether the next call must fetch the full list; set until one that can be decoded has come.  True at the
        # start if the operators' readiness check waits for a list, as a watch may have nothing to report.
        self._full_list_due = config.admin is not None
        self._commands: asyncio.Queue[str] = asyncio.Queue(8)
        self._http: Connection | None = None
        self._agent_changed = asyncio.Event()
        self._immediate_answers = 0  # in a row

    # -- commands of the core and the configuration --

    def set_agent(self, agent: Address) -> None:
        """Use the agent at another address; workers listed so far stay listed until it answers."""
        if agent != self.agent:
            self.agent = agent
            self.counters.add("lists.moved")
            self._agent_changed.set()
            self._enqueue("fetch")

    def watch(self, on: bool) -> None:
        """Watch the list for changes, or stop."""
        self._enqueue("follow" if on else "stop")

    def fetch(self) -> None:
        """Fetch the full list once."""
        self._enqueue("fetch")

    def _enqueue(self, command: str) -> None:
        if self._commands.full():
            self.counters.add("lists.asks_dropped")
        else:
            self._commands.put_nowait(command)

    # -- the actor --

    def publish_cached(self) -> None:
        """Pass to the core the list that this scheduler held last, from its configuration."""
        self.core.update_destinations(SOURCE, ListKind.CACHED, self._entries(self.cached))

    async def run(self) -> None:
        """Follow the list for ever; failures are logged and retried after a pause, and never end the actor."""
        pause = self._initial_pause_s()
        try:
            while True:
                while not self._commands.empty() or not (self.watching or self._full_list_due):
                    command = await self._next_command()
                    self._full_list_due = self._full_list_due or command == "fetch"
                    self.watching = command == "follow" if command != "fetch" else self.watching
                    self.watch_stopped = command == "stop" if command != "fetch" else self.watch_stopped
                if self._agent_changed.is_set():
                    # The new agent may number its versions differently: fetch its full list first.
                    self._agent_changed.clear()
                    self._close_connection()
                    pause, self._full_list_due = self._initial_pause_s(), True
                try:
                    await self._unless_agent_changes(self._paced_call(self._full_list_due))
                    pause = self._initial_pause_s()
                except (ConnectionLostError, NeverWrittenError, TimeoutError, h11.ProtocolError) as error:
                    self._close_connection()
                    self.counters.log("lists.failed", repr(error))
                    if self.core.settings.must_ask:
                        self.watching = False  # until the balancer asks again
                        await self.core.post(self.core.discovery_failed)
                    if not isinstance(error, TimeoutError):  # a time-out was a pause already
                        await self._unless_agent_changes(asyncio.sleep(pause))
                        pause = min(self._max_pause_s(), pause * 2)
                except Exception as error:  # whatever the code that reads an answer raises, the watch goes on
                    self._close_connection()
                    self.counters.log("lists.raised", repr(error))
                    await self._unless_agent_changes(asyncio.sleep(pause))
                    pause = min(self._max_pause_s(), pause * 2)
        finally:
            self._close_connection()

    def _max_pause_s(self) -> float:
        """The maximum pause after failed calls, by the settings in force."""
        settings = self.core.settings
        if settings.must_ask:
            return RETRY_MAX_S
        return max(AUTO_RETRY_MIN_S, min(AUTO_RETRY_MAX_S, GRACE_FRACTION * settings.drain_grace_ms / 1000.0))

    def _initial_pause_s(self) -> float:
        return min(RETRY_MIN_S, self._max_pause_s())

    async def _next_command(self) -> str:
        """The balancer's next command; "follow" if none comes for too long, unless it has stopped the watch."""
        try:
            async with asyncio.timeout(None if self.watch_stopped else UNREQUESTED_AFTER_S):
                return await self._commands.get()
        except TimeoutError:
            self.counters.add("lists.unasked")
            return "follow"

    async def _unless_agent_changes(self, work: Coroutine[Any, Any, None]) -> None:
        """Run ``work``, but cancel it when the agent's address changes: the old agent may be silent for long."""
        task, agent_changed = asyncio.ensure_future(work), asyncio.ensure_future(self._agent_changed.wait())
        try:
            await asyncio.wait({task, agent_changed}, return_when=asyncio.FIRST_COMPLETED)
            if task.done():
                await task
        finally:
            for each in (task, agent_changed):
                each.cancel()
            await asyncio.gather(task, agent_changed, return_exceptions=True)

    def _close_connection(self) -> None:
        if self._http is not None:
            self._http.close()
            self._http = None

    async def _paced_call(self, full: bool) -> None:
        """One call, and a pause if the agent answers immediately, which bounds the calls per second."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        changed = await self._call(full)
        self._immediate_answers = self._immediate_answers + 1 if loop.time() - began < IMMEDIATE_ANSWER_S else 0
        if self._immediate_answers and not changed and not full:
            await asyncio.sleep(self._initial_pause_s())
        elif self._immediate_answers > IMMEDIATE_MAX:
            await asyncio.sleep(IMMEDIATE_PAUSE_S)

    async def _call(self, full: bool) -> bool:
        """Make one call and pass its list to the core; whether it was a full list or held changes."""
        target = "/api/targets" if full else f"/api/targets?index={self.version}&wait={WATCH_WAIT_MS}"
        async with asyncio.timeout(CALL_TIMEOUT_S if full else WATCH_WAIT_MS / 1000.0 + WATCH_MARGIN_S):
            if self._http is None or not self._http.reusable:
                self._close_connection()
                self._http = await Connection.connect(self.agent, CALL_TIMEOUT_S)
            await self._http.send("GET", target, [(b"Host", f"{self.agent[0]}:{self.agent[1]}".encode())], b"")
            event = await self._http.next_event()
            body = await self._http.read_body(16 * 1024 * 1024)
        if event.status_code != 200:
            raise ConnectionLostError(f"the discovery agent answered with status {event.status_code}")
        try:
            answer = msgspec.json.decode(body, type=DestinationList)
            entries = self._entries(answer)
        except DECODE_ERRORS as error:
            self.counters.log("garbled.list", str(error))
            await asyncio.sleep(self._initial_pause_s())
            return True
        self.version = answer.version
        self.has_answered = True
        self._full_list_due = self._full_list_due and not full
        if entries or answer.full:
            kind = ListKind.FULL if answer.full else ListKind.CHANGES
            await self.core.post(lambda: self.core.update_destinations(SOURCE, kind, entries))
        else:
            await self.core.post(self.core.discovery_answered)
        return bool(entries or answer.full)

    def _entries(self, answer: DestinationList) -> list[ListedDestination]:
        return [self._entry(entry) for entry in answer.servers if self._has_usable_address(entry)]

    def _has_usable_address(self, entry: ListedEntry) -> bool:
        """Whether the entry's address is valid, or is not needed.

        An entry with an invalid address would raise whenever the balancer calls the worker, and abort its handling
        of a request midway.
        """
        try:
            parse_address(entry.addr, entry.id)
        except ConfigError as error:
            if entry.state == "active":  # an entry of a worker that drains or is gone needs no address
                self.counters.log("garbled.entry", str(error))
                return False
        return True

    def _entry(self, e: ListedEntry) -> ListedDestination:
        return ListedDestination(e.id, e.addr, _STATES[e.state], self.models.get(e.kind, 0), e.cell, e.weight,
                                 self.zones.get(e.zone, 0), e.started_ms)
