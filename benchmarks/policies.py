"""Compares the routing policies on the same seeded arrivals.

Runs the entries and agents of a deployment with engine stand-ins in one
process, in scaled time, and prints attainment, refusals, moves and latency
percentiles for each policy over several seeds; ``--plot`` draws the
attainment as bars::

    python -m benchmarks.policies --seeds 5 --plot docs/plots/policies.png
"""

import asyncio
import json
import random
import subprocess  # noqa: S404
import sys
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

import aiohttp
import attrs
import click
import numpy as np
from expression import Result

from benchmarks.load import make_histogram
from bramleybeam.decisions import (
    EstimatePolicy,
    Policy,
    RandomPolicy,
    RoundRobinPolicy,
    StaleLeastPolicy,
)
from bramleybeam.demo import DemoCluster, DemoOptions
from bramleybeam.documents import Document, read_document_file
from bramleybeam.operators import format_table
from bramleybeam.telemetry import configure_logs

POLICIES: Final[MappingProxyType[str, Callable[[], Policy]]] = MappingProxyType(
    {
        'estimate': EstimatePolicy,
        'random': RandomPolicy,
        'round-robin': RoundRobinPolicy,
        'stale-least': StaleLeastPolicy,
    }
)
SCENARIOS: Final = ('steady', 'bursts', 'shift', 'slow-replica', 'lost-replica')
DURATION_S: Final = 20.0
READY_TIMEOUT_S: Final = 90.0
# Engine stand-ins take 5 times as long and batch up to 3 requests.
TIME_SCALE: Final = 5.0
MAX_BATCH: Final = 3
# Most requests that an agent has in flight at its engine.
MAX_IN_FLIGHT: Final = 5
# Mean arrival rate in requests per second.
RATE_PER_S: Final = 14.0
_CONCURRENT_RUNS: Final = 5
# Share of the requests that have a digest class, which tolerates latency.
_DIGEST_SHARE: Final = 0.2
_MICROSECONDS: Final = 1_000_000
_MILLISECONDS: Final = 1000


@attrs.frozen
class Arrival:
    """A request and its time in seconds from the start."""

    at_s: float
    target: str
    work_class: str
    prompt: str


@attrs.frozen
class Reply:
    """The status and the time to the first token, in seconds.

    ``first_token_s`` is 0 if no token came; ``target_s`` is the target of the
    request's class in scaled time.
    """

    work_class: str
    status: int
    first_token_s: float
    target_s: float

    @property
    def met(self) -> bool:
        """Return whether the status is 200 and the target was met."""
        return self.status == 200 and self.first_token_s <= self.target_s


def make_arrivals(
    document: Document,
    scenario: str,
    seed: int,
) -> Iterator[Arrival]:
    """Yield the arrivals of a scenario; a seed always gives the same."""
    rng = random.Random(f'{scenario}/{seed}')  # noqa: S311
    targets = [target for target in document.targets if target.work_class]
    urgent = [target for target in targets if 'digest' not in target.work_class]
    digests = [target for target in targets if 'digest' in target.work_class]
    arrival_s = 0.0
    while arrival_s < DURATION_S:
        rate = RATE_PER_S
        if scenario == 'bursts' and int(arrival_s) % 8 < 2:
            rate = RATE_PER_S * 3
        arrival_s += rng.expovariate(rate)
        pool = digests if rng.random() < _DIGEST_SHARE else urgent
        popular = pool[: max(3, len(pool) // 5)]
        if scenario == 'shift' and arrival_s > DURATION_S / 2:
            popular = pool[-max(3, len(pool) // 5) :]
        chosen = rng.choice(popular if rng.random() < 0.6 else pool)
        prompt = ' '.join(str(rng.random()) for _ in range(12))
        yield Arrival(arrival_s, chosen.name, chosen.work_class, prompt)


async def run_one(
    path: Path, scenario: str, policy: str, seed: int
) -> dict[str, Any]:
    """Run a policy on a seed of a scenario and return the figures."""
    cluster = await _start_cluster(path, policy)
    try:
        started_at = time.perf_counter()
        fault_task = asyncio.create_task(_inject_fault(cluster, scenario))
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            tasks = []
            for arrival in make_arrivals(cluster.document, scenario, seed):
                delay = started_at + arrival.at_s - time.perf_counter()
                await asyncio.sleep(max(0, delay))
                url = cluster.urls[len(tasks) % len(cluster.urls)]
                tasks.append(
                    asyncio.create_task(
                        _send_request(session, cluster, url, arrival)
                    ),
                )
            replies = await asyncio.gather(*tasks)
        fault_task.cancel()
        return _summarize(cluster, replies)
    finally:
        await cluster.close()


async def _start_cluster(path: Path, policy: str) -> DemoCluster:
    match read_document_file(path):
        case Result(tag='ok', ok=document):
            pass
        case Result(error=problems):
            sys.exit('\n'.join(map(str, problems)))
    fast_loading = attrs.evolve(
        document.deployment, loads_per_second=50, loads_at_once=20
    )
    options = DemoOptions(
        zones=('one', 'two'),
        time_scale=TIME_SCALE,
        max_batch=MAX_BATCH,
        max_in_flight=MAX_IN_FLIGHT,
        load_scale=0.05,
        policy=POLICIES[policy],
    )
    cluster = DemoCluster(
        attrs.evolve(document, deployment=fast_loading), options
    )
    await cluster.start()
    await cluster.wait_reachable(READY_TIMEOUT_S)
    return cluster


async def _inject_fault(cluster: DemoCluster, scenario: str) -> None:
    await asyncio.sleep(DURATION_S / 3)
    name = next(iter(cluster.engines))
    if scenario == 'slow-replica':
        cluster.engines[name].slowdown = 4.0
    if scenario == 'lost-replica':
        cluster.engines[name].crash()


async def _send_request(
    session: aiohttp.ClientSession,
    cluster: DemoCluster,
    url: str,
    arrival: Arrival,
) -> Reply:
    body = {
        'model': arrival.target,
        'prompt': arrival.prompt,
        'stream': True,
        'max_tokens': 24,
    }
    headers = {'X-Work-Class': arrival.work_class}
    target_class = cluster.document.classes_by_name[arrival.work_class]
    started_at = time.perf_counter()
    until_first_token_s = 0.0
    async with session.post(
        f'{url}/v1/completions', json=body, headers=headers
    ) as response:
        async for line in response.content:
            if not until_first_token_s and line.startswith(b'data: {"id"'):
                until_first_token_s = time.perf_counter() - started_at
    return Reply(
        arrival.work_class,
        response.status,
        until_first_token_s,
        target_class.answer_within_s * TIME_SCALE,
    )


def _summarize(cluster: DemoCluster, replies: list[Reply]) -> dict[str, Any]:
    accelerators = len(cluster.engines)
    histogram = make_histogram()
    for reply in replies:
        if reply.first_token_s:
            histogram.record_value(int(reply.first_token_s * _MICROSECONDS))
    urgent = [reply for reply in replies if 'digest' not in reply.work_class]
    tolerant = [reply for reply in replies if 'digest' in reply.work_class]
    attainment = sum(reply.met for reply in urgent) / len(urgent)
    return {
        'requests': len(replies),
        'attainment': attainment,
        'per_accelerator': attainment / accelerators,
        'digests': sum(reply.met for reply in tolerant) / max(1, len(tolerant)),
        'refused': sum(reply.status != 200 for reply in replies),
        'moves': sum(entry.planner.moves for entry in cluster.entries)
        - len(cluster.document.models),
        'overcommits': sum(
            engine.overcommits for engine in cluster.engines.values()
        ),
        'p50': histogram.get_value_at_percentile(50) / _MILLISECONDS,
        'p95': histogram.get_value_at_percentile(95) / _MILLISECONDS,
        'p99': histogram.get_value_at_percentile(99) / _MILLISECONDS,
    }


@click.command()
@click.option('--document', default='examples/permit-office/deployment.toml')
@click.option('--seeds', default=5)
@click.option('--scenario', 'scenarios', multiple=True, default=SCENARIOS)
@click.option('--plot', default='')
@click.option(
    '--one', default='', help='Run only SCENARIO,POLICY,SEED and print JSON.'
)
def main(
    document: str,
    seeds: int,
    scenarios: tuple[str, ...],
    plot: str,
    one: str,
) -> None:
    """Run every scenario, seed and policy; print means and deviations."""
    configure_logs('error')
    if one:
        scenario, policy, seed = one.split(',')
        coroutine = run_one(Path(document), scenario, policy, int(seed))
        click.echo(json.dumps(asyncio.run(coroutine)))
        return
    runs = [
        (scenario, policy, seed)
        for scenario in scenarios
        for seed in range(1, seeds + 1)
        for policy in POLICIES
    ]

    def execute(run: tuple[str, str, int]) -> dict[str, Any]:
        return _run_in_process(document, run)

    with ThreadPoolExecutor(_CONCURRENT_RUNS) as pool:
        outcomes = list(pool.map(execute, runs))
    _print_rows(runs, outcomes, scenarios, plot)


def _run_in_process(document: str, run: tuple[str, str, int]) -> dict[str, Any]:
    command = (
        sys.executable, '-m', 'benchmarks.policies',
        '--document', document, '--one', ','.join(map(str, run)),
    )  # fmt: skip
    completed = subprocess.run(command, capture_output=True, check=True)  # noqa: S603
    return json.loads(completed.stdout.splitlines()[-1])  # type: ignore[no-any-return]


def _print_rows(
    runs: list[tuple[str, str, int]],
    outcomes: list[dict[str, Any]],
    scenarios: tuple[str, ...],
    plot: str,
) -> None:
    names = ('attainment', 'per_accelerator', 'digests', 'refused', 'moves',
             'overcommits', 'p50', 'p95', 'p99')  # fmt: skip
    rows = []
    means: dict[tuple[str, str], tuple[float, float]] = {}
    for scenario in scenarios:
        for policy in POLICIES:
            matching = [
                outcome
                for run, outcome in zip(runs, outcomes, strict=True)
                if run[:2] == (scenario, policy)
            ]
            cells = [
                f'{np.mean([outcome[name] for outcome in matching]):.3g}'
                f'±{np.std([outcome[name] for outcome in matching]):.2g}'
                for name in names
            ]
            rows.append((scenario, policy, *cells))
            attainments = [outcome['attainment'] for outcome in matching]
            means[scenario, policy] = np.mean(attainments), np.std(attainments)
    click.echo(format_table(('scenario', 'policy', *names), rows))
    if plot:
        _plot_means(means, scenarios, plot)


def _plot_means(
    means: dict[tuple[str, str], tuple[float, float]],
    scenarios: tuple[str, ...],
    path: str,
) -> None:
    import matplotlib  # noqa: PLC0415

    matplotlib.use('Agg')
    from matplotlib import pyplot  # noqa: PLC0415

    figure, axes = pyplot.subplots(figsize=(9, 4))
    width = 0.8 / len(POLICIES)
    for index, policy in enumerate(POLICIES):
        positions = [
            position + index * width for position in range(len(scenarios))
        ]
        heights = [means[scenario, policy][0] for scenario in scenarios]
        deviations = [means[scenario, policy][1] for scenario in scenarios]
        axes.bar(positions, heights, width, yerr=deviations, label=policy)
    axes.set_xticks(
        [position + 0.3 for position in range(len(scenarios))], scenarios
    )
    axes.set_ylabel('share of requests that met their target')
    axes.legend(loc='upper center', bbox_to_anchor=(0.5, -0.08), ncols=4)
    Path(path).parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=120, bbox_inches='tight')


if __name__ == '__main__':
    main()
