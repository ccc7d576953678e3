"""One attempt to send a request to a replica."""

import asyncio
from typing import Final, Protocol

import structlog

from bramleybeam import platform
from bramleybeam.catalog import Replica, RequestKind, Service
from bramleybeam.gateway._answer_watch import AnswerWatch
from bramleybeam.gateway._job import Job
from bramleybeam.gateway._outcomes import (
    Delivered,
    FailedReply,
    Lost,
    NotArrived,
    NotRun,
    Outcome,
)
from bramleybeam.gateway._reply_match import (
    Answer,
    InvalidReply,
    ReplicaRefusal,
    match_reply,
)
from bramleybeam.gateway._stream import EventSplitter
from bramleybeam.limits import is_latency_tolerant
from bramleybeam.relay import (
    BrokenReplyError,
    ConnectionPool,
    InvalidReplyError,
    PeerConnection,
    ReplyHead,
)
from bramleybeam.timers import boot_clock

_CONNECT_TIMEOUT_S: Final = 0.3
# Longest body, in bytes, of a late answer to another request that is skipped.
_MAX_SKIPPED_BYTES: Final = 1 << 20
# An answer of up to this size is buffered before it is sent to the caller, so
# that the request can be retried if the answer breaks off.
_MAX_BUFFERED_BYTES: Final = 1 << 18
# Lowest HTTP status of a server error.
_MIN_SERVER_ERROR: Final = 500
_OK: Final = 200
# Largest value of an engine priority; 0 is the most urgent.
_LOWEST_PRIORITY: Final = 9
# Why an answer without a stated length does not count as complete.
_END_UNKNOWN: Final = (
    'the replica that wrote the answer was not seen alive after its end'
)
_log = structlog.get_logger('attempts')


class AttemptObserver(Protocol):
    """What an attempt asks and reports while it runs."""

    def find_obstacle(self) -> str | None:
        """Return why the request may not be sent, ``None`` if it may."""

    def watch_answer(self, sent_at: float) -> AnswerWatch:
        """Return the watch of the answer to a request.

        The request is sent at ``sent_at``, in seconds from ``boot_clock``.
        """

    def max_idle_connections(self, service: Service) -> int:
        """Return how many idle connections to the replica may be kept."""

    def note_reply(self, facts: platform.ReplyFacts) -> None:
        """Record the head of the replica's reply to this request."""

    def note_event(self) -> None:
        """Record that the answer has begun; repeats must have no effect."""


class Attempt:
    """Sends a request to a replica and forwards the answer to the caller."""

    def __init__(
        self,
        job: Job,
        replica: Replica,
        pool: ConnectionPool,
        observer: AttemptObserver,
    ) -> None:
        """Store the request, the replica and the pool of connections.

        ``observer.note_event`` is called for each part of a streamed answer
        with at least one event.
        """
        self._pool = pool
        self._observer = observer
        self._job = job
        self._replica = replica

    async def run(self, time_left_s: float) -> Outcome:
        """Send the request once and return the outcome.

        ``time_left_s`` is sent to the replica; the caller of this method must
        enforce the deadline.
        """
        pool_key = self._replica.incarnation
        address = self._replica.address
        # A connection that carried an earlier attempt could deliver the reply
        # to that attempt again, which has the same request id.
        is_repeat = self._replica.name in self._job.excluded_replicas
        try:
            peer_connection = await self._pool.acquire(
                pool_key, address, _CONNECT_TIMEOUT_S, must_be_new=is_repeat
            )
        except (OSError, TimeoutError) as error:
            return NotArrived(repr(error))
        peer_connection.meter.attach(self._job.connection.note_reply_bytes)
        try:
            outcome = await self._exchange(peer_connection, time_left_s)
        except BrokenReplyError as error:
            peer_connection.close()
            is_broken_off = not isinstance(error, InvalidReplyError)
            return Lost(str(error), is_broken_off=is_broken_off)
        except BaseException:
            peer_connection.close()
            raise
        finally:
            peer_connection.meter.attach(None)
        max_idle = self._observer.max_idle_connections(self._job.service)
        self._pool.release(pool_key, peer_connection, max_idle)
        return outcome

    async def _exchange(
        self, peer_connection: PeerConnection, time_left_s: float
    ) -> Outcome:
        obstacle = self._observer.find_obstacle()
        if obstacle is not None:
            return NotArrived(obstacle, is_unreachable=False)
        job = self._job
        request = job.request
        terms = platform.SendTerms(
            self._replica,
            time_left_s,
            engine_priority_of(job),
            job.last_event,
            job.workspace_name,
            job.hides_keys,
        )
        watch = self._observer.watch_answer(boot_clock())
        try:
            peer_connection.send(
                b'%s %s HTTP/1.1' % (request.method, request.target),
                platform.outgoing_headers(request, terms),
                request.body,
                keep_alive=True,
            )
        except BrokenReplyError as error:
            return NotArrived(str(error))
        job.note_sent(_now())
        if job.charge is not None:
            job.charge.note_sent()
        with watch.watch():
            return await self._receive(peer_connection, watch)

    async def _receive(
        self, peer_connection: PeerConnection, watch: AnswerWatch
    ) -> Outcome:
        """Receive the reply to the request that was sent."""
        job = self._job
        head, facts = await self._read_matching_head(peer_connection)
        watch.note_head(head)
        self._observer.note_reply(facts)
        if facts.never_ran:
            job.runs -= 1
            if job.charge is not None and not job.runs:
                job.charge.note_not_run()
            return NotRun(facts.status, facts.is_misdirected)
        return await self._forward_answer(peer_connection, head, watch)

    async def _forward_answer(
        self,
        peer_connection: PeerConnection,
        head: ReplyHead,
        watch: AnswerWatch,
    ) -> Outcome:
        job = self._job
        if job.route.kind == RequestKind.STREAMING and head.status == _OK:
            return await self._forward_stream(peer_connection, head, watch)
        return await self._forward_response(peer_connection, head, watch)

    async def _read_matching_head(
        self,
        peer_connection: PeerConnection,
    ) -> tuple[ReplyHead, platform.ReplyFacts]:
        """Read the head of the answer to this request.

        Skips late answers to other requests on the same connection. Raises
        ``InvalidReplyError`` for bytes that are no answer.
        """
        job = self._job
        while True:
            head = await peer_connection.read_head()
            facts = platform.describe_reply(head)
            match = match_reply(
                facts,
                job.facts.request_id,
                is_connection_new=not peer_connection.completed_replies,
                is_resumed=job.connection.response_started,
            )
            if isinstance(match, Answer | ReplicaRefusal):
                return head, facts
            _log.warning(
                'mismatched_answer',
                request=job.facts.request_id,
                replica=self._replica.name,
                echoed=facts.echoed_id,
                status=head.status,
                match=type(match).__name__,
            )
            if isinstance(match, InvalidReply):
                raise InvalidReplyError(match.reason)
            await peer_connection.skip_reply(_MAX_SKIPPED_BYTES)

    async def _forward_response(
        self,
        peer_connection: PeerConnection,
        head: ReplyHead,
        watch: AnswerWatch,
    ) -> Outcome:
        body, is_complete = await peer_connection.read_prefix(
            _MAX_BUFFERED_BYTES
        )
        if is_complete and not await watch.is_whole():
            return Lost(_END_UNKNOWN, is_broken_off=True)
        if head.status >= _MIN_SERVER_ERROR:
            if is_complete:
                return FailedReply(head.status, head.headers, body)
            return Lost(
                f'the error response exceeds {_MAX_BUFFERED_BYTES} bytes'
            )
        if self._job.connection.response_started:
            return Lost(f'the resumed stream was answered with {head.status}')
        if is_complete:
            self._job.connection.respond(head.status, head.headers, body)
        else:
            await self._forward_unbuffered(peer_connection, head, body, watch)
        return Delivered(head.status)

    async def _forward_unbuffered(
        self,
        peer_connection: PeerConnection,
        head: ReplyHead,
        first_part: bytes,
        watch: AnswerWatch,
    ) -> None:
        """Forward an answer that is too long for the buffer, piece by piece."""
        connection = self._job.connection
        connection.start(head.status, head.headers)
        await connection.write_chunk(first_part)
        peer_connection.meter.note_held(0)
        while piece := await peer_connection.read_chunk():
            await connection.write_chunk(piece)
        if not await watch.is_whole():
            raise BrokenReplyError(_END_UNKNOWN)
        connection.finish()

    async def _forward_stream(
        self,
        peer_connection: PeerConnection,
        head: ReplyHead,
        watch: AnswerWatch,
    ) -> Outcome:
        job = self._job
        connection = job.connection
        splitter = EventSplitter(job.last_event)
        while piece := await peer_connection.read_chunk():
            events = splitter.feed(piece)
            peer_connection.meter.note_held(splitter.partial_bytes)
            if not events:
                continue
            self._observer.note_event()
            if not connection.response_started:
                connection.start(head.status, head.headers)
            await connection.write_chunk(events)
            job.note_events(splitter.take_count(), splitter.last_id, _now())
        if splitter.has_partial_event:
            return Lost('the stream ended in the middle of an event')
        if not await watch.is_whole():
            return Lost(_END_UNKNOWN, is_broken_off=True)
        if not connection.response_started:
            connection.start(head.status, head.headers)
        connection.finish()
        return Delivered(head.status)


def _now() -> float:
    return asyncio.get_running_loop().time()


def engine_priority_of(job: Job) -> int | None:
    """Return the priority for an engine; ``None`` for plain services.

    0 is the most urgent. Latency-tolerant requests get a lower priority than
    others of the same route priority.
    """
    if job.service.engine is None:
        return None
    is_tolerant = is_latency_tolerant(job.route)
    return min(_LOWEST_PRIORITY, 2 * job.priority + 2 * is_tolerant)
