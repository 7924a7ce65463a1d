"""Random legal events: the rules that a single instance can keep hold after each of them."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from gaphub.interface import (
    NEVER_RAN,
    ClassSettings,
    Effect,
    Group,
    ListedWorker,
    ListKind,
    Request,
    Settings,
    Status,
)
from gaphub.logic import Balancer
from tests.fake import Recorder, entry

CLASSES = (
    ClassSettings(aim_ms=200.0, deadline_ms=3000.0, aim_stretch=2.0),
    ClassSettings(aim_ms=200.0, deadline_ms=3000.0, effect=Effect.UNSAFE),
    *(
        ClassSettings(aim_ms=200.0, deadline_ms=5000.0, effect=Effect.KEYED, group=g, window_ms=1500.0)
        for g in Group
    ),
)
ENTRIES = [entry(i, zone=i % 2, cell=i % 3, kind=i % 2) for i in range(1, 8)]


@dataclass
class RequestRecord:
    """What the host knows of a request."""

    cls: ClassSettings
    ends: float
    sent: list[tuple[float, int]] = field(default_factory=list)
    statuses: dict[int, Status] = field(default_factory=dict)
    closed: bool = False
    unanswered: bool = True

    def open(self) -> list[int]:
        return [i for i in range(len(self.sent)) if i not in self.statuses]

    def possibly_run(self) -> list[int]:
        return [i for i in range(len(self.sent)) if self.statuses.get(i) not in NEVER_RAN]


class RuleChecker(Recorder):
    """Carries out actions and checks them against the rules."""

    def __init__(self, config: Settings) -> None:
        super().__init__()
        self.settings = config
        self.now = 0.0
        self.requests: dict[int, RequestRecord] = {}
        self.listed: dict[int, ListedWorker] = {}
        self.due: list[float] = []

    def same_group(self, cls: ClassSettings, a: int, b: int) -> bool:
        one, two = ENTRIES[a - 1], ENTRIES[b - 1]
        return (
            cls.group == Group.ALL
            or (cls.group == Group.ZONE and one.zone == two.zone)
            or (cls.group == Group.CELL and one.cell == two.cell)
        )

    def send(self, request: int, worker: int, timeout_ms: float) -> None:
        record = self.requests[request]
        assert not record.closed, "sent after the final answer"
        assert worker in self.listed, "sent to a worker that is draining, gone or was never listed"
        assert len(record.sent) < self.settings.max_attempts
        assert len(record.open()) < (2 if self.settings.second_copies else 1)
        maybe = record.possibly_run()
        if record.cls.effect == Effect.UNSAFE:
            assert not maybe, "an unsafe request was sent again"
        if record.cls.effect == Effect.KEYED and maybe:
            first = min(record.sent[i][0] for i in maybe)
            assert self.now - first < record.cls.window_ms
            assert all(self.same_group(record.cls, record.sent[i][1], worker) for i in maybe)
        record.sent.append((self.now, worker))

    def refuse(self, request: int, retry_after_ms: float) -> None:
        record = self.requests[request]
        assert not record.closed and record.unanswered
        if record.possibly_run():
            assert record.cls.effect == Effect.SAFE or (
                record.cls.effect == Effect.KEYED and record.cls.group == Group.ALL)
        record.closed, record.unanswered = True, False

    def fail(self, request: int) -> None:
        record = self.requests[request]
        assert not record.closed and record.unanswered
        record.closed, record.unanswered = True, False

    def cancel(self, request: int, attempt: int) -> None:
        record = self.requests[request]
        assert attempt < len(record.sent)

    def set_timer(self, delay_ms: float, token: int) -> None:
        assert delay_ms >= 0
        self.due.append(self.now + delay_ms)

    def watch(self, on: bool) -> None:
        assert self.settings.must_ask


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "request",
                "outcome",
                "outcome",
                "outcome",
                "note",
                "list",
                "time",
                "time",
                "gone",
                "probe",
                "noise",
            ]
        ),
        st.integers(0, 10_000),
        st.integers(0, 10_000),
    ),
    max_size=120,
)


@settings(derandomize=True, deadline=None, max_examples=150, suppress_health_check=list(HealthCheck))
@given(
    steps=STEPS,
    seed=st.integers(0, 2**32),
    copies=st.booleans(),
    starts=st.booleans(),
    ask=st.booleans(),
    probes=st.booleans(),
    peers=st.booleans(),
)
def test_rules_hold_for_any_legal_events(
    steps: list[tuple[str, int, int]], seed: int, copies: bool, starts: bool, ask: bool, probes: bool,
    peers: bool
) -> None:
    config = Settings(
        classes=CLASSES,
        zones=2,
        kinds=2,
        max_attempts=4,
        second_copies=copies,
        tells_start=starts,
        must_ask=ask,
        may_probe=probes,
        reports_in_probes=probes,
        progress_ms=500.0,
        report_fields=("free_slots", "queue"),
        balancers=3,
        may_tell_peers=peers,
    )
    checker = RuleChecker(config)
    checker.now = 500.0
    balancer = Balancer(checker.now, config, seed, checker)
    checker.listed = {listed_entry.worker: listed_entry for listed_entry in ENTRIES}
    balancer.on_workers(checker.now, ListKind.CACHED, ENTRIES)
    count = 0

    def advance_to(when: float) -> None:
        while checker.due and min(checker.due) <= when:
            due = min(checker.due)
            checker.due.remove(due)
            checker.now = max(checker.now, due)
            balancer.on_timer(checker.now, 1)
            check_deadlines()
        checker.now = max(checker.now, when)
        check_deadlines()

    def check_deadlines() -> None:
        for record in checker.requests.values():
            assert not record.unanswered or checker.now <= record.ends, "a request was not answered in time"

    def outcome(request: int, attempt: int, status: Status, report: tuple[float, ...]) -> None:
        record = checker.requests[request]
        record.statuses[attempt] = status
        if status == Status.OK and record.unanswered:
            record.closed, record.unanswered = True, False
        balancer.on_outcome(checker.now, request, attempt, status, checker.now - record.sent[attempt][0],
                            record.closed, report)

    for event, index, variant in steps:
        open_attempts = [(request, attempt) for request, record in checker.requests.items()
                         for attempt in record.open()]
        if event == "request":
            count += 1
            c = index % len(CLASSES)
            left = CLASSES[c].deadline_ms * (1.0, 0.7, 0.2)[variant % 3]
            checker.requests[count] = RequestRecord(CLASSES[c], checker.now + left)
            balancer.on_request(
                checker.now,
                Request(count, c, left, hint_ms=float(variant % 2 * index % 900), slots=1.0 + variant % 3,
                        key=variant % 5),
            )
        elif event == "outcome" and open_attempts:
            request, attempt = open_attempts[index % len(open_attempts)]
            outcome(request, attempt, list(Status)[variant % len(Status)],
                    (float(variant % 4), float(index % 9)) if index % 2 else ())
        elif event == "note" and open_attempts:
            request, attempt = open_attempts[index % len(open_attempts)]
            (balancer.on_started(checker.now, request, attempt) if variant % 2
             else balancer.on_progress(checker.now, request, attempt, 0.5))
        elif event == "list":
            listed_entry = ENTRIES[index % len(ENTRIES)]
            state = variant % 3
            fresh = listed_entry._replace(state=state, ready_at_ms=checker.now if variant % 2 else 0.0)
            if state == 1:
                checker.listed[listed_entry.worker] = fresh
            else:
                checker.listed.pop(listed_entry.worker, None)
            if ask and index % 4 == 0:
                balancer.on_workers(checker.now, ListKind.FAILED, [])
            balancer.on_workers(checker.now, ListKind.CHANGES, [fresh])
        elif event == "time":
            advance_to(checker.now + variant % 700)
        elif event == "gone" and checker.requests:
            request = 1 + index % count
            record = checker.requests[request]
            if record.unanswered:
                record.closed, record.unanswered = True, False
                balancer.on_client_gone(checker.now, request)
        elif event == "probe" and checker.probes:
            worker = checker.probes.pop(index % len(checker.probes))
            balancer.on_probe_result(checker.now, worker, Status.OK if variant % 4 else Status.TIMEOUT, 1.0,
                                     (float(variant % 3), 0.0))
        elif event == "noise":
            balancer.on_outcome(checker.now, 10**6 + index, variant % 4, Status.OK, 1.0, False, ())
            balancer.on_timer(checker.now, index)
            balancer.on_peer(checker.now, index % 3,
                             struct.pack(">BBHB", 0xD0 | index % 5, index % 256, 1 + index % 6, index % 9))
    for request, record in list(checker.requests.items()):
        for attempt in record.open():
            if ends_before_deadline(request, attempt):
                outcome(request, attempt, Status.TIMEOUT, ())
    advance_to(checker.now + 30_000.0)
    for request, record in list(checker.requests.items()):
        while record.open():
            outcome(request, record.open()[0], Status.CANCELLED, ())
    advance_to(checker.now + 30_000.0)
    assert not any(record.unanswered for record in checker.requests.values())
    assert not balancer.jobs, "state is left of requests that have ended"


def ends_before_deadline(request: int, attempt: int) -> bool:
    """Whether an attempt ends before its client gives up; the others never answer."""
    return (request + attempt) % 2 == 0
