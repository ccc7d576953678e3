"""The weight store, which limits the rate of fetches."""

import asyncio
import time
from typing import Final

# Duration of one fetch at normal speed, and the window in which model fetches
# are counted against the rate limit.
_FETCH_S: Final = 0.03
_WINDOW_S: Final = 5.0


class WeightStoreStandIn:
    """Simulates fetches of weights and counts those beyond the limits.

    ``loads_per_second`` and ``loads_at_once`` are the limits for models; a
    fetch beyond them succeeds, but is counted in ``over_limit_count``. With
    more than ``adapters_in_transit`` concurrent adapter fetches, each new one
    takes proportionally longer.
    """

    def __init__(
        self,
        loads_per_second: float = 2,
        loads_at_once: int = 4,
        adapters_in_transit: int = 30,
        time_scale: float = 1,
    ) -> None:
        """Store the limits.

        ``time_scale`` multiplies the duration of every fetch and divides the
        rate limit.
        """
        self.model_fetches = 0
        self.over_limit_count = 0
        self.max_concurrent_models = 0
        self.max_concurrent_adapters = 0
        self._loads_per_s = loads_per_second / time_scale
        self._models_limit = loads_at_once
        self._adapters_limit = adapters_in_transit
        self._time_scale = time_scale
        self._active_models = 0
        self._active_adapters = 0
        self._recent_fetches: list[float] = []

    async def fetch(self, kind: str, memory_mb: int) -> None:
        """Wait as long as fetching a model's or an adapter's weights takes."""
        if kind == 'adapter':
            await self._fetch_adapter()
        else:
            await self._fetch_model()

    async def _fetch_model(self) -> None:
        self._active_models += 1
        self.model_fetches += 1
        self.max_concurrent_models = max(
            self.max_concurrent_models, self._active_models
        )
        self._count_over_limit()
        try:
            await asyncio.sleep(_FETCH_S * self._time_scale)
        finally:
            self._active_models -= 1

    async def _fetch_adapter(self) -> None:
        self._active_adapters += 1
        self.max_concurrent_adapters = max(
            self.max_concurrent_adapters, self._active_adapters
        )
        slowdown = max(1, self._active_adapters / self._adapters_limit)
        try:
            await asyncio.sleep(_FETCH_S * slowdown * self._time_scale)
        finally:
            self._active_adapters -= 1

    def _count_over_limit(self) -> None:
        now = time.monotonic()
        self._recent_fetches = [
            fetched_at
            for fetched_at in self._recent_fetches
            if now - fetched_at < _WINDOW_S
        ]
        self._recent_fetches.append(now)
        allowed_fetches = self._loads_per_s * _WINDOW_S + self._models_limit
        if (
            len(self._recent_fetches) > allowed_fetches
            or self._active_models > self._models_limit
        ):
            self.over_limit_count += 1
