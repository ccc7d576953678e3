"""Assigns each model a home zone, whose planner keeps it loaded.

Every planner computes the same assignment from the configuration document and
the zones in service, so that shards need no coordination. A weighted
rendezvous hash keeps most assignments when a zone is added or removed.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final

import xxhash

from bramleybeam.documents import Model

# Share of a zone's memory that is assigned; the rest is needed for packing.
_FILL_SHARE: Final = 0.85
_HASH_RANGE: Final = float(2**64)


def assign_homes(
    models: Iterable[Model],
    capacities: Mapping[tuple[str, str], int],
) -> dict[str, str]:
    """Return the home zone of each model for whose pool there is a zone.

    ``capacities`` maps (zone, pool) to accelerator memory in MB. Zones are
    filled only to a share of their memory, so that the models can be packed
    onto upstreams. If a model exceeds that share in every zone, it is
    assigned to the zone with the most memory left.
    """
    remaining_mb = Counter(
        {
            zone_pool: int(capacity_mb * _FILL_SHARE)
            for zone_pool, capacity_mb in capacities.items()
        }
    )
    homes = {}
    for model in sorted(models, key=_packing_order):
        zone = _choose_zone(model, capacities, remaining_mb)
        if zone is not None:
            homes[model.name] = zone
            remaining_mb[zone, model.pool] -= model.memory_mb
    return homes


def rank_by_hash(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` ranked for ``key`` by rendezvous hash, best first."""
    return sorted(names, key=lambda name: _unit_hash(key, name), reverse=True)


def _packing_order(model: Model) -> tuple[int, str]:
    return -model.memory_mb, model.name


def _choose_zone(
    model: Model,
    capacities: Mapping[tuple[str, str], int],
    remaining_mb: Mapping[tuple[str, str], int],
) -> str | None:
    zones = [zone for zone, pool in capacities if pool == model.pool]
    if not zones:
        return None
    ranked = sorted(
        zones,
        key=lambda zone: _weighted_score(
            model.name,
            zone,
            capacities[zone, model.pool],
        ),
        reverse=True,
    )
    for zone in ranked:
        if remaining_mb[zone, model.pool] >= model.memory_mb:
            return zone
    return max(ranked, key=lambda zone: remaining_mb[zone, model.pool])


def _weighted_score(key: str, name: str, weight: float) -> float:
    if weight <= 0:
        return 0
    return -weight / math.log(_unit_hash(key, name))


def _unit_hash(key: str, name: str) -> float:
    digest = xxhash.xxh64(f'{key}\0{name}'.encode()).intdigest()
    return (digest + 0.5) / _HASH_RANGE
