"""Requests without end to the server of the product's own interface."""

import asyncio

import pytest
import pytest_asyncio
from blacksheep import Request, Response

from bramleybeam.web import HttpServer, add_route, make_app, text_response

MAX_BODY_BYTES = 65_536
# More than the system buffers on a connection that is not read.
MAX_SENT_BYTES = 24_000_000
HEAD = b'POST /x HTTP/1.1\r\nHost: a\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
LAST_CHUNK = CHUNKED + b'5\r\nhello\r\n0\r\n'
ENDLESS_LINE = b'x' * 10_000
ENDLESS_REQUESTS = {
    'target': (b'POST /', ENDLESS_LINE),
    'header': (HEAD + b'A: ', ENDLESS_LINE),
    'headers': (HEAD, b'A: b\r\n' * 2000),
    'trailers': (LAST_CHUNK, b'A: b\r\n' * 2000),
    'trailer': (LAST_CHUNK + b'A: ', ENDLESS_LINE),
    'trailer name': (LAST_CHUNK, ENDLESS_LINE),
    'chunk extension': (CHUNKED + b'5;', ENDLESS_LINE),
    'tiny chunks': (CHUNKED, b'1\r\nx\r\n' * 2000),
    'chunks': (CHUNKED, b'2710\r\n' + ENDLESS_LINE + b'\r\n'),
    'long body': (HEAD + b'Content-Length: 9999999999\r\n\r\n', ENDLESS_LINE),
}


async def measure_body(request: Request) -> Response:
    """Respond with the length of the body, or with 413."""
    length = 0
    async for part in request.stream():
        length += len(part)
        if length > MAX_BODY_BYTES:
            return text_response(413, 'too large')
    return text_response(200, f'{length} bytes')


@pytest_asyncio.fixture
async def port():
    app = make_app()
    add_route(app, 'POST', '/x', measure_body)
    server = HttpServer(app, '127.0.0.1:0')
    await server.start()
    yield int(server.address.rpartition(':')[2])
    await server.close()


# Guards against a caller that takes an entry's memory or its processor time.
@pytest.mark.parametrize(
    ('start', 'repeated'), ENDLESS_REQUESTS.values(), ids=ENDLESS_REQUESTS
)
async def test_connection_of_an_endless_request_is_closed(
    port, start, repeated
):
    _, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(start)
    sent_bytes = 0
    with pytest.raises(ConnectionError):
        while sent_bytes < MAX_SENT_BYTES:
            writer.write(repeated)
            sent_bytes += len(repeated)
            await writer.drain()
            await asyncio.sleep(0)


async def test_response_to_a_too_long_request_can_be_read(port):
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(CHUNKED)
    for _ in range(50):
        writer.write(b'2710\r\n' + ENDLESS_LINE + b'\r\n')
    assert b' 413 ' in await reader.readuntil(b'\r\n')
    writer.close()
