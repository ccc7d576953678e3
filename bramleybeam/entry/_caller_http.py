"""Callers' HTTP: OpenAI's interface, plain services, and checks."""

import asyncio
import functools
import json
from collections.abc import AsyncIterator
from contextlib import suppress
from typing import Any, Final

from blacksheep import Application, Content, Request, Response, StreamedContent
from expression import Result

from bramleybeam.entry import _openai as openai
from bramleybeam.entry._exchange import Ending, Exchange, Piece, Refusing
from bramleybeam.entry._pipeline import Parts
from bramleybeam.entry._view import EntryView
from bramleybeam.errors import ErrorKind, Refusal, refuse
from bramleybeam.identity import make_unique_id
from bramleybeam.web import add_route, json_response, make_app

_SERVICE_METHODS: Final = ('GET', 'POST', 'PUT', 'PATCH', 'DELETE')
_JSON_TYPE: Final = 'application/json'
_OK: Final = 200
_UNAVAILABLE: Final = 503
_CLIENT_CLOSED: Final = 499


def make_caller_app(entry: EntryView) -> Application:
    """Make the application that callers talk to."""
    app = make_app()
    api = _CallerApi(entry)
    add_route(app, 'POST', '/v1/chat/completions', api.infer)
    add_route(app, 'POST', '/v1/completions', api.infer)
    add_route(app, 'GET', '/v1/models', api.list_models)
    add_route(app, 'GET', '/live', api.live)
    add_route(app, 'GET', '/ready', api.ready)
    for method in _SERVICE_METHODS:
        add_route(app, method, '/services/:service/*', api.call_service)
    return app


class _CallerApi:
    def __init__(self, entry: EntryView) -> None:
        self._entry = entry

    async def infer(self, request: Request) -> Response:
        """Answer a completion or a chat completion."""
        request_id = _request_id(request)
        raw = await self._read(request)
        if raw is None:
            return _refuse(refuse(ErrorKind.REQUEST_TOO_LARGE), request_id)
        path = _path(request)
        match openai.parse_body(raw, path):
            case Result(tag='ok', ok=body):
                pass
            case Result(error=refusal):
                return _refuse(refusal, request_id)
        exchange = Exchange(
            request_id=request_id,
            kind='inference',
            path=path,
            method='POST',
            body=body,
            raw=raw,
            headers=_headers(request),
            target=body['model'],
            streamed=bool(body.get('stream')),
        )
        if body.get('stream'):
            return await self._stream(request, exchange)
        return await self._whole(request, exchange)

    async def call_service(self, request: Request) -> Response:
        """Relay a call of a plain service."""
        request_id = _request_id(request)
        raw = await self._read(request)
        if raw is None:
            return _refuse(refuse(ErrorKind.REQUEST_TOO_LARGE), request_id)
        values = request.route_values or {}
        query = request.url.query
        suffix = f'?{query.decode()}' if query else ''
        exchange = Exchange(
            request_id=request_id,
            kind='service',
            path='/{0}{1}'.format(values['tail'], suffix),
            method=request.method,
            body={},
            raw=raw,
            headers=_headers(request),
            target=str(values['service']),
        )
        return await self._whole(request, exchange)

    async def list_models(self, _request: Request) -> Response:
        """List models and adapters."""
        document = self._entry.keeper.document
        names: list[tuple[str, str]] = []
        if document is not None:
            names += [(model.name, '') for model in document.models]
            names += [(one.name, one.model) for one in document.adapters]
        listed = [
            {
                'id': name,
                'object': 'model',
                'created': 0,
                'owned_by': 'bramleybeam',
                'parent': parent or None,
            }
            for name, parent in names
        ]
        return json_response(_OK, {'object': 'list', 'data': listed})

    async def live(self, _request: Request) -> Response:
        """Say that the process runs."""
        return json_response(_OK, {'live': True})

    async def ready(self, _request: Request) -> Response:
        """Say whether the balancer may send requests."""
        is_ready = self._entry.is_ready
        body = {'ready': is_ready, 'revision': self._entry.keeper.revision}
        return json_response(_OK if is_ready else _UNAVAILABLE, body)

    async def _whole(self, request: Request, exchange: Exchange) -> Response:
        work = asyncio.ensure_future(self._collect(exchange))
        watcher = asyncio.ensure_future(_wait_disconnect(request))
        await asyncio.wait(
            {work, watcher},
            return_when=asyncio.FIRST_COMPLETED,
        )
        watcher.cancel()
        if not work.done() and exchange.may_be_abandoned:
            work.cancel()
            with suppress(asyncio.CancelledError):
                await work
            return Response(_CLIENT_CLOSED)
        return await work

    async def _collect(self, exchange: Exchange) -> Response:
        opened = await self._entry.pipeline.open(exchange)
        match opened:
            case Result(tag='error', error=refusal):
                return _refuse_exchange(exchange, refusal)
            case Result(ok=parts):
                pass
        pieces: list[bytes] = []
        try:
            async for part in parts:
                if isinstance(part, Piece):
                    pieces.append(part.body)
        except Refusing as refusing:
            return _refuse(refusing.refusal, exchange.request_id)
        if exchange.ending is None:
            raise RuntimeError('an answer ended without a finish mark')
        return _answer(exchange, b''.join(pieces), exchange.ending)

    async def _stream(self, request: Request, exchange: Exchange) -> Response:
        opened = await self._entry.pipeline.open(exchange)
        match opened:
            case Result(tag='error', error=refusal):
                return _refuse_exchange(exchange, refusal)
            case Result(ok=parts):
                events = functools.partial(
                    _stream_events,
                    request,
                    exchange,
                    parts,
                )
                content = StreamedContent(b'text/event-stream', events)
                headers = [(b'x-request-id', exchange.request_id.encode())]
                return Response(_OK, headers, content)
        raise AssertionError('a result is ok or an error')

    async def _read(self, request: Request) -> bytes | None:
        limit = self._entry.settings.max_body_bytes
        received = bytearray()
        async for part in request.stream():  # type: ignore[attr-defined]
            received += part
            if len(received) > limit:
                return None
        return bytes(received)


async def _stream_events(
    request: Request,
    exchange: Exchange,
    parts: Parts,
) -> AsyncIterator[bytes]:
    prefix = openai.event_prefix(exchange)
    watcher = asyncio.ensure_future(_wait_disconnect(request))
    try:
        async for part in parts:
            if watcher.done() and exchange.may_be_abandoned:
                break
            match part:
                case Piece():
                    yield openai.text_event(exchange, prefix, part.body)
                case Ending():
                    yield openai.end_event(exchange, prefix, part)
                    yield openai.DONE_EVENT
    except Refusing as refusing:
        body = openai.refusal_body(refusing.refusal, exchange.request_id)
        yield f'data: {json.dumps(body)}\n\n'.encode()
    finally:
        watcher.cancel()
        await parts.aclose()  # type: ignore[attr-defined]


async def _wait_disconnect(request: Request) -> None:
    content: Any = request.content
    while True:
        message = await content.receive()
        if message.get('type') == 'http.disconnect':
            return


def _answer(exchange: Exchange, body: bytes, ending: Ending) -> Response:
    headers = {'x-request-id': exchange.request_id}
    if exchange.kind == 'service':
        content_type = ending.content_type or 'application/octet-stream'
        encoded = [
            (name.encode(), text.encode()) for name, text in headers.items()
        ]
        content = Content(content_type.encode(), body)
        return Response(ending.status, encoded, content)
    answer = openai.whole_answer(exchange, body.decode(), ending)
    return json_response(_OK, answer, headers)


def _refuse_exchange(exchange: Exchange, refusal: Refusal) -> Response:
    if exchange.recorded is None or exchange.streamed:
        return _refuse(refusal, exchange.request_id)
    status, text = exchange.recorded
    ending = Ending('stop', 0, status=status, content_type=_JSON_TYPE)
    answer = _answer(exchange, text.encode(), ending)
    answer.add_header(b'idempotent-replayed', b'true')
    return answer


def _refuse(refusal: Refusal, request_id: str) -> Response:
    headers = {
        'x-request-id': request_id,
        'x-execution': str(refusal.execution),
    }
    if refusal.retry_after is not None:
        headers['retry-after'] = str(max(0, round(refusal.retry_after)))
    body = openai.refusal_body(refusal, request_id)
    return json_response(refusal.status, body, headers)


def _request_id(_request: Request) -> str:
    return make_unique_id('req')


def _path(request: Request) -> str:
    return request.url.path.decode()


def _headers(request: Request) -> dict[str, str]:
    return {
        name.decode('latin-1').lower(): text.decode('latin-1')
        for name, text in request.headers
    }
