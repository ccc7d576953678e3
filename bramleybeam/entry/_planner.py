"""Holds planner shards under leases and gives orders to their agents."""

import itertools
import time
from collections import defaultdict
from typing import Final

import attrs
import structlog

from bramleybeam.decisions import (
    LOADING,
    PlannedOrder,
    ShardPlanner,
    ShardView,
    assign_homes,
    count_ready,
    rank_by_hash,
    share_limits,
)
from bramleybeam.documents import ConfigurationKeeper, Document
from bramleybeam.entry._directory import Directory
from bramleybeam.entry._platform import HostList
from bramleybeam.entry._shards import ShardState, list_upstreams
from bramleybeam.keyvalue import KeyValue, LeaseKeeper
from bramleybeam.links import LinkIdentity, LinkLost, Notice
from bramleybeam.messages import (
    ArtifactState,
    Follow,
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
_MILLISECONDS: Final = 1000
_SETTLE_S: Final = 2.0
_KEPT_REASONS: Final = 2000
_log = structlog.get_logger('planner')


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
        hosts: HostList,
    ) -> None:
        """Store what plans are made from and where orders go."""
        self.moves = 0
        self.plan_ms = 0.0
        self.reasons: dict[str, PlannedOrder] = {}
        self._store = store
        self._identity = identity
        self._keeper = keeper
        self._directory = directory
        self._hosts = hosts
        self._shards: dict[str, ShardState] = {}
        self._numbers = itertools.count(1)
        self._homes_basis: tuple[int, dict[tuple[str, str], int]] = (0, {})
        self._known_homes: dict[str, str] = {}

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
                    shard.planner = None
                    shard.unanswered.clear()

    async def plan(self) -> None:
        """Make one round of each shard that is held."""
        document = self._keeper.document
        if document is None:
            return
        begun = time.monotonic()
        for zone, shard in self._shards.items():
            settled = time.monotonic() - shard.held_since > _SETTLE_S
            if shard.lease.epoch is not None and settled:
                await self._plan_shard(zone, shard, document)
        self.plan_ms = (time.monotonic() - begun) * _MILLISECONDS

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
        epoch = shard.lease.epoch
        if epoch is None:
            return
        self._confirm_epoch(zone, epoch)
        planner = self._planner_of(shard, document)
        view = self._make_view(zone, epoch, document)
        for planned in planner.plan(view, time.monotonic()):
            await self._give(zone, shard, planned)
        for order, planned in tuple(shard.unanswered.items()):
            await self._ask(shard, planner, order, planned)

    def _confirm_epoch(self, zone: str, epoch: int) -> None:
        """Let agents that have not confirmed the epoch learn it."""
        for view in self._directory:
            if view.zone != zone or view.report is None or view.link is None:
                continue
            if view.report.epoch < epoch:
                view.link.send(Notice(Topic.FOLLOW, encode(Follow(epoch))))

    async def _give(
        self,
        zone: str,
        shard: ShardState,
        planned: PlannedOrder,
    ) -> None:
        epoch = shard.lease.epoch
        report = self._directory.view(planned.upstream).report
        if epoch is None or report is None or shard.planner is None:
            return
        order = Order(
            order_id=f'{self._identity.incarnation}/{next(self._numbers)}',
            shard=zone,
            epoch=epoch,
            action=planned.action,
            artifact=ArtifactState(
                planned.model,
                'model',
                planned.memory_mb,
                LOADING,
            ),
        )
        now = time.monotonic()
        shard.planner.note_sent(planned, report.incarnation, now)
        await self._ask(shard, shard.planner, order, planned)

    async def _ask(
        self,
        shard: ShardState,
        planner: ShardPlanner,
        order: Order,
        planned: PlannedOrder,
    ) -> None:
        """Ask an agent to take an order, until it has answered."""
        view = self._directory.view(planned.upstream)
        if shard.lease.epoch != order.epoch or view.link is None:
            shard.unanswered[order] = planned
            return
        try:
            reply = await view.link.call(Topic.ORDER, encode(order))
            taken = decode(reply.body, OrderReply)
        except (LinkLost, TimeoutError, MessageError) as error:
            shard.unanswered[order] = planned
            _log.warning(
                'order_unanswered',
                order=order.order_id,
                error=str(error),
            )
            return
        shard.unanswered.pop(order, None)
        version = view.report.version if view.report else 0
        planner.note_answer(planned, version, taken=taken.taken)
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

    def _planner_of(
        self,
        shard: ShardState,
        document: Document,
    ) -> ShardPlanner:
        deployment = document.deployment
        limits = share_limits(
            deployment.loads_per_second,
            deployment.loads_at_once,
            deployment.moves_per_hour,
            len(self._zones()),
        )
        if shard.planner is None:
            shard.planner = ShardPlanner(limits)
        shard.planner.update_limits(limits)
        return shard.planner

    def _make_view(
        self,
        zone: str,
        epoch: int,
        document: Document,
    ) -> ShardView:
        homes = self._homes(document)
        # Of two zones that hold a model only the one whose name sorts later
        # may rely on the other, so that both cannot give up their last copy.
        earlier = {
            view.name: view.report
            for view in self._directory
            if view.zone < zone
            and view.report is not None
            and self._directory.is_usable(view)
        }
        return ShardView(
            epoch=epoch,
            upstreams=tuple(list_upstreams(self._directory, zone, document)),
            models=document.models_by_name,
            home=frozenset(
                model for model, home in homes.items() if home == zone
            ),
            ready_elsewhere=count_ready(earlier),
        )

    def _homes(self, document: Document) -> dict[str, str]:
        capacities: dict[tuple[str, str], int] = defaultdict(int)
        for view in self._directory:
            known = document.upstreams_by_name.get(view.name)
            if known is not None and self._directory.is_usable(view):
                capacities[view.zone, known.pool] += known.accelerator_mb
        basis = self._keeper.revision, dict(capacities)
        if basis != self._homes_basis:
            self._homes_basis = basis
            self._known_homes = assign_homes(document.models, capacities)
        return self._known_homes

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
