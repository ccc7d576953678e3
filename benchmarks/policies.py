"""The system's policy against naive twins, on the same seeded arrivals.

Runs a deployment's real entries and agents with engine stand-ins in one
process, time scaled, and prints attainment, refusals, moves and percentiles
for each policy over several seeds; ``--plot`` draws them::

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
SECONDS: Final = 20.0
WARM_UP_S: Final = 90.0
# The stand-ins run at a fifth of their speed, three requests to a batch.
TIME_SCALE: Final = 5.0
MAX_BATCH: Final = 3
LIMIT: Final = 5
RATE: Final = 14.0
_PARALLEL: Final = 5
_DIGEST_SHARE: Final = 0.2
_MICROSECONDS: Final = 1_000_000
_MILLISECONDS: Final = 1000


@attrs.frozen
class Arrival:
    """One request: when, in seconds, and what."""

    at: float
    target: str
    work_class: str
    prompt: str


@attrs.frozen
class Reply:
    """What its caller saw; times in seconds."""

    work_class: str
    status: int
    first_token_s: float
    within_s: float

    @property
    def met(self) -> bool:
        """Whether the answer came within the target."""
        return self.status == 200 and self.first_token_s <= self.within_s


def make_arrivals(
    document: Document,
    scenario: str,
    seed: int,
) -> Iterator[Arrival]:
    """Draw the same arrivals for every policy."""
    rng = random.Random(f'{scenario}/{seed}')  # noqa: S311
    targets = [one for one in document.targets if one.work_class]
    urgent = [one for one in targets if 'digest' not in one.work_class]
    digests = [one for one in targets if 'digest' in one.work_class]
    moment = 0.0
    while moment < SECONDS:
        rate = RATE
        if scenario == 'bursts' and int(moment) % 8 < 2:
            rate = RATE * 3
        moment += rng.expovariate(rate)
        pool = digests if rng.random() < _DIGEST_SHARE else urgent
        popular = pool[: max(3, len(pool) // 5)]
        if scenario == 'shift' and moment > SECONDS / 2:
            popular = pool[-max(3, len(pool) // 5) :]
        chosen = rng.choice(popular if rng.random() < 0.6 else pool)
        prompt = ' '.join(str(rng.random()) for _ in range(12))
        yield Arrival(moment, chosen.name, chosen.work_class, prompt)


async def run_one(
    path: Path, scenario: str, policy: str, seed: int
) -> dict[str, Any]:
    """Run one policy on one seed of one scenario."""
    cluster = await _start(path, policy)
    try:
        begun = time.perf_counter()
        disturb = asyncio.create_task(_disturb(cluster, scenario))
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            sending = []
            for arrival in make_arrivals(cluster.document, scenario, seed):
                delay = begun + arrival.at - time.perf_counter()
                await asyncio.sleep(max(0, delay))
                url = cluster.urls[len(sending) % len(cluster.urls)]
                sending.append(
                    asyncio.create_task(_send(session, cluster, url, arrival)),
                )
            replies = await asyncio.gather(*sending)
        disturb.cancel()
        return _summarize(cluster, replies)
    finally:
        await cluster.close()


async def _start(path: Path, policy: str) -> DemoCluster:
    match read_document_file(path):
        case Result(tag='ok', ok=document):
            pass
        case Result(error=problems):
            sys.exit('\n'.join(map(str, problems)))
    quick = attrs.evolve(
        document.deployment, loads_per_second=50, loads_at_once=20
    )
    options = DemoOptions(
        zones=('one', 'two'),
        time_scale=TIME_SCALE,
        max_batch=MAX_BATCH,
        max_in_flight=LIMIT,
        load_scale=0.05,
        policy=POLICIES[policy],
    )
    cluster = DemoCluster(attrs.evolve(document, deployment=quick), options)
    await cluster.start()
    await cluster.wait_reachable(WARM_UP_S)
    return cluster


async def _disturb(cluster: DemoCluster, scenario: str) -> None:
    await asyncio.sleep(SECONDS / 3)
    name = next(iter(cluster.engines))
    if scenario == 'slow-replica':
        cluster.engines[name].slowdown = 4.0
    if scenario == 'lost-replica':
        cluster.engines[name].crash()


async def _send(
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
    within_s = cluster.document.classes_by_name[arrival.work_class]
    begun = time.perf_counter()
    first = 0.0
    async with session.post(
        f'{url}/v1/completions', json=body, headers=headers
    ) as response:
        async for line in response.content:
            if not first and line.startswith(b'data: {"id"'):
                first = time.perf_counter() - begun
    return Reply(
        arrival.work_class,
        response.status,
        first,
        within_s.answer_within_s * TIME_SCALE,
    )


def _summarize(cluster: DemoCluster, replies: list[Reply]) -> dict[str, Any]:
    accelerators = len(cluster.engines)
    histogram = make_histogram()
    for reply in replies:
        if reply.first_token_s:
            histogram.record_value(int(reply.first_token_s * _MICROSECONDS))
    urgent = [one for one in replies if 'digest' not in one.work_class]
    patient = [one for one in replies if 'digest' in one.work_class]
    attainment = sum(one.met for one in urgent) / len(urgent)
    return {
        'requests': len(replies),
        'attainment': attainment,
        'per_accelerator': attainment / accelerators,
        'digests': sum(one.met for one in patient) / max(1, len(patient)),
        'refused': sum(one.status != 200 for one in replies),
        'moves': sum(entry.planner.moves for entry in cluster.entries)
        - len(cluster.document.models),
        'overcommits': sum(one.overcommits for one in cluster.engines.values()),
        'p50': histogram.get_value_at_percentile(50) / _MILLISECONDS,
        'p95': histogram.get_value_at_percentile(95) / _MILLISECONDS,
        'p99': histogram.get_value_at_percentile(99) / _MILLISECONDS,
    }


@click.command()
@click.option('--document', default='examples/permit-office/deployment.toml')
@click.option('--seeds', default=5)
@click.option('--scenario', 'scenarios', multiple=True, default=SCENARIOS)
@click.option('--plot', default='')
@click.option('--one', default='', help='SCENARIO,POLICY,SEED: run just that.')
def main(
    document: str,
    seeds: int,
    scenarios: tuple[str, ...],
    plot: str,
    one: str,
) -> None:
    """Compare the policies."""
    configure_logs('error')
    if one:
        scenario, policy, seed = one.split(',')
        work = run_one(Path(document), scenario, policy, int(seed))
        click.echo(json.dumps(asyncio.run(work)))
        return
    runs = [
        (scenario, policy, seed)
        for scenario in scenarios
        for seed in range(1, seeds + 1)
        for policy in POLICIES
    ]

    def work_one(run: tuple[str, str, int]) -> dict[str, Any]:
        return _run_process(document, run)

    with ThreadPoolExecutor(_PARALLEL) as pool:
        outcomes = list(pool.map(work_one, runs))
    _print_rows(runs, outcomes, scenarios, plot)


def _run_process(document: str, run: tuple[str, str, int]) -> dict[str, Any]:
    command = (
        sys.executable, '-m', 'benchmarks.policies',
        '--document', document, '--one', ','.join(map(str, run)),
    )  # fmt: skip
    done = subprocess.run(command, capture_output=True, check=True)  # noqa: S603
    return json.loads(done.stdout.splitlines()[-1])  # type: ignore[no-any-return]


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
            seen = [
                outcome
                for run, outcome in zip(runs, outcomes, strict=True)
                if run[:2] == (scenario, policy)
            ]
            cells = [
                f'{np.mean([one[name] for one in seen]):.3g}'
                f'±{np.std([one[name] for one in seen]):.2g}'
                for name in names
            ]
            rows.append((scenario, policy, *cells))
            attained = [one['attainment'] for one in seen]
            means[scenario, policy] = np.mean(attained), np.std(attained)
    click.echo(format_table(('scenario', 'policy', *names), rows))
    if plot:
        _draw(means, scenarios, plot)


def _draw(
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
        places = [place + index * width for place in range(len(scenarios))]
        heights = [means[scenario, policy][0] for scenario in scenarios]
        spreads = [means[scenario, policy][1] for scenario in scenarios]
        axes.bar(places, heights, width, yerr=spreads, label=policy)
    axes.set_xticks([place + 0.3 for place in range(len(scenarios))], scenarios)
    axes.set_ylabel('share of requests that met their target')
    axes.legend(loc='upper center', bbox_to_anchor=(0.5, -0.08), ncols=4)
    Path(path).parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=120, bbox_inches='tight')


if __name__ == '__main__':
    main()
