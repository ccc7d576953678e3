"""Runs a gateway: ``python -m bramleybeam.gateway``.

This is a separate entry point, because importing the modules of the other roles
would double the time that a killed gateway takes to restart.
"""

import asyncio
import signal
import sys
from typing import Final

from expression import Result

from bramleybeam.catalog import HostSettings
from bramleybeam.gateway import GatewayDaemon
from bramleybeam.logs import configure_logs
from bramleybeam.platform import load_host_settings

_EXIT_BAD_SETTINGS: Final = 2


def main() -> None:
    """Read the settings and run a gateway until SIGTERM or SIGINT.

    Exits with status 2 if the settings are invalid.
    """
    match load_host_settings():
        case Result(tag='ok', ok=settings):
            configure_logs('info', process=settings.name, role='gateway')
            asyncio.run(_run(settings))
        case Result(error=message):
            sys.stderr.write(f'{message}\n')
            sys.exit(_EXIT_BAD_SETTINGS)


async def _run(settings: HostSettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    daemon = GatewayDaemon(settings)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload_settings)
    await daemon.start()
    await stop.wait()
    await daemon.shut_down()


if __name__ == '__main__':
    main()
