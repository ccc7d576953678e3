"""The store that weights are loaded from, slower when many load at once."""

import asyncio

import attrs


@attrs.define
class WeightStore:
    """Counts loads; beyond ``at_once`` each takes longer in proportion."""

    at_once: int
    loads: int = 0
    _running: int = 0

    async def load(self, load_s: float) -> None:
        """Wait as long as a load takes that begins now, in seconds."""
        self.loads += 1
        self._running += 1
        try:
            await asyncio.sleep(load_s * max(1, self._running / self.at_once))
        finally:
            self._running -= 1
