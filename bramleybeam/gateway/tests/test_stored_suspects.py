"""Quarantined suspects in the store."""

from types import SimpleNamespace

import pytest

from bramleybeam.gateway._cluster_state import make_cluster_state
from bramleybeam.gateway._suspect_keeper import SuspectKeeper
from bramleybeam.gateway._suspects import LostRequest
from bramleybeam.gateway.tests.test_suspects import make_job
from bramleybeam.keyvalue import Item, Listing


class Store:
    """Keeps what is written; the gateways read it on demand."""

    def __init__(self):
        self.items = {}
        self.calls = 0

    async def write(self, writes, deletes):
        self.calls += 1
        self.items.update(writes)
        for key in deletes:
            self.items.pop(key)
        return True

    def read_into(self, gateway):
        items = tuple(Item(key, text, 1) for key, text in self.items.items())
        gateway.directory.replace(Listing(items, 1))


def make_gateway(clock, *, is_planner):
    gateway = make_cluster_state(lambda: clock.now)
    gateway.suspects.may_try = lambda: is_planner
    return gateway


def crash(gateway, clock, count, keys):
    """Let replicas crash one after the other."""
    for number in range(count):
        sent_at = clock.now
        clock.now += 1
        lost = [LostRequest('r', keys, sent_at, clock.now)]
        gateway.suspects.note_crash(f'c{number}', lost)


@pytest.mark.parametrize(('crashes', 'is_refused'), [(2, False), (3, True)])
async def test_gateway_that_starts_reads_quarantines(crashes, is_refused):
    clock = SimpleNamespace(now=100.0)
    store = Store()
    planner = make_gateway(clock, is_planner=True)
    store.read_into(planner)
    job = make_job()
    crash(planner, clock, crashes, job.suspect_keys)
    keeper = SuspectKeeper(planner, store)
    await keeper.keep()
    await keeper.keep()
    assert store.calls == int(is_refused)
    clock.now += 1000
    started = make_gateway(clock, is_planner=False)
    store.read_into(started)
    assert (started.suspects.find_refusal(job) is not None) == is_refused


async def test_cleared_suspect_is_removed_from_the_store_and_elsewhere():
    clock = SimpleNamespace(now=100.0)
    store = Store()
    planner = make_gateway(clock, is_planner=True)
    other = make_gateway(clock, is_planner=False)
    store.read_into(planner)
    job = make_job()
    crash(planner, clock, 3, job.suspect_keys)
    keeper = SuspectKeeper(planner, store)
    await keeper.keep()
    for gateway in (planner, other):
        store.read_into(gateway)
    assert other.suspects.find_refusal(job)
    planner.suspects.note_sound(job)
    await keeper.keep()
    assert not store.items
    store.read_into(other)
    assert other.suspects.find_refusal(job) is None


@pytest.mark.parametrize(
    'content',
    [b'', b'[]', b'{"a": 1}', b'{"a": [[["c", "x", 1]], []]}', b'[' * 100_000],
)
def test_unreadable_entry_is_ignored(content):
    clock = SimpleNamespace(now=100.0)
    store = Store()
    store.items['bramleybeam/suspects/a'] = content
    gateway = make_gateway(clock, is_planner=False)
    store.read_into(gateway)
    assert not gateway.suspects.count_quarantined()
