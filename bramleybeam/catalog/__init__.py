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
from bramleybeam.catalog._host import HostSettings, QuotaBounds, TimeBounds
from bramleybeam.catalog._replicas import Holdings, Replica, ReplicaState
from bramleybeam.catalog._workspaces import (
    Quota,
    QuotaUnit,
    Workspace,
    WorkspaceDirectory,
)

__all__ = [
    'EngineSpec',
    'Holdings',
    'HostSettings',
    'ModelSpec',
    'Quota',
    'QuotaBounds',
    'QuotaUnit',
    'Replica',
    'ReplicaState',
    'RequestKind',
    'RequestLimits',
    'Route',
    'RouteTarget',
    'RoutingConfiguration',
    'Service',
    'TimeBounds',
    'Workspace',
    'WorkspaceDirectory',
    'check_address',
]
