"""Random and mutated input on every port never ends a process."""

import asyncio
import json

import aiohttp
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bramleybeam.demo import DemoCluster, DemoOptions
from bramleybeam.documents import decode_applied
from bramleybeam.messages import MessageError, Order, Report, decode
from tests.documents import make_document

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=9),
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(st.text(max_size=9), children, max_size=4)
    ),
    max_leaves=12,
)
GOOD_BODY = {
    'model': 'drafter-a',
    'messages': [{'role': 'user', 'content': 'x'}],
    'stream': False,
    'max_tokens': 3,
    'n': 1,
    'stream_options': {'include_usage': True},
}
FIXED_EXAMPLES = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    suppress_health_check=list(HealthCheck),
)


@pytest.fixture(scope='module')
def running():
    """Yield an event loop and one deployment on it for all examples."""
    loop = asyncio.new_event_loop()
    cluster = DemoCluster(make_document(), DemoOptions(time_scale=0.05))
    loop.run_until_complete(cluster.start())
    loop.run_until_complete(cluster.wait_reachable(60))
    yield loop, cluster
    loop.run_until_complete(cluster.close())
    loop.close()


def send(running, path, raw, method='POST', headers=None):
    """Send raw bytes to an entry; return the status and body of the answer."""
    loop, cluster = running

    async def send_request():
        async with aiohttp.ClientSession() as session:
            async with session.request(
                method, cluster.urls[0] + path, data=raw, headers=headers
            ) as response:
                return response.status, await response.read()

    return loop.run_until_complete(send_request())


@given(raw=st.binary(max_size=300))
@FIXED_EXAMPLES
def test_random_bodies_are_refused_by_name(running, raw):
    """Bytes that are no request get a typed refusal."""
    status, body = send(running, '/v1/chat/completions', raw)
    assert status == 400
    assert json.loads(body)['error']['not_run'] is True


@given(
    key=st.sampled_from([*GOOD_BODY, 'tools', 'temperature', 'zz']),
    value=JSON_VALUES,
)
@FIXED_EXAMPLES
def test_mutated_bodies_get_an_answer_or_a_refusal(running, key, value):
    """One parameter of any JSON value never breaks the entry."""
    raw = json.dumps({**GOOD_BODY, key: value}).encode()
    status, body = send(running, '/v1/chat/completions', raw)
    assert status in {200, 400, 404, 502}, body
    if status != 200:
        assert json.loads(body)['error']['remedy']


@pytest.mark.parametrize(
    ('raw', 'expected'),
    [
        (b'[' * 9_000, 400),
        (b'{"model":"drafter-a","messages":' + b'[' * 9_000, 400),
        (b'[' * 100_000, 413),
        (b'{"messages":[' + b'{},' * 39_000 + b'{}]}', 413),
        (b'{"n":[' + b'1,' * 100_000 + b'1]}', 413),
        (
            json.dumps(
                {**GOOD_BODY, 'messages': [{'role': 'u'}] * 3000}
            ).encode(),
            400,
        ),
        (b'x' * 600_000, 413),
        (json.dumps({**GOOD_BODY, 'model': 'm' * 10_000}).encode(), 404),
    ],
    ids=[
        'deep',
        'deep inside',
        'very deep',
        'many objects',
        'many numbers',
        'many messages',
        'large',
        'long name',
    ],
)
def test_large_and_deep_bodies_are_refused(running, raw, expected):
    """Bodies over the limits of size or depth are refused as not run."""
    status, body = send(running, '/v1/chat/completions', raw)
    assert status == expected
    assert json.loads(body)['error']['execution'] == 'not_run'


@pytest.mark.parametrize(
    ('headers', 'code'),
    [
        ({'X-Work-Class': 'nonesuch'}, 'unknown_class'),
        ({'X-Work-Class': '\xff\xfe'}, 'unknown_class'),
        ({'Idempotency-Key': 'k' * 500}, 'invalid_request'),
    ],
)
def test_bad_headers_get_a_typed_refusal(running, headers, code):
    """An unconfigured class and a too long key get a typed refusal."""
    raw = json.dumps(GOOD_BODY).encode()
    status, body = send(running, '/v1/chat/completions', raw, headers=headers)
    assert status == 400
    assert json.loads(body)['error']['code'] == code


@given(noise=st.binary(max_size=200))
@FIXED_EXAMPLES
def test_noise_on_peer_ports_changes_nothing(running, noise):
    """Bytes on the ports of entries and agents end that connection only."""
    loop, cluster = running
    agent = cluster.agents['engine-1']
    for address in (cluster.entries[0].address, agent.address):
        loop.run_until_complete(_write_noise(address, noise))
    status, _ = send(running, '/ready', b'', method='GET')
    assert status == 200


async def _write_noise(address, noise):
    host, _, port = address.rpartition(':')
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(noise)
    await writer.drain()
    writer.close()


@given(
    body=st.binary(max_size=200)
    | JSON_VALUES.map(lambda json_value: json.dumps(json_value).encode())
)
@FIXED_EXAMPLES
def test_messages_decode_or_say_why(body):
    """Any body is a message or a message error."""
    for message_type in (Report, Order):
        try:
            decode(body, message_type)
        except MessageError as error:
            assert message_type.__name__ in str(error)


@given(text=st.text(max_size=200) | JSON_VALUES.map(json.dumps))
@FIXED_EXAMPLES
def test_documents_decode_or_name_problems(text):
    """Any text is a document or a list of problems."""
    outcome = decode_applied(text)
    assert outcome.is_error()
    assert all(str(problem) for problem in outcome.error)
