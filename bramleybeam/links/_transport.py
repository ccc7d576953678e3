"""Opens and accepts links over TCP or TLS."""

import asyncio
import functools
import ssl
from typing import Final

from bramleybeam.links._link import Link, LinkHandler, LinkIdentity, LinkLost

CONNECT_TIMEOUT_S: Final = 1.5


async def connect_link(
    address: str,
    identity: LinkIdentity,
    handler: LinkHandler,
    tls: ssl.SSLContext | None = None,
) -> Link:
    """Connect to ``IP:PORT`` and return the link after the peer's hello.

    Raises ``LinkLost`` when there is no hello within ``CONNECT_TIMEOUT_S``.
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    factory = functools.partial(Link, identity, handler)
    server_hostname = host if tls else None
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _transport, link = await loop.create_connection(
                factory,
                host,
                int(port),
                ssl=tls,
                server_hostname=server_hostname,
            )
            await _wait_for_hello(link)
    except (OSError, TimeoutError) as error:
        raise LinkLost(f'{address}: {error}') from error
    return link


class LinkServer:
    """Accepts links from peers at one address."""

    def __init__(
        self,
        address: str,
        identity: LinkIdentity,
        handler: LinkHandler,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Store the address ``IP:PORT``; with port 0 the system chooses one."""
        self.address = address
        self._identity = identity
        self._handler = handler
        self._tls = tls
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Open the port and set ``address`` to the actual one."""
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.get_running_loop().create_server(
            functools.partial(Link, self._identity, self._handler),
            host,
            int(port),
            ssl=self._tls,
        )
        actual_port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{actual_port}'
        self._identity.address = self.address

    async def close(self) -> None:
        """Close the port; open links are not closed."""
        if self._server is not None:
            self._server.close()


async def _wait_for_hello(link: Link) -> None:
    try:
        await link.opened
    except asyncio.CancelledError:
        link.close()
        raise
