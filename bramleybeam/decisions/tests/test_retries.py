"""Tests of the decision between retry and refusal."""

import random

import attrs
import pytest

from bramleybeam.decisions import (
    AttemptHistory,
    AttemptLost,
    NeverArrived,
    RefusedByAgent,
    RetryAttempt,
    StopRetrying,
    decide_retry,
)
from bramleybeam.errors import ErrorKind, Execution

BUSY = RefusedByAgent(ErrorKind.NO_READY_UPSTREAM, 'busy')
WRONG = RefusedByAgent(ErrorKind.UPSTREAM_REFUSED, 'wrong')
LOST = AttemptLost('lost')
HISTORY = AttemptHistory(
    attempts=1, idempotent=True, started=False, time_left=1, may_retry=True
)


@pytest.mark.parametrize(
    ('failure', 'changes', 'execution'),
    [
        (BUSY, {}, None),
        (BUSY, {'idempotent': False}, None),
        (BUSY, {'time_left': 0}, Execution.NOT_RUN),
        (WRONG, {}, Execution.NOT_RUN),
        (NeverArrived(), {'idempotent': False}, None),
        (NeverArrived(), {'time_left': 0}, Execution.NOT_RUN),
        (LOST, {}, None),
        (LOST, {'idempotent': False}, Execution.OUTCOME_UNKNOWN),
        (LOST, {'may_retry': False}, Execution.OUTCOME_UNKNOWN),
        (LOST, {'attempts': 8}, Execution.OUTCOME_UNKNOWN),
        (LOST, {'started': True}, None),
        (WRONG, {'started': True}, Execution.OUTCOME_UNKNOWN),
    ],
)
def test_retry_or_refusal(failure, changes, execution):
    """A refusal states whether the request ran; ``None`` means a retry."""
    history = attrs.evolve(HISTORY, **changes)
    decision = decide_retry(failure, history, random.Random(1))
    if execution is None:
        assert isinstance(decision, RetryAttempt)
        assert 0 <= decision.wait <= 0.5
    else:
        assert isinstance(decision, StopRetrying)
        assert decision.refusal.execution == execution


def test_lost_non_idempotent_request_is_never_retried():
    """This holds for any number of attempts and any state of the answer."""
    for attempts in range(1, 9):
        for started in (False, True):
            history = attrs.evolve(
                HISTORY, idempotent=False, attempts=attempts, started=started
            )
            decision = decide_retry(LOST, history, random.Random(1))
            assert isinstance(decision, StopRetrying)
