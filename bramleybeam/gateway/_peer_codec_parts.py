"""Encodes parts of the messages between gateways as JSON values.

Each ``decode_`` function is the inverse of the ``encode_`` function of the
same name, if there is one. It raises ``ValueError``, ``KeyError``,
``TypeError``, ``AttributeError`` or ``IndexError`` for a malformed value.
"""

from collections.abc import Mapping
from typing import Any

import attrs

from bramleybeam.catalog import Holdings
from bramleybeam.gateway._departures import Departure
from bramleybeam.gateway._failures import OutcomeCounts
from bramleybeam.gateway._peer_messages import ObservedStoreState
from bramleybeam.gateway._placement import PlacementVersion, ReplicaPlacement
from bramleybeam.gateway._suspect_report import SuspectCrash, SuspectReport
from bramleybeam.gateway._tree import ObservedPlanner
from bramleybeam.limits import Incarnation
from bramleybeam.orders import Target
from bramleybeam.workspaces import KeyReport, StampEcho


def encode_store_state(observed: ObservedStoreState) -> list[Any]:
    return [observed.revision, observed.planner.revision, observed.planner.host]


def decode_store_state(row: list[Any], version: int) -> ObservedStoreState:
    revision, planner_revision, host = row
    planner = ObservedPlanner(int(planner_revision), str(host))
    return ObservedStoreState(int(revision), planner, version)


def encode_keys(report: KeyReport | None) -> dict[str, list[int]]:
    """Return the field of a message; none if nothing is told of keys."""
    if report is None:
        return {}
    echo = attrs.astuple(report.echo) if report.echo else ()
    return {'keys': [report.stamp, report.version, *echo]}


def decode_keys(fields: dict[str, Any]) -> KeyReport | None:
    row = fields.get('keys')
    if row is None:
        return None
    stamp, version, *echo = map(int, row)
    return KeyReport(stamp, version, StampEcho(*echo) if echo else None)


def decode_version(row: list[Any]) -> PlacementVersion:
    return PlacementVersion(int(row[0]), int(row[1]))


def encode_departures(
    departures: Mapping[str, Departure],
) -> dict[str, list[int]]:
    return {
        name: [departure.started_ms, int(departure.is_gone)]
        for name, departure in departures.items()
    }


def decode_departures(fields: dict[str, Any]) -> dict[str, Departure]:
    return {
        str(name): Departure(int(started_ms), bool(is_gone))
        for name, (started_ms, is_gone) in fields.items()
    }


def encode_pauses(
    pauses: Mapping[Incarnation, float],
) -> dict[str, list[float]]:
    """Return the start time and the seconds left by replica name."""
    return {
        name: [started_ms, round(remaining_s, 2)]
        for (name, started_ms), remaining_s in pauses.items()
    }


def decode_pauses(fields: dict[str, Any]) -> dict[Incarnation, float]:
    return {
        (str(name), int(started_ms)): float(remaining_s)
        for name, (started_ms, remaining_s) in fields.items()
    }


def encode_outcomes(
    outcomes: Mapping[str, OutcomeCounts],
) -> dict[str, list[float]]:
    return {
        name: [round(counts.failures, 1), round(counts.completions, 1)]
        for name, counts in outcomes.items()
    }


def decode_outcomes(fields: dict[str, Any]) -> dict[str, OutcomeCounts]:
    return {
        str(name): OutcomeCounts(float(failures), float(completions))
        for name, (failures, completions) in fields.items()
    }


def encode_suspects(report: SuspectReport) -> dict[str, list[Any]]:
    """Return by suspect the crashes, and those that it has not caused.

    A crash is its name, its age, and the time in flight before, in seconds.
    """
    keys = {**report.crashes, **report.cleared}
    return {
        key: [
            [
                [crash.name, round(crash.age_s, 3), round(crash.in_flight_s, 3)]
                for crash in report.crashes.get(key, ())
            ],
            list(report.cleared.get(key, ())),
        ]
        for key in keys
    }


def decode_suspects(fields: dict[str, Any]) -> SuspectReport:
    crashes = {}
    cleared = {}
    for key, (rows, names) in fields.items():
        if rows:
            crashes[str(key)] = [
                SuspectCrash(str(name), float(age_s), float(in_flight_s))
                for name, age_s, in_flight_s in rows
            ]
        if names:
            cleared[str(key)] = [str(name) for name in names]
    return SuspectReport(crashes, cleared)


def encode_targets(
    targets: Mapping[int, Mapping[Target, int]],
) -> dict[str, dict[str, int]]:
    return {
        str(code): encode_counts(counts) for code, counts in targets.items()
    }


def decode_targets(fields: dict[str, Any]) -> dict[int, dict[Target, int]]:
    return {int(code): decode_counts(row) for code, row in fields.items()}


def decode_ages(fields: dict[str, Any]) -> dict[str, float]:
    return {str(name): float(age) for name, age in fields.items()}


def encode_counts(counts: Mapping[Target, int]) -> dict[str, int]:
    return {_encode_target(target): count for target, count in counts.items()}


def decode_counts(counts: Mapping[str, int]) -> dict[Target, int]:
    return {_decode_target(key): int(count) for key, count in counts.items()}


def encode_placement(placement: ReplicaPlacement) -> list[Any]:
    models = {
        model: sorted(adapters)
        for model, adapters in placement.holdings.models.items()
    }
    return [
        placement.started_ms,
        models,
        placement.evicting_model,
        placement.incoming_model,
        round(placement.eta_s, 2),
    ]


def decode_placement(row: list[Any]) -> ReplicaPlacement:
    models = {model: frozenset(names) for model, names in row[1].items()}
    return ReplicaPlacement(
        Holdings(0, models),
        evicting_model=str(row[2]),
        started_ms=int(row[0]),
        incoming_model=str(row[3]),
        eta_s=float(row[4]),
    )


def _encode_target(target: Target) -> str:
    return '/'.join(target)


def _decode_target(key: str) -> Target:
    model, _, adapter = key.partition('/')
    return model, adapter
