"""Owns the command ``gaphub`` on click: what words there are, what they print, and how they exit.

``python -m gaphub`` without words never comes here: the platform pays for no command line.  A configuration
that cannot be used exits with 2, a daemon that does not answer with 1.
"""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path
from typing import Any

import click
import msgspec

from . import __version__, config


@click.group(invoke_without_command=True)
@click.version_option(__version__)
@click.pass_context
def gaphub(context: click.Context) -> None:
    """A scheduler that spreads jobs over workers.  Without a command: run."""
    if context.invoked_subcommand is None:
        context.invoke(run)


@gaphub.command()
def run() -> None:
    """Serve; reads LB_NAME, LB_LISTEN, LB_DISCOVERY, LB_CONFIG and LB_FRONTS."""
    from .__main__ import run_service

    raise SystemExit(run_service())


@gaphub.command()
@click.argument("file", type=click.Path())
@click.option("--witness", is_flag=True, help="The file is a witness's.")
@click.option("--classes", default="", help="The classes that functions may name, with commas; else any.")
def check(file: str, witness: bool, classes: str) -> None:
    """Read FILE (the form of deploy/fronts.toml, or LB_CONFIG's if it ends in .json); say every fault."""
    found = _faults(file, witness, classes)
    for fault in found:
        click.echo(f"{file}: {fault}", err=True)
    if found:
        raise SystemExit(2)
    click.echo(f"{file}: sound")


def _faults(file: str, witness: bool, classes: str) -> list[str]:
    """Each fault with its key.  Sections are checked one by one, so that one fault does not hide the next."""
    try:
        if witness:
            found = config.read_witness(file)
            return _key_fault(found.cluster)
        if file.endswith(".json"):
            config.load({"LB_CONFIG": file})
            return []
        text = Path(file).read_text()
    except (config.ConfigError, OSError, UnicodeDecodeError) as error:
        return [str(error)]
    try:
        whole = msgspec.toml.decode(text.encode())
    except msgspec.DecodeError as error:
        return [str(error)]
    faults = []
    for section, body in whole.items():
        try:
            front = msgspec.convert({section: body}, config.Fronts)
            if section == "address":
                front.address.check()  # alone it lacks the cluster, which is looked at below
            else:
                names = classes.split(",") if classes else list(front.gearman.functions.values())
                config.check_fronts(front, names)
            faults += _key_fault(front.cluster)
        except (config.ConfigError, msgspec.ValidationError) as error:
            faults.append(str(error))
    if "address" in whole and "cluster" not in whole and whole["address"].get("service"):
        faults.append("address.service: needs cluster.listen: only a holder announces it")
    return faults


def _key_fault(front: config.ClusterFront) -> list[str]:
    from .cluster.keyring import KeyRingError, read

    if not front.listen:
        return []
    try:
        read(front.keys)
    except KeyRingError as error:
        return [f"cluster.keys: {error}"]
    return []


def _ask(path: str, what: str) -> dict[str, Any]:
    """What a daemon answers at its admin socket; exits with 1 if it does not."""
    from .admin import ask

    try:
        return asyncio.run(ask(path, what))
    except (OSError, TimeoutError, msgspec.DecodeError) as error:
        click.echo(f"{path}: no answer: {error or type(error).__name__}", err=True)
        raise SystemExit(1) from None


@gaphub.command()
@click.option("--socket", "path", envvar="GAPHUB_ADMIN", required=True, help="The daemon's admin socket.")
def occupancy(path: str) -> None:
    """How a daemon and its peers tell each other their occupancy: the way, whether it is complete, how old."""
    told = _ask(path, "occupancy")
    parts = [told["way"], "complete" if told["complete"] else "not complete"]
    for key, name in (("age_p50_ms", "half of the sums"), ("age_p99_ms", "99 in 100")):
        if told[key] is not None:
            parts.append(f"{name} not older than {told[key] / 1000.0:.1f} s")
    click.echo(", ".join(parts))


@gaphub.command()
@click.option("--socket", "path", envvar="GAPHUB_ADMIN", required=True, help="The daemon's admin socket.")
@click.option("--json", "as_json", is_flag=True, help="All of it, as JSON.")
def status(path: str, as_json: bool) -> None:
    """What a daemon or a witness says of itself: holder, term, members, lease left, routers, counters."""
    told = _ask(path, "status")
    click.echo(msgspec.json.encode(told).decode() if as_json else "\n".join(_lines(told)))


def _lines(told: dict[str, Any]) -> list[str]:
    out = []
    if "name" in told:
        out.append(f"daemon    {told['name']} {told['version']}, {told['open_jobs']} open jobs")
    cluster = told.get("cluster")
    if cluster:
        lease = f", lease left {cluster['lease_left_ms']:.0f} ms" if cluster["holds"] else ""
        out.append(f"cluster   holder {cluster['holder'] or '-'}, term {cluster['term']}, "
                   f"this is {cluster['me']} ({cluster['role']}{lease})")
        for m in cluster["members"]:
            kind = "stands" if m["stands"] else "votes" if m["votes"] else "watches"
            out.append(f"  member  {m['name']:<12} {'up' if m['alive'] else 'DOWN':<5}"
                       f"{'ready' if m['ready'] else 'unready':<8} {kind}, priority {m['priority']}, "
                       f"term {m['term']}" + (f", phi {m['phi']}" if "phi" in m else ""))
        for move in cluster["moves"]:
            when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(move["unix_ms"] / 1000))
            out.append(f"  move    {when} {'gained' if move['gained'] else 'lost'} term {move['term']} "
                       f"({move['why']})")
    if queues := told.get("gearman"):
        out.append(f"gearman   {queues['waiting']} jobs wait ({queues['bytes']} bytes), the oldest for "
                   f"{queues['oldest_ms'] / 1000:.1f} s; {queues['out']} out, {queues['scheduled']} for a moment, "
                   f"{queues['refused']} refused")
    for r in told.get("routers", ()):
        out.append(f"router    {r['router']} bgp {r['bgp']}, bfd {r['bfd'] or '-'}, "
                   f"{'announced' if r['announced'] else 'not announced'}"
                   + (f", last error: {r['error']}" if r["error"] else ""))
    out += [f"  {name:<32} {value}" for name, value in told["counters"].items()]
    return out


@gaphub.command()
@click.option("--config", "file", required=True, type=click.Path(), help="TOML with [cluster], [admin], [log].")
def witness(file: str) -> None:
    """Vote, and serve nothing: the third vote of a site with two instances."""
    from .cluster.keyring import KeyRingError
    from .cluster.witness import run as run_witness
    from .metrics import Counters

    try:
        found = config.read_witness(file)
        counters = Counters()
        if found.log.form != "plain":
            from .logs import make_line_writer

            counters.line = make_line_writer(found.log.form, found.log.level, f"witness-{found.cluster.me}")
        asyncio.run(run_witness(found, counters))
    except (config.ConfigError, KeyRingError) as error:
        click.echo(f"gaphub: configuration: {error}", err=True)
        raise SystemExit(2) from None


@gaphub.group()
def key() -> None:
    """The key ring that members believe each other by."""


_FILE = click.option("--file", "file", required=True, type=click.Path(), help="The key ring file.")


def _change(file: str, change: Any) -> None:
    from .cluster import keyring

    try:
        entries = keyring.read(file).entries if os.path.exists(file) else []
        keyring.write(file, change(entries))
    except (keyring.KeyRingError, OSError) as error:
        click.echo(str(error), err=True)
        raise SystemExit(2) from None


@key.command("new")
@_FILE
def key_new(file: str) -> None:
    """Add a key.  The first signs at once; a later one is only believed until `key use`."""
    from .cluster.keyring import new_entry

    made = new_entry(time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()), False)

    def change(entries: list[Any]) -> list[Any]:
        return [*entries, msgspec.structs.replace(made, sign=not entries)]

    _change(file, change)
    click.echo(made.id)


@key.command("list")
@_FILE
def key_list(file: str) -> None:
    """Say which keys there are; never their secrets."""
    from .cluster.keyring import KeyRingError, read

    try:
        for entry in read(file).entries:
            click.echo(f"{entry.id}  made {entry.made or '-'}  {'signs' if entry.sign else 'believed'}")
    except KeyRingError as error:
        click.echo(str(error), err=True)
        raise SystemExit(2) from None


@key.command("use")
@_FILE
@click.argument("ident")
def key_use(file: str, ident: str) -> None:
    """Sign with the key IDENT from now on; every member must believe it already."""
    _change(file, lambda entries: [msgspec.structs.replace(e, sign=e.id == ident) for e in entries])


@key.command("drop")
@_FILE
@click.argument("ident")
def key_drop(file: str, ident: str) -> None:
    """Take the key IDENT out; the one that signs cannot be."""
    _change(file, lambda entries: [e for e in entries if e.id != ident])


@key.command("cert")
@click.option("--dir", "folder", required=True, type=click.Path(), help="Where the files go.")
@click.option("--name", "names", multiple=True, default=("localhost", "127.0.0.1"), show_default=True,
              help="Host names and addresses of the server.")
@click.option("--client", "clients", multiple=True, help="A client's certificate beside it, by its name.")
def key_cert(folder: str, names: tuple[str, ...], clients: tuple[str, ...]) -> None:
    """Make a CA of its own, a server certificate and clients' ones, to try TLS on the Gearman front."""
    from .gearman.tls import make_certificates

    try:
        for path in make_certificates(Path(folder), list(names), list(clients)):
            click.echo(path)
    except OSError as error:
        click.echo(f"{error.filename or folder}: {error.strerror}", err=True)
        raise SystemExit(2) from None


class _Lab(click.Group):
    """The lab's commands, loaded when one is asked for: they need the extra ``gaphub[lab]``."""

    def list_commands(self, context: click.Context) -> list[str]:
        return ["demo", "explore", "failover", "fleet", "gearman", "idle", "recovery", "requests", "scale",
                "up"]

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name not in self.list_commands(context):
            return None
        if name == "scale":
            from .lab.scale.commands import scale

            return scale
        from .lab import commands

        found: click.Command = getattr(commands, name)
        return found


@gaphub.command("lab", cls=_Lab)
def lab() -> None:
    """A site on loopback to try things on; experiments; model checking."""
