"""Writes responses to a caller's connection."""

import asyncio
from http import HTTPStatus
from typing import Final

from bramleybeam.relay._messages import (
    Headers,
    end_to_end_headers,
    render_head,
)

_LAST_CHUNK: Final = b'0\r\n\r\n'
# Longer bodies are written without a copy that joins them with the head.
_MAX_JOINED_BYTES: Final = 65_536


class ResponseWriter(asyncio.Protocol):
    """The writing half of a connection.

    Writes a whole response with ``respond``, or a chunked one with ``start``,
    ``write_chunk`` and ``finish``.
    """

    def __init__(self) -> None:
        """Start without a transport, which the subclass sets."""
        self._transport: asyncio.Transport | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._response_started = False
        self._keep_alive = True
        self._closing = False

    @property
    def response_started(self) -> bool:
        """Whether a part of the current response has been written."""
        return self._response_started

    def pause_writing(self) -> None:
        """Block writes while the write buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock writes."""
        self._writable.set()

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a whole response."""
        length = (b'content-length', str(len(body)).encode())
        head = self._build_head(status, headers, length)
        if len(body) <= _MAX_JOINED_BYTES:
            self._write(head + body)
        else:
            self._write(head)
            self._write(body)

    def start(self, status: int, headers: Headers) -> None:
        """Write the head of a chunked response."""
        framing = (b'transfer-encoding', b'chunked')
        self._write(self._build_head(status, headers, framing))

    async def write_chunk(self, chunk: bytes) -> None:
        """Write a chunk; waits while the write buffer is full."""
        await self._writable.wait()
        size = b'%x\r\n' % len(chunk)
        if len(chunk) <= _MAX_JOINED_BYTES:
            self._write(b''.join((size, chunk, b'\r\n')))
        else:
            self._write(size)
            self._write(chunk)
            self._write(b'\r\n')

    def finish(self) -> None:
        """Write the last chunk of a chunked response."""
        self._write(_LAST_CHUNK)

    def abort_response(self) -> None:
        """Abort the connection, so that the response is seen as incomplete."""
        self._closing = True
        if self._transport is not None:
            self._transport.abort()

    def _is_server_closing(self) -> bool:
        """Return whether the connection is to close after this response."""
        return False

    def _build_head(
        self,
        status: int,
        headers: Headers,
        framing: tuple[bytes, bytes],
    ) -> bytes:
        """Return the encoded head of a response.

        ``framing`` is the header that delimits the body. The connection is
        marked for closing if the server is closing or the caller asked so.
        """
        self._response_started = True
        response_headers = (*end_to_end_headers(headers), framing)
        if self._is_server_closing() or not self._keep_alive:
            self._closing = True
        if self._closing:
            response_headers = (*response_headers, (b'connection', b'close'))
        return render_head(
            b'HTTP/1.1 %d %s' % (status, _reason_phrase(status)),
            response_headers,
        )

    def _write(self, encoded: bytes) -> None:
        """Write bytes unless the connection is closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encoded)


def _reason_phrase(status: int) -> bytes:
    """Return the reason phrase of a status code."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Unknown'
