"""Decodes headers of requests and replies, and encodes outgoing headers."""

import math
from typing import Final

import attrs
import structlog

from bramleybeam.catalog import Replica
from bramleybeam.relay import (
    Headers,
    InboundRequest,
    ReplyHead,
    end_to_end_headers,
    find_header,
)

READINESS_PATH: Final = '/api/readiness'
_REQUEST_ID: Final = b'Bramleybeam-Request-Id'
_DEADLINE: Final = b'Bramleybeam-Request-Deadline'
EXPECT_INSTANCE: Final = b'Bramleybeam-Expect-Instance'
_PRIORITY: Final = b'Bramleybeam-Request-Priority'
_MODEL: Final = b'bramleybeam-model'
_TOKENS: Final = b'bramleybeam-token-counts'
_PROMPT_PARTS: Final = b'bramleybeam-prompt-prefix'
_LAST_EVENT: Final = b'Last-Event-Id'
_RESUMED_ID: Final = b'resumes'
_WORKSPACE: Final = b'Bramleybeam-Tenant'
_AUTHORIZATION: Final = b'authorization'
_SEAL: Final = b'bramleybeam-response-seal'
_NOT_EXECUTED: Final = b'bramleybeam-not-executed'
_LENGTH_HINT: Final = b'bramleybeam-length-hint'
_LEAVING: Final = b'server-leaving'
_RETRY_AFTER: Final = b'retry-after'
# Status with which a replica that has no capacity refuses a request.
_OVERLOADED: Final = 503
# Longest pause, in seconds, that a replica can ask for.
_MAX_RETRY_AFTER_S: Final = 60.0
# Status with which a replica refuses a request that was meant for another
# replica or whose model it doesn't hold. It has not run the request.
MISDIRECTED: Final = 421
# Used for a request without a readable deadline header.
_DEFAULT_DEADLINE_S: Final = 30.0
_log = structlog.get_logger('replies')
# Headers that only this system sets; they are removed from callers' requests.
_RESERVED: Final = frozenset(
    (
        _DEADLINE.lower(),
        EXPECT_INSTANCE.lower(),
        _PRIORITY.lower(),
        _WORKSPACE.lower(),
        b'bramleybeam-expect-version',
        b'bramleybeam-hold',
        b'bramleybeam-pin-duration',
        b'bramleybeam-kv-backup',
        b'kv-from',
        b'kv-fetch',
    ),
)


@attrs.frozen
class PromptPart:
    """A part of a prompt that other requests may share.

    ``name`` identifies its content; ``tokens`` is its length.
    """

    name: str
    tokens: int


@attrs.frozen
class RequestFacts:
    """The properties of a request that routing uses.

    ``deadline_s`` is how long the caller waits, counted from the arrival of
    the request. ``model`` is empty for a service without models, ``adapter``
    for a request to the base model. ``output_tokens`` is the expected length
    of the output. ``counted_tokens`` is the sum of the stated numbers of prompt
    tokens and of output tokens, 0 if none are stated. ``last_event`` is the id of
    the last event that the caller received, if it resumes a stream, else empty;
    ``resumed_id`` is then the id of the request that began the stream.
    ``credentials`` is the value of the first ``Authorization`` header; it is
    never logged.
    """

    request_id: str
    deadline_s: float
    model: str = ''
    adapter: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    last_event: str = ''
    credentials: bytes = attrs.field(default=b'', repr=False)
    counted_tokens: int = 0
    resumed_id: str = ''


@attrs.frozen
class SendTerms:
    """The values that are added to a request for one replica.

    ``time_left_s`` limits the replica's work, in seconds. ``engine_priority``
    runs from 0, the most urgent, to 9; ``None`` sends no priority. A stream is
    resumed after the event with id ``after_event``, unless that is empty.
    ``workspace`` is the name of the caller's workspace, empty for none.
    ``hides_keys`` is whether keys in the caller's headers are removed.
    """

    replica: Replica
    time_left_s: float
    engine_priority: int | None = None
    after_event: str = ''
    workspace: str = ''
    hides_keys: bool = False


def describe_request(request: InboundRequest) -> RequestFacts | None:
    """Return the facts in a caller's headers; ``None`` without request id."""
    headers = request.headers
    request_id = _text(headers, _REQUEST_ID.lower())
    if not request_id:
        return None
    model, _, adapter = _text(headers, _MODEL).partition('/')
    counts = _text(headers, _TOKENS).partition(',')
    hint = _number(_text(headers, _LENGTH_HINT))
    deadline_ms = _number(_text(headers, _DEADLINE.lower()))
    return RequestFacts(
        request_id=request_id,
        deadline_s=deadline_ms / 1000 if deadline_ms else _DEFAULT_DEADLINE_S,
        model=model,
        adapter=adapter,
        prompt_tokens=_number(counts[0]),
        output_tokens=hint or _number(counts[2]),
        parts=_decode_parts(_text(headers, _PROMPT_PARTS)),
        last_event=_text(headers, _LAST_EVENT.lower()),
        credentials=find_header(headers, _AUTHORIZATION) or b'',
        counted_tokens=_number(counts[0]) + _number(counts[2]),
        resumed_id=_text(headers, _RESUMED_ID),
    )


def outgoing_headers(request: InboundRequest, terms: SendTerms) -> Headers:
    """Return the headers of the request that is sent to one replica.

    Hop-by-hop headers and the headers that only this system sets are
    removed; deadline, expected replica and the optional ones are added.
    """
    dropped = _RESERVED
    added = [
        (_DEADLINE, b'%d' % max(1, round(terms.time_left_s * 1000))),
        (EXPECT_INSTANCE, terms.replica.name.encode()),
    ]
    if terms.engine_priority is not None:
        added.append((_PRIORITY, b'%d' % terms.engine_priority))
    if terms.after_event:
        dropped = dropped | {_LAST_EVENT.lower()}
        added.append((_LAST_EVENT, terms.after_event.encode()))
    if terms.workspace:
        added.append((_WORKSPACE, terms.workspace.encode()))
    if terms.hides_keys:
        dropped = dropped | {_AUTHORIZATION}
    passed = (
        pair
        for pair in end_to_end_headers(request.headers)
        if pair[0].lower() not in dropped
    )
    return (*passed, *added)


@attrs.frozen
class ReplyFacts:
    """What the head of a replica's reply states.

    ``never_ran`` means that the replica did not run the request,
    ``is_misdirected`` that it is not the expected replica or doesn't hold the
    model, and ``is_sealed`` that the reply results from a run. ``echoed_id`` is
    the id of the request that the reply belongs to, or empty if the replica did
    not send it. ``is_leaving`` means that the replica is shutting down.
    ``retry_after_s`` is the time in seconds for which an overloaded replica
    asks for no further requests, ``None`` if it does not ask.
    """

    status: int
    never_ran: bool
    is_misdirected: bool
    is_sealed: bool
    echoed_id: str
    is_leaving: bool = False
    retry_after_s: float | None = None

    @property
    def is_overloaded(self) -> bool:
        """Whether the replica refused the request for lack of capacity."""
        return self.status == _OVERLOADED


def describe_reply(head: ReplyHead) -> ReplyFacts:
    """Return the facts in the head of a reply."""
    headers = head.headers
    echoed = _text(headers, _REQUEST_ID.lower())
    misdirected = head.status == MISDIRECTED
    refused = find_header(headers, _NOT_EXECUTED) is not None
    return ReplyFacts(
        status=head.status,
        never_ran=misdirected or refused,
        is_misdirected=misdirected,
        is_sealed=find_header(headers, _SEAL) is not None,
        echoed_id=echoed,
        is_leaving=not misdirected and _text(headers, _LEAVING) == '1',
        retry_after_s=_retry_after_s(head),
    )


def refusal_headers(request_id: str, retry_after_s: float | None) -> Headers:
    """Return the headers of a response that refuses a request.

    ``retry_after_s`` is the advised wait in seconds, or ``None``.
    """
    headers = [(b'Content-Type', b'text/plain')]
    if request_id:
        headers.append((_REQUEST_ID, request_id.encode()))
    if retry_after_s is not None:
        headers.append((b'Retry-After', b'%.2f' % retry_after_s))
    return tuple(headers)


def _text(headers: Headers, name: bytes) -> str:
    """Return the stripped text of a header, or an empty string."""
    value = find_header(headers, name)
    return value.decode('latin-1').strip() if value else ''


def _number(text: str) -> int:
    """Return a whole number of at least 0; 0 if the text is not a number."""
    try:
        return max(0, int(float(text)))
    except (ValueError, OverflowError):
        return 0


def _retry_after_s(head: ReplyHead) -> float | None:
    """Return the pause in seconds that an overloaded replica asks for.

    ``None`` if it asks for none or the value is not a number of at least 0. A
    very long pause is shortened to ``_MAX_RETRY_AFTER_S``.
    """
    raw = _text(head.headers, _RETRY_AFTER)
    if head.status != _OVERLOADED or not raw:
        return None
    try:
        retry_after_s = float(raw)
    except ValueError:
        retry_after_s = math.nan
    if math.isnan(retry_after_s) or retry_after_s < 0:
        _log.warning('retry_after_unreadable', value=raw[:40])
        return None
    if retry_after_s > _MAX_RETRY_AFTER_S:
        _log.warning('retry_after_shortened', value=raw[:40])
    return min(retry_after_s, _MAX_RETRY_AFTER_S)


def _decode_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the prompt parts of ``NAME:TOKENS,NAME:TOKENS``."""
    parts = []
    for entry in text.split(',') if text else ():
        name, _, tokens = entry.partition(':')
        parts.append(PromptPart(name.strip(), _number(tokens)))
    return tuple(parts)
