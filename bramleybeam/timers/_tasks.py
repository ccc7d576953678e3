"""Background tasks that are cancelled together."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class TaskSet:
    """The background tasks of one owner.

    It holds references to the running tasks, because the event loop holds
    only weak ones and a task could be garbage-collected before its end.
    """

    def __init__(self) -> None:
        """Create an empty set."""
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a background task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancel the running tasks without waiting for their end."""
        for task in tuple(self._tasks):
            task.cancel()

    async def close(self) -> None:
        """Cancel the running tasks and wait for their end."""
        self.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
