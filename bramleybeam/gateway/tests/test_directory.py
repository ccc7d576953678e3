"""What a gateway believes, from what the store shows."""

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


def make_item(name='r1', revision=1, **changed):
    entry = {
        'service': 'desk',
        'address': '127.0.0.1:9',
        'zone': 'a',
        'slots': 4,
        'state': 'ready',
        'born': 5,
        **changed,
    }
    return Item(f'servers/{name}', json.dumps(entry).encode(), revision)


def names(directory):
    return [replica.name for replica in directory.replicas_of('desk')]


@pytest.mark.parametrize(
    'changed',
    [
        {'state': 'draining'},
        {'service': 'other'},
    ],
)
def test_changed_entry_counts_at_once(directory, changed):
    directory.replace(Listing((make_item(),), 1))
    assert names(directory) == ['r1']
    directory.apply(Changes((make_item(revision=2, **changed),), 2))
    assert not names(directory)


@pytest.mark.parametrize(
    'changed',
    [
        {'state': 'odd'},
        {'slots': 'many'},
        {'address': 'nowhere'},
        {'born': True},
        {'models': [{'name': 'm'}]},
    ],
)
def test_unreadable_entry_leaves_what_was_known(directory, changed):
    directory.replace(Listing((make_item(),), 1))
    directory.apply(Changes((make_item(revision=2, **changed),), 2))
    assert names(directory) == ['r1']


def test_removed_entry_is_gone_at_once(directory):
    directory.replace(Listing((make_item(),), 1))
    directory.apply(Changes((Removal('servers/r1', 2),), 2))
    assert not names(directory)


def test_entry_that_lapsed_with_the_store_is_held(directory, clock):
    directory.replace(Listing((make_item(), make_item('r2')), 1))
    directory.note_store(answers=False)
    clock.now += 5
    directory.note_store(answers=True)
    directory.replace(Listing((), 9))
    assert names(directory) == ['r1', 'r2']
    directory.apply(Changes((make_item(revision=10),), 10))
    clock.now += 2.1
    assert names(directory) == ['r1']


def test_draining_replica_is_not_held(directory, clock):
    directory.replace(Listing((make_item(state='draining'),), 1))
    directory.note_store(answers=False)
    clock.now += 5
    directory.note_store(answers=True)
    directory.replace(Listing((), 9))
    assert not directory.replicas


def test_placement_is_of_one_start_of_a_replica(directory):
    item = make_item(models=[{'name': 'm1', 'adapters': []}])
    directory.replace(Listing((item,), 1))
    (replica,) = directory.replicas_of('desk')

    def tell(epoch, model, started_ms=5):
        placed = ReplicaPlacement(
            Holdings(0, {model: frozenset()}), '', started_ms
        )
        directory.placement.publish(epoch, {'r1': placed})
        return set(directory.placement_of(replica).holdings.models)

    assert tell(7, 'm2') == {'m2'}
    assert tell(6, 'm3') == {'m2'}
    assert tell(8, 'm4', started_ms=4) == {'m1'}


def test_placement_of_a_replica_that_is_gone_is_dropped(directory):
    directory.replace(Listing((make_item(),), 1))
    placed = ReplicaPlacement(Holdings(0), incoming_model='m2', eta_s=2.0)
    directory.placement.publish(1, {'r1': placed})
    assert directory.placement.arrival_in('m2') == 2
    directory.apply(Changes((Removal('servers/r1', 2),), 2))
    assert directory.placement.arrival_in('m2') is None


def test_unreachable_replica_is_passed_over_ever_longer(directory, clock):
    periods = []
    for _ in range(6):
        directory.reachability.note_unreachable('r1')
        start = clock.now
        while directory.reachability.is_backing_off('r1'):
            clock.now += 0.25
        periods.append(clock.now - start)
    assert periods == [0.25, 0.5, 1, 2, 4, 4]
    directory.reachability.note_reachable('r1')
    directory.reachability.note_unreachable('r1')
    clock.now += 0.3
    assert not directory.reachability.is_backing_off('r1')


@pytest.mark.parametrize('revisions', [(3, 9), (9, 3)])
def test_newest_start_of_a_gateway_counts(directory, revisions):
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
