"""Encoding and decoding of frames, with size checks before decoding.

A frame is a length of four bytes, one byte for its type, and a thrift binary
struct. A struct contains only scalars, strings and binaries. Before decoding,
``_reject_containers`` iterates over the fields by their declared lengths and
refuses containers, because a decoder that skips a container of a billion empty
elements blocks the event loop for seconds.
"""

import struct
from collections.abc import Iterator
from types import MappingProxyType
from typing import Final

from thriftpy2.protocol.cybin import (  # type: ignore[attr-defined]
    TCyBinaryProtocol,
)
from thriftpy2.transport import TCyMemoryBuffer

from bramleybeam.links import _frames as frames
from bramleybeam.links._frames import Frame, FrameError

MAX_FRAME_BYTES: Final = 1 << 20
# Limit of the first frame, which arrives before the peer is authenticated.
MAX_HELLO_BYTES: Final = 2048
_MAX_FIELDS: Final = 32
_HEADER: Final = struct.Struct('>IB')
_FIELD_HEADER: Final = struct.Struct('>BH')
_LENGTH: Final = struct.Struct('>I')
# Thrift type numbers of the end of a struct and of strings and binaries.
_STOP_TYPE: Final = 0
_STRING_TYPE: Final = 11
# Bytes of each fixed-size thrift type: bool, byte, double, i16, i32, i64.
_FIXED_SIZES: Final = MappingProxyType({2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8})

_FRAME_TYPES: Final[tuple[type[Frame], ...]] = (
    frames.Hello,
    frames.Heartbeat,
    frames.Dispatch,
    frames.Accepted,
    frames.Refused,
    frames.Chunk,
    frames.End,
    frames.Failed,
    frames.Credit,
    frames.Cancel,
    frames.Notice,
    frames.Call,
    frames.Reply,
)
_NUMBER_OF_TYPE: Final = MappingProxyType(
    {frame_type: number for number, frame_type in enumerate(_FRAME_TYPES)}
)


def encode_frame(frame: Frame) -> bytes:
    """Return an encoded frame; raises ``FrameError`` if it is too large."""
    buffer = TCyMemoryBuffer()
    protocol = TCyBinaryProtocol(buffer)
    protocol.write_struct(frame)
    buffer.flush()
    body = buffer.getvalue()
    if len(body) > MAX_FRAME_BYTES:
        raise FrameError(f'frame has {len(body)} bytes; split the content')
    return _HEADER.pack(len(body), _NUMBER_OF_TYPE[type(frame)]) + body


class FrameDecoder:
    """Splits a byte stream into frames and buffers at most one partial frame.

    Until ``raise_limit`` is called, only frames up to ``MAX_HELLO_BYTES`` are
    accepted, so that an unauthenticated peer cannot fill the buffer.
    """

    def __init__(self) -> None:
        """Create a decoder with an empty buffer."""
        self._buffer = bytearray()
        self._limit = MAX_HELLO_BYTES

    def raise_limit(self) -> None:
        """Accept frames up to ``MAX_FRAME_BYTES``: the peer is authenticated."""
        self._limit = MAX_FRAME_BYTES

    def feed(self, received: bytes) -> Iterator[Frame]:
        """Add received bytes and yield each complete frame.

        Raises ``FrameError`` if the bytes are not a valid frame.
        """
        self._buffer += received
        start = 0
        while len(self._buffer) - start >= _HEADER.size:
            size, number = _HEADER.unpack_from(self._buffer, start)
            self._check_header(size, number)
            end = start + _HEADER.size + size
            if len(self._buffer) < end:
                break
            body = bytes(self._buffer[start + _HEADER.size : end])
            start = end
            yield _decode_body(number, body)
        self._buffer = self._buffer[start:]

    def _check_header(self, size: int, number: int) -> None:
        if size > self._limit:
            raise FrameError(
                f'frame has {size} bytes; the limit is {self._limit}'
            )
        if number >= len(_FRAME_TYPES):
            raise FrameError(f'unknown frame type {number}; upgrade the peer')


def _decode_body(number: int, body: bytes) -> Frame:
    _reject_containers(body)
    frame = _FRAME_TYPES[number]()
    try:
        TCyBinaryProtocol(TCyMemoryBuffer(body)).read_struct(frame)
    except Exception as error:
        raise FrameError(f'frame body cannot be read: {error}') from error
    _check_types(frame)
    return frame


def _check_types(frame: Frame) -> None:
    for _field_type, name, _required in type(frame).thrift_spec.values():
        default = getattr(_DEFAULTS[type(frame)], name)
        if getattr(frame, name).__class__ is not default.__class__:
            raise FrameError(f'field {name} has a value of the wrong type')


def _reject_containers(body: bytes) -> None:
    offset = 0
    for _ in range(_MAX_FIELDS):
        if offset >= len(body):
            raise FrameError('frame body is truncated')
        if body[offset] == _STOP_TYPE:
            return
        offset = _skip_field(body, offset)
    raise FrameError(f'frame body has more than {_MAX_FIELDS} fields')


def _skip_field(body: bytes, offset: int) -> int:
    start = offset + _FIELD_HEADER.size
    field_type = body[offset]
    if field_type == _STRING_TYPE:
        if start + _LENGTH.size > len(body):
            raise FrameError('string length is truncated')
        return start + _LENGTH.size + _LENGTH.unpack_from(body, start)[0]
    fixed_size = _FIXED_SIZES.get(field_type)
    if fixed_size is None:
        raise FrameError(
            f'field of type {field_type}; only flat fields are allowed'
        )
    return start + fixed_size


_DEFAULTS: Final = MappingProxyType(
    {frame_type: frame_type() for frame_type in _FRAME_TYPES}
)
