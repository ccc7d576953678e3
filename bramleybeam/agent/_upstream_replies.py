"""Reads the replies of an upstream to requests as events."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final

from bramleybeam.agent._events import (
    Event,
    EventParser,
    Finished,
    Lost,
    NotRun,
    Started,
    Text,
)
from bramleybeam.links import Dispatch
from bramleybeam.relay import PeerConnection, ReplyHead, find_header

# Longest time between two reads of a response before it counts as lost.
_IDLE_TIMEOUT_S: Final = 15.0
# Limit of the body of a service's response.
_MAX_RESPONSE_BYTES: Final = 900_000
# Length of the part of an engine's refusal that is logged and forwarded.
_MAX_REFUSAL_BYTES: Final = 500
_OK: Final = 200
# Statuses which mean that the upstream did not run the request.
_NOT_RUN_STATUSES: Final = frozenset((400, 404, 413, 422, 429, 503))


async def read_inference(
    connection: PeerConnection,
    dispatch: Dispatch,
) -> AsyncIterator[Event]:
    """Yield the events of an engine's response.

    Raises ``BrokenReplyError``, ``TimeoutError`` or, for events that are
    malformed, ``ValueError``.
    """
    head = await _read_head(connection)
    if head.status != _OK:
        yield await _read_refusal(connection, head.status)
        return
    yield Started(head.status, _content_type_of(head))
    parser = EventParser(dispatch.resume_from)
    while received := await _read_chunk(connection):
        for event in parser.feed(received):
            yield event
    if not parser.finished:
        yield Lost(
            'the engine closed the stream without a finish event', crashed=True
        )


async def _read_refusal(connection: PeerConnection, status: int) -> Event:
    async with asyncio.timeout(_IDLE_TIMEOUT_S):
        body, _is_complete = await connection.read_prefix(_MAX_REFUSAL_BYTES)
    text = body[:_MAX_REFUSAL_BYTES].decode(errors='replace')
    if status in _NOT_RUN_STATUSES:
        busy = status in {404, 429, 503}
        return NotRun(f'HTTP {status}: {text}', busy=busy)
    return Lost(f'HTTP {status}: {text}', crashed=False)


async def read_service_response(
    connection: PeerConnection, is_alive: Callable[[], Awaitable[bool]]
) -> AsyncIterator[Event]:
    """Yield the events of a response of a service.

    ``is_alive`` returns whether the service lives on after it closed the
    connection. The end of a response without a length looks the same as that of
    the service.
    """
    head = await _read_head(connection)
    content_type = find_header(head.headers, b'content-type') or b''
    yield Started(head.status, content_type.decode('latin-1'))
    size_bytes = 0
    while received := await _read_chunk(connection):
        yield Text(size_bytes, len(received), received)
        size_bytes += len(received)
        if size_bytes > _MAX_RESPONSE_BYTES:
            yield Lost('the response exceeds the size limit', crashed=False)
            return
    if head.is_self_delimited or await is_alive():
        yield Finished(size_bytes, 'stop')
    else:
        yield Lost('the service was not seen alive afterwards', crashed=True)


async def _read_chunk(connection: PeerConnection) -> bytes:
    async with asyncio.timeout(_IDLE_TIMEOUT_S):
        return await connection.read_chunk()


async def _read_head(connection: PeerConnection) -> ReplyHead:
    async with asyncio.timeout(_IDLE_TIMEOUT_S):
        return await connection.read_head()


def _content_type_of(head: ReplyHead) -> str:
    """Return the media type of a reply without its parameters."""
    header_value = find_header(head.headers, b'content-type') or b''
    media_type = header_value.partition(b';')[0]
    return media_type.strip().decode('latin-1').lower()
