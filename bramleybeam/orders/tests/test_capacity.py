"""Plans for random demand never exceed the capacity of a replica.

An order that exceeds a replica's memory or adapter places would crash it.
"""

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleybeam.catalog import Holdings
from bramleybeam.orders import (
    EngineView,
    LoadAdapter,
    LoadModel,
    UnloadAdapter,
    UnloadModel,
    plan_orders,
)
from bramleybeam.orders.tests.placement import MODELS, SPEC, make_demand


@attrs.define
class SimulatedReplica:
    """A replica that fails the test when an order exceeds its capacity.

    ``models`` maps the models that it holds to their sizes in MB; ``adapters``
    holds their adapters, of 1 MB each, as targets.
    """

    models: dict
    adapters: set

    def execute(self, order):
        match order:
            case LoadModel(model=model):
                self.models[model] = 70
            case UnloadModel(model=model):
                self.models.pop(model)
                self.adapters = {
                    entry for entry in self.adapters if entry[0] != model
                }
            case LoadAdapter(model=model, adapter=adapter):
                assert model in self.models
                self.adapters.add((model, adapter))
            case UnloadAdapter(model=model, adapter=adapter):
                self.adapters.remove((model, adapter))
        used = sum(self.models.values()) + len(self.adapters)
        assert used <= SPEC.memory_mb
        assert len(self.adapters) <= SPEC.adapter_places

    def view(self, name):
        models = {
            model: frozenset(
                name for base, name in self.adapters if base == model
            )
            for model in self.models
        }
        return EngineView(name, Holdings(0, models))


TARGETS = st.tuples(
    st.sampled_from(MODELS),
    st.sampled_from(['', 'a1', 'a2', 'a3']),
)


@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.dictionaries(TARGETS, st.integers(1, 4), max_size=4),
            st.dictionaries(st.sampled_from(MODELS), st.floats(0, 30)),
        ),
        max_size=12,
    ),
)
def test_plans_stay_within_capacity(rounds):
    replicas = {
        f'e{number}': SimulatedReplica({'m1': 70}, set()) for number in range(3)
    }
    for waiting, rates in rounds:
        views = [simulated.view(name) for name, simulated in replicas.items()]
        demand = attrs.evolve(make_demand(**rates), waiting=waiting)
        for order in plan_orders(views, SPEC, demand, store_loads=2):
            replicas[order.replica].execute(order)
