"""Retries of a dispatched request whose answer had begun."""

import random

import attrs
import pytest

from bramleybeam.decisions import AttemptLost, RefusedByAgent
from bramleybeam.documents import WorkClass
from bramleybeam.entry._attempt import AttemptFailedError
from bramleybeam.entry._dispatcher import Dispatcher
from bramleybeam.entry._exchange import (
    AnswerChunk,
    AnswerEnd,
    AnswerRestart,
    Exchange,
    RequestRefusedError,
)
from bramleybeam.errors import ErrorKind, Execution

FIRST = AnswerChunk(b'first', 5)
ERROR = AnswerChunk(b'error', 5)
END = AnswerEnd('stop', 5, status=500)
LOST = AttemptLost('the connection was lost')
WORK_CLASS = WorkClass('lookup', 1, 5, idempotent=True)


class ScriptedDispatcher(Dispatcher):
    """Runs attempts by a script of their parts and their failure."""

    def __init__(self, script):
        super().__init__(None, None, NoQuarantine(), None, random.Random(1))
        self._script = script

    async def _attempt(self, exchange):
        parts, failure = self._script.pop(0)
        exchange.attempts += 1
        for part in parts:
            match part:
                case AnswerChunk(count=count):
                    exchange.offset += count
                case AnswerEnd():
                    exchange.answer_end = part
            yield part
        if failure is not None:
            raise AttemptFailedError(failure)


class NoQuarantine:
    """A quarantine without suspects."""

    def is_suspect(self, exchange):
        return False

    def find_refusal(self, exchange):
        """Find none."""

    def clear(self, exchange):
        """Clear nothing."""


def make_exchange(kind='service'):
    exchange = Exchange('r1', kind, '/x', 'GET', {}, b'', {})
    exchange.work_class = WORK_CLASS
    return exchange


async def test_answer_of_a_service_begins_again_after_a_lost_attempt():
    """The error of the second attempt is not appended to the first answer."""
    exchange = make_exchange()
    dispatcher = ScriptedDispatcher([((FIRST,), LOST), ((ERROR, END), None)])
    assert await _collect(dispatcher, exchange) == [
        FIRST,
        AnswerRestart(),
        ERROR,
        END,
    ]
    assert exchange.offset == 5


async def test_stream_of_an_engine_continues_after_a_lost_attempt():
    exchange = make_exchange('inference')
    dispatcher = ScriptedDispatcher([((FIRST,), LOST), ((END,), None)])
    assert await _collect(dispatcher, exchange) == [FIRST, END]


@pytest.mark.parametrize('parts', [(), (FIRST,)])
async def test_refused_retry_does_not_claim_that_nothing_ran(parts):
    """The first attempt may have run, and only the second was refused."""
    exchange = make_exchange()
    exchange.work_class = attrs.evolve(WORK_CLASS, longest_wait_s=0.01)
    refused = RefusedByAgent(ErrorKind.UPSTREAM_REFUSED, 'wrong')
    dispatcher = ScriptedDispatcher([(parts, LOST), ((), refused)])
    with pytest.raises(RequestRefusedError) as caught:
        await _collect(dispatcher, exchange)
    assert caught.value.refusal.execution == Execution.OUTCOME_UNKNOWN


async def _collect(dispatcher, exchange):
    return [part async for part in dispatcher.stream(exchange)]
