"""Client connections to a peer, with one request at a time.

A request cannot have run before ``send`` was called. A connection may be
reused only after a complete reply without any bytes after it. Bytes that
arrive while it is idle make it unusable, because they belong to no request.
"""

import asyncio
import socket
import ssl
from typing import Final

from bramleybeam.relay._reply_meter import ReplyMeter
from bramleybeam.relay._reply_parser import ReplyParser
from bramleybeam.relay._request_writer import RequestWriter
from bramleybeam.relay._messages import (
    BrokenReplyError,
    Headers,
    InvalidReplyError,
    ReplyHead,
    render_head,
)
from bramleybeam.timers import running_timeout

# Reading from the peer pauses when more bytes than this are buffered.
_HIGH_WATER_BYTES: Final = 262_144
# The system probes the peer of an idle connection after this many seconds without
# traffic, again after as many, and then closes the connection.
_IDLE_PROBE_S: Final = 1
_IDLE_PROBES: Final = 1
# The system's receive buffer. Without it, an answer that isn't read may take
# several megabytes there.
_RECEIVE_BUFFER_BYTES: Final = 131_072
_BODILESS_METHODS: Final = (b'GET ', b'HEAD ', b'DELETE ')
_CLOSE: Final = (b'connection', b'close')


class PeerConnection(RequestWriter):
    """Sends requests and returns the reply to each in chunks."""

    def __init__(self) -> None:
        """Start without a connection."""
        super().__init__()
        self.meter = ReplyMeter()
        self._parser = ReplyParser()
        self._waiter: asyncio.Future[None] | None = None
        self._failure: BrokenReplyError | None = None
        self._completed_replies = 0
        self._is_idle = False

    @property
    def completed_replies(self) -> int:
        """Number of complete replies before the current one."""
        return self._completed_replies

    @property
    def head(self) -> ReplyHead | None:
        """The head of the current reply, or ``None`` before it arrives."""
        return self._parser.reply.head

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return self._can_continue() and self._is_sent

    def send(
        self,
        first_line: bytes,
        headers: Headers,
        body: bytes,
        *,
        keep_alive: bool = False,
    ) -> None:
        """Send a request; from this call on, the peer may run it.

        ``keep_alive`` asks the peer to keep the connection open afterwards. Raises
        ``BrokenReplyError`` if there is no usable connection.
        """
        if self._transport is None or self._failure:
            raise self._failure or BrokenReplyError('not connected')
        if self._is_idle:
            self._probe_peer(enabled=False)
        if self._parser.reply.is_complete:
            self._start_next_reply()
        extra = () if keep_alive else (_CLOSE,)
        if body or not first_line.startswith(_BODILESS_METHODS):
            extra = (*extra, (b'content-length', str(len(body)).encode()))
        head = render_head(first_line, (*headers, *extra))
        self._write_request(head, body)

    async def read_head(self) -> ReplyHead:
        """Wait for the head of the reply; raises ``BrokenReplyError``."""
        while self._parser.reply.head is None:
            await self._wait()
        return self._parser.reply.head

    async def skip_reply(self, limit: int) -> None:
        """Discard the current reply, which belongs to another request.

        Raises ``BrokenReplyError`` if its body exceeds ``limit`` bytes or
        the connection cannot be used for a further reply.
        """
        await self.read_body(limit)
        if not self._can_continue():
            raise BrokenReplyError(
                'the connection ends after a reply to another request'
            )
        self._start_next_reply()

    async def read_chunk(self) -> bytes:
        """Wait for bytes of the body; ``b''`` means that it is complete."""
        reply = self._parser.reply
        while not reply.chunks:
            if reply.is_complete:
                return b''
            await self._wait()
        joined = reply.take_chunks()
        self.meter.note_buffered(0)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        return joined

    async def read_body(self, limit: int) -> bytes:
        """Return the whole body.

        Raises ``InvalidReplyError`` if it exceeds ``limit`` bytes and
        ``BrokenReplyError`` if the connection ends before it is complete.
        """
        collected = bytearray()
        while chunk := await self.read_chunk():
            collected += chunk
            if len(collected) > limit:
                raise InvalidReplyError(f'reply body exceeds {limit} bytes')
        return bytes(collected)

    async def read_prefix(self, limit: int) -> tuple[bytes, bool]:
        """Return the first bytes of the body, and whether they are all of it.

        Stops at the first chunk that exceeds ``limit`` bytes.
        """
        collected = bytearray()
        while len(collected) <= limit:
            chunk = await self.read_chunk()
            if not chunk:
                return bytes(collected), True
            collected += chunk
            self.meter.note_held(len(collected))
        return bytes(collected), False

    async def fetch(
        self,
        first_line: bytes,
        headers: Headers,
        body: bytes,
        limit: int,
    ) -> tuple[ReplyHead, bytes]:
        """Send a request and return the head and the body of the reply.

        Raises ``InvalidReplyError`` if the body exceeds ``limit`` bytes.
        """
        self.send(first_line, headers, body)
        head = await self.read_head()
        return head, await self.read_body(limit)

    def note_idle(self) -> None:
        """Detect a peer that stops responding before the next request is sent.

        The system then closes the connection. A request in progress is not
        affected, because its peer may be unreachable for a moment only.
        """
        self._probe_peer(enabled=True)

    def close(self) -> None:
        """Abort the connection; the peer cancels an unfinished request."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and limit the system's receive buffer."""
        self._transport = transport  # type: ignore[assignment]
        connection = transport.get_extra_info('socket')
        if connection is not None:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
            )

    def data_received(self, received: bytes) -> None:
        """Parse received bytes and wake the reader."""
        if self._failure:
            return
        error = self._parser.feed(received)
        if error is not None:
            self._failure = InvalidReplyError(f'invalid HTTP reply: {error}')
        if self._parser.is_unusable:
            # The buffered part of a complete reply can still be read.
            self.close()
        buffered_bytes = self._parser.reply.buffered_bytes
        if buffered_bytes > _HIGH_WATER_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self.meter.note_buffered(buffered_bytes)
        self._wake()

    def eof_received(self) -> bool:
        """Let the parser decide whether this completes the reply."""
        self._parser.note_eof()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record a failure if the connection ended before the reply did."""
        self._parser.is_unusable = True
        self._discard_unsent()
        if not self._parser.reply.is_complete and not self._failure:
            self._failure = BrokenReplyError(f'connection lost: {exc!r}')
        self._wake()

    def _can_continue(self) -> bool:
        """Whether a further reply may arrive on this connection."""
        if self._failure or self._parser.is_unusable or not self._transport:
            return False
        peer_allows_reuse = self._parser.reply.allows_reuse
        return peer_allows_reuse and not self._transport.is_closing()

    def _probe_peer(self, *, enabled: bool) -> None:
        """Turn the keep-alive probes of the system on or off."""
        self._is_idle = enabled
        if self._transport is None or self._transport.is_closing():
            return
        connection = self._transport.get_extra_info('socket')
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, enabled)
        if enabled:
            tcp = socket.IPPROTO_TCP
            connection.setsockopt(tcp, socket.TCP_KEEPIDLE, _IDLE_PROBE_S)
            connection.setsockopt(tcp, socket.TCP_KEEPINTVL, _IDLE_PROBE_S)
            connection.setsockopt(tcp, socket.TCP_KEEPCNT, _IDLE_PROBES)

    def _start_next_reply(self) -> None:
        """Count the complete reply and expect the next one."""
        self._completed_replies += 1
        self._parser.start_next()

    def _wake(self) -> None:
        """Wake the task that waits in ``_wait``, if any."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        """Wait for received bytes or the end of the connection.

        Raises ``BrokenReplyError`` if the connection has failed.
        """
        if self._failure:
            raise self._failure
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter


async def connect_peer(
    address: str, timeout: float, *, tls: ssl.SSLContext | None = None
) -> PeerConnection:
    """Connect to ``IP:PORT`` within ``timeout`` seconds, with TLS if given.

    Delays of this process don't count. Raises ``OSError``, which includes ``TimeoutError``.
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    async with running_timeout(timeout):
        _, connection = await loop.create_connection(
            PeerConnection, host, int(port), ssl=tls
        )
    return connection
