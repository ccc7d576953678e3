"""What the planner knows of one replica, kept in step with its orders.

Every order names the sequence that it expects, so that a replica takes it
only in the state that it was planned for: an order that arrives late, or
twice, is refused. The ledger follows the replica's own count.
"""

import math
from collections.abc import Iterable, Iterator
from typing import Final

import attrs

from bramleybeam.catalog import Holdings, Replica
from bramleybeam.orders import (
    LoadAdapter,
    LoadModel,
    ModelOrder,
    Target,
    UnloadAdapter,
    UnloadModel,
    incoming_model,
)

# Time in which an adapter has arrived at most replicas.
_ADAPTER_ARRIVAL_S: Final = 0.04
# How long what has arrived stays at least, so that the gateways learn of it
# and the requests that it was brought for find it.
_MODEL_STAY_S: Final = 2.5
_ADAPTER_STAY_S: Final = 1.5
# Time after its expected end at which an order counts as late.
_LATE_S: Final = 1.0
# Time after which a model order that shows no effect is looked into.
_ORDER_PATIENCE_S: Final = 4.0


@attrs.define
class ReplicaTracker:
    """Holdings of one start of a replica; moments are in seconds.

    ``pending_order`` is the order that is on its way to it, ``check_at`` is
    when the replica has to be asked before it may be given further orders.
    ``last_use`` tells when what it holds arrived or was last seen to run.
    """

    replica: Replica
    holdings: Holdings
    loading_model: str = ''
    evicting_model: str = ''
    successor: str = ''
    ordered_at: float = 0
    expected_at: float = 0
    pending_order: ModelOrder | None = None
    check_at: float | None = None
    last_use: dict[Target, float] = attrs.field(factory=dict)
    _arrivals: list[tuple[float, str, str]] = attrs.field(factory=list)
    _came_at: dict[Target, float] | None = None

    @property
    def accepts_orders(self) -> bool:
        """Whether an order for a model may be given."""
        is_idle = not (
            self.loading_model or self.evicting_model or self.pending_order
        )
        return is_idle and self.check_at is None

    @property
    def expected(self) -> str:
        """The model that is coming, or for which room is made; may be none."""
        coming = (
            incoming_model(self.pending_order) if self.pending_order else ''
        )
        return coming or self.loading_model or self.successor

    def is_overdue(self, now: float) -> bool:
        """Whether the replica should have taken its order's effect by now.

        It is also late when it has to be asked, and may not answer.
        """
        if self.accepts_orders or self.pending_order:
            return False
        return self.check_at is not None or now > self.expected_at + _LATE_S

    def see_entry(self, replica: Replica, now: float) -> None:
        """Take in what the replica wrote of itself."""
        before = self.replica.holdings.models.keys()
        self.replica = replica
        shown = replica.holdings.models.keys()
        if shown == before or self.pending_order:
            return
        if self.loading_model and self.loading_model in shown:
            self._note_loaded()
        elif self.evicting_model and self.evicting_model not in shown:
            self._note_left()
        elif shown != self.holdings.models.keys():
            self.check_at = now
        self._note_at_hand(replica.holdings)

    def see_report(self, shown: Holdings, now: float) -> None:
        """Take in a report that was asked for; it may be a little old."""
        if shown.sequence < self.holdings.sequence:
            self.check_at = now + 0.3
            return
        self.check_at = None
        self._adopt(shown)
        if shown.is_busy:
            self.check_at = now + 0.5

    def note_accepted(
        self, order: ModelOrder, now: float, *, done: bool
    ) -> None:
        """Count an accepted order and its effect."""
        advances = not done or isinstance(order, UnloadAdapter)
        if advances:
            self.holdings = attrs.evolve(
                self.holdings, sequence=self.holdings.sequence + 1
            )
        match order:
            case LoadModel(model=model, takes_s=takes_s) if not done:
                self.expected_at = now + takes_s
                self.loading_model = model
                self.successor = ''
                self.ordered_at = now
            case UnloadModel(model=model, successor=successor) if not done:
                self.evicting_model = model
                self.successor = successor
                self.expected_at = now + order.takes_s
                self.ordered_at = now
            case LoadAdapter(model=model, adapter=adapter):
                self._expect_adapter(model, adapter, now)
            case UnloadAdapter(model=model, adapter=adapter):
                self._drop_adapter(model, adapter)
            case _:
                self.successor = ''
                self.check_at = now

    def list_just_arrived(self, now: float) -> set[Target]:
        """Return what came so lately that requests can't have used it."""
        came_at = self._came_at or {}
        return {
            target
            for target, moment in came_at.items()
            if now - moment < _stay_of(target)
        }

    def note_use(self, targets: Iterable[Target], now: float) -> None:
        """Note what is seen to run here."""
        self.last_use.update(dict.fromkeys(targets, now))

    def advance(self, now: float) -> bool:
        """Let time pass; tell whether adapters have arrived."""
        has_arrived = self._settle_arrivals(now)
        self._note_what_came(now)
        return has_arrived

    def _note_what_came(self, now: float) -> None:
        """Note since when it holds what it holds; unknown at the start."""
        is_start = self._came_at is None
        came_at = self._came_at or {}
        self._came_at = {
            target: came_at.get(target, -math.inf if is_start else now)
            for target in _targets_of(self.holdings)
        }
        for target in self._came_at.keys() - came_at.keys():
            self.last_use.setdefault(target, now)
        for target in self.last_use.keys() - self._came_at.keys():
            self.last_use.pop(target)

    def _settle_arrivals(self, now: float) -> bool:
        if (
            self.loading_model or self.evicting_model
        ) and self.check_at is None:
            if now > self.ordered_at + _ORDER_PATIENCE_S:
                self.check_at = now
        ready = [row for row in self._arrivals if row[0] <= now]
        for row in ready:
            self._arrivals.remove(row)
            self._settle_adapter(row[1], row[2])
        return bool(ready)

    def _adopt(self, shown: Holdings) -> None:
        self.holdings = shown
        self._note_at_hand(self.replica.holdings)
        self._arrivals.clear()
        if not shown.is_busy:
            self.loading_model = ''
            self.evicting_model = ''

    def _note_at_hand(self, shown: Holdings) -> None:
        self.holdings = attrs.evolve(
            self.holdings,
            in_memory=shown.in_memory or self.holdings.in_memory,
            on_disk=shown.on_disk or self.holdings.on_disk,
        )

    def _note_loaded(self) -> None:
        models = dict(self.holdings.models)
        models.setdefault(self.loading_model, frozenset())
        self.holdings = attrs.evolve(self.holdings, models=models)
        self.loading_model = ''

    def _note_left(self) -> None:
        models = dict(self.holdings.models)
        models.pop(self.evicting_model, None)
        self.holdings = attrs.evolve(self.holdings, models=models)
        self.evicting_model = ''

    def _expect_adapter(self, model: str, adapter: str, now: float) -> None:
        arriving = self.holdings.arriving | {(model, adapter)}
        self.holdings = attrs.evolve(self.holdings, arriving=arriving)
        self._arrivals.append((now + _ADAPTER_ARRIVAL_S, model, adapter))

    def _settle_adapter(self, model: str, adapter: str) -> None:
        models = dict(self.holdings.models)
        held = models.get(model)
        if held is not None:
            models[model] = held | {adapter}
        self.holdings = attrs.evolve(
            self.holdings,
            models=models,
            arriving=self.holdings.arriving - {(model, adapter)},
        )

    def _drop_adapter(self, model: str, adapter: str) -> None:
        models = dict(self.holdings.models)
        models[model] = models.get(model, frozenset()) - {adapter}
        self.holdings = attrs.evolve(self.holdings, models=models)


def _targets_of(holdings: Holdings) -> Iterator[Target]:
    for model, adapters in holdings.models.items():
        yield model, ''
        for adapter in adapters:
            yield model, adapter


def _stay_of(target: Target) -> float:
    return _ADAPTER_STAY_S if target[1] else _MODEL_STAY_S
