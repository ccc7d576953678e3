"""Event loop with a virtual clock that advances to the next timer."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_Result = TypeVar('_Result')


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Polls files without waiting and advances ``now`` by the timeout.

    ``now`` is the virtual time in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError('All tasks are waiting and no timer is set.')
        self.now += max(0, timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in which sleeping only advances the virtual time."""

    def __init__(self) -> None:
        """Start the virtual time at 0."""
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now


def run_in_virtual_time(coroutine: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine in virtual time from 0 on and return its result.

    Raises ``RuntimeError`` when all tasks are waiting and no timer is set.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
