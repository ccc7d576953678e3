"""Periodic calls, coalesced callbacks, background tasks and time-outs."""

from bramleybeam.timers._coalescer import Coalescer
from bramleybeam.timers._running_timeout import running_timeout
from bramleybeam.timers._service import Subscription, TimerService
from bramleybeam.timers._tasks import TaskSet

__all__ = [
    'Coalescer',
    'Subscription',
    'TaskSet',
    'TimerService',
    'running_timeout',
]
