"""Owns the tables over a fleet's requests: where they ended, how long they took, whether keys were there.

It takes the stories of ``requests`` one at a time, once, and holds counts, histograms and, of each worker, its
last keys: its memory does not grow with the number of requests.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from heapq import heappop, heappush
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from .requests import Call, RequestRecord

LATE_CALL_MS = 300.0  # after its client left nothing of a request may begin from then on
REORDER_WINDOW_MS = 60_000.0  # a request that is out for longer may find its worker's keys told out of order
CLOCK_TOLERANCE_MS = 1_000.0  # by how much the schedulers' clocks may differ
MAX_KEYS_PER_WORKER = 4_096  # keys of one worker that are held at once, however many it is taken to keep
MAX_RECORDED_MS = 600_000  # a longer time counts as this
PERCENTILES = (10.0, 50.0, 90.0, 99.0)
WAIT_PERCENTILES = (50.0, 90.0)


class KeyState(Enum):
    """Whether a worker held what a job's key needs, by the calls of all schedulers to that worker."""

    NONE = "-"  # the request has no key
    MET = "met"  # one of its last keys, since its process started
    NEW = "new"


class SentCall(NamedTuple):
    """A call, and the request that it is of."""

    record: RequestRecord
    call: Call

    @property
    def ran_from(self) -> float:
        """Unix time in ms at which the worker began it, as far as the line tells."""
        return self.record.received_at + max(self.call.sent_after, self.call.started)


def order_by_start(records: Iterable[RequestRecord]) -> Iterator[SentCall]:
    """Every call that ran, by the moment at which its worker began it."""
    waiting: list[tuple[float, int, SentCall]] = []
    serial = 0
    for record in records:
        while waiting and waiting[0][0] < record.finished_at - REORDER_WINDOW_MS:
            yield heappop(waiting)[2]
        for call in record.calls:
            if call.ran:
                sent = SentCall(record, call)
                heappush(waiting, (sent.ran_from, serial, sent))
                serial += 1
    while waiting:
        yield heappop(waiting)[2]


class WorkerKeys:
    """The last keys of one worker, across all schedulers."""

    def __init__(self, most: int) -> None:
        self._most = most or MAX_KEYS_PER_WORKER
        self._keys: OrderedDict[str, None] = OrderedDict()
        self._born = 0.0

    def take(self, key: str, born: float) -> KeyState:
        """Its process that started at a Unix time in ms begins a job of a key: whether it held it."""
        if born > self._born + CLOCK_TOLERANCE_MS:
            self._born = born  # another process
            self._keys.clear()
        found = KeyState.MET if key in self._keys else KeyState.NEW
        self._keys[key] = None
        self._keys.move_to_end(key)
        if len(self._keys) > self._most:
            self._keys.popitem(last=False)
        return found


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_RECORDED_MS, 3)


def _record_ms(histogram: HdrHistogram, ms: float) -> None:
    histogram.record_value(min(MAX_RECORDED_MS, max(1, round(ms))))


@dataclass(slots=True)
class ServedTimes:
    """The times of some served requests."""

    answer: HdrHistogram = field(default_factory=_histogram)  # from the taking of the request to its answer
    byte: HdrHistogram = field(default_factory=_histogram)  # to the first byte of the call that served it
    start: HdrHistogram = field(default_factory=_histogram)  # from that byte to its start, where workers tell it
    run: HdrHistogram = field(default_factory=_histogram)  # from the start, else that byte, to the answer

    def take(self, record: RequestRecord, call: Call) -> None:
        """Note one request."""
        _record_ms(self.answer, record.answered_after)
        _record_ms(self.byte, call.first_byte_sent)
        if call.started >= 0.0:
            _record_ms(self.start, call.started - call.first_byte_sent)
        _record_ms(self.run, call.ended_at - max(call.started, call.first_byte_sent))

    def row(self) -> list[str]:
        """How many, and the percentiles of each."""
        return [str(self.answer.get_total_count()),
                *(str(self.answer.get_value_at_percentile(p)) for p in PERCENTILES),
                *(str(h.get_value_at_percentile(p)) if h.get_total_count() else "-"
                  for h in (self.byte, self.start, self.run) for p in WAIT_PERCENTILES)]


class Group(NamedTuple):
    """Requests that are told of together: a class, and the kind of worker that served them."""

    class_name: str
    kind: str
    young: bool
    key: KeyState


class RequestTables:
    """All tables over one pass of a fleet's requests."""

    def __init__(self, young_ms: float, kept: int = 0) -> None:
        """``young_ms``: a worker that has run for less is young; ``kept``: keys that one keeps, 0: all."""
        self.young_ms = young_ms
        self.clients_left = self.called_after_leaving = 0
        self._kept: defaultdict[str, WorkerKeys] = defaultdict(lambda: WorkerKeys(kept))
        self._ends: Counter[tuple[str, str, str, str]] = Counter()
        self._young: Counter[tuple[str, str, str, str]] = Counter()
        self._whole: Counter[str] = Counter()
        self._times: defaultdict[Group, ServedTimes] = defaultdict(ServedTimes)
        self._sent: Counter[tuple[str, KeyState]] = Counter()

    def add_all(self, records: Iterable[RequestRecord]) -> RequestTables:
        """Take a fleet's requests in, in the order in which they were done with."""
        for sent in order_by_start(self._noted(records)):
            self._take_call(sent)
        return self

    def _noted(self, records: Iterable[RequestRecord]) -> Iterator[RequestRecord]:
        for record in records:
            self._take(record)
            yield record

    def _take(self, record: RequestRecord) -> None:
        fields = record.fields
        row = fields.get("class", ""), fields.get("slots", ""), record.end, record.outcomes()
        self._ends[row] += 1
        self._young[row] += record.called_young_worker(self.young_ms)
        self._whole[row[0]] += 1
        if "gone" in fields:
            self.clients_left += 1
            allowed = float(fields["gone"]) + LATE_CALL_MS
            self.called_after_leaving += any(c.first_byte_sent >= allowed for c in record.calls)

    def _take_call(self, sent: SentCall) -> None:
        record, call = sent
        key = KeyState.NONE
        if "key" in record.fields:
            born = record.received_at + call.sent_after - call.age
            key = self._kept[call.worker].take(record.fields["key"], born)
        name = record.fields.get("class", "")
        self._sent[name, key] += 1
        if record.served_by is call:
            young = 0.0 < call.age < self.young_ms
            self._times[Group(name, str(call.kind), young, key)].take(record, call)

    def ending_rows(self) -> list[list[str]]:
        """Rows of text: class, slots, end and why, the calls' outcomes, how many, their share, young.

        Young: how many of them had a call to a young worker.
        """
        rows = [["class", "slots", "end", "calls", "requests", "share", "young"]]
        for row, n in sorted(self._ends.items(), key=lambda item: (item[0][0], -item[1])):
            rows.append([*row, str(n), f"{n / self._whole[row[0]]:.3f}", str(self._young[row])])
        return rows

    def time_rows(self) -> list[list[str]]:
        """Rows of text: class, kind of worker, its age, its key; how many served, percentiles of times in ms."""
        waits = [f"{name}_p{p:g}" for name in ("byte", "start", "run") for p in WAIT_PERCENTILES]
        rows = [["class", "kind", "worker", "key", "served", *(f"p{p:g}" for p in PERCENTILES), *waits]]
        for group, times in sorted(self._times.items(), key=lambda item: (*item[0][:3], item[0].key.value)):
            age = "young" if group.young else "old"
            rows.append([group.class_name, group.kind, age, group.key.value, *times.row()])
        return rows

    def histogram_rows(self, bucket_ms: int) -> list[list[str]]:
        """Rows of text: class, key, from how many ms on, how many were answered in that bucket."""
        counts: Counter[tuple[str, str, int]] = Counter()
        for group, times in self._times.items():
            for item in times.answer.get_recorded_iterator():
                at = item.value_iterated_to // bucket_ms * bucket_ms
                counts[group.class_name, group.key.value, at] += item.count_added_in_this_iter_step
        rows = [["class", "key", "from_ms", "served"]]
        return rows + [[name, key, str(at), str(n)] for (name, key, at), n in sorted(counts.items())]

    def key_rows(self) -> list[list[str]]:
        """Rows of text: class, key, how many calls ran at such workers, their share of the class's."""
        rows = [["class", "key", "calls", "share"]]
        whole: Counter[str] = Counter()
        for (name, _), n in self._sent.items():
            whole[name] += n
        for (name, key), n in sorted(self._sent.items(), key=lambda item: (item[0][0], item[0][1].value)):
            rows.append([name, key.value, str(n), f"{n / whole[name]:.3f}"])
        return rows
