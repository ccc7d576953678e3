"""Executes orders on one engine without overcommitting its memory."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, Final

import attrs
import structlog
from expression import Result

from bramleybeam.agent._upstream import UpstreamClient, UpstreamState
from bramleybeam.decisions import (
    DRAINING,
    LOADING,
    READY,
    UNLOADING,
    MemoryLedger,
)
from bramleybeam.messages import ArtifactState, Order, OrderReply
from bramleybeam.timers import TaskSet

# Longest time for which an order may be in transit that was sent by a previous
# process of this agent, or before the engine restarted. No order is accepted
# for this time after either of them has started.
TRANSIT_HOLD_S: Final = 3.0
_POLL_PERIOD_S: Final = 0.05
_RETRY_DELAY_S: Final = 0.5
_MAX_REMEMBERED_ORDERS: Final = 1000
_log = structlog.get_logger('orders')


class OrderExecutor:
    """Sends all orders of one engine.

    An order whose outcome is unknown is sent again with the same order id
    until the engine reports its state. Its memory stays reserved meanwhile.
    """

    def __init__(
        self,
        upstream: UpstreamClient,
        is_in_use: Callable[[str], bool],
        on_changed: Callable[[], None],
    ) -> None:
        """Store the engine and the callbacks.

        ``is_in_use`` returns whether running requests use an artifact;
        ``on_changed`` is called after each change of the reported state.
        """
        self.ledger = MemoryLedger(0)
        self.epoch = 0
        self.boot = 0
        self.healthy = False
        self._upstream = upstream
        self._is_in_use = is_in_use
        self._on_changed = on_changed
        self._hold_ends_at = 0.0
        self._open_orders: dict[str, Order] = {}
        self._accepted_order_ids: dict[str, None] = {}
        self._tasks = TaskSet()

    @property
    def settled(self) -> bool:
        """Whether orders are accepted: no unknown order can be in transit."""
        return self.healthy and time.monotonic() >= self._hold_ends_at

    def note_epoch(self, epoch: int) -> None:
        """Raise the highest known epoch (fencing number) to ``epoch``."""
        if epoch > self.epoch:
            self.epoch = epoch
            self._on_changed()

    def limit_memory(self, capacity_mb: int) -> None:
        """Lower the capacity to the one in the operators' document, in MB."""
        if 0 < capacity_mb < self.ledger.capacity_mb:
            self.ledger = attrs.evolve(self.ledger, capacity_mb=capacity_mb)

    def is_ready(self, name: str) -> bool:
        """Whether an artifact is ready to serve requests."""
        holding = self.ledger.holdings.get(name)
        return holding is not None and holding.state == READY

    def submit(self, order: Order) -> OrderReply:
        """Check an order and start to execute it; return whether it is taken.

        An order id that was accepted before is acknowledged and not repeated.
        """
        reason = self._find_refusal_reason(order)
        if reason:
            return OrderReply(taken=False, reason=reason)
        self.epoch = max(self.epoch, order.epoch)
        if order.order_id in self._accepted_order_ids:
            return OrderReply(taken=True)
        return self._begin(order)

    async def observe(self) -> None:
        """Read the engine's state and update the ledger from it."""
        state = await self._upstream.state()
        if state is None:
            self.note_health(healthy=False)
            return
        self._note_boot(state)
        previous_holdings = self.ledger.holdings
        self.ledger = self.ledger.observe(state.artifacts, self._open_orders)
        self.note_epoch(state.highest_epoch)
        self.note_health(healthy=True)
        if previous_holdings != self.ledger.holdings:
            self._on_changed()

    async def wait_ready(self, name: str, timeout_s: float) -> bool:
        """Wait until an artifact is ready; ``False`` after ``timeout_s``."""
        deadline = time.monotonic() + timeout_s
        while not self.is_ready(name):
            if time.monotonic() > deadline:
                return False
            await asyncio.sleep(_POLL_PERIOD_S / 10)
        return True

    def note_health(self, *, healthy: bool) -> None:
        """Record whether the upstream responds; report a change immediately."""
        if self.healthy == healthy:
            return
        self.healthy = healthy
        _log.info('engine_health', healthy=healthy)
        self._on_changed()

    async def close(self) -> None:
        """Stop polling orders; the engine continues those that it runs."""
        await self._tasks.close()

    def _find_refusal_reason(self, order: Order) -> str:
        if not self.settled:
            return 'not settled: earlier orders may still be in transit'
        if order.epoch < self.epoch:
            return f'epoch {order.epoch} is outdated; {self.epoch} is in use'
        open_order = self._open_orders.get(order.artifact.name)
        if open_order is not None and open_order.order_id != order.order_id:
            return (
                f'order {open_order.order_id} is in progress for this artifact'
            )
        return ''

    def _begin(self, order: Order) -> OrderReply:
        match order.action:
            case 'load':
                return self._begin_load(order)
            case 'unload':
                return self._begin_unload(order)
            case 'set_role':
                self._start_order(order, self._change_role(order))
                return OrderReply(taken=True)
        reason = f'unknown action {order.action}; upgrade the agent'
        return OrderReply(taken=False, reason=reason)

    def _begin_load(self, order: Order) -> OrderReply:
        match self.ledger.reserve(order.artifact):
            case Result(tag='ok', ok=ledger):
                self.ledger = ledger
                self._start_order(order, self._load(order))
                self._on_changed()
                return OrderReply(taken=True)
            case Result(error=reason):
                return OrderReply(taken=False, reason=str(reason))
        raise AssertionError('a result is ok or an error')

    def _begin_unload(self, order: Order) -> OrderReply:
        if not self.is_ready(order.artifact.name):
            reason = f'{order.artifact.name} is not ready'
            return OrderReply(taken=False, reason=reason)
        self.ledger = self.ledger.set_state(order.artifact.name, DRAINING)
        self._start_order(order, self._unload(order))
        self._on_changed()
        return OrderReply(taken=True)

    def _start_order(
        self,
        order: Order,
        execution: Coroutine[Any, Any, None],
    ) -> None:
        self._open_orders[order.artifact.name] = order
        self._accepted_order_ids[order.order_id] = None
        if len(self._accepted_order_ids) > _MAX_REMEMBERED_ORDERS:
            self._accepted_order_ids.pop(next(iter(self._accepted_order_ids)))
        self._tasks.spawn(execution)

    async def _change_role(self, order: Order) -> None:
        await self._poll_until_final(order)
        self._open_orders.pop(order.artifact.name, None)

    async def _load(self, order: Order) -> None:
        name = order.artifact.name
        is_done = await self._poll_until_final(order)
        self._open_orders.pop(name, None)
        if is_done:
            self.ledger = self.ledger.set_state(name, READY)
        await self.observe()
        self._on_changed()

    async def _unload(self, order: Order) -> None:
        name = order.artifact.name
        await self._unload_adapters(order)
        while self._is_in_use(name):
            await asyncio.sleep(_POLL_PERIOD_S)
        self.ledger = self.ledger.set_state(name, UNLOADING)
        is_done = await self._poll_until_final(order)
        self._open_orders.pop(name, None)
        if not is_done:
            self.ledger = self.ledger.set_state(name, READY)
        await self.observe()
        self._on_changed()

    async def _unload_adapters(self, order: Order) -> None:
        adapters = [
            holding
            for holding in self.ledger.holdings.values()
            if holding.model == order.artifact.name
        ]
        for adapter in adapters:
            adapter_order = attrs.evolve(
                order,
                order_id=f'{order.order_id}/{adapter.name}',
                artifact=adapter,
            )
            if adapter.state == READY and adapter.name not in self._open_orders:
                self.ledger = self.ledger.set_state(adapter.name, DRAINING)
                self._open_orders[adapter.name] = adapter_order
                await self._unload(adapter_order)

    async def _poll_until_final(self, order: Order) -> bool:
        while True:
            try:
                answer = await self._upstream.order(order)
            except ConnectionError as error:
                _log.warning(
                    'order_outcome_unknown',
                    order=order.order_id,
                    error=str(error),
                )
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            match answer:
                case Result(tag='ok', ok='done'):
                    return True
                case Result(tag='error', error=reason):
                    _log.warning(
                        'order_refused',
                        order=order.order_id,
                        reason=reason,
                    )
                    return False
            await asyncio.sleep(_POLL_PERIOD_S)

    def _note_boot(self, state: UpstreamState) -> None:
        if self.boot == state.boot:
            return
        is_restart = self.boot != 0
        self.boot = state.boot
        self._hold_ends_at = time.monotonic() + TRANSIT_HOLD_S
        capacity_mb = state.capacity_mb
        if self.ledger.capacity_mb:
            capacity_mb = min(capacity_mb, self.ledger.capacity_mb)
        self.ledger = MemoryLedger(
            capacity_mb,
            {
                name: attrs.evolve(self.ledger.holdings[name], state=LOADING)
                for name in self._open_orders
                if name in self.ledger.holdings
            },
        )
        if is_restart:
            _log.error('engine_restarted', boot=state.boot)
            self._on_changed()


def make_adapter_artifact(
    name: str, model: str, memory_mb: int
) -> ArtifactState:
    """Return the artifact of an adapter that is about to be loaded."""
    return ArtifactState(name, 'adapter', memory_mb, LOADING, model)
