"""Access by TLS certificates, peer keys, caller keys and operator keys."""

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
from tests.certificates import make_authority, write_key_pair
from tests.documents import make_document


class Listener:
    """Counts the links that were opened and ignores all other events."""

    def __init__(self) -> None:
        self.opened = 0

    def link_opened(self, link):
        """Count the link."""
        self.opened += 1

    def frame_received(self, link, frame):
        """Ignore the frame."""

    def link_lost(self, link):
        """Ignore the loss."""


def make_entry_identity(key=''):
    """Return the identity of an entry with a peer key."""
    return make_identity('test', 'entry', 'east', key)


@pytest.mark.parametrize(
    ('server_key', 'client_key', 'is_accepted'),
    [('', '', True), ('a', 'a', True), ('a', 'b', False), ('a', '', False)],
)
async def test_a_peer_needs_the_peer_key(server_key, client_key, is_accepted):
    """A link from a peer with another key is closed after its hello."""
    listener = Listener()
    server = LinkServer(
        '127.0.0.1:0', make_entry_identity(server_key), listener
    )
    await server.start()
    try:
        link = await connect_link(
            server.address, make_entry_identity(client_key), Listener()
        )
        link.close()
    except LinkLost:
        assert not is_accepted
    await asyncio.sleep(0.05)
    assert bool(listener.opened) == is_accepted
    await server.close()


@pytest.mark.parametrize(
    ('client', 'is_accepted'),
    [('own', True), ('foreign', False), ('plain', False)],
)
async def test_tls_accepts_only_certificates_of_the_authority(
    tmp_path, client, is_accepted
):
    """Both sides need a certificate that the same authority signed."""
    authority = make_authority()
    server_trust = TrustStore(write_key_pair(tmp_path, authority, 'server'))
    client_trust = {
        'own': TrustStore(write_key_pair(tmp_path, authority, 'client')),
        'foreign': TrustStore(
            write_key_pair(tmp_path, make_authority(), 'other')
        ),
        'plain': TrustStore(TlsSettings()),
    }[client]
    listener = Listener()
    server = LinkServer(
        '127.0.0.1:0',
        make_entry_identity(),
        listener,
        server_trust.make_server_context(),
    )
    await server.start()
    try:
        link = await connect_link(
            server.address,
            make_entry_identity(),
            Listener(),
            client_trust.make_client_context(),
        )
        link.close()
    except LinkLost:
        assert not is_accepted
    await asyncio.sleep(0.05)
    assert bool(listener.opened) == is_accepted
    await server.close()


async def test_renewed_keys_are_used_without_restart(tmp_path):
    """After a refresh, handshakes use the new certificate.

    If the new key is unreadable, the previous certificate stays in use.
    """
    authority = make_authority()
    settings = write_key_pair(tmp_path, authority, 'server')
    trust = TrustStore(settings)
    server = LinkServer(
        '127.0.0.1:0',
        make_entry_identity(),
        Listener(),
        trust.make_server_context(),
    )
    await server.start()
    client = TrustStore(
        write_key_pair(tmp_path, authority, 'client')
    ).make_client_context()
    before = await _read_server_certificate(server.address, client)
    write_key_pair(tmp_path, authority, 'server')
    await trust.refresh()
    after = await _read_server_certificate(server.address, client)
    assert before != after
    (tmp_path / 'server.key').write_text('broken')
    await trust.refresh()
    assert await _read_server_certificate(server.address, client) == after
    await server.close()


async def _read_server_certificate(address, context):
    host, _, port = address.rpartition(':')
    _, writer = await asyncio.open_connection(
        host, int(port), ssl=context, server_hostname=host
    )
    certificate = writer.get_extra_info('ssl_object').getpeercert(
        binary_form=True
    )
    writer.transport.abort()
    return certificate


@pytest.mark.parametrize('key', ['', 'wrong', 'operator-key'])
async def test_callers_need_a_caller_key(key):
    """Caller keys don't work for operators, nor operator keys for callers."""
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


async def test_a_deployment_runs_over_tls(tmp_path):
    """Entries, agents and callers use TLS for all connections."""
    authority = make_authority()
    options = DemoOptions(
        time_scale=0.1,
        tls=write_key_pair(tmp_path, authority, 'process'),
        caller_tls=attrs.evolve(
            write_key_pair(tmp_path, authority, 'callers'), authority=''
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
