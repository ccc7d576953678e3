"""Tests of leases on a simulated clock, and of the HTTP client's errors."""

import itertools

import attrs
import pytest
from expression import Error, Ok

from bramleybeam.keyvalue import (
    Ambiguous,
    Conflict,
    Lease,
    LeaseHeld,
    LeaseKeeper,
    Unavailable,
)
from bramleybeam.keyvalue._lease import LEASE_TTL_S
from bramleybeam.keyvalue.http import HttpKeyValue
from bramleybeam.standins import KeyValueStandIn
from bramleybeam.web import HttpServer


@attrs.define
class FakeService:
    """Grants one lease as the service does; times are in seconds."""

    now: float = 0
    holder: str = ''
    epoch: int = 0
    expires_at: float = 0
    down: bool = False
    calls: itertools.count = attrs.field(factory=itertools.count)

    async def lease(self, name, holder, ttl):
        """Grant or renew the lease, or refuse it to another holder."""
        next(self.calls)
        if self.down:
            return Error(Unavailable('down'))
        if self.expires_at > self.now and self.holder != holder:
            return Error(LeaseHeld(self.holder, self.expires_at - self.now))
        if self.expires_at <= self.now:
            self.epoch += 1
        self.holder = holder
        self.expires_at = self.now + ttl
        return Ok(Lease(name, holder, self.epoch, self.now + ttl))

    async def release(self, name, holder):
        """Release the lease if ``holder`` has it."""
        if self.holder == holder:
            self.expires_at = 0


def make_keepers():
    """Return a service and two keepers of one lease on one clock."""
    service = FakeService()

    def clock():
        return service.now

    keepers = [
        LeaseKeeper(service, 'planner/z', name, clock) for name in ('a', 'b')
    ]
    return service, *keepers


async def test_new_holder_gets_a_higher_epoch_after_expiry():
    """One process holds the lease; after it expires, another acquires it."""
    service, first, second = make_keepers()
    await first.renew()
    await second.renew()
    assert (first.epoch, second.epoch) == (1, None)
    service.now += LEASE_TTL_S
    await second.renew()
    assert (first.epoch, second.epoch) == (None, 2)


async def test_paused_holder_detects_expiry_without_a_call():
    """After a pause, reading the epoch checks the monotonic clock."""
    service, first, second = make_keepers()
    await first.renew()
    calls = next(service.calls)
    service.now += LEASE_TTL_S
    assert first.epoch is None
    assert next(service.calls) == calls + 1
    await second.renew()
    await first.renew()
    assert first.epoch is None


@pytest.mark.parametrize('pause', [0, 1, 3, LEASE_TTL_S - 0.5, LEASE_TTL_S + 1])
async def test_never_two_holders(pause):
    """At most one keeper has an epoch at a time, however long the pause."""
    service, first, second = make_keepers()
    for _ in range(6):
        await first.renew()
        service.now += pause
        await second.renew()
        assert first.epoch is None or second.epoch is None


async def test_lease_expires_during_an_outage():
    """During an outage no process holds the lease; after it only one does."""
    service, first, second = make_keepers()
    await first.renew()
    service.down = True
    service.now += 2
    await first.renew()
    assert first.epoch == 1
    service.now += LEASE_TTL_S
    await first.renew()
    assert first.epoch is None
    service.down = False
    await second.renew()
    await first.renew()
    assert (first.epoch, second.epoch) == (None, 2)


async def test_released_lease_is_granted_immediately():
    """The next holder does not wait for the expiry."""
    _service, first, second = make_keepers()
    await first.renew()
    await first.release()
    await second.renew()
    assert (first.epoch, second.epoch) == (None, 2)


async def test_client_distinguishes_refused_and_ambiguous_writes():
    """Conflict, lost reply, outage and closed port give different errors."""
    standin = KeyValueStandIn()
    server = HttpServer(standin.make_app(), '127.0.0.1:0')
    await server.start()
    store = HttpKeyValue(server.url)
    unreachable = HttpKeyValue('http://127.0.0.1:1')
    try:
        assert (await store.swap('k', 'x', 0)).ok == 1
        assert (await store.swap('k', 'x', 0)).error == Conflict(1)
        standin.lose_replies = 1
        assert isinstance((await store.swap('k', 'y', 1)).error, Ambiguous)
        assert (await store.get('k')).ok.text == 'y'
        standin.down = True
        assert isinstance((await store.get('k')).error, Unavailable)
        assert isinstance(
            (await unreachable.swap('k', 'x', 0)).error, Unavailable
        )
    finally:
        await store.close()
        await unreachable.close()
        await server.close()
