"""Reads the platform's lagging list of hosts."""

from typing import Final

import aiohttp
import attrs
import cattrs

_TIMEOUT_S: Final = 2.0


@attrs.frozen
class Host:
    """One process of the system as the platform lists it."""

    name: str
    role: str
    address: str
    zone: str
    upstream: str = ''
    state: str = 'live'


class HostList:
    """The last list that the platform gave; it lags, and can fail to come."""

    def __init__(self, url: str) -> None:
        """Store the address of the list."""
        self.hosts: tuple[Host, ...] = ()
        self._url = url
        self._session: aiohttp.ClientSession | None = None

    def live_entries(self) -> list[str]:
        """Return the names of the entries that are listed as live."""
        return [
            host.name
            for host in self.hosts
            if host.role == 'entry' and host.state == 'live'
        ]

    async def refresh(self) -> bool:
        """Read the list; a failure keeps the last one."""
        if self._session is None:
            limit = aiohttp.ClientTimeout(total=_TIMEOUT_S)
            self._session = aiohttp.ClientSession(timeout=limit)
        try:
            async with self._session.get(f'{self._url}/v1/hosts') as response:
                body = await response.json()
            hosts = cattrs.structure(body['hosts'], tuple[Host, ...])
        except Exception:
            return False
        self.hosts = hosts
        return True

    async def close(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()
