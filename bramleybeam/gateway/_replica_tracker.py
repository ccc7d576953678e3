"""The planner's view of one replica, updated by its orders and reports.

Every order carries the sequence number that it expects, so that a replica only
runs it in the state for which it was planned: an order that arrives late or
twice is refused. The tracker follows the replica's sequence number.
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

# Time in seconds after which most replicas have loaded an adapter.
_ADAPTER_ARRIVAL_S: Final = 0.04
# Least time in seconds for which a loaded target stays, so that the gateways
# learn of it and the requests for which it was loaded can use it.
_MIN_MODEL_RESIDENCE_S: Final = 2.5
_MIN_ADAPTER_RESIDENCE_S: Final = 1.5
# Time in seconds after its expected effect at which an order is overdue.
_OVERDUE_MARGIN_S: Final = 1.0
# Time in seconds after which the replica is queried if an order that loads or
# unloads a model has not shown any effect.
_ORDER_CHECK_DELAY_S: Final = 4.0


@attrs.define
class ReplicaTracker:
    """The state of one incarnation of a replica; times are in seconds.

    ``loading_model``, ``evicting_model`` and ``successor`` are the models that
    it loads, unloads, and is to load after the unload; empty for none.
    ``ordered_at`` is the time of the last order that loads or unloads a model,
    ``expected_at`` the time at which the model to be loaded is expected.
    ``pending_order`` is the order that is being sent. ``check_at`` is the time
    at which the replica has to be queried before further orders may be sent,
    ``None`` if its state is known. ``last_use`` is the time at which each
    target arrived or a request for it last ran.
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
        """Whether an order may be sent.

        No order is being sent, no model is being loaded or unloaded, and the
        state of the replica is known.
        """
        is_idle = not (
            self.loading_model or self.evicting_model or self.pending_order
        )
        return is_idle and self.check_at is None

    @property
    def expected_model(self) -> str:
        """The model being loaded or to be loaded after an unload, or empty."""
        ordered_model = (
            incoming_model(self.pending_order) if self.pending_order else ''
        )
        return ordered_model or self.loading_model or self.successor

    def is_overdue(self, now: float) -> bool:
        """Whether an order should have taken effect by now.

        A replica that has to be queried is overdue too, because it may not
        answer.
        """
        if self.accepts_orders or self.pending_order:
            return False
        return (
            self.check_at is not None
            or now > self.expected_at + _OVERDUE_MARGIN_S
        )

    def update_entry(self, replica: Replica, now: float) -> None:
        """Update from the replica's entry in the store.

        A change of models that no order explains causes a query.
        """
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
        """Update from the answer to a query.

        An answer from before the last order is ignored, and the replica is
        queried again after 0.3 s; a busy replica after 0.5 s.
        """
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
        """Record an accepted order, its sequence number and its effect.

        ``done`` is whether the order had taken effect when it was answered.
        """
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
        """Return the targets that arrived too recently to have been used."""
        arrived_at = self._arrived_at or {}
        return {
            target
            for target, arrival_time in arrived_at.items()
            if now - arrival_time < _min_residence_s(target)
        }

    def note_use(self, targets: Iterable[Target], now: float) -> None:
        """Record targets for which requests are running."""
        self.last_use.update(dict.fromkeys(targets, now))

    def advance(self, now: float) -> bool:
        """Update to the time ``now``; return whether any adapter arrived."""
        has_completed = self._complete_arrivals(now)
        self._record_arrivals(now)
        return has_completed

    def _record_arrivals(self, now: float) -> None:
        """Record the arrival times of targets; at the start they are unknown.

        Unknown times count as long ago. An arrival also counts as a use.
        """
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
        """Add the adapters that have arrived by now; return if any has.

        An order without an effect for too long causes a query.
        """
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
    """Return the models, with an empty adapter, and their adapters."""
    for model, adapters in holdings.models.items():
        yield model, ''
        for adapter in adapters:
            yield model, adapter


def _min_residence_s(target: Target) -> float:
    return _MIN_ADAPTER_RESIDENCE_S if target[1] else _MIN_MODEL_RESIDENCE_S
