"""Turns the bytes of one caller into whole requests, within limits."""

from collections.abc import Callable
from http import HTTPStatus

import httptools

from bramleybeam.catalog import RequestLimits
from bramleybeam.relay._messages import InboundRequest

# Bytes that a header takes besides its name and value.
_HEADER_OVERHEAD = 4
# An unfinished head may be this many times longer than a whole one, since the
# request line and blank space are not told apart in it.
_UNFINISHED_ALLOWANCE = 2


class UnreadableRequestError(Exception):
    """What came is no request, or too long; ``status`` says so."""

    def __init__(self, status: int, reason: str) -> None:
        """Store the status to answer with and the reason to log."""
        super().__init__(reason)
        self.status = status


class RequestParser:
    """Collects one request at a time; ``clock`` gives loop seconds."""

    def __init__(
        self,
        limits: RequestLimits,
        clock: Callable[[], float],
    ) -> None:
        """Start without a request."""
        self.limits = limits
        self._clock = clock
        self._parser = httptools.HttpRequestParser(self)
        self._whole: list[InboundRequest] = []
        self._problem: UnreadableRequestError | None = None
        self._reset()

    @property
    def is_within(self) -> bool:
        """Whether a part of a request has come."""
        return self._is_within

    @property
    def is_within_head(self) -> bool:
        """Whether a part of a head has come, and not its end."""
        return self._is_within and not self._has_head

    def feed(self, received: bytes) -> list[InboundRequest]:
        """Return the requests that are whole now; raises when unreadable."""
        self._received += len(received)
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            self._note_problem(HTTPStatus.BAD_REQUEST, 'upgrade')
        except httptools.HttpParserError as error:
            self._note_problem(HTTPStatus.BAD_REQUEST, repr(error))
        if self.is_within_head and not self._whole:
            self._check_head(self._received // _UNFINISHED_ALLOWANCE)
        if self._problem is not None:
            raise self._problem
        whole = self._whole
        self._whole = []
        return whole

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._reset()
        self._is_within = True

    def on_url(self, target: bytes) -> None:
        """Collect the request target, which can come in parts."""
        self._target += target

    def on_header(self, name: bytes, field: bytes) -> None:
        """Collect a header."""
        self._headers.append((name, field))
        self._header_bytes += len(name) + len(field) + _HEADER_OVERHEAD

    def on_headers_complete(self) -> None:
        """Check the size of the head."""
        self._has_head = True
        self._check_head(self._header_bytes)

    def on_body(self, piece: bytes) -> None:
        """Collect the body within its limit."""
        if len(self._body) + len(piece) > self.limits.body_bytes:
            self._note_problem(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f'more than {self.limits.body_bytes} bytes of body',
            )
        elif self._problem is None:
            self._body += piece

    def on_message_complete(self) -> None:
        """Keep a whole request."""
        self._whole.append(
            InboundRequest(
                self._parser.get_method(),
                self._target,
                tuple(self._headers),
                bytes(self._body),
                self._begun_at,
                self._parser.should_keep_alive(),
            ),
        )
        self._reset()

    def _check_head(self, size: int) -> None:
        if size > self.limits.header_bytes:
            self._note_problem(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                f'{size} bytes of headers',
            )

    def _reset(self) -> None:
        self._is_within = False
        self._has_head = False
        self._received = 0
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._body = bytearray()
        self._begun_at = self._clock()

    def _note_problem(self, status: int, reason: str) -> None:
        if self._problem is None:
            self._problem = UnreadableRequestError(status, reason)
