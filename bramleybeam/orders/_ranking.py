"""Orders names by amounts, the same way each time."""

from collections.abc import Mapping


def most_first(amounts: Mapping[str, float]) -> list[str]:
    """Return the names by falling amount, equal ones by name."""
    pairs = sorted((-amount, name) for name, amount in amounts.items())
    return [name for _, name in pairs]
