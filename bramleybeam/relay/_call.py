"""Requests to a peer, one at a time on a connection.

Until ``send`` has been called a request has surely not run. A connection is
kept only after a whole answer with nothing behind it, and bytes that come
while it is idle spoil it.
"""

import asyncio
from typing import Final

from bramleybeam.relay._answer import AnswerParser
from bramleybeam.relay._messages import (
    BrokenReplyError,
    Headers,
    ReplyHead,
    render_head,
)

# Bytes that may wait unread in this process before the peer is paused.
_HIGH_WATER_BYTES: Final = 262_144
_BODILESS_METHODS: Final = (b'GET ', b'HEAD ', b'DELETE ')
_CLOSE: Final = (b'connection', b'close')


class PeerCall(asyncio.Protocol):
    """Sends requests and hands out each answer piece by piece."""

    def __init__(self) -> None:
        """Start unconnected."""
        self._transport: asyncio.Transport | None = None
        self._parser = AnswerParser()
        self._waiter: asyncio.Future[None] | None = None
        self._failure: str | None = None
        self._answers = 0

    @property
    def answers(self) -> int:
        """Whole answers that have come before the current one."""
        return self._answers

    @property
    def head(self) -> ReplyHead | None:
        """The head of the current answer, if it has come."""
        return self._parser.answer.head

    @property
    def may_be_kept(self) -> bool:
        """Whether another request may be sent on this connection."""
        if self._failure or self._parser.is_spoiled or not self._transport:
            return False
        stays = self._parser.answer.may_stay
        return stays and not self._transport.is_closing()

    def send(
        self,
        first_line: bytes,
        headers: Headers,
        body: bytes,
        *,
        keep: bool = False,
    ) -> None:
        """Send a request; from here on it may run.

        ``keep`` asks the peer to leave the connection open.
        """
        if self._transport is None or self._failure:
            raise BrokenReplyError(self._failure or 'not connected')
        if self._parser.answer.is_complete:
            self._next_answer()
        extra = () if keep else (_CLOSE,)
        if body or not first_line.startswith(_BODILESS_METHODS):
            extra = (*extra, (b'content-length', str(len(body)).encode()))
        head = render_head(first_line, (*headers, *extra))
        self._transport.write(head + body)

    async def read_head(self) -> ReplyHead:
        """Wait for the answer's head; raises ``BrokenReplyError``."""
        while self._parser.answer.head is None:
            await self._wait()
        return self._parser.answer.head

    async def skip_answer(self, limit: int) -> None:
        """Read an answer that belongs to another request to its end."""
        await self.read_body(limit)
        if not self.may_be_kept:
            raise BrokenReplyError('the connection ends with another answer')
        self._next_answer()

    async def read_piece(self) -> bytes:
        """Return what has come of the body, ``b''`` at its whole end."""
        answer = self._parser.answer
        while not answer.pieces:
            if answer.is_complete:
                return b''
            await self._wait()
        joined = answer.take_pieces()
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

    async def read_held(self, limit: int) -> tuple[bytes, bool]:
        """Return the body, or about ``limit`` first bytes; tells if whole."""
        collected = bytearray()
        while len(collected) <= limit:
            piece = await self.read_piece()
            if not piece:
                return bytes(collected), True
            collected += piece
        return bytes(collected), False

    async def ask(
        self,
        first_line: bytes,
        headers: Headers,
        body: bytes,
        limit: int,
    ) -> tuple[ReplyHead, bytes]:
        """Send a request and return the whole answer to it."""
        self.send(first_line, headers, body)
        head = await self.read_head()
        return head, await self.read_body(limit)

    def close(self) -> None:
        """Drop the connection at once; an unfinished run is cancelled."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        self._transport = transport  # type: ignore[assignment]

    def data_received(self, received: bytes) -> None:
        """Parse what the peer sent."""
        if self._failure:
            return
        problem = self._parser.feed(received)
        if problem is not None:
            self._failure = f'no HTTP answer: {problem}'
        if self._parser.is_spoiled:
            # What has come of a whole answer can still be read.
            self.close()
        buffered = self._parser.answer.buffered
        if buffered > _HIGH_WATER_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Let the parser judge whether the answer ends here."""
        self._parser.note_end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note a connection that ended before the whole answer."""
        self._parser.is_spoiled = True
        if not self._parser.answer.is_complete and not self._failure:
            self._failure = f'connection lost: {exc!r}'
        self._wake()

    def _next_answer(self) -> None:
        self._answers += 1
        self._parser.begin()

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
