"""Short soak with fixed seeds; see ``python -m tests.soak`` for others."""

import pytest

from tests.soak import Options, run_soak

SEEDS = (
    1,
    # Found a fault: a retry that found no replica with the model answered that
    # nothing had run, though the first attempt had.
    16,
    # A replica's endless body, broken off at the caller's deadline, was compared
    # with the body of a sound answer.
    907,
)


# Seeds whose requests need keys, with strict revocation and without it.
WORKSPACE_SEEDS = (1, 907)


@pytest.mark.parametrize(
    ('seed', 'has_workspaces'),
    [
        *((seed, False) for seed in SEEDS),
        *((seed, True) for seed in WORKSPACE_SEEDS),
    ],
)
async def test_guarantees_hold_under_overlapping_faults(
    tmp_path, seed, has_workspaces
):
    options = Options(has_workspaces=has_workspaces)
    result = await run_soak(tmp_path, seed, options)
    assert not result.violations
    assert result.statuses[200] > result.request_count / 2
    assert result.fault_counts
