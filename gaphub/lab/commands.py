"""The commands of ``gaphub lab``, and their output."""

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

from ..cluster import explore as model_checker
from . import counter_sums, request_records
from . import failover as failover_experiment
from . import gearman as gearman_load
from . import recovery as recovery_experiment
from .clients import WORTH, Clients
from .idle import measure
from .request_tables import RequestTables
from .site import Site, free_port

console = Console(highlight=False)


@click.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--only", "wanted", multiple=True, help="A counter, or a prefix of counter names; may be repeated.")
def fleet(folder: Path, wanted: tuple[str, ...]) -> None:
    """Per second: what the schedulers whose logs are in FOLDER counted, as sum and maximum of one scheduler."""
    try:
        head, *rows = counter_sums.read_folder(folder).table(list(wanted))
    except (OSError, ValueError) as error:
        raise click.ClickException(str(error)) from None
    for row in [head, *rows]:
        click.echo("\t".join(row))


@click.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--id", "ident", default="", help="Only this request, at every scheduler that received it.")
@click.option("--young", default=9000.0, show_default=True, help="ms; a worker that has run for less is young.")
@click.option("--kept", type=click.IntRange(0), default=0,
              help="Assumed size of a worker's key cache (most recent keys); 0: all keys since its start.")
@click.option("--bucket", type=click.IntRange(1), default=100, show_default=True,
              help="Width of the histogram's buckets, in ms.")
def requests(folder: Path, ident: str, young: float, kept: int, bucket: int) -> None:
    """How the requests in the logs of FOLDER ended, by class, and how long they took; needs log.requests.

    A key is met if, by the calls of all schedulers, the worker has run it since its start; otherwise it is new.
    """
    try:
        if ident:
            for record in request_records.read_records(folder):
                if record.fields.get("id") == ident:
                    click.echo(f"{record.scheduler}\t{record.logged_at:g}\t{record.line}")
            return
        tables = RequestTables(young, kept).add_all(request_records.read_records(folder))
    except (OSError, ValueError) as error:
        raise click.ClickException(str(error)) from None
    for rows in (tables.ending_rows(), tables.key_rows(), tables.time_rows(), tables.histogram_rows(bucket)):
        for row in rows:
            click.echo("\t".join(row))
        click.echo("")
    click.echo(f"left while waiting\t{tables.clients_left}\tsent on later\t{tables.called_after_leaving}")


@click.command()
@click.option("--fault", default="", help="One seeded fault; by default all of them in turn, and none.")
@click.option("--walks", default=2000, show_default=True, help="Random walks for each fault.")
@click.option("--faults", default=1, show_default=True, help="Most faults in one run of the exhaustive search.")
@click.option("--ticks", default=60, show_default=True, help="Length of these runs, in ticks of real time.")
@click.option("--members", default=3, show_default=True, help="Voters in the random walks.")
def explore(fault: str, walks: int, faults: int, ticks: int, members: int) -> None:
    """Model-check the election: no two valid leases at one time, and every seeded fault must be found."""
    any_wrong = False
    for name in [fault] if fault else model_checker.FAULTS:
        started_at = time.monotonic()
        sweep, pauses = (model_checker.explore_within_bound(name, faults=faults, ticks=ticks),
                         model_checker.explore_holder_pauses(name))
        states, terms, leases = sweep.states + pauses.states, sweep.terms, sweep.leases
        found = sweep.violation or pauses.violation
        walked = 0
        for seed in range(walks):
            if found:
                break
            report = model_checker.random_walk(name, seed, members=members)
            walked += 1
            states += report.states
            terms, leases = max(terms, report.terms), max(leases, report.leases)
            found = report.violation and f"{report.violation}, by walk {seed}"
        as_expected = bool(found) == (name != "none")
        any_wrong |= not as_expected
        console.print(f"{name}: {states} states ({sweep.states} by the sweep, "
                      f"{pauses.states} by pauses, {walked} walks), up to {terms} "
                      f"terms and {leases} leases, {time.monotonic() - started_at:.1f} s: "
                      f"{found or 'no violation'}"
                      f"{'' if as_expected else '  <-- unexpected result'}")
    if any_wrong:
        raise SystemExit(1)


@click.command()
@click.option("--rounds", default=20, show_default=True)
@click.option("--fault", type=click.Choice([*failover_experiment.FAULTS, "all"]), default="all", show_default=True)
@click.option("--rate", default=60.0, show_default=True, help="Requests a second; doubled around each fault.")
@click.option("--plain", default=0,
              help="Further rounds that kill a daemon behind the round-robin front layer in present use.")
@click.option("--seed", default=1, show_default=True)
@click.option("--frozen", default="0.3,1", show_default=True, help="Durations of a freeze of the holder, in s.")
@click.option("--lease", default=400.0, show_default=True, help="Of the members, in ms; renewed after a quarter.")
@click.option("--out", type=click.Path(), default="found/failover.json", show_default=True)
def failover(rounds: int, fault: str, rate: float, plain: int, seed: int, frozen: str, lease: float,
             out: str) -> None:
    """Inject faults at the lease holder, in rounds: time to the first answer of the new one, audit of all jobs."""
    outcomes: dict[str, failover_experiment.Outcome] = {}
    names = [f for f in failover_experiment.FAULTS if f != "oneway"] if fault == "all" else [fault]
    freeze_durations_s = tuple(float(x) for x in frozen.split(","))

    def print_progress(outcome: failover_experiment.Outcome) -> None:
        if outcome.rounds % 10 == 0:
            console.print(f"  {outcome.fault}: {outcome.rounds} rounds, last "
                          f"{outcome.moved_ms[-1] if outcome.moved_ms else 0:.0f} ms")

    for name in names:
        outcomes[name] = asyncio.run(failover_experiment.run(
            name, rounds, rate, False, seed, print_progress, freeze_durations_s, lease))
        console.print("\n".join(failover_experiment.format_summary(outcomes[name], name)))
    if plain:
        outcomes["kill, plain front"] = asyncio.run(
            failover_experiment.run("kill", plain, rate, True, seed, print_progress))
        console.print("\n".join(
            failover_experiment.format_summary(outcomes["kill, plain front"], "kill, plain front")))
    path = Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    failover_experiment.save(outcomes, path)
    console.print(f"figures in {path}, plot in {path.with_suffix('.png')}")
    if any(o.duplicates or o.doubles for o in outcomes.values()):
        raise SystemExit(1)


@click.command()
@click.option("--runs", default=7, show_default=True)
@click.option("--beside", multiple=True, type=click.Path(exists=True), help="Another checkout, for comparison.")
@click.option("--fleet", default="0", show_default=True,
              help="Numbers of peers and workers configured, one measurement each: N,N...")
def idle(runs: int, beside: tuple[str, ...], fleet: str) -> None:
    """Cost of an idle scheduler: ms until it is ready and MB of resident memory, as medians."""
    own_checkout = Path(__file__).resolve().parent.parent.parent
    for size in map(int, fleet.split(",")):
        for checkout, (ready_ms, resident_mb) in measure(
                [own_checkout, *(Path(b).resolve() for b in beside)], sys.executable, runs,
                free_port(), size).items():
            console.print(f"{checkout}: {size} peers and workers each: ready after {ready_ms:.0f} ms, "
                          f"{resident_mb:.1f} MB resident, {runs} runs")


@click.command()
@click.option("--clients", default="1,16,256", show_default=True)
@click.option("--jobs", default=8000, show_default=True, help="Jobs in each run.")
@click.option("--workers", default=8, show_default=True)
@click.option("--queue", default=100_000, show_default=True, help="Background jobs queued without a worker.")
@click.option("--beside", multiple=True, type=click.Path(exists=True),
              help="Another checkout, measured without queued jobs.")
def gearman(clients: str, jobs: int, workers: int, queue: int, beside: tuple[str, ...]) -> None:
    """Load the Gearman front: jobs/s, latency, CPU time per job; cost and memory of queued jobs."""
    counts = [int(c) for c in clients.split(",")]
    for checkout in beside:
        asyncio.run(_run_gearman(counts, jobs, workers, 0, Path(checkout).resolve()))
    asyncio.run(_run_gearman(counts, jobs, workers, queue, Path(__file__).resolve().parent.parent.parent))


async def _run_gearman(clients: list[int], jobs: int, workers: int, queue: int, checkout: Path) -> None:
    console.print(f"{checkout}:")
    daemon = gearman_load.Daemon(free_port(), free_port(), checkout)
    try:
        await daemon.open()
        for count in clients:
            console.print((await gearman_load.throughput(daemon, count, jobs, workers)).line())
        marks = sorted({m for m in (1000, 10_000, queue) if m <= queue})
        for mark, submit_us, bytes_per_job in await gearman_load.measure_queue(daemon, marks) if queue else []:
            console.print(f"{mark} jobs queued: {submit_us:.0f} us a submission since the last mark, "
                          f"{bytes_per_job:.0f} bytes a job")
    finally:
        daemon.close()


async def _site_table(site: Site, clients: Clients, started_at: float) -> Table:
    rows = [r for r in clients.rows if r.sent_at > time.monotonic() - 2.0]
    table = Table(title=f"site on {site.net}.0, {time.monotonic() - started_at:.0f} s")
    for name in ("daemon", "state", "holds", "term", "lease", "bfd", "open", "taken"):
        table.add_column(name)
    for daemon in site.daemons:
        status: dict[str, Any] | None = await daemon.status(0.2)
        if status is None:
            table.add_row(daemon.name, "[red]silent[/red]")
            continue
        cluster, counters = status["cluster"], status["counters"]
        bfd = status["routers"][0]["bfd"] if status.get("routers") else "-"
        table.add_row(daemon.name, cluster["role"], "[green]yes[/green]" if cluster["holds"] else "",
                      str(cluster["term"]), f"{cluster['lease_left_ms']:.0f} ms" if cluster["holds"] else "", bfd,
                      str(status.get("open_jobs", "")),
                      str(counters.get("requests.taken", "")))
    served = {class_name: sum(WORTH[class_name] for r in rows
                              if r.class_name == class_name and r.status == 200) / 2.0
              for class_name in WORTH}
    served_s = sum(r.status == 200 for r in rows) / 2
    table.caption = (f"{len(rows) / 2:.0f} tries/s, {served_s:.0f} served/s, worth/s "
                     + ", ".join(f"{class_name} {worth:.0f}" for class_name, worth in served.items())
                     + f"; {len(site.front.route_changes)} moves, route to {site.front.next_hop or 'nobody'}")
    return table


@click.command()
@click.option("--seconds", default=14.0, show_default=True)
@click.option("--rate", default=80.0, show_default=True)
def demo(seconds: float, rate: float) -> None:
    """A site under load: kill, restart, freeze and thaw of the lease holder; ends with a summary."""
    asyncio.run(_run_site(3, 0, seconds, rate, [(0.25, "kill holder"), (0.55, "restart"), (0.65, "freeze holder"),
                                           (0.8, "thaw")], []))


@click.command()
@click.option("--daemons", default=3, show_default=True, type=click.IntRange(2, 5))
@click.option("--witness/--no-witness", default=False, help="Add a witness, which votes and serves no requests.")
@click.option("--seconds", default=60.0, show_default=True)
@click.option("--rate", default=80.0, show_default=True)
@click.option("--loss", default=0.0, help="Fraction of the members' datagrams that is lost.")
@click.option("--delay", default=0.0, help="Maximum delay of the members' datagrams, in ms.")
@click.option("--at", multiple=True, help="A fault: 'SECONDS WORDS', such as '5 kill holder', '8 freeze n2', "
              "'9 thaw', '10 split n1', '10 oneway n1', '12 heal', '14 restart', '15 term holder'.")
def up(daemons: int, witness: bool, seconds: float, rate: float, loss: float, delay: float,
       at: tuple[str, ...]) -> None:
    """A site under load with a live table; faults are injected at the given times."""
    plan = [(float(x.split(" ", 1)[0]) / seconds, x.split(" ", 1)[1]) for x in at]
    asyncio.run(_run_site(daemons, int(witness), seconds, rate, plan, [loss, delay]))


async def _run_site(daemons: int, witnesses: int, seconds: float, rate: float, plan: list[tuple[float, str]],
                net: list[float]) -> None:
    site = Site(daemons, witnesses)
    if net:
        site.relay.loss, site.relay.delay_ms = net[0], (0.0, net[1])
    log_lines: list[str] = []
    try:
        console.print(f"starting {len(site.daemons)} processes ...")
        await site.open()
        clients = site.clients(rate)
        clients.start()
        started_at = time.monotonic()
        pending_faults = sorted(plan)
        with Live(console=console, refresh_per_second=4) as live:
            while (elapsed := time.monotonic() - started_at) < seconds:
                while pending_faults and elapsed >= pending_faults[0][0] * seconds:
                    log_lines.append(f"{elapsed:5.1f} s  {await _inject_fault(site, pending_faults.pop(0)[1])}")
                live.update(await _site_table(site, clients, started_at))
                await asyncio.sleep(0.25)
        await clients.drain(6.0)
        outcome = failover_experiment.Outcome("demo")
        failover_experiment._audit(site, clients, outcome, [])
        console.print("\n".join(log_lines))
        for changed_at, hop in site.front.route_changes:
            console.print(f"{max(0.0, changed_at - started_at):5.1f} s  route to {hop or 'nobody'}")
        console.print(f"jobs {len(clients.jobs)}, served {sum(j.served for j in clients.jobs)}; tries by ending "
                      f"{outcome.endings}; at-most-once jobs run twice {outcome.duplicates}; "
                      f"answers beyond one {outcome.doubles}")
        await clients.close()
    finally:
        await site.close()


async def _inject_fault(site: Site, words: str) -> str:
    """Inject the fault that a command describes; returns what was done."""
    action, _, name = words.partition(" ")
    daemon = site.holder() if name == "holder" else next(
        (each for each in site.daemons if each.name == name), None)
    if action == "heal":
        site.relay.heal()
        return "healed"
    if action == "restart":
        for each in site.daemons:
            if each.process is None or each.process.poll() is not None:
                site.restart(each)
        return "restarted what was dead"
    if action == "thaw":
        for each in site.daemons:
            site.resume(each)
        return "thawed"
    if daemon is None:
        return f"{words}: nobody of that name"
    if action == "kill":
        site.kill(daemon)
    elif action == "freeze":
        site.freeze(daemon)
    elif action == "term":
        daemon.signal(15)
    elif action in ("split", "oneway"):
        site.isolate(daemon, action == "split")
    else:
        return f"{words}: no such fault"
    return f"{action} {daemon.name}"


@click.command()
@click.option("--schedulers", default=10, show_default=True, help="Processes, 2 to 40.")
@click.option("--share", default=0.7, show_default=True,
              help="Share of the schedulers that is killed with SIGKILL at once.")
@click.option("--workers", default=8, show_default=True)
@click.option("--rate", default=200.0, show_default=True, help="Requests a second over all clients.")
@click.option("--runs", default=1, show_default=True, help="Number of runs, each with the next seed.")
@click.option("--seed", default=1, show_default=True)
def recovery(schedulers: int, share: float, workers: int, rate: float, runs: int, seed: int) -> None:
    """Kill most schedulers at once and restart them: time until the served rate recovers, and its cost."""
    if not 2 <= schedulers <= 40 or not 0 < share <= 1:
        raise click.BadParameter("schedulers from 2 to 40, a share above 0 and at most 1")
    for n in range(runs):
        report = asyncio.run(recovery_experiment.run(schedulers, share, workers, rate, seed=seed + n))
        console.print(f"seed {seed + n}: {report.line()}")
