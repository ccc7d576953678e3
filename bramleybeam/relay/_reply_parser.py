"""Incremental parser of a peer's replies, one reply at a time."""

from collections import deque
from typing import Final

import attrs
import httptools

from bramleybeam.relay._messages import (
    LENGTH_HEADER,
    MAX_FRAMING_BYTES,
    Headers,
    ReplyHead,
)

_NO_BODY_STATUSES: Final = frozenset((204, 304))
_MIN_FINAL_STATUS: Final = 200
# The statuses that HTTP defines classes for (RFC 9110, 15).
_VALID_STATUSES: Final = range(100, 600)


@attrs.define
class Reply:
    """The received part of one reply.

    ``chunks`` are the parts of the body that were not read yet, in total
    ``buffered_bytes``. ``allows_reuse`` tells whether the peer keeps the
    connection open for another request.
    """

    head: ReplyHead | None = None
    chunks: deque[bytes] = attrs.field(factory=deque)
    buffered_bytes: int = 0
    is_complete: bool = False
    allows_reuse: bool = False

    def take_chunks(self) -> bytes:
        """Return the bytes of the body received since the last call."""
        joined = b''.join(self.chunks)
        self.chunks.clear()
        self.buffered_bytes = 0
        return joined


class ReplyParser:
    """Parses bytes into the current reply.

    Bytes after the end of a reply make the connection unusable
    (``is_unusable``), because they belong to no request.
    """

    def __init__(self) -> None:
        """Expect a first reply."""
        self.reply = Reply()
        self.is_unusable = False
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._received_bytes = 0
        self._body_bytes = 0
        self._invalid_status: int | None = None

    def start_next(self) -> None:
        """Discard the last reply and expect another."""
        self.reply = Reply()
        self._received_bytes = 0
        self._body_bytes = 0

    def feed(self, received: bytes) -> str | None:
        """Parse bytes and return the error of an incomplete reply, if any."""
        if self.reply.is_complete:
            self.is_unusable = True
            return None
        try:
            self._parser.feed_data(received)
        except (
            httptools.HttpParserUpgrade,
            httptools.HttpParserError,
        ) as error:
            self.is_unusable = True
            return None if self.reply.is_complete else repr(error)
        if self._invalid_status is not None:
            self.is_unusable = True
            return f'the status {self._invalid_status} is not valid'
        self._received_bytes += len(received)
        return self._check_framing()

    def note_eof(self) -> None:
        """Complete a reply that is delimited by the end of the connection."""
        head = self.reply.head
        if head is not None and not head.is_self_delimited:
            self.reply.is_complete = True

    def on_message_begin(self) -> None:
        """Detect the start of a second reply after a complete one."""
        self.is_unusable = self.is_unusable or self.reply.is_complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header of the current reply; drop its trailer section."""
        if self.reply.head is None:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Store the head of a final reply; interim (1xx) ones are dropped."""
        status = self._parser.get_status_code()
        headers = tuple(self._headers)
        self._headers.clear()
        if status not in _VALID_STATUSES and not self.reply.is_complete:
            self._invalid_status = status
            return
        if status >= _MIN_FINAL_STATUS and not self.reply.is_complete:
            is_self_delimited = (
                status in _NO_BODY_STATUSES or _has_body_framing(headers)
            )
            self.reply.head = ReplyHead(status, headers, is_self_delimited)

    def on_body(self, chunk: bytes) -> None:
        """Store a part of the body."""
        self._body_bytes += len(chunk)
        if not self.reply.is_complete:
            self.reply.chunks.append(chunk)
            self.reply.buffered_bytes += len(chunk)

    def on_message_complete(self) -> None:
        """Complete a final reply."""
        reply = self.reply
        if reply.head is not None and not reply.is_complete:
            reply.is_complete = True
            reply.allows_reuse = self._parser.should_keep_alive()

    def _check_framing(self) -> str | None:
        """Return the error of an incomplete reply with too much framing.

        Interim (1xx) replies count as framing of the reply that follows.
        """
        framing_bytes = self._received_bytes - self._body_bytes
        limit = MAX_FRAMING_BYTES + self._body_bytes
        if self.reply.is_complete or framing_bytes <= limit:
            return None
        self.is_unusable = True
        return f'{framing_bytes} bytes of framing exceed the limit of {limit}'


def _has_body_framing(headers: Headers) -> bool:
    """Return whether the headers determine where the body ends."""
    for name, value in headers:
        header_name = name.lower()
        if header_name == LENGTH_HEADER:
            return True
        if header_name == b'transfer-encoding' and b'chunked' in value.lower():
            return True
    return False
