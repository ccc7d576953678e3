"""Loads adapters on demand and evicts the least used ones."""

import itertools
import time
from typing import Final

from bramleybeam.agent._orders import OrderExecutor, make_adapter_artifact
from bramleybeam.decisions import READY
from bramleybeam.documents import Adapter
from bramleybeam.messages import ArtifactState, Order

# Time in which the use count of an adapter halves.
_USE_HALF_LIFE_S: Final = 120.0


class AdapterCache:
    """Keeps adapters in accelerator memory by exponentially decayed use.

    Each use adds one to the count of the adapter, and the count halves every
    ``_USE_HALF_LIFE_S``. When memory is short, the ready adapters with the
    lowest counts are unloaded first.
    """

    def __init__(self, executor: OrderExecutor, process: str) -> None:
        """Store the executor of orders and the name of this process."""
        self.loads = 0
        self._executor = executor
        self._process = process
        self._order_numbers = itertools.count(1)
        # Use count at the last use and the monotonic time of it, by adapter.
        self._use_counts: dict[str, tuple[float, float]] = {}

    async def ensure_ready(self, adapter: Adapter, timeout_s: float) -> bool:
        """Load an adapter if needed and wait until it is ready.

        Returns ``False`` when the load is refused, for instance because there
        is too little free memory, or when ``timeout_s`` seconds have passed.
        """
        self._count_use(adapter.name)
        if self._executor.is_ready(adapter.name):
            return True
        if adapter.name not in self._executor.ledger.holdings:
            if not self._request_load(adapter):
                return False
        return await self._executor.wait_ready(adapter.name, timeout_s)

    def _request_load(self, adapter: Adapter) -> bool:
        artifact = make_adapter_artifact(
            adapter.name,
            adapter.model,
            adapter.memory_mb,
        )
        self._evict_adapters(adapter.memory_mb)
        reply = self._executor.submit(self._make_order('load', artifact))
        self.loads += int(reply.taken)
        return reply.taken

    def _evict_adapters(self, memory_mb: int) -> None:
        missing_mb = memory_mb - self._executor.ledger.free_mb
        adapters = [
            holding
            for holding in self._executor.ledger.holdings.values()
            if holding.kind == 'adapter' and holding.state == READY
        ]
        adapters.sort(key=lambda holding: self._decayed_use_count(holding.name))
        for holding in adapters:
            if missing_mb <= 0:
                return
            self._executor.submit(self._make_order('unload', holding))
            missing_mb -= holding.memory_mb

    def _make_order(self, action: str, artifact: ArtifactState) -> Order:
        number = next(self._order_numbers)
        return Order(
            order_id=f'{self._process}/{number}',
            shard='',
            epoch=self._executor.epoch,
            action=action,
            artifact=artifact,
        )

    def _count_use(self, name: str) -> None:
        self._use_counts[name] = (
            self._decayed_use_count(name) + 1,
            time.monotonic(),
        )

    def _decayed_use_count(self, name: str) -> float:
        use_count, counted_at = self._use_counts.get(name, (0, 0))
        age_s = time.monotonic() - counted_at
        return use_count * 0.5 ** (age_s / _USE_HALF_LIFE_S)
