"""The gateway process: entry hosts on the users' platform."""

from bramleybeam.gateway._attempt import urgency_of
from bramleybeam.gateway._choose import Chooser
from bramleybeam.gateway._daemon import GatewayDaemon
from bramleybeam.gateway._job import Job, RefusingError
from bramleybeam.gateway._knowledge import Knowledge, make_knowledge
from bramleybeam.gateway._order_times import OrderTimes
from bramleybeam.gateway._planner import Planner

__all__ = [
    'Chooser',
    'GatewayDaemon',
    'Job',
    'Knowledge',
    'OrderTimes',
    'Planner',
    'RefusingError',
    'make_knowledge',
    'urgency_of',
]
