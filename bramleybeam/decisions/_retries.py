"""Decides whether a failed attempt is retried or its request refused."""

import random
from typing import Final

import attrs

from bramleybeam.errors import ErrorKind, Execution, Refusal, refuse

# Attempts after which a request whose attempt was lost is refused.
MAX_ATTEMPTS: Final = 8
# Base and longest upper bound, in seconds, of the exponential backoff.
_BACKOFF_S: Final = 0.02
_BACKOFF_LIMIT_S: Final = 0.5


@attrs.frozen
class RefusedByAgent:
    """The agent or the replica refused the attempt, which did not run.

    ``retry_after`` is in seconds.
    """

    kind: ErrorKind
    message: str
    retry_after: float = 0


@attrs.frozen
class NeverArrived:
    """The attempt certainly never reached the agent or the replica."""


@attrs.frozen
class AttemptLost:
    """The attempt may have run; its outcome is unknown.

    ``crashed`` is set if the upstream crashed.
    """

    message: str
    crashed: bool = False


Failure = RefusedByAgent | NeverArrived | AttemptLost


@attrs.frozen
class RetryAttempt:
    """Start another attempt after ``wait`` seconds."""

    wait: float


@attrs.frozen
class StopRetrying:
    """Answer the caller with ``refusal``."""

    refusal: Refusal


@attrs.frozen
class AttemptHistory:
    """State of a request when one of its attempts has failed.

    ``started`` is whether the caller has received a part of the answer,
    ``time_left`` the seconds left of the queue time limit, and
    ``may_retry`` whether a lost attempt may be repeated, provided that the
    request is idempotent.
    """

    attempts: int
    idempotent: bool
    started: bool
    time_left: float
    may_retry: bool


def decide_retry(
    failure: Failure,
    history: AttemptHistory,
    rng: random.Random,
) -> RetryAttempt | StopRetrying:
    """Return whether to start another attempt or to refuse the request.

    A request that is not idempotent is retried only if it certainly did not
    run. A refusal states whether the request may have run.
    """
    match failure:
        case RefusedByAgent():
            return _after_refusal(failure, history, rng)
        case NeverArrived():
            return _after_not_run(history, rng)
        case AttemptLost():
            return _after_loss(failure, history, rng)


def _after_refusal(
    failure: RefusedByAgent,
    history: AttemptHistory,
    rng: random.Random,
) -> RetryAttempt | StopRetrying:
    execution = _execution_of(history)
    if failure.kind == ErrorKind.UPSTREAM_REFUSED:
        return StopRetrying(refuse(failure.kind, failure.message, execution))
    if history.time_left <= 0 and not history.started:
        return StopRetrying(
            refuse(
                failure.kind,
                failure.message,
                execution,
                retry_after=max(failure.retry_after, 1),
            ),
        )
    return RetryAttempt(_backoff(history.attempts, rng))


def _after_not_run(
    history: AttemptHistory,
    rng: random.Random,
) -> RetryAttempt | StopRetrying:
    if history.time_left <= 0 and not history.started:
        return StopRetrying(
            refuse(
                ErrorKind.NO_READY_UPSTREAM,
                'The attempt never reached an upstream.',
                _execution_of(history),
                retry_after=1,
            ),
        )
    return RetryAttempt(_backoff(history.attempts, rng))


def _after_loss(
    failure: AttemptLost,
    history: AttemptHistory,
    rng: random.Random,
) -> RetryAttempt | StopRetrying:
    can_retry = history.idempotent and history.may_retry
    if can_retry and history.attempts < MAX_ATTEMPTS:
        return RetryAttempt(_backoff(history.attempts, rng))
    return StopRetrying(
        refuse(
            ErrorKind.UPSTREAM_LOST,
            failure.message,
            Execution.OUTCOME_UNKNOWN,
        ),
    )


def _execution_of(history: AttemptHistory) -> Execution:
    if history.started:
        return Execution.OUTCOME_UNKNOWN
    return Execution.NOT_RUN


def _backoff(attempts: int, rng: random.Random) -> float:
    max_backoff_s = min(_BACKOFF_LIMIT_S, _BACKOFF_S * 2**attempts)
    return rng.uniform(0, max_backoff_s)
