"""Fail-over experiment: rounds of one fault at the lease holder, with the time until the new holder serves.

Afterwards the clients' records are checked against the workers' counts.  No round is left out: one in which the
service address does not move is counted as unmoved.
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

from .clients import WORTH, Clients, TryRecord
from .site import Site

FAULTS = ("kill", "freeze", "split", "oneway", "handover")
MOVE_TIMEOUT_S = 5.0  # after this time without an answer from another daemon the round counts as unmoved
FREEZE_DURATIONS_S = (0.3, 1.0, 10.0)
BURST_FACTOR = 2.0  # factor on the request rate around the fault
WORTH_WINDOW_S = 3.0  # jobs sent within this time after a fault count towards the lost worth


@dataclass
class Outcome:
    """Result of a run of rounds."""

    fault: str
    rounds: int = 0
    moved_ms: list[float] = field(default_factory=list)
    unmoved: int = 0
    duplicates: int = 0  # request IDs of at-most-once classes that ran more than once
    doubles: int = 0  # second and later answers to a request, and answers that match no request
    rows: int = 0
    endings: dict[str, int] = field(default_factory=dict)
    unanswered: dict[str, int] = field(default_factory=dict)  # tries without an answer, by cause
    vyuctovani_asked: float = 0.0
    vyuctovani_served: float = 0.0

    def percentiles(self) -> dict[str, float]:
        """p50, p99 and max of the times to a move, in ms (HDR histogram)."""
        histogram = HdrHistogram(1, 60_000_000, 3)
        for ms in self.moved_ms:
            histogram.record_value(int(ms * 1000))
        return {"p50": histogram.get_value_at_percentile(50) / 1000.0,
                "p99": histogram.get_value_at_percentile(99) / 1000.0,
                "max": max(self.moved_ms, default=0.0)}


async def run(fault: str, rounds: int, rate: float = 60.0, round_robin: bool = False, seed: int = 1,
              on_round: Any = None, freeze_durations_s: tuple[float, ...] = FREEZE_DURATIONS_S[:2],
              lease_ms: float = 400.0) -> Outcome:
    """Run rounds of one fault under load, at the lease holder; with ``round_robin`` at any daemon."""
    site = Site(3, round_robin=round_robin, seed=seed, lease_ms=lease_ms)
    outcome = Outcome(fault)
    rng = random.Random(seed)
    faults: list[tuple[float, float, str]] = []
    try:
        await site.open()
        clients = site.clients(rate)
        clients.start()
        await asyncio.sleep(0.5)
        for _ in range(rounds):
            await _round(site, clients, fault, outcome, rng, faults, rate, freeze_durations_s)
            outcome.rounds += 1
            if on_round is not None:
                on_round(outcome)
        await clients.drain(8.0)
        _audit(site, clients, outcome, faults)
        await clients.close()
    finally:
        await site.close()
    return outcome


async def _round(site: Site, clients: Clients, fault: str, outcome: Outcome, rng: random.Random,
                 faults: list[tuple[float, float, str]], rate: float,
                 freeze_durations_s: tuple[float, ...]) -> None:
    await asyncio.sleep(rng.uniform(0.1, 0.3))
    victim = rng.choice(site.serving) if site.round_robin else site.holder()
    if victim is None:
        outcome.unmoved += 1
        await site.wait_settled()
        return
    clients.rate = rate * BURST_FACTOR
    answers_before = len(site.front.ok_answers)
    fault_at = time.monotonic()
    if fault == "kill":
        site.kill(victim)
    elif fault == "freeze":
        site.freeze(victim)
    elif fault == "handover":
        victim.signal(signal.SIGTERM)
    else:
        site.isolate(victim, both=fault == "split")
    moved_at = None
    while moved_at is None and time.monotonic() - fault_at < MOVE_TIMEOUT_S:
        await asyncio.sleep(0.002)
        moved_at = next((answered_at for answered_at, ip in site.front.ok_answers[answers_before:]
                         if ip != victim.ip and answered_at > fault_at), None)
    if site.round_robin:
        moved_at = None  # the other daemons serve throughout; the lost worth is the result
    elif moved_at is None:
        outcome.unmoved += 1
    else:
        outcome.moved_ms.append((moved_at - fault_at) * 1000.0)
    if fault == "freeze":
        await asyncio.sleep(max(0.0, rng.choice(freeze_durations_s) - (time.monotonic() - fault_at)))
        site.resume(victim)
    await asyncio.sleep(max(0.0, 1.0 - (time.monotonic() - fault_at)))
    clients.rate = rate
    if fault == "handover" and victim.process is not None:
        while victim.process.poll() is None and time.monotonic() - fault_at < 10.0:
            await asyncio.sleep(0.01)
        victim.kill()
    if fault in ("kill", "handover"):
        if site.round_robin:
            await asyncio.sleep(max(0.0, 2.6 - (time.monotonic() - fault_at)))
        site.restart(victim)
    site.relay.heal()
    faults.append((fault_at, time.monotonic(), victim.ip))
    await site.wait_settled()
    site.front.note_ready(victim.ip)


def _audit(site: Site, clients: Clients, outcome: Outcome, faults: list[tuple[float, float, str]]) -> None:
    """Check the workers' counts against the clients' records."""
    at_most_once = {request_id for request_id, class_name in site.workers.class_by_request.items()
                    if class_name != "poloha"}
    outcome.duplicates = sum(1 for request_id in at_most_once if site.workers.executions[request_id] > 1)
    outcome.doubles = clients.unexpected_answers
    outcome.rows = len(clients.rows)
    outcome.endings = dict(Counter(str(r.status) for r in clients.rows))
    for row in clients.rows:
        if row.status == 0:
            reason = _classify_unanswered(row, faults)
            outcome.unanswered[reason] = outcome.unanswered.get(reason, 0) + 1
    for job in clients.jobs:
        if job.class_name == "vyuctovani" and job.ended_at and any(
                fault_at <= job.sent_at < fault_at + WORTH_WINDOW_S for fault_at, _, _ in faults):
            outcome.vyuctovani_asked += WORTH[job.class_name]
            outcome.vyuctovani_served += WORTH[job.class_name] * job.served


def _classify_unanswered(row: TryRecord, faults: list[tuple[float, float, str]]) -> str:
    """Why a try had no answer, by when it was sent and when it ended relative to the faults."""
    for fault_at, recovered_at, _ in faults:
        if row.sent_at <= fault_at < row.sent_at + row.duration_s:
            return "open when the fault came"
        if fault_at < row.sent_at < recovered_at + 0.5:
            return "sent while the address moved"
    return "no fault near"


def format_summary(outcome: Outcome, title: str) -> list[str]:
    """The lines of the summary."""
    percentiles = outcome.percentiles()
    return [
        f"{title}: {outcome.rounds} rounds, {outcome.unmoved} without a move",
        f"  moved in ms: p50 {percentiles['p50']:.0f}, p99 {percentiles['p99']:.0f}, "
        f"max {percentiles['max']:.0f}" if outcome.moved_ms else
        "  no address moves here",
        f"  at-most-once jobs run twice {outcome.duplicates}, answers beyond one {outcome.doubles}",
        f"  tries {outcome.rows}, by ending {dict(sorted(outcome.endings.items()))}",
        f"  without an answer {dict(sorted(outcome.unanswered.items()))}",
        f"  vyuctovani worth in the {WORTH_WINDOW_S:.0f} s after a fault: asked {outcome.vyuctovani_asked:.0f}, "
        f"lost {outcome.vyuctovani_asked - outcome.vyuctovani_served:.0f}",
    ]


def save(outcomes: dict[str, Outcome], path: Path) -> None:
    """Write the results as JSON, and a plot of the times to a move beside it."""
    path.write_text(json.dumps(
        {name: {**asdict(outcome), **outcome.percentiles()} for name, outcome in outcomes.items()}, indent=1))
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4.5))
    for name, outcome in outcomes.items():
        if outcome.moved_ms:
            durations_ms = sorted(outcome.moved_ms)
            axes.step(durations_ms, [(i + 1) / len(durations_ms) for i in range(len(durations_ms))], where="post",
                      label=f"{name} ({len(durations_ms)})")
    axes.axvline(1000.0, color="grey", linestyle=":", label="the aim: 1 s")
    axes.set(xlabel="ms from the fault to the first answer by the new holder", ylabel="share of moves",
             title="Moves of the service address", ylim=(0, 1.02))
    axes.legend()
    axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(path.with_suffix(".png"), dpi=100)
    pyplot.close(figure)
