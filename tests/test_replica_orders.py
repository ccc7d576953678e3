"""Orders to replicas and their reports, with a faulty stand-in."""

import tracemalloc

import pytest

from bramleybeam.catalog import Holdings, Replica, ReplicaState
from bramleybeam.orders import LoadModel
from bramleybeam.platform import (
    OrderAccepted,
    OrderTerms,
    OrderUnanswered,
    ReplicaOrders,
)
from tests.platform_port import overload_event_loop, run_in_a_thread
from tests.platform_replica import ReplicaStandIn

MAX_GROWTH_BYTES = 4_000_000
# Time in seconds that each pass of an overloaded event loop takes, which is
# longer than the time-out of a reply.
SLOW_PASS_S = 1.2


@pytest.fixture
def orders():
    return ReplicaOrders(lambda replica: None)


def describe_replica(stand_in):
    return Replica(
        'e1',
        'engine',
        stand_in.address,
        'zone-a',
        ReplicaState.READY,
        slots=4,
        started_ms=1,
        holdings=Holdings(0),
    )


# Guards against an end of the gateway by reports with endless trailers.
@pytest.mark.parametrize('kind', ['report', 'order'])
async def test_endless_reply_to_the_planner_is_not_buffered(orders, kind):
    stand_in = ReplicaStandIn('e1', 'engine', endless_reports=True)
    await stand_in.start()
    replica = describe_replica(stand_in)
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


async def test_order_of_a_late_planner_is_answered(orders):
    """Guards against an answer that has arrived and counts as missing."""
    stand_in = ReplicaStandIn('e1', 'engine')
    async with run_in_a_thread(stand_in):
        replica = describe_replica(stand_in)
        async with overload_event_loop(SLOW_PASS_S):
            outcome = await orders.send(
                replica, LoadModel('e1', 'm1'), OrderTerms('front-1', 1, 0)
            )
    assert isinstance(outcome, OrderAccepted)
