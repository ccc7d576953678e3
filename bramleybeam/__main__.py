"""The command line: entry, agent, ctl and demo are its subcommands."""

import asyncio
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Final, Protocol, TypeVar

import click
from expression import Result

from bramleybeam import __version__
from bramleybeam.agent import AgentDaemon
from bramleybeam.demo import demo
from bramleybeam.entry import EntryDaemon
from bramleybeam.operators import ctl
from bramleybeam.settings import AgentSettings, EntrySettings, load_settings
from bramleybeam.telemetry import configure_logs

EXIT_BAD_SETTINGS: Final = 2
SettingsType = TypeVar('SettingsType')
_SETTINGS_OPTION = click.option(
    '--settings',
    'path',
    type=click.Path(path_type=Path),
    required=True,
    help='TOML settings of the process.',
)


class Daemon(Protocol):
    """A process that can be started and shut down."""

    async def start(self) -> None:
        """Open the ports and begin to serve."""

    async def shut_down(self) -> None:
        """Stop gracefully, without aborting requests in progress."""


@click.group()
@click.version_option(__version__)
def main() -> None:
    """Serve many models and their adapters on fewer accelerators."""


@main.command()
@_SETTINGS_OPTION
def entry(path: Path) -> None:
    """Run an entry behind the balancer."""
    settings = load_or_exit(path, EntrySettings)
    configure_logs(settings.log_level, process=settings.name, role='entry')
    asyncio.run(run_daemon(lambda: EntryDaemon(settings)))


@main.command()
@_SETTINGS_OPTION
def agent(path: Path) -> None:
    """Run an agent beside its upstream."""
    settings = load_or_exit(path, AgentSettings)
    configure_logs(settings.log_level, process=settings.name, role='agent')
    asyncio.run(run_daemon(lambda: AgentDaemon(settings)))


main.add_command(ctl)
main.add_command(demo)


def load_or_exit(path: Path, settings_type: type[SettingsType]) -> SettingsType:
    """Return the settings, or print every problem and exit.

    The exit status is then ``EXIT_BAD_SETTINGS``.
    """
    match load_settings(path, settings_type):
        case Result(tag='ok', ok=settings):
            return settings
        case Result(error=problems):
            for problem in problems:
                click.echo(str(problem), err=True)
    sys.exit(EXIT_BAD_SETTINGS)


async def run_daemon(make_daemon: Callable[[], Daemon]) -> None:
    """Run a process until SIGTERM or SIGINT, then shut it down."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    daemon = make_daemon()
    await daemon.start()
    await stop.wait()
    await daemon.shut_down()


if __name__ == '__main__':
    main()
