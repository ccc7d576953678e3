"""Wakes what waits for a change of what a gateway knows."""

import asyncio


class ChangeNotifier:
    """Wakes everyone who waits, in order, once for each change."""

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._waiters: dict[asyncio.Future[None], None] = {}

    def notify(self) -> None:
        """Wake everyone who waits now."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self, timeout: float) -> None:
        """Wait for the next change, at most ``timeout`` seconds."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[waiter] = None
        try:
            await asyncio.wait({waiter}, timeout=timeout)
        finally:
            self._waiters.pop(waiter)
