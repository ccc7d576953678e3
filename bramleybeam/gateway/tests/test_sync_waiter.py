"""Requests that wait for what the store holds now."""

import asyncio

import pytest

from bramleybeam.catalog import TimeBounds
from bramleybeam.gateway._follower_pace import make_pace
from bramleybeam.gateway._freshness import StoreFreshness, SyncState
from bramleybeam.gateway._sync_waiter import SyncWaiter
from bramleybeam.simulation import run_in_virtual_time


async def wait_with(age_s, *ended_calls):
    """Wait with a sync of some age; return the state, the time and the reads.

    ``ended_calls`` are times and methods of calls to the store that end then.
    """
    loop = asyncio.get_running_loop()
    pace = make_pace(TimeBounds(configuration_s=2))
    freshness = StoreFreshness(loop.time, pace)
    if age_s is not None:
        freshness.note_sync(1, -age_s)
    reads = []
    freshness.on_lagging.append(lambda: reads.append(loop.time()))
    for ended_at, note_call in ended_calls:
        loop.call_later(ended_at, note_call, freshness)
    await SyncWaiter(freshness).wait_while_overdue()
    return freshness.sync_state, loop.time(), len(reads)


def note_answer(freshness):
    freshness.note_sync(2, freshness.now() - 0.01)


def note_old_answer(freshness):
    freshness.note_sync(2, freshness.now() - 2.5)


def note_failure(freshness):
    freshness.note_failure(freshness.now() - 0.1)


@pytest.mark.parametrize(
    ('age_s', 'ended_calls', 'expected'),
    [
        (1.9, (), (SyncState.CURRENT, 0, 0)),
        # Never read: nothing is known that a wait could improve soon.
        (None, (), (SyncState.OVERDUE, 0, 0)),
        (2.1, ((0.3, note_answer),), (SyncState.CURRENT, 0.3, 1)),
        # An answer to a call that was sent too early is not enough.
        (
            3,
            ((0.2, note_old_answer), (0.5, note_answer)),
            (SyncState.CURRENT, 0.5, 2),
        ),
        # No call is answered, so that the store is away.
        (2.1, (), (SyncState.STORE_AWAY, 1, 1)),
        # It answers, but its answers are old when they are read.
        (3, ((0.9, note_old_answer),), (SyncState.OVERDUE, 1, 2)),
        # One failed call does not show that the store is away, the second does.
        (
            2.1,
            ((0.2, note_failure), (0.4, note_answer)),
            (SyncState.CURRENT, 0.4, 2),
        ),
        (
            2.1,
            ((0.2, note_failure), (0.4, note_failure)),
            (SyncState.STORE_AWAY, 0.4, 2),
        ),
    ],
)
def test_requests_wait_for_a_recent_sync(age_s, ended_calls, expected):
    state, waited_s, reads = run_in_virtual_time(wait_with(age_s, *ended_calls))
    assert (state, pytest.approx(waited_s), reads) == expected
