"""Plans one availability zone from its agents' reports, without I/O.

A shard is the part of the deployment in one availability zone.
"""

from collections import defaultdict
from collections.abc import Mapping
from typing import Final

import attrs

from bramleybeam.decisions._buckets import TokenBucket
from bramleybeam.decisions._memory import DRAINING, LOADING, READY
from bramleybeam.decisions._placed import (
    PlacedUpstream,
    PlacementSnapshot,
    PlannedOrder,
)
from bramleybeam.decisions._placement import plan_placement
from bramleybeam.documents import Model
from bramleybeam.messages import ArtifactState, Report

_SECONDS_PER_HOUR: Final = 3600
# Weight of the latest planning round in the exponential moving average of the
# demand, which is the number of requests in flight.
_DEMAND_SMOOTHING: Final = 0.2
# Moves per second that replace 0, because a token bucket divides by its rate.
_MIN_RATE: Final = 1e-9


@attrs.frozen
class ShardLimits:
    """A shard's share of the deployment's limits on loads and moves."""

    loads_per_second: float
    loads_at_once: int
    moves_per_hour: float


@attrs.frozen
class ShardUpstream:
    """An upstream of the shard, from the document and its agent's report.

    ``is_available`` is whether it is connected, healthy and not leaving.
    ``accelerator_mb`` is its memory in MB according to the document, 0 for no
    limit. ``report`` is the last report, ``None`` if there is none yet.
    """

    name: str
    pool: str
    accelerator_mb: int
    is_available: bool
    report: Report | None


@attrs.frozen
class ShardView:
    """Input of a round of the shard's planner.

    ``epoch`` is the planner's epoch, ``home`` the models that the shard keeps
    reachable, and ``ready_elsewhere`` the number of ready copies by model in
    other shards.
    """

    epoch: int
    upstreams: tuple[ShardUpstream, ...]
    models: Mapping[str, Model]
    home: frozenset[str]
    ready_elsewhere: Mapping[str, int]


@attrs.define
class _PendingOrder:
    """An order whose effect is not reported yet.

    ``answered_at_version`` is the version of the last report before the
    agent accepted the order, ``None`` until it answers.
    """

    planned: PlannedOrder
    incarnation: str
    answered_at_version: int | None = None


class ShardPlanner:
    """Plans the orders of a shard and tracks those not yet reported.

    An order counts as carried out as soon as it is sent, until a report shows
    its effect, the agent refuses it, or the agent's incarnation changes. Only
    upstreams whose agents have confirmed this planner's epoch get orders: from
    that report on, no older planner can change them.
    """

    def __init__(self, limits: ShardLimits) -> None:
        """Start with full budgets and without pending orders."""
        self._limits = limits
        self._load_budget = TokenBucket(limits.loads_per_second, 1)
        self._move_budget = TokenBucket(_move_rate(limits), _move_burst(limits))
        self._pending: dict[tuple[str, str], _PendingOrder] = {}
        self._demand: dict[str, float] = {}

    @property
    def demand(self) -> Mapping[str, float]:
        """Smoothed number of requests in flight by model."""
        return self._demand

    def update_limits(self, limits: ShardLimits) -> None:
        """Replace the limits; pending orders and the levels are kept."""
        self._limits = limits
        self._load_budget.rate = limits.loads_per_second
        self._move_budget.rate = _move_rate(limits)
        self._move_budget.burst = _move_burst(limits)

    def plan(self, view: ShardView, now: float) -> list[PlannedOrder]:
        """Return the orders to send at ``now`` seconds."""
        self._update_from_reports(view)
        upstreams = tuple(
            self._to_placed_upstream(upstream, view.epoch)
            for upstream in view.upstreams
        )
        loading = sum(
            holding.state == LOADING and holding.kind == 'model'
            for upstream in upstreams
            for holding in upstream.holdings
        )
        free_slots = max(0, self._limits.loads_at_once - loading)
        snapshot = PlacementSnapshot(
            upstreams=upstreams,
            models=view.models,
            home=view.home,
            demand=self._demand,
            ready_elsewhere=view.ready_elsewhere,
            loads=min(free_slots, int(self._load_budget.level(now))),
            moves=int(self._move_budget.level(now)),
        )
        return [
            planned
            for planned in plan_placement(snapshot)
            if self.may_order(planned)
        ]

    def may_order(self, planned: PlannedOrder) -> bool:
        """Whether there is no unanswered order for the same artifact.

        Such an order could still arrive after the new one and undo it.
        """
        pending = self._pending.get((planned.upstream, planned.model))
        return pending is None or pending.answered_at_version is not None

    def note_sent(
        self,
        planned: PlannedOrder,
        incarnation: str,
        now: float,
    ) -> None:
        """Count an order as carried out from the time that it is sent."""
        if planned.action == 'load':
            self._load_budget.take(now)
        if planned.is_move:
            self._move_budget.take(now)
        key = planned.upstream, planned.model
        self._pending[key] = _PendingOrder(planned, incarnation)

    def note_answer(
        self,
        planned: PlannedOrder,
        version: int,
        *,
        taken: bool,
    ) -> None:
        """Record the agent's answer, sent after its report ``version``.

        ``taken`` is whether the agent accepted the order.
        """
        key = planned.upstream, planned.model
        pending = self._pending.get(key)
        if not taken:
            self._pending.pop(key, None)
        elif pending is not None:
            pending.answered_at_version = version

    def _update_from_reports(self, view: ShardView) -> None:
        running: dict[str, float] = defaultdict(float)
        for upstream in view.upstreams:
            if upstream.report is None:
                continue
            for model, count in upstream.report.running.items():
                running[model] += count
            self._drop_reported_orders(upstream.name, upstream.report)
        names = {*running, *self._demand}
        for name in names:
            current = self._demand.get(name, 0)
            change = running.get(name, 0) - current
            self._demand[name] = current + _DEMAND_SMOOTHING * change

    def _drop_reported_orders(self, upstream: str, report: Report) -> None:
        for key, pending in tuple(self._pending.items()):
            if key[0] != upstream:
                continue
            version = pending.answered_at_version
            is_reported = version is not None and report.version > version
            if is_reported or report.incarnation != pending.incarnation:
                self._pending.pop(key)

    def _to_placed_upstream(
        self, upstream: ShardUpstream, epoch: int
    ) -> PlacedUpstream:
        report = upstream.report
        if report is None:
            return PlacedUpstream(
                upstream.name, upstream.pool, 0, 0, usable=False
            )
        capacity_mb = report.capacity_mb
        if upstream.accelerator_mb:
            capacity_mb = min(capacity_mb, upstream.accelerator_mb)
        is_confirmed = report.settled and report.epoch >= epoch
        return PlacedUpstream(
            name=upstream.name,
            pool=upstream.pool,
            capacity_mb=capacity_mb,
            limit=report.limit,
            usable=upstream.is_available and is_confirmed,
            holdings=self._apply_pending(upstream.name, report.artifacts),
        )

    def _apply_pending(
        self,
        upstream: str,
        artifacts: tuple[ArtifactState, ...],
    ) -> tuple[ArtifactState, ...]:
        holdings = {artifact.name: artifact for artifact in artifacts}
        for (name, model), pending in self._pending.items():
            if name != upstream:
                continue
            current = holdings.get(model)
            if pending.planned.action == 'unload' and current is not None:
                holdings[model] = attrs.evolve(current, state=DRAINING)
            elif pending.planned.action == 'load' and current is None:
                holdings[model] = ArtifactState(
                    model,
                    'model',
                    pending.planned.memory_mb,
                    LOADING,
                )
        return tuple(holdings.values())


def _move_rate(limits: ShardLimits) -> float:
    return max(limits.moves_per_hour / _SECONDS_PER_HOUR, _MIN_RATE)


def _move_burst(limits: ShardLimits) -> int:
    return int(limits.moves_per_hour > 0)


def share_limits(
    loads_per_second: float,
    loads_at_once: int,
    moves_per_hour: float,
    shards: int,
) -> ShardLimits:
    """Return each shard's share of a deployment's limits."""
    count = max(1, shards)
    return ShardLimits(
        loads_per_second / count,
        max(1, loads_at_once // count),
        moves_per_hour / count,
    )


def count_ready(reports: Mapping[str, Report]) -> dict[str, int]:
    """Return the number of ready copies by artifact name.

    ``reports`` holds the last report of each upstream.
    """
    counts: dict[str, int] = defaultdict(int)
    for report in reports.values():
        for artifact in report.artifacts:
            counts[artifact.name] += int(artifact.state == READY)
    return counts
