"""What is done to a site from outside its processes."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from tests.platform_fleet import Fleet
from tests.platform_replica import ReplicaStandIn
from tests.platform_site import make_route
from tests.soak.record import (
    DRAIN_S,
    STORE,
    Leaving,
    Record,
    Version,
)

# A replica serves on for a while after its drain bound.
_LINGER_S = 1.5
# Entries of a replica that has crashed lapse after three heartbeats.
_LAPSE_S = 3.6
_SQUEEZED_BYTES_PER_S = 60_000
_LAPSE_SHARE = 0.5
_HERD_SHARE = 0.6
_GRACE_S = 8.0
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
)


class Faults:
    """Strikes a fleet, with every choice drawn from one generator."""

    def __init__(self, fleet: Fleet, record: Record, seed: int) -> None:
        """Store what is struck and where it is noted."""
        self._fleet = fleet
        self._record = record
        self._rng = random.Random(seed)
        self._busy: set[int] = set()
        self._version = 1
        self._replica_count = 100
        self._kinds: dict[str, Callable[[], Awaitable[None]]] = {
            'kill': self._kill,
            'roll': self._roll,
            'freeze': self._freeze,
            'cut_store': self._cut_store,
            'silence': self._silence,
            'squeeze': self._squeeze,
            'lose_datagrams': self._lose_datagrams,
            'store_mode': self._store_mode,
            'forget_history': self._forget_history,
            'drain': self._drain,
            'crash': self._crash,
            'spoil': self._spoil,
            'configure': self._configure,
            'storm': self._storm,
            'herd': self._herd,
            'refuse_nodes': self._refuse_nodes,
            'slow_store': self._slow_store,
            'dark': self._dark,
            'start_again': self._start_again,
            'late_orders': self._late_orders,
        }

    @property
    def kinds(self) -> list[str]:
        """The names of all faults."""
        return list(self._kinds)

    async def strike(self, kind: str) -> None:
        """Do one fault, to its end."""
        self._record.faults[kind] += 1
        await self._kinds[kind]()

    def write_configuration(self, targets: dict[str, str]) -> None:
        """Write a version whose routes beyond the fixed ones are given."""
        self._version += self._rng.randint(1, 5)
        routes = [
            make_route(name, service, 'idempotent')
            for name, service in targets.items()
        ]
        self._fleet.configure(self._version, *routes)
        self._record.versions.append(
            Version(self._version, _now(), dict(targets))
        )

    def _pick_gateway(self) -> int | None:
        free = set(range(len(self._fleet.gateways))) - self._busy
        return self._rng.choice(sorted(free)) if free else None

    async def _with_gateway(
        self, kind: str, work: Callable[[int], Awaitable[None]]
    ) -> None:
        """Do something to a gateway that nothing else is done to."""
        number = self._pick_gateway()
        if number is None:
            return
        self._busy.add(number)
        began_at = _now()
        try:
            await work(number)
        finally:
            self._record.note_trouble(kind, number, began_at, _now())
            self._busy.discard(number)

    async def _kill(self) -> None:
        async def work(number: int) -> None:
            self._record.stopped.add(self._fleet.gateways[number])
            await self._fleet.gateways[number].kill()
            await asyncio.sleep(self._rng.uniform(0, 2))
            await self._fleet.restart(number)

        await self._with_gateway('kill', work)

    async def _herd(self) -> None:
        """Kill many gateways at once."""
        count = round(len(self._fleet.gateways) * _HERD_SHARE)
        await asyncio.gather(*(self._kill() for _ in range(count)))

    async def _roll(self) -> None:
        async def work(number: int) -> None:
            gateway = self._fleet.gateways[number]
            self._record.stopped.add(gateway)
            gateway.process.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(_GRACE_S + _EXIT_SLACK_S):
                    await gateway.process.wait()
            except TimeoutError:
                self._record.violations.append(
                    f'gateway {number} did not end after SIGTERM'
                )
                await gateway.kill()
            await self._fleet.restart(number)

        await self._with_gateway('roll', work)

    async def _freeze(self) -> None:
        async def work(number: int) -> None:
            process = self._fleet.gateways[number].process
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._rng.uniform(0.3, 4))
            process.send_signal(signal.SIGCONT)

        await self._with_gateway('freeze', work)

    async def _cut_store(self) -> None:
        async def work(number: int) -> None:
            link = self._fleet.link_of(number)
            link.is_cut = True
            await asyncio.sleep(self._rng.uniform(0.5, 6))
            link.is_cut = False

        await self._with_gateway('cut_store', work)

    async def _silence(self) -> None:
        """Let the open connections to the store pass nothing more."""
        for number, _ in enumerate(self._fleet.gateways):
            self._fleet.link_of(number).stall_open_connections()
            self._record.note_trouble('silence', number, _now(), _now())

    async def _squeeze(self) -> None:
        async def work(number: int) -> None:
            link = self._fleet.link_of(number)
            wide = link.outbound.bytes_per_s
            for lane in (link.outbound, link.inbound):
                lane.bytes_per_s = _SQUEEZED_BYTES_PER_S
            await asyncio.sleep(self._rng.uniform(1, 4))
            for lane in (link.outbound, link.inbound):
                lane.bytes_per_s = wide

        await self._with_gateway('squeeze', work)

    async def _lose_datagrams(self) -> None:
        self._fleet.store.relay.loss = self._rng.choice((0.1, 0.3, 1.0))
        await asyncio.sleep(self._rng.uniform(1, 4))
        self._fleet.store.relay.loss = 0.0

    async def _store_mode(self) -> None:
        began_at = _now()
        self._fleet.store.mode = self._rng.choice(
            ('unresponsive', 'busy', 'lost')
        )
        self._fleet.store.expires_while_down = self._rng.random() < _LAPSE_SHARE
        await asyncio.sleep(self._rng.uniform(0.5, 4))
        self._fleet.store.mode = 'up'
        self._record.note_trouble('store', STORE, began_at, _now())

    async def _slow_store(self) -> None:
        began_at = _now()
        self._fleet.store.delay_s = self._rng.uniform(0.05, 0.4)
        await asyncio.sleep(self._rng.uniform(1, 4))
        self._fleet.store.delay_s = 0
        self._record.note_trouble('store', STORE, began_at, _now())

    async def _refuse_nodes(self) -> None:
        """Let the store turn some gateways away and serve the others."""

        async def work(number: int) -> None:
            link = self._fleet.link_of(number)
            link.is_refusing = True
            await asyncio.sleep(self._rng.uniform(1, 6))
            link.is_refusing = False

        count = self._rng.randint(1, len(self._fleet.gateways) // 2)
        await asyncio.gather(
            *(self._with_gateway('refused', work) for _ in range(count))
        )

    async def _forget_history(self) -> None:
        self._fleet.store.compact_history()

    def _pick_replica(self) -> ReplicaStandIn | None:
        """Choose a replica that is not the last of its service."""
        by_service: dict[str, list[ReplicaStandIn]] = {}
        for replica in self._fleet.replicas.values():
            by_service.setdefault(replica.service, []).append(replica)
        spare = [
            one for row in by_service.values() if len(row) > 1 for one in row
        ]
        return self._rng.choice(spare) if spare else None

    async def _drain(self) -> None:
        replica = self._pick_replica()
        if replica is None:
            return
        self._fleet.replicas.pop(replica.name)
        replica.on_models_changed = None
        self._fleet.write_entry(replica, state='draining')
        self._record.leaving.append(Leaving(replica.name, _now()))
        await asyncio.sleep(DRAIN_S + _LINGER_S)
        self._fleet.store.remove(f'servers/{replica.name}')
        await self._add_successor(replica)
        await asyncio.sleep(_LINGER_S)
        await replica.close()

    async def _crash(self) -> None:
        replica = self._pick_replica()
        if replica is None:
            return
        self._fleet.replicas.pop(replica.name)
        replica.on_models_changed = None
        await replica.close()
        await asyncio.sleep(_LAPSE_S)
        self._fleet.store.remove(f'servers/{replica.name}')
        await self._add_successor(replica)

    async def _dark(self) -> None:
        """Let a replica take connections and answer nothing."""
        replica = self._pick_replica()
        if replica is not None:
            replica.is_unresponsive = True
            await asyncio.sleep(self._rng.uniform(0.5, 4))
            replica.is_unresponsive = False

    async def _start_again(self) -> None:
        """Let a replica crash and start under its name, holding nothing."""
        replica = self._pick_replica()
        if replica is None:
            return
        self._fleet.replicas.pop(replica.name)
        await replica.close()
        await asyncio.sleep(self._rng.uniform(0, 2))
        await replica.restart_empty()
        self._fleet.replicas[replica.name] = replica
        self._fleet.write_entry(replica)

    async def _late_orders(self) -> None:
        replica = self._pick_replica()
        if replica is not None:
            replica.order_delay_s = self._rng.uniform(0.5, 3)
            await asyncio.sleep(self._rng.uniform(1, 5))
            replica.order_delay_s = 0

    async def _add_successor(self, replica: ReplicaStandIn) -> None:
        self._replica_count += 1
        successor = ReplicaStandIn(
            f'{replica.service[0]}{self._replica_count}',
            replica.service,
            echoes=True,
            max_models=replica.max_models,
            events=replica.events,
            pause_s=replica.pause_s,
        )
        self._record.replicas.append(successor)
        await self._fleet.add(successor)

    async def _spoil(self) -> None:
        """Let a replica spoil some of its answers for a while."""
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

    async def _storm(self) -> None:
        for _ in range(self._rng.randint(3, 8)):
            await self._configure()
            await asyncio.sleep(self._rng.uniform(0.05, 0.3))


def _now() -> float:
    return asyncio.get_running_loop().time()
