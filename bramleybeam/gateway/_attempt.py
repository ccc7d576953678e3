"""One send of a request to one replica, and what became of it."""

from collections.abc import Callable
from typing import Final

import attrs
import structlog

from bramleybeam import platform
from bramleybeam.catalog import Replica, RequestKind
from bramleybeam.decisions import is_patient
from bramleybeam.gateway._job import Job
from bramleybeam.gateway._stream import EventSplitter
from bramleybeam.relay import (
    BrokenReplyError,
    Headers,
    PeerCall,
    ReplyHead,
    open_call,
)

_CONNECT_TIMEOUT_S: Final = 0.3
_MAX_BODY_BYTES: Final = 1 << 24
_SERVER_ERROR: Final = 500
_OK: Final = 200
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
        on_first_event: Callable[[], None],
    ) -> None:
        """Store what goes where, and whom the first event is told to."""
        self._on_first_event = on_first_event
        self._job = job
        self._replica = replica

    async def run(self, time_left_s: float) -> Outcome:
        """Send the request once; its caller bounds the time."""
        try:
            call = await open_call(self._replica.address, _CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            return NotArrived(repr(error))
        try:
            return await self._exchange(call, time_left_s)
        except BrokenReplyError as error:
            return Lost(str(error))
        finally:
            call.close()

    async def _exchange(self, call: PeerCall, time_left_s: float) -> Outcome:
        job = self._job
        request = job.request
        terms = platform.SendTerms(
            self._replica,
            time_left_s,
            urgency_of(job),
            job.last_event,
        )
        try:
            call.send(
                b'%s %s HTTP/1.1' % (request.method, request.target),
                platform.outgoing_headers(request, terms),
                request.body,
            )
        except BrokenReplyError as error:
            return NotArrived(str(error))
        job.sends += 1
        job.runs += 1
        head = await call.read_head()
        facts = platform.describe_reply(head, job.facts.request_id)
        if not facts.is_own:
            return Lost('the answer belongs to another request')
        if facts.never_ran:
            job.runs -= 1
            return NotRun(facts.status, facts.is_misdirected)
        if job.route.kind == RequestKind.STREAMING and facts.status == _OK:
            return await self._pass_stream(call, head)
        return await self._pass_whole(call, head)

    async def _pass_whole(self, call: PeerCall, head: ReplyHead) -> Outcome:
        body = await call.read_body(_MAX_BODY_BYTES)
        if head.status >= _SERVER_ERROR:
            return FailedReply(head.status, head.headers, body)
        if self._job.connection.answer_started:
            return Lost(f'a resumed stream was answered with {head.status}')
        self._job.connection.respond(head.status, head.headers, body)
        return Delivered(head.status)

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
            job.last_event = splitter.last_id
        if splitter.has_rest:
            return Lost('the stream ended within an event')
        if not connection.answer_started:
            connection.start(head.status, head.headers)
        connection.finish()
        return Delivered(head.status)


def urgency_of(job: Job) -> int | None:
    """Return the urgency for an engine, 0 first; ``None`` elsewhere."""
    if job.service.engine is None:
        return None
    yields = is_patient(job.route)
    return min(_URGENCIES, 2 * job.route.priority + 2 * yields)
