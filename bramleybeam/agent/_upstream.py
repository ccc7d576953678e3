"""HTTP client of the upstream: inference, orders and state."""

import asyncio
import json
import ssl
from collections.abc import AsyncIterator
from contextlib import closing
from typing import Any, Final
from urllib.parse import SplitResult, urlsplit

import attrs
import structlog
from expression import Error, Ok, Result

from bramleybeam.agent._events import Event, Lost, NotRun
from bramleybeam.agent._upstream_replies import (
    read_inference,
    read_service_response,
)
from bramleybeam.links import Dispatch
from bramleybeam.liveness import (
    Liveness,
    Peer,
    ProcessIdentity,
    ProcessObserver,
    Query,
    Statement,
)
from bramleybeam.messages import ArtifactState, Order
from bramleybeam.relay import (
    BrokenReplyError,
    Headers,
    InvalidReplyError,
    PeerConnection,
    ReplyHead,
    connect_peer,
)
from bramleybeam.timers import boot_clock

CONNECT_TIMEOUT_S: Final = 1.0
ADMIN_TIMEOUT_S: Final = 3.0
# Time after the sending of a request to a service until a guard is opened: the
# service replies on it before it could have been replaced.
_GUARD_DELAY_S: Final = 0.1
# Limit of the body of a reply to the agent's own calls.
_MAX_ADMIN_BYTES: Final = 1 << 20
_OK: Final = 200
_HTTP_PORT: Final = 80
_HTTPS_PORT: Final = 443
_CONFLICT: Final = 409
# Raised by a call that fails or whose response can't be decoded.
_CALL_FAILURES: Final = (BrokenReplyError, OSError, TimeoutError, ValueError)
_log = structlog.get_logger('upstream')


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
        self._service = self._identify_service()
        self._observer = ProcessObserver(_note_gone)

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
                async for event in read_inference(connection, dispatch):
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
        sent_at = boot_clock()
        with (
            closing(connection),
            self._observer.guard(
                self._service, sent_at, _GUARD_DELAY_S
            ) as guard,
        ):

            async def is_alive() -> bool:
                liveness = await self._observer.check(
                    self._service, sent_at, guard
                )
                return liveness == Liveness.ALIVE

            try:
                _send_to_service(connection, self._url, dispatch)
                async for event in read_service_response(connection, is_alive):
                    yield event
            except (BrokenReplyError, TimeoutError) as error:
                yield Lost(repr(error), crashed=False)

    def close(self) -> None:
        """Cancel the observations of the service."""
        self._observer.close()

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
        return await connect_peer(
            self._address, CONNECT_TIMEOUT_S, tls=self._make_tls()
        )

    def _make_tls(self) -> ssl.SSLContext | None:
        is_https = self._url.scheme == 'https'
        return ssl.create_default_context() if is_https else None

    def _identify_service(self) -> Peer:
        """Return the service as a peer; it states no name and no start."""
        path = f'{self._url.path.rstrip("/")}/health'
        query = Query(
            f'GET {path} HTTP/1.1'.encode(),
            ((b'Host', self._url.netloc.encode()),),
            _state_nothing,
        )
        return Peer(self._address, ProcessIdentity(), query, self._make_tls())

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


def _state_nothing(_head: ReplyHead, _body: bytes) -> Statement:
    return Statement()


def _note_gone(peer: Peer) -> None:
    _log.warning('service_gone', address=peer.address)


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
