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

from .requests import Attempt, Story

LATER_MS = 300.0  # after its client left nothing of a request may begin from then on
HOLD_MS = 60_000.0  # a request that is out for longer may find its worker's keys told out of order
CLOCKS_MS = 1_000.0  # by how much the schedulers' clocks may differ
KEYS_MOST = 4_096  # keys of one worker that are held at once, however many it is taken to keep
LONGEST_MS = 600_000  # a longer time counts as this
PERCENTILES = (10.0, 50.0, 90.0, 99.0)
WAIT_PERCENTILES = (50.0, 90.0)


class Key(Enum):
    """Whether a worker held what a job's key needs, by the calls of all schedulers to that worker."""

    NONE = "-"  # the request has no key
    MET = "met"  # one of its last keys, since its process started
    NEW = "new"


class Sent(NamedTuple):
    """A call, and the request that it is of."""

    story: Story
    call: Attempt

    @property
    def ran_from(self) -> float:
        """Unix time in ms at which the worker began it, as far as the line tells."""
        return self.story.received + max(self.call.sent, self.call.started)


def in_order_of_start(stories: Iterable[Story]) -> Iterator[Sent]:
    """Every call that ran, by the moment at which its worker began it."""
    waiting: list[tuple[float, int, Sent]] = []
    serial = 0
    for story in stories:
        while waiting and waiting[0][0] < story.done - HOLD_MS:
            yield heappop(waiting)[2]
        for call in story.calls:
            if call.ran:
                sent = Sent(story, call)
                heappush(waiting, (sent.ran_from, serial, sent))
                serial += 1
    while waiting:
        yield heappop(waiting)[2]


class Kept:
    """The last keys of one worker, across all schedulers."""

    def __init__(self, most: int) -> None:
        self._most = most or KEYS_MOST
        self._keys: OrderedDict[str, None] = OrderedDict()
        self._born = 0.0

    def take(self, key: str, born: float) -> Key:
        """Its process that started at a Unix time in ms begins a job of a key: whether it held it."""
        if born > self._born + CLOCKS_MS:
            self._born = born  # another process
            self._keys.clear()
        found = Key.MET if key in self._keys else Key.NEW
        self._keys[key] = None
        self._keys.move_to_end(key)
        if len(self._keys) > self._most:
            self._keys.popitem(last=False)
        return found


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, LONGEST_MS, 3)


def _note(histogram: HdrHistogram, ms: float) -> None:
    histogram.record_value(min(LONGEST_MS, max(1, round(ms))))


@dataclass(slots=True)
class Times:
    """The times of some served requests."""

    answer: HdrHistogram = field(default_factory=_histogram)  # from the taking of the request to its answer
    byte: HdrHistogram = field(default_factory=_histogram)  # to the first byte of the call that served it
    start: HdrHistogram = field(default_factory=_histogram)  # from that byte to its start, where workers tell it
    run: HdrHistogram = field(default_factory=_histogram)  # from the start, else that byte, to the answer

    def take(self, story: Story, call: Attempt) -> None:
        """Note one request."""
        _note(self.answer, story.answered)
        _note(self.byte, call.begun)
        if call.started >= 0.0:
            _note(self.start, call.started - call.begun)
        _note(self.run, call.ended - max(call.started, call.begun))

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
    key: Key


class Answers:
    """All tables over one pass of a fleet's requests."""

    def __init__(self, young_ms: float, kept: int = 0) -> None:
        """``young_ms``: a worker that has run for less is young; ``kept``: keys that one keeps, 0: all."""
        self.young_ms = young_ms
        self.waiting = self.later = 0
        self._kept: defaultdict[str, Kept] = defaultdict(lambda: Kept(kept))
        self._ends: Counter[tuple[str, str, str, str]] = Counter()
        self._young: Counter[tuple[str, str, str, str]] = Counter()
        self._whole: Counter[str] = Counter()
        self._times: defaultdict[Group, Times] = defaultdict(Times)
        self._sent: Counter[tuple[str, Key]] = Counter()

    def take_all(self, stories: Iterable[Story]) -> Answers:
        """Take a fleet's requests in, in the order in which they were done with."""
        for sent in in_order_of_start(self._noted(stories)):
            self._take_call(sent)
        return self

    def _noted(self, stories: Iterable[Story]) -> Iterator[Story]:
        for story in stories:
            self._take(story)
            yield story

    def _take(self, story: Story) -> None:
        values = story.values
        row = values.get("class", ""), values.get("slots", ""), story.end, story.outcomes()
        self._ends[row] += 1
        self._young[row] += story.cold(self.young_ms)
        self._whole[row[0]] += 1
        if "gone" in values:
            self.waiting += 1
            allowed = float(values["gone"]) + LATER_MS
            self.later += any(c.begun >= allowed for c in story.calls)

    def _take_call(self, sent: Sent) -> None:
        story, call = sent
        key = Key.NONE
        if "key" in story.values:
            born = story.received + call.sent - call.age
            key = self._kept[call.worker].take(story.values["key"], born)
        name = story.values.get("class", "")
        self._sent[name, key] += 1
        if story.served_by is call:
            young = 0.0 < call.age < self.young_ms
            self._times[Group(name, str(call.kind), young, key)].take(story, call)

    def ends(self) -> list[list[str]]:
        """Rows of text: class, slots, end and why, the calls' outcomes, how many, their share, young.

        Young: how many of them had a call to a young worker.
        """
        rows = [["class", "slots", "end", "calls", "requests", "share", "young"]]
        for row, n in sorted(self._ends.items(), key=lambda item: (item[0][0], -item[1])):
            rows.append([*row, str(n), f"{n / self._whole[row[0]]:.3f}", str(self._young[row])])
        return rows

    def times(self) -> list[list[str]]:
        """Rows of text: class, kind of worker, its age, its key; how many served, percentiles of times in ms."""
        waits = [f"{name}_p{p:g}" for name in ("byte", "start", "run") for p in WAIT_PERCENTILES]
        rows = [["class", "kind", "worker", "key", "served", *(f"p{p:g}" for p in PERCENTILES), *waits]]
        for group, times in sorted(self._times.items(), key=lambda item: (*item[0][:3], item[0].key.value)):
            age = "young" if group.young else "old"
            rows.append([group.class_name, group.kind, age, group.key.value, *times.row()])
        return rows

    def shape(self, bucket_ms: int) -> list[list[str]]:
        """Rows of text: class, key, from how many ms on, how many were answered in that bucket."""
        counts: Counter[tuple[str, str, int]] = Counter()
        for group, times in self._times.items():
            for item in times.answer.get_recorded_iterator():
                at = item.value_iterated_to // bucket_ms * bucket_ms
                counts[group.class_name, group.key.value, at] += item.count_added_in_this_iter_step
        rows = [["class", "key", "from_ms", "served"]]
        return rows + [[name, key, str(at), str(n)] for (name, key, at), n in sorted(counts.items())]

    def keys(self) -> list[list[str]]:
        """Rows of text: class, key, how many calls ran at such workers, their share of the class's."""
        rows = [["class", "key", "calls", "share"]]
        whole: Counter[str] = Counter()
        for (name, _), n in self._sent.items():
            whole[name] += n
        for (name, key), n in sorted(self._sent.items(), key=lambda item: (item[0][0], item[0][1].value)):
            rows.append([name, key.value, str(n), f"{n / whole[name]:.3f}"])
        return rows
