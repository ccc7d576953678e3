"""Keys of requests, at admission and while requests wait."""

import asyncio
import random

import pytest
from structlog.testing import capture_logs

from bramleybeam.catalog import (
    Holdings,
    Replica,
    ReplicaState,
    RequestKind,
    Route,
    RouteTarget,
    RoutingConfiguration,
    Service,
    TimeBounds,
    Workspace,
    WorkspaceDirectory,
)
from bramleybeam.errors import ErrorKind
from bramleybeam.gateway import Chooser, make_cluster_state
from bramleybeam.gateway._admission import Admitter
from bramleybeam.gateway._follower_pace import make_pace
from bramleybeam.gateway._job import RequestRefusedError
from bramleybeam.gateway._metrics import GatewayMetrics
from bramleybeam.gateway._reply_observer import ReplyObserver
from bramleybeam.keyvalue import Listing
from bramleybeam.limits import RetryBudgets
from bramleybeam.platform import describe_request
from bramleybeam.relay import InboundRequest
from bramleybeam.simulation import run_in_virtual_time
from bramleybeam.workspaces import KeyAge

LIMIT_S = 3.75
KEYS = {'hule930': (b'k-1', b'k-2'), 'pona': (b'k-3',)}
REPLICA = Replica(
    'i-1', 'ledger', '10.0.0.1:80', 'a', ReplicaState.READY, 4, 5, Holdings(0)
)
SERVICES = {'ledger': Service('ledger', '/health', 9)}


class StubBudgets(RetryBudgets):
    """Counts nothing."""

    def __init__(self):
        """Need no settings."""

    def note_request(self, service, now):
        """Ignore a request."""


def make_route(prefix, *, is_public=False):
    return Route(
        prefix.strip('/'),
        'desk',
        prefix,
        RequestKind.IDEMPOTENT,
        (RouteTarget('ledger', 1),),
        9,
        1,
        is_public=is_public,
    )


def make_configuration(version=1, *, is_public=False, keys=KEYS):
    workspaces = None
    if keys is not None:
        workspaces = WorkspaceDirectory.from_keys(
            (Workspace(name, priority=number), keys[name])
            for number, name in enumerate(keys)
        )
    routes = (
        make_route('/ask/', is_public=is_public),
        make_route('/open/', is_public=True),
    )
    return RoutingConfiguration(
        version, routes, SERVICES, workspaces=workspaces
    )


class Gateway:
    """The tables of a gateway that has just read the store."""

    def __init__(self, clock, limit_s=LIMIT_S):
        """Start with the first configuration."""
        self.cluster_state = make_cluster_state(
            clock, random.Random(1), keys=KeyAge(clock, limit_s)
        )
        self.directory = self.cluster_state.directory
        self.directory.replace(Listing((), 1))
        self.directory.freshness.note_sync(1, clock())
        self.apply(make_configuration())
        keys = self.directory.keys
        keys.note_read(keys.begin_read(1, 1), 1)
        self.admitter = Admitter(
            self.cluster_state, StubBudgets(), random.Random(1)
        )

    def apply(self, configuration):
        """Put a configuration in force, as after a read of the store."""
        self.directory.configuration = configuration
        self.directory.keys.version = configuration.version
        self.directory.freshness.note_version(configuration.version)
        self.directory.signal()

    def admit(self, *credentials, path=b'/ask/1'):
        """Return the job of a request, or raise its refusal."""
        headers = (
            (b'Host', b'desk'),
            (b'Bramleybeam-Request-Id', b'q'),
            *((b'Authorization', value) for value in credentials),
        )
        request = InboundRequest(
            b'POST', path, headers, b'', self.directory.now()
        )
        facts = describe_request(request)
        return self.admitter.admit(request, facts, None)


def find_kind(admit, *credentials, **request):
    """Return the kind of the refusal of a request, ``None`` if admitted."""
    try:
        admit(*credentials, **request)
    except RequestRefusedError as error:
        return error.refusal.kind
    return None


@pytest.fixture
def gateway(clock):
    return Gateway(clock)


@pytest.mark.parametrize(
    ('credentials', 'path', 'workspace', 'priority'),
    [
        ([b'Bearer k-1'], b'/ask/1', 'hule930', 0),
        ([b'Bearer k-3'], b'/ask/1', 'pona', 1),
        # Several headers are judged by the first.
        ([b'Bearer k-3', b'Bearer k-1'], b'/ask/1', 'pona', 1),
        ([b'Bearer k-3'], b'/open/1', 'pona', 1),
        ([b'Bearer k-9'], b'/open/1', '', 5),
        ([], b'/open/1', '', 5),
    ],
)
def test_admitted_request_has_the_workspace_of_its_key(
    gateway, credentials, path, workspace, priority
):
    job = gateway.admit(*credentials, path=path)
    assert (job.workspace_name, job.priority) == (workspace, priority)
    assert job.hides_keys


@pytest.mark.parametrize(
    ('credentials', 'age_s', 'newest_version', 'kind'),
    [
        ([b'Bearer k-1'], 3.7, 1, None),
        ([b'Bearer k-1'], 3.7, 2, None),
        ([b'Bearer k-1'], 3.75, 1, ErrorKind.KEYS_OUTDATED),
        ([b'Bearer k-9'], 3.7, 1, ErrorKind.UNAUTHENTICATED),
        # The newer configuration may have the key.
        ([b'Bearer k-9'], 3.7, 2, ErrorKind.KEYS_OUTDATED),
        ([b'Bearer k-9'], 3.8, 1, ErrorKind.KEYS_OUTDATED),
        ([b'Bearer k-9', b'Bearer k-1'], 0, 1, ErrorKind.UNAUTHENTICATED),
        ([], 0, 1, ErrorKind.UNAUTHENTICATED),
    ],
)
def test_admission_checks_key_and_age(
    gateway, clock, credentials, age_s, newest_version, kind
):
    clock.now += age_s
    gateway.directory.freshness.note_peer_version(newest_version)
    with capture_logs() as lines:
        assert find_kind(gateway.admit, *credentials) == kind
    refusals = [line for line in lines if line['event'] == 'access_refused']
    assert [line['kind'] for line in refusals] == [kind][: kind is not None]
    for line in refusals:
        assert line['key_age_s'] == age_s
        assert line['version'] == 1
        assert 'k-' not in str(line)


@pytest.mark.parametrize(
    ('age_s', 'after_stall', 'unknown_path', 'unknown_key'),
    [
        (2, None, ErrorKind.UNKNOWN_SERVICE, ErrorKind.UNAUTHENTICATED),
        # A configuration that must be in force by now may have it.
        (
            2.1,
            ErrorKind.NOT_CONFIGURED,
            ErrorKind.NOT_CONFIGURED,
            ErrorKind.KEYS_OUTDATED,
        ),
    ],
)
def test_old_configuration_does_not_show_what_is_missing(
    clock, age_s, after_stall, unknown_path, unknown_key
):
    gateway = Gateway(clock, limit_s=None)
    gateway.directory.freshness.pace = make_pace(TimeBounds(configuration_s=2))
    clock.now += age_s
    assert find_kind(gateway.admit, b'Bearer k-1') == after_stall
    # One call may be lost while the store is there.
    gateway.directory.freshness.note_failure(clock() - 0.2)
    gateway.directory.freshness.note_failure(clock() - 0.2)
    assert find_kind(gateway.admit, b'Bearer k-1') == after_stall
    # The store is away: what is configured is served all the same.
    gateway.directory.freshness.note_failure(clock())
    assert find_kind(gateway.admit, b'Bearer k-1') is None
    assert find_kind(gateway.admit, path=b'/none/1') == unknown_path
    assert find_kind(gateway.admit, b'Bearer k-9') == unknown_key


def test_handled_requests_do_not_hide_an_overdue_configuration(clock):
    """Guards against a process that is slow for seconds and never stands still."""
    gateway = Gateway(clock, limit_s=None)
    gateway.directory.freshness.pace = make_pace(TimeBounds(configuration_s=2))
    kinds = []
    for _ in range(8):
        clock.now += 0.3
        kinds.append(find_kind(gateway.admit, b'Bearer k-1'))
    assert kinds == [None] * 6 + [ErrorKind.NOT_CONFIGURED] * 2


def test_public_route_works_with_old_keys(gateway, clock):
    clock.now += 60
    job = gateway.admit(b'Bearer k-1', path=b'/open/1')
    assert job.workspace is None


def test_age_is_not_limited_without_strict_revocation(clock):
    gateway = Gateway(clock, limit_s=None)
    clock.now += 600
    assert gateway.admit(b'Bearer k-1').workspace_name == 'hule930'
    assert 'key_age_s' not in gateway.directory.describe_state()


@pytest.mark.parametrize(
    ('changed', 'kind', 'workspace'),
    [
        (make_configuration(2), None, 'hule930'),
        # The key was removed, with or without its workspace.
        (
            make_configuration(2, keys={'hule930': (b'k-2',)}),
            ErrorKind.UNAUTHENTICATED,
            'hule930',
        ),
        (make_configuration(2, keys={}), ErrorKind.UNAUTHENTICATED, 'hule930'),
        # The key was given to another workspace.
        (make_configuration(2, keys={'pona': (b'k-1',)}), None, 'pona'),
        # The route needs no key any more.
        (make_configuration(2, is_public=True, keys={}), None, ''),
        (make_configuration(2, keys=None), None, ''),
    ],
)
def test_later_configuration_counts_for_admitted_requests(
    gateway, clock, changed, kind, workspace
):
    """Guards against a retry with a key that was removed since."""
    job = gateway.admit(b'Bearer k-1')
    gateway.apply(changed)
    # The age counts at admission only.
    clock.now += 60
    refusal = gateway.cluster_state.access.find_refusal(job)
    assert getattr(refusal, 'kind', None) == kind
    assert job.workspace_name == workspace
    # What the caller sent may still be a key.
    assert job.hides_keys


def test_keys_that_are_required_later_count_and_are_removed(gateway):
    gateway.apply(make_configuration(2, keys=None))
    jobs = [gateway.admit(b'Bearer %s' % key) for key in (b'k-1', b'k-9')]
    assert not any(job.hides_keys for job in jobs)
    gateway.apply(make_configuration(3))
    find_refusal = gateway.cluster_state.access.find_refusal
    assert find_refusal(jobs[0]) is None
    assert (jobs[0].workspace_name, jobs[0].hides_keys) == ('hule930', True)
    assert find_refusal(jobs[1]).kind == ErrorKind.UNAUTHENTICATED


def test_removed_key_is_an_obstacle_right_before_the_send(gateway):
    """Guards against a key that is removed while a connection is opened."""
    job = gateway.admit(b'Bearer k-1')
    observer = ReplyObserver(gateway.cluster_state, REPLICA, None, job, None)
    assert observer.find_obstacle() is None
    gateway.apply(make_configuration(2, keys={}))
    assert observer.find_obstacle() == 'the key is not valid any more'


def test_fingerprint_does_not_depend_on_the_key(gateway):
    """Guards against a trace of the key in what neighbours learn.

    Requests of different workspaces must still differ.
    """
    jobs = [
        gateway.admit(b'Bearer %s' % key) for key in (b'k-1', b'k-2', b'k-3')
    ]
    first, second, other = (job.fingerprint for job in jobs)
    assert first == second
    assert second != other


def test_start_and_end_of_outdated_keys_are_logged_once(gateway, clock):
    with capture_logs() as lines:
        for _ in range(3):
            clock.now += 2
            gateway.cluster_state.access.note_age()
        keys = gateway.directory.keys
        keys.note_read(keys.begin_read(1, 1), 1)
        for _ in range(2):
            gateway.cluster_state.access.note_age()
    assert [(line['event'], line['source']) for line in lines] == [
        ('keys_outdated', 'store'),
        ('keys_current', 'store'),
    ]
    assert [line['key_age_s'] for line in lines] == [4, 0]
    assert all(line['version'] == 1 for line in lines)


@pytest.mark.parametrize(('age_s', 'is_current'), [(2, 1), (4, 0)])
def test_metrics_show_the_age_of_keys(gateway, clock, age_s, is_current):
    clock.now += age_s
    text = GatewayMetrics(gateway.cluster_state, bool).render().decode()
    for name, number in (
        ('key_age_s', age_s),
        ('keys_current', is_current),
        ('workspaces', 2),
    ):
        assert f'state{{name="{name}"}} {float(number)}' in text
    assert 'hule930' not in text


def test_waiting_request_is_refused_when_its_key_is_removed():
    """Guards against a request that runs because it was queued before."""

    async def wait_in_queue():
        loop = asyncio.get_running_loop()
        gateway = Gateway(loop.time)
        chooser = Chooser(gateway.cluster_state, 'a', random.Random(1))
        job = gateway.admit(b'Bearer k-1')
        waiting = asyncio.create_task(chooser.choose(job, loop.time()))
        await asyncio.sleep(0.1)
        assert not waiting.done()
        gateway.apply(make_configuration(2, keys={}))
        removed_at = loop.time()
        with pytest.raises(RequestRefusedError) as raised:
            await waiting
        assert loop.time() - removed_at < 0.01
        return raised.value.refusal.kind

    kind = run_in_virtual_time(wait_in_queue())
    assert kind == ErrorKind.UNAUTHENTICATED
