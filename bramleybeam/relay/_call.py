"""One request to a peer on a connection of its own.

A fresh connection for each request rules out late answers to earlier ones
and connections that went silent while idle. Until ``send`` has been called
the request has surely not run.
"""

import asyncio
from collections import deque
from typing import Final

import httptools

from bramleybeam.relay._messages import (
    LENGTH_HEADER,
    BrokenReplyError,
    Headers,
    ReplyHead,
    render_head,
)

_NO_BODY_STATUSES: Final = frozenset((204, 304))
_FINAL_STATUS: Final = 200
# Bytes that may wait unread in this process before the peer is paused.
_HIGH_WATER_BYTES: Final = 262_144


class PeerCall(asyncio.Protocol):
    """Sends one request and hands out its answer piece by piece."""

    def __init__(self) -> None:
        """Start unconnected."""
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._head: ReplyHead | None = None
        self._pieces: deque[bytes] = deque()
        self._buffered = 0
        self._complete = False
        self._failure: str | None = None
        self._waiter: asyncio.Future[None] | None = None

    @property
    def is_complete(self) -> bool:
        """Whether the whole answer has arrived."""
        return self._complete

    def send(self, first_line: bytes, headers: Headers, body: bytes) -> None:
        """Send the request; from here on it may run."""
        if self._transport is None or self._failure:
            raise BrokenReplyError(self._failure or 'not connected')
        length = (b'content-length', str(len(body)).encode())
        closing = (b'connection', b'close')
        extra = (
            (length, closing) if body or _has_body(first_line) else (closing,)
        )
        head = render_head(first_line, (*headers, *extra))
        self._transport.write(head + body)

    async def read_head(self) -> ReplyHead:
        """Wait for the answer's head; raises ``BrokenReplyError``."""
        while self._head is None:
            await self._wait()
        return self._head

    async def read_piece(self) -> bytes:
        """Return what has come of the body, ``b''`` at its whole end."""
        while not self._pieces:
            if self._complete:
                return b''
            await self._wait()
        joined = b''.join(self._pieces)
        self._pieces.clear()
        self._buffered = 0
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        return joined

    async def read_body(self, limit: int) -> bytes:
        """Return the whole body; raises ``BrokenReplyError``."""
        collected = bytearray()
        while piece := await self.read_piece():
            collected += piece
            if len(collected) > limit:
                raise BrokenReplyError(f'body of more than {limit} bytes')
        return bytes(collected)

    def close(self) -> None:
        """Drop the connection at once; an unfinished run is cancelled."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        self._transport = transport  # type: ignore[assignment]

    def data_received(self, received: bytes) -> None:
        """Parse what the peer sent; nothing after the answer counts."""
        if self._complete or self._failure:
            return
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            self._fail('the peer asked for another protocol')
        except httptools.HttpParserError as error:
            if not self._complete:
                self._fail(f'no HTTP answer: {error}')
        self._wake()

    def eof_received(self) -> bool:
        """Take a clean end as the end of an answer without a length."""
        head = self._head
        if head is not None and not head.framed:
            self._complete = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note a connection that ended before the whole answer."""
        if not self._complete:
            self._fail(f'connection lost: {exc!r}')
        self._wake()

    def on_header(self, name: bytes, field: bytes) -> None:
        """Collect a header."""
        self._headers.append((name, field))

    def on_headers_complete(self) -> None:
        """Keep the head of a final answer; interim ones are dropped."""
        status = self._parser.get_status_code()
        headers = tuple(self._headers)
        self._headers.clear()
        if status >= _FINAL_STATUS:
            framed = status in _NO_BODY_STATUSES or _is_framed(headers)
            self._head = ReplyHead(status, headers, framed)

    def on_body(self, piece: bytes) -> None:
        """Keep a piece of the body."""
        self._pieces.append(piece)
        self._buffered += len(piece)
        if self._buffered > _HIGH_WATER_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Note the whole end of a final answer."""
        if self._head is not None:
            self._complete = True

    def _fail(self, reason: str) -> None:
        self._failure = self._failure or reason

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        if self._failure:
            raise BrokenReplyError(self._failure)
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter


async def open_call(address: str, timeout: float) -> PeerCall:
    """Connect to ``IP:PORT`` within ``timeout`` seconds; raises ``OSError``."""
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout):
        _, call = await loop.create_connection(PeerCall, host, int(port))
    return call


def _is_framed(headers: Headers) -> bool:
    for name, field in headers:
        lowered = name.lower()
        if lowered == LENGTH_HEADER:
            return True
        if lowered == b'transfer-encoding' and b'chunked' in field.lower():
            return True
    return False


def _has_body(first_line: bytes) -> bool:
    return not first_line.startswith((b'GET ', b'HEAD ', b'DELETE '))
