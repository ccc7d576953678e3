"""What is remembered of the software that began streams, and for how long."""

from types import SimpleNamespace

import pytest

from bramleybeam.catalog import Holdings, Replica, ReplicaState
from bramleybeam.gateway._job import Job
from bramleybeam.gateway._stream_origins import (
    RESUMABLE_S,
    VERSIONS_KEY,
    StreamOrigin,
    StreamOrigins,
    encode_record,
)
from bramleybeam.platform import RequestFacts

OLD = StreamOrigin('engines', '1')
OWN_KEY = 'bramleybeam/streams/hosts/here'
OTHER_KEY = 'bramleybeam/streams/hosts/there'


def make_replica(version):
    return Replica(
        f'i-{version}',
        'engines',
        '10.0.0.1:80',
        'a',
        ReplicaState.READY,
        4,
        5,
        Holdings(0),
        software_version=version,
    )


@pytest.fixture
def origins(clock):
    origins = StreamOrigins(clock)
    origins.own_key = OWN_KEY
    return origins


def test_record_is_read_by_other_gateways_until_it_is_removed(origins, clock):
    origins.note_begun('r1', OLD)
    other = StreamOrigins(clock)
    other.update(OTHER_KEY, origins.encode_own({'engines'}))
    assert other.find('r1') == OLD
    other.remove(OTHER_KEY)
    assert other.find('r1') is None


def test_no_record_is_made_for_services_with_one_version(origins):
    origins.note_begun('r1', OLD)
    assert origins.encode_own({'others'}) == b''


@pytest.mark.parametrize(
    ('is_whole', 'kept_s'), [(False, RESUMABLE_S), (True, 2)]
)
def test_stream_is_forgotten_when_no_caller_resumes_it(
    origins, clock, is_whole, kept_s
):
    origins.note_begun('r1', OLD)
    clock.now += 600
    origins.drop_expired()
    assert origins.find('r1') == OLD
    origins.note_ended('r1', is_whole=is_whole)
    clock.now += kept_s - 0.1
    origins.drop_expired()
    assert origins.find('r1') == OLD
    clock.now += 0.1
    origins.drop_expired()
    assert origins.find('r1') is None


def test_number_of_streams_is_bounded(origins):
    for number in range(5000):
        origins.note_begun(f'r{number}', OLD)
    assert origins.find('r0') is None
    assert origins.find('r4999') == OLD


def test_process_keeps_what_an_earlier_one_of_its_host_wrote(origins, clock):
    before = StreamOrigins(clock)
    before.note_begun('r1', OLD)
    origins.update(OWN_KEY, before.encode_own({'engines'}))
    origins.remove(OWN_KEY)
    assert origins.find('r1') == OLD
    # What this process has written itself is not read again.
    origins.encode_own({'engines'})
    before.note_begun('r2', OLD)
    origins.update(OWN_KEY, before.encode_own({'engines'}))
    clock.now += RESUMABLE_S
    origins.drop_expired()
    origins.remove(OWN_KEY)
    assert origins.find('r2') is None


def test_version_that_has_left_counts_while_streams_may_be_resumed(
    origins, clock
):
    listed = [make_replica('2')]
    assert origins.list_versions('engines', listed) == {'2'}
    origins.note_gone(make_replica('1'))
    assert origins.list_versions('engines', listed) == {'1', '2'}
    assert origins.list_versions('others', listed) == set()
    clock.now += RESUMABLE_S
    assert origins.list_versions('engines', listed) == {'2'}


def test_record_of_versions_tells_what_left_before_the_start(origins, clock):
    record = encode_record({'engines': {'1': ['engines/1']}})
    origins.update(VERSIONS_KEY, record)
    listed = [make_replica('2')]
    assert origins.list_versions('engines', listed) == {'1', '2'}
    clock.now += RESUMABLE_S
    origins.update(VERSIONS_KEY, record)
    assert origins.list_versions('engines', listed) == {'2'}


@pytest.mark.parametrize(
    'content',
    [b'', b'\xff', b'[]', b'{"s": 1}', b'{"s": {"v": 1}}', b'[' * 9**5],
)
def test_unreadable_record_names_no_stream(origins, content):
    origins.update(OTHER_KEY, content)
    assert origins.find('r1') is None


@pytest.mark.parametrize(('last_event', 'stream_id'), [('4', 'r1'), ('', 'r2')])
def test_request_without_events_begins_a_stream_of_its_own(
    last_event, stream_id
):
    """Guards against a caller that changes the origin of another's stream."""
    facts = RequestFacts('r2', 9, last_event=last_event, resumed_id='r1')
    route = SimpleNamespace(priority=1)
    job = Job(None, facts, route, None, None, 9)
    assert job.stream_id == stream_id
