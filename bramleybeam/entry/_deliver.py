"""Chooses an upstream, dispatches to it, and relays its answer.

A failed attempt is followed by another where the retry decision allows it;
the answer goes on at the offset that the caller has.
"""

import asyncio
import json
import random
import time
from collections.abc import AsyncIterator
from typing import Final

import attrs
import structlog

from bramleybeam.decisions import (
    AttemptHistory,
    AttemptLost,
    Failure,
    GiveUp,
    NeverArrived,
    RefusedByAgent,
    TokenBucket,
    decide_retry,
    priority_of,
)
from bramleybeam.entry._choose import Chooser
from bramleybeam.entry._connections import (
    AttemptChannel,
    Connections,
    LinkGone,
)
from bramleybeam.entry._directory import Directory
from bramleybeam.entry._exchange import Ending, Exchange, Piece, Refusing
from bramleybeam.entry._quarantine import Quarantine
from bramleybeam.errors import ErrorKind
from bramleybeam.links import (
    Accepted,
    Cancel,
    Chunk,
    Credit,
    Dispatch,
    End,
    Failed,
    Link,
    LinkLost,
    Refused,
)
from bramleybeam.messages import (
    ATTACHED,
    NEVER_RAN,
    Attach,
    AttachReply,
    MessageError,
    Topic,
    decode,
    encode,
)

CREDIT_CHUNKS: Final = 64
CREDIT_BATCH: Final = 16
PROGRESS_LIMIT_S: Final = 20.0
REATTACH_LIMIT_S: Final = 6.0
RECOVERY_S: Final = 30.0
_FORWARDED: Final = frozenset(('content-type', 'accept', 'idempotency-key'))
_HOLD_OFF_S: Final = 0.3
_WAIT_STEP_S: Final = 0.25
_RETRY_RATE: Final = 5
_RETRY_BURST: Final = 100
_log = structlog.get_logger('deliver')


class _AttemptFailed(Exception):  # noqa: N818
    def __init__(self, failure: Failure) -> None:
        super().__init__(str(failure))
        self.failure = failure


@attrs.define(eq=False)
class _Attempt:
    """One attempt on the way: where it went and what was heard of it."""

    channel: AttemptChannel
    process: str
    incarnation: str
    accepted: bool = False
    taken: int = 0
    started_at: float = attrs.field(factory=time.monotonic)


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
        self.reattached = 0
        self.retried = 0
        self._directory = directory
        self._connections = connections
        self._quarantine = quarantine
        self._rng = rng
        self._chooser = chooser
        self._budget = TokenBucket(_RETRY_RATE, _RETRY_BURST)

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
        except _AttemptFailed as failed:
            await self._recover(exchange, failed.failure)

    async def _attempt(
        self,
        exchange: Exchange,
    ) -> AsyncIterator[Piece | Ending]:
        candidate = await self._chooser.choose(exchange)
        view = self._directory.view(candidate.name)
        link = view.link
        if link is None or not link.is_open:
            raise _AttemptFailed(NeverArrived())
        exchange.attempts += 1
        exchange.upstreams.append(candidate.name)
        channel = self._connections.open_attempt(
            link,
            _make_dispatch(exchange),
        )
        attempt = _Attempt(
            channel,
            link.peer.process,
            link.peer.incarnation,
        )
        view.own += 1
        try:
            async for part in self._follow(exchange, attempt):
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

    async def _follow(
        self,
        exchange: Exchange,
        attempt: _Attempt,
    ) -> AsyncIterator[Piece | Ending]:
        while True:
            frame = await self._next_frame(attempt)
            match frame:
                case Accepted():
                    attempt.accepted = True
                case Chunk():
                    if self._is_expected(exchange, frame):
                        yield self._take_chunk(exchange, attempt, frame)
                case End():
                    ending = self._take_end(exchange, frame)
                    yield ending
                    return
                case LinkGone():
                    await self._reattach(exchange, attempt)
                case Refused() | Failed():
                    raise _AttemptFailed(_failure_of(frame))

    async def _next_frame(self, attempt: _Attempt) -> object:
        try:
            async with asyncio.timeout(PROGRESS_LIMIT_S):
                return await attempt.channel.frames.get()
        except TimeoutError:
            lost = AttemptLost(f'No progress for {PROGRESS_LIMIT_S} s.')
            raise _AttemptFailed(lost) from None

    def _is_expected(self, exchange: Exchange, chunk: Chunk) -> bool:
        if chunk.offset == exchange.offset:
            return True
        self._connections.dropped_frames += 1
        if chunk.offset > exchange.offset:
            raise _AttemptFailed(
                AttemptLost('A piece of the answer is missing.')
            )
        return False

    def _take_chunk(
        self,
        exchange: Exchange,
        attempt: _Attempt,
        chunk: Chunk,
    ) -> Piece:
        if not exchange.first_token_at:
            exchange.first_token_at = time.monotonic()
        exchange.offset += chunk.count
        if exchange.claimed:
            exchange.keep(chunk.body)
        attempt.taken += 1
        if attempt.taken == CREDIT_BATCH:
            attempt.taken = 0
            attempt.channel.link.send(
                Credit(
                    request_id=chunk.request_id,
                    attempt=chunk.attempt,
                    chunks=CREDIT_BATCH,
                ),
            )
        return Piece(chunk.body, chunk.count)

    def _take_end(self, exchange: Exchange, end: End) -> Ending:
        if end.offset != exchange.offset:
            raise _AttemptFailed(AttemptLost('The answer ended early.'))
        if not exchange.first_token_at:
            exchange.first_token_at = time.monotonic()
        exchange.ending = Ending(
            finish_reason=end.finish_reason,
            tokens=end.offset,
            prompt_tokens=end.prompt_tokens,
            cached_tokens=end.cached_tokens,
            status=end.status,
            content_type=end.headers,
        )
        return exchange.ending

    async def _reattach(self, exchange: Exchange, attempt: _Attempt) -> None:
        """Find the attempt again on a new connection to the same agent."""
        deadline = time.monotonic() + REATTACH_LIMIT_S
        while time.monotonic() < deadline:
            link = self._connections.link_to(attempt.process)
            if link is None:
                await asyncio.sleep(_WAIT_STEP_S / 5)
                continue
            reply = await self._ask(link, exchange, attempt)
            if reply is None:
                continue
            if reply.state == ATTACHED:
                self.reattached += 1
                return
            if reply.state == NEVER_RAN and not attempt.accepted:
                raise _AttemptFailed(NeverArrived())
            break
        raise _AttemptFailed(AttemptLost('The agent cannot be reached.'))

    async def _ask(
        self,
        link: Link,
        exchange: Exchange,
        attempt: _Attempt,
    ) -> AttachReply | None:
        channel = attempt.channel
        channel.link = link
        asked = Attach(
            channel.dispatch.request_id,
            channel.dispatch.attempt,
            exchange.offset,
            attempt.incarnation,
            time.monotonic() - attempt.started_at,
        )
        try:
            reply = await link.call(Topic.ATTACH, encode(asked))
            return decode(reply.body, AttachReply)
        except (LinkLost, TimeoutError, MessageError):
            return None

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
        if isinstance(decision, GiveUp):
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


def _make_dispatch(exchange: Exchange) -> Dispatch:
    return Dispatch(
        request_id=exchange.request_id,
        attempt=exchange.attempts,
        kind=exchange.kind,
        target=exchange.target,
        base_model=exchange.base_model,
        path=exchange.path,
        method=exchange.method,
        body=exchange.raw,
        headers=json.dumps(_forwarded_headers(exchange)),
        resume_from=exchange.offset,
        deadline_ms=int(exchange.time_left * 1000),
        class_name=exchange.work.name,
        idempotent=exchange.work.idempotent,
        traceparent=exchange.traceparent,
        credit=CREDIT_CHUNKS,
        priority=priority_of(exchange.work),
        alone=exchange.alone,
        fingerprint=exchange.fingerprint,
    )


def _forwarded_headers(exchange: Exchange) -> dict[str, str]:
    forwarded = {'x-request-id': exchange.request_id}
    if exchange.kind == 'service':
        forwarded.update(
            {
                name: text
                for name, text in exchange.headers.items()
                if name in _FORWARDED
            }
        )
    return forwarded


def _make_cancel(dispatch: Dispatch) -> Cancel:
    return Cancel(request_id=dispatch.request_id, attempt=dispatch.attempt)


def _failure_of(frame: Refused | Failed) -> Failure:
    if isinstance(frame, Refused):
        return RefusedByAgent(
            ErrorKind(frame.kind),
            frame.message,
            frame.retry_after_ms / 1000,
        )
    return AttemptLost(frame.message, frame.upstream_crashed)
