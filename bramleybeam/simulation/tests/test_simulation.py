"""Tests of the simulation: repeatability, engine rules and a demand shift."""

import asyncio

import attrs
import pytest

from bramleybeam.orders import LoadAdapter, LoadModel, UnloadModel
from bramleybeam.simulation import (
    SITES,
    EngineModel,
    EngineRequest,
    draw_arrivals,
    run_in_virtual_time,
    simulate_day,
)
from bramleybeam.simulation._weight_store import WeightStore

SITE = SITES['permits']


def make_engine(*models):
    """Return an engine of the site that holds some models."""
    return EngineModel(SITE.engine, WeightStore(4), models)


def make_request(model='m00', tokens=1000, output=10, adapter=''):
    """Return a request with a prompt of one part; sizes are in tokens."""
    return EngineRequest((model, adapter), (('own', tokens),), output)


def run_scenario(scenario):
    """Run an async function in virtual time and return its result."""
    return run_in_virtual_time(scenario())


def test_sleeping_advances_the_virtual_time():
    async def scenario():
        await asyncio.sleep(1000)
        return asyncio.get_running_loop().time()

    assert run_scenario(scenario) == pytest.approx(1000)


def test_deadlock_raises():
    async def scenario():
        await asyncio.get_running_loop().create_future()

    with pytest.raises(RuntimeError):
        run_scenario(scenario)


def test_arrivals_repeat_with_the_seed():
    first = draw_arrivals(SITE, 3)
    assert first == draw_arrivals(SITE, 3)
    assert first != draw_arrivals(SITE, 4)


def test_prompts_queued_before_delay_the_first_token():
    async def scenario():
        engine = make_engine('m00')
        single = make_request()
        engine.submit(single)
        await single.ended
        started_at = asyncio.get_running_loop().time()
        batch = [
            EngineRequest(('m00', ''), ((f'p{number}', 2000),), 10)
            for number in range(10)
        ]
        for request in batch:
            engine.submit(request)
        await asyncio.wait([request.ended for request in batch])
        return single.first_token_at, batch[-1].first_token_at - started_at

    single_s, batched_s = run_scenario(scenario)
    assert single_s < 0.1
    assert batched_s > 10 * 2000 / 20_400


def test_cached_prompt_is_not_processed_again():
    async def scenario():
        engine = make_engine('m00')
        waits = []
        for _ in range(2):
            request = make_request(tokens=4000)
            started_at = asyncio.get_running_loop().time()
            engine.submit(request)
            await request.ended
            waits.append(request.first_token_at - started_at)
        return waits

    first, second = run_scenario(scenario)
    assert second < first / 4


def test_unload_waits_for_running_requests():
    async def scenario():
        engine = make_engine('m00', 'm01')
        request = make_request(output=100)
        engine.submit(request)
        await asyncio.sleep(0.1)
        assert engine.accept_order(UnloadModel('e', 'm00'), 0)
        assert not engine.accept_order(LoadModel('e', 'm02'), 1)
        assert not engine.submit(make_request())
        await request.ended
        await asyncio.sleep(0.1)
        return engine.holdings

    holdings = run_scenario(scenario)
    assert set(holdings.models) == {'m01'}
    assert not holdings.is_busy


@pytest.mark.parametrize(
    'orders',
    [
        [LoadModel('e', 'm03')],
        [LoadAdapter('e', 'm00', f'a{number}') for number in range(9)],
    ],
)
def test_orders_beyond_the_capacity_raise(orders):
    async def scenario():
        engine = make_engine('m00', 'm01', 'm02')
        for number, order in enumerate(orders):
            engine.accept_order(order, number)
            await asyncio.sleep(0.5)
        await asyncio.sleep(3)
        engine.raise_capacity_error()

    with pytest.raises(RuntimeError):
        run_scenario(scenario)


@pytest.fixture(scope='module')
def short_site():
    return attrs.evolve(
        SITE, duration_s=9, shift_times_s=(2.0,), replica_losses=(), bursts=()
    )


def test_day_repeats_exactly(short_site):
    first = simulate_day(short_site, 1, 0.6)
    assert first.requests == simulate_day(short_site, 1, 0.6).requests


def test_models_that_become_popular_are_served(short_site):
    """Newly popular models are served a few seconds after a demand shift.

    Guards against a failure in which requests for the last of four popular
    models were refused for 5 seconds and more, because an unload waited for
    running requests.
    """
    result = simulate_day(short_site, 1, 0.6)
    settled = [
        record
        for record in result.requests
        if record.time_s > 6 and record.request_class != 'patient'
    ]
    refused = [record for record in settled if record.outcome == 'refused']
    assert len(refused) <= len(settled) / 20
