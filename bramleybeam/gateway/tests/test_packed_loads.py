"""Packing the loads of replicas."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleybeam.gateway._packed_loads import (
    PackedLoad,
    pack_loads,
    replica_code,
    unpack_loads,
)

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
