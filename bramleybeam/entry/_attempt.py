"""Receives the answer of one attempt, also across lost connections."""

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
    LinkLostEvent,
)
from bramleybeam.entry._exchange import AnswerChunk, AnswerEnd, Exchange
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

# Flow control: chunks that an agent may send before it receives credit, and
# chunks that each further credit allows.
INITIAL_CREDIT_CHUNKS: Final = 64
CREDIT_BATCH_CHUNKS: Final = 16
# An attempt is lost when no frame arrives for this time.
PROGRESS_TIMEOUT_S: Final = 20.0
# An attempt is lost when it cannot be attached again within this time.
REATTACH_TIMEOUT_S: Final = 6.0
_LINK_POLL_S: Final = 0.05
# Headers of the caller that are forwarded to plain services.
_FORWARDED_HEADERS: Final = frozenset(
    ('content-type', 'accept', 'idempotency-key')
)


class AttemptFailedError(Exception):
    """Ends an attempt without a complete answer."""

    def __init__(self, failure: Failure) -> None:
        """Store the kind of failure."""
        super().__init__(str(failure))
        self.failure = failure


@attrs.define(eq=False)
class Attempt:
    """One attempt in progress.

    ``process`` and ``incarnation`` identify its agent; ``accepted`` means
    that the agent confirmed it. ``uncredited_chunks`` counts the chunks
    received since the last credit was sent. ``started_at`` is in monotonic
    seconds.
    """

    channel: AttemptChannel
    process: str
    incarnation: str
    accepted: bool = False
    uncredited_chunks: int = 0
    started_at: float = attrs.field(factory=time.monotonic)


class AttemptFollower:
    """Yields the answer of an attempt and reattaches after a lost connection.

    Chunks that do not start at the exchange's offset are dropped and counted.
    When the connection is lost or its peer stops responding, the attempt
    continues at its offset on a new connection to the same agent.
    """

    def __init__(self, connections: Connections) -> None:
        """Store the connections to the agents."""
        self.reattached = 0
        self._connections = connections

    async def follow(
        self,
        exchange: Exchange,
        attempt: Attempt,
    ) -> AsyncIterator[AnswerChunk | AnswerEnd]:
        """Yield the parts of the answer up to its end.

        Raises ``AttemptFailedError`` if the answer is refused or incomplete.
        """
        while True:
            frame = await self._next_frame(attempt)
            match frame:
                case Accepted():
                    attempt.accepted = True
                case Chunk():
                    if self._is_expected(exchange, frame):
                        yield self._accept_chunk(exchange, attempt, frame)
                case End():
                    answer_end = self._accept_end(exchange, frame)
                    yield answer_end
                    return
                case LinkLostEvent():
                    await self._reattach(exchange, attempt)
                case Refused() | Failed():
                    raise AttemptFailedError(_make_failure(frame))

    async def _next_frame(self, attempt: Attempt) -> object:
        try:
            async with asyncio.timeout(PROGRESS_TIMEOUT_S):
                return await attempt.channel.frames.get()
        except TimeoutError:
            loss = AttemptLost(f'No frame arrived for {PROGRESS_TIMEOUT_S} s.')
            raise AttemptFailedError(loss) from None

    def _is_expected(self, exchange: Exchange, chunk: Chunk) -> bool:
        if chunk.offset == exchange.offset:
            return True
        self._connections.dropped_frames += 1
        if chunk.offset > exchange.offset:
            raise AttemptFailedError(
                AttemptLost('A part of the answer is missing.')
            )
        return False

    def _accept_chunk(
        self,
        exchange: Exchange,
        attempt: Attempt,
        chunk: Chunk,
    ) -> AnswerChunk:
        if not exchange.first_token_at:
            exchange.first_token_at = time.monotonic()
        exchange.offset += chunk.count
        if exchange.has_claim:
            exchange.extend_answer_head(chunk.body)
        attempt.uncredited_chunks += 1
        if attempt.uncredited_chunks == CREDIT_BATCH_CHUNKS:
            attempt.uncredited_chunks = 0
            attempt.channel.link.send(
                Credit(
                    request_id=chunk.request_id,
                    attempt=chunk.attempt,
                    chunks=CREDIT_BATCH_CHUNKS,
                ),
            )
        return AnswerChunk(chunk.body, chunk.count)

    def _accept_end(self, exchange: Exchange, end: End) -> AnswerEnd:
        if end.offset != exchange.offset:
            raise AttemptFailedError(AttemptLost('The answer ended early.'))
        if not exchange.first_token_at:
            exchange.first_token_at = time.monotonic()
        exchange.answer_end = AnswerEnd(
            finish_reason=end.finish_reason,
            tokens=end.offset,
            prompt_tokens=end.prompt_tokens,
            cached_tokens=end.cached_tokens,
            status=end.status,
            content_type=end.headers,
        )
        return exchange.answer_end

    async def _reattach(self, exchange: Exchange, attempt: Attempt) -> None:
        """Attach the attempt to a new connection to the same agent.

        Raises ``AttemptFailedError`` if the agent cannot do so in time, or
        reports that the attempt never arrived.
        """
        deadline_at = time.monotonic() + REATTACH_TIMEOUT_S
        while time.monotonic() < deadline_at:
            link = self._connections.link_to(attempt.process)
            if link is None:
                await asyncio.sleep(_LINK_POLL_S)
                continue
            reply = await self._request_attach(link, exchange, attempt)
            if reply is None:
                continue
            if reply.state == ATTACHED:
                self.reattached += 1
                return
            if reply.state == NEVER_RAN and not attempt.accepted:
                raise AttemptFailedError(NeverArrived())
            break
        raise AttemptFailedError(AttemptLost('The agent cannot be reached.'))

    async def _request_attach(
        self,
        link: Link,
        exchange: Exchange,
        attempt: Attempt,
    ) -> AttachReply | None:
        channel = attempt.channel
        channel.link = link
        attach = Attach(
            channel.dispatch.request_id,
            channel.dispatch.attempt,
            exchange.offset,
            attempt.incarnation,
            time.monotonic() - attempt.started_at,
        )
        try:
            reply = await link.call(Topic.ATTACH, encode(attach))
            return decode(reply.body, AttachReply)
        except (LinkLost, TimeoutError, MessageError):
            return None


def make_dispatch(exchange: Exchange) -> Dispatch:
    """Return the frame that sends the next attempt to an agent."""
    return Dispatch(
        request_id=exchange.request_id,
        attempt=exchange.attempts,
        kind=exchange.kind,
        target=exchange.target,
        base_model=exchange.base_model,
        path=exchange.path,
        method=exchange.method,
        body=exchange.raw_body,
        headers=json.dumps(_forwarded_headers(exchange)),
        resume_from=exchange.offset,
        deadline_ms=int(exchange.time_left * 1000),
        class_name=exchange.assigned_class.name,
        idempotent=exchange.assigned_class.idempotent,
        traceparent=exchange.traceparent,
        credit=INITIAL_CREDIT_CHUNKS,
        priority=priority_of(exchange.assigned_class),
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
                if name in _FORWARDED_HEADERS
            }
        )
    return forwarded


def _make_failure(frame: Refused | Failed) -> Failure:
    if isinstance(frame, Refused):
        return RefusedByAgent(
            ErrorKind(frame.kind),
            frame.message,
            frame.retry_after_ms / 1000,
        )
    return AttemptLost(frame.message, frame.upstream_crashed)
