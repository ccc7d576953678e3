"""Keys of workspaces: who is served, what a replica sees, and when a key stops.

The tests judge by what replicas ran and when callers sent it.
"""

import asyncio
import base64
import signal

import pytest
import pytest_asyncio

from tests.platform_fleet import run_fleet
from tests.platform_workspaces import (
    CONFIGURATION_APPLY_S,
    GATEWAY_BYTES_PER_S,
    REVOKE_S,
    STRICT_BOUNDS,
    WorkspaceFleet,
    make_tenant,
    now,
    run_workspaces,
)

KEY = 'key-of-hule-5d1f'
OTHER_KEY = 'key-of-mora-77ab'
DROPPED_KEY = 'key-dropped-c00e'
UNKNOWN_KEY = 'key-unknown-9e21'
HULE = make_tenant('hule930', KEY)
# The workspace of the key that tests drop keeps another key.
MORA = make_tenant('mora11', OTHER_KEY)
MORA_BEFORE = make_tenant('mora11', OTHER_KEY, DROPPED_KEY)
# How the link of a gateway to the store fails: no bytes pass, or connections
# are reset.
OUTAGES = ('silent', 'refused')
# Time after a bound for which callers go on to send requests.
AFTER_BOUND_S = 0.8
# A caller that waits as long as the routes for long waits allow.
PATIENT_HEADERS = {'Bramleybeam_Request_Deadline': '9000'}
# Pauses at replicas that make a fault later than config-apply-ms: before a lost
# answer, and between the events of a stream.
LOST_PAUSE_S = 2.4
EVENT_PAUSE_S = 0.6
# Requests that a gateway sends to a plain replica with one slot.
REQUESTS_PER_SLOT = 2
CALLER_HEADERS = (
    {},
    {'Bramleybeam_Tenant': 'mora11'},
    {'Bramleybeam_Tenant': ''},
    {'BRAMLEYBEAM-TENANT': 'mora11', 'bramleybeam-tenant': 'hule930'},
)


pytestmark = pytest.mark.asyncio(loop_scope='module')


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def calm(tmp_path_factory):
    """Yield one gateway with two workspaces, for all tests without outages."""
    folder = tmp_path_factory.mktemp('calm')
    async with run_workspaces(folder, HULE, MORA) as workspaces:
        yield workspaces


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def strict(tmp_path_factory):
    """Yield the same with strict revocation."""
    folder = tmp_path_factory.mktemp('strict')
    async with run_workspaces(
        folder, HULE, MORA, bounds=STRICT_BOUNDS
    ) as workspaces:
        yield workspaces


def cut_off(workspaces, number, outage):
    """Cut a gateway off from the store."""
    link = workspaces.fleet.link_of(number)
    if outage == 'silent':
        link.is_cut = True
    else:
        link.refuse_store()


def reconnect(workspaces, number):
    """End the outage of a gateway's link to the store and to its peers."""
    link = workspaces.fleet.link_of(number)
    link.is_cut = False
    link.is_refusing = False
    link.is_isolated = False


async def wait_until(moment):
    """Wait until a time of the event loop."""
    await asyncio.sleep(max(0, moment - now()))


@pytest.mark.parametrize('headers', CALLER_HEADERS, ids=str)
async def test_replica_gets_the_workspace_and_no_key(calm, headers):
    """Guards against a caller that names another workspace, and a leaked key."""
    for path in ('/post/1', '/look/1', '/ask/1', '/digest/1', '/night/1'):
        request = await calm.ask(0, path, KEY, **headers)
        assert request.status == 200, path
        (arrival,) = calm.arrivals(request)
        assert arrival.tenants == ['hule930'], path
        assert arrival.authorizations == [], path
    assert not calm.list_leaks(KEY)


@pytest.mark.parametrize('headers', CALLER_HEADERS, ids=str)
@pytest.mark.parametrize(
    ('path', 'fault'),
    [
        ('/post/1', 'refuse'),
        ('/look/1', 'refuse'),
        ('/look/1', 'lost'),
        ('/ask/1', 'refuse'),
        ('/digest/1', 'refuse'),
        ('/digest/1', 'cut'),
    ],
)
async def test_repeated_attempt_has_the_workspace_and_no_key(
    calm, path, fault, headers
):
    """Guards against a retry or a resumed stream with the caller's headers."""
    calm.fail_first(fault)
    request = await calm.ask(0, path, KEY, **headers)
    arrivals = calm.arrivals(request)
    assert (request.status, len(arrivals)) == (200, 2)
    for arrival in arrivals:
        assert arrival.tenants == ['hule930']
        assert arrival.authorizations == []
    resumed = [row for row in arrivals if row.values_of('last-event-id')]
    assert len(resumed) == (fault == 'cut')
    assert not calm.list_leaks(KEY)


@pytest.mark.parametrize('path', ['/post/1', '/look/1', '/ask/1', '/digest/1'])
@pytest.mark.parametrize(
    'authorization',
    [
        None,
        '',
        'Bearer',
        'Bearer ',
        f'Bearer {UNKNOWN_KEY}',
        f'Bearer {KEY[:-1]}',
        f'Bearer {KEY}x',
        f'Bearer {KEY.upper()}',
        'Bearer hule930',
        f'Basic {base64.b64encode(KEY.encode()).decode()}',
    ],
)
async def test_missing_or_unknown_key_is_refused(strict, path, authorization):
    """Guards against a request that runs without a key of the configuration."""
    headers = {} if authorization is None else {'Authorization': authorization}
    request = await strict.ask(0, path, **headers)
    # A gateway whose keys are too old to deny one answers 503.
    while request.status == 503:
        await asyncio.sleep(request.retry_after_s)
        request = await strict.ask(0, path, **headers)
    assert request.status == 401
    assert not strict.arrivals(request)
    assert not strict.list_untrue_refusals()


async def test_key_with_headers_repeated_does_not_reach_a_replica(calm):
    """Guards against a second Authorization header that is passed on."""
    headers = {'authorization': f'Bearer {OTHER_KEY}'}
    request = await calm.ask(0, '/look/1', KEY, **headers)
    for arrival in calm.arrivals(request):
        assert arrival.authorizations == []
        assert len(arrival.tenants) == 1
    assert not calm.list_leaks(KEY, OTHER_KEY)


@pytest.mark.parametrize('headers', CALLER_HEADERS, ids=str)
async def test_public_route_is_served_with_any_key(calm, headers):
    """Guards against a public route that needs a key or believes the caller."""
    for key, tenants in ((None, []), (UNKNOWN_KEY, []), (KEY, ['hule930'])):
        request = await calm.ask(0, '/open/1', key, **headers)
        assert request.status == 200
        (arrival,) = calm.arrivals(request)
        assert arrival.tenants == tenants
        assert arrival.authorizations == []
    assert not calm.list_leaks(KEY, UNKNOWN_KEY)


async def test_empty_list_of_workspaces_requires_keys(tmp_path):
    """Guards against a list whose last workspace was removed, read as none."""
    async with run_workspaces(tmp_path, HULE) as workspaces:
        workspaces.configure()
        refused = await workspaces.wait_for_status(401, 0, '/look/1', KEY)
        public = await workspaces.ask(0, '/open/1', KEY)
        assert not workspaces.arrivals(refused)
        assert public.status == 200
        assert workspaces.arrivals(public)[0].tenants == []


async def test_configuration_without_workspaces_needs_no_keys(tmp_path):
    """Guards against a tenant header of a caller where no keys are required.

    The caller's Authorization belongs to the service there and is passed on.
    """
    rates = [GATEWAY_BYTES_PER_S]
    async with run_fleet(tmp_path, rates, models=1, engines=1) as fleet:
        workspaces = WorkspaceFleet(fleet)
        for path in ('/look/1', '/digest/1'):
            await workspaces.wait_for_status(200, 0, path, KEY)
            for headers in CALLER_HEADERS:
                request = await workspaces.ask(0, path, KEY, **headers)
                (arrival,) = workspaces.arrivals(request)
                assert arrival.tenants == [], headers
                assert arrival.authorizations == [f'Bearer {KEY}']


async def test_no_key_is_logged_or_shown_in_metrics(strict):
    """Guards against keys in logs and metrics, also those that are refused."""
    for key in (KEY, OTHER_KEY, UNKNOWN_KEY, None):
        for path in ('/look/1', '/digest/1', '/open/1', '/none/1'):
            await strict.ask(0, path, key)
    page = await strict.fleet.gateways[0].read_metrics()
    keys = (KEY, OTHER_KEY, UNKNOWN_KEY)
    assert all(key not in page for key in keys)
    assert not strict.list_leaks(*keys)
    refused = await strict.wait_for_events(0, 'access_refused', 4)
    assert 'unauthenticated' in {line['kind'] for line in refused}


INVALID = [
    ({'api-keys': [KEY, 7]}, 'api-keys'),
    ({'api-keys': KEY}, 'api-keys'),
    ({'rate-per-s': 'many'}, 'rate-per-s'),
    ({'unit': 'bytes'}, 'unit'),
    ({'priority': 1.5}, 'priority'),
    ({'name': 'a\r\nb'}, 'name'),
]


@pytest.mark.parametrize(('changed', 'field'), INVALID)
async def test_invalid_workspace_keeps_the_configuration(calm, changed, field):
    """Guards against a configuration that is applied in part, or logged."""
    workspace = {**make_tenant('nord4', UNKNOWN_KEY), **changed}
    calm.configure(HULE, MORA, workspace)
    try:
        await asyncio.sleep(REVOKE_S)
        request = await calm.wait_for_status(401, 0, '/look/1', UNKNOWN_KEY)
        assert not calm.arrivals(request)
        await calm.wait_for_status(200, 0, '/look/1', KEY)
    finally:
        calm.configure(HULE, MORA)
    lines = calm.fleet.gateways[0].events('entry_unreadable')
    assert field in lines[-1]['error']
    assert not calm.list_leaks(KEY, OTHER_KEY, UNKNOWN_KEY)


async def test_keys_age_while_the_newest_configuration_is_invalid(strict):
    """Guards against keys that the invalid version may have removed.

    With strict revocation they are refused as outdated until a version can be
    decoded again; public routes go on.
    """
    strict.configure(HULE, MORA, make_tenant('nord4', 7))
    try:
        for key in (KEY, UNKNOWN_KEY):
            request = await strict.wait_for_status(503, 0, '/look/1', key)
            assert not strict.arrivals(request)
        assert (await strict.ask(0, '/open/1', None)).status == 200
    finally:
        strict.configure(HULE, MORA)
    await strict.wait_for_status(200, 0, '/look/1', KEY)
    await strict.wait_for_status(401, 0, '/look/1', UNKNOWN_KEY)


@pytest.mark.parametrize('outage', OUTAGES)
async def test_gateway_without_configuration_runs_nothing(tmp_path, outage):
    """Guards against requests that are served or denied without knowing keys."""
    async with run_workspaces(
        tmp_path, HULE, gateways=2, bounds=STRICT_BOUNDS
    ) as workspaces:
        await workspaces.fleet.gateways[1].kill()
        cut_off(workspaces, 1, outage)
        await workspaces.fleet.restart(1)
        for path in ('/look/1', '/open/1'):
            for key in (KEY, UNKNOWN_KEY, None):
                request = await workspaces.ask(1, path, key)
                assert request.status == 503
                assert request.retry_after_s > 0
        reconnect(workspaces, 1)
        await workspaces.wait_for_status(200, 1, '/look/1', KEY)
        assert not workspaces.list_untrue_refusals()


@pytest.mark.parametrize('gateways', [1, 3])
async def test_dropped_key_stops_on_open_connections(tmp_path, gateways):
    """Guards against a key that is checked once for each connection."""
    async with run_workspaces(
        tmp_path, HULE, MORA_BEFORE, gateways=gateways
    ) as workspaces:
        calls = [
            (number, await workspaces.connect(number))
            for number in range(gateways)
        ]
        for number, call in calls:
            request = await workspaces.ask_on(
                call, number, '/look/1', DROPPED_KEY
            )
            assert request.status == 200
        late_from = workspaces.configure(HULE, MORA) + CONFIGURATION_APPLY_S
        sent = []
        while now() < late_from + AFTER_BOUND_S:
            for number, call in calls:
                sent.append(
                    await workspaces.ask_on(
                        call, number, '/look/1', DROPPED_KEY
                    )
                )
            await asyncio.sleep(0.05)
        assert not workspaces.list_runs_sent_after(late_from, sent)
        late = [request for request in sent if request.sent_at > late_from]
        assert {request.status for request in late} == {401}
        for number, call in calls:
            request = await workspaces.ask_on(
                call, number, '/look/1', OTHER_KEY
            )
            assert request.status == 200
        assert not workspaces.list_untrue_refusals()


@pytest.mark.parametrize('bounds', [{}, STRICT_BOUNDS], ids=('lax', 'strict'))
@pytest.mark.parametrize('is_dropped', [False, True])
async def test_dropped_key_stops_in_the_queue(tmp_path, is_dropped, bounds):
    """Guards against a key that is checked at admission only.

    The case without a change shows that the request waits and is then served.
    """
    async with run_workspaces(
        tmp_path, HULE, MORA_BEFORE, bounds=bounds
    ) as workspaces:
        replica = workspaces.fleet.replicas['l0']
        workspaces.fleet.store.remove('servers/l1')
        workspaces.fleet.write_entry(replica, slots=1)
        await asyncio.sleep(CONFIGURATION_APPLY_S)
        replica.pause_s = CONFIGURATION_APPLY_S + 1
        running = [
            asyncio.create_task(
                workspaces.ask(0, '/queue/1', KEY, **PATIENT_HEADERS)
            )
            for _ in range(REQUESTS_PER_SLOT)
        ]
        await asyncio.sleep(0.3)
        replica.pause_s = 0.01
        waiting = asyncio.create_task(
            workspaces.ask(0, '/queue/2', DROPPED_KEY, **PATIENT_HEADERS)
        )
        await asyncio.sleep(0.3)
        workspace = MORA if is_dropped else MORA_BEFORE
        workspaces.configure(HULE, workspace)
        request = await waiting
        first = [workspaces.runs(await task)[0] for task in running]
        expected = (401, 0) if is_dropped else (200, 1)
        arrivals = workspaces.arrivals(request)
        assert (request.status, len(arrivals)) == expected
        free_at = min(run.ended_at for run in first)
        assert all(run.began_at >= free_at for run in workspaces.runs(request))


@pytest.mark.parametrize('is_dropped', [False, True])
@pytest.mark.parametrize(
    ('path', 'fault', 'pause_s'),
    [
        ('/queue/1', 'lost', LOST_PAUSE_S),
        ('/tale/1', 'cut', EVENT_PAUSE_S),
    ],
)
async def test_dropped_key_stops_between_two_attempts(
    tmp_path, path, fault, pause_s, is_dropped
):
    """Guards against a retry or a resumed stream with a key that is gone.

    The case without a change shows that there is a second attempt.
    """
    async with run_workspaces(tmp_path, HULE, MORA_BEFORE) as workspaces:
        workspaces.fail_first(fault, pause_s)
        pending = asyncio.create_task(
            workspaces.ask(0, path, DROPPED_KEY, **PATIENT_HEADERS)
        )
        await asyncio.sleep(0.1)
        workspace = MORA if is_dropped else MORA_BEFORE
        workspaces.configure(HULE, workspace)
        await asyncio.sleep(0.1)
        request = await pending
        attempts = 1 if is_dropped else 2
        assert len(workspaces.arrivals(request)) == attempts


@pytest.mark.parametrize('is_isolated', [False, True])
@pytest.mark.parametrize('outage', OUTAGES)
async def test_dropped_key_stops_at_a_gateway_cut_off_from_the_store(
    tmp_path, outage, is_isolated
):
    """Guards against a key that goes on where the change can't be read.

    The gateway with all its peers, or without them, serves public routes on.
    """
    async with run_workspaces(
        tmp_path, HULE, MORA_BEFORE, gateways=3, bounds=STRICT_BOUNDS
    ) as workspaces:
        cut_off(workspaces, 2, outage)
        workspaces.fleet.link_of(2).is_isolated = is_isolated
        late_from = workspaces.configure(HULE, MORA) + REVOKE_S
        end_at = late_from + AFTER_BOUND_S
        sent, public, kept = await asyncio.gather(
            workspaces.repeat_until(end_at, 2, '/look/1', DROPPED_KEY),
            workspaces.repeat_until(end_at, 2, '/open/1', DROPPED_KEY),
            workspaces.repeat_until(end_at, 2, '/look/1', OTHER_KEY),
        )
        unknown = await workspaces.ask(2, '/look/1', UNKNOWN_KEY)
        assert not workspaces.list_runs_sent_after(late_from, sent)
        assert {request.status for request in public} == {200}
        # A gateway that doesn't know the newest keys can't deny one.
        assert unknown.status == sent[-1].status == kept[-1].status == 503
        assert 0 < kept[-1].retry_after_s <= 0.2
        assert workspaces.fleet.gateways[2].events('keys_outdated')
        reconnect(workspaces, 2)
        await workspaces.wait_for_status(401, 2, '/look/1', DROPPED_KEY)
        await workspaces.wait_for_status(200, 2, '/look/1', OTHER_KEY)
        assert workspaces.fleet.gateways[2].events('keys_current')
        assert not workspaces.list_untrue_refusals()
        assert not workspaces.list_leaks(OTHER_KEY, DROPPED_KEY, UNKNOWN_KEY)


@pytest.mark.parametrize('outage', OUTAGES)
async def test_peers_keep_the_keys_of_a_gateway_current(tmp_path, outage):
    """Guards against refusals where only the link to the store is lost."""
    async with run_workspaces(
        tmp_path, HULE, gateways=3, bounds=STRICT_BOUNDS
    ) as workspaces:
        for number in (1, 2):
            cut_off(workspaces, number, outage)
        await asyncio.sleep(REVOKE_S)
        for number in (0, 1, 2):
            end_at = now() + 1
            sent = await workspaces.repeat_until(end_at, number, '/look/1', KEY)
            statuses = [request.status for request in sent]
            # A short gap while the gateways find each other is allowed.
            assert statuses.count(200) > 0.9 * len(statuses), number


async def test_keys_go_on_without_strict_revocation(tmp_path):
    """Guards against an age limit in deployments that don't ask for one."""
    async with run_workspaces(tmp_path, HULE, gateways=2) as workspaces:
        for number in (0, 1):
            cut_off(workspaces, number, 'silent')
            workspaces.fleet.link_of(number).is_isolated = True
        await asyncio.sleep(REVOKE_S + AFTER_BOUND_S)
        for number in (0, 1):
            request = await workspaces.ask(number, '/look/1', KEY)
            assert request.status == 200


async def test_dropped_key_stops_though_the_watch_lags(tmp_path):
    """Guards against an age that trusts a watch which misses changes.

    The watch of the store may miss changes for 1 s before it is disconnected.
    """
    async with run_workspaces(
        tmp_path, HULE, MORA_BEFORE, gateways=3, bounds=STRICT_BOUNDS
    ) as workspaces:
        workspaces.fleet.store.watch_lag_s = 1.0
        await asyncio.sleep(1)
        dropped_at = workspaces.configure(HULE, MORA)
        late_from = dropped_at + REVOKE_S
        end_at = late_from + AFTER_BOUND_S
        sending = [
            asyncio.create_task(
                workspaces.repeat_until(end_at, number, '/look/1', DROPPED_KEY)
            )
            for number in range(3)
        ]
        await wait_until(dropped_at + 0.95)
        for number in range(3):
            cut_off(workspaces, number, 'refused')
        sent = [request for task in sending for request in await task]
        assert not workspaces.list_runs_sent_after(late_from, sent)
        assert not workspaces.list_untrue_refusals()


@pytest.mark.parametrize('outage', (None, *OUTAGES))
async def test_dropped_key_stops_at_a_gateway_that_was_frozen(tmp_path, outage):
    """Guards against requests that a process finds in its sockets on waking.

    They were sent while it was frozen, and later than the bound.
    """
    async with run_workspaces(
        tmp_path, HULE, MORA_BEFORE, gateways=3, bounds=STRICT_BOUNDS
    ) as workspaces:
        process = workspaces.fleet.gateways[2].process
        call = await workspaces.connect(2)
        await workspaces.ask_on(call, 2, '/look/1', DROPPED_KEY)
        process.send_signal(signal.SIGSTOP)
        late_from = workspaces.configure(HULE, MORA) + REVOKE_S
        if outage:
            cut_off(workspaces, 2, outage)
            workspaces.fleet.link_of(2).is_isolated = True
        await wait_until(late_from + 0.05)
        pending = [
            asyncio.create_task(
                workspaces.ask_on(call, 2, '/look/1', DROPPED_KEY)
            ),
            *(
                asyncio.create_task(workspaces.ask(2, path, DROPPED_KEY))
                for path in ('/look/1', '/post/1', '/digest/1')
            ),
        ]
        public = asyncio.create_task(workspaces.ask(2, '/open/1'))
        await asyncio.sleep(0.3)
        process.send_signal(signal.SIGCONT)
        sent = [await task for task in pending]
        sent += await workspaces.repeat_until(
            now() + AFTER_BOUND_S, 2, '/look/1', DROPPED_KEY
        )
        assert not workspaces.list_runs_sent_after(late_from, sent)
        assert (await public).status == 200
        assert {request.status for request in sent} <= {401, 503}
        reconnect(workspaces, 2)
        await workspaces.wait_for_status(401, 2, '/look/1', DROPPED_KEY)
        await workspaces.wait_for_status(200, 2, '/look/1', OTHER_KEY)
        assert not workspaces.list_untrue_refusals()


@pytest.mark.parametrize('outage', OUTAGES)
async def test_dropped_key_stops_at_a_gateway_started_without_the_store(
    tmp_path, outage
):
    """Guards against keys that a new process takes from an old source."""
    async with run_workspaces(
        tmp_path, HULE, MORA_BEFORE, gateways=3, bounds=STRICT_BOUNDS
    ) as workspaces:
        await workspaces.fleet.gateways[2].kill()
        cut_off(workspaces, 2, outage)
        late_from = workspaces.configure(HULE, MORA) + REVOKE_S
        await workspaces.fleet.restart(2)
        sent = await workspaces.repeat_until(
            max(late_from, now()) + AFTER_BOUND_S, 2, '/look/1', DROPPED_KEY
        )
        reconnect(workspaces, 2)
        await workspaces.wait_for_status(401, 2, '/look/1', DROPPED_KEY)
        await workspaces.wait_for_status(200, 2, '/look/1', OTHER_KEY)
        assert {request.status for request in sent} == {503}
        assert not workspaces.list_runs_sent_after(
            late_from,
            [row for row in workspaces.sent if row.key == DROPPED_KEY],
        )
        assert not workspaces.list_untrue_refusals()


@pytest.mark.parametrize('mode', ['unresponsive', 'busy'])
async def test_dropped_key_stops_while_the_store_is_down(tmp_path, mode):
    """Guards against keys without an end where no gateway reads the store."""
    async with run_workspaces(
        tmp_path, HULE, MORA_BEFORE, gateways=3, bounds=STRICT_BOUNDS
    ) as workspaces:
        workspaces.fleet.store.mode = mode
        late_from = workspaces.configure(HULE, MORA) + REVOKE_S
        end_at = late_from + AFTER_BOUND_S
        rows = await asyncio.gather(
            *(
                workspaces.repeat_until(end_at, number, path, DROPPED_KEY)
                for path in ('/look/1', '/open/1')
                for number in range(3)
            )
        )
        sent = [request for row in rows[:3] for request in row]
        public = [request for row in rows[3:] for request in row]
        assert not workspaces.list_runs_sent_after(late_from, sent)
        assert {request.status for request in public} == {200}
        workspaces.fleet.store.mode = 'up'
        for number in range(3):
            await workspaces.wait_for_status(
                401, number, '/look/1', DROPPED_KEY
            )
            await workspaces.wait_for_status(200, number, '/look/1', OTHER_KEY)
        assert not workspaces.list_untrue_refusals()


async def test_added_key_is_served_in_time(tmp_path):
    """Guards against a new key that is denied for longer than config-apply-ms."""
    async with run_workspaces(
        tmp_path, HULE, gateways=3, bounds=STRICT_BOUNDS
    ) as workspaces:
        added_at = workspaces.configure(HULE, MORA)
        await wait_until(added_at + CONFIGURATION_APPLY_S)
        for number in range(3):
            request = await workspaces.ask(number, '/look/1', OTHER_KEY)
            assert request.status != 401
            await workspaces.wait_for_status(200, number, '/look/1', OTHER_KEY)
