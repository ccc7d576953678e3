"""Typed heads and pieces of HTTP/1.1 messages that are passed on."""

from typing import Final

import attrs

Headers = tuple[tuple[bytes, bytes], ...]

# Headers that concern one connection only (RFC 9110, section 7.6.1).
CONNECTION_HEADERS: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)
LENGTH_HEADER: Final = b'content-length'


class BrokenReplyError(Exception):
    """The answer ended early, or what came is no answer in HTTP."""


@attrs.frozen
class InboundRequest:
    """A whole request of a caller; ``received_at`` is in loop seconds."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: float
    keep_alive: bool = True

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition(b'?')[0].decode('latin-1')

    @property
    def host(self) -> str:
        """The ``Host`` header, lower case and without a port."""
        named = find_header(self.headers, b'host') or b''
        return named.partition(b':')[0].decode('latin-1').lower()


@attrs.frozen
class ReplyHead:
    """Status line and headers of an answer.

    ``framed`` tells whether its end can be recognised without the end of the
    connection.
    """

    status: int
    headers: Headers
    framed: bool = True


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; ``name`` is in lower case."""
    for key, field in headers:
        if key.lower() == name:
            return field
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Leave out what concerns one connection, and the length."""
    named = find_header(headers, b'connection') or b''
    listed = {token.strip().lower() for token in named.split(b',')}
    dropped = CONNECTION_HEADERS | listed | {LENGTH_HEADER}
    return tuple(
        (key, field) for key, field in headers if key.lower() not in dropped
    )


def render_head(first_line: bytes, headers: Headers) -> bytes:
    """Render a first line and headers, with the blank line after them."""
    lines = [first_line]
    lines.extend(key + b': ' + field for key, field in headers)
    return b'\r\n'.join(lines) + b'\r\n\r\n'
