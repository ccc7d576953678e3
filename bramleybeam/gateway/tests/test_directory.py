"""A gateway's view of the store, the planner and other gateways."""

import json

import pytest

from bramleybeam.catalog import Holdings
from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._placement import ReplicaPlacement
from bramleybeam.gateway._tree import Peer, encode_peer
from bramleybeam.keyvalue import Changes, Item, Listing, Removal


@pytest.fixture
def directory(clock):
    return Directory(clock)


def make_item(name='r1', revision=1, **fields):
    entry = {
        'service': 'desk',
        'address': '127.0.0.1:9',
        'zone': 'a',
        'slots': 4,
        'state': 'ready',
        'born': 5,
        **fields,
    }
    return Item(f'servers/{name}', json.dumps(entry).encode(), revision)


def list_names(directory):
    return [replica.name for replica in directory.replicas_of('desk')]


@pytest.mark.parametrize(
    'fields',
    [
        {'state': 'draining'},
        {'service': 'other'},
    ],
)
def test_changed_entry_is_applied_immediately(directory, fields):
    directory.replace(Listing((make_item(),), 1))
    assert list_names(directory) == ['r1']
    directory.apply(Changes((make_item(revision=2, **fields),), 2))
    assert not list_names(directory)


@pytest.mark.parametrize(
    'fields',
    [
        {'state': 'odd'},
        {'slots': 'many'},
        {'address': 'nowhere'},
        {'born': True},
        {'models': [{'name': 'm'}]},
    ],
)
def test_unreadable_entry_keeps_the_previous_one(directory, fields):
    directory.replace(Listing((make_item(),), 1))
    directory.apply(Changes((make_item(revision=2, **fields),), 2))
    assert list_names(directory) == ['r1']


def test_removed_entry_is_dropped_immediately(directory):
    directory.replace(Listing((make_item(),), 1))
    directory.apply(Changes((Removal('servers/r1', 2),), 2))
    assert not list_names(directory)


def test_entry_that_lapsed_in_a_store_outage_is_kept(directory, clock):
    directory.replace(Listing((make_item(), make_item('r2')), 1))
    directory.note_store(answers=False)
    clock.now += 5
    directory.note_store(answers=True)
    directory.replace(Listing((), 9))
    assert list_names(directory) == ['r1', 'r2']
    directory.apply(Changes((make_item(revision=10),), 10))
    clock.now += 2.1
    assert list_names(directory) == ['r1']


def test_draining_replica_is_not_kept(directory, clock):
    directory.replace(Listing((make_item(state='draining'),), 1))
    directory.note_store(answers=False)
    clock.now += 5
    directory.note_store(answers=True)
    directory.replace(Listing((), 9))
    assert not directory.replicas


def test_placement_applies_to_one_start_of_a_replica(directory):
    item = make_item(models=[{'name': 'm1', 'adapters': []}])
    directory.replace(Listing((item,), 1))
    (replica,) = directory.replicas_of('desk')

    def publish_row(epoch, model, started_ms=5):
        row = ReplicaPlacement(
            Holdings(0, {model: frozenset()}), '', started_ms
        )
        directory.placement.publish(epoch, {'r1': row})
        return set(directory.placement_of(replica).holdings.models)

    assert publish_row(7, 'm2') == {'m2'}
    assert publish_row(6, 'm3') == {'m2'}
    assert publish_row(8, 'm4', started_ms=4) == {'m1'}


def test_placement_of_a_removed_replica_is_dropped(directory):
    directory.replace(Listing((make_item(),), 1))
    row = ReplicaPlacement(Holdings(0), incoming_model='m2', eta_s=2.0)
    directory.placement.publish(1, {'r1': row})
    assert directory.placement.arrival_eta_s('m2') == 2
    directory.apply(Changes((Removal('servers/r1', 2),), 2))
    assert directory.placement.arrival_eta_s('m2') is None


def test_backoff_from_an_unreachable_replica_doubles(directory, clock):
    backoffs = []
    for _ in range(6):
        directory.reachability.note_unreachable('r1')
        began_at = clock.now
        while directory.reachability.is_backing_off('r1'):
            clock.now += 0.25
        backoffs.append(clock.now - began_at)
    assert backoffs == [0.25, 0.5, 1, 2, 4, 4]
    directory.reachability.note_reachable('r1')
    directory.reachability.note_unreachable('r1')
    clock.now += 0.3
    assert not directory.reachability.is_backing_off('r1')


@pytest.mark.parametrize('revisions', [(3, 9), (9, 3)])
def test_only_newest_entry_of_a_host_is_kept(directory, revisions):
    items = [
        Item(
            f'bramleybeam/peers/10.0.0.1:{revision}',
            encode_peer(Peer(f'10.0.0.1:{revision}', 'host-1')).encode(),
            revision,
        )
        for revision in revisions
    ]
    directory.replace(Listing(tuple(items), 9))
    assert [peer.address for peer in directory.peers.values()] == ['10.0.0.1:9']
