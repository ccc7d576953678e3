"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors
from collections.abc import Coroutine, Mapping
from typing import Any, TypeVar

_Result = TypeVar('_Result')


class _JumpingSelector(selectors.BaseSelector):
    """Watches nothing; the time that it would wait passes at once."""

    def __init__(self) -> None:
        self.now = 0.0
        self._keys: dict[Any, selectors.SelectorKey] = {}

    def register(
        self,
        fileobj: Any,
        events: int,
        data: Any = None,
    ) -> selectors.SelectorKey:
        key = selectors.SelectorKey(fileobj, 0, events, data)
        self._keys[fileobj] = key
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self._keys.pop(fileobj)

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError('Everything waits and no timer is set.')
        self.now += max(0, timeout)
        return []

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return self._keys


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


def run_in_virtual_time(work: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine to its end; its clock starts at 0 and never waits.

    Raises ``RuntimeError`` when everything waits and no timer is set.
    """
    with asyncio.Runner(loop_factory=_VirtualTimeLoop) as runner:
        return runner.run(work)
