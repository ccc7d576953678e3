"""Tests of gateways whose replicas crash on certain requests."""

import asyncio

import pytest

from tests.platform_crashes import RESTART_S, replacing_crashed
from tests.platform_fleet import run_fleet

LINK_BYTES_PER_S = 12_500_000
# Bound on the runs of a crashing request after it has crashed three replicas.
MAX_RUNS_AFTER_THIRD_CRASH = 3


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
