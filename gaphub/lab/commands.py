"""Owns the words of ``gaphub lab`` on click, and what they show on rich."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.live import Live
from rich.table import Table

from ..cluster import explore as explorer
from . import failover as experiment
from . import fleet as sums
from . import gearman as gearman_load
from . import recovery as coming_back
from . import requests as stories
from .answers import Answers
from .clients import WORTH, Clients
from .idle import measure
from .site import Site, free_port

console = Console(highlight=False)


@click.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--only", "wanted", multiple=True, help="A counter, or how its name begins; may be repeated.")
def fleet(folder: Path, wanted: tuple[str, ...]) -> None:
    """What the schedulers whose logs lie in FOLDER did in each second: the sum, and the most at one."""
    try:
        head, *rows = sums.read(folder).table(list(wanted))
    except (OSError, ValueError) as error:
        raise click.ClickException(str(error)) from None
    for row in [head, *rows]:
        click.echo("\t".join(row))


@click.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--id", "ident", default="", help="Only this request, through every scheduler that took it.")
@click.option("--young", default=9000.0, show_default=True, help="ms; a worker that has run for less is young.")
@click.option("--kept", type=click.IntRange(0), default=0,
              help="Keys that a worker is taken to keep, the last ones; 0: all since its start.")
@click.option("--bucket", type=click.IntRange(1), default=100, show_default=True, help="ms; of the histogram.")
def requests(folder: Path, ident: str, young: float, kept: int, bucket: int) -> None:
    """Where the requests in the logs of FOLDER ended, by class, and how long they took; needs log.requests.

    A key is met where, by the calls of all schedulers, its worker has run it since its start, and new elsewhere.
    """
    try:
        if ident:
            for story in stories.read(folder):
                if story.values.get("id") == ident:
                    click.echo(f"{story.scheduler}\t{story.at:g}\t{story.text}")
            return
        answers = Answers(young, kept).take_all(stories.read(folder))
    except (OSError, ValueError) as error:
        raise click.ClickException(str(error)) from None
    for rows in (answers.ends(), answers.keys(), answers.times(), answers.shape(bucket)):
        for row in rows:
            click.echo("\t".join(row))
        click.echo("")
    click.echo(f"left while waiting\t{answers.waiting}\tsent on later\t{answers.later}")


@click.command()
@click.option("--fault", default="", help="One seeded fault; else all of them in turn, and none.")
@click.option("--walks", default=2000, show_default=True, help="Random walks for each.")
@click.option("--faults", default=1, show_default=True, help="Departures in the exhaustive sweep.")
@click.option("--ticks", default=60, show_default=True, help="Real ticks of the sweep.")
@click.option("--members", default=3, show_default=True, help="Voters in the walks.")
def explore(fault: str, walks: int, faults: int, ticks: int, members: int) -> None:
    """Check the election machine: never two valid leases at one real time; seeded faults must be found."""
    bad = False
    for name in [fault] if fault else explorer.FAULTS:
        began = time.monotonic()
        swept, paused = (explorer.explore_within_bound(name, faults=faults, ticks=ticks),
                         explorer.explore_holder_pauses(name))
        states, terms, leases = swept.states + paused.states, swept.terms, swept.leases
        found = swept.violation or paused.violation
        walked = 0
        for seed in range(walks):
            if found:
                break
            report = explorer.random_walk(name, seed, members=members)
            walked += 1
            states += report.states
            terms, leases = max(terms, report.terms), max(leases, report.leases)
            found = report.violation and f"{report.violation}, by walk {seed}"
        sound = bool(found) == (name != "none")
        bad |= not sound
        console.print(f"{name}: {states} states ({swept.states} by the sweep, "
                      f"{paused.states} by pauses, {walked} walks), up to {terms} "
                      f"terms and {leases} leases, {time.monotonic() - began:.1f} s: {found or 'nothing broken'}"
                      f"{'' if sound else '  <-- not as it must be'}")
    if bad:
        raise SystemExit(1)


@click.command()
@click.option("--rounds", default=20, show_default=True)
@click.option("--fault", type=click.Choice([*experiment.FAULTS, "all"]), default="all", show_default=True)
@click.option("--rate", default=60.0, show_default=True, help="Requests a second, doubled around each fault.")
@click.option("--plain", default=0, help="Beside it, so many kills under the front layer of today.")
@click.option("--seed", default=1, show_default=True)
@click.option("--frozen", default="0.3,1", show_default=True, help="How long a frozen holder stays so, in s.")
@click.option("--lease", default=400.0, show_default=True, help="Of the members, in ms; renewals at a quarter.")
@click.option("--out", type=click.Path(), default="found/failover.json", show_default=True)
def failover(rounds: int, fault: str, rate: float, plain: int, seed: int, frozen: str, lease: float,
             out: str) -> None:
    """Faults at the holder, in rounds: time to the first answer of the new one, and the audit of every job."""
    outcomes: dict[str, experiment.Outcome] = {}
    names = [f for f in experiment.FAULTS if f != "oneway"] if fault == "all" else [fault]
    lengths = tuple(float(x) for x in frozen.split(","))

    def tell(outcome: experiment.Outcome) -> None:
        if outcome.rounds % 10 == 0:
            console.print(f"  {outcome.fault}: {outcome.rounds} rounds, last "
                          f"{outcome.moved_ms[-1] if outcome.moved_ms else 0:.0f} ms")

    for name in names:
        outcomes[name] = asyncio.run(experiment.run(name, rounds, rate, False, seed, tell, lengths, lease))
        console.print("\n".join(experiment.lines(outcomes[name], name)))
    if plain:
        outcomes["kill, plain front"] = asyncio.run(experiment.run("kill", plain, rate, True, seed, tell))
        console.print("\n".join(experiment.lines(outcomes["kill, plain front"], "kill, plain front")))
    path = Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    experiment.save(outcomes, path)
    console.print(f"figures in {path}, plot in {path.with_suffix('.png')}")
    if any(o.duplicates or o.doubles for o in outcomes.values()):
        raise SystemExit(1)


@click.command()
@click.option("--runs", default=7, show_default=True)
@click.option("--beside", multiple=True, type=click.Path(exists=True), help="Another checkout, to compare with.")
@click.option("--fleet", default="0", show_default=True, help="Peers and workers it is told of: N,N...")
def idle(runs: int, beside: tuple[str, ...], fleet: str) -> None:
    """What the platform pays: ms until ready and MB resident of an idle daemon, as medians."""
    here = Path(__file__).resolve().parent.parent.parent
    for size in map(int, fleet.split(",")):
        for tree, (ms, mb) in measure([here, *(Path(b).resolve() for b in beside)], sys.executable, runs,
                                      free_port(), size).items():
            console.print(f"{tree}: told of {size}: ready after {ms:.0f} ms, {mb:.1f} MB resident, {runs} runs")


@click.command()
@click.option("--clients", default="1,16,256", show_default=True)
@click.option("--jobs", default=8000, show_default=True, help="Of each run.")
@click.option("--workers", default=8, show_default=True)
@click.option("--queue", default=100_000, show_default=True, help="Background jobs that wait for nobody.")
@click.option("--beside", multiple=True, type=click.Path(exists=True), help="Another checkout, without a queue.")
def gearman(clients: str, jobs: int, workers: int, queue: int, beside: tuple[str, ...]) -> None:
    """Load on the Gearman front: jobs/s, latency, CPU a job; cost and memory of jobs that wait."""
    counts = [int(c) for c in clients.split(",")]
    for tree in beside:
        asyncio.run(_gearman(counts, jobs, workers, 0, Path(tree).resolve()))
    asyncio.run(_gearman(counts, jobs, workers, queue, Path(__file__).resolve().parent.parent.parent))


async def _gearman(clients: list[int], jobs: int, workers: int, queue: int, tree: Path) -> None:
    console.print(f"{tree}:")
    daemon = gearman_load.Daemon(free_port(), free_port(), tree)
    try:
        await daemon.open()
        for count in clients:
            console.print((await gearman_load.throughput(daemon, count, jobs, workers)).line())
        marks = sorted({m for m in (1000, 10_000, queue) if m <= queue})
        for mark, us, size in await gearman_load.waiting(daemon, marks) if queue else []:
            console.print(f"{mark} jobs wait: {us:.0f} us a submit since the last mark, {size:.0f} bytes a job")
    finally:
        daemon.close()


async def _table(site: Site, clients: Clients, since: float) -> Table:
    rows = [r for r in clients.rows if r.sent > time.monotonic() - 2.0]
    table = Table(title=f"site on {site.net}.0, {time.monotonic() - since:.0f} s")
    for name in ("daemon", "state", "holds", "term", "lease", "bfd", "open", "taken"):
        table.add_column(name)
    for d in site.daemons:
        told: dict[str, Any] | None = await d.status(0.2)
        if told is None:
            table.add_row(d.name, "[red]silent[/red]")
            continue
        c, counters = told["cluster"], told["counters"]
        bfd = told["routers"][0]["bfd"] if told.get("routers") else "-"
        table.add_row(d.name, c["role"], "[green]yes[/green]" if c["holds"] else "", str(c["term"]),
                      f"{c['lease_left_ms']:.0f} ms" if c["holds"] else "", bfd, str(told.get("open_jobs", "")),
                      str(counters.get("requests.taken", "")))
    served = {c: sum(WORTH[c] for r in rows if r.cls == c and r.ending == 200) / 2.0 for c in WORTH}
    served_s = sum(r.ending == 200 for r in rows) / 2
    table.caption = (f"{len(rows) / 2:.0f} tries/s, {served_s:.0f} served/s, worth/s "
                     + ", ".join(f"{c} {w:.0f}" for c, w in served.items())
                     + f"; {len(site.front.moves)} moves, route to {site.front.next_hop or 'nobody'}")
    return table


@click.command()
@click.option("--seconds", default=14.0, show_default=True)
@click.option("--rate", default=80.0, show_default=True)
def demo(seconds: float, rate: float) -> None:
    """A served site, a kill of the holder, the move, a freeze; ends by itself with a summary."""
    asyncio.run(_play(3, 0, seconds, rate, [(0.25, "kill holder"), (0.55, "restart"), (0.65, "freeze holder"),
                                           (0.8, "thaw")], []))


@click.command()
@click.option("--daemons", default=3, show_default=True, type=click.IntRange(2, 5))
@click.option("--witness/--no-witness", default=False, help="A third vote that serves nothing.")
@click.option("--seconds", default=60.0, show_default=True)
@click.option("--rate", default=80.0, show_default=True)
@click.option("--loss", default=0.0, help="Share of the members' datagrams that is lost.")
@click.option("--delay", default=0.0, help="Their delay, in ms, up to this.")
@click.option("--at", multiple=True, help="A fault: 'SECONDS WORDS', such as '5 kill holder', '8 freeze n2', "
              "'9 thaw', '10 split n1', '10 oneway n1', '12 heal', '14 restart', '15 term holder'.")
def up(daemons: int, witness: bool, seconds: float, rate: float, loss: float, delay: float,
       at: tuple[str, ...]) -> None:
    """A site with a live table; faults come at their times, or as lines typed meanwhile."""
    plan = [(float(x.split(" ", 1)[0]) / seconds, x.split(" ", 1)[1]) for x in at]
    asyncio.run(_play(daemons, int(witness), seconds, rate, plan, [loss, delay]))


async def _play(daemons: int, witnesses: int, seconds: float, rate: float, plan: list[tuple[float, str]],
                net: list[float]) -> None:
    site = Site(daemons, witnesses)
    if net:
        site.relay.loss, site.relay.delay_ms = net[0], (0.0, net[1])
    said: list[str] = []
    try:
        console.print(f"starting {len(site.daemons)} processes ...")
        await site.open()
        clients = site.clients(rate)
        clients.start()
        began = time.monotonic()
        todo = sorted(plan)
        with Live(console=console, refresh_per_second=4) as live:
            while (spent := time.monotonic() - began) < seconds:
                while todo and spent >= todo[0][0] * seconds:
                    said.append(f"{spent:5.1f} s  {await _act(site, todo.pop(0)[1])}")
                live.update(await _table(site, clients, began))
                await asyncio.sleep(0.25)
        await clients.drain(6.0)
        outcome = experiment.Outcome("demo")
        experiment._audit(site, clients, outcome, [])
        console.print("\n".join(said))
        for at, hop in site.front.moves:
            console.print(f"{max(0.0, at - began):5.1f} s  route to {hop or 'nobody'}")
        console.print(f"jobs {len(clients.jobs)}, served {sum(j.served for j in clients.jobs)}; tries by ending "
                      f"{outcome.endings}; never-twice jobs run twice {outcome.duplicates}; "
                      f"answers beyond one {outcome.doubles}")
        await clients.close()
    finally:
        await site.close()


async def _act(site: Site, words: str) -> str:
    """One fault by its words; what was done."""
    what, _, whom = words.partition(" ")
    named = site.holder() if whom == "holder" else next((d for d in site.daemons if d.name == whom), None)
    if what == "heal":
        site.relay.heal()
        return "healed"
    if what == "restart":
        for d in site.daemons:
            if d.process is None or d.process.poll() is not None:
                site.restart(d)
        return "restarted what was dead"
    if what == "thaw":
        for d in site.daemons:
            site.thaw(d)
        return "thawed"
    if named is None:
        return f"{words}: nobody of that name"
    if what == "kill":
        site.kill(named)
    elif what == "freeze":
        site.freeze(named)
    elif what == "term":
        named.signal(15)
    elif what in ("split", "oneway"):
        site.split(named, what == "split")
    else:
        return f"{words}: no such fault"
    return f"{what} {named.name}"


@click.command()
@click.option("--schedulers", default=10, show_default=True, help="Processes, 2 to 40.")
@click.option("--share", default=0.7, show_default=True, help="Of them killed with SIGKILL at once.")
@click.option("--workers", default=8, show_default=True)
@click.option("--rate", default=200.0, show_default=True, help="Requests a second over all clients.")
@click.option("--runs", default=1, show_default=True, help="Runs, each with the next seed.")
@click.option("--seed", default=1, show_default=True)
def recovery(schedulers: int, share: float, workers: int, rate: float, runs: int, seed: int) -> None:
    """Kill most schedulers at once, start them again: time until the served rate is back, and what it cost."""
    if not 2 <= schedulers <= 40 or not 0 < share <= 1:
        raise click.BadParameter("schedulers from 2 to 40, a share above 0 and at most 1")
    for n in range(runs):
        report = asyncio.run(coming_back.run(schedulers, share, workers, rate, seed=seed + n))
        console.print(f"seed {seed + n}: {report.line()}")
