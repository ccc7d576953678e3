"""Where a stream that its caller resumes may go on."""

import asyncio
from types import SimpleNamespace

import pytest

from bramleybeam.catalog import (
    Holdings,
    Replica,
    ReplicaState,
    RequestKind,
    RouteTarget,
    RoutingConfiguration,
    Service,
)
from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._job import RequestRefusedError
from bramleybeam.gateway._resumption import Resumption
from bramleybeam.gateway._stream_origins import StreamOrigin
from bramleybeam.gateway._sync_waiter import SyncWaiter
from bramleybeam.simulation import run_in_virtual_time

SERVICES = {name: Service(name, '/', 9) for name in ('blue', 'green', 'red')}


def make_job(kind=RequestKind.STREAMING, last_event='3'):
    """Return a request that resumes ``r1`` on a route to two services."""
    targets = tuple(RouteTarget(name, 1) for name in ('blue', 'green'))
    return SimpleNamespace(
        route=SimpleNamespace(kind=kind, targets=targets),
        service=SERVICES['blue'],
        facts=SimpleNamespace(
            request_id='r2', resumed_id='r1', last_event=last_event
        ),
        stream_id='r1',
        origin=None,
    )


def find_origin(job, begun_at, after_s=0):
    """Look up the origin, which becomes known after some seconds."""

    async def look_up():
        loop = asyncio.get_running_loop()
        directory = Directory(loop.time)
        directory.configuration = RoutingConfiguration(1, (), SERVICES)
        if begun_at:
            origin = StreamOrigin(begun_at, '1')
            loop.call_later(after_s, learn, directory, origin)
        await asyncio.sleep(0)
        waiter = SyncWaiter(directory.freshness)
        await Resumption(directory, waiter).find_origin(job)

    run_in_virtual_time(look_up())


def learn(directory, origin):
    """Read the record of the gateway that began ``r1`` from the store."""
    directory.origins.note_begun('r1', origin)
    directory.freshness.note_sync(1, directory.freshness.now())


@pytest.mark.parametrize('service', ['blue', 'green'])
@pytest.mark.parametrize('after_s', [0, 0.8])
def test_stream_goes_on_at_the_service_that_began_it(service, after_s):
    job = make_job()
    find_origin(job, service, after_s)
    assert job.service.name == service
    assert job.origin == StreamOrigin(service, '1')


@pytest.mark.parametrize('service', ['red', ''])
def test_stream_of_no_or_another_service_is_refused(service):
    with pytest.raises(RequestRefusedError) as refused:
        find_origin(make_job(), service)
    assert refused.value.refusal.status == 503


@pytest.mark.parametrize(
    'job', [make_job(RequestKind.IDEMPOTENT), make_job(last_event='')]
)
def test_other_requests_have_no_origin_at_first(job):
    find_origin(job, 'green')
    assert job.origin is None
    assert job.service.name == 'blue'


async def resume_beside(*reads):
    """Resume a stream of unknown origin at a gateway that lists version 1.

    ``reads`` are the times of calls to the store that end 0.05 s later, and the
    versions in the answer; a call without versions fails. Returns the time until
    the origin was found.
    """
    loop = asyncio.get_running_loop()
    directory = Directory(loop.time)
    directory.configuration = RoutingConfiguration(1, (), SERVICES)
    list_versions(directory, 0, '1')
    await asyncio.sleep(1)
    for sent_at, versions in reads:
        answer = (directory, 1 + sent_at, *versions)
        loop.call_later(sent_at + 0.05, list_versions, *answer)
    job = make_job()
    waiter = SyncWaiter(directory.freshness)
    await Resumption(directory, waiter).find_origin(job)
    assert job.origin == StreamOrigin('blue', '1')
    return loop.time() - 1


def list_versions(directory, sent_at, *versions):
    """Note a call to the store, with replicas of some versions in the answer."""
    if not versions:
        directory.freshness.note_failure(sent_at)
        return
    directory.replicas = {
        f'i-{version}': Replica(
            f'i-{version}',
            'blue',
            '10.0.0.1:80',
            'a',
            ReplicaState.READY,
            4,
            5,
            Holdings(0),
            software_version=version,
        )
        for version in versions
    }
    directory.freshness.note_sync(1, sent_at)


@pytest.mark.parametrize(
    ('reads', 'waited_s'),
    [
        (((0.1, ('1',)),), 0.15),
        # An answer to a call that was sent before may lack a newer version.
        (((-0.02, ('1',)), (0.2, ('1',))), 0.25),
        (((0.1, ()), (0.3, ('1',))), 0.35),
    ],
)
def test_stream_goes_on_once_one_version_is_known_to_be_the_only_one(
    reads, waited_s
):
    found_after_s = run_in_virtual_time(resume_beside(*reads))
    assert found_after_s == pytest.approx(waited_s)


@pytest.mark.parametrize(
    'reads',
    [
        (),
        ((-0.02, ('1',)),),
        ((0.1, ('1', '2')),),
        ((0.1, ()), (0.3, ())),
    ],
)
def test_gateway_that_may_be_behind_takes_no_version_for_the_only_one(reads):
    """Guards against a stream that goes on at the version before a release."""
    with pytest.raises(RequestRefusedError) as refused:
        run_in_virtual_time(resume_beside(*reads))
    assert refused.value.refusal.status == 503
