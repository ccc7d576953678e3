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
_MIN_MODEL_RESIDENCE_S: Final = 2.5
_MIN_ADAPTER_RESIDENCE_S: Final = 1.5
# Time after its expected end at which an order counts as late.
_OVERDUE_MARGIN_S: Final = 1.0
# Time after which a model order that shows no effect is looked into.
_ORDER_CHECK_DELAY_S: Final = 4.0


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
    _arrived_at: dict[Target, float] | None = None

    @property
    def accepts_orders(self) -> bool:
        """Whether an order for a model may be given."""
        is_idle = not (
            self.loading_model or self.evicting_model or self.pending_order
        )
        return is_idle and self.check_at is None

    @property
    def expected_model(self) -> str:
        """The model that is coming, or for which room is made; may be none."""
        ordered_model = (
            incoming_model(self.pending_order) if self.pending_order else ''
        )
        return ordered_model or self.loading_model or self.successor

    def is_overdue(self, now: float) -> bool:
        """Whether the replica should have taken its order's effect by now.

        It is also late when it has to be asked, and may not answer.
        """
        if self.accepts_orders or self.pending_order:
            return False
        return (
            self.check_at is not None
            or now > self.expected_at + _OVERDUE_MARGIN_S
        )

    def update_entry(self, replica: Replica, now: float) -> None:
        """Take in what the replica wrote of itself."""
        previous = self.replica.holdings.models.keys()
        self.replica = replica
        reported = replica.holdings.models.keys()
        if reported == previous or self.pending_order:
            return
        if self.loading_model and self.loading_model in reported:
            self._note_loaded()
        elif self.evicting_model and self.evicting_model not in reported:
            self._note_evicted()
        elif reported != self.holdings.models.keys():
            self.check_at = now
        self._update_cached_models(replica.holdings)

    def update_from_report(self, reported: Holdings, now: float) -> None:
        """Take in a report that was asked for; it may be a little old."""
        if reported.sequence < self.holdings.sequence:
            self.check_at = now + 0.3
            return
        self.check_at = None
        self._replace_holdings(reported)
        if reported.is_busy:
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
        arrived_at = self._arrived_at or {}
        return {
            target
            for target, arrival_time in arrived_at.items()
            if now - arrival_time < _min_residence_s(target)
        }

    def note_use(self, targets: Iterable[Target], now: float) -> None:
        """Note what is seen to run here."""
        self.last_use.update(dict.fromkeys(targets, now))

    def advance(self, now: float) -> bool:
        """Let time pass; tell whether adapters have arrived."""
        has_completed = self._complete_arrivals(now)
        self._record_arrivals(now)
        return has_completed

    def _record_arrivals(self, now: float) -> None:
        """Note since when it holds what it holds; unknown at the start."""
        is_start = self._arrived_at is None
        arrived_at = self._arrived_at or {}
        self._arrived_at = {
            target: arrived_at.get(target, -math.inf if is_start else now)
            for target in _targets_of(self.holdings)
        }
        for target in self._arrived_at.keys() - arrived_at.keys():
            self.last_use.setdefault(target, now)
        for target in self.last_use.keys() - self._arrived_at.keys():
            self.last_use.pop(target)

    def _complete_arrivals(self, now: float) -> bool:
        if (
            self.loading_model or self.evicting_model
        ) and self.check_at is None:
            if now > self.ordered_at + _ORDER_CHECK_DELAY_S:
                self.check_at = now
        ready = [arrival for arrival in self._arrivals if arrival[0] <= now]
        for arrival in ready:
            self._arrivals.remove(arrival)
            self._complete_adapter(arrival[1], arrival[2])
        return bool(ready)

    def _replace_holdings(self, reported: Holdings) -> None:
        self.holdings = reported
        self._update_cached_models(self.replica.holdings)
        self._arrivals.clear()
        if not reported.is_busy:
            self.loading_model = ''
            self.evicting_model = ''

    def _update_cached_models(self, reported: Holdings) -> None:
        self.holdings = attrs.evolve(
            self.holdings,
            in_memory=reported.in_memory or self.holdings.in_memory,
            on_disk=reported.on_disk or self.holdings.on_disk,
        )

    def _note_loaded(self) -> None:
        models = dict(self.holdings.models)
        models.setdefault(self.loading_model, frozenset())
        self.holdings = attrs.evolve(self.holdings, models=models)
        self.loading_model = ''

    def _note_evicted(self) -> None:
        models = dict(self.holdings.models)
        models.pop(self.evicting_model, None)
        self.holdings = attrs.evolve(self.holdings, models=models)
        self.evicting_model = ''

    def _expect_adapter(self, model: str, adapter: str, now: float) -> None:
        arriving = self.holdings.arriving | {(model, adapter)}
        self.holdings = attrs.evolve(self.holdings, arriving=arriving)
        self._arrivals.append((now + _ADAPTER_ARRIVAL_S, model, adapter))

    def _complete_adapter(self, model: str, adapter: str) -> None:
        models = dict(self.holdings.models)
        current_adapters = models.get(model)
        if current_adapters is not None:
            models[model] = current_adapters | {adapter}
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


def _min_residence_s(target: Target) -> float:
    return _MIN_ADAPTER_RESIDENCE_S if target[1] else _MIN_MODEL_RESIDENCE_S
