"""Checks of the documented guarantees on the record of a soak."""

from collections.abc import Iterator

from tests.platform_fleet import Fleet
from tests.soak.callers import DEADLINE_S
from tests.soak.crashes import check_crashes
from tests.soak.record import DRAIN_S, FAULT_GRACE_S, CallerRequest, Record
from tests.soak.workspaces import Workspaces, check_workspaces

# Statuses that guarantee that the request has not run and never will.
_NOT_RUN_STATUSES = {401, 408, 421, 429, 503}
_PLAIN_ROUTES = {'post', 'look', 'moved', 'added'}
_AT_MOST_ONCE_ROUTES = {'post', 'ask'}
_MAX_RUNS = 2
# After a caller disconnects, its runs are cancelled within this time.
_CANCEL_TIMEOUT_S = 0.5
# Lease of the planner, lease-ms in the gateways' settings.
_LEASE_S = 0.6
_MAX_BYTES = 200_000_000
# Least shares of requests served in the final period. The replicas cannot hold
# all models, so some streams are refused at any time; the documentation
# requires a quarter.
_MIN_PLAIN_SHARE = 0.9
_MIN_STREAM_SHARE = 0.25
# Services that the route "moved" changes between.
_MOVED = ('ledger', 'desk')


def check_all(
    fleet: Fleet, record: Record, workspaces: Workspaces | None = None
) -> list[str]:
    """Return the violations, one line each."""
    runs: dict[str, list] = {}
    for replica in record.replicas:
        for run in replica.runs:
            runs.setdefault(run.request_id, []).append((replica, run))
    violations = list(record.violations)
    request_ids = {request.request_id for request in record.requests}
    violations.extend(f'unsent: {name}' for name in runs.keys() - request_ids)
    for request in record.requests:
        violations.extend(
            _check_answer(request, runs.get(request.request_id, []))
        )
        violations.extend(
            _check_time(request, runs.get(request.request_id, []), record)
        )
    violations.extend(check_crashes(record, runs))
    violations.extend(check_workspaces(fleet, record, workspaces))
    violations.extend(_check_orders(record))
    violations.extend(_check_processes(fleet, record))
    violations.extend(_check_recovery(record))
    return violations


def _check_answer(request: CallerRequest, runs: list) -> Iterator[str]:
    name = f'{request.request_id} {request.path}'
    if request.route in _AT_MOST_ONCE_ROUTES and len(runs) > 1:
        yield f'twice: {name} ran {len(runs)} times'
    if len(runs) > _MAX_RUNS:
        yield f'attempts: {name} ran {len(runs)} times'
    if runs and request.status in _NOT_RUN_STATUSES and not request.is_sealed:
        yield f'refused: {name} got {request.status} and ran'
    for _, run in runs:
        if (run.path, run.body) != (request.path, _body_of(request)):
            yield f'changed: {name} ran as {run.path} {run.body!r}'
    if request.status == 200:
        yield from _check_success(request, runs, name)


def _body_of(request: CallerRequest) -> bytes:
    return b'' if request.route in {'look', 'moved'} else b'body'


def _check_success(
    request: CallerRequest, runs: list, name: str
) -> Iterator[str]:
    if not request.is_sealed or not runs:
        yield f'mixed: {name} got 200 without a run or a seal'
        return
    replica, run = runs[-1]
    if request.route in _PLAIN_ROUTES:
        expected = f'answer to {request.request_id}'.encode()
    else:
        expected = b''.join(
            f'id: {number}\ndata: {request.request_id}\n\n'.encode()
            for number in range(replica.events)
        )
    if request.is_complete and request.body != expected:
        yield f'mixed: {name} got {request.body[:80]!r}'
    sent_body = replica.sent_body(run, expected, len(request.body))
    if not sent_body.startswith(request.body):
        yield f'order: {name} got {request.body[-80:]!r}'


def _check_time(
    request: CallerRequest, runs: list, record: Record
) -> Iterator[str]:
    name = f'{request.request_id} {request.path} at gateway {request.gateway}'
    if record.is_unaffected(request.gateway, request.sent_at, request.ended_at):
        yield from _check_drain(runs, record, name)
        yield from _check_configuration(request, runs, record, name)
        yield from _check_deadline(request, name)
        yield from _check_cancelled(request, runs, name)
    yield from _check_truncated(request, runs, record, name)


def _check_drain(runs: list, record: Record, name: str) -> Iterator[str]:
    for replica, run in runs:
        for draining in record.draining:
            late_s = run.began_at - draining.written_at - DRAIN_S
            if draining.name == replica.name and late_s > 0:
                yield f'drain: {name} reached {replica.name} {late_s:.2f} s late'


def _check_configuration(
    request: CallerRequest, runs: list, record: Record, name: str
) -> Iterator[str]:
    allowed = record.versions_for(request.sent_at, request.ended_at)
    if request.route not in {'moved', 'added', 'never'}:
        if request.status == 404:
            yield f'configuration: {name} got 404'
        return
    targets = {version.targets.get(request.route) for version in allowed}
    if request.status == 404 and None not in targets:
        yield f'configuration: {name} got 404 for a configured route'
    for replica, _ in runs:
        if replica.service not in targets:
            yield f'configuration: {name} ran at {replica.service}'


def _check_deadline(request: CallerRequest, name: str) -> Iterator[str]:
    waited_s = request.ended_at - request.sent_at
    if (
        not request.status
        and request.disconnected_at
        and waited_s >= DEADLINE_S
    ):
        yield f'deadline: {name} had no answer after {waited_s:.1f} s'


def _check_cancelled(
    request: CallerRequest, runs: list, name: str
) -> Iterator[str]:
    if not request.disconnected_at:
        return
    for _, run in runs:
        late_s = run.ended_at - request.disconnected_at - _CANCEL_TIMEOUT_S
        if late_s > 0 or not run.ended_at:
            yield f'cancellation: {name} ran on after its caller disconnected'


def _check_truncated(
    request: CallerRequest, runs: list, record: Record, name: str
) -> Iterator[str]:
    """Yield answers of sound replicas that a graceful stop truncated."""
    if request.disconnected_at or request.is_complete or not runs:
        return
    fault_kinds = record.fault_kinds_at(
        request.gateway, request.sent_at - FAULT_GRACE_S, request.ended_at
    )
    is_sound = all(replica.is_run_sound(run) for replica, run in runs)
    if fault_kinds <= {'graceful_restart'} and is_sound:
        yield f'lost: {name} was truncated ({fault_kinds or "no fault"})'


def _check_orders(record: Record) -> Iterator[str]:
    for replica in record.replicas:
        if replica.excess_orders:
            yield f'limit: {replica.name} got loads beyond its memory'
        for previous, following in zip(
            replica.accepted, replica.accepted[1:], strict=False
        ):
            gap_s = following.accepted_at - previous.accepted_at
            if previous.holder != following.holder and gap_s < _LEASE_S:
                yield f'planner: {replica.name} had two lease holders in {gap_s:.2f} s'
            if following.epoch < previous.epoch:
                yield f'planner: {replica.name} accepted an older epoch'


def _check_processes(fleet: Fleet, record: Record) -> Iterator[str]:
    for gateway in (*fleet.gateways, *fleet.exited):
        if gateway not in record.stopped_gateways:
            if gateway.process.returncode is not None:
                yield f'exited unexpectedly: {gateway.process.returncode}'
        for line in gateway.log:
            if 'exception' in line or line.get('level') == 'error':
                yield f'error logged: {str(line)[:300]}'
        versions = [
            line['version'] for line in gateway.events('configuration_in_force')
        ]
        if versions != sorted(set(versions)):
            yield f'configuration: versions are not ascending: {versions}'


def _check_recovery(record: Record) -> Iterator[str]:
    for routes, min_share in (
        ({'post', 'look', 'moved'}, _MIN_PLAIN_SHARE),
        ({'ask', 'digest'}, _MIN_STREAM_SHARE),
    ):
        final = [
            request
            for request in record.requests
            if request.sent_at >= record.final_period_from
            and request.route in routes
            and request.is_ordinary
            and not request.disconnected_at
        ]
        served = [
            request
            for request in final
            if request.status == 200 and request.is_complete
        ]
        if len(served) < min_share * len(final) or not final:
            yield f'recovery: {len(served)} of {len(final)} of {routes} served'
