"""Incremental parser of a caller's requests with size limits."""

from collections.abc import Callable
from http import HTTPStatus

import attrs
import httptools

from bramleybeam.catalog import RequestLimits
from bramleybeam.relay._messages import (
    HEADER_OBJECT_BYTES,
    MAX_FRAMING_BYTES,
    InboundRequest,
)

# Empty lines that may precede a request have at most this many bytes together. A
# caller may send one of two bytes (RFC 9112, section 2.2).
_MAX_BLANK_BYTES = 256
# Bytes of a header line besides its name and value: ': ' and CR LF.
_HEADER_OVERHEAD = 4
# An incomplete head may have this many times the bytes allowed for the headers
# of a complete one, because its size still includes the request line and white
# space, which the limit does not count.
_UNFINISHED_ALLOWANCE = 2
# A body is costly to parse if it has arrived in many parts, which are smaller than
# this many bytes on average.
_MANY_PARTS = 64
_SMALL_PART_BYTES = 512


@attrs.frozen
class UnreadableRequest:
    """A request is malformed or too long.

    ``status`` is the HTTP status code of the response, ``reason`` is logged.
    """

    status: int
    reason: str


class RequestParser:
    """Parses bytes into requests; ``clock`` returns event loop seconds."""

    def __init__(
        self,
        limits: RequestLimits,
        clock: Callable[[], float],
    ) -> None:
        """Store the size limits and the clock."""
        self.limits = limits
        self._clock = clock
        self._parser = httptools.HttpRequestParser(self)
        self._completed: list[InboundRequest] = []
        self._error: UnreadableRequest | None = None
        self._last_size = 0
        self._reset()

    @property
    def error(self) -> UnreadableRequest | None:
        """Why no further requests can be read, ``None`` if they can."""
        return self._error

    @property
    def is_mid_request(self) -> bool:
        """Whether a request has been received in part."""
        return self._is_mid_request

    @property
    def is_mid_head(self) -> bool:
        """Whether the head of a request has been received in part."""
        return self._is_mid_request and not self._has_head

    @property
    def is_costly(self) -> bool:
        """Whether the current body takes much time for its size, as in chunks."""
        has_many_parts = self._body_parts >= _MANY_PARTS
        return has_many_parts and (
            len(self._body) < self._body_parts * _SMALL_PART_BYTES
        )

    @property
    def held_bytes(self) -> int:
        """Memory that the received parts of an incomplete request take."""
        if not self._is_mid_request:
            return 0
        if self._has_head:
            return self._measure_head() + len(self._body)
        return self._measure_head() + self._first_size + self._received

    def peek(self) -> InboundRequest | None:
        """Return an incomplete request whose head is complete, without body."""
        if not self._has_head:
            return None
        return InboundRequest(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            b'',
            self._started_at,
            keep_alive=False,
        )

    def discard(self) -> None:
        """Free the received parts of an incomplete request.

        No further bytes may be parsed.
        """
        self._reset()

    def feed(self, received: bytes) -> list[InboundRequest]:
        """Parse bytes and return the requests that they complete.

        A malformed or too long request sets ``error`` and ends the input.
        """
        self._received += len(received)
        self._last_size = len(received)
        try:
            self._parser.feed_data(received)
        except (
            httptools.HttpParserUpgrade,
            httptools.HttpParserError,
        ) as error:
            self._note_error(HTTPStatus.BAD_REQUEST, repr(error))
        if not self.is_mid_request:
            self._check_blank()
        elif not self._completed:
            self._check_incomplete()
        completed = self._completed
        self._completed = []
        return completed

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset()
        self._is_mid_request = True

    def on_url(self, target: bytes) -> None:
        """Append to the request target, which can arrive in parts."""
        self._target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header and count its bytes; drop the trailer section."""
        if self._has_head:
            return
        self._headers.append((name, value))
        self._header_bytes += len(name) + len(value) + _HEADER_OVERHEAD

    def on_headers_complete(self) -> None:
        """Check the sizes of the target and of the headers, each by itself."""
        self._has_head = True
        self._check_head(len(self._target), 'request target')
        self._check_head(self._header_bytes, 'request headers')

    def on_body(self, chunk: bytes) -> None:
        """Append to the body within its size limit."""
        self._body_parts += 1
        if len(self._body) + len(chunk) > self.limits.body_bytes:
            self._note_error(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f'request body exceeds {self.limits.body_bytes} bytes',
            )
        elif self._error is None:
            self._body += chunk

    def on_message_complete(self) -> None:
        """Store the complete request unless an error came before its end."""
        if self._parser.should_upgrade():
            self._note_error(HTTPStatus.BAD_REQUEST, 'upgrade is not supported')
        if self._error is None:
            self._store_request()
        self._reset()

    def _store_request(self) -> None:
        self._completed.append(
            InboundRequest(
                self._parser.get_method(),
                self._target,
                tuple(self._headers),
                bytes(self._body),
                self._started_at,
                self._parser.should_keep_alive(),
            ),
        )

    def _measure_head(self) -> int:
        objects_bytes = HEADER_OBJECT_BYTES * len(self._headers)
        return len(self._target) + self._header_bytes + objects_bytes

    def _check_blank(self) -> None:
        """Note an error if only empty lines arrive."""
        if self._received > _MAX_BLANK_BYTES:
            self._note_error(
                HTTPStatus.BAD_REQUEST, f'{self._received} bytes of empty lines'
            )

    def _check_incomplete(self) -> None:
        """Note an error if an incomplete request has too much framing."""
        if self.is_mid_head:
            size = self._received // _UNFINISHED_ALLOWANCE
            self._check_head(size, 'request headers')
            return
        body_bytes = len(self._body)
        framing_bytes = self._received - body_bytes
        head_bytes = self.limits.header_bytes * _UNFINISHED_ALLOWANCE
        if framing_bytes > head_bytes + MAX_FRAMING_BYTES + body_bytes:
            self._note_error(
                HTTPStatus.BAD_REQUEST, f'{framing_bytes} bytes of framing'
            )

    def _check_head(self, size: int, part: str) -> None:
        """Note an error if a part of the head has more bytes than the limit."""
        if size > self.limits.header_bytes:
            self._note_error(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                f'{size} bytes of {part}',
            )

    def _reset(self) -> None:
        """Prepare for the next request."""
        self._is_mid_request = False
        self._has_head = False
        self._received = 0
        # The bytes that a request begins with are not counted as received.
        self._first_size = self._last_size
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._body = bytearray()
        self._body_parts = 0
        self._started_at = self._clock()

    def _note_error(self, status: int, reason: str) -> None:
        """Store the first error."""
        if self._error is None:
            self._error = UnreadableRequest(status, reason)
