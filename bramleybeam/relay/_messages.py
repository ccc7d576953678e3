"""Data types for relayed HTTP/1.1 messages, and functions on headers."""

from typing import Final

import attrs

Headers = tuple[tuple[bytes, bytes], ...]

# Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
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
# Limit for the bytes of a message that are not its body: heads, sizes and
# extensions of chunks, and the trailer section. A message may have as many more
# of them as its body has bytes. The HTTP library collects an unfinished line
# itself, so that counting the headers would not limit them.
MAX_FRAMING_BYTES: Final = 65_536
# What the objects of one header take in memory besides its name and value.
HEADER_OBJECT_BYTES: Final = 160


class BrokenReplyError(Exception):
    """A peer's reply was incomplete or unusable."""


class InvalidReplyError(BrokenReplyError):
    """A peer sent bytes that are not a reply to this request.

    The peer is alive: the reply was not broken off by the end of the connection.
    """


@attrs.frozen
class InboundRequest:
    """A complete request of a caller.

    ``received_at`` is when its first bytes arrived, by the clock of the event
    loop, in seconds. ``keep_alive`` tells whether the caller allows another
    request on the connection.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: float
    keep_alive: bool = True

    @property
    def held_bytes(self) -> int:
        """Memory that the request takes."""
        head_bytes = sum(
            len(name) + len(value) + HEADER_OBJECT_BYTES
            for name, value in self.headers
        )
        return len(self.target) + head_bytes + len(self.body)

    @property
    def path(self) -> str:
        """The request target without its query string."""
        return self.target.partition(b'?')[0].decode('latin-1')

    @property
    def host(self) -> str:
        """The ``Host`` header in lower case and without a port."""
        header_value = find_header(self.headers, b'host') or b''
        return header_value.partition(b':')[0].decode('latin-1').lower()


@attrs.frozen
class ReplyHead:
    """Status code and headers of a reply.

    ``is_self_delimited`` tells whether the end of the body is known without
    the end of the connection: by its length, by chunked coding or because
    the status allows no body.
    """

    status: int
    headers: Headers
    is_self_delimited: bool = True


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or ``None`` if it is missing.

    ``name`` must be in lower case.
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers without hop-by-hop headers and ``Content-Length``.

    Headers that the ``Connection`` header names are hop-by-hop too.
    """
    header_value = find_header(headers, b'connection') or b''
    connection_options = {
        token.strip().lower() for token in header_value.split(b',')
    }
    dropped = CONNECTION_HEADERS | connection_options | {LENGTH_HEADER}
    return tuple(
        (key, value) for key, value in headers if key.lower() not in dropped
    )


def render_head(first_line: bytes, headers: Headers) -> bytes:
    """Return the bytes of a first line, the headers and the blank line."""
    lines = [first_line]
    lines.extend(key + b': ' + value for key, value in headers)
    return b'\r\n'.join(lines) + b'\r\n\r\n'
