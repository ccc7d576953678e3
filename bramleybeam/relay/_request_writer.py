"""Writes requests to a peer without copies of long bodies."""

import asyncio
from typing import Final

# Longer bodies are written in pieces of this size, as the peer takes them, so that
# the transport holds no copy of the whole body.
_PIECE_BYTES: Final = 65_536


class RequestWriter(asyncio.Protocol):
    """The writing half of a connection to a peer."""

    def __init__(self) -> None:
        """Start without a transport, which the subclass sets."""
        self._transport: asyncio.Transport | None = None
        self._unsent = memoryview(b'')
        self._can_write = True

    def pause_writing(self) -> None:
        """Stop writing a long body until the peer has taken more of it."""
        self._can_write = False

    def resume_writing(self) -> None:
        """Go on writing a long body."""
        self._can_write = True
        self._write_pieces()

    @property
    def _is_sent(self) -> bool:
        """Whether the last request was written to its end."""
        return not self._unsent

    def _write_request(self, head: bytes, body: bytes) -> None:
        """Write a request, at once if it is short."""
        if self._transport is None:
            return
        if len(body) <= _PIECE_BYTES:
            self._transport.write(head + body)
        else:
            self._transport.write(head)
            self._unsent = memoryview(body)
            self._write_pieces()

    def _write_pieces(self) -> None:
        """Write a long body as far as the peer takes it."""
        transport = self._transport
        while self._unsent and self._can_write and transport is not None:
            if transport.is_closing():
                return
            transport.write(self._unsent[:_PIECE_BYTES])
            # An empty view of the body would keep it in memory.
            self._unsent = self._unsent[_PIECE_BYTES:] or memoryview(b'')

    def _discard_unsent(self) -> None:
        """Free the rest of a request, because the connection is closed."""
        self._unsent = memoryview(b'')
