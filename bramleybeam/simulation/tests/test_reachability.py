"""Nothing that is asked for through a day stays unserved, in virtual time."""

import math

import attrs
import pytest

from bramleybeam.simulation import SITES, simulate_day

# A load from the store with the unload before it, and what it takes until
# the planner and the gateways know.
SWAP_S = 3.0
# Age from which the turn of a model comes by its age, and a caller's patience.
OVERDUE_S = 4.0
PATIENCE_S = 6.0
# Replicas that load for patient requests at a time.
PATIENT_SHARE = 0.34


def make_site(name, **changes):
    """Return a site with light traffic, so that what binds are the places."""
    site = SITES[name]
    rates = {'long': 0.15, 'patient': 1, 'short': 0.15}
    classes = tuple(
        attrs.evolve(one, per_s=one.per_s * rates[one.name], output_tokens=20)
        for one in site.classes
    )
    return attrs.evolve(site, classes=classes, **changes)


def make_engine(**changes):
    """Return replicas of the grown site that have other room."""
    return attrs.evolve(SITES['grown-permits'].engine, **changes)


def bound_of(site):
    """Return the time within which each model has its turn, in seconds.

    Before it come at most the models without a place, at the rate at which
    the replicas swap that load for patient requests, and then its own load.
    """
    models = len(site.engine.models)
    room = site.engine.memory_mb // 72_700
    places = room * site.replicas
    # Busy models have further copies; half of the places hold single ones.
    absent = models - places / 2
    swaps_per_s = min(
        math.ceil(site.replicas * PATIENT_SHARE) / SWAP_S,
        0.9 * site.engine.loads_per_s,
    )
    return OVERDUE_S + absent / swaps_per_s + SWAP_S + PATIENCE_S


DAYS = {
    'grown': make_site('grown-permits', losses=()),
    'grown, replicas lost': make_site('grown-permits'),
    'grown, new planners': make_site(
        'grown-permits', losses=(), new_planners=(5, 12, 13, 22)
    ),
    'few places': make_site('grown-permits', replicas=12, losses=()),
    'two places at a replica': make_site(
        'grown-permits', losses=(), engine=make_engine(memory_mb=150_000)
    ),
    'one adapter at a replica': make_site(
        'grown-permits', losses=(), engine=make_engine(adapter_places=1)
    ),
    'permits': make_site('permits', losses=()),
    'guild': make_site('guild', losses=()),
}


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('name', DAYS)
def test_no_model_is_asked_for_in_vain_for_long(name, seed):
    site = DAYS[name]
    result = simulate_day(site, seed)
    assert len(result.judged_targets()) > 10
    assert not result.never_served()
    models = {
        target: spent
        for target, spent in result.longest_unserved().items()
        if not target[1]
    }
    assert max(models.values()) < bound_of(site)
