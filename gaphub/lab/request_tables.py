"""Tables over the requests of a fleet: how they ended, how long they took, and whether workers held their keys.

The records of ``request_records`` are read once, one at a time.  Only counts, histograms and the most recent keys
of each worker are kept, so memory does not grow with the number of requests.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from heapq import heappop, heappush
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from .request_records import Call, RequestRecord

LATE_CALL_MS = 300.0  # so long after its client left, a request must start no more calls
REORDER_WINDOW_MS = 60_000.0  # calls of longer requests may be evaluated out of order for their worker's keys
CLOCK_TOLERANCE_MS = 1_000.0  # largest difference between the schedulers' clocks
MAX_KEYS_PER_WORKER = 4_096  # kept in memory, even if a worker is assumed to keep all
MAX_RECORDED_MS = 600_000  # longer times are recorded as this
PERCENTILES = (10.0, 50.0, 90.0, 99.0)
WAIT_PERCENTILES = (50.0, 90.0)


class KeyState(Enum):
    """Whether a worker had run a job of the same key, by the calls of all schedulers to it."""

    NONE = "-"  # the request has no key
    MET = "met"  # among the worker's most recent keys, since its process started
    NEW = "new"


class SentCall(NamedTuple):
    """A call and its request."""

    record: RequestRecord
    call: Call

    @property
    def started_at(self) -> float:
        """Unix time in ms at which the worker started the job; of the sending, where no start was reported."""
        return self.record.received_at + max(self.call.sent_after, self.call.started)


def order_by_start(records: Iterable[RequestRecord]) -> Iterator[SentCall]:
    """Every call that ran, ordered by when the worker started it."""
    heap: list[tuple[float, int, SentCall]] = []
    serial = 0
    for record in records:
        while heap and heap[0][0] < record.finished_at - REORDER_WINDOW_MS:
            yield heappop(heap)[2]
        for call in record.calls:
            if call.ran:
                sent = SentCall(record, call)
                heappush(heap, (sent.started_at, serial, sent))
                serial += 1
    while heap:
        yield heappop(heap)[2]


class WorkerKeys:
    """The most recent keys of one worker, by the calls of all schedulers."""

    def __init__(self, max_keys: int) -> None:
        self._max_keys = max_keys or MAX_KEYS_PER_WORKER
        self._keys: OrderedDict[str, None] = OrderedDict()
        self._process_started = 0.0

    def add(self, key: str, process_started: float) -> KeyState:
        """Record that the worker starts a job of this key; returns whether the key was held.

        ``process_started``: Unix time in ms at which the worker's process started.
        """
        if process_started > self._process_started + CLOCK_TOLERANCE_MS:
            self._process_started = process_started  # a new process: its keys are lost
            self._keys.clear()
        state = KeyState.MET if key in self._keys else KeyState.NEW
        self._keys[key] = None
        self._keys.move_to_end(key)
        if len(self._keys) > self._max_keys:
            self._keys.popitem(last=False)
        return state


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_RECORDED_MS, 3)


def _record_ms(histogram: HdrHistogram, ms: float) -> None:
    histogram.record_value(min(MAX_RECORDED_MS, max(1, round(ms))))


@dataclass(slots=True)
class ServedTimes:
    """Histograms of the times of served requests."""

    answer: HdrHistogram = field(default_factory=_histogram)  # from receiving the request to its answer
    # From receiving the request to the first byte of the call that served it.
    byte: HdrHistogram = field(default_factory=_histogram)
    # From that byte to the start of the job, where workers report it.
    start: HdrHistogram = field(default_factory=_histogram)
    run: HdrHistogram = field(default_factory=_histogram)  # from the start, or else from that byte, to the answer

    def add(self, record: RequestRecord, call: Call) -> None:
        """Record the times of one request."""
        _record_ms(self.answer, record.answered_after)
        _record_ms(self.byte, call.first_byte_sent)
        if call.started >= 0.0:
            _record_ms(self.start, call.started - call.first_byte_sent)
        _record_ms(self.run, call.ended_at - max(call.started, call.first_byte_sent))

    def row(self) -> list[str]:
        """The number of requests, and percentiles of each time."""
        return [str(self.answer.get_total_count()),
                *(str(self.answer.get_value_at_percentile(p)) for p in PERCENTILES),
                *(str(h.get_value_at_percentile(p)) if h.get_total_count() else "-"
                  for h in (self.byte, self.start, self.run) for p in WAIT_PERCENTILES)]


class Group(NamedTuple):
    """Requests that share a row: by class, kind and age of the worker that served them, and key state."""

    class_name: str
    kind: str
    young: bool
    key: KeyState


class RequestTables:
    """All tables, computed in one pass over a fleet's requests."""

    def __init__(self, young_ms: float, max_keys: int = 0) -> None:
        """``young_ms``: below this age a worker is young; ``max_keys``: keys that a worker keeps, 0: all."""
        self.young_ms = young_ms
        self.clients_left = self.called_after_leaving = 0
        self._keys_by_worker: defaultdict[str, WorkerKeys] = defaultdict(lambda: WorkerKeys(max_keys))
        self._endings: Counter[tuple[str, str, str, str]] = Counter()
        self._young_endings: Counter[tuple[str, str, str, str]] = Counter()
        self._requests_by_class: Counter[str] = Counter()
        self._times: defaultdict[Group, ServedTimes] = defaultdict(ServedTimes)
        self._calls_by_key: Counter[tuple[str, KeyState]] = Counter()

    def add_all(self, records: Iterable[RequestRecord]) -> RequestTables:
        """Add a fleet's requests, which must come in the order in which they were finished."""
        for sent in order_by_start(self._counted(records)):
            self._add_call(sent)
        return self

    def _counted(self, records: Iterable[RequestRecord]) -> Iterator[RequestRecord]:
        for record in records:
            self._add_record(record)
            yield record

    def _add_record(self, record: RequestRecord) -> None:
        fields = record.fields
        row = fields.get("class", ""), fields.get("slots", ""), record.end, record.outcomes()
        self._endings[row] += 1
        self._young_endings[row] += record.called_young_worker(self.young_ms)
        self._requests_by_class[row[0]] += 1
        if "gone" in fields:
            self.clients_left += 1
            late_from = float(fields["gone"]) + LATE_CALL_MS
            self.called_after_leaving += any(c.first_byte_sent >= late_from for c in record.calls)

    def _add_call(self, sent: SentCall) -> None:
        record, call = sent
        key = KeyState.NONE
        if "key" in record.fields:
            process_started = record.received_at + call.sent_after - call.age
            key = self._keys_by_worker[call.worker].add(record.fields["key"], process_started)
        name = record.fields.get("class", "")
        self._calls_by_key[name, key] += 1
        if record.served_by is call:
            young = 0.0 < call.age < self.young_ms
            self._times[Group(name, str(call.kind), young, key)].add(record, call)

    def ending_rows(self) -> list[list[str]]:
        """Rows of text: class, slots, ending and reason, outcomes of the calls, number, share of the class, young.

        Young is the number of these requests that had a call to a young worker.
        """
        rows = [["class", "slots", "end", "calls", "requests", "share", "young"]]
        for row, n in sorted(self._endings.items(), key=lambda item: (item[0][0], -item[1])):
            rows.append(
                [*row, str(n), f"{n / self._requests_by_class[row[0]]:.3f}", str(self._young_endings[row])])
        return rows

    def time_rows(self) -> list[list[str]]:
        """Rows of text: class, kind and age of the worker, key state, number served, percentiles in ms."""
        waits = [f"{name}_p{p:g}" for name in ("byte", "start", "run") for p in WAIT_PERCENTILES]
        rows = [["class", "kind", "worker", "key", "served", *(f"p{p:g}" for p in PERCENTILES), *waits]]
        for group, times in sorted(self._times.items(), key=lambda item: (*item[0][:3], item[0].key.value)):
            age = "young" if group.young else "old"
            rows.append([group.class_name, group.kind, age, group.key.value, *times.row()])
        return rows

    def histogram_rows(self, bucket_ms: int) -> list[list[str]]:
        """Rows of text: class, key state, start of the bucket in ms, requests answered in that bucket."""
        counts: Counter[tuple[str, str, int]] = Counter()
        for group, times in self._times.items():
            for item in times.answer.get_recorded_iterator():
                at = item.value_iterated_to // bucket_ms * bucket_ms
                counts[group.class_name, group.key.value, at] += item.count_added_in_this_iter_step
        rows = [["class", "key", "from_ms", "served"]]
        return rows + [[name, key, str(at), str(n)] for (name, key, at), n in sorted(counts.items())]

    def key_rows(self) -> list[list[str]]:
        """Rows of text: class, key state, number of calls that ran, their share of the class's calls."""
        rows = [["class", "key", "calls", "share"]]
        calls_by_class: Counter[str] = Counter()
        for (name, _), n in self._calls_by_key.items():
            calls_by_class[name] += n
        for (name, state), n in sorted(self._calls_by_key.items(),
                                       key=lambda item: (item[0][0], item[0][1].value)):
            rows.append([name, state.value, str(n), f"{n / calls_by_class[name]:.3f}"])
        return rows
