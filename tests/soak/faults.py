"""Faults that are injected into a fleet from outside its processes."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from tests.platform_fleet import Fleet
from tests.platform_replica import STRAY_REPLIES, ReplicaStandIn
from tests.platform_site import make_route
from tests.soak.record import (
    DRAIN_S,
    STORE,
    ConfigurationVersion,
    DrainingReplica,
    Record,
)
from tests.soak.workspaces import Workspaces

# A draining replica keeps serving for this long after its drain bound.
_SERVE_AFTER_DRAIN_S = 1.5
# The entry of a crashed replica expires after three heartbeats.
_ENTRY_EXPIRY_S = 3.6
# Rate of a link during the fault "narrow_link".
_NARROW_BYTES_PER_S = 60_000
# Share of store faults during which leases expire.
_LEASE_EXPIRY_SHARE = 0.5
# Share of the gateways that "kill_many" kills.
_KILLED_SHARE = 0.6
# grace-period-s of the gateways' settings, and tolerance for the exit.
_GRACE_PERIOD_S = 8.0
_EXIT_SLACK_S = 4.0
_ANSWER_FAULTS = (
    'lost',
    'cut',
    'cut_in_event',
    'error',
    'other_id',
    'unframed',
    'extra',
    'unmarked_503',
    'refuse',
    'hang',
    'endless_head',
    'endless_body',
    'endless_event',
    'endless_trailers',
    'trailing_refusal',
    'unframed_stream',
    'unsealed',
    *STRAY_REPLIES,
)


class FaultInjector:
    """Injects faults into a fleet; all choices come from one generator."""

    def __init__(
        self,
        fleet: Fleet,
        record: Record,
        seed: int,
        workspaces: Workspaces | None = None,
    ) -> None:
        """Store the fleet, the record of the faults and the seed.

        The keys of ``workspaces`` are changed, if there are any.
        """
        self._fleet = fleet
        self._record = record
        self._rng = random.Random(seed)
        self._affected: set[int] = set()
        self.on_replacement: Callable[[ReplicaStandIn], None] = _ignore
        self._version = 1
        self._replica_count = 100
        self._kinds: dict[str, Callable[[], Awaitable[None]]] = {
            'kill': self._kill,
            'graceful_restart': self._graceful_restart,
            'freeze': self._freeze,
            'cut_store': self._cut_store,
            'stall_connections': self._stall_connections,
            'narrow_link': self._narrow_link,
            'lose_datagrams': self._lose_datagrams,
            'store_mode': self._store_mode,
            'compact_history': self._compact_history,
            'drain_replica': self._drain_replica,
            'crash_replica': self._crash_replica,
            'corrupt_answers': self._corrupt_answers,
            'configure': self._configure,
            'configuration_burst': self._configuration_burst,
            'kill_many': self._kill_many,
            'refuse_gateways': self._refuse_gateways,
            'slow_store': self._slow_store,
            'unresponsive_replica': self._unresponsive_replica,
            'restart_replica': self._restart_replica,
            'delay_orders': self._delay_orders,
        }
        self._workspaces = workspaces
        if workspaces:
            self._kinds['change_key'] = self._change_key

    @property
    def kinds(self) -> list[str]:
        """The names of all faults."""
        return list(self._kinds)

    async def inject(self, kind: str) -> None:
        """Inject one fault and return when it is over."""
        self._record.fault_counts[kind] += 1
        await self._kinds[kind]()

    def write_configuration(self, targets: dict[str, str]) -> None:
        """Write a configuration with the fixed routes and those of targets."""
        self._version += self._rng.randint(1, 5)
        routes = [
            make_route(name, service, 'idempotent')
            for name, service in targets.items()
        ]
        self._fleet.configure(self._version, *routes)
        self._record.versions.append(
            ConfigurationVersion(self._version, _now(), dict(targets))
        )

    def _pick_gateway(self) -> int | None:
        unaffected = set(range(len(self._fleet.gateways))) - self._affected
        return self._rng.choice(sorted(unaffected)) if unaffected else None

    async def _on_unaffected_gateway(
        self, kind: str, action: Callable[[int], Awaitable[None]]
    ) -> None:
        """Apply an action to a random gateway that has no other fault."""
        number = self._pick_gateway()
        if number is None:
            return
        self._affected.add(number)
        started_at = _now()
        try:
            await action(number)
        finally:
            self._record.note_fault(kind, number, started_at, _now())
            self._affected.discard(number)

    async def _kill(self) -> None:
        async def action(number: int) -> None:
            self._record.stopped_gateways.add(self._fleet.gateways[number])
            await self._fleet.gateways[number].kill()
            await asyncio.sleep(self._rng.uniform(0, 2))
            await self._fleet.restart(number)

        await self._on_unaffected_gateway('kill', action)

    async def _kill_many(self) -> None:
        """Kill a large share of the gateways at the same time."""
        count = round(len(self._fleet.gateways) * _KILLED_SHARE)
        await asyncio.gather(*(self._kill() for _ in range(count)))

    async def _graceful_restart(self) -> None:
        async def action(number: int) -> None:
            gateway = self._fleet.gateways[number]
            self._record.stopped_gateways.add(gateway)
            gateway.process.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(_GRACE_PERIOD_S + _EXIT_SLACK_S):
                    await gateway.process.wait()
            except TimeoutError:
                self._record.violations.append(
                    f'gateway {number} did not exit after SIGTERM'
                )
                await gateway.kill()
            await self._fleet.restart(number)

        await self._on_unaffected_gateway('graceful_restart', action)

    async def _freeze(self) -> None:
        async def action(number: int) -> None:
            process = self._fleet.gateways[number].process
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(0.3, 4))
            process.send_signal(signal.SIGCONT)

        await self._on_unaffected_gateway('freeze', action)

    async def _cut_store(self) -> None:
        async def action(number: int) -> None:
            link = self._fleet.link_of(number)
            link.is_cut = True
            await asyncio.sleep(self._rng.uniform(0.5, 6))
            link.is_cut = False

        await self._on_unaffected_gateway('cut_store', action)

    async def _stall_connections(self) -> None:
        """Stall all connections to the store that are open now."""
        for number, _ in enumerate(self._fleet.gateways):
            self._fleet.link_of(number).stall_open_connections()
            self._record.note_fault('stall_connections', number, _now(), _now())

    async def _narrow_link(self) -> None:
        async def action(number: int) -> None:
            link = self._fleet.link_of(number)
            normal_rate = link.outbound.bytes_per_s
            for direction in (link.outbound, link.inbound):
                direction.bytes_per_s = _NARROW_BYTES_PER_S
            await asyncio.sleep(self._rng.uniform(1, 4))
            for direction in (link.outbound, link.inbound):
                direction.bytes_per_s = normal_rate

        await self._on_unaffected_gateway('narrow_link', action)

    async def _lose_datagrams(self) -> None:
        self._fleet.store.relay.loss = self._rng.choice((0.1, 0.3, 1.0))
        await asyncio.sleep(self._rng.uniform(1, 4))
        self._fleet.store.relay.loss = 0.0

    async def _store_mode(self) -> None:
        started_at = _now()
        self._fleet.store.mode = self._rng.choice(
            ('unresponsive', 'busy', 'lost')
        )
        self._fleet.store.expires_while_down = (
            self._rng.random() < _LEASE_EXPIRY_SHARE
        )
        await asyncio.sleep(self._rng.uniform(0.5, 4))
        self._fleet.store.mode = 'up'
        self._record.note_fault('store', STORE, started_at, _now())

    async def _slow_store(self) -> None:
        started_at = _now()
        self._fleet.store.delay_s = self._rng.uniform(0.05, 0.4)
        await asyncio.sleep(self._rng.uniform(1, 4))
        self._fleet.store.delay_s = 0
        self._record.note_fault('store', STORE, started_at, _now())

    async def _refuse_gateways(self) -> None:
        """Reset new connections of some gateways to the store."""

        async def action(number: int) -> None:
            link = self._fleet.link_of(number)
            link.is_refusing = True
            await asyncio.sleep(self._rng.uniform(1, 6))
            link.is_refusing = False

        count = self._rng.randint(1, len(self._fleet.gateways) // 2)
        await asyncio.gather(
            *(
                self._on_unaffected_gateway('refuse_gateways', action)
                for _ in range(count)
            )
        )

    async def _compact_history(self) -> None:
        self._fleet.store.compact_history()

    def _pick_replica(self) -> ReplicaStandIn | None:
        """Return a random replica whose service has others, or None."""
        by_service: dict[str, list[ReplicaStandIn]] = {}
        for replica in self._fleet.replicas.values():
            by_service.setdefault(replica.service, []).append(replica)
        candidates = [
            candidate
            for group in by_service.values()
            if len(group) > 1
            for candidate in group
        ]
        return self._rng.choice(candidates) if candidates else None

    async def _drain_replica(self) -> None:
        replica = self._pick_replica()
        if replica is None:
            return
        self._fleet.replicas.pop(replica.name)
        replica.on_models_changed = None
        self._fleet.write_entry(replica, state='draining')
        self._record.draining.append(DrainingReplica(replica.name, _now()))
        await asyncio.sleep(DRAIN_S + _SERVE_AFTER_DRAIN_S)
        self._fleet.store.remove(f'servers/{replica.name}')
        await self._add_replacement(replica)
        await asyncio.sleep(_SERVE_AFTER_DRAIN_S)
        await replica.close()

    async def _crash_replica(self) -> None:
        replica = self._pick_replica()
        if replica is None:
            return
        self._fleet.replicas.pop(replica.name)
        replica.on_models_changed = None
        await replica.close()
        await asyncio.sleep(_ENTRY_EXPIRY_S)
        self._fleet.store.remove(f'servers/{replica.name}')
        await self._add_replacement(replica)

    async def _unresponsive_replica(self) -> None:
        """Let a replica accept connections without answering requests."""
        replica = self._pick_replica()
        if replica is not None:
            replica.is_unresponsive = True
            await asyncio.sleep(self._rng.uniform(0.5, 4))
            replica.is_unresponsive = False

    async def _restart_replica(self) -> None:
        """Crash a replica and start it again under its name, without models."""
        replica = self._pick_replica()
        if replica is None:
            return
        self._fleet.replicas.pop(replica.name)
        await replica.close()
        await asyncio.sleep(self._rng.uniform(0, 2))
        await replica.restart_empty()
        self._fleet.replicas[replica.name] = replica
        self._fleet.write_entry(replica)

    async def _delay_orders(self) -> None:
        replica = self._pick_replica()
        if replica is not None:
            replica.order_delay_s = self._rng.uniform(0.5, 3)
            await asyncio.sleep(self._rng.uniform(1, 5))
            replica.order_delay_s = 0

    async def _add_replacement(self, replica: ReplicaStandIn) -> None:
        self._replica_count += 1
        replacement = ReplicaStandIn(
            f'{replica.service[0]}{self._replica_count}',
            replica.service,
            echoes=True,
            max_models=replica.max_models,
            events=replica.events,
            pause_s=replica.pause_s,
        )
        self.on_replacement(replacement)
        self._record.replicas.append(replacement)
        await self._fleet.add(replacement)

    async def _corrupt_answers(self) -> None:
        """Apply faults to a share of a replica's answers for a while."""
        replica = self._pick_replica()
        if replica is None:
            return
        share = self._rng.uniform(0.1, 0.6)
        rng = random.Random(self._rng.random())

        def draw() -> str:
            return rng.choice(_ANSWER_FAULTS) if rng.random() < share else ''

        replica.draw_fault = draw
        await asyncio.sleep(self._rng.uniform(1, 4))
        replica.draw_fault = None

    async def _configure(self) -> None:
        targets = dict(self._record.versions[-1].targets)
        targets['moved'] = self._rng.choice(('ledger', 'desk'))
        if targets.pop('added', None) is None:
            targets['added'] = 'ledger'
        self.write_configuration(targets)

    async def _change_key(self) -> None:
        targets = self._record.versions[-1].targets
        self._workspaces.change_key(
            self._fleet, lambda: self.write_configuration(targets)
        )

    async def _configuration_burst(self) -> None:
        for _ in range(self._rng.randint(3, 8)):
            await self._configure()
            await asyncio.sleep(self._rng.uniform(0.05, 0.3))


def _ignore(_replica: ReplicaStandIn) -> None:
    """Do nothing."""


def _now() -> float:
    return asyncio.get_running_loop().time()
