"""Notifies waiting coroutines of changes of a gateway's state."""

import asyncio


class ChangeNotifier:
    """Wakes all waiting coroutines, in the order in which they began.

    ``count`` is the number of changes so far.
    """

    def __init__(self) -> None:
        """Create a notifier without waiters."""
        self.count = 0
        self._waiters: dict[asyncio.Future[None], None] = {}

    def notify(self) -> None:
        """Wake all coroutines that are waiting now."""
        self.count += 1
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self, timeout: float | None = None) -> None:
        """Wait for the next change or until ``timeout`` seconds have passed."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = None
        try:
            await asyncio.wait({waiter}, timeout=timeout)
        finally:
            self._waiters.pop(waiter)
