"""The model of a day: exact repetition, engines' rules, replayed loads."""

import asyncio

import attrs
import pytest

from bramleybeam.orders import LoadAdapter, LoadModel, UnloadModel
from bramleybeam.simulation import (
    SITES,
    EngineModel,
    Run,
    draw_arrivals,
    run_in_virtual_time,
    simulate_day,
)
from bramleybeam.simulation._weight_store import WeightStore

SITE = SITES['permits']


def make_engine(*models):
    return EngineModel(SITE.engine, WeightStore(4), models)


def make_run(model='m00', tokens=1000, output=10, adapter=''):
    return Run((model, adapter), (('own', tokens),), output)


def play(scenario):
    """Run an async scenario in virtual time; return its result."""
    return run_in_virtual_time(scenario())


def test_time_jumps():
    async def scenario():
        await asyncio.sleep(1000)
        return asyncio.get_running_loop().time()

    assert play(scenario) == pytest.approx(1000)


def test_everything_waiting_is_an_error():
    async def scenario():
        await asyncio.get_running_loop().create_future()

    with pytest.raises(RuntimeError):
        play(scenario)


def test_arrivals_repeat_with_the_seed():
    first = draw_arrivals(SITE, 3)
    assert first == draw_arrivals(SITE, 3)
    assert first != draw_arrivals(SITE, 4)


def test_prompts_ahead_delay_the_first_token():
    async def scenario():
        engine = make_engine('m00')
        alone = make_run()
        engine.submit(alone)
        await alone.ended
        began = asyncio.get_running_loop().time()
        crowd = [
            Run(('m00', ''), ((f'p{number}', 2000),), 10)
            for number in range(10)
        ]
        for run in crowd:
            engine.submit(run)
        await asyncio.wait([run.ended for run in crowd])
        return alone.first_at, crowd[-1].first_at - began

    alone_s, crowded_s = play(scenario)
    assert alone_s < 0.1
    assert crowded_s > 10 * 2000 / 20_400


def test_kept_prompt_is_not_read_again():
    async def scenario():
        engine = make_engine('m00')
        waits = []
        for _ in range(2):
            run = make_run(tokens=4000)
            began = asyncio.get_running_loop().time()
            engine.submit(run)
            await run.ended
            waits.append(run.first_at - began)
        return waits

    first, second = play(scenario)
    assert second < first / 4


def test_unload_waits_for_what_runs():
    async def scenario():
        engine = make_engine('m00', 'm01')
        run = make_run(output=100)
        engine.submit(run)
        await asyncio.sleep(0.1)
        assert engine.give(UnloadModel('e', 'm00'), 0)
        assert not engine.give(LoadModel('e', 'm02'), 1)
        assert not engine.submit(make_run())
        await run.ended
        await asyncio.sleep(0.1)
        return engine.holdings

    holdings = play(scenario)
    assert set(holdings.models) == {'m01'}
    assert not holdings.is_busy


@pytest.mark.parametrize(
    'orders',
    [
        [LoadModel('e', 'm03')],
        [LoadAdapter('e', 'm00', f'a{number}') for number in range(9)],
    ],
)
def test_orders_past_the_room_are_an_error(orders):
    async def scenario():
        engine = make_engine('m00', 'm01', 'm02')
        for number, order in enumerate(orders):
            engine.give(order, number)
            await asyncio.sleep(0.5)
        await asyncio.sleep(3)
        engine.raise_fault()

    with pytest.raises(RuntimeError):
        play(scenario)


@pytest.fixture(scope='module')
def short_site():
    return attrs.evolve(SITE, length_s=9, shifts=(2.0,), losses=(), bursts=())


def test_day_repeats_exactly(short_site):
    first = simulate_day(short_site, 1, 0.6)
    assert first.requests == simulate_day(short_site, 1, 0.6).requests


def test_demand_that_moves_is_followed(short_site):
    """Replays a shift: the new busy models are served a few seconds later.

    The last of four busy models was refused for five seconds and more while
    an unload waited for requests that ran.
    """
    result = simulate_day(short_site, 1, 0.6)
    settled = [
        row
        for row in result.requests
        if row.moment > 6 and row.request_class != 'patient'
    ]
    refused = [row for row in settled if row.outcome == 'refused']
    assert len(refused) <= len(settled) / 20
