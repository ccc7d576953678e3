"""Whole events out of any pieces."""

import pytest

from bramleybeam.gateway._stream import EventSplitter
from bramleybeam.relay import BrokenReplyError

EVENTS = b'id: 4\ndata: a\n\nid: 5\ndata: b\n\n'


@pytest.mark.parametrize('size', [1, 7, 100])
def test_hands_out_whole_events(size):
    splitter = EventSplitter('3')
    found = b''
    for start in range(0, len(EVENTS), size):
        events = splitter.feed(EVENTS[start : start + size])
        assert not events or events.endswith(b'\n\n')
        found += events
    assert found == EVENTS
    assert splitter.last_id == '5'
    assert not splitter.has_rest


def test_tells_of_a_rest():
    splitter = EventSplitter()
    assert splitter.feed(b'id: 1\ndata') == b''
    assert splitter.has_rest


def test_event_without_end_is_given_up():
    splitter = EventSplitter()
    with pytest.raises(BrokenReplyError):
        for _ in range(1000):
            splitter.feed(b'data: ' + b'x' * 10_000)


@pytest.mark.parametrize('last_id', ['2', '4', '5'])
def test_refuses_a_gap_or_a_repeat(last_id):
    with pytest.raises(BrokenReplyError):
        EventSplitter(last_id).feed(EVENTS)
