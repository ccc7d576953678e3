"""The promises, checked from what callers and replicas saw."""

from collections.abc import Iterator

from tests.platform_fleet import Fleet
from tests.soak.callers import DEADLINE_S
from tests.soak.record import CONTACT_S, DRAIN_S, Asked, Record

# Statuses that promise that the request has not run and never will.
_PROMISES = {408, 421, 429, 503}
_PLAIN = {'post', 'look', 'moved', 'added'}
_AT_MOST_ONCE = {'post', 'ask'}
_MOST_RUNS = 2
# A replica is told that a caller has left within this time.
_CANCEL_S = 0.5
_LEASE_S = 0.6
_MOST_BYTES = 200_000_000
# Least served shares at the end. Models have fewer places than there are
# models, so that some streams are refused at any time; the pages ask a quarter.
_LEAST_PLAIN = 0.9
_LEAST_STREAMS = 0.25
# A service that a request was moved to and from.
_MOVED = ('ledger', 'desk')


def check_all(fleet: Fleet, record: Record) -> list[str]:
    """Return what was broken, one line each."""
    runs: dict[str, list] = {}
    for replica in record.replicas:
        for run in replica.runs:
            runs.setdefault(run.request_id, []).append((replica, run))
    found = list(record.violations)
    known = {asked.request_id for asked in record.asked}
    found.extend(f'unasked: {name}' for name in runs.keys() - known)
    for asked in record.asked:
        found.extend(_check_answer(asked, runs.get(asked.request_id, [])))
        found.extend(_check_time(asked, runs.get(asked.request_id, []), record))
    found.extend(_check_orders(record))
    found.extend(_check_processes(fleet, record))
    found.extend(_check_recovery(record))
    return found


def _check_answer(asked: Asked, runs: list) -> Iterator[str]:
    name = f'{asked.request_id} {asked.path}'
    if asked.route in _AT_MOST_ONCE and len(runs) > 1:
        yield f'twice: {name} ran {len(runs)} times'
    if len(runs) > _MOST_RUNS:
        yield f'attempts: {name} ran {len(runs)} times'
    if runs and asked.status in _PROMISES and not asked.is_sealed:
        yield f'refused: {name} got {asked.status} and ran'
    for _, run in runs:
        if (run.path, run.body) != (asked.path, _body_of(asked)):
            yield f'changed: {name} ran as {run.path} {run.body!r}'
    if asked.status == 200:
        yield from _check_success(asked, runs, name)


def _body_of(asked: Asked) -> bytes:
    return b'' if asked.route in {'look', 'moved'} else b'body'


def _check_success(asked: Asked, runs: list, name: str) -> Iterator[str]:
    if not asked.is_sealed or not runs:
        yield f'mixed: {name} has a success of no replica'
        return
    replica, _ = runs[-1]
    if asked.route in _PLAIN:
        expected = f'answer to {asked.request_id}'.encode()
    else:
        expected = b''.join(
            f'id: {number}\ndata: {asked.request_id}\n\n'.encode()
            for number in range(replica.events)
        )
    if asked.is_whole and asked.body != expected:
        yield f'mixed: {name} got {asked.body[:80]!r}'
    if not expected.startswith(asked.body):
        yield f'order: {name} got {asked.body[-80:]!r}'


def _check_time(asked: Asked, runs: list, record: Record) -> Iterator[str]:
    name = f'{asked.request_id} {asked.path} at gateway {asked.gateway}'
    if record.is_in_touch(asked.gateway, asked.sent_at, asked.ended_at):
        yield from _check_leaving(runs, record, name)
        yield from _check_version(asked, runs, record, name)
        yield from _check_held(asked, name)
        yield from _check_cancelled(asked, runs, name)
    yield from _check_cut(asked, runs, record, name)


def _check_leaving(runs: list, record: Record, name: str) -> Iterator[str]:
    for replica, run in runs:
        for leaving in record.leaving:
            late_s = run.began_at - leaving.written_at - DRAIN_S
            if leaving.name == replica.name and late_s > 0:
                yield f'drain: {name} reached {replica.name} {late_s:.2f} s late'


def _check_version(
    asked: Asked, runs: list, record: Record, name: str
) -> Iterator[str]:
    allowed = record.versions_for(asked.sent_at, asked.ended_at)
    if asked.route not in {'moved', 'added', 'never'}:
        if asked.status == 404:
            yield f'configuration: {name} was denied'
        return
    targets = {version.targets.get(asked.route) for version in allowed}
    if asked.status == 404 and None not in targets:
        yield f'configuration: {name} was denied a route that is there'
    for replica, _ in runs:
        if replica.service not in targets:
            yield f'configuration: {name} ran at {replica.service}'


def _check_held(asked: Asked, name: str) -> Iterator[str]:
    held_s = asked.ended_at - asked.sent_at
    if not asked.status and asked.left_at and held_s >= DEADLINE_S:
        yield f'held: {name} had no answer in {held_s:.1f} s'


def _check_cancelled(asked: Asked, runs: list, name: str) -> Iterator[str]:
    if not asked.left_at:
        return
    for _, run in runs:
        late_s = run.ended_at - asked.left_at - _CANCEL_S
        if late_s > 0 or not run.ended_at:
            yield f'gone: {name} was worked on after its caller had left'


def _check_cut(
    asked: Asked, runs: list, record: Record, name: str
) -> Iterator[str]:
    """A graceful stop cuts nothing that a sound replica has run."""
    if asked.left_at or asked.is_whole or not runs:
        return
    troubles = record.troubles_of(
        asked.gateway, asked.sent_at - CONTACT_S, asked.ended_at
    )
    is_sound = all(replica.is_run_sound(run) for replica, run in runs)
    if troubles <= {'roll'} and is_sound:
        yield f'lost: {name} was cut ({troubles or "no trouble"})'


def _check_orders(record: Record) -> Iterator[str]:
    for replica in record.replicas:
        if replica.excess_orders:
            yield f'limit: {replica.name} was ordered past its room'
        for before, after in zip(
            replica.accepted, replica.accepted[1:], strict=False
        ):
            gap_s = after.accepted_at - before.accepted_at
            if before.holder != after.holder and gap_s < _LEASE_S:
                yield f'one: {replica.name} had two holders in {gap_s:.2f} s'
            if after.epoch < before.epoch:
                yield f'one: {replica.name} took an older epoch'


def _check_processes(fleet: Fleet, record: Record) -> Iterator[str]:
    for gateway in (*fleet.gateways, *fleet.exited):
        if gateway not in record.stopped:
            if gateway.process.returncode is not None:
                yield f'ended by itself: {gateway.process.returncode}'
        for line in gateway.log:
            if 'exception' in line or line.get('level') == 'error':
                yield f'error logged: {str(line)[:300]}'
        versions = [
            line['version'] for line in gateway.events('configuration_in_force')
        ]
        if versions != sorted(set(versions)):
            yield f'configuration: versions went back: {versions}'


def _check_recovery(record: Record) -> Iterator[str]:
    for routes, least in (
        ({'post', 'look', 'moved'}, _LEAST_PLAIN),
        ({'ask', 'digest'}, _LEAST_STREAMS),
    ):
        last = [
            asked
            for asked in record.asked
            if asked.sent_at >= record.calm_from
            and asked.route in routes
            and not asked.left_at
        ]
        served = [
            asked for asked in last if asked.status == 200 and asked.is_whole
        ]
        if len(served) < least * len(last) or not last:
            yield f'recovery: {len(served)} of {len(last)} of {routes} served'
