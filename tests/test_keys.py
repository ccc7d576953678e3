"""Keys of callers at a gateway process, with stand-ins around it."""

import asyncio
import json
import signal

import pytest
import pytest_asyncio

from tests.platform_gateway import start_gateway
from tests.platform_replica import ReplicaStandIn
from tests.platform_site import SETTINGS, Site, make_configuration, make_route

KEY = 'key-of-hule'
OTHER_KEY = 'key-of-pona'
REVOCATION_S = 3
STRICT = f'strict-revoke = true\nrevoke-ms = {REVOCATION_S * 1000}\n'
OUTDATED = b'cannot be checked'
MODEL_HEADERS = {
    'Bramleybeam_Model': 'm1',
    'Bramleybeam_Token_Counts': '100,8',
}
PATHS = {'/post/2f': {}, '/look/2f': {}, '/digest/2f': MODEL_HEADERS}


def make_keyed_configuration(version, *keys):
    """Return a configuration with a workspace for each key."""
    configuration = make_configuration(version)
    configuration['tenants'] = [
        {'name': f'w-{key}', 'api-keys': [key], 'priority': 3} for key in keys
    ]
    public = make_route('open', 'ledger', 'idempotent')
    public['no-auth'] = True
    configuration['routes'].append(public)
    return configuration


def authorize(key):
    return {'Authorization': f'Bearer {key}'}


@pytest_asyncio.fixture
async def site(tmp_path):
    """Run a gateway with strict revocation, a store and two replicas."""
    running = Site(tmp_path)
    await running.store.start()
    try:
        running.store.put(
            'op/config', make_keyed_configuration(1, KEY, OTHER_KEY)
        )
        for name in ('l1', 'l2'):
            await running.add_replica(ReplicaStandIn(name, 'ledger'))
        await running.add_replica(
            ReplicaStandIn('e1', 'engine', models={'m1': frozenset()})
        )
        await start_strict(running)
        yield running
    finally:
        await running.close()


async def start_strict(site, *, is_ready=True):
    settings = site.folder / 'settings.toml'
    text = SETTINGS.format(store=site.store.address) + STRICT
    settings.write_text(text)
    site.gateway = await start_gateway(settings)
    if is_ready:
        await site.wait_ready()


async def wait_for_line(site, event):
    """Return the only log line of an event, which is written after a while."""
    async with asyncio.timeout(5):
        while not site.gateway.events(event):
            await asyncio.sleep(0.01)
    (line,) = site.gateway.events(event)
    return line


@pytest.mark.parametrize('path', PATHS)
async def test_replica_gets_the_workspace_and_no_key(site, path):
    """Guards against a key at a replica, and a workspace of the caller."""
    answer = await site.ask_with_id(
        'r1',
        path,
        **authorize(KEY),
        Bramleybeam_Tenant='other',
        **PATHS[path],
    )
    assert answer.status == 200
    (run,) = site.runs('r1')
    assert run.headers['bramleybeam-tenant'] == f'w-{KEY}'
    assert 'authorization' not in run.headers
    assert KEY not in json.dumps(site.gateway.log)


@pytest.mark.parametrize('path', ['/look/2f', '/digest/2f'])
async def test_retries_and_resumed_streams_have_the_workspace(site, path):
    fault = 'lost' if path == '/look/2f' else 'cut'
    for replica in site.replicas.values():
        replica.faults['r1'] = fault
    await site.ask_with_id('r1', path, **authorize(KEY), **PATHS[path])
    runs = site.runs('r1')
    assert len(runs) == 2
    for run in runs:
        assert run.headers['bramleybeam-tenant'] == f'w-{KEY}'
        assert 'authorization' not in run.headers


@pytest.mark.parametrize(
    ('path', 'headers', 'status', 'workspace'),
    [
        ('/post/2f', {}, 401, None),
        ('/post/2f', authorize('wrong'), 401, None),
        ('/post/2f', {'Authorization': f'Basic {KEY}'}, 401, None),
        ('/post/2f', {'Authorization': f'bearer {KEY}'}, 200, f'w-{KEY}'),
        ('/open/2f', {}, 200, None),
        ('/open/2f', authorize('wrong'), 200, None),
        ('/open/2f', authorize(OTHER_KEY), 200, f'w-{OTHER_KEY}'),
    ],
)
async def test_requests_need_a_key_unless_the_route_is_public(
    site, path, headers, status, workspace
):
    answer = await site.ask_with_id('r1', path, **headers)
    assert answer.status == status
    workspaces = [
        run.headers.get('bramleybeam-tenant') for run in site.runs('r1')
    ]
    assert workspaces == [workspace][: status == 200]
    if status == 401:
        assert answer.headers['www-authenticate'] == 'Bearer'
        line = await wait_for_line(site, 'access_refused')
        assert line['kind'] == 'unauthenticated'
        assert line['key_age_s'] < REVOCATION_S


async def test_removed_key_stops_to_work_and_a_new_one_works(site):
    site.store.put('op/config', make_keyed_configuration(2, KEY, 'key-new'))
    async with asyncio.timeout(2):
        while (
            await site.ask('/look/2f', **authorize(OTHER_KEY))
        ).status != 401:
            await asyncio.sleep(0.02)
    for key in (KEY, 'key-new'):
        assert (await site.ask('/look/2f', **authorize(key))).status == 200


async def test_key_that_is_removed_between_retries_is_refused(site):
    """Guards against an attempt with a key that was valid at admission."""
    for replica in site.replicas.values():
        replica.draw_fault = lambda: 'refuse'
    asked = asyncio.create_task(
        site.ask_with_id('r1', '/look/2f', **authorize(OTHER_KEY))
    )
    async with asyncio.timeout(2):
        while not site.gateway.events('attempt_failed'):
            await asyncio.sleep(0.01)
    assert not asked.done()
    site.store.put('op/config', make_keyed_configuration(2, KEY))
    assert (await asked).status == 401
    assert not site.runs('r1')
    line = await wait_for_line(site, 'refused')
    assert line['workspace'] == f'w-{OTHER_KEY}'
    assert line['key_age_s'] < REVOCATION_S


async def test_pipelined_request_is_judged_by_its_own_configuration(site):
    """The second request is read before the key is removed."""
    for replica in site.replicas.values():
        replica.pause_s = 0.8
    headers = (
        f'Host: desk.example\r\nAuthorization: Bearer {OTHER_KEY}\r\n'
        'Content-Length: 0\r\n'
    )
    host, _, port = site.gateway.callers_address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    for number in (1, 2):
        writer.write(
            f'POST /look/2f HTTP/1.1\r\n{headers}'
            f'Bramleybeam-Request-Id: p{number}\r\n\r\n'.encode()
        )
    async with asyncio.timeout(2):
        while not site.runs('p1'):
            await asyncio.sleep(0.01)
    site.store.put('op/config', make_keyed_configuration(2, KEY))
    received = b''
    async with asyncio.timeout(5):
        while received.count(b'HTTP/1.1 ') < 2:
            received += await reader.read(1 << 16)
    writer.close()
    statuses = [part[:3] for part in received.split(b'HTTP/1.1 ')[1:]]
    assert statuses == [b'200', b'401']
    assert not site.runs('p2')


async def test_keys_are_refused_while_the_store_is_lost(site):
    """A removal that the gateway can't hear of counts in time."""
    site.store.mode = 'unresponsive'
    lost_at = asyncio.get_running_loop().time()
    while True:
        asked_at = asyncio.get_running_loop().time()
        answer = await site.ask('/look/2f', **authorize(KEY))
        if answer.status == 503:
            break
        assert answer.status == 200
        assert asked_at - lost_at < REVOCATION_S
        await asyncio.sleep(0.02)
    assert OUTDATED in answer.body
    assert answer.headers['retry-after'] == '0.20'
    assert (await site.ask('/look/2f', **authorize('wrong'))).status == 503
    assert (await site.ask('/open/2f', **authorize(KEY))).status == 200
    await wait_for_line(site, 'keys_outdated')
    site.store.mode = 'up'
    async with asyncio.timeout(10):
        while (await site.ask('/look/2f', **authorize(KEY))).status != 200:
            await asyncio.sleep(0.05)
    line = await wait_for_line(site, 'keys_current')
    assert (line['version'], line['source']) == (1, 'store')


async def test_resumed_gateway_refuses_a_key_that_was_removed(site):
    """Its configuration is old, and the request waited in its socket."""
    site.gateway.process.send_signal(signal.SIGSTOP)
    site.store.mode = 'unresponsive'
    site.store.put('op/config', make_keyed_configuration(2, KEY))
    await asyncio.sleep(REVOCATION_S + 0.2)
    waiting = asyncio.create_task(
        site.ask_with_id('r1', '/look/2f', **authorize(OTHER_KEY))
    )
    await asyncio.sleep(0.2)
    site.gateway.process.send_signal(signal.SIGCONT)
    assert (await waiting).status == 503
    assert not site.runs('r1')


async def test_gateway_without_configuration_refuses(site):
    """A gateway that starts while the store is down knows no keys."""
    await site.gateway.kill()
    site.store.mode = 'busy'
    await start_strict(site, is_ready=False)
    for headers in ({}, authorize(KEY)):
        answer = await site.ask_with_id('r1', '/look/2f', **headers)
        assert answer.status == 503
    assert not site.runs('r1')
