"""Decodes what lies in the platform's store: configuration and replicas.

What another writer left, with fields that are missing or of another type,
yields ``None`` and a log line, and names no replica.
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
)

CONFIGURATION_KEY: Final = 'op/config'
REPLICA_PREFIX: Final = 'servers/'
_MS: Final = 1000
_DEFAULT_PRIORITY: Final = 5
_log = structlog.get_logger('platform')
_BAD_ENTRY: Final = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    RecursionError,
)
Decoded = TypeVar('Decoded')


def decode_configuration(text: bytes) -> RoutingConfiguration | None:
    """Decode the operator's newest configuration."""
    return _decode_or_none(CONFIGURATION_KEY, text, _decode_configuration)


def decode_replica(key: str, text: bytes) -> Replica | None:
    """Decode the entry that a replica wrote under ``key``."""
    name = key.removeprefix(REPLICA_PREFIX)
    return _decode_or_none(key, text, lambda raw: _decode_replica(name, raw))


def decode_holdings(text: bytes) -> Holdings | None:
    """Decode the report that a replica gives of itself."""
    return _decode_or_none('report', text, _decode_holdings)


def _decode_or_none(
    key: str,
    text: bytes,
    decode: Callable[[dict[str, Any]], Decoded],
) -> Decoded | None:
    try:
        return decode(json.loads(text))
    except _BAD_ENTRY as error:
        _log.warning('entry_unreadable', key=key, error=repr(error)[:200])
    return None


def _decode_configuration(raw: dict[str, Any]) -> RoutingConfiguration:
    return RoutingConfiguration(
        version=_whole(raw['version']),
        routes=tuple(map(_decode_route, raw['routes'])),
        services={
            service['name']: _decode_service(service)
            for service in raw['services']
        },
        limits=_decode_limits(raw['limits']),
    )


def _decode_route(raw: dict[str, Any]) -> Route:
    return Route(
        name=raw['name'],
        host=raw['host'].lower(),
        prefix=raw['prefix'],
        kind=RequestKind(raw['kind']),
        targets=tuple(_decode_targets(raw)),
        timeout_s=raw['timeout-ms'] / _MS,
        objective_s=raw.get('goal-ms', raw['timeout-ms']) / _MS,
        priority=raw.get('priority', _DEFAULT_PRIORITY),
        attempts=raw.get('attempts', 1),
        is_resumable=raw.get('resumable', False) is True,
        longest_gap_s=raw.get('gap-aim-ms', 0) / _MS,
    )


def _decode_targets(raw: dict[str, Any]) -> Iterable[RouteTarget]:
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
        adapters=_whole(raw.get('adapters', 0)),
        adapter_mb=float(raw.get('adapter-mb', 0)),
    )


def _decode_limits(raw: dict[str, Any]) -> RequestLimits:
    return RequestLimits(
        header_bytes=_whole(raw['header-bytes']),
        body_bytes=_whole(raw['max-body-bytes']),
        header_timeout_s=raw['header-timeout-ms'] / _MS,
        idle_timeout_s=raw['idle-timeout-ms'] / _MS,
    )


def _decode_replica(name: str, raw: dict[str, Any]) -> Replica:
    leaves_in_ms = raw.get('remaining-ms')
    return Replica(
        name=name,
        service=_text(raw['service']),
        address=_address(raw['address']),
        zone=_text(raw['zone']),
        state=ReplicaState(raw['state']),
        slots=_whole(raw['slots']),
        started_ms=_whole(raw.get('born', 0)),
        # An entry's own sequence counts what the replica wrote, not orders.
        holdings=attrs.evolve(_decode_holdings(raw), sequence=0),
        leaves_in_s=None if leaves_in_ms is None else leaves_in_ms / _MS,
    )


def _decode_holdings(raw: dict[str, Any]) -> Holdings:
    at_hand = raw.get('at-hand') or {}
    return Holdings(
        sequence=_whole(raw.get('sequence', 0)),
        models={
            model['name']: frozenset(
                _base_name(adapter) for adapter in model['adapters']
            )
            for model in raw.get('models') or ()
        },
        arriving=frozenset(map(_decode_arriving, raw.get('coming') or ())),
        in_memory=frozenset(map(_base_name, at_hand.get('in-memory') or ())),
        on_disk=frozenset(map(_base_name, at_hand.get('on-disk') or ())),
        is_busy=raw.get('busy', False) is True,
    )


def _decode_arriving(raw: str) -> tuple[str, str]:
    model, _, adapter = raw.partition('/')
    return model, _base_name(adapter)


def _base_name(raw: Any) -> str:
    named = raw['name'] if isinstance(raw, dict) else raw
    return _text(named).partition('@')[0]


def _text(raw: Any) -> str:
    if not isinstance(raw, str) or not raw:
        raise ValueError(f'not a text: {raw!r}')
    return raw


def _whole(raw: Any) -> int:
    if not isinstance(raw, int) or isinstance(raw, bool):
        raise ValueError(f'not a whole number: {raw!r}')
    return raw


def _address(raw: Any) -> str:
    host, _, port = _text(raw).rpartition(':')
    if not host or not port.isdigit():
        raise ValueError(f'not an address: {raw!r}')
    return str(raw)
