"""The HTTP/JSON adapter of the key-value port."""

import asyncio
import time
from typing import Any, Final

import aiohttp
from expression import Error, Ok, Result

from bramleybeam.decisions import TokenBucket
from bramleybeam.keyvalue._port import (
    Ambiguous,
    Conflict,
    KeyValueError,
    Lease,
    LeaseHeld,
    Unavailable,
    Versioned,
)

CALL_TIMEOUT_S: Final = 2.0
_CALLS_PER_SECOND: Final = 20
_CALL_BURST: Final = 40
_OK: Final = 200
_NO_CONTENT: Final = 204
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_FAILURES: Final = (aiohttp.ClientError, OSError, TimeoutError, ValueError)


class HttpKeyValue:
    """Speaks to the service at ``base_url``, within a budget of calls.

    The budget keeps one process from taking more than its share of the
    service when many restart at once; a call waits for its turn.
    """

    def __init__(self, base_url: str) -> None:
        """Store the address; the session opens on the first call."""
        self.calls = 0
        self._base_url = base_url
        self._bucket = TokenBucket(_CALLS_PER_SECOND, _CALL_BURST)
        self._session: aiohttp.ClientSession | None = None

    async def get(self, key: str) -> Result[Versioned | None, Unavailable]:
        """Read a key; ``None`` when it does not exist."""
        reply = await self._call('GET', f'/v1/keys/{key}')
        match reply:
            case (200, body):
                return Ok(Versioned(body['text'], body['version']))
            case (404, _):
                return Ok(None)
        return Error(Unavailable(str(reply)))

    async def swap(
        self,
        key: str,
        text: str,
        expected: int,
    ) -> Result[int, KeyValueError]:
        """Write when the version is ``expected``; 0 means must not exist."""
        body = {'text': text, 'expected': expected}
        reply = await self._call('PUT', f'/v1/keys/{key}', body)
        match reply:
            case (200, body):
                return Ok(int(body['version']))
            case (409, body):
                return Error(Conflict(int(body['version'])))
            case (429, _):
                return Error(Unavailable('over the rate of the service'))
            case str() as reason if reason.startswith('connect'):
                return Error(Unavailable(reason))
        return Error(Ambiguous(str(reply)))

    async def watch(
        self,
        key: str,
        after: int,
        wait: float,
    ) -> Result[Versioned | None, Unavailable]:
        """Wait until the version passes ``after``; ``None`` on time out."""
        path = f'/v1/watch/{key}?after={after}&wait={wait}'
        reply = await self._call('GET', path, extra_wait=wait)
        match reply:
            case (200, body):
                return Ok(Versioned(body['text'], body['version']))
            case (204, _):
                return Ok(None)
        return Error(Unavailable(str(reply)))

    async def lease(
        self,
        name: str,
        holder: str,
        ttl: float,
    ) -> Result[Lease, LeaseHeld | Unavailable]:
        """Take or renew a lease for ``ttl`` seconds."""
        before = time.monotonic()
        body = {'holder': holder, 'ttl': ttl}
        reply = await self._call('POST', f'/v1/leases/{name}', body)
        match reply:
            case (200, body):
                epoch = int(body['epoch'])
                return Ok(Lease(name, holder, epoch, before + ttl))
            case (409, body):
                return Error(LeaseHeld(body['holder'], body['remaining']))
        return Error(Unavailable(str(reply)))

    async def release(self, name: str, holder: str) -> None:
        """Give a lease up, if it is still held."""
        await self._call('DELETE', f'/v1/leases/{name}?holder={holder}')

    async def close(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        extra_wait: float = 0,
    ) -> tuple[int, Any] | str:
        await self._wait_for_turn()
        limit = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_S + extra_wait,
            connect=CALL_TIMEOUT_S,
        )
        session = self._open_session()
        url = f'{self._base_url}{path}'
        try:
            async with session.request(
                method, url, json=body, timeout=limit
            ) as response:
                if response.status == _NO_CONTENT:
                    return response.status, {}
                return response.status, await response.json()
        except aiohttp.ClientConnectorError as error:
            return f'connect: {error}'
        except _FAILURES as error:
            return f'lost: {error!r}'

    async def _wait_for_turn(self) -> None:
        while not self._bucket.take(time.monotonic()):
            await asyncio.sleep(self._bucket.wait_for(time.monotonic()))
        self.calls += 1

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        return self._session
