"""What a caller has sent and is not parsed yet."""

from typing import Final

from bramleybeam.relay._messages import InboundRequest
from bramleybeam.relay._request_parser import RequestParser

# Bytes that are parsed at a time.
_PIECE_BYTES: Final = 8192


class RequestInput:
    """Feeds a parser piece by piece, and stops where that becomes costly."""

    def __init__(self, parser: RequestParser) -> None:
        """Store the parser."""
        self._parser = parser
        self._received = b''
        self._parsed_bytes = 0

    def __len__(self) -> int:
        """Return the number of bytes that are not parsed yet."""
        return len(self._received) - self._parsed_bytes

    def add(self, received: bytes) -> None:
        """Append what was received."""
        self._received = self._received[self._parsed_bytes :] + received
        self._parsed_bytes = 0

    def parse(self) -> list[InboundRequest]:
        """Parse all bytes, or one piece of a costly body."""
        completed: list[InboundRequest] = []
        while self:
            start = self._parsed_bytes
            piece = self._received[start : start + _PIECE_BYTES]
            self._parsed_bytes += len(piece)
            completed.extend(self._parser.feed(piece))
            if self._parser.error is not None or self._parser.is_costly:
                break
        if not self or self._parser.error is not None:
            self.clear()
        return completed

    def clear(self) -> None:
        """Free the bytes."""
        self._received = b''
        self._parsed_bytes = 0
