"""Carries out orders: one known state at a time, never over the memory."""

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

# Longest time that an order of a dead predecessor, or one given before the
# engine restarted, is allowed to be on its way.
TRANSIT_HOLD_S: Final = 3.0
_POLL_S: Final = 0.05
_RETRY_S: Final = 0.5
_REMEMBERED_ORDERS: Final = 1000
_log = structlog.get_logger('orders')


class OrderExecutor:
    """The only order giver of one engine.

    An order whose outcome is unknown is asked again under the same order id
    until the engine tells how it stands; its memory stays reserved meanwhile.
    """

    def __init__(
        self,
        upstream: UpstreamClient,
        in_use: Callable[[str], bool],
        changed: Callable[[], None],
    ) -> None:
        """Store the engine, what is in use, and whom to tell of changes."""
        self.ledger = MemoryLedger(0)
        self.epoch = 0
        self.boot = 0
        self.healthy = False
        self._upstream = upstream
        self._in_use = in_use
        self._changed = changed
        self._hold_until = 0.0
        self._open: dict[str, Order] = {}
        self._known_orders: dict[str, None] = {}
        self._tasks = TaskSet()

    @property
    def settled(self) -> bool:
        """Whether orders may be given: no unknown ones are on their way."""
        return self.healthy and time.monotonic() >= self._hold_until

    def learn_epoch(self, epoch: int) -> None:
        """Take in a fencing number that someone has seen in use."""
        if epoch > self.epoch:
            self.epoch = epoch
            self._changed()

    def limit_memory(self, capacity_mb: int) -> None:
        """Take in the memory that the operators' document states."""
        if 0 < capacity_mb < self.ledger.capacity_mb:
            self.ledger = attrs.evolve(self.ledger, capacity_mb=capacity_mb)

    def is_ready(self, name: str) -> bool:
        """Whether an artifact may be given requests."""
        holding = self.ledger.holdings.get(name)
        return holding is not None and holding.state == READY

    def take(self, order: Order) -> OrderReply:
        """Check an order and begin to carry it out."""
        reason = self._find_objection(order)
        if reason:
            return OrderReply(taken=False, reason=reason)
        self.epoch = max(self.epoch, order.epoch)
        if order.order_id in self._known_orders:
            return OrderReply(taken=True)
        return self._begin(order)

    async def observe(self) -> None:
        """Read the engine's state and bring the ledger up to it."""
        state = await self._upstream.state()
        if state is None:
            self.note_health(healthy=False)
            return
        self._note_boot(state)
        before = self.ledger.holdings
        self.ledger = self.ledger.observe(state.artifacts, self._open)
        self.learn_epoch(state.highest_epoch)
        self.note_health(healthy=True)
        if before != self.ledger.holdings:
            self._changed()

    async def wait_ready(self, name: str, timeout: float) -> bool:
        """Wait until an artifact is ready; ``False`` on time out."""
        deadline = time.monotonic() + timeout
        while not self.is_ready(name):
            if time.monotonic() > deadline:
                return False
            await asyncio.sleep(_POLL_S / 10)
        return True

    def note_health(self, *, healthy: bool) -> None:
        """Note whether the upstream answers; a change is reported at once."""
        if self.healthy == healthy:
            return
        self.healthy = healthy
        _log.info('engine_health', healthy=healthy)
        self._changed()

    async def close(self) -> None:
        """Stop driving orders; what is under way at the engine goes on."""
        await self._tasks.close()

    def _find_objection(self, order: Order) -> str:
        if not self.settled:
            return 'not settled: earlier orders may be on their way'
        if order.epoch < self.epoch:
            return f'epoch {order.epoch} is old; {self.epoch} was seen'
        busy = self._open.get(order.artifact.name)
        if busy is not None and busy.order_id != order.order_id:
            return f'order {busy.order_id} is open for the same artifact'
        return ''

    def _begin(self, order: Order) -> OrderReply:
        match order.action:
            case 'load':
                return self._begin_load(order)
            case 'unload':
                return self._begin_unload(order)
            case 'set_role':
                self._start(order, self._change_role(order))
                return OrderReply(taken=True)
        reason = f'unknown action {order.action}; upgrade the agent'
        return OrderReply(taken=False, reason=reason)

    def _begin_load(self, order: Order) -> OrderReply:
        match self.ledger.reserve(order.artifact):
            case Result(tag='ok', ok=ledger):
                self.ledger = ledger
                self._start(order, self._load(order))
                self._changed()
                return OrderReply(taken=True)
            case Result(error=reason):
                return OrderReply(taken=False, reason=str(reason))
        raise AssertionError('a result is ok or an error')

    def _begin_unload(self, order: Order) -> OrderReply:
        if not self.is_ready(order.artifact.name):
            reason = f'{order.artifact.name} is not ready'
            return OrderReply(taken=False, reason=reason)
        self.ledger = self.ledger.set_state(order.artifact.name, DRAINING)
        self._start(order, self._unload(order))
        self._changed()
        return OrderReply(taken=True)

    def _start(
        self,
        order: Order,
        work: Coroutine[Any, Any, None],
    ) -> None:
        self._open[order.artifact.name] = order
        self._known_orders[order.order_id] = None
        if len(self._known_orders) > _REMEMBERED_ORDERS:
            self._known_orders.pop(next(iter(self._known_orders)))
        self._tasks.spawn(work)

    async def _change_role(self, order: Order) -> None:
        await self._drive(order)
        self._open.pop(order.artifact.name, None)

    async def _load(self, order: Order) -> None:
        name = order.artifact.name
        done = await self._drive(order)
        self._open.pop(name, None)
        if done:
            self.ledger = self.ledger.set_state(name, READY)
        await self.observe()
        self._changed()

    async def _unload(self, order: Order) -> None:
        name = order.artifact.name
        await self._unload_adapters(order)
        while self._in_use(name):
            await asyncio.sleep(_POLL_S)
        self.ledger = self.ledger.set_state(name, UNLOADING)
        done = await self._drive(order)
        self._open.pop(name, None)
        if not done:
            self.ledger = self.ledger.set_state(name, READY)
        await self.observe()
        self._changed()

    async def _unload_adapters(self, order: Order) -> None:
        adapters = [
            holding
            for holding in self.ledger.holdings.values()
            if holding.model == order.artifact.name
        ]
        for adapter in adapters:
            part = attrs.evolve(
                order,
                order_id=f'{order.order_id}/{adapter.name}',
                artifact=adapter,
            )
            if adapter.state == READY and adapter.name not in self._open:
                self.ledger = self.ledger.set_state(adapter.name, DRAINING)
                self._open[adapter.name] = part
                await self._unload(part)

    async def _drive(self, order: Order) -> bool:
        while True:
            try:
                answer = await self._upstream.order(order)
            except ConnectionError as error:
                _log.warning(
                    'order_outcome_unknown',
                    order=order.order_id,
                    error=str(error),
                )
                await asyncio.sleep(_RETRY_S)
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
            await asyncio.sleep(_POLL_S)

    def _note_boot(self, state: UpstreamState) -> None:
        if self.boot == state.boot:
            return
        restarted = self.boot != 0
        self.boot = state.boot
        self._hold_until = time.monotonic() + TRANSIT_HOLD_S
        capacity_mb = state.capacity_mb
        if self.ledger.capacity_mb:
            capacity_mb = min(capacity_mb, self.ledger.capacity_mb)
        self.ledger = MemoryLedger(
            capacity_mb,
            {
                name: attrs.evolve(self.ledger.holdings[name], state=LOADING)
                for name in self._open
                if name in self.ledger.holdings
            },
        )
        if restarted:
            _log.error('engine_restarted', boot=state.boot)
            self._changed()


def artifact_of_adapter(name: str, model: str, memory_mb: int) -> ArtifactState:
    """Describe an adapter that is to be loaded."""
    return ArtifactState(name, 'adapter', memory_mb, LOADING, model)
