"""Orders to replicas and their reports, with a faulty stand-in."""

import tracemalloc

import pytest

from bramleybeam.catalog import Holdings, Replica, ReplicaState
from bramleybeam.orders import LoadModel
from bramleybeam.platform import OrderTerms, OrderUnanswered, ReplicaOrders
from tests.platform_replica import ReplicaStandIn

MAX_GROWTH_BYTES = 4_000_000


@pytest.fixture
def orders():
    return ReplicaOrders(lambda replica: None)


# Guards against an end of the gateway by reports with endless trailers.
@pytest.mark.parametrize('kind', ['report', 'order'])
async def test_endless_reply_to_the_planner_is_not_buffered(orders, kind):
    stand_in = ReplicaStandIn('e1', 'engine', endless_reports=True)
    await stand_in.start()
    replica = Replica(
        'e1',
        'engine',
        stand_in.address,
        'zone-a',
        ReplicaState.READY,
        slots=4,
        started_ms=1,
        holdings=Holdings(0),
    )
    tracemalloc.start()
    if kind == 'report':
        assert await orders.read_holdings(replica) is None
    else:
        outcome = await orders.send(
            replica, LoadModel('e1', 'm1'), OrderTerms('front-1', 1, 0)
        )
        assert isinstance(outcome, OrderUnanswered)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak_bytes < MAX_GROWTH_BYTES
    await stand_in.close()
