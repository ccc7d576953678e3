"""The limits of the weight store hold when several planners share them."""

import attrs
import pytest

from bramleybeam.demo import DemoCluster, DemoOptions
from bramleybeam.documents import Model
from tests.documents import make_document


@pytest.mark.parametrize(('rate', 'max_concurrent'), [(4, 2), (8, 4)])
async def test_loads_stay_within_the_limits(rate, max_concurrent):
    """All models load, and the weight store counts no load over its limits.

    ``rate`` is in loads per second, ``max_concurrent`` in loads.
    """
    document = make_document()
    deployment = attrs.evolve(
        document.deployment, loads_per_second=rate, loads_at_once=max_concurrent
    )
    models = tuple(
        Model(f'model-{index}', 500, 'drafting', 'question')
        for index in range(10)
    )
    cluster = DemoCluster(
        attrs.evolve(
            document, deployment=deployment, models=models, adapters=()
        ),
        DemoOptions(zones=('east', 'west'), time_scale=0.1, load_scale=1),
    )
    await cluster.start()
    try:
        await cluster.wait_reachable(60)
        assert cluster.weights.model_fetches >= len(models)
        assert cluster.weights.over_limit_count == 0
        assert cluster.weights.max_concurrent_models <= max_concurrent
    finally:
        await cluster.close()
