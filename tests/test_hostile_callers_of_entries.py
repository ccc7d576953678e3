"""Callers outside the limits at the process of an entry.

The entry is told that its host has 200 MB. It takes bodies of 900 KB, so that the
crowd is larger than that at a gateway: its bodies are 270 MB.
"""

import asyncio

import pytest

from tests.hostile_callers import PIECE_BYTES, connect, measured, write_all
from tests.processes import run_processes

MEMORY_LIMIT_BYTES = 200_000_000
MAX_DESCRIPTORS = 512
BODY_BYTES = 900_000
CALLERS = 300
ENDLESS_BYTES = 2 << 20
SETTINGS = (
    f'memory_mb = 200\nmax_body_bytes = {BODY_BYTES}\nmax_connections = 400\n'
)
POST = (
    b'POST /services/ledger/postings HTTP/1.1\r\nHost: a\r\n'
    b'X-Work-Class: posting\r\nContent-Type: application/json\r\n'
)
WITH_LENGTH = POST + b'Content-Length: %d\r\n\r\n' % BODY_BYTES
CHUNKED = POST + b'Transfer-Encoding: chunked\r\n\r\n'
BODY = b'{"key": "k"' + b' ' * (BODY_BYTES - 12) + b'}'
LARGE_CHUNK = b'%x\r\n%s\r\n' % (BODY_BYTES, BODY)
SMALL_CHUNK = b'40\r\n' + b'x' * 64 + b'\r\n'
# What each kind of client writes before it reads nothing and stays connected.
WRITERS = {
    'endless header': POST + b'A: ' + b'x' * ENDLESS_BYTES,
    'endless headers': POST + b'A: b\r\n' * (ENDLESS_BYTES // 6),
    'head short of its end': POST + b'A: ' + b'x' * 60_000,
    'empty lines': b'\r\n' * (ENDLESS_BYTES // 2),
    'whole bodies': WITH_LENGTH + BODY,
    'bodies short of one byte': WITH_LENGTH + BODY[:-1],
    'large chunk short of the end': CHUNKED + LARGE_CHUNK,
    'small chunks short of the end': (
        CHUNKED + SMALL_CHUNK * (BODY_BYTES // 64)
    ),
}


@pytest.mark.parametrize('kind', WRITERS)
async def test_hostile_requests_stay_within_the_memory(tmp_path, kind):
    """Guards against requests that take the memory of a host of 200 MB."""
    async with run_processes(
        tmp_path, entries=1, ledger_delay=1, entry_settings=SETTINGS
    ) as cluster:
        process = cluster.running['entry-0'].process
        address = cluster.urls['entry-0'].removeprefix('http://')
        async with measured(process, address) as usage:
            socks = [await connect(address) for _ in range(CALLERS)]
            await asyncio.gather(
                *(write_all(sock, WRITERS[kind]) for sock in socks)
            )
            await asyncio.sleep(0.5)
            url = cluster.urls['entry-0'] + '/v1/models'
            async with cluster.session.get(url) as response:
                assert response.status == 200
            usage.sample()
            url = cluster.urls['entry-0/operators'] + '/metrics'
            async with cluster.session.get(url) as response:
                assert 'bramleybeam_held_bytes{' in await response.text()
            assert process.returncode is None
            assert usage.memory_bytes < MEMORY_LIMIT_BYTES, usage
            assert usage.descriptors < MAX_DESCRIPTORS, usage
            for sock in socks:
                sock.close()


async def test_idle_connections_stay_within_their_number(tmp_path):
    """Guards against connections that use up the descriptors of a host."""
    async with run_processes(
        tmp_path, entries=1, entry_settings=SETTINGS
    ) as cluster:
        process = cluster.running['entry-0'].process
        address = cluster.urls['entry-0'].removeprefix('http://')
        async with measured(process, address) as usage:
            socks = []
            for number in range(MAX_DESCRIPTORS + 100):
                socks.append(await connect(address))
                await write_all(socks[-1], b'' if number % 2 else b'POST / H')
            await asyncio.sleep(0.5)
            url = cluster.urls['entry-0'] + '/v1/models'
            async with cluster.session.get(url) as response:
                assert response.status == 200
            usage.sample()
            assert usage.descriptors < MAX_DESCRIPTORS, usage
            for sock in socks:
                sock.close()


async def test_single_large_request_is_served(tmp_path):
    """Guards against a budget that refuses a body of the legal size."""
    async with run_processes(
        tmp_path, entries=1, entry_settings=SETTINGS
    ) as cluster:
        address = cluster.urls['entry-0'].removeprefix('http://')
        sock = await connect(address)
        await write_all(sock, WITH_LENGTH + BODY)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(30):
            answer = await loop.sock_recv(sock, PIECE_BYTES)
        sock.close()
        assert answer.startswith(b'HTTP/1.1 201 '), answer
