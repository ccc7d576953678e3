"""Dispatches an exchange to upstreams until its answer is complete.

A failed attempt is followed by another if the retry decision allows it; the
answer continues at the offset that the caller has received.
"""

import asyncio
import random
import time
from collections.abc import AsyncIterator
from typing import Final

import structlog

from bramleybeam.decisions import (
    AttemptHistory,
    AttemptLost,
    Failure,
    NeverArrived,
    StopRetrying,
    TokenBucket,
    decide_retry,
)
from bramleybeam.entry._attempt import (
    Attempt,
    AttemptFailedError,
    AttemptFollower,
    make_dispatch,
)
from bramleybeam.entry._chooser import UpstreamChooser
from bramleybeam.entry._connections import AttemptChannel, Connections
from bramleybeam.entry._directory import Directory
from bramleybeam.entry._exchange import (
    AnswerChunk,
    AnswerEnd,
    AnswerPart,
    AnswerRestart,
    Exchange,
    RequestRefusedError,
)
from bramleybeam.entry._quarantine import Quarantine
from bramleybeam.links import Cancel, Dispatch

# Time that a request is given to recover from the loss of its upstream.
RECOVERY_TIMEOUT_S: Final = 30.0
# Time for which an upstream receives no requests after a failed attempt.
_FAILED_UPSTREAM_BACKOFF_S: Final = 0.3
# Retries after lost attempts that are allowed per second, and in a burst.
_RETRIES_PER_S: Final = 5
_MAX_RETRY_BURST: Final = 100
_log = structlog.get_logger('dispatcher')


class Dispatcher:
    """Sends an admitted exchange to upstreams and yields its answer.

    ``retried`` counts the retries of all exchanges.
    """

    def __init__(
        self,
        directory: Directory,
        connections: Connections,
        quarantine: Quarantine,
        chooser: UpstreamChooser,
        rng: random.Random,
    ) -> None:
        """Store the parts that choose, reach and judge upstreams."""
        self.in_flight = 0
        self.retried = 0
        self._directory = directory
        self._connections = connections
        self._follower = AttemptFollower(connections)
        self._quarantine = quarantine
        self._rng = rng
        self._chooser = chooser
        self._retry_budget = TokenBucket(_RETRIES_PER_S, _MAX_RETRY_BURST)

    @property
    def reattached(self) -> int:
        """Number of attempts that continued on another connection."""
        return self._follower.reattached

    async def stream(self, exchange: Exchange) -> AsyncIterator[AnswerPart]:
        """Yield the parts of the answer.

        Raises ``RequestRefusedError`` if it cannot be completed.
        """
        self.in_flight += 1
        try:
            while exchange.answer_end is None:
                async for part in self._run_attempt(exchange):
                    yield part
            self._quarantine.clear(exchange)
        except RequestRefusedError as error:
            refusal = exchange.correct_refusal(error.refusal)
            raise RequestRefusedError(refusal) from error
        finally:
            self.in_flight -= 1

    async def _run_attempt(
        self,
        exchange: Exchange,
    ) -> AsyncIterator[AnswerPart]:
        """Run an attempt; suspects of a crash run one at a time, alone."""
        exchange.alone = self._quarantine.is_suspect(exchange)
        if not exchange.alone:
            async for part in self._attempt_and_recover(exchange):
                yield part
            return
        async with self._quarantine.lock_for(exchange):
            async for part in self._attempt_and_recover(exchange):
                yield part

    async def _attempt_and_recover(
        self,
        exchange: Exchange,
    ) -> AsyncIterator[AnswerPart]:
        """Run an attempt; after a failure, wait to retry or raise a refusal."""
        try:
            async for part in self._attempt(exchange):
                yield part
        except AttemptFailedError as error:
            await self._handle_failure(exchange, error.failure)
            if exchange.restart_answer():
                yield AnswerRestart()

    async def _attempt(
        self,
        exchange: Exchange,
    ) -> AsyncIterator[AnswerChunk | AnswerEnd]:
        """Choose an upstream, send the request and yield the answer.

        Raises ``AttemptFailedError`` if the attempt fails.
        """
        candidate = await self._chooser.choose(exchange)
        view = self._directory.view(candidate.name)
        link = view.link
        if link is None or not link.is_open:
            raise AttemptFailedError(NeverArrived())
        exchange.attempts += 1
        exchange.upstreams.append(candidate.name)
        channel = self._connections.open_attempt(
            link,
            make_dispatch(exchange),
        )
        attempt = Attempt(
            channel,
            link.peer.process,
            link.peer.incarnation,
        )
        view.local_in_flight += 1
        try:
            async for part in self._follower.follow(exchange, attempt):
                yield part
            view.note_service_time(time.monotonic() - attempt.started_at)
        finally:
            view.local_in_flight -= 1
            self._close_attempt(exchange, channel)

    def _close_attempt(
        self,
        exchange: Exchange,
        channel: AttemptChannel,
    ) -> None:
        self._directory.notify_change()
        self._connections.close_attempt(channel)
        if exchange.answer_end is None:
            channel.link.send(_make_cancel(channel.dispatch))

    async def _handle_failure(
        self, exchange: Exchange, failure: Failure
    ) -> None:
        may_retry = True
        if isinstance(failure, AttemptLost):
            exchange.may_have_run = True
            now = time.monotonic()
            may_retry = self._retry_budget.take(now)
            exchange.recovery_deadline_at = now + RECOVERY_TIMEOUT_S
        history = AttemptHistory(
            attempts=exchange.attempts,
            idempotent=exchange.assigned_class.idempotent,
            started=exchange.offset > 0,
            time_left=exchange.time_left,
            may_retry=may_retry,
        )
        refusal = self._quarantine.find_refusal(exchange)
        if refusal is not None:
            raise RequestRefusedError(refusal)
        decision = decide_retry(failure, history, self._rng)
        if isinstance(decision, StopRetrying):
            raise RequestRefusedError(decision.refusal)
        self.retried += 1
        if exchange.upstreams:
            view = self._directory.view(exchange.upstreams[-1])
            view.backoff_until = time.monotonic() + _FAILED_UPSTREAM_BACKOFF_S
        _log.info(
            'attempt_failed',
            request=exchange.request_id,
            attempt=exchange.attempts,
            failure=str(failure),
        )
        await asyncio.sleep(decision.wait)


def _make_cancel(dispatch: Dispatch) -> Cancel:
    return Cancel(request_id=dispatch.request_id, attempt=dispatch.attempt)
