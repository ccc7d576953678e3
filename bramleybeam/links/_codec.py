"""Frames to bytes and back, with every size checked before decoding.

A frame is a length of four bytes, one byte for its type, and a thrift binary
struct. A struct holds scalars, strings and binaries only. ``_check_flat``
walks the declared lengths first and refuses containers, since a decoder that
skips a container of a billion empty elements holds the event loop for
seconds.
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
MAX_HELLO_BYTES: Final = 2048
_MAX_FIELDS: Final = 32
_HEADER: Final = struct.Struct('>IB')
_FIELD_HEADER: Final = struct.Struct('>BH')
_LENGTH: Final = struct.Struct('>I')
_STOP: Final = 0
_STRING: Final = 11
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
_TYPE_NUMBERS: Final = MappingProxyType(
    {frame_type: number for number, frame_type in enumerate(_FRAME_TYPES)}
)


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame; raises ``FrameError`` when it is too large to send."""
    buffer = TCyMemoryBuffer()
    protocol = TCyBinaryProtocol(buffer)
    protocol.write_struct(frame)
    buffer.flush()
    body = buffer.getvalue()
    if len(body) > MAX_FRAME_BYTES:
        raise FrameError(f'frame of {len(body)} bytes; split the content')
    return _HEADER.pack(len(body), _TYPE_NUMBERS[type(frame)]) + body


class FrameDecoder:
    """Cuts a byte stream into frames, keeping at most one partial frame.

    Until ``raise_limit`` is called only a frame of the size of a hello is
    taken, so that an unknown peer cannot make the process buffer more.
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = bytearray()
        self._limit = MAX_HELLO_BYTES

    def raise_limit(self) -> None:
        """Allow frames of full size: the peer is known."""
        self._limit = MAX_FRAME_BYTES

    def feed(self, received: bytes) -> Iterator[Frame]:
        """Yield each complete frame; raises ``FrameError`` on bad bytes."""
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
            raise FrameError(f'frame of {size} bytes; allowed {self._limit}')
        if number >= len(_FRAME_TYPES):
            raise FrameError(f'unknown frame type {number}; upgrade the peer')


def _decode_body(number: int, body: bytes) -> Frame:
    _check_flat(body)
    frame = _FRAME_TYPES[number]()
    try:
        TCyBinaryProtocol(TCyMemoryBuffer(body)).read_struct(frame)
    except Exception as error:
        raise FrameError(f'frame body cannot be read: {error}') from error
    _check_types(frame)
    return frame


def _check_types(frame: Frame) -> None:
    for _kind, name, _required in type(frame).thrift_spec.values():
        default = getattr(_DEFAULTS[type(frame)], name)
        if getattr(frame, name).__class__ is not default.__class__:
            raise FrameError(f'field {name} has a value of a wrong type')


def _check_flat(body: bytes) -> None:
    position = 0
    for _ in range(_MAX_FIELDS):
        if position >= len(body):
            raise FrameError('frame body ends early')
        if body[position] == _STOP:
            return
        position = _skip_field(body, position)
    raise FrameError(f'frame body has more than {_MAX_FIELDS} fields')


def _skip_field(body: bytes, position: int) -> int:
    start = position + _FIELD_HEADER.size
    kind = body[position]
    if kind == _STRING:
        if start + _LENGTH.size > len(body):
            raise FrameError('string length is cut off')
        return start + _LENGTH.size + _LENGTH.unpack_from(body, start)[0]
    fixed_size = _FIXED_SIZES.get(kind)
    if fixed_size is None:
        raise FrameError(f'field of type {kind}; only flat fields are allowed')
    return start + fixed_size


_DEFAULTS: Final = MappingProxyType(
    {frame_type: frame_type() for frame_type in _FRAME_TYPES}
)
