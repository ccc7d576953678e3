"""The exchange of state between gateways over the tree, in virtual time."""

import statistics
from collections import Counter
from functools import partial

import pytest

from bramleybeam.catalog import Holdings, Replica, ReplicaState
from bramleybeam.gateway._departures import Departure
from bramleybeam.gateway._tree import FANOUT, HEAD_FANOUT
from bramleybeam.gateway.tests.exchange_network import (
    Network,
    name_model,
    name_replica,
)
from bramleybeam.simulation import run_in_virtual_time

# Requirement: control traffic of a host in bytes a second, sent and received
# together.
CONTROL_BYTES_PER_S = 27_000


def run(scenario, *args, **kwargs):
    """Build a network and run a scenario with it, in virtual time."""

    async def build():
        return await scenario(Network(*args, **kwargs))

    return run_in_virtual_time(build())


@pytest.mark.parametrize(
    ('gateways', 'zones', 'replicas', 'models', 'seconds'),
    [
        (5, 3, 12, 34, 20),
        (28, 4, 29, 108, 20),
        # The required numbers of gateways and models, and the replicas of one
        # zone.
        (330, 9, 280, 470, 6),
    ],
)
def test_control_traffic_is_bounded_for_any_number_of_gateways(
    gateways, zones, replicas, models, seconds
):
    async def scenario(network):
        network.load(replicas, models, 30)
        network.set_placement(1, replicas, models)
        await network.run(2)
        for node in network.nodes.values():
            node.sent = 0
            node.received = 0
        for second in range(seconds):
            network.set_placement(1, replicas, models + second)
            await network.run(1)
        spent = [
            (node.sent + node.received) / seconds
            for node in network.nodes.values()
        ]
        assert max(spent) < CONTROL_BYTES_PER_S, sorted(spent)[-5:]

    run(scenario, gateways, zones)


@pytest.mark.parametrize('loss', [0.0, 0.1])
@pytest.mark.parametrize('gateways', [2, 5, 28])
def test_every_gateway_receives_the_loads_of_all(gateways, loss):
    async def scenario(network):
        network.load(3, 8, 10)
        await network.run(8)
        for node in network.nodes.values():
            now = node.cluster_state.directory.now()
            loads = [
                node.cluster_state.loads.total(name_replica(number), now)
                for number in range(3)
            ]
            assert sum(load.requests for load in loads) == 10 * gateways
            unread = sum(load.prefill_tokens for load in loads)
            assert unread == 1000 * gateways

    run(scenario, gateways, loss=loss)


def test_ended_requests_are_removed_everywhere():
    async def scenario(network):
        network.load(1, 8, 5)
        await network.run(5)
        for node in network.nodes.values():
            for request in node.tracked_requests:
                request.__exit__(None, None, None)
        await network.run(8)
        for node in network.nodes.values():
            now = node.cluster_state.directory.now()
            assert not node.cluster_state.loads.total(
                name_replica(0), now
            ).requests

    run(scenario, 28)


@pytest.mark.parametrize('loss', [0.0, 0.1])
def test_total_demand_reaches_the_planner(loss):
    async def scenario(network):
        network.load(1, 1, 5)
        await network.run(4)
        planner = network.planner.cluster_state
        planner_demand = planner.demand.total(
            planner.directory.now()
        ).for_model(name_model(0))
        leaf_table = network.nodes['10.0.0.27:7'].cluster_state.demand
        leaf_demand = leaf_table.total(planner.directory.now()).for_model(
            name_model(0)
        )
        assert planner_demand.rate > 0.8 * 28 * leaf_demand.rate

    run(scenario, 28, loss=loss)


def test_pending_demand_reaches_the_planner_immediately():
    async def scenario(network):
        await network.run(2)
        leaf = max(network.nodes.values(), key=lambda node: node.peer.host)
        target = (name_model(7), 'a1')
        leaf.cluster_state.demand.pending.begin(target, 2)
        leaf.exchange.send_pending()
        await network.run(0.1)
        planner = network.planner.cluster_state
        waiting = planner.demand.pending.total(planner.directory.now()).waiting
        assert waiting == {target: 1}
        leaf.cluster_state.demand.pending.end(target)
        await network.run(3)
        now = planner.directory.now()
        assert not planner.demand.pending.total(now).waiting

    run(scenario, 28)


@pytest.mark.parametrize('loss', [0.0, 0.1])
def test_placement_reaches_every_gateway(loss):
    async def scenario(network):
        await network.run(2)
        network.set_placement(1, 29, 108)
        await network.run(3 if loss else 0.1)
        versions = {
            node.cluster_state.directory.placement.version
            for node in network.nodes.values()
        }
        assert versions == {
            network.planner.cluster_state.directory.placement.version
        }

    run(scenario, 28, loss=loss)


def test_loaded_models_are_known_everywhere_within_an_objective():
    """The orders of a large fleet after a shift of demand, 25 a second.

    Requests whose gateway does not know that their model has arrived wait or are
    sent to a replica that has given it up. The shortest objective is 0.5 s.
    """

    async def scenario(network):
        await network.run(2)
        network.load(66, 222, 8)
        network.set_placement(1, 66, 222)
        await network.run(3)
        order_ticks = network.send_orders(8, 66, 222, 25)
        lags = [network.longest_lag() async for _ in order_ticks]
        assert statistics.median(lags) < 0.5, sorted(lags)[-5:]

    run(scenario, 68, 6)


@pytest.mark.parametrize('loss', [0.0, 0.05])
@pytest.mark.parametrize('orders_per_s', [10, 40])
def test_frequent_orders_do_not_stop_placement_updates(orders_per_s, loss):
    # Guards against messages that are sent immediately using up the byte
    # budget, so that the periodic messages stop.
    async def scenario(network):
        await network.run(2)
        network.load(29, 108, 30)
        network.set_placement(1, 29, 108)
        await network.run(3)
        order_ticks = network.send_orders(12, 29, 108, orders_per_s)
        placement_ages = []
        lags = []
        async for _ in order_ticks:
            placement_ages.append(network.oldest_placement_age())
            lags.append(network.longest_lag())
        assert max(placement_ages)[0] < 2.5, max(placement_ages)
        assert max(lags) < 2.5, lags
        root = network.planner.peer.address
        heads = [
            node
            for node in network.nodes.values()
            if node.exchange.parent == root
        ]
        assert len(heads) == FANOUT + HEAD_FANOUT

    run(scenario, 28, loss=loss)


@pytest.mark.parametrize('failed', [1, 3, 6])
def test_gateways_below_a_failed_one_get_updates_again(failed):
    async def scenario(network):
        await network.run(2)
        parents = {node.exchange.parent for node in network.nodes.values()}
        parents -= {'', network.planner.peer.address}
        for address in sorted(parents)[:failed]:
            network.nodes[address].is_down = True
        network.load(1, 8, 1)
        # An unresponsive parent is left after about a second, one at a time.
        for _ in range(1 + failed):
            await network.run(2)
            network.set_placement(1, 29, 108)
        running = [node for node in network.nodes.values() if not node.is_down]
        for node in running:
            placement = node.cluster_state.directory.placement
            assert placement.has_live_planner
            now = node.cluster_state.directory.now()
            total = node.cluster_state.loads.total(name_replica(0), now)
            assert total.requests == len(running)

    run(scenario, 28)


def test_replaced_planner_learns_of_its_successor():
    async def scenario(network):
        await network.run(2)
        network.set_placement(3, 5, 10)
        await network.run(1)
        # The old planner can't reach the store, so it still assumes that it is
        # the planner.
        network.set_planner_key(4, 'host-1')
        new_planner = network.nodes['10.0.0.1:7']
        new_planner.cluster_state.directory.placement.publish(4, {})
        await network.run(3)
        old_directory = network.planner.cluster_state.directory
        assert old_directory.newest_planner.revision == 4
        assert old_directory.placement.version.epoch == 4

    run(scenario, 28)


def test_orders_are_announced_to_children_before_they_are_sent():
    async def scenario(network):
        await network.run(5)
        network.planner.exchange.announce_orders({'replica-0001': 0.0})
        await network.run(0.1)
        informed = [
            node
            for node in network.nodes.values()
            if node.order_history.is_in_cooldown('replica-0001')
        ]
        assert 1 <= len(informed) <= 6
        for node in network.nodes.values():
            assert node.order_history.is_complete == (node in informed)

    run(scenario, 28)


def test_gateway_with_a_stale_revision_detects_its_lag():
    async def scenario(network):
        await network.run(2)
        for node in network.nodes.values():
            node.cluster_state.directory.freshness.note_sync(70, 0)
        lagging = network.nodes['10.0.0.27:7'].cluster_state.directory
        lagging.freshness.revision = 60
        notifications = []
        lagging.freshness.on_lagging.append(lambda: notifications.append(1))
        await network.run(0.8)
        assert not lagging.is_lagging
        await network.run(2.2)
        assert lagging.is_lagging
        assert notifications
        lagging.freshness.note_sync(70, 5)
        assert not lagging.is_lagging

    run(scenario, 28)


@pytest.mark.parametrize(
    ('gateways', 'zones', 'loss', 'within_s'),
    [(28, 4, 0.0, 1.2), (68, 6, 0.1, 2.0), (330, 9, 0.1, 4.0)],
)
def test_newer_configuration_is_requested_everywhere_in_time(
    gateways, zones, loss, within_s
):
    """The planner reads it; all others learn that it exists, and read it."""

    async def scenario(network):
        await network.run(3)
        reads = set()
        for address, node in network.nodes.items():
            freshness = node.cluster_state.directory.freshness
            freshness.on_lagging.append(partial(reads.add, address))
        network.planner.cluster_state.directory.freshness.note_version(7)
        await network.run(within_s)
        assert len(reads) == gateways - 1

    run(scenario, gateways, zones, loss=loss)


def test_two_deputies_besides_the_planner_follow_the_store_closely():
    """They are in other zones, so that the loss of one zone leaves a deputy."""

    async def scenario(network):
        await network.run(3)
        deputies = [
            node
            for node in network.nodes.values()
            if node.exchange.is_deputy and node is not network.planner
        ]
        assert len(deputies) == 2
        assert len({node.peer.zone for node in deputies}) == 2
        assert network.planner.exchange.is_deputy
        for node in network.nodes.values():
            has_parent = node.exchange.has_responding_parent
            assert has_parent == (node is not network.planner)

    run(scenario, 68, 6)


def test_replica_that_a_neighbour_misses_makes_gateways_read_the_store_once():
    async def scenario(network):
        await network.run(3)
        reads = Counter()
        for address, node in network.nodes.items():
            directory = node.cluster_state.directory
            directory.replicas['r1'] = Replica(
                'r1',
                'engine',
                'address',
                '',
                ReplicaState.READY,
                4,
                7,
                Holdings(0),
            )
            count_read = partial(reads.update, [address])
            directory.freshness.on_lagging.append(count_read)
        departures = network.planner.cluster_state.directory.departures
        departures.learn({'r1': Departure(7, is_gone=True)})
        await network.run(5)
        assert len(reads) == 27
        assert set(reads.values()) == {1}

    run(scenario, 28, 4)


def test_row_of_an_unlisted_replica_makes_gateways_read_the_store():
    async def scenario(network):
        await network.run(3)
        reads = Counter()
        for address, node in network.nodes.items():
            freshness = node.cluster_state.directory.freshness
            freshness.on_lagging.append(partial(reads.update, {address: 1}))
        network.set_placement(1, replicas=2, models=4)
        await network.run(2)
        assert len(reads) == len(network.nodes) - 1

    run(scenario, 28)


def test_pause_that_a_replica_asks_for_reaches_all_gateways():
    async def scenario(network):
        await network.run(3)
        replica = ('e1', 5)
        source = network.nodes['10.0.0.27:7'].cluster_state
        source.pauses.note_refusal(replica, 8, source.directory.now())
        await network.run(3)
        for node in network.nodes.values():
            now = node.cluster_state.directory.now()
            assert node.cluster_state.pauses.is_overloaded(replica, now)
        await network.run(9)
        for node in network.nodes.values():
            now = node.cluster_state.directory.now()
            assert not node.cluster_state.pauses.is_overloaded(replica, now)

    run(scenario, 28)


def test_demand_that_moves_is_known_to_the_planner_within_seconds():
    """Load: a model without requests so far becomes the busiest one."""

    async def scenario(network):
        network.load(60, 222, 12)
        await network.run(20)
        leaf = network.nodes['10.0.0.67:7'].cluster_state
        for _ in range(60):
            leaf.demand.note_request(
                (name_model(9999), ''),
                1400,
                leaf.directory.now(),
                is_latency_tolerant=False,
            )
        await network.run(4)
        planner = network.planner.cluster_state
        now = planner.directory.now()
        assert planner.demand.total(now).for_model(name_model(9999)).rate > 1

    run(scenario, 68, 6)
