"""Requests that tests send to the callers' interface of an entry."""

import asyncio
import json
from typing import Any

import aiohttp
import attrs

from bramleybeam.standins import answer_tokens


@attrs.frozen
class Answer:
    """Answer that a caller received; ``replayed`` if it was a stored one."""

    status: int
    text: str
    error: dict[str, Any] = attrs.field(factory=dict)
    replayed: bool = False

    @property
    def not_run(self) -> bool:
        """Whether the error states that the request has not run."""
        return bool(self.error.get('not_run'))


def expected_text(model: str, prompt: str) -> str:
    """Return the stand-in's answer to a chat request."""
    return ''.join(answer_tokens(model, f'user: {prompt}', None))


async def ask(
    session: aiohttp.ClientSession,
    url: str,
    model: str,
    prompt: str,
    *,
    stream: bool = True,
    key: str = '',
    begun: asyncio.Event | None = None,
) -> Answer:
    """Request a chat completion and return the answer.

    ``begun`` is set when the first event of a stream has arrived.
    """
    body = {
        'model': model,
        'messages': [{'role': 'user', 'content': prompt}],
        'stream': stream,
    }
    headers = {'Idempotency-Key': key} if key else {}
    async with session.post(
        f'{url}/v1/chat/completions', json=body, headers=headers
    ) as response:
        if response.status != 200:
            return Answer(response.status, '', (await response.json())['error'])
        if not stream:
            completion = await response.json()
            replayed = 'idempotent-replayed' in response.headers
            text = completion['choices'][0]['message']['content']
            return Answer(200, text, replayed=replayed)
        return await _read_stream(response, begun)


async def post(
    session: aiohttp.ClientSession,
    url: str,
    key: str,
    work_class: str = 'posting',
) -> Answer:
    """Post to the ledger with an idempotency key and return the answer."""
    headers = {'X-Work-Class': work_class, 'Idempotency-Key': key}
    async with session.post(
        f'{url}/services/ledger/postings', json={'key': key}, headers=headers
    ) as response:
        body = await response.json()
        replayed = 'idempotent-replayed' in response.headers
        error = body.get('error', {})
        return Answer(response.status, json.dumps(body), error, replayed)


async def _read_stream(
    response: aiohttp.ClientResponse,
    begun: asyncio.Event | None,
) -> Answer:
    texts: list[str] = []
    error: dict[str, Any] = {}
    finished = False
    async for line in response.content:
        if not line.startswith(b'data: '):
            continue
        if line.strip() == b'data: [DONE]':
            finished = True
            break
        event = json.loads(line.removeprefix(b'data: '))
        error = event.get('error', {})
        if error:
            break
        delta = event['choices'][0]['delta']
        texts.append(delta.get('content', ''))
        if begun is not None:
            begun.set()
    if not finished and not error:
        error = {'code': 'cut', 'not_run': False}
    return Answer(200, ''.join(texts), error)
