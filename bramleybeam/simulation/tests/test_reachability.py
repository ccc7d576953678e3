"""Simulated days in which every requested model must be served in time."""

import math

import attrs
import pytest

from bramleybeam.simulation import SITES, simulate_day

# Duration of an unload and a load from the store, with the time until the
# planner and the gateways see the result, in seconds.
SWAP_S = 3.0
# Age in seconds from which models are loaded in the order of their age, and
# the time for which a latency-tolerant request is queued.
OVERDUE_S = 4.0
QUEUE_LIMIT_S = 6.0
# Largest share of the replicas that load for latency-tolerant requests at a
# time.
TOLERANT_SHARE = 0.34


def make_site(name, **changes):
    """Return a site with light load, where only model places are scarce."""
    site = SITES[name]
    rate_factors = {'long': 0.15, 'patient': 1, 'short': 0.15}
    classes = tuple(
        attrs.evolve(
            request_class,
            requests_per_s=request_class.requests_per_s
            * rate_factors[request_class.name],
            output_tokens=20,
        )
        for request_class in site.classes
    )
    return attrs.evolve(site, classes=classes, **changes)


def make_engine(**changes):
    """Return the engine of the grown site with another capacity."""
    return attrs.evolve(SITES['grown-permits'].engine, **changes)


def max_unserved_s(site):
    """Return an upper bound of the time to serve a model, in seconds.

    In the worst case all other models without a place are loaded first, at
    the rate of swaps for latency-tolerant requests; its own load follows.
    """
    models = len(site.engine.models)
    # 72,700 MB is the size of the larger models.
    models_per_replica = site.engine.memory_mb // 72_700
    places = models_per_replica * site.replicas
    # Popular models have several copies; half of the places hold models with
    # a single copy.
    unplaced = models - places / 2
    swaps_per_s = min(
        math.ceil(site.replicas * TOLERANT_SHARE) / SWAP_S,
        0.9 * site.engine.loads_per_s,
    )
    return OVERDUE_S + unplaced / swaps_per_s + SWAP_S + QUEUE_LIMIT_S


DAYS = {
    'grown': make_site('grown-permits', replica_losses=()),
    'grown, replicas lost': make_site('grown-permits'),
    'grown, new planners': make_site(
        'grown-permits', replica_losses=(), planner_changes_s=(5, 12, 13, 22)
    ),
    'few places': make_site('grown-permits', replicas=12, replica_losses=()),
    'two places at a replica': make_site(
        'grown-permits',
        replica_losses=(),
        engine=make_engine(memory_mb=150_000),
    ),
    'one adapter at a replica': make_site(
        'grown-permits', replica_losses=(), engine=make_engine(adapter_places=1)
    ),
    'permits': make_site('permits', replica_losses=()),
    'guild': make_site('guild', replica_losses=()),
}


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('name', DAYS)
def test_every_model_is_served_within_the_bound(name, seed):
    """No target stays unserved all day, and no model beyond its bound."""
    site = DAYS[name]
    result = simulate_day(site, seed)
    assert len(result.assessed_targets()) > 10
    assert not result.never_served()
    models = {
        target: unserved_s
        for target, unserved_s in result.longest_unserved().items()
        if not target[1]
    }
    assert max(models.values()) < max_unserved_s(site)
