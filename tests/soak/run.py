"""Runs one soak: a fleet, its callers, the faults and the checks."""

import asyncio
import json
import random
from collections import Counter
from pathlib import Path

import attrs

from tests.platform_fleet import Fleet, run_fleet
from tests.platform_replica import ReplicaStandIn
from tests.soak.callers import Caller, LoadBalancer
from tests.soak.checks import check_all
from tests.soak.crashes import CrashingRequests
from tests.soak.faults import FaultInjector
from tests.soak.record import FAULT_GRACE_S, ConfigurationVersion, Record
from tests.soak.workspaces import Workspaces

# Rates of the links of the gateways; each is drawn from these two.
_SLOW_BYTES_PER_S = 625_000.0
_FAST_BYTES_PER_S = 12_500_000.0
# Time before the first fault.
_WARM_UP_S = 2.0
# Time for the last faults and their consequences to end.
_SETTLE_S = 2 * FAULT_GRACE_S
# Time without faults at the end; its requests are checked for recovery.
_FINAL_PERIOD_S = 4.0
# Time for the last runs at replicas to end.
_LAST_RUNS_S = 1.0
# Events of a stream, and the pause after each.
_EVENTS = 12
_EVENT_PAUSE_S = 0.02
_MODELS_PER_REPLICA = 3
# Share of the seeds whose requests need keys.
_WORKSPACES_SHARE = 0.5


@attrs.frozen
class Options:
    """Size and duration of a soak; ``mean_gap_s`` is between two faults.

    ``has_workspaces`` is whether requests need keys; ``None`` lets the seed
    decide.
    """

    gateways: int = 6
    callers: int = 12
    engines: int = 4
    models: int = 24
    duration_s: float = 15
    mean_gap_s: float = 0.7
    has_workspaces: bool | None = None

    def scale(self, factor: int) -> 'Options':
        """Return options for ``factor`` times the size and the fault rate."""
        return attrs.evolve(
            self,
            gateways=self.gateways * factor,
            callers=self.callers * factor,
            engines=self.engines * factor,
            models=self.models * factor,
            mean_gap_s=self.mean_gap_s / factor,
        )


@attrs.frozen
class SoakResult:
    """Counts of requests and faults, the violations and the logs.

    The counts of requests are those of ordinary callers; ``hostile_statuses``
    has those of callers without a valid key or beyond their quota.
    """

    request_count: int
    statuses: Counter
    fault_counts: Counter
    violations: list[str]
    log_lines: list[str]
    hostile_statuses: Counter = attrs.field(factory=Counter)

    def write_log(self, folder: Path, seed: int) -> None:
        """Write the violations and all log lines to ``seed-SEED.log``."""
        folder.mkdir(parents=True, exist_ok=True)
        written = [*self.violations, *self.log_lines]
        (folder / f'seed-{seed}.log').write_text('\n'.join(written))


async def run_soak(folder: Path, seed: int, options: Options) -> SoakResult:
    """Run one seed and check the guarantees."""
    rng = random.Random(seed)
    rates = [
        rng.choice((_SLOW_BYTES_PER_S, _FAST_BYTES_PER_S))
        for _ in range(options.gateways)
    ]
    workspaces = _draw_workspaces(seed, options)
    async with run_fleet(
        folder,
        rates,
        models=options.models,
        engines=0,
        plain=0,
        bounds=workspaces.bounds if workspaces else None,
        tenants=workspaces.list_tenants() if workspaces else None,
    ) as fleet:
        return await _Soak(fleet, rng, options, workspaces).execute()


def _draw_workspaces(seed: int, options: Options) -> Workspaces | None:
    """Return the workspaces of a seed, if it has any.

    Their generator is one of its own, so that the other choices of a seed don't
    depend on them.
    """
    rng = random.Random(f'workspaces {seed}')
    is_enabled = rng.random() < _WORKSPACES_SHARE
    if options.has_workspaces is not None:
        is_enabled = options.has_workspaces
    return Workspaces(rng.randrange(1 << 30)) if is_enabled else None


class _Soak:
    def __init__(
        self,
        fleet: Fleet,
        rng: random.Random,
        options: Options,
        workspaces: Workspaces | None,
    ) -> None:
        self._workspaces = workspaces
        self._fleet = fleet
        self._rng = rng
        self._options = options
        self._record = Record()
        self._injector = FaultInjector(
            fleet, self._record, rng.randrange(1 << 30), workspaces
        )
        self._crashing = CrashingRequests(
            fleet,
            self._record,
            random.Random(len(fleet.gateways)),
            workspaces.keys[0] if workspaces else None,
        )
        self._injector.on_replacement = self._crashing.arm

    async def execute(self) -> SoakResult:
        await self._start_replicas()
        # The fleet starts with version 1, which has only the fixed routes.
        self._record.versions.append(ConfigurationVersion(1, float('-inf'), {}))
        self._injector.write_configuration({'moved': 'ledger'})
        balancer = LoadBalancer(self._fleet)
        balancing = asyncio.create_task(balancer.run())
        callers = [
            self._make_caller(number, balancer)
            for number in range(self._options.callers)
        ]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        if self._workspaces:
            hostile = self._workspaces.send_hostile(self._fleet, self._record)
            tasks.append(asyncio.create_task(hostile))
            callers.append(self._workspaces)
        await asyncio.sleep(_WARM_UP_S)
        await asyncio.gather(self._inject_faults(), self._crashing.run())
        await self._crashing.wait_replaced()
        await asyncio.sleep(_SETTLE_S)
        self._record.final_period_from = asyncio.get_running_loop().time()
        await asyncio.sleep(_FINAL_PERIOD_S)
        for caller in callers:
            caller.stop()
        await asyncio.gather(*tasks)
        balancing.cancel()
        await asyncio.sleep(_LAST_RUNS_S)
        return self._summarize()

    def _make_caller(self, number: int, balancer: LoadBalancer) -> Caller:
        return Caller(
            f'c{number}',
            self._fleet,
            balancer,
            self._record,
            random.Random(self._rng.random()),
            self._workspaces,
        )

    def _summarize(self) -> SoakResult:
        requests = self._record.requests
        ordinary = [request for request in requests if request.is_ordinary]
        return SoakResult(
            len(ordinary),
            Counter(request.status for request in ordinary),
            self._record.fault_counts,
            check_all(self._fleet, self._record, self._workspaces),
            self._list_log_lines(),
            Counter(
                request.status
                for request in requests
                if not request.is_ordinary
            ),
        )

    def _list_log_lines(self) -> list[str]:
        """Return the gateways' log by time, then requests and faults."""
        logged = [
            line
            for gateway in (*self._fleet.gateways, *self._fleet.exited)
            for line in gateway.log
        ]
        logged.sort(key=lambda line: line['timestamp'])
        return [
            *(json.dumps(line) for line in logged),
            *(repr(request) for request in self._record.requests),
            *(repr(interval) for interval in self._record.fault_intervals),
        ]

    async def _start_replicas(self) -> None:
        for number in range(4):
            await self._add(ReplicaStandIn(f'l{number}', 'ledger'))
        for number in range(2):
            await self._add(ReplicaStandIn(f'd{number}', 'desk'))
        for number in range(self._options.engines):
            first = number * _MODELS_PER_REPLICA % self._options.models
            model_names = self._fleet.models[
                first : first + _MODELS_PER_REPLICA
            ]
            models = dict.fromkeys(model_names, frozenset())
            await self._add(
                ReplicaStandIn(f'e{number}', 'engine', models=models)
            )

    async def _add(self, replica: ReplicaStandIn) -> None:
        replica.echoes = True
        replica.max_models = _MODELS_PER_REPLICA
        replica.events = _EVENTS
        replica.pause_s = _EVENT_PAUSE_S
        self._crashing.arm(replica)
        self._record.replicas.append(replica)
        await self._fleet.add(replica)

    async def _inject_faults(self) -> None:
        """Start faults at random times and wait until all are over."""
        running = []
        loop = asyncio.get_running_loop()
        end = loop.time() + self._options.duration_s
        if self._workspaces:
            # So that a dropped key is in use for the rest of each soak.
            await self._injector.inject('change_key')
        while loop.time() < end:
            kind = self._rng.choice(self._injector.kinds)
            running.append(asyncio.create_task(self._injector.inject(kind)))
            gap_s = self._rng.expovariate(1 / self._options.mean_gap_s)
            await asyncio.sleep(min(gap_s, self._options.duration_s))
        await asyncio.gather(*running)
