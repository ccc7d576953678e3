"""The gateway process: wires its parts, starts them and stops them."""

import asyncio
import random
import time
from collections.abc import Mapping
from http import HTTPStatus
from typing import Final

import attrs
import structlog

from bramleybeam import platform
from bramleybeam.catalog import HostSettings
from bramleybeam.gateway._choose import Chooser
from bramleybeam.gateway._cluster_state import make_cluster_state
from bramleybeam.gateway._directory import OWN_PREFIX, PEER_PREFIX
from bramleybeam.gateway._exchange import PeerExchange
from bramleybeam.gateway._follower import StoreFollower
from bramleybeam.gateway._forward import Forwarder
from bramleybeam.gateway._order_history import OrderHistory
from bramleybeam.gateway._parent import ParentSelector
from bramleybeam.gateway._peer_messages import PeerMessage
from bramleybeam.gateway._peers import PeerPort
from bramleybeam.gateway._planner import Planner
from bramleybeam.gateway._planner_lease import PlannerLease
from bramleybeam.gateway._status import StatusReporter, Traffic
from bramleybeam.gateway._tree import Peer, encode_peer
from bramleybeam.keyvalue import LeaseKeeper
from bramleybeam.relay import (
    CallerConnection,
    CallerServer,
    InboundRequest,
)
from bramleybeam.timers import Coalescer, TaskSet, TimerService

_TICK_S: Final = 0.1
_PLAN_S: Final = 0.05
_IDLE_CHECK_S: Final = 0.5
_LEASE_CHECK_S: Final = 0.1
# How often the planner's word is renewed when nothing changes.
_PUBLISH_S: Final = 0.25
_PEER_TTL_S: Final = 10.0
_PEER_RENEW_S: Final = 3.0
_STATUS_S: Final = 1.0
# How long the balancer takes to leave a gateway that fails its readiness.
_BALANCER_LAG_S: Final = 2.6
# Part of the grace period that is kept for the end of the process.
_EXIT_RESERVE_S: Final = 0.4
_log = structlog.get_logger('gateway')


class GatewayDaemon:
    """One gateway: callers in front, replicas behind, the store beside."""

    def __init__(self, settings: HostSettings, seed: int | None = None) -> None:
        """Wire the parts; ``seed`` makes random choices repeatable."""
        rng = random.Random(seed)
        self._settings = settings
        self._is_stopping = False
        self._traffic = Traffic()
        self._store = platform.PlatformStore(
            settings.store_address, on_call=self._traffic.note_store_call
        )
        cluster_state = make_cluster_state(time.monotonic)
        self._directory = cluster_state.directory
        self._timers = TimerService(rng)
        self._tasks = TaskSet()
        self._chooser = Chooser(cluster_state, settings.zone, rng)
        self._forwarder = Forwarder(settings, cluster_state, self._chooser, rng)
        order_history = OrderHistory(
            settings.bounds.order_pause_s, platform.boot_time
        )
        self._planner = Planner(
            settings.name,
            cluster_state,
            PlannerLease(
                settings, self._store, self._directory, order_history, rng
            ),
            platform.ReplicaOrders(),
            order_history,
            self._announce_orders,
        )
        self._follower = StoreFollower(
            self._store, self._directory, rng, self._is_planner
        )
        self._own = Peer(
            f'{settings.ip_address}:{settings.peer_port}',
            settings.name,
            settings.zone,
            settings.link_bytes_per_s,
        )
        self._peers = PeerPort(
            self._directory, self._own.address, self._hear, self._traffic
        )
        self._coalescer = Coalescer(self._act)
        self._exchange = PeerExchange(
            cluster_state,
            order_history,
            ParentSelector(self._own, self._directory),
            self._peers.send,
            self._coalescer.trigger,
            self._is_planner,
        )
        self._status = StatusReporter(
            self._directory, self._traffic, self._timers.take_lateness
        )
        self._callers = CallerServer(settings.listen, self._forwarder.handle)
        self._readiness = CallerServer(
            settings.readiness_listen, self._answer_readiness
        )
        self._published_at = float('-inf')
        self._directory.on_change.append(self._take_limits)
        cluster_state.demand.pending.on_pending.append(self._coalescer.trigger)
        self._directory.on_change.append(self._plan_on_change)

    @property
    def callers_address(self) -> str:
        """Where callers connect, ``IP:PORT``."""
        return self._callers.address

    @property
    def readiness_address(self) -> str:
        """Where the balancer asks, ``IP:PORT``."""
        return self._readiness.address

    async def start(self) -> None:
        """Open the ports and begin to follow the store."""
        await self._readiness.start()
        await self._callers.start()
        await self._peers.start()
        self._tasks.spawn(self._follower.run())
        name = PEER_PREFIX.removeprefix(OWN_PREFIX) + self._peers.address
        shown = attrs.evolve(self._own, address=self._peers.address)
        listed = LeaseKeeper(
            self._store,
            name,
            encode_peer(shown),
            platform.boot_time,
            _PEER_TTL_S,
        )
        self._timers.subscribe('listing', _PEER_RENEW_S, listed.keep)
        self._timers.subscribe('exchange', _TICK_S, self._tick)
        self._timers.subscribe(
            'lease', _LEASE_CHECK_S, self._planner.keep_lease
        )
        self._timers.subscribe('idle', _IDLE_CHECK_S, self._forwarder.drop_idle)
        self._timers.subscribe('plan', _PLAN_S, self._plan)
        self._timers.subscribe('status', _STATUS_S, self._status.report)
        _log.info(
            'started',
            callers=self._callers.address,
            readiness=self._readiness.address,
        )

    async def shut_down(self) -> None:
        """Leave the balancer, answer what has come, then end."""
        _log.info('stopping', open=len(self._callers.connections))
        self._is_stopping = True
        self._callers.announce_close()
        began = time.monotonic()
        self._tasks.spawn(self._planner.close())
        await asyncio.sleep(_BALANCER_LAG_S)
        self._forwarder.stop()
        spent = time.monotonic() - began
        grace = self._settings.bounds.grace_s - spent - _EXIT_RESERVE_S
        await self._callers.close(max(0, grace))
        await self._readiness.close(0)
        await self._timers.close()
        await self._tasks.close()
        self._peers.close()
        _log.info('stopped', spent_s=round(time.monotonic() - began, 2))

    async def _answer_readiness(
        self,
        request: InboundRequest,
        connection: CallerConnection,
    ) -> None:
        knows = self._directory.is_ready and not self._directory.is_lagging
        ready = knows and not self._is_stopping
        if request.path == platform.READINESS_PATH:
            status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
            connection.respond(status, (), b'')
        else:
            connection.respond(HTTPStatus.NOT_FOUND, (), b'')

    def _take_limits(self) -> None:
        configuration = self._directory.configuration
        if configuration is not None:
            self._callers.limits = configuration.limits

    def _hear(self, message: PeerMessage, sender: str) -> None:
        self._exchange.receive(message, sender)

    def _act(self) -> None:
        """Plan at once, or tell the planner what is wanted."""
        if self._planner.epoch:
            self._tasks.spawn(self._plan())
        else:
            self._exchange.send_pending()

    def _plan_on_change(self) -> None:
        if self._planner.epoch:
            self._coalescer.trigger()

    async def _plan(self) -> None:
        if self._is_stopping:
            return
        await self._planner.plan()
        now = time.monotonic()
        is_due = now - self._published_at >= _PUBLISH_S
        if self._planner.epoch and (
            self._planner.has_unpublished_changes or is_due
        ):
            self._published_at = now
            self._publish()

    def _publish(self) -> None:
        """Tell the planner's placement, here and to the children."""
        self._planner.has_unpublished_changes = False
        placement = self._planner.placement()
        if self._directory.placement.publish(self._planner.epoch, placement):
            self._directory.signal()
            self._exchange.send_changed_rows()

    def _announce_orders(self, ages: Mapping[str, float]) -> None:
        self._exchange.announce_orders(ages)

    def _is_planner(self) -> bool:
        return bool(self._planner.epoch)

    async def _tick(self) -> None:
        self._exchange.tick()
