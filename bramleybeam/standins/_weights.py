"""The rate-limited weight store."""

import asyncio
import time
from typing import Final

_FETCH_S: Final = 0.03
_WINDOW_S: Final = 5.0


class WeightStoreStandIn:
    """Hands out weights at a limited rate; overload slows all fetches.

    ``loads_per_second`` and ``loads_at_once`` bound models, and
    ``adapters_in_transit`` is where adapters start to slow down in
    proportion. What goes past a limit is counted.
    """

    def __init__(
        self,
        loads_per_second: float = 2,
        loads_at_once: int = 4,
        adapters_in_transit: int = 30,
        time_scale: float = 1,
    ) -> None:
        """Store the limits; ``time_scale`` shortens every wait."""
        self.model_fetches = 0
        self.over_limit = 0
        self.most_at_once = 0
        self.most_adapters = 0
        self._rate = loads_per_second / time_scale
        self._at_once = loads_at_once
        self._adapters_limit = adapters_in_transit
        self._time_scale = time_scale
        self._models = 0
        self._adapters = 0
        self._recent: list[float] = []

    async def fetch(self, kind: str, memory_mb: int) -> None:
        """Fetch the weights of a model or an adapter."""
        if kind == 'adapter':
            await self._fetch_adapter()
        else:
            await self._fetch_model()

    async def _fetch_model(self) -> None:
        self._models += 1
        self.model_fetches += 1
        self.most_at_once = max(self.most_at_once, self._models)
        self._count_over_limit()
        try:
            await asyncio.sleep(_FETCH_S * self._time_scale)
        finally:
            self._models -= 1

    async def _fetch_adapter(self) -> None:
        self._adapters += 1
        self.most_adapters = max(self.most_adapters, self._adapters)
        crowd = max(1, self._adapters / self._adapters_limit)
        try:
            await asyncio.sleep(_FETCH_S * crowd * self._time_scale)
        finally:
            self._adapters -= 1

    def _count_over_limit(self) -> None:
        now = time.monotonic()
        self._recent = [
            moment for moment in self._recent if now - moment < _WINDOW_S
        ]
        self._recent.append(now)
        allowed = self._rate * _WINDOW_S + self._at_once
        if len(self._recent) > allowed or self._models > self._at_once:
            self.over_limit += 1
