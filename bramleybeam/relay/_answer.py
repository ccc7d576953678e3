"""Parses one answer at a time out of a peer's bytes."""

from collections import deque
from typing import Final

import attrs
import httptools

from bramleybeam.relay._messages import LENGTH_HEADER, Headers, ReplyHead

_NO_BODY_STATUSES: Final = frozenset((204, 304))
_FINAL_STATUS: Final = 200
# Longest head of an answer, with interim answers before it.
_MAX_HEAD_BYTES: Final = 65_536


@attrs.define
class Answer:
    """What has come of one answer; ``may_stay`` allows another request."""

    head: ReplyHead | None = None
    pieces: deque[bytes] = attrs.field(factory=deque)
    buffered: int = 0
    is_complete: bool = False
    may_stay: bool = False

    def take_pieces(self) -> bytes:
        """Return what has come of the body since the last call."""
        joined = b''.join(self.pieces)
        self.pieces.clear()
        self.buffered = 0
        return joined


class AnswerParser:
    """Fills the current answer; bytes behind its end spoil the connection."""

    def __init__(self) -> None:
        """Start to wait for an answer."""
        self.answer = Answer()
        self.is_spoiled = False
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0

    def begin(self) -> None:
        """Forget the last answer and wait for the next."""
        self.answer = Answer()
        self._head_bytes = 0

    def feed(self, received: bytes) -> str | None:
        """Parse bytes; returns what is wrong with an unfinished answer."""
        if self.answer.is_complete:
            self.is_spoiled = True
            return None
        try:
            self._parser.feed_data(received)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError) as bad:
            self.is_spoiled = True
            return None if self.answer.is_complete else repr(bad)
        return self._check_head(len(received))

    def note_end(self) -> None:
        """Take a clean end as the end of an answer without a length."""
        head = self.answer.head
        if head is not None and not head.framed:
            self.answer.is_complete = True

    def on_message_begin(self) -> None:
        """Note a second answer behind the first."""
        self.is_spoiled = self.is_spoiled or self.answer.is_complete

    def on_header(self, name: bytes, field: bytes) -> None:
        """Collect a header."""
        self._headers.append((name, field))

    def on_headers_complete(self) -> None:
        """Keep the head of a final answer; interim ones are dropped."""
        status = self._parser.get_status_code()
        headers = tuple(self._headers)
        self._headers.clear()
        if status >= _FINAL_STATUS and not self.answer.is_complete:
            framed = status in _NO_BODY_STATUSES or _is_framed(headers)
            self.answer.head = ReplyHead(status, headers, framed)

    def on_body(self, piece: bytes) -> None:
        """Keep a piece of the body."""
        if not self.answer.is_complete:
            self.answer.pieces.append(piece)
            self.answer.buffered += len(piece)

    def on_message_complete(self) -> None:
        """Note the whole end of a final answer."""
        answer = self.answer
        if answer.head is not None and not answer.is_complete:
            answer.is_complete = True
            answer.may_stay = self._parser.should_keep_alive()

    def _check_head(self, size: int) -> str | None:
        if self.answer.head is not None:
            return None
        self._head_bytes += size
        if self._head_bytes <= _MAX_HEAD_BYTES:
            return None
        self.is_spoiled = True
        return f'a head of more than {_MAX_HEAD_BYTES} bytes'


def _is_framed(headers: Headers) -> bool:
    for name, field in headers:
        lowered = name.lower()
        if lowered == LENGTH_HEADER:
            return True
        if lowered == b'transfer-encoding' and b'chunked' in field.lower():
            return True
    return False
