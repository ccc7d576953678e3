"""Deterministic sort orders for models and targets."""

from collections.abc import Mapping

from bramleybeam.orders._messages import Demand, Target


def rank_by_amount(amounts: Mapping[str, float]) -> list[str]:
    """Return the names by descending amount; ties are sorted by name."""
    ranked = sorted((-amount, name) for name, amount in amounts.items())
    return [name for _, name in ranked]


def rank_by_unserved_time(demand: Demand) -> list[Target]:
    """Return the targets with waiting requests, longest unserved first."""
    ranked_targets = sorted(
        (-demand.unserved_s.get(target, 0), target) for target in demand.waiting
    )
    return [target for _, target in ranked_targets]
