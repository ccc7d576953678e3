"""Calls subscribers at their period, with jitter, in the running loop."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Final

import attrs
import structlog

_JITTER_SHARE: Final = 0.1

Callback = Callable[[], Awaitable[None]]


@attrs.define(eq=False)
class Subscription:
    """One periodic call; ``cancel`` ends it."""

    name: str
    period: float
    task: asyncio.Task[None]

    def cancel(self) -> None:
        """End the calls; one that is under way is cancelled."""
        self.task.cancel()


class TimerService:
    """Runs periodic work, so that no part keeps a loop of its own.

    A callback that raises is logged and called again at its next period.
    Calls of one subscription never overlap. Periods are in seconds.

    Example::

        timers = TimerService(random.Random(7))
        timers.subscribe('report', 2, send_report)
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        """Store the generator that jitter is drawn from."""
        self._rng = rng or random.Random()
        self._subscriptions: list[Subscription] = []
        self._lateness = 0.0
        self._log = structlog.get_logger('timers')

    @property
    def subscriptions(self) -> tuple[Subscription, ...]:
        """The subscriptions made so far."""
        return tuple(self._subscriptions)

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def take_lateness(self) -> float:
        """Return by how much a call was late at most, since the last time."""
        lateness = self._lateness
        self._lateness = 0
        return lateness

    def subscribe(
        self,
        name: str,
        period: float,
        callback: Callback,
    ) -> Subscription:
        """Call ``callback`` now and about every ``period`` seconds."""
        work = self._run(name, period, callback)
        task = asyncio.create_task(work, name=f'timer-{name}')
        subscription = Subscription(name, period, task)
        self._subscriptions.append(subscription)
        return subscription

    async def close(self) -> None:
        """Cancel every subscription and wait until all have ended."""
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
