"""Workspaces, their keys and quotas in a soak, and hostile callers."""

import asyncio
import random
from collections.abc import Callable, Iterator

import attrs

from bramleybeam.relay import BrokenReplyError
from tests.platform_fleet import Fleet
from tests.platform_workspaces import find_most_in_window, make_tenant, now
from tests.soak.record import CONFIGURATION_APPLY_S, CallerRequest, Record

# Bounds of the settings.
REVOKE_S = 5.0
WINDOW_S = 4.0
_STRICT = {'strict-revoke': 'true', 'revoke-ms': f'{REVOKE_S * 1000:.0f}'}
_QUOTA_BOUNDS = {
    'quota-window-s': f'{WINDOW_S}',
    'quota-over': '0.1',
    'quota-slack': '10',
}
_STRICT_SHARE = 0.7
# The workspace with a quota may run this many requests a second; its callers
# send ten times as many.
_RATE_PER_S = 3
_FLOOD_PER_S = 30
_MOST_IN_WINDOW = (_RATE_PER_S * WINDOW_S + _RATE_PER_S) * 1.1 + 10
_STEADY, _ROTATING, _LIMITED = 'steady', 'rotating', 'limited'
_ANSWER_TIMEOUT_S = 4.0
# Weights of the keys that callers use.
_KEY_WEIGHTS = {
    'steady': 15,
    'rotating': 2,
    'dropped': 1,
    'unknown': 1,
    'missing': 1,
}
# Share of requests with a header that names a workspace.
_FORGED_SHARE = 0.2
_HOLD_S = (0.5, 3)
_HOSTILE_PAUSE_S = 0.3
_HEAD = b'POST /look/2f HTTP/1.1\r\nHost: desk.example\r\n'
# What callers send before they stop and keep the connection open.
_UNFINISHED = (
    b'',
    b'\r\n' * 2000,
    _HEAD,
    _HEAD + b'A: ' + b'x' * 100_000,
    _HEAD + b'Content-Length: 60000\r\n\r\n' + b'x' * 59_999,
    _HEAD + b'Transfer-Encoding: chunked\r\n\r\n' + b'1\r\nx\r\n' * 5000,
)


@attrs.define
class Key:
    """A key, its workspace, and when it was written and dropped.

    Times are infinite for a key that was never written or dropped.
    """

    text: str
    workspace: str
    added_at: float = float('inf')
    dropped_at: float = float('inf')


_MISSING = Key('', '')
_UNKNOWN = Key('key-unknown', '')


class Workspaces:
    """The workspaces of a soak, and callers beyond the limits.

    Key ``steady-key`` is always valid; its requests are those of ordinary
    callers.
    """

    def __init__(self, seed: int) -> None:
        """Draw the settings; ``attach`` is called before the start."""
        self._rng = random.Random(seed)
        self.is_strict = self._rng.random() < _STRICT_SHARE
        self.bounds = dict(_QUOTA_BOUNDS)
        if self.is_strict:
            self.bounds |= _STRICT
        start = float('-inf')
        self.keys = [
            Key('steady-key', _STEADY, start),
            Key('limited-key', _LIMITED, start),
            Key('rotating-key-0', _ROTATING, start),
        ]
        self._count = 0
        self._is_stopping = False

    def list_tenants(self) -> list[dict]:
        """Return the workspaces with the keys that are valid now."""
        texts: dict[str, list[str]] = {
            _STEADY: [],
            _ROTATING: [],
            _LIMITED: [],
        }
        for key in self.keys:
            if key.dropped_at == float('inf'):
                texts[key.workspace].append(key.text)
        quota = {'rate_per_s': _RATE_PER_S, 'burst': _RATE_PER_S}
        return [
            make_tenant(_STEADY, *texts[_STEADY]),
            make_tenant(_ROTATING, *texts[_ROTATING]),
            make_tenant(_LIMITED, *texts[_LIMITED], **quota),
        ]

    def change_key(self, fleet: Fleet, write: Callable[[], None]) -> None:
        """Replace the key of a workspace; ``write`` writes a configuration."""
        dropped = self.keys[-1]
        added = Key(f'rotating-key-{len(self.keys)}', _ROTATING)
        self.keys.append(added)
        # The key is left out of the list before its end is known.
        dropped.dropped_at = now()
        fleet.tenants = self.list_tenants()
        write()
        added.added_at = now()
        dropped.dropped_at = added.added_at

    def draw_key(self) -> Key:
        """Return the key of the next request of a caller."""
        kind = self._rng.choices(
            list(_KEY_WEIGHTS), list(_KEY_WEIGHTS.values())
        )[0]
        rotating = self.keys[2:]
        return {
            'steady': self.keys[0],
            'rotating': rotating[-1],
            'dropped': self._rng.choice(rotating),
            'unknown': _UNKNOWN,
            'missing': _MISSING,
        }[kind]

    def make_fields(self, key: Key) -> dict[str, str]:
        """Return the headers with a key, sometimes with a forged workspace."""
        fields = {'Authorization': f'Bearer {key.text}'} if key.text else {}
        if self._rng.random() < _FORGED_SHARE:
            fields['Bramleybeam-Tenant'] = self._rng.choice(('admin', _STEADY))
        return fields

    async def send_hostile(self, fleet: Fleet, record: Record) -> None:
        """Exceed a quota, and leave requests unfinished, until stopped."""
        tasks = set()
        while not self._is_stopping:
            tasks.add(asyncio.create_task(self._flood(fleet, record)))
            if self._rng.random() < 1 / (_FLOOD_PER_S * _HOSTILE_PAUSE_S):
                tasks.add(asyncio.create_task(self._stop_short(fleet)))
            await asyncio.sleep(1 / _FLOOD_PER_S)
        await asyncio.gather(*tasks)

    def stop(self) -> None:
        """Send no more requests."""
        self._is_stopping = True

    async def _flood(self, fleet: Fleet, record: Record) -> None:
        """Send one request of the workspace that has a quota."""
        self._count += 1
        number = self._rng.randrange(len(fleet.gateways))
        gateway = fleet.gateways[number]
        request = CallerRequest(
            f'f{self._count}', '/post/2f', number, gateway, now()
        )
        request.key = self.keys[1]
        fields = self.make_fields(request.key)
        record.requests.append(request)
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                answer = await gateway.ask_with_id(
                    request.request_id, request.path, **fields
                )
        except (OSError, TimeoutError, BrokenReplyError):
            request.disconnected_at = now()
        else:
            request.take(answer)
        finally:
            request.ended_at = now()

    async def _stop_short(self, fleet: Fleet) -> None:
        """Send a part of a request and keep the connection open."""
        gateway = self._rng.choice(fleet.gateways)
        part = self._rng.choice(_UNFINISHED)
        hold_s = self._rng.uniform(*_HOLD_S)
        host, _, port = gateway.callers_address.rpartition(':')
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        writer.write(part)
        await asyncio.sleep(hold_s)
        writer.transport.abort()


def check_workspaces(
    fleet: Fleet, record: Record, workspaces: Workspaces | None
) -> Iterator[str]:
    """Yield violations of the rules of keys and quotas.

    Without workspaces, a caller's own header must not reach a replica either.
    """
    arrivals: dict[str, list] = {}
    for replica in record.replicas:
        for arrival in replica.arrivals:
            arrivals.setdefault(arrival.request_id, []).append(arrival)
    for request in record.requests:
        found = arrivals.get(request.request_id, [])
        yield from _check_headers(request, found)
        if workspaces is not None:
            yield from _check_key(request, found, record, workspaces.is_strict)
    if workspaces is not None:
        yield from _check_quota(record)
        yield from _check_logs(fleet, workspaces)


def _check_headers(request: CallerRequest, arrivals: list) -> Iterator[str]:
    name = f'{request.request_id} {request.path}'
    key = request.key
    expected = [key.workspace] if key and key.workspace else []
    for arrival in arrivals:
        if arrival.tenants != expected:
            yield f'workspace: {name} of {expected} ran as {arrival.tenants}'
        if arrival.authorizations:
            yield f'leak: {name} reached a replica with its key'


def _check_key(
    request: CallerRequest, arrivals: list, record: Record, is_strict: bool
) -> Iterator[str]:
    key = request.key
    name = f'{request.request_id} {request.path} at gateway {request.gateway}'
    if arrivals and not key.workspace:
        yield f'key: {name} reached a replica without a valid key'
    late_s = request.sent_at - key.dropped_at
    is_connected = record.is_unaffected(
        request.gateway, key.dropped_at, request.ended_at
    )
    if arrivals and is_strict and late_s > REVOKE_S:
        yield f'revocation: {name} reached a replica, sent {late_s:.2f} s late'
    elif arrivals and is_connected and late_s > CONFIGURATION_APPLY_S:
        yield f'revocation: {name}, connected, was sent {late_s:.2f} s late'
    is_valid = request.ended_at < key.dropped_at
    known_s = request.sent_at - key.added_at
    if request.status == 401 and is_valid and known_s > REVOKE_S:
        # Without strict revocation, a gateway may know old keys for longer.
        if is_strict or key.workspace == _STEADY:
            yield f'denied: {name} got 401 with a key {known_s:.2f} s old'


def _check_quota(record: Record) -> Iterator[str]:
    limited = [
        request
        for request in record.requests
        if request.key.workspace == _LIMITED
    ]
    request_ids = {request.request_id for request in limited}
    began = sorted(
        (run.began_at, 1)
        for replica in record.replicas
        for run in replica.runs
        if run.request_id in request_ids
    )
    most = find_most_in_window(began, WINDOW_S)
    if most > _MOST_IN_WINDOW:
        yield f'quota: {most} requests ran in {WINDOW_S} s'
    final = [
        request.status
        for request in limited
        if request.sent_at >= record.final_period_from
    ]
    if 200 not in final:
        yield f'recovery: none of {len(final)} requests with a quota served'


def _check_logs(fleet: Fleet, workspaces: Workspaces) -> Iterator[str]:
    texts = [key.text for key in (*workspaces.keys, _UNKNOWN)]
    for gateway in (*fleet.gateways, *fleet.exited):
        for line in gateway.log:
            if any(text in repr(line) for text in texts):
                yield f'leak: a key is in the log: {str(line)[:200]}'
