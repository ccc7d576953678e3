"""Loads adapters on demand and makes room by expected use."""

import itertools
import time
from typing import Final

from bramleybeam.agent._orders import OrderExecutor, artifact_of_adapter
from bramleybeam.decisions import READY
from bramleybeam.documents import Adapter
from bramleybeam.messages import ArtifactState, Order

_HALF_LIFE_S: Final = 120.0


class AdapterCache:
    """Keeps adapters resident by a use count that halves over time."""

    def __init__(self, executor: OrderExecutor, process: str) -> None:
        """Store who carries out the orders."""
        self.loads = 0
        self._executor = executor
        self._process = process
        self._numbers = itertools.count(1)
        self._uses: dict[str, tuple[float, float]] = {}

    async def ensure(self, adapter: Adapter, timeout: float) -> bool:
        """Make an adapter ready; ``False`` when there is no room or time."""
        self._count_use(adapter.name)
        if self._executor.is_ready(adapter.name):
            return True
        if adapter.name not in self._executor.ledger.holdings:
            if not self._order_load(adapter):
                return False
        return await self._executor.wait_ready(adapter.name, timeout)

    def _order_load(self, adapter: Adapter) -> bool:
        artifact = artifact_of_adapter(
            adapter.name,
            adapter.model,
            adapter.memory_mb,
        )
        self._make_room(adapter.memory_mb)
        reply = self._executor.take(self._make_order('load', artifact))
        self.loads += int(reply.taken)
        return reply.taken

    def _make_room(self, memory_mb: int) -> None:
        missing = memory_mb - self._executor.ledger.free_mb
        adapters = [
            holding
            for holding in self._executor.ledger.holdings.values()
            if holding.kind == 'adapter' and holding.state == READY
        ]
        adapters.sort(key=lambda holding: self._expected_use(holding.name))
        for holding in adapters:
            if missing <= 0:
                return
            self._executor.take(self._make_order('unload', holding))
            missing -= holding.memory_mb

    def _make_order(self, action: str, artifact: ArtifactState) -> Order:
        number = next(self._numbers)
        return Order(
            order_id=f'{self._process}/{number}',
            shard='',
            epoch=self._executor.epoch,
            action=action,
            artifact=artifact,
        )

    def _count_use(self, name: str) -> None:
        self._uses[name] = (self._expected_use(name) + 1, time.monotonic())

    def _expected_use(self, name: str) -> float:
        uses, moment = self._uses.get(name, (0, 0))
        age = time.monotonic() - moment
        return uses * 0.5 ** (age / _HALF_LIFE_S)
