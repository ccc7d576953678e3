"""HTTP port of the stand-ins for the platform's store and replicas."""

import attrs

from bramleybeam.relay import CallerServer


@attrs.define(kw_only=True)
class PortStandIn:
    """Listens on a free loopback port; ``_answer`` handles requests."""

    _server: CallerServer | None = None

    async def start(self) -> None:
        """Open a port."""
        self._server = CallerServer('127.0.0.1:0', self._answer)
        await self._server.start()

    async def close(self) -> None:
        """Close the port."""
        await self._server.close(0)

    @property
    def address(self) -> str:
        """Address that it listens on, ``IP:PORT``."""
        return self._server.address
