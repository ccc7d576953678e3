"""Decides what to do when an attempt fails: try elsewhere, or say so."""

import random
from typing import Final

import attrs

from bramleybeam.errors import ErrorKind, Execution, Refusal, refuse

MAX_ATTEMPTS: Final = 8
_BACKOFF_S: Final = 0.02
_BACKOFF_LIMIT_S: Final = 0.5


@attrs.frozen
class RefusedByAgent:
    """The agent proved that the attempt never ran."""

    kind: ErrorKind
    message: str
    retry_after: float = 0


@attrs.frozen
class NeverArrived:
    """The agent was asked, and the attempt had never reached it."""


@attrs.frozen
class AttemptLost:
    """The attempt may have run; how it ended is not known."""

    message: str
    crashed: bool = False


Failure = RefusedByAgent | NeverArrived | AttemptLost


@attrs.frozen
class RetryAttempt:
    """Make another attempt after ``wait`` seconds."""

    wait: float


@attrs.frozen
class StopRetrying:
    """Answer the caller with a refusal."""

    refusal: Refusal


@attrs.frozen
class AttemptHistory:
    """What is known when an attempt has failed.

    ``time_left`` is in seconds until the longest wait; ``started`` says
    whether the caller has received a part of the answer.
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
    """Decide between another attempt and a truthful refusal.

    A request that is not idempotent is tried again only on proof that it did
    not run.
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
    execution = _execution(history)
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
                _execution(history),
                retry_after=1,
            ),
        )
    return RetryAttempt(_backoff(history.attempts, rng))


def _after_loss(
    failure: AttemptLost,
    history: AttemptHistory,
    rng: random.Random,
) -> RetryAttempt | StopRetrying:
    may_repeat = history.idempotent and history.may_retry
    if may_repeat and history.attempts < MAX_ATTEMPTS:
        return RetryAttempt(_backoff(history.attempts, rng))
    return StopRetrying(
        refuse(
            ErrorKind.UPSTREAM_LOST,
            failure.message,
            Execution.OUTCOME_UNKNOWN,
        ),
    )


def _execution(history: AttemptHistory) -> Execution:
    if history.started:
        return Execution.OUTCOME_UNKNOWN
    return Execution.NOT_RUN


def _backoff(attempts: int, rng: random.Random) -> float:
    ceiling = min(_BACKOFF_LIMIT_S, _BACKOFF_S * 2**attempts)
    return rng.uniform(0, ceiling)
