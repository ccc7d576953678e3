"""Who may give orders, as the store and other gateways show it."""

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
from bramleybeam.platform import boot_time


@attrs.define
class Store:
    """Grants leases as it is told."""

    reply: object = None
    calls: int = 0
    released: bool = False

    async def lease(self, name, holder, ttl):
        self.calls += 1
        if self.reply is not None:
            return Error(self.reply)
        return Ok(Lease(name, holder, 7, boot_time() + ttl))

    async def release(self, name, holder):
        self.released = True

    def forget(self, name):
        """Nothing is kept."""


def make_lease(store, *, checks=True):
    """Return a lease of a gateway that has listened long enough."""
    settings = HostSettings(
        'f1',
        'a',
        '127.0.0.1',
        '',
        '',
        0,
        '',
        TimeBounds(),
        replicas_check_epochs=checks,
    )
    directory = Directory(boot_time)
    directory.replace(Listing((), 1))
    directory.configuration = object()
    times = OrderHistory(0, boot_time)
    times.merge_remote({})
    lease = PlannerLease(settings, store, directory, times, random.Random(1))
    return lease, directory


async def renew(lease):
    """Renew once the pause between renewals is over."""
    lease._renewed_at = float('-inf')
    await lease.keep()


async def test_takes_a_free_lease():
    lease, directory = make_lease(Store())
    assert await lease.keep()
    assert lease.epoch == 7


async def test_leaves_a_lease_that_is_held():
    lease, directory = make_lease(Store())
    directory.note_planner(ObservedPlanner(5))
    assert not await lease.keep()
    assert lease.epoch == 0


@pytest.mark.parametrize(
    ('reply', 'checks', 'epoch'),
    [
        (Unavailable('silent'), True, 7),
        (Unavailable('silent'), False, 0),
        (LeaseHeld('', 0), True, 0),
    ],
)
async def test_goes_on_without_the_store_only_where_epochs_are_checked(
    reply, checks, epoch
):
    store = Store()
    lease, directory = make_lease(store, checks=checks)
    await lease.keep()
    store.reply = reply
    await renew(lease)
    lease._keeper.give_up()
    assert lease.epoch == epoch


@pytest.mark.parametrize('shown', [0, 9])
async def test_stops_when_its_key_is_no_longer_there(shown):
    store = Store()
    lease, directory = make_lease(store)
    await lease.keep()
    directory.note_planner(ObservedPlanner(7))
    await lease.keep()
    directory.note_planner(ObservedPlanner(shown))
    store.reply = Unavailable('silent')
    await lease.keep()
    assert lease.epoch == 0


async def test_stops_when_a_newer_planner_is_heard():
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
