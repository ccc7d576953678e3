"""Delivers an exchange: attempt by attempt, until its answer is whole.

A failed attempt is followed by another where the retry decision allows it;
the answer goes on at the offset that the caller has.
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
    AttemptFailed,
    AttemptFollower,
    make_dispatch,
)
from bramleybeam.entry._choose import Chooser
from bramleybeam.entry._connections import AttemptChannel, Connections
from bramleybeam.entry._directory import Directory
from bramleybeam.entry._exchange import Ending, Exchange, Piece, Refusing
from bramleybeam.entry._quarantine import Quarantine
from bramleybeam.links import Cancel, Dispatch

RECOVERY_S: Final = 30.0
_HOLD_OFF_S: Final = 0.3
_RETRY_RATE: Final = 5
_RETRY_BURST: Final = 100
_log = structlog.get_logger('deliver')


class Deliver:
    """Turns an admitted exchange into the pieces of its answer."""

    def __init__(
        self,
        directory: Directory,
        connections: Connections,
        quarantine: Quarantine,
        chooser: Chooser,
        rng: random.Random,
    ) -> None:
        """Store what is known of upstreams and how to reach them."""
        self.in_flight = 0
        self.retried = 0
        self._directory = directory
        self._connections = connections
        self._follower = AttemptFollower(connections)
        self._quarantine = quarantine
        self._rng = rng
        self._chooser = chooser
        self._budget = TokenBucket(_RETRY_RATE, _RETRY_BURST)

    @property
    def reattached(self) -> int:
        """Attempts that were attached again on another connection."""
        return self._follower.reattached

    async def stream(self, exchange: Exchange) -> AsyncIterator[Piece | Ending]:
        """Yield the answer; raises ``Refusing`` when there is none."""
        self.in_flight += 1
        try:
            while exchange.ending is None:
                async for part in self._attempt_in_turn(exchange):
                    yield part
            self._quarantine.clear(exchange)
        finally:
            self.in_flight -= 1

    async def _attempt_in_turn(
        self,
        exchange: Exchange,
    ) -> AsyncIterator[Piece | Ending]:
        """Make an attempt; suspects of a crash take turns, each alone."""
        exchange.alone = self._quarantine.is_suspect(exchange)
        if not exchange.alone:
            async for part in self._attempt_safely(exchange):
                yield part
            return
        async with self._quarantine.turn_of(exchange):
            async for part in self._attempt_safely(exchange):
                yield part

    async def _attempt_safely(
        self,
        exchange: Exchange,
    ) -> AsyncIterator[Piece | Ending]:
        try:
            async for part in self._attempt(exchange):
                yield part
        except AttemptFailed as failed:
            await self._recover(exchange, failed.failure)

    async def _attempt(
        self,
        exchange: Exchange,
    ) -> AsyncIterator[Piece | Ending]:
        candidate = await self._chooser.choose(exchange)
        view = self._directory.view(candidate.name)
        link = view.link
        if link is None or not link.is_open:
            raise AttemptFailed(NeverArrived())
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
        view.own += 1
        try:
            async for part in self._follower.follow(exchange, attempt):
                yield part
            view.note_service(time.monotonic() - attempt.started_at)
        finally:
            view.own -= 1
            self._close_attempt(exchange, channel)

    def _close_attempt(
        self,
        exchange: Exchange,
        channel: AttemptChannel,
    ) -> None:
        self._directory.signal()
        self._connections.close_attempt(channel)
        if exchange.ending is None:
            channel.link.send(_make_cancel(channel.dispatch))

    async def _recover(self, exchange: Exchange, failure: Failure) -> None:
        may_retry = True
        if isinstance(failure, AttemptLost):
            now = time.monotonic()
            may_retry = self._budget.take(now)
            exchange.recover_until = now + RECOVERY_S
        history = AttemptHistory(
            attempts=exchange.attempts,
            idempotent=exchange.work.idempotent,
            started=exchange.offset > 0,
            time_left=exchange.time_left,
            may_retry=may_retry,
        )
        refusal = self._quarantine.find_refusal(exchange)
        if refusal is not None:
            raise Refusing(refusal)
        decision = decide_retry(failure, history, self._rng)
        if isinstance(decision, StopRetrying):
            raise Refusing(decision.refusal)
        self.retried += 1
        if exchange.upstreams:
            view = self._directory.view(exchange.upstreams[-1])
            view.held_off_until = time.monotonic() + _HOLD_OFF_S
        _log.info(
            'attempt_failed',
            request=exchange.request_id,
            attempt=exchange.attempts,
            failure=str(failure),
        )
        await asyncio.sleep(decision.wait)


def _make_cancel(dispatch: Dispatch) -> Cancel:
    return Cancel(request_id=dispatch.request_id, attempt=dispatch.attempt)
