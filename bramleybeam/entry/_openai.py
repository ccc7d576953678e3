"""Parses request bodies and encodes answers in OpenAI's format."""

import json
import time
from typing import Any, Final

from expression import Error, Ok, Result

from bramleybeam.entry._exchange import AnswerEnd, Exchange
from bramleybeam.errors import ErrorKind, Refusal, refuse

# Parameters that are refused if they are set.
_UNSUPPORTED: Final = ('tools', 'functions', 'logprobs', 'suffix', 'audio')
# Limits on opening brackets and on commas in a body; see
# ``_has_too_many_elements``.
_MAX_BRACKETS: Final = 10_000
_MAX_ELEMENTS: Final = 60_000
_MAX_MESSAGES: Final = 2_000
DONE_EVENT: Final = b'data: [DONE]\n\n'


def parse_body(raw_body: bytes, path: str) -> Result[dict[str, Any], Refusal]:
    """Parse and validate a body; a refusal names the invalid parameter."""
    if _has_too_many_elements(raw_body):
        detail = f'At most {_MAX_ELEMENTS} elements are accepted.'
        return Error(refuse(ErrorKind.REQUEST_TOO_LARGE, detail))
    try:
        body = json.loads(raw_body)
    except (ValueError, RecursionError):
        return Error(refuse(ErrorKind.INVALID_REQUEST, 'The body is not JSON.'))
    if not isinstance(body, dict):
        return Error(_refuse_invalid('The body must be an object.'))
    problem = _find_problem(body, path)
    return Error(_refuse_invalid(problem)) if problem else Ok(body)


def make_error_body(refusal: Refusal, request_id: str) -> dict[str, Any]:
    """Return a refusal as an OpenAI error object.

    It also states whether the request ran.
    """
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


def make_event_prefix(exchange: Exchange) -> bytes:
    """Encode the beginning that all events of an answer have in common."""
    envelope = {
        'id': exchange.request_id,
        'object': _object_type(exchange, stream=True),
        'created': int(time.time()),
        'model': exchange.target,
    }
    encoded = json.dumps(envelope, separators=(',', ':'))
    return f'data: {encoded[:-1]},"choices":[{{"index":0,'.encode()


def make_text_event(exchange: Exchange, prefix: bytes, body: bytes) -> bytes:
    """Encode a part of the answer text as a server-sent event."""
    text = json.dumps(body.decode()).encode()
    if _is_chat(exchange):
        choice_fields = b'"delta":{"role":"assistant","content":' + text + b'}'
    else:
        choice_fields = b'"text":' + text
    return prefix + choice_fields + b',"finish_reason":null}]}\n\n'


def make_end_event(
    exchange: Exchange, prefix: bytes, answer_end: AnswerEnd
) -> bytes:
    """Encode the last event, with the usage if the request asked for it."""
    reason = json.dumps(answer_end.finish_reason).encode()
    choice_fields = b'"delta":{}' if _is_chat(exchange) else b'"text":""'
    event = prefix + choice_fields + b',"finish_reason":' + reason + b'}]'
    options = exchange.body.get('stream_options') or {}
    if options.get('include_usage'):
        usage = json.dumps(make_usage(answer_end)).encode()
        event += b',"usage":' + usage
    return event + b'}\n\n'


def make_answer(
    exchange: Exchange, text: str, answer_end: AnswerEnd
) -> dict[str, Any]:
    """Return a complete answer as the body of a response."""
    choice: dict[str, Any] = {
        'index': 0,
        'finish_reason': answer_end.finish_reason,
        'logprobs': None,
    }
    if _is_chat(exchange):
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return {
        'id': exchange.request_id,
        'object': _object_type(exchange, stream=False),
        'created': int(time.time()),
        'model': exchange.target,
        'choices': [choice],
        'usage': make_usage(answer_end),
    }


def make_usage(answer_end: AnswerEnd) -> dict[str, Any]:
    """Return the token usage of an answer."""
    return {
        'prompt_tokens': answer_end.prompt_tokens,
        'completion_tokens': answer_end.tokens,
        'total_tokens': answer_end.prompt_tokens + answer_end.tokens,
        'prompt_tokens_details': {'cached_tokens': answer_end.cached_tokens},
    }


def _has_too_many_elements(raw_body: bytes) -> bool:
    """Whether parsing the body could block the event loop for long.

    Brackets and commas are an upper bound of the number of elements. Those
    inside strings count too, so the limits are far above what ordinary
    prompts contain.
    """
    brackets = raw_body.count(b'{') + raw_body.count(b'[')
    return brackets > _MAX_BRACKETS or raw_body.count(b',') > _MAX_ELEMENTS


def _find_problem(body: dict[str, Any], path: str) -> str:
    if not isinstance(body.get('model'), str):
        return 'model must be a string.'
    problem = _find_content_problem(body, path)
    if problem:
        return problem
    for name in _UNSUPPORTED:
        if body.get(name):
            return f'{name} is not supported; omit it.'
    if body.get('n') not in (None, 1):  # noqa: WPS510
        return 'n must be 1.'
    for name in ('max_tokens', 'max_completion_tokens'):
        limit = body.get(name)
        is_integer = isinstance(limit, int) and not isinstance(limit, bool)
        if limit is not None and (not is_integer or limit < 1):
            return f'{name} must be an integer of at least 1.'
    if not isinstance(body.get('stream', False), bool):
        return 'stream must be true or false.'
    if not isinstance(body.get('stream_options'), dict | None):
        return 'stream_options must be an object.'
    return ''


def _find_content_problem(body: dict[str, Any], path: str) -> str:
    if not path.endswith('/chat/completions'):
        is_string = isinstance(body.get('prompt'), str)
        return '' if is_string else 'prompt must be a string.'
    messages = body.get('messages')
    if not isinstance(messages, list) or not messages:
        return 'messages must be a non-empty list.'
    if len(messages) > _MAX_MESSAGES:
        return f'messages must have at most {_MAX_MESSAGES} elements.'
    for message in messages:
        if not isinstance(message, dict) or 'role' not in message:
            return 'each element of messages must have a role and content.'
    return ''


def _refuse_invalid(detail: str) -> Refusal:
    return refuse(ErrorKind.INVALID_REQUEST, detail)


def _is_chat(exchange: Exchange) -> bool:
    return exchange.path.endswith('/chat/completions')


def _object_type(exchange: Exchange, *, stream: bool) -> str:
    if not _is_chat(exchange):
        return 'text_completion'
    return 'chat.completion.chunk' if stream else 'chat.completion'
