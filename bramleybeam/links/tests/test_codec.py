"""Round trips of frames, and bytes that are not valid frames."""

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleybeam.links import (
    Chunk,
    Dispatch,
    FrameDecoder,
    FrameError,
    Hello,
    encode_frame,
)
from bramleybeam.links._codec import _FRAME_TYPES

# A frame body with a container field.
CONTAINER_BODY = bytes.fromhex(
    '0d0de244943ee499ca0001b85bd1b784614418616581eb0503df241f23077054'
    'c083d658d16ab2230cd2071d',
)


def make_decoder():
    """Return a decoder that accepts frames of full size."""
    decoder = FrameDecoder()
    decoder.raise_limit()
    return decoder


def make_frame(frame_type, draw):
    """Return a frame whose fields have drawn values."""
    frame = frame_type()
    for field in attrs.fields(frame_type):
        default = getattr(frame, field.name)
        setattr(frame, field.name, draw(_STRATEGIES[default.__class__]))
    return frame


_STRATEGIES = {
    str: st.text(max_size=50),
    int: st.integers(-(2**31), 2**31 - 1),
    bool: st.booleans(),
    bytes: st.binary(max_size=200),
}


@given(data=st.data(), frame_type=st.sampled_from(_FRAME_TYPES))
@settings(derandomize=True, max_examples=300, deadline=None)
def test_every_frame_survives_a_round_trip(data, frame_type):
    """A frame split at any byte decodes to an equal frame."""
    frame = make_frame(frame_type, data.draw)
    encoded = encode_frame(frame)
    split_at = data.draw(st.integers(0, len(encoded)))
    decoder = make_decoder()
    received = [
        *decoder.feed(encoded[:split_at]),
        *decoder.feed(encoded[split_at:]),
    ]
    assert received == [frame]


@given(random_bytes=st.binary(max_size=400))
@settings(derandomize=True, max_examples=500, deadline=None)
def test_random_bytes_are_refused_or_buffered(random_bytes):
    """Random bytes raise ``FrameError`` or stay buffered."""
    decoder = make_decoder()
    try:
        list(decoder.feed(random_bytes))
    except FrameError:
        return
    assert len(decoder._buffer) <= len(random_bytes)


@given(data=st.data())
@settings(derandomize=True, max_examples=500, deadline=None)
def test_a_mutated_frame_is_refused_or_has_valid_types(data):
    """One changed byte raises ``FrameError`` or keeps the field types valid."""
    encoded = bytearray(
        encode_frame(Dispatch(request_id='r', body=b'{}', credit=3)),
    )
    position = data.draw(st.integers(0, len(encoded) - 1))
    encoded[position] = data.draw(st.integers(0, 255))
    try:
        received = list(make_decoder().feed(bytes(encoded)))
    except FrameError:
        return
    for frame in received:
        for field in attrs.fields(type(frame)):
            field_value = getattr(frame, field.name)
            assert isinstance(field_value, str | int | bool | bytes)


@pytest.mark.parametrize('number', range(len(_FRAME_TYPES)))
def test_a_container_field_is_refused_before_decoding(number):
    """The bare thrift decoder takes 6 s for this body of 44 bytes.

    Decoding it would block the event loop for that time.
    """
    frame = (
        len(CONTAINER_BODY).to_bytes(4, 'big')
        + bytes([number])
        + CONTAINER_BODY
    )
    with pytest.raises(FrameError, match='only flat fields'):
        list(make_decoder().feed(frame))


@pytest.mark.parametrize(
    'encoded',
    [
        b'\x7f\xff\xff\xff\x00',
        encode_frame(Chunk(body=b'x' * 5000)),
        encode_frame(Hello(process='p' * 4000)),
    ],
    ids=['huge length', 'large chunk', 'large hello'],
)
def test_frames_before_the_hello_are_limited_in_size(encoded):
    """Before the hello, only a frame of at most 2048 bytes is accepted."""
    with pytest.raises(FrameError):
        list(FrameDecoder().feed(encoded))


def test_encoding_a_frame_over_the_limit_fails():
    """The error is raised at the sender, not at the receiver."""
    with pytest.raises(FrameError):
        encode_frame(Chunk(body=b'x' * (1 << 20)))
