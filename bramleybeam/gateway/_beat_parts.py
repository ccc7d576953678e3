"""Encodes the parts of the messages between gateways as plain JSON values."""

from collections.abc import Mapping
from typing import Any

from bramleybeam.catalog import Holdings
from bramleybeam.gateway._beats import StoreSeen
from bramleybeam.gateway._departures import Departure
from bramleybeam.gateway._placement import Mark, PlacedHoldings
from bramleybeam.gateway._tree import PlannerSeen
from bramleybeam.gateway._wants import Wants
from bramleybeam.orders import Target


def encode_store(seen: StoreSeen) -> list[Any]:
    return [seen.revision, seen.planner.revision, seen.planner.host]


def decode_store(row: list[Any]) -> StoreSeen:
    revision, planner_revision, host = row
    planner = PlannerSeen(int(planner_revision), str(host))
    return StoreSeen(int(revision), planner)


def decode_mark(row: list[Any]) -> Mark:
    return Mark(int(row[0]), int(row[1]))


def encode_departures(
    departures: Mapping[str, Departure],
) -> dict[str, list[int]]:
    return {
        name: [departure.started_ms, int(departure.is_gone)]
        for name, departure in departures.items()
    }


def decode_departures(plain: dict[str, Any]) -> dict[str, Departure]:
    return {
        str(name): Departure(int(started_ms), bool(is_gone))
        for name, (started_ms, is_gone) in plain.items()
    }


def decode_ages(plain: dict[str, Any]) -> dict[str, float]:
    return {str(name): float(age) for name, age in plain.items()}


def encode_wants(wants: Wants) -> dict[str, list[float]]:
    """Encode the count of each target, and for how long it is unserved."""
    return {
        _encode_target(target): [
            count,
            round(wants.unserved_s.get(target, 0), 1),
        ]
        for target, count in wants.waiting.items()
    }


def decode_wants(plain: dict[str, Any]) -> Wants:
    waiting = {}
    unserved_s = {}
    for key, (count, age_s) in plain.items():
        target = _decode_target(key)
        waiting[target] = int(count)
        unserved_s[target] = float(age_s)
    return Wants(waiting, unserved_s)


def encode_counts(counts: Mapping[Target, int]) -> dict[str, int]:
    return {_encode_target(target): count for target, count in counts.items()}


def decode_counts(counts: Mapping[str, int]) -> dict[Target, int]:
    return {_decode_target(key): int(count) for key, count in counts.items()}


def encode_placed(placed: PlacedHoldings) -> list[Any]:
    models = {
        model: sorted(adapters)
        for model, adapters in placed.holdings.models.items()
    }
    return [
        placed.started_ms,
        models,
        placed.leaving,
        placed.coming,
        round(placed.coming_in_s, 2),
    ]


def decode_placed(row: list[Any]) -> PlacedHoldings:
    models = {model: frozenset(names) for model, names in row[1].items()}
    return PlacedHoldings(
        Holdings(0, models),
        leaving=str(row[2]),
        started_ms=int(row[0]),
        coming=str(row[3]),
        coming_in_s=float(row[4]),
    )


def _encode_target(target: Target) -> str:
    return '/'.join(target)


def _decode_target(key: str) -> Target:
    model, _, adapter = key.partition('/')
    return model, adapter
