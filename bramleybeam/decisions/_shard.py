"""Plans one availability zone from its agents' reports, free of I/O."""

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
_DEMAND_SMOOTHING: Final = 0.2
_MIN_RATE: Final = 1e-9


@attrs.frozen
class ShardLimits:
    """This shard's share of the weight store and of the moves' target."""

    loads_per_second: float
    loads_at_once: int
    moves_per_hour: float


@attrs.frozen
class ShardUpstream:
    """An upstream of the shard: what the document and its agent say.

    ``open`` says that it is connected, healthy and not leaving.
    """

    name: str
    pool: str
    accelerator_mb: int
    open: bool
    report: Report | None


@attrs.frozen
class ShardView:
    """All that a round of the shard's planner sees."""

    epoch: int
    upstreams: tuple[ShardUpstream, ...]
    models: Mapping[str, Model]
    home: frozenset[str]
    ready_elsewhere: Mapping[str, int]


@attrs.define
class _Pending:
    """An order that the reports do not show yet."""

    planned: PlannedOrder
    incarnation: str
    answered_at_version: int | None = None


class ShardPlanner:
    """Remembers between rounds what reports do not show yet.

    An order counts as carried out from the moment that it is given: until a
    report shows its effect, or its agent refused it, or that agent is gone.
    Only upstreams whose agents have confirmed this planner's epoch take part:
    from their confirming report on no older planner can change them.
    """

    def __init__(self, limits: ShardLimits) -> None:
        """Start with full budgets and nothing pending."""
        self._limits = limits
        self._loads = TokenBucket(limits.loads_per_second, 1)
        self._moves = TokenBucket(_move_rate(limits), _move_burst(limits))
        self._pending: dict[tuple[str, str], _Pending] = {}
        self._demand: dict[str, float] = {}

    @property
    def demand(self) -> Mapping[str, float]:
        """Smoothed number of requests in flight by model."""
        return self._demand

    def limit(self, limits: ShardLimits) -> None:
        """Take in changed limits; what is pending stays."""
        self._limits = limits
        self._loads.rate = limits.loads_per_second
        self._moves.rate = _move_rate(limits)
        self._moves.burst = _move_burst(limits)

    def plan(self, view: ShardView, now: float) -> list[PlannedOrder]:
        """Return the orders to give now, at ``now`` seconds."""
        self._observe(view)
        upstreams = tuple(
            self._place(upstream, view.epoch) for upstream in view.upstreams
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
            loads=min(free_slots, int(self._loads.level(now))),
            moves=int(self._moves.level(now)),
        )
        return [
            planned
            for planned in plan_placement(snapshot)
            if self.may_order(planned)
        ]

    def may_order(self, planned: PlannedOrder) -> bool:
        """Whether no unanswered order for the same artifact is on its way.

        Such an order could still arrive after the new one and undo it.
        """
        pending = self._pending.get((planned.upstream, planned.model))
        return pending is None or pending.answered_at_version is not None

    def note_given(
        self,
        planned: PlannedOrder,
        incarnation: str,
        now: float,
    ) -> None:
        """Count an order as carried out before its agent has answered."""
        if planned.action == 'load':
            self._loads.take(now)
        if planned.is_move:
            self._moves.take(now)
        key = planned.upstream, planned.model
        self._pending[key] = _Pending(planned, incarnation)

    def note_answer(
        self,
        planned: PlannedOrder,
        version: int,
        *,
        taken: bool,
    ) -> None:
        """Take in the agent's answer, given after report ``version``."""
        key = planned.upstream, planned.model
        pending = self._pending.get(key)
        if not taken:
            self._pending.pop(key, None)
        elif pending is not None:
            pending.answered_at_version = version

    def _observe(self, view: ShardView) -> None:
        running: dict[str, float] = defaultdict(float)
        for upstream in view.upstreams:
            if upstream.report is None:
                continue
            for model, count in upstream.report.running.items():
                running[model] += count
            self._settle_pending(upstream.name, upstream.report)
        names = {*running, *self._demand}
        for name in names:
            known = self._demand.get(name, 0)
            change = running.get(name, 0) - known
            self._demand[name] = known + _DEMAND_SMOOTHING * change

    def _settle_pending(self, upstream: str, report: Report) -> None:
        for key, pending in tuple(self._pending.items()):
            if key[0] != upstream:
                continue
            version = pending.answered_at_version
            is_shown = version is not None and report.version > version
            if is_shown or report.incarnation != pending.incarnation:
                self._pending.pop(key)

    def _place(self, upstream: ShardUpstream, epoch: int) -> PlacedUpstream:
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
            usable=upstream.open and is_confirmed,
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
            known = holdings.get(model)
            if pending.planned.action == 'unload' and known is not None:
                holdings[model] = attrs.evolve(known, state=DRAINING)
            elif pending.planned.action == 'load' and known is None:
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
    """Divide a deployment's limits among its shards."""
    count = max(1, shards)
    return ShardLimits(
        loads_per_second / count,
        max(1, loads_at_once // count),
        moves_per_hour / count,
    )


def count_ready(reports: Mapping[str, Report]) -> dict[str, int]:
    """Count ready copies by model over some upstreams."""
    counts: dict[str, int] = defaultdict(int)
    for report in reports.values():
        for artifact in report.artifacts:
            counts[artifact.name] += int(artifact.state == READY)
    return counts
