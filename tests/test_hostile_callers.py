"""Callers outside the limits and slow readers at a gateway process.

The gateway is told that its host has 200 MB. Nothing here depends on speed:
the process lives, its memory and its descriptors stay within bounds, and one
ordinary request is answered while the hostile connections are still open.
"""

import asyncio
from contextlib import asynccontextmanager, suppress

import pytest

from tests.hostile_callers import (
    CROWD_S,
    PIECE_BYTES,
    connect,
    list_queues,
    measured,
    write_all,
)
from tests.platform_replica import ReplicaStandIn
from tests.platform_site import (
    SETTINGS,
    make_configuration,
    make_route,
    run_site,
)

MEMORY_LIMIT_BYTES = 200_000_000
MAX_DESCRIPTORS = 512
BODY_BYTES = 4 << 20
# The crowd of each kind. Its bodies are 400 MB, its heads are smaller.
CALLERS = 100
HEADER_BYTES = 16_384
ENDLESS_BYTES = 2 << 20
EVENT = b'data: %s\n\n' % (b'x' * 32_000)
LIMITS = {
    'header-bytes': HEADER_BYTES,
    'max-body-bytes': BODY_BYTES,
    'header-timeout-ms': 60_000,
    'idle-timeout-ms': 60_000,
}
HOST_SETTINGS = SETTINGS.replace(
    'max-fds = 4096', f'max-fds = {MAX_DESCRIPTORS}\nmemory-mb = 200'
)
POST = (
    b'POST /post/2f HTTP/1.1\r\nHost: desk.example\r\n'
    b'Bramleybeam-Request-Id: h-%d\r\nBramleybeam-Request-Deadline: 20000\r\n'
)
# Requests of callers that read slowly, and the answers to them: 8 MB, or about
# 3.8 MB in the test that one such answer is read to its end.
READER_HEAD = (
    b'Host: desk.example\r\nBramleybeam-Request-Id: h-%d\r\n'
    b'Bramleybeam-Request-Deadline: 60000\r\nContent-Length: 0\r\n'
)
READER_REQUESTS = {
    'stream': b'POST /night/2f HTTP/1.1\r\nBramleybeam-Model: m2\r\n'
    b'Bramleybeam-Token-Counts: 100,8\r\n' + READER_HEAD + b'\r\n',
    'plain': b'GET /files/2f HTTP/1.1\r\n' + READER_HEAD + b'\r\n',
}
LARGE_EVENTS = 250
READ_ON_EVENTS = 120
# The time in which hostile callers read slowly.
READING_S = 10
WITH_LENGTH = POST + b'Content-Length: %d\r\n\r\n'
CHUNKED = POST + b'Transfer-Encoding: chunked\r\n\r\n'
BODY = b'x' * BODY_BYTES


def chunk_body(chunk_bytes: int) -> bytes:
    """Return the body in chunks of one size, without the last chunk."""
    chunk = b'%x\r\n%s\r\n' % (chunk_bytes, b'x' * chunk_bytes)
    return chunk * (BODY_BYTES // chunk_bytes)


def send_body(number: int, missing: int = 0) -> bytes:
    """Return a request with a body that lacks its last bytes."""
    head = WITH_LENGTH % (number, BODY_BYTES)
    return head + BODY[: BODY_BYTES - missing]


LARGE_CHUNKS = chunk_body(BODY_BYTES // 4)
SMALL_CHUNKS = chunk_body(64)
# What each kind of client writes, by the number of the client. Each keeps its
# connection open afterwards and reads nothing.
WRITERS = {
    'endless header': lambda number: (
        POST % number + b'A: ' + b'x' * ENDLESS_BYTES
    ),
    'endless headers': lambda number: (
        POST % number + b'A: b\r\n' * (ENDLESS_BYTES // 6)
    ),
    'endless target': lambda _: b'GET /' + b'x' * ENDLESS_BYTES,
    'head short of its end': lambda number: (
        POST % number + b'A: ' + b'x' * (HEADER_BYTES - 500)
    ),
    'empty lines': lambda _: b'\r\n' * (ENDLESS_BYTES // 2),
    'whole bodies': send_body,
    'bodies short of one byte': lambda number: send_body(number, 1),
    'large chunks': lambda number: (
        CHUNKED % number + LARGE_CHUNKS + b'0\r\n\r\n'
    ),
    'large chunks short of the end': lambda number: (
        CHUNKED % number + LARGE_CHUNKS
    ),
    'small chunks': lambda number: (
        CHUNKED % number + SMALL_CHUNKS + b'0\r\n\r\n'
    ),
    'small chunks short of the end': lambda number: (
        CHUNKED % number + SMALL_CHUNKS
    ),
}
# Crowds that come one after another, while the earlier ones stay connected.
RETURNING = (
    'bodies short of one byte',
    'whole bodies',
    'bodies short of one byte',
    'whole bodies',
)


def count_unread_answers(replica) -> int:
    """Return the bytes that a replica has sent and the gateway has not read."""
    port = int(replica.address.rpartition(':')[2])
    return sum(
        sent * (local == port) + received * (remote == port)
        for local, remote, sent, received in list_queues()
    )


@asynccontextmanager
async def run_hostile_site(folder):
    """Run a gateway with 200 MB whose replicas answer after a second."""
    configuration = make_configuration()
    for route in configuration['routes']:
        route['timeout-ms'] = 60_000
    files = make_route('files', 'files', 'idempotent')
    configuration['routes'].append({**files, 'timeout-ms': 60_000})
    configuration['services'].append(
        {'name': 'files', 'health-path': '/health', 'max-conns': 9}
    )
    configuration['services'][1]['engine']['slots'] = 2 * CALLERS
    configuration['limits'] = LIMITS
    async with run_site(folder, HOST_SETTINGS, **configuration) as site:
        for replica in site.replicas.values():
            replica.pause_s = 1
        yield site


async def check_survival(site, usage) -> None:
    """Check what holds after each crowd, while it is still connected."""
    for replica in site.replicas.values():
        replica.pause_s = 0.01
    await asyncio.sleep(0.5)
    answer = await site.ask('/post/2f', Bramleybeam_Request_Deadline='60000')
    usage.sample()
    assert site.gateway.process.returncode is None
    assert answer.status == 200, answer
    assert usage.memory_bytes < MEMORY_LIMIT_BYTES, usage
    assert usage.descriptors < MAX_DESCRIPTORS, usage


async def send_crowd(site, kind: str) -> list:
    """Let all callers of a kind write at the same time; return their sockets."""
    make_text = WRITERS[kind]
    socks = [
        await connect(site.gateway.callers_address) for _ in range(CALLERS)
    ]
    await asyncio.gather(
        *(
            write_all(sock, make_text(number))
            for number, sock in enumerate(socks)
        )
    )
    return socks


@pytest.mark.parametrize('kind', WRITERS)
async def test_hostile_requests_stay_within_the_memory(tmp_path, kind):
    """Guards against requests that take the memory of a host of 200 MB."""
    async with run_hostile_site(tmp_path) as site:
        async with measured(
            site.gateway.process, site.gateway.callers_address
        ) as usage:
            socks = await send_crowd(site, kind)
            await check_survival(site, usage)
            for sock in socks:
                sock.close()


async def test_crowds_that_return_stay_within_the_memory(tmp_path):
    """Guards against memory that grows with each crowd that was refused."""
    async with run_hostile_site(tmp_path) as site:
        async with measured(
            site.gateway.process, site.gateway.callers_address
        ) as usage:
            socks = []
            for kind in RETURNING:
                socks.extend(await send_crowd(site, kind))
            await check_survival(site, usage)
            for sock in socks:
                sock.close()


async def test_idle_connections_stay_within_the_descriptors(tmp_path):
    """Guards against connections that use up the descriptors of a host."""
    async with run_hostile_site(tmp_path) as site:
        async with measured(
            site.gateway.process, site.gateway.callers_address
        ) as usage:
            socks = []
            for number in range(MAX_DESCRIPTORS + CALLERS):
                socks.append(await connect(site.gateway.callers_address))
                await write_all(socks[-1], b'' if number % 2 else b'POST / H')
            await check_survival(site, usage)
            for sock in socks:
                sock.close()


async def test_connection_with_only_empty_lines_is_closed(tmp_path):
    """Guards against empty lines that keep a connection open for ever."""
    loop = asyncio.get_running_loop()
    limits = {**LIMITS, 'idle-timeout-ms': 1000}
    async with run_site(tmp_path, HOST_SETTINGS, limits=limits) as site:
        sock = await connect(site.gateway.callers_address)
        received = asyncio.create_task(loop.sock_recv(sock, 1))
        with suppress(ConnectionError):
            for _ in range(100):
                if received.done():
                    break
                await loop.sock_sendall(sock, b'\r\n')
                await asyncio.sleep(0.1)
        is_closed = received.done()
        with suppress(asyncio.CancelledError, ConnectionError):
            received.cancel()
            await received
        sock.close()
        assert is_closed


async def read_slowly(sock, bytes_at_once: int) -> None:
    """Read a few bytes now and then, or nothing, until it is cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(0.5)
        if bytes_at_once and not await loop.sock_recv(sock, bytes_at_once):
            return


class LargeReplica(ReplicaStandIn):
    """Answers with many large events, or with as much in one body."""

    def make_events(self, run) -> list[bytes]:
        return [EVENT] * self.events

    def plain_body(self, run) -> bytes:
        return EVENT * self.events


async def add_large_answers(site, count: int) -> dict:
    """Add replicas whose answers have ``count`` large events; return them."""
    replicas = {
        'stream': LargeReplica('e3', 'engine', models={'m2': frozenset()}),
        'plain': LargeReplica('f1', 'files'),
    }
    for replica in replicas.values():
        replica.events = count
        replica.pause_s = 0
        await site.add_replica(replica)
        site.write_entry(replica, slots=2 * CALLERS)
    await asyncio.sleep(1)
    return replicas


@pytest.mark.parametrize('bytes_at_once', [0, 1000])
@pytest.mark.parametrize('kind', READER_REQUESTS)
async def test_slow_readers_stay_within_the_memory(
    tmp_path, kind, bytes_at_once
):
    """Guards against callers that don't read the answers they asked for."""
    async with run_hostile_site(tmp_path) as site:
        await add_large_answers(site, LARGE_EVENTS)
        async with measured(
            site.gateway.process, site.gateway.callers_address
        ) as usage:
            socks = [
                await connect(site.gateway.callers_address, receive_buffer=4096)
                for _ in range(CALLERS)
            ]
            for number, sock in enumerate(socks):
                await write_all(sock, READER_REQUESTS[kind] % number)
            readers = [
                asyncio.create_task(read_slowly(sock, bytes_at_once))
                for sock in socks
            ]
            await asyncio.sleep(READING_S)
            await check_survival(site, usage)
            for reader in readers:
                reader.cancel()
            await asyncio.gather(*readers, return_exceptions=True)
            for sock in socks:
                sock.close()


async def test_answer_is_read_on_while_its_caller_reads_nothing(tmp_path):
    """Guards against replicas that cut off a stream that stays unread."""
    loop = asyncio.get_running_loop()
    async with run_hostile_site(tmp_path) as site:
        replicas = await add_large_answers(site, READ_ON_EVENTS)
        number = 1
        sock = await connect(site.gateway.callers_address, receive_buffer=4096)
        await write_all(sock, READER_REQUESTS['stream'] % number)
        await asyncio.sleep(READING_S)
        (run,) = site.runs('h-1')
        assert run.ended_at
        assert not site.cancelled('h-1')
        assert not count_unread_answers(replicas['stream'])
        received = 0
        async with asyncio.timeout(CROWD_S):
            while received < READ_ON_EVENTS * len(EVENT):
                piece = await loop.sock_recv(sock, PIECE_BYTES)
                assert piece, received
                received += len(piece)
        sock.close()


async def test_single_large_request_is_served(tmp_path):
    """Guards against a budget that refuses a body of the legal size."""
    loop = asyncio.get_running_loop()
    async with run_hostile_site(tmp_path) as site:
        sock = await connect(site.gateway.callers_address)
        await write_all(sock, send_body(1))
        async with asyncio.timeout(CROWD_S):
            answer = await loop.sock_recv(sock, PIECE_BYTES)
        sock.close()
        assert answer.startswith(b'HTTP/1.1 200 ')
        assert site.runs('h-1')[0].body == BODY
