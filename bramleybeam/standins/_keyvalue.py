"""A key-value service with compare-and-swap, leases, watches and faults."""

import asyncio
import time
from contextlib import suppress
from typing import Any, Final

import attrs
from blacksheep import Application, Request, Response

from bramleybeam.web import add_route, json_response, make_app, read_json

MAX_VALUE_BYTES: Final = 1_000_000
_MAX_WAIT_S: Final = 60.0


@attrs.define
class _Entry:
    text: str
    version: int


@attrs.define
class _LeaseRecord:
    holder: str
    epoch: int
    expires: float


@attrs.define
class CallCounts:
    """Number of calls received, by kind; ``writes`` includes lease calls."""

    reads: int = 0
    writes: int = 0
    watches: int = 0


class KeyValueStandIn:
    """Keeps keys and leases in memory; attributes inject faults.

    While ``down`` is set, every call on keys and leases fails with status
    503. The next ``lose_replies`` writes to keys or leases whose name begins
    with ``lose_prefix`` take effect, but fail instead of replying. ``delay``
    is added to each call, in seconds.
    """

    def __init__(self) -> None:
        """Create an empty service without faults."""
        self.down = False
        self.lose_replies = 0
        self.lose_prefix = ''
        self.delay = 0.0
        self.counts = CallCounts()
        self._entries: dict[str, _Entry] = {}
        self._leases: dict[str, _LeaseRecord] = {}
        self._changed = asyncio.Condition()

    def make_app(self) -> Application:
        """Return the application that serves the keys and leases."""
        app = make_app()
        add_route(app, 'GET', '/v1/keys/*', self._get)
        add_route(app, 'PUT', '/v1/keys/*', self._swap)
        add_route(app, 'GET', '/v1/watch/*', self._watch)
        add_route(app, 'POST', '/v1/leases/*', self._lease)
        add_route(app, 'DELETE', '/v1/leases/*', self._release)
        add_route(app, 'POST', '/faults', self._set_faults)
        add_route(app, 'GET', '/counts', self._get_counts)
        return app

    def read(self, key: str) -> str | None:
        """Return the text of a key, or None, without a counted call."""
        entry = self._entries.get(key)
        return entry.text if entry else None

    async def _set_faults(self, request: Request) -> Response:
        body = await read_json(request)
        self.down = body.get('down', self.down)
        self.lose_replies = body.get('lose_replies', self.lose_replies)
        self.lose_prefix = body.get('lose_prefix', self.lose_prefix)
        self.delay = body.get('delay', self.delay)
        return json_response(200, {})

    async def _get_counts(self, _request: Request) -> Response:
        return json_response(200, attrs.asdict(self.counts))

    async def _get(self, request: Request) -> Response:
        self.counts.reads += 1
        refusal = await self._apply_faults()
        if refusal:
            return refusal
        entry = self._entries.get(_path_tail(request))
        if entry is None:
            return json_response(404, {})
        return json_response(200, attrs.asdict(entry))

    async def _swap(self, request: Request) -> Response:
        self.counts.writes += 1
        refusal = await self._apply_faults()
        if refusal:
            return refusal
        body = await read_json(request)
        key = _path_tail(request)
        entry = self._entries.get(key)
        version = entry.version if entry else 0
        if version != body['expected']:
            return json_response(409, {'version': version})
        if len(body['text']) > MAX_VALUE_BYTES:
            return json_response(413, {'error': 'value is longer than 1 MB'})
        self._entries[key] = _Entry(body['text'], version + 1)
        async with self._changed:
            self._changed.notify_all()
        self._maybe_drop_reply(key)
        return json_response(200, {'version': version + 1})

    async def _watch(self, request: Request) -> Response:
        self.counts.watches += 1
        refusal = await self._apply_faults()
        if refusal:
            return refusal
        after = int(_query(request, 'after'))
        wait = min(_MAX_WAIT_S, float(_query(request, 'wait')))
        key = _path_tail(request)
        with suppress(TimeoutError):
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(
                    lambda: self._version(key) > after,
                )
        entry = self._entries.get(key)
        if self.down:
            return json_response(503, {'error': 'service is down'})
        if entry is None or entry.version <= after:
            return Response(204)
        return json_response(200, attrs.asdict(entry))

    async def _lease(self, request: Request) -> Response:
        self.counts.writes += 1
        refusal = await self._apply_faults()
        if refusal:
            return refusal
        body = await read_json(request)
        granted = self._grant(_path_tail(request), body['holder'], body['ttl'])
        self._maybe_drop_reply(_path_tail(request))
        return granted

    async def _release(self, request: Request) -> Response:
        self.counts.writes += 1
        refusal = await self._apply_faults()
        if refusal:
            return refusal
        record = self._leases.get(_path_tail(request))
        if record is not None and record.holder == _query(request, 'holder'):
            record.expires = 0
        return json_response(200, {})

    def _grant(self, name: str, holder: str, ttl: float) -> Response:
        now = time.monotonic()
        record = self._leases.get(name)
        if record is None:
            record = _LeaseRecord(holder, 0, 0)
            self._leases[name] = record
        if record.expires > now and record.holder != holder:
            remaining = record.expires - now
            answer: dict[str, Any] = {
                'holder': record.holder,
                'remaining': remaining,
            }
            return json_response(409, answer)
        if record.expires <= now:
            record.epoch += 1
        record.holder = holder
        record.expires = now + ttl
        return json_response(200, {'epoch': record.epoch})

    async def _apply_faults(self) -> Response | None:
        if self.delay:
            await asyncio.sleep(self.delay)
        if self.down:
            return json_response(503, {'error': 'service is down'})
        return None

    def _maybe_drop_reply(self, key: str) -> None:
        if self.lose_replies > 0 and key.startswith(self.lose_prefix):
            self.lose_replies -= 1
            raise ConnectionResetError('reply dropped by an injected fault')

    def _version(self, key: str) -> int:
        entry = self._entries.get(key)
        return entry.version if entry else 0


def _path_tail(request: Request) -> str:
    return str(request.route_values['tail'])


def _query(request: Request, name: str) -> str:
    return str((request.query.get(name) or ['0'])[0])
