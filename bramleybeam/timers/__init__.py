"""The timer service that parts subscribe to."""

from bramleybeam.timers._service import Subscription, TimerService

__all__ = ['Subscription', 'TimerService']
