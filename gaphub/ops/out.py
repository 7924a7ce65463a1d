"""Owns who is out by hand: workers that operators have taken out, until they put them back.

Pure: no I/O, no clock.  Each word carries when it was said; of two about one worker the later holds, whoever
said it, so that two processes of one scheduler come to hold the same whatever order they hear each other in.
It must never guess: what cannot be read in full is not believed at all.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from .page import seal, unseal

MAX_OVERRIDES = 16_384  # words kept; beyond it the oldest that say "back" go first, and a further "out" is refused
FORMAT = "gaphub-out-1"


class Override(msgspec.Struct, frozen=True, array_like=True):
    """What was last said of a worker; ``at`` in ms of Unix time."""

    worker: str
    at: float
    out: bool


class _Page(msgspec.Struct, frozen=True):
    format: str
    scheduler: str
    words: list[Override]


class WorkerOverrides:
    """The words of one scheduler."""

    def __init__(self, scheduler: str) -> None:
        self.scheduler = scheduler
        self._entries: dict[str, Override] = {}

    def is_out(self, worker: str) -> bool:
        """Whether a worker is out."""
        word = self._entries.get(worker)
        return word is not None and word.out

    def record(self, now: float, worker: str, out: bool) -> bool:
        """An operator's word; False if there is no room to keep it."""
        before = self._entries.get(worker)
        if before is None and len(self._entries) >= MAX_OVERRIDES and not self._forget_one():
            return False
        # Later than whatever was said before, also where the clock was put back in between.
        self._entries[worker] = Override(worker, now if before is None else max(now, before.at + 1.0), out)
        return True

    def _forget_one(self) -> bool:
        back = [w for w in self._entries.values() if not w.out]
        if back:
            del self._entries[min(back, key=lambda w: w.at).worker]
        return bool(back)

    def merge(self, entries: Iterable[Override]) -> list[str]:
        """Take in another process's words; the workers that went out or came back by it."""
        changed = []
        for word in entries:
            before = self._entries.get(word.worker)
            if before is not None and (before.at, before.out) >= (word.at, word.out):
                continue
            if before is None and len(self._entries) >= MAX_OVERRIDES and not self._forget_one():
                continue
            self._entries[word.worker] = word
            if word.out != (before is not None and before.out):
                changed.append(word.worker)
        return changed

    def entries(self) -> list[Override]:
        """All words, by worker."""
        return [self._entries[w] for w in sorted(self._entries)]

    def encode(self) -> bytes:
        """A page: a line with the sum of what follows, then the words as JSON."""
        return seal(msgspec.json.encode(_Page(FORMAT, self.scheduler, self.entries())))

    def decode(self, data: bytes) -> list[Override] | None:
        """The words of a page; None if it is torn, of another format or of another scheduler."""
        page = unseal(data, _Page)
        if (page is None or page.format != FORMAT or page.scheduler != self.scheduler
                or len(page.words) > MAX_OVERRIDES):
            return None
        return page.words
