"""HTTP client of the upstream: inference, orders and state."""

import asyncio
import json
import ssl
from collections.abc import AsyncIterator
from contextlib import closing
from typing import Any, Final
from urllib.parse import SplitResult, urlsplit

import attrs
from expression import Error, Ok, Result

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
from bramleybeam.messages import ArtifactState, Order
from bramleybeam.relay import (
    BrokenReplyError,
    Headers,
    InvalidReplyError,
    Liveness,
    PeerConnection,
    ReplyHead,
    connect_peer,
    find_header,
    observe_peer,
)

CONNECT_TIMEOUT_S: Final = 1.0
ADMIN_TIMEOUT_S: Final = 3.0
# Longest time between two reads of a response before it counts as lost.
STREAM_IDLE_TIMEOUT_S: Final = 15.0
# Limit of the body of a service's response.
MAX_RESPONSE_BYTES: Final = 900_000
# Limit of the body of a reply to the agent's own calls.
_MAX_ADMIN_BYTES: Final = 1 << 20
# Length of the part of an engine's refusal that is logged and forwarded.
_MAX_REFUSAL_BYTES: Final = 500
_OK: Final = 200
_HTTP_PORT: Final = 80
_HTTPS_PORT: Final = 443
_CONFLICT: Final = 409
# Raised by a call that fails or whose response can't be decoded.
_CALL_FAILURES: Final = (BrokenReplyError, OSError, TimeoutError, ValueError)
# Statuses which mean that the upstream did not run the request.
_NOT_RUN_STATUSES: Final = frozenset((400, 404, 413, 422, 429, 503))


@attrs.frozen
class UpstreamState:
    """The engine's own state; ``boot`` increases with each restart."""

    boot: int
    capacity_mb: int
    highest_epoch: int
    artifacts: tuple[ArtifactState, ...]


class UpstreamClient:
    """HTTP client of one upstream; it never repeats a request by itself.

    Each request has a connection of its own, so that a reply that the upstream
    writes twice can't be taken for that of the next.
    """

    def __init__(self, base_url: str) -> None:
        """Store the base URL."""
        self._url = urlsplit(base_url)

    async def infer(self, dispatch: Dispatch) -> AsyncIterator[Event]:
        """Send a request to an engine and yield the events of its response."""
        body = json.loads(dispatch.body)
        body.update(
            model=dispatch.target,
            stream=True,
            request_id=dispatch.request_id,
            resume_from=dispatch.resume_from,
            priority=dispatch.priority,
        )
        try:
            connection = await self._connect()
        except (OSError, TimeoutError) as error:
            yield NotRun(f'cannot connect: {error}', busy=True)
            return
        traceparent = (b'traceparent', dispatch.traceparent.encode())
        with closing(connection):
            try:
                self._send_json(
                    connection, 'POST', dispatch.path, body, (traceparent,)
                )
                async for event in _read_inference(connection, dispatch):
                    yield event
            except (InvalidReplyError, ValueError) as error:
                yield Lost(repr(error), crashed=False)
            except (BrokenReplyError, TimeoutError) as error:
                yield Lost(repr(error), crashed=True)

    async def request(self, dispatch: Dispatch) -> AsyncIterator[Event]:
        """Send a request to a service and yield the events of its response."""
        try:
            connection = await self._connect()
        except (OSError, TimeoutError) as error:
            yield NotRun(f'cannot connect: {error}', busy=True)
            return
        with closing(connection):
            try:
                _send_to_service(connection, self._url, dispatch)
                async for event in _read_service_response(
                    connection, self._address
                ):
                    yield event
            except (BrokenReplyError, TimeoutError) as error:
                yield Lost(repr(error), crashed=False)

    async def cancel(self, request_id: str) -> None:
        """Ask the engine to stop a request; failures are ignored."""
        await self._call_admin(
            'POST', '/admin/cancel', {'request_id': request_id}
        )

    async def order(self, order: Order) -> Result[str, str]:
        """Send an order; ``Ok`` holds its state, ``Error`` a refusal.

        Raises ``ConnectionError`` when the outcome is not known.
        """
        status, body = await self._call_admin(
            'POST',
            '/admin/orders',
            {
                'order_id': order.order_id,
                'kind': order.action,
                'name': order.artifact.name,
                'artifact': order.artifact.kind,
                'memory_mb': order.artifact.memory_mb,
                'model': order.artifact.model,
                'epoch': order.epoch,
            },
        )
        if status == _OK:
            return Ok(str(body['state']))
        if status == _CONFLICT:
            return Error(str(body.get('error')))
        raise ConnectionError(f'order outcome unknown: {status} {body}')

    async def state(self) -> UpstreamState | None:
        """Return the engine's state, or ``None`` if it cannot be read."""
        status, body = await self._call_admin('GET', '/admin/state')
        if status != _OK:
            return None
        artifacts = tuple(
            ArtifactState(
                name=raw['name'],
                kind=raw['kind'],
                memory_mb=raw['memory_mb'],
                state=raw['state'],
                model=raw['model'],
            )
            for raw in body['artifacts']
        )
        return UpstreamState(
            body['boot'],
            body['capacity_mb'],
            body['highest_epoch'],
            artifacts,
        )

    async def is_healthy(self) -> bool:
        """Return whether a service passes its health check."""
        status, _body = await self._call_admin('GET', '/health')
        return status == _OK

    @property
    def _address(self) -> str:
        """Host and port of the upstream."""
        is_https = self._url.scheme == 'https'
        default_port = _HTTPS_PORT if is_https else _HTTP_PORT
        return f'{self._url.hostname}:{self._url.port or default_port}'

    async def _connect(self) -> PeerConnection:
        """Open a connection to the upstream."""
        is_https = self._url.scheme == 'https'
        return await connect_peer(
            self._address,
            CONNECT_TIMEOUT_S,
            tls=ssl.create_default_context() if is_https else None,
        )

    async def _call_admin(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
    ) -> tuple[int, Any]:
        try:
            async with asyncio.timeout(ADMIN_TIMEOUT_S):
                head, raw = await self._fetch_json(method, path, body)
            return head.status, json.loads(raw)
        except _CALL_FAILURES as error:
            return 0, {'error': repr(error)}

    async def _fetch_json(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
    ) -> tuple[ReplyHead, bytes]:
        connection = await self._connect()
        with closing(connection):
            self._send_json(connection, method, path, body)
            head = await connection.read_head()
            return head, await connection.read_body(_MAX_ADMIN_BYTES)

    def _send_json(
        self,
        connection: PeerConnection,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        headers: Headers = (),
    ) -> None:
        target = f'{self._url.path.rstrip("/")}{path}'
        connection.send(
            f'{method} {target} HTTP/1.1'.encode(),
            (
                (b'Host', self._url.netloc.encode()),
                (b'Content-Type', b'application/json'),
                *headers,
            ),
            b'' if body is None else json.dumps(body).encode(),
        )


async def _read_inference(
    connection: PeerConnection,
    dispatch: Dispatch,
) -> AsyncIterator[Event]:
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
    async with asyncio.timeout(STREAM_IDLE_TIMEOUT_S):
        body, _is_complete = await connection.read_prefix(_MAX_REFUSAL_BYTES)
    text = body[:_MAX_REFUSAL_BYTES].decode(errors='replace')
    if status in _NOT_RUN_STATUSES:
        busy = status in {404, 429, 503}
        return NotRun(f'HTTP {status}: {text}', busy=busy)
    return Lost(f'HTTP {status}: {text}', crashed=False)


def _send_to_service(
    connection: PeerConnection, url: SplitResult, dispatch: Dispatch
) -> None:
    fields = json.loads(dispatch.headers or '{}')
    fields['Host'] = url.netloc
    fields['traceparent'] = dispatch.traceparent
    headers = tuple(
        (name.encode(), str(field).encode()) for name, field in fields.items()
    )
    target = f'{url.path.rstrip("/")}{dispatch.path}'
    connection.send(
        f'{dispatch.method} {target} HTTP/1.1'.encode(), headers, dispatch.body
    )


async def _read_service_response(
    connection: PeerConnection, address: str
) -> AsyncIterator[Event]:
    """Yield the events of a response of the service at an address."""
    head = await _read_head(connection)
    content_type = find_header(head.headers, b'content-type') or b''
    yield Started(head.status, content_type.decode('latin-1'))
    size_bytes = 0
    while received := await _read_chunk(connection):
        yield Text(size_bytes, len(received), received)
        size_bytes += len(received)
        if size_bytes > MAX_RESPONSE_BYTES:
            yield Lost('the response exceeds the size limit', crashed=False)
            return
    if head.is_self_delimited or await _is_alive(address):
        yield Finished(size_bytes, 'stop')
    else:
        yield Lost('the service was not seen alive afterwards', crashed=True)


async def _is_alive(address: str) -> bool:
    """Whether a service lives on after it closed a connection.

    The end of a response without a length looks the same as that of the service.
    """
    observation = await observe_peer(address)
    return observation.liveness == Liveness.ALIVE


async def _read_chunk(connection: PeerConnection) -> bytes:
    async with asyncio.timeout(STREAM_IDLE_TIMEOUT_S):
        return await connection.read_chunk()


async def _read_head(connection: PeerConnection) -> ReplyHead:
    async with asyncio.timeout(STREAM_IDLE_TIMEOUT_S):
        return await connection.read_head()


def _content_type_of(head: ReplyHead) -> str:
    """Return the media type of a reply without its parameters."""
    header_value = find_header(head.headers, b'content-type') or b''
    media_type = header_value.partition(b';')[0]
    return media_type.strip().decode('latin-1').lower()
