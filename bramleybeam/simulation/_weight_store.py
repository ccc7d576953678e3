"""Simulated weight store with limited throughput."""

import asyncio

import attrs


@attrs.define
class WeightStore:
    """Loads weights, at full speed for up to ``concurrency`` loads.

    A load that starts while more are running takes longer in proportion.
    ``loads`` counts all loads.
    """

    concurrency: int
    loads: int = 0
    _running: int = 0

    async def load(self, load_s: float) -> None:
        """Wait for the duration of a load that takes ``load_s`` at full speed.

        The duration is set by the number of loads when this one starts.
        """
        self.loads += 1
        self._running += 1
        try:
            await asyncio.sleep(
                load_s * max(1, self._running / self.concurrency)
            )
        finally:
            self._running -= 1
