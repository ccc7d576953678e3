"""Stand-in for the platform's store, on the relay's HTTP server."""

import asyncio
import base64
import json
import time
from contextlib import suppress
from urllib.parse import parse_qs, urlsplit

import attrs

from tests.platform_port import PortStandIn

# Interval between checks for expired leases.
_EXPIRY_CHECK_S = 0.05
# Interval between checks of a watch that lags for changes that it may show.
_LAG_CHECK_S = 0.02


@attrs.define
class StoredItem:
    """Content of a key, its revisions and its lease (0: none)."""

    content: bytes
    revision: int
    created: int
    lease: int = 0


@attrs.define
class StoredLease:
    """A lease: seconds from each renewal, and the loop time of its end."""

    ttl_s: float
    expires_at: float


@attrs.define
class StoreStandIn(PortStandIn):
    """Keys under one revision counter, with watches, leases and faults.

    ``mode`` is ``up``, ``unresponsive`` (no answers), ``busy`` (answers 503)
    or ``lost`` (writes are applied but not answered). While the store is not
    up, leases are extended, unless ``expires_while_down`` is set. Each answer
    is delayed by ``delay_s``. Watches show a change only ``watch_lag_s`` after it
    was written, and state a revision before it until then. ``era`` is stated in
    all answers. The next ``lost_watches`` watches are never answered, and the next
    ``refused_reads`` listings and watches get 503.
    """

    mode: str = 'up'
    items: dict = attrs.field(factory=dict)
    history: list = attrs.field(factory=list)
    leases: dict = attrs.field(factory=dict)
    revision: int = 0
    compacted_revision: int = 0
    calls: list = attrs.field(factory=list)
    expires_while_down: bool = False
    delay_s: float = 0
    watch_lag_s: float = 0
    era: int = 1
    lost_watches: int = 0
    refused_reads: int = 0
    _written_at: dict = attrs.field(factory=dict)
    _last_lease: int = 7000
    _expiry: asyncio.Task | None = None
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def start(self) -> None:
        """Open a port and start to expire leases."""
        await super().start()
        self._expiry = asyncio.create_task(self._end_leases())

    async def close(self) -> None:
        """Close the port."""
        self._expiry.cancel()
        await super().close()

    async def _end_leases(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_CHECK_S)
            now = asyncio.get_running_loop().time()
            for number, lease in tuple(self.leases.items()):
                if self.mode != 'up' and not self.expires_while_down:
                    lease.expires_at += _EXPIRY_CHECK_S
                elif now >= lease.expires_at:
                    self.end_lease(number)

    def put(self, key: str, value, lease: int = 0) -> int:
        """Write a key, as JSON unless bytes; return the new revision."""
        content = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        self.revision += 1
        existing = self.items.get(key)
        created = existing.created if existing else self.revision
        self.items[key] = StoredItem(content, self.revision, created, lease)
        self.history.append((self.revision, self._render_item(key)))
        self._written_at[self.revision] = time.monotonic()
        self._notify_watchers()
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        row = {'key': key, 'revision': self.revision, 'removed': True}
        self.history.append((self.revision, row))
        self._written_at[self.revision] = time.monotonic()
        self._notify_watchers()

    def compact_history(self) -> None:
        """Drop all history: watches from older revisions get 410."""
        self.history.clear()
        self.compacted_revision = self.revision
        self._notify_watchers()

    def copy(self) -> dict:
        """Return a copy of the content, to come back from."""
        return {
            'items': dict(self.items),
            'history': list(self.history),
            'leases': dict(self.leases),
            'revision': self.revision,
        }

    def restore(self, copied: dict) -> None:
        """Come back from a copy; what was written since is gone."""
        for name, content in copied.items():
            setattr(self, name, content)
        self.era += 1
        self._notify_watchers()

    def _describe_era(self) -> tuple:
        return ((b'Store-Era', b'%d' % self.era),)

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _render_item(self, key: str) -> dict:
        item = self.items[key]
        return {
            'key': key,
            'value': base64.b64encode(item.content).decode(),
            'revision': item.revision,
            'create-rev': item.created,
            'lease': item.lease,
        }

    async def _answer(self, request, connection) -> None:
        split = urlsplit(request.target.decode())
        query = {name: rows[0] for name, rows in parse_qs(split.query).items()}
        self.calls.append((request.method.decode(), split.path, query))
        await asyncio.sleep(self.delay_s)
        if self.mode == 'unresponsive':
            await asyncio.sleep(60)
        if self.mode == 'busy' or self._refuses(request):
            connection.respond(503, self._describe_era(), b'{}')
            return
        status, body = await self._dispatch(request, split.path, query)
        if self.mode == 'lost' and request.method != b'GET':
            await asyncio.sleep(60)
        connection.respond(
            status, self._describe_era(), json.dumps(body).encode()
        )

    def _refuses(self, request) -> bool:
        if not self.refused_reads or request.method != b'GET':
            return False
        self.refused_reads -= 1
        return True

    async def _dispatch(self, request, path: str, query: dict):
        if path == '/api/kv-range':
            return 200, self._range(query)
        if path == '/api/kv-watch':
            return await self._watch(query)
        body = json.loads(request.body) if request.body else {}
        if path == '/api/kv-txn':
            return self._commit(body)
        if path == '/api/kv-lease':
            return self._grant(body['ttl-ms'])
        lease = int(path.rpartition('/')[2])
        if path.startswith('/api/kv-keep/'):
            return self._renew(lease)
        self.end_lease(lease)
        return 200, {}

    def _grant(self, ttl_ms: int):
        now = asyncio.get_running_loop().time()
        self._last_lease += 1
        ttl_s = ttl_ms / 1000
        self.leases[self._last_lease] = StoredLease(ttl_s, now + ttl_s)
        return 200, {'lease': self._last_lease, 'ttl-ms': ttl_ms}

    def _renew(self, number: int):
        lease = self.leases.get(number)
        if lease is None:
            return 404, {}
        now = asyncio.get_running_loop().time()
        lease.expires_at = now + lease.ttl_s
        return 200, {'ttl-ms': round(lease.ttl_s * 1000)}

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        for key, item in tuple(self.items.items()):
            if item.lease == lease:
                self.remove(key)

    def _range(self, query: dict) -> dict:
        prefix = query.get('prefix', '')
        after = query.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page = keys[:3]
        return {
            'items': [self._render_item(key) for key in page],
            'truncated': len(keys) > len(page),
            'as-of': self.revision,
        }

    async def lose_next_watch(self) -> None:
        """Wait until a watch has begun that is never answered."""
        self.lost_watches += 1
        while self.lost_watches:
            await asyncio.sleep(0.01)

    async def _watch(self, query: dict):
        if self.lost_watches:
            self.lost_watches -= 1
            await asyncio.sleep(60)
        after = int(query['after'])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query['wait-ms']) / 1000
        while True:
            if after < self.compacted_revision or after > self.revision:
                return 410, {}
            visible = max(after, self._visible_revision())
            rows = [
                row
                for revision, row in self.history
                if after < revision <= visible
                and row['key'].startswith(query.get('prefix', ''))
            ]
            remaining_s = deadline - loop.time()
            if rows or remaining_s <= 0:
                return 200, {'events': rows, 'as-of': visible}
            if self.watch_lag_s:
                await asyncio.sleep(min(remaining_s, _LAG_CHECK_S))
                continue
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), remaining_s)

    def _visible_revision(self) -> int:
        """Return the newest revision that a watch shows now."""
        if not self.watch_lag_s:
            return self.revision
        shown_until = time.monotonic() - self.watch_lag_s
        return max(
            (
                revision
                for revision, written_at in self._written_at.items()
                if written_at <= shown_until
            ),
            default=0,
        )

    def _revision_of(self, key: str) -> int:
        existing = self.items.get(key)
        return existing.revision if existing else 0

    def _commit(self, body: dict):
        for row in body['expected']:
            if self._revision_of(row['key']) != row['revision']:
                return 412, {'items': []}
        for row in body['writes']:
            lease = row.get('lease', 0)
            if lease and lease not in self.leases:
                return 404, {}
            self.put(row['key'], base64.b64decode(row['value']), lease)
        for key in body['deletes']:
            self.remove(key)
        return 200, {'revision': self.revision}
