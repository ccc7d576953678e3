"""Orders names by amounts, the same way each time."""

from collections.abc import Mapping

from bramleybeam.orders._messages import Demand, Target


def most_first(amounts: Mapping[str, float]) -> list[str]:
    """Return the names by falling amount, equal ones by name."""
    pairs = sorted((-amount, name) for name, amount in amounts.items())
    return [name for _, name in pairs]


def oldest_first(demand: Demand) -> list[Target]:
    """Return what requests wait for, the longest unserved first."""
    aged = sorted(
        (-demand.unserved_s.get(target, 0), target) for target in demand.waiting
    )
    return [target for _, target in aged]
