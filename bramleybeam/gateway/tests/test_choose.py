"""The choice of a replica by load, pauses, cache and connections."""

import asyncio
import random
from collections import Counter

import attrs
import pytest

from bramleybeam.catalog import (
    EngineSpec,
    Holdings,
    Replica,
    ReplicaState,
    RequestKind,
    Route,
    RouteTarget,
    Service,
)
from bramleybeam.gateway import Chooser, Job, make_cluster_state
from bramleybeam.gateway._job import QueueExitReason, RequestRefusedError
from bramleybeam.gateway._loads import LoadReport, RemoteLoads
from bramleybeam.gateway._packed_loads import PackedLoad, replica_code
from bramleybeam.gateway._tree import Peer
from bramleybeam.platform import RequestFacts
from bramleybeam.relay import InboundRequest
from bramleybeam.simulation import run_in_virtual_time

SLOTS = 12
MODEL = 'm1'
ENGINE = EngineSpec(
    slots=SLOTS,
    cache_tokens=45_000,
    memory_mb=200,
    adapter_places=2,
    loads_per_s=2,
    models={},
)
ROUTE = Route(
    'ask',
    'desk',
    '/ask/',
    RequestKind.STREAMING,
    (RouteTarget('engines', 1),),
    timeout_s=15,
    objective_s=0.5,
)
# Expiry of reports in the tests, later than any time in them.
NEVER = 1e9


def make_replica(name):
    return Replica(
        name,
        'engines',
        '10.0.0.1:80',
        'a',
        ReplicaState.READY,
        SLOTS,
        5,
        Holdings(0, {MODEL: frozenset()}),
    )


def make_state(loop, replicas=4, gateways=1):
    cluster_state = make_cluster_state(loop.time, random.Random(1))
    directory = cluster_state.directory
    for number in range(replicas):
        name = f'e{number}'
        directory.replicas[name] = make_replica(name)
    for number in range(gateways):
        address = f'10.0.1.{number}:7'
        directory.peers[address] = Peer(address, f'host-{number}')
    return cluster_state


def make_job(loop, prompt_tokens=1000, output_tokens=100):
    request = InboundRequest(b'POST', b'/ask/x', (), b'', loop.time())
    facts = RequestFacts(
        'r1',
        15,
        MODEL,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
    )
    service = Service('engines', '/', 100, ENGINE)
    return Job(request, facts, ROUTE, service, None, loop.time() + 15)


def report(cluster_state, **loads):
    totals = {
        replica_code(name): PackedLoad(
            load.requests, load.prefill_tokens, load.memory_tokens
        )
        for name, load in loads.items()
    }
    cluster_state.loads.update_remote('n1', RemoteLoads(totals), NEVER)


def run(scenario):
    async def start():
        return await scenario(asyncio.get_running_loop())

    return run_in_virtual_time(start())


async def choose(loop, cluster_state, job=None, **options):
    chooser = Chooser(cluster_state, 'a', random.Random(2), **options)
    replica, _ = await chooser.choose(job or make_job(loop), loop.time())
    return replica.name


@pytest.mark.parametrize(('gateways', 'largest_share'), [(1, 1.0), (68, 0.6)])
def test_many_gateways_with_the_same_old_loads_choose_different_replicas(
    gateways, largest_share
):
    """Load: 68 gateways that all know the same least loaded replica."""

    async def scenario(loop):
        counts = Counter()
        for seed in range(200):
            cluster_state = make_state(loop, 8, gateways)
            report(
                cluster_state,
                **{f'e{number}': LoadReport(number) for number in range(8)},
            )
            chooser = Chooser(cluster_state, 'a', random.Random(seed))
            replica, _ = await chooser.choose(make_job(loop), loop.time())
            counts[replica.name] += 1
        return max(counts.values()) / 200

    assert run(scenario) <= largest_share


def test_request_goes_where_the_cache_has_room():
    """Load: few requests with long prompts, which fill the cache."""

    async def scenario(loop):
        cluster_state = make_state(loop, 2)
        report(
            cluster_state,
            e0=LoadReport(3, memory_tokens=44_000),
            e1=LoadReport(9, memory_tokens=12_000),
        )
        return await choose(loop, cluster_state)

    assert run(scenario) == 'e1'


def test_request_that_exceeds_the_cache_goes_to_an_idle_replica():
    async def scenario(loop):
        cluster_state = make_state(loop, 2)
        report(cluster_state, e0=LoadReport(1, memory_tokens=100))
        job = make_job(loop, prompt_tokens=60_000)
        return await choose(loop, cluster_state, job)

    assert run(scenario) == 'e1'


def test_replica_with_an_open_connection_is_preferred_among_equals():
    async def scenario(loop):
        return await choose(
            loop,
            make_state(loop, 4, 68),
            is_connected=lambda replica: replica[0] == 'e2',
        )

    assert run(scenario) == 'e2'


def test_busier_replica_is_not_preferred_for_its_open_connection():
    async def scenario(loop):
        cluster_state = make_state(loop, 2)
        report(cluster_state, e0=LoadReport(9, 5000))
        return await choose(
            loop, cluster_state, is_connected=lambda replica: replica[0] == 'e0'
        )

    assert run(scenario) == 'e1'


def test_replica_that_fails_requests_is_avoided_while_others_have_room():
    async def scenario(loop):
        cluster_state = make_state(loop, 2)
        report(cluster_state, e1=LoadReport(8, 2000))
        for _ in range(9):
            cluster_state.failures.note('e0', loop.time(), has_failed=True)
        return await choose(loop, cluster_state)

    assert run(scenario) == 'e1'


@pytest.mark.parametrize('is_hint', [False, True])
def test_paused_replica_is_not_chosen_while_there_are_others(is_hint):
    async def scenario(loop):
        cluster_state = make_state(loop, 2)
        report(cluster_state, e1=LoadReport(8, 2000))
        if is_hint:
            cluster_state.pauses.learn({('e0', 5): 2.0}, loop.time())
        else:
            cluster_state.pauses.note_refusal(('e0', 5), 2.0, loop.time())
        return await choose(loop, cluster_state)

    assert run(scenario) == 'e1'


@pytest.mark.parametrize(
    ('pause_s', 'waits'), [(0.2, True), (0.4, True), (1.5, False)]
)
def test_request_waits_for_a_pause_only_if_it_can_still_be_on_time(
    pause_s, waits
):
    """Otherwise it is refused at once, with the time that is left."""

    async def scenario(loop):
        cluster_state = make_state(loop, 1)
        pause_s_used = cluster_state.pauses.note_refusal(
            ('e0', 5), pause_s, loop.time()
        )
        job = make_job(loop)
        began_at = loop.time()
        try:
            await choose(loop, cluster_state, job)
        except RequestRefusedError as error:
            assert loop.time() == began_at
            assert error.refusal.retry_after == pytest.approx(pause_s_used)
            assert job.queue_exit == QueueExitReason.REPLICAS_PAUSED
            return False
        assert pause_s <= loop.time() - began_at <= pause_s * 1.3
        return True

    assert run(scenario) == waits


def test_replica_that_begins_to_leave_while_requests_wait_is_not_chosen():
    async def scenario(loop):
        cluster_state = make_state(loop, 1)
        report(cluster_state, e0=LoadReport(40))
        directory = cluster_state.directory
        waiting = asyncio.create_task(choose(loop, cluster_state))
        await asyncio.sleep(0.3)
        replica = directory.replicas['e0']
        directory.replicas['e0'] = attrs.evolve(
            replica, state=ReplicaState.DRAINING
        )
        report(cluster_state, e0=LoadReport())
        directory.signal()
        with pytest.raises(RequestRefusedError):
            await waiting

    run(scenario)
