"""The weight store's limits hold though several planners share them."""

import attrs
import pytest

from bramleybeam.demo import DemoCluster, DemoOptions
from bramleybeam.documents import Model
from tests.documents import make_document


@pytest.mark.parametrize(('rate', 'at_once'), [(4, 2), (8, 4)])
async def test_loads_keep_to_the_rate(rate, at_once):
    """All models load, and the store counts nothing over its limits."""
    document = make_document()
    deployment = attrs.evolve(
        document.deployment, loads_per_second=rate, loads_at_once=at_once
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
        assert cluster.weights.max_concurrent_models <= at_once
    finally:
        await cluster.close()
