"""Follows one attempt: its frames in order, and its way over lost links."""

import asyncio
import json
import time
from collections.abc import AsyncIterator
from typing import Final

import attrs

from bramleybeam.decisions import (
    AttemptLost,
    Failure,
    NeverArrived,
    RefusedByAgent,
    priority_of,
)
from bramleybeam.entry._connections import (
    AttemptChannel,
    Connections,
    LinkGone,
)
from bramleybeam.entry._exchange import Ending, Exchange, Piece
from bramleybeam.errors import ErrorKind
from bramleybeam.links import (
    Accepted,
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
_POLL_S: Final = 0.05
_FORWARDED: Final = frozenset(('content-type', 'accept', 'idempotency-key'))


class AttemptFailed(Exception):  # noqa: N818
    """Ends an attempt without an answer."""

    def __init__(self, failure: Failure) -> None:
        """Store what went wrong."""
        super().__init__(str(failure))
        self.failure = failure


@attrs.define(eq=False)
class Attempt:
    """One attempt on the way: where it went and what was heard of it."""

    channel: AttemptChannel
    process: str
    incarnation: str
    accepted: bool = False
    taken: int = 0
    started_at: float = attrs.field(factory=time.monotonic)


class AttemptFollower:
    """Passes on what fits the offset, and attaches again after a loss.

    Frames that do not begin where the caller's answer ends are dropped and
    counted; a connection that is lost or silent is replaced, and the attempt
    goes on at its offset.
    """

    def __init__(self, connections: Connections) -> None:
        """Store where connections are found."""
        self.reattached = 0
        self._connections = connections

    async def follow(
        self,
        exchange: Exchange,
        attempt: Attempt,
    ) -> AsyncIterator[Piece | Ending]:
        """Yield the answer; raises ``AttemptFailed`` when it does not end."""
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
                    raise AttemptFailed(_failure_of(frame))

    async def _next_frame(self, attempt: Attempt) -> object:
        try:
            async with asyncio.timeout(PROGRESS_LIMIT_S):
                return await attempt.channel.frames.get()
        except TimeoutError:
            lost = AttemptLost(f'No progress for {PROGRESS_LIMIT_S} s.')
            raise AttemptFailed(lost) from None

    def _is_expected(self, exchange: Exchange, chunk: Chunk) -> bool:
        if chunk.offset == exchange.offset:
            return True
        self._connections.dropped_frames += 1
        if chunk.offset > exchange.offset:
            raise AttemptFailed(
                AttemptLost('A piece of the answer is missing.')
            )
        return False

    def _take_chunk(
        self,
        exchange: Exchange,
        attempt: Attempt,
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
            raise AttemptFailed(AttemptLost('The answer ended early.'))
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

    async def _reattach(self, exchange: Exchange, attempt: Attempt) -> None:
        """Find the attempt again on a new connection to the same agent."""
        deadline = time.monotonic() + REATTACH_LIMIT_S
        while time.monotonic() < deadline:
            link = self._connections.link_to(attempt.process)
            if link is None:
                await asyncio.sleep(_POLL_S)
                continue
            reply = await self._ask(link, exchange, attempt)
            if reply is None:
                continue
            if reply.state == ATTACHED:
                self.reattached += 1
                return
            if reply.state == NEVER_RAN and not attempt.accepted:
                raise AttemptFailed(NeverArrived())
            break
        raise AttemptFailed(AttemptLost('The agent cannot be reached.'))

    async def _ask(
        self,
        link: Link,
        exchange: Exchange,
        attempt: Attempt,
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


def make_dispatch(exchange: Exchange) -> Dispatch:
    """Make the frame that gives the next attempt to an agent."""
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


def _failure_of(frame: Refused | Failed) -> Failure:
    if isinstance(frame, Refused):
        return RefusedByAgent(
            ErrorKind(frame.kind),
            frame.message,
            frame.retry_after_ms / 1000,
        )
    return AttemptLost(frame.message, frame.upstream_crashed)
