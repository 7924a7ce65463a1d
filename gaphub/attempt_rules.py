"""The rules on repeating a request: whether a further attempt, or the client's own, may do harm.

Pure: no I/O, no clock.  They hold whoever decides where a request goes.
"""

from __future__ import annotations

from .interface import Effect, Group, Settings
from .messages import Call, Destination, Job


def may_repeat(settings: Settings, job: Job) -> bool:
    """Whether the client may try the request again without harm."""
    if settings.classes[job.class_index].effect == Effect.SAFE:
        return True
    return all(call.never_ran for call in job.calls)


def may_run_at(settings: Settings, job: Job, destination: Destination, now: float,
               but: Call | None = None) -> bool:
    """Whether a request may run at a destination, by what its calls so far, all but one, may have run."""
    cls = settings.classes[job.class_index]
    if cls.effect == Effect.SAFE:
        return True
    before = [call for call in job.calls if call is not but and not call.never_ran]
    if not before or cls.effect == Effect.UNSAFE:
        return not before
    first = min(call.sent_at for call in before)
    return _in_group(cls.group, before, destination) and now - first < cls.window_ms


def _in_group(group: Group, before: list[Call], destination: Destination) -> bool:
    """Whether a destination shares what it remembers of requests with all those of earlier calls."""
    listed = destination.listed
    others = [call.listed_at_send or call.destination.listed for call in before]
    if group == Group.ZONE:
        return all(other.zone == listed.zone for other in others)
    if group == Group.CELL:
        return all(other.cell == listed.cell for other in others)
    return group == Group.ALL
