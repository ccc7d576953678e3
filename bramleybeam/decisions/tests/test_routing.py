"""Tests of the choice of an upstream, by one and by many processes."""

import random
from collections import Counter

import attrs
import pytest

from bramleybeam.decisions import (
    Candidate,
    EstimatePolicy,
    RandomPolicy,
    RoundRobinPolicy,
    StaleLeastPolicy,
    choose_upstream,
    estimate_first_token,
)

POLICIES = (EstimatePolicy, RandomPolicy, RoundRobinPolicy, StaleLeastPolicy)
PROCESSES = 330
UPSTREAMS = 10


def make_candidates(in_flights, limit=48):
    """Return a candidate for each number of requests in flight."""
    return [
        Candidate(
            f'u{index}', in_flight, limit, step_s=0.01, reported=in_flight
        )
        for index, in_flight in enumerate(in_flights)
    ]


def rng():
    """Return a generator with a fixed seed."""
    return random.Random(4)


@pytest.mark.parametrize('make_policy', POLICIES)
@pytest.mark.parametrize('in_flights', [[], [0], [3, 1], [48, 48, 2]])
def test_policy_returns_candidate_or_none(make_policy, in_flights):
    """Every policy returns a candidate, and ``None`` only without any."""
    candidates = make_candidates(in_flights)
    chosen = make_policy().choose(candidates, rng())
    assert chosen is None or chosen in candidates
    assert (chosen is None) == (not candidates)


@pytest.mark.parametrize(
    ('better', 'worse'),
    [
        ({'in_flight': 1}, {'in_flight': 9}),
        ({'adapter_ready': True}, {'adapter_ready': False}),
        ({'zone_distance': 0}, {'zone_distance': 1}),
        ({'step_s': 0.01}, {'step_s': 0.04}),
        (
            {'cached_share': 0.9, 'first_token_s': 0.2},
            {'cached_share': 0, 'first_token_s': 0.2},
        ),
    ],
)
def test_each_property_affects_estimate(better, worse):
    """The better value of one property alone lowers the estimate."""
    base = Candidate('u', 5, 48, step_s=0.02)
    better_s = estimate_first_token(attrs.evolve(base, **better))
    assert better_s < estimate_first_token(attrs.evolve(base, **worse))


def test_full_upstream_is_not_chosen():
    """If all are full, no candidate is returned."""
    assert choose_upstream(make_candidates([48, 48]), rng()) is None
    only = choose_upstream(make_candidates([48, 47]), rng())
    assert only.name == 'u1'


def test_tolerant_work_leaves_capacity():
    """Latency-tolerant work leaves a share of the limit to urgent work."""
    nearly_full = attrs.evolve(make_candidates([40])[0], share=0.7)
    assert choose_upstream([nearly_full], rng()) is None
    assert choose_upstream([attrs.evolve(nearly_full, share=1)], rng())


def count_most_chosen(policy_type):
    """Return how often the most chosen upstream is chosen.

    Many processes choose once each, from the same stale data.
    """
    candidates = make_candidates([index % 3 for index in range(UPSTREAMS)])
    chosen = Counter(
        policy_type().choose(candidates, random.Random(seed)).name
        for seed in range(PROCESSES)
    )
    return max(chosen.values())


def test_many_processes_do_not_choose_same_upstream():
    """330 processes with the same stale data do not overload one upstream.

    The bound is three times an even share. The baseline, which takes the
    fewest requests in flight by the last report, sends all to one upstream.
    """
    even_share = PROCESSES / UPSTREAMS
    assert count_most_chosen(EstimatePolicy) <= 3 * even_share
    assert count_most_chosen(StaleLeastPolicy) == PROCESSES
