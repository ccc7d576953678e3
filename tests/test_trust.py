"""Who may connect: TLS, peer keys, caller keys and operator keys."""

import asyncio
import ssl

import aiohttp
import attrs
import pytest

from bramleybeam.demo import DemoCluster, DemoOptions
from bramleybeam.identity import make_identity
from bramleybeam.links import LinkLost, LinkServer, connect_link
from bramleybeam.settings import TlsSettings
from bramleybeam.trust import TrustStore
from tests.certificates import make_authority, write_pair
from tests.documents import make_document


class Listener:
    """Counts the connections that were opened."""

    def __init__(self) -> None:
        self.opened = 0

    def link_opened(self, link):
        """Count."""
        self.opened += 1

    def frame_received(self, link, frame):
        """Take no notice."""

    def link_lost(self, link):
        """Take no notice."""


def identity(key=''):
    """Make an identity with a peer key."""
    return make_identity('test', 'entry', 'east', key)


@pytest.mark.parametrize(
    ('server_key', 'client_key', 'is_let_in'),
    [('', '', True), ('a', 'a', True), ('a', 'b', False), ('a', '', False)],
)
async def test_a_peer_needs_the_peer_key(server_key, client_key, is_let_in):
    """A peer with another key gets no further than its hello."""
    listener = Listener()
    server = LinkServer('127.0.0.1:0', identity(server_key), listener)
    await server.start()
    try:
        link = await connect_link(
            server.address, identity(client_key), Listener()
        )
        link.close()
    except LinkLost:
        assert not is_let_in
    await asyncio.sleep(0.05)
    assert bool(listener.opened) == is_let_in
    await server.close()


@pytest.mark.parametrize(
    ('client', 'is_let_in'),
    [('own', True), ('foreign', False), ('plain', False)],
)
async def test_tls_lets_in_only_what_the_authority_signed(
    tmp_path, client, is_let_in
):
    """Both sides show a certificate of the same authority."""
    authority = make_authority()
    server_trust = TrustStore(write_pair(tmp_path, authority, 'server'))
    client_trust = {
        'own': TrustStore(write_pair(tmp_path, authority, 'client')),
        'foreign': TrustStore(write_pair(tmp_path, make_authority(), 'other')),
        'plain': TrustStore(TlsSettings()),
    }[client]
    listener = Listener()
    server = LinkServer(
        '127.0.0.1:0', identity(), listener, server_trust.make_server_context()
    )
    await server.start()
    try:
        link = await connect_link(
            server.address,
            identity(),
            Listener(),
            client_trust.make_client_context(),
        )
        link.close()
    except LinkLost:
        assert not is_let_in
    await asyncio.sleep(0.05)
    assert bool(listener.opened) == is_let_in
    await server.close()


async def test_renewed_keys_are_used_without_restart(tmp_path):
    """After a refresh a handshake shows the new certificate."""
    authority = make_authority()
    settings = write_pair(tmp_path, authority, 'server')
    trust = TrustStore(settings)
    server = LinkServer(
        '127.0.0.1:0', identity(), Listener(), trust.make_server_context()
    )
    await server.start()
    client = TrustStore(
        write_pair(tmp_path, authority, 'client')
    ).make_client_context()
    before = await _peer_certificate(server.address, client)
    write_pair(tmp_path, authority, 'server')
    await trust.refresh()
    after = await _peer_certificate(server.address, client)
    assert before != after
    (tmp_path / 'server.key').write_text('broken')
    await trust.refresh()
    assert await _peer_certificate(server.address, client) == after
    await server.close()


async def _peer_certificate(address, context):
    host, _, port = address.rpartition(':')
    _, writer = await asyncio.open_connection(
        host, int(port), ssl=context, server_hostname=host
    )
    shown = writer.get_extra_info('ssl_object').getpeercert(binary_form=True)
    writer.transport.abort()
    return shown


@pytest.mark.parametrize('key', ['', 'wrong', 'operator-key'])
async def test_callers_need_a_caller_key(key):
    """An operator's key does not let a caller in, nor the other way round."""
    options = DemoOptions(
        entries=1,
        caller_keys=('carter:caller-key',),
        operator_keys=('olive:operator-key',),
    )
    cluster = DemoCluster(attrs.evolve(make_document(), upstreams=()), options)
    await cluster.start()
    try:
        async with aiohttp.ClientSession() as session:
            headers = {'Authorization': f'Bearer {key}'}
            body = {'model': 'drafter-a', 'prompt': 'x'}
            entry = cluster.entries[0]
            async with session.post(
                f'{entry.url}/v1/completions', json=body, headers=headers
            ) as response:
                assert response.status == 401
                assert (await response.json())['error']['not_run']
            async with session.get(
                f'{entry.operator_url}/status', headers=headers
            ) as response:
                expected = 200 if key == 'operator-key' else 401
                assert response.status == expected
            async with session.get(
                f'{entry.operator_url}/status',
                headers={'Authorization': 'Bearer caller-key'},
            ) as response:
                assert response.status == 401
    finally:
        await cluster.close()


async def test_a_whole_deployment_runs_over_tls(tmp_path):
    """Entries, agents and callers speak TLS alone."""
    authority = make_authority()
    options = DemoOptions(
        time_scale=0.1,
        tls=write_pair(tmp_path, authority, 'process'),
        caller_tls=attrs.evolve(
            write_pair(tmp_path, authority, 'callers'), authority=''
        ),
    )
    cluster = DemoCluster(make_document(), options)
    await cluster.start()
    try:
        await cluster.wait_reachable(60)
        context = ssl.create_default_context(
            cafile=str(tmp_path / 'callers.ca')
        )
        async with aiohttp.ClientSession() as session:
            async with session.post(
                f'{cluster.urls[0]}/v1/completions',
                json={'model': 'drafter-a', 'prompt': 'x'},
                ssl=context,
            ) as response:
                assert response.status == 200
                assert cluster.urls[0].startswith('https')
    finally:
        await cluster.close()
