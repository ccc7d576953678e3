"""Splitting a stream of server-sent events."""

import pytest

from bramleybeam.gateway._stream import EventSplitter
from bramleybeam.relay import BrokenReplyError

EVENTS = b'id: 4\ndata: a\n\nid: 5\ndata: b\n\n'


@pytest.mark.parametrize('size', [1, 7, 100])
def test_returns_only_complete_events(size):
    splitter = EventSplitter('3')
    received = b''
    for start in range(0, len(EVENTS), size):
        events = splitter.feed(EVENTS[start : start + size])
        assert not events or events.endswith(b'\n\n')
        received += events
    assert received == EVENTS
    assert splitter.last_id == '5'
    assert not splitter.has_partial_event


def test_detects_a_partial_event():
    splitter = EventSplitter()
    assert splitter.feed(b'id: 1\ndata') == b''
    assert splitter.has_partial_event


def test_event_that_exceeds_the_limit_is_an_error():
    splitter = EventSplitter()
    with pytest.raises(BrokenReplyError):
        for _ in range(1000):
            splitter.feed(b'data: ' + b'x' * 10_000)


@pytest.mark.parametrize(
    'piece',
    [
        b'internal server error\n\n',
        b'event: error\ndata: overloaded\n\n',
        b'id: 4\ndata: a\n\n{"error": 1}\n\n',
    ],
)
def test_error_text_in_a_resumed_stream_is_an_error(piece):
    with pytest.raises(BrokenReplyError):
        EventSplitter('3').feed(piece)


def test_event_with_a_change_of_weights_resumes_a_stream():
    event = b'bramleybeam-weight-versions: 3\nid: 4\ndata: a\n\n'
    assert EventSplitter('3').feed(event) == event


@pytest.mark.parametrize('last_id', ['2', '4', '5'])
def test_gap_or_repeated_id_is_an_error(last_id):
    with pytest.raises(BrokenReplyError):
        EventSplitter(last_id).feed(EVENTS)
