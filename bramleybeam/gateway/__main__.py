"""Runs a gateway: ``python -m bramleybeam.gateway``.

A module of its own, since importing what the other roles need would double
the time that a killed gateway takes to come back.
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
    """Check the settings and run until SIGTERM."""
    match load_host_settings():
        case Result(tag='ok', ok=settings):
            configure_logs('info', process=settings.name, role='gateway')
            asyncio.run(_run(settings))
        case Result(error=problem):
            sys.stderr.write(f'{problem}\n')
            sys.exit(_EXIT_BAD_SETTINGS)


async def _run(settings: HostSettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    daemon = GatewayDaemon(settings)
    await daemon.start()
    await stop.wait()
    await daemon.shut_down()


if __name__ == '__main__':
    main()
