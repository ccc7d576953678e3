"""Holds planner shards under leases and gives orders to their agents."""

import itertools
import time
from collections import defaultdict
from typing import Final

import attrs
import structlog

from bramleybeam.decisions import (
    READY,
    PlacedUpstream,
    PlacementSnapshot,
    PlannedOrder,
    assign_homes,
    plan_placement,
    rank_by_hash,
)
from bramleybeam.documents import ConfigurationKeeper, Document
from bramleybeam.entry._connections import Connections
from bramleybeam.entry._directory import Directory, UpstreamView
from bramleybeam.entry._platform import HostList
from bramleybeam.keyvalue import KeyValue, LeaseKeeper, TokenBucket
from bramleybeam.links import LinkIdentity, LinkLost
from bramleybeam.messages import (
    ArtifactState,
    MessageError,
    Order,
    OrderReply,
    Topic,
    decode,
    encode,
)

PLAN_PERIOD_S: Final = 0.5
LEASE_PERIOD_S: Final = 2.0
_CONTENDERS: Final = 2
_SETTLE_S: Final = 2.0
_SECONDS_PER_HOUR: Final = 3600
_KEPT_REASONS: Final = 2000
_DEMAND_SMOOTHING: Final = 0.2
_log = structlog.get_logger('planner')


@attrs.define
class ShardState:
    """What the holder of one shard remembers between rounds."""

    lease: LeaseKeeper
    held_since: float = 0
    loads: TokenBucket | None = None
    moves: TokenBucket | None = None
    demand: dict[str, float] = attrs.field(factory=dict)


class Planner:
    """Plans each availability zone whose lease this entry holds.

    The weight store's limits and the target for moves are divided among the
    zones, so that planners keep to them together without a word.
    """

    def __init__(
        self,
        store: KeyValue,
        identity: LinkIdentity,
        keeper: ConfigurationKeeper,
        directory: Directory,
        connections: Connections,
        hosts: HostList,
    ) -> None:
        """Store what plans are made from and where orders go."""
        self.moves = 0
        self.reasons: dict[str, PlannedOrder] = {}
        self._store = store
        self._identity = identity
        self._keeper = keeper
        self._directory = directory
        self._connections = connections
        self._hosts = hosts
        self._shards: dict[str, ShardState] = {}
        self._numbers = itertools.count(1)

    @property
    def held(self) -> dict[str, int]:
        """Shards that are surely held, with their epochs."""
        return {
            zone: shard.lease.epoch
            for zone, shard in self._shards.items()
            if shard.lease.epoch is not None
        }

    async def renew_leases(self) -> None:
        """Take or renew the lease of each shard that this entry is to hold."""
        if self._identity.leaving:
            return
        for zone in self._zones():
            shard = self._shard(zone)
            if self._is_contender(zone) or shard.lease.epoch is not None:
                held_before = shard.lease.epoch
                await shard.lease.renew()
                if held_before is None and shard.lease.epoch is not None:
                    shard.held_since = time.monotonic()

    async def plan(self) -> None:
        """Make one round of each shard that is held."""
        document = self._keeper.document
        if document is None:
            return
        for zone, shard in self._shards.items():
            settled = time.monotonic() - shard.held_since > _SETTLE_S
            if shard.lease.epoch is not None and settled:
                await self._plan_shard(zone, shard, document)

    async def release(self) -> None:
        """Hand every shard over."""
        for shard in self._shards.values():
            await shard.lease.release()

    async def _plan_shard(
        self,
        zone: str,
        shard: ShardState,
        document: Document,
    ) -> None:
        snapshot = self._make_snapshot(zone, shard, document)
        for planned in plan_placement(snapshot):
            await self._give(zone, shard, document, planned)

    async def _give(
        self,
        zone: str,
        shard: ShardState,
        document: Document,
        planned: PlannedOrder,
    ) -> None:
        epoch = shard.lease.epoch
        view = self._directory.view(planned.upstream)
        if epoch is None or view.link is None:
            return
        if planned.action == 'load' and not self._may_load(shard):
            return
        model = document.models_by_name[planned.model]
        order = Order(
            order_id=f'{self._identity.incarnation}/{next(self._numbers)}',
            shard=zone,
            epoch=epoch,
            action=planned.action,
            artifact=ArtifactState(
                model.name,
                'model',
                model.memory_mb,
                'loading',
            ),
        )
        try:
            reply = await view.link.call(Topic.ORDER, encode(order))
            taken = decode(reply.body, OrderReply)
        except (LinkLost, TimeoutError, MessageError) as error:
            _log.warning(
                'order_unanswered', order=order.order_id, error=str(error)
            )
            return
        self._note(order, planned, taken)

    def _note(
        self,
        order: Order,
        planned: PlannedOrder,
        reply: OrderReply,
    ) -> None:
        self.moves += int(reply.taken)
        self.reasons[planned.model] = planned
        if len(self.reasons) > _KEPT_REASONS:
            self.reasons.pop(next(iter(self.reasons)))
        _log.info(
            'order_given',
            order=order.order_id,
            epoch=order.epoch,
            taken=reply.taken,
            refusal=reply.reason,
            **attrs.asdict(planned),
        )

    def _may_load(self, shard: ShardState) -> bool:
        return shard.loads is not None and shard.loads.take(time.monotonic())

    def _make_snapshot(
        self,
        zone: str,
        shard: ShardState,
        document: Document,
    ) -> PlacementSnapshot:
        self._set_budgets(shard, document)
        in_zone = [view for view in self._directory if view.zone == zone]
        views = [view for view in in_zone if self._is_engine(view, document)]
        now = time.monotonic()
        loading = sum(
            artifact.state == 'loading' and artifact.kind == 'model'
            for view in views
            if view.report is not None
            for artifact in view.report.artifacts
        )
        at_once = self._share(document.deployment.loads_at_once)
        homes = self._homes(document)
        return PlacementSnapshot(
            upstreams=tuple(self._placed(view, document) for view in views),
            models=document.models_by_name,
            home=frozenset(
                model for model, home in homes.items() if home == zone
            ),
            demand=self._demand(shard, views),
            ready_elsewhere=self._count_elsewhere(zone),
            loads=max(0, at_once - loading),
            moves=int(shard.moves is not None and shard.moves.take(now)),
        )

    def _placed(self, view: UpstreamView, document: Document) -> PlacedUpstream:
        report = view.report
        known = document.upstreams_by_name[view.name]
        if report is None:
            return PlacedUpstream(view.name, known.pool, 0, 0, usable=False)
        capacity_mb = report.capacity_mb
        if known.accelerator_mb:
            capacity_mb = min(capacity_mb, known.accelerator_mb)
        usable = self._directory.is_usable(view) and report.settled
        return PlacedUpstream(
            name=view.name,
            pool=known.pool,
            capacity_mb=capacity_mb,
            limit=report.limit,
            usable=usable,
            holdings=report.artifacts,
        )

    def _homes(self, document: Document) -> dict[str, str]:
        capacities: dict[tuple[str, str], int] = defaultdict(int)
        for view in self._directory:
            known = document.upstreams_by_name.get(view.name)
            if known is not None and self._directory.is_usable(view):
                capacities[view.zone, known.pool] += known.accelerator_mb
        return assign_homes(document.models, capacities)

    def _demand(
        self,
        shard: ShardState,
        views: list[UpstreamView],
    ) -> dict[str, float]:
        seen: dict[str, float] = defaultdict(float)
        for view in views:
            if view.report is None:
                continue
            models = [
                artifact.name
                for artifact in view.report.artifacts
                if artifact.kind == 'model' and artifact.state == READY
            ]
            arrivals = view.report.arrivals
            total = sum(arrivals.get(name, 0) for name in models) or 1
            for name in models:
                share = arrivals.get(name, 0) / total
                seen[name] += view.report.in_flight * share
        names = {*seen, *shard.demand}
        for name in names:
            known = shard.demand.get(name, 0)
            change = seen.get(name, 0) - known
            shard.demand[name] = known + _DEMAND_SMOOTHING * change
        return dict(shard.demand)

    def _count_elsewhere(self, zone: str) -> dict[str, int]:
        counts: dict[str, int] = defaultdict(int)
        for view in self._directory:
            if view.zone == zone or not self._directory.is_usable(view):
                continue
            if view.report is not None:
                for artifact in view.report.artifacts:
                    counts[artifact.name] += int(artifact.state == READY)
        return counts

    def _set_budgets(self, shard: ShardState, document: Document) -> None:
        deployment = document.deployment
        zones = max(1, len(self._zones()))
        load_rate = deployment.loads_per_second / zones
        if shard.loads is None or shard.loads.rate != load_rate:
            shard.loads = TokenBucket(load_rate, 1)
        move_rate = deployment.moves_per_hour / _SECONDS_PER_HOUR / zones
        if shard.moves is None or shard.moves.rate != max(move_rate, 1e-9):
            shard.moves = TokenBucket(max(move_rate, 1e-9), 1)

    def _share(self, limit: int) -> int:
        return max(1, limit // max(1, len(self._zones())))

    def _shard(self, zone: str) -> ShardState:
        shard = self._shards.get(zone)
        if shard is None:
            lease = LeaseKeeper(
                self._store,
                f'planner/{zone}',
                self._identity.incarnation,
            )
            shard = ShardState(lease)
            self._shards[zone] = shard
        return shard

    def _zones(self) -> list[str]:
        return sorted(
            {host.zone for host in self._hosts.hosts if host.upstream}
        )

    def _is_contender(self, zone: str) -> bool:
        entries = self._hosts.live_entries()
        return (
            self._identity.process in rank_by_hash(zone, entries)[:_CONTENDERS]
        )

    def _is_engine(self, view: UpstreamView, document: Document) -> bool:
        known = document.upstreams_by_name.get(view.name)
        return known is not None and known.kind == 'engine'
