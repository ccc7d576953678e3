"""The gateway process, which runs on the entry hosts of the platform."""

from bramleybeam.gateway._attempt import engine_priority_of
from bramleybeam.gateway._choose import Chooser
from bramleybeam.gateway._cluster_state import ClusterState, make_cluster_state
from bramleybeam.gateway._daemon import GatewayDaemon
from bramleybeam.gateway._job import Job, RequestRefusedError
from bramleybeam.gateway._order_history import OrderHistory
from bramleybeam.gateway._planner import Planner

__all__ = [
    'Chooser',
    'ClusterState',
    'GatewayDaemon',
    'Job',
    'OrderHistory',
    'Planner',
    'RequestRefusedError',
    'engine_priority_of',
    'make_cluster_state',
]
