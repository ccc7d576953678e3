"""Packing the loads of replicas, and messages that carry them."""

import json
import zlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleybeam.gateway._loads import RemoteLoads
from bramleybeam.gateway._packed_loads import (
    PackedLoad,
    pack_loads,
    replica_code,
    unpack_loads,
)
from bramleybeam.gateway._peer_codec import (
    decode_peer_message,
    encode_peer_message,
)
from bramleybeam.gateway._peer_messages import SubtreeReport
from bramleybeam.links import FrameDecoder, Notice, encode_frame

LOADS = st.builds(
    PackedLoad,
    st.integers(0, 65_535),
    st.integers(0, 65_535).map(lambda units: units * 100),
    st.integers(0, 65_535).map(lambda units: units * 500),
)


@given(loads=st.dictionaries(st.integers(0, 0xFFFFFF), LOADS, max_size=80))
@settings(derandomize=True, deadline=None)
def test_loads_in_whole_units_are_restored(loads):
    assert unpack_loads(pack_loads(loads)) == loads


@pytest.mark.parametrize(
    ('load', 'restored'),
    [
        (PackedLoad(3, 149, 740), PackedLoad(3, 100, 500)),
        (PackedLoad(3, 151, 760), PackedLoad(3, 200, 1000)),
        # Values out of range are limited.
        (PackedLoad(-1, -5, 10**12), PackedLoad(0, 0, 32_767_500)),
    ],
)
def test_other_values_are_rounded(load, restored):
    assert unpack_loads(pack_loads({7: load})) == {7: restored}


@pytest.mark.parametrize('text', ['A', '????', 'AAAA', 'ü'])
def test_malformed_text_raises_value_error(text):
    with pytest.raises(ValueError, match=r'.'):
        unpack_loads(text)


def test_row_of_the_large_fleet_takes_few_bytes():
    loads = {
        replica_code(f'i-{number:010x}'): PackedLoad(12, 9000, 20_000)
        for number in range(66)
    }
    assert len(loads) == 66
    assert len(pack_loads(loads)) <= 66 * 12


def test_report_of_an_earlier_version_is_read_without_loads():
    """Earlier versions name replicas in full, and know no further fields."""
    report = SubtreeReport(1, loads=RemoteLoads({7: PackedLoad(3)}))
    (frame,) = FrameDecoder().feed(encode_peer_message(report))
    fields = json.loads(zlib.decompress(frame.body))
    # They require this field, whatever it holds.
    assert fields['loads'] == {}
    for name in ('packed', 'targets', 'version', 'pauses', 'outcomes'):
        fields.pop(name)
    fields['loads'] = {'e1': [3, 100, {'m1/': 3}]}
    body = zlib.compress(json.dumps(fields).encode())
    read = decode_peer_message(encode_frame(Notice('report', body)))
    assert read.period_s == 1
    assert not read.loads.totals
