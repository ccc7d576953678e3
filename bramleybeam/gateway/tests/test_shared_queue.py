"""Requests for several models that wait for the same replica."""

import asyncio
import random
from collections import Counter

import attrs
import pytest

from bramleybeam.catalog import Holdings, RequestKind
from bramleybeam.gateway import Chooser, RequestRefusedError
from bramleybeam.gateway._job import QueueExitReason
from bramleybeam.gateway._loads import LoadReport, RemoteLoads
from bramleybeam.gateway._packed_loads import PackedLoad, replica_code
from bramleybeam.gateway.tests.test_choose import (
    MODEL,
    ROUTE,
    SLOTS,
    make_job,
    make_state,
    report,
    run,
)

OTHER_MODEL = 'm2'
TOLERANT_ROUTE = attrs.evolve(
    ROUTE, kind=RequestKind.IDEMPOTENT, objective_s=10, timeout_s=30
)
FULL = LoadReport(40)


def make_shared_state(loop):
    """Return a state with one full replica that holds two models."""
    cluster_state = make_state(loop, 1)
    replicas = cluster_state.directory.replicas
    replicas['e0'] = attrs.evolve(
        replicas['e0'],
        holdings=Holdings(0, {MODEL: frozenset(), OTHER_MODEL: frozenset()}),
    )
    report(cluster_state, e0=FULL)
    return cluster_state


def make_tolerant_job(loop, model=OTHER_MODEL):
    job = make_job(loop)
    job.route = TOLERANT_ROUTE
    job.deadline_at = loop.time() + TOLERANT_ROUTE.timeout_s
    job.facts = attrs.evolve(job.facts, model=model)
    return job


class Requests:
    """Sends requests through one gateway and records who was served."""

    def __init__(self, loop, cluster_state, run_s=100):
        self.served = []
        self._run_s = run_s
        self._loop = loop
        self._state = cluster_state
        self.chooser = Chooser(cluster_state, 'a', random.Random(2))
        self._tasks = []

    def send(self, name, job):
        """Start a request that keeps its place for ``run_s`` seconds."""
        task = asyncio.create_task(self._run(name, job))
        self._tasks.append(task)
        return task

    async def end(self):
        """End all requests."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, name, job):
        replica, in_flight = await self.chooser.choose(job, self._loop.time())
        self.served.append(name)
        with self._state.loads.track(replica.name, in_flight):
            await asyncio.sleep(self._run_s)
        self.chooser.changed.notify()


def test_urgent_request_gets_the_place_before_tolerant_ones_of_another_model():
    """Load: one place gets free, tolerant requests wait for longer.

    Each model had a queue of its own, so that the first one to wake took it.
    """

    async def scenario(loop):
        cluster_state = make_shared_state(loop)
        requests = Requests(loop, cluster_state)
        for _ in range(5):
            requests.send('tolerant', make_tolerant_job(loop))
        await asyncio.sleep(0.1)
        requests.send('urgent', make_job(loop))
        await asyncio.sleep(0.1)
        # One place is free.
        report(cluster_state, e0=LoadReport(14))
        await asyncio.sleep(0.1)
        served = list(requests.served)
        await requests.end()
        return served

    assert run(scenario) == ['urgent']


def test_newcomer_does_not_take_the_place_of_a_waiting_request():
    """Load: a place gets free at the moment at which a request arrives."""

    async def scenario(loop):
        cluster_state = make_shared_state(loop)
        requests = Requests(loop, cluster_state)
        requests.send('urgent', make_job(loop))
        await asyncio.sleep(0.1)
        requests.send('newcomer', make_tolerant_job(loop))
        report(cluster_state, e0=LoadReport(14))
        await asyncio.sleep(0.1)
        served = list(requests.served)
        await requests.end()
        return served

    assert run(scenario) == ['urgent']


def test_place_of_a_request_whose_caller_leaves_is_assigned_again():
    """A place that was assigned, but not used, must not stay reserved."""

    async def scenario(loop):
        cluster_state = make_shared_state(loop)
        requests = Requests(loop, cluster_state)
        leaving = requests.send('leaving', make_job(loop))
        await asyncio.sleep(0.1)
        staying = requests.send('staying', make_job(loop))
        await asyncio.sleep(0.1)
        report(cluster_state, e0=LoadReport(14))
        leaving.cancel()
        await asyncio.sleep(0.1)
        assert not staying.done()
        load = cluster_state.loads.total('e0', loop.time())
        served = list(requests.served)
        await requests.end()
        return served, load.requests

    assert run(scenario) == (['staying'], 15)


def test_refused_requests_leave_the_queue():
    """A request that is refused must not be assigned a place later."""

    async def scenario(loop):
        cluster_state = make_shared_state(loop)
        requests = Requests(loop, cluster_state)
        refused = requests.send('refused', make_job(loop))
        await asyncio.sleep(3)
        with pytest.raises(RequestRefusedError):
            refused.result()
        report(cluster_state, e0=LoadReport(14))
        await asyncio.sleep(0.1)
        assert cluster_state.loads.total('e0', loop.time()).requests == 14

    run(scenario)


def test_tolerant_requests_leave_places_while_urgent_ones_come():
    """Load: more tolerant requests than places, and an urgent one at times.

    With all places taken, the urgent one would wait for one of them to end.
    """

    async def scenario(loop):
        cluster_state = make_shared_state(loop)
        report(cluster_state, e0=LoadReport(0))
        requests = Requests(loop, cluster_state)
        requests.send('urgent', make_job(loop))
        for _ in range(30):
            requests.send('tolerant', make_tolerant_job(loop))
        await asyncio.sleep(1)
        requests.send('urgent', make_job(loop))
        await asyncio.sleep(0)
        counts = Counter(requests.served)
        await requests.end()
        return counts

    assert run(scenario) == {'urgent': 2, 'tolerant': 9}


def test_tolerant_requests_use_all_places_when_no_urgent_ones_come():
    async def scenario(loop):
        cluster_state = make_shared_state(loop)
        report(cluster_state, e0=LoadReport(0))
        requests = Requests(loop, cluster_state)
        requests.send('urgent', make_job(loop))
        await asyncio.sleep(2)
        for _ in range(30):
            requests.send('tolerant', make_tolerant_job(loop))
        await asyncio.sleep(5)
        served = len(requests.served)
        await requests.end()
        return served

    assert run(scenario) == int(SLOTS * 1.25)


def test_tolerant_requests_do_not_starve_while_urgent_ones_take_all_places():
    """Load: urgent requests alone keep all places of the replica busy."""

    async def scenario(loop):
        cluster_state = make_shared_state(loop)
        report(cluster_state, e0=LoadReport(0))
        requests = Requests(loop, cluster_state, run_s=1)
        for tick in range(400):
            if tick % 20 == 0:
                requests.send('tolerant', make_tolerant_job(loop))
            requests.send('urgent', make_job(loop))
            await asyncio.sleep(0.06)
        counts = Counter(requests.served)
        await requests.end()
        return counts

    counts = run(scenario)
    assert counts['tolerant'] >= 5
    assert counts['urgent'] >= 250


def test_request_that_another_one_assigns_a_place_is_woken():
    """A waiting request gets a place when a newcomer looks for one.

    Otherwise the place is reserved, but unused, until it looks by itself.
    """

    async def scenario(loop):
        cluster_state = make_shared_state(loop)
        full = RemoteLoads({replica_code('e0'): PackedLoad(40, 0, 0)})
        cluster_state.loads.update_remote('n1', full, loop.time() + 0.1)
        requests = Requests(loop, cluster_state)
        requests.send('waiting', make_job(loop))
        # The report of other gateways expires without a notification.
        await asyncio.sleep(0.11)
        requests.send('newcomer', make_job(loop))
        await asyncio.sleep(0.01)
        served = set(requests.served)
        await requests.end()
        return served

    assert run(scenario) == {'waiting', 'newcomer'}


async def send_beyond_capacity(loop, ended_s):
    """Send 40 requests to a full replica; return their jobs after 0.1 s.

    ``ended_s`` is how long an earlier request has taken, 0 if none has ended.
    """
    cluster_state = make_shared_state(loop)
    # All requests in flight are those of this gateway.
    report(cluster_state, e0=LoadReport(0))
    requests = Requests(loop, cluster_state)
    for _ in range(int(SLOTS * 1.25)):
        requests.send('running', make_job(loop))
    await asyncio.sleep(0)
    jobs = [make_job(loop) for _ in range(40)]
    if ended_s:
        requests.chooser.note_ended(jobs[0], ended_s)
    tasks = [requests.send('waiting', job) for job in jobs]
    await asyncio.sleep(0.1)
    refusals = [
        task.exception().refusal if task.done() else None for task in tasks
    ]
    await requests.end()
    return jobs, refusals


def test_requests_that_can_not_begin_in_time_are_refused_at_once():
    """Load: 15 requests of 2 s run, 40 others wait for at most 1.5 s.

    They were held until their time limit and refused then, with a fixed
    Retry-After, after which all of them returned together.
    """

    async def scenario(loop):
        return await send_beyond_capacity(loop, ended_s=2)

    jobs, refusals = run(scenario)
    refused = [refusal for refusal in refusals if refusal is not None]
    # 7.5 requests end in a second, twice as many if all goes well.
    assert 15 <= len(refused) <= 25
    exits = {job.queue_exit for job in jobs}
    assert exits == {None, QueueExitReason.QUEUE_TOO_LONG}
    assert all(1.4 < refusal.retry_after < 6 for refusal in refused)
    assert len({refusal.retry_after for refusal in refused}) > 10
    assert 'requests ahead' in refused[0].message


def test_requests_are_not_refused_at_once_without_a_measurement():
    async def scenario(loop):
        return await send_beyond_capacity(loop, ended_s=0)

    _, refusals = run(scenario)
    assert refusals == [None] * 40


def test_request_that_is_next_is_not_refused_before_its_time_limit():
    """Load: a replica that is slower than any request may wait."""

    async def scenario(loop):
        cluster_state = make_shared_state(loop)
        requests = Requests(loop, cluster_state)
        job = make_job(loop)
        requests.send('waiting', job)
        requests.chooser.note_ended(job, 100)
        await asyncio.sleep(1)
        assert job.queue_exit is None
        await asyncio.sleep(1)
        await requests.end()
        return job.queue_exit

    assert run(scenario) == QueueExitReason.WAITED_LONG
