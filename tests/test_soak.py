"""A short soak of gateways with fixed seeds; by hand ``python -m tests.soak``."""

import pytest

from tests.soak import Options, run_soak

SEEDS = (
    1,
    # A second try without a holder promised that nothing had run.
    16,
)


@pytest.mark.parametrize('seed', SEEDS)
async def test_promises_hold_in_a_series_of_faults(tmp_path, seed):
    findings = await run_soak(tmp_path, seed, Options())
    assert not findings.violations
    assert findings.statuses[200] > findings.asked / 2
    assert findings.faults
