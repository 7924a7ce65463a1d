"""The rules on repeating a request: whether a further attempt, or a retry by the client, is harmless.

Pure: no I/O, no clock.  The core applies them to every outbound call, whatever the balancer decides.
"""

from __future__ import annotations

from .interface import Effect, Group, Settings
from .messages import Call, Destination, Job


def may_repeat(settings: Settings, job: Job) -> bool:
    """Whether a retry of the request by its client is harmless."""
    if settings.classes[job.class_index].effect == Effect.SAFE:
        return True
    return all(call.never_ran for call in job.calls)


def may_run_at(settings: Settings, job: Job, destination: Destination, now: float,
               excluding: Call | None = None) -> bool:
    """Whether a request may run at a destination, given where its calls so far may have run.

    ``excluding``: a call that is left out, as it is the one being checked.
    """
    cls = settings.classes[job.class_index]
    if cls.effect == Effect.SAFE:
        return True
    earlier = [call for call in job.calls if call is not excluding and not call.never_ran]
    if not earlier or cls.effect == Effect.UNSAFE:
        return not earlier
    first_at = min(call.sent_at for call in earlier)
    return _in_group(cls.group, earlier, destination) and now - first_at < cls.window_ms


def _in_group(group: Group, earlier: list[Call], destination: Destination) -> bool:
    """Whether a destination is in the group that drops repeats of all earlier calls."""
    listed = destination.listed
    others = [call.listed_at_send or call.destination.listed for call in earlier]
    if group == Group.ZONE:
        return all(other.zone == listed.zone for other in others)
    if group == Group.CELL:
        return all(other.cell == listed.cell for other in others)
    return group == Group.ALL
