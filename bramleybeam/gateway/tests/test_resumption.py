"""Where a stream that its caller resumes may go on."""

import asyncio
from types import SimpleNamespace

import pytest

from bramleybeam.catalog import (
    RequestKind,
    RouteTarget,
    RoutingConfiguration,
    Service,
)
from bramleybeam.gateway._change_notifier import ChangeNotifier
from bramleybeam.gateway._directory import Directory
from bramleybeam.gateway._job import RequestRefusedError
from bramleybeam.gateway._resumption import Resumption
from bramleybeam.gateway._stream_origins import StreamOrigin
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
            loop.call_later(after_s, directory.origins.note_begun, 'r1', origin)
        await asyncio.sleep(0)
        await Resumption(directory, ChangeNotifier()).find_origin(job)

    run_in_virtual_time(look_up())


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
