"""How late the store's word is at gateways whose links are thin.

``python -m benchmarks.thin_links``: real gateway processes between the
stand-ins of the tests, each on a relayed link; 20 of 28 have a thin one. All
models are asked for at each gateway. Every two seconds the configuration
changes and a replica begins to leave. Ends with status 1 when a change was not
known at some gateway in the time that the deployments promise. Then what control
costs by itself: processor time and bytes of each gateway when nobody asks.
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

THIN_BYTES_PER_S: Final = 625_000
WIDE_BYTES_PER_S: Final = 12_500_000
# The shortest bound of the deployments that have thin links.
PROMISED_S: Final = 3.0
CHANGE_EVERY_S: Final = 2.0
ENGINES: Final = 25
REST_S: Final = 6.0


async def keep_asking(fleet: Fleet, rng: random.Random) -> None:
    """Let every gateway be asked for every model, over and over."""
    while True:
        await fleet.request_all_models(rng)


async def make_changes(fleet: Fleet, seconds: float) -> dict[str, float]:
    """Change the configuration and drain replicas; return when, by name."""
    made = {}
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    version = 1
    engines = [name for name in fleet.replicas if name.startswith('e')]
    while loop.time() < end:
        version += 1
        fleet.configure(version)
        made[str(version)] = now()
        leaving = engines[version % len(engines)]
        fleet.write_entry(fleet.replicas[leaving], state='draining')
        made[leaving] = now()
        await asyncio.sleep(CHANGE_EVERY_S)
    await asyncio.sleep(2 * PROMISED_S)
    return made


def now() -> float:
    """Return Unix seconds, as log lines have them."""
    return datetime.now(UTC).timestamp()


def known_at(fleet: Fleet, number: int) -> dict[str, float]:
    """Return when a gateway learned of each change, by its name."""
    known: dict[str, float] = {}
    for line in fleet.gateways[number].log:
        moment = datetime.fromisoformat(line['timestamp']).timestamp()
        if line['event'] == 'configuration_in_force':
            # A newer version has the changes of those that it replaces.
            for version in range(1, line['version'] + 1):
                known.setdefault(str(version), moment)
        if line['event'] == 'replica_draining':
            known.setdefault(line['replica'], moment)
    return known


def tell(fleet: Fleet, made: dict[str, float]) -> bool:
    """Print a row for each gateway; tell whether all promises were kept."""
    kept = True
    click.echo(
        'gateway  peers out, in KB/s  store failed  age s  latest s  lost'
    )
    for number, gateway in enumerate(fleet.gateways):
        lines = gateway.events('status')[-int(3 * CHANGE_EVERY_S) :]
        known = known_at(fleet, number)
        late = [known[name] - at for name, at in made.items() if name in known]
        lost = len(made) - len(late)
        kept = kept and not lost and max(late) <= PROMISED_S
        rates = [
            sum(line.get(f'peers_{way}_bytes', 0) for line in lines)
            / len(lines)
            / 1000
            for way in ('out', 'in')
        ]
        failed = sum(
            line.get('store_failed', 0) for line in gateway.events('status')
        )
        age = max(line['store_age_s'] or 0 for line in lines)
        click.echo(
            f'{number:7} {rates[0]:8.1f} {rates[1]:8.1f} {failed:10}'
            f' {age:8.2f} {max(late, default=0):8.2f} {lost:6}'
        )
    return kept


async def tell_rest(fleet: Fleet) -> None:
    """Print what the gateways spend while nobody asks them for anything."""
    await asyncio.sleep(REST_S / 2)
    processes = [psutil.Process(one.process.pid) for one in fleet.gateways]
    before = [sum(one.cpu_times()[:2]) for one in processes]
    await asyncio.sleep(REST_S)
    spent = [
        100 * (sum(one.cpu_times()[:2]) - start) / REST_S
        for one, start in zip(processes, before, strict=True)
    ]
    megabytes = [one.memory_info().rss / 1_000_000 for one in processes]
    carried = [bytes_per_s(gateway) for gateway in fleet.gateways]
    for name, figures in (
        ('% of a core', spent),
        ('MB', megabytes),
        ('KB/s, both ways', [figure / 1000 for figure in carried]),
    ):
        mean = sum(figures) / len(figures)
        click.echo(f'at rest, {name}: {mean:.2f}, most {max(figures):.2f}')


def bytes_per_s(gateway: GatewayProcess) -> float:
    """Return what a gateway exchanged of late, with peers and the store."""
    lines = gateway.events('status')[-int(REST_S) :]
    kinds = ('peers_in', 'peers_out', 'store_in', 'store_out')
    carried = sum(
        line.get(f'{kind}_bytes', 0) for line in lines for kind in kinds
    )
    return carried / len(lines)


async def measure(
    folder: Path, gateways: int, models: int, seconds: float
) -> bool:
    """Run a fleet and its changes."""
    rates = [
        WIDE_BYTES_PER_S if number % 7 < 2 else THIN_BYTES_PER_S
        for number in range(gateways)
    ]
    async with run_fleet(
        folder, rates, models=models, engines=ENGINES
    ) as fleet:
        asking = asyncio.create_task(keep_asking(fleet, random.Random(1)))
        await asyncio.sleep(CHANGE_EVERY_S)
        made = await make_changes(fleet, seconds)
        asking.cancel()
        kept = tell(fleet, made)
        await tell_rest(fleet)
        return kept


@click.command()
@click.option('--gateways', default=28)
@click.option('--models', default=108)
@click.option('--seconds', default=20.0)
def main(gateways: int, models: int, seconds: float) -> None:
    """Measure one fleet."""
    with tempfile.TemporaryDirectory() as name:
        kept = asyncio.run(measure(Path(name), gateways, models, seconds))
    click.echo('kept' if kept else 'NOT kept')
    sys.exit(not kept)


if __name__ == '__main__':
    main()
