"""OpenAI's shapes: bodies that are taken, and answers that are given."""

import json
import time
from typing import Any, Final

from expression import Error, Ok, Result

from bramleybeam.entry._exchange import Ending, Exchange
from bramleybeam.errors import ErrorKind, Refusal, refuse

_UNSUPPORTED: Final = ('tools', 'functions', 'logprobs', 'suffix', 'audio')
_MAX_BRACKETS: Final = 10_000
_MAX_ELEMENTS: Final = 60_000
_MAX_MESSAGES: Final = 2_000
DONE_EVENT: Final = b'data: [DONE]\n\n'


def parse_body(raw: bytes, path: str) -> Result[dict[str, Any], Refusal]:
    """Parse and check a body; the refusal names the parameter."""
    if _is_too_rich(raw):
        detail = f'At most {_MAX_ELEMENTS} elements are taken.'
        return Error(refuse(ErrorKind.REQUEST_TOO_LARGE, detail))
    try:
        body = json.loads(raw)
    except (ValueError, RecursionError):
        return Error(refuse(ErrorKind.INVALID_REQUEST, 'The body is not JSON.'))
    if not isinstance(body, dict):
        return Error(_invalid('The body must be an object.'))
    problem = _find_problem(body, path)
    return Error(_invalid(problem)) if problem else Ok(body)


def refusal_body(refusal: Refusal, request_id: str) -> dict[str, Any]:
    """Shape a refusal as an OpenAI error with what is known of execution."""
    is_request_fault = refusal.status < 429  # noqa: PLR2004
    return {
        'error': {
            'message': refusal.message,
            'type': 'invalid_request_error'
            if is_request_fault
            else 'server_error',
            'code': str(refusal.kind),
            'param': None,
            'execution': str(refusal.execution),
            'not_run': refusal.execution == 'not_run',
            'outcome_unknown': refusal.execution == 'outcome_unknown',
            'remedy': refusal.remedy,
            'request_id': request_id,
        },
    }


def event_prefix(exchange: Exchange) -> bytes:
    """Encode the part that all events of one answer share."""
    head = {
        'id': exchange.request_id,
        'object': _object(exchange, stream=True),
        'created': int(time.time()),
        'model': exchange.target,
    }
    encoded = json.dumps(head, separators=(',', ':'))
    return f'data: {encoded[:-1]},"choices":[{{"index":0,'.encode()


def text_event(exchange: Exchange, prefix: bytes, body: bytes) -> bytes:
    """Encode a piece of the answer as a server-sent event."""
    text = json.dumps(body.decode()).encode()
    if _is_chat(exchange):
        inner = b'"delta":{"role":"assistant","content":' + text + b'}'
    else:
        inner = b'"text":' + text
    return prefix + inner + b',"finish_reason":null}]}\n\n'


def end_event(exchange: Exchange, prefix: bytes, ending: Ending) -> bytes:
    """Encode the finish mark, with the usage where it was asked for."""
    reason = json.dumps(ending.finish_reason).encode()
    inner = b'"delta":{}' if _is_chat(exchange) else b'"text":""'
    event = prefix + inner + b',"finish_reason":' + reason + b'}]'
    options = exchange.body.get('stream_options') or {}
    if options.get('include_usage'):
        usage = json.dumps(make_usage(ending)).encode()
        event += b',"usage":' + usage
    return event + b'}\n\n'


def whole_answer(
    exchange: Exchange, text: str, ending: Ending
) -> dict[str, Any]:
    """Shape a whole answer."""
    choice: dict[str, Any] = {
        'index': 0,
        'finish_reason': ending.finish_reason,
        'logprobs': None,
    }
    if _is_chat(exchange):
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return {
        'id': exchange.request_id,
        'object': _object(exchange, stream=False),
        'created': int(time.time()),
        'model': exchange.target,
        'choices': [choice],
        'usage': make_usage(ending),
    }


def make_usage(ending: Ending) -> dict[str, Any]:
    """Shape the usage of an answer."""
    return {
        'prompt_tokens': ending.prompt_tokens,
        'completion_tokens': ending.tokens,
        'total_tokens': ending.prompt_tokens + ending.tokens,
        'prompt_tokens_details': {'cached_tokens': ending.cached_tokens},
    }


def _is_too_rich(raw: bytes) -> bool:
    """Whether parsing could hold the event loop for long.

    Brackets and commas bound the number of elements; those in texts count as
    well, so the limits are far above what texts hold.
    """
    brackets = raw.count(b'{') + raw.count(b'[')
    return brackets > _MAX_BRACKETS or raw.count(b',') > _MAX_ELEMENTS


def _find_problem(body: dict[str, Any], path: str) -> str:
    if not isinstance(body.get('model'), str):
        return 'model must be a text.'
    problem = _find_content_problem(body, path)
    if problem:
        return problem
    for name in _UNSUPPORTED:
        if body.get(name):
            return f'{name} is not supported; leave it out.'
    if body.get('n') not in (None, 1):  # noqa: WPS510
        return 'n must be 1.'
    for name in ('max_tokens', 'max_completion_tokens'):
        limit = body.get(name)
        is_whole = isinstance(limit, int) and not isinstance(limit, bool)
        if limit is not None and (not is_whole or limit < 1):
            return f'{name} must be a whole number from 1.'
    if not isinstance(body.get('stream', False), bool):
        return 'stream must be true or false.'
    if not isinstance(body.get('stream_options'), dict | None):
        return 'stream_options must be an object.'
    return ''


def _find_content_problem(body: dict[str, Any], path: str) -> str:
    if not path.endswith('/chat/completions'):
        is_text = isinstance(body.get('prompt'), str)
        return '' if is_text else 'prompt must be a text.'
    messages = body.get('messages')
    if not isinstance(messages, list) or not messages:
        return 'messages must be a list that is not empty.'
    if len(messages) > _MAX_MESSAGES:
        return f'messages must have at most {_MAX_MESSAGES} elements.'
    for message in messages:
        if not isinstance(message, dict) or 'role' not in message:
            return 'each of messages must have a role and content.'
    return ''


def _invalid(detail: str) -> Refusal:
    return refuse(ErrorKind.INVALID_REQUEST, detail)


def _is_chat(exchange: Exchange) -> bool:
    return exchange.path.endswith('/chat/completions')


def _object(exchange: Exchange, *, stream: bool) -> str:
    if not _is_chat(exchange):
        return 'text_completion'
    return 'chat.completion.chunk' if stream else 'chat.completion'
