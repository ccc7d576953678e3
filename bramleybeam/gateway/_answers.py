"""Answers to callers and log fields for the outcome of a request."""

import asyncio
from typing import Final

from bramleybeam import platform
from bramleybeam.catalog import Replica
from bramleybeam.decisions import (
    AttemptLost,
    Failure,
    NeverArrived,
    RefusedByAgent,
)
from bramleybeam.errors import ErrorKind, Execution, Refusal, refuse
from bramleybeam.gateway import _outcomes as outcomes
from bramleybeam.gateway._job import Job
from bramleybeam.gateway._lateness import find_lateness
from bramleybeam.relay import CallerConnection

# Retry-After of a request that was not run.
_RETRY_AFTER_S: Final = 0.5
# HTTP requires this header in an answer with status 401.
_CHALLENGE: Final = (b'WWW-Authenticate', b'Bearer')


def forward_failure(job: Job, failed: outcomes.FailedReply) -> None:
    """Send the replica's failure to the caller, or abort a begun stream."""
    if job.connection.response_started:
        job.connection.abort_response()
    else:
        job.connection.respond(failed.status, failed.headers, failed.body)


def classify_failure(outcome: outcomes.Outcome) -> Failure:
    """Return the failure of an attempt, as the retry decision takes it."""
    match outcome:
        case outcomes.NotArrived():
            return NeverArrived()
        case outcomes.NotRun(status=status):
            return RefusedByAgent(
                ErrorKind.NO_READY_UPSTREAM,
                f'The replica answered {status}.',
            )
        case outcomes.Lost(reason=reason):
            return AttemptLost(reason)
    return AttemptLost('the replica answered with a failure')


def describe_outcome(
    job: Job,
    replica: Replica,
    outcome: outcomes.Outcome,
) -> dict[str, object]:
    """Return the log fields of an attempt; times are in seconds.

    Delivered answers show where they lost time if they are late. Failed
    attempts show what requests have in common.
    """
    now = asyncio.get_running_loop().time()
    fields: dict[str, object] = {
        'request': job.facts.request_id,
        'route': job.route.name,
        'replica': replica.name,
        'model': job.facts.model,
        'adapter': job.facts.adapter,
        'sends': job.sends,
        'outcome': type(outcome).__name__,
        'detail': getattr(outcome, 'reason', getattr(outcome, 'status', '')),
        'first_sent_s': _seconds_after_arrival(job, job.first_sent_at),
        'waited_s': _seconds_after_arrival(job, job.sent_at),
        'first_event_s': _seconds_after_arrival(job, job.first_event_at),
        'events': job.events,
        'longest_gap_s': round(job.longest_gap_s, 3),
        'age_s': _seconds_after_arrival(job, now),
    }
    if isinstance(outcome, outcomes.Delivered):
        fields['lateness'] = find_lateness(job, now)
        fields['objective_s'] = job.route.objective_s
    else:
        fields['keys'] = list(job.suspect_keys)
        fields['parts'] = [part.name for part in job.facts.parts]
    return fields


def _seconds_after_arrival(job: Job, event_at: float) -> float | None:
    """Return the seconds from a request's arrival to an event.

    ``event_at`` is the time of the event, 0 if it did not happen.
    """
    return round(event_at - job.received_at, 3) if event_at else None


def refuse_unfinished(job: Job, if_run: ErrorKind) -> Refusal:
    """Return the refusal of a request that is not retried.

    ``if_run`` is its kind if the request may have run with unknown outcome.
    """
    if job.runs:
        return refuse(if_run, execution=Execution.OUTCOME_UNKNOWN)
    return refuse(ErrorKind.TARGET_UNREACHABLE, retry_after=_RETRY_AFTER_S)


def answer_refusal(
    request_id: str,
    connection: CallerConnection,
    refusal: Refusal,
) -> None:
    """Answer a caller with a refusal of this gateway."""
    body = f'{refusal.message} {refusal.remedy}\n'.encode()
    headers = platform.refusal_headers(request_id, refusal.retry_after)
    if refusal.kind == ErrorKind.UNAUTHENTICATED:
        headers = (*headers, _CHALLENGE)
    connection.respond(refusal.status, headers, body)
