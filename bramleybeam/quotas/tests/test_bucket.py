"""What the bucket of one workspace grants, and to whom."""

import pytest

from bramleybeam.catalog import Quota, QuotaBounds, QuotaUnit
from bramleybeam.quotas import DemandRow, QuotaLimits
from bramleybeam.quotas._bucket import WorkspaceBucket

BOUNDS = QuotaBounds(window_s=8, excess_share=0.1, allowance=0)
# Excess of 76.5, a third of which may be in debt.
LIMITS = QuotaLimits.of(Quota(100, 50, QuotaUnit.TOKENS, 20), BOUNDS)
START = 1000.0


def make_bucket(filled_s=10):
    bucket = WorkspaceBucket(LIMITS, START)
    bucket.refresh(START + filled_s)
    return bucket


def ask(bucket, gateway, now, sequence=1, **row):
    fields = {'held': 0, 'unit_cost': 10, **row}
    bucket.note(gateway, DemandRow(**fields), now)
    return bucket.grant(gateway, now, sequence)


def use_up(bucket):
    """Let a gateway use all that the bucket grants, and report it."""
    assert ask(bucket, 1, START + 10, waiting=75, first=75).amount == 75
    ask(bucket, 1, START + 10, 2, answered=1)


# Guards against requests of any size that are refused although the bucket has
# been full, and against debts beyond the limit.
@pytest.mark.parametrize(
    ('cost', 'granted', 'level'),
    [
        (1, 1, 49),
        (50, 50, 0),
        (51, 51, -1),
        (75, 75, -25),
        # Larger than the burst and the permitted debt: granted in parts.
        (90, 50, 0),
    ],
)
def test_request_larger_than_the_burst_leaves_a_debt(cost, granted, level):
    bucket = make_bucket()
    grant = ask(bucket, 1, START + 10, waiting=cost, first=cost)
    assert grant.amount == granted
    assert bucket.level == pytest.approx(level)


# Guards against a wait after which a request is still not granted.
@pytest.mark.parametrize('cost', [5, 30, 60, 75])
def test_named_wait_is_sufficient(cost):
    bucket = make_bucket()
    use_up(bucket)
    grant = ask(bucket, 2, START + 10, waiting=cost, first=cost)
    assert grant.amount == 0
    later = START + 10 + grant.wait_s
    assert ask(bucket, 2, later, 2, waiting=cost, first=cost).amount == cost


# Guards against a gateway that takes what others wait for as well.
def test_waiting_demand_is_divided_by_demand():
    bucket = make_bucket()
    use_up(bucket)
    wants = {2: 5, 3: 100, 4: 100}
    for gateway, waiting in wants.items():
        ask(bucket, gateway, START + 10, waiting=waiting, first=5)
    amounts = {
        gateway: ask(
            bucket, gateway, START + 10.3, 2, waiting=waiting, first=5
        ).amount
        for gateway, waiting in wants.items()
    }
    assert amounts[2] == 5
    assert sum(amounts.values()) <= 30.5
    assert amounts[3] < 25
    assert amounts[4] >= 5


# Guards against reserves that are granted while others wait.
def test_waiting_demand_comes_before_reserves():
    bucket = make_bucket(filled_s=0.4)
    now = START + 0.4
    ask(bucket, 1, now, waiting=200, first=90)
    assert ask(bucket, 2, now, reserve=20).amount == 0


# Guards against amounts that are lost with a datagram or given back in vain,
# and against those that are credited twice.
@pytest.mark.parametrize(
    ('row', 'level'),
    [
        ({'held': 0, 'answered': 0}, 50),
        ({'held': 0, 'answered': 1}, 30),
        ({'held': 20, 'answered': 1}, 30),
        ({'held': 5, 'answered': 1, 'returned': 15}, 45),
        # A malformed report does not create more than was granted.
        ({'held': 0, 'answered': 1, 'returned': 500}, 50),
    ],
)
def test_what_was_never_used_goes_back(row, level):
    bucket = make_bucket()
    now = START + 10
    assert ask(bucket, 1, now, waiting=20, first=20).amount == 20
    ask(bucket, 1, now, 2, **row)
    assert bucket.level == pytest.approx(level)


# Guards against a bucket that fills while the gateways hold all that they may.
def test_bucket_and_balances_stay_under_the_total():
    bucket = make_bucket()
    now = START + 10
    for sequence in range(1, 60):
        now += 0.1
        held = bucket.outstanding
        ask(
            bucket,
            1,
            now,
            sequence,
            held=int(held),
            waiting=10,
            first=10,
            answered=sequence - 1,
        )
        assert bucket.level + bucket.outstanding <= LIMITS.total + 1e-6


# Guards against gateways that keep what a lower limit doesn't permit.
def test_excess_is_asked_back_when_the_limit_falls():
    bucket = make_bucket()
    now = START + 10
    ask(bucket, 1, now, held=60)
    lower = QuotaLimits.of(Quota(10, 5, QuotaUnit.TOKENS, 20), BOUNDS)
    bucket.change(lower, now)
    assert bucket.level <= lower.burst
    cut = -ask(bucket, 1, now, 2, held=60).amount
    assert 60 - cut <= lower.total + 1e-6
    assert 60 - cut > lower.total - 1
