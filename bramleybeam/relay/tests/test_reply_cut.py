"""Replies that break off at any byte, by a close or by a reset."""

import asyncio

import pytest

from bramleybeam.relay import BrokenReplyError, PeerConnection

BODY = b'whole body'
HEADS = {
    'length': b'HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 10\r\n\r\n',
    'chunks': b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    'close': b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n',
    'interim': b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n'
    b'Content-Length: 10\r\n\r\n',
}
ENCODED_BODIES = {'chunks': b'a\r\nwhole body\r\n0\r\n\r\n'}


class Transport(asyncio.Transport):
    """Accepts what is written."""

    def write(self, encoded):
        """Do nothing."""

    def abort(self):
        """Do nothing."""

    def is_closing(self):
        return False

    resume_reading = abort


async def read_reply(received, error):
    """Return the body of a reply that ends after some bytes.

    ``error`` is that of the transport, ``None`` for a close.
    """
    connection = PeerConnection()
    connection.connection_made(Transport())
    connection.send(b'GET /x HTTP/1.1', (), b'')
    connection.data_received(received)
    if error is None:
        connection.eof_received()
    connection.connection_lost(error)
    await connection.read_head()
    return await connection.read_body(100)


@pytest.mark.parametrize('framing', HEADS)
@pytest.mark.parametrize('error', [None, ConnectionResetError()])
async def test_part_of_a_reply_is_never_complete(framing, error):
    head = HEADS[framing]
    reply = head + ENCODED_BODIES.get(framing, BODY)
    for length, _byte in enumerate(reply):
        is_delimited_by_close = (
            framing == 'close' and error is None and length >= len(head)
        )
        if is_delimited_by_close:
            body = await read_reply(reply[:length], error)
            assert body == reply[len(head) : length]
        else:
            with pytest.raises(BrokenReplyError):
                await read_reply(reply[:length], error)


@pytest.mark.parametrize('framing', ['length', 'chunks', 'interim'])
async def test_whole_reply_is_complete_though_its_connection_is_reset(framing):
    reply = HEADS[framing] + ENCODED_BODIES.get(framing, BODY)
    assert await read_reply(reply, ConnectionResetError()) == BODY
