"""Calls functions periodically, with jitter, in the running event loop."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Final

import attrs
import structlog

# Each period is longer or shorter by up to this share, at random.
_JITTER_SHARE: Final = 0.1

Callback = Callable[[], Awaitable[None]]


@attrs.define(eq=False)
class Subscription:
    """A function that is called periodically; ``period`` is in seconds."""

    name: str
    period: float
    task: asyncio.Task[None]

    def cancel(self) -> None:
        """Stop the calls, and cancel a call that is running."""
        self.task.cancel()


class TimerService:
    """Calls the callbacks of subscriptions periodically.

    Components subscribe here, so that they don't need loops of their own.
    An exception of a callback is logged, and the callback is called again
    after its period. Calls of one subscription never overlap, because a
    period starts when the previous call has ended.

    Example::

        timers = TimerService(random.Random(7))
        timers.subscribe('report', 2, send_report)
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        """Store the random number generator for the jitter."""
        self._rng = rng or random.Random()
        self._subscriptions: list[Subscription] = []
        self._lateness = 0.0
        self._log = structlog.get_logger('timers')

    @property
    def subscriptions(self) -> tuple[Subscription, ...]:
        """All subscriptions since the start or the last ``close``."""
        return tuple(self._subscriptions)

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def take_lateness(self) -> float:
        """Return the largest delay of a call in seconds, and reset it.

        The delay is measured against the time at which the call was due, since
        the previous use of this method.
        """
        lateness = self._lateness
        self._lateness = 0
        return lateness

    def subscribe(
        self,
        name: str,
        period: float,
        callback: Callback,
    ) -> Subscription:
        """Call ``callback`` soon and then about every ``period`` seconds."""
        work = self._run(name, period, callback)
        task = asyncio.create_task(work, name=f'timer-{name}')
        subscription = Subscription(name, period, task)
        self._subscriptions.append(subscription)
        return subscription

    async def close(self) -> None:
        """Cancel all subscriptions and wait until their calls have ended."""
        ended = [subscription.task for subscription in self._subscriptions]
        for subscription in self._subscriptions:
            subscription.cancel()
        self._subscriptions.clear()
        await asyncio.gather(*ended, return_exceptions=True)

    async def _run(
        self,
        name: str,
        period: float,
        callback: Callback,
    ) -> None:
        while True:
            try:
                await callback()
            except Exception:
                self._log.exception('timer_failed', timer=name)
            spread = self._rng.uniform(-_JITTER_SHARE, _JITTER_SHARE)
            due = self.now() + period * (1 + spread)
            await asyncio.sleep(period * (1 + spread))
            self._lateness = max(self._lateness, self.now() - due)
