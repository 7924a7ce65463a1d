"""A soak of shutdowns: seeded runs in which clients use their connections until SIGKILL comes at its earliest.

Each run draws short deadlines, workers that hang, turn away or reset, signals in series and, now and then, a
crowd; it starts one scheduler, or two that hear each other, and ends one of them twice.  What the protocol page
calls a break is reported with the request's id.  By hand: ``python -m tests.soak --seeds 50``.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import re
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click

from .fleet import Attempt, Conversation, Discovery, Worker, entry, play
from .processes import Process, running
from .scenario import SETTINGS, free_port

SLACK_MS = 150.0  # of the time that an attempt tells
SOCKETS_S = 0.05  # every limit of time is longer by this on sockets
LATE_S = 0.5  # past its time an answer earns nothing; later it is lost
LEFT_S = 0.1  # after a client has left no attempt begins
FRONT_S = 0.4  # after SIGTERM new connections come for so long
LEAST_S = 0.7  # SIGKILL comes so long after the longest deadline, and asks for all that came so long after SIGTERM
MOST_DEADLINE_S = 3.0
MOST_TRIES = 3
CLIENTS = 14
CROWD = 150
CROWDED_DESCRIPTORS = 192
ROUNDS = 2
WITHIN_S = 240.0
EFFECTS = {"safe": "idempotent", "once": "at_most_once"}


@dataclass(frozen=True)
class Plan:
    """What a seed draws."""

    seed: int
    deadline_s: float  # of the class with the longest
    work_s: float
    copies: bool
    pair: bool  # two schedulers that hear each other
    crowd: bool
    signals: tuple[tuple[signal.Signals, float], ...]  # each with the pause before it, s

    @classmethod
    def draw(cls, seed: int) -> Plan:
        rng = random.Random(seed)
        term, hup = signal.SIGTERM, signal.SIGHUP
        series = rng.choice([(term,), (hup, term), (term, term), (term, hup), (hup, hup, term, hup),
                             (hup, term, term)])
        return cls(seed, rng.choice([0.4, 0.7, 1.2, 3.0]), rng.choice([0.01, 0.08, 0.25]), rng.random() < 0.3,
                   rng.random() < 0.4, rng.random() < 0.25,
                   tuple((s, rng.choice([0.0, 0.02, 0.2])) for s in series))


@dataclass
class Sent:
    """One request of a client."""

    ident: str
    cls: str
    sent_at: float
    timeout_s: float
    status: int = 0  # of its answer; 0: none
    ended_at: float = 0.0  # when it was answered or its connection ended
    left_at: float = 0.0  # when its client left; 0: it stayed


@dataclass
class Seen:
    """One attempt as its worker saw it."""

    attempt: Attempt
    conversation: Conversation
    answered: str = ""  # what its worker said

    @property
    def open(self) -> bool:
        transport = self.conversation.transport
        return not self.answered and transport is not None and not transport.is_closing()


@dataclass
class Soak:
    """One run."""

    plan: Plan
    folder: Path
    sent: list[Sent] = field(default_factory=list)
    seen: dict[str, list[Seen]] = field(default_factory=dict)
    breaks: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    told_at: float = 0.0  # when SIGTERM was sent in this round; 0: not yet

    def __post_init__(self) -> None:
        self.rng = random.Random(self.plan.seed + 1_000_000)
        self.serial = itertools.count()

    # -- workers --

    def behave(self, attempt: Attempt, conversation: Conversation) -> None:
        """What a worker does with an attempt, and what is wrong with its having come."""
        seen = Seen(attempt, conversation)
        before = self.seen.setdefault(attempt.ident, [])
        if not self.plan.copies:
            for other in before:
                asyncio.get_running_loop().call_later(0.1, self._look_whether_both_run, other, seen)
        before.append(seen)
        how = self.rng.choices(["done", "hang", "turned away", "reset", "failed"], [80, 6, 8, 3, 3])[0]
        if how != "hang":
            took_s = self.plan.work_s * self.rng.uniform(0.5, 1.5)
            asyncio.get_running_loop().call_later(took_s, self._end, seen, how)

    def _look_whether_both_run(self, one: Seen, other: Seen) -> None:
        if one.open and other.open:
            self.breaks.append(f"{one.attempt.ident}: two attempts at once")

    def _end(self, seen: Seen, how: str) -> None:
        if not seen.open:
            return
        seen.answered = how
        if how == "turned away":
            seen.conversation.say("503 Service Unavailable", b"", "X-Not-Processed: 1")
        elif how == "reset":
            seen.conversation.reset()
        else:
            seen.conversation.line(seen.attempt, how)

    # -- clients --

    async def client(self, port: int) -> None:
        """Send on one connection after another while each stays open; the front opens them up to a moment."""
        while not self.told_at or time.monotonic() < self.told_at + FRONT_S:
            with suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                try:
                    while True:
                        if not await self._exchange(reader, writer):
                            break
                        await asyncio.sleep(self.rng.choice([0.0, 0.01, 0.08, 0.3]))
                finally:
                    writer.transport.abort()
            await asyncio.sleep(0.02)

    async def _exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """One request, or two sent at once, and the answers; whether the connection stays.

        The client may leave meanwhile.
        """
        stays = True
        timeout_s = self.plan.deadline_s * self.rng.choice([0.5, 1.0])
        mine = [self._request(timeout_s) for _ in range(self.rng.choice([1, 1, 1, 1, 2]))]
        leaves_s = self.rng.uniform(0.0, 0.1) if self.rng.random() < 0.04 else None
        now = time.monotonic()
        for each in mine:
            each.sent_at = now
        writer.write(b"".join(self._bytes(each) for each in mine))
        try:
            async with asyncio.timeout(leaves_s):
                for each in mine:
                    each.status, stays = await self._answer(reader)
                    each.ended_at = time.monotonic()
        except TimeoutError:
            for each in mine:
                each.left_at = 0.0 if each.status else time.monotonic()
            raise ConnectionResetError from None
        except (OSError, asyncio.IncompleteReadError):
            for each in mine:
                each.ended_at = each.ended_at or time.monotonic()
            raise
        return stays

    def _request(self, timeout_s: float) -> Sent:
        sent = Sent(f"s{self.plan.seed}-{next(self.serial)}", self.rng.choice(list(EFFECTS)), 0.0, timeout_s)
        self.sent.append(sent)
        return sent

    @staticmethod
    def _bytes(sent: Sent) -> bytes:
        return (f"POST /api HTTP/1.1\r\nHost: a\r\nX-Request-ID: {sent.ident}\r\nX-Priority-Class: {sent.cls}\r\n"
                f"X-Timeout: {sent.timeout_s * 1e3:.0f}m\r\nContent-Length: 2\r\n\r\nab").encode()

    @staticmethod
    async def _answer(reader: asyncio.StreamReader) -> tuple[int, bool]:
        """The status of an answer, and whether it keeps the connection."""
        head = await reader.readuntil(b"\r\n\r\n")
        found = re.search(rb"Content-Length: (\d+)", head, re.I)
        await reader.readexactly(int(found[1]) if found else 0)
        return int(head.split()[1]), b"Connection: close" not in head

    async def crowd(self, port: int) -> None:
        """One of a crowd: says half a head or nothing, stays until it is shut out, and comes again."""
        while True:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                try:
                    writer.write(self.rng.choice([b"", b"POST /api HTTP/1.1\r\nHo"]))
                    while await reader.read(4096):
                        pass
                finally:
                    writer.transport.abort()
            await asyncio.sleep(0.2)

    # -- the course --

    async def run(self) -> Soak:
        """Play it."""
        workers = [Worker(self.behave) for _ in range(3)]
        agents = [Discovery(), Discovery()]
        for worker in workers:
            await worker.open()
        for agent in agents:
            agent.entries = [entry(f"w{n}", w) for n, w in enumerate(workers)]
            await agent.open()
        processes = self._processes(agents[0])
        try:
            with running(processes):
                assert max(await asyncio.gather(*(p.took_to_ready() for p in processes))) < 20.0
                for round_ in range(ROUNDS):
                    if round_:
                        processes[0].start()
                        assert await processes[0].took_to_ready() < 20.0
                    await self._round(processes[0], agents)
        finally:
            for worker in workers:
                worker.close()
            for agent in agents:
                agent.close()
        return self

    def _processes(self, agent: Discovery) -> list[Process]:
        peers = [f"127.0.0.1:{free_port()}" for _ in range(2 if self.plan.pair else 1)]
        grades = [{"name": name, "slo": 300.0, "deadline": self.plan.deadline_s * 1e3, "idempotency": effect}
                  for name, effect in EFFECTS.items()]
        limits = {**SETTINGS["limits"], "mostTries": MOST_TRIES, "secondCopies": self.plan.copies, "cancel": True,
                  "peerMessages": self.plan.pair}
        settings = {**SETTINGS, "grades": grades, "limits": limits, "balancers": len(peers)}
        more: dict[str, Any] = {}
        if self.plan.crowd:
            more["limits"] = {"memory_mb": 64, "sockets": CROWDED_DESCRIPTORS}
        return [Process(self.folder, free_port(), agent, f"n{n}", fronts="[log]\nrequests = true\n", admin="",
                        name=f"n{n}", peer_listen=to, peers=peers, settings={**settings, "me": n}, **more)
                for n, to in enumerate(peers)]

    async def _round(self, one: Process, agents: list[Discovery]) -> None:
        first, self.told_at = len(self.sent), 0.0
        tasks = [asyncio.create_task(self.client(one.listen)) for _ in range(CLIENTS)]
        if self.plan.crowd:
            tasks += [asyncio.create_task(self.crowd(one.listen)) for _ in range(CROWD)]
        await asyncio.sleep(0.6)
        turns = itertools.cycle(reversed(agents))
        for number, pause_s in self.plan.signals:
            await asyncio.sleep(pause_s)
            if number == signal.SIGTERM:
                self.told_at = self.told_at or time.monotonic()
                one.process.send_signal(number)
            else:
                one.reload(discovery="{}:{}".format(*next(turns).address))
        kill_at = self.told_at + min(self.plan.deadline_s, MOST_DEADLINE_S) + LEAST_S
        while time.monotonic() < kill_at and one.process.poll() is None:
            await asyncio.sleep(0.005)
        by_itself = one.process.poll() is not None
        self.counts["ended by itself" if by_itself else "killed"] += 1
        if one.process.poll() not in (None, 0, -signal.SIGTERM):
            self.breaks.append(f"exit code {one.process.poll()}")
        one.process.kill()
        one.process.wait()
        killed_at = float("inf") if by_itself else time.monotonic()
        await asyncio.sleep(0.2)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        self._audit(self.sent[first:], one.log.read_text(errors="replace"), self.told_at, killed_at)

    # -- what the pages call a break --

    def _audit(self, sent: list[Sent], log: str, told_at: float, killed_at: float) -> None:
        taken = set(re.findall(r"\bid=(\S+)", log))
        for each in sent:
            self.counts["sent"] += 1
            self.breaks += [f"{each.ident}: {what}" for what in itertools.chain(
                self._answer_breaks(each, taken, told_at, killed_at), self._attempt_breaks(each))]

    def _answer_breaks(self, sent: Sent, taken: set[str], told_at: float, killed_at: float) -> Iterator[str]:
        due = sent.sent_at + sent.timeout_s
        attempts = self.seen.get(sent.ident, [])
        if sent.status:
            self.counts[f"answered {sent.status}"] += 1
            if sent.ended_at > due + LATE_S + SOCKETS_S:
                yield f"answered {sent.ended_at - due:.3f} s late"
            if sent.status == 200 and not any(s.answered == "done" for s in attempts):
                yield "served by nobody"
            if sent.status == 503 and sent.cls == "once" and any(s.answered != "turned away" for s in attempts):
                yield "refused though it may have run"
        elif sent.left_at or not sent.ended_at:
            self.counts["left"] += bool(sent.left_at)
        elif sent.ended_at < killed_at - SOCKETS_S:
            self.counts["closed"] += 1  # between requests, by the scheduler; lost if it had read this one
            if attempts or sent.ident in taken:
                yield f"closed unanswered, sent {sent.sent_at - told_at:.3f} s after SIGTERM"
        else:
            self.counts["open at the kill"] += 1
            if sent.sent_at > told_at + LEAST_S or due + LATE_S < killed_at:
                yield f"unanswered at SIGKILL, sent {sent.sent_at - told_at:.3f} s after SIGTERM"

    def _attempt_breaks(self, sent: Sent) -> Iterator[str]:
        attempts = self.seen.get(sent.ident, [])
        if len(attempts) > MOST_TRIES:
            yield f"{len(attempts)} attempts"
        if sent.cls == "once" and any(s.answered != "turned away" for s in attempts[:-1]):
            yield "sent again though it may have run"
        for seen in attempts:
            over_ms = seen.attempt.told_ms - (sent.timeout_s - (seen.attempt.whole - sent.sent_at)) * 1e3
            if over_ms > SLACK_MS:
                yield f"told {over_ms:.0f} ms more than was left"
            if sent.left_at and seen.attempt.first > sent.left_at + LEFT_S + SOCKETS_S:
                yield f"begun {seen.attempt.first - sent.left_at:.3f} s after its client left"


async def soak(seeds: list[int], together: int) -> list[Soak]:
    """Play seeds, some at a time."""
    runs: list[Soak] = []
    room = asyncio.Semaphore(together)

    async def one(seed: int, folder: Path) -> None:
        async with room:
            runs.append(await Soak(Plan.draw(seed), folder).run())

    with tempfile.TemporaryDirectory(prefix="gaphub-soak-") as home:
        folders = [Path(home) / str(seed) for seed in seeds]
        for folder in folders:
            folder.mkdir()
        await asyncio.gather(*(one(seed, folder) for seed, folder in zip(seeds, folders, strict=True)))
    return runs


@click.command()
@click.option("--seeds", default=50, help="How many runs.")
@click.option("--first", default=1, help="The first seed.")
@click.option("--together", default=3, help="How many runs at a time.")
def main(seeds: int, first: int, together: int) -> None:
    """Play the long soak and print what broke."""
    runs: list[Soak] = []

    async def all_of_them() -> None:
        runs.extend(await soak(list(range(first, first + seeds)), together))

    play(all_of_them(), WITHIN_S * seeds)
    for run in sorted(runs, key=lambda run: run.plan.seed):
        print(run.plan, dict(run.counts), *run.breaks, sep="\n    ")
    total = sum((run.counts for run in runs), Counter())
    print(f"{len(runs)} runs, {sum(bool(run.breaks) for run in runs)} with a break; {dict(total)}")


if __name__ == "__main__":
    main()
