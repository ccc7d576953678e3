"""Tests of the store's client with a stand-in that simulates faults."""

import asyncio

import pytest
import pytest_asyncio

from bramleybeam.keyvalue import Item, Removal
from bramleybeam.platform import PlatformStore
from tests.platform_store import StoreStandIn


@pytest_asyncio.fixture
async def stand_in():
    running = StoreStandIn()
    await running.start()
    yield running
    await running.close()


async def test_listing_reads_all_pages(stand_in):
    for number in range(8):
        stand_in.put(f'k/{number}', b'x')
    listing = (await PlatformStore(stand_in.address).list_items('k/')).ok
    assert [item.key for item in listing.items] == [
        f'k/{number}' for number in range(8)
    ]
    assert listing.revision == 8


async def test_watch_returns_writes_and_removals(stand_in):
    store = PlatformStore(stand_in.address)
    stand_in.put('k/1', b'old')
    watch = asyncio.create_task(store.follow('', 1, 5))
    await asyncio.sleep(0.05)
    stand_in.put('k/1', b'new')
    first = (await watch).ok
    assert first.events == (Item('k/1', b'new', 2),)
    stand_in.remove('k/1')
    second = (await store.follow('', first.revision, 5)).ok
    assert second.events == (Removal('k/1', 3),)
    third = (await store.follow('', second.revision, 0.05)).ok
    assert third.events == ()


async def test_lost_history_is_a_distinct_error(stand_in):
    stand_in.put('k/1', b'x')
    stand_in.put('k/2', b'x')
    stand_in.compact_history()
    reply = await PlatformStore(stand_in.address).follow('', 1, 0.1)
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
