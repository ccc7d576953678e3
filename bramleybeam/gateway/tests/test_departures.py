"""Departures of replicas, from the store and from neighbours."""

import attrs
import pytest

from bramleybeam.catalog import Holdings, Replica, ReplicaState
from bramleybeam.gateway._departures import Departure, DepartureTable
from bramleybeam.gateway.tests.exchange_network import Network
from bramleybeam.simulation import run_in_virtual_time

READY = Replica(
    'e1', 'engine', '127.0.0.1:9', 'a', ReplicaState.READY, 4, 5, Holdings(0)
)
DRAINING = Departure(5)
GONE = Departure(5, is_gone=True)


@pytest.fixture
def table(clock):
    return DepartureTable(clock)


@pytest.mark.parametrize(
    ('departures', 'is_fresh', 'accepts_requests'),
    [
        ((), True, True),
        # A draining state always counts, whatever its source.
        ((DRAINING,), True, False),
        ((DRAINING,), False, False),
        # A missing entry counts only while the copy of the store is stale.
        ((GONE,), False, False),
        ((GONE,), True, True),
        ((GONE, DRAINING), True, False),
        ((DRAINING, GONE), True, False),
        # The departure is of another start of the replica.
        ((Departure(4),), False, True),
        ((Departure(6), DRAINING), False, True),
    ],
)
def test_accepts_requests(table, departures, is_fresh, accepts_requests):
    for departure in departures:
        table.learn({'e1': departure})
    assert table.accepts_requests(READY, is_fresh=is_fresh) == accepts_requests


def test_restored_entry_clears_a_missing_one_but_not_a_draining_one(table):
    table.learn({'e1': GONE})
    table.forget(READY)
    assert table.accepts_requests(READY, is_fresh=False)
    table.learn({'e1': DRAINING})
    table.forget(READY)
    assert not table.accepts_requests(READY, is_fresh=False)


def test_callback_is_called_once_for_a_departure(table):
    new_departures = []
    table.on_new.append(new_departures.append)
    for _ in range(3):
        table.learn({'e1': DRAINING})
    assert new_departures == [{'e1': DRAINING}]
    assert table.list_recent() == {'e1': DRAINING}


def test_departure_is_kept_longer_than_it_is_reported(table, clock):
    table.learn({'e1': DRAINING})
    clock.now += 10
    assert not table.list_recent()
    assert table.find(READY) == DRAINING
    clock.now += 60
    # A gateway that is cut off from the store still lists the replica.
    table.drop_expired({'e1'})
    assert not table.accepts_requests(READY, is_fresh=False)


def test_stated_departure_outlives_an_entry_that_comes_back(table, clock):
    """Guards against requests to a replica that has stated that it leaves."""
    table.learn({'e1': DRAINING, 'e2': GONE})
    clock.now += 62
    table.drop_expired(())
    table.forget(READY)
    assert not table.accepts_requests(READY, is_fresh=True)
    assert table.find(attrs.evolve(READY, name='e2')) is None


def test_stated_departures_are_limited_in_number(table, clock):
    for number in range(5000):
        table.learn({f'r{number}': DRAINING})
    clock.now += 62
    table.drop_expired({'r0'})
    kept = [
        number
        for number in range(5000)
        if table.find(attrs.evolve(READY, name=f'r{number}'))
    ]
    # Those that are still listed, and the newest of the others.
    assert kept[0] == 0
    assert kept[1:] == list(range(5000 - len(kept) + 1, 5000))
    assert len(kept) <= 4096


@pytest.mark.parametrize(('loss', 'within_s'), [(0.0, 0.1), (0.1, 3.0)])
@pytest.mark.parametrize('source', ['10.0.0.0:7', '10.0.0.13:7', '10.0.0.27:7'])
def test_departures_reach_gateways_that_are_cut_off_from_the_store(
    source, loss, within_s
):
    # Without the propagation, gateways that were cut off from the store still
    # sent requests to a replica 3 s after it had begun to drain.
    async def scenario():
        network = Network(28, loss=loss)
        await network.run(3)
        directory = network.nodes[source].cluster_state.directory
        directory.departures.learn({'e1': DRAINING})
        await network.run(within_s)
        for node in network.nodes.values():
            departures = node.cluster_state.directory.departures
            assert not departures.accepts_requests(READY, is_fresh=False)

    run_in_virtual_time(scenario())
