"""The timer service that parts subscribe to."""

from bramleybeam.timers._nudge import Nudge
from bramleybeam.timers._service import Subscription, TimerService
from bramleybeam.timers._tasks import TaskSet

__all__ = ['Nudge', 'Subscription', 'TaskSet', 'TimerService']
