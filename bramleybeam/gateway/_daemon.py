"""The gateway process: wires its parts, starts them and stops them."""

import asyncio
import random
import time
from http import HTTPStatus
from typing import Final

import structlog

from bramleybeam import platform
from bramleybeam.catalog import HostSettings
from bramleybeam.gateway._choose import Chooser
from bramleybeam.gateway._directory import OWN_PREFIX, PEER_PREFIX
from bramleybeam.gateway._follower import StoreFollower
from bramleybeam.gateway._forward import Forwarder
from bramleybeam.gateway._knowledge import make_knowledge
from bramleybeam.gateway._order_times import OrderTimes
from bramleybeam.gateway._peers import Beat, PeerLink
from bramleybeam.gateway._planner import Planner
from bramleybeam.gateway._planner_lease import PlannerLease
from bramleybeam.gateway._status import StatusReporter, Traffic
from bramleybeam.keyvalue import LeaseKeeper
from bramleybeam.relay import (
    CallerConnection,
    CallerServer,
    InboundRequest,
)
from bramleybeam.timers import Nudge, TaskSet, TimerService

_BEAT_S: Final = 0.2
_PLAN_S: Final = 0.05
_IDLE_CHECK_S: Final = 0.5
_LEASE_CHECK_S: Final = 0.1
_PLACEMENT_EVERY_S: Final = 1.0
_PLACEMENT_VALID_S: Final = 2.5
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
        knowledge = make_knowledge(time.monotonic)
        self._directory = knowledge.directory
        self._loads = knowledge.loads
        self._demand = knowledge.demand
        self._timers = TimerService(rng)
        self._tasks = TaskSet()
        self._chooser = Chooser(knowledge, settings.zone, rng)
        self._forwarder = Forwarder(settings, knowledge, self._chooser, rng)
        order_times = OrderTimes(
            settings.bounds.order_pause_s, platform.boot_time
        )
        self._planner = Planner(
            settings.name,
            knowledge,
            PlannerLease(
                settings, self._store, self._directory, order_times, rng
            ),
            platform.ReplicaOrders(),
            order_times,
            self._announce_orders,
        )
        self._follower = StoreFollower(self._store, self._directory, rng)
        self._peers = PeerLink(
            self._directory,
            f'{settings.ip_address}:{settings.peer_port}',
            self._hear,
            self._planner.order_times.hear,
            self._traffic,
        )
        self._status = StatusReporter(
            self._directory, self._traffic, self._timers.take_lateness
        )
        self._callers = CallerServer(settings.listen, self._forwarder.handle)
        self._readiness = CallerServer(
            settings.readiness_listen, self._answer_readiness
        )
        self._placement_told_at = float('-inf')
        self._directory.on_change.append(self._take_limits)
        self._nudge = Nudge(self._act)
        self._demand.on_want.append(self._nudge.fire)
        self._directory.on_change.append(self._nudge.fire)

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
        listed = LeaseKeeper(
            self._store,
            name,
            self._peers.address,
            platform.boot_time,
            _PEER_TTL_S,
        )
        self._timers.subscribe('listing', _PEER_RENEW_S, listed.keep)
        self._timers.subscribe('beat', _BEAT_S, self._send_beat)
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
        ready = self._directory.is_ready and not self._is_stopping
        if request.path == platform.READINESS_PATH:
            status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
            connection.respond(status, (), b'')
        else:
            connection.respond(HTTPStatus.NOT_FOUND, (), b'')

    def _take_limits(self) -> None:
        configuration = self._directory.configuration
        if configuration is not None:
            self._callers.limits = configuration.limits

    def _act(self) -> None:
        """Plan at once, or tell the planner what is wanted."""
        if self._planner.epoch:
            self._tasks.spawn(self._plan())
        elif self._demand.has_waiting:
            self._tasks.spawn(self._send_beat())

    async def _plan(self) -> None:
        if self._is_stopping:
            return
        await self._planner.plan()
        if self._planner.has_news:
            await self._send_beat()

    def _announce_orders(self) -> None:
        """Tell of the planner's orders; twice, as datagrams get lost."""
        ages = self._planner.order_times.ages()
        if ages:
            self._peers.announce_orders(ages)
            self._peers.announce_orders(ages)

    async def _send_beat(self) -> None:
        now = time.monotonic()
        self._announce_orders()
        epoch = self._planner.epoch
        placement = None
        due = now - self._placement_told_at >= _PLACEMENT_EVERY_S
        if epoch and (due or self._planner.has_news):
            self._placement_told_at = now
            self._planner.has_news = False
            placement = self._planner.placement()
            self._directory.hear_placement(epoch, placement, _PLACEMENT_VALID_S)
        self._peers.send(
            Beat(
                sender=self._peers.address,
                loads=self._loads.own_reports(),
                demand=self._demand.own(now),
                unreachable=self._directory.reach.list_passed_over(),
                epoch=epoch,
                placement=placement,
            ),
        )

    def _hear(self, beat: Beat) -> None:
        now = time.monotonic()
        self._loads.hear(beat.sender, beat.loads, now)
        self._demand.hear(beat.sender, beat.demand, now)
        self._directory.reach.hear(beat.unreachable)
        if beat.demand.waiting and self._planner.epoch:
            self._nudge.fire()
        if beat.placement is not None:
            self._directory.hear_placement(
                beat.epoch, beat.placement, _PLACEMENT_VALID_S
            )
