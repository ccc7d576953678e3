"""Runs uvicorn in the running event loop, without its signal handlers."""

import asyncio
import socket
import ssl
from contextlib import suppress
from functools import partial
from typing import Any, Final

import uvicorn
from blacksheep import Application

from bramleybeam.web._bounded_protocol import (
    MAX_INCOMPLETE_BYTES,
    BoundedProtocol,
)
from bramleybeam.web._budgeted_protocol import BudgetedProtocol, CallerLimits

# Connections that the kernel queues until they are accepted.
_BACKLOG: Final = 2048
# Connections that are accepted at a time, before their number is checked.
_ACCEPTED_AT_ONCE: Final = 32
# Interval at which ``start`` checks whether the server is running, and grace
# period of ``close`` when none is given.
_POLL_S: Final = 0.01
# Buffers of the system for a connection that is charged to a byte budget.
_SYSTEM_BUFFER_BYTES: Final = 65_536


class HttpServer:
    """Serves an application at an address from ``start`` until ``close``.

    With port 0 the system chooses a port; ``address`` contains it after
    ``start``. The caller owns the TLS context and can renew its keys. With
    ``limits``, what connections hold is charged to a byte budget.
    """

    def __init__(
        self,
        app: Application,
        address: str,
        tls: ssl.SSLContext | None = None,
        limits: CallerLimits | None = None,
    ) -> None:
        """Configure a server for ``address``, in the form ``IP:PORT``."""
        self._limits = limits
        protocol: Any = BoundedProtocol
        if limits is not None:
            protocol = partial(BudgetedProtocol, limits)
        self.address = address
        self._tls = tls
        config = uvicorn.Config(
            app,
            loop='none',
            backlog=_ACCEPTED_AT_ONCE,
            http=protocol,
            h11_max_incomplete_event_size=MAX_INCOMPLETE_BYTES,
            ws='none',
            lifespan='on',
            log_config=None,
            log_level='critical',
            access_log=False,
            server_header=False,
            proxy_headers=False,
            timeout_keep_alive=30,
        )
        config.load()
        config.ssl = tls
        self._server = uvicorn.Server(config)
        self._task: asyncio.Task[None] | None = None

    @property
    def url(self) -> str:
        """URL of the address, with the scheme ``https`` if TLS is used."""
        scheme = 'https' if self._tls else 'http'
        return f'{scheme}://{self.address}'

    async def start(self) -> None:
        """Open the port and wait until the server accepts requests."""
        listener = _open_listener(self.address)
        if self._limits is not None:
            # Accepted connections inherit the sizes.
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                listener.setsockopt(
                    socket.SOL_SOCKET, option, _SYSTEM_BUFFER_BYTES
                )
        host, port = listener.getsockname()[:2]
        self.address = f'{host}:{port}'
        self._task = asyncio.create_task(
            self._server._serve(sockets=[listener]),  # noqa: SLF001
        )
        while not self._server.started:
            if self._task.done():
                self._task.result()
            await asyncio.sleep(_POLL_S)
        # asyncio has set the queue to the number that it accepts at a time.
        listener.listen(_BACKLOG)

    async def close(self, grace: float = 0) -> None:
        """Stop accepting connections and wait for the server to end.

        Open connections may continue for ``grace`` seconds.
        """
        self._server.should_exit = True
        self._server.config.timeout_graceful_shutdown = grace or _POLL_S  # type: ignore[assignment]
        if self._task is not None:
            with suppress(asyncio.CancelledError):
                await self._task


def _open_listener(address: str) -> socket.socket:
    """Return a non-blocking socket that listens at ``IP:PORT``."""
    host, _, port = address.rpartition(':')
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host.strip('[]'), int(port)))
    listener.listen(_BACKLOG)
    listener.setblocking(False)  # noqa: FBT003
    return listener
