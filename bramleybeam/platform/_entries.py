"""Decodes entries of the platform's store: configuration and replicas.

An entry of another writer, with fields that are missing or of another type,
gives ``None`` and a log line, and is not used as a replica.
"""

import json
from collections.abc import Callable, Iterable
from typing import Any, Final, TypeVar

import attrs
import structlog

from bramleybeam.catalog import (
    EngineSpec,
    Holdings,
    ModelSpec,
    Replica,
    ReplicaState,
    RequestKind,
    RequestLimits,
    Route,
    RouteTarget,
    RoutingConfiguration,
    Service,
    check_address,
)
from bramleybeam.platform._workspaces import decode_workspaces

CONFIGURATION_KEY: Final = 'op/config'
REPLICA_PREFIX: Final = 'servers/'
_MS_PER_S: Final = 1000
_DEFAULT_PRIORITY: Final = 5
# Largest plausible values in an entry: the slots of a replica, and counts and
# times, which JSON represents exactly up to this number.
_MAX_SLOTS: Final = 1_000_000
_MAX_COUNT: Final = 1 << 53
_log = structlog.get_logger('platform')
# Raised by JSON and by decoding a field that is missing or has a wrong type.
_DECODING_ERRORS: Final = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
Decoded = TypeVar('Decoded')


def decode_configuration(text: bytes) -> RoutingConfiguration | None:
    """Return the operator's configuration; ``None`` if it is malformed."""
    return _decode_or_none(CONFIGURATION_KEY, text, _decode_configuration)


def decode_replica(key: str, text: bytes) -> Replica | None:
    """Return the replica described by the entry that it wrote under ``key``.

    Returns ``None`` if the entry is malformed.
    """
    name = key.removeprefix(REPLICA_PREFIX)
    return _decode_or_none(key, text, lambda raw: _decode_replica(name, raw))


def decode_holdings(text: bytes) -> Holdings | None:
    """Return the models and adapters that a replica reports.

    Returns ``None`` if the report is malformed.
    """
    return _decode_or_none('report', text, _decode_holdings)


def _decode_or_none(
    key: str,
    text: bytes,
    decode: Callable[[dict[str, Any]], Decoded],
) -> Decoded | None:
    """Return the decoded JSON text, or log the error and return ``None``."""
    try:
        return decode(json.loads(text))
    except _DECODING_ERRORS as error:
        # Some errors hold the bytes that could not be decoded; their text
        # doesn't. The bytes may contain callers' keys.
        reason = f'{type(error).__name__}: {error}'[:200]
        _log.warning('entry_unreadable', key=key, error=reason)
    return None


def _decode_configuration(raw: dict[str, Any]) -> RoutingConfiguration:
    return RoutingConfiguration(
        version=_require_integer(raw['version']),
        routes=tuple(map(_decode_route, raw['routes'])),
        services={
            service['name']: _decode_service(service)
            for service in raw['services']
        },
        limits=_decode_limits(raw['limits']),
        workspaces=decode_workspaces(raw),
    )


def _decode_route(raw: dict[str, Any]) -> Route:
    return Route(
        name=raw['name'],
        host=raw['host'].lower(),
        prefix=raw['prefix'],
        kind=RequestKind(raw['kind']),
        targets=tuple(_decode_targets(raw)),
        timeout_s=raw['timeout-ms'] / _MS_PER_S,
        objective_s=raw.get('goal-ms', raw['timeout-ms']) / _MS_PER_S,
        priority=raw.get('priority', _DEFAULT_PRIORITY),
        attempts=raw.get('attempts', 1),
        is_resumable=raw.get('resumable', False) is True,
        longest_gap_s=raw.get('gap-aim-ms', 0) / _MS_PER_S,
        is_public=raw.get('no-auth', False) is True,
    )


def _decode_targets(raw: dict[str, Any]) -> Iterable[RouteTarget]:
    """Return the services of a route with their weights."""
    split = raw.get('traffic-split')
    if not split:
        return (RouteTarget(raw['service'], 1),)
    return (RouteTarget(row['service'], row['weight']) for row in split)


def _decode_service(raw: dict[str, Any]) -> Service:
    engine = raw.get('engine')
    return Service(
        name=raw['name'],
        health_path=raw.get('health-path', '/'),
        max_connections=raw.get('max-conns', 0),
        engine=_decode_engine(engine) if engine else None,
    )


def _decode_engine(raw: dict[str, Any]) -> EngineSpec:
    models = (_decode_model(model) for model in raw['models'])
    return EngineSpec(
        slots=raw['slots'],
        cache_tokens=raw['kv-capacity'],
        memory_mb=raw['weights-mb'],
        adapter_places=raw['adapter-slots'],
        loads_per_s=raw['loads-per-s'],
        models={model.name: model for model in models},
    )


def _decode_model(raw: dict[str, Any]) -> ModelSpec:
    load_s = float(raw['load-s'])
    return ModelSpec(
        name=raw['name'],
        memory_mb=float(raw['weights-mb']),
        load_s=load_s,
        disk_load_s=float(raw.get('disk-s', load_s)),
        memory_load_s=float(raw.get('warm-s', load_s)),
        adapters=_require_integer(raw.get('adapters', 0)),
        adapter_mb=float(raw.get('adapter-mb', 0)),
    )


def _decode_limits(raw: dict[str, Any]) -> RequestLimits:
    return RequestLimits(
        header_bytes=_require_integer(raw['header-bytes']),
        body_bytes=_require_integer(raw['max-body-bytes']),
        header_timeout_s=raw['header-timeout-ms'] / _MS_PER_S,
        idle_timeout_s=raw['idle-timeout-ms'] / _MS_PER_S,
    )


def _decode_replica(name: str, raw: dict[str, Any]) -> Replica:
    remaining_ms = raw.get('remaining-ms')
    return Replica(
        name=name,
        service=_require_text(raw['service']),
        address=check_address(raw['address']),
        zone=_require_text(raw['zone']),
        state=ReplicaState(raw['state']),
        slots=_require_in_range(raw['slots'], 1, _MAX_SLOTS),
        started_ms=_require_in_range(raw.get('born', 0), 0, _MAX_COUNT),
        # The sequence in an entry counts the replica's writes of the entry,
        # not the orders that it carried out.
        holdings=attrs.evolve(_decode_holdings(raw), sequence=0),
        leaves_in_s=None if remaining_ms is None else remaining_ms / _MS_PER_S,
        software_version=_decode_software_version(raw.get('version', '')),
    )


def _decode_software_version(raw: Any) -> str:
    """Return the version of a replica's program, a text or a number."""
    if isinstance(raw, str):
        return raw
    return str(_require_integer(raw))


def _decode_holdings(raw: dict[str, Any]) -> Holdings:
    cached = raw.get('at-hand') or {}
    return Holdings(
        sequence=_require_in_range(raw.get('sequence', 0), 0, _MAX_COUNT),
        models={
            _require_text(model['name']): frozenset(
                _drop_version(adapter) for adapter in model['adapters']
            )
            for model in raw.get('models') or ()
        },
        arriving=frozenset(map(_decode_arriving, raw.get('coming') or ())),
        in_memory=frozenset(map(_drop_version, cached.get('in-memory') or ())),
        on_disk=frozenset(map(_drop_version, cached.get('on-disk') or ())),
        is_busy=raw.get('busy', False) is True,
    )


def _decode_arriving(raw: str) -> tuple[str, str]:
    """Return model and adapter of ``model/adapter@version``."""
    model, _, adapter = raw.partition('/')
    return model, _drop_version(adapter)


def _drop_version(raw: Any) -> str:
    """Return the name of a model or adapter without its version."""
    full_name = raw['name'] if isinstance(raw, dict) else raw
    return _require_text(full_name).partition('@')[0]


def _require_text(raw: Any) -> str:
    """Return ``raw`` if it is a non-empty string, else raise ValueError."""
    if not isinstance(raw, str) or not raw:
        raise ValueError(f'not a non-empty string: {raw!r}')
    return raw


def _require_integer(raw: Any) -> int:
    """Return ``raw`` if it is an integer, else raise ValueError."""
    if not isinstance(raw, int) or isinstance(raw, bool):
        raise ValueError(f'not an integer: {raw!r}')
    return raw


def _require_in_range(raw: Any, lowest: int, highest: int) -> int:
    """Return ``raw`` if it is an integer in a range, else raise ValueError."""
    number = _require_integer(raw)
    if not lowest <= number <= highest:
        raise ValueError(f'not in the range {lowest} to {highest}')
    return number
