"""What callers and logs are told of how a request went."""

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
from bramleybeam.gateway import _attempt as outcomes
from bramleybeam.gateway._job import Job
from bramleybeam.relay import CallerConnection

_SOON_S: Final = 0.5


def pass_failure(job: Job, failed: outcomes.FailedReply) -> None:
    """Pass on the failure of a run, or break off a stream."""
    if job.connection.response_started:
        job.connection.abort_response()
    else:
        job.connection.respond(failed.status, failed.headers, failed.body)


def failure_of(outcome: outcomes.Outcome) -> Failure:
    """Tell the retry decision what became of an attempt."""
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
    """Return what a log line tells of an attempt; times in seconds."""
    return {
        'request': job.facts.request_id,
        'route': job.route.name,
        'replica': replica.name,
        'model': job.facts.model,
        'adapter': job.facts.adapter,
        'sends': job.sends,
        'outcome': type(outcome).__name__,
        'detail': getattr(outcome, 'reason', getattr(outcome, 'status', '')),
        'waited_s': _since(job, job.sent_at),
        'first_event_s': _since(job, job.first_event_at),
        'events': job.events,
        'longest_gap_s': round(job.longest_gap_s, 3),
        'age_s': _since(job, asyncio.get_running_loop().time()),
    }


def _since(job: Job, moment: float) -> float | None:
    """Return the seconds from a request's arrival to a moment, if it came."""
    return round(moment - job.received_at, 3) if moment else None


def refuse_unfinished(job: Job, if_run: ErrorKind) -> Refusal:
    """Refuse a request that isn't sent again.

    ``if_run`` is the kind where it may have run, its outcome unknown.
    """
    if job.runs:
        return refuse(if_run, execution=Execution.OUTCOME_UNKNOWN)
    return refuse(ErrorKind.TARGET_UNREACHABLE, retry_after=_SOON_S)


def answer_refusal(
    request_id: str,
    connection: CallerConnection,
    refusal: Refusal,
) -> None:
    """Answer with a refusal of the system's own."""
    body = f'{refusal.message} {refusal.remedy}\n'.encode()
    headers = platform.refusal_headers(request_id, refusal.retry_after)
    connection.respond(refusal.status, headers, body)
