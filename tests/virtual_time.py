"""An event loop whose clock jumps to the next timer."""

import asyncio
import selectors
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock


class _JumpingSelector(selectors.DefaultSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError('nothing is left to wait for')
        self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Sleeps take no time; ``time`` moves on by what they would take."""

    def __init__(self) -> None:
        """Start at second 0."""
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time."""
        return self._jumping.now


@contextmanager
def virtual_loop() -> Iterator[VirtualLoop]:
    """Run with a virtual clock, seen by ``time.monotonic`` as well."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    with mock.patch('time.monotonic', loop.time):
        yield loop
    asyncio.set_event_loop(None)
    loop.close()
