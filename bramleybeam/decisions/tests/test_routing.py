"""Choice of an upstream, alone and by many deciders at once."""

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
DECIDERS = 330
UPSTREAMS = 10


def make_candidates(loads, limit=48):
    """Make candidates with some requests in flight."""
    return [
        Candidate(f'u{index}', load, limit, step_s=0.01, reported=load)
        for index, load in enumerate(loads)
    ]


def rng():
    """Make a generator with a fixed seed."""
    return random.Random(4)


@pytest.mark.parametrize('make_policy', POLICIES)
@pytest.mark.parametrize('loads', [[], [0], [3, 1], [48, 48, 2]])
def test_every_policy_chooses_a_candidate_or_waits(make_policy, loads):
    """Common to all: the choice is one of the candidates."""
    candidates = make_candidates(loads)
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
def test_what_makes_an_upstream_better(better, worse):
    """Each signal lowers the estimate, all else being equal."""
    plain = Candidate('u', 5, 48, step_s=0.02)
    good = estimate_first_token(attrs.evolve(plain, **better))
    assert good < estimate_first_token(attrs.evolve(plain, **worse))


def test_a_full_upstream_is_not_chosen():
    """With all full the request waits."""
    assert choose_upstream(make_candidates([48, 48]), rng()) is None
    only = choose_upstream(make_candidates([48, 47]), rng())
    assert only.name == 'u1'


def test_patient_work_leaves_room():
    """A share of the limit keeps places for work with a near target."""
    nearly_full = attrs.evolve(make_candidates([40])[0], share=0.7)
    assert choose_upstream([nearly_full], rng()) is None
    assert choose_upstream([attrs.evolve(nearly_full, share=1)], rng())


def spread(policy_type):
    """Let many deciders choose once from the same stale figures."""
    candidates = make_candidates([index % 3 for index in range(UPSTREAMS)])
    chosen = Counter(
        policy_type().choose(candidates, random.Random(seed)).name
        for seed in range(DECIDERS)
    )
    return max(chosen.values())


def test_many_deciders_do_not_herd():
    """330 entries with the same figures do not pile on one upstream.

    The naive least-in-flight twin sends all to one; the bound is three times
    an even share.
    """
    even = DECIDERS / UPSTREAMS
    assert spread(EstimatePolicy) <= 3 * even
    assert spread(StaleLeastPolicy) == DECIDERS
