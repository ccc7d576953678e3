"""Reads the platform's list of hosts, which lags behind their state."""

from typing import Final

import aiohttp
import attrs
import cattrs

from bramleybeam.replies import read_json_body

_TIMEOUT_S: Final = 2.0


@attrs.frozen
class Host:
    """One process of the system, as listed by the platform.

    The fields are the keys of a list entry. ``upstream`` is the name of the
    agent's upstream, empty for other roles. ``state`` is ``live`` or
    ``leaving``.
    """

    name: str
    role: str
    address: str
    zone: str
    upstream: str = ''
    state: str = 'live'


class HostList:
    """The last list that was read from the platform.

    The list can lag behind the state of the hosts, and reading it can fail.
    """

    def __init__(self, url: str) -> None:
        """Store the URL of the platform's interface."""
        self.hosts: tuple[Host, ...] = ()
        self._url = url
        self._session: aiohttp.ClientSession | None = None

    def live_entries(self) -> list[str]:
        """Return the process names of the entries that are listed as live."""
        return [
            host.name
            for host in self.hosts
            if host.role == 'entry' and host.state == 'live'
        ]

    async def refresh(self) -> bool:
        """Read the list and return whether that succeeded.

        A failure keeps the previous list.
        """
        if self._session is None:
            client_timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
            self._session = aiohttp.ClientSession(timeout=client_timeout)
        try:
            async with self._session.get(f'{self._url}/v1/hosts') as response:
                body = await read_json_body(response)
            hosts = cattrs.structure(body['hosts'], tuple[Host, ...])
        except Exception:
            return False
        self.hosts = hosts
        return True

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()
