"""Client of the platform's store.

Each call opens a connection of its own, because the peer of an open one may
have stopped responding. Calls never raise for failures of the store.
"""

import asyncio
import base64
import json
import time
from collections.abc import Mapping, Sequence
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
    Unavailable,
)
from bramleybeam.platform._store_replies import (
    REPLY_ERRORS,
    decode_changes,
    decode_page,
    note_unreadable,
)
from bramleybeam.relay import BrokenReplyError, connect_peer

_CONNECT_TIMEOUT_S: Final = 0.5
# Time-out of a call, in addition to the wait of a watch.
_CALL_TIMEOUT_S: Final = 1.5
_MAX_REPLY_BYTES: Final = 1 << 24
_OK: Final = 200
# Largest number of pages read for one listing.
_MAX_PAGES: Final = 40
# Largest number of keys that one call may change.
_MAX_CHANGES: Final = 32
# Expected statuses besides success: a lease that has ended (404), a history
# that is gone (410) and a key that is taken (412).
_EXPECTED_STATUSES: Final = frozenset((_OK, 404, 410, 412))
_log = structlog.get_logger('store')
# Raised by a call that gets no valid reply.
_CALL_ERRORS: Final = (
    OSError,
    TimeoutError,
    BrokenReplyError,
    ValueError,
    RecursionError,
)


class CallObserver(Protocol):
    """Callback for each finished call to the store."""

    def __call__(
        self, took_s: float, sizes: tuple[int, int], *, answered: bool
    ) -> None:
        """Receive the duration in seconds and whether the store replied.

        ``sizes`` are the bytes sent and the bytes received.
        """


@attrs.frozen
class _Answer:
    """The status code and the decoded JSON body of a reply."""

    status: int
    content: Any


@attrs.frozen
class _FinishedCall:
    """A finished call; ``started_at`` is its monotonic start time in seconds.

    ``answer`` is a text that describes the error if there was no reply.
    """

    name: str
    answer: _Answer | str
    started_at: float


@attrs.define
class _HeldLease:
    """The store's id of a lease and the revision of the key under it."""

    lease_id: int
    epoch: int


class PlatformStore:
    """Lists and watches keys, and acquires and renews leases by name.

    ``calls`` counts the calls that were started.
    """

    def __init__(
        self,
        address: str,
        key_prefix: str = 'bramleybeam/',
        on_call: CallObserver | None = None,
    ) -> None:
        """Store the address ``IP:PORT`` and the prefix of the keys of leases.

        ``on_call`` is called after each call to the store.
        """
        self.calls = 0
        self._on_call = on_call
        self._address = address
        self._key_prefix = key_prefix
        self._held_leases: dict[str, _HeldLease] = {}

    async def list_items(self, prefix: str) -> Result[Listing, Unavailable]:
        """Return all items of a prefix, read page by page.

        The revision of the listing is that of the first page, so that a
        watch that starts from it includes changes made between two pages.
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
            try:
                page = decode_page(reply.content)
            except REPLY_ERRORS as error:
                return Error(note_unreadable('listing', error))
            items.extend(page.items)
            revision = revision or page.revision
            if not page.items or not page.is_truncated:
                break
            after = page.items[-1].key
        return Ok(Listing(tuple(items), revision))

    async def follow(
        self,
        prefix: str,
        after: int,
        wait: float,
    ) -> Result[Changes, HistoryLost | Unavailable]:
        """Wait up to ``wait`` seconds for changes after revision ``after``.

        Returns the changes, which are empty on timeout.
        """
        query = {
            'prefix': prefix,
            'after': after,
            'wait-ms': round(wait * 1000),
        }
        reply = await self._get('/api/kv-watch', query, extra_wait_s=wait)
        match reply:
            case _Answer(status=200, content=content):
                try:
                    return Ok(decode_changes(content))
                except REPLY_ERRORS as error:
                    return Error(note_unreadable('changes', error))
            case _Answer(status=410):
                return Error(HistoryLost())
        return Error(Unavailable(str(reply)))

    async def lease(
        self,
        name: str,
        holder: str,
        ttl: float,
    ) -> Result[Lease, LeaseHeld | Unavailable]:
        """Acquire or renew a lease for ``ttl`` seconds and return it.

        Its epoch is the revision of the key that was written under it.
        """
        sent_at = boot_clock()
        held = self._held_leases.get(name)
        if held is not None:
            renewal = await self._post(f'/api/kv-keep/{held.lease_id}', None)
            match renewal:
                case _Answer(status=200):
                    return Ok(Lease(name, holder, held.epoch, sent_at + ttl))
                case _Answer(status=404):
                    self._held_leases.pop(name, None)
                    return Error(LeaseHeld('', 0))
            return Error(Unavailable(str(renewal)))
        return await self._acquire(name, holder, ttl)

    async def write(
        self, writes: Mapping[str, bytes], deletes: Sequence[str]
    ) -> bool:
        """Write and delete keys together; returns whether that was confirmed.

        Without a confirmation the change may still take effect. At most
        ``_MAX_CHANGES`` are made in one call.
        """
        rows = [
            {'key': key, 'value': base64.b64encode(content).decode()}
            for key, content in writes.items()
        ]
        deletes = deletes[:_MAX_CHANGES]
        body = {
            'expected': [],
            'writes': rows[: _MAX_CHANGES - len(deletes)],
            'deletes': list(deletes),
        }
        answer = await self._post('/api/kv-txn', body)
        return isinstance(answer, _Answer) and answer.status == _OK

    async def release(self, name: str, holder: str) -> None:
        """Release a lease if this client holds it."""
        held = self._held_leases.pop(name, None)
        if held is not None:
            await self._call('DELETE', f'/api/kv-lease-end/{held.lease_id}')

    def forget(self, name: str) -> None:
        """Forget a lease whose key was removed; the store is not called."""
        self._held_leases.pop(name, None)

    async def _acquire(
        self,
        name: str,
        holder: str,
        ttl: float,
    ) -> Result[Lease, LeaseHeld | Unavailable]:
        """Create a lease in the store, and its key unless that exists."""
        sent_at = boot_clock()
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
                self._held_leases[name] = _HeldLease(lease_id, epoch)
                return Ok(Lease(name, holder, epoch, sent_at + ttl))
            case _Answer(status=412):
                await self._call('DELETE', f'/api/kv-lease-end/{lease_id}')
                return Error(LeaseHeld('', ttl))
        # A write without a reply may still take effect. Its key is then
        # removed when the lease expires.
        return Error(Unavailable(str(written)))

    async def _get(
        self,
        path: str,
        query: dict[str, Any],
        extra_wait_s: float = 0,
    ) -> _Answer | str:
        """Make a GET call without the empty parameters of ``query``."""
        parameters = {key: value for key, value in query.items() if value != ''}
        return await self._call(
            'GET', f'{path}?{urlencode(parameters)}', extra_wait_s=extra_wait_s
        )

    async def _post(self, path: str, body: Any) -> _Answer | str:
        """Make a POST call with ``body`` as JSON, or without a body."""
        encoded = b'' if body is None else json.dumps(body).encode()
        return await self._call('POST', path, encoded)

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        extra_wait_s: float = 0,
    ) -> _Answer | str:
        """Make a call; returns the reply or a text that says what failed.

        ``extra_wait_s`` is added to the time-out, in seconds.
        """
        self.calls += 1
        started_at = time.monotonic()
        answer: _Answer | str
        received = 0
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S + extra_wait_s):
                answer, received = await self._exchange(method, target, body)
        except _CALL_ERRORS as error:
            answer = f'no answer: {error!r}'
        self._report_call(
            _FinishedCall(
                f'{method} {target.partition("?")[0]}', answer, started_at
            ),
            (len(target) + len(body), received),
        )
        return answer

    def _report_call(self, call: _FinishedCall, sizes: tuple[int, int]) -> None:
        """Log a call that failed, and notify the observer of any call."""
        took_s = time.monotonic() - call.started_at
        answer = call.answer
        answered = isinstance(answer, _Answer)
        if isinstance(answer, str) or answer.status not in _EXPECTED_STATUSES:
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
        """Send a request; return the reply and the size of its body."""
        headers = (
            (b'Host', self._address.encode()),
            (b'Content-Type', b'application/json'),
        )
        connection = await connect_peer(self._address, _CONNECT_TIMEOUT_S)
        with closing(connection):
            first_line = f'{method} {target} HTTP/1.1'.encode()
            head, raw = await connection.fetch(
                first_line, headers, body, _MAX_REPLY_BYTES
            )
        is_json = head.status == _OK and raw
        content = json.loads(raw) if is_json else None
        return _Answer(head.status, content), len(raw)


def boot_clock() -> float:
    """Return a monotonic time in seconds that includes suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
