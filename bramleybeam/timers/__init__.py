"""Periodic calls, coalesced callbacks, background tasks, time-outs and clocks."""

from bramleybeam.timers._clocks import boot_clock
from bramleybeam.timers._coalescer import Coalescer
from bramleybeam.timers._running_timeout import running_timeout
from bramleybeam.timers._service import Subscription, TimerService
from bramleybeam.timers._tasks import TaskSet

__all__ = [
    'Coalescer',
    'Subscription',
    'TaskSet',
    'TimerService',
    'boot_clock',
    'running_timeout',
]
