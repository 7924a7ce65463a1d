"""Reads all configuration: the ``LB_*`` variables, the file at ``LB_CONFIG`` and the files under ``deploy/``.

Only this module checks keys, applies defaults and maps the keys of the settings object to the fields of the
balancer's ``Settings``; the ``run`` and ``sim`` commands of ``deploy/balancer.toml`` both decode settings here.
The module opens no sockets and keeps no state.  Every fault raises a ``ConfigError`` that names the key.
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
# Raised by the decoder for text that it cannot parse; RecursionError for brackets nested thousands deep.
DECODE_ERRORS = (msgspec.DecodeError, RecursionError)


class ConfigError(ValueError):
    """The configuration is invalid; the message names the faulty key."""


# --- keys of the settings object ------------------------------------------------------------------

# Key of the settings object -> field of Settings.
_SETTING_FIELDS = {
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
_CLASS_FIELDS = {
    "slo": "aim_ms", "deadline": "deadline_ms", "credit": "worth", "lateWorth": "late_worth",
    "idempotency": "effect", "group": "group", "window": "window_ms", "streamed": "streamed",
    "aimStretch": "aim_stretch",
}
_PER_CLASS_LISTS = {"classStretch": "aim_stretch", "classKind": "kind", "classPriority": "priority"}
_TENANT_FIELDS = {"quotaPerS": "quota_per_s", "share": "share"}
_DEDUCTIONS = {"crossZone": "cross_zone", "lateFail": "late_fail", "registryMode": "discovery"}
_REPORT_FIELDS = {"free slots": "free_slots", "free memory": "free_memory"}
_EFFECTS = {"idempotent": Effect.SAFE, "deduplicated": Effect.KEYED, "at_most_once": Effect.UNSAFE}
_GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
_LIST_KEYS = {"classes": ("grades", _CLASS_FIELDS), "tenants": ("tenants", _TENANT_FIELDS)}


def _as_object(value: Any, key: str) -> Mapping[str, Any]:
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise ConfigError(f"{key}: not an object")
    return value


def _as_objects(value: Any, key: str) -> list[Mapping[str, Any]]:
    if value is None:
        return []
    if not isinstance(value, list):
        raise ConfigError(f"{key}: not a list")
    return [_as_object(item, f"{key}[{index}]") for index, item in enumerate(value)]


def _look_up(table: Mapping[str, Any], value: object, key: str) -> Any:
    if not isinstance(value, str) or value not in table:
        raise ConfigError(f"{key}: {value!r} is not one of {', '.join(table)}")
    return table[value]


def _rename_keys(source: Mapping[str, Any], keys: Mapping[str, str]) -> dict[str, Any]:
    return {field: source[key] for key, field in keys.items() if source.get(key) is not None}


def _with_settings_keys(text: str) -> str:
    """The text of a msgspec error, with the path given in keys of the settings object."""
    found = re.fullmatch(r"(.*?) - at `\$\.?(.*)`", text, re.S)
    if not found:
        return text
    problem, path = found.groups()
    settings_keys = {field: key for key, field in _SETTING_FIELDS.items()}
    list_item = re.fullmatch(r"(classes|tenants)\[(\d*|\.\.\.)\]\.(\w+)", path)
    if list_item:
        list_key, fields = _LIST_KEYS[list_item[1]]
        path = f"{list_key}[{list_item[2]}]." + {f: k for k, f in fields.items()}.get(list_item[3], list_item[3])
    return f"{settings_keys.get(path, path)}: {problem}"


def read_settings(raw: Any) -> Settings:
    """The balancer's settings from the decoded object.  Unknown keys are ignored, absent ones get defaults."""
    if not isinstance(raw, dict):
        raise ConfigError("params: not an object")
    values: dict[str, Any] = {}
    for key, field in _SETTING_FIELDS.items():
        source: Any = raw
        for part in key.split("."):
            source = _as_object(source, key.rpartition(".")[0] or key).get(part)
        if source is not None:
            values[field] = source
    # A file without the key does not permit second copies, although Settings permits them by default.
    values.setdefault("second_copies", False)
    family = _as_object(raw.get("familyInfo"), "familyInfo")
    grades = _as_objects(raw.get("grades"), "grades")
    if not grades:
        raise ConfigError("grades: missing or empty")
    classes = []
    for i, grade in enumerate(grades):
        for key in ("slo", "deadline"):
            if grade.get(key) is None:
                raise ConfigError(f"grades[{i}].{key}: missing")
        class_values = _rename_keys(grade, _CLASS_FIELDS)
        class_values["effect"] = _look_up(_EFFECTS, grade.get("idempotency", "at_most_once"),
                                          f"grades[{i}].idempotency")
        class_values["group"] = _look_up(_GROUPS, grade.get("group", "all"), f"grades[{i}].group")
        for key, field in _PER_CLASS_LISTS.items():
            values_by_class = family.get(key)
            if isinstance(values_by_class, list) and i < len(values_by_class):
                class_values[field] = values_by_class[i]
        classes.append(class_values)
    report = _as_object(raw.get("report"), "report")
    deductions = _as_object(raw.get("deductions"), "deductions")
    values |= {
        "classes": classes,
        "tenants": [_rename_keys(tenant, _TENANT_FIELDS) for tenant in _as_objects(raw.get("tenants"), "tenants")],
        "zones": max(1, len(raw.get("zones") or ())),
        "kinds": max(1, len(raw.get("models") or ())),
        "worth_by_work": raw.get("valueBy", "request") == "work",
        "must_ask": raw.get("registryMode", "automatic") == "subscribe",
        "report_fields": [_report_name(name, family) for name in report.get("fields") or ()],
        "reports_in_answers": report.get("via", "off") == "inline",
        "reports_in_probes": report.get("via", "off") == "on_probe",
        "prices": {_DEDUCTIONS.get(key, key): price for key, price in deductions.items()},
    }
    for i, class_values in enumerate(classes):
        if class_values["deadline_ms"] in (float("inf"), float("-inf")):
            raise ConfigError(f"grades[{i}].deadline: not a finite number")
    try:
        return msgspec.convert(values, Settings)
    except msgspec.ValidationError as error:
        raise ConfigError(_with_settings_keys(str(error))) from None


def _report_name(name: str, family: Mapping[str, Any]) -> str:
    meaning = family.get({"x0": "reportX0", "x1": "reportX1"}.get(name, ""), name)
    return _REPORT_FIELDS.get(meaning, name)


def parse_settings(text: bytes) -> Settings:
    """The balancer's settings from JSON text."""
    return read_settings(msgspec.json.decode(text))


# Bounds the peers, and the workers of one list; more are an error.  The store has two bytes for a peer's number.
MAX_LIST_ENTRIES = 65_535

# --- worker lists from discovery ------------------------------------------------------------------

class ListedEntry(msgspec.Struct, frozen=True):
    """One worker in discovery's format."""

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
    """An answer of discovery: the complete worker list, or the changes since a version.

    ``version`` and ``servers`` are required: an object without them, read as a complete list, would remove all
    workers.
    """

    version: int
    full: bool = True
    servers: Entries


class KnownList(DestinationList, frozen=True, kw_only=True):
    """The worker list that this scheduler last held; empty if it has held none."""

    version: int = 0
    servers: Entries = []


# --- the file at LB_CONFIG ------------------------------------------------------------------------

class Limits(msgspec.Struct, frozen=True):
    """Resources that the machine grants the scheduler."""

    cores: float = 1.0
    memory_mb: float = 192
    sockets: int = 1024


class _SchedulerFile(msgspec.Struct, frozen=True):
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
    keep_s: float = 120.0  # how long the result of a job with a unique id is kept to answer a resubmission
    hold_after_start: bool = True  # for keep_s after a start, refuse at-most-once jobs with a unique id
    ends_most: int = 50_000  # results kept at once
    ends_bytes: int = 16_000_000  # total size of the results kept
    default_class: str = ""  # class of functions without an entry; empty: their jobs are refused
    background_s: float = 3600.0  # how long a background job may wait
    tls_cert: str = ""  # PEM file; empty: plain TCP
    tls_key: str = ""  # PEM file, readable only by the daemon's user
    tls_ca: str = ""  # PEM file; clients and workers need a certificate of one of these CAs; empty: none needed
    tls_minimum: Literal["1.2", "1.3"] = "1.2"
    idle_s: float = 0.0  # a session that has no job and sends nothing for this long is closed; 0: never
    schedule_most: int = 10_000  # jobs scheduled for a wall-clock time
    per_worker: int = 4  # jobs passed to the core at once per worker able to run them; the others stay queued
    queue_most: int = 200_000  # queued jobs in total
    queue_function_most: int = 200_000  # queued jobs of one function
    queue_client_most: int = 100_000  # queued jobs of one client session
    queue_bytes: int = 300_000_000  # total size of the queued jobs' workloads, names and bookkeeping


class StoreConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section ``[store]``."""

    round_s: float = 30.0  # interval between replication rounds with one peer
    counters_s: float = 120.0  # interval at which this daemon publishes its counters
    entries_most: int = 20_000


class SinkConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section of one metrics sink, such as ``[metrics.graphite]``."""

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
    stands: bool = True  # whether it stands for election; false: a witness
    priority: Annotated[int, msgspec.Meta(ge=0, le=255)] = 100


class ClusterConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section ``[cluster]``: the election of the member that holds the service address."""

    listen: str = ""  # host:port, UDP; empty: off
    name: str = "gaphub"
    me: int = 0
    keys: str = ""  # path of the key ring
    state: str = ""  # file that persists the vote; empty: after a restart abstain and recover from the others
    lease_ms: float = 400.0
    renew_ms: float = 100.0
    margin: float = 0.1
    ballot_ms: float = 150.0
    stagger_ms: float = 40.0
    jitter_ms: float = 40.0
    moves_most: int = 30  # votes that one member grants per minute; 0: unlimited
    preempt_s: float = 0.0  # after this long, hand over to a ready member of higher priority; 0: never
    members: list[MemberConfig] = []

    def check(self) -> None:
        """Raise ConfigError if the section cannot describe a cluster."""
        if not self.listen:
            return
        parse_address(self.listen, "cluster.listen")
        if not 2 <= len(self.members) <= 7:
            raise ConfigError(f"cluster.members: {len(self.members)} members, must be 2 to 7")
        for key in ("id", "name", "address"):
            values = [getattr(member, key) for member in self.members]
            if len(set(values)) < len(values):
                raise ConfigError(f"cluster.members: two members have the same {key}")
        for i, member in enumerate(self.members):
            parse_address(member.address, f"cluster.members[{i}].address")
        if self.me not in [member.id for member in self.members]:
            raise ConfigError(f"cluster.me: {self.me} is not the id of a member")
        if sum(member.votes for member in self.members) < 2:
            raise ConfigError("cluster.members: at least two must have a vote")
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
            raise ConfigError("cluster.renew_ms: two renewals must fit into the lease minus its margin")
        if self.ballot_ms >= self.lease_ms * (1 - self.margin):
            raise ConfigError("cluster.ballot_ms: must be shorter than the lease minus its margin")


class AddressConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section ``[address]``: the service address, which moves between instances."""

    service: str = ""  # IPv4 address, announced as a host route; empty: off
    listen: str = ""  # host:port on this instance where requests to the service address arrive
    next_hop: str = ""  # IPv4 address of this instance, the next hop of the route
    gearman: bool = False  # whether Gearman submits also require the lease
    return_ms: float = 250.0  # after this long a refused client may retry
    linger_ms: float = 250.0  # the route stays announced this long after a hand-over, unless a successor is heard

    def check(self) -> None:
        """Raise ConfigError if the section holds an invalid address or duration."""
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
    """One ``[[bgp.neighbours]]``: a router that the service address is announced to."""

    address: str  # host:port, TCP
    peer_as: Annotated[int, msgspec.Meta(ge=1, le=4294967294)]
    bfd: str = ""  # the router's BFD endpoint, host:port, UDP; empty: no BFD
    bfd_listen: str = ""  # the local BFD endpoint for this router, host:port, UDP


class BgpConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section ``[bgp]``."""

    local_as: Annotated[int, msgspec.Meta(ge=0, le=4294967294)] = 0
    router_id: str = ""
    source: str = ""  # local address to connect from; empty: chosen by the system
    hold_s: float = 9.0  # 0, or 3 and more (RFC 4271, 4.2)
    retry_s: float = 1.0
    bfd_ms: float = 50.0  # interval of BFD packets, in both directions
    bfd_multiplier: Annotated[int, msgspec.Meta(ge=1, le=255)] = 3
    neighbours: list[NeighbourConfig] = []

    def check(self) -> None:
        """Raise ConfigError if the section is not valid for BGP and BFD."""
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
        for i, neighbour in enumerate(self.neighbours):
            parse_address(neighbour.address, f"bgp.neighbours[{i}].address")
            if bool(neighbour.bfd) != bool(neighbour.bfd_listen):
                raise ConfigError(f"bgp.neighbours[{i}].bfd: bfd and bfd_listen must be set together")
            if neighbour.bfd:
                parse_address(neighbour.bfd, f"bgp.neighbours[{i}].bfd")
                parse_address(neighbour.bfd_listen, f"bgp.neighbours[{i}].bfd_listen")


class AdminConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section ``[admin]``."""

    socket: str = ""  # path of the Unix socket for ``gaphub status``; empty: off


class LogConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The section ``[log]``."""

    form: Literal["plain", "logfmt", "json"] = "plain"
    level: Literal["debug", "info", "warning", "error"] = "info"
    counters_s: float = 0.0  # interval of the line with the increments of the counters; 0: never
    requests: bool = False  # whether to log a line for each finished request


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
        """Where the Gearman front listens; None if it is off."""
        return parse_address(self.gearman.listen, "gearman.listen") if self.gearman.listen else None


def parse_fronts(text: str, classes: list[str]) -> FrontsConfig:
    """Parse and validate the text of ``deploy/fronts.toml``."""
    return validate_fronts(_decode(text.encode(), FrontsConfig, "LB_FRONTS", toml=True), classes)


def validate_fronts(fronts: FrontsConfig, classes: list[str]) -> FrontsConfig:
    """Check what the types of the sections do not express; ConfigError names the first faulty key."""
    for name, class_name in fronts.gearman.functions.items():
        if class_name not in classes and fronts.gearman.listen:
            raise ConfigError(f"gearman.functions.{name}: {class_name!r} is not one of {', '.join(classes)}")
    if fronts.gearman.default_class and fronts.gearman.listen and fronts.gearman.default_class not in classes:
        raise ConfigError(f"gearman.default_class: {fronts.gearman.default_class!r} is not one of "
                          f"{', '.join(classes)}")
    fronts.gearman_address()
    if bool(fronts.gearman.tls_cert) != bool(fronts.gearman.tls_key):
        raise ConfigError("gearman.tls_key: tls_cert and tls_key must be set together")
    if fronts.gearman.tls_ca and not fronts.gearman.tls_cert:
        raise ConfigError("gearman.tls_ca: requires tls_cert")
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
            raise ConfigError(f"metrics.{key}.prefix: {sink.prefix!r} is not a dotted metric path")
    fronts.cluster.check()
    fronts.address.check()
    fronts.bgp.check()
    if fronts.address.service and not fronts.cluster.listen:
        raise ConfigError("address.service: requires cluster.listen, as only the lease holder announces it")
    return fronts


class WitnessConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The file of ``gaphub witness``: the sections of ``deploy/fronts.toml`` that a witness needs."""

    cluster: ClusterConfig = ClusterConfig()
    admin: AdminConfig = AdminConfig()
    log: LogConfig = LogConfig()


def read_witness(path: str) -> WitnessConfig:
    """Read and validate a witness's configuration file."""
    witness = _decode(_read_file(path, "--config"), WitnessConfig, path, toml=True)
    witness.cluster.check()
    if not witness.cluster.listen:
        raise ConfigError("cluster.listen: missing")
    if next(member for member in witness.cluster.members if member.id == witness.cluster.me).stands:
        raise ConfigError("cluster.members: a witness must not stand (stands = false)")
    return witness


class Config(msgspec.Struct, frozen=True):
    """The validated configuration of a scheduler."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    limits: Limits
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    admin: Address | None  # the operators' HTTP address; None: off
    known: KnownList
    settings: Settings
    class_names: tuple[str, ...]
    zones: tuple[str, ...]
    models: tuple[str, ...]
    report_fields: tuple[str, ...]  # names as used in reports, in the order of Settings.report_fields
    conn_idle_ms: float
    fronts: FrontsConfig
    keys: frozenset[str]  # paths of the keys that the file sets


def parse_address(text: str, key: str) -> Address:
    """Parse ``host:port``; ConfigError names ``key``."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{key}: {text!r} is not host:port")
    return host, int(port)


def _decode(data: bytes, type_: type[T], where: str, toml: bool = False) -> T:
    try:
        return msgspec.toml.decode(data, type=type_) if toml else msgspec.json.decode(data, type=type_)
    except DECODE_ERRORS as error:
        raise ConfigError(f"{where}: {_with_settings_keys(str(error))}") from None


def _read_file(path: str | Path, key: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"{key}: {path}: {error.strerror}") from None


def load(env: Mapping[str, str], is_reload: bool = False) -> Config:
    """Load the whole configuration; ConfigError names the faulty key.

    ``is_reload``: the scheduler is running.  Its environment dates from the start, so the file's discovery address
    takes precedence over ``LB_DISCOVERY``.
    """
    if not env.get("LB_CONFIG"):
        raise ConfigError("LB_CONFIG: missing")
    fronts = env.get("LB_FRONTS") or str(DEFAULT_FRONTS_PATH)
    return from_text(_read_file(env["LB_CONFIG"], "LB_CONFIG"), env, _read_file(fronts, "LB_FRONTS").decode(),
                     is_reload)


def from_text(data: bytes, env: Mapping[str, str], fronts: str, is_reload: bool = False) -> Config:
    """The configuration from the contents of its two files and the environment."""
    file = _decode(data, _SchedulerFile, "LB_CONFIG")
    raw = file.settings
    try:
        settings = read_settings(raw)
    except (TypeError, AttributeError) as error:  # a value of an unexpected type
        raise ConfigError(f"settings: {error}") from None
    if not re.fullmatch(r"[0-9a-fA-F]{1,32}", file.seed):
        raise ConfigError(f"seed: {file.seed!r} is not a hexadecimal number")
    names = [str(grade.get("name", "")) for grade in raw["grades"]]
    if len(set(names)) < len(names) or "" in names:
        raise ConfigError("grades: each needs a unique name")
    idle = _as_object(raw.get("limits"), "limits").get("connIdle", 60_000.0)
    if not isinstance(idle, int | float) or idle <= 0:
        raise ConfigError(f"limits.connIdle: {idle!r} is not a positive duration in ms")
    return Config(
        name=env.get("LB_NAME") or file.name,
        listen=parse_address(env.get("LB_LISTEN") or file.listen, "LB_LISTEN"),
        discovery=parse_address((is_reload and file.discovery) or env.get("LB_DISCOVERY") or file.discovery,
                                "LB_DISCOVERY"),
        seed=int(file.seed, 16),
        limits=file.limits,
        peer_listen=parse_address(file.peer_listen, "peer_listen") if file.peer_listen else None,
        peers=tuple(parse_address(peer, f"peers[{i}]") for i, peer in enumerate(file.peers)),
        peers_all=parse_address(file.peers_all, "peers_all") if file.peers_all else None,
        admin=parse_address(admin, "LB_ADMIN") if (admin := env.get("LB_ADMIN") or file.admin) else None,
        known=file.known,
        settings=settings,
        class_names=tuple(names),
        zones=tuple(map(str, raw.get("zones") or ())),
        models=tuple(map(str, raw.get("models") or ())),
        report_fields=tuple(map(str, _as_object(raw.get("report"), "report").get("fields") or ())),
        conn_idle_ms=float(idle),
        fronts=parse_fronts(fronts, names),
        keys=frozenset(_key_paths(msgspec.json.decode(data), "")),
    )


def _key_paths(value: Any, path: str) -> set[str]:
    """The paths of all keys with a value; of objects in a list, only the keys that all of them have."""
    if isinstance(value, dict):
        children = {f"{path}.{key}" if path else key: child for key, child in value.items() if child is not None}
        return set(children).union(*(_key_paths(child, p) for p, child in children.items() if p != "known"))
    if isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        return set.intersection(*(_key_paths(item, f"{path}[]") for item in value))
    return set()


def check_reload(old: Config, new: Config) -> None:
    """Raise ConfigError for the first key of the old configuration that the new one lacks.

    At a start an absent key takes its default.  In a reload it indicates a truncated or mistyped file, and the
    default would change a rule unintentionally.
    """
    missing = sorted(old.keys - new.keys)
    if missing:
        raise ConfigError(f"{missing[0]}: missing, but set in the current configuration")
