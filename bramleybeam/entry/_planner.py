"""Plans shards whose leases this entry holds; sends orders to agents.

A shard is the set of upstreams of an availability zone.
"""

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
from bramleybeam.entry._host_list import HostList
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
# Number of entries that try to take the lease of a zone.
_LEASE_CANDIDATES_PER_ZONE: Final = 2
_MS_PER_S: Final = 1000
# Time between taking a lease and the first planning round.
_LEASE_SETTLE_S: Final = 2.0
# Number of models whose last order is kept for ``ctl explain``.
_MAX_LAST_ORDERS: Final = 2000
_log = structlog.get_logger('planner')


class Planner:
    """Plans each availability zone whose lease this entry holds.

    The limits of the weight store and of the number of moves are divided
    among the zones, so that the planners together stay within them without
    communicating. ``moves`` counts the orders that agents accepted,
    ``plan_ms`` is the duration of the last round in milliseconds, and
    ``last_orders`` holds the last order for each model.
    """

    def __init__(
        self,
        store: KeyValue,
        identity: LinkIdentity,
        keeper: ConfigurationKeeper,
        directory: Directory,
        hosts: HostList,
    ) -> None:
        """Store the sources of the plans and the recipients of the orders."""
        self.moves = 0
        self.plan_ms = 0.0
        self.last_orders: dict[str, PlannedOrder] = {}
        self._store = store
        self._identity = identity
        self._keeper = keeper
        self._directory = directory
        self._hosts = hosts
        self._shards: dict[str, ShardState] = {}
        self._order_ids = itertools.count(1)
        self._homes_inputs: tuple[int, dict[tuple[str, str], int]] = (0, {})
        self._cached_homes: dict[str, str] = {}

    @property
    def held_shards(self) -> dict[str, int]:
        """Epochs of the leases that are certainly held, by zone."""
        return {
            zone: shard.lease.epoch
            for zone, shard in self._shards.items()
            if shard.lease.epoch is not None
        }

    async def renew_leases(self) -> None:
        """Renew the leases held and take those that this entry may take.

        A shard whose lease is newly taken starts with a new planner and no
        unanswered orders.
        """
        if self._identity.leaving:
            return
        for zone in self._list_zones():
            shard = self._get_shard(zone)
            if self._is_lease_candidate(zone) or shard.lease.epoch is not None:
                previous_epoch = shard.lease.epoch
                await shard.lease.renew()
                if previous_epoch is None and shard.lease.epoch is not None:
                    shard.held_since = time.monotonic()
                    shard.planner = None
                    shard.unanswered.clear()

    async def plan(self) -> None:
        """Run one planning round for each shard that is held."""
        document = self._keeper.document
        if document is None:
            return
        started_at = time.monotonic()
        for zone, shard in self._shards.items():
            is_settled = time.monotonic() - shard.held_since > _LEASE_SETTLE_S
            if shard.lease.epoch is not None and is_settled:
                await self._plan_shard(zone, shard, document)
        self.plan_ms = (time.monotonic() - started_at) * _MS_PER_S

    async def release(self) -> None:
        """Release the leases of all shards."""
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
        self._announce_epoch(zone, epoch)
        planner = self._get_planner(shard, document)
        view = self._make_view(zone, epoch, document)
        for planned in planner.plan(view, time.monotonic()):
            await self._send_order(zone, shard, planned)
        for order, planned in tuple(shard.unanswered.items()):
            await self._submit_order(shard, planner, order, planned)

    def _announce_epoch(self, zone: str, epoch: int) -> None:
        """Send the epoch to agents of a zone that have not confirmed it."""
        for view in self._directory:
            if view.zone != zone or view.report is None or view.link is None:
                continue
            if view.report.epoch < epoch:
                view.link.send(Notice(Topic.FOLLOW, encode(Follow(epoch))))

    async def _send_order(
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
            order_id=f'{self._identity.incarnation}/{next(self._order_ids)}',
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
        await self._submit_order(shard, shard.planner, order, planned)

    async def _submit_order(
        self,
        shard: ShardState,
        planner: ShardPlanner,
        order: Order,
        planned: PlannedOrder,
    ) -> None:
        """Send an order to its agent; keep it for the next round on failure."""
        view = self._directory.view(planned.upstream)
        if shard.lease.epoch != order.epoch or view.link is None:
            shard.unanswered[order] = planned
            return
        try:
            reply = await view.link.call(Topic.ORDER, encode(order))
            order_reply = decode(reply.body, OrderReply)
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
        planner.note_answer(planned, version, taken=order_reply.taken)
        self._record_order(order, planned, order_reply)

    def _record_order(
        self,
        order: Order,
        planned: PlannedOrder,
        reply: OrderReply,
    ) -> None:
        self.moves += int(reply.taken)
        self.last_orders[planned.model] = planned
        if len(self.last_orders) > _MAX_LAST_ORDERS:
            self.last_orders.pop(next(iter(self.last_orders)))
        _log.info(
            'order_given',
            order=order.order_id,
            epoch=order.epoch,
            taken=reply.taken,
            refusal=reply.reason,
            **attrs.asdict(planned),
        )

    def _get_planner(
        self,
        shard: ShardState,
        document: Document,
    ) -> ShardPlanner:
        deployment = document.deployment
        limits = share_limits(
            deployment.loads_per_second,
            deployment.loads_at_once,
            deployment.moves_per_hour,
            len(self._list_zones()),
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
        homes = self._get_homes(document)
        # When two zones hold a model, only the zone whose name sorts later
        # counts the copy in the other; otherwise both could unload their last
        # copy at the same time.
        earlier_reports = {
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
            ready_elsewhere=count_ready(earlier_reports),
        )

    def _get_homes(self, document: Document) -> dict[str, str]:
        capacities: dict[tuple[str, str], int] = defaultdict(int)
        for view in self._directory:
            configured = document.upstreams_by_name.get(view.name)
            if configured is not None and self._directory.is_usable(view):
                capacities[view.zone, configured.pool] += (
                    configured.accelerator_mb
                )
        inputs = self._keeper.revision, dict(capacities)
        if inputs != self._homes_inputs:
            self._homes_inputs = inputs
            self._cached_homes = assign_homes(document.models, capacities)
        return self._cached_homes

    def _get_shard(self, zone: str) -> ShardState:
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

    def _list_zones(self) -> list[str]:
        return sorted(
            {host.zone for host in self._hosts.hosts if host.upstream}
        )

    def _is_lease_candidate(self, zone: str) -> bool:
        entries = self._hosts.live_entries()
        return (
            self._identity.process
            in rank_by_hash(zone, entries)[:_LEASE_CANDIDATES_PER_ZONE]
        )
