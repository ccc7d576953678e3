"""The whole path in one process, as the feature describes it."""

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
class World:
    """What the steps of a scenario share."""

    loop: asyncio.AbstractEventLoop
    cluster: DemoCluster
    target: str = ''
    answer: str = ''
    refusal: dict[str, Any] = attrs.field(factory=dict)


@pytest.fixture(scope='module')
def running_world():
    """Run one deployment for all scenarios of the feature."""
    loop = asyncio.new_event_loop()
    options = DemoOptions(zones=('east', 'west'), time_scale=0.1)
    cluster = DemoCluster(make_document(), options)
    loop.run_until_complete(cluster.start())
    loop.run_until_complete(cluster.wait_reachable(60))
    yield World(loop, cluster)
    loop.run_until_complete(cluster.close())
    loop.close()


@given('a small deployment with every model reachable', target_fixture='world')
def given_deployment(running_world):
    """Use the running deployment."""
    return running_world


@when(parsers.parse('a caller asks {target} for a {shape} answer'))
def ask(world, target, shape):
    """Ask with the official client."""
    world.target = target
    work = _ask(world, target, stream=shape == 'streamed')
    world.loop.run_until_complete(work)


async def _ask(world: World, target: str, *, stream: bool) -> None:
    client = openai.AsyncOpenAI(
        base_url=f'{world.cluster.urls[0]}/v1',
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
        world.refusal = error.response.json()['error']
        return
    if stream:
        parts = [event.choices[0].delta.content or '' async for event in answer]
        world.answer = ''.join(parts)
    else:
        world.answer = answer.choices[0].message.content
    await client.close()


@then('the answer is what the upstream makes of that request')
def check_answer(world):
    """Compare byte for byte."""
    expected = ''.join(answer_tokens(world.target, f'user: {PROMPT}', None))
    assert world.answer == expected


@then(parsers.parse('the refusal says {kind} and not run'))
def check_refusal(world, kind):
    """Look at the typed fields."""
    assert world.refusal['code'] == kind
    assert world.refusal['not_run'] is True
    assert world.refusal['remedy']


@when('a caller posts to the ledger under one key')
def post(world):
    """Post with an idempotency key."""

    async def send() -> None:
        async with aiohttp.ClientSession() as session:
            response = await session.post(
                f'{world.cluster.urls[0]}/services/ledger/postings',
                data=json.dumps({'key': 'k-1'}),
                headers={
                    'X-Work-Class': 'posting',
                    'Idempotency-Key': 'k-1',
                    'Content-Type': 'application/json',
                },
            )
            assert response.status == 201

    world.loop.run_until_complete(send())


@then('the ledger has run that key once')
def check_ledger(world):
    """Read the ledger's own count."""
    assert world.cluster.ledgers['book-1'].posts['k-1'] == 1
