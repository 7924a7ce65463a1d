"""A recording Actions and an in-memory host that drives a Balancer in tests."""

from __future__ import annotations

from typing import Any

from gaphub.interface import ClassSettings, Effect, ListedWorker, ListKind, Request, Settings, Status
from gaphub.logic import Balancer

SAFE = ClassSettings(aim_ms=300.0, deadline_ms=5000.0, aim_stretch=2.0)
UNSAFE = ClassSettings(aim_ms=300.0, deadline_ms=5000.0, effect=Effect.UNSAFE)
KEYED = ClassSettings(aim_ms=300.0, deadline_ms=9000.0, effect=Effect.KEYED, window_ms=4000.0)


class Recorder:
    """Records the actions of a balancer."""

    def __init__(self) -> None:
        self.sends: list[tuple[int, int]] = []
        self.refused: list[int] = []
        self.retry_afters: list[float] = []
        self.failed: list[int] = []
        self.cancelled: list[tuple[int, int]] = []
        self.timers: list[tuple[float, int]] = []
        self.probes: list[int] = []
        self.peer_messages: list[tuple[int, bytes]] = []
        self.log_lines: list[str] = []
        self.watches = 0

    def send(self, request: int, worker: int, timeout_ms: float) -> None:
        self.sends.append((request, worker))

    def refuse(self, request: int, retry_after_ms: float) -> None:
        self.refused.append(request)
        self.retry_afters.append(retry_after_ms)

    def fail(self, request: int) -> None:
        self.failed.append(request)

    def cancel(self, request: int, attempt: int) -> None:
        self.cancelled.append((request, attempt))

    def set_timer(self, delay_ms: float, token: int) -> None:
        self.timers.append((delay_ms, token))

    def probe(self, worker: int) -> None:
        self.probes.append(worker)

    def close_idle(self, worker: int) -> None:
        raise AssertionError("never used")

    def send_to_peer(self, peer: int, data: bytes) -> None:
        assert len(data) <= 256
        self.peer_messages.append((peer, data))

    def log(self, text: str) -> None:
        self.log_lines.append(text)

    def watch(self, on: bool) -> None:
        self.watches += 1

    def fetch(self) -> None:
        raise AssertionError("never used")


def entry(
    worker: int, state: int = 1, kind: int = 0, cell: int = 0, zone: int = 0, ready_at: float = 0.0
) -> ListedWorker:
    return ListedWorker(state, kind, cell, 1.0, zone, worker, ready_at)


class World:
    """A balancer with its clock and its recorder."""

    def __init__(
        self,
        workers: int = 4,
        classes: tuple[ClassSettings, ...] = (SAFE,),
        seed: int = 1,
        entries: list[ListedWorker] | None = None,
        **settings: Any,
    ) -> None:
        self.now = 1000.0
        self.actions = Recorder()
        self.balancer = Balancer(self.now, Settings(classes=classes, **settings), seed, self.actions)
        self.balancer.on_workers(self.now, ListKind.CACHED, entries or [entry(i) for i in range(1, workers + 1)])
        self.next_id = 0

    def request(self, cls: int = 0, **more: Any) -> int:
        self.next_id += 1
        left = more.pop("left_ms", self.balancer.settings.classes[cls].deadline_ms)
        self.balancer.on_request(self.now, Request(self.next_id, cls, left, **more))
        return self.next_id

    def worker_of(self, request: int, attempt: int = -1) -> int:
        return [w for r, w in self.actions.sends if r == request][attempt]

    def attempts(self, request: int) -> int:
        return sum(r == request for r, _ in self.actions.sends)

    def outcome(
        self,
        request: int,
        attempt: int,
        status: Status,
        latency: float = 100.0,
        report: tuple[float, ...] = (),
    ) -> None:
        self.balancer.on_outcome(self.now, request, attempt, status, latency, status == Status.OK, report)

    def serve(self, request: int, latency: float = 100.0, report: tuple[float, ...] = ()) -> int:
        self.outcome(request, 0, Status.OK, latency, report)
        return self.worker_of(request, 0)

    def serve_last(self, request: int) -> None:
        """Let the latest attempt succeed."""
        self.outcome(request, self.attempts(request) - 1, Status.OK)

    def wait(self, ms: float, step: float = 5.0) -> None:
        """Advance the clock; the pending timer fires when due, as a host would fire it."""
        end = self.now + ms
        while self.now < end:
            self.now = min(end, self.now + step)
            if self.balancer.timer_due_at and self.balancer.timer_due_at <= self.now:
                self.balancer.on_timer(self.now, 1)
