"""One send of a request to one replica, and what became of it."""

import asyncio
from collections.abc import Callable
from typing import Final

import attrs
import structlog

from bramleybeam import platform
from bramleybeam.catalog import Replica, RequestKind
from bramleybeam.gateway._job import Job
from bramleybeam.gateway._stream import EventSplitter
from bramleybeam.limits import is_latency_tolerant
from bramleybeam.relay import (
    BrokenReplyError,
    CallPool,
    Headers,
    PeerCall,
    ReplyHead,
)

_CONNECT_TIMEOUT_S: Final = 0.3
# Longest answer to another request that is read past.
_MAX_SKIPPED_BYTES: Final = 1 << 20
# Bytes of an answer that are held, so that a broken one can be repeated.
_HELD_BYTES: Final = 1 << 18
_SERVER_ERROR: Final = 500
_OK: Final = 200
# Statuses that promise a caller that nothing ran.
_PROMISES: Final = frozenset((408, 421, 429, 503))
_URGENCIES: Final = 9
_log = structlog.get_logger('attempts')


@attrs.frozen
class Delivered:
    """The caller has the whole answer."""

    status: int


@attrs.frozen
class NotArrived:
    """The request never left this process."""

    reason: str


@attrs.frozen
class NotRun:
    """The replica's word that it did not run the request."""

    status: int
    is_missing: bool


@attrs.frozen
class Lost:
    """The request may have run, and its answer is not to be had."""

    reason: str


@attrs.frozen
class FailedReply:
    """The replica ran the request and answered with a failure."""

    status: int
    headers: Headers
    body: bytes


Outcome = Delivered | NotArrived | NotRun | Lost | FailedReply


class Attempt:
    """Sends a job to a replica and passes its answer on."""

    def __init__(
        self,
        job: Job,
        replica: Replica,
        calls: CallPool,
        on_first_event: Callable[[], None],
    ) -> None:
        """Store what goes where, and whom the first event is told to."""
        self._calls = calls
        self._on_first_event = on_first_event
        self._job = job
        self._replica = replica

    async def run(self, time_left_s: float) -> Outcome:
        """Send the request once; its caller bounds the time."""
        peer = self._replica.incarnation
        address = self._replica.address
        try:
            call = await self._calls.take(peer, address, _CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            return NotArrived(repr(error))
        try:
            outcome = await self._exchange(call, time_left_s)
        except BrokenReplyError as error:
            call.close()
            return Lost(str(error))
        except BaseException:
            call.close()
            raise
        self._calls.give_back(peer, call)
        return outcome

    async def _exchange(self, call: PeerCall, time_left_s: float) -> Outcome:
        job = self._job
        request = job.request
        terms = platform.SendTerms(
            self._replica,
            time_left_s,
            engine_priority_of(job),
            job.last_event,
        )
        try:
            call.send(
                b'%s %s HTTP/1.1' % (request.method, request.target),
                platform.outgoing_headers(request, terms),
                request.body,
                keep=True,
            )
        except BrokenReplyError as error:
            return NotArrived(str(error))
        job.sends += 1
        job.runs += 1
        job.sent_at = _now()
        head, facts = await self._read_own_head(call)
        if facts.never_ran:
            job.runs -= 1
            return NotRun(facts.status, facts.is_misdirected)
        if head.status in _PROMISES and not facts.is_sealed:
            return Lost(f'{head.status} without a word on whether it ran')
        return await self._pass_on(call, head)

    async def _pass_on(self, call: PeerCall, head: ReplyHead) -> Outcome:
        job = self._job
        if job.route.kind == RequestKind.STREAMING and head.status == _OK:
            return await self._pass_stream(call, head)
        return await self._pass_whole(call, head)

    async def _read_own_head(
        self,
        call: PeerCall,
    ) -> tuple[ReplyHead, platform.ReplyFacts]:
        """Read the head of the answer, past late ones to other requests."""
        request_id = self._job.facts.request_id
        while True:
            head = await call.read_head()
            facts = platform.describe_reply(head)
            if facts.echoed_id == request_id:
                return head, facts
            if not facts.echoed_id and not call.answers:
                return head, facts
            _log.warning(
                'answer_of_another',
                request=request_id,
                echoed=facts.echoed_id,
                status=head.status,
            )
            if not facts.echoed_id or not call.answers:
                raise BrokenReplyError('an answer without this request id')
            await call.skip_answer(_MAX_SKIPPED_BYTES)

    async def _pass_whole(self, call: PeerCall, head: ReplyHead) -> Outcome:
        body, is_whole = await call.read_held(_HELD_BYTES)
        if head.status >= _SERVER_ERROR:
            if is_whole:
                return FailedReply(head.status, head.headers, body)
            return Lost(f'a failure of more than {_HELD_BYTES} bytes')
        if self._job.connection.answer_started:
            return Lost(f'a resumed stream was answered with {head.status}')
        if is_whole:
            self._job.connection.respond(head.status, head.headers, body)
        else:
            await self._pass_long(call, head, body)
        return Delivered(head.status)

    async def _pass_long(
        self,
        call: PeerCall,
        head: ReplyHead,
        begun: bytes,
    ) -> None:
        """Pass on an answer that is too long to be held, as it comes."""
        connection = self._job.connection
        connection.start(head.status, head.headers)
        await connection.write_piece(begun)
        while piece := await call.read_piece():
            await connection.write_piece(piece)
        connection.finish()

    async def _pass_stream(self, call: PeerCall, head: ReplyHead) -> Outcome:
        job = self._job
        connection = job.connection
        splitter = EventSplitter(job.last_event)
        while piece := await call.read_piece():
            events = splitter.feed(piece)
            if not events:
                continue
            self._on_first_event()
            if not connection.answer_started:
                connection.start(head.status, head.headers)
            await connection.write_piece(events)
            job.note_events(splitter.take_count(), splitter.last_id, _now())
        if splitter.has_rest:
            return Lost('the stream ended within an event')
        if not connection.answer_started:
            connection.start(head.status, head.headers)
        connection.finish()
        return Delivered(head.status)


def _now() -> float:
    return asyncio.get_running_loop().time()


def engine_priority_of(job: Job) -> int | None:
    """Return the urgency for an engine, 0 first; ``None`` elsewhere."""
    if job.service.engine is None:
        return None
    yields = is_latency_tolerant(job.route)
    return min(_URGENCIES, 2 * job.route.priority + 2 * yields)
