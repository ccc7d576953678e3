"""Tests of the idle connections that are kept for each peer."""

import asyncio
import socket

import attrs
import pytest

from bramleybeam.relay import ConnectionPool, ReplyHead, connect_peer


@attrs.define
class Idle:
    """A reusable connection; ``keep_alive`` is the header of its last reply."""

    keep_alive: bytes = b''
    is_reusable: bool = True
    is_closed: bool = False
    is_probed: bool = False

    @property
    def head(self):
        headers = ((b'Keep-Alive', self.keep_alive),) if self.keep_alive else ()
        return ReplyHead(200, headers)

    def note_idle(self):
        self.is_probed = True

    def close(self):
        self.is_closed = True


@attrs.define
class Clock:
    now: float = 0

    def __call__(self):
        return self.now


@pytest.mark.parametrize(
    ('keep_alive', 'kept_s'),
    [
        (b'', 2),
        (b'timeout=10', 5),
        (b'timeout=10, max=50', 5),
        (b'timeout=60', 5),
        (b'timeout=3', 1.5),
        (b'timeout=0', 0),
        (b'unreadable', 2),
    ],
)
def test_connection_is_kept_for_half_of_the_advertised_timeout(
    keep_alive, kept_s
):
    clock = Clock()
    pool = ConnectionPool(clock)
    connection = Idle(keep_alive)
    pool.release('r1', connection, max_idle=2)
    clock.now = max(0, kept_s - 0.01)
    assert pool.has_idle('r1') == (kept_s > 0)
    clock.now = kept_s
    assert not pool.has_idle('r1')
    pool.drop_idle()
    assert connection.is_closed


@pytest.mark.parametrize('max_idle', [1, 3])
def test_no_more_idle_connections_than_allowed_are_kept(max_idle):
    pool = ConnectionPool(Clock())
    connections = [Idle() for _ in range(5)]
    for connection in connections:
        pool.release('r1', connection, max_idle)
    assert [idle.is_probed for idle in connections] == [
        not idle.is_closed for idle in connections
    ]
    assert sum(idle.is_probed for idle in connections) == max_idle


async def test_idle_connection_is_probed_and_one_in_use_is_not():
    """The system detects a peer that stops responding while it is idle."""

    async def hold(reader, writer):
        await reader.read()
        writer.close()

    server = await asyncio.start_server(hold, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    connection = await connect_peer(f'{host}:{port}', 1)
    peer = connection._transport.get_extra_info('socket')

    def read(option, level=socket.IPPROTO_TCP):
        return peer.getsockopt(level, option)

    connection.note_idle()
    assert read(socket.SO_KEEPALIVE, socket.SOL_SOCKET)
    probing_s = read(socket.TCP_KEEPIDLE)
    probing_s += read(socket.TCP_KEEPINTVL) * read(socket.TCP_KEEPCNT)
    assert probing_s <= 2
    connection.send(b'GET / HTTP/1.1', (), b'')
    assert not read(socket.SO_KEEPALIVE, socket.SOL_SOCKET)
    connection.close()
    await asyncio.sleep(0.05)
    server.close()
    await server.wait_closed()
