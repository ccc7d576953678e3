"""How a gateway follows the store, and its report of traffic."""

import asyncio
import random

import attrs
import pytest
from expression import Error, Ok
from structlog.testing import capture_logs

from bramleybeam.catalog import TimeBounds
from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._follower import StoreFollower
from bramleybeam.gateway._follower_pace import (
    NEAR_BATCH_DELAY_S,
    PLANNER_BATCH_DELAY_S,
    WATCH_TIMEOUT_S,
    FollowerPace,
    make_pace,
)
from bramleybeam.gateway._freshness import SyncState
from bramleybeam.gateway._status import Traffic
from bramleybeam.keyvalue import Changes, Item, Listing, Unavailable
from bramleybeam.simulation import run_in_virtual_time
from bramleybeam.workspaces import KeyAge, max_key_age_s


def near_delay_s():
    return NEAR_BATCH_DELAY_S


EVENT = Item('servers/odd', b'{', 2)


@attrs.define
class ScriptedStore:
    """Answers each watch by a script of delays in seconds and replies.

    After the end of the script it never answers.
    """

    script: list
    calls: int = 0

    async def list_items(self, prefix):
        return Ok(Listing((), 1))

    async def follow(self, prefix, after, wait):
        self.calls += 1
        if not self.script:
            await asyncio.sleep(3600)
        delay_s, reply = self.script.pop(0)
        await asyncio.sleep(delay_s)
        return reply


@pytest.mark.parametrize(
    ('script', 'age_s'),
    [
        # The store has waited for a second: its state is as of that time.
        ([(1.2, Ok(Changes((), 1)))], 9.0),
        # It has answered before the end of the wait, as of an unknown time.
        ([(0.4, Ok(Changes((), 1)))], 10.0),
        # A change may have been delayed for the whole duration of the call.
        ([(0.7, Ok(Changes((EVENT,), 2)))], 10.0),
        # After a failure all keys are read again without a long delay.
        ([(5, Error(Unavailable('no answer')))], 4.887),
    ],
)
def test_age_counts_from_the_state_that_the_store_reported(script, age_s):
    async def follow():
        loop = asyncio.get_running_loop()
        directory = Directory(loop.time)
        follower = StoreFollower(
            ScriptedStore(script), directory, random.Random(1), near_delay_s
        )
        assert directory.freshness.age_s is None
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(10)
        task.cancel()
        return directory.freshness.age_s

    assert run_in_virtual_time(follow()) == pytest.approx(age_s, abs=0.01)


def test_everything_is_read_again_at_once_after_a_stall(clock):
    """Guards against decisions from before a stall until the next batch."""

    async def follow():
        directory = Directory(clock)
        directory.freshness.pace = make_pace(TimeBounds(configuration_s=2))
        store = ScriptedStore([(3600, None)])
        follower = StoreFollower(
            store, directory, random.Random(1), near_delay_s
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.2)
        clock.now += 5
        directory.freshness.note_activity()
        assert directory.freshness.sync_state == SyncState.OVERDUE
        await asyncio.sleep(0.001)
        assert directory.freshness.sync_state == SyncState.CURRENT
        assert directory.freshness.age_s == 0
        task.cancel()

    run_in_virtual_time(follow())


def test_unanswered_watch_is_repeated_if_peers_are_ahead():
    async def follow():
        loop = asyncio.get_running_loop()
        directory = Directory(loop.time)
        unanswered = (3600, None)
        store = ScriptedStore([unanswered, (0.01, Ok(Changes((EVENT,), 2)))])
        follower = StoreFollower(
            store, directory, random.Random(1), near_delay_s
        )
        task = asyncio.create_task(follower.run())
        for _ in range(4):
            await asyncio.sleep(0.5)
            directory.freshness.note_peer_revision(2)
        await asyncio.sleep(0.1)
        assert store.calls == 2
        assert directory.freshness.revision == 2
        assert not directory.is_lagging
        task.cancel()

    run_in_virtual_time(follow())


@pytest.mark.parametrize(('delay_s', 'calls'), [(0.03, 20), (0.3, 3)])
def test_changes_that_arrive_together_are_read_by_one_call(delay_s, calls):
    async def follow():
        loop = asyncio.get_running_loop()
        changes = [
            (0.01, Ok(Changes((EVENT,), number))) for number in range(50)
        ]
        store = ScriptedStore(changes)
        follower = StoreFollower(
            store, Directory(loop.time), random.Random(1), lambda: delay_s
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.8)
        task.cancel()
        return store.calls

    assert run_in_virtual_time(follow()) == calls


def test_newer_configuration_of_a_peer_is_read_without_delay():
    """The wait between two calls ends, but not for any other newer revision."""

    async def follow():
        loop = asyncio.get_running_loop()
        pace = FollowerPace(batch_delay_s=1.6)
        directory = Directory(loop.time, pace)
        store = ScriptedStore(
            [(0.01, Ok(Changes((EVENT,), number))) for number in range(2, 9)]
        )
        follower = StoreFollower(
            store, directory, random.Random(1), lambda: pace.batch_delay_s
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.2)
        calls_before = store.calls
        directory.freshness.note_peer_revision(9)
        await asyncio.sleep(0.2)
        assert store.calls == calls_before
        directory.freshness.note_peer_version(7)
        await asyncio.sleep(0.1)
        assert store.calls == calls_before + 1
        assert directory.freshness.is_outdated
        task.cancel()

    run_in_virtual_time(follow())


@pytest.mark.parametrize(
    ('drain_s', 'configuration_s'), [(2, 2), (3, 3), (4, 4), (4, 1), (0.5, 9)]
)
def test_pace_meets_the_shortest_bound_without_other_gateways(
    drain_s, configuration_s
):
    pace = make_pace(
        TimeBounds(drain_s=drain_s, configuration_s=configuration_s)
    )
    shortest_s = min(drain_s, configuration_s)
    # A second call within the bound is possible after one that was lost.
    assert pace.batch_delay_s <= max(NEAR_BATCH_DELAY_S, shortest_s / 2)
    # One call is possible with help from others.
    assert pace.relayed_delay_s <= max(NEAR_BATCH_DELAY_S, shortest_s * 3 / 4)
    assert pace.max_lag_s > pace.relayed_delay_s
    assert pace.max_fresh_age_s > pace.relayed_delay_s + WATCH_TIMEOUT_S


def test_wait_between_two_calls_ends_soon_after_the_parent_falls_silent():
    async def follow():
        loop = asyncio.get_running_loop()
        changes = [(0.01, Ok(Changes((EVENT,), number))) for number in range(9)]
        store = ScriptedStore(changes)
        silent_from = 3.0

        def delay_s():
            return 2.4 if loop.time() < silent_from else 1.6

        follower = StoreFollower(
            store, Directory(loop.time), random.Random(1), delay_s
        )
        task = asyncio.create_task(follower.run())
        calls = []
        for _ in range(8):
            await asyncio.sleep(1)
            calls.append(store.calls)
        task.cancel()
        return calls

    # Calls begin at 0, 2.4 and, after the parent fell silent, each 1.6 s.
    assert run_in_virtual_time(follow()) == [1, 1, 2, 2, 3, 4, 4, 5]


def test_traffic_counters_reset_when_taken():
    traffic = Traffic()
    traffic.note_sent('peers', 100)
    traffic.note_sent('peers', 50)
    traffic.note_store_call(0.25, (40, 900), answered=True)
    traffic.note_store_call(1.5, (40, 0), answered=False)
    assert traffic.take() == {
        'peers_out': 2,
        'peers_out_bytes': 150,
        'store_out': 2,
        'store_out_bytes': 80,
        'store_in': 1,
        'store_in_bytes': 900,
        'store_failed': 1,
        'store_slowest_s': 1.5,
    }
    assert traffic.take() == {'store_slowest_s': 0}


@attrs.define
class ThinLinkStore:
    """A store behind a slow link, unavailable until ``available_at``.

    ``versions`` versions of one long key were written in the meantime. A watch
    returns all of them, a listing only the newest. Each version takes
    ``version_s`` seconds; a call that takes longer than ``call_s`` fails.
    """

    available_at: float
    versions: int
    version_s: float = 0.2
    call_s: float = 2.5

    async def list_items(self, prefix):
        if not await self._reply_arrives(self.version_s):
            return Error(Unavailable('no answer'))
        return Ok(Listing((self._item(),), self.revision))

    async def follow(self, prefix, after, wait):
        missed = self.revision - after
        if not await self._reply_arrives(missed * self.version_s):
            return Error(Unavailable('no answer'))
        await asyncio.sleep(0 if missed else wait)
        return Ok(Changes((self._item(),) * bool(missed), self.revision))

    @property
    def revision(self):
        now = asyncio.get_running_loop().time()
        return 1 + self.versions * (now >= self.available_at - 1)

    def _item(self):
        return Item('servers/odd', b'{', self.revision)

    async def _reply_arrives(self, takes_s):
        now = asyncio.get_running_loop().time()
        if 1 < now < self.available_at:
            return False
        await asyncio.sleep(min(takes_s, self.call_s))
        return takes_s < self.call_s


def test_changes_missed_during_an_outage_are_not_requested():
    # Guards against a watch that never succeeds after an outage: 18 complete
    # configurations did not fit into the time of one call.
    async def follow():
        loop = asyncio.get_running_loop()
        directory = Directory(loop.time)
        store = ThinLinkStore(available_at=10, versions=18)
        follower = StoreFollower(
            store, directory, random.Random(1), near_delay_s
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(12)
        task.cancel()
        return directory.freshness

    freshness = run_in_virtual_time(follow())
    assert freshness.revision == 19
    assert freshness.age_s < 2


@attrs.define
class QuietStore:
    """Has no changes; each answer takes ``latency_s`` beside the wait.

    From ``silent_from`` on, in seconds of the loop's clock, one call is not
    answered for 1.5 s.
    """

    latency_s: float
    silent_from: float = 1e9
    waits: list = attrs.field(factory=list)

    async def list_items(self, prefix):
        await asyncio.sleep(self.latency_s)
        return Ok(Listing((), 1))

    async def follow(self, prefix, after, wait):
        self.waits.append(wait)
        if asyncio.get_running_loop().time() >= self.silent_from:
            self.silent_from = 1e9
            await asyncio.sleep(1.5 + wait)
            return Error(Unavailable('no answer'))
        await asyncio.sleep(wait + self.latency_s)
        return Ok(Changes((), 1))


def find_delays(bounds):
    """Return the waits between two calls of all kinds of gateway."""
    pace = make_pace(bounds)
    return (
        PLANNER_BATCH_DELAY_S,
        pace.near_delay_s,
        pace.batch_delay_s,
        pace.relayed_delay_s,
    )


async def measure_key_ages(store, bounds, delay_s):
    """Follow a store for 30 s and return the age of the keys over time."""
    loop = asyncio.get_running_loop()
    keys = KeyAge(loop.time, max_key_age_s(bounds.revocation_s))
    directory = Directory(loop.time, make_pace(bounds), keys)
    follower = StoreFollower(
        store, directory, random.Random(1), lambda: delay_s
    )
    task = asyncio.create_task(follower.run())
    await asyncio.sleep(1)
    ages_s = []
    for _ in range(600):
        await asyncio.sleep(0.05)
        ages_s.append(keys.age_s)
    task.cancel()
    return ages_s


@pytest.mark.parametrize('kind', range(4))
@pytest.mark.parametrize(
    ('revocation_s', 'bound_s'), [(5, 2), (5, 4), (3, 2), (20, 4)]
)
def test_keys_stay_below_half_of_their_limit(kind, revocation_s, bound_s):
    """Guards against keys that are refused while the store is sound."""
    bounds = TimeBounds(
        drain_s=bound_s, configuration_s=bound_s, revocation_s=revocation_s
    )
    delay_s = find_delays(bounds)[kind]
    ages_s = run_in_virtual_time(
        measure_key_ages(QuietStore(0.05), bounds, delay_s)
    )
    assert max(ages_s) < max_key_age_s(revocation_s) / 2


@pytest.mark.parametrize('kind', range(4))
def test_one_lost_call_does_not_make_keys_outdated(kind):
    bounds = TimeBounds(revocation_s=5)
    delay_s = find_delays(bounds)[kind]
    ages_s = run_in_virtual_time(
        measure_key_ages(QuietStore(0.05, 5), bounds, delay_s)
    )
    assert max(ages_s) < max_key_age_s(5)


@pytest.mark.parametrize('bound_s', [2, 4])
def test_pace_is_unchanged_without_limit_on_keys(bound_s):
    """Guards against more calls to the store in other deployments."""
    pace = make_pace(TimeBounds(drain_s=bound_s, configuration_s=bound_s))
    assert pace.batch_delay_s == pytest.approx(0.4 * bound_s)
    assert pace.relayed_delay_s == pytest.approx(0.6 * bound_s)
    assert pace.near_delay_s == NEAR_BATCH_DELAY_S
    for delay_s in (PLANNER_BATCH_DELAY_S, pace.relayed_delay_s):
        assert pace.watch_timeout_s(delay_s) == WATCH_TIMEOUT_S


@pytest.mark.parametrize('is_repeated', [False, True])
def test_age_of_keys_counts_from_the_send_of_the_first_call(is_repeated):
    """A watch that waited, or was repeated, shows no more than at its send."""

    async def follow():
        loop = asyncio.get_running_loop()
        keys = KeyAge(loop.time, max_key_age_s(5))
        directory = Directory(loop.time, keys=keys)
        first = (3600 if is_repeated else 2, Ok(Changes((), 1)))
        store = ScriptedStore([first, (0.01, Ok(Changes((EVENT,), 2)))])
        follower = StoreFollower(store, directory, random.Random(1), lambda: 60)
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(1.5)
        if is_repeated:
            directory.freshness.request_read()
        await asyncio.sleep(1.5)
        task.cancel()
        return keys.age_s

    assert run_in_virtual_time(follow()) == pytest.approx(3, abs=0.001)


def test_overdue_sync_is_logged_once(clock):
    """An old sync without a stall and without a failed call leaves a line."""
    directory = Directory(clock, make_pace(TimeBounds(configuration_s=2)))
    freshness = directory.freshness
    with capture_logs() as lines:
        freshness.note_age()
        freshness.note_sync(1, clock())
        for _ in range(40):
            freshness.note_age()
            clock.now += 0.1
        freshness.note_sync(2, clock())
        freshness.note_age()
    assert [line['event'] for line in lines] == [
        'store_sync_overdue',
        'store_sync_recent',
    ]
    assert lines[0]['store_age_s'] == pytest.approx(3)


def follow_quiet_store(request_reads):
    """Follow a store without changes; return the waits of its watches.

    ``request_reads`` is called with the freshness, and asks for reads.
    """

    async def follow():
        loop = asyncio.get_running_loop()
        directory = Directory(loop.time)
        store = QuietStore(0.01)
        follower = StoreFollower(store, directory, random.Random(1), lambda: 1)
        task = asyncio.create_task(follower.run())
        await request_reads(directory.freshness)
        task.cancel()
        return store.waits

    return run_in_virtual_time(follow())


def test_read_that_is_asked_for_does_not_wait_for_changes():
    """Guards against requests that wait for the whole time of a watch."""

    async def request_reads(freshness):
        # In the middle of a watch, and then between two watches.
        await asyncio.sleep(0.5)
        for _ in range(2):
            freshness.request_read()
            await asyncio.sleep(0.15)
            assert freshness.age_s <= 0.15

    assert follow_quiet_store(request_reads) == [WATCH_TIMEOUT_S, 0, 0]


def test_reads_that_are_asked_for_all_the_time_are_spaced():
    """Guards against a call to the store for each request."""

    async def request_reads(freshness):
        for _ in range(1000):
            freshness.request_read()
            await asyncio.sleep(0.001)

    assert len(follow_quiet_store(request_reads)) <= 12
