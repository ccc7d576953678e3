"""The one client of the platform's store.

Each call takes a connection of its own, since an open one may have gone
silent for good. Calls never raise for what the store does.
"""

import asyncio
import base64
import json
import time
from contextlib import closing
from typing import Any, Final, Protocol
from urllib.parse import urlencode

import attrs
import structlog
from expression import Error, Ok, Result

from bramleybeam.keyvalue import (
    Changes,
    HistoryLost,
    Item,
    Lease,
    LeaseHeld,
    Listing,
    Removal,
    Unavailable,
)
from bramleybeam.relay import BrokenReplyError, connect_peer

_CONNECT_TIMEOUT_S: Final = 0.5
_CALL_TIMEOUT_S: Final = 1.5
_MAX_ANSWER_BYTES: Final = 1 << 24
_OK: Final = 200
_MAX_PAGES: Final = 40
# Also a key that is taken, a lease that has ended, a history that is gone.
_USUAL_STATUSES: Final = frozenset((_OK, 404, 410, 412))
_log = structlog.get_logger('store')
_NO_ANSWER: Final = (OSError, TimeoutError, BrokenReplyError, ValueError)


class CallObserver(Protocol):
    """Is told of calls to the store that have ended."""

    def __call__(
        self, took_s: float, sizes: tuple[int, int], *, answered: bool
    ) -> None:
        """Take in seconds, bytes sent and received, and if it answered."""


@attrs.frozen
class _Answer:
    status: int
    content: Any


@attrs.frozen
class _Ended:
    """A call that has ended, and when it began, in seconds."""

    name: str
    answer: _Answer | str
    began: float


@attrs.define
class _OwnLease:
    """A lease in the store and the key that was written under it."""

    lease_id: int
    epoch: int


class PlatformStore:
    """Reads, follows and writes keys, and keeps leases by name."""

    def __init__(
        self,
        address: str,
        key_prefix: str = 'bramleybeam/',
        on_call: CallObserver | None = None,
    ) -> None:
        """Store the address ``IP:PORT`` and the prefix of own keys.

        ``on_call`` is told of each call that has ended.
        """
        self.calls = 0
        self._on_call = on_call
        self._address = address
        self._key_prefix = key_prefix
        self._own: dict[str, _OwnLease] = {}

    async def list_items(self, prefix: str) -> Result[Listing, Unavailable]:
        """Read all items of a prefix, page by page.

        The revision is that of the first page, so that changes made between
        two pages are followed from there and never missed.
        """
        items: list[Item] = []
        revision = 0
        after = ''
        for _ in range(_MAX_PAGES):
            reply = await self._get(
                '/api/kv-range', {'prefix': prefix, 'after': after}
            )
            if not isinstance(reply, _Answer) or reply.status != _OK:
                return Error(Unavailable(str(reply)))
            page = [_decode_item(row) for row in reply.content['items']]
            items.extend(page)
            revision = revision or int(reply.content['as-of'])
            if not page or not reply.content.get('truncated'):
                break
            after = page[-1].key
        return Ok(Listing(tuple(items), revision))

    async def follow(
        self,
        prefix: str,
        after: int,
        wait: float,
    ) -> Result[Changes, HistoryLost | Unavailable]:
        """Wait up to ``wait`` seconds for changes after a revision."""
        query = {
            'prefix': prefix,
            'after': after,
            'wait-ms': round(wait * 1000),
        }
        reply = await self._get('/api/kv-watch', query, extra_wait=wait)
        match reply:
            case _Answer(status=200, content=content):
                events = tuple(map(_decode_event, content['events']))
                return Ok(Changes(events, int(content['as-of'])))
            case _Answer(status=410):
                return Error(HistoryLost())
        return Error(Unavailable(str(reply)))

    async def lease(
        self,
        name: str,
        holder: str,
        ttl: float,
    ) -> Result[Lease, LeaseHeld | Unavailable]:
        """Take or renew a lease; its epoch is the revision of its key."""
        before = boot_time()
        own = self._own.get(name)
        if own is not None:
            renewal = await self._post(f'/api/kv-keep/{own.lease_id}', None)
            match renewal:
                case _Answer(status=200):
                    return Ok(Lease(name, holder, own.epoch, before + ttl))
                case _Answer(status=404):
                    self._own.pop(name, None)
                    return Error(LeaseHeld('', 0))
            return Error(Unavailable(str(renewal)))
        return await self._take(name, holder, ttl)

    async def release(self, name: str, holder: str) -> None:
        """Give a lease up, if it is still held."""
        own = self._own.pop(name, None)
        if own is not None:
            await self._call('DELETE', f'/api/kv-lease-end/{own.lease_id}')

    def forget(self, name: str) -> None:
        """Drop a lease whose key was taken away."""
        self._own.pop(name, None)

    async def _take(
        self,
        name: str,
        holder: str,
        ttl: float,
    ) -> Result[Lease, LeaseHeld | Unavailable]:
        before = boot_time()
        granted = await self._post(
            '/api/kv-lease', {'ttl-ms': round(ttl * 1000)}
        )
        if not isinstance(granted, _Answer) or granted.status != _OK:
            return Error(Unavailable(str(granted)))
        lease_id = int(granted.content['lease'])
        key = f'{self._key_prefix}{name}'
        row = {
            'key': key,
            'value': base64.b64encode(holder.encode()).decode(),
            'lease': lease_id,
        }
        written = await self._post(
            '/api/kv-txn',
            {
                'expected': [{'key': key, 'revision': 0}],
                'writes': [row],
                'deletes': [],
            },
        )
        match written:
            case _Answer(status=200, content=content):
                epoch = int(content['revision'])
                self._own[name] = _OwnLease(lease_id, epoch)
                return Ok(Lease(name, holder, epoch, before + ttl))
            case _Answer(status=412):
                await self._call('DELETE', f'/api/kv-lease-end/{lease_id}')
                return Error(LeaseHeld('', ttl))
        # An unanswered write may take effect; its key ends with the lease.
        return Error(Unavailable(str(written)))

    async def _get(
        self,
        path: str,
        query: dict[str, Any],
        extra_wait: float = 0,
    ) -> _Answer | str:
        shown = {key: named for key, named in query.items() if named != ''}
        return await self._call(
            'GET', f'{path}?{urlencode(shown)}', extra_wait=extra_wait
        )

    async def _post(self, path: str, body: Any) -> _Answer | str:
        encoded = b'' if body is None else json.dumps(body).encode()
        return await self._call('POST', path, encoded)

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        extra_wait: float = 0,
    ) -> _Answer | str:
        self.calls += 1
        began = time.monotonic()
        answer: _Answer | str
        received = 0
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S + extra_wait):
                answer, received = await self._exchange(method, target, body)
        except _NO_ANSWER as error:
            answer = f'no answer: {error!r}'
        self._account(
            _Ended(f'{method} {target.partition("?")[0]}', answer, began),
            (len(target) + len(body), received),
        )
        return answer

    def _account(self, call: _Ended, sizes: tuple[int, int]) -> None:
        """Log a call that failed, and count any that has ended."""
        took_s = time.monotonic() - call.began
        answer = call.answer
        answered = isinstance(answer, _Answer)
        if isinstance(answer, str) or answer.status not in _USUAL_STATUSES:
            _log.info(
                'store_call_failed',
                call=call.name,
                took_s=round(took_s, 3),
                answer=str(answer),
            )
        if self._on_call is not None:
            self._on_call(took_s, sizes, answered=answered)

    async def _exchange(
        self,
        method: str,
        target: str,
        body: bytes,
    ) -> tuple[_Answer, int]:
        headers = (
            (b'Host', self._address.encode()),
            (b'Content-Type', b'application/json'),
        )
        call = await connect_peer(self._address, _CONNECT_TIMEOUT_S)
        with closing(call):
            line = f'{method} {target} HTTP/1.1'.encode()
            head, raw = await call.fetch(line, headers, body, _MAX_ANSWER_BYTES)
        is_json = head.status == _OK and raw
        content = json.loads(raw) if is_json else None
        return _Answer(head.status, content), len(raw)


def boot_time() -> float:
    """Return seconds that go on while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _decode_item(row: dict[str, Any]) -> Item:
    content = base64.b64decode(row['value'])
    return Item(str(row['key']), content, int(row['revision']))


def _decode_event(row: dict[str, Any]) -> Item | Removal:
    if row.get('removed'):
        return Removal(str(row['key']), int(row['revision']))
    return _decode_item(row)
