"""Tests of the decoding of entries in the platform's store and of reports."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleybeam.catalog import ReplicaState, RequestKind
from bramleybeam.platform import (
    decode_configuration,
    decode_holdings,
    decode_replica,
)
from tests.platform_site import make_configuration

ENTRY = (
    ('service', 'desk'),
    ('address', '10.0.0.1:80'),
    ('zone', 'a'),
    ('slots', 4),
    ('state', 'ready'),
    ('born', 17),
    ('sequence', 40),
    ('models', [{'name': 'm1', 'version': 2, 'adapters': ['a1', 'a2']}]),
    ('at-hand', {'in-memory': ['m1'], 'on-disk': ['m1', 'm2']}),
)


# Too large for a float.
HUGE = 10**400
# Deeper than the decoder's recursion limit.
NESTED_ENTRY = b'{"a":' * 100_000 + b'1' + b'}' * 100_000


def nest(depth):
    nested = []
    for _ in range(depth):
        nested = [nested]
    return nested


def encode(**changed):
    return json.dumps({**dict(ENTRY), **changed}).encode()


def test_replica_entry_is_decoded():
    replica = decode_replica('servers/i-1', encode())
    assert replica.incarnation == ('i-1', 17)
    assert replica.state == ReplicaState.READY
    assert replica.holdings.models == {'m1': {'a1', 'a2'}}
    assert replica.holdings.on_disk == {'m1', 'm2'}
    # The sequence in an entry does not count orders and is not used.
    assert replica.holdings.sequence == 0


def test_draining_replica_has_remaining_time():
    notice = {**dict(ENTRY), 'state': 'draining', 'remaining-ms': 1500}
    encoded = json.dumps(notice).encode()
    replica = decode_replica('servers/i-1', encoded)
    assert replica.state == ReplicaState.DRAINING
    assert replica.leaves_in_s == 1.5


@pytest.mark.parametrize(
    'text',
    [
        b'',
        b'\xff\xfe',
        b'[]',
        b'null',
        b'[' * 5000,
        encode(service=None),
        encode(service=''),
        encode(address='10.0.0.1'),
        encode(address=7),
        encode(slots='4'),
        encode(slots=True),
        encode(state='asleep'),
        encode(born='now'),
        encode(models=[{}]),
        encode(models=7),
        encode(models=[{'name': 7, 'version': 1, 'adapters': []}]),
        encode(models=[{'name': 'm1', 'version': 1, 'adapters': [{}]}]),
        encode(address='10.0.0.1:70000'),
        encode(address='10.0.0.1:0'),
        encode(address='10.0.0.1:-1'),
        encode(address='10.0.0.1:²'),
        encode(address='nowhere:80'),
        encode(address='10.0.0.400:80'),
        encode(slots=0),
        encode(slots=HUGE),
        encode(born=HUGE),
        encode(sequence=HUGE),
        json.dumps({**dict(ENTRY), 'remaining-ms': HUGE}).encode(),
        encode(models=nest(500)),
        NESTED_ENTRY,
        b'{"born": ' + b'9' * 5000 + b'}',
        json.dumps({'state': 'ready'}).encode(),
    ],
)
def test_malformed_entry_gives_no_replica(text):
    assert decode_replica('servers/i-1', text) is None


def test_report_has_order_sequence_and_arriving_adapters():
    report = decode_holdings(
        json.dumps(
            {
                'models': [{'name': 'm1', 'version': 1, 'adapters': []}],
                'sequence': 3,
                'busy': True,
                'coming': ['m1/a7@2'],
            }
        ).encode()
    )
    assert report.sequence == 3
    assert report.is_busy
    assert report.arriving == {('m1', 'a7')}


def test_configuration_is_decoded():
    raw = make_configuration(9)
    raw['routes'][0]['traffic-split'] = [
        {'service': 'ledger', 'weight': 90},
        {'service': 'engine', 'weight': 10},
    ]
    configuration = decode_configuration(json.dumps(raw).encode())
    assert configuration.version == 9
    post = configuration.match('desk.example', '/post/2f')
    assert post.kind == RequestKind.NON_IDEMPOTENT
    assert [target.weight for target in post.targets] == [90, 10]
    assert (post.timeout_s, post.objective_s) == (3, 0.3)
    assert configuration.services['ledger'].engine is None
    assert configuration.services['engine'].engine.models[
        'm1'
    ].adapter_names == (
        'a1',
        'a2',
    )
    assert configuration.limits.header_timeout_s == 1


@pytest.mark.parametrize(
    ('host', 'path', 'name'),
    [
        ('desk.example', '/look/x/y', 'look'),
        ('desk.example', '/look/deep/y', 'deep'),
        ('desk.example', '/look', None),
        ('desk.example', '/', None),
        ('desk.example', '', None),
        ('other.example', '/look/x', None),
    ],
)
def test_route_with_longest_prefix_of_the_host_matches(host, path, name):
    raw = make_configuration()
    raw['routes'].append(
        {**raw['routes'][1], 'name': 'deep', 'prefix': '/look/deep/'},
    )
    configuration = decode_configuration(json.dumps(raw).encode())
    route = configuration.match(host, path)
    assert getattr(route, 'name', None) == name


def test_malformed_configuration_gives_none():
    raw = make_configuration()
    raw['limits'].pop('header-bytes')
    assert decode_configuration(json.dumps(raw).encode()) is None


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([HUGE, -HUGE, 65_536, 0])
    | st.floats()
    | st.text(max_size=9),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(
            st.sampled_from(['name', 'version', 'adapters', 'on-disk']),
            children,
            max_size=3,
        )
    ),
    max_leaves=9,
)


@given(
    changed=st.dictionaries(
        st.sampled_from([*dict(ENTRY), 'busy', 'coming', 'remaining-ms']),
        JSON_VALUES,
        min_size=1,
        max_size=4,
    )
)
@settings(derandomize=True, deadline=None, max_examples=400)
def test_replica_of_any_entry_can_be_used(changed):
    """Whatever an entry holds, it is rejected or describes a usable replica."""
    replica = decode_replica('servers/i-1', encode(**changed))
    if replica is not None:
        assert 0 < replica.slots * 1.5 < 1e9
        assert 0 < int(replica.address.rpartition(':')[2]) < 65_536
        assert sorted([*replica.holdings.models, 'm0'])
        assert all(map(sorted, replica.holdings.models.values()))
        assert isinstance(replica.leaves_in_s, float | None)
