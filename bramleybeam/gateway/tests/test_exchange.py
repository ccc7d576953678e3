"""What gateways tell each other over the tree, in virtual time."""

import pytest

from bramleybeam.gateway.tests.exchange_network import Network
from bramleybeam.simulation import run_in_virtual_time

# What a node may spend on control, both ways together, by letter 1.
CONTROL_BYTES_PER_S = 27_000


def run(play, *args, **named):
    """Build a network and play something with it, in virtual time."""

    async def build():
        return await play(Network(*args, **named))

    return run_in_virtual_time(build())


@pytest.mark.parametrize(
    ('gateways', 'zones', 'replicas', 'models', 'seconds'),
    [
        (5, 3, 12, 34, 20),
        (28, 4, 29, 108, 20),
        # The gateways and models of letter 1, and the replicas of a zone.
        (330, 9, 280, 470, 6),
    ],
)
def test_bytes_do_not_grow_with_the_gateways(
    gateways, zones, replicas, models, seconds
):
    async def play(network):
        network.load(replicas, models, 30)
        network.place(1, replicas, models)
        await network.run(2)
        for node in network.nodes.values():
            node.sent = 0
            node.received = 0
        for second in range(seconds):
            network.place(1, replicas, models + second)
            await network.run(1)
        spent = [
            (node.sent + node.received) / seconds
            for node in network.nodes.values()
        ]
        assert max(spent) < CONTROL_BYTES_PER_S

    run(play, gateways, zones)


@pytest.mark.parametrize('loss', [0.0, 0.1])
@pytest.mark.parametrize('gateways', [2, 5, 28])
def test_every_gateway_knows_the_work_of_all(gateways, loss):
    async def play(network):
        network.load(3, 8, 10)
        await network.run(8)
        for node in network.nodes.values():
            now = node.cluster_state.directory.now()
            loads = [
                node.cluster_state.loads.total(f'replica-{number:04d}', now)
                for number in range(3)
            ]
            assert sum(load.requests for load in loads) == 10 * gateways
            unread = sum(load.prefill_tokens for load in loads)
            assert unread == 1000 * gateways

    run(play, gateways, loss=loss)


def test_work_that_has_ended_is_forgotten_everywhere():
    async def play(network):
        network.load(1, 8, 5)
        await network.run(5)
        for node in network.nodes.values():
            for work in node.works:
                work.__exit__(None, None, None)
        await network.run(8)
        for node in network.nodes.values():
            now = node.cluster_state.directory.now()
            assert not node.cluster_state.loads.total(
                'replica-0000', now
            ).requests

    run(play, 28)


@pytest.mark.parametrize('loss', [0.0, 0.1])
def test_demand_of_all_reaches_the_planner(loss):
    async def play(network):
        network.load(1, 1, 5)
        await network.run(4)
        planner = network.planner.cluster_state
        seen = planner.demand.total(planner.directory.now()).for_model(
            'model0000'
        )
        others = network.nodes['10.0.0.27:7'].cluster_state.demand
        own = others.total(planner.directory.now()).for_model('model0000')
        assert seen.rate > 0.8 * 28 * own.rate

    run(play, 28, loss=loss)


def test_wants_reach_the_planner_at_once():
    async def play(network):
        await network.run(2)
        lowest = max(network.nodes.values(), key=lambda node: node.peer.host)
        target = ('model0007', 'a1')
        lowest.cluster_state.demand.pending.begin(target, 2)
        lowest.exchange.send_pending()
        await network.run(0.1)
        planner = network.planner.cluster_state
        waiting = planner.demand.pending.total(planner.directory.now()).waiting
        assert waiting == {target: 1}
        lowest.cluster_state.demand.pending.end(target)
        await network.run(3)
        now = planner.directory.now()
        assert not planner.demand.pending.total(now).waiting

    run(play, 28)


@pytest.mark.parametrize('loss', [0.0, 0.1])
def test_rows_of_the_planner_reach_everybody(loss):
    async def play(network):
        await network.run(2)
        network.place(1, 29, 108)
        await network.run(3 if loss else 0.1)
        versions = {
            node.cluster_state.directory.placement.version
            for node in network.nodes.values()
        }
        assert versions == {
            network.planner.cluster_state.directory.placement.version
        }

    run(play, 28, loss=loss)


@pytest.mark.parametrize('loss', [0.0, 0.05])
@pytest.mark.parametrize('orders_per_s', [10, 40])
def test_busy_planner_does_not_fall_silent(orders_per_s, loss):
    # What was sent at once took all bytes, so that the regular messages ceased.
    async def play(network):
        await network.run(2)
        network.load(29, 108, 30)
        network.place(1, 29, 108)
        await network.run(3)
        working = network.work_as_planner(12, 29, 108, orders_per_s)
        oldest = []
        lags = []
        async for _ in working:
            oldest.append(network.oldest_word())
            lags.append(network.longest_lag())
        assert max(oldest)[0] < 2.5, max(oldest)
        assert max(lags) < 2.5, lags
        root = network.planner.peer.address
        heads = [
            node
            for node in network.nodes.values()
            if node.exchange.parent == root
        ]
        assert len(heads) == 6

    run(play, 28, loss=loss)


@pytest.mark.parametrize('lost', [1, 3, 6])
def test_gateways_below_a_lost_one_are_told_again(lost):
    async def play(network):
        await network.run(2)
        parents = {node.exchange.parent for node in network.nodes.values()}
        parents -= {'', network.planner.peer.address}
        for address in sorted(parents)[:lost]:
            network.nodes[address].is_down = True
        network.load(1, 8, 1)
        # A silent parent is left after a second, one after the other.
        for _ in range(1 + lost):
            await network.run(2)
            network.place(1, 29, 108)
        up = [node for node in network.nodes.values() if not node.is_down]
        for node in up:
            placement = node.cluster_state.directory.placement
            assert placement.has_live_planner
            now = node.cluster_state.directory.now()
            total = node.cluster_state.loads.total('replica-0000', now)
            assert total.requests == len(up)

    run(play, 28)


def test_planner_that_was_replaced_hears_of_the_next():
    async def play(network):
        await network.run(2)
        network.place(3, 5, 10)
        await network.run(1)
        # The old planner is cut off from the store: it believes in itself.
        network.name_planner(4, 'host-1')
        newer = network.nodes['10.0.0.1:7']
        newer.cluster_state.directory.placement.publish(4, {})
        await network.run(3)
        old = network.planner.cluster_state.directory
        assert old.newest_planner.revision == 4
        assert old.placement.version.epoch == 4

    run(play, 28)


def test_children_know_of_orders_before_they_are_given():
    async def play(network):
        await network.run(5)
        network.planner.exchange.announce_orders({'replica-0001': 0.0})
        await network.run(0.1)
        close = [
            node
            for node in network.nodes.values()
            if node.order_history.is_in_cooldown('replica-0001')
        ]
        assert 1 <= len(close) <= 6
        for node in network.nodes.values():
            assert node.order_history.is_complete == (node in close)

    run(play, 28)


def test_gateway_that_others_know_more_than_knows_that_it_is_behind():
    async def play(network):
        await network.run(2)
        for node in network.nodes.values():
            node.cluster_state.directory.freshness.note_sync(70, 0)
        late = network.nodes['10.0.0.27:7'].cluster_state.directory
        late.freshness.revision = 60
        hints = []
        late.freshness.on_lagging.append(lambda: hints.append(1))
        await network.run(0.8)
        assert not late.is_lagging
        await network.run(2.2)
        assert late.is_lagging
        assert hints
        late.freshness.note_sync(70, 5)
        assert not late.is_lagging

    run(play, 28)
