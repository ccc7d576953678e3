"""Data classes for the routes, services and replicas of a deployment."""

from bramleybeam.catalog._addresses import check_address
from bramleybeam.catalog._configuration import (
    EngineSpec,
    ModelSpec,
    RequestKind,
    RequestLimits,
    Route,
    RouteTarget,
    RoutingConfiguration,
    Service,
)
from bramleybeam.catalog._host import HostSettings, TimeBounds
from bramleybeam.catalog._replicas import Holdings, Replica, ReplicaState

__all__ = [
    'EngineSpec',
    'Holdings',
    'HostSettings',
    'ModelSpec',
    'Replica',
    'ReplicaState',
    'RequestKind',
    'RequestLimits',
    'Route',
    'RouteTarget',
    'RoutingConfiguration',
    'Service',
    'TimeBounds',
    'check_address',
]
