"""The ``gaphub`` command line, built with click.

``python -m gaphub`` without arguments does not import this module, so a plain start does not pay for click.  The
exit status is 2 for an invalid configuration and 1 if a daemon does not answer.
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
    """A scheduler that distributes jobs over workers.  Without a command: run."""
    if context.invoked_subcommand is None:
        context.invoke(run)


@gaphub.command()
def run() -> None:
    """Run the scheduler, configured by LB_NAME, LB_LISTEN, LB_DISCOVERY, LB_CONFIG and LB_FRONTS."""
    from .__main__ import run_service

    raise SystemExit(run_service())


@gaphub.command()
@click.argument("file", type=click.Path())
@click.option("--witness", is_flag=True, help="FILE is the configuration of a witness.")
@click.option("--classes", default="", help="Comma-separated class names that functions may use; default: any.")
def check(file: str, witness: bool, classes: str) -> None:
    """Check FILE, which is like deploy/fronts.toml, or like LB_CONFIG if it ends in .json; print every fault."""
    faults = _check_file(file, witness, classes)
    for fault in faults:
        click.echo(f"{file}: {fault}", err=True)
    if faults:
        raise SystemExit(2)
    click.echo(f"{file}: sound")


def _check_file(file: str, witness: bool, classes: str) -> list[str]:
    """Every fault with its key.  Sections are checked separately, so that one fault does not hide others."""
    try:
        if witness:
            settings = config.read_witness(file)
            return _check_key_ring(settings.cluster)
        if file.endswith(".json"):
            config.load({"LB_CONFIG": file})
            return []
        text = Path(file).read_text()
    except (config.ConfigError, OSError, UnicodeDecodeError) as error:
        return [str(error)]
    try:
        sections = msgspec.toml.decode(text.encode())
    except msgspec.DecodeError as error:
        return [str(error)]
    faults = []
    for section, body in sections.items():
        try:
            fronts = msgspec.convert({section: body}, config.FrontsConfig)
            if section == "address":
                fronts.address.check()  # the dependency on [cluster] is checked below
            else:
                names = classes.split(",") if classes else list(fronts.gearman.functions.values())
                config.validate_fronts(fronts, names)
            faults += _check_key_ring(fronts.cluster)
        except (config.ConfigError, msgspec.ValidationError) as error:
            faults.append(str(error))
    if "address" in sections and "cluster" not in sections and sections["address"].get("service"):
        faults.append("address.service: requires cluster.listen, as only the lease holder announces it")
    return faults


def _check_key_ring(cluster: config.ClusterConfig) -> list[str]:
    from .cluster.keyring import KeyRingError, read

    if not cluster.listen:
        return []
    try:
        read(cluster.keys)
    except KeyRingError as error:
        return [f"cluster.keys: {error}"]
    return []


def _ask_daemon(path: str, query: str) -> dict[str, Any]:
    """A daemon's answer to a query on its admin socket; exits with status 1 if there is none."""
    from .admin import ask

    try:
        return asyncio.run(ask(path, query))
    except (OSError, TimeoutError, msgspec.DecodeError) as error:
        click.echo(f"{path}: no answer: {error or type(error).__name__}", err=True)
        raise SystemExit(1) from None


@gaphub.command()
@click.option("--socket", "path", envvar="GAPHUB_ADMIN", required=True, help="The daemon's admin socket.")
def occupancy(path: str) -> None:
    """Show how a daemon and its peers exchange their occupancy: the method, its completeness and its age."""
    answer = _ask_daemon(path, "occupancy")
    parts = [answer["way"], "complete" if answer["complete"] else "not complete"]
    for key, name in (("age_p50_ms", "half of the sums"), ("age_p99_ms", "99 in 100")):
        if answer[key] is not None:
            parts.append(f"{name} not older than {answer[key] / 1000.0:.1f} s")
    click.echo(", ".join(parts))


@gaphub.command()
@click.option("--socket", "path", envvar="GAPHUB_ADMIN", required=True, help="The daemon's admin socket.")
@click.option("--json", "as_json", is_flag=True, help="Print the full answer as JSON.")
def status(path: str, as_json: bool) -> None:
    """Show the status of a daemon or a witness: holder, term, members, lease time left, routers, counters."""
    answer = _ask_daemon(path, "status")
    click.echo(msgspec.json.encode(answer).decode() if as_json else "\n".join(_status_lines(answer)))


def _status_lines(answer: dict[str, Any]) -> list[str]:
    lines = []
    if "name" in answer:
        lines.append(f"daemon    {answer['name']} {answer['version']}, {answer['open_jobs']} open jobs")
    cluster = answer.get("cluster")
    if cluster:
        lease = f", lease left {cluster['lease_left_ms']:.0f} ms" if cluster["holds"] else ""
        lines.append(f"cluster   holder {cluster['holder'] or '-'}, term {cluster['term']}, "
                     f"this is {cluster['me']} ({cluster['role']}{lease})")
        for member in cluster["members"]:
            kind = "stands" if member["stands"] else "votes" if member["votes"] else "watches"
            lines.append(f"  member  {member['name']:<12} {'up' if member['alive'] else 'DOWN':<5}"
                         f"{'ready' if member['ready'] else 'unready':<8} {kind}, priority {member['priority']}, "
                         f"term {member['term']}" + (f", phi {member['phi']}" if "phi" in member else ""))
        for move in cluster["moves"]:
            when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(move["unix_ms"] / 1000))
            lines.append(f"  move    {when} {'gained' if move['gained'] else 'lost'} term {move['term']} "
                         f"({move['why']})")
    if queues := answer.get("gearman"):
        lines.append(f"gearman   {queues['waiting']} jobs wait ({queues['bytes']} bytes), the oldest for "
                     f"{queues['oldest_ms'] / 1000:.1f} s; {queues['out']} out, "
                     f"{queues['scheduled']} for a moment, {queues['refused']} refused")
    for router in answer.get("routers", ()):
        lines.append(f"router    {router['router']} bgp {router['bgp']}, bfd {router['bfd'] or '-'}, "
                     f"{'announced' if router['announced'] else 'not announced'}"
                     + (f", last error: {router['error']}" if router["error"] else ""))
    lines += [f"  {name:<32} {value}" for name, value in answer["counters"].items()]
    return lines


@gaphub.command()
@click.option("--config", "file", required=True, type=click.Path(),
              help="TOML file with [cluster], [admin] and [log].")
def witness(file: str) -> None:
    """Run a witness, which votes but never serves: the third vote for a site with two instances."""
    from .cluster.keyring import KeyRingError
    from .cluster.witness import run as run_witness
    from .metrics import Counters

    try:
        settings = config.read_witness(file)
        counters = Counters()
        if settings.log.form != "plain":
            from .logs import make_line_writer

            counters.line = make_line_writer(settings.log.form, settings.log.level,
                                             f"witness-{settings.cluster.me}")
        asyncio.run(run_witness(settings, counters))
    except (config.ConfigError, KeyRingError) as error:
        click.echo(f"gaphub: configuration: {error}", err=True)
        raise SystemExit(2) from None


@gaphub.group()
def key() -> None:
    """Manage the key ring by which cluster members authenticate each other."""


_KEY_RING_OPTION = click.option("--file", "file", required=True, type=click.Path(), help="The key ring file.")


def _edit_key_ring(file: str, change: Any) -> None:
    from .cluster import keyring

    try:
        entries = keyring.read(file).entries if os.path.exists(file) else []
        keyring.write(file, change(entries))
    except (keyring.KeyRingError, OSError) as error:
        click.echo(str(error), err=True)
        raise SystemExit(2) from None


@key.command("new")
@_KEY_RING_OPTION
def key_new(file: str) -> None:
    """Add a key.  The first key signs at once; a later one is only accepted until `key use`."""
    from .cluster.keyring import new_entry

    new_key = new_entry(time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()), False)

    def change(entries: list[Any]) -> list[Any]:
        return [*entries, msgspec.structs.replace(new_key, sign=not entries)]

    _edit_key_ring(file, change)
    click.echo(new_key.id)


@key.command("list")
@_KEY_RING_OPTION
def key_list(file: str) -> None:
    """List the keys, without their secrets."""
    from .cluster.keyring import KeyRingError, read

    try:
        for entry in read(file).entries:
            click.echo(f"{entry.id}  made {entry.made or '-'}  {'signs' if entry.sign else 'believed'}")
    except KeyRingError as error:
        click.echo(str(error), err=True)
        raise SystemExit(2) from None


@key.command("use")
@_KEY_RING_OPTION
@click.argument("ident")
def key_use(file: str, ident: str) -> None:
    """Sign with the key IDENT from now on; every member must already accept it."""
    _edit_key_ring(file, lambda entries: [
        msgspec.structs.replace(entry, sign=entry.id == ident) for entry in entries])


@key.command("drop")
@_KEY_RING_OPTION
@click.argument("ident")
def key_drop(file: str, ident: str) -> None:
    """Remove the key IDENT; the signing key cannot be removed."""
    _edit_key_ring(file, lambda entries: [entry for entry in entries if entry.id != ident])


@key.command("cert")
@click.option("--dir", "folder", required=True, type=click.Path(), help="The output directory.")
@click.option("--name", "names", multiple=True, default=("localhost", "127.0.0.1"), show_default=True,
              help="Host name or address of the server; may be repeated.")
@click.option("--client", "clients", multiple=True,
              help="Also make a client certificate with this name; may be repeated.")
def key_cert(folder: str, names: tuple[str, ...], clients: tuple[str, ...]) -> None:
    """Make a private CA with a server and client certificates, to try TLS on the Gearman front."""
    from .gearman.tls import make_certificates

    try:
        for path in make_certificates(Path(folder), list(names), list(clients)):
            click.echo(path)
    except OSError as error:
        click.echo(f"{error.filename or folder}: {error.strerror}", err=True)
        raise SystemExit(2) from None


class _Lab(click.Group):
    """The lab commands, loaded on demand because they need the extra ``gaphub[lab]``."""

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

        command: click.Command = getattr(commands, name)
        return command


@gaphub.command("lab", cls=_Lab)
def lab() -> None:
    """A test site on loopback, experiments on it, and model checking."""
