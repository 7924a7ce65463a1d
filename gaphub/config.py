"""Owns the reading of all configuration: ``LB_*``, the file at ``LB_CONFIG`` and the files under ``deploy/``.

It is the one place that checks keys and gives defaults, and the one place that knows how the wire spells
the module's ``Settings``; ``run`` and ``sim`` both decode through it.  It must never open a socket, never
keep state, and never let a faulty key pass: every fault ends in a ``ConfigError`` that names the key.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

import msgspec

from .interface import Effect, Group, Settings

DEFAULT_FRONTS_PATH = Path(__file__).resolve().parent.parent / "deploy" / "fronts.toml"
Address = tuple[str, int]
T = TypeVar("T")
# What the decoder raises of a text that it cannot read; the latter where brackets nest thousands deep.
DECODE_ERRORS = (msgspec.DecodeError, RecursionError)


class ConfigError(ValueError):
    """Configuration that cannot be used; the text names the faulty key."""


# --- how the wire spells the settings ------------------------------------------------------------

# Key on the wire: field of Settings.
_KEYS = {
    "balancers": "balancers", "me": "me", "zone": "zone", "tick": "tick_ms",
    "overShareWorth": "over_share_worth",
    "rules.askEvery": "ask_within_ms", "rules.answerSlack": "answer_slack_ms",
    "rules.drainGrace": "drain_grace_ms", "rules.fallMultiple": "fall_multiple", "rules.fall": "fall_ms",
    "rules.startCapacity": "cold_from", "rules.warmAfter": "cold_ms",
    "limits.mostTries": "max_attempts", "limits.maxOpen": "max_open",
    "limits.maxRetryAfter": "max_retry_after_ms", "limits.cancel": "may_cancel",
    "limits.probes": "may_probe", "limits.peerMessages": "may_tell_peers",
    "limits.secondCopies": "second_copies", "limits.retryAfter": "retry_after",
    "limits.dialTimeout": "connect_timeout_ms", "limits.cpuUsPerRequest": "cpu_us_per_request",
    "limits.cpuUsPerS": "cpu_us_per_s", "callers.marksRetry": "marks_retry",
    "familyInfo.tellsStart": "tells_start", "familyInfo.progress": "progress_ms",
    "familyInfo.queueOrder": "queue_order",
}
_CLASS_KEYS = {
    "slo": "aim_ms", "deadline": "deadline_ms", "credit": "worth", "lateWorth": "late_worth",
    "idempotency": "effect", "group": "group", "window": "window_ms", "streamed": "streamed",
    "aimStretch": "aim_stretch",
}
_CLASS_LISTS = {"classStretch": "aim_stretch", "classKind": "kind", "classPriority": "priority"}
_TENANT_KEYS = {"quotaPerS": "quota_per_s", "share": "share"}
_PRICES = {"crossZone": "cross_zone", "lateFail": "late_fail", "registryMode": "discovery"}
_REPORTS = {"free slots": "free_slots", "free memory": "free_memory"}
_EFFECTS = {"idempotent": Effect.SAFE, "deduplicated": Effect.KEYED, "at_most_once": Effect.UNSAFE}
_GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
_LISTS = {"classes": ("grades", _CLASS_KEYS), "tenants": ("tenants", _TENANT_KEYS)}


def _object(value: Any, key: str) -> Mapping[str, Any]:
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise ConfigError(f"{key}: not an object")
    return value


def _objects(value: Any, key: str) -> list[Mapping[str, Any]]:
    if value is None:
        return []
    if not isinstance(value, list):
        raise ConfigError(f"{key}: not a list")
    return [_object(v, f"{key}[{i}]") for i, v in enumerate(value)]


def _word(table: Mapping[str, Any], word: object, key: str) -> Any:
    if not isinstance(word, str) or word not in table:
        raise ConfigError(f"{key}: {word!r} is none of {', '.join(table)}")
    return table[word]


def _renamed(source: Mapping[str, Any], keys: Mapping[str, str]) -> dict[str, Any]:
    return {field: source[key] for key, field in keys.items() if source.get(key) is not None}


def _wire_key(text: str) -> str:
    """A msgspec message, its path spelled as on the wire."""
    found = re.fullmatch(r"(.*?) - at `\$\.?(.*)`", text, re.S)
    if not found:
        return text
    what, path = found.groups()
    fields = {field: key for key, field in _KEYS.items()}
    listed = re.fullmatch(r"(classes|tenants)\[(\d*|\.\.\.)\]\.(\w+)", path)
    if listed:
        wire, keys = _LISTS[listed[1]]
        path = f"{wire}[{listed[2]}]." + {f: k for k, f in keys.items()}.get(listed[3], listed[3])
    return f"{fields.get(path, path)}: {what}"


def read_settings(raw: Any) -> Settings:
    """The module's settings from the decoded object.  Unknown keys are skipped, absent ones get defaults."""
    if not isinstance(raw, dict):
        raise ConfigError("params: not an object")
    values: dict[str, Any] = {}
    for key, field in _KEYS.items():
        source: Any = raw
        for part in key.split("."):
            source = _object(source, key.rpartition(".")[0] or key).get(part)
        if source is not None:
            values[field] = source
    # Guards against a file without the key: what it does not allow is not done.
    values.setdefault("second_copies", False)
    family = _object(raw.get("familyInfo"), "familyInfo")
    grades = _objects(raw.get("grades"), "grades")
    if not grades:
        raise ConfigError("grades: missing or empty")
    classes = []
    for i, grade in enumerate(grades):
        for key in ("slo", "deadline"):
            if grade.get(key) is None:
                raise ConfigError(f"grades[{i}].{key}: missing")
        one = _renamed(grade, _CLASS_KEYS)
        one["effect"] = _word(_EFFECTS, grade.get("idempotency", "at_most_once"), f"grades[{i}].idempotency")
        one["group"] = _word(_GROUPS, grade.get("group", "all"), f"grades[{i}].group")
        for key, field in _CLASS_LISTS.items():
            listed = family.get(key)
            if isinstance(listed, list) and i < len(listed):
                one[field] = listed[i]
        classes.append(one)
    report = _object(raw.get("report"), "report")
    prices = _object(raw.get("deductions"), "deductions")
    values |= {
        "classes": classes,
        "tenants": [_renamed(t, _TENANT_KEYS) for t in _objects(raw.get("tenants"), "tenants")],
        "zones": max(1, len(raw.get("zones") or ())),
        "kinds": max(1, len(raw.get("models") or ())),
        "worth_by_work": raw.get("valueBy", "request") == "work",
        "must_ask": raw.get("registryMode", "automatic") == "subscribe",
        "report_fields": [_report_name(f, family) for f in report.get("fields") or ()],
        "reports_in_answers": report.get("via", "off") == "inline",
        "reports_in_probes": report.get("via", "off") == "on_probe",
        "prices": {_PRICES.get(k, k): v for k, v in prices.items()},
    }
    for i, one in enumerate(classes):
        if one["deadline_ms"] in (float("inf"), float("-inf")):
            raise ConfigError(f"grades[{i}].deadline: not a finite number")
    try:
        return msgspec.convert(values, Settings)
    except msgspec.ValidationError as error:
        raise ConfigError(_wire_key(str(error))) from None


def _report_name(name: str, family: Mapping[str, Any]) -> str:
    meaning = family.get({"x0": "reportX0", "x1": "reportX1"}.get(name, ""), name)
    return _REPORTS.get(meaning, name)


def parse_settings(text: bytes) -> Settings:
    """The settings of one instance, from JSON."""
    return read_settings(msgspec.json.decode(text))


MAX_LIST_ENTRIES = 65_535  # peers, and workers of one list: the store numbers peers in two bytes; more is an error

# --- discovery's list ------------------------------------------------------------------------------

class ListedEntry(msgspec.Struct, frozen=True):
    """One worker as discovery spells it."""

    id: str
    addr: Annotated[str, msgspec.Meta(pattern=r"^(.+:\d{1,5})?$")]
    state: Literal["active", "leaving", "left"]
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    started_ms: float = 0.0


Entries = Annotated[list[ListedEntry], msgspec.Meta(max_length=MAX_LIST_ENTRIES)]


class DestinationList(msgspec.Struct, frozen=True, kw_only=True):
    """What discovery answers: the whole list, or what changed since a version.

    An object without a version or without workers is none: read as a whole list, it would end all of them.
    """

    version: int
    full: bool = True
    servers: Entries


class KnownList(DestinationList, frozen=True, kw_only=True):
    """The list as this scheduler last held it; it may know none yet."""

    version: int = 0
    servers: Entries = []


# --- the scheduler's own file ----------------------------------------------------------------------

class Limits(msgspec.Struct, frozen=True):
    """What the machine allows."""

    cores: float = 1.0
    memory_mb: float = 192
    sockets: int = 1024


class _File(msgspec.Struct, frozen=True):
    """The file at ``LB_CONFIG``."""

    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str = "0"
    limits: Limits = Limits()
    peer_listen: str = ""
    peers: Annotated[list[str], msgspec.Meta(max_length=MAX_LIST_ENTRIES)] = []
    peers_all: str = ""
    admin: str = ""
    known: KnownList = KnownList()
    settings: dict[str, Any] = {}


class GearmanConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section ``[gearman]``."""

    listen: str = ""  # host:port; empty: off
    functions: dict[str, str] = {}  # function: class
    keep_s: float = 120.0  # how long the end of a job with a unique is kept, and answers a resubmission
    hold_after_start: bool = True  # after a start refuse never-twice jobs with a unique for keep_s
    ends_most: int = 50_000
    ends_bytes: int = 16_000_000
    default_class: str = ""  # of functions without an entry; empty: they are refused
    background_s: float = 3600.0  # how long a background job may wait
    tls_cert: str = ""  # PEM file; empty: plain TCP
    tls_key: str = ""  # PEM file, readable by the daemon's user alone
    tls_ca: str = ""  # clients and workers must show a certificate of these; empty: none is asked for
    tls_minimum: Literal["1.2", "1.3"] = "1.2"
    idle_s: float = 0.0  # a session without a job that says nothing for so long is closed; 0: never
    schedule_most: int = 10_000  # jobs that wait for a moment of the wall clock
    per_worker: int = 4  # jobs that are out for each worker that can run them; more wait before the core
    queue_most: int = 200_000  # jobs that wait, in all
    queue_function_most: int = 200_000  # of one function
    queue_client_most: int = 100_000  # of one client's session
    queue_bytes: int = 300_000_000  # of their workloads, names and records


class StoreConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section ``[store]``."""

    round_s: float = 30.0  # between two rounds with one peer
    counters_s: float = 120.0  # between two publications of this daemon's counters
    entries_most: int = 20_000


class SinkConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A section of a metrics sink."""

    address: str = ""  # host:port; empty: off
    every_s: float = 10.0
    prefix: str = "gaphub"


class MetricsConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section ``[metrics]``."""

    graphite: SinkConfig = SinkConfig()
    collectd: SinkConfig = SinkConfig()


class MemberConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One ``[[cluster.members]]``."""

    id: Annotated[int, msgspec.Meta(ge=1, le=255)]
    name: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.\-]{1,64}$")]
    address: str  # host:port, UDP
    votes: bool = True
    stands: bool = True  # false: a witness
    priority: Annotated[int, msgspec.Meta(ge=0, le=255)] = 100


class ClusterConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section ``[cluster]``: who may hold the service address."""

    listen: str = ""  # host:port, UDP; empty: off
    name: str = "gaphub"
    me: int = 0
    keys: str = ""  # the key ring file
    state: str = ""  # the file with the vote; empty: a restart abstains and recovers from the others
    lease_ms: float = 400.0
    renew_ms: float = 100.0
    margin: float = 0.1
    ballot_ms: float = 150.0
    stagger_ms: float = 40.0
    jitter_ms: float = 40.0
    moves_most: int = 30  # votes that one member gives in a minute; 0: any number
    preempt_s: float = 0.0  # hand over to a ready member of higher priority after so long; 0: never
    members: list[MemberConfig] = []

    def check(self) -> None:
        """Refuse what no cluster can be; ConfigError names the key."""
        if not self.listen:
            return
        parse_address(self.listen, "cluster.listen")
        if not 2 <= len(self.members) <= 7:
            raise ConfigError(f"cluster.members: {len(self.members)} members, there must be 2 to 7")
        for key in ("id", "name", "address"):
            values = [getattr(m, key) for m in self.members]
            if len(set(values)) < len(values):
                raise ConfigError(f"cluster.members: two have the same {key}")
        for i, m in enumerate(self.members):
            parse_address(m.address, f"cluster.members[{i}].address")
        if self.me not in [m.id for m in self.members]:
            raise ConfigError(f"cluster.me: {self.me} is the id of no member")
        if sum(m.votes for m in self.members) < 2:
            raise ConfigError("cluster.members: fewer than two vote")
        if not self.keys:
            raise ConfigError("cluster.keys: missing")
        if not 0.0 <= self.margin <= 0.5:
            raise ConfigError("cluster.margin: must be from 0 to 0.5")
        for key in ("lease_ms", "renew_ms", "ballot_ms"):
            if not getattr(self, key) > 0:
                raise ConfigError(f"cluster.{key}: must be above 0")
        for key in ("stagger_ms", "jitter_ms", "moves_most", "preempt_s"):
            if not getattr(self, key) >= 0:
                raise ConfigError(f"cluster.{key}: must not be negative")
        if self.renew_ms * 2 > self.lease_ms * (1 - self.margin):
            raise ConfigError("cluster.renew_ms: two renewals must fit into a lease less its margin")
        if self.ballot_ms >= self.lease_ms * (1 - self.margin):
            raise ConfigError("cluster.ballot_ms: must be under a lease less its margin")


class AddressConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section ``[address]``: the service address that moves."""

    service: str = ""  # the IPv4 address that is announced as a host route; empty: off
    listen: str = ""  # host:port where requests to it arrive at this instance
    next_hop: str = ""  # the IPv4 address of this instance that routers send them to
    gearman: bool = False  # whether Gearman's submits need the lease too
    return_ms: float = 250.0  # when a refused client may come back
    linger_ms: float = 250.0  # after a hand-over the route stays announced so long, unless a successor is heard

    def check(self) -> None:
        """Refuse what cannot be announced."""
        if not self.service:
            return
        for key in ("service", "next_hop"):
            try:
                if ipaddress.ip_address(getattr(self, key)).version != 4:
                    raise ValueError
            except ValueError:
                raise ConfigError(f"address.{key}: {getattr(self, key)!r} is not an IPv4 address") from None
        parse_address(self.listen, "address.listen")
        for key in ("return_ms", "linger_ms"):
            if not getattr(self, key) >= 0:
                raise ConfigError(f"address.{key}: must not be negative")


class NeighbourConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One ``[[bgp.neighbours]]``: a router that is told where the address is."""

    address: str  # host:port, TCP
    peer_as: Annotated[int, msgspec.Meta(ge=1, le=4294967294)]
    bfd: str = ""  # host:port, UDP, of its BFD; empty: none
    bfd_listen: str = ""  # host:port, UDP, of ours for it


class BgpConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section ``[bgp]``."""

    local_as: Annotated[int, msgspec.Meta(ge=0, le=4294967294)] = 0
    router_id: str = ""
    source: str = ""  # the address to connect from; empty: the system's choice
    hold_s: float = 9.0  # 0, or 3 and more (RFC 4271, 4.2)
    retry_s: float = 1.0
    bfd_ms: float = 50.0  # between two BFD packets, both ways
    bfd_multiplier: Annotated[int, msgspec.Meta(ge=1, le=255)] = 3
    neighbours: list[NeighbourConfig] = []

    def check(self) -> None:
        """Refuse what no router would take."""
        if not self.neighbours:
            return
        if not self.local_as:
            raise ConfigError("bgp.local_as: missing")
        try:
            if int(ipaddress.IPv4Address(self.router_id)) == 0:
                raise ValueError
        except ValueError:
            raise ConfigError(f"bgp.router_id: {self.router_id!r} is not an IPv4 address") from None
        if self.hold_s != 0 and not 3 <= self.hold_s <= 65535:
            raise ConfigError("bgp.hold_s: must be 0, or from 3 to 65535")
        if not self.retry_s > 0 or not 1 <= self.bfd_ms <= 60_000:
            raise ConfigError("bgp: retry_s must be above 0 and bfd_ms from 1 to 60000")
        for i, n in enumerate(self.neighbours):
            parse_address(n.address, f"bgp.neighbours[{i}].address")
            if bool(n.bfd) != bool(n.bfd_listen):
                raise ConfigError(f"bgp.neighbours[{i}].bfd: needs bfd_listen, and the other way round")
            if n.bfd:
                parse_address(n.bfd, f"bgp.neighbours[{i}].bfd")
                parse_address(n.bfd_listen, f"bgp.neighbours[{i}].bfd_listen")


class AdminConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section ``[admin]``."""

    socket: str = ""  # the path of a Unix socket for ``gaphub status``; empty: off


class LogConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section ``[log]``."""

    form: Literal["plain", "logfmt", "json"] = "plain"
    level: Literal["debug", "info", "warning", "error"] = "info"
    counters_s: float = 0.0
    requests: bool = False  # a line on each request, when it is done with


class FrontsConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The file ``deploy/fronts.toml``."""

    gearman: GearmanConfig = GearmanConfig()
    store: StoreConfig = StoreConfig()
    metrics: MetricsConfig = MetricsConfig()
    cluster: ClusterConfig = ClusterConfig()
    address: AddressConfig = AddressConfig()
    bgp: BgpConfig = BgpConfig()
    admin: AdminConfig = AdminConfig()
    log: LogConfig = LogConfig()

    def gearman_address(self) -> Address | None:
        """Where the Gearman front listens; None: it is off."""
        return parse_address(self.gearman.listen, "gearman.listen") if self.gearman.listen else None


def parse_fronts(text: str, classes: list[str]) -> FrontsConfig:
    """The file ``deploy/fronts.toml``, checked."""
    return validate_fronts(_decode(text.encode(), FrontsConfig, "LB_FRONTS", toml=True), classes)


def validate_fronts(fronts: FrontsConfig, classes: list[str]) -> FrontsConfig:
    """What types cannot say of the sections; ConfigError names the first faulty key."""
    for name, cls in fronts.gearman.functions.items():
        if cls not in classes and fronts.gearman.listen:
            raise ConfigError(f"gearman.functions.{name}: {cls!r} is none of {', '.join(classes)}")
    if fronts.gearman.default_class and fronts.gearman.listen and fronts.gearman.default_class not in classes:
        raise ConfigError(f"gearman.default_class: {fronts.gearman.default_class!r} is none of "
                          f"{', '.join(classes)}")
    fronts.gearman_address()
    if bool(fronts.gearman.tls_cert) != bool(fronts.gearman.tls_key):
        raise ConfigError("gearman.tls_key: tls_cert and tls_key go together")
    if fronts.gearman.tls_ca and not fronts.gearman.tls_cert:
        raise ConfigError("gearman.tls_ca: needs tls_cert")
    if not 0 <= fronts.log.counters_s <= 3600:
        raise ConfigError("log.counters_s: must be between 0 and 3600")
    if not fronts.gearman.idle_s >= 0:
        raise ConfigError("gearman.idle_s: must not be negative")
    for key, value in (("gearman.keep_s", fronts.gearman.keep_s), ("store.round_s", fronts.store.round_s),
                       ("store.counters_s", fronts.store.counters_s),
                       ("store.entries_most", fronts.store.entries_most),
                       ("gearman.ends_most", fronts.gearman.ends_most),
                       ("gearman.background_s", fronts.gearman.background_s),
                       ("gearman.schedule_most", fronts.gearman.schedule_most),
                       ("gearman.per_worker", fronts.gearman.per_worker),
                       ("gearman.queue_most", fronts.gearman.queue_most),
                       ("gearman.queue_function_most", fronts.gearman.queue_function_most),
                       ("gearman.queue_client_most", fronts.gearman.queue_client_most),
                       ("gearman.queue_bytes", fronts.gearman.queue_bytes),
                       ("gearman.ends_bytes", fronts.gearman.ends_bytes)):
        if not value > 0:
            raise ConfigError(f"{key}: must be above 0")
    for key, sink in (("graphite", fronts.metrics.graphite), ("collectd", fronts.metrics.collectd)):
        if sink.address:
            parse_address(sink.address, f"metrics.{key}.address")
        if not sink.every_s > 0:
            raise ConfigError(f"metrics.{key}.every_s: must be above 0")
        if not re.fullmatch(r"[A-Za-z0-9_\-]+(\.[A-Za-z0-9_\-]+)*", sink.prefix):
            raise ConfigError(f"metrics.{key}.prefix: {sink.prefix!r} is not a path")
    fronts.cluster.check()
    fronts.address.check()
    fronts.bgp.check()
    if fronts.address.service and not fronts.cluster.listen:
        raise ConfigError("address.service: needs cluster.listen: only a holder announces it")
    return fronts


class WitnessConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The file of ``gaphub witness``: the sections of ``deploy/fronts.toml`` that a voter needs."""

    cluster: ClusterConfig = ClusterConfig()
    admin: AdminConfig = AdminConfig()
    log: LogConfig = LogConfig()


def read_witness(path: str) -> WitnessConfig:
    """A witness's configuration, checked."""
    found = _decode(_read(path, "--config"), WitnessConfig, path, toml=True)
    found.cluster.check()
    if not found.cluster.listen:
        raise ConfigError("cluster.listen: missing")
    if next(m for m in found.cluster.members if m.id == found.cluster.me).stands:
        raise ConfigError("cluster.members: a witness must not stand (stands = false)")
    return found


class Config(msgspec.Struct, frozen=True):
    """All that a scheduler is told, checked."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    limits: Limits
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    admin: Address | None  # where operators call; None: nowhere
    known: KnownList
    settings: Settings
    class_names: tuple[str, ...]
    zones: tuple[str, ...]
    models: tuple[str, ...]
    report_fields: tuple[str, ...]  # as reports spell them, in the order of Settings.report_fields
    conn_idle_ms: float
    fronts: FrontsConfig
    keys: frozenset[str]  # the file's keys, by path


def parse_address(text: str, key: str) -> Address:
    """``host:port`` as a pair."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{key}: {text!r} is not host:port")
    return host, int(port)


def _decode(data: bytes, type_: type[T], where: str, toml: bool = False) -> T:
    try:
        return msgspec.toml.decode(data, type=type_) if toml else msgspec.json.decode(data, type=type_)
    except DECODE_ERRORS as error:
        raise ConfigError(f"{where}: {_wire_key(str(error))}") from None


def _read(path: str | Path, key: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"{key}: {path}: {error.strerror}") from None


def load(env: Mapping[str, str], is_reload: bool = False) -> Config:
    """The whole configuration; ConfigError names what is wrong with it.

    ``again``: the program runs.  The environment is still that of the start, so the file prevails.
    """
    if not env.get("LB_CONFIG"):
        raise ConfigError("LB_CONFIG: missing")
    fronts = env.get("LB_FRONTS") or str(DEFAULT_FRONTS_PATH)
    return from_text(_read(env["LB_CONFIG"], "LB_CONFIG"), env, _read(fronts, "LB_FRONTS").decode(), is_reload)


def from_text(data: bytes, env: Mapping[str, str], fronts: str, is_reload: bool = False) -> Config:
    """The configuration from the texts of its two files and the environment."""
    file = _decode(data, _File, "LB_CONFIG")
    raw = file.settings
    try:
        settings = read_settings(raw)
    except (TypeError, AttributeError) as error:  # a value of quite another kind than it should be
        raise ConfigError(f"settings: {error}") from None
    if not re.fullmatch(r"[0-9a-fA-F]{1,32}", file.seed):
        raise ConfigError(f"seed: {file.seed!r} is not a hexadecimal number")
    names = [str(g.get("name", "")) for g in raw["grades"]]
    if len(set(names)) < len(names) or "" in names:
        raise ConfigError("grades: each needs a name of its own")
    idle = _object(raw.get("limits"), "limits").get("connIdle", 60_000.0)
    if not isinstance(idle, int | float) or idle <= 0:
        raise ConfigError(f"limits.connIdle: {idle!r} is not a time")
    return Config(
        name=env.get("LB_NAME") or file.name,
        listen=parse_address(env.get("LB_LISTEN") or file.listen, "LB_LISTEN"),
        discovery=parse_address((is_reload and file.discovery) or env.get("LB_DISCOVERY") or file.discovery,
                                "LB_DISCOVERY"),
        seed=int(file.seed, 16),
        limits=file.limits,
        peer_listen=parse_address(file.peer_listen, "peer_listen") if file.peer_listen else None,
        peers=tuple(parse_address(p, f"peers[{i}]") for i, p in enumerate(file.peers)),
        peers_all=parse_address(file.peers_all, "peers_all") if file.peers_all else None,
        admin=parse_address(admin, "LB_ADMIN") if (admin := env.get("LB_ADMIN") or file.admin) else None,
        known=file.known,
        settings=settings,
        class_names=tuple(names),
        zones=tuple(map(str, raw.get("zones") or ())),
        models=tuple(map(str, raw.get("models") or ())),
        report_fields=tuple(map(str, _object(raw.get("report"), "report").get("fields") or ())),
        conn_idle_ms=float(idle),
        fronts=parse_fronts(fronts, names),
        keys=frozenset(_paths(msgspec.json.decode(data), "")),
    )


def _paths(value: Any, path: str) -> set[str]:
    """The keys of a file that have a value; of objects in a list only those that all of them have."""
    if isinstance(value, dict):
        named = {f"{path}.{key}" if path else key: v for key, v in value.items() if v is not None}
        return set(named).union(*(_paths(v, p) for p, v in named.items() if p != "known"))
    if isinstance(value, list) and value and all(isinstance(v, dict) for v in value):
        return set.intersection(*(_paths(v, f"{path}[]") for v in value))
    return set()


def check_reload(old: Config, new: Config) -> None:
    """Refuse a file that lacks what the one in force has; ConfigError names the first such key.

    At a start an absent key has its default; in a file for a running scheduler it is a file that was cut or
    mistyped, and a default would change rules that nobody meant to change.
    """
    missing = sorted(old.keys - new.keys)
    if missing:
        raise ConfigError(f"{missing[0]}: missing, and the configuration in force has it")
