"""Observations of replicas whose connections ended."""

import asyncio

import attrs
import pytest
import pytest_asyncio

from bramleybeam.catalog import Holdings, Replica, ReplicaState
from bramleybeam.gateway._replica_liveness import ReplicaLiveness
from bramleybeam.relay import Liveness, Observation


@attrs.define
class Port:
    """A listening port that counts its connections."""

    server: asyncio.Server | None = None
    connections: int = 0

    async def open(self):
        self.server = await asyncio.start_server(self._accept, '127.0.0.1', 0)

    async def _accept(self, reader, writer):
        self.connections += 1
        await reader.read()
        writer.close()

    def make_replica(self):
        number = self.server.sockets[0].getsockname()[1]
        return Replica(
            'i-1',
            's',
            f'127.0.0.1:{number}',
            'a',
            ReplicaState.READY,
            slots=4,
            started_ms=5,
            holdings=Holdings(0),
        )


@pytest_asyncio.fixture
async def port():
    port = Port()
    await port.open()
    yield port
    port.server.close()


@attrs.define
class StubDirectory:
    """Lists replicas and ignores which of them are unreachable."""

    replicas: dict = attrs.field(factory=dict)

    @property
    def reachability(self):
        return self

    def note_unreachable(self, name):
        """Do nothing."""


@pytest.fixture
def directory():
    return StubDirectory()


@pytest.fixture
def liveness(directory):
    return ReplicaLiveness(directory)


async def test_connections_that_end_together_are_checked_by_few_more(
    port, liveness
):
    replica = port.make_replica()
    outcomes = await asyncio.gather(
        *(liveness.check(replica) for _ in range(50))
    )
    assert set(outcomes) == {Liveness.ALIVE}
    await asyncio.sleep(0.05)
    assert port.connections <= 2


async def test_observation_before_the_end_of_a_connection_is_not_used(
    port, liveness
):
    """Guards against a cut answer that counts as complete."""
    replica = port.make_replica()
    assert await liveness.check(replica) == Liveness.ALIVE
    early = asyncio.create_task(liveness.check(replica))
    while not port.connections:
        await asyncio.sleep(0)
    port.server.close()
    assert await liveness.check(replica) == Liveness.GONE
    await early


async def test_new_start_at_the_address_is_another_replica(
    port, liveness, directory
):
    replica = port.make_replica()
    directory.replicas = {'i-1': attrs.evolve(replica, started_ms=6)}
    assert await liveness.check(replica) == Liveness.GONE


async def test_replica_that_neither_accepts_nor_refuses_is_unclear(
    port, liveness, monkeypatch
):
    """Guards against a part of an answer that looks like all of it."""

    async def observe(address):
        return Observation(Liveness.UNCLEAR, 0, 'timeout')

    monkeypatch.setattr(
        'bramleybeam.gateway._replica_liveness.observe_peer', observe
    )
    assert await liveness.check(port.make_replica()) == Liveness.UNCLEAR
