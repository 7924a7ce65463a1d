"""Framing and records of the simulator's wire.  Nothing here decides anything."""

from __future__ import annotations

import json
import struct
from typing import Any, NamedTuple

from .interface import (
    ClassSettings,
    Effect,
    Group,
    ListedWorker,
    Settings,
    TenantSettings,
)

EVENT_SIZE = 56
ACTION_SIZE = 32
HEADER = struct.Struct(">IIId")
REPLY = struct.Struct(">III")
ENTRY = struct.Struct(">BBHfBId")

DETACH, ENDPOINTS, OUTCOME, INBOX, NOTE, GONE, FIRST, PONG, BELL, ATTACH, LEDGER, ASK = range(1, 13)

# The fields of each event, the code first; each unpacks from the start of its record.
EVENTS: dict[int, struct.Struct] = {
    DETACH: struct.Struct(">BI"),
    ENDPOINTS: struct.Struct(">BIBQI"),
    OUTCOME: struct.Struct(">BIQHIHdBIB4f"),
    INBOX: struct.Struct(">BIIII"),
    NOTE: struct.Struct(">BIQBIfH"),
    GONE: struct.Struct(">BIQ"),
    FIRST: struct.Struct(">BIQHdI"),
    PONG: struct.Struct(">BIIHdB4f"),
    BELL: struct.Struct(">BIQ"),
    ATTACH: struct.Struct(">BIQII"),
    LEDGER: struct.Struct(">BIII"),
    ASK: struct.Struct(">BIQHIQddffB"),
}
EVENT_NAMES = {
    DETACH: "DETACH", ENDPOINTS: "ENDPOINTS", OUTCOME: "OUTCOME", INBOX: "INBOX", NOTE: "STATUS_NOTE",
    GONE: "TIMED_OUT_CLIENT", FIRST: "FIRST", PONG: "PONG", BELL: "BELL", ATTACH: "ATTACH",
    LEDGER: "LEDGER", ASK: "ASK",
}
FLAG_HINT, FLAG_RETRY = 1, 2

CALL_OUT = struct.Struct(">BIQId7x")
DECLINE = struct.Struct(">BIQd11x")
LOSE = struct.Struct(">BIQ19x")
RETRACT = struct.Struct(">BIQH17x")
SET_ALARM = struct.Struct(">BIdQ11x")
HEALTH_CHECK = struct.Struct(">BII23x")
FREE_LINKS = struct.Struct(">BII23x")
WRITE_PEER = struct.Struct(">BIHII17x")
PRINT = struct.Struct(">BIII19x")
FAULT = struct.Struct(">BIII19x")
KEEP_INFORMED = struct.Struct(">BIB26x")
RELOAD = struct.Struct(">BI27x")


class WireError(Exception):
    """A frame that is not one: what is wrong, in which batch, at which byte of the frame."""

    def __init__(self, what: str, batch: int, offset: int) -> None:
        super().__init__(f"{what} (batch {batch}, offset {offset})")


class Frame(NamedTuple):
    """A batch: its number, its clock, its size in records, and its bytes."""

    number: int
    now: float
    size: int
    body: bytes  # records, then the tail

    def records(self) -> list[tuple[Any, ...]]:
        """The fields of every record, in order; WireError on an unknown code."""
        out = []
        body = self.body
        events = EVENTS
        for at in range(0, self.size * EVENT_SIZE, EVENT_SIZE):
            layout = events.get(body[at])
            if layout is None:
                raise WireError(f"unknown event code {body[at]}", self.number, HEADER.size + at)
            out.append(layout.unpack_from(body, at))
        return out

    def tail(self, start: int, size: int) -> bytes:
        """A piece of the tail."""
        base = self.size * EVENT_SIZE
        if base + start + size > len(self.body):
            raise WireError("tail field out of range", self.number, HEADER.size + base + start)
        return self.body[base + start:base + start + size]


def parse_header(head: bytes) -> tuple[int, int, int, float]:
    """Number, length of the rest, record count and clock; WireError if they do not fit."""
    number, length, count, now = HEADER.unpack(head)
    rest = length - HEADER.size
    if rest < count * EVENT_SIZE:
        raise WireError(f"length {length} is too short for {count} records", number, 4)
    return number, rest, count, now


def parse_entries(data: bytes) -> list[ListedWorker]:
    """The entries of a worker list."""
    return [ListedWorker._make(e) for e in ENTRY.iter_unpack(data)]


def reply(number: int, records: list[bytes], tail: bytes) -> bytes:
    """One whole reply frame."""
    body = b"".join(records)
    return REPLY.pack(number, REPLY.size + len(body) + len(tail), len(records)) + body + tail


_EFFECTS = {"idempotent": Effect.SAFE, "deduplicated": Effect.KEYED, "at_most_once": Effect.UNSAFE}
_GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
_PRICES = {"crossZone": "cross_zone", "lateFail": "late_fail", "registryMode": "discovery"}


def _word(table: dict[str, Any], word: object, where: str) -> Any:
    if not isinstance(word, str) or word not in table:
        raise ValueError(f"{where}: {word!r} is none of {', '.join(table)}")
    return table[word]


def _of(values: Any, index: int, default: float) -> float:
    """An entry of a list that the settings may leave out or cut short."""
    return values[index] if isinstance(values, list) and index < len(values) else default


def parse_settings(text: bytes) -> Settings:
    """The settings of one instance.  Unknown keys are skipped, absent ones get defaults."""
    raw = json.loads(text)
    if not isinstance(raw, dict):
        raise ValueError("params: not an object")
    limits = raw.get("limits", {})
    rules = raw.get("rules", {})
    family = raw.get("familyInfo", {})
    report = raw.get("report", {})
    grades = raw.get("grades")
    if not isinstance(grades, list) or not grades:
        raise ValueError("grades: missing or empty")
    classes = []
    for i, g in enumerate(grades):
        if "slo" not in g or "deadline" not in g:
            raise ValueError(f"grades[{i}].{'slo' if 'slo' not in g else 'deadline'}: missing")
        classes.append(ClassSettings(
            aim_ms=float(g["slo"]),
            deadline_ms=float(g["deadline"]),
            worth=float(g.get("credit", 1.0)),
            late_worth=float(g.get("lateWorth", 0.0)),
            effect=_word(_EFFECTS, g.get("idempotency", "at_most_once"), f"grades[{i}].idempotency"),
            group=_word(_GROUPS, g.get("group", "all"), f"grades[{i}].group"),
            window_ms=float(g.get("window", 0.0)),
            streamed=bool(g.get("streamed", False)),
            aim_stretch=float(_of(family.get("classStretch"), i, g.get("aimStretch", 0.0))),
            kind=int(_of(family.get("classKind"), i, -1)),
            priority=int(_of(family.get("classPriority"), i, 0)),
        ))
    tenants = tuple(TenantSettings(float(t.get("quotaPerS", 0.0)), float(t.get("share", 0.0)))
                    for t in raw.get("tenants") or ())
    meanings = {"x0": str(family.get("reportX0", "")), "x1": str(family.get("reportX1", ""))}
    fields = tuple({"free slots": "free_slots", "free memory": "free_memory"}.get(meanings.get(f, f), f)
                   for f in report.get("fields") or ())
    return Settings(
        classes=tuple(classes),
        tenants=tenants,
        me=int(raw.get("me", 0)),
        balancers=int(raw.get("balancers", 1)),
        zone=int(raw.get("zone", 0)),
        zones=max(1, len(raw.get("zones") or ())),
        kinds=max(1, len(raw.get("models") or ())),
        tick_ms=float(raw.get("tick", 1.0)),
        worth_by_work=raw.get("valueBy", "request") == "work",
        over_share_worth=float(raw.get("overShareWorth", 0.1)),
        must_ask=raw.get("registryMode", "automatic") == "subscribe",
        ask_within_ms=float(rules.get("askEvery", 10_000.0)),
        answer_slack_ms=float(rules.get("answerSlack", 0.0)),
        drain_grace_ms=float(rules.get("drainGrace", 1_000.0)),
        fall_multiple=float(rules.get("fallMultiple", 3.0)),
        fall_ms=float(rules.get("fall", 2_000.0)),
        cold_from=float(rules.get("startCapacity", 0.15)),
        cold_ms=float(rules.get("warmAfter", 20_000.0)),
        max_attempts=int(limits.get("mostTries", 3)),
        max_open=int(limits.get("maxOpen", 20_000)),
        max_retry_after_ms=float(limits.get("maxRetryAfter", 1_000.0)),
        may_cancel=bool(limits.get("cancel", True)),
        may_probe=bool(limits.get("probes", False)),
        may_tell_peers=bool(limits.get("peerMessages", False)),
        second_copies=bool(limits.get("secondCopies", True)),
        retry_after=bool(limits.get("retryAfter", True)),
        marks_retry=bool(raw.get("callers", {}).get("marksRetry", False)),
        connect_timeout_ms=float(limits.get("dialTimeout", 250.0)),
        cpu_us_per_request=float(limits.get("cpuUsPerRequest", 0.0)),
        cpu_us_per_s=float(limits.get("cpuUsPerS", 0.0)),
        tells_start=bool(family.get("tellsStart", False)),
        progress_ms=float(family.get("progress", 0.0)),
        queue_order=str(family.get("queueOrder", "fifo")),
        report_fields=fields,
        reports_in_answers=report.get("via", "off") == "inline",
        reports_in_probes=report.get("via", "off") == "on_probe",
        prices={_PRICES.get(k, k): float(v) for k, v in raw.get("deductions", {}).items()},
    )
