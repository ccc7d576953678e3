"""Replies without end to the clients of entries, agents and ``ctl``."""

import asyncio
import tracemalloc

import pytest

from bramleybeam.agent._events import Lost, NotRun
from bramleybeam.agent._upstream import UpstreamClient
from bramleybeam.entry._host_list import HostList
from bramleybeam.keyvalue.http import HttpKeyValue
from bramleybeam.links import Dispatch

# Above the largest limit of a body, 8 MiB, and what decoding it takes.
MAX_GROWTH_BYTES = 24_000_000
LINE = b'x' * 10_000
HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
LAST_CHUNK = CHUNKED + b'2\r\n{}\r\n0\r\n'
ENDLESS_REPLIES = {
    'header': (HEAD + b'A: ', LINE),
    'headers': (HEAD, b'A: b\r\n' * 2000),
    'interim replies': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 400),
    'trailers': (LAST_CHUNK, b'A: b\r\n' * 2000),
    'trailer': (LAST_CHUNK + b'A: ', LINE),
    'chunk extension': (CHUNKED + b'2;', LINE),
    'tiny chunks': (CHUNKED, b'1\r\nx\r\n' * 2000),
    'body': (HEAD + b'\r\n', LINE),
    'refusal': (b'HTTP/1.1 503 Busy\r\n\r\n', LINE),
}


async def infer(url):
    """Return the last event of a request to an engine."""
    client = UpstreamClient(url)
    dispatch = Dispatch(
        request_id='r1', kind='inference', path='/x', method='POST', body=b'{}'
    )
    events = [event async for event in client.infer(dispatch)]
    return events[-1]


async def read_state(url):
    return await UpstreamClient(url).state()


async def get_key(url):
    store = HttpKeyValue(url)
    try:
        return await store.get('key')
    finally:
        await store.close()


async def read_hosts(url):
    hosts = HostList(url)
    try:
        return await hosts.refresh()
    finally:
        await hosts.close()


def is_lost(event):
    """Whether a request may have run at an engine that is alive."""
    return isinstance(event, Lost) and not event.crashed


CLIENTS = {
    'infer': (infer, lambda event: is_lost(event) or isinstance(event, NotRun)),
    'state': (read_state, lambda state: state is None),
    'key': (get_key, lambda outcome: outcome.is_error()),
    'hosts': (read_hosts, lambda is_read: not is_read),
}


@pytest.mark.parametrize('client', CLIENTS)
@pytest.mark.parametrize('kind', ENDLESS_REPLIES)
async def test_endless_reply_ends_as_a_failure(client, kind):
    """Guards against a peer that takes the memory of a process."""
    start, repeated = ENDLESS_REPLIES[kind]
    call, is_failure = CLIENTS[client]

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(start)
        try:
            while True:
                writer.write(repeated)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    tracemalloc.start()
    outcome = await call(f'http://127.0.0.1:{port}')
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    server.close()
    assert is_failure(outcome), outcome
    assert peak_bytes < MAX_GROWTH_BYTES
