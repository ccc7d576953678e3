"""Steps of the feature ``path.feature``, with all roles in one process."""

import asyncio
import json
from typing import Any

import aiohttp
import attrs
import openai
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bramleybeam.demo import DemoCluster, DemoOptions
from bramleybeam.standins import answer_tokens
from tests.documents import make_document

scenarios('features/path.feature')
PROMPT = 'Which hydrant is open?'


@attrs.define
class ScenarioState:
    """State that the steps of a scenario share."""

    loop: asyncio.AbstractEventLoop
    cluster: DemoCluster
    target: str = ''
    answer: str = ''
    refusal: dict[str, Any] = attrs.field(factory=dict)


@pytest.fixture(scope='module')
def shared_state():
    """Yield one deployment for all scenarios of the feature."""
    loop = asyncio.new_event_loop()
    options = DemoOptions(zones=('east', 'west'), time_scale=0.1)
    cluster = DemoCluster(make_document(), options)
    loop.run_until_complete(cluster.start())
    loop.run_until_complete(cluster.wait_reachable(60))
    yield ScenarioState(loop, cluster)
    loop.run_until_complete(cluster.close())
    loop.close()


@given('a small deployment with every model reachable', target_fixture='state')
def given_deployment(shared_state):
    """Return the running deployment."""
    return shared_state


@when(parsers.parse('a caller asks {target} for a {shape} answer'))
def ask(state, target, shape):
    """Send a chat request with the OpenAI client; store answer or refusal."""
    state.target = target
    request = _ask(state, target, stream=shape == 'streamed')
    state.loop.run_until_complete(request)


async def _ask(state: ScenarioState, target: str, *, stream: bool) -> None:
    client = openai.AsyncOpenAI(
        base_url=f'{state.cluster.urls[0]}/v1',
        api_key='none',
        max_retries=0,
    )
    messages: Any = [{'role': 'user', 'content': PROMPT}]
    try:
        answer = await client.chat.completions.create(
            model=target,
            messages=messages,
            stream=stream,
        )
    except openai.APIStatusError as error:
        state.refusal = error.response.json()['error']
        return
    if stream:
        parts = [event.choices[0].delta.content or '' async for event in answer]
        state.answer = ''.join(parts)
    else:
        state.answer = answer.choices[0].message.content
    await client.close()


@then('the answer is exactly what the upstream generates for that request')
def check_answer(state):
    """Compare the answer with the one that the stand-in generates."""
    expected = ''.join(answer_tokens(state.target, f'user: {PROMPT}', None))
    assert state.answer == expected


@then(parsers.parse('the refusal has the code {code} and is marked as not run'))
def check_refusal(state, code):
    """Check the error code, the remedy and that the request did not run."""
    assert state.refusal['code'] == code
    assert state.refusal['not_run'] is True
    assert state.refusal['remedy']


@when('a caller posts to the ledger with one idempotency key')
def post(state):
    """Post to the ledger with an idempotency key."""

    async def send() -> None:
        async with aiohttp.ClientSession() as session:
            response = await session.post(
                f'{state.cluster.urls[0]}/services/ledger/postings',
                data=json.dumps({'key': 'k-1'}),
                headers={
                    'X-Work-Class': 'posting',
                    'Idempotency-Key': 'k-1',
                    'Content-Type': 'application/json',
                },
            )
            assert response.status == 201

    state.loop.run_until_complete(send())


@then('the ledger has run the posting once')
def check_ledger(state):
    """Check the number of runs that the ledger counted for the key."""
    assert state.cluster.ledgers['book-1'].posts['k-1'] == 1
