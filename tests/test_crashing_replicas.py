"""Tests of gateways whose replicas crash on certain requests."""

import asyncio

import pytest
import pytest_asyncio

from tests.platform_crashes import RESTART_S, replacing_crashed
from tests.platform_fleet import run_fleet
from tests.platform_replica import ReplicaStandIn
from tests.platform_site import run_site

MODEL_HEADERS = {
    'Bramleybeam_Model': 'm1',
    'Bramleybeam_Token_Counts': '100,8',
}
LINK_BYTES_PER_S = 12_500_000
# Bound on the runs of a crashing request after it has crashed three replicas.
MAX_RUNS_AFTER_THIRD_CRASH = 3
# The same for all requests with a part that has crashed five.
MAX_RUNS_AFTER_FIFTH_CRASH = 3


def is_poisoned_path(path, _headers):
    """Whether a request crashes the replica that runs it."""
    return 'poison' in path


@pytest.mark.parametrize('path', ['/look/poison', '/post/poison'])
async def test_request_that_crashed_three_replicas_is_not_sent_again(
    tmp_path, path
):
    """Guards against replicas that crash one after the other.

    The same request comes again under new ids, at each gateway in turn.
    """
    rates = [LINK_BYTES_PER_S] * 3
    async with (
        run_fleet(tmp_path, rates, models=3, engines=1, plain=3) as fleet,
        replacing_crashed(fleet, is_poisoned_path) as crashing,
    ):
        for number in range(15):
            gateway = fleet.gateways[number % len(fleet.gateways)]
            await gateway.ask_with_id(f'p{number}', path)
            await asyncio.sleep(1.5 * RESTART_S)
        assert len(crashing.crashes) >= 3
        runs_after = len(crashing.arrivals) - 3
        assert runs_after <= MAX_RUNS_AFTER_THIRD_CRASH, crashing.arrivals
        for number, gateway in enumerate(fleet.gateways):
            answer = await gateway.ask_with_id(f's{number}', '/look/2f')
            assert answer.status == 200


@pytest_asyncio.fixture
async def site(tmp_path):
    async with run_site(tmp_path) as running:
        yield running


async def wait_for_events(site, name, count):
    """Wait until the gateway has logged an event so many times."""
    async with asyncio.timeout(10):
        while len(site.gateway.events(name)) < count:
            await asyncio.sleep(0.02)


@pytest.mark.parametrize('fault', ['lost', 'other_id', 'endless_trailers'])
async def test_lost_answer_of_a_replica_that_runs_on_is_no_crash(site, fault):
    """Guards against refusals of requests that did no harm."""

    def draw_fault():
        return fault

    for replica in site.replicas.values():
        replica.draw_fault = draw_fault
    for number in range(6):
        await site.ask_with_id(f'r{number}', '/look/again', 'GET')
    if fault == 'lost':
        await wait_for_events(site, 'answers_lost', 1)
    for replica in site.replicas.values():
        replica.draw_fault = None
    answer = await site.ask_with_id('last', '/look/again', 'GET')
    assert answer.status == 200
    assert not site.gateway.events('replica_crashed')


async def test_replica_that_ends_as_announced_has_not_crashed(site):
    """The requests that it cuts off are not suspected."""
    leaving = site.replicas['l1']
    site.write_entry(leaving, state='draining')
    await wait_for_events(site, 'replica_draining', 1)
    site.replicas['l2'].draw_fault = lambda: 'lost'
    await site.ask_with_id('r1', '/look/2f', 'GET')
    await leaving.crash()
    await wait_for_events(site, 'answers_lost', 1)
    assert not site.gateway.events('replica_crashed')


async def test_answer_without_length_that_a_crash_cuts_off_is_not_complete(
    site,
):
    """Guards against a part of an answer that looks like all of it.

    Several requests are sent at once, because one after the other may all go to
    the replica that has an open connection.
    """
    site.replicas['l1'].draw_fault = lambda: 'crash_unframed'
    async with asyncio.timeout(20):
        while not site.replicas['l1'].has_crashed:
            answers = await asyncio.gather(
                *(site.ask('/look/2f', method='GET') for _ in range(6))
            )
            assert {(answer.status, answer.body) for answer in answers} == {
                (200, b'whole answer')
            }


# A crash follows within a second after a whole answer of the same kind, or when
# the replica has stated that it leaves.
@pytest.mark.parametrize('is_leaving', [False, True])
@pytest.mark.parametrize(
    ('name', 'path', 'headers', 'sound_fault'),
    [
        ('l1', '/post/2f', {}, 'unframed'),
        ('e1', '/ask/2f', MODEL_HEADERS, 'unframed_stream'),
    ],
    ids=['plain', 'stream'],
)
async def test_answer_without_length_of_a_replica_that_ends_is_not_complete(
    site, name, path, headers, sound_fault, is_leaving
):
    """Guards against an old or a missing observation of the replica."""
    replica = site.replicas[name]
    site.write_entry(site.replicas[f'{name[0]}2'], state='draining')
    await wait_for_events(site, 'replica_draining', 1)
    for number in range(4):
        replica.faults[f's{number}'] = sound_fault
        answer = await site.ask_with_id(f's{number}', path, **headers)
        assert (answer.status, answer.is_truncated) == (200, False)
        assert answer.body
    replica.faults['cut'] = 'crash_unframed'
    replica.pause_s = 1 if is_leaving else 0.2
    cut = asyncio.create_task(site.ask_with_id('cut', path, **headers))
    while not site.runs('cut'):
        await asyncio.sleep(0.01)
    if is_leaving:
        site.write_entry(replica, state='draining')
        await wait_for_events(site, 'replica_draining', 2)
    answer = await cut
    assert answer.status != 200 or answer.is_truncated


async def test_crash_soon_after_a_lost_answer_is_noticed(site):
    """Guards against an old observation of a replica that crashes now."""
    site.write_entry(site.replicas['l2'], state='draining')
    await wait_for_events(site, 'replica_draining', 1)
    site.replicas['l1'].faults.update(lost='lost', crash='crash')
    await site.ask_with_id('lost', '/post/2f')
    await wait_for_events(site, 'answers_lost', 1)
    await site.ask_with_id('crash', '/post/2f')
    await wait_for_events(site, 'replica_crashed', 1)


async def test_requests_beside_a_crashing_one_are_served_afterwards(tmp_path):
    """Each crash interrupts the same other requests."""
    rates = [LINK_BYTES_PER_S] * 2
    async with (
        run_fleet(tmp_path, rates, models=3, engines=1, plain=3) as fleet,
        replacing_crashed(fleet, is_poisoned_path) as crashing,
    ):
        for replica in fleet.replicas.values():
            replica.pause_s = 0.1
        for number in range(8):
            gateway = fleet.gateways[number % len(fleet.gateways)]
            await asyncio.gather(
                gateway.ask_with_id(f'a{number}', '/look/beside', 'GET'),
                gateway.ask_with_id(f'p{number}', '/look/poison', 'GET'),
                gateway.ask_with_id(f'b{number}', '/look/beside', 'GET'),
            )
            await asyncio.sleep(1.5 * RESTART_S)
        assert len(crashing.crashes) >= 3
        for gateway in fleet.gateways:
            for number in range(3):
                answer = await gateway.ask_with_id(
                    f's{number}', '/look/beside', 'GET'
                )
                assert answer.status == 200


def is_poisoned_prompt(_path, headers):
    """Whether a prompt has the part that crashes the replica that answers."""
    return 'bad:' in headers.get('bramleybeam-prompt-prefix', '')


async def ask_model(gateway, path, name, part):
    """Send a request whose prompt has a part between two others."""
    return await gateway.ask_with_id(
        name,
        f'/{path}/{name}',
        Bramleybeam_Model='model000',
        Bramleybeam_Token_Counts='100,8',
        Bramleybeam_Prompt_Prefix=f'aa:50,{part}:30,{name}:20',
    )


@pytest.mark.parametrize(
    ('path', 'events_before_crash'), [('ask', 0), ('ask', 1), ('digest', 0)]
)
async def test_prompt_part_that_crashed_five_replicas_is_not_sent_again(
    tmp_path, path, events_before_crash
):
    """Guards against replicas that crash on a part of otherwise new prompts.

    Sound requests share the first part, and arrive at the same time.
    """
    rates = [LINK_BYTES_PER_S] * 3
    async with run_fleet(
        tmp_path, rates, models=3, engines=1, plain=1
    ) as fleet:
        for number in range(1, 4):
            models = dict(fleet.replicas['e0'].models)
            await fleet.add(
                ReplicaStandIn(f'e{number}', 'engine', models=models)
            )
        async with replacing_crashed(fleet, is_poisoned_prompt) as crashing:
            crashing.events_before_crash = events_before_crash
            for replica in fleet.replicas.values():
                replica.events_before_crash = events_before_crash
            for number in range(18):
                gateway = fleet.gateways[number % len(fleet.gateways)]
                other = fleet.gateways[(number + 1) % len(fleet.gateways)]
                await asyncio.gather(
                    ask_model(gateway, path, f'p{number}', 'bad'),
                    ask_model(other, path, f's{number}', 'good'),
                )
                await asyncio.sleep(RESTART_S)
            assert len(crashing.crashes) >= 3
            runs_after = len(crashing.arrivals) - 5
            assert runs_after <= MAX_RUNS_AFTER_FIFTH_CRASH, crashing.arrivals
            await asyncio.sleep(RESTART_S)
            for number, gateway in enumerate(fleet.gateways):
                answer = await ask_model(gateway, path, f't{number}', 'good')
                assert answer.status == 200


async def test_quarantine_outlives_all_gateways(tmp_path):
    """Guards against crashes that begin again after a loss of all hosts."""
    rates = [LINK_BYTES_PER_S] * 2
    async with (
        run_fleet(tmp_path, rates, models=3, engines=1, plain=3) as fleet,
        replacing_crashed(fleet, is_poisoned_path) as crashing,
    ):
        for number in range(6):
            gateway = fleet.gateways[number % len(fleet.gateways)]
            await gateway.ask_with_id(f'p{number}', '/look/poison', 'GET')
            await asyncio.sleep(1.5 * RESTART_S)
        assert fleet.gateways[0].events('suspect_quarantined')
        async with asyncio.timeout(10):
            while not any('/suspects/' in key for key in fleet.store.items):
                await asyncio.sleep(0.05)
        runs_before = len(crashing.arrivals)
        await asyncio.gather(*(process.kill() for process in fleet.gateways))
        for number in (0, 1):
            gateway = await fleet.restart(number)
            await gateway.wait_ready()
            answer = await gateway.ask_with_id(
                f'q{number}', '/look/poison', 'GET'
            )
            assert answer.status == 503
        assert len(crashing.arrivals) == runs_before
