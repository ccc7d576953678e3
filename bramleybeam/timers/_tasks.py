"""Keeps background tasks alive, and ends them together."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class TaskSet:
    """Background work that belongs to one owner."""

    def __init__(self) -> None:
        """Start with no tasks."""
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancel what still runs, without waiting for it."""
        for task in tuple(self._tasks):
            task.cancel()

    async def close(self) -> None:
        """Cancel what still runs and wait for it."""
        self.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
