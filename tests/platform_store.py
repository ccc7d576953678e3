"""A small stand-in of the platform's store, on the relay's HTTP server."""

import asyncio
import base64
import json
from contextlib import suppress
from urllib.parse import parse_qs, urlsplit

import attrs

from tests.platform_port import PortStandIn

_EXPIRY_CHECK_S = 0.05


@attrs.define
class StoredItem:
    """A key as the store keeps it."""

    content: bytes
    revision: int
    created: int
    lease: int = 0


@attrs.define
class StoredLease:
    """How long a lease runs from each renewal, and until when; seconds."""

    ttl_s: float
    expires: float


@attrs.define
class StoreStandIn(PortStandIn):
    """Keys under one revision counter, with watches, leases and faults.

    ``mode`` is ``up``, ``silent``, ``busy`` (503) or ``lost`` (writes are
    done, their answers are not given). Leases stand still while the store is
    not up, unless they ``lapse``. Answers wait ``delay_s``.
    """

    mode: str = 'up'
    items: dict = attrs.field(factory=dict)
    history: list = attrs.field(factory=list)
    leases: dict = attrs.field(factory=dict)
    revision: int = 0
    oldest: int = 0
    calls: list = attrs.field(factory=list)
    lapse: bool = False
    delay_s: float = 0
    _lease_count: int = 7000
    _expiry: asyncio.Task | None = None
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def start(self) -> None:
        """Open a port, and let leases run."""
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
                if self.mode != 'up' and not self.lapse:
                    lease.expires += _EXPIRY_CHECK_S
                elif now >= lease.expires:
                    self.end_lease(number)

    def put(self, key: str, value, lease: int = 0) -> int:
        """Write a key; values that are not bytes are written as JSON."""
        content = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        self.items[key] = StoredItem(content, self.revision, created, lease)
        self.history.append((self.revision, self._show(key)))
        self._signal()
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        row = {'key': key, 'revision': self.revision, 'removed': True}
        self.history.append((self.revision, row))
        self._signal()

    def forget_history(self) -> None:
        """Drop all history: watches from before get 410."""
        self.history.clear()
        self.oldest = self.revision
        self._signal()

    def _signal(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _show(self, key: str) -> dict:
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
        if self.mode == 'silent':
            await asyncio.sleep(60)
        if self.mode == 'busy':
            connection.respond(503, (), b'{}')
            return
        status, body = await self._act(request, split.path, query)
        if self.mode == 'lost' and request.method != b'GET':
            await asyncio.sleep(60)
        connection.respond(status, (), json.dumps(body).encode())

    async def _act(self, request, path: str, query: dict):
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
        self._lease_count += 1
        ttl_s = ttl_ms / 1000
        self.leases[self._lease_count] = StoredLease(ttl_s, now + ttl_s)
        return 200, {'lease': self._lease_count, 'ttl-ms': ttl_ms}

    def _renew(self, number: int):
        lease = self.leases.get(number)
        if lease is None:
            return 404, {}
        now = asyncio.get_running_loop().time()
        lease.expires = now + lease.ttl_s
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
            'items': [self._show(key) for key in page],
            'truncated': len(keys) > len(page),
            'as-of': self.revision,
        }

    async def _watch(self, query: dict):
        after = int(query['after'])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query['wait-ms']) / 1000
        while True:
            if after < self.oldest:
                return 410, {}
            rows = [
                row
                for revision, row in self.history
                if revision > after
                and row['key'].startswith(query.get('prefix', ''))
            ]
            left = deadline - loop.time()
            if rows or left <= 0:
                return 200, {'events': rows, 'as-of': self.revision}
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _revision_of(self, key: str) -> int:
        known = self.items.get(key)
        return known.revision if known else 0

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
