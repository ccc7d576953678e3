"""Tests of the store's client with a stand-in that simulates faults."""

import asyncio

import pytest
import pytest_asyncio

from bramleybeam.keyvalue import Item, Removal
from bramleybeam.platform import PlatformStore
from tests.platform_port import overload_event_loop, run_in_a_thread
from tests.platform_store import StoreStandIn


@pytest_asyncio.fixture
async def stand_in():
    running = StoreStandIn()
    await running.start()
    yield running
    await running.close()


def revision_in_era(stated, era=1):
    """Return a revision of the store as its client returns it."""
    return (era << 40) + stated


async def test_listing_reads_all_pages(stand_in):
    for number in range(8):
        stand_in.put(f'k/{number}', b'x')
    listing = (await PlatformStore(stand_in.address).list_items('k/')).ok
    assert [item.key for item in listing.items] == [
        f'k/{number}' for number in range(8)
    ]
    assert listing.revision == revision_in_era(8)


async def test_watch_returns_writes_and_removals(stand_in):
    store = PlatformStore(stand_in.address)
    stand_in.put('k/1', b'old')
    listing = (await store.list_items('')).ok
    watch = asyncio.create_task(store.follow('', listing.revision, 5))
    await asyncio.sleep(0.05)
    stand_in.put('k/1', b'new')
    first = (await watch).ok
    assert first.events == (Item('k/1', b'new', revision_in_era(2)),)
    stand_in.remove('k/1')
    second = (await store.follow('', first.revision, 5)).ok
    assert second.events == (Removal('k/1', revision_in_era(3)),)
    third = (await store.follow('', second.revision, 0.05)).ok
    assert third.events == ()


async def test_lost_history_is_a_distinct_error(stand_in):
    store = PlatformStore(stand_in.address)
    stand_in.put('k/1', b'x')
    listing = (await store.list_items('')).ok
    stand_in.put('k/2', b'x')
    stand_in.compact_history()
    reply = await store.follow('', listing.revision, 0.1)
    assert 'HistoryLost' in repr(reply.error)


@pytest.mark.parametrize('mode', ['unresponsive', 'busy'])
async def test_calls_never_raise(stand_in, mode):
    stand_in.mode = mode
    store = PlatformStore(stand_in.address)
    assert (await store.list_items('')).is_error()
    assert (await store.follow('', 0, 0.1)).is_error()
    assert (await store.lease('planner', 'me', 2)).is_error()


async def test_closed_port_gives_an_error_value(stand_in):
    store = PlatformStore('127.0.0.1:1')
    assert (await store.list_items('')).is_error()


async def test_lease_has_one_holder_and_increasing_epochs(stand_in):
    mine = PlatformStore(stand_in.address)
    other = PlatformStore(stand_in.address)
    first = (await mine.lease('planner', 'me', 2)).ok
    assert (await other.lease('planner', 'other', 2)).is_error()
    assert (await mine.lease('planner', 'me', 2)).ok.epoch == first.epoch
    await mine.release('planner', 'me')
    second = (await other.lease('planner', 'other', 2)).ok
    assert second.epoch > first.epoch


async def test_renewal_of_an_ended_lease_is_refused(stand_in):
    store = PlatformStore(stand_in.address)
    await store.lease('planner', 'me', 2)
    for lease in tuple(stand_in.leases):
        stand_in.end_lease(lease)
    reply = await store.lease('planner', 'me', 2)
    assert 'LeaseHeld' in repr(reply.error)


async def test_write_without_reply_grants_no_lease(stand_in):
    store = PlatformStore(stand_in.address)
    stand_in.mode = 'lost'
    assert (await store.lease('planner', 'me', 2)).is_error()
    stand_in.mode = 'up'
    assert (await PlatformStore(stand_in.address).lease('p', 'x', 2)).is_ok()


async def test_history_is_lost_when_revisions_are_given_out_again(stand_in):
    """Guards against changes that are missed after a return from a copy."""
    store = PlatformStore(stand_in.address)
    stand_in.put('k/1', b'kept')
    copied = stand_in.copy()
    stand_in.put('k/2', b'lost')
    before = (await store.list_items('')).ok
    stand_in.restore(copied)
    stand_in.put('k/3', b'another')
    stand_in.put('k/4', b'newer')
    for _ in range(2):
        reply = await store.follow('', before.revision, 0.1)
        assert 'HistoryLost' in repr(reply.error)
    after = (await store.list_items('')).ok
    assert [item.key for item in after.items] == ['k/1', 'k/3', 'k/4']
    assert after.revision > before.revision
    assert min(item.revision for item in after.items) > before.revision


async def test_epochs_increase_when_the_store_comes_back_from_a_copy(stand_in):
    """Guards against orders that replicas refuse for their lower epoch."""
    copied = stand_in.copy()
    mine = PlatformStore(stand_in.address)
    for _ in range(4):
        stand_in.put('k/1', b'x')
    lost = (await mine.lease('planner', 'me', 2)).ok
    stand_in.restore(copied)
    other = PlatformStore(stand_in.address)
    assert (await other.lease('planner', 'other', 2)).ok.epoch > lost.epoch


async def test_lease_is_lost_when_its_id_is_given_out_again(stand_in):
    """Guards against two holders: the renewal would be that of another lease."""
    mine = PlatformStore(stand_in.address)
    copied = stand_in.copy()
    last_lease = stand_in._last_lease
    await mine.lease('planner', 'me', 2)
    stand_in.restore(copied)
    stand_in._last_lease = last_lease
    assert (
        await PlatformStore(stand_in.address).lease('x', 'other', 2)
    ).is_ok()
    reply = await mine.lease('planner', 'me', 2)
    assert 'LeaseHeld' in repr(reply.error)


# Time in seconds that each pass of an overloaded event loop takes, which is longer
# than the time-out of a connect.
SLOW_PASS_S = 0.6


async def test_late_process_does_not_take_the_store_for_away():
    """Guards against calls that time out while their answer has arrived."""
    async with run_in_a_thread(StoreStandIn()) as stand_in:
        stand_in.put('k/1', b'x')
        store = PlatformStore(stand_in.address)
        async with overload_event_loop(SLOW_PASS_S):
            listing = await store.list_items('')
            changes = await store.follow('', listing.ok.revision - 1, 0.1)
            lease = await store.lease('planner', 'me', 20)
    assert [item.key for item in listing.ok.items] == ['k/1']
    assert [event.key for event in changes.ok.events] == ['k/1']
    assert lease.is_ok()
