"""Owns the fail-over experiment: faults in rounds, the time until the new holder serves, and the audit.

It must never leave a round out: one that ends without a move is a row of its own and spoils the summary.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import time
from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from .clients import WORTH, Clients, Row
from .site import Site

FAULTS = ("kill", "freeze", "split", "oneway", "handover")
MOVE_S = 5.0  # a move that takes longer counts as none
FROZEN_S = (0.3, 1.0, 10.0)
JUMP = 2.0  # times the usual rate, around the fault
WINDOW_S = 3.0  # what is asked for so long after a fault counts for the worth lost


@dataclass
class Outcome:
    """What a run of rounds saw."""

    fault: str
    rounds: int = 0
    moved_ms: list[float] = field(default_factory=list)
    unmoved: int = 0
    duplicates: int = 0  # ids of never-twice classes that ran more than once
    doubles: int = 0  # answers that nobody was owed
    rows: int = 0
    endings: dict[str, int] = field(default_factory=dict)
    unanswered: dict[str, int] = field(default_factory=dict)  # tries without an answer, by why
    vyuctovani_asked: float = 0.0
    vyuctovani_served: float = 0.0

    def percentiles(self) -> dict[str, float]:
        """p50, p99 and max of the moves, in ms, by hdrhistogram."""
        histogram = HdrHistogram(1, 60_000_000, 3)
        for ms in self.moved_ms:
            histogram.record_value(int(ms * 1000))
        return {"p50": histogram.get_value_at_percentile(50) / 1000.0,
                "p99": histogram.get_value_at_percentile(99) / 1000.0,
                "max": max(self.moved_ms, default=0.0)}


async def run(fault: str, rounds: int, rate: float = 60.0, plain: bool = False, seed: int = 1,
              tell: Any = None, frozen_s: tuple[float, ...] = FROZEN_S[:2], lease_ms: float = 400.0) -> Outcome:
    """So many rounds of a fault at the holder (with ``plain``: at any daemon) under load."""
    site = Site(3, plain=plain, seed=seed, lease_ms=lease_ms)
    outcome = Outcome(fault)
    draw = random.Random(seed)
    faults: list[tuple[float, float, str]] = []
    try:
        await site.open()
        clients = site.clients(rate)
        clients.start()
        await asyncio.sleep(0.5)
        for _ in range(rounds):
            await _round(site, clients, fault, outcome, draw, faults, rate, frozen_s)
            outcome.rounds += 1
            if tell is not None:
                tell(outcome)
        await clients.drain(8.0)
        _audit(site, clients, outcome, faults)
        await clients.close()
    finally:
        await site.close()
    return outcome


async def _round(site: Site, clients: Clients, fault: str, outcome: Outcome, draw: random.Random,
                 faults: list[tuple[float, float, str]], rate: float, frozen_s: tuple[float, ...]) -> None:
    await asyncio.sleep(draw.uniform(0.1, 0.3))
    victim = draw.choice(site.serving) if site.plain else site.holder()
    if victim is None:
        outcome.unmoved += 1
        await site.wait_settled()
        return
    clients.rate = rate * JUMP
    seen = len(site.front.served)
    at = time.monotonic()
    if fault == "kill":
        site.kill(victim)
    elif fault == "freeze":
        site.freeze(victim)
    elif fault == "handover":
        victim.signal(signal.SIGTERM)
    else:
        site.split(victim, both=fault == "split")
    moved = None
    while moved is None and time.monotonic() - at < MOVE_S:
        await asyncio.sleep(0.002)
        moved = next((t for t, ip in site.front.served[seen:] if ip != victim.ip and t > at), None)
    if site.plain:
        moved = None  # the others serve all along; what counts is the worth
    elif moved is None:
        outcome.unmoved += 1
    else:
        outcome.moved_ms.append((moved - at) * 1000.0)
    if fault == "freeze":
        await asyncio.sleep(max(0.0, draw.choice(frozen_s) - (time.monotonic() - at)))
        site.thaw(victim)
    await asyncio.sleep(max(0.0, 1.0 - (time.monotonic() - at)))
    clients.rate = rate
    if fault == "handover" and victim.process is not None:
        while victim.process.poll() is None and time.monotonic() - at < 10.0:
            await asyncio.sleep(0.01)
        victim.kill()
    if fault in ("kill", "handover"):
        if site.plain:
            await asyncio.sleep(max(0.0, 2.6 - (time.monotonic() - at)))
        site.restart(victim)
    site.relay.heal()
    faults.append((at, time.monotonic(), victim.ip))
    await site.wait_settled()
    site.front.back(victim.ip)


def _audit(site: Site, clients: Clients, outcome: Outcome, faults: list[tuple[float, float, str]]) -> None:
    """Hold the workers' counts against the clients' rows."""
    once = {i for i, c in site.workers.class_by_request.items() if c != "poloha"}
    outcome.duplicates = sum(1 for i in once if site.workers.executions[i] > 1)
    outcome.doubles = clients.surplus
    outcome.rows = len(clients.rows)
    outcome.endings = dict(Counter(str(r.ending) for r in clients.rows))
    for row in clients.rows:
        if row.ending == 0:
            why = _why(row, faults)
            outcome.unanswered[why] = outcome.unanswered.get(why, 0) + 1
    for job in clients.jobs:
        if job.cls == "vyuctovani" and job.ended and any(a <= job.sent < a + WINDOW_S for a, _, _ in faults):
            outcome.vyuctovani_asked += WORTH[job.cls]
            outcome.vyuctovani_served += WORTH[job.cls] * job.served


def _why(row: Row, faults: list[tuple[float, float, str]]) -> str:
    """Why a try had no answer: what its sending and its end say of the fault."""
    for at, back, _ in faults:
        if row.sent <= at < row.sent + row.took:
            return "open when the fault came"
        if at < row.sent < back + 0.5:
            return "sent while the address moved"
    return "no fault near"


def lines(outcome: Outcome, title: str) -> list[str]:
    """The summary in words."""
    p = outcome.percentiles()
    return [
        f"{title}: {outcome.rounds} rounds, {outcome.unmoved} without a move",
        f"  moved in ms: p50 {p['p50']:.0f}, p99 {p['p99']:.0f}, max {p['max']:.0f}" if outcome.moved_ms else
        "  no address moves here",
        f"  never-twice jobs run twice {outcome.duplicates}, answers beyond one {outcome.doubles}",
        f"  tries {outcome.rows}, by ending {dict(sorted(outcome.endings.items()))}",
        f"  without an answer {dict(sorted(outcome.unanswered.items()))}",
        f"  vyuctovani worth in the {WINDOW_S:.0f} s after a fault: asked {outcome.vyuctovani_asked:.0f}, "
        f"lost {outcome.vyuctovani_asked - outcome.vyuctovani_served:.0f}",
    ]


def save(outcomes: dict[str, Outcome], path: Path) -> None:
    """Write the figures as JSON, and a plot of the moves beside it."""
    path.write_text(json.dumps({k: {**asdict(o), **o.percentiles()} for k, o in outcomes.items()}, indent=1))
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4.5))
    for name, outcome in outcomes.items():
        if outcome.moved_ms:
            found = sorted(outcome.moved_ms)
            axes.step(found, [(i + 1) / len(found) for i in range(len(found))], where="post",
                      label=f"{name} ({len(found)})")
    axes.axvline(1000.0, color="grey", linestyle=":", label="the aim: 1 s")
    axes.set(xlabel="ms from the fault to the first answer by the new holder", ylabel="share of moves",
             title="Moves of the service address", ylim=(0, 1.02))
    axes.legend()
    axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(path.with_suffix(".png"), dpi=100)
    pyplot.close(figure)
