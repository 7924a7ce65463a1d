"""Job queues: admission, order, fairness, ageing and expiry; and the front end that dequeues from them."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gaphub.gearman.queues import AGEING_INTERVAL, JOB_OVERHEAD_BYTES, QueuedJob, QueueLimits, Queues

from .scenario import play


def put(q: Queues, item: Any, client: Any = 1, priority: int = 1, now: float = 0.0, expires_at: float = 1e9,
        function: bytes = b"f", size: int = 10) -> QueuedJob:
    job = q.put(item, 0, function, client, priority, size, now, expires_at)
    assert isinstance(job, QueuedJob)
    return job


def dequeue_all(q: Queues) -> list[Any]:
    found = []
    while (job := q.dequeue(0)) is not None:
        found.append(job.item)
    return found


def test_priority_first_then_first_come() -> None:
    q = Queues(QueueLimits())
    for i, priority in enumerate((2, 1, 0, 1, 0)):
        put(q, i, priority=priority)
    assert dequeue_all(q) == [2, 4, 1, 3, 0]
    assert (q.count, q.bytes, q.functions()) == (0, 0, [])


def test_a_flood_of_one_client_delays_another_by_one_job_a_turn() -> None:
    q = Queues(QueueLimits())
    for i in range(100_000):
        put(q, ("flood", i), client="flood")
    for i in range(10):
        put(q, ("small", i), client="small")
    positions = [n for n, item in enumerate(dequeue_all(q)[:100]) if item[0] == "small"]
    assert len(positions) == 10
    assert max(positions) <= 2 * 10 + 10 // AGEING_INTERVAL + 3


def test_a_stream_of_high_ones_does_not_starve_a_low_one() -> None:
    q = Queues(QueueLimits())
    put(q, "low", priority=2)
    for n in range(AGEING_INTERVAL):
        put(q, n, priority=0)
        put(q, n, priority=0)
        if q.dequeue(0).item == "low":  # type: ignore[union-attr]
            break
    else:
        raise AssertionError("starved")
    assert n < AGEING_INTERVAL


@pytest.mark.parametrize(("limits", "reason"), [
    (QueueLimits(jobs=2), "queues_full"), (QueueLimits(jobs_per_function=2), "function_queue_full"),
    (QueueLimits(jobs_per_client=2), "client_queue_full"),
    (QueueLimits(total_bytes=2 * (JOB_OVERHEAD_BYTES + 10)), "queues_full")])
def test_admission(limits: QueueLimits, reason: str) -> None:
    q = Queues(limits)
    job = put(q, 1)
    put(q, 2)
    assert q.put(3, 0, b"f", 1, 1, 10, 0.0, 1.0) == reason
    assert q.refused == 1
    assert q.remove(job)
    assert not q.remove(job)
    put(q, 3)


def test_maxqueue_by_priority() -> None:
    q = Queues(QueueLimits())
    q.set_function_limits(b"f", [1, 2, 0])
    put(q, 1, priority=0)
    assert q.put(2, 0, b"f", 1, 0, 1, 0.0, 1.0) == "queue_full"
    for i in range(5):
        put(q, i, priority=2)
    put(q, 1, priority=1)
    assert q.refusal_reason(b"f", 1, 1, 1, dispatched=1) == "queue_full"
    q.set_function_limits(b"f", [])
    put(q, 1, priority=0)


def test_what_waits_too_long_comes_out_once() -> None:
    q = Queues(QueueLimits())
    jobs = [put(q, i, expires_at=float(i)) for i in range(10)]
    q.upgrade(jobs[2], 0, 100.0)  # submitted again by a client that waits longer
    assert [j.item for j in q.pop_expired(4.0)] == [0, 1, 3, 4]
    assert list(q.pop_expired(4.0)) == []
    assert q.next_expiry() <= 5.0
    assert dequeue_all(q) == [2, 5, 6, 7, 8, 9]


def test_memory_follows_what_waits() -> None:
    q = Queues(QueueLimits())
    for n in range(20_000):
        job = put(q, n, client=n % 7, priority=n % 3)
        if n >= 10:
            q.remove(job)
    class_queue = q._classes[0]
    assert len(q._expiry_heap) < 200
    assert sum(len(jobs) for level in class_queue.levels for jobs in level.by_client.values()) < 200
    assert len(class_queue.by_age) < 200


class Model(RuleBasedStateMachine):
    """Arbitrary sequences of calls, compared with a list."""

    def __init__(self) -> None:
        super().__init__()
        self.q = Queues(QueueLimits(jobs=30))
        self.jobs: list[QueuedJob] = []
        self.now = 0.0
        self.moved = False  # whether any job changed its priority

    @rule(client=st.integers(0, 3), priority=st.integers(0, 2), life=st.integers(1, 50), cls=st.integers(0, 1))
    def put(self, client: int, priority: int, life: int, cls: int) -> None:
        job = self.q.put(object(), cls, b"f%d" % cls, client, priority, 5, self.now, self.now + life)
        assert isinstance(job, QueuedJob) == (len(self.jobs) < 30)
        if isinstance(job, QueuedJob):
            self.jobs.append(job)

    @precondition(lambda self: self.jobs)
    @rule(cls=st.integers(0, 1))
    def dequeue(self, cls: int) -> None:
        class_jobs = [j for j in self.jobs if j.class_index == cls]
        job = self.q.dequeue(cls)
        assert (job is None) == (not class_jobs)
        if job is not None:
            oldest = min(class_jobs, key=lambda j: j.serial)
            best = min(j.priority for j in class_jobs)
            assert job is oldest or job.priority == best
            if job is not oldest and not self.moved:
                assert not [j for j in class_jobs if (j.client, j.priority) == (job.client, job.priority)
                            and j.serial < job.serial], "first come first served within a client"
            self.jobs.remove(job)

    @precondition(lambda self: self.jobs)
    @rule(data=st.data())
    def remove(self, data: st.DataObject) -> None:
        job = data.draw(st.sampled_from(self.jobs))
        assert self.q.remove(job)
        self.jobs.remove(job)

    @precondition(lambda self: self.jobs)
    @rule(data=st.data(), priority=st.integers(0, 2), life=st.integers(1, 80))
    def join(self, data: st.DataObject, priority: int, life: int) -> None:
        job = data.draw(st.sampled_from(self.jobs))
        before = job.priority, job.expires_at
        self.moved = True
        self.q.upgrade(job, priority, self.now + life)
        assert (job.priority, job.expires_at) == (min(before[0], priority), max(before[1], self.now + life))

    @rule(ms=st.integers(1, 30))
    def wait(self, ms: int) -> None:
        self.now += ms
        expired = [j for j in self.jobs if j.expires_at <= self.now]
        assert set(map(id, self.q.pop_expired(self.now))) == set(map(id, expired))
        self.jobs = [j for j in self.jobs if j not in expired]

    @invariant()
    def sums(self) -> None:
        assert self.q.count == len(self.jobs)
        assert self.q.bytes == sum(j.size for j in self.jobs)
        for cls in (0, 1):
            seen = Counter(j.priority for j in self.jobs if j.class_index == cls)
            assert self.q.counts_by_priority(b"f%d" % cls) == [seen[p] for p in range(3)]
        assert self.q.oldest_ms(self.now) >= 0.0


TestModel = Model.TestCase
TestModel.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 2)), min_size=1, max_size=60))
def test_the_oldest_is_drawn_within_the_bound(jobs: list[tuple[int, int]]) -> None:
    q = Queues(QueueLimits())
    for n, (client, priority) in enumerate(jobs):
        put(q, n, client, priority)
    waits = 0
    waiting = set(range(len(jobs)))
    while waiting:
        oldest = min(waiting)
        job = q.dequeue(0)
        assert job is not None
        waiting.discard(job.item)
        waits = 0 if job.item == oldest else waits + 1
        assert waits < AGEING_INTERVAL


# --- front end -----------------------------------------------------------------------------------------

FRONTS = """
[gearman]
listen = "127.0.0.1:PORT"
functions = { pos = "poloha", bill = "vyuctovani" }
hold_after_start = false
default_class = "poloha"
per_worker = 1
"""
SCENARIOS = {
    "jobs are queued until a worker connects, and all are served": """
        g send 7 pos||one
        g expect #8
        g send 7 pos||two
        g expect #8
        a send status\\n
        a expect pos\\t2\\t0\\t0
        a send prioritystatus\\n
        a expect pos\\t0\\t2\\t0\\t0
        g2 send 1 pos
        g2 send 4
        g2 expect #6
        g2 send 9
        g2 expect #11 (?P<h>H:[^\\x00]*)\\x00pos\\x00one
        g2 send 13 $h|done one
        g expect #13 .*done one
        g2 send 4
        g2 expect #6
        g2 send 9
        g2 expect #11 (?P<h>H:[^\\x00]*)\\x00pos\\x00two
        g2 send 13 $h|done two
        g expect #13 .*done two
    """,
    "a function without an entry gets the default class": """
        g send 7 any||x
        g expect #8
        g2 send 1 any
        g2 send 4
        g2 expect #6
        g2 send 9
        g2 expect #11 (?P<h>H:[^\\x00]*)\\x00any\\x00x
    """,
    "a worker that sends GRAB_JOB_ALL receives the reducer of a reduce job": """
        g send 37 pos||sum|x
        g expect #8
        g2 send 1 pos
        g2 send 4
        g2 expect #6
        g2 send 39
        g2 expect #40 (?P<h>H:[^\\x00]*)\\x00pos\\x00\\x00sum\\x00x
        g2 send 13 $h|done
        g expect #13 .*done
    """,
    "a queued job can be cancelled, and its client is notified": """
        g send 7 pos||x
        g expect #8 (?P<h>H:\\S*:\\d+)
        a send cancel job $h\\n
        a expect OK
        g expect #14
        count requests.taken 0
    """,
    "a client that disconnects cancels its queued job": """
        g send 7 pos||x
        g expect #8
        g close
        wait 50
        a send status\\n
        a expect pos\\t0\\t0\\t0
    """,
    "an exception ends the job when its worker asks for more, and a late WORK_FAIL is no error": """
        g send 7 pos||x
        g expect #8
        g2 send 1 pos
        g2 send 4
        g2 expect #6
        g2 send 9
        g2 expect #11 (?P<h>H:[^\\x00]*)\\x00pos
        g2 send 25 $h|broken
        g2 send 9
        g expect #14
        g2 expect #10
        g2 send 14 $h
        g2 send 16 still here
        g2 expect #17 still here
    """,
    "queued jobs are refused when the daemon stops": """
        g send 7 pos||x
        g expect #8
        term
        g expect #14
        ended
    """,
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_front(name: str) -> None:
    play(SCENARIOS[name], fronts=FRONTS, known="")


def test_a_job_that_waits_too_long_is_answered_by_its_deadline() -> None:
    classes = [{"name": "poloha", "slo": 100.0, "deadline": 300.0, "idempotency": "idempotent"},
               {"name": "vyuctovani", "slo": 100.0, "deadline": 300.0, "idempotency": "at_most_once"}]
    play("""
        g send 7 bill|u|x
        g expect #8
        g expect #14
        count gearman.expired 1
        count requests.taken 0
    """, fronts=FRONTS, known="", settings={"grades": classes})


def test_a_thousand_submits_and_one_worker() -> None:
    jobs = "\n".join(f"g send {(7, 21, 33)[n % 3]} pos||{n}" for n in range(1000))
    worker = "\n".join(["g2 send 4\ng2 expect #6\ng2 send 9\ng2 expect #11 (?P<h>H:[^\\x00]*)\\x00pos\n"
                        "g2 send 13 $h|ok"] * 1000)
    play(f"{jobs}\ng2 send 1 pos\n{worker}\ncount requests.served 1000", fronts=FRONTS, known="",
         settings={"grades": [{"name": "poloha", "slo": 500.0, "deadline": 60_000.0, "idempotency": "idempotent"},
                              {"name": "vyuctovani", "slo": 500.0, "deadline": 60_000.0}]})
