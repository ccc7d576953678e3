"""Test of many concurrent callers that use the ``openai`` client."""

import asyncio
from typing import Any

import openai
import pytest

from bramleybeam.standins import answer_tokens

CALLERS = 50


async def _ask(url: str, model: str, prompt: str, *, stream: bool) -> str:
    """Return the text of a chat completion."""
    async with openai.AsyncOpenAI(
        base_url=f'{url}/v1',
        api_key='none',
        max_retries=0,
    ) as client:
        messages: Any = [{'role': 'user', 'content': prompt}]
        answer = await client.chat.completions.create(
            model=model,
            messages=messages,
            stream=stream,
        )
        if not stream:
            return answer.choices[0].message.content
        parts = [event.choices[0].delta.content or '' async for event in answer]
        return ''.join(parts)


@pytest.mark.parametrize('stream', [True, False], ids=['streamed', 'whole'])
async def test_each_caller_gets_its_own_complete_answer(cluster, stream):
    """Each answer equals the one that the stand-in computes from its prompt."""
    prompts = [f'question {index} of a carter' for index in range(CALLERS)]
    targets = ['drafter-a', 'drafter-b', 'council-a']
    answers = await asyncio.gather(
        *(
            _ask(
                cluster.urls[index % len(cluster.urls)],
                targets[index % len(targets)],
                prompt,
                stream=stream,
            )
            for index, prompt in enumerate(prompts)
        )
    )
    for index, prompt in enumerate(prompts):
        target = targets[index % len(targets)]
        expected = ''.join(answer_tokens(target, f'user: {prompt}', None))
        assert answers[index] == expected
