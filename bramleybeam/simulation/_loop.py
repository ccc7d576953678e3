"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_Result = TypeVar('_Result')


class _JumpingSelector(selectors.DefaultSelector):
    """Watches files, but the time that it would wait passes at once."""

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
            raise RuntimeError('Everything waits and no timer is set.')
        self.now += max(0, timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Sleeps take no time; ``time`` moves on by what they would take."""

    def __init__(self) -> None:
        """Start at second 0."""
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._jumping.now


def run_in_virtual_time(work: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine to its end; its clock starts at 0 and never waits.

    Raises ``RuntimeError`` when everything waits and no timer is set.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
