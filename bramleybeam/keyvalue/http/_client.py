"""HTTP/JSON implementation of the key-value interface."""

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
from bramleybeam.replies import read_json_body

# Time-out of a call, in addition to the wait of a watch.
CALL_TIMEOUT_S: Final = 2.0
# Client-side rate limit: sustained calls per second and burst size.
_CALLS_PER_SECOND: Final = 20
_CALL_BURST: Final = 40
_OK: Final = 200
_NO_CONTENT: Final = 204
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_CALL_ERRORS: Final = (aiohttp.ClientError, OSError, TimeoutError, ValueError)


class HttpKeyValue:
    """Calls the service at ``base_url`` within a client-side rate limit.

    The limit keeps one process from using more than its share of the service
    when many processes restart at the same time. A call above the limit
    waits. ``calls`` counts the calls that were sent.
    """

    def __init__(self, base_url: str) -> None:
        """Store the address; the session is opened by the first call."""
        self.calls = 0
        self._base_url = base_url
        self._bucket = TokenBucket(_CALLS_PER_SECOND, _CALL_BURST)
        self._session: aiohttp.ClientSession | None = None

    async def get(self, key: str) -> Result[Versioned | None, Unavailable]:
        """Return the value of a key, or ``None`` if it does not exist."""
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
        """Write if the version is ``expected`` and return the new version.

        An ``expected`` version of 0 means that the key must not exist.
        """
        body = {'text': text, 'expected': expected}
        reply = await self._call('PUT', f'/v1/keys/{key}', body)
        match reply:
            case (200, body):
                return Ok(int(body['version']))
            case (409, body):
                return Error(Conflict(int(body['version'])))
            case (429, _):
                return Error(Unavailable('rate limit of the service exceeded'))
            case str() as reason if reason.startswith('connect'):
                return Error(Unavailable(reason))
        return Error(Ambiguous(str(reply)))

    async def watch(
        self,
        key: str,
        after: int,
        wait: float,
    ) -> Result[Versioned | None, Unavailable]:
        """Wait up to ``wait`` seconds for a version greater than ``after``.

        Returns the new value, or ``None`` on timeout.
        """
        path = f'/v1/watch/{key}?after={after}&wait={wait}'
        reply = await self._call('GET', path, extra_wait_s=wait)
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
        """Acquire or renew a lease for ``ttl`` seconds and return it."""
        sent_at = time.monotonic()
        body = {'holder': holder, 'ttl': ttl}
        reply = await self._call('POST', f'/v1/leases/{name}', body)
        match reply:
            case (200, body):
                epoch = int(body['epoch'])
                return Ok(Lease(name, holder, epoch, sent_at + ttl))
            case (409, body):
                return Error(LeaseHeld(body['holder'], body['remaining']))
        return Error(Unavailable(str(reply)))

    async def release(self, name: str, holder: str) -> None:
        """Release a lease if ``holder`` still holds it."""
        await self._call('DELETE', f'/v1/leases/{name}?holder={holder}')

    async def close(self) -> None:
        """Close the HTTP session, if one was opened."""
        if self._session is not None:
            await self._session.close()

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        extra_wait_s: float = 0,
    ) -> tuple[int, Any] | str:
        """Return status and JSON body, or a text that says what failed.

        The text starts with ``connect`` if the request was not sent, and
        with ``lost`` if it may have reached the service.
        """
        await self._wait_for_rate_limit()
        time_limit = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_S + extra_wait_s,
            connect=CALL_TIMEOUT_S,
        )
        session = self._get_session()
        url = f'{self._base_url}{path}'
        try:
            async with session.request(
                method, url, json=body, timeout=time_limit
            ) as response:
                if response.status == _NO_CONTENT:
                    return response.status, {}
                return response.status, await read_json_body(response)
        except aiohttp.ClientConnectorError as error:
            return f'connect: {error}'
        except _CALL_ERRORS as error:
            return f'lost: {error!r}'

    async def _wait_for_rate_limit(self) -> None:
        """Wait until the rate limit allows a call, and count the call."""
        while not self._bucket.take(time.monotonic()):
            await asyncio.sleep(self._bucket.wait_for(time.monotonic()))
        self.calls += 1

    def _get_session(self) -> aiohttp.ClientSession:
        """Return the HTTP session and open it on the first use."""
        if self._session is None:
            self._session = aiohttp.ClientSession()
        return self._session
