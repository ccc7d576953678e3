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
    _task: asyncio.Task[None] | None = None

    def cancel(self) -> None:
        """End the calls; one that is under way is cancelled."""
        if self._task is not None:
            self._task.cancel()


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
        self._log = structlog.get_logger('timers')

    @property
    def subscriptions(self) -> tuple[Subscription, ...]:
        """The subscriptions made so far."""
        return tuple(self._subscriptions)

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def subscribe(
        self,
        name: str,
        period: float,
        callback: Callback,
    ) -> Subscription:
        """Call ``callback`` about every ``period`` seconds from now on."""
        subscription = Subscription(name, period)
        subscription._task = asyncio.create_task(  # noqa: SLF001
            self._run(subscription, callback),
            name=f'timer-{name}',
        )
        self._subscriptions.append(subscription)
        return subscription

    async def close(self) -> None:
        """Cancel every subscription and wait until all have ended."""
        tasks = []
        for subscription in self._subscriptions:
            subscription.cancel()
            if subscription._task is not None:  # noqa: SLF001
                tasks.append(subscription._task)  # noqa: SLF001
        self._subscriptions.clear()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(
        self, subscription: Subscription, callback: Callback
    ) -> None:
        while True:
            spread = self._rng.uniform(-_JITTER_SHARE, _JITTER_SHARE)
            await asyncio.sleep(subscription.period * (1 + spread))
            try:
                await callback()
            except Exception:
                self._log.exception('timer_failed', timer=subscription.name)
