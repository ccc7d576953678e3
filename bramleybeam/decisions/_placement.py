"""Plans which models the upstreams of a shard load and unload."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Final

from bramleybeam.decisions._memory import LOADING, READY
from bramleybeam.decisions._placed import (
    PlacedUpstream,
    PlacementSnapshot,
    PlannedOrder,
)
from bramleybeam.documents import Model

# Share of the limits of a model's copies above which it gets another copy.
_BUSY_SHARE: Final = 0.5


def plan_placement(snapshot: PlacementSnapshot) -> list[PlannedOrder]:
    """Return the orders to send now, most urgent first.

    Home models without a copy are loaded first; if memory is short, surplus
    copies of other models are unloaded for them. Then models whose only copy
    is on an unusable upstream are loaded elsewhere, and busy models get
    further copies. The last ready copy of a model is never unloaded.

    Example::

        for order in plan_placement(snapshot):
            send(order)
    """
    planner = _Planner(snapshot)
    planner.restore_home_models()
    planner.replace_unusable_copies()
    planner.add_copies_of_busy_models()
    return planner.orders


class _Planner:
    """State of one planning round: its orders and what they leave free."""

    def __init__(self, snapshot: PlacementSnapshot) -> None:
        self.orders: list[PlannedOrder] = []
        self._snapshot = snapshot
        self._loads = snapshot.loads
        self._moves = snapshot.moves
        self._free_mb = {
            upstream.name: upstream.free_mb + upstream.adapters_mb
            for upstream in snapshot.upstreams
        }
        self._limits = _collect_limits(snapshot.upstreams)
        self._copies = _count_copies(snapshot.upstreams)
        self._ready = _count_ready(snapshot.upstreams)

    def restore_home_models(self) -> None:
        """Load home models that have no copy.

        Models with the highest demand come first, then the largest.
        """
        missing_models = [
            self._snapshot.models[name]
            for name in self._snapshot.home
            if not self._copies[name]
        ]
        missing_models.sort(
            key=lambda model: (
                -self._snapshot.demand.get(model.name, 0),
                -model.memory_mb,
                model.name,
            )
        )
        for model in missing_models:
            if self._loads <= 0:
                return
            self._place_copy(model, 'no copy in its home zone')

    def replace_unusable_copies(self) -> None:
        """Load models elsewhere whose only copy is on an unusable upstream."""
        unusable = [
            upstream
            for upstream in self._snapshot.upstreams
            if not upstream.usable
        ]
        for upstream in unusable:
            for holding in upstream.holdings:
                model = self._snapshot.models.get(holding.name)
                if model is None or self._has_other_copy(holding.name):
                    continue
                if self._loads > 0:
                    self._place_copy(model, 'its only copy is leaving')

    def add_copies_of_busy_models(self) -> None:
        """Load further copies of models whose copies are busy."""
        ranked = sorted(
            self._snapshot.demand.items(),
            key=lambda pair: (-pair[1], pair[0]),
        )
        for name, demand in ranked:
            model = self._snapshot.models.get(name)
            if model is None or self._moves <= 0 or self._loads <= 0:
                continue
            if self._is_busy(model, demand):
                self._moves -= 1
                self._place_copy(
                    model,
                    f'demand {demand:.1f} in flight',
                    is_move=True,
                )

    def _is_busy(self, model: Model, demand: float) -> bool:
        """Whether demand exceeds the busy share of the limits of all copies.

        Each copy counts with the smallest limit of the upstreams that hold it.
        """
        copies = self._copies[model.name]
        limits = self._limits.get(model.name)
        if not copies or not limits:
            return False
        return demand > _BUSY_SHARE * copies * min(limits)

    def _place_copy(
        self,
        model: Model,
        reason: str,
        *,
        is_move: bool = False,
    ) -> None:
        """Load a model where most memory is free, or unload others first."""
        targets = [
            upstream
            for upstream in self._snapshot.upstreams
            if upstream.usable
            and upstream.pool == model.pool
            and not upstream.holds(model.name)
        ]
        targets.sort(
            key=lambda target: (-self._free_mb[target.name], target.name)
        )
        for upstream in targets:
            if self._free_mb[upstream.name] >= model.memory_mb:
                self._add_order(
                    upstream, 'load', model, reason, is_move=is_move
                )
                return
        for upstream in targets:
            if self._unload_surplus(upstream, model, is_move=is_move):
                return

    def _unload_surplus(
        self,
        upstream: PlacedUpstream,
        model: Model,
        *,
        is_move: bool,
    ) -> bool:
        """Unload surplus models so that a model fits; return if they suffice.

        The model itself is loaded in a later round.
        """
        missing_mb = model.memory_mb - self._free_mb[upstream.name]
        chosen = []
        for surplus in self._surplus_models(upstream):
            if missing_mb <= 0:
                break
            chosen.append(surplus)
            missing_mb -= surplus.memory_mb
        if missing_mb > 0:
            return False
        for surplus in chosen:
            self._ready[surplus.name] -= 1
            self._add_order(
                upstream,
                'unload',
                surplus,
                f'makes room for {model.name}',
                is_move=is_move,
            )
        return True

    def _surplus_models(self, upstream: PlacedUpstream) -> list[Model]:
        surplus = [
            self._snapshot.models[holding.name]
            for holding in upstream.holdings
            if holding.state == READY
            and holding.name in self._snapshot.models
            and self._may_unload(holding.name)
        ]
        surplus.sort(
            key=lambda model: (
                self._snapshot.demand.get(model.name, 0),
                model.name,
            )
        )
        return surplus

    def _may_unload(self, name: str) -> bool:
        """Whether a ready copy of a model remains after one is unloaded.

        A copy in another shard suffices unless this is the model's home.
        """
        if self._is_unload_planned(name):
            return False
        if self._ready[name] > 1:
            return True
        elsewhere = self._snapshot.ready_elsewhere.get(name, 0)
        return name not in self._snapshot.home and elsewhere > 0

    def _is_unload_planned(self, name: str) -> bool:
        return any(
            order.action == 'unload' and order.model == name
            for order in self.orders
        )

    def _has_other_copy(self, name: str) -> bool:
        elsewhere = self._snapshot.ready_elsewhere.get(name, 0)
        return bool(self._copies[name]) or elsewhere > 0

    def _add_order(
        self,
        upstream: PlacedUpstream,
        action: str,
        model: Model,
        reason: str,
        *,
        is_move: bool = False,
    ) -> None:
        if action == 'load':
            self._free_mb[upstream.name] -= model.memory_mb
            self._copies[model.name] += 1
            self._loads -= 1
        self.orders.append(
            PlannedOrder(
                upstream.name,
                action,
                model.name,
                reason,
                model.memory_mb,
                is_move,
            ),
        )


def _count_copies(upstreams: Iterable[PlacedUpstream]) -> Counter[str]:
    """Count copies that are ready or being loaded on usable upstreams."""
    return Counter(
        holding.name
        for upstream in upstreams
        for holding in upstream.holdings
        if upstream.usable and holding.state in {READY, LOADING}
    )


def _count_ready(upstreams: Iterable[PlacedUpstream]) -> Counter[str]:
    return Counter(
        holding.name
        for upstream in upstreams
        for holding in upstream.holdings
        if upstream.usable and holding.state == READY
    )


def _collect_limits(
    upstreams: Iterable[PlacedUpstream],
) -> dict[str, list[int]]:
    """Collect, by model, the limits of the upstreams that hold it."""
    limits: dict[str, list[int]] = defaultdict(list)
    for upstream in upstreams:
        for holding in upstream.holdings:
            limits[holding.name].append(upstream.limit)
    return limits
