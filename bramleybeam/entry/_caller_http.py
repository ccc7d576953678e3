"""HTTP for callers: OpenAI's interface, plain services and probes."""

import asyncio
import functools
import json
from collections.abc import AsyncIterator
from contextlib import suppress
from typing import Any, Final

from blacksheep import Application, Content, Request, Response, StreamedContent
from expression import Result

from bramleybeam.entry import _openai as openai
from bramleybeam.entry._exchange import (
    AnswerChunk,
    AnswerEnd,
    AnswerRestart,
    Exchange,
    RequestRefusedError,
)
from bramleybeam.entry._pipeline import AnswerParts
from bramleybeam.entry._view import EntryView
from bramleybeam.errors import ErrorKind, Refusal, refuse
from bramleybeam.identity import make_unique_id
from bramleybeam.web import add_route, json_response, make_app

_SERVICE_METHODS: Final = ('GET', 'POST', 'PUT', 'PATCH', 'DELETE')
_JSON_TYPE: Final = 'application/json'
_OK: Final = 200
_SERVICE_UNAVAILABLE: Final = 503
# Non-standard status for a request whose caller has disconnected.
_CLIENT_CLOSED: Final = 499


def make_caller_app(entry: EntryView) -> Application:
    """Return the application that serves callers."""
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
        """Respond to a completion or chat completion request."""
        request_id = _make_request_id(request)
        raw_body = await self._read_body(request)
        if raw_body is None:
            return _make_error_response(
                refuse(ErrorKind.REQUEST_TOO_LARGE), request_id
            )
        path = _path_of(request)
        match openai.parse_body(raw_body, path):
            case Result(tag='ok', ok=body):
                pass
            case Result(error=refusal):
                return _make_error_response(refusal, request_id)
        exchange = Exchange(
            request_id=request_id,
            kind='inference',
            path=path,
            method='POST',
            body=body,
            raw_body=raw_body,
            headers=_headers_of(request),
            target=body['model'],
            is_streamed=bool(body.get('stream')),
        )
        if body.get('stream'):
            return await self._respond_streamed(request, exchange)
        return await self._respond(request, exchange)

    async def call_service(self, request: Request) -> Response:
        """Relay a request to a plain service and respond with its answer."""
        request_id = _make_request_id(request)
        raw_body = await self._read_body(request)
        if raw_body is None:
            return _make_error_response(
                refuse(ErrorKind.REQUEST_TOO_LARGE), request_id
            )
        values = request.route_values or {}
        query = request.url.query
        suffix = f'?{query.decode()}' if query else ''
        exchange = Exchange(
            request_id=request_id,
            kind='service',
            path='/{0}{1}'.format(values['tail'], suffix),
            method=request.method,
            body={},
            raw_body=raw_body,
            headers=_headers_of(request),
            target=str(values['service']),
        )
        return await self._respond(request, exchange)

    async def list_models(self, _request: Request) -> Response:
        """Respond with the configured models and adapters."""
        document = self._entry.keeper.document
        names: list[tuple[str, str]] = []
        if document is not None:
            names += [(model.name, '') for model in document.models]
            names += [
                (adapter.name, adapter.model) for adapter in document.adapters
            ]
        entries = [
            {
                'id': name,
                'object': 'model',
                'created': 0,
                'owned_by': 'bramleybeam',
                'parent': parent or None,
            }
            for name, parent in names
        ]
        return json_response(_OK, {'object': 'list', 'data': entries})

    async def live(self, _request: Request) -> Response:
        """Respond that the process is running."""
        return json_response(_OK, {'live': True})

    async def ready(self, _request: Request) -> Response:
        """Respond whether the balancer may send requests."""
        is_ready = self._entry.is_ready
        body = {'ready': is_ready, 'revision': self._entry.keeper.revision}
        return json_response(_OK if is_ready else _SERVICE_UNAVAILABLE, body)

    async def _respond(self, request: Request, exchange: Exchange) -> Response:
        answer_task = asyncio.ensure_future(self._collect_answer(exchange))
        disconnect_task = asyncio.ensure_future(_wait_disconnect(request))
        await asyncio.wait(
            {answer_task, disconnect_task},
            return_when=asyncio.FIRST_COMPLETED,
        )
        disconnect_task.cancel()
        if not answer_task.done() and exchange.can_cancel:
            answer_task.cancel()
            with suppress(asyncio.CancelledError):
                await answer_task
            return Response(_CLIENT_CLOSED)
        return await answer_task

    async def _collect_answer(self, exchange: Exchange) -> Response:
        outcome = await self._entry.pipeline.open(exchange)
        match outcome:
            case Result(tag='error', error=refusal):
                return _make_refused_response(exchange, refusal)
            case Result(ok=parts):
                pass
        chunks: list[bytes] = []
        try:
            async for part in parts:
                match part:
                    case AnswerChunk(body=body):
                        chunks.append(body)
                    case AnswerRestart():
                        chunks.clear()
        except RequestRefusedError as refused_error:
            return _make_error_response(
                refused_error.refusal, exchange.request_id
            )
        if exchange.answer_end is None:
            raise RuntimeError('the answer parts ended without an AnswerEnd')
        return _make_response(exchange, b''.join(chunks), exchange.answer_end)

    async def _respond_streamed(
        self, request: Request, exchange: Exchange
    ) -> Response:
        outcome = await self._entry.pipeline.open(exchange)
        match outcome:
            case Result(tag='error', error=refusal):
                return _make_refused_response(exchange, refusal)
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
        raise AssertionError('a result is either ok or an error')

    async def _read_body(self, request: Request) -> bytes | None:
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
    parts: AnswerParts,
) -> AsyncIterator[bytes]:
    prefix = openai.make_event_prefix(exchange)
    disconnect_task = asyncio.ensure_future(_wait_disconnect(request))
    try:
        async for part in parts:
            if disconnect_task.done() and exchange.can_cancel:
                break
            match part:
                case AnswerChunk():
                    yield openai.make_text_event(exchange, prefix, part.body)
                case AnswerEnd():
                    yield openai.make_end_event(exchange, prefix, part)
                    yield openai.DONE_EVENT
    except RequestRefusedError as refused_error:
        body = openai.make_error_body(
            refused_error.refusal, exchange.request_id
        )
        yield f'data: {json.dumps(body)}\n\n'.encode()
    finally:
        disconnect_task.cancel()
        await parts.aclose()  # type: ignore[attr-defined]


async def _wait_disconnect(request: Request) -> None:
    content: Any = request.content
    while True:
        message = await content.receive()
        if message.get('type') == 'http.disconnect':
            return


def _make_response(
    exchange: Exchange, body: bytes, answer_end: AnswerEnd
) -> Response:
    headers = {'x-request-id': exchange.request_id}
    if exchange.kind == 'service':
        content_type = answer_end.content_type or 'application/octet-stream'
        encoded = [
            (name.encode(), text.encode()) for name, text in headers.items()
        ]
        content = Content(content_type.encode(), body)
        return Response(answer_end.status, encoded, content)
    answer = openai.make_answer(exchange, body.decode(), answer_end)
    return json_response(_OK, answer, headers)


def _make_refused_response(exchange: Exchange, refusal: Refusal) -> Response:
    if exchange.stored_answer is None or exchange.is_streamed:
        return _make_error_response(refusal, exchange.request_id)
    status, text = exchange.stored_answer
    answer_end = AnswerEnd('stop', 0, status=status, content_type=_JSON_TYPE)
    answer = _make_response(exchange, text.encode(), answer_end)
    answer.add_header(b'idempotent-replayed', b'true')
    return answer


def _make_error_response(refusal: Refusal, request_id: str) -> Response:
    headers = {
        'x-request-id': request_id,
        'x-execution': str(refusal.execution),
    }
    if refusal.retry_after is not None:
        headers['retry-after'] = str(max(0, round(refusal.retry_after)))
    body = openai.make_error_body(refusal, request_id)
    return json_response(refusal.status, body, headers)


def _make_request_id(_request: Request) -> str:
    return make_unique_id('req')


def _path_of(request: Request) -> str:
    return request.url.path.decode()


def _headers_of(request: Request) -> dict[str, str]:
    return {
        name.decode('latin-1').lower(): text.decode('latin-1')
        for name, text in request.headers
    }
