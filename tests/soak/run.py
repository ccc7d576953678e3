"""One soak: a fleet, its callers, its faults and the verdict."""

import asyncio
import json
import random
from collections import Counter
from pathlib import Path

import attrs

from tests.platform_fleet import Fleet, run_fleet
from tests.platform_replica import ReplicaStandIn
from tests.soak.callers import Balancer, Caller
from tests.soak.checks import check_all
from tests.soak.faults import Faults
from tests.soak.record import CONTACT_S, Record, Version

_THIN_BYTES_PER_S = 625_000.0
_WIDE_BYTES_PER_S = 12_500_000.0
_CALM_BEFORE_S = 2.0
# Time for what was struck last, and for what it caused, to be over.
_SETTLE_S = 2 * CONTACT_S
_CALM_S = 4.0
# Time for the last runs to be ended.
_END_S = 1.0
_EVENTS = 12
_EVENT_PAUSE_S = 0.02
_PLACES = 3


@attrs.frozen
class Options:
    """How large and how long a soak is; ``gap_s`` is between two faults."""

    gateways: int = 6
    callers: int = 12
    engines: int = 4
    models: int = 24
    seconds: float = 15
    gap_s: float = 0.7

    def enlarge(self, times: int) -> 'Options':
        """Return a site of that many times the size, with as many faults."""
        return attrs.evolve(
            self,
            gateways=self.gateways * times,
            callers=self.callers * times,
            engines=self.engines * times,
            models=self.models * times,
            gap_s=self.gap_s / times,
        )


@attrs.frozen
class Findings:
    """What was tried, and what must never be."""

    asked: int
    statuses: Counter
    faults: Counter
    violations: list[str]
    lines: list[str]

    def keep(self, folder: Path, seed: int) -> None:
        """Write what was broken, what was done and all logs, by time."""
        folder.mkdir(parents=True, exist_ok=True)
        kept = [*self.violations, *self.lines]
        (folder / f'seed-{seed}.log').write_text('\n'.join(kept))


async def run_soak(folder: Path, seed: int, options: Options) -> Findings:
    """Run one seed and check the promises."""
    rng = random.Random(seed)
    rates = [
        rng.choice((_THIN_BYTES_PER_S, _WIDE_BYTES_PER_S))
        for _ in range(options.gateways)
    ]
    async with run_fleet(
        folder, rates, models=options.models, engines=0, plain=0
    ) as fleet:
        return await _Soak(fleet, rng, options).play()


class _Soak:
    def __init__(
        self, fleet: Fleet, rng: random.Random, options: Options
    ) -> None:
        self._fleet = fleet
        self._rng = rng
        self._options = options
        self._record = Record()
        self._faults = Faults(fleet, self._record, rng.randrange(1 << 30))

    async def play(self) -> Findings:
        await self._start_replicas()
        # The fleet starts with a version that has the fixed routes alone.
        self._record.versions.append(Version(1, float('-inf'), {}))
        self._faults.write_configuration({'moved': 'ledger'})
        balancer = Balancer(self._fleet)
        asking = asyncio.create_task(balancer.run())
        callers = [
            self._make_caller(number, balancer)
            for number in range(self._options.callers)
        ]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        await asyncio.sleep(_CALM_BEFORE_S)
        await self._strike()
        await asyncio.sleep(_SETTLE_S)
        self._record.calm_from = asyncio.get_running_loop().time()
        await asyncio.sleep(_CALM_S)
        for caller in callers:
            caller.stop()
        await asyncio.gather(*tasks)
        asking.cancel()
        await asyncio.sleep(_END_S)
        return self._judge()

    def _make_caller(self, number: int, balancer: Balancer) -> Caller:
        return Caller(
            f'c{number}',
            self._fleet,
            balancer,
            self._record,
            random.Random(self._rng.random()),
        )

    def _judge(self) -> Findings:
        asked = self._record.asked
        return Findings(
            len(asked),
            Counter(one.status for one in asked),
            self._record.faults,
            check_all(self._fleet, self._record),
            self._tell_all(),
        )

    def _tell_all(self) -> list[str]:
        """Return all lines of all gateways, then requests and troubles."""
        logged = [
            line
            for gateway in (*self._fleet.gateways, *self._fleet.exited)
            for line in gateway.log
        ]
        logged.sort(key=lambda line: line['timestamp'])
        return [
            *(json.dumps(line) for line in logged),
            *(repr(asked) for asked in self._record.asked),
            *(repr(trouble) for trouble in self._record.troubles),
        ]

    async def _start_replicas(self) -> None:
        for number in range(4):
            await self._add(ReplicaStandIn(f'l{number}', 'ledger'))
        for number in range(2):
            await self._add(ReplicaStandIn(f'd{number}', 'desk'))
        for number in range(self._options.engines):
            first = number * _PLACES % self._options.models
            held = self._fleet.models[first : first + _PLACES]
            models = dict.fromkeys(held, frozenset())
            await self._add(
                ReplicaStandIn(f'e{number}', 'engine', models=models)
            )

    async def _add(self, replica: ReplicaStandIn) -> None:
        replica.echoes = True
        replica.max_models = _PLACES
        replica.events = _EVENTS
        replica.pause_s = _EVENT_PAUSE_S
        self._record.replicas.append(replica)
        await self._fleet.add(replica)

    async def _strike(self) -> None:
        """Let faults begin at random; each runs to its end."""
        running = []
        loop = asyncio.get_running_loop()
        end = loop.time() + self._options.seconds
        while loop.time() < end:
            kind = self._rng.choice(self._faults.kinds)
            running.append(asyncio.create_task(self._faults.strike(kind)))
            gap_s = self._rng.expovariate(1 / self._options.gap_s)
            await asyncio.sleep(min(gap_s, self._options.seconds))
        await asyncio.gather(*running)
