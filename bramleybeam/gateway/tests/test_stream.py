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


@pytest.mark.parametrize('last_id', ['2', '4', '5'])
def test_gap_or_repeated_id_is_an_error(last_id):
    with pytest.raises(BrokenReplyError):
        EventSplitter(last_id).feed(EVENTS)
