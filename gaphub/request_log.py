"""The line that the log holds of a request that is done with.  ``gaphub lab requests`` reads it."""

from __future__ import annotations

from .messages import Call, Job


def describe(job: Job) -> str:
    """One request from its taking, at Unix time ``at``, to its last outcome; other times in ms since then."""
    calls = " ".join(_describe_call(job, call) for call in job.calls)
    left = job.client_left_at() if job.client_left_at is not None and not job.answered_after_ms else 0.0
    gone = f"gone={_since(job, left)} " if left else ""
    key = f"key={job.key:x} " if job.key else ""
    return (f"id={job.ident} at={job.received_at:.0f} class={job.class_index} {key}slots={job.slots:g} "
            f"left={job.left_ms:.0f} end={job.final_status} after={job.answered_after_ms:.0f} "
            f"{gone}{calls}").rstrip()


def _describe_call(job: Job, call: Call) -> str:
    listed = call.destination.listed
    status = call.status.name.lower() if call.status else "open"
    return (f"call={listed.name},{status},{call.sent_at - job.received_at:.0f}+{call.duration_ms:.0f},"
            f"{max(0.0, call.sent_at - listed.started_ms):.0f},{listed.kind},"
            f"{_since(job, call.started_at)},{_since(job, call.first_byte_at)}")


def _since(job: Job, moment: float) -> str:
    return f"{moment - job.received_at:.0f}" if moment else "-"
