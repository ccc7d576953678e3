"""Runs a stand-in as a process: ``python -m bramleybeam.standins``."""

import asyncio
import signal
import sys
from collections.abc import Callable

import click
from blacksheep import Application

from bramleybeam.standins._engine import EngineStandIn
from bramleybeam.standins._engine_http import make_engine_app
from bramleybeam.standins._engine_parts import EngineSettings
from bramleybeam.standins._hosts import HostListStandIn
from bramleybeam.standins._keyvalue import KeyValueStandIn
from bramleybeam.standins._ledger import LedgerStandIn
from bramleybeam.standins._weights import WeightStoreStandIn
from bramleybeam.telemetry import configure_logs
from bramleybeam.web import HttpServer

_LISTEN = click.option('--listen', default='127.0.0.1:0', help='IP:PORT.')


@click.group()
def main() -> None:
    """Run a stand-in for a service of the platform."""
    configure_logs('error', sys.stderr)


@main.command()
@_LISTEN
def keyvalue(listen: str) -> None:
    """Run the key-value service."""
    asyncio.run(_serve(lambda: KeyValueStandIn().make_app(), listen))


@main.command()
@_LISTEN
@click.option(
    '--lag', default=0.2, help='Seconds until the list shows a change.'
)
def hosts(listen: str, lag: float) -> None:
    """Run the list of hosts."""
    asyncio.run(_serve(lambda: HostListStandIn(lag).make_app(), listen))


@main.command()
@_LISTEN
@click.option('--delay', default=0.0, help='Seconds that a posting takes.')
def ledger(listen: str, delay: float) -> None:
    """Run the ledger, a plain HTTP service."""
    asyncio.run(_serve(lambda: LedgerStandIn(delay).make_app(), listen))


@main.command()
@_LISTEN
@click.option('--name', default='engine')
@click.option('--capacity-mb', default=80_000)
@click.option('--checks-fencing', is_flag=True)
@click.option(
    '--step-s',
    default=0.008,
    help='Base seconds per batch step.',
)
@click.option('--load-s-per-gb', default=0.1)
def engine(
    listen: str,
    name: str,
    capacity_mb: int,
    checks_fencing: bool,  # noqa: FBT001
    step_s: float,
    load_s_per_gb: float,
) -> None:
    """Run a model engine."""
    settings = EngineSettings(
        name=name,
        capacity_mb=capacity_mb,
        checks_fencing=checks_fencing,
        step_s=step_s,
        load_s_per_gb=load_s_per_gb,
    )

    def make_app() -> Application:
        standin = EngineStandIn(settings, WeightStoreStandIn(1000, 100, 100))
        standin.start()
        return make_engine_app(standin)

    asyncio.run(_serve(make_app, listen))


@main.command()
@click.option('--count', default=10)
@click.option('--capacity-mb', default=80_000)
def engines(count: int, capacity_mb: int) -> None:
    """Run several model engines in one process, each on its own port."""
    settings = EngineSettings(capacity_mb=capacity_mb)

    def make_app() -> Application:
        standin = EngineStandIn(settings, WeightStoreStandIn(1000, 100, 100))
        standin.start()
        return make_engine_app(standin)

    asyncio.run(_serve_copies(make_app, count))


async def _serve_copies(
    app_factory: Callable[[], Application], count: int
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    urls = []
    for _ in range(count):
        server = HttpServer(app_factory(), '127.0.0.1:0')
        await server.start()
        urls.append(server.url)
    sys.stdout.write('{0}\n'.format(' '.join(urls)))
    sys.stdout.flush()
    await stop.wait()


async def _serve(app_factory: Callable[[], Application], listen: str) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    server = HttpServer(app_factory(), listen)
    await server.start()
    sys.stdout.write(f'{server.url}\n')
    sys.stdout.flush()
    await stop.wait()
    await server.close()


if __name__ == '__main__':
    main()
