"""Time-outs in event loops that are on time, and in late ones."""

import asyncio
import time

import pytest

from bramleybeam.simulation import run_in_virtual_time
from bramleybeam.timers import running_timeout


@pytest.mark.parametrize('timeout_s', [0.01, 0.05, 0.5, 1.52])
def test_loop_that_is_on_time_ends_after_the_time_out(timeout_s):
    async def wait():
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        with pytest.raises(TimeoutError):
            async with running_timeout(timeout_s):
                await asyncio.sleep(60)
        return loop.time() - began_at

    assert run_in_virtual_time(wait()) == pytest.approx(timeout_s, abs=1e-6)


def test_result_before_the_time_out_is_returned():
    async def wait():
        async with running_timeout(0.5):
            await asyncio.sleep(0.4)
        await asyncio.sleep(60)
        return True

    assert run_in_virtual_time(wait())


async def test_blocked_loop_does_not_end_what_is_ready():
    """Guards against a time-out that is handled before an answer."""
    answered = asyncio.get_running_loop().create_future()
    asyncio.get_running_loop().call_later(0.01, answered.set_result, 'answer')
    async with running_timeout(0.05):
        time.sleep(0.1)
        assert await answered == 'answer'


async def test_cancellation_is_no_time_out():
    async def wait():
        async with running_timeout(60):
            await asyncio.sleep(60)

    task = asyncio.create_task(wait())
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


async def test_loop_that_stays_late_ends_too():
    """Guards against a call without an end in an overloaded process."""

    async def overload():
        while True:
            time.sleep(0.1)
            await asyncio.sleep(0)

    overloaded = asyncio.create_task(overload())
    with pytest.raises(TimeoutError):
        async with running_timeout(0.2):
            await asyncio.sleep(60)
    overloaded.cancel()
