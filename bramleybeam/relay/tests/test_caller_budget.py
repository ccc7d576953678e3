"""What callers are told when the byte budget is spent."""

import asyncio

import pytest_asyncio

from bramleybeam.memory_budget import MemoryBudget
from bramleybeam.relay import CallerBudget, CallerServer

LIMIT = 1 << 20
BODY_BYTES = LIMIT * 3 // 4
HEAD = b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n'
# More than the system buffers for a connection that is not read.
LARGE_CHUNK = b'x' * (LIMIT // 4)
CHUNKS = 100


class Running:
    """A server with a budget; ``handled`` are the sizes of handled bodies."""

    def __init__(self):
        self.handled = []
        # A writer that is not referenced closes its connection.
        self.writers = []
        self.server = CallerServer('127.0.0.1:0', self.handle)
        self.budget = MemoryBudget(LIMIT, 10)
        self.server.budget = CallerBudget(self.budget, self.server.now)

    async def handle(self, request, connection):
        self.handled.append(len(request.body))
        if request.path == '/large':
            connection.start(200, ())
            for _ in range(CHUNKS):
                await connection.write_chunk(LARGE_CHUNK)
                await asyncio.sleep(0)
            connection.finish()
            return
        connection.respond(200, (), b'done')

    async def open(self, text):
        host, port = self.server.address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.writers.append(writer)
        writer.write(text)
        await writer.drain()
        return reader, writer


@pytest_asyncio.fixture
async def running():
    running = Running()
    await running.server.start()
    yield running
    await running.server.close(0)


async def test_stalled_body_is_refused_for_another_request(running):
    """Guards against a refusal without Retry-After, or one that is lost."""
    body = b'x' * BODY_BYTES
    stalled, _ = await running.open(HEAD % BODY_BYTES + body[:-1])
    await asyncio.sleep(1.2)
    served, _ = await running.open(HEAD % BODY_BYTES + body)
    refusal = await stalled.read()
    assert refusal.startswith(b'HTTP/1.1 503 ')
    assert b'\r\nRetry-After: 1\r\n' in refusal
    assert (await served.readline()).startswith(b'HTTP/1.1 200 ')
    assert running.handled == [BODY_BYTES]
    assert running.server.budget.closed == {'partial': 1}


async def test_refused_caller_may_send_the_rest_of_its_body(running):
    """Guards against a reset that hides the refusal from its caller."""
    body = b'x' * BODY_BYTES
    await running.open(HEAD % BODY_BYTES + body[:-1])
    refused, writer = await running.open(HEAD % BODY_BYTES)
    for start in range(0, BODY_BYTES, 1 << 16):
        writer.write(body[start : start + (1 << 16)])
        await writer.drain()
    assert (await refused.readline()).startswith(b'HTTP/1.1 503 ')
    assert not running.handled


async def test_bytes_are_released_with_the_connection_and_the_request(running):
    """Guards against accounts that grow until nothing is served."""
    for _ in range(3):
        reader, writer = await running.open(HEAD % 4 + b'body')
        assert (await reader.readline()).startswith(b'HTTP/1.1 200 ')
        _, stalled = await running.open(HEAD % 1000 + b'x' * 500)
        for opened in (writer, stalled):
            opened.close()
    await asyncio.sleep(0.1)
    assert not running.budget.used_bytes
    assert not running.budget.accounts


async def test_caller_that_reads_nothing_gives_way(running):
    """Guards against unread answers that take the whole budget."""
    _, writer = await running.open(b'GET /large HTTP/1.1\r\nHost: a\r\n\r\n')
    await asyncio.sleep(1.5)
    assert running.budget.sum_held()['unread'] > 0
    body = b'x' * BODY_BYTES
    for _ in range(2):
        reader, _ = await running.open(HEAD % BODY_BYTES + body)
        assert (await reader.readline()).startswith(b'HTTP/1.1 200 ')
        assert running.budget.used_bytes <= LIMIT
    writer.close()
