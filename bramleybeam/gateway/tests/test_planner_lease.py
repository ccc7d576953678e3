"""When a gateway may send orders, by the store and by other gateways."""

import asyncio
import random

import attrs
import pytest
from expression import Error, Ok

from bramleybeam.catalog import HostSettings, TimeBounds
from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._order_history import OrderHistory
from bramleybeam.gateway._planner_lease import PlannerLease
from bramleybeam.gateway._tree import ObservedPlanner
from bramleybeam.keyvalue import Lease, LeaseHeld, Listing, Unavailable
from bramleybeam.platform import boot_clock


@attrs.define
class Store:
    """Grants each lease, unless ``reply`` is an error to answer with."""

    reply: object = None
    calls: int = 0
    released: bool = False

    async def lease(self, name, holder, ttl):
        self.calls += 1
        if self.reply is not None:
            return Error(self.reply)
        return Ok(Lease(name, holder, 7, boot_clock() + ttl))

    async def release(self, name, holder):
        self.released = True

    def forget(self, name):
        """Do nothing, because nothing is cached."""


def make_lease(store, *, checks_epochs=True):
    """Return a lease with a complete order history, and its directory."""
    settings = HostSettings(
        'f1',
        'a',
        '127.0.0.1',
        '',
        '',
        0,
        '',
        TimeBounds(),
        replicas_check_epochs=checks_epochs,
    )
    directory = Directory(boot_clock)
    directory.replace(Listing((), 1))
    directory.configuration = object()
    history = OrderHistory(0, boot_clock)
    history.merge_remote({})
    lease = PlannerLease(settings, store, directory, history, random.Random(1))
    return lease, directory


async def renew(lease):
    """Renew as if the time between two renewals had passed."""
    lease._renewed_at = float('-inf')
    await lease.keep()


async def test_takes_a_free_lease():
    lease, directory = make_lease(Store())
    assert await lease.keep()
    assert lease.epoch == 7


async def test_does_not_take_a_held_lease():
    lease, directory = make_lease(Store())
    directory.note_planner(ObservedPlanner(5))
    assert not await lease.keep()
    assert lease.epoch == 0


async def test_does_not_take_a_lease_that_a_neighbour_knows_to_be_held():
    """The key is newer than what this gateway has read of the store."""
    store = Store()
    lease, directory = make_lease(store)
    directory.freshness.note_sync(4, 0)
    directory.note_peer_planner(ObservedPlanner(5))
    assert not await lease.keep()
    assert store.calls == 0
    directory.freshness.note_sync(6, 0)
    assert await lease.keep()


async def test_refused_gateway_reads_the_store_before_it_tries_again():
    """68 gateways that start at once made three attempts each."""
    store = Store(LeaseHeld('', 0))
    lease, directory = make_lease(store)
    reads = []
    directory.freshness.on_lagging.append(lambda: reads.append(1))
    directory.freshness.note_sync(4, 0)
    for _ in range(3):
        assert not await lease.keep()
    assert (store.calls, len(reads)) == (1, 1)
    store.reply = None
    directory.freshness.note_sync(5, 0)
    assert await lease.keep()


@pytest.mark.parametrize(
    ('reply', 'checks_epochs', 'epoch'),
    [
        (Unavailable('no answer'), True, 7),
        (Unavailable('no answer'), False, 0),
        (LeaseHeld('', 0), True, 0),
    ],
)
async def test_orders_continue_without_the_store_only_if_epochs_are_checked(
    reply, checks_epochs, epoch
):
    store = Store()
    lease, directory = make_lease(store, checks_epochs=checks_epochs)
    await lease.keep()
    store.reply = reply
    await renew(lease)
    lease._keeper.give_up()
    assert lease.epoch == epoch


@pytest.mark.parametrize('listed_revision', [0, 9])
async def test_stops_when_its_key_is_gone_or_replaced(listed_revision):
    store = Store()
    lease, directory = make_lease(store)
    await lease.keep()
    directory.note_planner(ObservedPlanner(7))
    await lease.keep()
    directory.note_planner(ObservedPlanner(listed_revision))
    store.reply = Unavailable('no answer')
    await lease.keep()
    assert lease.epoch == 0


async def test_stops_when_a_newer_epoch_is_received():
    lease, directory = make_lease(Store())
    await lease.keep()
    directory.placement.publish(8, {})
    await lease.keep()
    assert lease.epoch == 0


async def test_never_takes_the_lease_again_after_closing():
    store = Store()
    lease, directory = make_lease(store)
    await lease.keep()
    calls = store.calls
    await lease.close()
    await renew(lease)
    assert store.released
    assert (lease.epoch, store.calls) == (0, calls)


async def test_gateway_that_may_not_know_all_others_leaves_them_the_lease():
    """Guards against a coordinator of quotas that has to wait for seconds."""
    stores = {is_sure: Store() for is_sure in (False, True)}
    order = []

    async def keep(*, is_sure):
        lease, _directory = make_lease(stores[is_sure])
        lease.knows_gateways = lambda: is_sure
        await lease.keep()
        order.append(is_sure)

    await asyncio.gather(keep(is_sure=False), keep(is_sure=True))
    assert order == [True, False]
