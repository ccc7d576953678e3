"""Measures how late store changes reach gateways with little bandwidth.

``python -m benchmarks.thin_links`` runs gateway processes with the stand-ins
of the tests, each on a rate-limited link; 20 of 28 links are slow. Requests
for all models are sent to each gateway. Every two seconds the configuration
changes and a replica starts to drain. The exit status is 1 if any gateway
applied a change later than the deployments' bound, or never. Afterwards it
prints the control cost: processor time, memory and traffic of each gateway
without requests.
"""

import asyncio
import random
import sys
import tempfile
from datetime import UTC, datetime
from pathlib import Path
from typing import Final

import click
import psutil

from tests.platform_fleet import Fleet, run_fleet
from tests.platform_gateway import GatewayProcess

SLOW_BYTES_PER_S: Final = 625_000
FAST_BYTES_PER_S: Final = 12_500_000
# The shortest bound, in seconds, of the deployments that have slow links.
MAX_DELAY_S: Final = 3.0
CHANGE_EVERY_S: Final = 2.0
# Replicas of models that the gateways share.
ENGINES: Final = 25
IDLE_S: Final = 6.0


async def send_requests(fleet: Fleet, rng: random.Random) -> None:
    """Send requests for all models to every gateway until cancelled."""
    while True:
        await fleet.request_all_models(rng)


async def make_changes(fleet: Fleet, seconds: float) -> dict[str, float]:
    """Change the configuration and drain replicas for some seconds.

    Returns the time of each change as Unix seconds, by the configuration
    version or the replica's name.
    """
    changed_at = {}
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    version = 1
    engines = [name for name in fleet.replicas if name.startswith('e')]
    while loop.time() < ends_at:
        version += 1
        fleet.configure(version)
        changed_at[str(version)] = unix_time_s()
        draining = engines[version % len(engines)]
        fleet.write_entry(fleet.replicas[draining], state='draining')
        changed_at[draining] = unix_time_s()
        await asyncio.sleep(CHANGE_EVERY_S)
    await asyncio.sleep(2 * MAX_DELAY_S)
    return changed_at


def unix_time_s() -> float:
    """Return the time as Unix seconds, comparable with log timestamps."""
    return datetime.now(UTC).timestamp()


def find_applied_at(fleet: Fleet, number: int) -> dict[str, float]:
    """Return when a gateway applied each change, as Unix seconds by name."""
    applied_at: dict[str, float] = {}
    for line in fleet.gateways[number].log:
        logged_at = datetime.fromisoformat(line['timestamp']).timestamp()
        if line['event'] == 'configuration_in_force':
            # A version includes the changes of all earlier ones.
            for version in range(1, line['version'] + 1):
                applied_at.setdefault(str(version), logged_at)
        if line['event'] == 'replica_draining':
            applied_at.setdefault(line['replica'], logged_at)
    return applied_at


def print_delays(fleet: Fleet, changed_at: dict[str, float]) -> bool:
    """Print a row for each gateway.

    Returns whether every gateway applied every change within the bound.
    """
    is_within_bound = True
    click.echo(
        'gateway  peers out, in KB/s  store failed  age s  latest s  missing'
    )
    for number, gateway in enumerate(fleet.gateways):
        lines = gateway.events('status')[-int(3 * CHANGE_EVERY_S) :]
        applied_at = find_applied_at(fleet, number)
        delays_s = [
            applied_at[name] - at
            for name, at in changed_at.items()
            if name in applied_at
        ]
        missing = len(changed_at) - len(delays_s)
        is_within_bound = (
            is_within_bound and not missing and max(delays_s) <= MAX_DELAY_S
        )
        rates = [
            sum(line.get(f'peers_{direction}_bytes', 0) for line in lines)
            / len(lines)
            / 1000
            for direction in ('out', 'in')
        ]
        failed = sum(
            line.get('store_failed', 0) for line in gateway.events('status')
        )
        max_age_s = max(line['store_age_s'] or 0 for line in lines)
        click.echo(
            f'{number:7} {rates[0]:8.1f} {rates[1]:8.1f} {failed:10}'
            f' {max_age_s:8.2f} {max(delays_s, default=0):8.2f} {missing:8}'
        )
    return is_within_bound


async def print_idle_costs(fleet: Fleet) -> None:
    """Print processor time, memory and traffic without requests."""
    await asyncio.sleep(IDLE_S / 2)
    processes = [
        psutil.Process(gateway.process.pid) for gateway in fleet.gateways
    ]
    before = [sum(process.cpu_times()[:2]) for process in processes]
    await asyncio.sleep(IDLE_S)
    cpu_percents = [
        100 * (sum(process.cpu_times()[:2]) - cpu_before_s) / IDLE_S
        for process, cpu_before_s in zip(processes, before, strict=True)
    ]
    megabytes = [process.memory_info().rss / 1_000_000 for process in processes]
    rates_bytes_per_s = [bytes_per_s(gateway) for gateway in fleet.gateways]
    for name, figures in (
        ('% of a core', cpu_percents),
        ('MB', megabytes),
        (
            'KB/s, sent and received',
            [figure / 1000 for figure in rates_bytes_per_s],
        ),
    ):
        mean = sum(figures) / len(figures)
        click.echo(f'idle, {name}: {mean:.2f}, maximum {max(figures):.2f}')


def bytes_per_s(gateway: GatewayProcess) -> float:
    """Return a gateway's recent traffic with peers and store, per second."""
    lines = gateway.events('status')[-int(IDLE_S) :]
    kinds = ('peers_in', 'peers_out', 'store_in', 'store_out')
    total_bytes = sum(
        line.get(f'{kind}_bytes', 0) for line in lines for kind in kinds
    )
    return total_bytes / len(lines)


async def measure(
    folder: Path, gateways: int, models: int, seconds: float
) -> bool:
    """Run gateways with changes; return whether all met the bound."""
    rates = [
        FAST_BYTES_PER_S if number % 7 < 2 else SLOW_BYTES_PER_S
        for number in range(gateways)
    ]
    async with run_fleet(
        folder, rates, models=models, engines=ENGINES
    ) as fleet:
        request_task = asyncio.create_task(
            send_requests(fleet, random.Random(1))
        )
        await asyncio.sleep(CHANGE_EVERY_S)
        changed_at = await make_changes(fleet, seconds)
        request_task.cancel()
        is_within_bound = print_delays(fleet, changed_at)
        await print_idle_costs(fleet)
        return is_within_bound


@click.command()
@click.option('--gateways', default=28)
@click.option('--models', default=108)
@click.option('--seconds', default=20.0)
def main(gateways: int, models: int, seconds: float) -> None:
    """Measure some gateways; exit with status 1 beyond the bound."""
    with tempfile.TemporaryDirectory() as name:
        is_within_bound = asyncio.run(
            measure(Path(name), gateways, models, seconds)
        )
    click.echo(
        'within the bound' if is_within_bound else 'NOT within the bound'
    )
    sys.exit(not is_within_bound)


if __name__ == '__main__':
    main()
