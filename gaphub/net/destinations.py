"""Owns the destination set: the calls to discovery's agent, and the watch.

It tells the core what the list says and nothing else.  It must never send to a worker, never hold back a
change, and never let a garbled answer end the watch.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import h11
import msgspec

from ..config import GARBLED, Address, Config, ConfigError, DestinationList, ListedEntry, address
from ..core import Core
from ..interface import ListKind, WorkerState
from ..messages import Listed
from ..metrics import Counters
from .http import Connection, ConnectionLostError, NeverWrittenError

# A watch can fall silent with its connection open, and shows it only by the end of its wait.  What it misses
# counts as told 6 s after that, or 2 s after the wait where that is later; until it is opened anew no worker
# that joins is known.  The agent is on this machine and answers at no cost, so the wait is short.
WATCH_MS = 1_000
SILENT_S = 0.5  # past the wait, without an answer: the agent is silent and the call is begun again
CALL_S = 2.0  # for a call that may not wait
AGAIN_S = 0.1  # after a failed call, doubling up to the next
AGAIN_MOST_S = 0.8  # where lists are asked for: after a move the list counts as told within seconds
# Where lists are pushed the agent is on this machine, answers at no cost, and what it has counts as told at once,
# also when it has just come back: it is called again soon enough to keep the grace of a drain.
PUSHED_MOST_S = 0.2  # a watch goes on if the next call comes within this time
GRACE_PART = 0.25  # of the grace of a drain
PUSHED_LEAST_S = 0.02  # however short the grace
# A watch that is answered at once with nothing new is begun again only after AGAIN_S; one that brings news at
# once QUICK times in a row, after BUSY_S.  Both are well within the time in which a watch goes on.
AT_ONCE_S = 0.02
QUICK = 8
BUSY_S = 0.05
# Where lists are asked for, the module waits longer after each failure, and spreads its first call over the time
# that the settings give, as calls to discovery itself cost.  The agent's do not, and what it has counts as told
# 6 s later, asked for or not: after so long without a word of the module's the watch is opened all the same.
UNASKED_S = 2.0
SOURCE = "discovery"
_STATES = {"active": WorkerState.READY, "leaving": WorkerState.DRAINING, "left": WorkerState.GONE}


class DestinationSet:
    """The actor of the list; its mailbox takes what the core asks for."""

    def __init__(self, config: Config, core: Core, counters: Counters) -> None:
        self.core = core
        self.counters = counters
        self.agent = config.discovery
        self.zones = {name: i for i, name in enumerate(config.zones)}
        self.models = {name: i for i, name in enumerate(config.models)}
        self.known = config.known
        self.version = config.known.version
        self.following = not config.settings.must_ask
        self.stopped = False  # by the module's word
        self.told = False  # whether the agent has said anything since the start
        # Whether the whole list is owed, up to one that can be read.  First where readiness waits for it: a watch
        # may have nothing to say.
        self._whole = config.admin is not None
        self._asked: asyncio.Queue[str] = asyncio.Queue(8)
        self._wire: Connection | None = None
        self._moved = asyncio.Event()
        self._quick = 0  # calls in a row that were answered at once

    # -- what the core and the configuration ask --

    def move(self, agent: Address) -> None:
        """The agent has another address from now on; what it named so far stays named until it answers."""
        if agent != self.agent:
            self.agent = agent
            self.counters.add("lists.moved")
            self._moved.set()
            self._ask("fetch")

    def watch(self, on: bool) -> None:
        """Follow changes, or stop."""
        self._ask("follow" if on else "stop")

    def fetch(self) -> None:
        """Ask once for the whole list."""
        self._ask("fetch")

    def _ask(self, what: str) -> None:
        if self._asked.full():
            self.counters.add("lists.asks_dropped")
        else:
            self._asked.put_nowait(what)

    # -- the actor --

    def start_from_known(self) -> None:
        """Tell the core the list as this scheduler last held it."""
        self.core.listed(SOURCE, ListKind.CACHED, self._entries(self.known))

    async def run(self) -> None:
        """Watch for ever; a failure is told, waited out and never ends the actor."""
        pause = self._first_pause_s()
        try:
            while True:
                while not self._asked.empty() or not (self.following or self._whole):
                    what = await self._next_asked()
                    self._whole = self._whole or what == "fetch"
                    self.following = what == "follow" if what != "fetch" else self.following
                    self.stopped = what == "stop" if what != "fetch" else self.stopped
                if self._moved.is_set():
                    # The new agent may count its versions anew: it is asked for the whole list first.
                    self._moved.clear()
                    self._drop()
                    pause, self._whole = self._first_pause_s(), True
                try:
                    await self._unless_moved(self._paced_call(self._whole))
                    pause = self._first_pause_s()
                except (ConnectionLostError, NeverWrittenError, TimeoutError, h11.ProtocolError) as error:
                    self._drop()
                    self.counters.log("lists.failed", repr(error))
                    if self.core.settings.must_ask:
                        self.following = False  # the module asks again in its own time
                        await self.core.post(self.core.list_failed)
                    if not isinstance(error, TimeoutError):  # else a wait is over already: watch on at once
                        await self._unless_moved(asyncio.sleep(pause))
                        pause = min(self._longest_pause_s(), pause * 2)
                except Exception as error:  # whatever an answer does to the code that reads it, the watch goes on
                    self._drop()
                    self.counters.log("lists.raised", repr(error))
                    await self._unless_moved(asyncio.sleep(pause))
                    pause = min(self._longest_pause_s(), pause * 2)
        finally:
            self._drop()

    def _longest_pause_s(self) -> float:
        """The longest pause after failed calls, by the settings in force."""
        settings = self.core.settings
        if settings.must_ask:
            return AGAIN_MOST_S
        return max(PUSHED_LEAST_S, min(PUSHED_MOST_S, GRACE_PART * settings.drain_grace_ms / 1000.0))

    def _first_pause_s(self) -> float:
        return min(AGAIN_S, self._longest_pause_s())

    async def _next_asked(self) -> str:
        """What the module asks for next; a watch, if it is silent for too long and has not stopped one."""
        try:
            async with asyncio.timeout(None if self.stopped else UNASKED_S):
                return await self._asked.get()
        except TimeoutError:
            self.counters.add("lists.unasked")
            return "follow"

    async def _unless_moved(self, work: Coroutine[Any, Any, None]) -> None:
        """Do something, but break it off when the agent moves: the old one may be silent for long."""
        task, moved = asyncio.ensure_future(work), asyncio.ensure_future(self._moved.wait())
        try:
            await asyncio.wait({task, moved}, return_when=asyncio.FIRST_COMPLETED)
            if task.done():
                await task
        finally:
            for each in (task, moved):
                each.cancel()
            await asyncio.gather(task, moved, return_exceptions=True)

    def _drop(self) -> None:
        if self._wire is not None:
            self._wire.close()
            self._wire = None

    async def _paced_call(self, whole: bool) -> None:
        """One call, and a pause where the agent answers too readily: it bounds the calls in a second."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        news = await self._call(whole)
        self._quick = self._quick + 1 if loop.time() - began < AT_ONCE_S else 0
        if self._quick and not news and not whole:
            await asyncio.sleep(self._first_pause_s())
        elif self._quick > QUICK:
            await asyncio.sleep(BUSY_S)

    async def _call(self, whole: bool) -> bool:
        """One call and the list it brought; whether there was any news in it."""
        target = "/api/targets" if whole else f"/api/targets?index={self.version}&wait={WATCH_MS}"
        async with asyncio.timeout(CALL_S if whole else WATCH_MS / 1000.0 + SILENT_S):
            if self._wire is None or not self._wire.reusable:
                self._drop()
                self._wire = await Connection.connect(self.agent, CALL_S)
            await self._wire.send("GET", target, [(b"Host", f"{self.agent[0]}:{self.agent[1]}".encode())], b"")
            event = await self._wire.next_event()
            body = await self._wire.read_body(16 * 1024 * 1024)
        if event.status_code != 200:
            raise ConnectionLostError(f"answered {event.status_code}")
        try:
            found = msgspec.json.decode(body, type=DestinationList)
            entries = self._entries(found)
        except GARBLED as error:
            self.counters.log("garbled.list", str(error))
            await asyncio.sleep(self._first_pause_s())
            return True
        self.version = found.version
        self.told = True
        self._whole = self._whole and not whole
        if entries or found.full:
            kind = ListKind.FULL if found.full else ListKind.CHANGES
            await self.core.post(lambda: self.core.listed(SOURCE, kind, entries))
        else:
            await self.core.post(self.core.heard_discovery)
        return bool(entries or found.full)

    def _entries(self, found: DestinationList) -> list[Listed]:
        return [self._entry(e) for e in found.servers if self._has_address(e)]

    def _has_address(self, e: ListedEntry) -> bool:
        """Whether it can be called, or need not be.

        Guards against an entry that raises wherever the Balancer means to call it, which would end in the middle
        of what it does for a request.
        """
        try:
            address(e.addr, e.id)
        except ConfigError as error:
            if e.state == "active":  # what says that a worker drains or has gone counts all the same
                self.counters.log("garbled.entry", str(error))
                return False
        return True

    def _entry(self, e: ListedEntry) -> Listed:
        return Listed(e.id, e.addr, _STATES[e.state], self.models.get(e.kind, 0), e.cell, e.weight,
                      self.zones.get(e.zone, 0), e.started_ms)
