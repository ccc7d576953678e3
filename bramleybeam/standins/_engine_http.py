"""HTTP interfaces of the engine stand-in: OpenAI-compatible and admin."""

import functools
import json
from collections.abc import AsyncIterator
from typing import Any

import attrs
from blacksheep import Application, Request, Response, StreamedContent

from bramleybeam.standins._answers import prompt_of
from bramleybeam.standins._engine import EngineStandIn
from bramleybeam.standins._engine_parts import Artifact, OrderRefused, Sequence
from bramleybeam.web import add_route, json_response, make_app, read_json


def make_engine_app(engine: EngineStandIn) -> Application:
    """Return the application that serves one engine."""
    app = make_app()
    api = _EngineApi(engine)
    add_route(app, 'POST', '/v1/chat/completions', api.chat)
    add_route(app, 'POST', '/v1/completions', api.complete)
    add_route(app, 'POST', '/admin/orders', api.order)
    add_route(app, 'GET', '/admin/state', api.state)
    add_route(app, 'POST', '/admin/cancel', api.cancel)
    return app


class _EngineApi:
    def __init__(self, engine: EngineStandIn) -> None:
        self._engine = engine

    async def chat(self, request: Request) -> Response:
        return await self._infer(request, 'chat.completion.chunk')

    async def complete(self, request: Request) -> Response:
        return await self._infer(request, 'text_completion')

    async def order(self, request: Request) -> Response:
        if self._engine.is_down:
            return json_response(500, {'error': 'engine is down'})
        body = await read_json(request)
        artifact = Artifact(
            body['name'],
            body['artifact'],
            body['memory_mb'],
            body.get('model', ''),
        )
        try:
            state = self._engine.order(
                body['order_id'],
                body['kind'],
                artifact,
                body['epoch'],
            )
        except OrderRefused as refused:
            return json_response(refused.status, {'error': str(refused)})
        return json_response(200, {'state': state})

    async def state(self, _request: Request) -> Response:
        engine = self._engine
        if engine.is_down:
            return json_response(500, {'error': 'engine is down'})
        return json_response(
            200,
            {
                'boot': engine.boots,
                'capacity_mb': engine.settings.capacity_mb,
                'role': engine.role,
                'highest_epoch': engine.highest_epoch,
                'overcommits': engine.overcommits,
                'artifacts': [
                    attrs.asdict(artifact)
                    for artifact in engine.artifacts.values()
                ],
            },
        )

    async def cancel(self, request: Request) -> Response:
        body = await read_json(request)
        self._engine.cancel(body['request_id'])
        return json_response(200, {})

    async def _infer(self, request: Request, object_type: str) -> Response:
        engine = self._engine
        if engine.is_down:
            return json_response(503, {'error': 'engine is down'})
        body = await read_json(request)
        target = body['model']
        if not engine.is_ready(target):
            return json_response(404, {'error': f'{target} is not ready'})
        sequence = engine.submit(
            body.get('request_id', ''),
            target,
            prompt_of(body),
            body.get('max_tokens') or body.get('max_completion_tokens'),
            body.get('resume_from', 0),
            body.get('priority', 0),
        )
        if body.get('stream'):
            events = functools.partial(
                _encode_stream, engine, sequence, object_type
            )
            content = StreamedContent(b'text/event-stream', events)
            return Response(200, None, content)
        return await _complete_response(engine, sequence, object_type)


async def _complete_response(
    engine: EngineStandIn,
    sequence: Sequence,
    object_type: str,
) -> Response:
    text = ''.join([token async for _, token in engine.stream(sequence)])
    choice = _make_choice(object_type.removesuffix('.chunk'), text, 'stop')
    return json_response(200, {'choices': [choice]})


async def _encode_stream(
    engine: EngineStandIn,
    sequence: Sequence,
    object_type: str,
) -> AsyncIterator[bytes]:
    async for offset, token in engine.stream(sequence):
        yield _encode_event(
            sequence, object_type, token, None, offset=offset, tokens=1
        )
    prompt_tokens = len(sequence.prompt.split())
    yield _encode_event(
        sequence,
        object_type,
        '',
        'stop',
        offset=len(sequence.tokens),
        tokens=0,
        usage={
            'prompt_tokens': prompt_tokens,
            'cached_tokens': sequence.cached_words,
            'completion_tokens': len(sequence.tokens),
        },
    )
    yield b'data: [DONE]\n\n'


def _encode_event(
    sequence: Sequence,
    object_type: str,
    text: str,
    finish_reason: str | None,
    **fields: Any,
) -> bytes:
    event = {
        'id': sequence.request_id,
        'object': object_type,
        'model': sequence.target,
        'choices': [_make_choice(object_type, text, finish_reason)],
        **fields,
    }
    return f'data: {json.dumps(event)}\n\n'.encode()


def _make_choice(
    object_type: str, text: str, finish_reason: str | None
) -> dict[str, Any]:
    if object_type == 'chat.completion.chunk':
        delta = {'content': text} if text else {}
        return {'index': 0, 'delta': delta, 'finish_reason': finish_reason}
    if object_type == 'chat.completion':
        message = {'role': 'assistant', 'content': text}
        return {'index': 0, 'message': message, 'finish_reason': finish_reason}
    return {'index': 0, 'text': text, 'finish_reason': finish_reason}
