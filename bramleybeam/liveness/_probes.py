"""Collects evidence from a peer."""

import asyncio
import ssl
from collections.abc import Callable
from contextlib import closing
from typing import Final

import attrs

from bramleybeam.liveness._evidence import (
    Evidence,
    NoReply,
    PortClosed,
    PortOpen,
    ProcessIdentity,
    Replied,
    Statement,
)
from bramleybeam.relay import (
    BrokenReplyError,
    Headers,
    PeerConnection,
    ReplyHead,
    connect_peer,
)
from bramleybeam.timers import boot_clock, running_timeout

_CONNECT_TIMEOUT_S: Final = 0.3
# A reply may wait until the peer has finished another request.
_REPLY_TIMEOUT_S: Final = 1.0
_MAX_REPLY_BYTES: Final = 1 << 20
PROBE_ERRORS: Final = (OSError, TimeoutError, BrokenReplyError)


@attrs.frozen
class Query:
    """A request that asks a process who it is.

    ``decode`` returns what the head and the body of the reply state.
    """

    first_line: bytes
    headers: Headers
    decode: Callable[[ReplyHead, bytes], Statement]


@attrs.frozen
class Peer:
    """A process at ``address`` (``IP:PORT``) and how to ask who it is.

    ``tls`` is for connections to it, ``None`` for plain ones.
    """

    address: str
    identity: ProcessIdentity
    query: Query = attrs.field(eq=False)
    tls: ssl.SSLContext | None = attrs.field(default=None, eq=False)

    async def connect(self) -> PeerConnection:
        """Open a connection; raises ``OSError``, also for a time-out."""
        return await connect_peer(
            self.address, _CONNECT_TIMEOUT_S, tls=self.tls
        )


async def probe_port(peer: Peer) -> Evidence:
    """Try to connect to a peer."""
    seen_at = _now()
    try:
        connection = await peer.connect()
    except PROBE_ERRORS as error:
        return _describe_failure(error, seen_at)
    connection.close()
    return PortOpen(seen_at, boot_clock())


async def probe_process(peer: Peer) -> Evidence:
    """Ask the process that listens at a peer's address who it is."""
    seen_at = _now()
    try:
        connection = await peer.connect()
        with closing(connection):
            statement = await ask(connection, peer.query)
    except PROBE_ERRORS as error:
        return _describe_failure(error, seen_at)
    return Replied(seen_at, boot_clock(), statement)


async def ask(connection: PeerConnection, query: Query) -> Statement:
    """Send a query on an open connection and return what the reply states.

    The connection may be used for another query. Raises ``TimeoutError`` and
    ``BrokenReplyError``.
    """
    async with running_timeout(_REPLY_TIMEOUT_S):
        connection.send(query.first_line, query.headers, b'', keep_alive=True)
        head = await connection.read_head()
        body = await connection.read_body(_MAX_REPLY_BYTES)
    return query.decode(head, body)


def _describe_failure(error: Exception, seen_at: float) -> Evidence:
    if isinstance(error, ConnectionRefusedError):
        return PortClosed(seen_at)
    return NoReply(seen_at, repr(error))


def _now() -> float:
    return asyncio.get_running_loop().time()
