"""Formats the log line of a finished request.  ``gaphub lab requests`` parses it."""

from __future__ import annotations

from .messages import Call, Job


def format_request(job: Job) -> str:
    """One request with its calls.  ``at`` is its receipt in ms of Unix time; all other times are ms since then."""
    calls = " ".join(_format_call(job, call) for call in job.calls)
    left_at = job.client_left_at() if job.client_left_at is not None and not job.answered_after_ms else 0.0
    gone = f"gone={_since_receipt(job, left_at)} " if left_at else ""
    key = f"key={job.key:x} " if job.key else ""
    return (f"id={job.ident} at={job.received_at:.0f} class={job.class_index} {key}slots={job.slots:g} "
            f"left={job.left_ms:.0f} end={job.final_status} after={job.answered_after_ms:.0f} "
            f"{gone}{calls}").rstrip()


def _format_call(job: Job, call: Call) -> str:
    """Worker, status, start + duration, the worker's age, its kind, start on the worker, first byte written."""
    listed = call.destination.listed
    status = call.status.name.lower() if call.status else "open"
    return (f"call={listed.name},{status},{call.sent_at - job.received_at:.0f}+{call.duration_ms:.0f},"
            f"{max(0.0, call.sent_at - listed.started_ms):.0f},{listed.kind},"
            f"{_since_receipt(job, call.started_at)},{_since_receipt(job, call.first_byte_at)}")


def _since_receipt(job: Job, at: float) -> str:
    return f"{at - job.received_at:.0f}" if at else "-"
